//! Queue of the requests that wait for an upstream.
//!
//! [`FairQueue`] decides which request starts next, which one is shed when the queue is full, and
//! which ones expire; see `docs/scheduling.md`.

mod demand;
mod queue;
mod stats;

pub use self::{
    demand::{DemandCell, EvenShares, HostShare, ShareSource},
    queue::{
        FairQueue, PushOutcome, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest,
        StartedRequest,
    },
    stats::{QueueReport, QueueStats, WaitHistogram},
};
