//! The entries that the platform publishes, received from the platform itself or from other hosts.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{fleet::FleetChange, position::StorePosition};
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

/// A change of the entries, with the era in which its revisions were given out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryUpdate {
    /// The era.
    pub era: u64,
    /// The change.
    pub change: ConfigChange,
}

/// A pending read of an [`EntrySource`].
pub type SourceFuture<'a> = Pin<Box<dyn Future<Output = Result<EntryUpdate, SourceError>> + 'a>>;

/// Reads the entries of the platform; tests implement it with a fake.
pub trait EntrySource {
    /// Reads all entries.
    fn read_all(&mut self) -> SourceFuture<'_>;

    /// Waits up to `wait` for changes after a position; returns an empty change if there are none.
    /// The era of the result is that of the platform, which may differ from that of `after`.
    fn watch(&mut self, after: StorePosition, wait: Duration) -> SourceFuture<'_>;
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
    /// It is a delta from a position that has not been reached here; a full set is needed.
    Gap,
}

/// The entries known to one host; their position never goes back.
#[derive(Debug)]
pub struct EntryFeed {
    decoder: Rc<dyn EntryDecoder>,
    era: u64,
    /// The entries of `era`; their revisions are comparable with each other only.
    log: EntryLog,
}

impl EntryFeed {
    /// Creates a feed without entries.
    pub fn new(decoder: Rc<dyn EntryDecoder>) -> Self {
        Self { decoder, era: 0, log: EntryLog::default() }
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.log.revision())
    }

    /// Returns the change from a position to the current one, for a peer; a full set if the history
    /// does not reach back to it, as after a change of the era.
    pub fn change_since(&self, position: StorePosition) -> ConfigChange {
        self.log.change_since(if position.era == self.era { position.revision } else { 0 })
    }

    /// Applies an update, unless it is not newer or leaves a gap.
    pub fn apply(&mut self, update: &EntryUpdate) -> FeedOutcome {
        let EntryUpdate { era, change } = update;
        if StorePosition::new(*era, change.revision) <= self.position() {
            return FeedOutcome::NotNewer;
        }
        if change.base == 0 {
            return FeedOutcome::Applied(self.replace(*era, change));
        }
        if *era != self.era || change.base > self.log.revision() {
            return FeedOutcome::Gap;
        }
        let is_new = |it: &&EntryChange| it.revision > self.log.entry_revision(&it.key);
        let entries: Vec<EntryChange> = change.entries.iter().filter(is_new).cloned().collect();
        let changes = entries.iter().filter_map(|it| self.decoder.decode(it)).collect();
        self.log.apply(&ConfigChange { entries, ..*change });
        FeedOutcome::Applied(changes)
    }

    /// Applies a full set of entries: those that it lacks were removed, unless the era has changed.
    fn replace(&mut self, era: u64, change: &ConfigChange) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        if era != self.era && !self.position().is_start() {
            changes.push(FleetChange::EraStarted);
        }
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
        self.era = era;
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
