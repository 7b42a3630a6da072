//! The blocking side of an answer: a worker thread writes, the connection task sends.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Response,
    body::{Body, Bytes, Frame},
    header::{HeaderName, HeaderValue},
};
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
    time::timeout,
};

use super::refusal::{OutcomeKind, RefusalKind, RequestRefusal};

/// Chunks that wait for a slow caller before the worker blocks.
const CHUNKS_IN_FLIGHT: usize = 64;

/// Time that a caller may take to read until the worker gives up.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// The caller closed the connection or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("caller is gone")]
pub struct CallerDisconnected;

/// The connection is closed without the final chunk, so that the caller sees a cut answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("answer cut short")]
pub(super) struct BodyTruncated;

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

/// Body whose chunks come from a worker thread.
#[derive(Debug)]
pub(super) struct StreamedBody {
    parts: Option<mpsc::Receiver<BodyPart>>,
    known_length: Option<u64>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        let Some(parts) = &mut self.parts else {
            return Poll::Ready(None);
        };
        match parts.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Chunk(chunk))) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Poll::Ready(Some(BodyPart::End)) => {
                self.parts = None;
                Poll::Ready(None)
            }
            // The writer was dropped without an end: the answer is incomplete.
            Poll::Ready(None) => {
                self.parts = None;
                Poll::Ready(Some(Err(BodyTruncated)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_none()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.known_length.map_or_else(Default::default, hyper::body::SizeHint::with_exact)
    }
}

pub(super) type CallerResponse = Response<StreamedBody>;

/// Answers one request; dropping it without an answer closes the connection.
#[derive(Debug)]
pub struct CallerResponder {
    head: oneshot::Sender<CallerResponse>,
    runtime: Handle,
    request_id: String,
    close: bool,
}

impl CallerResponder {
    pub(super) fn new(
        head: oneshot::Sender<CallerResponse>,
        runtime: Handle,
        request_id: &str,
        close: bool,
    ) -> Self {
        Self { head, runtime, request_id: request_id.to_owned(), close }
    }

    /// Sends a refusal.
    pub fn refuse(self, refusal: &RequestRefusal) {
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if let Some(delay) = refusal.retry_after {
            // The header has whole seconds; rounding up keeps the caller from returning early.
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            headers.push(("retry-after".to_owned(), seconds.to_string()));
        }
        let body = refusal.body(&self.request_id);
        self.respond(refusal.kind.status(), &headers, refusal.outcome, body);
    }

    /// Sends a whole answer.
    pub fn respond(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
        body: Vec<u8>,
    ) {
        let (parts, receiver) = mpsc::channel(2);
        let length = body.len() as u64;
        // The channel holds both parts, so neither call can fail for lack of room.
        let _ = parts.try_send(BodyPart::Chunk(body.into()));
        let _ = parts.try_send(BodyPart::End);
        let body = StreamedBody { parts: Some(receiver), known_length: Some(length) };
        self.send_head(status, headers, outcome, body);
    }

    /// Sends the head of an answer whose body follows in chunks.
    pub fn start_streaming(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
    ) -> BodyWriter {
        let (parts, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let writer = BodyWriter { parts, runtime: self.runtime.clone() };
        let body = StreamedBody { parts: Some(receiver), known_length: None };
        self.send_head(status, headers, outcome, body);
        writer
    }

    fn send_head(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
        body: StreamedBody,
    ) {
        let mut builder = Response::builder().status(status);
        for (name, value) in headers {
            let (Ok(name), Ok(value)) =
                (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str()))
            else {
                continue;
            };
            if name != "x-request-id" && name != "x-outcome" {
                builder = builder.header(name, value);
            }
        }
        builder = builder
            .header("x-request-id", self.request_id.as_str())
            .header("x-outcome", outcome.as_str());
        if self.close {
            builder = builder.header("connection", "close");
        }
        match builder.body(body) {
            // A failed send means that the caller is gone; the worker notices on its next write.
            Ok(response) => drop(self.head.send(response)),
            Err(error) => {
                tracing::error!(request_id = %self.request_id, %error, "answer_head_invalid");
            }
        }
    }
}

/// Writes the body of an answer; dropping it without [`BodyWriter::finish`] cuts the answer.
#[derive(Debug)]
pub struct BodyWriter {
    parts: mpsc::Sender<BodyPart>,
    runtime: Handle,
}

impl BodyWriter {
    /// Sends one chunk at once; waits while the caller reads slowly.
    pub fn write(&mut self, chunk: Vec<u8>) -> Result<(), CallerDisconnected> {
        self.send(BodyPart::Chunk(chunk.into()))
    }

    /// Ends the answer.
    pub fn finish(mut self) -> Result<(), CallerDisconnected> {
        self.send(BodyPart::End)
    }

    /// Returns whether the caller closed the connection.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }

    fn send(&mut self, part: BodyPart) -> Result<(), CallerDisconnected> {
        let part = match self.parts.try_send(part) {
            Ok(()) => return Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(CallerDisconnected),
            Err(mpsc::error::TrySendError::Full(part)) => part,
        };
        let sending = timeout(SLOW_CALLER_TIMEOUT, self.parts.send(part));
        match self.runtime.block_on(sending) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }
}

impl CallerResponder {
    /// Answers a health check.
    pub(super) fn health(self, is_ok: bool) {
        if is_ok {
            let headers = [("content-type".to_owned(), "text/plain".to_owned())];
            self.respond(200, &headers, OutcomeKind::Ran, b"ok\n".to_vec());
        } else {
            self.refuse(&RequestRefusal::not_run(
                RefusalKind::NotReady,
                "the host takes no new requests",
            ));
        }
    }
}
