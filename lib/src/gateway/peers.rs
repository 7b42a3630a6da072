//! Messages between hosts: gossip digests, and requests for changes of the platform's entries.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HOST,
};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    connection::{ClientError, ConnectTimeouts, HttpClient},
    crashes::CrashDetector,
    feed::{EntryUpdate, FeedOutcome, SourceState},
    fleet::Gateway,
    host_report::HostReport,
    lag::NewerHost,
    load_exchange::InFlightReport,
    members::{MemberDigest, MemberRecord},
    outcomes::OutcomeSlot,
    packed::PackedChange,
    position::{self, ENTRY_ERA, StorePosition, read_era},
    upstreams::{LoadSample, UpstreamProcess},
};
use crate::{
    intake::read_body,
    names::HostName,
    peer::{decode_message, encode_message},
    quarantine::{CrashClearance, CrashStrike, PartProof},
};

/// Paths of the messages.
const DIGEST_PATH: &str = "/v1/digest";
const CHANGES_PATH: &str = "/v1/changes";
const IN_FLIGHT_PATH: &str = "/v1/in-flight";
const REPORT_PATH: &str = "/v1/report";

/// Largest digest or request that is read from a peer.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Largest reply with changes that is read from a peer; it may hold all entries, compressed.
const MAX_CHANGES_BYTES: usize = 8 << 20;

/// Time within which a message of a peer must have arrived.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Mean interval between the gossip rounds of a host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of hosts to which a host sends new strikes at once, chosen at random. In a small fleet these
/// are all others; in a large one those to which the strikes are new send them on.
pub const STRIKE_FANOUT: usize = 6;

/// Shortest time between two such rounds, in which further strikes are collected. The loss of a data
/// centre leads to some hundred strikes.
const STRIKE_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for the reply to a message, in addition to the time that the receiver may wait.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which a request of a peer waits for a change.
const MAX_CHANGE_WAIT: Duration = Duration::from_secs(5);

/// Time limits of connections to other hosts.
const CONNECT_TIMEOUTS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_millis(300),
    unacknowledged: Duration::from_millis(500),
};

/// Gossip message that two hosts exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Record of the sending host.
    pub sender: MemberRecord,
    /// What the sender knows of the members of the fleet.
    pub members: MemberDigest,
    /// Position of the sender's entries.
    #[serde(with = "position")]
    pub position: StorePosition,
    /// Strikes against requests that may crash upstreams: recent ones, and those of blocked
    /// requests.
    pub strikes: Vec<CrashStrike>,
    /// Requests whose strikes no longer count because they completed.
    pub clearances: Vec<CrashClearance>,
    /// Parts of prompts that got strikes although upstreams write answers on them.
    pub proofs: Vec<PartProof>,
    /// Upstreams that said that they leave.
    pub leaving: Vec<UpstreamProcess>,
    /// How requests ended recently; sent within a data centre only, where traffic costs nothing.
    pub outcomes: Vec<OutcomeSlot>,
    /// Recent load reports; sent within a data centre only.
    pub loads: Vec<LoadSample>,
}

/// Request for changes of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Position of the requesting host's entries.
    #[serde(with = "position")]
    pub after: StorePosition,
    /// Time for which the receiver waits for a change before it replies without one, in
    /// milliseconds.
    pub wait_ms: u64,
}

/// Changes of the entries, and the age of the platform's last response, up to which they are
/// complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesReply {
    /// Era of the sender's entries.
    #[serde(skip)]
    pub era: u64,
    /// The changes; `None` if there was no newer position within the wait.
    pub change: Option<PackedChange>,
    /// Time since the platform last responded, in milliseconds.
    pub answered_age_ms: Option<u64>,
    /// Time since its first response after the last outage, in milliseconds.
    pub regained_age_ms: Option<u64>,
}

/// A message with the era of its sender's entries, which is sent in [`ENTRY_ERA`].
trait EraMessage {
    /// Returns the era.
    fn era(&self) -> u64;

    /// Sets the era, after the message was decoded.
    fn set_era(&mut self, era: u64);
}

