//! Decides when this host may safely act as the owner of a key.
//!
//! A view is the set of hosts of a data centre among which the owner of a key is chosen. A host
//! missing from a view can lead to two owners of a key, a superfluous one only to none. In doubt,
//! this module therefore includes a host in the view and denies that this host owns a key.

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

/// Number of hosts that receive a heartbeat while the host list confirms the view. In a data
/// centre of 67 hosts, heartbeats to all would take several times the control traffic that is
/// allowed per host.
const HEARTBEAT_SAMPLE_SIZE: usize = 3;

/// Times on which ownership depends; must be equal on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewTiming {
    /// Maximum age at which a list read or a heartbeat still counts as evidence.
    pub validity: Duration,
    /// Longest time until every reader sees a change of the host list.
    pub list_lag: Duration,
    /// Allowance for clock drift, and longest gap in the evidence that does not end a period of
    /// evidence.
    pub margin: Duration,
}

impl ViewTiming {
    /// Returns how long a host must have been the owner in all its views before it acts as owner.
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

/// Message that is sent about once per second to other hosts of the sender's data centre.
///
/// [`ViewTracker::heartbeat_targets`] chooses the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender; `leaving` unless its own host list shows it as live.
    pub host: HostRecord,
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Version of the sender's host list.
    pub list_version: u64,
}

/// Reply to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The replying host; `leaving` unless its own host list shows it as live.
    pub host: HostRecord,
    /// Incarnation of the replying process.
    pub incarnation: u64,
    /// Hash of the replying host's view.
    pub view_hash: u64,
    /// Hosts of the data centre from which the replying host received a message as live within
    /// [`ViewTiming::validity`]. If both hosts have the same list version, only those that the list
    /// does not show as live.
    pub heard: Vec<ReportedHost>,
}

