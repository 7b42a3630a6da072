//! Tracks which keys may have lost their record because owner and backup were lost together.

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

/// Maximum number of markers of one process. Beyond it the oldest one is removed and merged into
/// another of the same data centre, if there is one, which then affects the keys of both.
const MAX_MARKERS: usize = 64;

/// Maximum number of processes in one marker. Beyond it all hosts of the view count as lost.
const MAX_LOST_PROCESSES: usize = 256;

/// A process that lost its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostProcess {
    /// Host of the process.
    pub host: HostName,
    /// Its incarnation, if known to the host that recorded the loss.
    pub incarnation: Option<u64>,
}

/// Hosts of a data centre that were lost within [`SIMULTANEOUS_LOSS_WINDOW`] of each other.
///
/// A record is held by the first two hosts of the view in rendezvous order. If both are lost, a
/// key without a record may have had one. If the view has a single host, its backups are in another
/// data centre, so the lost processes of all data centres are included.
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

/// A [`LossMarker`] in the memory of this process.
#[derive(Clone, Debug)]
struct MarkerSlot {
    centre: CentreName,
    view: Vec<HostName>,
    lost: Vec<LostProcess>,
    last_loss: Instant,
}

impl MarkerSlot {
    fn affects(&self, placement_key: &str) -> bool {
        let ranked = rendezvous::rank(placement_key, &self.view);
        let is_lost = |host: &HostName| self.lost.iter().any(|it| it.host == *host);
        ranked.into_iter().take(2).all(is_lost)
    }

    /// Returns whether records may be lost: the marker names at least two hosts, because the loss
    /// of a single host leaves a copy on another one, and the retention has not passed.
    fn is_in_force(&self, now: Instant) -> bool {
        let first = self.lost.first();
        let is_double_loss =
            first.is_some_and(|first| self.lost.iter().any(|it| it.host != first.host));
        is_double_loss && now.saturating_duration_since(self.last_loss) < RECORD_RETENTION
    }

    fn covers(&self, other: &Self) -> bool {
        self.centre == other.centre
            && self.view == other.view
            && other.lost.iter().all(|it| self.lost.contains(it))
    }
}

/// Losses of records that this process observed or that other hosts reported.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTracker {
    /// Newest losses of each data centre; a further loss within [`SIMULTANEOUS_LOSS_WINDOW`] is
    /// added to them.
    recent: BTreeMap<CentreName, MarkerSlot>,
    /// Earlier losses, and those that other hosts reported; the oldest first.
    markers: Vec<MarkerSlot>,
}

