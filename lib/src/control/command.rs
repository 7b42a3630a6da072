//! Messages from other threads to the control actor.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::SyncSender},
    time::{Duration, Instant},
};

use crate::{
    catalogue::{KeyHash, RouteKind},
    config::ConfigChange,
    front::{OutcomeKind, Refusal},
    membership::HostList,
    names::{ClassName, ModelName, RouteName, ServiceName, TeamName, UpstreamName},
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
    /// May this request run, and as what?
    Admit(AdmitRequest, ReplySender<AdmitOutcome>),
    /// To which upstream does an admitted request go?
    Dispatch(Box<DispatchRequest>, ReplySender<DispatchOutcome>),
    /// The first piece of an answer arrived.
    FirstPiece(u64),
    /// A dispatched request ended.
    DispatchEnded(u64, DispatchEnd),
    /// A caller's request ended.
    RequestEnded(Box<RequestEnd>),
    /// The revision up to which the configuration is known.
    SeenRevision(ReplySender<u64>),
    /// The version of the host list.
    ListVersion(ReplySender<u64>),
    /// Whether the host takes new requests.
    IsReady(ReplySender<bool>),
    /// A planned stop has begun.
    Drain,
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
    Admitted(Arc<Admission>),
    /// The request may not run.
    Refused(Refusal),
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Route that matched.
    pub route: RouteName,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Service of a service route.
    pub service: Option<ServiceName>,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Whether the route is open to all.
    pub open: bool,
    /// Team of the caller; `open` on an open route.
    pub team: TeamName,
    /// Hash of the caller's key, checked again before dispatch.
    pub key: Option<KeyHash>,
    /// Class of the request.
    pub class: ClassName,
    /// Priority of the class, 0 first.
    pub priority: u8,
    /// Time until the first piece of the answer.
    pub deadline: Duration,
    /// Longest wait in the queue.
    pub queue_limit: Duration,
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
    pub admission: Arc<Admission>,
    /// What the request needs.
    pub target: DispatchTarget,
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
    Send(DispatchGrant),
    /// The request does not run.
    Refused(Refusal),
}

/// The right to send one request to one upstream.
#[derive(Clone, Debug)]
pub struct DispatchGrant {
    /// Identifies the dispatch until it ends.
    pub number: u64,
    /// Chosen upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it can resume a cut stream.
    pub resume: bool,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The whole answer arrived.
    Complete,
    /// The upstream was not reached.
    NotSent,
    /// The upstream broke off or did not answer.
    Broken,
    /// The caller went away.
    Abandoned,
}

/// How a caller's request ended, for reports.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// The admission.
    pub admission: Arc<Admission>,
    /// Whether the caller got a whole answer.
    pub is_answered: bool,
    /// Whether an upstream ran the request.
    pub outcome: OutcomeKind,
    /// Time until the first piece of the answer.
    pub first_piece: Option<Duration>,
}
