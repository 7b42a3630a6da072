//! Cases in which a host must not act as the owner of a key, and the handover of its keys at a
//! planned stop.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use snipepond::{
    membership::{
        Heartbeat, HeartbeatReply, HostList, HostRecord, HostState, ViewTiming, ViewTracker,
    },
    names::HostName,
};

const KEYS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn record(name: &str) -> HostRecord {
    HostRecord {
        name: name.into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        data_centre: "c0".into(),
        state: HostState::Live,
    }
}

fn list(version: u64, names: &[&str]) -> HostList {
    HostList { version, hosts: names.iter().map(|it| record(it)).collect() }
}

fn tracker(name: &str, start: Instant) -> ViewTracker {
    ViewTracker::new(record(name), 1, ViewTiming::default(), start)
}

/// Applies the list every two seconds from `from` to `to`, both inclusive.
fn apply_lists(views: &mut ViewTracker, start: Instant, from: u32, to: u32, list: &HostList) {
    for at in (from..=to).step_by(2) {
        let now = start + seconds(at.into());
        views.apply_list(now, now, list);
    }
}

fn exchange_heartbeat(from: &mut ViewTracker, to: &mut ViewTracker, to_name: &str, now: Instant) {
    let reply = to.receive_heartbeat(now, &from.heartbeat(now));
    from.receive_reply(now, now, &to_name.into(), &reply);
}

fn owned_count(views: &ViewTracker, now: Instant) -> usize {
    KEYS.iter().filter(|it| views.owns(it, now)).count()
}

/// Guards against two owners of a key: a restarted process that acts although another host took
/// over its keys, and a host without a connection to the platform that acts on an old list.
#[test]
fn acts_only_on_uninterrupted_recent_evidence() {
    let start = Instant::now();
    let at = |time: f64| start + seconds(time);
    let mut views = tracker("h1", start);
    let hosts = list(1, &["h1", "h2"]);
    apply_lists(&mut views, start, 0, 16, &hosts);
    assert_eq!(owned_count(&views, at(16.9)), 0);
    apply_lists(&mut views, start, 18, 20, &hosts);
    assert!(owned_count(&views, at(20.0)) > 0);

    // Neither a tick nor a list from a stale replica counts as evidence.
    for time in 21..=27 {
        views.tick(at(time.into()));
        views.apply_list(at(time.into()), at(time.into()), &list(0, &["h1"]));
    }
    assert!(views.is_confirmed(at(25.9)));
    assert_eq!(owned_count(&views, at(26.1)), 0);

    // Another host may have taken over in the meantime, so the takeover wait starts anew.
    apply_lists(&mut views, start, 28, 44, &hosts);
    assert_eq!(owned_count(&views, at(44.9)), 0);
    apply_lists(&mut views, start, 46, 46, &hosts);
    assert!(owned_count(&views, at(46.0)) > 0);
}

/// Guards against a process that acts after a pause during which another host took over its
/// keys and gave them back.
#[test]
fn pause_discards_evidence() {
    let start = Instant::now();
    let at = |time: f64| start + seconds(time);
    let mut views = tracker("h1", start);
    let hosts = list(1, &["h1", "h2"]);
    apply_lists(&mut views, start, 0, 20, &hosts);
    assert!(owned_count(&views, at(20.0)) > 0);
    // `owns` must notice the pause by itself: no other call was made since.
    assert_eq!(owned_count(&views, at(60.0)), 0);
    // The response to a read that was started before the pause is old.
    views.apply_list(at(20.0), at(60.0), &hosts);
    assert!(!views.is_confirmed(at(60.0)));
    apply_lists(&mut views, start, 60, 76, &hosts);
    assert_eq!(owned_count(&views, at(76.9)), 0);
}

/// Guards against a host that acts although the list of the platform does not contain it.
#[test]
fn unlisted_host_owns_nothing() {
    let start = Instant::now();
    let mut views = tracker("h1", start);
    apply_lists(&mut views, start, 0, 20, &list(1, &["h1"]));
    let now = start + seconds(20.0);
    views.apply_list(now, now, &list(2, &["h2"]));
    assert!(!views.is_confirmed(now));
    assert_eq!(views.heartbeat(now).host.state, HostState::Leaving);
    assert_eq!(owned_count(&views, now), 0);
}

