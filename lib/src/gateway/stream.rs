//! Relays an event stream, and continues it at another upstream if the first one is lost.

use std::fmt;

use http_body_util::{BodyExt, Either};
use hyper::{
    Response, StatusCode,
    body::{Bytes, Incoming},
    header::HeaderMap,
};
use tokio::time::sleep;

use super::{
    body::{EventBody, EventSender, ResponseBody, TruncatedStream},
    call::{ActiveGuard, AttemptGuard, CallRun, OpenAnswer, open_answer, stream_head},
    health::AttemptEnd,
    pool::UpstreamExchange,
    upstreams::UpstreamPick,
};
use crate::{
    exchange::{EventBatch, EventSplitter},
    names::UpstreamName,
};

/// Pauses of the length that is still on time after which a silent stream goes elsewhere.
const GAP_PATIENCE: u32 = 4;

/// Why a stream gave no more events.
#[derive(Debug)]
pub(super) enum StreamError {
    /// The connection was lost.
    Lost(hyper::Error),
    /// The response ended within an event.
    PartOfEvent,
    /// An event exceeds the largest size.
    Oversized,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => write!(f, "connection lost: {error}"),
            Self::PartOfEvent => f.write_str("the response ended within an event"),
            Self::Oversized => f.write_str("an event is too large"),
        }
    }
}

/// The stream of one upstream, in whole events.
pub(super) struct StreamSource {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    splitter: EventSplitter,
    /// Events that have been read and not yet been passed on.
    waiting: Option<EventBatch>,
    exchange: UpstreamExchange,
    guard: AttemptGuard,
}

impl StreamSource {
    pub(super) fn new(open: OpenAnswer) -> Self {
        let OpenAnswer { response, exchange, guard, .. } = open;
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            splitter: EventSplitter::new(),
            waiting: None,
            exchange,
            guard,
        }
    }

    /// Reads until there are whole events; returns false at the end of the stream.
    pub(super) async fn next_events(&mut self) -> Result<bool, StreamError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return if self.splitter.has_partial_event() {
                    Err(StreamError::PartOfEvent)
                } else {
                    Ok(false)
                };
            };
            let frame = frame.map_err(StreamError::Lost)?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if let Some(batch) = self.splitter.push(bytes) {
                self.waiting = Some(batch);
                return Ok(true);
            }
            if self.splitter.is_oversized() {
                return Err(StreamError::Oversized);
            }
        }
    }

    /// Ends a stream whose upstream was lost.
    pub(super) fn fail(self) {
        self.guard.end_lost(true);
    }

    /// Ends a stream that an upstream completed.
    fn finish(self) {
        self.exchange.finish();
        self.guard.end(AttemptEnd::Complete);
    }
}

/// Answers with a stream whose first events have been read.
pub(super) fn open_stream(run: CallRun, source: StreamSource) -> Response<ResponseBody> {
    let head = stream_head(source.status, source.headers.clone());
    let (sender, body) = EventBody::channel();
    let relay = StreamRelay { last_event: run.call.head.resume_after, run, sender };
    let task = tokio::task::spawn_local(relay.run(source));
    head.map(|()| Either::Right(body.with_relay(task)))
}

/// What the relay waits for.
enum RelayEvent {
    Events(Result<bool, StreamError>),
    Silent,
    TimeUp,
}

/// Passes events on to one caller.
struct StreamRelay {
    run: CallRun,
    sender: EventSender,
    /// Id of the last event that the caller has.
    last_event: Option<u64>,
}

impl StreamRelay {
    async fn run(mut self, first: StreamSource) {
        let _active = ActiveGuard::new(&self.run.gateway);
        let status = first.status.as_u16();
        let mut source = first;
        loop {
            if let Some(batch) = source.waiting.take()
                && !self.pass_on(batch).await
            {
                return self.run.log_end(source.guard.upstream(), status, "caller_left");
            }
            let event = self.wait(&mut source).await;
            let cause = match event {
                RelayEvent::Events(Ok(true)) => continue,
                RelayEvent::Events(Ok(false)) => {
                    self.run.log_end(source.guard.upstream(), status, "answered");
                    return source.finish();
                }
                RelayEvent::TimeUp => {
                    self.run.log_end(source.guard.upstream(), status, "time_is_up");
                    return self.cut().await;
                }
                RelayEvent::Events(Err(error)) => {
                    self.run.log_failure(source.guard.upstream(), "stream_lost", &error);
                    let upstream = source.guard.upstream().clone();
                    source.fail();
                    upstream
                }
                RelayEvent::Silent => {
                    self.run.log_failure(source.guard.upstream(), "stream_silent", &"no event");
                    let upstream = source.guard.upstream().clone();
                    source.guard.end(AttemptEnd::Failed);
                    upstream
                }
            };
            // The connection to the lost upstream is closed here, before another one goes on.
            match self.resume(cause).await {
                Ok(resumed) => source = resumed,
                Err(reason) => {
                    self.run.log_end("", status, reason);
                    return self.cut().await;
                }
            }
        }
    }

