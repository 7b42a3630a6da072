//! Outcomes of requests that hosts send each other. All time is simulated.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    gateway::{AttemptEnd, OutcomeCount, OutcomeLog, PickRequest, UpstreamRecord, UpstreamSet},
    names::{CentreName, HostName, ServiceName, UpstreamName},
};

const MS: Duration = Duration::from_millis(1);

fn host(index: usize) -> HostName {
    HostName::new(&format!("h{index}"))
}

/// Guards against outcomes that count twice because a host receives them more than once, and
/// against outcomes that are ignored after a restart of their sender, whose slots start at 0 again.
#[test]
fn an_outcome_is_counted_once() {
    let start = Instant::now();
    let upstream = UpstreamName::new("e1");
    let mut sender = OutcomeLog::new(start);
    let mut receiver = OutcomeLog::new(start);
    sender.record(start, &upstream, true);
    sender.record(start, &upstream, false);
    assert!(sender.slots_to_send(start + 200 * MS).is_empty(), "the slot has not ended");
    sender.record(start + 300 * MS, &upstream, false);
    let slots = sender.slots_to_send(start + 400 * MS);
    let first = receiver.merge_slots(&host(1), 7, &slots);
    assert_eq!(first[&upstream], OutcomeCount { complete: 1, failed: 1 });
    assert!(receiver.merge_slots(&host(1), 7, &slots).is_empty());
    let slots = sender.slots_to_send(start + 600 * MS);
    let second = receiver.merge_slots(&host(1), 7, &slots);
    assert_eq!(second[&upstream], OutcomeCount { complete: 0, failed: 1 });
    // A restarted process numbers its slots from 0 again.
    let mut restarted = OutcomeLog::new(start + 3_000 * MS);
    restarted.record(start + 3_000 * MS, &upstream, false);
    let slots = restarted.slots_to_send(start + 3_300 * MS);
    assert_eq!(receiver.merge_slots(&host(1), 8, &slots).len(), 1);
    // Old slots are not sent.
    assert!(sender.slots_to_send(start + 20_000 * MS).is_empty());
}

fn record(index: usize) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new(&format!("e{index}")),
        service: ServiceName::new("chat"),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        data_centre: CentreName::new("a"),
        slots: 64,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation: 1,
    }
}

/// Returns the number of requests that an upstream which fails half of them receives from 22 hosts,
/// as a share of the mean over all upstreams; `exchanges_outcomes` lets the hosts exchange
/// outcomes.
fn share_of_a_failing_upstream(exchanges_outcomes: bool) -> f64 {
    const HOSTS: usize = 22;
    const UPSTREAMS: usize = 60;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let service = ServiceName::new("chat");
    let failing = record(7).name;
    let mut hosts: Vec<(UpstreamSet, OutcomeLog)> = (0..HOSTS)
        .map(|it| {
            let mut set = UpstreamSet::new(host(it), CentreName::new("a"));
            set.replace_all(start, (0..UPSTREAMS).map(record).collect());
            (set, OutcomeLog::new(start))
        })
        .collect();
    let (mut requests, mut hits) = (0, 0);
    // Each host serves five requests a second for two minutes.
    for round in 0..240_u32 {
        let now = start + 500 * MS * round;
        for index in 0..HOSTS {
            let (set, log) = &mut hosts[index];
            for _ in 0..rng.random_range(2..=3) {
                let request = PickRequest {
                    service: &service,
                    affinity: Some(rng.random()),
                    tried: &[],
                    has_cold_limit: false,
                    prefers_local: false,
                };
                let name = set.pick(now, &request, |_| 0.0).unwrap().name;
                let is_failed = name == failing && rng.random_bool(0.5);
                set.request_started(&name);
                let end = if is_failed { AttemptEnd::Lost } else { AttemptEnd::Complete };
                set.request_ended(now, &name, end);
                log.record(now, &name, !is_failed);
                requests += 1;
                hits += u32::from(name == failing);
            }
            let peer = rng.random_range(0..HOSTS);
            if !exchanges_outcomes || peer == index {
                continue;
            }
            for (from, to) in [(index, peer), (peer, index)] {
                let slots = hosts[from].1.slots_to_send(now);
                let (set, log) = &mut hosts[to];
                for (upstream, count) in log.merge_slots(&host(from), 1, &slots) {
                    set.merge_outcomes(now, &upstream, count);
                }
            }
        }
    }
    f64::from(hits) / f64::from(requests) * UPSTREAMS as f64
}

/// Guards against an upstream that fails half of its requests and keeps receiving its full share,
/// because each of many hosts sends it a request only every twelve seconds.
#[test]
fn hosts_avoid_an_upstream_that_fails_the_requests_of_others() {
    let (without_sharing, with_sharing) =
        (share_of_a_failing_upstream(false), share_of_a_failing_upstream(true));
    println!(
        "share of the mean: {without_sharing:.2} without outcomes of others, {with_sharing:.2} with them"
    );
    assert!(
        with_sharing < 0.5,
        "{with_sharing:.2} of the mean, {without_sharing:.2} without outcomes of others"
    );
}
