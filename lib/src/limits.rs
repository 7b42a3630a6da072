//! Team limits: in every window of length t, over all hosts, admitted <= rate * t + burst.
//!
//! The argument, its assumptions and measured figures are in `docs/limits.md`.

mod bucket;
mod gate;
mod share;
mod wallet;

use std::time::Duration;

pub use self::{
    bucket::{BucketSnapshot, BucketTable, GrantAccount, GrantReply, GrantRequest, TeamBucket},
    gate::ShareGate,
    share::{CentreShare, LimitSplit},
    wallet::{AcquireOutcome, TeamCache, TokenCache},
};

/// Units in one token; one token admits one request.
pub const UNITS_PER_TOKEN: u64 = 1_000;

/// Time for which a borrower may spend a grant, counted from sending the request.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time by which a grant counts as outstanding for longer than its lifetime; it covers the
/// drift between two hosts' clocks.
pub const GRANT_EXPIRY_MARGIN: Duration = Duration::from_millis(250);
