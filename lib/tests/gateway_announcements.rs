//! What upstreams say of themselves: that they leave, and that they want no requests for a time.
//! All time is simulated.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    gateway::{
        MAX_PAUSE, PickRefusal, PickRequest, SourceState, UpstreamPick, UpstreamProcess,
        UpstreamRecord, UpstreamSet,
    },
    names::{CentreName, HostName, ServiceName, UpstreamName},
};

const SECOND: Duration = Duration::from_secs(1);

fn record(index: usize, incarnation: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: name(index),
        service: ServiceName::new("chat"),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        data_centre: CentreName::new("a"),
        slots: 64,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation,
    }
}

fn name(index: usize) -> UpstreamName {
    UpstreamName::new(&format!("chat-{index}"))
}

fn process(index: usize, incarnation: u64) -> UpstreamProcess {
    UpstreamProcess { upstream: name(index), incarnation }
}

fn set(now: Instant, host: &str, count: usize) -> UpstreamSet {
    let mut set = UpstreamSet::new(HostName::new(host), CentreName::new("a"));
    set.replace_all(now, (0..count).map(|it| record(it, 1)).collect());
    set
}

fn pick(set: &mut UpstreamSet, now: Instant, affinity: u64) -> Result<UpstreamPick, PickRefusal> {
    let request = PickRequest {
        service: &ServiceName::new("chat"),
        affinity: Some(affinity),
        tried: &[],
        has_cold_limit: false,
        prefers_local: false,
    };
    set.pick(now, &request, |_| 1.0)
}

/// Returns whether any of many prompts goes to an upstream.
fn is_picked(set: &mut UpstreamSet, now: Instant, index: usize) -> bool {
    (0..100).any(|key| pick(set, now, key).is_ok_and(|it| it.name == name(index)))
}

/// Guards against requests to an upstream that said that it leaves, because the platform still or
/// again publishes it as ready, or is away; and against leaving out its next process.
#[test]
fn a_leaving_process_stays_out_until_the_next_one() {
    let now = Instant::now();
    let mut set = set(now, "h1", 4);
    assert!(is_picked(&mut set, now, 1));
    assert!(set.record_leaving(&process(1, 1)));
    assert!(!set.record_leaving(&process(1, 1)), "known already");
    assert!(!is_picked(&mut set, now, 1));
    set.publish(now, record(1, 1));
    set.replace_all(now, (0..4).map(|it| record(it, 1)).collect());
    assert!(!is_picked(&mut set, now, 1));
    set.platform_failed();
    set.withdraw(now, &name(1));
    set.withdraw(now, &name(2));
    set.platform_responded(SourceState { last_response: Some(now), last_recovery: Some(now) });
    set.publish(now + SECOND, record(1, 1));
    assert!(!is_picked(&mut set, now + SECOND, 1));
    // The same name, or another upstream at the address, with a new start.
    set.publish(now + SECOND, record(1, 2));
    assert!(is_picked(&mut set, now + SECOND, 1));
    assert!(!set.record_leaving(&process(1, 1)), "a late word of the process before");
    assert!(is_picked(&mut set, now + SECOND, 1));
}

/// Guards against refusing to serve when a message names a process that this host does not know,
/// and against hosts that never learn of a leaving upstream although some messages are lost.
#[test]
fn hosts_learn_of_a_leaving_upstream_from_each_other() {
    const HOSTS: usize = 88;
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(8);
    let mut sets: Vec<UpstreamSet> = (0..HOSTS).map(|it| set(now, &format!("h{it}"), 6)).collect();
    // Some hosts know the next process of upstream 2 already, and some do not know upstream 3 yet.
    sets.iter_mut().skip(70).for_each(|it| it.publish(now, record(2, 2)));
    sets.iter_mut().skip(80).for_each(|it| *it = set(now, "late", 3));
    for index in [1, 2, 3] {
        assert!(sets[index].record_leaving(&process(index, 1)));
    }
    for round in 0..24 {
        if round == 8 {
            sets.iter_mut().skip(80).for_each(|it| it.publish(now, record(3, 1)));
        }
        for host in 0..HOSTS {
            let peer = rng.random_range(0..HOSTS);
            for (from, to) in [(host, peer), (peer, host)] {
                let message = sets[from].leaving_to_send();
                if rng.random_bool(0.7) {
                    for leaving in &message {
                        sets[to].record_leaving(leaving);
                    }
                }
            }
        }
    }
    for (host, set) in sets.iter_mut().enumerate() {
        assert!(!is_picked(set, now, 1) && !is_picked(set, now, 3), "host {host}");
        assert_eq!(
            is_picked(set, now, 2),
            (70..80).contains(&host),
            "host {host}: the next process"
        );
        assert!(is_picked(set, now, 0), "host {host}");
    }
}

