//! Compares the configuration tracker with a simple model: a history of published revisions, some
//! of them invalid.

use std::{collections::BTreeMap, sync::Arc};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{Options, Rng},
};
use rand::{SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::{Catalogue, RawEntries},
    config::{ChangeOutcome, ConfigChange, ConfigTracker, EntryChange},
};

const TRACKER_COUNT: usize = 3;
const REVISION_COUNT: u64 = 12;

/// One step of a randomised test run.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// The platform, or a stale replica of it, sends the change between two revisions.
    Platform { to: u8, base: u8, revision: u8 },
    /// A tracker receives its last change once more.
    Duplicate { to: u8 },
    /// A tracker pulls the changes since its revision in force from a peer.
    Pull { to: u8, from: u8 },
    /// The process restarts and loses its state.
    Restart { to: u8 },
}

/// Entries of a revision, each with the revision of its last change and its value.
type Published = BTreeMap<Arc<str>, (u64, Arc<str>)>;

/// The published revisions; index 0 is the empty configuration before the first one.
struct History {
    revisions: Vec<Published>,
    removed: Vec<BTreeMap<Arc<str>, u64>>,
    valid: Vec<bool>,
}

impl History {
    /// Creates one revision per edit, which sets or removes one of five teams; a rate of 0 makes
    /// the revision invalid.
    fn new(edits: &[u8]) -> Self {
        let mut history = Self {
            revisions: vec![BTreeMap::new()],
            removed: vec![BTreeMap::new()],
            valid: vec![true],
        };
        for (index, edit) in edits.iter().enumerate() {
            let revision = index as u64 + 1;
            let mut entries = history.revisions[index].clone();
            let mut removed = history.removed[index].clone();
            let class = r#"{"priority":0,"deadline_ms":1,"queue_ms":1}"#;
            entries.entry("class/c".into()).or_insert((revision, class.into()));
            let key: Arc<str> = format!("team/t{}", edit % 5).into();
            if edit / 5 % 4 == 0 && entries.remove(&key).is_some() {
                removed.insert(key, revision);
            } else {
                // One edit in four sets an invalid rate.
                let rate = if edit / 20 % 4 == 0 { 0 } else { revision };
                let value = format!(r#"{{"owner":"o","class":"c","rate":{rate},"burst":1}}"#);
                removed.remove(&key);
                entries.insert(key, (revision, value.into()));
            }
            history.valid.push(entries.values().all(|(_, value)| !value.contains(r#""rate":0"#)));
            history.revisions.push(entries);
            history.removed.push(removed);
        }
        history
    }

    fn change(&self, base: u64, revision: u64) -> ConfigChange {
        let index = usize::try_from(revision).unwrap();
        let present = self.revisions[index]
            .iter()
            .map(|(key, (revision, value))| (key, *revision, Some(value.clone())));
        let removed = self.removed[index].iter().map(|(key, revision)| (key, *revision, None));
        let entries = present
            .chain(removed)
            .filter(|(_, revision, value)| *revision > base && (base > 0 || value.is_some()))
            .map(|(key, revision, value)| EntryChange { key: key.clone(), revision, value })
            .collect();
        ConfigChange { base, revision, entries }
    }

    /// Asserts that the catalogue in force equals the published revision of the same number.
    fn assert_published(&self, catalogue: &Catalogue) {
        let index = usize::try_from(catalogue.revision()).unwrap();
        assert!(self.valid[index], "revision {index} is invalid but in force");
        let raw: RawEntries = self.revisions[index]
            .iter()
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect();
        let expected = Catalogue::parse(catalogue.revision(), &raw).unwrap();
        assert_eq!(catalogue.teams(), expected.teams(), "revision {index}");
    }
}

#[derive(Default)]
struct Replica {
    tracker: ConfigTracker,
    last_change: Option<ConfigChange>,
}

impl Replica {
    /// Applies a change and checks the outcome against the model.
    fn apply(&mut self, history: &History, change: ConfigChange) -> ChangeOutcome {
        let (accepted, seen) = self.revisions();
        let outcome = self.tracker.apply(&change);
        let (new_accepted, new_seen) = self.revisions();
        assert!(new_accepted >= accepted, "the revision in force went back");
        assert!(new_seen >= seen, "the highest revision went back");
        assert!(new_accepted <= new_seen);
        let base_known = change.base <= if change.revision > seen { seen } else { accepted };
        let valid = history.valid[usize::try_from(change.revision).unwrap()];
        let is_new = change.revision > accepted && change.revision != seen;
        match &outcome {
            ChangeOutcome::Accepted(catalogue) => {
                assert!(is_new && base_known && valid);
                assert_eq!(catalogue.revision(), change.revision);
                assert_eq!(new_accepted, change.revision);
            }
            ChangeOutcome::Rejected(_) => {
                assert!(is_new && base_known && !valid);
                assert_eq!(new_accepted, accepted);
            }
            ChangeOutcome::Gap => assert!(is_new && !base_known),
            ChangeOutcome::Stale => assert!(!is_new),
        }
        assert_eq!(
            self.tracker.problems().is_empty(),
            new_accepted == new_seen,
            "problems are shown exactly while the highest revision is rejected"
        );
        history.assert_published(self.tracker.catalogue());
        self.last_change = Some(change);
        outcome
    }

    fn revisions(&self) -> (u64, u64) {
        let tracker = &self.tracker;
        (tracker.accepted_revision(), tracker.seen_revision())
    }
}

/// Pulls until the peer has no newer revision; after a gap the complete configuration is pulled.
fn pull(history: &History, replicas: &mut [Replica], to: usize, from: usize) {
    for _ in 0..3 {
        let base = replicas[to].tracker.accepted_revision();
        let change = replicas[from].tracker.change_since(base);
        if let ChangeOutcome::Gap = replicas[to].apply(history, change) {
            let complete = replicas[from].tracker.change_since(0);
            replicas[to].apply(history, complete);
        }
    }
    let (to, from) = (replicas[to].revisions(), replicas[from].revisions());
    assert!(to.0 >= from.0, "the puller stays at {to:?}, the peer has {from:?}");
}

fn run(edits: &[u8], steps: &[Step]) {
    let history = History::new(edits);
    let mut replicas: Vec<Replica> = (0..TRACKER_COUNT).map(|_| Replica::default()).collect();
    for step in steps {
        match *step {
            Step::Platform { to, base, revision } => {
                let revision = u64::from(revision) % REVISION_COUNT + 1;
                let change = history.change(u64::from(base) % revision, revision);
                replicas[usize::from(to) % TRACKER_COUNT].apply(&history, change);
            }
            Step::Duplicate { to } => {
                let replica = &mut replicas[usize::from(to) % TRACKER_COUNT];
                if let Some(change) = replica.last_change.clone() {
                    let outcome = replica.apply(&history, change);
                    assert!(!matches!(outcome, ChangeOutcome::Accepted(_)));
                }
            }
            Step::Pull { to, from } => {
                let (to, from) =
                    (usize::from(to) % TRACKER_COUNT, usize::from(from) % TRACKER_COUNT);
                pull(&history, &mut replicas, to, from);
            }
            Step::Restart { to } => replicas[usize::from(to) % TRACKER_COUNT] = Replica::default(),
        }
    }
    // All peers must agree after exchanges in both directions.
    for _ in 0..2 {
        for index in 0..TRACKER_COUNT {
            pull(&history, &mut replicas, index, (index + 1) % TRACKER_COUNT);
            pull(&history, &mut replicas, (index + 1) % TRACKER_COUNT, index);
        }
    }
    let newest = replicas[0].tracker.accepted_revision();
    for replica in &replicas {
        assert_eq!(replica.tracker.accepted_revision(), newest);
    }
}

/// Guards against a return to an earlier revision, against a mixture of revisions that was never
/// published, and against peers that never agree.
#[test]
fn revisions_never_go_back() {
    for seed in 0..2_000 {
        let rng = StdRng::seed_from_u64(seed);
        let options = Options::default().with_max_len(4_096);
        let mut driver = Rng::new(rng, &options);
        let edits = <[u8; REVISION_COUNT as usize]>::generate(&mut driver).expect("enough input");
        let steps: Vec<Step> =
            (0..40).map(|_| Step::generate(&mut driver).expect("enough input")).collect();
        let run = std::panic::AssertUnwindSafe(|| run(&edits, &steps));
        if let Err(panic) = std::panic::catch_unwind(run) {
            eprintln!("seed {seed}, edits {edits:?}, steps {steps:?}");
            std::panic::resume_unwind(panic);
        }
    }
}

fn entry(key: &str, revision: u64, value: Option<&str>) -> EntryChange {
    EntryChange { key: key.into(), revision, value: value.map(Into::into) }
}

/// A process that starts while the highest revision is invalid receives this revision from the
/// platform; it must get the revision before it from a peer and serve that one.
#[test]
fn a_peer_sends_the_revision_before_a_rejected_one() {
    let setting = |multiple: &str| format!(r#"{{"skew_multiple":{multiple}}}"#);
    let change = |base, revision, value: &str| ConfigChange {
        base,
        revision,
        entries: vec![entry("fleet/settings", revision, Some(value))],
    };
    let mut peer = ConfigTracker::new();
    peer.apply(&change(0, 1, &setting("2")));
    peer.apply(&change(1, 2, &setting("0")));
    let mut started = ConfigTracker::new();
    // The platform sends only the highest revision, which is rejected.
    started.apply(&change(0, 2, &setting("0")));
    assert_eq!((started.accepted_revision(), started.seen_revision()), (0, 2));
    let outcome = started.apply(&peer.change_since(started.accepted_revision()));
    assert!(matches!(outcome, ChangeOutcome::Accepted(_)), "{outcome:?}");
    assert_eq!((started.accepted_revision(), started.seen_revision()), (1, 2));
    assert_eq!(started.problems().len(), 1);
}

/// A delta cannot contain a removal whose tombstone was dropped; the entry would stay in force at
/// the peer.
#[test]
fn dropped_tombstones_lead_to_a_complete_configuration() {
    let (mut tracker, mut peer) = (ConfigTracker::new(), ConfigTracker::new());
    let class = r#"{"priority":0,"deadline_ms":1,"queue_ms":1}"#;
    let first = ConfigChange {
        base: 0,
        revision: 1,
        entries: (0..5_000)
            .map(|index| entry(&format!("class/c{index}"), 1, Some(class)))
            .collect(),
    };
    tracker.apply(&first);
    peer.apply(&first);
    let removed = ConfigChange {
        base: 1,
        revision: 2,
        entries: (0..4_999).map(|index| entry(&format!("class/c{index}"), 2, None)).collect(),
    };
    tracker.apply(&removed);
    let change = tracker.change_since(peer.accepted_revision());
    assert_eq!((change.base, change.entries.len()), (0, 1));
    peer.apply(&change);
    assert_eq!(peer.catalogue().classes().len(), 1);
    assert_eq!(peer.accepted_revision(), 2);
}
