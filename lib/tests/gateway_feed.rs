//! Entries from several sources: their revision never goes back, and no change is missed.

use std::{rc::Rc, sync::Arc};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use snipepond::{
    config::{ConfigChange, EntryChange},
    gateway::{EntryDecoder, EntryFeed, FeedOutcome, FleetChange, PackedChange},
    names::{CentreName, UpstreamName},
};

/// Fake decoder. A key `upstream/NAME` removes that upstream; any other key names a data centre
/// that is closed while the entry exists.
#[derive(Debug)]
struct FakeDecoder;

impl EntryDecoder for FakeDecoder {
    fn decode(&self, entry: &EntryChange) -> Option<FleetChange> {
        if let Some(name) = entry.key.strip_prefix("upstream/") {
            return Some(FleetChange::UpstreamRemoved(UpstreamName::new(name)));
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

fn change(base: u64, revision: u64, entries: Vec<EntryChange>) -> ConfigChange {
    ConfigChange { base, revision, entries }
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
    applied(feed.apply(&change(0, 5, vec![entry("a", 3, true)])));
    applied(feed.apply(&change(5, 9, vec![entry("a", 9, false)])));
    assert!(matches!(feed.apply(&change(5, 7, vec![entry("a", 7, true)])), FeedOutcome::NotNewer));
    assert!(matches!(feed.apply(&change(0, 9, vec![entry("a", 3, true)])), FeedOutcome::NotNewer));
    assert_eq!(feed.revision(), 9);
}

/// Guards against applying a delta from a revision that has not been reached, which would skip
/// changes.
#[test]
fn a_delta_from_a_later_revision_needs_a_full_set() {
    let mut feed = feed();
    applied(feed.apply(&change(0, 5, vec![])));
    assert!(matches!(feed.apply(&change(7, 9, vec![])), FeedOutcome::Gap));
}

/// Guards against reverting an entry from a page of a listing: the page may be newer than the
/// listing's revision, and the watch from that revision then returns older changes of the entry.
#[test]
fn an_older_change_of_a_listed_entry_is_skipped() {
    let mut feed = feed();
    applied(feed.apply(&change(0, 5, vec![entry("a", 8, true)])));
    let changes = applied(feed.apply(&change(5, 9, vec![entry("a", 6, false)])));
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(feed.change_since(0).entries, vec![entry("a", 8, true)]);
}

/// Guards against entries that stay although they were removed while a host received no changes.
#[test]
fn a_full_set_becomes_a_full_listing() {
    let mut feed = feed();
    applied(feed.apply(&change(0, 5, vec![entry("a", 3, true), entry("b", 4, true)])));
    let changes = applied(feed.apply(&change(0, 9, vec![entry("b", 4, true)])));
    assert!(
        matches!(&changes[..], [FleetChange::FullListing { closed, .. }] if closed.len() == 1),
        "{changes:?}"
    );
}

/// Guards against hosts that end with different entries, although all changes reached each of them
/// from the source or from another host.
#[test]
fn hosts_that_exchange_changes_end_with_the_same_entries() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut source = feed();
        applied(source.apply(&change(0, 1, vec![])));
        let mut hosts: Vec<EntryFeed> = (0..6).map(|_| feed()).collect();
        for revision in 2..200 {
            let key = *["a", "b", "c", "d"].choose(&mut rng).unwrap();
            let entries = vec![entry(key, revision, rng.random_bool(0.6))];
            applied(source.apply(&change(revision - 1, revision, entries)));
            let to = rng.random_range(0..hosts.len());
            let from = rng.random_range(0..hosts.len());
            let delta = match rng.random_range(0..3) {
                0 => source.change_since(hosts[to].revision()),
                1 => hosts[from].change_since(hosts[to].revision()),
                _ => continue,
            };
            let before = hosts[to].revision();
            let packed = PackedChange::pack(&delta).unpack().unwrap();
            assert_eq!(packed, delta);
            hosts[to].apply(&packed);
            assert!(hosts[to].revision() >= before);
        }
        for host in &mut hosts {
            let delta = source.change_since(host.revision());
            host.apply(&delta);
            let values = |it: &EntryFeed| {
                let entries = it.change_since(0).entries.into_iter();
                entries.filter(|it| it.value.is_some()).collect::<Vec<_>>()
            };
            assert_eq!(values(host), values(&source), "seed {seed}");
        }
    }
}

/// Guards against a panic on corrupt bytes from a peer.
#[test]
fn corrupt_changes_are_an_error() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let message = rmp_serde::to_vec(&PackedChange::pack(&change(0, 1, vec![]))).unwrap();
        let mut broken = message.clone();
        for (position, byte) in bytes.iter().enumerate().take(broken.len()) {
            broken[position] ^= byte;
        }
        if let Ok(packed) = rmp_serde::from_slice::<PackedChange>(&broken) {
            let _ = packed.unpack();
        }
    });
}
