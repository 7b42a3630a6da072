//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::{sync::mpsc, task::JoinHandle};

/// Batches of events that may wait for a slow caller.
const MAX_WAITING_BATCHES: usize = 4;

/// The response ends before it is complete, so the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut")]
pub struct TruncatedStream;

/// Body of a response: whole, or a stream of events.
pub type ResponseBody = Either<Full<Bytes>, EventBody>;

/// Sending half of an [`EventBody`].
pub type EventSender = mpsc::Sender<Result<Bytes, TruncatedStream>>;

/// Events as they are relayed; dropping it ends the relay.
#[derive(Debug)]
pub struct EventBody {
    events: mpsc::Receiver<Result<Bytes, TruncatedStream>>,
    relay: Option<JoinHandle<()>>,
}

impl EventBody {
    /// Creates a body that has no relay yet.
    pub fn channel() -> (EventSender, Self) {
        let (sender, events) = mpsc::channel(MAX_WAITING_BATCHES);
        (sender, Self { events, relay: None })
    }

    /// Hands over the task that relays the events.
    pub fn with_relay(mut self, relay: JoinHandle<()>) -> Self {
        self.relay = Some(relay);
        self
    }
}

impl Drop for EventBody {
    fn drop(&mut self) {
        // A relay that has ended is not affected.
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
