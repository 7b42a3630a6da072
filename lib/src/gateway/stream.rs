//! Relays an event stream to a caller, and resumes it at another upstream if the first one fails.

use std::{
    fmt,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Either};
use hyper::{
    Response, StatusCode,
    body::{Bytes, Incoming},
    header::HeaderMap,
};
use tokio::time::{sleep, timeout};

use super::{
    body::{EventBody, EventSender, ResponseBody},
    call::{
        ActiveGuard, AttemptGuard, CUT_OFF, FailedAttempt, MEMORY_FULL, OpenResponse,
        RequestAttempts, open_response, stream_head,
    },
    connection::CutReason,
    health::AttemptEnd,
    pool::UpstreamExchange,
    segments::reserved_bytes,
    upstreams::UpstreamPick,
};
use crate::{
    exchange::{EventBatch, EventSplitter},
    intake::{BufferError, BufferReservation},
    names::UpstreamName,
};

/// Multiple of the route's `event_gap` after which a stream without a new event is resumed at
/// another upstream.
const EVENT_GAP_TIMEOUT_MULTIPLE: u32 = 4;

/// Time for which an upstream has to go on with a stream after its first event, until the stream
/// proves that the parts of its prompt do not crash upstreams.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// Time after the deadline in which events that are ready are still forwarded.
const MAX_LATE_TIME: Duration = Duration::from_millis(200);

/// Why a stream ended before it was complete.
#[derive(Debug)]
pub(super) enum StreamError {
    /// The connection was lost.
    Lost(hyper::Error),
    /// The response ended within an event.
    PartialEvent,
    /// An event exceeds the size limit of the splitter.
    Oversized,
    /// The connection was cut off.
    CutOff(CutReason),
    /// There is no memory for the events.
    Buffer(BufferError),
}

impl StreamError {
    /// Returns the kind of the failure for logs and metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Lost(_) | Self::PartialEvent => "stream_lost",
            Self::Buffer(BufferError::MemoryFull) => MEMORY_FULL,
            Self::Oversized | Self::CutOff(_) | Self::Buffer(_) => CUT_OFF,
        }
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => write!(f, "connection lost: {error}"),
            Self::PartialEvent => f.write_str("the response ended within an event"),
            Self::Oversized => f.write_str("an event exceeds the size limit"),
            Self::CutOff(reason) => write!(f, "cut off: {reason}"),
            Self::Buffer(error) => write!(f, "{error}"),
        }
    }
}

/// Consecutive events that were received.
struct ReceivedEvents {
    /// Bytes of the events; they hold their part of the memory for responses.
    bytes: Bytes,
    /// Whether there is more in them than comments and empty lines, which a stalled upstream may
    /// send as well.
    has_content: bool,
}

/// The event stream of one upstream, split into complete events.
pub(super) struct StreamSource {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    _head_memory: BufferReservation,
    splitter: EventSplitter,
    /// Memory of the splitter.
    splitter_memory: BufferReservation,
    /// Events that were read and not yet forwarded.
    pending: Option<ReceivedEvents>,
    exchange: UpstreamExchange,
    guard: AttemptGuard,
    /// When the first event was forwarded.
    first_event: Option<Instant>,
    is_proven: bool,
}

impl StreamSource {
    pub(super) fn new(open: OpenResponse) -> Self {
        let OpenResponse { response, head_memory, exchange, guard } = open;
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            _head_memory: head_memory,
            splitter: EventSplitter::new(),
            splitter_memory: guard.buffers().open_part(),
            pending: None,
            exchange,
            guard,
            first_event: None,
            is_proven: false,
        }
    }

    /// Records that events arrived, which proves the parts of the prompt sound after
    /// [`PROOF_TIME`].
    fn record_events(&mut self, now: Instant) {
        let first_event = *self.first_event.get_or_insert(now);
        if !self.is_proven && now.saturating_duration_since(first_event) >= PROOF_TIME {
            self.guard.record_proof();
            self.is_proven = true;
        }
    }

    /// Reads until there is at least one complete event; returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// The stream ended before it was complete.
    pub(super) async fn next_events(&mut self) -> Result<bool, StreamError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return if self.splitter.has_partial_event() {
                    Err(StreamError::PartialEvent)
                } else {
                    Ok(false)
                };
            };
            let meter = self.exchange.meter();
            let frame = frame.map_err(|error| match CutReason::of(&error, meter) {
                Some(reason) => StreamError::CutOff(reason),
                None => StreamError::Lost(error),
            })?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let batch = self.splitter.push(bytes);
            let events = batch.map(|it| self.receive(it)).transpose()?;
            if events.as_ref().is_none_or(|it| it.has_content) {
                self.exchange.meter().record_delivered(bytes.len());
            }
            if self.splitter.is_oversized() {
                return Err(StreamError::Oversized);
            }
            let memory = self.splitter_memory.resize(self.splitter.capacity());
            memory.map_err(StreamError::Buffer)?;
            if events.is_some() {
                self.pending = events;
                return Ok(true);
            }
        }
    }

    /// Accounts for the memory of complete events.
    fn receive(&self, batch: EventBatch) -> Result<ReceivedEvents, StreamError> {
        let mut memory = self.guard.buffers().open_part();
        memory.try_grow(batch.bytes.capacity()).map_err(StreamError::Buffer)?;
        let has_content = batch.has_content();
        if has_content {
            self.guard.record_events(batch.count);
        }
        Ok(ReceivedEvents { bytes: reserved_bytes(batch.bytes, memory), has_content })
    }

    /// Ends a stream after an error.
    pub(super) fn fail(self, error: &StreamError) {
        match error {
            StreamError::Lost(_) | StreamError::PartialEvent => {
                self.guard.end_with_lost_connection(true);
            }
            StreamError::Buffer(BufferError::MemoryFull) => self.guard.end(AttemptEnd::Cancelled),
            StreamError::Oversized | StreamError::CutOff(_) | StreamError::Buffer(_) => {
                self.abandon();
            }
        }
    }

    /// Ends a stream that is stalled or useless, and closes its connection.
    fn abandon(self) {
        self.guard.end(AttemptEnd::Failed);
    }

    /// Ends a stream that an upstream completed.
    fn finish(self) {
        if self.first_event.is_some() {
            self.guard.record_proof();
        }
        self.exchange.finish();
        self.guard.end(AttemptEnd::Complete);
    }
}

