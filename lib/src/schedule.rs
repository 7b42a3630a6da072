//! Queue of the requests that wait for an upstream.
//!
//! [`FairQueue`] decides which request starts next, which one is shed when the queue is full, and
//! which ones expire; see `docs/scheduling.md`. [`StartControl`] decides at a gateway whether a
//! request starts, waits or is refused; see `docs/design/start-control.md`.

mod demand;
mod queue;
mod start;
mod stats;
mod usage;

pub use self::{
    demand::{DemandCell, EvenShares, HostShare, ShareSource},
    queue::{
        FairQueue, PushOutcome, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest,
        StartedRequest,
    },
    start::{
        ServiceRoom, StartControl, StartForecast, StartOutcome, StartRefusal, StartRefusalReason,
        StartRequest, StartSettings, StartedWork, WaitEnd,
    },
    stats::{QueueReport, QueueStats, WaitHistogram},
};
