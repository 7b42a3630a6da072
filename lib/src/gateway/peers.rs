//! Messages between hosts: digests that spread membership and revisions, and changes of entries.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HOST,
};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{sleep, timeout};

use super::{
    connection::{ClientError, ConnectTimeouts, HttpClient},
    feed::{FeedOutcome, SourceState},
    fleet::Gateway,
    members::{MemberDigest, MemberRecord},
    outcomes::OutcomeSlot,
    packed::PackedChange,
    upstreams::LoadSample,
};
use crate::{
    config::ConfigChange,
    names::HostName,
    peer::{decode_message, encode_message},
    quarantine::CrashStrike,
};

/// Paths of the messages.
const DIGEST_PATH: &str = "/v1/digest";
const CHANGES_PATH: &str = "/v1/changes";

/// Largest message of a peer.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Interval of digests to a host of the own data centre.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which another host may know more before its changes are asked for, so that a change
/// that reaches this host anyway is not sent twice.
const BEHIND_TIME: Duration = Duration::from_millis(400);

/// Time for the reply to a message, besides the time for which it may wait.
const REPLY_TIME: Duration = Duration::from_millis(400);

/// Longest wait for a change that is granted.
const MAX_WAIT: Duration = Duration::from_secs(5);

const TIMES: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_millis(300),
    unacknowledged: Duration::from_millis(500),
};

/// What two hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// The sender.
    pub sender: MemberRecord,
    /// What the sender knows of the hosts.
    pub members: MemberDigest,
    /// Revision of the entries that the sender knows.
    pub revision: u64,
    /// Requests that were lost in a crash a moment ago.
    pub strikes: Vec<CrashStrike>,
    /// How requests ended lately; told within a data centre only, where bytes cost nothing.
    pub outcomes: Vec<OutcomeSlot>,
    /// Recent load reports; told within a data centre only.
    pub loads: Vec<LoadSample>,
}

/// Asks for changes of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Revision that the asking host knows.
    pub after: u64,
    /// Time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Changes of the entries, with the age of the belief that there are no others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesReply {
    /// The changes in compressed form; none if there were none in time.
    pub change: Option<PackedChange>,
    /// Time since the platform last answered, in milliseconds.
    pub answered_age_ms: Option<u64>,
    /// Time since it answered again after an outage, in milliseconds.
    pub regained_age_ms: Option<u64>,
}

impl ChangesReply {
    /// Returns the time since the platform last answered the sender.
    pub fn answered_age(&self) -> Option<Duration> {
        self.answered_age_ms.map(Duration::from_millis)
    }

    fn source(&self, now: Instant) -> SourceState {
        let at = |age: Option<u64>| now.checked_sub(Duration::from_millis(age?));
        SourceState {
            last_response: at(self.answered_age_ms),
            last_recovery: at(self.regained_age_ms),
        }
    }
}

/// Why a peer gave no reply.
#[derive(Debug, thiserror::Error)]
pub enum PeerFailure {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// The reply is no message.
    #[error("unreadable reply, status {0}")]
    Unreadable(StatusCode),
}

/// Calls one host.
#[derive(Debug)]
pub struct PeerClient(HttpClient);

impl PeerClient {
    /// Creates a client that is not connected.
    pub fn new(address: SocketAddr) -> Self {
        Self(HttpClient::new(address, TIMES))
    }

    /// Returns the address of the host.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Exchanges digests.
    ///
    /// # Errors
    ///
    /// The host did not reply in time.
    pub async fn digest(&mut self, digest: &PeerDigest) -> Result<PeerDigest, PeerFailure> {
        self.call(DIGEST_PATH, digest, REPLY_TIME).await
    }

