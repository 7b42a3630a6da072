//! Fleet membership, which hosts learn from each other by gossip. The platform does not list them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IteratorRandom};
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
const LOST_HOST_RETENTION: Duration = Duration::from_secs(30);

/// Minimum age of a process that sends to cold upstreams. Only the first hosts in the rendezvous
/// order of an upstream do, and a younger process may not know the others yet: in a fleet that
/// restarts at once, every process would rank itself first.
const MIN_COLD_SENDER_AGE: Duration = Duration::from_secs(3);

/// Number of hosts of a data centre that read the platform themselves; the others read from these.
const RELAYS_PER_CENTRE: usize = 2;

/// Time for which a relay is not asked after a failure.
const RELAY_BACKOFF: Duration = Duration::from_secs(3);

/// Interval at which a host increments its heartbeat. Three intervals fit into [`MEMBER_TIMEOUT`],
/// so that one heartbeat may be missed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a host forwards a new heartbeat, in about five messages. With 500 ms, hosts of a
/// fleet of 88 miss three heartbeats in a row; a longer time makes messages larger.
const HEARTBEAT_FORWARD_TIME: Duration = Duration::from_millis(1_250);

/// Largest number of records in a message, which matters to hosts that have just joined or
/// restarted. After a restart of all 88 hosts of a fleet, each knows the others within 2.5 s, and
/// with a limit of 32 records within 6 s; messages reach 7 KB meanwhile.
const MAX_DIGEST_RECORDS: usize = 128;

/// Number of digests that the hosts of a data centre together send to other data centres in one
/// gossip round.
const REMOTE_DIGESTS_PER_ROUND: f64 = 4.0;

/// Highest probability with which a host that has peers in its own data centre sends a digest to
/// another one in a round; traffic between data centres has a cost.
const MAX_REMOTE_PROBABILITY: f64 = 0.5;

/// Probability with which a host that knows others sends a digest to a seed in a round. Groups of
/// hosts that joined through different seeds would otherwise never hear of each other.
const SEED_DIGEST_PROBABILITY: f64 = 0.05;

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
    fn process_hash(&self) -> u32 {
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
    process_hash: u32,
    last_heartbeat: Instant,
    /// Last failure of the host as a relay.
    last_failure: Option<Instant>,
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
    local: MemberRecord,
    members: BTreeMap<HostName, MemberState>,
    /// Hashes of the processes of which only a heartbeat is known.
    wanted: BTreeSet<u32>,
    /// Highest number of hosts within `LOST_HOST_RETENTION`, and when it was last reached.
    peak_hosts: (usize, Option<Instant>),
    started: Instant,
}

impl MemberTable {
    /// Creates a table with this host only.
    pub fn new(now: Instant, local: MemberRecord) -> Self {
        Self {
            local,
            members: BTreeMap::new(),
            wanted: BTreeSet::new(),
            peak_hosts: (1, None),
            started: now,
        }
    }

    /// Returns the record of this host.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Sets the heartbeat of this host from the age of its process.
    fn update_heartbeat(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started).as_millis();
        self.local.heartbeat = (age / HEARTBEAT_INTERVAL.as_millis()) as u64 + 1;
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
        if record.host == self.local.host {
            return None;
        }
        let process_hash = record.process_hash();
        self.wanted.remove(&process_hash);
        let state = MemberState { record, process_hash, last_heartbeat: now, last_failure: None };
        let Some(known) = self.members.get_mut(&state.record.host) else {
            self.members.insert(state.record.host.clone(), state);
            return Some(MemberChange::Joined);
        };
        if known.record.incarnation == state.record.incarnation {
            if state.record.heartbeat <= known.record.heartbeat {
                return None;
            }
            let was_lost = now.saturating_duration_since(known.last_heartbeat) >= MEMBER_TIMEOUT;
            known.record = state.record;
            known.last_heartbeat = now;
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

    /// Returns the other hosts whose last heartbeat arrived within `MEMBER_TIMEOUT`.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        self.live_states(now).map(|it| &it.record)
    }

    fn live_states(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        let is_live = move |it: &&MemberState| {
            now.saturating_duration_since(it.last_heartbeat) < MEMBER_TIMEOUT
        };
        self.members.values().filter(is_live)
    }