/// Creates a response from a stream whose first events were read, and starts its relay.
pub(super) fn relay(attempts: RequestAttempts, source: StreamSource) -> Response<ResponseBody> {
    let head = stream_head(source.status, source.headers.clone());
    let (sender, body) = EventBody::channel();
    let relay = StreamRelay {
        last_event_id: attempts.request.head.resume_after,
        last_progress: attempts.gateway.now(),
        attempts,
        sender,
    };
    let task = tokio::task::spawn_local(relay.run(source));
    head.map(|()| Either::Right(body.with_relay(task)))
}

/// A stream of which the caller has a part, and whose upstream was lost or left.
struct LostStream {
    upstream: UpstreamName,
    /// Whether a part of a further event had arrived.
    has_next_event: bool,
}

impl LostStream {
    fn of(source: &StreamSource) -> Self {
        Self {
            upstream: source.guard.upstream().clone(),
            has_next_event: source.splitter.has_partial_event(),
        }
    }
}

/// What ended the relay's wait for the next events.
enum RelayEvent {
    Events(Result<bool, StreamError>),
    EventTimeout,
    DeadlineExceeded,
}

/// Forwards the events of a stream to one caller.
struct StreamRelay {
    attempts: RequestAttempts,
    sender: EventSender,
    /// Id of the last event that was forwarded to the caller, or that it had received earlier.
    last_event_id: Option<u64>,
    /// When the last event with data or an id was forwarded. Comments do not count, because a
    /// stalled upstream may send them now and then.
    last_progress: Instant,
}

impl StreamRelay {
    async fn run(mut self, first: StreamSource) {
        let _active = ActiveGuard::new(&self.attempts.gateway);
        let status = first.status.as_u16();
        let mut source = first;
        loop {
            if let Some(events) = source.pending.take() {
                source.record_events(self.attempts.gateway.now());
                if let Err(outcome) = self.forward(events).await {
                    return self.attempts.log_end(source.guard.upstream(), status, outcome);
                }
            }
            let event = self.next_event(&mut source).await;
            let lost = match event {
                RelayEvent::Events(Ok(true)) => continue,
                RelayEvent::Events(Ok(false)) => {
                    let upstream = source.guard.upstream().clone();
                    source.finish();
                    return self.finish(&upstream, status).await;
                }
                RelayEvent::DeadlineExceeded => {
                    return self.attempts.log_end(source.guard.upstream(), status, "time_is_up");
                }
                RelayEvent::Events(Err(error)) => {
                    self.attempts.log_failure(source.guard.upstream(), error.kind(), &error);
                    let lost = LostStream::of(&source);
                    source.fail(&error);
                    lost
                }
                RelayEvent::EventTimeout => {
                    self.attempts.log_failure(
                        source.guard.upstream(),
                        "stream_silent",
                        &"no event within the timeout",
                    );
                    let lost = LostStream::of(&source);
                    source.abandon();
                    lost
                }
            };
            // The connection is closed by now, so that no two upstreams work on the stream.
            match self.resume(lost).await {
                Ok(resumed) => source = resumed,
                Err(reason) => return self.attempts.log_end("", status, reason),
            }
        }
    }

