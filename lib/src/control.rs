//! The control actor: one thread that owns every decision of a router.

mod actor;
mod command;
mod handle;
mod state;

pub use self::{
    actor::{ControlSettings, ControlThread},
    command::{
        Admission, AdmitOutcome, AdmitRequest, ControlCommand, DispatchEnd, DispatchGrant,
        DispatchOutcome, DispatchRequest, DispatchTarget, RequestEnd,
    },
    handle::{ControlHandle, DispatchGuard},
    state::ControlState,
};
