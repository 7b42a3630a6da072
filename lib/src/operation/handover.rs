//! Which keys wait for the records of earlier owners, and which hosts still have to send them.

use std::{collections::BTreeMap, time::Instant};

use super::RECORD_RETENTION;
use crate::{names::HostName, rendezvous};

/// Gains of keys that may wait for a handover at the same time; beyond it, two are merged into
/// one that affects all keys.
const MAX_PENDING_GAINS: usize = 64;

/// A moment from which this host owns more keys than before.
#[derive(Clone, Debug)]
struct OwnershipGain {
    effective_from: Instant,
    /// View before the gain; keys that this host owned in it are not affected.
    earlier_view: Vec<HostName>,
}

impl OwnershipGain {
    fn affects(&self, host: &HostName, placement_key: &str) -> bool {
        rendezvous::first(placement_key, &self.earlier_view) != Some(host)
    }
}

/// A running pull of records.
#[derive(Clone, Debug)]
struct RecordPull {
    started: Instant,
    /// Cursor of the next page for every host that has not sent its last page.
    next_cursors: BTreeMap<HostName, u64>,
}

/// Progress of the handover to this host.
#[derive(Clone, Debug, Default)]
pub(super) struct HandoverTracker {
    gains: Vec<OwnershipGain>,
    epoch: u64,
    pull: Option<RecordPull>,
}

impl HandoverTracker {
    pub(super) fn require(&mut self, effective_from: Instant, earlier_view: &[HostName]) {
        if self.gains.len() >= MAX_PENDING_GAINS {
            let oldest_gain = self.gains.remove(0);
            self.gains[0].effective_from =
                oldest_gain.effective_from.max(self.gains[0].effective_from);
            self.gains[0].earlier_view.clear();
        }
        self.gains.push(OwnershipGain { effective_from, earlier_view: earlier_view.to_vec() });
    }

    /// Returns whether a gain has taken effect that the running pull does not cover.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let started = self.pull.as_ref().map(|it| it.started);
        let mut gains = self.gains.iter();
        gains.any(|it| {
            it.effective_from <= now && started.is_none_or(|started| it.effective_from > started)
        })
    }

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

    /// Ends the wait for hosts that are no longer listed.
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

    /// Returns whether a key without a record may still have one elsewhere.
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
