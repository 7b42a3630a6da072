//! Bodies of responses to callers: complete ones and event streams.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
};

use http_body_util::Either;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::{sync::mpsc, task::JoinHandle};

/// Number of batches of events that are buffered for a slow caller before the relay waits for it.
const MAX_BUFFERED_BATCHES: usize = 4;

/// Error that ends a response before it is complete, so that the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was truncated")]
pub struct TruncatedStream;

/// Body of a response: complete, or a stream of events.
pub type ResponseBody = Either<CompleteBody, EventBody>;

/// A body that was received or created completely. Each segment is dropped once it is sent.
#[derive(Debug, Default)]
pub struct CompleteBody {
    segments: VecDeque<Bytes>,
    remaining_bytes: u64,
}

impl CompleteBody {
    /// Creates a body of consecutive segments.
    pub fn new(segments: Vec<Bytes>) -> Self {
        let remaining_bytes = segments.iter().map(|it| it.len() as u64).sum();
        Self { segments: segments.into(), remaining_bytes }
    }
}

impl Body for CompleteBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        self.remaining_bytes -= segment.as_ref().map_or(0, |it| it.len() as u64);
        Poll::Ready(segment.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}

#[derive(Debug)]
enum StreamPart {
    Events(Bytes),
    End,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerLeft;

/// Sending half of an [`EventBody`]. Dropping it without [`EventSender::finish`] truncates the
/// response, so that the caller can tell that it is not complete.
#[derive(Debug)]
pub struct EventSender(mpsc::Sender<StreamPart>);

impl EventSender {
    /// Sends events; waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerLeft> {
        self.0.send(StreamPart::Events(events)).await.map_err(|_| CallerLeft)
    }

    /// Ends the response as complete.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub async fn finish(self) -> Result<(), CallerLeft> {
        self.0.send(StreamPart::End).await.map_err(|_| CallerLeft)
    }
}

/// A stream of events that a task relays; dropping the body aborts the task.
#[derive(Debug)]
pub struct EventBody {
    /// None after the end of the response.
    parts: Option<mpsc::Receiver<StreamPart>>,
    relay: Option<JoinHandle<()>>,
}

impl EventBody {
    /// Creates a body without a relay task, and the sender of its events.
    pub fn channel() -> (EventSender, Self) {
        let (sender, parts) = mpsc::channel(MAX_BUFFERED_BATCHES);
        (EventSender(sender), Self { parts: Some(parts), relay: None })
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
        let Some(parts) = &mut self.parts else {
            return Poll::Ready(None);
        };
        match ready!(parts.poll_recv(context)) {
            Some(StreamPart::Events(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
            Some(StreamPart::End) => {
                self.parts = None;
                Poll::Ready(None)
            }
            None => {
                self.parts = None;
                Poll::Ready(Some(Err(TruncatedStream)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
