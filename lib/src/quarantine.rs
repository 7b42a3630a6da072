//! Quarantine of requests that crash upstreams (queries of death).
//!
//! A request that is lost with its upstream gets a strike. Two strikes from distinct upstreams
//! block it. A strike does not prove that the request is the cause, because all requests that
//! ran on the upstream are lost with it. Four rules keep innocent requests from being blocked
//! for long:
//!
//! - A request that completed less than [`SOUND_TIME`] before the loss gets no strike. Several
//!   copies of a common request may run when several upstreams fail together.
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
//!
//! # Parts of prompts
//!
//! A part that many prompts share may crash every upstream that begins to write an answer on it,
//! whatever else the request holds. Each of these requests is another one, so [`PartRegister`]
//! keeps the lost runs by the parts of their prompts. A part is blocked once runs of
//! [`PART_BLOCK_REQUESTS`] requests with it were lost with [`PART_BLOCK_CRASHES`] processes.
//!
//! Sound parts are lost as often: those that come before the cause in its prompts, and those of
//! requests that ran beside them. Two rules tell them apart:
//!
//! - An answer that an upstream writes on a part, at any host, proves the part sound for
//!   [`PART_SOUND_TIME`]; its losses up to then do not count, and its block ends. A part that
//!   crashes upstreams is never answered.
//! - The part with the most crashes is blocked, of several the last one in its prompts, for which
//!   the fewest sound requests are refused. It explains these crashes: what else was lost in them
//!   is suspected no more.
//!
//! A block begins [`PROOF_DELAY_PER_DOUBLING`] after the last crash that it takes for each doubling
//! of the number of hosts, so that the proofs of other hosts arrive before it.

mod crash_register;
mod part_register;
mod prompt_part;

use std::time::Duration;

pub use self::{
    crash_register::{
        CrashClearance, CrashRegister, CrashStrike, CrashVerdict, InterruptedRun,
        RequestFingerprint,
    },
    part_register::{PartProof, PartRegister},
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

/// Processes of upstreams that have to be lost with runs of a part until the part is blocked. That
/// many block it for [`WEAK_BLOCK_TIME`], more for [`BLOCK_TIME`].
pub const PART_BLOCK_CRASHES: usize = 3;

/// Requests that have to be lost with a part until the part is blocked. One request that is sent
/// again and again is blocked by itself.
pub const PART_BLOCK_REQUESTS: usize = 2;

/// Time from the crash that makes up the block of a part to its begin, for each doubling of the
/// number of hosts. Half a round of the gossip, in which messages travel both ways: strikes reach
/// the hosts that know proofs, and these come back.
pub const PROOF_DELAY_PER_DOUBLING: Duration = Duration::from_millis(250);

/// Time for which an answer on a part proves that the part does not crash upstreams.
///
/// Longer than the gaps between the answers on a topic that is asked for now and then.
pub const PART_SOUND_TIME: Duration = Duration::from_secs(10);

/// Limit on the lost runs that are kept for their parts.
pub const MAX_LOST_RUNS: usize = 1_024;

/// Limit on the parts of one lost run that are considered, the last ones of the prompt.
pub const MAX_PARTS_PER_RUN: usize = 16;

/// Limit on the parts whose proofs are remembered.
pub const MAX_SOUND_PARTS: usize = 4_096;

/// Limit on the requests in the register, which take about 1.5 MB (an estimate).
///
/// The loss of a data centre gives a strike to all its requests at once: about 2,000 at the target
/// size.
pub const MAX_REGISTERED_REQUESTS: usize = 4_096;

/// Limit on the strikes kept per request; it is blocked before it has this many.
pub const MAX_STRIKES_PER_REQUEST: usize = 4;