impl EraMessage for PeerDigest {
    fn era(&self) -> u64 {
        self.position.era
    }

    fn set_era(&mut self, era: u64) {
        self.position.era = era;
    }
}

impl EraMessage for ChangesRequest {
    fn era(&self) -> u64 {
        self.after.era
    }

    fn set_era(&mut self, era: u64) {
        self.after.era = era;
    }
}

impl EraMessage for ChangesReply {
    fn era(&self) -> u64 {
        self.era
    }

    fn set_era(&mut self, era: u64) {
        self.era = era;
    }
}

impl ChangesReply {
    /// Returns the time since the platform's last response that the sender knows of.
    pub fn response_age(&self) -> Option<Duration> {
        self.answered_age_ms.map(Duration::from_millis)
    }

    fn source_state(&self, now: Instant) -> SourceState {
        let instant = |age: Option<u64>| now.checked_sub(Duration::from_millis(age?));
        SourceState {
            last_response: instant(self.answered_age_ms),
            last_recovery: instant(self.regained_age_ms),
        }
    }
}

/// Why a message got no usable reply.
#[derive(Debug, thiserror::Error)]
pub enum PeerFailure {
    /// No reply was received.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// The reply has another status than 200, or its body cannot be decoded.
    #[error("unreadable reply, status {0}")]
    Unreadable(StatusCode),
}

/// Client for the messages to one host.
#[derive(Debug)]
pub struct PeerClient(HttpClient);

impl PeerClient {
    /// Creates a client that is not connected.
    pub fn new(address: SocketAddr) -> Self {
        Self(HttpClient::new(address, CONNECT_TIMEOUTS))
    }

    /// Returns the address of the host.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Sends a digest and returns the host's digest.
    ///
    /// # Errors
    ///
    /// Fails if there is no readable reply within the time limit.
    pub async fn digest(&mut self, digest: &PeerDigest) -> Result<PeerDigest, PeerFailure> {
        self.call(DIGEST_PATH, digest, REPLY_TIMEOUT, MAX_MESSAGE_BYTES).await
    }

