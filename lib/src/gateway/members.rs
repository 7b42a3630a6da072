//! Fleet membership, which hosts learn from each other by gossip. The platform does not list them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::{
    names::{CentreName, HostName},
    rendezvous,
};

/// Time without a new heartbeat after which a host counts as lost. A heartbeat takes about four
/// seconds to reach 400 hosts, and some of them miss a few heartbeats.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which lost hosts still count when a fleet-wide limit is split over the hosts: they may
/// still run behind a partition.
const LOST_COUNTS: Duration = Duration::from_secs(30);

/// Minimum age of a process that sends to cold upstreams. Only the first hosts in the rendezvous
/// order of an upstream do, and a younger process may not know the others yet: in a fleet that
/// restarts at once, every process would rank itself first.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Number of hosts of a data centre that read the platform themselves; the others read from these.
const RELAYS: usize = 2;

/// Time for which a relay is not asked after a failure.
const DISTRUST_TIME: Duration = Duration::from_secs(3);

/// Interval at which a host increments its heartbeat. Three intervals fit into [`MEMBER_TIMEOUT`],
/// so that one heartbeat may be missed.
const BEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a host forwards a new heartbeat, in about five messages. With 500 ms, hosts of a
/// fleet of 88 miss three heartbeats in a row; a longer time makes messages larger.
const NEWS_TIME: Duration = Duration::from_millis(1_250);

/// Largest number of records in a message, which matters to hosts that have just joined or
/// restarted. After a restart of all 88 hosts of a fleet, each knows the others within 2.5 s, and
/// with a limit of 32 records within 6 s; messages reach 7 KB meanwhile.
const MAX_RECORDS: usize = 128;

/// Number of digests that the hosts of a data centre together send to other data centres in one
/// gossip round.
const FAR_DIGESTS: f64 = 4.0;

/// Highest probability with which a host that has peers in its own data centre sends a digest to
/// another one in a round; traffic between data centres has a cost.
const MAX_FAR_SHARE: f64 = 0.5;

/// One host, as hosts describe it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Data centre in which it runs.
    pub centre: CentreName,
    /// Address on which it receives messages of other hosts.
    pub address: SocketAddr,
    /// Start time of its process in Unix milliseconds; a later process replaces an earlier one.
    pub incarnation: u64,
    /// Counter that rises while the process runs.
    pub heartbeat: u64,
    /// Bandwidth of the host in Mbit/s; the hosts with the highest bandwidth are relays.
    pub bandwidth: u32,
}

impl MemberRecord {
    /// Returns the hash of host and incarnation that identifies the process in a heartbeat.
    fn beat_id(&self) -> u32 {
        let incarnation = self.incarnation.to_string();
        rendezvous::hash_parts(&["beat", self.host.as_str(), &incarnation]) as u32
    }
}

/// A heartbeat in compact form: the hash that identifies the process, and the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat(u32, u64);

/// Gossip message about the members of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Number of other live hosts that the sender knows.
    pub known: usize,
    /// New heartbeats that the sender received recently.
    pub beats: Vec<MemberHeartbeat>,
    /// Hashes of the processes of which the sender has a heartbeat, but no record.
    pub wanted: Vec<u32>,
    /// Records that the receiver lacks; sent in replies only.
    pub records: Vec<MemberRecord>,
}

#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    beat_id: u32,
    heard: Instant,
    distrusted: Option<Instant>,
}

/// How the known state of another host changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The host was unknown or lost before.
    Joined,
    /// Another process of the host replaced the known one.
    Restarted,
}

/// The members of the fleet as known to one host.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    members: BTreeMap<HostName, MemberState>,
    /// Hashes of the processes of which only a heartbeat is known.
    wanted: BTreeSet<u32>,
    /// Highest number of hosts within `LOST_COUNTS`, and when it was last reached.
    most: (usize, Option<Instant>),
    started: Instant,
}

