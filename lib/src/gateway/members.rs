//! The hosts of the fleet as they tell each other; the platform does not list them.

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

/// Time without a sign of life after which a host counts as lost. A heartbeat crosses 400 hosts in some
/// four seconds, and a few are missed.
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

/// Interval in which the heartbeat of a host rises. Three of them fit into [`MEMBER_TIMEOUT`], so one
/// may get lost.
const BEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a host passes a new heartbeat on, in some five messages. With 500 ms hosts of a fleet
/// of 88 miss three heartbeats in a row; a longer time makes messages larger.
const NEWS_TIME: Duration = Duration::from_millis(1_250);

/// Records in a message, for hosts that have just joined or restarted. A fleet of 88 hosts that restarts
/// knows itself after 2.5 s, with 32 records after 6 s; a message has 7 KB then.
const MAX_RECORDS: usize = 128;

/// Digests that all hosts of a data centre send elsewhere in one round.
const FAR_DIGESTS: f64 = 4.0;

/// Largest share of the rounds in which a host with neighbours tells a host elsewhere, where bytes
/// cost.
const MAX_FAR_SHARE: f64 = 0.5;

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

impl MemberRecord {
    /// Identifies the process in heartbeats; a restarted host has another one.
    fn beat_id(&self) -> u32 {
        let incarnation = self.incarnation.to_string();
        rendezvous::hash_parts(&["beat", self.host.as_str(), &incarnation]) as u32
    }
}

/// The heartbeat of one process, in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat(u32, u64);

/// What one host tells another one about the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Number of hosts that the sender knows.
    pub known: usize,
    /// Heartbeats that the sender has learned a moment ago.
    pub beats: Vec<MemberHeartbeat>,
    /// Processes of which the sender has a heartbeat, but no record.
    pub wanted: Vec<u32>,
    /// Records that the receiver lacks.
    pub records: Vec<MemberRecord>,
}

#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    beat_id: u32,
    heard: Instant,
    distrusted: Option<Instant>,
}

/// What a host learned about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
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
    /// Processes of which only a heartbeat is known.
    wanted: BTreeSet<u32>,
    /// Largest number of hosts a moment ago, and when it was last reached.
    most: (usize, Option<Instant>),
    started: Instant,
}

impl MemberTable {
    /// Creates a table that knows this host only.
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

    /// Raises the heartbeat of this host with the time that has passed.
    fn beat(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started).as_millis();
        self.own.heartbeat = (age / BEAT_INTERVAL.as_millis()) as u64 + 1;
    }

    /// Takes the record that a host sent of itself.
    pub fn merge_direct(&mut self, now: Instant, record: MemberRecord) -> Option<MemberChange> {
        self.merge_record(now, record, true)
    }

    /// Takes a record that another host passed on.
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
        // The time of day may have been set back between two starts, so only the host itself is
        // believed when its incarnation falls.
        if is_direct || state.record.incarnation > known.record.incarnation {
            *known = state;
            return Some(MemberChange::Restarted);
        }
        None
    }

    /// Returns the other hosts that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        self.live_states(now).map(|it| &it.record)
    }

    fn live_states(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        let is_live =
            move |it: &&MemberState| now.saturating_duration_since(it.heard) < MEMBER_TIMEOUT;
        self.members.values().filter(is_live)
    }

    /// Returns the number of hosts over which a bounded sum is split: those alive, this one, and
    /// those lost a moment ago.
    pub fn hosts_sharing_limits(&mut self, now: Instant) -> usize {
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

    /// Returns whether other hosts of the data centre depend on this one.
    pub fn has_followers(&self, now: Instant) -> bool {
        let neighbours = self.live(now).filter(|it| it.centre == self.own.centre).count();
        neighbours >= RELAYS && self.relays(now).is_empty()
    }

    /// Notes that a relay failed.
    pub fn record_relay_failure(&mut self, now: Instant, host: &HostName) {
        if let Some(state) = self.members.get_mut(host) {
            state.distrusted = Some(now);
        }
    }

    /// Returns the share of the rounds of digests in which this host tells a host elsewhere. The
    /// messages between data centres do not grow with the number of hosts in each.
    pub fn remote_digest_probability(&self, now: Instant) -> f64 {
        let neighbours = self.live(now).filter(|it| it.centre == self.own.centre).count();
        if neighbours == 0 {
            return 1.0;
        }
        (FAR_DIGESTS / (neighbours + 1) as f64).min(MAX_FAR_SHARE)
    }

    /// Returns what this host tells another one, as an answer to `asked` if that one told first.
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

    /// Records for a host that asks for some, or knows fewer hosts than this one.
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

    /// Takes what another host told; returns what changed.
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
        // A record that nobody has in a while is not waited for.
        if self.wanted.len() > MAX_RECORDS {
            self.wanted.clear();
        }
        self.wanted.extend(beats.into_keys());
        news
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
