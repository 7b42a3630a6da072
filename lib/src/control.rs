//! The control actor: one thread that owns every decision of a router.

mod actor;
mod admission;
mod command;
mod crash;
mod dispatch;
mod gossip;
mod handle;
mod message;
mod operations;
mod processes;
mod report;
mod state;
mod timer;

pub use self::{
    actor::ControlThread,
    command::{
        AdmitOutcome, AdmitRequest, ControlCommand, DispatchEnd, DispatchOutcome, DispatchPermit,
        DispatchRequest, DispatchTarget, ReplySender, RequestAdmission, RequestEnd,
    },
    dispatch::{LoadRound, LoadTarget},
    handle::{ControlHandle, DispatchGuard},
    message::{ForwardedOperation, HostDigest, LoadBatch, OperationReply, PeerReply, PeerRequest},
    operations::{
        OperationCommand, OperationEnd, OperationLocation, OperationRequest, OperationStart,
        OperationVerdict,
    },
    state::{ControlState, StateSettings},
};
