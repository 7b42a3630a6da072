//! Messages between the control actors of different hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::KeyHash,
    config::ConfigChange,
    front::{CallerRequest, RequestRefusal},
    limits::{BucketSnapshot, GrantReply, GrantRequest},
    membership::{Heartbeat, HeartbeatReply, HostList, HostRelease},
    names::{CentreName, HostName, UpstreamName},
    operation::{
        ForwardId, OperationRecord, OperationUpdate, RecordPage, StoreReply, StoredResponse,
    },
    quarantine::{CrashClearance, CrashStrike},
    routing::{ColdNotice, LoadReport},
};

/// What a host tells about itself when it exchanges digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDigest {
    /// The host.
    pub host: HostName,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Revision in force.
    pub accepted: u64,
    /// Highest revision known.
    pub seen: u64,
}

/// Load reports that one host read for its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadBatch {
    /// The reports.
    pub reports: Vec<(UpstreamName, LoadReport)>,
}

/// A call with an operation key, forwarded to the host that decides about it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedOperation {
    /// The request without the caller's credentials.
    pub request: CallerRequest,
    /// Hash of the caller's key, checked again by the deciding host.
    pub caller_key: Option<KeyHash>,
    /// The operation key.
    pub operation_key: String,
    /// Identity of the message.
    pub id: ForwardId,
}

/// How a call with an operation key ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OperationReply {
    /// The operation ran; this is its response.
    Ran {
        /// The response; empty if it was not stored.
        response: Arc<StoredResponse>,
        /// Whether it ran on an earlier call.
        is_replay: bool,
    },
    /// The call is refused.
    Refused(RequestRefusal),
}

/// Buckets that a stopping process hands over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketHandover {
    /// Incarnation of the process that stops; its handover counts once.
    pub incarnation: u64,
    /// The buckets.
    pub buckets: Vec<BucketSnapshot>,
}

/// A request to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the host answers at all.
    Probe,
    /// Sent to the hosts of the own data centre.
    Heartbeat(Heartbeat),
    /// The sender gives up its rights for good.
    Release(HostRelease),
    /// Buckets of a process that stops, for their next owner.
    Buckets(BucketHandover),
    /// Exchange of revisions.
    Digest(HostDigest),
    /// Asks for the configuration after a revision.
    ConfigSince(u64),
    /// Asks for the host list; used at the start of a process.
    HostList,
    /// Asks the owner of a team's bucket for tokens.
    Grant(GrantRequest),
    /// Load reports for the data centre.
    Loads(LoadBatch),
    /// An upstream turned cold, or answered for the first time since.
    Cold(ColdNotice),
    /// Requests that broke upstreams.
    Strikes {
        /// Number under which the sender waits for the reply.
        number: u64,
        /// The strikes.
        strikes: Vec<CrashStrike>,
    },
    /// Strikes that no longer count.
    Cleared(CrashClearance),
    /// Asks for all strikes; used at the start of a process.
    StrikeList,
    /// Asks a backup to keep a copy of an intent.
    StoreIntent {
        /// The deciding host.
        sender: HostName,
        /// The copy.
        record: Box<OperationRecord>,
    },
    /// Change of a record of which the receiver should hold a copy.
    UpdateRecord {
        /// The host that knows of the change.
        sender: HostName,
        /// The receiver.
        target: HostName,
        /// The change.
        update: OperationUpdate,
    },
    /// Asks for the records that hosts of a data centre may decide about.
    Records {
        /// The receiver.
        source: HostName,
        /// The data centre.
        centre: CentreName,
        /// Handover for which the records are needed.
        epoch: u64,
        /// Where the page begins.
        cursor: u64,
    },
    /// A whole call for the host that decides about it; a worker thread handles it.
    Operation(Box<ForwardedOperation>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a digest.
    Digest(HostDigest),
    /// To a request for the configuration.
    Config(ConfigChange),
    /// To a request for the host list.
    HostList(HostList),
    /// To a request for tokens.
    Grant(GrantReply),
    /// To a request for strikes.
    Strikes(Vec<CrashStrike>),
    /// To an intent.
    Stored(StoreReply),
    /// To a change of a record: whether the receiver knows as much as the sender.
    Updated(bool),
    /// To a request for records.
    Records(RecordPage),
    /// To a forwarded call.
    Operation(OperationReply),
    /// The message was handled.
    Done,
    /// The host cannot answer.
    Unavailable,
}
