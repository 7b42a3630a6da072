//! Clocks behind a trait, so that tests of decisions need not wait.

use std::{
    fmt::Debug,
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and wall-clock time.
pub trait ClockSource: Debug + Send + Sync {
    /// Returns the monotonic time, which is used for all timeouts, lifetimes and rates.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which is used only in reports and logs.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that advances only through [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock with an arbitrary monotonic time and the Unix epoch as wall-clock time.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances both times by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock is never poisoned") += step;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.start + *self.elapsed.lock().expect("clock lock is never poisoned")
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.elapsed.lock().expect("clock lock is never poisoned")
    }
}
