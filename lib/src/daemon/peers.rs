//! Calls to and from other hosts.

use std::{io, sync::Arc};

use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle, PeerReply, PeerRequest},
    peer::{PeerCall, PeerCaller, PeerPool, PeerTransport},
};

/// Threads for requests for tokens, which callers wait for.
const GRANT_THREADS: usize = 4;

/// Threads for all other messages.
const BACKGROUND_THREADS: usize = 4;

/// Transport of the messages between control actors.
pub type RouterTransport = dyn PeerTransport<PeerRequest, PeerReply>;

/// Keeps background messages from delaying those that a caller waits for.
pub(super) struct SplitCaller {
    grants: PeerPool<PeerRequest, PeerReply>,
    background: PeerPool<PeerRequest, PeerReply>,
}

impl SplitCaller {
    /// Starts the threads; ends of calls go to the control actor.
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
