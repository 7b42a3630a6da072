//! Picks of upstreams, and which upstreams take new requests. All time is simulated.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use snipepond::{
    gateway::{
        AttemptEnd, HostCounts, InFlightScope, LoadSample, PickReason, PickRefusal, PickRequest,
        ReportedLoad, SourceState, UpstreamPick, UpstreamRecord, UpstreamSet,
    },
    names::{CentreName, HostName, ServiceName, UpstreamName},
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn record(index: usize, service: &str, centre: &str) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new(&format!("{service}-{index}")),
        service: ServiceName::new(service),
        address: format!("10.0.{}.{}:80", index / 250, index % 250).parse().unwrap(),
        data_centre: CentreName::new(centre),
        slots: 64,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation: 1,
    }
}

fn set(now: Instant, count: usize) -> UpstreamSet {
    let mut set = UpstreamSet::new(HostName::new("h1"), CentreName::new("a"));
    set.replace_all(now, (0..count).map(|it| record(it, "chat", centre_name(it))).collect());
    set
}

fn centre_name(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "a" } else { "b" }
}

fn pick_with(
    set: &mut UpstreamSet,
    now: Instant,
    affinity: Option<u64>,
    tried: &[UpstreamName],
) -> Result<UpstreamPick, PickRefusal> {
    let service = ServiceName::new("chat");
    let request = PickRequest {
        service: &service,
        affinity,
        tried,
        has_cold_limit: true,
        prefers_local: false,
    };
    set.pick(now, &request, |_| 2.0)
}

fn pick(set: &mut UpstreamSet, now: Instant, affinity: u64) -> UpstreamPick {
    pick_with(set, now, Some(affinity), &[]).unwrap()
}

/// Guards against lost prompt caching: hosts pick different engines for a prompt, or one host picks
/// another engine later.
#[test]
fn a_prompt_goes_to_the_same_engine_on_every_host() {
    let now = Instant::now();
    let mut first = set(now, 9);
    let mut second = UpstreamSet::new(HostName::new("h2"), CentreName::new("b"));
    // The second host reads the entries in reverse order.
    for index in (0..9).rev() {
        let centre = if index % 2 == 0 { "a" } else { "b" };
        second.publish(now, record(index, "chat", centre));
    }
    for key in 0..200 {
        let pick = pick(&mut first, now, key);
        assert_eq!(pick.name, self::pick(&mut second, now + SECOND, key).name);
        assert_eq!((pick.reason, pick.rank), (PickReason::Affinity, 0));
    }
}

/// Guards against prompt affinity that loads an engine beyond twice the mean plus three requests.
#[test]
fn a_hot_prompt_stays_within_the_load_bound() {
    let now = Instant::now();
    let mut set = set(now, 9);
    for index in 0..400_u64 {
        // One request in two is about the same prompt.
        let key = if index % 2 == 0 { 7 } else { index };
        let pick = pick(&mut set, now, key);
        assert!(pick.load <= 2.0 * pick.mean + 3.0, "{pick:?}");
        set.request_started(&pick.name);
    }
}

/// Guards against prompt affinity for an engine that other hosts have filled: its load reports show
/// more requests than this host has sent.
#[test]
fn reported_load_of_other_hosts_counts() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let first = pick(&mut set, now, 7).name;
    for index in 0..9 {
        let name = UpstreamName::new(&format!("chat-{index}"));
        let running = if name == first { 40 } else { 4 };
        set.record_load(now, &name, ReportedLoad { running, ..ReportedLoad::default() });
    }
    assert_ne!(pick(&mut set, now, 7).name, first);
    // The weight of the reports has decayed.
    assert_eq!(pick(&mut set, now + 30 * SECOND, 7).name, first);
}

