//! Heartbeats, digests and releases: what hosts tell each other without a request.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::seq::IndexedRandom;

use super::{
    admission::bucket_key,
    message::{BucketHandover, HostDigest, PeerReply, PeerRequest},
    state::ControlState,
};
use crate::{
    limits::BucketSnapshot,
    membership::{HostList, HostRecord, HostRelease, HostState},
    names::HostName,
    peer::PeerCall,
    rendezvous,
};

/// Time until the reply to a background message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time until a configuration arrives from a peer; it may be some hundred kilobytes.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Peers that a new process asks for their revision before it is ready.
const START_PEERS: usize = 8;

/// Longest time for which a new process waits for the answers of its peers.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress of a new process in learning the highest revision of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StartSync {
    /// No host list yet.
    WaitsForList,
    /// Peers were asked; the number of answers still expected.
    Asked {
        /// When they were asked.
        since: Instant,
        /// Calls without an end.
        pending: usize,
    },
    /// All peers answered or were silent.
    Done,
}

impl ControlState {
    /// Orders a call to another host.
    pub(super) fn call(
        &self,
        now: Instant,
        host: &HostRecord,
        request: PeerRequest,
        timeout: Duration,
    ) {
        self.caller.submit(PeerCall { address: host.address, request, timeout, submitted: now });
    }

    /// Sends a background message to a host.
    pub(super) fn notify(&self, now: Instant, host: &HostRecord, request: PeerRequest) {
        self.call(now, host, request, MESSAGE_TIMEOUT);
    }

    pub(super) fn digest(&self) -> HostDigest {
        HostDigest {
            host: self.identity.name.clone(),
            incarnation: self.incarnation,
            accepted: self.config.accepted_revision(),
            seen: self.config.seen_revision(),
        }
    }

