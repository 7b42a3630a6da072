//! Detects that this process did not run for a while, so that it does not blame others for it.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Time between two calls of the timer from which the process counts as paused; the timer runs every
/// 500 ms.
const MIN_PAUSE: Duration = Duration::from_millis(900);

/// Pauses of this process, as a timer sees them.
///
/// After a pause the time limits of all requests in flight are over at once, although their upstreams
/// may have responded long ago.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Cell<Instant>,
    last_pause_end: Cell<Option<Instant>>,
}

impl PauseDetector {
    /// Creates a detector for a process that starts to run at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: Cell::new(now), last_pause_end: Cell::new(None) }
    }

    /// Records that the process runs at `now`; to be called on a timer.
    pub fn record_tick(&self, now: Instant) {
        if now.saturating_duration_since(self.last_tick.replace(now)) >= MIN_PAUSE {
            self.last_pause_end.set(Some(now));
        }
    }

    /// Returns whether the process was paused at any time from `since` to `now`.
    pub fn was_paused(&self, since: Instant, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick.get()) >= MIN_PAUSE
            || self.last_pause_end.get().is_some_and(|it| it >= since)
    }
}