    /// Returns the number of hosts over which a fleet-wide limit is split: this one, the other live
    /// ones, and those lost within `LOST_HOST_RETENTION`.
    pub fn hosts_sharing_limits(&mut self, now: Instant) -> usize {
        let count = self.live(now).count() + 1;
        let (peak, reached) = self.peak_hosts;
        let is_expired =
            reached.is_none_or(|it| now.saturating_duration_since(it) >= LOST_HOST_RETENTION);
        if count >= peak || is_expired {
            self.peak_hosts = (count, Some(now));
        }
        self.peak_hosts.0
    }

    /// Returns whether this host is among the first `count` hosts in the rendezvous order of `key`;
    /// false for a process that is younger than `MIN_COLD_SENDER_AGE`.
    pub fn is_among_first(&self, now: Instant, key: &str, count: usize) -> bool {
        let rank = |host: &HostName| rendezvous::hash_parts(&[key, host.as_str()]);
        let own_rank = rank(&self.local.host);
        let is_settled = now.saturating_duration_since(self.started) >= MIN_COLD_SENDER_AGE;
        is_settled && self.live(now).filter(|it| rank(&it.host) > own_rank).count() < count
    }

    /// Returns the relays that this host may ask, in order of preference; empty if it reads the
    /// platform itself.
    pub fn relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let relays = self.local_relays(now);
        if relays.iter().any(|it| it.host == self.local.host) {
            return Vec::new();
        }
        relays.into_iter().filter(|it| self.is_usable_relay(now, it)).collect()
    }

    /// Returns the relays of the data centre of this host, which may be one of them.
    pub fn local_relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let hosts = self.live(now).filter(|it| it.centre == self.local.centre).chain([&self.local]);
        select_relays(hosts.collect())
    }

    /// Returns the relays of the other data centres that this host may ask.
    pub fn remote_relays(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut centres: BTreeMap<&CentreName, Vec<&MemberRecord>> = BTreeMap::new();
        for record in self.live(now).filter(|it| it.centre != self.local.centre) {
            centres.entry(&record.centre).or_default().push(record);
        }
        let relays = centres.into_values().flat_map(select_relays);
        relays.filter(|it| self.is_usable_relay(now, it)).collect()
    }

    fn is_usable_relay(&self, now: Instant, relay: &MemberRecord) -> bool {
        let last_failure = self.members.get(&relay.host).and_then(|it| it.last_failure);
        last_failure.is_none_or(|at| now.saturating_duration_since(at) >= RELAY_BACKOFF)
    }

    /// Returns whether other hosts of the data centre may depend on this one, because it reads the
    /// platform itself.
    pub fn has_followers(&self, now: Instant) -> bool {
        let neighbours = self.live(now).filter(|it| it.centre == self.local.centre).count();
        neighbours >= RELAYS_PER_CENTRE && self.relays(now).is_empty()
    }

    /// Records that a relay failed; it is not asked for `RELAY_BACKOFF`.
    pub fn record_relay_failure(&mut self, now: Instant, host: &HostName) {
        if let Some(state) = self.members.get_mut(host) {
            state.last_failure = Some(now);
        }
    }

    /// Returns the probability with which this host sends a digest to another data centre in a
    /// gossip round. It falls with the number of hosts in the data centre, so that the number of
    /// messages between data centres does not grow with it; it is 1 for a host that is alone there.
    pub fn remote_digest_probability(&self, now: Instant) -> f64 {
        let neighbours = self.live(now).filter(|it| it.centre == self.local.centre).count();
        if neighbours == 0 {
            return 1.0;
        }
        (REMOTE_DIGESTS_PER_ROUND / (neighbours + 1) as f64).min(MAX_REMOTE_PROBABILITY)
    }

    /// Chooses the hosts of one gossip round, each with whether it is in the data centre of this
    /// one: a random local host, and at times a random remote one and a seed. A host that knows no
    /// other uses a seed.
    pub fn digest_targets(&self, now: Instant, seeds: &[SocketAddr]) -> Vec<(SocketAddr, bool)> {
        let mut rng = rand::rng();
        let is_local = |it: &&MemberRecord| it.centre == self.local.centre;
        let local_peer = self.live(now).filter(is_local).choose(&mut rng);
        let remote_peer = self.live(now).filter(|it| !is_local(it)).choose(&mut rng);
        let probability = self.remote_digest_probability(now);
        let remote_peer = remote_peer.filter(|_| rng.random_bool(probability));
        let mut targets: Vec<(SocketAddr, bool)> = local_peer
            .map(|it| (it.address, true))
            .into_iter()
            .chain(remote_peer.map(|it| (it.address, false)))
            .collect();
        if targets.is_empty() || rng.random_bool(SEED_DIGEST_PROBABILITY) {
            let is_other = |it: &&SocketAddr| {
                **it != self.local.address && targets.iter().all(|(address, _)| address != *it)
            };
            let seed = seeds.iter().filter(is_other).choose(&mut rng);
            targets.extend(seed.map(|it| (*it, false)));
        }
        targets
    }

    /// Returns a digest for another host; with `request`, the digest of that host, it is the reply.
    pub fn digest(&mut self, now: Instant, request: Option<&MemberDigest>) -> MemberDigest {
        self.update_heartbeat(now);
        let is_recent = |it: &&MemberState| {
            now.saturating_duration_since(it.last_heartbeat) < HEARTBEAT_FORWARD_TIME
        };
        let beats = self.live_states(now).filter(is_recent);
        let beats = beats.map(|it| MemberHeartbeat(it.process_hash, it.record.heartbeat)).collect();
        MemberDigest {
            known: self.live(now).count(),
            beats,
            wanted: self.wanted.iter().copied().take(MAX_DIGEST_RECORDS).collect(),
            records: request.map(|it| self.missing_records(now, it)).unwrap_or_default(),
        }
    }

    /// Returns the records that another host wants, and random others if it knows fewer hosts than
    /// this one.
    fn missing_records(&self, now: Instant, request: &MemberDigest) -> Vec<MemberRecord> {
        let (wanted, others): (Vec<_>, Vec<_>) =
            self.live_states(now).partition(|it| request.wanted.contains(&it.process_hash));
        let has_fewer = request.known < wanted.len() + others.len();
        let mut rng = rand::rng();
        let others =
            others.into_iter().filter(|_| has_fewer).choose_multiple(&mut rng, MAX_DIGEST_RECORDS);
        let records = wanted.into_iter().chain(others).map(|it| it.record.clone());
        records.take(MAX_DIGEST_RECORDS).collect()
    }

    /// Merges the digest of another host; returns the members that changed.
    pub fn merge_digest(
        &mut self,
        now: Instant,
        sender: MemberRecord,
        digest: &MemberDigest,
    ) -> Vec<(HostName, MemberChange)> {
        let mut changes = Vec::new();
        let host = sender.host.clone();
        changes.extend(self.merge_direct(now, sender).map(|it| (host, it)));
        for record in &digest.records {
            changes.extend(
                self.merge_relayed(now, record.clone()).map(|it| (record.host.clone(), it)),
            );
        }
        let mut beats: HashMap<u32, u64> =
            digest.beats.iter().map(|MemberHeartbeat(id, heartbeat)| (*id, *heartbeat)).collect();
        beats.remove(&self.local.process_hash());
        for (host, state) in &mut self.members {
            let Some(heartbeat) = beats.remove(&state.process_hash) else {
                continue;
            };
            if heartbeat > state.record.heartbeat {
                if now.saturating_duration_since(state.last_heartbeat) >= MEMBER_TIMEOUT {
                    changes.push((host.clone(), MemberChange::Joined));
                }
                state.record.heartbeat = heartbeat;
                state.last_heartbeat = now;
            }
        }
        // Bounds the list: the records of some processes may never be sent.
        if self.wanted.len() > MAX_DIGEST_RECORDS {
            self.wanted.clear();
        }
        self.wanted.extend(beats.into_keys());
        changes
    }

    /// Removes hosts that were lost more than `LOST_HOST_RETENTION` ago. Returns those that were
    /// lost within `interval`, the time since the last call.
    pub fn expire(&mut self, now: Instant, interval: Duration) -> Vec<HostName> {
        let age = |it: &MemberState| now.saturating_duration_since(it.last_heartbeat);
        let lost = self
            .members
            .values()
            .filter(|it| (MEMBER_TIMEOUT..MEMBER_TIMEOUT + interval).contains(&age(it)));
        let lost = lost.map(|it| it.record.host.clone()).collect();
        self.members.retain(|_, it| age(it) < MEMBER_TIMEOUT + LOST_HOST_RETENTION);
        lost
    }
}

/// Returns the relays among the hosts of one data centre: those with the highest bandwidth, which
/// all hosts of the data centre rank alike.
pub(super) fn select_relays(mut hosts: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let preference =
        |it: &MemberRecord| (it.bandwidth, rendezvous::hash_parts(&["relay", it.host.as_str()]));
    hosts.sort_by_key(|it| std::cmp::Reverse(preference(it)));
    hosts.truncate(RELAYS_PER_CENTRE);
    hosts
}
