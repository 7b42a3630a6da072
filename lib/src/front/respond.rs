//! Responses to callers: a worker thread writes the body, and the connection task sends it.

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

/// Chunks that are buffered for a slow caller before the worker thread blocks.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Longest wait for a slow caller to read a buffered chunk before the worker thread gives up.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// The caller closed the connection or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("caller disconnected or reads too slowly")]
pub struct CallerDisconnected;

/// Makes the server close the connection without the final chunk, so that the caller can tell that
/// the response is incomplete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response body truncated")]
pub(super) struct BodyTruncated;

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

/// Response body whose chunks a worker thread sends through a channel.
#[derive(Debug)]
pub(super) struct ChannelBody {
    /// `None` after the end of the body.
    parts: Option<mpsc::Receiver<BodyPart>>,
    known_length: Option<u64>,
}

impl Body for ChannelBody {
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
            // The sender was dropped before it sent the end, so the response is incomplete.
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

pub(super) type CallerResponse = Response<ChannelBody>;

/// Sends the response to one request.
///
/// If it is dropped before it sent one, the server responds with an internal error and closes the
/// connection.
#[derive(Debug)]
pub struct CallerResponder {
    sender: oneshot::Sender<CallerResponse>,
    runtime: Handle,
    request_id: String,
    close_connection: bool,
}

impl CallerResponder {
    pub(super) fn new(
        sender: oneshot::Sender<CallerResponse>,
        runtime: Handle,
        request_id: &str,
        close_connection: bool,
    ) -> Self {
        Self { sender, runtime, request_id: request_id.to_owned(), close_connection }
    }

    /// Sends a refusal as a JSON error, with its `retry-after` header if it has one.
    pub fn refuse(self, refusal: &RequestRefusal) {
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if let Some(delay) = refusal.retry_after {
            // The header is in whole seconds; rounding up keeps the caller from retrying too early.
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            headers.push(("retry-after".to_owned(), seconds.to_string()));
        }
        let body = refusal.body(&self.request_id);
        self.respond(refusal.kind.status(), &headers, refusal.outcome, body);
    }

    /// Sends a complete response with its content length.
    pub fn respond(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
        body: Vec<u8>,
    ) {
        let (parts, receiver) = mpsc::channel(2);
        let length = body.len() as u64;
        // The channel has capacity for both parts, so neither call can fail because it is full.
        let _ = parts.try_send(BodyPart::Chunk(body.into()));
        let _ = parts.try_send(BodyPart::End);
        let body = ChannelBody { parts: Some(receiver), known_length: Some(length) };
        self.send_head(status, headers, outcome, body);
    }

    /// Sends the head of a response; the returned writer sends the body in chunks.
    pub fn start_streaming(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
    ) -> BodyWriter {
        let (parts, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let writer = BodyWriter { parts, runtime: self.runtime.clone() };
        let body = ChannelBody { parts: Some(receiver), known_length: None };
        self.send_head(status, headers, outcome, body);
        writer
    }

    fn send_head(
        self,
        status: u16,
        headers: &[(String, String)],
        outcome: OutcomeKind,
        body: ChannelBody,
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
        if self.close_connection {
            builder = builder.header("connection", "close");
        }
        match builder.body(body) {
            // A failed send means that the connection is closed, which the next write reports.
            Ok(response) => drop(self.sender.send(response)),
            Err(error) => {
                tracing::error!(request_id = %self.request_id, %error, "answer_head_invalid");
            }
        }
    }
}

/// Writes the body of a response; dropping it before [`BodyWriter::finish`] truncates the response.
#[derive(Debug)]
pub struct BodyWriter {
    parts: mpsc::Sender<BodyPart>,
    runtime: Handle,
}

impl BodyWriter {
    /// Sends one chunk without delay; blocks while the buffer for a slow caller is full.
    pub fn write(&mut self, chunk: Vec<u8>) -> Result<(), CallerDisconnected> {
        self.send(BodyPart::Chunk(chunk.into()))
    }

    /// Ends the body, which makes the response complete.
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
    /// Responds to a health or readiness check.
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