    /// Asks for changes after a revision; the host waits up to `wait` for some.
    ///
    /// # Errors
    ///
    /// The host did not reply in time.
    pub async fn changes(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> Result<ChangesReply, PeerFailure> {
        let request = ChangesRequest { after, wait_ms: wait.as_millis() as u64 };
        self.call(CHANGES_PATH, &request, wait + REPLY_TIME).await
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &mut self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<R, PeerFailure> {
        let body = Full::new(Bytes::from(encode_message(message)));
        let request = Request::post(path).header(HOST, self.address().to_string()).body(body);
        let request = request.expect("paths and addresses are valid");
        let (status, body) = self.0.send(request, limit).await?;
        if status != StatusCode::OK {
            return Err(PeerFailure::Unreadable(status));
        }
        decode_message(&mut &body[..]).map_err(|_| PeerFailure::Unreadable(status))
    }
}

/// Answers one message of a peer.
pub(super) async fn answer_peer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let reply = match body {
        Ok(body) => answer_message(&gateway, &path, &body.to_bytes()).await,
        Err(error) => {
            tracing::debug!(%error, "peer_message_lost");
            None
        }
    };
    let status = if reply.is_some() { StatusCode::OK } else { StatusCode::BAD_REQUEST };
    let mut response = Response::new(Full::new(Bytes::from(reply.unwrap_or_default())));
    *response.status_mut() = status;
    response
}

async fn answer_message(gateway: &Rc<Gateway>, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        DIGEST_PATH => {
            let digest: PeerDigest = read_message(path, body)?;
            let is_near = gateway.is_near(&digest.sender);
            let reply = gateway.digest(is_near, Some(&digest.members));
            gateway.merge_digest(digest);
            Some(encode_message(&reply))
        }
        CHANGES_PATH => {
            let request: ChangesRequest = read_message(path, body)?;
            Some(encode_message(&gateway.changes_after(request).await))
        }
        _ => None,
    }
}

fn read_message<T: DeserializeOwned>(path: &str, body: &[u8]) -> Option<T> {
    let message = decode_message(&mut &body[..]);
    message.inspect_err(|error| tracing::warn!(path, error, "peer_message_unreadable")).ok()
}

