//! Processes on the hosts of the fleet: detection of lost ones, and the planned stop of this one.

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

/// Longest time for which a stopping process replicates its records to other hosts.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The last known process of each listed host.
#[derive(Debug, Default)]
pub(super) struct ProcessTable {
    /// Last known incarnation by host.
    running: BTreeMap<HostName, u64>,
    /// Incarnations that released their ownership after a handover of their records, by host.
    released: BTreeMap<HostName, u64>,
    /// Live hosts of each data centre in the last list.
    listed: BTreeMap<CentreName, BTreeSet<HostName>>,
    handover: Option<RecordHandover>,
}

/// The handover of this process's records during a planned stop.
#[derive(Debug)]
struct RecordHandover {
    since: Instant,
    reply: Option<ReplySender<()>>,
}

impl ProcessTable {
    /// Records that a process is stopping and has handed over its records.
    pub(super) fn record_release(&mut self, release: &HostRelease) {
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
    /// Records that a process runs on a host.
    ///
    /// A changed incarnation means that the records of the previous process are lost, unless it
    /// had handed them over.
    pub(super) fn record_process(&mut self, now: Instant, host: &HostName, incarnation: u64) {
        let previous = self.processes.running.get(host).copied();
        if previous == Some(incarnation) {
            if self.views.host_list().host(host).is_some() {
                self.ledger.mark_running(now, host, incarnation);
            }
            return;
        }
        if let Some(previous) = previous
            && !self.processes.is_released(host)
            && let Some((centre, hosts)) = self.processes.view_of(host)
        {
            let view: Vec<HostName> = hosts.iter().cloned().collect();
            let lost = [LostProcess { host: host.clone(), incarnation: Some(previous) }];
            let centre = centre.clone();
            self.ledger.mark_records_lost(now, &centre, &view, &lost);
        }
        self.ledger.forget_holder(host);
        self.is_replication_due = true;
        self.processes.running.insert(host.clone(), incarnation);
    }

    /// Applies the host list: the records of a process count as lost if its host is no longer
    /// listed as live and it has not handed them over.
    pub(super) fn update_listed(&mut self, now: Instant) {
        let mut listed: BTreeMap<CentreName, BTreeSet<HostName>> = BTreeMap::new();
        for host in &self.views.host_list().hosts {
            if host.state == HostState::Live {
                listed.entry(host.data_centre.clone()).or_default().insert(host.name.clone());
            }
        }
        if listed == self.processes.listed {
            return;
        }
        let previous = std::mem::replace(&mut self.processes.listed, listed);
        for (centre, hosts) in previous {
            let listed_now = self.processes.listed.get(&centre);
            if listed_now != Some(&hosts) {
                self.token_cache.on_owners_changed(&centre);
            }
            let removed = hosts
                .iter()
                .filter(|it| !listed_now.is_some_and(|listed_now| listed_now.contains(*it)));
            let lost: Vec<LostProcess> = removed
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
        self.is_replication_due = true;
    }

    /// Begins to replicate the records of this process to other hosts, after which it gives up its
    /// ownership; `reply` is sent at the end.
    ///
    /// Called at the beginning of a planned stop, so that the next owners can act at once, and
    /// again when the last operation has ended. Every record is sent again, because the loss of
    /// its second holder may not have been detected.
    pub(super) fn begin_record_handover(&mut self, now: Instant, reply: Option<ReplySender<()>>) {
        let others: Vec<HostName> = self.other_hosts().map(|it| it.name.clone()).collect();
        for host in &others {
            self.ledger.forget_holder(host);
        }
        self.is_replication_due = true;
        self.replication_cursor = 0;
        self.processes.handover = Some(RecordHandover { since: now, reply });
        self.continue_record_handover(now);
    }

    /// Continues the handover; ends it when every record has a second holder or after a timeout.
    pub(super) fn continue_record_handover(&mut self, now: Instant) {
        let Some(handover) = &self.processes.handover else {
            return;
        };
        let has_timed_out = now.saturating_duration_since(handover.since) >= HANDOVER_TIMEOUT;
        self.replicate_records(now);
        if self.is_replication_due && !has_timed_out {
            return;
        }
        if self.is_replication_due {
            // No release is sent, so that the other hosts count the records as lost.
            tracing::warn!(records = self.ledger.status().records, "hand_over_incomplete");
            self.views.release();
        } else {
            self.release_ownership(now);
        }
        if let Some(reply) = self.processes.handover.take().and_then(|it| it.reply) {
            let _ = reply.send(());
        }
    }
}
