//! One attempt: sends a request to one upstream and classifies the result.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Either, Full};
use hyper::{
    Request, Response, StatusCode, Uri,
    body::{Bytes, Incoming},
    header::HeaderMap,
};
use tokio::time::timeout;

use super::{admission::AdmittedRequest, headers::end_to_end_headers};
use crate::{
    front::RefusalKind,
    gateway::{
        body::{CompleteBody, ResponseBody},
        connection::CutReason,
        crashes::LostAttempt,
        dialect::{AttemptHead, ResponseHead},
        fleet::Gateway,
        health::AttemptEnd,
        pool::{PoolKey, SendError, UpstreamExchange},
        segments::SegmentBuffer,
        stream::StreamSource,
        upstreams::{UpstreamPick, UpstreamProcess},
    },
    intake::{BufferError, BufferReservation, ResponseBuffers, record_cut_connection},
    names::UpstreamName,
    upstream::is_final_status,
    work::AttemptTicket,
};

/// Largest body of a refusal that is read in order to reuse the connection.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Memory of a header besides its text.
const HEADER_BYTES: usize = 64;

/// Longest wait for the body of a refusal; the next upstream is tried after it.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// A response whose body was read to its end.
pub(in crate::gateway) struct CompleteResponse {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    _head_memory: BufferReservation,
    /// Segments of the body; each holds its part of the memory for responses.
    body: Vec<Bytes>,
}

