//! Slow start: a token bucket limits the requests that this host sends to a cold upstream.
//!
//! An upstream is cold for some time after its start, and reports how much of that time remains.
//! Meanwhile all hosts together must not exceed the rate of requests that it tolerates.

use std::time::{Duration, Instant};

/// Time over which a bucket accumulates tokens. It is short, because the sum of the requests of all
/// hosts is bounded in every second.
const MAX_BURST_TIME: Duration = Duration::from_millis(400);

/// Share of a cold upstream's allowance that the hosts use together. The rest covers times in which
/// hosts disagree on the set of live hosts.
const ALLOWANCE_SHARE: f64 = 0.8;

/// Least rate that a host gets, in requests per second; hosts beyond that send nothing. At a lower
/// rate for each of many hosts, the first requests of all of them together exceed the allowance.
const MIN_HOST_RATE_PER_S: f64 = 2.0;

/// Returns the requests per second that this host may send to one cold upstream.
///
/// `rate` is what the upstream tolerates from all `hosts` together. `is_among_first(count)` returns
/// whether this host is among the first `count` hosts in the rendezvous order of the upstream.
pub fn host_cold_rate(rate: f64, hosts: usize, is_among_first: impl Fn(usize) -> bool) -> f64 {
    let allowance = ALLOWANCE_SHARE * rate;
    let sending_hosts = ((allowance / MIN_HOST_RATE_PER_S) as usize).clamp(1, hosts.max(1));
    if is_among_first(sending_hosts) { allowance / sending_hosts as f64 } else { 0.0 }
}

/// Token bucket for this host's requests to one cold upstream.
#[derive(Clone, Debug)]
pub struct ColdBucket {
    until: Instant,
    tokens: f64,
    refilled: Instant,
}

impl ColdBucket {
    /// Creates a bucket for an upstream that stays cold until `until`.
    ///
    /// `offset`, between 0 and 1, is the initial number of tokens. It differs between hosts, so
    /// that they do not all send their first request at the same time.
    pub fn new(now: Instant, until: Instant, offset: f64) -> Self {
        Self { until, tokens: offset.clamp(0.0, 1.0), refilled: now }
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Extends the cold start to `until`; never shortens it.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Returns whether a request may be sent; `rate` is this host's share in requests per second.
    pub fn has_token(&self, now: Instant, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    /// Spends the token of a request that is sent; `rate` is as in [`Self::has_token`].
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
