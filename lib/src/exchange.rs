//! Serves one caller's request on a worker thread, from its arrival to the last chunk of its
//! response.

mod chat;
mod events;
mod operation;
mod receive;
mod relay;
mod service;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::events::{EventBatch, EventSplitter};
use self::receive::{ReceiveError, read_body};
use crate::{
    catalogue::{KeyHash, RouteKind},
    clock::ClockSource,
    control::{
        AdmitOutcome, AdmitRequest, ControlCommand, ControlHandle, DispatchEnd, DispatchGuard,
        DispatchRequest, DispatchTarget, PeerReply, PeerRequest, RequestAdmission, RequestEnd,
    },
    front::{
        CallerRequest, CallerResponder, OutcomeKind, RefusalKind, RequestHandler, RequestRefusal,
        api_key, strip_credentials,
    },
    intake::{
        BufferError, BufferReservation, ResponseBuffers, ResponseLimits, record_cut_connection,
    },
    names::{HostName, UpstreamName},
    peer::PeerTransport,
    quarantine::RequestFingerprint,
    telemetry::RouterMetrics,
    upstream::{CallError, UpstreamClient, UpstreamRequest, UpstreamResponse},
};

/// Path from which callers obtain operation tickets.
const TICKET_PATH: &str = "/v1/operations";

/// Maximum number of upstreams to which one request is sent.
const MAX_ATTEMPTS: usize = 3;

/// Maximum time until the head of an engine's response arrives. A long prompt on a cold engine
/// takes this long.
const CHAT_HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time until the head of a service's response arrives, in deadlines of the class, and the
/// bounds of that time.
const SERVICE_HEAD_TIMEOUT_DEADLINES: u32 = 20;
const MIN_SERVICE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_SERVICE_HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Memory of responses that are not streamed. Each worker thread receives one at a time.
const RESPONSE_LIMITS: ResponseLimits =
    ResponseLimits { max_bytes: 16 << 20, max_total_bytes: 128 << 20 };

/// Headers that only the router may set on requests to upstreams.
const ROUTER_HEADERS: [&str; 5] =
    ["x-priority", "x-chat-id", "x-resume-offset", "x-team", "x-request-id"];

/// Serves requests of callers; the control actor admits them and picks their upstreams.
pub struct ExchangeHandler {
    control: ControlHandle,
    upstream: Arc<dyn UpstreamClient>,
    clock: Arc<dyn ClockSource>,
    peers: Arc<dyn PeerTransport<PeerRequest, PeerReply>>,
    host: HostName,
    metrics: Arc<RouterMetrics>,
    buffers: Arc<ResponseBuffers>,
}

impl ExchangeHandler {
    /// Creates the handler of all caller requests.
    pub fn new(
        control: ControlHandle,
        upstream: Arc<dyn UpstreamClient>,
        clock: Arc<dyn ClockSource>,
        peers: Arc<dyn PeerTransport<PeerRequest, PeerReply>>,
        host: HostName,
        metrics: Arc<RouterMetrics>,
    ) -> Self {
        let buffers = ResponseBuffers::new(RESPONSE_LIMITS);
        Self { control, upstream, clock, peers, host, metrics, buffers }
    }
}

impl RequestHandler for ExchangeHandler {
    fn handle(&self, request: CallerRequest, responder: CallerResponder) {
        let key = api_key(&request.headers).map(str::to_owned);
        if request.path() == TICKET_PATH {
            return self.issue_ticket(&request, key.as_deref(), responder);
        }
        let admit = AdmitRequest {
            key: key.as_deref().map(KeyHash::of),
            method: request.method.clone(),
            path: request.path().to_owned(),
        };
        let admission = match self.control.admit(admit) {
            AdmitOutcome::Admitted(admission) => admission,
            AdmitOutcome::Refused(refusal) => return responder.refuse(&refusal),
        };
        let mut run = RequestRun {
            exchange: self,
            started: self.clock.now(),
            request: upstream_request(&request, key.as_deref()),
            admission,
            tried: Vec::new(),
            may_have_run: false,
            first_chunk: None,
        };
        let end = match run.admission.kind {
            RouteKind::Chat => run.serve_chat(&request, responder),
            RouteKind::Service => run.serve_service(&request, responder),
        };
        run.report(end);
    }

