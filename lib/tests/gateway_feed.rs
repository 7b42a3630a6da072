//! Entries from several sources: their revision never goes back, and no change is missed.

use std::{
    rc::Rc,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use snipepond::{
    config::{ConfigChange, EntryChange},
    gateway::{
        CallerLimits, EntryDecoder, EntryFeed, EntryUpdate, FeedOutcome, FleetChange, PackedChange,
        RouteTable, StorePosition, UpstreamRecord,
    },
    names::{CentreName, ServiceName, UpstreamName},
};

/// Fake decoder. The key `version` holds the version of the configuration, and a key
/// `upstream/NAME` whether that upstream leaves; any other key names a data centre that is closed
/// while the entry exists.
#[derive(Debug)]
struct FakeDecoder;

impl EntryDecoder for FakeDecoder {
    fn decode(&self, entry: &EntryChange) -> Option<FleetChange> {
        if &*entry.key == "version" {
            let version = entry.value.as_ref()?.parse().unwrap();
            let table = RouteTable::new(version, vec![], None, vec![], CallerLimits::default());
            return Some(FleetChange::Routes(Arc::new(table)));
        }
        if let Some(name) = entry.key.strip_prefix("upstream/") {
            let name = UpstreamName::new(name);
            let Some(value) = &entry.value else {
                return Some(FleetChange::UpstreamRemoved(name));
            };
            return Some(FleetChange::Upstream(UpstreamRecord {
                name,
                service: ServiceName::new("desk"),
                address: "10.0.0.1:80".parse().unwrap(),
                data_centre: CentreName::new("a"),
                slots: 8,
                is_leaving: &**value == "leaving",
                cold_for: Duration::ZERO,
                incarnation: 1,
            }));
        }
        let centre = CentreName::new(&entry.key);
        Some(match entry.value {
            Some(_) => FleetChange::CentreClosed(centre),
            None => FleetChange::CentreOpened(centre),
        })
    }
}

fn feed() -> EntryFeed {
    EntryFeed::new(Rc::new(FakeDecoder))
}

fn entry(key: &str, revision: u64, has_value: bool) -> EntryChange {
    EntryChange { key: key.into(), revision, value: has_value.then(|| Arc::from("{}")) }
}

fn text_entry(key: &str, revision: u64, value: &str) -> EntryChange {
    EntryChange { key: key.into(), revision, value: Some(value.into()) }
}

/// Returns what changes set: the version, the upstreams with whether they leave, and the closed data
/// centres.
fn summary(changes: &[FleetChange]) -> Vec<String> {
    let mut texts = Vec::new();
    for change in changes {
        match change {
            FleetChange::Routes(table) => texts.push(format!("version {}", table.version())),
            FleetChange::Upstream(it) => texts.push(format!("{} {}", it.name, it.is_leaving)),
            FleetChange::UpstreamRemoved(name) => texts.push(format!("{name} removed")),
            FleetChange::CentreClosed(centre) => texts.push(format!("{centre} closed")),
            FleetChange::CentreOpened(centre) => texts.push(format!("{centre} opened")),
            FleetChange::FullListing { upstreams, closed } => {
                texts.extend(upstreams.iter().map(|it| format!("{} {}", it.name, it.is_leaving)));
                texts.extend(closed.iter().map(|it| format!("{it} closed")));
            }
            other => panic!("unexpected: {other:?}"),
        }
    }
    texts
}

/// Returns a feed in the second era, whose copy lacks the closure of `a`, upstream `x`, that `y`
/// leaves, and version 5.
fn feed_after_return() -> EntryFeed {
    let mut feed = feed();
    let entries = vec![
        text_entry("a", 6, "{}"),
        text_entry("upstream/x", 7, "ready"),
        text_entry("upstream/y", 8, "leaving"),
        text_entry("version", 9, "5"),
    ];
    applied(feed.apply(now(), &change_in(1, 0, 9, entries)));
    let copy = vec![text_entry("upstream/y", 2, "ready"), text_entry("version", 1, "3")];
    let changes = applied(feed.apply(now(), &change_in(2, 0, 4, copy)));
    assert_eq!(summary(&changes), ["version 5", "x false", "y true", "a closed"]);
    feed
}

/// Returns an update in the first era.
fn change(base: u64, revision: u64, entries: Vec<EntryChange>) -> EntryUpdate {
    change_in(1, base, revision, entries)
}

fn change_in(era: u64, base: u64, revision: u64, entries: Vec<EntryChange>) -> EntryUpdate {
    EntryUpdate { era, change: ConfigChange { base, revision, entries } }
}

/// Returns the same time in all calls of a test.
fn now() -> Instant {
    static NOW: OnceLock<Instant> = OnceLock::new();
    *NOW.get_or_init(Instant::now)
}

fn start() -> StorePosition {
    StorePosition::default()
}

fn applied(outcome: FeedOutcome) -> Vec<FleetChange> {
    match outcome {
        FeedOutcome::Applied(changes) => changes,
        other => panic!("not applied: {other:?}"),
    }
}

/// Guards against an outdated relay or a late response that reverts a change.
#[test]
fn an_older_change_from_another_source_changes_nothing() {
    let mut feed = feed();
    applied(feed.apply(now(), &change(0, 5, vec![entry("a", 3, true)])));
    applied(feed.apply(now(), &change(5, 9, vec![entry("a", 9, false)])));
    assert!(matches!(
        feed.apply(now(), &change(5, 7, vec![entry("a", 7, true)])),
        FeedOutcome::NotNewer
    ));
    assert!(matches!(
        feed.apply(now(), &change(0, 9, vec![entry("a", 3, true)])),
        FeedOutcome::NotNewer
    ));
    assert_eq!(feed.position(), StorePosition::new(1, 9));
}

/// Guards against applying a delta from a revision that has not been reached, which would skip
/// changes.
#[test]
fn a_delta_from_a_later_revision_needs_a_full_set() {
    let mut feed = feed();
    applied(feed.apply(now(), &change(0, 5, vec![])));
    assert!(matches!(feed.apply(now(), &change(7, 9, vec![])), FeedOutcome::Gap));
}

/// Guards against reverting an entry from a page of a listing: the page may be newer than the
/// listing's revision, and the watch from that revision then returns older changes of the entry.
#[test]
fn an_older_change_of_a_listed_entry_is_skipped() {
    let mut feed = feed();
    applied(feed.apply(now(), &change(0, 5, vec![entry("a", 8, true)])));
    let changes = applied(feed.apply(now(), &change(5, 9, vec![entry("a", 6, false)])));
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(feed.change_since(start()).entries, vec![entry("a", 8, true)]);
}

/// Guards against entries that stay although they were removed while a host received no changes.
#[test]
fn a_full_set_becomes_a_full_listing() {
    let mut feed = feed();
    applied(feed.apply(now(), &change(0, 5, vec![entry("a", 3, true), entry("b", 4, true)])));
    let changes = applied(feed.apply(now(), &change(0, 9, vec![entry("b", 4, true)])));
    assert!(
        matches!(&changes[..], [FleetChange::FullListing { closed, .. }] if closed.len() == 1),
        "{changes:?}"
    );
}

/// Guards against a host with the entries of the era before a return, which have higher revisions,
/// that talks others back into that era.
#[test]
fn a_later_revision_of_an_older_era_changes_nothing() {
    let mut feed = feed();
    applied(feed.apply(now(), &change_in(2, 0, 5, vec![])));
    let old = change_in(1, 0, 90, vec![entry("a", 80, true)]);
    assert!(matches!(feed.apply(now(), &old), FeedOutcome::NotNewer));
    assert_eq!(feed.position(), StorePosition::new(2, 5));
}

/// Guards against changes that are skipped for good because their revisions were given out a second
/// time: the platform computes a delta although the host's base is one of another history.
#[test]
fn a_delta_of_another_era_needs_a_full_set() {
    let mut feed = feed();
    applied(feed.apply(now(), &change_in(1, 0, 5, vec![])));
    assert!(matches!(feed.apply(now(), &change_in(2, 5, 9, vec![])), FeedOutcome::Gap));
    assert_eq!(feed.position(), StorePosition::new(1, 5));
}

/// Guards against a peer that receives a delta although it is in another era.
#[test]
fn a_peer_of_another_era_receives_a_full_set_of_lower_revision() {
    let mut feed = feed();
    applied(feed.apply(now(), &change_in(1, 0, 90, vec![])));
    let changes = applied(feed.apply(now(), &change_in(2, 0, 5, vec![entry("a", 3, true)])));
    assert!(matches!(&changes[..], [FleetChange::FullListing { .. }]), "{changes:?}");
    assert_eq!(feed.change_since(StorePosition::new(1, 90)).base, 0);
    assert_eq!(feed.change_since(StorePosition::new(2, 5)).base, 5);
}

/// Guards against a return of the platform that undoes what callers rely on: what the copy lacks was
/// not removed, and counts as removed only if it is not written again in time.
#[test]
fn what_an_older_copy_lacks_holds_for_a_time() {
    let mut feed = feed_after_return();
    assert!(feed.expire(now() + Duration::from_millis(2_100)).is_empty());
    // A listing of the same era does not extend the time.
    let later = now() + Duration::from_millis(2_100);
    let listing = vec![text_entry("upstream/y", 2, "ready"), text_entry("version", 1, "3")];
    let changes = applied(feed.apply(later, &change_in(2, 0, 5, listing)));
    assert_eq!(summary(&changes), ["version 5", "x false", "y true", "a closed"]);
    let changes = feed.expire(now() + Duration::from_millis(2_200));
    assert_eq!(summary(&changes), ["x removed", "y removed"]);
    let changes = feed.expire(now() + Duration::from_secs(10));
    assert_eq!(summary(&changes), ["a opened"]);
    assert!(feed.expire(now() + Duration::from_secs(20)).is_empty());
    // A version never goes back.
    assert_eq!(feed.change_since(start()).entries, vec![text_entry("version", 0, "5")]);
}

/// Guards against an entry of the previous era that outlasts what the new era says of it.
#[test]
fn what_the_new_era_says_of_a_kept_entry_counts_at_once() {
    let mut feed = feed_after_return();
    let entries =
        vec![entry("a", 5, false), text_entry("upstream/x", 6, "leaving"), entry("b", 7, true)];
    let changes = applied(feed.apply(now(), &change_in(2, 4, 7, entries)));
    assert_eq!(summary(&changes), ["a opened", "x true", "b closed"]);
    let changes = feed.expire(now() + Duration::from_secs(20));
    assert_eq!(summary(&changes), ["y removed"]);
}

/// Guards against a host that starts just after the return and takes over the copy from its peers:
/// an older version with removed keys, and without a closure.
#[test]
fn peer_without_entries_receives_what_is_kept() {
    let feed = feed_after_return();
    let full = change_in(2, 0, 4, feed.change_since(start()).entries);
    let mut peer = self::feed();
    let changes = applied(peer.apply(now(), &full));
    assert_eq!(summary(&changes), ["version 5", "x false", "y true", "a closed"]);
    let changes = peer.expire(now() + Duration::from_secs(10));
    assert_eq!(summary(&changes), ["a opened", "x removed", "y removed"]);
}

/// Fake platform whose revisions are the positions in `history`, which it may lose the end of.
struct FakeStore {
    era: u64,
    /// Keys of the changes, and whether they set a value.
    history: Vec<(&'static str, bool)>,
}

impl FakeStore {
    /// Returns the changes that a watch gets; all entries if it is from a later revision.
    fn change_since(&self, revision: u64) -> EntryUpdate {
        let last = self.history.len() as u64;
        let base = if revision > last { 0 } else { revision };
        let mut entries: Vec<EntryChange> = Vec::new();
        for (index, (key, has_value)) in self.history.iter().enumerate().skip(base as usize) {
            entries.retain(|it| &*it.key != *key);
            entries.push(entry(key, index as u64 + 1, *has_value));
        }
        entries.retain(|it| base > 0 || it.value.is_some());
        change_in(self.era, base, last, entries)
    }

    /// Brings a host up to date.
    fn update(&self, host: &mut EntryFeed) {
        let update = self.change_since(host.position().revision);
        if matches!(host.apply(now(), &update), FeedOutcome::Gap) {
            applied(host.apply(now(), &self.change_since(0)));
        }
    }
}

/// Guards against hosts that end with different entries, although all changes reached each of them
/// from the platform or from another host, and the platform came back from older copies meanwhile,
/// several times in a row in some seeds.
#[test]
fn hosts_that_exchange_changes_end_with_the_same_entries() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = FakeStore { era: 1, history: vec![("a", true)] };
        let mut hosts: Vec<EntryFeed> = (0..6).map(|_| feed()).collect();
        for _ in 2..200 {
            if seed % 2 == 1 && rng.random_bool(0.03) {
                store.era += 1;
                let lost = rng.random_range(0..store.history.len());
                store.history.truncate(store.history.len() - lost);
            }
            let key = *["a", "b", "c", "d"].choose(&mut rng).unwrap();
            store.history.push((key, rng.random_bool(0.6)));
            let to = rng.random_range(0..hosts.len());
            let from = rng.random_range(0..hosts.len());
            let before = hosts[to].position();
            match rng.random_range(0..3) {
                0 => store.update(&mut hosts[to]),
                1 => {
                    let era = hosts[from].position().era;
                    let delta = hosts[from].change_since(before);
                    let packed = PackedChange::pack(&delta).unpack().unwrap();
                    assert_eq!(packed, delta);
                    hosts[to].apply(now(), &EntryUpdate { era, change: packed });
                }
                _ => continue,
            }
            assert!(hosts[to].position() >= before);
        }
        for host in &mut hosts {
            store.update(host);
            host.expire(now() + Duration::from_secs(10));
            let mut entries = host.change_since(start()).entries;
            let mut stored = store.change_since(0).change.entries;
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            stored.sort_by(|a, b| a.key.cmp(&b.key));
            assert_eq!(entries, stored, "seed {seed}");
        }
    }
}

/// Guards against a panic on corrupt bytes from a peer.
#[test]
fn corrupt_changes_are_an_error() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let message = rmp_serde::to_vec(&PackedChange::pack(&change(0, 1, vec![]).change)).unwrap();
        let mut broken = message.clone();
        for (position, byte) in bytes.iter().enumerate().take(broken.len()) {
            broken[position] ^= byte;
        }
        if let Ok(packed) = rmp_serde::from_slice::<PackedChange>(&broken) {
            let _ = packed.unpack();
        }
    });
}
