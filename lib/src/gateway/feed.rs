//! The entries that the platform publishes, received from the platform itself or from other hosts.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use super::fleet::FleetChange;
use crate::config::{ConfigChange, EntryChange, EntryLog};

/// Why a read of an [`EntrySource`] failed.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The source did not respond, or its response cannot be used.
    #[error("{0}")]
    Failed(String),
    /// The source no longer keeps the changes since the given revision; all entries have to be
    /// read.
    #[error("the history is no longer kept")]
    HistoryLost,
}

/// A pending read of an [`EntrySource`].
pub type SourceFuture<'a> = Pin<Box<dyn Future<Output = Result<ConfigChange, SourceError>> + 'a>>;

/// Reads the entries of the platform; tests implement it with a fake.
pub trait EntrySource {
    /// Reads all entries.
    fn read_all(&mut self) -> SourceFuture<'_>;

    /// Waits up to `wait` for changes after `revision`; returns an empty change if there are none.
    fn watch(&mut self, revision: u64, wait: Duration) -> SourceFuture<'_>;
}

/// Translates entries of the platform into changes of the fleet.
pub trait EntryDecoder: fmt::Debug {
    /// Translates one entry or its removal; returns `None` if it does not concern the gateway or
    /// cannot be used.
    fn decode(&self, entry: &EntryChange) -> Option<FleetChange>;
}

/// Result of applying a change of the entries.
#[derive(Debug)]
pub enum FeedOutcome {
    /// It was applied and leads to these changes of the fleet.
    Applied(Vec<FleetChange>),
    /// It is not newer than the known entries.
    NotNewer,
    /// It is a delta from a revision that has not been reached here; a full set is needed.
    Gap,
}

/// The entries known to one host; their revision never goes back.
#[derive(Debug)]
pub struct EntryFeed {
    decoder: Rc<dyn EntryDecoder>,
    log: EntryLog,
}

impl EntryFeed {
    /// Creates a feed without entries.
    pub fn new(decoder: Rc<dyn EntryDecoder>) -> Self {
        Self { decoder, log: EntryLog::default() }
    }

    /// Returns the revision up to which all changes are known; 0 if none are.
    pub fn revision(&self) -> u64 {
        self.log.revision()
    }

    /// Returns the change from `revision` to the current one, for a peer; a full set if the history
    /// does not reach back to `revision`.
    pub fn change_since(&self, revision: u64) -> ConfigChange {
        self.log.change_since(revision)
    }

    /// Applies a change, unless it is not newer or leaves a gap.
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

    /// Applies a full set of entries: those that it lacks were removed.
    fn replace(&mut self, change: &ConfigChange) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let (mut upstreams, mut closed) = (Vec::new(), Vec::new());
        for entry in &change.entries {
            match self.decoder.decode(entry) {
                Some(FleetChange::Upstream(record)) => upstreams.push(record),
                Some(FleetChange::CentreClosed(centre)) => closed.push(centre),
                Some(routes @ FleetChange::Routes(_)) => changes.push(routes),
                // Removed entries are absent from the listing.
                _ => {}
            }
        }
        changes.push(FleetChange::FullListing { upstreams, closed });
        self.log.apply(change);
        changes
    }
}

/// When the platform is known to have responded, to this host or to another one that reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceState {
    /// Last response.
    pub last_response: Option<Instant>,
    /// First response after the last outage.
    pub last_recovery: Option<Instant>,
}
