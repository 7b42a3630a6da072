//! One caller's request from arrival to the last piece of its answer, on a worker thread.

mod chat;
mod events;
mod operation;
mod relay;
mod service;

use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::events::{EventBatch, EventSplitter};
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
    names::{HostName, UpstreamName},
    peer::PeerTransport,
    quarantine::RequestFingerprint,
    telemetry::RouterMetrics,
    upstream::{CallError, UpstreamClient, UpstreamRequest, UpstreamResponse},
};

/// Path on which callers get operation tickets.
const TICKET_PATH: &str = "/v1/operations";

/// Upstreams that one request is sent to at most.
const MAX_ATTEMPTS: usize = 3;

/// Time until the head of an engine's answer; long prompts on a cold engine take this long.
const CHAT_HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Deadlines of the class until the head of a service's answer, and the bounds of that time.
const SERVICE_HEAD_DEADLINES: u32 = 20;
const MIN_SERVICE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_SERVICE_HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer that is not streamed.
const MAX_WHOLE_ANSWER_BYTES: u64 = 16 << 20;

/// Headers that only the router may set towards upstreams.
const ROUTER_HEADERS: [&str; 5] =
    ["x-priority", "x-chat-id", "x-resume-offset", "x-team", "x-request-id"];

/// Serves callers with the help of the control actor.
pub struct ExchangeHandler {
    control: ControlHandle,
    upstream: Arc<dyn UpstreamClient>,
    clock: Arc<dyn ClockSource>,
    peers: Arc<dyn PeerTransport<PeerRequest, PeerReply>>,
    host: HostName,
    metrics: Arc<RouterMetrics>,
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
        Self { control, upstream, clock, peers, host, metrics }
    }
}

impl RequestHandler for ExchangeHandler {
    fn handle(&self, request: CallerRequest, responder: CallerResponder) {
        let key = api_key(&request.headers).map(str::to_owned);
        if request.path() == TICKET_PATH {
            return self.ticket(&request, key.as_deref(), responder);
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
            request: as_upstreams_see_it(&request, key.as_deref()),
            admission,
            tried: Vec::new(),
            may_have_run: false,
            first_piece: None,
        };
        let end = match run.admission.kind {
            RouteKind::Chat => run.chat(&request, responder),
            RouteKind::Service => run.service(&request, responder),
        };
        run.report(end);
    }

    fn is_ready(&self) -> bool {
        self.control.ask(ControlCommand::IsReady).unwrap_or(false)
    }
}

fn as_upstreams_see_it(request: &CallerRequest, key: Option<&str>) -> CallerRequest {
    let (mut headers, target) = strip_credentials(&request.headers, &request.target, key);
    headers.retain(|(name, _)| !ROUTER_HEADERS.contains(&name.as_str()));
    CallerRequest { headers, target, ..request.clone() }
}

/// One attempt that brought no answer.
struct FailedAttempt {
    refusal: RequestRefusal,
    may_retry: bool,
}

/// An answer that was read to its end.
struct WholeAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// An admitted request while it is served.
struct RequestRun<'a> {
    exchange: &'a ExchangeHandler,
    started: Instant,
    /// The request as upstreams may see it.
    request: CallerRequest,
    admission: Arc<RequestAdmission>,
    tried: Vec<UpstreamName>,
    /// Whether an earlier attempt may have been run by an upstream.
    may_have_run: bool,
    first_piece: Option<Duration>,
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
        self.exchange.control.dispatch(request).map_err(|it| self.settled(it))
    }

    /// Identifies the request in the register of requests that broke upstreams.
    fn fingerprint(&self) -> RequestFingerprint {
        let team = &self.admission.team;
        match self.admission.kind {
            RouteKind::Chat => RequestFingerprint::of(team, &self.request.body),
            RouteKind::Service => {
                // Look-ups have no body, and only those of the same target are the same request.
                let head = format!("{} {}\n", self.request.method, self.request.target);
                RequestFingerprint::of(team, &[head.as_bytes(), &self.request.body].concat())
            }
        }
    }

    /// Keeps a refusal true after an earlier attempt that an upstream may have run.
    fn settled(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.outcome == OutcomeKind::NotRun {
            return RequestRefusal { outcome: OutcomeKind::Unknown, ..refusal };
        }
        refusal
    }

    /// Time until the head of an answer.
    fn head_timeout(&self) -> Duration {
        match self.admission.kind {
            RouteKind::Chat => CHAT_HEAD_TIMEOUT,
            RouteKind::Service => (self.admission.deadline * SERVICE_HEAD_DEADLINES)
                .clamp(MIN_SERVICE_HEAD_TIMEOUT, MAX_SERVICE_HEAD_TIMEOUT),
        }
    }

    /// Sends the request; `reuse_connection` is false for requests that must not run twice.
    fn call(
        &self,
        guard: &DispatchGuard,
        headers: &[(String, String)],
        reuse_connection: bool,
    ) -> Result<UpstreamResponse, CallError> {
        // Every attempt has its own id, so that the late answer of an earlier one is recognised.
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

    fn failed_call(&mut self, guard: DispatchGuard, error: &CallError) -> FailedAttempt {
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
            CallError::WrongResponse { .. } => {
                guard.end(DispatchEnd::BadResponse);
                self.may_have_run = true;
                lost_refusal()
            }
            CallError::Ambiguous(_) => {
                guard.end(DispatchEnd::UpstreamLost);
                self.may_have_run = true;
                lost_refusal()
            }
        };
        FailedAttempt { refusal: self.settled(refusal), may_retry: true }
    }

    fn read_whole(
        &mut self,
        guard: DispatchGuard,
        answer: UpstreamResponse,
    ) -> Result<WholeAnswer, FailedAttempt> {
        let UpstreamResponse { status, headers, incarnation, body } = answer;
        let mut text = Vec::new();
        let read = body.take(MAX_WHOLE_ANSWER_BYTES + 1).read_to_end(&mut text);
        if text.len() as u64 > MAX_WHOLE_ANSWER_BYTES {
            guard.end(DispatchEnd::Cancelled);
            let message = "the answer is too large";
            let refusal = RequestRefusal::unknown(RefusalKind::AnswerTooLarge, message);
            return Err(FailedAttempt { refusal, may_retry: false });
        }
        match read {
            Ok(_) => {
                self.note_first_piece(&guard, incarnation);
                guard.end(DispatchEnd::Complete);
                Ok(WholeAnswer { status, headers, body: text })
            }
            Err(error) => Err(self.failed_call(guard, &CallError::Ambiguous(error.to_string()))),
        }
    }

    fn note_first_piece(&mut self, guard: &DispatchGuard, incarnation: Option<u64>) {
        guard.first_chunk(incarnation);
        let elapsed = self.elapsed();
        self.first_piece.get_or_insert(elapsed);
    }

    fn elapsed(&self) -> Duration {
        self.exchange.clock.now().saturating_duration_since(self.started)
    }

    fn answer(&self, responder: CallerResponder, whole: WholeAnswer) -> RequestEnd {
        responder.respond(whole.status, &whole.headers, OutcomeKind::Ran, whole.body);
        self.answered()
    }

    fn answered(&self) -> RequestEnd {
        RequestEnd::Completed { first_chunk: self.first_piece.unwrap_or_else(|| self.elapsed()) }
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
            first_piece_ms = self.first_piece.map(|it| it.as_millis()),
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

fn lost_refusal() -> RequestRefusal {
    let message = "the upstream did not answer to the end";
    RequestRefusal::unknown(RefusalKind::UpstreamLost, message)
}