/// Why an attempt gave no response for the caller.
pub(in crate::gateway) enum FailedAttempt {
    /// Nothing of the request reached the upstream.
    NotSent(&'static str),
    /// The upstream received the request, but did not run it and never will.
    NotRun(&'static str),
    /// The upstream may have run the request, and gave no usable response.
    MayHaveRun(RefusalKind),
    /// The upstream responded with a server error.
    ErrorResponse(CompleteResponse),
}

/// Counts a request as in flight at an upstream until it is dropped, and then records its outcome.
/// Unless one of the `end` methods sets it, the outcome is [`AttemptEnd::Cancelled`], or
/// [`AttemptEnd::Failed`] if the upstream was unresponsive.
pub(in crate::gateway) struct AttemptGuard {
    gateway: Rc<Gateway>,
    request: Rc<AdmittedRequest>,
    process: UpstreamProcess,
    dispatched: Instant,
    ticket: AttemptTicket,
    /// Whether the head of a response has arrived.
    has_response: bool,
    end: AttemptEnd,
}

impl AttemptGuard {
    fn new(gateway: &Rc<Gateway>, request: &Rc<AdmittedRequest>, pick: &UpstreamPick) -> Self {
        let dispatched = gateway.now();
        let upstreams = &mut gateway.state.borrow_mut().upstreams;
        upstreams.request_started(&pick.name);
        let (work, incarnation) = (upstreams.work_mut(), pick.incarnation);
        let cached = pick.work.map_or(0, |it| it.cached_tokens);
        let ticket = work.started(dispatched, &pick.name, incarnation, &request.work(), cached);
        gateway.in_flight_changes.send_replace(());
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            process: pick.process(),
            dispatched,
            ticket,
            has_response: false,
            end: AttemptEnd::Cancelled,
        }
    }

    /// Ends the attempt with an outcome.
    pub(in crate::gateway) fn end(mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Ends an attempt whose connection was lost, and ejects the upstream. The probe that follows
    /// shows whether the upstream crashed.
    pub(in crate::gateway) fn end_with_lost_connection(self, has_response: bool) {
        let attempt = LostAttempt {
            fingerprint: self.request.fingerprint(),
            parts: self.request.head.shared_parts.clone(),
            dispatched: self.dispatched,
            has_response,
        };
        self.gateway.update_crashes(|now, crashes| {
            crashes.record_loss(now, &self.process, attempt);
        });
        let (gateway, upstream) = (self.gateway.clone(), self.process.upstream.clone());
        self.end(AttemptEnd::Lost);
        gateway.eject(&upstream, false);
    }

    /// Records that the upstream writes an answer on the prompt without crashing.
    pub(in crate::gateway) fn record_proof(&self) {
        let parts = &self.request.head.shared_parts;
        self.gateway.state.borrow_mut().crashes.record_proof(self.gateway.now(), parts);
    }

    /// Records that events of a stream arrived.
    pub(in crate::gateway) fn record_events(&self, count: u64) {
        let (now, count) = (self.gateway.now(), u32::try_from(count).unwrap_or(u32::MAX));
        let work = self.request.work();
        let upstreams = &mut self.gateway.state.borrow_mut().upstreams;
        upstreams.work_mut().events_arrived(now, self.upstream(), self.ticket, &work, count);
    }

    pub(in crate::gateway) fn upstream(&self) -> &UpstreamName {
        &self.process.upstream
    }

    /// Returns the account of the memory that the response takes.
    pub(in crate::gateway) fn buffers(&self) -> &Arc<ResponseBuffers> {
        &self.gateway.response_buffers
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let waited = now.saturating_duration_since(self.dispatched);
        if self.end == AttemptEnd::Cancelled
            && !self.has_response
            && waited >= self.request.unresponsive_timeout()
            && !self.gateway.pauses.was_paused(self.dispatched, now)
        {
            self.end = AttemptEnd::Failed;
        }
        self.gateway.in_flight_changes.send_replace(());
        let state = &mut *self.gateway.state.borrow_mut();
        state.upstreams.request_ended(now, &self.process.upstream, self.end);
        let is_complete = self.end == AttemptEnd::Complete;
        let (work, upstream) = (self.request.work(), &self.process.upstream);
        state.upstreams.work_mut().ended(now, upstream, self.ticket, &work, is_complete);
        if is_complete || matches!(self.end, AttemptEnd::Failed | AttemptEnd::Lost) {
            state.outcomes.record(now, &self.process.upstream, is_complete);
        }
        if is_complete {
            let fingerprint = self.request.fingerprint();
            state.crashes.record_completion(now, fingerprint, &self.process.upstream);
        }
    }
}

/// A response of an upstream whose body has not been read.
pub(in crate::gateway) struct OpenResponse {
    pub(in crate::gateway) response: Response<Incoming>,
    pub(in crate::gateway) head_memory: BufferReservation,
    pub(in crate::gateway) exchange: UpstreamExchange,
    pub(in crate::gateway) guard: AttemptGuard,
}

/// Kind of a failure after which the connection was cut off because of what the upstream sent.
pub(in crate::gateway) const CUT_OFF: &str = "cut_off";

/// Why a request was not run by an upstream that has no room.
pub(super) const UPSTREAMS_FULL: &str = "the upstreams are full";

/// Kind of a failure for want of memory for responses, which is not the upstream's.
pub(in crate::gateway) const MEMORY_FULL: &str = "memory_full";

/// Logs a failed attempt and counts it by upstream and `kind`.
pub(super) fn log_failure(
    gateway: &Gateway,
    request: &AdmittedRequest,
    upstream: &UpstreamName,
    kind: &'static str,
    error: &dyn ToString,
) {
    gateway.metrics.count_upstream_error(upstream, kind);
    if kind == CUT_OFF {
        record_cut_connection();
    }
    tracing::warn!(
        request_id = %request.head.request_id,
        upstream = %upstream,
        kind,
        error = %error.to_string(),
        elapsed_ms = gateway.now().saturating_duration_since(request.arrived).as_millis() as u64,
        "attempt_failed"
    );
}

/// A response that answers the request; a complete one may still be a server error.
pub(super) enum UsableResponse {
    Complete(CompleteResponse),
    Stream(Box<StreamSource>),
}

/// Sends the request to one upstream and reads the response, or the first events of a stream.
pub(super) async fn run_attempt(
    gateway: Rc<Gateway>,
    request: Rc<AdmittedRequest>,
    pick: &UpstreamPick,
) -> Result<UsableResponse, FailedAttempt> {
    let open = open_response(&gateway, &request, pick, None).await?;
    if request.route.retry_rule.is_stream() && open.response.status().is_success() {
        let mut source = StreamSource::new(open);
        return match source.next_events().await {
            Ok(_) => Ok(UsableResponse::Stream(Box::new(source))),
            Err(error) => {
                log_failure(&gateway, &request, &pick.name, error.kind(), &error);
                source.fail(&error);
                Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost))
            }
        };
    }
    read_complete(&gateway, &request, open).await.map(UsableResponse::Complete)
}

