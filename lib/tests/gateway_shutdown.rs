//! Tests of which requests a stopping host accepts.

use std::time::{Duration, Instant};

use snipepond::gateway::{LAST_RESPONSE_MARGIN, ShutdownTimes, ShutdownWindow};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against a stop that truncates responses under load: 3.6 s after a stop with a limit of
/// 8 s began, a host accepted a stream with a time limit of 12 s, and closed it midway. Requests
/// arrive every 10 ms until the end of the stop, and each takes all of its time.
#[test]
fn accepted_request_ends_before_the_process() {
    let started = Instant::now();
    for limit in [ms(0), ms(1_000), ms(7_700), ms(30_000)] {
        for drain_delay in [ms(0), ms(2_300), ms(9_000)] {
            let window = ShutdownWindow::new(started, &ShutdownTimes { drain_delay, limit });
            for timeout in [ms(0), ms(600), ms(3_000), ms(12_000)] {
                let mut accepted_late = 0;
                let arrivals = (0..limit.as_millis() as u64).step_by(10);
                for arrived in arrivals.map(|it| started + ms(it)) {
                    let expires_at = arrived + timeout;
                    let is_accepted = window.accepts(arrived, expires_at);
                    if arrived < started + drain_delay {
                        assert!(is_accepted, "a request within the drain delay is refused");
                    } else if is_accepted {
                        accepted_late += 1;
                        let last = expires_at + LAST_RESPONSE_MARGIN;
                        assert!(last <= window.end(), "a response is truncated");
                    }
                }
                let needed = drain_delay + timeout + LAST_RESPONSE_MARGIN;
                let room = limit.saturating_sub(needed);
                assert!(accepted_late >= room.as_millis() / 10, "a request that fits is refused");
            }
        }
    }
}