/// Guards against an engine over the load bound in a deployment of many hosts, where each host
/// sends it requests, and so receives its load reports, too seldom.
#[test]
fn a_report_of_another_host_counts_if_it_is_newer() {
    let now = Instant::now();
    let (mut first, mut second) = (set(now, 9), set(now, 9));
    let name = pick(&mut first, now, 7).name;
    for index in 0..9 {
        let each = UpstreamName::new(&format!("chat-{index}"));
        first.record_load(now, &each, ReportedLoad { running: 4, ..ReportedLoad::default() });
        let running = if each == name { 40 } else { 4 };
        second.record_load(
            now + SECOND,
            &each,
            ReportedLoad { running, ..ReportedLoad::default() },
        );
    }
    let later = now + SECOND + 500 * MS;
    let samples = second.recent_loads(later);
    assert_eq!(samples.len(), 9);
    samples.iter().for_each(|it| first.merge_load(later, it));
    assert_ne!(pick(&mut first, later, 7).name, name);
    // An older report must not replace the newer one.
    let old = LoadSample { upstream: name.clone(), requests: 0, age_ms: 1_400 };
    first.merge_load(later, &old);
    assert_ne!(pick(&mut first, later, 7).name, name);
    assert!(second.recent_loads(now + 10 * SECOND).is_empty());
}

/// Guards against requests of other hosts that are counted twice or forgotten: a host reports again,
/// a relay adds up its group, and a host is no longer heard of.
#[test]
fn requests_that_other_hosts_report_count_until_they_report_again() {
    let now = Instant::now();
    let mut set = set(now, 3);
    let name = pick(&mut set, now, 7).name;
    let host = |name: &str| HostName::new(name);
    let counts = |count: u32| vec![(name.clone(), count)];
    let load = |set: &mut UpstreamSet, now: Instant| {
        let others: Vec<UpstreamName> = (0..3)
            .map(|it| UpstreamName::new(&format!("chat-{it}")))
            .filter(|it| *it != name)
            .collect();
        pick_with(set, now, Some(7), &others).unwrap().load
    };
    set.merge_in_flight(now, &host("h2"), InFlightScope::Host, 10 * MS, counts(5));
    set.merge_in_flight(now, &host("h3"), InFlightScope::Group, 10 * MS, counts(40));
    assert_eq!(load(&mut set, now), 45.0);
    set.merge_in_flight(now, &host("h2"), InFlightScope::Host, 10 * MS, counts(2));
    set.request_started(&name);
    assert_eq!(load(&mut set, now), 43.0);
    assert_eq!(set.in_flight(now, InFlightScope::Host, &host("h2")).counts, counts(1));
    assert_eq!(set.in_flight(now, InFlightScope::Group, &host("h3")).counts, counts(3));
    assert_eq!(set.in_flight(now, InFlightScope::Others, &host("h2")).counts, counts(41));
    // The relay was lost, and another one knows the requests of all hosts.
    let later = now + 2 * SECOND;
    set.merge_in_flight(later, &host("h2"), InFlightScope::Host, 10 * MS, counts(4));
    assert_eq!(load(&mut set, later), 5.0);
    set.merge_in_flight(later, &host("h4"), InFlightScope::Others, 10 * MS, counts(30));
    assert_eq!(load(&mut set, later), 31.0);
    // Without reports the load is estimated as before.
    assert_eq!(load(&mut set, later + SECOND), 1.0);
}

/// Guards against the requests of a few hosts that are taken for the load of an engine, because the
/// others have not begun to report.
#[test]
fn reports_of_few_hosts_are_not_taken_for_the_load() {
    let now = Instant::now();
    let mut set = set(now, 1);
    set.set_live_hosts(10);
    let host = |name: &str| HostName::new(name);
    let report = |hosts: usize, count: u32| HostCounts {
        hosts,
        counts: vec![(UpstreamName::new("chat-0"), count)],
    };
    let lag = 10 * MS;
    let load = |set: &mut UpstreamSet, now: Instant| pick(set, now, 7).load;
    set.merge_counts(now, &host("h2"), InFlightScope::Others, lag, report(7, 40));
    assert_eq!(load(&mut set, now), 0.0);
    set.merge_counts(now, &host("h2"), InFlightScope::Others, lag, report(9, 50));
    assert_eq!(load(&mut set, now), 50.0);
    // In the next exchange, all of them have to report once more.
    let later = now + 3 * SECOND;
    set.merge_counts(later, &host("h3"), InFlightScope::Host, lag, report(1, 5));
    assert_eq!(load(&mut set, later), 0.0);
}