    fn is_ready(&self) -> bool {
        self.control.ask(ControlCommand::IsReady).unwrap_or(false)
    }
}

/// Returns the request without the caller's credentials and without headers reserved for the
/// router.
fn upstream_request(request: &CallerRequest, key: Option<&str>) -> CallerRequest {
    let (mut headers, target) = strip_credentials(&request.headers, &request.target, key);
    headers.retain(|(name, _)| !ROUTER_HEADERS.contains(&name.as_str()));
    CallerRequest { headers, target, ..request.clone() }
}

/// An attempt without a complete response.
struct FailedAttempt {
    refusal: RequestRefusal,
    may_retry: bool,
}

/// A response that was read to its end.
struct CompleteResponse {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Memory of the body.
    _reservation: BufferReservation,
}

/// State of an admitted request that is being served.
struct RequestRun<'a> {
    exchange: &'a ExchangeHandler,
    started: Instant,
    /// The request as it is sent to upstreams.
    request: CallerRequest,
    admission: Arc<RequestAdmission>,
    /// Upstreams to which earlier attempts were sent.
    tried: Vec<UpstreamName>,
    /// Whether an upstream may have run an earlier attempt.
    may_have_run: bool,
    /// Time from the admission of the request to the first chunk of its response.
    first_chunk: Option<Duration>,
}

