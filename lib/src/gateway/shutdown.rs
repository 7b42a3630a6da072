//! Which requests a host still accepts after a planned stop has begun.

use std::time::{Duration, Instant};

/// Time before the end of a shutdown at which requests without a response get an error, so that
/// their callers have it before the process ends.
pub const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Time for which the host reports not ready but accepts requests as before, so that the load
    /// balancer stops sending them.
    pub drain_delay: Duration,
    /// Longest time from the start of the shutdown to its end.
    pub limit: Duration,
}

/// A shutdown that has begun.
///
/// A load balancer may send requests to a stopping host until its end, for instance because the
/// other hosts of the data centre stop as well. A request that can last longer than the process is
/// then refused at once, before any upstream sees it, so that its caller can turn to another host.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownWindow {
    delay_end: Instant,
    end: Instant,
    limit: Duration,
}

impl ShutdownWindow {
    /// Creates the window of a shutdown that began at `started`.
    pub fn new(started: Instant, times: &ShutdownTimes) -> Self {
        let ShutdownTimes { drain_delay, limit } = *times;
        Self { delay_end: started + drain_delay.min(limit), end: started + limit, limit }
    }

    /// Returns when requests that have no response yet get an error.
    pub fn last_response(&self) -> Instant {
        self.end - LAST_RESPONSE_MARGIN.min(self.limit)
    }

    /// Returns when the shutdown ends at the latest.
    pub fn end(&self) -> Instant {
        self.end
    }

    /// Returns whether a request that arrives at `now` is accepted. `expires_at` is when it has its
    /// final response at the latest.
    pub fn accepts(&self, now: Instant, expires_at: Instant) -> bool {
        now < self.delay_end || expires_at <= self.last_response()
    }
}
