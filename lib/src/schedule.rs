//! Queue of the requests that wait for an upstream.
//!
//! [`FairQueue`] decides which request starts next, which one is shed when the queue is full, and
//! which ones expire; see `docs/scheduling.md`. [`StartControl`] decides at a gateway whether a
//! request starts, waits or is refused; see `docs/design/start-control.md`.

mod demand;
mod demand_table;
mod queue;
mod report_table;
mod share;
mod start;
mod stats;
mod usage;

pub use self::{
    demand::{DemandCell, DemandSource, EvenShares, HostShare, ScarceService, ShareSource},
    demand_table::{DemandTable, ServiceDemand},
    queue::{
        FairQueue, PushOutcome, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest,
        StartedRequest,
    },
    report_table::{ReportCoverage, ReportScope, ReportTable},
    share::{CellGrant, RoomDivision, divide},
    start::{
        ServiceRoom, StartControl, StartForecast, StartOutcome, StartRefusal, StartRefusalReason,
        StartRequest, StartSettings, StartedWork, WaitEnd,
    },
    stats::{QueueReport, QueueStats, WaitHistogram},
};
