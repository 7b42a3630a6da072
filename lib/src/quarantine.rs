//! Quarantine of requests that crash upstreams (queries of death).
//!
//! A request that is lost with its upstream gets a strike. Two strikes from distinct upstreams
//! block it. A strike does not prove that the request is the cause, because all requests that
//! ran on the upstream are lost with it. Four rules keep innocent requests from being blocked
//! for long:
//!
//! - A request that completed less than [`SOUND_TIME`] before the loss gets no strike. Several copies
//!   of a common request may run when several upstreams fail together.
//! - A loss long after dispatch, when the response has begun, is weak evidence: engines fail on an
//!   input while they read it. Two strikes of which one is weak block for [`WEAK_BLOCK_TIME`]
//!   only; a third one blocks for [`BLOCK_TIME`].
//! - A request with one strike is a suspect. A host sends at most one suspect at a time to an
//!   upstream, so that the next loss strikes the cause and not again the requests that were lost
//!   together with it.
//! - A suspect that completes on another upstream is cleared.
//!
//! Suppose that a request crashes every upstream soon after dispatch, and that its caller keeps at
//! most `c` copies in flight. It takes down at most `c + 1` upstreams per [`BLOCK_TIME`]: when the
//! second strike is known to all hosts, two losses have happened and at most `c - 1` copies are
//! still running. For a caller that waits for each failure this is 2. A request that crashes
//! upstreams late takes down at most `c + 2`. In a network partition the bound holds on each side.

mod crash_register;
mod prompt_part;

use std::time::Duration;

pub use self::{
    crash_register::{
        CrashClearance, CrashRegister, CrashStrike, CrashVerdict, InterruptedRun,
        RequestFingerprint,
    },
    prompt_part::PromptPart,
};

/// Time for which two strikes block a request, and for which a strike counts.
pub const BLOCK_TIME: Duration = Duration::from_secs(10 * 60);

/// Time for which two strikes block a request if one of them is weak.
pub const WEAK_BLOCK_TIME: Duration = Duration::from_secs(60);

/// Time after dispatch in which a loss is strong evidence even if the response has begun.
///
/// The first token is due after 0.41 s; the rest allows for queueing on the engine.
pub const PROMPT_LOSS_WINDOW: Duration = Duration::from_secs(10);

/// Time for which a completion shows that a request does not crash upstreams.
///
/// Shorter than the start of a crashed upstream, so that a request that begins to crash upstreams
/// gets strikes from the second crash of each on.
pub const SOUND_TIME: Duration = Duration::from_secs(3);

/// Limit on the completions that are remembered for [`SOUND_TIME`].
pub const MAX_REMEMBERED_COMPLETIONS: usize = 4_096;

/// Limit on the requests in the register, which take about 1.5 MB (an estimate).
///
/// The loss of a data centre gives a strike to all its requests at once: about 2,000 at the target
/// size.
pub const MAX_REGISTERED_REQUESTS: usize = 4_096;

/// Limit on the strikes kept per request; it is blocked before it has this many.
pub const MAX_STRIKES_PER_REQUEST: usize = 4;