/// Exchanges digests with other hosts until the process ends.
pub(super) async fn spread_digests(gateway: Rc<Gateway>, seeds: Vec<SocketAddr>) {
    let mut behind_since = None;
    loop {
        let targets = gateway.digest_targets(&seeds);
        for (address, is_near) in targets {
            let mut client = PeerClient::new(address);
            match client.digest(&gateway.digest(is_near, None)).await {
                Ok(digest) => {
                    let (host, revision) = (digest.sender.host.clone(), digest.revision);
                    gateway.merge_digest(digest);
                    if revision <= gateway.revision() {
                        behind_since = None;
                        continue;
                    }
                    let now = gateway.now();
                    let since = *behind_since.get_or_insert(now);
                    let is_late = now.saturating_duration_since(since) >= BEHIND_TIME;
                    if is_near || is_late || *gateway.source_unavailable.borrow() {
                        gateway.pull(&mut client, &host).await;
                        behind_since = None;
                    }
                }
                Err(error) => tracing::debug!(%address, %error, "digest_failed"),
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(DIGEST_INTERVAL.mul_f64(jitter)).await;
    }
}

impl Gateway {
    /// Returns what this host tells another one, as an answer to `asked` if that one told first.
    fn digest(&self, is_near: bool, asked: Option<&MemberDigest>) -> PeerDigest {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        PeerDigest {
            members: state.members.digest(now, asked),
            sender: state.members.local().clone(),
            revision: state.feed.revision(),
            strikes: state.crashes.strikes_to_send(now),
            outcomes: if is_near { state.outcomes.slots_to_send(now) } else { Vec::new() },
            loads: if is_near { state.upstreams.recent_loads(now) } else { Vec::new() },
        }
    }

    /// Returns whether a host is in the own data centre.
    fn is_near(&self, host: &MemberRecord) -> bool {
        self.state.borrow().members.local().centre == host.centre
    }

    fn merge_digest(&self, digest: PeerDigest) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let sender = digest.sender.host.clone();
        let incarnation = digest.sender.incarnation;
        for (upstream, count) in state.outcomes.merge_slots(&sender, incarnation, &digest.outcomes)
        {
            state.upstreams.merge_outcomes(now, &upstream, count);
        }
        for (host, news) in state.members.merge_digest(now, digest.sender, &digest.members) {
            tracing::info!(%host, told_by = %sender, news = ?news, "member_changed");
        }
        state.crashes.merge_strikes(now, &digest.strikes);
        for sample in &digest.loads {
            state.upstreams.merge_load(now, sample);
        }
        state.hosts_sharing_limits = state.members.hosts_sharing_limits(now);
    }

    /// Chooses the hosts of one round of digests, with whether they are in the own data centre.
    fn digest_targets(&self, seeds: &[SocketAddr]) -> Vec<(SocketAddr, bool)> {
        let now = self.now();
        let state = self.state.borrow();
        let own = state.members.local();
        let mut rng = rand::rng();
        let near = state.members.live(now).filter(|it| it.centre == own.centre);
        let near = near.map(|it| (it.address, true)).choose(&mut rng);
        let far = state.members.live(now).filter(|it| it.centre != own.centre);
        let far = far.map(|it| (it.address, false)).choose(&mut rng);
        let share = state.members.remote_digest_probability(now);
        let far = far.filter(|_| rng.random_bool(share));
        let mut targets: Vec<(SocketAddr, bool)> = near.into_iter().chain(far).collect();
        if targets.is_empty() {
            let others = seeds.iter().filter(|it| **it != own.address);
            targets.extend(others.map(|it| (*it, false)).choose(&mut rng));
        }
        targets
    }

    /// Asks a host that knows more for what this one lacks.
    async fn pull(&self, client: &mut PeerClient, host: &HostName) {
        match client.changes(self.revision(), Duration::ZERO).await {
            Ok(reply) => {
                self.take_reply(reply, host);
            }
            Err(error) => tracing::debug!(%host, %error, "pull_failed"),
        }
    }

    /// Adopts what another host knows of the entries; returns false if it cannot be used.
    pub(super) fn take_reply(&self, reply: ChangesReply, host: &HostName) -> bool {
        self.merge_source_state(reply.source(self.now()));
        let Some(packed) = reply.change else {
            return true;
        };
        match packed.unpack() {
            Ok(change) if self.take_entries(&change, host.as_str()) => true,
            Ok(change) => {
                tracing::warn!(%host, base = change.base, "changes_with_gap");
                false
            }
            Err(error) => {
                tracing::warn!(%host, %error, "changes_unreadable");
                false
            }
        }
    }

    /// Adopts a change of the entries; returns false if a whole set is needed.
    pub(super) fn take_entries(&self, change: &ConfigChange, from: &str) -> bool {
        let before = self.revision();
        let outcome = self.state.borrow_mut().feed.apply(change);
        match outcome {
            FeedOutcome::Applied(changes) => {
                tracing::info!(
                    from,
                    before,
                    revision = change.revision,
                    changes = changes.len(),
                    "entries_changed"
                );
                changes.into_iter().for_each(|it| self.apply(it));
                self.revisions.send_replace(change.revision);
                true
            }
            FeedOutcome::NotNewer => true,
            FeedOutcome::Gap => false,
        }
    }

    async fn changes_after(&self, request: ChangesRequest) -> ChangesReply {
        let mut revisions = self.revisions.subscribe();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let newer = revisions.wait_for(|it| *it > request.after);
        // Without a change in time the reply says how recent this knowledge is.
        let is_newer = timeout(wait, newer).await.is_ok();
        let is_newer = is_newer || self.revision() > request.after;
        let now = self.now();
        let state = self.state.borrow();
        let age =
            |at: Option<Instant>| at.map(|it| now.saturating_duration_since(it).as_millis() as u64);
        let source = state.source;
        ChangesReply {
            change: is_newer.then(|| self.packed.change_since(&state.feed, request.after)),
            answered_age_ms: age(source.last_response),
            regained_age_ms: age(source.last_recovery),
        }
    }
}
