//! Detects requests that crash the upstreams that run them (queries of death), across all hosts.
//!
//! A request that was lost with its connection gets a strike once the upstream refuses a
//! connection. An upstream that resets connections, or is behind a partition, leads to no strike.
//! Strikes are sent with the digests; the [`CrashRegister`] decides which requests are no longer
//! sent.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::{
    names::UpstreamName,
    quarantine::{CrashRegister, CrashStrike, CrashVerdict, InterruptedRun, RequestFingerprint},
};

/// Age up to which hosts forward a strike. With a digest every half second, it reaches all hosts
/// within that time.
const MAX_STRIKE_FORWARD_AGE: Duration = Duration::from_secs(3);

/// Largest number of strikes in a message. The loss of a data centre leads to some hundred strikes
/// at once, not all of which are sent; a request that crashes one upstream after the other gets a
/// new strike with each.
const MAX_SENT_STRIKES: usize = 16;

/// Time within which a connection has to be refused for a lost request to get a strike.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Changes at each start of the upstream.
    pub incarnation: u64,
}

/// A request at an upstream that was lost with its connection.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// When it was sent.
    pub dispatched: Instant,
    /// Whether the response had begun.
    pub has_response: bool,
}

/// Detects requests that crash upstreams, from the losses of one host and the strikes of others.
#[derive(Debug, Default)]
pub struct CrashDetector {
    register: CrashRegister,
    /// Recent losses whose upstream may have crashed, each with its time.
    pending_losses: HashMap<UpstreamProcess, Vec<(Instant, LostAttempt)>>,
    /// Upstreams that refuse connections.
    refusing: HashSet<UpstreamProcess>,
    /// Recent strikes of this host and others, each with its time.
    recent_strikes: Vec<(Instant, CrashStrike)>,
}

impl CrashDetector {
    /// Returns whether no request has a strike; a check needs no fingerprint then.
    pub fn is_empty(&self) -> bool {
        self.register.is_empty()
    }

    /// Decides whether a request may be sent.
    pub fn check(&self, now: Instant, fingerprint: RequestFingerprint) -> CrashVerdict {
        self.register.check(now, fingerprint)
    }

    /// Records a request that was lost with its connection. It gets a strike if the upstream
    /// refuses connections, now or soon.
    pub fn record_loss(&mut self, now: Instant, process: &UpstreamProcess, attempt: LostAttempt) {
        self.pending_losses.entry(process.clone()).or_default().push((now, attempt));
        if self.refusing.contains(process) {
            self.record_refused_connection(now, process);
        }
    }

    /// Records that an upstream refuses connections: each request that was lost at it recently gets
    /// a strike.
    pub fn record_refused_connection(&mut self, now: Instant, process: &UpstreamProcess) {
        self.refusing.insert(process.clone());
        for (lost_at, attempt) in self.pending_losses.remove(process).unwrap_or_default() {
            if now.saturating_duration_since(lost_at) >= REFUSAL_WINDOW {
                continue;
            }
            let run = InterruptedRun {
                upstream: &process.upstream,
                incarnation: process.incarnation,
                dispatched: attempt.dispatched,
                has_response: attempt.has_response,
            };
            let Some(strike) = self.register.record_loss(lost_at, attempt.fingerprint, &run) else {
                continue;
            };
            tracing::warn!(
                fingerprint = %strike.fingerprint,
                upstream = %process.upstream,
                is_prompt = strike.is_prompt,
                has_response = attempt.has_response,
                requests = self.register.len(),
                "request_struck"
            );
            self.log_if_blocked(now, strike.fingerprint);
            self.recent_strikes.push((lost_at, strike));
        }
    }

    /// Records that an upstream accepts connections: the requests lost at it did not crash it.
    pub fn record_accepted_connection(&mut self, process: &UpstreamProcess) {
        self.refusing.remove(process);
        self.pending_losses.remove(process);
    }

    /// Records that a request completed: its strikes no longer count on this host.
    pub fn record_completion(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamName,
    ) {
        if self.register.record_completion(now, fingerprint, upstream).is_some() {
            tracing::info!(%fingerprint, %upstream, "strikes_cleared");
            self.recent_strikes.retain(|(_, it)| it.fingerprint != fingerprint);
        }
    }

    /// Returns the strikes to send to another host, the last recorded ones first.
    pub fn strikes_to_send(&self, now: Instant) -> Vec<CrashStrike> {
        let strikes =
            self.recent_strikes.iter().rev().take(MAX_SENT_STRIKES).map(|(lost_at, strike)| {
                let age = now.saturating_duration_since(*lost_at).as_millis() as u64;
                CrashStrike { age_ms: age, ..strike.clone() }
            });
        strikes.collect()
    }

    /// Merges the strikes of another host.
    pub fn merge_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) {
        for strike in strikes {
            let lost_at = now.checked_sub(Duration::from_millis(strike.age_ms)).unwrap_or(now);
            let is_known = self.recent_strikes.iter().any(|(_, it)| {
                (it.fingerprint, &it.upstream, it.incarnation)
                    == (strike.fingerprint, &strike.upstream, strike.incarnation)
            });
            if !is_known && now.saturating_duration_since(lost_at) < MAX_STRIKE_FORWARD_AGE {
                self.register.merge_strike(now, strike);
                self.log_if_blocked(now, strike.fingerprint);
                self.recent_strikes.push((lost_at, strike.clone()));
            }
        }
    }

    /// Logs that a strike blocks its request on this host.
    fn log_if_blocked(&self, now: Instant, fingerprint: RequestFingerprint) {
        if let CrashVerdict::Blocked { remaining } = self.register.check(now, fingerprint) {
            let remaining_ms = remaining.as_millis() as u64;
            tracing::warn!(%fingerprint, remaining_ms, "request_blocked");
        }
    }

    /// Drops expired strikes and losses; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |lost_at: Instant, limit| now.saturating_duration_since(lost_at) < limit;
        self.register.expire(now);
        self.recent_strikes.retain(|(lost_at, _)| is_recent(*lost_at, MAX_STRIKE_FORWARD_AGE));
        self.pending_losses.retain(|_, losses| {
            losses.retain(|(lost_at, _)| is_recent(*lost_at, REFUSAL_WINDOW));
            !losses.is_empty()
        });
    }

    /// Forgets that an upstream refused connections, once it is no longer published.
    pub fn forget_upstream(&mut self, process: &UpstreamProcess) {
        self.refusing.remove(process);
    }
}
