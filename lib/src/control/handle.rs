//! The handle through which other threads use the control actor.

use std::sync::{
    Arc,
    mpsc::{Receiver, sync_channel},
};

use stakker::sync::Channel;

use super::command::{
    AdmitOutcome, AdmitRequest, ControlCommand, DispatchEnd, DispatchOutcome, DispatchPermit,
    DispatchRequest, ReplySender,
};
use crate::front::{RefusalKind, RequestRefusal};

/// Sends commands to the control actor and waits for replies.
#[derive(Clone)]
pub struct ControlHandle {
    channel: Arc<Channel<ControlCommand>>,
}

impl ControlHandle {
    pub(super) fn new(channel: Channel<ControlCommand>) -> Self {
        Self { channel: Arc::new(channel) }
    }

    /// Sends a command; returns whether the actor is still running.
    pub fn send(&self, command: ControlCommand) -> bool {
        self.channel.send(command)
    }

    /// Sends a command and blocks until the reply; `None` if the actor has ended.
    pub fn ask<T>(&self, command: impl FnOnce(ReplySender<T>) -> ControlCommand) -> Option<T> {
        let (reply, receiver): (ReplySender<T>, Receiver<T>) = sync_channel(1);
        if !self.send(command(reply)) {
            return None;
        }
        receiver.recv().ok()
    }

    /// Asks for the admission of a request; blocks while the request waits for a token.
    pub fn admit(&self, request: AdmitRequest) -> AdmitOutcome {
        self.ask(|reply| ControlCommand::Admit(request, reply))
            .unwrap_or_else(|| AdmitOutcome::Refused(stopping()))
    }

    /// Asks for an upstream; blocks while the request is queued.
    pub fn dispatch(&self, request: DispatchRequest) -> Result<DispatchGuard, RequestRefusal> {
        match self.ask(|reply| ControlCommand::Dispatch(Box::new(request), reply)) {
            Some(DispatchOutcome::Send(permit)) => {
                Ok(DispatchGuard { handle: self.clone(), permit, end: DispatchEnd::UpstreamLost })
            }
            Some(DispatchOutcome::Refused(refusal)) => Err(refusal),
            None => Err(stopping()),
        }
    }
}

fn stopping() -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::Stopping, "the host is stopping")
}

/// A dispatch that has not ended.
///
/// Dropping it reports the end to the control actor: the one passed to [`Self::end`], otherwise
/// [`DispatchEnd::UpstreamLost`].
pub struct DispatchGuard {
    handle: ControlHandle,
    permit: DispatchPermit,
    end: DispatchEnd,
}

impl DispatchGuard {
    /// Returns the permission to send the request.
    pub fn permit(&self) -> &DispatchPermit {
        &self.permit
    }

    /// Reports the first chunk of the response and the incarnation that the response names.
    pub fn report_first_chunk(&self, incarnation: Option<u64>) {
        let number = self.permit.number;
        self.handle.send(ControlCommand::FirstChunk { number, incarnation });
    }

    /// Ends the dispatch.
    ///
    /// If the upstream was lost, this blocks for a bounded time until the other hosts have received
    /// the strike, so that the caller cannot retry the request through a host that has not.
    pub fn end(mut self, end: DispatchEnd) {
        if end == DispatchEnd::UpstreamLost {
            self.handle.ask(|reply| ControlCommand::UpstreamLost(self.permit.number, reply));
        }
        self.end = end;
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        // Has no effect after the loss of the upstream was reported, because the dispatch is
        // already removed.
        self.handle.send(ControlCommand::DispatchEnded(self.permit.number, self.end));
    }
}
