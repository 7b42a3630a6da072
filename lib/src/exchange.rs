//! One caller's request from arrival to the last piece of its answer, on a worker thread.

mod events;
mod relay;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::events::EventSplitter;
use self::relay::{RelayEnd, relay_events};
use crate::{
    catalogue::{KeyHash, RouteKind},
    clock::ClockSource,
    control::{
        Admission, AdmitOutcome, AdmitRequest, ControlCommand, ControlHandle, DispatchEnd,
        DispatchGuard, DispatchRequest, DispatchTarget, RequestEnd,
    },
    front::{
        BodyWriter, CallerRequest, ChatRequest, OutcomeKind, Refusal, RequestHandler, Responder,
        bearer_key, without_credentials,
    },
    names::UpstreamName,
    upstream::{CallError, UpstreamAnswer, UpstreamCall, UpstreamClient},
};

/// Upstreams that one request is sent to at most.
const MAX_ATTEMPTS: usize = 3;

/// Time until the head of an answer; long prompts and a cold engine take minutes.
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Largest answer that is not streamed.
const MAX_WHOLE_ANSWER_BYTES: u64 = 16 << 20;

/// Headers that only the router may set towards upstreams.
const ROUTER_HEADERS: [&str; 5] = [
    "x-priority",
    "x-chat-id",
    "x-resume-offset",
    "x-team",
    "x-request-id",
];

/// Serves callers with the help of the control actor.
pub struct Exchange {
    control: ControlHandle,
    upstream: Arc<dyn UpstreamClient>,
    clock: Arc<dyn ClockSource>,
}

impl Exchange {
    /// Creates the handler of all caller requests.
    pub fn new(
        control: ControlHandle,
        upstream: Arc<dyn UpstreamClient>,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        Self {
            control,
            upstream,
            clock,
        }
    }
}

impl RequestHandler for Exchange {
    fn handle(&self, request: CallerRequest, responder: Responder) {
        let key = bearer_key(&request.headers).map(str::to_owned);
        let admit = AdmitRequest {
            key: key.as_deref().map(KeyHash::of),
            method: request.method.clone(),
            path: request.path().to_owned(),
        };
        let admission = match self.control.admit(admit) {
            AdmitOutcome::Admitted(admission) => admission,
            AdmitOutcome::Refused(refusal) => return responder.refuse(&refusal),
        };
        let (headers, target) =
            without_credentials(&request.headers, &request.target, key.as_deref());
        let headers = headers
            .into_iter()
            .filter(|(name, _)| !ROUTER_HEADERS.contains(&name.as_str()))
            .collect();
        let mut run = RequestRun {
            exchange: self,
            started: self.clock.now(),
            request: CallerRequest {
                headers,
                target,
                ..request.clone()
            },
            admission,
            tried: Vec::new(),
            first_piece: None,
        };
        let end = match run.admission.kind {
            RouteKind::Chat => run.chat(&request, responder),
            RouteKind::Service => run.service(responder),
        };
        run.report(end);
    }

    fn is_ready(&self) -> bool {
        self.control.ask(ControlCommand::IsReady).unwrap_or(false)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerEnd {
    Answered,
    Refused(OutcomeKind),
    Cut,
    CallerGone,
}

/// One attempt that brought no answer.
struct FailedAttempt {
    refusal: Refusal,
    may_retry: bool,
}

struct RequestRun<'a> {
    exchange: &'a Exchange,
    started: Instant,
    /// The request as upstreams may see it.
    request: CallerRequest,
    admission: Arc<Admission>,
    tried: Vec<UpstreamName>,
    first_piece: Option<Duration>,
}

impl RequestRun<'_> {
    fn chat(&mut self, original: &CallerRequest, responder: Responder) -> CallerEnd {
        let chat = match ChatRequest::parse(original, &self.admission.team) {
            Ok(chat) => chat,
            Err(refusal) => return refuse(responder, &refusal),
        };
        let target = DispatchTarget::Chat {
            model: chat.model.clone(),
            chat: chat.chat.clone(),
        };
        let mut stream = StreamState::Waiting(responder);
        for attempt in 1.. {
            let guard = match self.dispatch(&target, chat.work, stream.delivered() > 0) {
                Ok(guard) => guard,
                Err(refusal) => return stream.fail(&refusal),
            };
            let failed = match self.call(&guard, &self.chat_headers(&chat, stream.delivered())) {
                Ok(answer) if is_event_stream(&answer) => match self.relay(guard, answer, stream) {
                    RelayOutcome::Ended(end) => return end,
                    RelayOutcome::Broken(broken) => {
                        stream = broken;
                        FailedAttempt {
                            refusal: lost_refusal(),
                            may_retry: true,
                        }
                    }
                },
                Ok(answer) => match self.read_whole(guard, answer) {
                    Ok(whole) => return stream.answer(whole),
                    Err(failed) => failed,
                },
                Err(error) => self.failed_call(guard, &error),
            };
            if attempt >= MAX_ATTEMPTS || !failed.may_retry {
                return stream.fail(&failed.refusal);
            }
        }
        unreachable!("the loop ends by returning")
    }

