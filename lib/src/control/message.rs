//! Messages between the control actors of different hosts, serialised as MessagePack.

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

/// State of a host that is exchanged in gossip rounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDigest {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of the process on the host.
    pub incarnation: u64,
    /// Configuration revision in force.
    pub accepted: u64,
    /// Highest known configuration revision.
    pub seen: u64,
}

/// Load reports that one host read for its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadBatch {
    /// Reports with the upstream that each of them describes.
    pub reports: Vec<(UpstreamName, LoadReport)>,
}

/// A request with an operation key, forwarded to the host that decides about the operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedOperation {
    /// The request without the caller's credentials.
    pub request: CallerRequest,
    /// Hash of the caller's key, checked again by the deciding host.
    pub caller_key: Option<KeyHash>,
    /// The operation key.
    pub operation_key: String,
    /// Identity of the forwarded message, by which a duplicate is detected.
    pub id: ForwardId,
}

/// Result of a request with an operation key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OperationReply {
    /// The operation ran; this is its response.
    Ran {
        /// The response; empty if it was not stored.
        response: Arc<StoredResponse>,
        /// Whether the operation ran for an earlier request with the same key.
        is_replay: bool,
    },
    /// The request is refused.
    Refused(RequestRefusal),
}

/// Buckets that a stopping process hands over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketHandover {
    /// Incarnation of the stopping process; a second handover of the same one is ignored.
    pub incarnation: u64,
    /// Content of the buckets.
    pub buckets: Vec<BucketSnapshot>,
}

/// A request to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Checks whether the host replies.
    Probe,
    /// Heartbeat to a host of the sender's data centre.
    Heartbeat(Heartbeat),
    /// The sender gives up all ownership permanently.
    Release(HostRelease),
    /// Buckets of a stopping process for their next owner.
    Buckets(BucketHandover),
    /// Digest of the sender; the reply is the digest of the receiver.
    Digest(HostDigest),
    /// Requests the configuration changes after a revision.
    ConfigSince(u64),
    /// Requests the host list, at the start of a process.
    HostList,
    /// Requests tokens from the owner of a team's bucket.
    Grant(GrantRequest),
    /// Load reports for a host of the sender's data centre.
    Loads(LoadBatch),
    /// An upstream started cold, or responded for the first time after that.
    Cold(ColdNotice),
    /// Strikes against requests that may have crashed upstreams.
    Strikes {
        /// Number of the sender's broadcast, to which the reply is assigned.
        number: u64,
        /// The strikes.
        strikes: Vec<CrashStrike>,
    },
    /// Strikes that no longer count.
    Cleared(CrashClearance),
    /// Requests all strikes, at the start of a process.
    StrikeList,
    /// Asks a backup host to store a copy of the intent to run an operation.
    StoreIntent {
        /// Host that decides about the operation.
        sender: HostName,
        /// Copy of the record.
        record: Box<OperationRecord>,
    },
    /// Change of an operation record of which the receiver should hold a copy.
    UpdateRecord {
        /// Host that sends the change.
        sender: HostName,
        /// Receiving host.
        target: HostName,
        /// The change.
        update: OperationUpdate,
    },
    /// Requests a page of the records that hosts of a data centre may decide about.
    Records {
        /// Receiving host.
        source: HostName,
        /// The data centre.
        centre: CentreName,
        /// Number of the sender's handover that the page belongs to.
        epoch: u64,
        /// Position at which the page begins.
        cursor: u64,
    },
    /// Request for the host that decides about its operation; handled by a worker thread.
    Operation(Box<ForwardedOperation>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Reply to a digest.
    Digest(HostDigest),
    /// Reply to a request for the configuration.
    Config(ConfigChange),
    /// Reply to a request for the host list.
    HostList(HostList),
    /// Reply to a request for tokens.
    Grant(GrantReply),
    /// Reply to a request for strikes.
    Strikes(Vec<CrashStrike>),
    /// Reply to a copy of an intent.
    Stored(StoreReply),
    /// Reply to a change of a record: whether the receiver's copy is at least as recent as the
    /// sender's.
    Updated(bool),
    /// Reply to a request for records.
    Records(RecordPage),
    /// Reply to a forwarded request.
    Operation(OperationReply),
    /// The request was handled; there is nothing to return.
    Done,
    /// The host cannot handle the request at present.
    Unavailable,
}
