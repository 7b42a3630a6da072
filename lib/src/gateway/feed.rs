//! The entries that the platform publishes, from the platform itself or from other hosts.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use super::fleet::FleetChange;
use crate::config::{ConfigChange, EntryChange, EntryLog};

/// Why a source gave no entries.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The source did not answer, or not with entries.
    #[error("{0}")]
    Failed(String),
    /// The source no longer knows what changed since the given revision.
    #[error("the history is no longer kept")]
    HistoryLost,
}

/// A pending answer of an [`EntrySource`].
pub type SourceFuture<'a> = Pin<Box<dyn Future<Output = Result<ConfigChange, SourceError>> + 'a>>;

/// Reads the entries of the platform; has a test double.
pub trait EntrySource {
    /// Reads all entries.
    fn read_all(&mut self) -> SourceFuture<'_>;

    /// Waits up to `wait` for changes after `revision`; without any the change is empty.
    fn watch(&mut self, revision: u64, wait: Duration) -> SourceFuture<'_>;
}

/// Translates entries into the product's types.
pub trait EntryDecoder: fmt::Debug {
    /// Translates one entry or its removal; nothing if it does not concern the router.
    fn decode(&self, entry: &EntryChange) -> Option<FleetChange>;
}

/// What became of a change of the entries.
#[derive(Debug)]
pub enum FeedOutcome {
    /// These changes follow from it.
    Applied(Vec<FleetChange>),
    /// It is not newer than what is known.
    NotNewer,
    /// It starts from a revision that is not known here; a whole one is needed.
    Gap,
}

/// Owner of the entries known to one host. They never go back.
#[derive(Debug)]
pub struct EntryFeed {
    decoder: Rc<dyn EntryDecoder>,
    log: EntryLog,
}

impl EntryFeed {
    /// Creates a feed that knows no entries.
    pub fn new(decoder: Rc<dyn EntryDecoder>) -> Self {
        Self { decoder, log: EntryLog::default() }
    }

    /// Returns the revision up to which all changes are known; 0 if none is.
    pub fn revision(&self) -> u64 {
        self.log.revision()
    }

    /// Returns what a peer lacks that knows `revision`.
    pub fn change_since(&self, revision: u64) -> ConfigChange {
        self.log.change_since(revision)
    }

    /// Adopts a change.
    pub fn apply(&mut self, change: &ConfigChange) -> FeedOutcome {
        if change.revision <= self.log.revision() {
            return FeedOutcome::NotNewer;
        }
        if change.base == 0 {
            return FeedOutcome::Applied(self.replace(change));
        }
        if change.base > self.log.revision() {
            return FeedOutcome::Gap;
        }
        let is_new = |it: &&EntryChange| it.revision > self.log.entry_revision(&it.key);
        let entries: Vec<EntryChange> = change.entries.iter().filter(is_new).cloned().collect();
        let changes = entries.iter().filter_map(|it| self.decoder.decode(it)).collect();
        self.log.apply(&ConfigChange { entries, ..*change });
        FeedOutcome::Applied(changes)
    }

    /// Adopts a whole set of entries: what it lacks was removed.
    fn replace(&mut self, change: &ConfigChange) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let (mut upstreams, mut closed) = (Vec::new(), Vec::new());
        for entry in &change.entries {
            match self.decoder.decode(entry) {
                Some(FleetChange::Upstream(record)) => upstreams.push(record),
                Some(FleetChange::CentreClosed(centre)) => closed.push(centre),
                Some(routes @ FleetChange::Routes(_)) => changes.push(routes),
                // Removals are what the listing lacks.
                _ => {}
            }
        }
        changes.push(FleetChange::FullListing { upstreams, closed });
        self.log.apply(change);
        changes
    }
}

/// When the platform is known to have answered, to this host or to one that told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceState {
    /// Last answer.
    pub last_response: Option<Instant>,
    /// First answer after the last outage.
    pub last_recovery: Option<Instant>,
}
