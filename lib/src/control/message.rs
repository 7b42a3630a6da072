//! Messages between the control actors of different hosts.

use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigChange,
    limits::{GrantReply, GrantRequest},
    membership::{Heartbeat, HeartbeatReply, HostList, HostRelease},
    names::{HostName, UpstreamName},
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

/// A request to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Sent to the hosts of the own data centre.
    Heartbeat(Heartbeat),
    /// The sender gives up its rights for good.
    Release(HostRelease),
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
    /// The message was handled.
    Done,
    /// The host cannot answer.
    Unavailable,
}
