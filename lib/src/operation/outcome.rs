//! What becomes of a call.

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
    /// No host is known that decides for the key.
    NoOwner,
    /// The deciding host could not be reached; no byte was sent to it.
    OwnerUnreachable,
    /// No host stored the backup copy.
    NoBackup,
    /// Too much time passed between the decision and the dispatch.
    IntentExpired,
    /// The ledger, or the team's part of it, is full.
    LedgerFull,
    /// The upstream refused the connection.
    UpstreamRefused,
}

impl NotRunReason {
    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidTicket => 403,
            _ => 503,
        }
    }

    /// Whether the same request may succeed later.
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
    /// The message is a copy of one that was answered, or too late to be told from a copy.
    DuplicateMessage,
    /// The deciding host received the request and its answer was lost.
    AnswerLost,
}

impl UnknownReason {
    /// HTTP status of the refusal.
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

/// What to do with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationDecision {
    /// Dispatch after [`begin_dispatch`](super::OperationLedger::begin_dispatch); no backup is
    /// needed.
    Dispatch(OperationHandle),
    /// Copy the record to a backup, then dispatch.
    AwaitBackup {
        /// The started operation.
        handle: OperationHandle,
        /// The copy for the backup.
        record: OperationRecord,
    },
    /// The operation ran; this is its response.
    Replay(Arc<StoredResponse>),
    /// The operation ran; its response is no longer or never was stored (HTTP 200, no body).
    Ran,
    /// The key was used with another request; this one was not run (HTTP 422).
    RequestMismatch,
    /// It is not known whether the operation ran.
    Unknown(UnknownReason),
    /// This request was not run and will not be.
    NotRun(NotRunReason),
}

impl OperationDecision {
    /// HTTP status if the call ends with this decision.
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

    /// Value of the `X-Outcome` header if the call ends with this decision.
    pub fn outcome(&self) -> Option<&'static str> {
        match self {
            Self::Dispatch(_) | Self::AwaitBackup { .. } => None,
            Self::Replay(_) | Self::Ran => Some("ran"),
            Self::RequestMismatch | Self::NotRun(_) => Some("not_run"),
            Self::Unknown(_) => Some("unknown"),
        }
    }
}

/// The operation must not be dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchDenied {
    /// Answer to the call.
    pub decision: OperationDecision,
    /// Message to the backup, if it holds a copy that is no longer needed.
    pub update: Option<super::record::OperationUpdate>,
}
