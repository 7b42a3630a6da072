//! Messages from other threads to the control actor.

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

/// Where the control actor sends a reply; the receiver may be gone.
pub type ReplySender<T> = SyncSender<T>;

/// A message to the control actor.
#[derive(Debug)]
pub enum ControlCommand {
    /// A newer configuration from the platform or a peer.
    ConfigRead(ConfigChange),
    /// A read of the host list ended; `None` if the list did not change.
    HostsRead {
        /// When the read began.
        started: Instant,
        /// The list, if it changed.
        list: Option<HostList>,
    },
    /// A host list from another host; it says nothing about the present state.
    HostsFromPeer(HostList),
    /// May this request run, and as what?
    Admit(AdmitRequest, ReplySender<AdmitOutcome>),
    /// To which upstream does an admitted request go?
    Dispatch(Box<DispatchRequest>, ReplySender<DispatchOutcome>),
    /// The first piece of an answer arrived.
    FirstChunk {
        /// Number of the dispatch.
        number: u64,
        /// Incarnation that the answer names.
        incarnation: Option<u64>,
    },
    /// A dispatched request ended.
    DispatchEnded(u64, DispatchEnd),
    /// A dispatched request was lost with its upstream; the reply comes when the peers know.
    UpstreamLost(u64, ReplySender<()>),
    /// A message about an operation.
    Operation(Box<OperationCommand>),
    /// Whose key is this?
    Authenticate(Option<KeyHash>, ReplySender<Result<TeamName, RequestRefusal>>),
    /// May this request run, apart from the team's limit? Asked for forwarded calls.
    CheckAdmission(AdmitRequest, ReplySender<Result<Arc<RequestAdmission>, RequestRefusal>>),
    /// A caller's request ended.
    RequestEnded(Arc<RequestAdmission>, RequestEnd),
    /// The state of this host.
    Status(ReplySender<Box<StatusReport>>),
    /// What the host would do with a request.
    Explain(ExplainQuery, ReplySender<Box<ExplainReport>>),
    /// The burn of the objectives.
    Burn(ReplySender<BurnReport>),
    /// What the thread that reads load reports has to do next.
    LoadRound(ReplySender<LoadRound>),
    /// Load reports that this host read.
    LoadsRead(Vec<(UpstreamName, LoadReport)>),
    /// A message of another host.
    Peer(Box<PeerRequest>, ReplySender<PeerReply>),
    /// A call to another host ended.
    PeerEnded(Box<PeerCall<PeerRequest>>, Result<PeerReply, PeerError>),
    /// The revision up to which the configuration is known.
    SeenRevision(ReplySender<u64>),
    /// The version of the host list.
    ListVersion(ReplySender<u64>),
    /// Whether the host takes new requests.
    IsReady(ReplySender<bool>),
    /// A planned stop has begun; new requests are refused.
    Drain,
    /// No request is in flight any more: hand over the records that are left.
    HandOver(ReplySender<()>),
}

/// A request before admission.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Hash of the caller's key, if it sent one.
    pub key: Option<KeyHash>,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
}

/// Result of the admission.
#[derive(Clone, Debug)]
pub enum AdmitOutcome {
    /// The request may run.
    Admitted(Arc<RequestAdmission>),
    /// The request may not run.
    Refused(RequestRefusal),
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct RequestAdmission {
    /// Route that matched.
    pub route: RouteName,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Service of a service route.
    pub service: Option<ServiceName>,
    /// Whether the request may run at most once.
    pub runs_at_most_once: bool,
    /// Whether the route is open to all.
    pub is_open: bool,
    /// Team of the caller; `open` on an open route.
    pub team: TeamName,
    /// Hash of the caller's key, checked again before dispatch.
    pub key: Option<KeyHash>,
    /// Class of the request.
    pub class: ClassName,
    /// Weight of the team in fair queueing.
    pub weight: f64,
    /// Priority of the class, 0 first.
    pub priority: u8,
    /// Time until the first piece of the answer.
    pub deadline: Duration,
    /// Longest wait in the queue.
    pub max_queue_time: Duration,
    /// When the request was admitted.
    pub admitted: Instant,
}

/// What a dispatched request needs.
#[derive(Clone, Debug)]
pub enum DispatchTarget {
    /// An engine with a model.
    Chat {
        /// Model that shall answer.
        model: ModelName,
        /// Identity of the chat.
        chat: String,
    },
    /// An upstream of a service.
    Service(ServiceName),
}

/// An admitted request that needs an upstream.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// The admission.
    pub admission: Arc<RequestAdmission>,
    /// What the request needs.
    pub target: DispatchTarget,
    /// Id of the request; broadcasts requests without a chat.
    pub request_id: String,
    /// Identity of team and body, for the register of requests that broke upstreams.
    pub fingerprint: RequestFingerprint,
    /// Estimated work in tokens; 1 for a service.
    pub work: u64,
    /// Upstreams that failed for this request.
    pub tried: Vec<UpstreamName>,
    /// Whether the upstream must be able to resume a cut stream.
    pub needs_resume: bool,
}

/// Result of a dispatch request.
#[derive(Debug)]
pub enum DispatchOutcome {
    /// Send the request now.
    Send(DispatchPermit),
    /// The request does not run.
    Refused(RequestRefusal),
}

/// The right to send one request to one upstream.
#[derive(Clone, Debug)]
pub struct DispatchPermit {
    /// Identifies the dispatch until it ends.
    pub number: u64,
    /// Chosen upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it can resume a cut stream.
    pub can_resume: bool,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The whole answer arrived.
    Complete,
    /// The upstream was not reached.
    NotSent,
    /// The upstream broke off or did not answer.
    UpstreamLost,
    /// The upstream answered wrongly, or that it takes no request; it runs.
    BadResponse,
    /// The caller went away.
    Cancelled,
}

/// How an admitted request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer was sent.
    Completed {
        /// Time until the first piece of the answer.
        first_chunk: Duration,
    },
    /// The answer broke off after its first piece.
    Truncated,
    /// The caller went away.
    CallerDisconnected,
    /// The caller got a refusal.
    Refused {
        /// Why.
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