impl LossTracker {
    /// Records that processes of a data centre were lost; `view` is the view before.
    pub(super) fn record_loss<'a>(
        &mut self,
        now: Instant,
        centre: &CentreName,
        view: &[HostName],
        lost: impl IntoIterator<Item = &'a LostProcess>,
    ) {
        let is_window_over = |it: &MarkerSlot| {
            now.saturating_duration_since(it.last_loss) >= SIMULTANEOUS_LOSS_WINDOW
        };
        if self.recent.get(centre).is_some_and(is_window_over)
            && let Some(ended) = self.recent.remove(centre)
        {
            self.add_marker(now, ended);
        }
        let recent = self.recent.entry(centre.clone()).or_insert_with(|| MarkerSlot {
            centre: centre.clone(),
            view: sorted(view),
            lost: Vec::new(),
            last_loss: now,
        });
        recent.last_loss = now;
        for process in lost {
            if !recent.lost.contains(process) {
                recent.lost.push(process.clone());
            }
        }
        if recent.lost.len() > MAX_LOST_PROCESSES {
            recent.lost = all_lost(&recent.view);
        }
        self.extend_single_host_losses(now);
    }

    /// Adds the recent losses of all data centres to the loss of a data centre's only host, because
    /// its backup is in another data centre.
    fn extend_single_host_losses(&mut self, now: Instant) {
        let is_recent = |it: &MarkerSlot| {
            now.saturating_duration_since(it.last_loss) < SIMULTANEOUS_LOSS_WINDOW
        };
        let recent = self.recent.values().filter(|it| is_recent(it));
        let lost: Vec<LostProcess> = recent.flat_map(|it| it.lost.clone()).collect();
        let single = self.recent.values_mut().filter(|it| it.view.len() == 1);
        for slot in single.filter(|it| is_recent(it) && !it.lost.is_empty()) {
            for process in &lost {
                if !slot.lost.contains(process) && slot.lost.len() < MAX_LOST_PROCESSES {
                    slot.lost.push(process.clone());
                }
            }
        }
    }

    /// Removes a process that runs from all losses. Returns whether one of these affected keys.
    pub(super) fn withdraw(&mut self, now: Instant, host: &HostName, incarnation: u64) -> bool {
        let mut was_in_force = false;
        for slot in self.recent.values_mut().chain(&mut self.markers) {
            let is_running =
                |it: &LostProcess| it.host == *host && it.incarnation == Some(incarnation);
            was_in_force |= slot.lost.iter().any(is_running) && slot.is_in_force(now);
            slot.lost.retain(|it| !is_running(it));
        }
        was_in_force
    }

    /// Adds a marker received from another host.
    pub(super) fn import(&mut self, now: Instant, marker: &LossMarker) {
        let age = Duration::from_millis(marker.age_ms);
        let slot = MarkerSlot {
            centre: marker.centre.clone(),
            view: sorted(&marker.view),
            lost: marker.lost.clone(),
            last_loss: now.checked_sub(age).unwrap_or(now),
        };
        let mut known_markers = self.recent.values().chain(&self.markers);
        if !known_markers.any(|it| it.covers(&slot)) {
            self.add_marker(now, slot);
        }
    }

    /// Returns the markers in force for another host.
    pub(super) fn export(&self, now: Instant) -> Vec<LossMarker> {
        self.markers_in_force(now)
            .map(|it| LossMarker {
                centre: it.centre.clone(),
                view: it.view.clone(),
                lost: it.lost.clone(),
                age_ms: now.saturating_duration_since(it.last_loss).as_millis() as u64,
            })
            .collect()
    }

    /// Returns whether a key of a data centre may have lost its record.
    pub(super) fn affects(&self, now: Instant, centre: &CentreName, placement_key: &str) -> bool {
        self.markers_in_force(now).any(|it| it.centre == *centre && it.affects(placement_key))
    }

    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.markers.retain(|it| it.is_in_force(now));
    }

    fn markers_in_force(&self, now: Instant) -> impl Iterator<Item = &MarkerSlot> {
        let slots = self.markers.iter().chain(self.recent.values());
        slots.filter(move |it| it.is_in_force(now))
    }

    fn add_marker(&mut self, now: Instant, slot: MarkerSlot) {
        self.markers.retain(|it| it.is_in_force(now) && !slot.covers(it));
        self.markers.push(slot);
        if self.markers.len() > MAX_MARKERS {
            let oldest = self.markers.remove(0);
            let same_centre = self.markers.iter_mut().find(|it| it.centre == oldest.centre);
            if let Some(merged) = same_centre {
                // The merged marker must affect every key that either of the two affects.
                merged.view.extend(oldest.view);
                merged.lost = all_lost(&merged.view);
                merged.last_loss = merged.last_loss.max(oldest.last_loss);
            }
        }
    }
}

/// Returns a lost process with an unknown incarnation for every host of a view.
fn all_lost(view: &[HostName]) -> Vec<LostProcess> {
    let lost = |host: &HostName| LostProcess { host: host.clone(), incarnation: None };
    view.iter().map(lost).collect()
}

/// Returns the hosts in a fixed order, so that markers of several hosts can be compared.
fn sorted(view: &[HostName]) -> Vec<HostName> {
    let mut sorted = view.to_vec();
    sorted.sort();
    sorted
}