/// A host from which a peer recently received a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedHost {
    /// The host's record as sent by the host itself.
    pub host: HostRecord,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Message of a process that it owns no key any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRelease {
    /// Host of the process.
    pub host: HostName,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Known state of another host of the data centre.
#[derive(Clone, Debug)]
struct PeerState {
    /// The record that the host last sent of itself.
    record: HostRecord,
    incarnation: u64,
    /// Time of the last message from the host itself that described it as live.
    live_at: Option<Instant>,
    /// Time of its last message that described it as leaving; `None` after a later live message.
    leaving_at: Option<Instant>,
    /// Time at which a peer last reported a message from the host.
    reported_at: Option<Instant>,
    /// Hash of the host's view in its last reply, and the time at which the heartbeat was sent.
    confirmed_view: Option<(u64, Instant)>,
    /// Latest time at which the incarnation is known to have been running.
    running_at: Option<Instant>,
}

/// A set of hosts and the time from which it was in force.
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

/// Uninterrupted period in which this host had evidence that its views were complete.
#[derive(Clone, Copy, Debug)]
struct EvidencePeriod {
    start: Instant,
    end: Instant,
}

/// Tracks the hosts of the fleet on behalf of one process and decides which keys it owns.
#[derive(Debug)]
pub struct ViewTracker {
    host: HostRecord,
    incarnation: u64,
    timing: ViewTiming,
    started: Instant,
    last_call: Instant,
    list: HostList,
    /// Hosts of the data centre that are in recent views but no longer in the list.
    unlisted: BTreeMap<HostName, HostRecord>,
    /// Start of the last list read; `None` if it did not contain this host as live.
    last_list_read: Option<Instant>,
    peers: BTreeMap<HostName, PeerState>,
    /// Hosts that were seen live at a time that the list may not reflect yet. Without a fresh
    /// list, the view is unconfirmed while one of them does not reply.
    seen_live: BTreeMap<HostName, Instant>,
    /// Released incarnations, with the last time at which each is known to have been running.
    /// Their hosts are excluded from views until a list read reflects a later state than that.
    releases: BTreeMap<HostName, (u64, Instant)>,
    /// Views in force during the last `takeover_wait`, oldest first; never empty.
    views: Vec<View>,
    /// Live hosts of the whole fleet during the same time, oldest first; never empty.
    live_sets: Vec<View>,
    evidence: Option<EvidencePeriod>,
    is_released: bool,
}

impl ViewTracker {
    /// Creates a tracker without a host list.
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

    /// Applies a list whose read began at `started`.
    ///
    /// A list with a lower version than the known one comes from a stale replica: it is ignored
    /// and does not count as evidence.
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

    /// Records that a read that began at `started` found no newer list.
    pub fn refresh_list(&mut self, started: Instant, now: Instant) {
        self.detect_pause(now);
        self.record_list_read(started);
        self.update(now);
    }

    /// Removes expired state. Must be called several times per [`ViewTiming::validity`]: after a
    /// longer gap between calls, all evidence is discarded.
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

    /// Returns the hosts that receive the next heartbeat; to be called once per second.
    ///
    /// While the last list read is fresh, these are all known peers that the list does not show as
    /// live, because they may still be running, and a changing sample of the others. From three
    /// quarters of the validity on, these are all known peers, because only they can confirm the
    /// view after the list read has expired.
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

    /// Returns the other hosts of the data centre that are live in the list or were in a view
    /// during the last `takeover_wait`. A release has to be sent to all of them.
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

    /// Processes a heartbeat and returns the reply to it.
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

    /// Processes the reply of `peer` to a heartbeat that was sent at `sent`.
    pub fn receive_reply(
        &mut self,
        sent: Instant,
        now: Instant,
        peer: &HostName,
        reply: &HeartbeatReply,
    ) {
        self.detect_pause(now);
        // After a change of addresses another host may reply; that says nothing about the peer.
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

    /// Permanently gives up ownership of all keys and returns the message for the peers.
    pub fn release(&mut self) -> HostRelease {
        self.is_released = true;
        self.release_message()
    }

    /// Returns a release if the last list read shows this host as leaving; `None` otherwise.
    ///
    /// Such a host owns no key. After it is listed as live again it owns none for a further
    /// `takeover_wait`, because its earlier views do not contain it.
    pub fn release_if_leaving(&self) -> Option<HostRelease> {
        let is_leaving = self.listed_state(&self.host.name) == Some(HostState::Leaving);
        is_leaving.then(|| self.release_message())
    }

    fn release_message(&self) -> HostRelease {
        HostRelease { host: self.host.name.clone(), incarnation: self.incarnation }
    }

    /// Applies the release of another process and returns whether it is accepted.
    ///
    /// It is ignored unless that incarnation recently replied to a heartbeat; the caller may send
    /// a heartbeat and call this again. A later process on the same host acts as owner at the
    /// earliest `takeover_wait` after that reply. The exclusion from the views ends with the first
    /// list read that shows a later state, so that a late release cannot exclude the later process.
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

    /// Returns the owner of a key in this host's data centre according to the current view.
    pub fn owner(&self, key: &str) -> Option<&HostRecord> {
        self.host_record(rendezvous::first(key, &self.view().names)?)
    }

    /// Returns the owner of a key in a data centre; in a remote one according to the host list
    /// only.
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
            // The evidence begins after the process started, so this also bounds its age.
            && self
                .evidence
                .is_some_and(|it| now.saturating_duration_since(it.start) >= wait)
            && self
                .views
                .iter()
                .all(|it| rendezvous::first(key, &it.names) == Some(&self.host.name))
    }

    /// Returns the newest host list.
    pub fn host_list(&self) -> &HostList {
        &self.list
    }

    /// Returns the sets of live hosts of the fleet that were in force during the last
    /// `takeover_wait`, oldest first.
    ///
    /// Until the first list read this is one empty set. A released host remains in the sets,
    /// because it still has requests in flight.
    pub fn recent_host_sets(&self, now: Instant) -> Vec<&BTreeSet<HostName>> {
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

    /// Returns this host's record with the state that it announces to peers.
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

    /// Discards all evidence if the process made no call for longer than the validity.
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
        // Another incarnation is running, so the views must contain the host again.
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
        // A reply proves which incarnation was running after the heartbeat was sent. A received
        // heartbeat may be old, so it never replaces an incarnation known to have been running.
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
            // Applies to other incarnations, too: a superfluous host in the view is harmless.
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
            // A host that is alone in its view has no peer that could confirm it; the time of its
            // own last call counts instead.
            .try_fold(self.last_call, |oldest, it| Some(oldest.min(it?)));
        by_list.max(by_peers).map(|it| it + self.timing.validity)
    }

    /// Returns the hosts of the view that the current information yields.
    fn current_names(&self, now: Instant) -> BTreeSet<HostName> {
        let listed = self.list.live_in(&self.host.data_centre).map(|it| &it.name).filter(|it| {
            // A host that describes itself as leaving is excluded.
            let peer = self.peers.get(*it);
            !peer.is_some_and(|peer| self.is_fresh(peer.leaving_at, now))
        });
        let recently_live = self
            .peers
            .values()
            .filter(|it| self.is_fresh(it.live_at, now) || self.is_fresh(it.reported_at, now))
            .filter(|it| !self.is_fresh(it.leaving_at, now))
            .map(|it| &it.record.name)
            .filter(|it| self.listed_state(it) != Some(HostState::Leaving));
        listed.chain(recently_live).filter(|it| !self.releases.contains_key(*it)).cloned().collect()
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
        // Other hosts cannot have taken over before the end of the margin. A shorter gap in the
        // evidence therefore cannot hide that they removed this host from their views.
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

/// Where information about a host comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HostSource {
    /// A heartbeat of the host itself.
    Heartbeat,
    /// A reply of the host itself; the time is that of the heartbeat it replies to.
    Reply,
    /// The reply of another host.
    PeerReport,
}

/// Returns the index of the oldest view that was in force during the last `wait`.
fn first_recent(views: &[View], now: Instant, wait: Duration) -> usize {
    let ended = |it: &View| now.saturating_duration_since(it.start) > wait;
    views.iter().rposition(ended).unwrap_or(0)
}

/// Adds a view if its hosts differ from the current one, and drops views that ended more than
/// `wait` ago.
fn push_view(views: &mut Vec<View>, now: Instant, wait: Duration, names: BTreeSet<HostName>) {
    if views.last().is_some_and(|it| it.names != names) {
        views.push(View::new(now, names));
    }
    views.drain(..first_recent(views, now, wait));
}
