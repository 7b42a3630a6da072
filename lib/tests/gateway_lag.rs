//! Which host a host that is behind requests changes from. All time is simulated.

use std::time::{Duration, Instant};

use snipepond::{
    gateway::{LagTracker, MemberRecord, StorePosition},
    names::{CentreName, HostName},
};

const MS: Duration = Duration::from_millis(1);

fn record(host: &str) -> MemberRecord {
    MemberRecord {
        host: HostName::new(host),
        centre: CentreName::new("b"),
        address: "10.0.0.1:9000".parse().unwrap(),
        incarnation: 1,
        heartbeat: 1,
        bandwidth: 100,
    }
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

/// Guards against a host that never requests a change from another data centre, because each digest
/// of a neighbour that is as late makes it forget who is ahead: all hosts of a data centre are late
/// together when their relays are frozen.
#[test]
fn digest_of_a_late_neighbour_does_not_hide_who_is_ahead() {
    let start = Instant::now();
    let mut lag = LagTracker::default();
    lag.record(start, at(5), &record("far"), at(9));
    for step in 1..=4 {
        lag.record(start + step * 100 * MS, at(5), &record("near"), at(5));
    }
    let newer = lag.take_overdue(start + 400 * MS, at(5)).map(|it| it.host);
    assert_eq!(newer, Some(HostName::new("far")));
}

/// Guards against requests to other data centres for changes that a relay delivers in time, and
/// against one request after another to the same host.
#[test]
fn host_that_has_caught_up_requests_nothing() {
    let start = Instant::now();
    let mut lag = LagTracker::default();
    lag.record(start, at(5), &record("far"), at(9));
    assert_eq!(lag.take_overdue(start + 399 * MS, at(5)), None);
    assert_eq!(lag.take_overdue(start + 400 * MS, at(9)), None);
    // The time begins anew with the next change.
    lag.record(start + 500 * MS, at(9), &record("far"), at(12));
    assert_eq!(lag.take_overdue(start + 800 * MS, at(9)), None);
    assert!(lag.take_overdue(start + 900 * MS, at(9)).is_some());
    assert_eq!(lag.take_overdue(start + 900 * MS, at(9)), None);
}

/// Guards against a host that is asked although another one is ahead of it, and against a time that
/// begins anew with each change while this host stays behind.
#[test]
fn newest_host_is_asked_after_the_first_delay() {
    let start = Instant::now();
    let mut lag = LagTracker::default();
    lag.record(start, at(5), &record("first"), at(9));
    lag.record(start + 200 * MS, at(5), &record("newest"), StorePosition::new(2, 3));
    lag.record(start + 300 * MS, at(5), &record("third"), at(10));
    let newer = lag.take_overdue(start + 400 * MS, at(5)).map(|it| it.host);
    assert_eq!(newer, Some(HostName::new("newest")));
}