/// Guards against hosts that report to each other although enough engines are open, and against
/// those that do not while few are.
#[test]
fn few_engines_are_open_while_half_of_them_are_closed() {
    let now = Instant::now();
    let mut set = set(now, 8);
    assert!(!set.has_few_open(now));
    set.publish(now, UpstreamRecord { is_leaving: true, ..record(0, "chat", "a") });
    assert!(!set.has_few_open(now));
    set.set_closed(&CentreName::new("b"), true);
    assert!(set.has_few_open(now));
    set.set_closed(&CentreName::new("b"), false);
    assert!(!set.has_few_open(now));
}

/// Guards against hosts that all choose the same engine because they know the same loads.
#[test]
fn hosts_with_the_same_knowledge_spread_their_requests() {
    let now = Instant::now();
    let mut chosen: BTreeMap<UpstreamName, u32> = BTreeMap::new();
    for host in 0..40 {
        let mut set = UpstreamSet::new(HostName::new(&format!("h{host}")), CentreName::new("a"));
        set.replace_all(now, (0..4).map(|it| record(it, "chat", "b")).collect());
        set.set_host_count(40);
        let counts = (0..4).map(|it| (UpstreamName::new(&format!("chat-{it}")), 30 + it));
        let source = HostName::new("relay");
        let (scope, lag) = (InFlightScope::Others, 100 * MS);
        set.merge_in_flight(now, &source, scope, lag, counts.collect());
        for _ in 0..20 {
            let pick = pick_with(&mut set, now, None, &[]).unwrap();
            assert_eq!(pick.reason, PickReason::LeastLoaded);
            *chosen.entry(pick.name).or_default() += 1;
        }
    }
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    assert!(chosen.values().all(|it| (100..300).contains(it)), "{chosen:?}");
}

/// Guards against requests to engines that are leaving, were removed, or are in a closed data
/// centre.
#[test]
fn upstreams_that_take_no_new_work_get_none() {
    let now = Instant::now();
    let mut set = set(now, 3);
    let first = pick(&mut set, now, 7).name;
    let index: usize = first.as_str()["chat-".len()..].parse().unwrap();
    let centre = if index.is_multiple_of(2) { "a" } else { "b" };
    set.publish(now, UpstreamRecord { is_leaving: true, ..record(index, "chat", centre) });
    assert_ne!(pick(&mut set, now, 7).name, first);
    set.set_closed(&CentreName::new("a"), true);
    set.set_closed(&CentreName::new("b"), true);
    assert_eq!(pick_with(&mut set, now, Some(7), &[]), Err(PickRefusal::NoneEligible));
    set.replace_closed([]);
    let second = pick(&mut set, now, 7).name;
    set.withdraw(now, &second);
    assert_ne!(pick(&mut set, now + SECOND, 7).name, second);
    assert_ne!(pick(&mut set, now + SECOND, 7).name, first);
}