/// Guards against a takeover from a host that the list no longer contains but that still runs.
#[test]
fn host_reported_by_a_peer_stays_in_the_view() {
    let start = Instant::now();
    let mut views = tracker("h1", start);
    apply_lists(&mut views, start, 0, 20, &list(1, &["h1", "h2"]));
    let before = owned_count(&views, start + seconds(20.0));
    let only = list(2, &["h1"]);
    for time in (21..60).step_by(2) {
        let now = start + seconds(time.into());
        views.apply_list(now, now, &only);
        // A peer reports messages from h2; h1 itself receives none.
        let reply = HeartbeatReply {
            host: record("h3"),
            incarnation: 3,
            view_hash: 0,
            heard: vec![snipepond::membership::ReportedHost { host: record("h2"), incarnation: 2 }],
        };
        views.receive_reply(now, now, &"h3".into(), &reply);
        assert!(owned_count(&views, now) <= before);
    }
    // After 6 s without a message the view contains h1 only, and `takeover_wait` (17 s) later h1
    // owns all keys.
    apply_lists(&mut views, start, 60, 82, &only);
    assert!(owned_count(&views, start + seconds(82.0)) <= before);
    apply_lists(&mut views, start, 84, 84, &only);
    assert_eq!(owned_count(&views, start + seconds(84.0)), KEYS.len());
}

/// Guards against a platform outage that makes owners stop, and against a takeover from a peer
/// that is lost during the outage.
#[test]
fn peers_confirm_views_without_the_platform() {
    let start = Instant::now();
    let hosts = list(1, &["h1", "h2"]);
    let (mut one, mut two) = (tracker("h1", start), tracker("h2", start));
    for time in 0..60 {
        let now = start + seconds(time.into());
        if time <= 20 {
            one.apply_list(now, now, &hosts);
            two.apply_list(now, now, &hosts);
        }
        exchange_heartbeat(&mut one, &mut two, "h2", now);
        exchange_heartbeat(&mut two, &mut one, "h1", now);
        let total = owned_count(&one, now) + owned_count(&two, now);
        assert_eq!(total, if time <= 17 { 0 } else { KEYS.len() }, "at {time} s");
    }
    for time in 60..100 {
        one.tick(start + seconds(time.into()));
    }
    assert_eq!(owned_count(&one, start + seconds(99.0)), 0);
}

/// Guards against a planned stop after which its keys have no owner for a time, and against a
/// process that acts after its release.
#[test]
fn release_hands_over_without_a_wait() {
    let start = Instant::now();
    let hosts = list(1, &["h1", "h2"]);
    let (mut one, mut two) = (tracker("h1", start), tracker("h2", start));
    for time in 0..=20 {
        let now = start + seconds(time.into());
        one.apply_list(now, now, &hosts);
        two.apply_list(now, now, &hosts);
        exchange_heartbeat(&mut one, &mut two, "h2", now);
    }
    let now = start + seconds(20.5);
    let release = two.release();
    assert_eq!(owned_count(&two, now), 0);
    one.apply_release(now, &release.host, release.incarnation);
    assert_eq!(owned_count(&one, now), KEYS.len());
    // Without the platform the old list still contains h2; h1 must be able to act nevertheless.
    for time in 21..60 {
        one.tick(start + seconds(time.into()));
    }
    let now = start + seconds(60.0);
    assert_eq!(owned_count(&one, now), KEYS.len());
    // A delayed heartbeat of the released process must not end its exclusion.
    let late = Heartbeat { host: record("h2"), incarnation: release.incarnation, list_version: 1 };
    one.receive_heartbeat(now, &late);
    assert_eq!(owned_count(&one, now), KEYS.len());
    // The next process on the host is part of the view again.
    one.receive_heartbeat(now, &Heartbeat { incarnation: 2, ..late });
    assert!(owned_count(&one, now) < KEYS.len());
}

/// Guards against a late release of an earlier process that excludes the process now running on
/// the same host.
#[test]
fn release_without_a_recent_reply_is_ignored() {
    let start = Instant::now();
    let hosts = list(1, &["h1", "h2"]);
    let (mut one, mut two) = (tracker("h1", start), tracker("h2", start));
    apply_lists(&mut one, start, 0, 20, &hosts);
    let now = start + seconds(20.0);
    let release = two.release();
    assert!(!one.apply_release(now, &release.host, release.incarnation));
    assert!(owned_count(&one, now) < KEYS.len(), "h2 has never replied");
    exchange_heartbeat(&mut one, &mut two, "h2", now);
    apply_lists(&mut one, start, 22, 36, &hosts);
    let now = start + seconds(36.5);
    assert!(!one.apply_release(now, &release.host, release.incarnation));
    assert!(owned_count(&one, now) < KEYS.len(), "the last reply of h2 is too old");
    // The exclusion ends with the first list read that reflects a later state.
    let now = start + seconds(37.0);
    exchange_heartbeat(&mut one, &mut two, "h2", now);
    assert!(one.apply_release(now, &release.host, release.incarnation));
    let is_alone = |views: &ViewTracker| {
        let mut owners = KEYS.iter().filter_map(|it| views.owner(it));
        owners.all(|it| it.name.as_str() == "h1")
    };
    apply_lists(&mut one, start, 38, 46, &hosts);
    assert!(is_alone(&one));
    apply_lists(&mut one, start, 48, 48, &hosts);
    assert!(!is_alone(&one));
}

