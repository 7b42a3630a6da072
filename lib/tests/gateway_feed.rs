//! Entries from several sources: they never go back, and nothing is missed.

use std::{rc::Rc, sync::Arc};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use snipepond::{
    config::{ConfigChange, EntryChange},
    gateway::{EntryDecoder, EntryFeed, FeedOutcome, FleetChange, PackedChange},
    names::{CentreName, UpstreamName},
};

/// Every key names a data centre; an entry closes it.
#[derive(Debug)]
struct CentreDecoder;

impl EntryDecoder for CentreDecoder {
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
    EntryFeed::new(Rc::new(CentreDecoder))
}

fn entry(key: &str, revision: u64, is_there: bool) -> EntryChange {
    EntryChange { key: key.into(), revision, value: is_there.then(|| Arc::from("{}")) }
}

fn change(base: u64, revision: u64, entries: Vec<EntryChange>) -> ConfigChange {
    ConfigChange { base, revision, entries }
}

fn changed(outcome: FeedOutcome) -> Vec<FleetChange> {
    match outcome {
        FeedOutcome::Applied(changes) => changes,
        other => panic!("not changed: {other:?}"),
    }
}

/// Guards against a relay or a slow answer that takes a change back.
#[test]
fn an_older_change_from_another_source_changes_nothing() {
    let mut feed = feed();
    changed(feed.apply(&change(0, 5, vec![entry("a", 3, true)])));
    changed(feed.apply(&change(5, 9, vec![entry("a", 9, false)])));
    assert!(matches!(feed.apply(&change(5, 7, vec![entry("a", 7, true)])), FeedOutcome::NotNewer));
    assert!(matches!(feed.apply(&change(0, 9, vec![entry("a", 3, true)])), FeedOutcome::NotNewer));
    assert_eq!(feed.revision(), 9);
}

/// Guards against a delta whose start is not known here.
#[test]
fn a_delta_from_a_later_revision_needs_a_whole_set() {
    let mut feed = feed();
    changed(feed.apply(&change(0, 5, vec![])));
    assert!(matches!(feed.apply(&change(7, 9, vec![])), FeedOutcome::Gap));
}

/// Guards against a page of a listing that is newer than the listing's revision and is then taken
/// back by the watch that repeats older changes.
#[test]
fn a_repeated_change_of_an_entry_is_left_out() {
    let mut feed = feed();
    changed(feed.apply(&change(0, 5, vec![entry("a", 8, true)])));
    let changes = changed(feed.apply(&change(5, 9, vec![entry("a", 6, false)])));
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(feed.change_since(0).entries, vec![entry("a", 8, true)]);
}

/// Guards against entries that were removed while a host was away.
#[test]
fn a_whole_set_is_passed_on_as_a_listing() {
    let mut feed = feed();
    changed(feed.apply(&change(0, 5, vec![entry("a", 3, true), entry("b", 4, true)])));
    let changes = changed(feed.apply(&change(0, 9, vec![entry("b", 4, true)])));
    assert!(
        matches!(&changes[..], [FleetChange::FullListing { closed, .. }] if closed.len() == 1),
        "{changes:?}"
    );
}

/// Guards against hosts that differ after the same changes, whatever way these took.
#[test]
fn hosts_that_exchange_changes_end_with_the_same_entries() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut source = feed();
        changed(source.apply(&change(0, 1, vec![])));
        let mut hosts: Vec<EntryFeed> = (0..6).map(|_| feed()).collect();
        for revision in 2..200 {
            let key = *["a", "b", "c", "d"].choose(&mut rng).unwrap();
            let entries = vec![entry(key, revision, rng.random_bool(0.6))];
            changed(source.apply(&change(revision - 1, revision, entries)));
            let to = rng.random_range(0..hosts.len());
            let from = rng.random_range(0..hosts.len());
            let step = match rng.random_range(0..3) {
                0 => source.change_since(hosts[to].revision()),
                1 => hosts[from].change_since(hosts[to].revision()),
                _ => continue,
            };
            let before = hosts[to].revision();
            let packed = PackedChange::pack(&step).unpack().unwrap();
            assert_eq!(packed, step);
            hosts[to].apply(&packed);
            assert!(hosts[to].revision() >= before);
        }
        for host in &mut hosts {
            let step = source.change_since(host.revision());
            host.apply(&step);
            let values = |it: &EntryFeed| {
                let entries = it.change_since(0).entries.into_iter();
                entries.filter(|it| it.value.is_some()).collect::<Vec<_>>()
            };
            assert_eq!(values(host), values(&source), "seed {seed}");
        }
    }
}

/// Guards against a message that ends a process: bytes of a peer may be anything.
#[test]
fn bytes_that_are_no_change_are_an_error() {
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
