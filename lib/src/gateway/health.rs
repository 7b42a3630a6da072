//! Passive health check of one upstream, from the outcomes of requests and connections.

use std::time::{Duration, Instant};

use super::outcomes::OutcomeCount;

/// Weight of one outcome in the exponentially weighted failure share.
const OUTCOME_WEIGHT: f64 = 0.12;

/// Time in which the failure share decays to 1/e (37%), so that an upstream that is avoided is
/// tried again. In a simulation of 22 hosts that exchange outcomes, an upstream that fails half of
/// its requests gets 0.82 of a fair share of the requests with 4 s, 0.59 with 8 s and 0.45 with
/// 12 s.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(12);

/// Excess of an upstream's failure share over the median from which it counts as failing.
const FAILURE_EXCESS: f64 = 0.22;

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response was complete.
    Complete,
    /// The upstream responded with a server error, or in violation of the protocol.
    Failed,
    /// The connection was lost while the request was in flight.
    Lost,
    /// The request was not sent, because no connection was established.
    Unreachable,
    /// Not counted for the upstream's health, for example because the caller disconnected, the
    /// deadline passed, or the upstream refused the request.
    Cancelled,
}

/// Recent failures of an upstream, and whether it is ejected.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    failure_share: f64,
    updated: Option<Instant>,
    is_unreachable: bool,
}

impl UpstreamHealth {
    /// Records the end of an attempt of this host; a complete response also ends an ejection.
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

    /// Merges the outcomes of requests of other hosts; each counts like one of this host.
    pub fn merge_outcomes(&mut self, now: Instant, count: OutcomeCount) {
        let total = count.complete + count.failed;
        if total == 0 {
            return;
        }
        let failed = f64::from(count.failed) / f64::from(total);
        let kept = (1.0 - OUTCOME_WEIGHT).powi(total as i32);
        self.failure_share = failed + (self.failure_share(now) - failed) * kept;
        self.updated = Some(now);
    }

    /// Sets whether a connection can be established; the upstream is ejected if not.
    pub fn set_reachable(&mut self, is_reachable: bool) {
        self.is_unreachable = !is_reachable;
    }

    /// Returns whether the upstream is ejected because no connection could be established.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the weighted share of failed attempts, decayed to `now`.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.failure_share * (-age.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns whether the failure share clearly exceeds `median_share`, the median over upstreams.
    pub fn is_failing(&self, now: Instant, median_share: f64) -> bool {
        self.failure_share(now) > median_share + FAILURE_EXCESS
    }
}
