//! Keys whose record may be lost because owner and backup were lost together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{RECORD_RETENTION, SIMULTANEOUS_LOSS_WINDOW};
use crate::{
    names::{CentreName, HostName},
    rendezvous,
};

/// Markers of one process; beyond it, the two oldest are merged into a wider one.
const MAX_MARKERS: usize = 64;

/// Processes in one marker; beyond it, all hosts of the view count as lost.
const MAX_LOST: usize = 256;

/// A process that lost its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostProcess {
    /// Host of the process.
    pub host: HostName,
    /// Its incarnation, if the host that noticed the loss had heard from it.
    pub incarnation: Option<u64>,
}

/// Hosts of a data centre that were lost within [`SIMULTANEOUS_LOSS_WINDOW`] of each other.
///
/// A record was on the first two hosts of the view in rendezvous order. If both are among the
/// lost ones, a key without a record may have had one. For a view of one host the backup was in
/// another data centre, and the lost processes of all data centres are included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossMarker {
    /// The data centre.
    pub centre: CentreName,
    /// View before the first loss.
    pub view: Vec<HostName>,
    /// The lost processes.
    pub lost: Vec<LostProcess>,
    /// Time since the last loss, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct MarkerSlot {
    centre: CentreName,
    view: Vec<HostName>,
    lost: Vec<LostProcess>,
    at: Instant,
}

impl MarkerSlot {
    fn affects(&self, placement: &str) -> bool {
        let ranked = rendezvous::rank(placement, &self.view);
        let is_lost = |host: &HostName| self.lost.iter().any(|it| it.host == *host);
        ranked.into_iter().take(2).all(is_lost)
    }

    /// A single loss leaves a copy on another host.
    fn counts(&self, now: Instant) -> bool {
        let first = self.lost.first();
        let is_pair = first.is_some_and(|first| self.lost.iter().any(|it| it.host != first.host));
        is_pair && now.saturating_duration_since(self.at) < RECORD_RETENTION
    }

    fn covers(&self, other: &Self) -> bool {
        self.centre == other.centre
            && self.view == other.view
            && other.lost.iter().all(|it| self.lost.contains(it))
    }
}

/// Losses of records that this process has seen or heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTracker {
    /// Losses of each data centre that the next loss adds to.
    recent: BTreeMap<CentreName, MarkerSlot>,
    markers: Vec<MarkerSlot>,
}

impl LossTracker {
    pub(super) fn note<'a>(
        &mut self,
        now: Instant,
        centre: &CentreName,
        view: &[HostName],
        lost: impl IntoIterator<Item = &'a LostProcess>,
    ) {
        let is_over =
            |it: &MarkerSlot| now.saturating_duration_since(it.at) >= SIMULTANEOUS_LOSS_WINDOW;
        if self.recent.get(centre).is_some_and(is_over)
            && let Some(ended) = self.recent.remove(centre)
        {
            self.push(now, ended);
        }
        let recent = self.recent.entry(centre.clone()).or_insert_with(|| MarkerSlot {
            centre: centre.clone(),
            view: sorted(view),
            lost: Vec::new(),
            at: now,
        });
        recent.at = now;
        for process in lost {
            if !recent.lost.contains(process) {
                recent.lost.push(process.clone());
            }
        }
        if recent.lost.len() > MAX_LOST {
            recent.lost = all_lost(&recent.view);
        }
        self.pair_single_hosts(now);
    }

    /// Adds the recent losses of other data centres to the loss of a data centre's only host,
    /// because its backup is there.
    fn pair_single_hosts(&mut self, now: Instant) {
        let is_recent =
            |it: &MarkerSlot| now.saturating_duration_since(it.at) < SIMULTANEOUS_LOSS_WINDOW;
        let recent = self.recent.values().filter(|it| is_recent(it));
        let lost: Vec<LostProcess> = recent.flat_map(|it| it.lost.clone()).collect();
        let single = self.recent.values_mut().filter(|it| it.view.len() == 1);
        for slot in single.filter(|it| is_recent(it) && !it.lost.is_empty()) {
            for process in &lost {
                if !slot.lost.contains(process) && slot.lost.len() < MAX_LOST {
                    slot.lost.push(process.clone());
                }
            }
        }
    }

    /// Withdraws the loss of a process that runs; returns whether keys were affected by it.
    pub(super) fn withdraw(&mut self, now: Instant, host: &HostName, incarnation: u64) -> bool {
        let mut has_counted = false;
        for slot in self.recent.values_mut().chain(&mut self.markers) {
            let is_running =
                |it: &LostProcess| it.host == *host && it.incarnation == Some(incarnation);
            has_counted |= slot.lost.iter().any(is_running) && slot.counts(now);
            slot.lost.retain(|it| !is_running(it));
        }
        has_counted
    }

    /// Adds a marker of another host.
    pub(super) fn import(&mut self, now: Instant, marker: &LossMarker) {
        let age = Duration::from_millis(marker.age_ms);
        let slot = MarkerSlot {
            centre: marker.centre.clone(),
            view: sorted(&marker.view),
            lost: marker.lost.clone(),
            at: now.checked_sub(age).unwrap_or(now),
        };
        let mut known = self.recent.values().chain(&self.markers);
        if !known.any(|it| it.covers(&slot)) {
            self.push(now, slot);
        }
    }

    pub(super) fn export(&self, now: Instant) -> Vec<LossMarker> {
        self.counting(now)
            .map(|it| LossMarker {
                centre: it.centre.clone(),
                view: it.view.clone(),
                lost: it.lost.clone(),
                age_ms: now.saturating_duration_since(it.at).as_millis() as u64,
            })
            .collect()
    }

    pub(super) fn affects(&self, now: Instant, centre: &CentreName, placement: &str) -> bool {
        self.counting(now).any(|it| it.centre == *centre && it.affects(placement))
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.markers.retain(|it| it.counts(now));
    }

    fn counting(&self, now: Instant) -> impl Iterator<Item = &MarkerSlot> {
        let slots = self.markers.iter().chain(self.recent.values());
        slots.filter(move |it| it.counts(now))
    }

    fn push(&mut self, now: Instant, slot: MarkerSlot) {
        self.markers.retain(|it| it.counts(now) && !slot.covers(it));
        self.markers.push(slot);
        if self.markers.len() > MAX_MARKERS {
            let oldest = self.markers.remove(0);
            let same = self.markers.iter_mut().find(|it| it.centre == oldest.centre);
            if let Some(merged) = same {
                // The wider marker has to affect every key that either of the two affects.
                merged.view.extend(oldest.view);
                merged.lost = all_lost(&merged.view);
                merged.at = merged.at.max(oldest.at);
            }
        }
    }
}

fn all_lost(view: &[HostName]) -> Vec<LostProcess> {
    let lost = |host: &HostName| LostProcess { host: host.clone(), incarnation: None };
    view.iter().map(lost).collect()
}

/// The same set in the same order, so that markers of several hosts can be compared.
fn sorted(view: &[HostName]) -> Vec<HostName> {
    let mut sorted = view.to_vec();
    sorted.sort();
    sorted
}
