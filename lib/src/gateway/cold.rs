//! Start rate of a cold upstream: a token bucket over this host's share of the allowance.

use std::time::{Duration, Instant};

/// Longest span whose tokens are saved up; short, because the sum over all hosts is bounded in
/// every second.
const MAX_BURST_TIME: Duration = Duration::from_millis(400);

/// Share of a cold upstream's allowance that is used. Hosts do not agree at every moment on who they
/// are.
const ALLOWANCE_SHARE: f64 = 0.8;

/// Lowest rate of a host that sends at all, in requests per second. Below it the first request of
/// each of many hosts would exceed the allowance.
const MIN_HOST_RATE_PER_S: f64 = 2.0;

/// Returns the requests per second that this host may send to one cold upstream.
///
/// `rate` is what the upstream tolerates from all `hosts`; `is_among_first` tells whether this host
/// is one of that many that the upstream's name ranks first.
pub fn host_cold_rate(rate: f64, hosts: usize, is_among_first: impl Fn(usize) -> bool) -> f64 {
    let allowance = ALLOWANCE_SHARE * rate;
    let sending_hosts = ((allowance / MIN_HOST_RATE_PER_S) as usize).clamp(1, hosts.max(1));
    if is_among_first(sending_hosts) { allowance / sending_hosts as f64 } else { 0.0 }
}

/// This host's share of the requests that one cold upstream may get.
#[derive(Clone, Debug)]
pub struct ColdBucket {
    until: Instant,
    tokens: f64,
    refilled: Instant,
}

impl ColdBucket {
    /// Creates a bucket for an upstream that stays cold until `until`.
    ///
    /// `offset`, between 0 and 1, is the first level. It differs between hosts, so that not all of
    /// them send their first request at once.
    pub fn new(now: Instant, until: Instant, offset: f64) -> Self {
        Self { until, tokens: offset.clamp(0.0, 1.0), refilled: now }
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Extends the cold time.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Returns whether a request may be sent; `rate` is this host's share in requests per second.
    pub fn has_token(&self, now: Instant, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn spend(&mut self, now: Instant, rate: f64) {
        self.tokens = self.tokens_at(now, rate) - 1.0;
        self.refilled = now;
    }

    fn tokens_at(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = (rate * MAX_BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + elapsed * rate).min(burst)
    }
}
