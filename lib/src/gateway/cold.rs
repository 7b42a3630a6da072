//! Start rate of a cold upstream: a token bucket over this host's share of the allowance.

use std::time::{Duration, Instant};

/// Longest span whose tokens are saved up; short, because the sum over all hosts is bounded in
/// every second.
const SAVED_SPAN: Duration = Duration::from_millis(400);

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
    pub fn has_token(&mut self, now: Instant, rate: f64) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let saved = (rate * SAVED_SPAN.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(saved);
        self.refilled = now;
        self.tokens >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
