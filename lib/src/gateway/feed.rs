//! The entries that the platform publishes, received from the platform itself or from other hosts.

use std::{
    collections::BTreeMap,
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{fleet::FleetChange, position::StorePosition, upstreams::REPUBLISH_TIME};
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

/// Time after a change of the era within which operators close data centres again.
const CLOSURE_RETENTION: Duration = Duration::from_secs(10);

/// The entries known to one host; their position never goes back.
///
/// When the era changes, the platform came back from an older copy. What the copy lacks was not
/// removed, so the entries of the previous era hold on until they are written again, or the time for
/// that is over. They have the revision 0, below all of the era, in full sets for peers too.
#[derive(Debug)]
pub struct EntryFeed {
    decoder: Rc<dyn EntryDecoder>,
    era: u64,
    /// The entries of `era`; their revisions are comparable with each other only.
    log: EntryLog,
    /// Keys of entries of the previous era, and the times up to which these hold.
    kept_until: BTreeMap<Arc<str>, Instant>,
}

impl EntryFeed {
    /// Creates a feed without entries.
    pub fn new(decoder: Rc<dyn EntryDecoder>) -> Self {
        Self { decoder, era: 0, log: EntryLog::default(), kept_until: BTreeMap::new() }
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
    pub fn apply(&mut self, now: Instant, update: &EntryUpdate) -> FeedOutcome {
        let EntryUpdate { era, change } = update;
        if StorePosition::new(*era, change.revision) <= self.position() {
            return FeedOutcome::NotNewer;
        }
        if change.base == 0 {
            return FeedOutcome::Applied(self.replace(now, *era, change));
        }
        if *era != self.era || change.base > self.log.revision() {
            return FeedOutcome::Gap;
        }
        let is_new = |it: &&EntryChange| it.revision > self.log.entry_revision(&it.key);
        let entries: Vec<EntryChange> = change.entries.iter().filter(is_new).cloned().collect();
        let changes = entries.iter().filter_map(|it| self.decoder.decode(it)).collect();
        for entry in &entries {
            self.kept_until.remove(&entry.key);
        }
        self.log.apply(&ConfigChange { entries, ..*change });
        FeedOutcome::Applied(changes)
    }

    /// Drops the entries of the previous era that were not written again in time; to be called on a
    /// timer.
    pub fn expire(&mut self, now: Instant) -> Vec<FleetChange> {
        let expired: Vec<EntryChange> = self
            .kept_until
            .extract_if(.., |_, until| now >= *until)
            .map(|(key, _)| EntryChange { key, revision: 0, value: None })
            .collect();
        for entry in &expired {
            tracing::warn!(key = %entry.key, era = self.era, "entry_not_republished");
        }
        let changes = expired.iter().filter_map(|it| self.decoder.decode(it)).collect();
        let revision = self.log.revision();
        if !expired.is_empty() {
            self.log.apply(&ConfigChange { base: revision, revision, entries: expired });
        }
        changes
    }

    /// Applies a full set of entries: those that it lacks were removed, unless they are kept from the
    /// previous era.
    fn replace(&mut self, now: Instant, era: u64, change: &ConfigChange) -> Vec<FleetChange> {
        if era != self.era {
            self.kept_until.clear();
        }
        let entries = self.merge_kept(era, &change.entries);
        let mut changes = Vec::new();
        let (mut upstreams, mut closed) = (Vec::new(), Vec::new());
        for entry in entries.values() {
            let decoded = self.decoder.decode(entry);
            self.set_expiry(now, entry, decoded.as_ref());
            match decoded {
                Some(FleetChange::Upstream(record)) => upstreams.push(record),
                Some(FleetChange::CentreClosed(centre)) => closed.push(centre),
                Some(routes @ FleetChange::Routes(_)) => changes.push(routes),
                // Removed entries are absent from the listing.
                _ => {}
            }
        }
        changes.push(FleetChange::FullListing { upstreams, closed });
        self.era = era;
        self.log.apply(&ConfigChange { entries: entries.into_values().collect(), ..*change });
        changes
    }

    /// Returns the entries of a full set, and the known ones that are kept beside or instead of them.
    fn merge_kept(&self, era: u64, listed: &[EntryChange]) -> BTreeMap<Arc<str>, EntryChange> {
        let mut entries: BTreeMap<Arc<str>, EntryChange> =
            listed.iter().map(|it| (it.key.clone(), it.clone())).collect();
        for (key, value) in self.log.values() {
            if era == self.era && self.log.entry_revision(key) != 0 {
                continue;
            }
            let known = EntryChange { key: key.clone(), revision: 0, value: Some(value.clone()) };
            if self.is_kept(&known, entries.get(key)) {
                entries.insert(key.clone(), known);
            }
        }
        entries
    }

    /// Sets how long an entry of the previous era holds; a configuration holds until the next one.
    fn set_expiry(&mut self, now: Instant, entry: &EntryChange, decoded: Option<&FleetChange>) {
        let retention = match decoded {
            Some(FleetChange::Upstream(_)) => REPUBLISH_TIME,
            Some(FleetChange::CentreClosed(_)) => CLOSURE_RETENTION,
            _ => return,
        };
        if entry.revision == 0 {
            self.kept_until.entry(entry.key.clone()).or_insert(now + retention);
        } else {
            self.kept_until.remove(&entry.key);
        }
    }

    /// Returns whether a known entry of the previous era holds on beside a listing that lacks it, or
    /// that has `listed` in its place.
    fn is_kept(&self, known: &EntryChange, listed: Option<&EntryChange>) -> bool {
        if listed.is_some_and(|it| it.value == known.value) {
            return false;
        }
        let listed = listed.and_then(|it| self.decoder.decode(it));
        match (self.decoder.decode(known), listed) {
            (Some(FleetChange::Routes(known)), Some(FleetChange::Routes(listed))) => {
                known.version() > listed.version()
            }
            // The copy may be from before the upstream announced that it leaves.
            (Some(FleetChange::Upstream(known)), Some(FleetChange::Upstream(listed))) => {
                known.incarnation == listed.incarnation && known.is_leaving && !listed.is_leaving
            }
            (Some(FleetChange::Routes(_) | FleetChange::Upstream(_)), None)
            | (Some(FleetChange::CentreClosed(_)), None) => true,
            _ => false,
        }
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