    /// Requests the changes after a position; the host waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if there is no readable reply within `wait` and the time limit of a message.
    pub async fn changes(
        &mut self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<ChangesReply, PeerFailure> {
        let request = ChangesRequest { after, wait_ms: wait.as_millis() as u64 };
        self.call(CHANGES_PATH, &request, wait + REPLY_TIMEOUT, MAX_CHANGES_BYTES).await
    }

    /// Reports requests in flight and returns the host's report.
    ///
    /// # Errors
    ///
    /// Fails if there is no readable reply within the time limit.
    pub async fn report_in_flight(
        &mut self,
        report: &InFlightReport,
    ) -> Result<InFlightReport, PeerFailure> {
        let (_, report) = self
            .send(IN_FLIGHT_PATH, encode_message(report), None, REPLY_TIMEOUT, MAX_MESSAGE_BYTES)
            .await?;
        Ok(report)
    }

    /// Sends an encoded [`HostReport`] and returns that of the host.
    ///
    /// # Errors
    ///
    /// Fails if there is no readable reply within the time limit. A host of an older release
    /// responds with status 400.
    pub async fn report(&mut self, report: Vec<u8>) -> Result<HostReport, PeerFailure> {
        let (_, report) =
            self.send(REPORT_PATH, report, None, REPLY_TIMEOUT, MAX_MESSAGE_BYTES).await?;
        Ok(report)
    }

    /// Exchanges messages that have an era. A reply of a release without eras has era 0, the lowest.
    async fn call<Q: Serialize + EraMessage, R: DeserializeOwned + EraMessage>(
        &mut self,
        path: &str,
        message: &Q,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<R, PeerFailure> {
        let body = encode_message(message);
        let era = Some(message.era());
        let (era, mut reply) = self.send::<R>(path, body, era, time_limit, max_bytes).await?;
        reply.set_era(era.unwrap_or_default());
        Ok(reply)
    }

    /// Sends a message, and returns the reply with the era that it names.
    async fn send<R: DeserializeOwned>(
        &mut self,
        path: &str,
        message: Vec<u8>,
        era: Option<u64>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<(Option<u64>, R), PeerFailure> {
        let mut request = Request::post(path).header(HOST, self.address().to_string());
        if let Some(era) = era {
            request = request.header(ENTRY_ERA, era);
        }
        let request = request.body(Full::new(Bytes::from(message)));
        let request = request.expect("paths and addresses are valid");
        let response = self.0.send(request, time_limit, max_bytes).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(PeerFailure::Unreadable(status));
        }
        let reply = decode_message(&mut &response.body()[..]);
        let reply = reply.map_err(|_| PeerFailure::Unreadable(status))?;
        Ok((read_era(response.headers()), reply))
    }
}

/// Encoded reply to a message.
struct PeerReply {
    /// Era of this host's entries, if the message is one that has it.
    era: Option<u64>,
    body: Vec<u8>,
}

impl PeerReply {
    fn encode<T: Serialize + EraMessage>(message: &T) -> Self {
        Self { era: Some(message.era()), body: encode_message(message) }
    }
}

/// Handles one message of a peer; responds with status 400 to one that cannot be read.
pub(super) async fn handle_peer_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let era = read_era(request.headers());
    let reading = read_body(request.into_body(), MAX_MESSAGE_BYTES, None);
    let reply = match timeout(MESSAGE_TIMEOUT, reading).await {
        Ok(Ok(body)) => handle_message(&gateway, &path, era, &body).await,
        Ok(Err(error)) => {
            tracing::debug!(%error, "peer_message_lost");
            None
        }
        Err(_) => {
            tracing::debug!("peer_message_late");
            None
        }
    };
    let Some(PeerReply { era, body }) = reply else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    if let Some(era) = era {
        response.headers_mut().insert(ENTRY_ERA, era.into());
    }
    response
}

/// Handles a message whose sender names this era, if its release has eras.
async fn handle_message(
    gateway: &Rc<Gateway>,
    path: &str,
    era: Option<u64>,
    body: &[u8],
) -> Option<PeerReply> {
    match path {
        DIGEST_PATH => {
            let mut digest: PeerDigest = decode_request(path, body)?;
            digest.set_era(era.unwrap_or_default());
            let is_local = gateway.is_local(&digest.sender);
            let reply = gateway.digest(is_local, Some(&digest.members));
            gateway.merge_digest(digest);
            Some(PeerReply::encode(&reply))
        }
        CHANGES_PATH => {
            let mut request: ChangesRequest = decode_request(path, body)?;
            // A release without eras compares revisions alone.
            request.set_era(era.unwrap_or_else(|| gateway.position().era));
            Some(PeerReply::encode(&gateway.wait_for_changes(request).await))
        }
        IN_FLIGHT_PATH => {
            let report: InFlightReport = decode_request(path, body)?;
            let body = encode_message(&gateway.exchange_report(report));
            Some(PeerReply { era: None, body })
        }
        REPORT_PATH => {
            let report: HostReport = decode_request(path, body)?;
            let body = gateway.encode_report(&gateway.exchange_host_report(report));
            Some(PeerReply { era: None, body })
        }
        _ => None,
    }
}

fn decode_request<T: DeserializeOwned>(path: &str, body: &[u8]) -> Option<T> {
    let message = decode_message(&mut &body[..]);
    message.inspect_err(|error| tracing::warn!(path, error, "peer_message_unreadable")).ok()
}

/// Runs gossip rounds until the process ends, and requests changes from hosts that have a newer
/// position: at once in this data centre, where traffic costs nothing, and while the platform does
/// not respond.
pub(super) async fn run_gossip(gateway: Rc<Gateway>, seeds: Vec<SocketAddr>) {
    loop {
        let targets = gateway.state.borrow().members.digest_targets(gateway.now(), &seeds);
        for (address, is_local) in targets {
            let mut client = PeerClient::new(address);
            match client.digest(&gateway.digest(is_local, None)).await {
                Ok(digest) => {
                    let (host, position) = (digest.sender.host.clone(), digest.position);
                    gateway.merge_digest(digest);
                    let is_urgent = is_local || *gateway.source_unavailable.borrow();
                    if is_urgent && position > gateway.position() {
                        gateway.pull_changes(&mut client, &host).await;
                    }
                }
                Err(error) => tracing::debug!(%address, %error, "digest_failed"),
            }
        }
        if let Some(newer) = gateway.take_overdue_host() {
            gateway.pull_changes(&mut PeerClient::new(newer.address), &newer.host).await;
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(DIGEST_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Sends digests to some hosts whenever there are new strikes, until the process ends. A request that
/// crashes upstreams may come again before the next gossip round.
pub(super) async fn broadcast_strikes(gateway: Rc<Gateway>) {
    loop {
        gateway.strike_news.notified().await;
        let mut rounds = JoinSet::new();
        for (address, is_local) in gateway.strike_targets() {
            let gateway = gateway.clone();
            rounds.spawn_local(async move {
                match PeerClient::new(address).digest(&gateway.digest(is_local, None)).await {
                    Ok(digest) => gateway.merge_digest(digest),
                    Err(error) => tracing::debug!(%address, %error, "digest_failed"),
                }
            });
        }
        rounds.join_all().await;
        sleep(STRIKE_ROUND_INTERVAL).await;
    }
}

impl Gateway {
    /// Changes the crash detector, and lets new strikes be sent to other hosts at once.
    pub(super) fn update_crashes(&self, change: impl FnOnce(Instant, &mut CrashDetector)) {
        let crashes = &mut self.state.borrow_mut().crashes;
        change(self.now(), crashes);
        if crashes.take_news() {
            self.strike_news.notify_one();
        }
    }

    /// Chooses the hosts to which new strikes are sent at once, each with whether it is in the data
    /// centre of this one.
    fn strike_targets(&self) -> Vec<(SocketAddr, bool)> {
        let state = self.state.borrow();
        let this_host = state.members.local();
        let live = state.members.live(self.now());
        let targets = live.map(|it| (it.address, it.centre == this_host.centre));
        targets.choose_multiple(&mut rand::rng(), STRIKE_FANOUT)
    }

    /// Returns the digest of this host; with `request`, the digest of the other host, it is the
    /// reply.
    fn digest(&self, is_local: bool, request: Option<&MemberDigest>) -> PeerDigest {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        PeerDigest {
            members: state.members.digest(now, request),
            sender: state.members.local().clone(),
            position: state.feed.position(),
            strikes: state.crashes.strikes_to_send(now),
            clearances: state.crashes.clearances_to_send(now),
            proofs: state.crashes.proofs_to_send(now),
            leaving: state.upstreams.leaving_to_send(),
            outcomes: if is_local { state.outcomes.slots_to_send(now) } else { Vec::new() },
            loads: if is_local { state.upstreams.recent_loads(now) } else { Vec::new() },
        }
    }

    /// Returns whether a host is in the data centre of this one.
    fn is_local(&self, host: &MemberRecord) -> bool {
        self.state.borrow().members.local().centre == host.centre
    }

    fn merge_digest(&self, digest: PeerDigest) {
        self.merge_crashes(&digest);
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.lag.record(now, state.feed.position(), &digest.sender, digest.position);
        let sender = digest.sender.host.clone();
        let incarnation = digest.sender.incarnation;
        for (upstream, count) in state.outcomes.merge_slots(&sender, incarnation, &digest.outcomes)
        {
            state.upstreams.merge_outcomes(now, &upstream, count);
        }
        for (host, change) in state.members.merge_digest(now, digest.sender, &digest.members) {
            tracing::info!(%host, told_by = %sender, news = ?change, "member_changed");
        }
        for leaving in &digest.leaving {
            if state.upstreams.record_leaving(leaving) {
                tracing::info!(upstream = %leaving.upstream, told_by = %sender, "upstream_leaving");
            }
        }
        for sample in &digest.loads {
            state.upstreams.merge_load(now, sample);
        }
        // A host that has just started knows few members, but the sender may know them all.
        let live_hosts = state.members.live(now).count().max(digest.members.known) + 1;
        state.set_live_hosts(live_hosts);
        state.hosts_sharing_limits = state.members.hosts_sharing_limits(now);
        state.crashes.set_host_count(state.hosts_sharing_limits);
        state.upstreams.set_host_count(state.hosts_sharing_limits);
    }

    /// Merges what a digest says of crashes.
    fn merge_crashes(&self, digest: &PeerDigest) {
        self.update_crashes(|now, crashes| {
            crashes.merge_clearances(now, &digest.clearances);
            // Before the strikes, so that a new process does not suspect parts that are in use.
            crashes.merge_proofs(now, &digest.proofs);
            crashes.merge_strikes(now, &digest.strikes);
        });
    }

    /// Returns a host whose entries have been newer than those of this one for too long.
    fn take_overdue_host(&self) -> Option<NewerHost> {
        let state = &mut *self.state.borrow_mut();
        state.lag.take_overdue(self.now(), state.feed.position())
    }

    /// Requests the missing changes from a host that has a newer position.
    pub(super) async fn pull_changes(&self, client: &mut PeerClient, host: &HostName) {
        match client.changes(self.position(), Duration::ZERO).await {
            Ok(reply) => {
                self.apply_reply(reply, host);
            }
            Err(error) => tracing::debug!(%host, %error, "pull_failed"),
        }
    }

    /// Applies a reply of another host; returns false if its changes cannot be read or leave a gap.
    pub(super) fn apply_reply(&self, reply: ChangesReply, host: &HostName) -> bool {
        self.merge_source_state(reply.source_state(self.now()));
        let era = reply.era;
        let Some(packed) = reply.change else {
            return true;
        };
        match packed.unpack().map(|change| EntryUpdate { era, change }) {
            Ok(update) if self.apply_entries(&update, host.as_str()) => true,
            Ok(update) => {
                tracing::warn!(%host, era, base = update.change.base, "changes_with_gap");
                false
            }
            Err(error) => {
                tracing::warn!(%host, %error, "changes_unreadable");
                false
            }
        }
    }

    /// Applies an update of the entries; returns false if it leaves a gap, so that all entries have
    /// to be read.
    pub(super) fn apply_entries(&self, update: &EntryUpdate, from: &str) -> bool {
        let before = self.position();
        let outcome = self.state.borrow_mut().feed.apply(self.now(), update);
        match outcome {
            FeedOutcome::Applied(changes) => {
                let StorePosition { era, revision } = self.position();
                if era != before.era {
                    self.metrics.set_store_era(era);
                }
                if era != before.era && !before.is_start() {
                    tracing::info!(
                        from,
                        era_before = before.era,
                        revision_before = before.revision,
                        era,
                        revision,
                        "store_era_changed"
                    );
                }
                tracing::info!(
                    from,
                    before = before.revision,
                    revision,
                    changes = changes.len(),
                    "entries_changed"
                );
                changes.into_iter().for_each(|it| self.apply(it));
                self.positions.send_replace(self.position());
                true
            }
            FeedOutcome::NotNewer => {
                if update.era < before.era {
                    tracing::warn!(from, era = update.era, known = before.era, "older_era_ignored");
                }
                true
            }
            FeedOutcome::Gap => false,
        }
    }

    async fn wait_for_changes(&self, request: ChangesRequest) -> ChangesReply {
        let mut positions = self.positions.subscribe();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_CHANGE_WAIT);
        let newer = positions.wait_for(|it| *it > request.after);
        // A reply without a change still tells how recent the platform's last response is.
        let is_newer = timeout(wait, newer).await.is_ok();
        let is_newer = is_newer || self.position() > request.after;
        let now = self.now();
        let state = self.state.borrow();
        let age =
            |at: Option<Instant>| at.map(|it| now.saturating_duration_since(it).as_millis() as u64);
        let source = state.source_state;
        ChangesReply {
            era: state.feed.position().era,
            change: is_newer.then(|| self.change_cache.change_since(&state.feed, request.after)),
            answered_age_ms: age(source.last_response),
            regained_age_ms: age(source.last_recovery),
        }
    }
}
