//! Timers for work that is done less often than every tick.

use std::time::{Duration, Instant};

/// A timer that is due once per period.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeriodTimer {
    period: Duration,
    due: Instant,
}

impl PeriodTimer {
    /// Creates a timer that is due at once.
    pub(super) fn new(period: Duration, now: Instant) -> Self {
        Self { period, due: now }
    }

    /// Returns whether the work is due, and starts the next period if so.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        if now < self.due {
            return false;
        }
        // A late tick starts a full period, so that a pause is not followed by a burst of work.
        self.due = now + self.period;
        true
    }
}