/// Guards against an outage of the platform that takes all engines out of use: leases expire while
/// it is down, and the entries are published again within two seconds of its return.
#[test]
fn entries_that_expire_together_around_an_outage_are_kept() {
    let now = Instant::now();
    let mut set = set(now, 9);
    set.platform_failed();
    let back = now + 5 * SECOND;
    set.platform_responded(SourceState { last_response: Some(back), last_recovery: Some(back) });
    for index in 0..9 {
        set.withdraw(back + 100 * MS, &UpstreamName::new(&format!("chat-{index}")));
    }
    assert!(pick_with(&mut set, back + 2 * SECOND, Some(7), &[]).is_ok());
    // Entries that are not published again by then are removed.
    set.publish(back + 2 * SECOND, record(4, "chat", "a"));
    for key in 0..20 {
        assert_eq!(pick(&mut set, back + 3 * SECOND, key).name.as_str(), "chat-4");
    }
}

/// Guards against requests to an engine that left unannounced just after an outage: a single entry
/// that is removed does not count as an expired lease, and its removal must not be delayed.
#[test]
fn a_single_entry_that_vanishes_after_an_outage_is_gone() {
    let now = Instant::now();
    let mut set = set(now, 9);
    set.platform_failed();
    set.platform_responded(SourceState { last_response: Some(now), last_recovery: Some(now) });
    let name = pick(&mut set, now, 7).name;
    set.withdraw(now + 100 * MS, &name);
    assert_ne!(pick(&mut set, now + SECOND, 7).name, name);
}

/// Guards against a cold engine that receives more than this host's share of its allowance.
#[test]
fn a_cold_upstream_gets_its_allowance_and_others_the_rest() {
    let now = Instant::now();
    let mut set = set(now, 2);
    let name = pick(&mut set, now, 7).name;
    set.set_cold_until(now, &name, now + 3 * SECOND);
    let mut sent = 0;
    for step in 0..1_000_u32 {
        sent += u32::from(pick(&mut set, now + step * MS, 7).name == name);
    }
    // Two per second, and at most one accumulated token.
    assert!((1..=3).contains(&sent), "{sent}");
    let other = pick(&mut set, now, 7).name;
    assert_ne!(other, name);
    let alone = pick_with(&mut set, now + SECOND, Some(7), &[other]);
    assert!(alone.is_err() || alone.unwrap().name == name);
    assert_eq!(pick(&mut set, now + 4 * SECOND, 7).name, name, "no longer cold");
}

/// Guards against requests to a data centre behind a partition: one connection attempt that times
/// out ejects all its upstreams until they are probed.
#[test]
fn an_unreachable_data_centre_gets_no_requests_until_probes_succeed() {
    let now = Instant::now();
    let mut set = set(now, 6);
    let lost = UpstreamName::new("chat-1");
    let ejected = set.eject(&lost, true);
    assert_eq!(ejected.len(), 3, "all of data centre b");
    assert!(set.eject(&lost, true).is_empty(), "each upstream is probed by one task only");
    for key in 0..50 {
        let index: usize = pick(&mut set, now, key).name.as_str()["chat-".len()..].parse().unwrap();
        assert!(index.is_multiple_of(2));
    }
    ejected.iter().for_each(|it| set.mark_reachable(&it.name));
    assert!((0..50).any(|key| pick(&mut set, now, key).name == lost));
}

/// Guards against prompt affinity for an engine that fails half of its requests, against one that
/// is never tried again, and against avoiding engines when all of them fail alike.
#[test]
fn an_upstream_that_fails_more_than_the_others_is_avoided_for_a_while() {
    let now = Instant::now();
    let mut set = set(now, 4);
    let name = pick(&mut set, now, 7).name;
    for index in 0..12 {
        set.request_started(&name);
        let end = if index % 2 == 0 { AttemptEnd::Failed } else { AttemptEnd::Complete };
        set.request_ended(now, &name, end);
    }
    assert_ne!(pick(&mut set, now, 7).name, name);
    assert_eq!(pick(&mut set, now + 20 * SECOND, 7).name, name, "tried again");
    // Failures of all upstreams alike are no evidence against one of them.
    for index in 0..4 {
        let each = UpstreamName::new(&format!("chat-{index}"));
        for _ in 0..12 {
            set.request_started(&each);
            set.request_ended(now + 20 * SECOND, &each, AttemptEnd::Failed);
        }
    }
    assert_eq!(pick(&mut set, now + 20 * SECOND, 7).name, name);
}