    /// Passes events on; returns false if the caller has left.
    async fn pass_on(&mut self, batch: EventBatch) -> bool {
        if let Some(id) = last_event_id(&batch.bytes) {
            self.last_event = Some(id);
        }
        self.sender.send(Ok(Bytes::from(batch.bytes))).await.is_ok()
    }

    async fn wait(&mut self, source: &mut StreamSource) -> RelayEvent {
        let patience = self.run.call.route.event_gap * GAP_PATIENCE;
        let left = self.run.call.ends.saturating_duration_since(self.run.gateway.now());
        let mut events = Box::pin(source.next_events());
        let time_up = sleep(left);
        tokio::pin!(time_up);
        if self.run.call.route.retry_rule.may_retry() && !patience.is_zero() {
            tokio::select! {
                events = &mut events => return RelayEvent::Events(events),
                () = &mut time_up => return RelayEvent::TimeUp,
                () = sleep(patience) => {
                    if self.run.may_leave() {
                        return RelayEvent::Silent;
                    }
                }
            }
        }
        tokio::select! {
            events = &mut events => RelayEvent::Events(events),
            () = &mut time_up => RelayEvent::TimeUp,
        }
    }

    /// Continues the stream at another upstream.
    async fn resume(&mut self, lost: UpstreamName) -> Result<StreamSource, &'static str> {
        self.run.note_run();
        let mut lost = lost;
        loop {
            if !self.run.may_retry() {
                return Err("stream_cut");
            }
            let pick = self.run.next_upstream(Some(&lost))?;
            let left = self.run.call.ends.saturating_duration_since(self.run.gateway.now());
            let opening = self.open(&pick);
            match tokio::time::timeout(left, opening).await {
                Err(_) => return Err("time_is_up"),
                Ok(Some(source)) => return Ok(source),
                Ok(None) => lost = pick.name,
            }
        }
    }

    async fn open(&mut self, pick: &UpstreamPick) -> Option<StreamSource> {
        let (gateway, call) = (self.run.gateway.clone(), self.run.call.clone());
        let open = open_answer(&gateway, &call, pick, self.last_event).await.ok()?;
        if !open.response.status().is_success() {
            self.run.log_failure(&pick.name, "resume_failed", &open.response.status());
            self.run.note_run();
            return None;
        }
        let mut source = StreamSource::new(open);
        match source.next_events().await {
            Ok(true) => {}
            Ok(false) => return Some(source),
            Err(error) => {
                self.run.log_failure(&pick.name, "stream_lost", &error);
                self.run.note_run();
                source.fail();
                return None;
            }
        }
        let first = source.waiting.as_ref().and_then(|it| first_event_id(&it.bytes));
        if first <= self.last_event && self.last_event.is_some() {
            self.run.log_failure(&pick.name, "resume_repeats", &"events that the caller has");
            self.run.note_run();
            return None;
        }
        tracing::info!(
            request_id = %call.head.request_id,
            upstream = %pick.name,
            after = self.last_event,
            "stream_resumed"
        );
        Some(source)
    }

    /// Ends the response so that it does not look complete.
    async fn cut(self) {
        let _ = self.sender.send(Err(TruncatedStream)).await;
    }
}

/// Ids of the events in whole events.
fn event_ids(bytes: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    bytes.split(|it| *it == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

fn first_event_id(bytes: &[u8]) -> Option<u64> {
    event_ids(bytes).next()
}

fn last_event_id(bytes: &[u8]) -> Option<u64> {
    event_ids(bytes).next_back()
}
