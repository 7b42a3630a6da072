//! Queue of the requests that wait for an upstream.
//!
//! [`FairQueue`] decides which request starts next, which one is shed when the queue is full, and
//! which ones expire; see `docs/scheduling.md`.

mod demand;
mod demand_table;
mod queue;
mod report_table;
mod share;
mod stats;

pub use self::{
    demand::{
        DemandCell, DemandSource, EvenShares, HostShare, NoDemand, ScarceService, ShareSource,
    },
    demand_table::{DemandTable, ServiceDemand},
    queue::{
        FairQueue, PushOutcome, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest,
        StartedRequest,
    },
    report_table::{ReportCoverage, ReportScope, ReportTable},
    share::{CellGrant, RoomDivision, divide},
    stats::{QueueReport, QueueStats, WaitHistogram},
};