/// Guards against traffic between data centres while local upstreams have free slots, and against
/// a queue at the local ones while remote ones are idle.
#[test]
fn requests_without_a_prompt_prefer_the_local_data_centre_until_it_is_half_full() {
    let now = Instant::now();
    let mut set = UpstreamSet::new(HostName::new("h1"), CentreName::new("a"));
    for (index, centre) in ["a", "b"].into_iter().enumerate() {
        set.publish(now, UpstreamRecord { slots: 6, ..record(index, "chat", centre) });
    }
    for _ in 0..3 {
        let pick = pick_with(&mut set, now, None, &[]).unwrap();
        assert_eq!(pick.name.as_str(), "chat-0");
        set.request_started(&pick.name);
    }
    assert_eq!(pick_with(&mut set, now, None, &[]).unwrap().name.as_str(), "chat-1");
}

/// Guards against a restarted upstream that inherits the ejection or cold start of its previous
/// incarnation.
#[test]
fn a_restarted_upstream_inherits_no_ejection_or_cold_start() {
    let now = Instant::now();
    let mut set = set(now, 2);
    let name = UpstreamName::new("chat-0");
    set.eject(&name, false);
    set.set_cold_until(now, &name, now + 60 * SECOND);
    set.publish(now, UpstreamRecord { incarnation: 2, ..record(0, "chat", "a") });
    assert!((0..20).any(|key| pick(&mut set, now, key).name == name));
}

/// Guards against state that is kept for every upstream that was ever published.
#[test]
fn state_of_upstreams_removed_long_ago_is_dropped() {
    let start = Instant::now();
    let mut set = set(start, 3);
    for index in 3..500 {
        set.publish(start, record(index, "chat", "a"));
        set.withdraw(start, &UpstreamName::new(&format!("chat-{index}")));
    }
    let running = UpstreamName::new("chat-400");
    set.request_started(&running);
    set.expire(start + 20 * SECOND);
    assert_eq!(set.len(), 500, "peers may still refer to a recently removed upstream");
    set.expire(start + 40 * SECOND);
    assert_eq!(set.len(), 4, "one of them has a request in flight");
    set.request_ended(start + 40 * SECOND, &running, AttemptEnd::Complete);
    set.expire(start + 41 * SECOND);
    assert_eq!(set.len(), 3);
    assert!(pick_with(&mut set, start + 41 * SECOND, Some(1), &[]).is_ok());
}

fn holder(pick: &UpstreamPick) -> Option<&str> {
    pick.prompt_holder.as_ref().map(|it| it.name.as_str())
}

/// Guards against overload of the remaining engines while most engines take no new requests. These
/// count in the mean of the load bound, so the hot prompts have to be spread evenly over the
/// others.
#[test]
fn the_load_bound_counts_upstreams_that_take_no_work() {
    let now = Instant::now();
    let mut set = set(now, 9);
    set.set_closed(&CentreName::new("a"), true);
    set.publish(now, UpstreamRecord { is_leaving: true, ..record(1, "chat", "b") });
    let mut loads: BTreeMap<UpstreamName, u32> = BTreeMap::new();
    for index in 0..300_u64 {
        let key = if index % 2 == 0 { 7 } else { index };
        let name = pick(&mut set, now, key).name;
        let load = loads.entry(name.clone()).or_default();
        // Three of nine take requests, so an even load is three times the mean.
        let mean = index as f64 / 9.0;
        assert!(f64::from(*load) <= 3.0 * mean + 3.0, "{load} requests at {name}, mean {mean}");
        *load += 1;
        set.request_started(&name);
    }
    let most = loads.values().max().unwrap();
    assert!(*most <= 103, "an even load has 100: {loads:?}");
}

