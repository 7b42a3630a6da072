//! Bodies of responses to callers: complete ones and event streams.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::{sync::mpsc, task::JoinHandle};

/// Number of batches of events that are buffered for a slow caller before the relay waits for it.
const MAX_BUFFERED_BATCHES: usize = 4;

/// Error that ends a response before it is complete, so that the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was truncated")]
pub struct TruncatedStream;

/// Body of a response: complete, or a stream of events.
pub type ResponseBody = Either<Full<Bytes>, EventBody>;

/// Sending half of an [`EventBody`].
pub type EventSender = mpsc::Sender<Result<Bytes, TruncatedStream>>;

/// A stream of events that a task relays; dropping the body aborts the task.
#[derive(Debug)]
pub struct EventBody {
    events: mpsc::Receiver<Result<Bytes, TruncatedStream>>,
    relay: Option<JoinHandle<()>>,
}

impl EventBody {
    /// Creates a body without a relay task, and the sender of its events.
    pub fn channel() -> (EventSender, Self) {
        let (sender, events) = mpsc::channel(MAX_BUFFERED_BATCHES);
        (sender, Self { events, relay: None })
    }

    /// Sets the task that relays the events; it is aborted with the body.
    pub fn with_relay(mut self, relay: JoinHandle<()>) -> Self {
        self.relay = Some(relay);
        self
    }
}

impl Drop for EventBody {
    fn drop(&mut self) {
        // Has no effect on a task that has ended.
        if let Some(relay) = &self.relay {
            relay.abort();
        }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        self.events.poll_recv(context).map(|event| event.map(|it| it.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
