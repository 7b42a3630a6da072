//! Operation records, and the messages by which hosts exchange them.

use std::{fmt, sync::Arc};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
};

use super::{
    digest::{KeyDigest, RequestDigest},
    loss::LossMarker,
};
use crate::names::TeamName;

/// Identifies an operation: a team and the digest of its operation key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OperationId {
    /// Team of the caller.
    pub team: TeamName,
    /// Digest of the operation key.
    pub key: KeyDigest,
}

impl OperationId {
    /// Creates the identifier for a team's key as the caller sent it.
    pub fn new(team: &TeamName, key: &str) -> Self {
        Self { team: team.clone(), key: KeyDigest::of(key) }
    }

    /// Returns the key for rendezvous hashing over data centres and hosts.
    pub fn placement_key(&self) -> String {
        format!("operation/{}/{}", self.team, self.key.to_hex())
    }
}

/// Identifies one attempt to run an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DispatchId {
    /// Incarnation of the deciding process.
    pub incarnation: u64,
    /// Number of the attempt; increases with every attempt of the process.
    pub number: u64,
}

/// Bytes that are serialized as one string instead of a sequence of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByteString(pub Vec<u8>);

impl Serialize for ByteString {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ByteVisitor;

        impl<'de> Visitor<'de> for ByteVisitor {
            type Value = ByteString;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<ByteString, E> {
                Ok(ByteString(bytes.to_vec()))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<ByteString, E> {
                Ok(ByteString(bytes))
            }

            // Text formats without a byte type, such as JSON, write a sequence.
            fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ByteString, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = items.next_element()? {
                    bytes.push(byte);
                }
                Ok(ByteString(bytes))
            }
        }

        deserializer.deserialize_byte_buf(ByteVisitor)
    }
}

/// Response of an upstream, stored for retries of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: ByteString,
}

impl StoredResponse {
    /// Returns the size that counts against the storage limits, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        self.body.0.len() + headers
    }
}

/// Progress of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The operation may run. Other hosts have to assume that the request was sent.
    Intent,
    /// The request is being sent, or was sent and has no response yet.
    Running,
    /// The request was sent at least in part, and it is not known whether the operation ran.
    Ambiguous,
    /// The operation ran; its response is not stored.
    Ran,
    /// The operation ran and had this response.
    Finished(Arc<StoredResponse>),
}

impl RecordState {
    /// Returns the rank by which copies of a record are merged: the higher one has more
    /// information.
    pub(super) fn rank(&self) -> u8 {
        match self {
            Self::Intent => 0,
            Self::Running => 1,
            Self::Ambiguous => 2,
            Self::Ran => 3,
            Self::Finished(_) => 4,
        }
    }

    pub(super) fn is_unfinished(&self) -> bool {
        matches!(self, Self::Intent | Self::Running)
    }

    /// Returns the size of the stored response, in bytes.
    pub(super) fn stored_bytes(&self) -> usize {
        match self {
            Self::Finished(response) => response.size(),
            _ => 0,
        }
    }
}

/// Record of an operation as hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The operation.
    pub id: OperationId,
    /// The attempt that the record describes.
    pub dispatch: DispatchId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Progress of the operation.
    pub state: RecordState,
    /// Time since the last change of state, in milliseconds.
    pub age_ms: u64,
}

/// Change of a record, sent to a host that may hold a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationUpdate {
    /// The record has a new state.
    Changed(OperationRecord),
    /// The attempt was cancelled before the request was sent.
    Removed {
        /// The operation.
        id: OperationId,
        /// The attempt; a record of another attempt is kept.
        dispatch: DispatchId,
    },
}

/// Reply of a backup to a record with [`RecordState::Intent`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The copy is stored.
    Stored,
    /// The backup has no capacity for the copy.
    Full,
    /// The backup holds the record of a later attempt of the same process.
    Stale,
    /// The backup holds a record of another process for this operation.
    Conflict(OperationRecord),
}

/// One page of the records of a host, sent in a handover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records.
    pub records: Vec<OperationRecord>,
    /// Cursor of the next page; absent after the last one.
    pub next: Option<u64>,
    /// Losses of records known to the host; on the first page only.
    pub losses: Vec<LossMarker>,
}
