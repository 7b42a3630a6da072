//! Commands from other threads to the control actor.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::SyncSender},
    time::{Duration, Instant},
};

use super::{
    dispatch::LoadRound,
    message::{PeerReply, PeerRequest},
    operations::OperationCommand,
};
use crate::{
    catalogue::{KeyHash, RouteKind},
    config::ConfigChange,
    front::{OutcomeKind, RefusalKind, RequestRefusal},
    membership::HostList,
    names::{ClassName, ModelName, RouteName, ServiceName, TeamName, UpstreamName},
    peer::{PeerCall, PeerError},
    quarantine::RequestFingerprint,
    routing::LoadReport,
    slo::BurnReport,
    status::{ExplainQuery, ExplainReport, StatusReport},
};

/// Sends the reply of the control actor; the receiver may have been dropped.
pub type ReplySender<T> = SyncSender<T>;

/// A command to the control actor.
#[derive(Debug)]
pub enum ControlCommand {
    /// Applies a configuration change from the platform or a peer.
    ConfigRead(ConfigChange),
    /// Reports that the platform answered a read of the host list.
    HostsRead {
        /// When the read began.
        started: Instant,
        /// The new list; `None` if it did not change.
        list: Option<HostList>,
    },
    /// Provides a host list from another host, which is used only until the platform provides one;
    /// it may be outdated.
    HostsFromPeer(HostList),
    /// Admits or refuses a request.
    Admit(AdmitRequest, ReplySender<AdmitOutcome>),
    /// Queues an admitted request and chooses its upstream.
    Dispatch(Box<DispatchRequest>, ReplySender<DispatchOutcome>),
    /// Reports the first chunk of a response.
    FirstChunk {
        /// Number of the dispatch.
        number: u64,
        /// Incarnation of the upstream according to the response.
        incarnation: Option<u64>,
    },
    /// Reports the end of the dispatch with this number.
    DispatchEnded(u64, DispatchEnd),
    /// Reports that the upstream of the dispatch with this number was lost; replies when the peers
    /// have received the strike, or after a timeout.
    UpstreamLost(u64, ReplySender<()>),
    /// Handles a command about an operation.
    Operation(Box<OperationCommand>),
    /// Returns the team of a key.
    Authenticate(Option<KeyHash>, ReplySender<Result<TeamName, RequestRefusal>>),
    /// Checks a forwarded request like `Admit`, but without the team's limit.
    CheckAdmission(AdmitRequest, ReplySender<Result<Arc<RequestAdmission>, RequestRefusal>>),
    /// Reports how an admitted request ended for its caller.
    RequestEnded(Arc<RequestAdmission>, RequestEnd),
    /// Returns the state of this host.
    Status(ReplySender<Box<StatusReport>>),
    /// Returns how this host would handle a request.
    Explain(ExplainQuery, ReplySender<Box<ExplainReport>>),
    /// Returns the burn rates of the service level objectives.
    Burn(ReplySender<BurnReport>),
    /// Returns the upstreams whose load has to be read in the next round.
    LoadRound(ReplySender<LoadRound>),
    /// Provides load reports that this host read from upstreams.
    LoadsRead(Vec<(UpstreamName, LoadReport)>),
    /// Handles a request of another host.
    Peer(Box<PeerRequest>, ReplySender<PeerReply>),
    /// Reports the end of a call to another host.
    PeerEnded(Box<PeerCall<PeerRequest>>, Result<PeerReply, PeerError>),
    /// Returns the highest known configuration revision.
    SeenRevision(ReplySender<u64>),
    /// Returns the version of the host list.
    ListVersion(ReplySender<u64>),
    /// Returns whether the host accepts new requests.
    IsReady(ReplySender<bool>),
    /// Begins a planned stop: refuses new requests and starts the handover of records.
    Drain,
    /// Hands over all records, after the last request has ended, and releases the ownership of this
    /// process; replies at the end.
    HandOver(ReplySender<()>),
}

/// The parts of a request that admission depends on.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Hash of the caller's key, if it sent one.
    pub key: Option<KeyHash>,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
}

