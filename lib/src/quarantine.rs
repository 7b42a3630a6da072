//! Requests that broke upstreams and must not be sent again.
//!
//! A request that is lost with its upstream gets a strike. Two strikes from distinct upstreams
//! block it. A strike does not prove that the request is the cause, because all requests that
//! ran on the upstream are lost with it. Three rules keep innocent requests from being blocked
//! for long:
//!
//! - A loss long after dispatch, with a response under way, is weak evidence: engines fail on an
//!   input while they read it. Two strikes with a weak one among them block for
//!   [`WEAK_BLOCK_TIME`] only; a third one blocks for [`BLOCK_TIME`].
//! - A request with one strike is a suspect. A host sends at most one suspect at a time to an
//!   upstream, so that the next loss strikes the cause and not its companions again.
//! - A suspect that completes on another upstream is cleared.
//!
//! A request that breaks every upstream at once, and whose caller keeps at most `c` copies in
//! flight, takes down at most `c + 1` upstreams per [`BLOCK_TIME`]: when the second strike is
//! known to all hosts, two losses have happened and at most `c - 1` copies are still running.
//! For a caller that waits for each failure this is 2. A request that breaks upstreams late
//! takes down at most `c + 2`. In a partition the bound holds on each side.

mod crash_register;

use std::time::Duration;

pub use self::crash_register::{
    CrashClearance, CrashRegister, CrashStrike, CrashVerdict, InterruptedRun, RequestFingerprint,
};

/// Time for which two strikes block a request, and for which a strike counts.
pub const BLOCK_TIME: Duration = Duration::from_secs(10 * 60);

/// Time for which two strikes block a request if one of them is weak.
pub const WEAK_BLOCK_TIME: Duration = Duration::from_secs(60);

/// Time after dispatch in which a loss counts in full even if the response has begun.
///
/// The first token is due after 0.41 s; the rest allows for queueing on the engine.
pub const PROMPT_LOSS_WINDOW: Duration = Duration::from_secs(10);

/// Most requests in the register. Estimate: 1.5 MB.
///
/// The loss of a data centre strikes all its requests at once, at the target size about 2,000.
pub const MAX_STRUCK_REQUESTS: usize = 4_096;

/// Most strikes kept per request; it is blocked before it has so many.
pub const MAX_STRIKES_PER_REQUEST: usize = 4;
