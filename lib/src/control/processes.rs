//! Which processes run on the hosts of the fleet, and how they stop.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{command::ReplySender, state::ControlState};
use crate::{
    membership::{HostRelease, HostState},
    names::{CentreName, HostName},
    operation::LostProcess,
};

/// Longest time for which a process that stops gives its records to other hosts.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// The last known process of each listed host.
#[derive(Debug, Default)]
pub(super) struct ProcessTable {
    /// Incarnation by host.
    running: BTreeMap<HostName, u64>,
    /// Incarnations that handed over their records before they stopped.
    released: BTreeMap<HostName, u64>,
    /// Live hosts of each data centre in the last list.
    listed: BTreeMap<CentreName, BTreeSet<HostName>>,
    leaving: Option<HandOver>,
}

/// A planned stop of this process that hands over its records.
#[derive(Debug)]
struct HandOver {
    since: Instant,
    reply: Option<ReplySender<()>>,
}

impl ProcessTable {
    /// Notes that a process stopped after it had handed over its records.
    pub(super) fn note_release(&mut self, release: &HostRelease) {
        self.released.insert(release.host.clone(), release.incarnation);
    }

    fn is_released(&self, host: &HostName) -> bool {
        self.released.get(host).is_some_and(|it| self.running.get(host) == Some(it))
    }

    fn view_of(&self, host: &HostName) -> Option<(&CentreName, &BTreeSet<HostName>)> {
        self.listed.iter().find(|(_, hosts)| hosts.contains(host))
    }
}

impl ControlState {
    /// Notes that a process runs on a host; a changed incarnation means that the earlier one
    /// lost its records, unless it had handed them over.
    pub(super) fn note_process(&mut self, now: Instant, host: &HostName, incarnation: u64) {
        let earlier = self.processes.running.get(host).copied();
        if earlier == Some(incarnation) {
            if self.views.host_list().host(host).is_some() {
                self.ledger.mark_running(now, host, incarnation);
            }
            return;
        }
        if let Some(earlier) = earlier
            && !self.processes.is_released(host)
            && let Some((centre, hosts)) = self.processes.view_of(host)
        {
            let view: Vec<HostName> = hosts.iter().cloned().collect();
            let lost = [LostProcess { host: host.clone(), incarnation: Some(earlier) }];
            let centre = centre.clone();
            self.ledger.mark_records_lost(now, &centre, &view, &lost);
        }
        self.ledger.forget_holder(host);
        self.is_placement_due = true;
        self.processes.running.insert(host.clone(), incarnation);
    }

    /// Notes which hosts left the list without handing over their records.
    pub(super) fn note_listed(&mut self, now: Instant) {
        let mut listed: BTreeMap<CentreName, BTreeSet<HostName>> = BTreeMap::new();
        for host in &self.views.host_list().hosts {
            if host.state == HostState::Live {
                listed.entry(host.data_centre.clone()).or_default().insert(host.name.clone());
            }
        }
        if listed == self.processes.listed {
            return;
        }
        let earlier = std::mem::replace(&mut self.processes.listed, listed);
        for (centre, hosts) in earlier {
            let kept = self.processes.listed.get(&centre);
            if kept != Some(&hosts) {
                self.token_cache.on_owners_changed(&centre);
            }
            let gone = hosts.iter().filter(|it| !kept.is_some_and(|kept| kept.contains(*it)));
            let lost: Vec<LostProcess> = gone
                .filter(|it| !self.processes.is_released(it))
                .map(|it| LostProcess {
                    host: it.clone(),
                    incarnation: self.processes.running.get(it).copied(),
                })
                .collect();
            if !lost.is_empty() {
                let view: Vec<HostName> = hosts.iter().cloned().collect();
                self.ledger.mark_records_lost(now, &centre, &view, &lost);
            }
        }
        self.is_placement_due = true;
    }

    /// Begins to hand over the records of this process, which then gives up its rights; `reply` is
    /// sent at the end.
    ///
    /// Called at the beginning of a planned stop, so that the next owners act at once, and again
    /// when the last operation has ended. Every record is sent again, because its second holder
    /// may have been lost unnoticed.
    pub(super) fn hand_over(&mut self, now: Instant, reply: Option<ReplySender<()>>) {
        let others: Vec<HostName> = self.other_hosts().map(|it| it.name.clone()).collect();
        for host in &others {
            self.ledger.forget_holder(host);
        }
        self.is_placement_due = true;
        self.placement_cursor = 0;
        self.processes.leaving = Some(HandOver { since: now, reply });
        self.continue_hand_over(now);
    }

    /// Ends the handover when every record has a second holder.
    pub(super) fn continue_hand_over(&mut self, now: Instant) {
        let Some(leaving) = &self.processes.leaving else {
            return;
        };
        let is_late = now.saturating_duration_since(leaving.since) >= HAND_OVER_TIME;
        self.place_records(now);
        if self.is_placement_due && !is_late {
            return;
        }
        if self.is_placement_due {
            // Without a release the other hosts note the loss of the records.
            tracing::warn!(records = self.ledger.status().records, "hand_over_incomplete");
            self.views.release();
        } else {
            self.release(now);
        }
        if let Some(reply) = self.processes.leaving.take().and_then(|it| it.reply) {
            let _ = reply.send(());
        }
    }
}