    fn service(&mut self, responder: Responder) -> CallerEnd {
        let Some(service) = self.admission.service.clone() else {
            unreachable!("the catalogue check requires a service for a service route")
        };
        if self.admission.once {
            let refusal = Refusal::not_run(501, "not_implemented", "operations are not served yet");
            return refuse(responder, &refusal);
        }
        let target = DispatchTarget::Service(service);
        let is_idempotent = matches!(self.request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        for attempt in 1.. {
            let guard = match self.dispatch(&target, 1, false) {
                Ok(guard) => guard,
                Err(refusal) => return refuse(responder, &refusal),
            };
            let failed = match self.call(&guard, &self.service_headers()) {
                Ok(answer) => match self.read_whole(guard, answer) {
                    Ok(whole) => return StreamState::Waiting(responder).answer(whole),
                    Err(failed) => failed,
                },
                Err(error) => self.failed_call(guard, &error),
            };
            let was_not_sent = failed.refusal.outcome == OutcomeKind::NotRun;
            if attempt >= MAX_ATTEMPTS || !(is_idempotent || was_not_sent) {
                return refuse(responder, &failed.refusal);
            }
        }
        unreachable!("the loop ends by returning")
    }

    fn dispatch(
        &self,
        target: &DispatchTarget,
        work: u64,
        needs_resume: bool,
    ) -> Result<DispatchGuard, Refusal> {
        self.exchange.control.dispatch(DispatchRequest {
            admission: self.admission.clone(),
            target: target.clone(),
            work,
            tried: self.tried.clone(),
            needs_resume,
        })
    }

    fn call(
        &self,
        guard: &DispatchGuard,
        headers: &[(String, String)],
    ) -> Result<UpstreamAnswer, CallError> {
        // Every attempt has its own id, so that the late answer of an earlier one is recognised.
        let attempt_id = format!("{}.{:016x}", self.request.request_id, rand::random::<u64>());
        self.exchange.upstream.call(&UpstreamCall {
            address: guard.grant().address,
            method: &self.request.method,
            target: &self.request.target,
            headers,
            body: &self.request.body,
            request_id: &attempt_id,
            reuse_connection: true,
            head_timeout: HEAD_TIMEOUT,
        })
    }

    fn chat_headers(&self, chat: &ChatRequest, offset: u64) -> Vec<(String, String)> {
        let mut headers = self.request.headers.clone();
        headers.push(("x-priority".into(), self.admission.priority.to_string()));
        headers.push(("x-chat-id".into(), chat.chat.clone()));
        if offset > 0 {
            headers.push(("x-resume-offset".into(), offset.to_string()));
        }
        headers
    }

    fn service_headers(&self) -> Vec<(String, String)> {
        let mut headers = self.request.headers.clone();
        headers.push(("x-team".into(), self.admission.team.as_str().to_owned()));
        headers
    }

    fn failed_call(&mut self, guard: DispatchGuard, error: &CallError) -> FailedAttempt {
        let upstream = guard.grant().upstream.clone();
        tracing::warn!(request_id = %self.request.request_id, %upstream, %error, "call_failed");
        self.tried.push(upstream);
        if let CallError::NotSent(_) = error {
            guard.end(DispatchEnd::NotSent);
            let refusal = Refusal::not_run(503, "upstream_unreachable", "no upstream was reached")
                .retry_after(Duration::from_secs(1));
            FailedAttempt {
                refusal,
                may_retry: true,
            }
        } else {
            guard.end(DispatchEnd::Broken);
            FailedAttempt {
                refusal: lost_refusal(),
                may_retry: true,
            }
        }
    }

    fn read_whole(
        &mut self,
        guard: DispatchGuard,
        answer: UpstreamAnswer,
    ) -> Result<WholeAnswer, FailedAttempt> {
        use std::io::Read;
        let UpstreamAnswer {
            status,
            headers,
            body,
        } = answer;
        let mut text = Vec::new();
        let read = body.take(MAX_WHOLE_ANSWER_BYTES + 1).read_to_end(&mut text);
        if text.len() as u64 > MAX_WHOLE_ANSWER_BYTES {
            guard.end(DispatchEnd::Abandoned);
            let refusal = Refusal::unknown(502, "answer_too_large", "the answer is too large");
            return Err(FailedAttempt {
                refusal,
                may_retry: false,
            });
        }
        match read {
            Ok(_) => {
                self.note_first_piece(&guard);
                guard.end(DispatchEnd::Complete);
                Ok(WholeAnswer {
                    status,
                    headers,
                    body: text,
                })
            }
            Err(error) => Err(self.failed_call(guard, &CallError::Ambiguous(error.to_string()))),
        }
    }

    fn relay(
        &mut self,
        guard: DispatchGuard,
        answer: UpstreamAnswer,
        stream: StreamState,
    ) -> RelayOutcome {
        let UpstreamAnswer {
            status,
            headers,
            body,
        } = answer;
        let (mut writer, mut delivered) = stream.start(status, &headers);
        let end = relay_events(body, &mut |events, count| {
            if delivered == 0 {
                self.note_first_piece(&guard);
            }
            writer.write(events)?;
            delivered += count;
            Ok(())
        });
        match end {
            RelayEnd::Complete => {
                guard.end(DispatchEnd::Complete);
                match writer.finish() {
                    Ok(()) => RelayOutcome::Ended(CallerEnd::Answered),
                    Err(_) => RelayOutcome::Ended(CallerEnd::CallerGone),
                }
            }
            RelayEnd::CallerGone => {
                guard.end(DispatchEnd::Abandoned);
                RelayOutcome::Ended(CallerEnd::CallerGone)
            }
            RelayEnd::Broken(reason) => {
                let upstream = guard.grant().upstream.clone();
                tracing::warn!(
                    request_id = %self.request.request_id, %upstream, delivered, %reason,
                    "stream_broken"
                );
                self.tried.push(upstream);
                guard.end(DispatchEnd::Broken);
                RelayOutcome::Broken(StreamState::Started { writer, delivered })
            }
        }
    }

    fn note_first_piece(&mut self, guard: &DispatchGuard) {
        guard.first_piece();
        let elapsed = self
            .exchange
            .clock
            .now()
            .saturating_duration_since(self.started);
        self.first_piece.get_or_insert(elapsed);
    }

    fn report(self, end: CallerEnd) {
        let outcome = match end {
            CallerEnd::Answered | CallerEnd::CallerGone => OutcomeKind::Ran,
            CallerEnd::Refused(outcome) => outcome,
            CallerEnd::Cut => OutcomeKind::Unknown,
        };
        tracing::info!(
            request_id = %self.request.request_id,
            team = %self.admission.team,
            class = %self.admission.class,
            route = %self.admission.route,
            outcome = outcome.as_str(),
            first_piece_ms = self.first_piece.map(|it| it.as_millis()),
            attempts = self.tried.len() + 1,
            "request_ended"
        );
        self.exchange
            .control
            .send(ControlCommand::RequestEnded(Box::new(RequestEnd {
                admission: self.admission,
                is_answered: end == CallerEnd::Answered,
                outcome,
                first_piece: self.first_piece,
            })));
    }
}

/// An answer that was read to its end.
struct WholeAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

enum RelayOutcome {
    Ended(CallerEnd),
    Broken(StreamState),
}

/// How much of an answer the caller has.
enum StreamState {
    Waiting(Responder),
    Started { writer: BodyWriter, delivered: u64 },
}

impl StreamState {
    fn delivered(&self) -> u64 {
        match self {
            Self::Waiting(_) => 0,
            Self::Started { delivered, .. } => *delivered,
        }
    }

