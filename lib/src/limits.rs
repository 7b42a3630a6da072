//! Team limits: a token bucket for each team and data centre, shared by all hosts of the fleet.
//!
//! In every window of length t, all hosts together admit at most `rate * t + burst` requests of a
//! team. One host of each data centre owns the team's bucket there; the other hosts request token
//! grants from it and spend them from a local cache. A grant is a lease: tokens that are not spent
//! before it expires become void.
//!
//! The proof, its assumptions and measured figures are in `docs/limits.md`.

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

/// Time for which a requesting host may spend a grant, counted from sending the request.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time for which the owner counts a grant as outstanding beyond its lifetime, to cover the drift
/// between the clocks of two hosts.
pub const GRANT_EXPIRY_MARGIN: Duration = Duration::from_millis(250);
