//! Tracks which keys this host has gained and which hosts still have to send their records.

use std::{collections::BTreeMap, time::Instant};

use super::RECORD_RETENTION;
use crate::{names::HostName, rendezvous};

/// Maximum number of gains that wait for a handover. Beyond it the two oldest are merged into one
/// that affects all keys.
const MAX_PENDING_GAINS: usize = 64;

/// A change of ownership after which this host owns more keys than before.
#[derive(Clone, Debug)]
struct OwnershipGain {
    effective_from: Instant,
    /// View before the change; keys that this host owned in it are not affected. Empty if all keys
    /// are affected.
    earlier_view: Vec<HostName>,
}

impl OwnershipGain {
    fn affects(&self, host: &HostName, placement_key: &str) -> bool {
        rendezvous::first(placement_key, &self.earlier_view) != Some(host)
    }
}

/// A handover in progress: this host requests the records of the other hosts page by page.
#[derive(Clone, Debug)]
struct RecordPull {
    started: Instant,
    /// Cursor of the next page of every host that has not sent its last page.
    next_cursors: BTreeMap<HostName, u64>,
}

/// Progress of the handover of records to this host.
#[derive(Clone, Debug, Default)]
pub(super) struct HandoverTracker {
    gains: Vec<OwnershipGain>,
    epoch: u64,
    pull: Option<RecordPull>,
}

impl HandoverTracker {
    /// Records that this host gains keys; see
    /// [`OperationLedger::require_handover`](super::OperationLedger::require_handover).
    pub(super) fn require(&mut self, effective_from: Instant, earlier_view: &[HostName]) {
        if self.gains.len() >= MAX_PENDING_GAINS {
            let oldest_gain = self.gains.remove(0);
            self.gains[0].effective_from =
                oldest_gain.effective_from.max(self.gains[0].effective_from);
            self.gains[0].earlier_view.clear();
        }
        self.gains.push(OwnershipGain { effective_from, earlier_view: earlier_view.to_vec() });
    }

    /// Returns whether a gain has taken effect after the newest handover was started.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let started = self.pull.as_ref().map(|it| it.started);
        let mut gains = self.gains.iter();
        gains.any(|it| {
            it.effective_from <= now && started.is_none_or(|started| it.effective_from > started)
        })
    }

    /// Starts a handover from `sources` and, with `keep_earlier_sources`, from the hosts that have
    /// not sent their last page in the previous one. Returns the epoch of the new handover.
    pub(super) fn start<'a>(
        &mut self,
        now: Instant,
        sources: impl IntoIterator<Item = &'a HostName>,
        keep_earlier_sources: bool,
    ) -> u64 {
        self.epoch += 1;
        let is_expired = |it: &OwnershipGain| {
            now.saturating_duration_since(it.effective_from) >= RECORD_RETENTION
        };
        self.gains.retain(|it| !is_expired(it));
        let earlier = self.pull.take().filter(|_| keep_earlier_sources);
        let mut next_cursors: BTreeMap<HostName, u64> = BTreeMap::new();
        next_cursors.extend(earlier.into_iter().flat_map(|it| it.next_cursors));
        next_cursors.extend(sources.into_iter().map(|it| (it.clone(), 0)));
        self.pull = Some(RecordPull { started: now, next_cursors });
        self.remove_completed_gains();
        self.epoch
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn cursor(&self, source: &HostName) -> Option<u64> {
        self.pull.as_ref()?.next_cursors.get(source).copied()
    }

    pub(super) fn advance(&mut self, source: &HostName, next: Option<u64>) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        match next {
            Some(next) => {
                pull.next_cursors.insert(source.clone(), next);
            }
            None => {
                pull.next_cursors.remove(source);
            }
        }
        self.remove_completed_gains();
    }

    /// Removes the sources that are no longer listed.
    pub(super) fn retain_sources(&mut self, is_listed: impl Fn(&HostName) -> bool) {
        if let Some(pull) = &mut self.pull {
            pull.next_cursors.retain(|host, _| is_listed(host));
        }
        self.remove_completed_gains();
    }

    pub(super) fn pending_pages(&self) -> impl Iterator<Item = (&HostName, u64)> {
        let next_cursors = self.pull.iter().flat_map(|it| &it.next_cursors);
        next_cursors.map(|(host, cursor)| (host, *cursor))
    }

    /// Returns whether a key without a record here may have one on a host that has not sent all of
    /// its records.
    pub(super) fn may_miss_record(
        &self,
        now: Instant,
        host: &HostName,
        placement_key: &str,
    ) -> bool {
        self.gains.iter().any(|it| {
            it.effective_from <= now
                && now.saturating_duration_since(it.effective_from) < RECORD_RETENTION
                && it.affects(host, placement_key)
        })
    }

    fn remove_completed_gains(&mut self) {
        if let Some(pull) = &self.pull
            && pull.next_cursors.is_empty()
        {
            let started = pull.started;
            self.gains.retain(|it| it.effective_from > started);
        }
    }
}