/// Guards against a cold allowance that this host divides by fewer hosts than another host does,
/// which may still use the replaced list.
#[test]
fn recent_host_sets_keep_replaced_lists() {
    let start = Instant::now();
    let at = |time: f64| start + seconds(time);
    let mut views = tracker("h1", start);
    views.apply_list(at(0.0), at(0.0), &list(1, &["h1", "h2"]));
    views.apply_list(at(20.0), at(20.0), &list(2, &["h1"]));
    let sizes = |now| -> Vec<usize> {
        let host_sets = views.recent_host_sets(now);
        host_sets.iter().map(|it| it.len()).collect()
    };
    assert_eq!(sizes(at(36.9)), [2, 1]);
    assert_eq!(sizes(at(37.1)), [1]);
    assert!(views.host_list().host(&HostName::new("h1")).is_some());
}

/// Guards against heartbeat traffic that grows with the square of the number of hosts, and
/// against a host that receives no heartbeat although the view needs its reply.
#[test]
fn heartbeats_go_to_a_sample_while_the_list_is_fresh() {
    let start = Instant::now();
    let at = |time: f64| start + seconds(time);
    let names: Vec<String> = (1..=20).map(|it| format!("h{it}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut views = tracker("h1", start);
    views.apply_list(at(0.0), at(0.0), &list(1, &names));
    assert_eq!(views.known_peers().len(), 19);
    let targets = |from: u32, views: &ViewTracker| -> HashSet<HostName> {
        let times = from..from + 4;
        times.flat_map(|it| views.heartbeat_targets(at(it.into()))).map(|it| it.name).collect()
    };
    assert_eq!(views.heartbeat_targets(at(0.0)).len(), 3);
    assert_eq!(targets(0, &views).len(), 12, "the sample must change");
    // Shortly before the list read expires, every host receives a heartbeat.
    assert_eq!(views.heartbeat_targets(at(4.5)).len(), 19);
    // A host that was removed from the list may still be running.
    views.apply_list(at(6.0), at(6.0), &list(2, &names[..19]));
    assert!((6..10).all(|it| views.heartbeat_targets(at(it.into())).contains(&record("h20"))));
}

/// Guards against a restarted host that stays excluded because its earlier process, or the new
/// one before its first list read, described itself as leaving.
#[test]
fn restarted_host_returns_to_the_view() {
    let start = Instant::now();
    let hosts = list(1, &["h1", "h2"]);
    let mut one = tracker("h1", start);
    let h2_key_count = |views: &ViewTracker| {
        let owners = KEYS.iter().filter_map(|it| views.owner(it));
        owners.filter(|it| it.name.as_str() == "h2").count()
    };
    one.apply_list(start, start, &hosts);
    let before = h2_key_count(&one);
    assert!(before > 0);
    // The process on h2 has no list for so long that no recent view of h1 contains h2.
    let mut two = ViewTracker::new(record("h2"), 2, ViewTiming::default(), start);
    for time in (2..=30).step_by(2) {
        let now = start + seconds(time.into());
        one.apply_list(now, now, &hosts);
        exchange_heartbeat(&mut one, &mut two, "h2", now);
        assert_eq!(h2_key_count(&one), 0);
    }
    let now = start + seconds(31.0);
    assert!(one.heartbeat_targets(now).contains(&record("h2")), "h2 still receives heartbeats");
    // One heartbeat of the next process is enough, without any reply from it.
    let mut three = ViewTracker::new(record("h2"), 3, ViewTiming::default(), now);
    three.apply_list(now, now, &hosts);
    one.receive_heartbeat(now, &three.heartbeat(now));
    assert_eq!(h2_key_count(&one), before);
}

/// Guards against a host that confirms its view alone although it has received a heartbeat from
/// another live host that its list does not contain yet.
#[test]
fn unlisted_live_host_must_confirm_without_the_platform() {
    let start = Instant::now();
    for hears_other in [false, true] {
        let mut one = tracker("h1", start);
        apply_lists(&mut one, start, 0, 20, &list(1, &["h1"]));
        if hears_other {
            let heartbeat = Heartbeat { host: record("h2"), incarnation: 2, list_version: 2 };
            one.receive_heartbeat(start + seconds(20.0), &heartbeat);
        }
        for time in 21..60 {
            one.tick(start + seconds(time.into()));
        }
        let now = start + seconds(59.0);
        assert_eq!(one.is_confirmed(now), !hears_other);
        assert_eq!(owned_count(&one, now), if hears_other { 0 } else { KEYS.len() });
    }
}