    fn start(self, status: u16, headers: &[(String, String)]) -> (BodyWriter, u64) {
        match self {
            Self::Waiting(responder) => (responder.start(status, headers, OutcomeKind::Ran), 0),
            Self::Started { writer, delivered } => (writer, delivered),
        }
    }

    /// Refuses the request, or cuts an answer that has begun.
    fn fail(self, refusal: &Refusal) -> CallerEnd {
        match self {
            Self::Waiting(responder) => refuse(responder, refusal),
            Self::Started { .. } => CallerEnd::Cut,
        }
    }

    fn answer(self, whole: WholeAnswer) -> CallerEnd {
        match self {
            Self::Waiting(responder) => {
                responder.answer(whole.status, &whole.headers, OutcomeKind::Ran, whole.body);
                CallerEnd::Answered
            }
            // A whole answer cannot continue a stream.
            Self::Started { .. } => CallerEnd::Cut,
        }
    }
}

fn refuse(responder: Responder, refusal: &Refusal) -> CallerEnd {
    responder.refuse(refusal);
    CallerEnd::Refused(refusal.outcome)
}

fn lost_refusal() -> Refusal {
    Refusal::unknown(
        502,
        "upstream_lost",
        "the upstream did not answer to the end",
    )
}

fn is_event_stream(answer: &UpstreamAnswer) -> bool {
    answer.status == 200
        && answer
            .header("content-type")
            .is_some_and(|it| it.starts_with("text/event-stream"))
}
