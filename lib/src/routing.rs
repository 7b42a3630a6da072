//! Choice of an upstream for a request.
//!
//! [`UpstreamPicker`] combines a [`LoadTable`] (how loaded each upstream is), a [`ColdGate`] (how
//! much a cold upstream may receive from this host) and the candidates of a catalogue. All are
//! state machines that are given the time; see `docs/routing.md`.

mod candidates;
mod cold;
mod load;
mod pick;

pub use self::{
    cold::{ColdChange, ColdGate, ColdNotice, ColdPhase, ColdReason, HostSet, cold_share},
    load::{LoadEstimate, LoadReport, LoadSettings, LoadSummary, LoadTable, ReportEffect},
    pick::{
        FinishKind, PickOutcome, PickReason, PickRequest, PickTarget, RoutingSettings, SkipReason,
        SkippedUpstream, UpstreamPick, UpstreamPicker,
    },
};
