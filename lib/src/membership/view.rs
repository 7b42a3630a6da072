//! Decides when it is safe for this host to act as the owner of a key.
//!
//! Every error in this module must be on the side of not owning: a host that is missing from a
//! view can lead to two owners, a host too many only leads to none.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{HostList, HostRecord, HostState};
use crate::{
    names::{CentreName, HostName},
    rendezvous,
};

/// Hosts that get a heartbeat while the host list confirms the view. Heartbeats to all hosts of
/// a data centre of 67 would take several times the control traffic that a host may cause.
const HEARTBEAT_SAMPLE_SIZE: usize = 3;

/// Times on which ownership depends; the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewTiming {
    /// Age up to which a list read or a heartbeat counts as evidence.
    pub validity: Duration,
    /// Longest time until a change of the host list is visible to every reader.
    pub list_lag: Duration,
    /// Allowance for clock drift, and longest harmless lapse of the evidence.
    pub margin: Duration,
}

impl ViewTiming {
    /// Returns how long a host must have been owner in all its views before it acts.
    pub fn takeover_wait(&self) -> Duration {
        self.list_lag + self.validity + self.margin
    }
}

impl Default for ViewTiming {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(6),
            list_lag: Duration::from_secs(10),
            margin: Duration::from_secs(1),
        }
    }
}

/// Message sent about once per second to other hosts of the sender's data centre.
///
/// [`ViewTracker::heartbeat_targets`] chooses the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender; `leaving` if it does not consider itself listed as live.
    pub host: HostRecord,
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Version of the sender's host list.
    pub list_version: u64,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering host; `leaving` if it does not consider itself listed as live.
    pub host: HostRecord,
    /// Incarnation of the answering process.
    pub incarnation: u64,
    /// Hash of the answering host's view.
    pub view_hash: u64,
    /// Hosts of the data centre that the answering host has heard from within the validity.
    /// If both have the same list version, only those that are not live in the list.
    pub heard: Vec<ReportedHost>,
}

/// A host that a peer has heard from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedHost {
    /// The host as it described itself.
    pub host: HostRecord,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Statement of a process that it owns nothing from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRelease {
    /// Host that stops.
    pub host: HostName,
    /// Incarnation of the process that stops.
    pub incarnation: u64,
}

/// What is known about another host of the data centre.
#[derive(Clone, Debug)]
struct PeerState {
    /// The host as it last described itself.
    record: HostRecord,
    incarnation: u64,
    /// Time at which the host was last heard from directly, as live.
    live_at: Option<Instant>,
    /// Time at which it last said that it owns nothing, unless it was heard as live since.
    leaving_at: Option<Instant>,
    /// Time at which a peer last reported to have heard from the host.
    reported_at: Option<Instant>,
    /// Hash that the host last confirmed and the time at which it was asked.
    confirmed_view: Option<(u64, Instant)>,
    /// Latest time at which the incarnation is known to have run.
    running_at: Option<Instant>,
}

/// The set of hosts that was in force from some time on.
#[derive(Clone, Debug)]
struct View {
    start: Instant,
    names: BTreeSet<HostName>,
    hash: u64,
}

impl View {
    fn new(start: Instant, names: BTreeSet<HostName>) -> Self {
        let parts: Vec<&str> = names.iter().map(HostName::as_str).collect();
        let hash = rendezvous::hash_parts(&parts);
        Self { start, names, hash }
    }
}

/// Uninterrupted period in which the host had evidence for its views.
#[derive(Clone, Copy, Debug)]
struct EvidencePeriod {
    start: Instant,
    end: Instant,
}

/// Owner of one process's knowledge about the hosts of the fleet.
#[derive(Debug)]
pub struct ViewTracker {
    host: HostRecord,
    incarnation: u64,
    timing: ViewTiming,
    started: Instant,
    last_call: Instant,
    list: HostList,
    /// Hosts of the data centre in recent views that the list does not contain any more.
    unlisted: BTreeMap<HostName, HostRecord>,
    /// Start of the last list read that contained this host as live.
    last_list_read: Option<Instant>,
    peers: BTreeMap<HostName, PeerState>,
    /// Hosts that ran as live at a time that the list may not show yet. Without the list, the
    /// view is not confirmed as long as one of them is silent.
    seen_live: BTreeMap<HostName, Instant>,
    /// Incarnations that own nothing any more, with the last time at which they are known to
    /// have run. They are excluded from views until the list is known to be newer than that.
    releases: BTreeMap<HostName, (u64, Instant)>,
    /// Views in force during the last `takeover_wait`, oldest first; never empty.
    views: Vec<View>,
    /// Live hosts of the whole fleet, as `views`.
    live_sets: Vec<View>,
    evidence: Option<EvidencePeriod>,
    is_released: bool,
}