    /// Forwards events, as far as the caller reads them before the deadline.
    ///
    /// # Errors
    ///
    /// The caller did not get them; the text is the outcome for metrics and the log.
    async fn forward(&mut self, events: ReceivedEvents) -> Result<(), &'static str> {
        if events.has_content {
            self.last_progress = self.attempts.gateway.now();
        }
        self.last_event_id = last_event_id(&events.bytes).or(self.last_event_id);
        match timeout(self.time_left(), self.sender.send(events.bytes)).await {
            Ok(sent) => sent.map_err(|_| "caller_left"),
            Err(_) => Err("time_is_up"),
        }
    }

    /// Ends the response as complete.
    async fn finish(self, upstream: &UpstreamName, status: u16) {
        let outcome = match timeout(self.time_left(), self.sender.finish()).await {
            Ok(Ok(())) => "answered",
            Ok(Err(_)) => "caller_left",
            Err(_) => "time_is_up",
        };
        self.attempts.log_end(upstream, status, outcome);
    }

    fn time_left(&self) -> Duration {
        self.attempts.request.expires_at.saturating_duration_since(self.attempts.gateway.now())
    }

    /// Waits for the next events, the deadline of the request, or the event timeout. The event
    /// timeout only ends the wait if a retry was acquired.
    async fn next_event(&mut self, source: &mut StreamSource) -> RelayEvent {
        let request = &self.attempts.request;
        // An upstream that always has events ready would never let the timer below end the stream.
        if self.attempts.gateway.now() >= request.expires_at + MAX_LATE_TIME {
            return RelayEvent::DeadlineExceeded;
        }
        let event_timeout = request.route.event_gap * EVENT_GAP_TIMEOUT_MULTIPLE;
        let may_move = request.route.retry_rule.may_retry() && !event_timeout.is_zero();
        let since_progress =
            self.attempts.gateway.now().saturating_duration_since(self.last_progress);
        let mut wait = event_timeout.saturating_sub(since_progress);
        let mut events = Box::pin(source.next_events());
        let deadline = sleep(self.time_left());
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                biased;
                events = &mut events => return RelayEvent::Events(events),
                () = &mut deadline => return RelayEvent::DeadlineExceeded,
                () = sleep(wait), if may_move => {
                    if self.attempts.try_acquire_early_retry() {
                        return RelayEvent::EventTimeout;
                    }
                    wait = event_timeout;
                }
            }
        }
    }

    /// Resumes the stream at another upstream.
    ///
    /// # Errors
    ///
    /// The stream cannot be resumed; the text is the outcome for metrics and the log.
    async fn resume(&mut self, lost: LostStream) -> Result<StreamSource, &'static str> {
        self.attempts.record_possible_run();
        let LostStream { mut upstream, has_next_event } = lost;
        loop {
            if !self.attempts.may_retry() {
                return Err("stream_cut");
            }
            let pick = self.attempts.next_upstream(Some(&upstream))?;
            let time_left = self.time_left();
            match timeout(time_left, self.open_resumed(&pick, has_next_event)).await {
                Err(_) => return Err("time_is_up"),
                Ok(Some(source)) => return Ok(source),
                Ok(None) => upstream = pick.name,
            }
        }
    }

    /// Opens the stream at one upstream after the last event that the caller has. Returns none if
    /// the upstream fails, repeats events that the caller has, or ends the stream although
    /// `has_next_event` says that it goes on.
    async fn open_resumed(
        &mut self,
        pick: &UpstreamPick,
        has_next_event: bool,
    ) -> Option<StreamSource> {
        let (gateway, request) = (self.attempts.gateway.clone(), self.attempts.request.clone());
        let open = match open_response(&gateway, &request, pick, self.last_event_id).await {
            Ok(open) => open,
            Err(FailedAttempt::MayHaveRun(_) | FailedAttempt::ErrorResponse(_)) => {
                self.attempts.record_possible_run();
                return None;
            }
            Err(FailedAttempt::NotSent(_) | FailedAttempt::NotRun(_)) => return None,
        };
        if !open.response.status().is_success() {
            self.attempts.log_failure(&pick.name, "resume_failed", &open.response.status());
            self.attempts.record_possible_run();
            open.guard.end(AttemptEnd::Failed);
            return None;
        }
        let mut source = StreamSource::new(open);
        match source.next_events().await {
            Ok(true) => {}
            Ok(false) if has_next_event => {
                let reason = &"the stream ends before an event that had begun";
                self.attempts.log_failure(&pick.name, "resume_ends_early", reason);
                self.attempts.record_possible_run();
                source.abandon();
                return None;
            }
            Ok(false) => return Some(source),
            Err(error) => {
                self.attempts.log_failure(&pick.name, error.kind(), &error);
                self.attempts.record_possible_run();
                source.fail(&error);
                return None;
            }
        }
        let first = source.pending.as_ref().and_then(|it| first_event_id(&it.bytes));
        if first <= self.last_event_id && self.last_event_id.is_some() {
            self.attempts.log_failure(
                &pick.name,
                "resume_repeats",
                &"the stream repeats events that the caller has",
            );
            self.attempts.record_possible_run();
            source.abandon();
            return None;
        }
        tracing::info!(
            request_id = %request.head.request_id,
            upstream = %pick.name,
            after = self.last_event_id,
            "stream_resumed"
        );
        Some(source)
    }
}

/// Returns the ids of complete events, in their order.
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