/// Sends the request to one upstream and reads the head of its response.
pub(in crate::gateway) async fn open_response(
    gateway: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Result<OpenResponse, FailedAttempt> {
    let mut guard = AttemptGuard::new(gateway, request, pick);
    let outgoing = upstream_request(gateway, request, pick, resume_after);
    let key = PoolKey {
        upstream: pick.name.clone(),
        incarnation: pick.incarnation,
        address: pick.address,
    };
    let may_retry = request.route.retry_rule.may_retry();
    let sent = gateway.pool.send(key, outgoing, may_retry, &request.connections).await;
    let (response, exchange) = match sent {
        Ok(sent) => sent,
        Err(error @ SendError::CutOff(_)) => {
            log_failure(gateway, request, &pick.name, CUT_OFF, &error);
            guard.end(AttemptEnd::Failed);
            return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
        }
        Err(error) => {
            log_failure(gateway, request, &pick.name, "unreachable", &error);
            if matches!(error, SendError::Lost(_)) {
                guard.end_with_lost_connection(false);
                return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
            }
            guard.end(AttemptEnd::Unreachable);
            gateway.eject(&pick.name, matches!(error, SendError::ConnectTimeout));
            return Err(FailedAttempt::NotSent("no upstream was reached"));
        }
    };
    guard.has_response = true;
    let status = response.status();
    let head = gateway.dialect.read_response(status, response.headers(), &request.head.request_id);
    record_response_head(gateway, pick, &head);
    if head.is_for_other_request || !is_final_status(status.as_u16()) {
        // Nothing in it applies to this request, which the upstream may be running.
        log_failure(gateway, request, &pick.name, "wrong_answer", &status);
        guard.end(AttemptEnd::Failed);
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    if head.is_misdirected {
        log_failure(
            gateway,
            request,
            &pick.name,
            "replaced",
            &"another upstream responded at the address",
        );
        let now = gateway.now();
        gateway.state.borrow_mut().upstreams.address_reused(now, &pick.name);
        return Err(FailedAttempt::NotRun("the upstream is gone"));
    }
    if head.is_not_run {
        log_failure(gateway, request, &pick.name, "refused", &status);
        // A second copy of a refusal without an id would be taken for that of the next request.
        if head.is_for_request {
            drain_refusal(&pick.name, response, exchange).await;
        }
        return Err(FailedAttempt::NotRun(UPSTREAMS_FULL));
    }
    if !head.is_for_request || (status.is_success() && !head.is_signed) {
        log_failure(gateway, request, &pick.name, "wrong_answer", &status);
        guard.end(AttemptEnd::Failed);
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    let mut head_memory = guard.buffers().open_part();
    if let Err(error) = head_memory.try_grow(head_bytes(response.headers())) {
        log_failure(gateway, request, &pick.name, MEMORY_FULL, &error);
        return Err(FailedAttempt::MayHaveRun(RefusalKind::AnswerTooLarge));
    }
    Ok(OpenResponse { response, head_memory, exchange, guard })
}

/// Returns the memory that the head of a response takes, about.
fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES).sum()
}

/// Records what a response head reports of its upstream: load, cold start, that it leaves, and that
/// it wants no requests for a time. A late copy and another process at the address say nothing of
/// the last two.
fn record_response_head(gateway: &Gateway, pick: &UpstreamPick, head: &ResponseHead) {
    let now = gateway.now();
    let upstreams = &mut gateway.state.borrow_mut().upstreams;
    if let Some(load) = head.load
        && let Some(estimated) = upstreams.record_load(now, &pick.name, load)
    {
        tracing::info!(
            upstream = %pick.name,
            running = load.running,
            waiting = load.waiting,
            estimated,
            "load_reported"
        );
    }
    if let Some(cold_for) = head.cold_for {
        upstreams.set_cold_until(now, &pick.name, now + cold_for);
    }
    if head.is_for_other_request || head.is_misdirected {
        return;
    }
    let process = pick.process();
    if head.is_leaving && upstreams.record_leaving(&process) {
        tracing::info!(upstream = %pick.name, "upstream_leaving");
    }
    if let Some(pause) = head.pause {
        let spread = rand::random();
        let left = upstreams.record_pause(now, &process, pause, spread);
        let pause_ms = left.unwrap_or_default().as_millis() as u64;
        tracing::info!(upstream = %pick.name, pause_ms, "upstream_paused");
    }
}

/// Reads the body of a refusal, so that the connection can be reused. Closes the connection if the
/// body is long, slow or lost.
async fn drain_refusal(
    upstream: &UpstreamName,
    response: Response<Incoming>,
    exchange: UpstreamExchange,
) {
    let mut body = response.into_body();
    let drained = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            length += frame?.data_ref().map_or(0, Bytes::len);
            if length > MAX_REFUSAL_BYTES {
                return Ok(length);
            }
        }
        Ok::<usize, hyper::Error>(length)
    };
    let reason = match timeout(REFUSAL_BODY_TIMEOUT, drained).await {
        Ok(Ok(length)) if length <= MAX_REFUSAL_BYTES => return exchange.finish(),
        Ok(Ok(_)) => format!("the body of a refusal exceeds {MAX_REFUSAL_BYTES} bytes"),
        Ok(Err(error)) => match CutReason::of(&error, exchange.meter()) {
            Some(reason) => reason.to_string(),
            None => return,
        },
        Err(_) => return,
    };
    record_cut_connection();
    tracing::warn!(%upstream, %reason, "connection_cut");
}

