//! Tracks the newest and the accepted revision of the configuration.

use std::sync::Arc;

use super::entry_log::{ConfigChange, EntryLog};
use crate::catalogue::{Catalogue, CatalogueProblem, RejectedCatalogue};

/// What became of a change.
#[derive(Clone, Debug)]
pub enum ChangeOutcome {
    /// The catalogue is now in force.
    Accepted(Arc<Catalogue>),
    /// The check failed; the last accepted catalogue stays in force.
    Rejected(RejectedCatalogue),
    /// The revision is not higher than the one in force, or is already known as rejected.
    Stale,
    /// The change starts from a revision that is not known here; a whole one is needed.
    Gap,
}

/// Owner of the configuration of one process.
///
/// `seen` follows every published revision, also rejected ones, because later changes are
/// based on them; `accepted` is what is in force.
#[derive(Debug, Default)]
pub struct ConfigTracker {
    seen: EntryLog,
    accepted: EntryLog,
    catalogue: Arc<Catalogue>,
    rejection: Option<RejectedCatalogue>,
}

impl ConfigTracker {
    /// Creates a tracker without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a change if it leads to a higher revision than the one in force.
    pub fn apply(&mut self, change: &ConfigChange) -> ChangeOutcome {
        if change.revision <= self.accepted.revision() || change.revision == self.seen.revision() {
            return ChangeOutcome::Stale;
        }
        if change.revision < self.seen.revision() {
            return self.apply_skipped(change);
        }
        if change.base > self.seen.revision() {
            return ChangeOutcome::Gap;
        }
        self.seen.apply(change);
        match Catalogue::parse(self.seen.revision(), self.seen.values()) {
            Ok(catalogue) => {
                self.accepted = self.seen.clone();
                self.catalogue = Arc::new(catalogue);
                self.rejection = None;
                ChangeOutcome::Accepted(self.catalogue.clone())
            }
            Err(rejection) => {
                self.rejection = Some(rejection.clone());
                ChangeOutcome::Rejected(rejection)
            }
        }
    }

    /// Applies a change to a revision between the accepted one and a newer, rejected one.
    ///
    /// A process that started, or was cut off, while the newest revision was rejected saw that
    /// one first. Without this it would keep its older catalogue, or none, until the next
    /// revision, while its peers serve the one before the rejected.
    fn apply_skipped(&mut self, change: &ConfigChange) -> ChangeOutcome {
        if change.base > self.accepted.revision() {
            return ChangeOutcome::Gap;
        }
        let mut snapshot = self.accepted.clone();
        snapshot.apply(change);
        match Catalogue::parse(snapshot.revision(), snapshot.values()) {
            Ok(catalogue) => {
                self.accepted = snapshot;
                self.catalogue = Arc::new(catalogue);
                ChangeOutcome::Accepted(self.catalogue.clone())
            }
            Err(rejection) => ChangeOutcome::Rejected(rejection),
        }
    }

    /// Returns the catalogue in force; empty at revision 0 before the first accepted one.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the revision in force.
    pub fn accepted_revision(&self) -> u64 {
        self.accepted.revision()
    }

    /// Returns the highest revision known, accepted or not.
    pub fn seen_revision(&self) -> u64 {
        self.seen.revision()
    }

    /// Returns the problems of the newest revision if it was rejected.
    pub fn problems(&self) -> &[CatalogueProblem] {
        self.rejection.as_ref().map_or(&[], |it| &it.problems)
    }

    /// Returns the change that leads a peer from `base` to the newest revision known here.
    ///
    /// `base` is the revision that the peer has in force, not the highest one that it has seen.
    ///
    /// Rejected revisions are passed on as well: the peer reaches the same verdict, and later
    /// changes are based on them. A peer that lacks the accepted revision before a rejected
    /// one receives the accepted one first.
    pub fn change_since(&self, base: u64) -> ConfigChange {
        if base < self.accepted.revision() {
            self.accepted.change_since(base)
        } else {
            self.seen.change_since(base)
        }
    }
}
