//! The hosts of the fleet as they tell each other; the platform does not list them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    names::{CentreName, HostName},
    rendezvous,
};

/// Time without a sign of life after which a host counts as lost. With twelve records a message a
/// heartbeat crosses a hundred hosts in five seconds, and a few take twice that.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which lost hosts still count where a sum over all hosts is bounded: they may run behind
/// a partition.
const LOST_COUNTS: Duration = Duration::from_secs(30);

/// Age of a process from which it knows enough of the others to be one of the few that send to a cold
/// upstream. Until then every process of a fleet that restarts would take itself for the first.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Hosts of a data centre that read the platform themselves; the others ask these.
const RELAYS: usize = 2;

/// Time for which a relay that failed is not asked.
const DISTRUST_TIME: Duration = Duration::from_secs(3);

/// Records of hosts of the same data centre in a message to one of them, where bytes cost nothing.
const MAX_NEAR_RECORDS: usize = 32;

/// Records of other hosts in a message.
const MAX_FAR_RECORDS: usize = 12;

/// What hosts tell each other about one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Data centre in which it runs.
    pub centre: CentreName,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Start of its process in Unix milliseconds; a later process replaces an earlier one.
    pub incarnation: u64,
    /// Rises while the process runs.
    pub heartbeat: u64,
    /// Bandwidth of the host in Mbit/s; the fastest hosts are relays.
    pub bandwidth: u32,
}

#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    heard: Instant,
    distrusted: Option<Instant>,
}

/// What a host learned about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberNews {
    /// The host was not known, or had been lost.
    Joined,
    /// The process was replaced by a later one.
    Restarted,
}

/// Owner of what one host knows of the others.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    members: BTreeMap<HostName, MemberState>,
    /// Largest number of hosts a moment ago, and when it was last reached.
    most: (usize, Option<Instant>),
    started: Instant,
}

impl MemberTable {
    /// Creates a table that knows this host only.
    pub fn new(now: Instant, own: MemberRecord) -> Self {
        Self { own, members: BTreeMap::new(), most: (1, None), started: now }
    }

    /// Returns the record of this host.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Counts one more heartbeat of this host.
    pub fn beat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Takes the record that a host sent of itself.
    pub fn heard(&mut self, now: Instant, record: MemberRecord) -> Option<MemberNews> {
        self.take(now, record, true)
    }

    /// Takes a record that another host passed on.
    pub fn told(&mut self, now: Instant, record: MemberRecord) -> Option<MemberNews> {
        self.take(now, record, false)
    }

    fn take(&mut self, now: Instant, record: MemberRecord, is_direct: bool) -> Option<MemberNews> {
        if record.host == self.own.host {
            return None;
        }
        let state = MemberState { record, heard: now, distrusted: None };
        let Some(known) = self.members.get_mut(&state.record.host) else {
            self.members.insert(state.record.host.clone(), state);
            return Some(MemberNews::Joined);
        };
        if known.record.incarnation == state.record.incarnation {
            if state.record.heartbeat <= known.record.heartbeat {
                return None;
            }
            let was_lost = now.saturating_duration_since(known.heard) >= MEMBER_TIMEOUT;
            known.record = state.record;
            known.heard = now;
            return was_lost.then_some(MemberNews::Joined);
        }
        // The time of day may have been set back between two starts, so only the host itself is
        // believed when its incarnation falls.
        if is_direct || state.record.incarnation > known.record.incarnation {
            *known = state;
            return Some(MemberNews::Restarted);
        }
        None
    }

