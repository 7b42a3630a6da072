//! Decisions about requests with an operation key, and the reasons for them.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{ledger::OperationHandle, record::OperationRecord, record::StoredResponse};

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The ticket is malformed, forged or belongs to another team.
    InvalidTicket,
    /// This host is not the owner of the key, or cannot be sure that it is.
    NotOwner,
    /// The key's home data centre is changing.
    HomeMoving,
    /// No host is known that may decide about the key.
    NoOwner,
    /// The connection to the deciding host failed; no byte was sent.
    OwnerUnreachable,
    /// No host stored the backup copy of the record.
    NoBackup,
    /// Too much time passed between the decision and the dispatch.
    IntentExpired,
    /// The ledger, or the team's share of it, is full.
    LedgerFull,
    /// The upstream refused the connection.
    UpstreamRefused,
}

impl NotRunReason {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidTicket => 403,
            _ => 503,
        }
    }

    /// Returns whether a retry of the same request may succeed.
    pub fn may_retry(self) -> bool {
        self != Self::InvalidTicket
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidTicket => "ticket is not valid for this team",
            Self::NotOwner => "host does not own the key at present",
            Self::HomeMoving => "home data centre of the key is changing",
            Self::NoOwner => "no host decides for the key at present",
            Self::OwnerUnreachable => "deciding host is unreachable",
            Self::NoBackup => "no backup host stored the intent",
            Self::IntentExpired => "decision expired before dispatch",
            Self::LedgerFull => "operation ledger is full",
            Self::UpstreamRefused => "upstream refused the connection",
        })
    }
}

/// Why it is not known whether the operation ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// An earlier request with this key is still running.
    InProgress,
    /// An earlier request was sent and its end is not known.
    Interrupted,
    /// The records of earlier owners have not all been received.
    HandoverIncomplete,
    /// The owner and the backup of earlier records were lost together.
    RecordsLost,
    /// The process that issued the ticket no longer runs.
    IssuerGone,
    /// The ticket is too old for a first use, and its record may have been dropped.
    TicketExpired,
    /// The message is a duplicate, or so late that it cannot be distinguished from one.
    DuplicateMessage,
    /// The request was sent to the deciding host, and no reply arrived.
    AnswerLost,
}

impl UnknownReason {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InProgress => 409,
            Self::IssuerGone | Self::TicketExpired => 410,
            Self::Interrupted
            | Self::HandoverIncomplete
            | Self::RecordsLost
            | Self::DuplicateMessage
            | Self::AnswerLost => 502,
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InProgress => "operation is in progress",
            Self::Interrupted => "operation was sent and its end is not known",
            Self::HandoverIncomplete => "records of earlier owners are incomplete",
            Self::RecordsLost => "records of earlier owners were lost",
            Self::IssuerGone => "process that issued the ticket no longer runs",
            Self::TicketExpired => "ticket expired",
            Self::DuplicateMessage => "call arrived more than once",
            Self::AnswerLost => "answer of the deciding host was lost",
        })
    }
}

/// Decision about a request with an operation key.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationDecision {
    /// The request may be sent after [`begin_dispatch`](super::OperationLedger::begin_dispatch); no
    /// backup is needed.
    Dispatch(OperationHandle),
    /// The request may be sent after a backup has stored the record.
    AwaitBackup {
        /// The operation.
        handle: OperationHandle,
        /// The copy for the backup.
        record: OperationRecord,
    },
    /// The operation ran; this is its response.
    Replay(Arc<StoredResponse>),
    /// The operation ran; its response is not stored (HTTP 200 without a body).
    Ran,
    /// The key was used for a different request; this one was not run (HTTP 422).
    RequestMismatch,
    /// It is not known whether the operation ran.
    Unknown(UnknownReason),
    /// This request was not run and will not be run.
    NotRun(NotRunReason),
}

impl OperationDecision {
    /// Returns the HTTP status; `None` if the request may be sent.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Dispatch(_) | Self::AwaitBackup { .. } => None,
            Self::Replay(response) => Some(response.status),
            Self::Ran => Some(200),
            Self::RequestMismatch => Some(422),
            Self::Unknown(reason) => Some(reason.status()),
            Self::NotRun(reason) => Some(reason.status()),
        }
    }

    /// Returns the value of the `X-Outcome` header; `None` if the request may be sent.
    pub fn outcome(&self) -> Option<&'static str> {
        match self {
            Self::Dispatch(_) | Self::AwaitBackup { .. } => None,
            Self::Replay(_) | Self::Ran => Some("ran"),
            Self::RequestMismatch | Self::NotRun(_) => Some("not_run"),
            Self::Unknown(_) => Some("unknown"),
        }
    }
}

/// Denial of a dispatch.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchDenied {
    /// Decision with which the request ends.
    pub decision: OperationDecision,
    /// Update for the backups, if one may hold a copy that is no longer needed.
    pub update: Option<super::record::OperationUpdate>,
}
