//! Requests that crash the upstreams that run them, recognised over all hosts.
//!
//! A request that is lost with its upstream gets a strike once a connection to that upstream is
//! refused. An upstream that resets connections, or is behind a partition, gives no strike. Strikes
//! travel with the digests; the register decides which requests are no longer sent.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::{
    names::UpstreamName,
    quarantine::{CrashRegister, CrashStrike, CrashVerdict, InterruptedRun, RequestFingerprint},
};

/// Time for which a host passes a strike on; a digest a half second reaches all hosts in it.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Strikes in a message. The loss of a data centre strikes some hundred requests at once; a request
/// that crashes upstreams one after the other is told again with each.
const MAX_TOLD: usize = 16;

/// Time for which a loss waits for the connection that tells whether its upstream crashed.
const VERDICT_TIME: Duration = Duration::from_secs(2);

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Changes at each start.
    pub incarnation: u64,
}

/// A request that was lost together with its connection.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// When it was sent.
    pub dispatched: Instant,
    /// Whether the response had begun.
    pub has_response: bool,
}

/// Owner of what one host knows of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct CrashDetector {
    register: CrashRegister,
    /// Losses whose upstream may have crashed, with when they happened.
    pending: HashMap<UpstreamProcess, Vec<(Instant, LostAttempt)>>,
    /// Upstreams that refuse connections.
    down: HashSet<UpstreamProcess>,
    /// Strikes that were learned a moment ago.
    news: Vec<(Instant, CrashStrike)>,
}

impl CrashDetector {
    /// Returns whether no request has a strike, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.register.is_empty()
    }

    /// Decides whether a request may be sent.
    pub fn check(&self, now: Instant, fingerprint: RequestFingerprint) -> CrashVerdict {
        self.register.check(now, fingerprint)
    }

    /// Notes a request that was lost with its connection; whether its upstream crashed is not known.
    pub fn record_loss(&mut self, now: Instant, process: &UpstreamProcess, run: LostAttempt) {
        self.pending.entry(process.clone()).or_default().push((now, run));
        if self.down.contains(process) {
            self.record_refused_connection(now, process);
        }
    }

    /// Notes that an upstream refuses connections: the requests lost with it get a strike each.
    pub fn record_refused_connection(&mut self, now: Instant, process: &UpstreamProcess) {
        self.down.insert(process.clone());
        for (at, run) in self.pending.remove(process).unwrap_or_default() {
            if now.saturating_duration_since(at) >= VERDICT_TIME {
                continue;
            }
            let broken = InterruptedRun {
                upstream: &process.upstream,
                incarnation: process.incarnation,
                dispatched: run.dispatched,
                has_response: run.has_response,
            };
            let strike = self.register.record_loss(at, run.fingerprint, &broken);
            tracing::warn!(
                upstream = %process.upstream,
                is_prompt = strike.is_prompt,
                strikes = self.register.len(),
                "request_struck"
            );
            self.news.push((at, strike));
        }
    }

    /// Notes that an upstream accepts connections: what was lost there did not crash it.
    pub fn record_accepted_connection(&mut self, process: &UpstreamProcess) {
        self.down.remove(process);
        self.pending.remove(process);
    }

    /// Notes that a request completed: its strikes no longer count here.
    pub fn record_completion(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        at: &UpstreamName,
    ) {
        if self.register.record_completion(now, fingerprint, at).is_some() {
            self.news.retain(|(_, it)| it.fingerprint != fingerprint);
        }
    }

    /// Returns the strikes to tell another host.
    pub fn strikes_to_send(&self, now: Instant) -> Vec<CrashStrike> {
        let strikes = self.news.iter().rev().take(MAX_TOLD).map(|(at, strike)| {
            let age = now.saturating_duration_since(*at).as_millis() as u64;
            CrashStrike { age_ms: age, ..strike.clone() }
        });
        strikes.collect()
    }

    /// Takes the strikes that another host told.
    pub fn merge_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) {
        for strike in strikes {
            let at = now.checked_sub(Duration::from_millis(strike.age_ms)).unwrap_or(now);
            let is_known = self.news.iter().any(|(_, it)| {
                (it.fingerprint, &it.upstream, it.incarnation)
                    == (strike.fingerprint, &strike.upstream, strike.incarnation)
            });
            if !is_known && now.saturating_duration_since(at) < NEWS_TIME {
                self.register.merge_strike(now, strike);
                self.news.push((at, strike.clone()));
            }
        }
    }

    /// Forgets what is old; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant, limit| now.saturating_duration_since(at) < limit;
        self.register.expire(now);
        self.news.retain(|(at, _)| is_recent(*at, NEWS_TIME));
        self.pending.retain(|_, losses| {
            losses.retain(|(at, _)| is_recent(*at, VERDICT_TIME));
            !losses.is_empty()
        });
    }

    /// Forgets that an upstream refused connections; it is no longer published.
    pub fn forget_upstream(&mut self, process: &UpstreamProcess) {
        self.down.remove(process);
    }
}
