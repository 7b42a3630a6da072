//! Time as an interface, so that every decision can be tested without waiting.

use std::{
    fmt::Debug,
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and wall-clock time.
pub trait ClockSource: Debug + Send + Sync {
    /// Monotonic time; used for every timeout, lifetime and rate.
    fn now(&self) -> Instant;

    /// Wall-clock time; used only in reports and logs.
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

/// A clock that moves only when it is told to; a test double.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at an arbitrary instant.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
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
