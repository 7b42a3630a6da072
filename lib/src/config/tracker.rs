//! Tracks the highest known and the accepted revision of the configuration.

use std::sync::Arc;

use super::entry_log::{ConfigChange, EntryLog};
use crate::catalogue::{Catalogue, CatalogueProblem, RejectedCatalogue};

/// Result of applying a change.
#[derive(Clone, Debug)]
pub enum ChangeOutcome {
    /// The resulting catalogue is valid and now in force.
    Accepted(Arc<Catalogue>),
    /// The resulting catalogue is invalid; the last accepted one stays in force.
    Rejected(RejectedCatalogue),
    /// The revision is not higher than the accepted one, or is the highest known one already.
    Stale,
    /// Changes before the base of the change are missing; a complete configuration is needed.
    Gap,
}

/// The configuration of one process.
///
/// `seen` is the highest known revision, which may have been rejected: later changes are based on
/// rejected revisions too. `accepted` is the revision in force.
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

    /// Applies a change if it results in a higher revision than the one in force.
    pub fn apply(&mut self, change: &ConfigChange) -> ChangeOutcome {
        if change.revision <= self.accepted.revision() || change.revision == self.seen.revision() {
            return ChangeOutcome::Stale;
        }
        if change.revision < self.seen.revision() {
            return self.apply_before_rejected(change);
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

    /// Applies a change to a revision between the accepted one and a higher, rejected one.
    ///
    /// A process that starts or reconnects while the highest revision is a rejected one receives
    /// that revision first. It must still accept the one before it: otherwise it would keep an
    /// older catalogue, or none, until the next revision, while its peers serve the one before the
    /// rejected one.
    fn apply_before_rejected(&mut self, change: &ConfigChange) -> ChangeOutcome {
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

    /// Returns the highest known revision, accepted or rejected.
    pub fn seen_revision(&self) -> u64 {
        self.seen.revision()
    }

    /// Returns the problems of the highest known revision if it was rejected.
    pub fn problems(&self) -> &[CatalogueProblem] {
        self.rejection.as_ref().map_or(&[], |it| &it.problems)
    }

    /// Returns the change from `base` to the highest known revision, for a peer.
    ///
    /// `base` is the revision that the peer has in force, not the highest one that it knows.
    ///
    /// Rejected revisions are sent as well, because later changes are based on them; the peer
    /// rejects them too. A peer that lacks the accepted revision before a rejected one receives
    /// the accepted one first.
    pub fn change_since(&self, base: u64) -> ConfigChange {
        if base < self.accepted.revision() {
            self.accepted.change_since(base)
        } else {
            self.seen.change_since(base)
        }
    }
}
