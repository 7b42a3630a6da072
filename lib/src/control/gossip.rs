//! Background messages between hosts: heartbeats, digests and releases.

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

/// Timeout of a background message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a configuration request to a peer; the reply may have some hundred kilobytes.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound of the peers that a new process asks for their revision before it is ready.
const MAX_START_PEERS: usize = 8;

/// Longest time for which a new process waits for the replies of its peers.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress of a new process in fetching the highest revision of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StartSync {
    /// There is no host list yet.
    AwaitingList,
    /// Peers were sent digests.
    AwaitingPeers {
        /// When the digests were sent.
        since: Instant,
        /// Number of peers whose reply or configuration is outstanding.
        pending: usize,
    },
    /// All peers replied, failed or timed out.
    Done,
}

impl ControlState {
    /// Starts a call to another host; its end arrives as `ControlCommand::PeerEnded`.
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

    /// Sends heartbeats to the hosts of the data centre that should get one in this round.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.views.heartbeat(now);
        for peer in self.views.heartbeat_targets(now) {
            self.notify(now, &peer, PeerRequest::Heartbeat(heartbeat.clone()));
        }
    }

    /// Exchanges digests with one random host of the fleet; called once per gossip round.
    pub(super) fn send_digest(&mut self, now: Instant) {
        let others: Vec<&HostRecord> = self.other_hosts().collect();
        if let Some(peer) = others.choose(&mut rand::rng()) {
            self.notify(now, peer, PeerRequest::Digest(self.digest()));
        }
    }

    /// Returns all other hosts of the host list, including leaving ones.
    pub(super) fn other_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.views.host_list().hosts.iter().filter(|it| it.name != self.identity.name)
    }

    /// Asks peers for their revision and for their strikes, once, when the first host list is
    /// known.
    pub(super) fn begin_start_sync(&mut self, now: Instant) {
        if self.start_sync != StartSync::AwaitingList || self.views.host_list().version == 0 {
            return;
        }
        let others: Vec<HostRecord> = self.other_hosts().cloned().collect();
        let asked: Vec<&HostRecord> =
            others.choose_multiple(&mut rand::rng(), MAX_START_PEERS).collect();
        for peer in &asked {
            self.notify(now, peer, PeerRequest::Digest(self.digest()));
        }
        if let Some(peer) = asked.first() {
            self.notify(now, peer, PeerRequest::StrikeList);
        }
        self.start_sync = match asked.len() {
            0 => StartSync::Done,
            pending => StartSync::AwaitingPeers { since: now, pending },
        };
    }

    /// Counts a completed or failed call of the start synchronisation.
    pub(super) fn count_sync_reply(&mut self) {
        if let StartSync::AwaitingPeers { pending, .. } = &mut self.start_sync {
            *pending = pending.saturating_sub(1);
            if *pending == 0 {
                self.start_sync = StartSync::Done;
            }
        }
    }

    /// Ends the wait for peers that have not replied in time.
    pub(super) fn expire_start_sync(&mut self, now: Instant) {
        if let StartSync::AwaitingPeers { since, .. } = self.start_sync
            && now.saturating_duration_since(since) >= START_TIMEOUT
        {
            tracing::warn!("start_without_all_peers");
            self.start_sync = StartSync::Done;
        }
    }

    /// Records a peer's revision and requests a newer configuration from the peer.
    ///
    /// Returns whether a configuration was requested.
    pub(super) fn handle_digest(&mut self, now: Instant, digest: &HostDigest) -> bool {
        self.record_revision(&digest.host, digest.incarnation, digest.accepted);
        self.record_process(now, &digest.host, digest.incarnation);
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

    pub(super) fn record_revision(&mut self, host: &HostName, incarnation: u64, revision: u64) {
        self.gate.record_accepted(host, incarnation, revision);
        let known = self.revisions.entry(host.clone()).or_default();
        *known = revision.max(*known);
    }

    /// Gives up every ownership of this process permanently and hands over its buckets.
    pub(super) fn release_ownership(&mut self, now: Instant) {
        // Drops the buckets that this host no longer owns, so that they are not handed over.
        self.update_buckets(now);
        let buckets = self.buckets_by_next_owner(now);
        let release = self.views.release();
        self.send_release(now, &release, buckets);
    }

    /// Applies a host list.
    ///
    /// If the list shows this host as leaving, its buckets are handed over at once: the host owns
    /// nothing from now on, and the next owners would begin with empty buckets.
    pub(super) fn apply_host_list(&mut self, now: Instant, started: Instant, list: &HostList) {
        self.update_buckets(now);
        let was_leaving = self.views.release_if_leaving().is_some();
        let own_state = list.host(&self.identity.name).map(|it| it.state);
        let is_departure = own_state == Some(HostState::Leaving) && !was_leaving;
        let buckets = if is_departure { self.buckets_by_next_owner(now) } else { Vec::new() };
        self.views.apply_list(started, now, list);
        if is_departure && let Some(release) = self.views.release_if_leaving() {
            self.send_release(now, &release, buckets);
        }
    }

    fn send_release(
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

    /// Removes the owned buckets and groups them by the host that becomes their owner.
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

    /// Applies the release of another process.
    fn handle_release(&mut self, now: Instant, release: HostRelease) {
        self.processes.record_release(&release);
        self.require_handover_for_gains(now, now + self.timing.takeover_wait());
        if self.views.apply_release(now, &release.host, release.incarnation) {
            // A released owner makes no more decisions, so its keys can be taken over at once.
            self.require_handover_for_gains(now, now);
            self.slow_tick(now);
        } else if let Some(host) = self.views.host_list().host(&release.host).cloned() {
            // A release counts only if that process replied to a heartbeat recently.
            let heartbeat = self.views.heartbeat(now);
            self.notify(now, &host, PeerRequest::Heartbeat(heartbeat));
            self.unconfirmed_releases.push(release);
        }
    }

    /// Applies the releases that waited for a heartbeat reply of `host`.
    pub(super) fn retry_releases(&mut self, now: Instant, host: &HostName) {
        let releases = std::mem::take(&mut self.unconfirmed_releases);
        for release in releases {
            if release.host == *host {
                self.require_handover_for_gains(now, now + self.timing.takeover_wait());
                self.views.apply_release(now, &release.host, release.incarnation);
                self.require_handover_for_gains(now, now);
            }
        }
    }

    /// Handles a request of another host.
    pub(super) fn handle_peer(&mut self, now: Instant, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Probe => PeerReply::Done,
            PeerRequest::Heartbeat(heartbeat) => {
                self.record_process(now, &heartbeat.host.name, heartbeat.incarnation);
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
            PeerRequest::Grant(request) => PeerReply::Grant(self.grant_tokens(now, &request)),
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
            // A worker thread handles forwarded requests, because they take as long as the service.
            PeerRequest::Operation(_) => PeerReply::Unavailable,
            PeerRequest::Loads(batch) => {
                self.apply_loads(now, &batch.reports);
                PeerReply::Done
            }
        }
    }
}