    /// Returns the other hosts that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(move |it| now.saturating_duration_since(it.heard) < MEMBER_TIMEOUT)
            .map(|it| &it.record)
    }

    /// Returns the number of hosts over which a bounded sum is split: those alive, this one, and
    /// those lost a moment ago.
    pub fn sharing_hosts(&mut self, now: Instant) -> usize {
        let count = self.live(now).count() + 1;
        let (most, at) = self.most;
        let is_old = at.is_none_or(|it| now.saturating_duration_since(it) >= LOST_COUNTS);
        if count >= most || is_old {
            self.most = (count, Some(now));
        }
        self.most.0
    }

    /// Returns whether this host is among the first `count` hosts in the rendezvous order of `key`; a
    /// process that has just started is not.
    pub fn is_among_first(&self, now: Instant, key: &str, count: usize) -> bool {
        let order = |host: &HostName| rendezvous::hash_parts(&[key, host.as_str()]);
        let own = order(&self.own.host);
        let is_settled = now.saturating_duration_since(self.started) >= SETTLE_TIME;
        is_settled && self.live(now).filter(|it| order(&it.host) > own).count() < count
    }

    /// Returns the relays that this host may ask, in order; empty if it reads the platform itself.
    pub fn relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let hosts = self.live(now).filter(|it| it.centre == self.own.centre).chain([&self.own]);
        let relays = first_relays(hosts.collect());
        if relays.iter().any(|it| it.host == self.own.host) {
            return Vec::new();
        }
        relays.into_iter().filter(|it| self.is_trusted(now, it)).collect()
    }

    /// Returns the relays of the other data centres that this host may ask.
    pub fn far_relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut centres: BTreeMap<&CentreName, Vec<&MemberRecord>> = BTreeMap::new();
        for record in self.live(now).filter(|it| it.centre != self.own.centre) {
            centres.entry(&record.centre).or_default().push(record);
        }
        let relays = centres.into_values().flat_map(first_relays);
        relays.filter(|it| self.is_trusted(now, it)).collect()
    }

    fn is_trusted(&self, now: Instant, relay: &MemberRecord) -> bool {
        let distrusted = self.members.get(&relay.host).and_then(|it| it.distrusted);
        distrusted.is_none_or(|at| now.saturating_duration_since(at) >= DISTRUST_TIME)
    }

    /// Returns whether other hosts of the data centre depend on this one.
    pub fn has_followers(&self, now: Instant) -> bool {
        let neighbours = self.live(now).filter(|it| it.centre == self.own.centre).count();
        neighbours >= RELAYS && self.relays(now).is_empty()
    }

    /// Notes that a relay failed.
    pub fn distrust(&mut self, now: Instant, host: &HostName) {
        if let Some(state) = self.members.get_mut(host) {
            state.distrusted = Some(now);
        }
    }

    /// Returns the records for one message to a host of the data centre or to another one;
    /// `position` moves through the hosts from message to message.
    pub fn records(&self, now: Instant, is_near: bool, position: usize) -> Vec<MemberRecord> {
        let (near, far): (Vec<_>, Vec<_>) =
            self.live(now).partition(|it| it.centre == self.own.centre);
        let window = |hosts: &[&MemberRecord], most: usize| {
            let count = hosts.len().min(most);
            (0..count).map(|it| hosts[(position + it) % hosts.len()].clone()).collect::<Vec<_>>()
        };
        if is_near {
            let near = window(&near, MAX_NEAR_RECORDS);
            near.into_iter().chain(window(&far, MAX_FAR_RECORDS)).collect()
        } else {
            window(&near.into_iter().chain(far).collect::<Vec<_>>(), MAX_FAR_RECORDS)
        }
    }

    /// Forgets hosts that were lost long ago; returns those that were lost since the last call.
    pub fn expire(&mut self, now: Instant, interval: Duration) -> Vec<HostName> {
        let age = |it: &MemberState| now.saturating_duration_since(it.heard);
        let lost = self
            .members
            .values()
            .filter(|it| (MEMBER_TIMEOUT..MEMBER_TIMEOUT + interval).contains(&age(it)));
        let lost = lost.map(|it| it.record.host.clone()).collect();
        self.members.retain(|_, it| age(it) < MEMBER_TIMEOUT + LOST_COUNTS);
        lost
    }
}

/// Returns the relays among the hosts of one data centre, in order.
fn first_relays(mut hosts: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let order =
        |it: &MemberRecord| (it.bandwidth, rendezvous::hash_parts(&["relay", it.host.as_str()]));
    hosts.sort_by_key(|it| std::cmp::Reverse(order(it)));
    hosts.truncate(RELAYS);
    hosts
}
