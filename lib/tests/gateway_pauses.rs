//! Tests of the detection of pauses of the own process.

use std::time::{Duration, Instant};

use snipepond::gateway::PauseDetector;

const TICK: Duration = Duration::from_millis(500);

/// Guards against upstreams that count as failed because this process was frozen: the time limits of
/// its requests are over when it wakes, before or after its timer has run again.
#[test]
fn pause_is_seen_before_and_after_the_next_tick() {
    let started = Instant::now();
    let pauses = PauseDetector::new(started);
    let mut now = started;
    for _ in 0..10 {
        now += TICK;
        pauses.record_tick(now);
    }
    assert!(!pauses.was_paused(started, now + TICK), "a process that ran all the time");
    let dispatched = now;
    let woken = now + 6 * TICK;
    assert!(pauses.was_paused(dispatched, woken));
    pauses.record_tick(woken);
    assert!(pauses.was_paused(dispatched, woken));
    assert!(!pauses.was_paused(woken + TICK / 5, woken + TICK), "a request sent after the pause");
}