/// Result of [`ControlCommand::Admit`].
#[derive(Clone, Debug)]
pub enum AdmitOutcome {
    /// The request may run.
    Admitted(Arc<RequestAdmission>),
    /// The request may not run.
    Refused(RequestRefusal),
}

/// An admitted request: its route, its team and the limits of its class.
#[derive(Clone, Debug)]
pub struct RequestAdmission {
    /// Matching route.
    pub route: RouteName,
    /// Kind of upstream that the route leads to.
    pub kind: RouteKind,
    /// Service of a service route; `None` on a chat route.
    pub service: Option<ServiceName>,
    /// Whether the request is an operation that runs at most once.
    pub runs_at_most_once: bool,
    /// Whether the route needs no key.
    pub is_open: bool,
    /// Team of the caller; `open` on an open route.
    pub team: TeamName,
    /// Hash of the caller's key; checked again before dispatch, as the key may be withdrawn.
    pub key: Option<KeyHash>,
    /// Class of the request.
    pub class: ClassName,
    /// Weight of the team in fair queueing.
    pub weight: f64,
    /// Priority of the class; 0 is served first.
    pub priority: u8,
    /// Time from admission within which the first chunk of the response is due.
    pub deadline: Duration,
    /// Longest time in the queue.
    pub max_queue_time: Duration,
    /// When the request was admitted.
    pub admitted: Instant,
}

/// Kind of upstream that a request needs.
#[derive(Clone, Debug)]
pub enum DispatchTarget {
    /// An engine that serves a model.
    Chat {
        /// Requested model.
        model: ModelName,
        /// Identity of the chat, for affinity.
        chat: String,
    },
    /// An upstream of a service.
    Service(ServiceName),
}

/// An admitted request that needs an upstream.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The admission of the request.
    pub admission: Arc<RequestAdmission>,
    /// Kind of upstream that the request needs.
    pub target: DispatchTarget,
    /// Id of the request; spreads requests without a chat over the upstreams.
    pub request_id: String,
    /// Identity of team and body, for the register of requests that crash upstreams.
    pub fingerprint: RequestFingerprint,
    /// Estimated work in tokens; 1 for a service.
    pub work: u64,
    /// Upstreams that failed for this request and are not tried again.
    pub tried: Vec<UpstreamName>,
    /// Whether the upstream must be able to resume an interrupted stream.
    pub needs_resume: bool,
}

/// Result of [`ControlCommand::Dispatch`].
#[derive(Debug)]
pub enum DispatchOutcome {
    /// The request may be sent to an upstream now.
    Send(DispatchPermit),
    /// The request is refused and has not run.
    Refused(RequestRefusal),
}

/// Permission to send one request to one upstream.
#[derive(Clone, Debug)]
pub struct DispatchPermit {
    /// Identifies the dispatch until it ends.
    pub number: u64,
    /// Chosen upstream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Whether the upstream can resume an interrupted stream.
    pub can_resume: bool,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The complete response arrived.
    Complete,
    /// The upstream was not reached.
    NotSent,
    /// The upstream closed the connection early or did not respond.
    UpstreamLost,
    /// The upstream is running, but its response was invalid or refused the request.
    BadResponse,
    /// The router or the caller gave up on the request.
    Cancelled,
}

/// How an admitted request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete response was sent.
    Completed {
        /// Time from the admission of the request to the first chunk of its response.
        first_chunk: Duration,
    },
    /// The response was cut off after its first chunk.
    Truncated,
    /// The caller closed the connection before the end of the response.
    CallerDisconnected,
    /// The caller received a refusal.
    Refused {
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Whether an upstream ran the request.
        outcome: OutcomeKind,
    },
}

impl RequestEnd {
    /// Returns whether an upstream ran the request.
    pub fn outcome(self) -> OutcomeKind {
        match self {
            Self::Completed { .. } | Self::CallerDisconnected => OutcomeKind::Ran,
            Self::Truncated => OutcomeKind::Unknown,
            Self::Refused { outcome, .. } => outcome,
        }
    }
}
