//! Threads that make calls to other hosts.

use std::{io, sync::Arc};

use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle, PeerReply, PeerRequest},
    peer::{PeerCall, PeerCaller, PeerPool, PeerTransport},
};

/// Threads for token requests to bucket owners, on which requests of callers wait.
const GRANT_THREADS: usize = 4;

/// Threads for all other messages.
const BACKGROUND_THREADS: usize = 4;

/// Transport of the messages between the control actors of different hosts.
pub type RouterTransport = dyn PeerTransport<PeerRequest, PeerReply>;

/// Makes token requests and all other calls in separate thread pools, so that the other calls
/// cannot delay requests that wait for tokens.
pub(super) struct SplitCaller {
    grants: PeerPool<PeerRequest, PeerReply>,
    background: PeerPool<PeerRequest, PeerReply>,
}

impl SplitCaller {
    /// Starts the threads; the results of calls go to the control actor.
    pub(super) fn start(
        transport: &Arc<RouterTransport>,
        clock: &Arc<dyn ClockSource>,
        control: &ControlHandle,
    ) -> io::Result<Self> {
        let pool = |count| {
            let control = control.clone();
            let on_completion = Arc::new(move |call: PeerCall<PeerRequest>, result| {
                control.send(ControlCommand::PeerEnded(Box::new(call), result));
            });
            PeerPool::start(count, transport.clone(), clock.clone(), on_completion)
        };
        Ok(Self { grants: pool(GRANT_THREADS)?, background: pool(BACKGROUND_THREADS)? })
    }
}

impl PeerCaller<PeerRequest, PeerReply> for SplitCaller {
    fn submit(&self, call: PeerCall<PeerRequest>) {
        match call.request {
            PeerRequest::Grant(_) => self.grants.submit(call),
            _ => self.background.submit(call),
        }
    }
}