    /// Sends heartbeats to the hosts of the data centre that are due for one.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.views.heartbeat(now);
        for peer in self.views.heartbeat_targets(now) {
            self.notify(now, &peer, PeerRequest::Heartbeat(heartbeat.clone()));
        }
    }

    /// Exchanges digests with one random host of the fleet.
    pub(super) fn send_digest(&mut self, now: Instant) {
        let others: Vec<&HostRecord> = self.other_hosts().collect();
        if let Some(peer) = others.choose(&mut rand::rng()) {
            self.notify(now, peer, PeerRequest::Digest(self.digest()));
        }
    }

    /// Returns all other hosts of the list, also leaving ones.
    pub(super) fn other_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.views.host_list().hosts.iter().filter(|it| it.name != self.identity.name)
    }

    /// Asks peers for their revision, once, when the first host list is known.
    pub(super) fn start_sync(&mut self, now: Instant) {
        if self.sync != StartSync::WaitsForList || self.views.host_list().version == 0 {
            return;
        }
        let others: Vec<HostRecord> = self.other_hosts().cloned().collect();
        let asked: Vec<&HostRecord> =
            others.choose_multiple(&mut rand::rng(), START_PEERS).collect();
        for peer in &asked {
            self.notify(now, peer, PeerRequest::Digest(self.digest()));
        }
        if let Some(peer) = asked.first() {
            self.notify(now, peer, PeerRequest::StrikeList);
        }
        self.sync = match asked.len() {
            0 => StartSync::Done,
            pending => StartSync::Asked { since: now, pending },
        };
    }

    /// Counts one answered or failed call of the start.
    pub(super) fn sync_step(&mut self) {
        if let StartSync::Asked { pending, .. } = &mut self.sync {
            *pending = pending.saturating_sub(1);
            if *pending == 0 {
                self.sync = StartSync::Done;
            }
        }
    }

    /// Ends the wait for silent peers.
    pub(super) fn expire_sync(&mut self, now: Instant) {
        if let StartSync::Asked { since, .. } = self.sync
            && now.saturating_duration_since(since) >= START_TIMEOUT
        {
            tracing::warn!("start_without_all_peers");
            self.sync = StartSync::Done;
        }
    }

    /// Notes a peer's revision and pulls a newer configuration from it.
    ///
    /// Returns whether a pull was ordered.
    pub(super) fn handle_digest(&mut self, now: Instant, digest: &HostDigest) -> bool {
        self.note_revision(&digest.host, digest.incarnation, digest.accepted);
        self.note_process(now, &digest.host, digest.incarnation);
        let accepted = self.config.accepted_revision();
        if digest.accepted <= accepted && digest.seen <= self.config.seen_revision() {
            return false;
        }
        let Some(peer) = self.views.host_list().host(&digest.host).cloned() else {
            return false;
        };
        let request = PeerRequest::ConfigSince(accepted);
        self.call(now, &peer, request, CONFIG_TIMEOUT);
        true
    }

    pub(super) fn note_revision(&mut self, host: &HostName, incarnation: u64, revision: u64) {
        self.gate.record_accepted(host, incarnation, revision);
        let known = self.revisions.entry(host.clone()).or_default();
        *known = revision.max(*known);
    }

    /// Gives up every right of this process for good.
    pub(super) fn release(&mut self, now: Instant) {
        // Buckets that this host lost without noticing it yet are not handed over.
        self.observe_buckets(now);
        let buckets = self.buckets_by_next_owner(now);
        let release = self.views.release();
        self.notify_release(now, &release, buckets);
    }

    /// Takes a host list; a host that it shows as leaving hands its buckets over at once, because
    /// it owns nothing any more and the next owners would start with empty ones.
    pub(super) fn take_list(&mut self, now: Instant, started: Instant, list: &HostList) {
        self.observe_buckets(now);
        let was_leaving = self.views.release_if_leaving().is_some();
        let own = list.host(&self.identity.name).map(|it| it.state);
        let is_departure = own == Some(HostState::Leaving) && !was_leaving;
        let buckets = if is_departure { self.buckets_by_next_owner(now) } else { Vec::new() };
        self.views.apply_list(started, now, list);
        if is_departure && let Some(release) = self.views.release_if_leaving() {
            self.notify_release(now, &release, buckets);
        }
    }

    fn notify_release(
        &self,
        now: Instant,
        release: &HostRelease,
        buckets: Vec<(HostRecord, Vec<BucketSnapshot>)>,
    ) {
        for (owner, buckets) in buckets {
            let handover = BucketHandover { incarnation: self.incarnation, buckets };
            self.notify(now, &owner, PeerRequest::Buckets(handover));
        }
        for peer in self.other_hosts() {
            self.notify(now, peer, PeerRequest::Release(release.clone()));
        }
    }

    /// Groups the owned buckets by the host that owns them without this one.
    fn buckets_by_next_owner(&mut self, now: Instant) -> Vec<(HostRecord, Vec<BucketSnapshot>)> {
        let members = self.views.members().iter().filter(|it| **it != self.identity.name);
        let members: Vec<&HostName> = members.collect();
        let mut groups: BTreeMap<HostName, Vec<BucketSnapshot>> = BTreeMap::new();
        for bucket in self.buckets.take_snapshots(now) {
            if let Some(next) =
                rendezvous::first(&bucket_key(&bucket.team), members.iter().copied())
            {
                groups.entry(next.clone()).or_default().push(bucket);
            }
        }
        let hosts = self.views.host_list();
        let groups = groups.into_iter();
        groups.filter_map(|(name, buckets)| Some((hosts.host(&name)?.clone(), buckets))).collect()
    }

    /// Takes the release of another process.
    fn handle_release(&mut self, now: Instant, release: HostRelease) {
        self.processes.note_release(&release);
        self.watch_gains(now, now + self.timing.takeover_wait());
        if self.views.apply_release(now, &release.host, release.incarnation) {
            // A released owner decides nothing more, so its keys can be taken over at once.
            self.watch_gains(now, now);
            self.slow_tick(now);
        } else if let Some(host) = self.views.host_list().host(&release.host).cloned() {
            // The release counts only after a recent answer of that process.
            let heartbeat = self.views.heartbeat(now);
            self.notify(now, &host, PeerRequest::Heartbeat(heartbeat));
            self.unconfirmed_releases.push(release);
        }
    }

    /// Repeats the releases that waited for an answer of `host`.
    pub(super) fn repeat_releases(&mut self, now: Instant, host: &HostName) {
        let releases = std::mem::take(&mut self.unconfirmed_releases);
        for release in releases {
            if release.host == *host {
                self.watch_gains(now, now + self.timing.takeover_wait());
                self.views.apply_release(now, &release.host, release.incarnation);
                self.watch_gains(now, now);
            }
        }
    }

    /// Handles a background message of another host.
    pub(super) fn handle_peer(&mut self, now: Instant, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Probe => PeerReply::Done,
            PeerRequest::Heartbeat(heartbeat) => {
                self.note_process(now, &heartbeat.host.name, heartbeat.incarnation);
                PeerReply::Heartbeat(self.views.receive_heartbeat(now, &heartbeat))
            }
            PeerRequest::Release(release) => {
                self.handle_release(now, release);
                PeerReply::Done
            }
            PeerRequest::Buckets(handover) => {
                self.buckets.receive_handover(now, handover.incarnation, handover.buckets);
                PeerReply::Done
            }
            PeerRequest::Digest(digest) => {
                self.handle_digest(now, &digest);
                PeerReply::Digest(self.digest())
            }
            PeerRequest::ConfigSince(base) => PeerReply::Config(self.config.change_since(base)),
            PeerRequest::HostList => PeerReply::HostList(self.views.host_list().clone()),
            PeerRequest::Grant(request) => PeerReply::Grant(self.grant(now, &request)),
            PeerRequest::Cold(notice) => {
                self.picker.apply_notice(now, &notice);
                PeerReply::Done
            }
            PeerRequest::Strikes { strikes, .. } => {
                self.merge_strikes(now, &strikes);
                PeerReply::Done
            }
            PeerRequest::Cleared(clearance) => {
                self.merge_clearance(now, &clearance);
                PeerReply::Done
            }
            PeerRequest::StrikeList => PeerReply::Strikes(self.export_strikes(now)),
            PeerRequest::StoreIntent { sender, record } => {
                PeerReply::Stored(self.store_intent(now, &sender, &record))
            }
            PeerRequest::UpdateRecord { sender, update, .. } => {
                PeerReply::Updated(self.update_record(now, &sender, &update))
            }
            PeerRequest::Records { centre, cursor, .. } => {
                PeerReply::Records(self.record_page(now, &centre, cursor))
            }
            // A worker thread handles forwarded calls, because they take as long as the service.
            PeerRequest::Operation(_) => PeerReply::Unavailable,
            PeerRequest::Loads(batch) => {
                self.take_loads(now, &batch.reports);
                PeerReply::Done
            }
        }
    }
}