/// Guards against requests within a pause, also after the platform's list changed, and against a
/// pause that outlasts its process or its time.
#[test]
fn a_paused_upstream_is_left_alone_until_its_pause_ends() {
    let now = Instant::now();
    let mut set = set(now, "h1", 3);
    assert_eq!(set.record_pause(now, &process(1, 1), 8 * SECOND, 0.0), Some(8 * SECOND));
    // A shorter pause that arrives later does not end the first one.
    assert_eq!(set.record_pause(now, &process(1, 1), SECOND, 1.0), Some(8 * SECOND));
    let almost = now + 8 * SECOND - Duration::from_millis(1);
    for at in [now, almost] {
        assert!(set.is_paused(at, &name(1)) && !is_picked(&mut set, at, 1));
        set.publish(at, record(1, 1));
    }
    assert!(!set.is_paused(now + 8 * SECOND, &name(1)));
    assert!(is_picked(&mut set, now + 8 * SECOND, 1));
    set.record_pause(now, &process(2, 1), 60 * SECOND, 0.0);
    set.publish(now, record(2, 2));
    assert!(is_picked(&mut set, now, 2), "the next process has asked for no pause");
    assert_eq!(set.record_pause(now, &process(2, 1), SECOND, 0.0), None, "a late word");
    assert_eq!(set.record_pause(now, &process(9, 1), SECOND, 0.0), None, "an unknown upstream");
}

/// Guards against callers that wait for upstreams that all pause, or that come back before the
/// first of them returns.
#[test]
fn the_first_return_decides_when_all_pause() {
    let now = Instant::now();
    let mut set = set(now, "h1", 3);
    let service = ServiceName::new("chat");
    assert_eq!(set.earliest_return(now, &service), None);
    for (index, pause) in [(0, 9), (1, 4), (2, 6)] {
        assert!(pick(&mut set, now, 1).is_ok());
        set.record_pause(now, &process(index, 1), pause * SECOND, 0.0);
    }
    assert_eq!(pick(&mut set, now, 1), Err(PickRefusal::AllPaused));
    assert_eq!(set.earliest_return(now, &service), Some(4 * SECOND));
    // One that leaves does not come back.
    set.record_leaving(&process(1, 1));
    assert_eq!(set.earliest_return(now, &service), Some(6 * SECOND));
    assert!(pick(&mut set, now + 6 * SECOND, 1).is_ok());
    for index in 0..3 {
        set.record_leaving(&process(index, 1));
    }
    assert_eq!(pick(&mut set, now, 1), Err(PickRefusal::NoneEligible));
}

/// Guards against a pause without end, arithmetic that overflows, and hosts that all return in the
/// same moment.
#[test]
fn pauses_are_bounded_and_spread() {
    let now = Instant::now();
    let mut set = set(now, "h1", 1);
    let longest = set.record_pause(now, &process(0, 1), Duration::MAX, 1.0).unwrap();
    assert!((MAX_PAUSE..=MAX_PAUSE + SECOND).contains(&longest), "{longest:?}");
    let mut ends: Vec<Duration> = (0..20)
        .map(|it| {
            let mut set = UpstreamSet::new(HostName::new("h"), CentreName::new("a"));
            set.publish(now, record(0, 1));
            set.record_pause(now, &process(0, 1), 2 * SECOND, f64::from(it) / 20.0).unwrap()
        })
        .collect();
    assert!(ends.iter().all(|it| (2 * SECOND..=3 * SECOND).contains(it)), "{ends:?}");
    ends.dedup();
    assert_eq!(ends.len(), 20);
}
