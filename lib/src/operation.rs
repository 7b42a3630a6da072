//! At-most-once execution of operations that may not be repeated.
//!
//! Exactly one process decides about an operation: the process that issued its ticket or, for a
//! plain key, the owner host in the key's home data centre. [`OperationRoute`] finds that host.
//! [`OperationLedger`] holds the records of the deciding host and the copies that it keeps as
//! the backup of other hosts. See `docs/operations-once.md`.

mod digest;
mod forward_window;
mod handover;
mod ledger;
mod loss;
mod outcome;
mod record;
mod route;
mod ticket;

use std::time::Duration;

pub use self::{
    digest::{KeyDigest, RequestDigest},
    forward_window::ForwardId,
    ledger::{DecisionRights, KeyedRequest, LedgerStatus, OperationHandle, OperationLedger},
    loss::{LossMarker, LostProcess},
    outcome::{DispatchDenied, NotRunReason, OperationDecision, UnknownReason},
    record::{
        ByteString, DispatchId, OperationId, OperationRecord, OperationUpdate, RecordPage,
        RecordState, StoreReply, StoredResponse,
    },
    route::{OperationRoute, OwnerLookup, RouteDecision, RouteRights},
    ticket::{OperationTicket, TicketIssuer, TicketVerdict},
};

/// Time for which a record is kept after the end of its operation.
pub const RECORD_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Time for which a record without a known end is kept.
///
/// It covers an operation that ends up to [`RECORD_RETENTION`] after its last reported change.
pub const UNFINISHED_RETENTION: Duration = Duration::from_secs(2 * 24 * 60 * 60);

/// Time from the issue of a ticket to its latest first use.
///
/// Not above [`RECORD_RETENTION`], so that a ticket has expired before its record is dropped.
pub const TICKET_LIFETIME: Duration = RECORD_RETENTION;

/// Time after the loss of a host in which the next loss counts as simultaneous.
///
/// It covers the takeover (17 s) and the time in which the remaining holders copy their records
/// to new backups. A longer time costs availability only if hosts are lost in pairs.
pub const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_secs(300);

/// Longest time from a decision to its dispatch.
///
/// Shorter than the validity of a view (6 s), so that the right to act cannot be lost and
/// regained unnoticed between the two checks.
pub const INTENT_LIFETIME: Duration = Duration::from_secs(5);

/// Most records of one process, its own and copies for others.
///
/// Estimate: 400 bytes per record without a body, with its index entries; 25 MB in total.
pub const MAX_RECORDS: usize = 65_536;

/// Most records of one team, so that no team can fill the ledger alone.
pub const MAX_TEAM_RECORDS: usize = MAX_RECORDS / 4;

/// Largest response that is stored for repeats, in bytes of headers and body.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Most bytes of stored responses; the oldest are dropped first and then replayed as `ran`.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Size of one page of a handover, in estimated bytes.
pub const MAX_HANDOVER_PAGE_BYTES: usize = 64 * 1024;
