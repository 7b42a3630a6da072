//! Choice of an upstream for a request.
//!
//! [`UpstreamPicker`] combines a [`LoadTable`] (how loaded each upstream is), a [`ColdLimiter`] (how
//! much a cold upstream may receive from this host) and the candidates of a catalogue. None of
//! them reads the clock or does I/O: the caller passes the current time. See `docs/routing.md`.

mod candidates;
mod cold;
mod load;
mod pick;

pub use self::{
    cold::{ColdChange, ColdLimiter, ColdNotice, ColdPhase, ColdReason, HostSet, cold_slots},
    load::{LoadEstimate, LoadReport, LoadSettings, LoadSummary, LoadTable, ReportEffect},
    pick::{
        FinishKind, PickOutcome, PickReason, PickRequest, PickTarget, RoutingSettings, SkipReason,
        SkippedUpstream, UpstreamPick, UpstreamPicker,
    },
};