impl ViewTracker {
    /// Creates a tracker that knows no host list yet.
    pub fn new(host: HostRecord, incarnation: u64, timing: ViewTiming, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            timing,
            started: now,
            last_call: now,
            list: HostList::default(),
            unlisted: BTreeMap::new(),
            last_list_read: None,
            peers: BTreeMap::new(),
            seen_live: BTreeMap::new(),
            releases: BTreeMap::new(),
            views: vec![View::new(now, BTreeSet::new())],
            live_sets: vec![View::new(now, BTreeSet::new())],
            evidence: None,
            is_released: false,
        }
    }

    /// Takes a list whose read began at `started`.
    ///
    /// A list with a lower version than the known one comes from a stale replica. It is ignored
    /// and is no evidence of freshness.
    pub fn apply_list(&mut self, started: Instant, now: Instant, list: &HostList) {
        self.detect_pause(now);
        if list.version >= self.list.version {
            if list.version > self.list.version {
                let earlier = std::mem::replace(&mut self.list, list.clone());
                for host in earlier
                    .live_in(&self.host.data_centre)
                    .filter(|it| list.host(&it.name).is_none())
                {
                    self.unlisted.insert(host.name.clone(), host.clone());
                }
                let live = self.list.hosts.iter().filter(|it| it.state == HostState::Live);
                let fleet = live.map(|it| it.name.clone()).collect();
                push_view(&mut self.live_sets, now, self.timing.takeover_wait(), fleet);
            }
            self.record_list_read(started);
        }
        self.update(now);
    }

    /// Notes that a read that began at `started` found no newer list.
    pub fn refresh_list(&mut self, started: Instant, now: Instant) {
        self.detect_pause(now);
        self.record_list_read(started);
        self.update(now);
    }

    /// Drops what has expired; to be called several times per validity.
    ///
    /// After a gap larger than the validity all evidence is discarded.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        self.update(now);
    }

    /// Returns the heartbeat to send to the hosts of [`Self::heartbeat_targets`].
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.tick(now);
        Heartbeat {
            host: self.own_record(),
            incarnation: self.incarnation,
            list_version: self.list.version,
        }
    }

    /// Returns the hosts to which the next heartbeat goes; to be called once per second.
    ///
    /// These are all other hosts of the data centre in the views of the last `takeover_wait`
    /// while the list read is about to expire, because then only peers can confirm the view.
    /// Otherwise, all hosts that left the list, because they may still run, and a changing
    /// sample of the others.
    pub fn heartbeat_targets(&self, now: Instant) -> Vec<HostRecord> {
        let (listed, unlisted): (Vec<_>, Vec<_>) = self
            .known_peers()
            .into_iter()
            .partition(|it| self.listed_state(&it.name) == Some(HostState::Live));
        let is_list_fresh = self
            .last_list_read
            .is_some_and(|it| now.saturating_duration_since(it) < self.timing.validity * 3 / 4);
        let count =
            if is_list_fresh { listed.len().min(HEARTBEAT_SAMPLE_SIZE) } else { listed.len() };
        let second = now.saturating_duration_since(self.started).as_secs() as usize;
        let sample = listed.iter().cycle().skip(second * count % listed.len().max(1));
        unlisted.iter().chain(sample.take(count)).map(|it| (*it).clone()).collect()
    }

    /// Returns the other hosts of the data centre in the list or in any view of the last
    /// `takeover_wait`; a release goes to all of them.
    pub fn known_peers(&self) -> Vec<&HostRecord> {
        let listed = self.list.live_in(&self.host.data_centre);
        let names: BTreeSet<&HostName> =
            self.views.iter().flat_map(|it| &it.names).chain(listed.map(|it| &it.name)).collect();
        names
            .into_iter()
            .filter(|it| **it != self.host.name)
            .filter_map(|it| self.host_record(it))
            .collect()
    }

    /// Returns the hosts of the current view.
    pub fn members(&self) -> &BTreeSet<HostName> {
        &self.view().names
    }

    /// Takes a heartbeat and returns the answer to it.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        self.detect_pause(now);
        self.merge_host(&heartbeat.host, heartbeat.incarnation, now, HostSource::Heartbeat);
        self.update(now);
        let same_list = heartbeat.list_version == self.list.version;
        let heard = self
            .peers
            .values()
            .filter(|it| it.record.name != heartbeat.host.name)
            .filter(|it| self.is_fresh(it.live_at, now))
            .filter(|it| {
                !(same_list && self.listed_state(&it.record.name) == Some(HostState::Live))
            })
            .map(|it| ReportedHost { host: it.record.clone(), incarnation: it.incarnation })
            .collect();
        HeartbeatReply {
            host: self.own_record(),
            incarnation: self.incarnation,
            view_hash: self.view().hash,
            heard,
        }
    }

    /// Takes the answer of `peer` to a heartbeat that was sent at `sent`.
    pub fn receive_reply(
        &mut self,
        sent: Instant,
        now: Instant,
        peer: &HostName,
        reply: &HeartbeatReply,
    ) {
        self.detect_pause(now);
        // After a change of addresses another host may answer; it cannot speak for the peer.
        if reply.host.name == *peer {
            self.merge_host(&reply.host, reply.incarnation, sent, HostSource::Reply);
            for reported in &reply.heard {
                self.merge_host(&reported.host, reported.incarnation, sent, HostSource::PeerReport);
            }
            if let Some(state) = self.peers.get_mut(peer) {
                state.confirmed_view = Some((reply.view_hash, sent));
            }
        }
        self.update(now);
    }

    /// Gives up all rights of this process for good and returns the message that says so.
    pub fn release(&mut self) -> HostRelease {
        self.is_released = true;
        self.release_message()
    }

    /// Returns the release of a host that the last list read shows as leaving; `None` otherwise.
    ///
    /// Such a host owns nothing, and owns nothing for `takeover_wait` after it is listed as live
    /// again, because its earlier views lack it.
    pub fn release_if_leaving(&self) -> Option<HostRelease> {
        let is_leaving = self.listed_state(&self.host.name) == Some(HostState::Leaving);
        is_leaving.then(|| self.release_message())
    }

    fn release_message(&self) -> HostRelease {
        HostRelease { host: self.host.name.clone(), incarnation: self.incarnation }
    }

    /// Takes the release of another process and returns whether it is accepted.
    ///
    /// It is ignored unless that incarnation answered a heartbeat recently; the caller may send
    /// a heartbeat and repeat the call. A later process on the same host acts at the earliest
    /// `takeover_wait` after that answer. The exclusion from the views ends with the first list
    /// read that shows a later state, so that a late release cannot exclude the later process.
    pub fn apply_release(&mut self, now: Instant, host: &HostName, incarnation: u64) -> bool {
        self.detect_pause(now);
        let lag = self.timing.list_lag;
        let running_at = self
            .peers
            .get(host)
            .filter(|it| it.incarnation == incarnation)
            .and_then(|it| it.running_at)
            .filter(|it| now < *it + lag + self.timing.validity);
        if let Some(running_at) = running_at {
            self.releases.insert(host.clone(), (incarnation, running_at));
            self.peers.remove(host);
            self.seen_live.remove(host);
            for view in &mut self.views {
                if view.names.remove(host) {
                    *view = View::new(view.start, std::mem::take(&mut view.names));
                }
            }
        }
        self.update(now);
        running_at.is_some()
    }

    /// Returns whether there is recent evidence that the current view is complete.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_until().is_some_and(|it| now <= it)
    }

    /// Returns the owner of a key in the own data centre according to the current view.
    pub fn owner(&self, key: &str) -> Option<&HostRecord> {
        self.host_record(rendezvous::first(key, &self.view().names)?)
    }

    /// Returns the owner of a key in a data centre; elsewhere according to the host list only.
    pub fn owner_in(&self, centre: &CentreName, key: &str) -> Option<&HostRecord> {
        if *centre == self.host.data_centre {
            return self.owner(key);
        }
        let name = rendezvous::first(key, self.list.live_in(centre).map(|it| &it.name))?;
        self.list.host(name)
    }

    /// Returns whether this process may act as the owner of a key in its data centre.
    pub fn owns(&self, key: &str, now: Instant) -> bool {
        let wait = self.timing.takeover_wait();
        !self.is_released
            && now.saturating_duration_since(self.last_call) <= self.timing.validity
            && self.is_confirmed(now)
            // The evidence begins after the start, so that the process is as old as well.
            && self
                .evidence
                .is_some_and(|it| now.saturating_duration_since(it.start) >= wait)
            && self
                .views
                .iter()
                .all(|it| rendezvous::first(key, &it.names) == Some(&self.host.name))
    }

    /// Returns the last host list read.
    pub fn host_list(&self) -> &HostList {
        &self.list
    }

    /// Returns the sets of live hosts of the fleet in force during the last `takeover_wait`.
    ///
    /// Until the first list read this is one empty set. A released host stays in the sets,
    /// because its requests in flight continue.
    pub fn recent_fleets(&self, now: Instant) -> Vec<&BTreeSet<HostName>> {
        let wait = self.timing.takeover_wait();
        let first = first_recent(&self.live_sets, now, wait);
        self.live_sets[first..].iter().map(|it| &it.names).collect()
    }

    fn view(&self) -> &View {
        self.views.last().expect("views are never empty")
    }

    fn is_fresh(&self, time: Option<Instant>, now: Instant) -> bool {
        time.is_some_and(|it| now.saturating_duration_since(it) <= self.timing.validity)
    }

    fn listed_state(&self, name: &HostName) -> Option<HostState> {
        self.list.host(name).map(|it| it.state)
    }

    fn is_listed(&self) -> bool {
        self.list.live_in(&self.host.data_centre).any(|it| it.name == self.host.name)
    }

    fn own_record(&self) -> HostRecord {
        let state = if self.is_listed() && !self.is_released {
            HostState::Live
        } else {
            HostState::Leaving
        };
        HostRecord { state, ..self.host.clone() }
    }

    fn host_record(&self, name: &HostName) -> Option<&HostRecord> {
        if *name == self.host.name {
            return Some(&self.host);
        }
        self.list
            .host(name)
            .or_else(|| self.peers.get(name).map(|it| &it.record))
            .or_else(|| self.unlisted.get(name))
    }

    fn record_list_read(&mut self, started: Instant) {
        self.last_list_read = self.is_listed().then_some(started);
        let lag = self.timing.list_lag;
        self.seen_live.retain(|_, at| *at + lag >= started);
        self.releases.retain(|_, (_, at)| *at + lag >= started);
    }

    fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_call) > self.timing.validity {
            self.last_list_read = None;
            self.evidence = None;
            for peer in self.peers.values_mut() {
                peer.confirmed_view = None;
            }
        }
        self.last_call = self.last_call.max(now);
    }

    fn merge_host(&mut self, record: &HostRecord, incarnation: u64, at: Instant, via: HostSource) {
        let is_ignored =
            record.name == self.host.name || record.data_centre != self.host.data_centre;
        let is_released = self.releases.get(&record.name).is_some_and(|it| it.0 == incarnation);
        if is_ignored || is_released {
            return;
        }
        // Another incarnation runs, so the host belongs into the views again.
        self.releases.remove(&record.name);
        if record.state == HostState::Live {
            let last_seen = self.seen_live.entry(record.name.clone()).or_insert(at);
            *last_seen = at.max(*last_seen);
        } else if via == HostSource::Reply {
            self.seen_live.remove(&record.name);
        }
        let peer = self.peers.entry(record.name.clone()).or_insert_with(|| PeerState {
            record: record.clone(),
            incarnation,
            live_at: None,
            leaving_at: None,
            reported_at: None,
            confirmed_view: None,
            running_at: None,
        });
        if via == HostSource::PeerReport {
            peer.reported_at = peer.reported_at.max(Some(at));
            return;
        }
        // A reply proves which incarnation ran after the request was sent; a heartbeat may be
        // old and replaces no incarnation that is known to have run.
        let is_latest_proof = via == HostSource::Reply && peer.running_at.is_none_or(|it| at >= it);
        if is_latest_proof {
            peer.running_at = Some(at);
        }
        let is_current =
            is_latest_proof || peer.incarnation == incarnation || peer.running_at.is_none();
        if is_current {
            peer.incarnation = incarnation;
            peer.record = record.clone();
        }
        if record.state == HostState::Live {
            // Even if the incarnation is unknown: a host too many in the view does no harm.
            peer.live_at = peer.live_at.max(Some(at));
            peer.leaving_at = None;
        } else if is_current {
            peer.leaving_at = peer.leaving_at.max(Some(at));
        }
    }

    /// Latest time up to which the current view is confirmed.
    fn confirmed_until(&self) -> Option<Instant> {
        let view = self.view();
        if !view.names.contains(&self.host.name) {
            return None;
        }
        let by_list = self.last_list_read;
        let seen_live = self.seen_live.keys();
        let by_peers = view
            .names
            .iter()
            .chain(seen_live)
            .filter(|it| **it != self.host.name)
            .map(|it| {
                let confirmed = self.peers.get(it)?.confirmed_view?;
                (confirmed.0 == view.hash).then_some(confirmed.1)
            })
            // A host that is alone in its view has nobody to ask; its own activity counts.
            .try_fold(self.last_call, |oldest, it| Some(oldest.min(it?)));
        by_list.max(by_peers).map(|it| it + self.timing.validity)
    }

    fn current_names(&self, now: Instant) -> BTreeSet<HostName> {
        let listed = self.list.live_in(&self.host.data_centre).map(|it| &it.name).filter(|it| {
            // A host that says itself that it owns nothing leaves the view.
            let peer = self.peers.get(*it);
            !peer.is_some_and(|peer| self.is_fresh(peer.leaving_at, now))
        });
        let heard = self
            .peers
            .values()
            .filter(|it| self.is_fresh(it.live_at, now) || self.is_fresh(it.reported_at, now))
            .filter(|it| !self.is_fresh(it.leaving_at, now))
            .map(|it| &it.record.name)
            .filter(|it| self.listed_state(it) != Some(HostState::Leaving));
        listed.chain(heard).filter(|it| !self.releases.contains_key(*it)).cloned().collect()
    }

    fn update(&mut self, now: Instant) {
        let wait = self.timing.takeover_wait();
        let peer_retention = wait + self.timing.validity;
        self.peers.retain(|_, it| {
            it.live_at
                .max(it.leaving_at)
                .max(it.reported_at)
                .max(it.running_at)
                .is_some_and(|at| now.saturating_duration_since(at) <= peer_retention)
        });
        let names = self.current_names(now);
        push_view(&mut self.views, now, wait, names);
        let views = &self.views;
        self.unlisted.retain(|name, _| views.iter().any(|it| it.names.contains(name)));
        // Other hosts cannot have taken over before the end of the margin, so that a shorter
        // lapse of the evidence does not hide a removal of this host from their views.
        let confirmed_until = self.confirmed_until();
        match &mut self.evidence {
            Some(period) if now <= period.end + self.timing.margin => {
                period.end = confirmed_until.map_or(period.end, |it| it.max(period.end));
            }
            evidence => {
                *evidence = confirmed_until
                    .filter(|it| *it >= now)
                    .map(|end| EvidencePeriod { start: now, end });
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HostSource {
    /// The host sent a heartbeat.
    Heartbeat,
    /// The host answered a heartbeat; the time is that of the sending.
    Reply,
    /// Another host named it.
    PeerReport,
}

/// Returns the index of the first view that was in force during the last `wait`.
fn first_recent(views: &[View], now: Instant, wait: Duration) -> usize {
    let ended = |it: &View| now.saturating_duration_since(it.start) > wait;
    views.iter().rposition(ended).unwrap_or(0)
}

fn push_view(views: &mut Vec<View>, now: Instant, wait: Duration, names: BTreeSet<HostName>) {
    if views.last().is_some_and(|it| it.names != names) {
        views.push(View::new(now, names));
    }
    views.drain(..first_recent(views, now, wait));
}