impl MemberTable {
    /// Creates a table with this host only.
    pub fn new(now: Instant, own: MemberRecord) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            wanted: BTreeSet::new(),
            most: (1, None),
            started: now,
        }
    }

    /// Returns the record of this host.
    pub fn local(&self) -> &MemberRecord {
        &self.own
    }

    /// Sets the heartbeat of this host from the age of its process.
    fn beat(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started).as_millis();
        self.own.heartbeat = (age / BEAT_INTERVAL.as_millis()) as u64 + 1;
    }

    /// Merges the record that a host sent of itself; returns what changed.
    pub fn merge_direct(&mut self, now: Instant, record: MemberRecord) -> Option<MemberChange> {
        self.merge_record(now, record, true)
    }

    /// Merges a record that another host forwarded; returns what changed.
    pub fn merge_relayed(&mut self, now: Instant, record: MemberRecord) -> Option<MemberChange> {
        self.merge_record(now, record, false)
    }

    fn merge_record(
        &mut self,
        now: Instant,
        record: MemberRecord,
        is_direct: bool,
    ) -> Option<MemberChange> {
        if record.host == self.own.host {
            return None;
        }
        let beat_id = record.beat_id();
        self.wanted.remove(&beat_id);
        let state = MemberState { record, beat_id, heard: now, distrusted: None };
        let Some(known) = self.members.get_mut(&state.record.host) else {
            self.members.insert(state.record.host.clone(), state);
            return Some(MemberChange::Joined);
        };
        if known.record.incarnation == state.record.incarnation {
            if state.record.heartbeat <= known.record.heartbeat {
                return None;
            }
            let was_lost = now.saturating_duration_since(known.heard) >= MEMBER_TIMEOUT;
            known.record = state.record;
            known.heard = now;
            return was_lost.then_some(MemberChange::Joined);
        }
        // The clock may have been set back between two starts, so a lower incarnation is accepted
        // from the host itself only.
        if is_direct || state.record.incarnation > known.record.incarnation {
            *known = state;
            return Some(MemberChange::Restarted);
        }
        None
    }

    /// Returns the other hosts that sent a heartbeat within `MEMBER_TIMEOUT`.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        self.live_states(now).map(|it| &it.record)
    }

    fn live_states(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        let is_live =
            move |it: &&MemberState| now.saturating_duration_since(it.heard) < MEMBER_TIMEOUT;
        self.members.values().filter(is_live)
    }

    /// Returns the number of hosts over which a fleet-wide limit is split: this one, the other live
    /// ones, and those lost within `LOST_COUNTS`.
    pub fn hosts_sharing_limits(&mut self, now: Instant) -> usize {
        let count = self.live(now).count() + 1;
        let (most, at) = self.most;
        let is_old = at.is_none_or(|it| now.saturating_duration_since(it) >= LOST_COUNTS);
        if count >= most || is_old {
            self.most = (count, Some(now));
        }
        self.most.0
    }

    /// Returns whether this host is among the first `count` hosts in the rendezvous order of `key`;
    /// false for a process that is younger than `SETTLE_TIME`.
    pub fn is_among_first(&self, now: Instant, key: &str, count: usize) -> bool {
        let order = |host: &HostName| rendezvous::hash_parts(&[key, host.as_str()]);
        let own = order(&self.own.host);
        let is_settled = now.saturating_duration_since(self.started) >= SETTLE_TIME;
        is_settled && self.live(now).filter(|it| order(&it.host) > own).count() < count
    }

    /// Returns the relays that this host may ask, in order of preference; empty if it reads the
    /// platform itself.
    pub fn relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let hosts = self.live(now).filter(|it| it.centre == self.own.centre).chain([&self.own]);
        let relays = first_relays(hosts.collect());
        if relays.iter().any(|it| it.host == self.own.host) {
            return Vec::new();
        }
        relays.into_iter().filter(|it| self.is_trusted(now, it)).collect()
    }

    /// Returns the relays of the other data centres that this host may ask.
    pub fn remote_relays(&self, now: Instant) -> Vec<&MemberRecord> {
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

    /// Returns whether other hosts of the data centre may depend on this one as their relay.
    pub fn has_followers(&self, now: Instant) -> bool {
        let neighbours = self.live(now).filter(|it| it.centre == self.own.centre).count();
        neighbours >= RELAYS && self.relays(now).is_empty()
    }

    /// Records that a relay failed; it is not asked for `DISTRUST_TIME`.
    pub fn record_relay_failure(&mut self, now: Instant, host: &HostName) {
        if let Some(state) = self.members.get_mut(host) {
            state.distrusted = Some(now);
        }
    }

    /// Returns the probability with which this host sends a digest to another data centre in a
    /// gossip round. It falls with the number of hosts in a data centre, so that the number of
    /// messages between data centres does not grow with it.
    pub fn remote_digest_probability(&self, now: Instant) -> f64 {
        let neighbours = self.live(now).filter(|it| it.centre == self.own.centre).count();
        if neighbours == 0 {
            return 1.0;
        }
        (FAR_DIGESTS / (neighbours + 1) as f64).min(MAX_FAR_SHARE)
    }

    /// Returns a digest for another host; with `asked`, the digest of that host, it is the reply.
    pub fn digest(&mut self, now: Instant, asked: Option<&MemberDigest>) -> MemberDigest {
        self.beat(now);
        let is_news = |it: &&MemberState| now.saturating_duration_since(it.heard) < NEWS_TIME;
        let beats = self.live_states(now).filter(is_news);
        let beats = beats.map(|it| MemberHeartbeat(it.beat_id, it.record.heartbeat)).collect();
        MemberDigest {
            known: self.live(now).count(),
            beats,
            wanted: self.wanted.iter().copied().take(MAX_RECORDS).collect(),
            records: asked.map(|it| self.lacking(now, it)).unwrap_or_default(),
        }
    }

    /// Returns the records that another host wants, and random others if it knows fewer hosts than
    /// this one.
    fn lacking(&self, now: Instant, asked: &MemberDigest) -> Vec<MemberRecord> {
        let (wanted, others): (Vec<_>, Vec<_>) =
            self.live_states(now).partition(|it| asked.wanted.contains(&it.beat_id));
        let has_fewer = asked.known < wanted.len() + others.len();
        let mut rng = rand::rng();
        let others =
            others.into_iter().filter(|_| has_fewer).choose_multiple(&mut rng, MAX_RECORDS);
        let records = wanted.into_iter().chain(others).map(|it| it.record.clone());
        records.take(MAX_RECORDS).collect()
    }

    /// Merges the digest of another host; returns the members that changed.
    pub fn merge_digest(
        &mut self,
        now: Instant,
        sender: MemberRecord,
        digest: &MemberDigest,
    ) -> Vec<(HostName, MemberChange)> {
        let mut news = Vec::new();
        let host = sender.host.clone();
        news.extend(self.merge_direct(now, sender).map(|it| (host, it)));
        for record in &digest.records {
            news.extend(
                self.merge_relayed(now, record.clone()).map(|it| (record.host.clone(), it)),
            );
        }
        let mut beats: HashMap<u32, u64> =
            digest.beats.iter().map(|MemberHeartbeat(id, heartbeat)| (*id, *heartbeat)).collect();
        beats.remove(&self.own.beat_id());
        for (host, state) in &mut self.members {
            let Some(heartbeat) = beats.remove(&state.beat_id) else {
                continue;
            };
            if heartbeat > state.record.heartbeat {
                if now.saturating_duration_since(state.heard) >= MEMBER_TIMEOUT {
                    news.push((host.clone(), MemberChange::Joined));
                }
                state.record.heartbeat = heartbeat;
                state.heard = now;
            }
        }
        // Bounds the list: the records of some processes may never be sent.
        if self.wanted.len() > MAX_RECORDS {
            self.wanted.clear();
        }
        self.wanted.extend(beats.into_keys());
        news
    }

    /// Removes hosts that were lost more than `LOST_COUNTS` ago. Returns those that were lost
    /// within `interval`, the time since the last call.
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

/// Returns the relays among the hosts of one data centre: those with the highest bandwidth, which
/// all hosts of the data centre rank alike.
fn first_relays(mut hosts: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let order =
        |it: &MemberRecord| (it.bandwidth, rendezvous::hash_parts(&["relay", it.host.as_str()]));
    hosts.sort_by_key(|it| std::cmp::Reverse(order(it)));
    hosts.truncate(RELAYS);
    hosts
}