/// Guards against prompts that are computed again although an upstream has them cached: when the
/// first in rendezvous order is overloaded, is leaving, or was just published.
#[test]
fn a_pick_names_the_upstream_that_holds_the_prompt() {
    let start = Instant::now();
    let mut set = set(start, 5);
    let home = pick(&mut set, start, 7).name;
    run_timer(&mut set, start, start + 10 * SECOND);
    // Overloaded: the next one in the order copies the prompt from it.
    for _ in 0..20 {
        set.request_started(&home);
    }
    let other = pick(&mut set, start, 7);
    assert_ne!(other.name, home);
    assert_eq!(holder(&other), Some(home.as_str()));
    for _ in 0..20 {
        set.request_ended(start, &home, AttemptEnd::Complete);
    }
    // Leaving: it takes no new requests, but still has the prompt cached.
    let index: usize = home.as_str().strip_prefix("chat-").unwrap().parse().unwrap();
    let leaving = UpstreamRecord { is_leaving: true, ..record(index, "chat", "a") };
    set.publish(start, leaving.clone());
    let successor = pick(&mut set, start, 7);
    assert_ne!(successor.name, home);
    assert_eq!(holder(&successor), Some(home.as_str()));
    // Ejected, or no longer published: nothing can be copied from it.
    set.eject(&home, false);
    assert_ne!(holder(&pick(&mut set, start, 7)), Some(home.as_str()));
    set.mark_reachable(&home);
    set.withdraw(start, &home);
    assert_ne!(holder(&pick(&mut set, start, 7)), Some(home.as_str()));
    // Restarted: it is the first again with an empty cache, and the successor has the prompt.
    let later = start + 10 * SECOND;
    set.publish(later, UpstreamRecord { incarnation: 2, is_leaving: false, ..leaving });
    let back = pick(&mut set, later, 7);
    assert_eq!(back.name, home);
    assert_eq!(holder(&back), Some(successor.name.as_str()));
    // It counts as the holder for another upstream only after it was open to picks for some time.
    for _ in 0..20 {
        set.request_started(&home);
    }
    for seconds in [0, 5] {
        run_timer(&mut set, later, later + seconds * SECOND);
        let other = pick(&mut set, later + seconds * SECOND, 7);
        assert_ne!(holder(&other), Some(home.as_str()), "after {seconds} s");
    }
    run_timer(&mut set, later + 5 * SECOND, later + 9 * SECOND);
    assert_eq!(holder(&pick(&mut set, later + 9 * SECOND, 7)), Some(home.as_str()));
}

/// Guards against a prompt that is computed again after a data centre opens: its engines rank first
/// for a part of the prompts, but were closed while these were computed elsewhere.
#[test]
fn upstream_that_was_closed_so_far_holds_no_prompt() {
    let start = Instant::now();
    let mut set = set(start, 8);
    let first = pick(&mut set, start, 7).name;
    let centre = centre_of(&first);
    set.set_closed(&centre, true);
    let successor = pick(&mut set, start, 7).name;
    run_timer(&mut set, start, start + 12 * SECOND);
    set.set_closed(&centre, false);
    let now = start + 12 * SECOND;
    for _ in 0..20 {
        set.request_started(&first);
    }
    // The first is overloaded, so the second is picked, which was closed too.
    let second = pick(&mut set, now, 7);
    assert!(second.name != first && second.name != successor, "{second:?}");
    assert_eq!(holder(&second), Some(successor.as_str()));
    for _ in 0..20 {
        set.request_ended(now, &first, AttemptEnd::Complete);
    }
    let back = pick(&mut set, now, 7);
    assert_eq!((back.name.as_str(), holder(&back)), (first.as_str(), Some(successor.as_str())));
}

/// Calls the timer of the set as the gateway does.
fn run_timer(set: &mut UpstreamSet, from: Instant, until: Instant) {
    let mut now = from;
    while now <= until {
        set.expire(now);
        now += SECOND / 2;
    }
}

