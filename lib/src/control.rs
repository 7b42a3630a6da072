//! The control actor: a single thread that owns the state of a router and makes its decisions.
//!
//! It decides about admission, the upstream of each request, at-most-once operations and the
//! exchange with other hosts. Worker threads send it commands through a [`ControlHandle`].

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