/// Why a response was not received completely.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
    #[error("cut off: {0}")]
    CutOff(CutReason),
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

impl ReceiveError {
    fn refusal_kind(&self) -> RefusalKind {
        match self {
            Self::Lost(_) | Self::CutOff(_) => RefusalKind::UpstreamLost,
            Self::Buffer(_) => RefusalKind::AnswerTooLarge,
        }
    }

    /// Returns the kind of the failure for logs and metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Lost(_) => "answer_lost",
            Self::CutOff(_) | Self::Buffer(BufferError::ResponseTooLarge(_)) => CUT_OFF,
            Self::Buffer(BufferError::MemoryFull) => MEMORY_FULL,
        }
    }
}

/// Reads a body to its end, within the memory for responses.
async fn collect_body(
    buffers: &Arc<ResponseBuffers>,
    exchange: &UpstreamExchange,
    mut body: Incoming,
) -> Result<Vec<Bytes>, ReceiveError> {
    let mut buffer = SegmentBuffer::new(buffers.open());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match CutReason::of(&error, exchange.meter()) {
            Some(reason) => ReceiveError::CutOff(reason),
            None => ReceiveError::Lost(error),
        })?;
        if let Ok(chunk) = frame.into_data() {
            exchange.meter().record_delivered(chunk.len());
            buffer.extend(&chunk)?;
        }
    }
    Ok(buffer.finish())
}

/// Reads a response that is not a stream to its end, and records the outcome at the upstream.
async fn read_complete(
    gateway: &Rc<Gateway>,
    request: &AdmittedRequest,
    open: OpenResponse,
) -> Result<CompleteResponse, FailedAttempt> {
    let OpenResponse { response, head_memory, exchange, guard } = open;
    let (parts, body) = response.into_parts();
    let body = match collect_body(guard.buffers(), &exchange, body).await {
        Ok(body) => body,
        Err(error) => {
            log_failure(gateway, request, guard.upstream(), error.kind(), &error);
            let refusal_kind = error.refusal_kind();
            match error {
                ReceiveError::Lost(_) => guard.end_with_lost_connection(true),
                ReceiveError::Buffer(BufferError::MemoryFull) => guard.end(AttemptEnd::Cancelled),
                ReceiveError::CutOff(_) | ReceiveError::Buffer(_) => guard.end(AttemptEnd::Failed),
            }
            return Err(FailedAttempt::MayHaveRun(refusal_kind));
        }
    };
    exchange.finish();
    if parts.status.is_success() {
        guard.record_proof();
    }
    let is_failure = parts.status.is_server_error();
    if is_failure {
        log_failure(gateway, request, guard.upstream(), "failed", &parts.status);
    }
    guard.end(if is_failure { AttemptEnd::Failed } else { AttemptEnd::Complete });
    if implies_not_run(parts.status) {
        // The upstream has not stated that the request did not run, so the caller must not see a
        // status that implies it.
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    Ok(CompleteResponse {
        status: parts.status,
        headers: end_to_end_headers(parts.headers),
        _head_memory: head_memory,
        body,
    })
}

/// Returns whether callers infer from the status that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Creates the request of an attempt from the caller's request.
fn upstream_request(
    gateway: &Gateway,
    request: &AdmittedRequest,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = end_to_end_headers(request.headers.clone());
    let attempt = AttemptHead {
        upstream: pick.name.as_str(),
        team: request.team.as_ref().map(|it| &it.name),
        time_left: request.expires_at.saturating_duration_since(gateway.now()),
        priority: request.priority(),
        resume_after: resume_after.or(request.head.resume_after),
        prompt_holder: pick.prompt_holder.as_ref().map(|it| it.address),
    };
    gateway.dialect.write_attempt(&mut headers, &attempt);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    // The HTTP client writes the URI as it is given, and a request to an origin server must have
    // its target in origin form.
    *outgoing.uri_mut() = request
        .uri
        .path_and_query()
        .map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()));
    *outgoing.headers_mut() = headers;
    outgoing
}

impl CompleteResponse {
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(Either::Left(CompleteBody::new(self.body)));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
