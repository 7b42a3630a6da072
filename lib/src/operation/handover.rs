//! Which keys wait for the records of earlier owners, and which hosts still have to send them.

use std::{collections::BTreeMap, time::Instant};

use super::RECORD_RETENTION;
use crate::{names::HostName, rendezvous};

/// Gains of keys that may wait for a handover at the same time; beyond it, two are merged into
/// one that affects all keys.
const MAX_GAINS: usize = 64;

/// A moment from which this host owns more keys than before.
#[derive(Clone, Debug)]
struct KeyGain {
    at: Instant,
    /// View before the gain; keys that this host owned in it are not affected.
    earlier_view: Vec<HostName>,
}

impl KeyGain {
    fn affects(&self, host: &HostName, placement: &str) -> bool {
        rendezvous::first(placement, &self.earlier_view) != Some(host)
    }
}

/// A running pull of records.
#[derive(Clone, Debug)]
struct RecordPull {
    started: Instant,
    /// Cursor of the next page for every host that has not sent its last page.
    waiting: BTreeMap<HostName, u64>,
}

/// Progress of the handover to this host.
#[derive(Clone, Debug, Default)]
pub(super) struct HandoverTracker {
    gains: Vec<KeyGain>,
    epoch: u64,
    pull: Option<RecordPull>,
}

impl HandoverTracker {
    pub(super) fn require(&mut self, at: Instant, earlier_view: &[HostName]) {
        if self.gains.len() >= MAX_GAINS {
            let oldest = self.gains.remove(0);
            self.gains[0].at = oldest.at.max(self.gains[0].at);
            self.gains[0].earlier_view.clear();
        }
        self.gains.push(KeyGain { at, earlier_view: earlier_view.to_vec() });
    }

    /// Returns whether a gain has taken effect that the running pull does not cover.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let started = self.pull.as_ref().map(|it| it.started);
        let mut gains = self.gains.iter();
        gains.any(|it| it.at <= now && started.is_none_or(|started| it.at > started))
    }

    pub(super) fn start<'a>(
        &mut self,
        now: Instant,
        sources: impl IntoIterator<Item = &'a HostName>,
        keeps_waiting: bool,
    ) -> u64 {
        self.epoch += 1;
        let is_over = |it: &KeyGain| now.saturating_duration_since(it.at) >= RECORD_RETENTION;
        self.gains.retain(|it| !is_over(it));
        let earlier = self.pull.take().filter(|_| keeps_waiting);
        let mut waiting: BTreeMap<HostName, u64> = BTreeMap::new();
        waiting.extend(earlier.into_iter().flat_map(|it| it.waiting));
        waiting.extend(sources.into_iter().map(|it| (it.clone(), 0)));
        self.pull = Some(RecordPull { started: now, waiting });
        self.drop_covered_gains();
        self.epoch
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn cursor(&self, source: &HostName) -> Option<u64> {
        self.pull.as_ref()?.waiting.get(source).copied()
    }

    pub(super) fn advance(&mut self, source: &HostName, next: Option<u64>) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        match next {
            Some(next) => {
                pull.waiting.insert(source.clone(), next);
            }
            None => {
                pull.waiting.remove(source);
            }
        }
        self.drop_covered_gains();
    }

    /// Ends the wait for hosts that are no longer listed.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&HostName) -> bool) {
        if let Some(pull) = &mut self.pull {
            pull.waiting.retain(|host, _| is_listed(host));
        }
        self.drop_covered_gains();
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = (&HostName, u64)> {
        let waiting = self.pull.iter().flat_map(|it| &it.waiting);
        waiting.map(|(host, cursor)| (host, *cursor))
    }

    /// Returns whether a key without a record may still have one elsewhere.
    pub(super) fn blocks(&self, now: Instant, host: &HostName, placement: &str) -> bool {
        self.gains.iter().any(|it| {
            it.at <= now
                && now.saturating_duration_since(it.at) < RECORD_RETENTION
                && it.affects(host, placement)
        })
    }

    fn drop_covered_gains(&mut self) {
        if let Some(pull) = &self.pull
            && pull.waiting.is_empty()
        {
            let started = pull.started;
            self.gains.retain(|it| it.at > started);
        }
    }
}
