//! The control actor: one thread that owns every decision of a router.

mod actor;
mod admission;
mod command;
mod dispatch;
mod gossip;
mod handle;
mod message;
mod report;
mod state;
mod timer;

pub use self::{
    actor::ControlThread,
    command::{
        Admission, AdmitOutcome, AdmitRequest, ControlCommand, DispatchEnd, DispatchGrant,
        DispatchOutcome, DispatchRequest, DispatchTarget, RequestEnd,
    },
    dispatch::{LoadRound, LoadTarget},
    handle::{ControlHandle, DispatchGuard},
    message::{HostDigest, LoadBatch, PeerReply, PeerRequest},
    state::{ControlState, StateSettings},
};