fn centre_of(name: &UpstreamName) -> CentreName {
    let index: usize = name.as_str().strip_prefix("chat-").unwrap().parse().unwrap();
    CentreName::new(centre_name(index))
}

/// Guards against a prompt holder for a request that has no prompt.
#[test]
fn a_request_without_a_prompt_has_no_holder() {
    let now = Instant::now();
    let mut set = set(now, 3);
    assert_eq!(pick_with(&mut set, now, None, &[]).unwrap().prompt_holder, None);
}

/// Guards against work per upstream that grows with the number of upstreams. An index that is
/// rebuilt for each upstream takes minutes here.
#[test]
fn a_large_fleet_is_listed_and_served() {
    let now = Instant::now();
    let mut set = set(now, 20_000);
    assert_eq!(set.len(), 20_000);
    let names: HashSet<UpstreamName> = (0..20).map(|it| pick(&mut set, now, it).name).collect();
    assert!(names.len() > 15, "{names:?}");
}

/// Load: one prompt that is asked for more than its engine can carry. Guards against requests that
/// wait at a full engine, or are rejected by it, while others have room.
#[test]
fn a_full_engine_is_passed_over_while_another_has_room() {
    let now = Instant::now();
    let mut set = set(now, 3);
    let first = pick(&mut set, now, 7).name;
    for index in 0..3 {
        let name = UpstreamName::new(&format!("chat-{index}"));
        let (running, waiting) = if name == first { (64, 20) } else { (55, 0) };
        let load = ReportedLoad { running, waiting, slots: Some(64), pace_percent: None };
        set.record_load(now, &name, load);
    }
    assert_ne!(pick(&mut set, now, 7).name, first);
}

/// Load: engines that reject. Guards against a room that counts slots for which an engine has no
/// memory, and against a report that takes an engine out for good.
#[test]
fn the_room_of_a_service_follows_the_reports() {
    let now = Instant::now();
    let mut set = set(now, 2);
    let service = ServiceName::new("chat");
    assert_eq!(set.service_room(now, &service), None);
    let mut report = |index: usize, running, waiting| {
        let name = UpstreamName::new(&format!("chat-{index}"));
        let load = ReportedLoad { running, waiting, slots: Some(64), pace_percent: None };
        set.record_load(now, &name, load);
        set.service_room(now, &service).unwrap()
    };
    let idle = report(0, 10, 0);
    assert!(idle.places >= 128.0 && idle.in_flight == 10.0, "{idle:?}");
    // A request that waits while its prompt is read says nothing of the room.
    assert_eq!(report(0, 3, 1).places, idle.places);
    // It runs 40 while many wait, so that it has no room for more.
    let full = report(0, 40, 12);
    assert!(full.places < idle.places - 20.0 && full.in_flight == 52.0, "{full:?}");
    let silly = report(1, 0, 9);
    assert!(silly.places >= 41.0);
    let later = set.service_room(now + 30 * SECOND, &service).unwrap();
    assert!(later.places >= 127.0, "{later:?}");
}

/// Load: a host that is busy itself. Guards against a service that counts as full because responses
/// wait at this host, while its engines report that they are nearly idle.
#[test]
fn requests_that_wait_at_a_busy_host_do_not_use_up_the_room() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let service = ServiceName::new("chat");
    for index in 0..9 {
        let name = UpstreamName::new(&format!("chat-{index}"));
        (0..20).for_each(|_| set.request_started(&name));
        set.record_load(now, &name, ReportedLoad { running: 1, ..ReportedLoad::default() });
    }
    assert_eq!(set.service_room(now, &service).unwrap().in_flight, 9.0);
    // An old report says nothing of the requests that were sent since.
    assert!(set.service_room(now + SECOND, &service).unwrap().in_flight >= 180.0);
}