impl RequestRun<'_> {
    fn dispatch(
        &self,
        target: &DispatchTarget,
        work: u64,
        needs_resume: bool,
    ) -> Result<DispatchGuard, RequestRefusal> {
        let request = DispatchRequest {
            admission: self.admission.clone(),
            target: target.clone(),
            request_id: self.request.request_id.clone(),
            work,
            fingerprint: self.fingerprint(),
            tried: self.tried.clone(),
            needs_resume,
        };
        self.exchange.control.dispatch(request).map_err(|it| self.with_overall_outcome(it))
    }

    /// Identifies the request in the register of requests that crashed upstreams.
    fn fingerprint(&self) -> RequestFingerprint {
        let team = &self.admission.team;
        match self.admission.kind {
            RouteKind::Chat => RequestFingerprint::of(team, &self.request.body),
            RouteKind::Service => {
                // Only method and target tell requests without a body apart, such as GET requests.
                let head = format!("{} {}\n", self.request.method, self.request.target);
                RequestFingerprint::of_parts(team, &[head.as_bytes(), &self.request.body])
            }
        }
    }

    /// Changes the outcome of a refusal from `not_run` to `unknown` if an upstream may have run an
    /// earlier attempt.
    fn with_overall_outcome(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.outcome == OutcomeKind::NotRun {
            return RequestRefusal { outcome: OutcomeKind::Unknown, ..refusal };
        }
        refusal
    }

    /// Returns the maximum time until the head of a response arrives.
    fn head_timeout(&self) -> Duration {
        match self.admission.kind {
            RouteKind::Chat => CHAT_HEAD_TIMEOUT,
            RouteKind::Service => (self.admission.deadline * SERVICE_HEAD_TIMEOUT_DEADLINES)
                .clamp(MIN_SERVICE_HEAD_TIMEOUT, MAX_SERVICE_HEAD_TIMEOUT),
        }
    }

    /// Sends the request and waits for the head of the response. `reuse_connection` must be false
    /// for requests that must not run twice.
    fn call(
        &self,
        guard: &DispatchGuard,
        headers: &[(String, String)],
        reuse_connection: bool,
    ) -> Result<UpstreamResponse, CallError> {
        // Every attempt has its own id, so that a late response to an earlier one is recognised.
        let attempt_id = format!("{}.{:016x}", self.request.request_id, rand::random::<u64>());
        self.exchange.upstream.send(&UpstreamRequest {
            address: guard.permit().address,
            method: &self.request.method,
            target: &self.request.target,
            headers,
            body: &self.request.body,
            request_id: &attempt_id,
            reuse_connection,
            head_timeout: self.head_timeout(),
        })
    }

    fn handle_call_error(&mut self, guard: DispatchGuard, error: &CallError) -> FailedAttempt {
        let upstream = guard.permit().upstream.clone();
        tracing::warn!(request_id = %self.request.request_id, %upstream, %error, "call_failed");
        self.tried.push(upstream);
        let refusal = match error {
            CallError::NotSent(_) => {
                guard.end(DispatchEnd::NotSent);
                let message = "no upstream was reached";
                RequestRefusal::not_run(RefusalKind::UpstreamUnreachable, message)
                    .with_retry_after(Duration::from_secs(1))
            }
            CallError::CutOff(_) => {
                record_cut_connection();
                guard.end(DispatchEnd::BadResponse);
                self.may_have_run = true;
                upstream_lost_refusal()
            }
            CallError::InvalidStatus(_) | CallError::WrongResponse { .. } => {
                guard.end(DispatchEnd::BadResponse);
                self.may_have_run = true;
                upstream_lost_refusal()
            }
            CallError::Ambiguous(_) => {
                guard.end(DispatchEnd::UpstreamLost);
                self.may_have_run = true;
                upstream_lost_refusal()
            }
        };
        FailedAttempt { refusal: self.with_overall_outcome(refusal), may_retry: true }
    }

    fn read_complete_response(
        &mut self,
        guard: DispatchGuard,
        response: UpstreamResponse,
    ) -> Result<CompleteResponse, FailedAttempt> {
        let UpstreamResponse { status, headers, incarnation, body } = response;
        let mut reservation = self.exchange.buffers.open();
        match read_body(body, &mut reservation) {
            Ok(body) => {
                self.record_first_chunk(&guard, incarnation);
                guard.end(DispatchEnd::Complete);
                Ok(CompleteResponse { status, headers, body, _reservation: reservation })
            }
            Err(ReceiveError::Lost(error)) => {
                Err(self.handle_call_error(guard, &CallError::of_body(&error)))
            }
            Err(ReceiveError::Buffer(error)) => {
                if matches!(error, BufferError::ResponseTooLarge(_)) {
                    record_cut_connection();
                }
                let upstream = &guard.permit().upstream;
                tracing::warn!(
                    request_id = %self.request.request_id, %upstream, %error, "answer_cut"
                );
                guard.end(DispatchEnd::Cancelled);
                let refusal =
                    RequestRefusal::unknown(RefusalKind::AnswerTooLarge, error.to_string());
                Err(FailedAttempt { refusal, may_retry: false })
            }
        }
    }

    fn record_first_chunk(&mut self, guard: &DispatchGuard, incarnation: Option<u64>) {
        guard.report_first_chunk(incarnation);
        let elapsed = self.elapsed();
        self.first_chunk.get_or_insert(elapsed);
    }

    fn elapsed(&self) -> Duration {
        self.exchange.clock.now().saturating_duration_since(self.started)
    }

    fn send_response(&self, responder: CallerResponder, response: CompleteResponse) -> RequestEnd {
        responder.respond(response.status, &response.headers, OutcomeKind::Ran, response.body);
        self.completed_end()
    }

    fn completed_end(&self) -> RequestEnd {
        RequestEnd::Completed { first_chunk: self.first_chunk.unwrap_or_else(|| self.elapsed()) }
    }

    fn report(self, end: RequestEnd) {
        let refusal = match end {
            RequestEnd::Refused { kind, .. } => Some(kind.as_str()),
            _ => None,
        };
        tracing::info!(
            request_id = %self.request.request_id,
            team = %self.admission.team,
            class = %self.admission.class,
            route = %self.admission.route,
            outcome = end.outcome().as_str(),
            refusal,
            first_piece_ms = self.first_chunk.map(|it| it.as_millis()),
            total_ms = self.elapsed().as_millis(),
            failed_attempts = self.tried.len(),
            "request_ended"
        );
        self.exchange.control.send(ControlCommand::RequestEnded(self.admission, end));
    }
}

fn refuse(responder: CallerResponder, refusal: &RequestRefusal) -> RequestEnd {
    responder.refuse(refusal);
    RequestEnd::Refused { kind: refusal.kind, outcome: refusal.outcome }
}

fn upstream_lost_refusal() -> RequestRefusal {
    let message = "the upstream did not answer to the end";
    RequestRefusal::unknown(RefusalKind::UpstreamLost, message)
}
