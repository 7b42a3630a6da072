//! At-most-once execution of operations that must not run twice.
//!
//! A caller identifies an operation by a key: a ticket that a host issued, or a plain key of the
//! caller's own choice. Exactly one process decides whether the operation may run: the process
//! that issued the ticket or, for a plain key, the owner host in the key's home data centre.
//! [`OperationRouter`] finds that host, the deciding host. [`OperationLedger`] holds the records of
//! the operations that this host decided, and the copies that it keeps as the backup of other
//! hosts. See `docs/operations-once.md`.

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
    route::{OperationRouter, OwnerLookup, RouteDecision, RouterRights},
    ticket::{OperationTicket, TicketIssuer, TicketVerdict},
};

/// Time for which a record is kept after its operation has ended.
pub const RECORD_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Time for which a record is kept if the end of its operation is not known.
///
/// Long enough for an operation that ends up to [`RECORD_RETENTION`] after the last reported
/// change of its state.
pub const UNFINISHED_RETENTION: Duration = Duration::from_secs(2 * 24 * 60 * 60);

/// Time from the issue of a ticket to its latest first use.
///
/// At most [`RECORD_RETENTION`], so that a ticket has expired before its record is dropped.
pub const TICKET_LIFETIME: Duration = RECORD_RETENTION;

/// Time after the loss of a host within which the next loss counts as simultaneous.
///
/// Covers the takeover (17 s) and the time in which the remaining holders copy their records to
/// new backups. A longer window reduces availability only if hosts are lost in pairs.
pub const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_secs(300);

/// Maximum time from the decision that an operation may run to its dispatch.
///
/// Shorter than the validity of a view (6 s), so that a host cannot lose and regain the right to
/// decide unnoticed between the checks at the decision and at the dispatch.
pub const INTENT_LIFETIME: Duration = Duration::from_secs(5);

/// Maximum number of records of one process: its own and the copies that it keeps for others.
///
/// About 25 MB in total, at 400 bytes per record without a body, index entries included.
pub const MAX_RECORDS: usize = 65_536;

/// Maximum number of records of one team, so that no team can fill the ledger alone.
pub const MAX_TEAM_RECORDS: usize = MAX_RECORDS / 4;

/// Maximum size of a response that is stored for retries, counting headers and body.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Maximum size of all stored responses. The oldest are dropped first; a retry of their operation
/// then receives the outcome `ran` without a body.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum estimated size of one page of a handover.
pub const MAX_HANDOVER_PAGE_BYTES: usize = 64 * 1024;
