//! One caller's request: admission, attempts at upstreams, and the response or refusal.

use std::{
    error::Error,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::{Bytes, Incoming},
    header::{self, HeaderMap, HeaderName, HeaderValue},
    http::request::Parts,
};
use tokio::time::{sleep, timeout};

use super::{
    body::ResponseBody,
    cold::own_cold_rate,
    dialect::{AnswerHead, AttemptHead, CallHead},
    fleet::{Gateway, GatewayState},
    health::AttemptEnd,
    pool::{PoolKey, SendError, UpstreamExchange},
    stream::{StreamSource, open_stream},
    table::{CallerIdentity, RouteRecord, RouteTable, TeamRecord},
    upstreams::{PickRefusal, PickRequest, UpstreamPick},
};
use crate::{
    front::{CallRefusal, OutcomeKind, RefusalKind},
    names::{ServiceName, UpstreamName},
    telemetry::RequestLabels,
};

/// Headers that describe one connection and are not forwarded.
const HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Largest response that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Upstreams that one request is offered to at most, with those that were not reached or refused.
const MAX_OFFERS: usize = 5;

/// Latency targets after which a request that may be repeated goes to another upstream. Work takes
/// a small part of the target except for a few requests in 100.
const IDEMPOTENT_PATIENCE: f64 = 2.0;

/// The same for the first event of a stream that may be resumed. Its prompt has been read in part
/// by then, so the second upstream has to be worth it.
const STREAM_PATIENCE: f64 = 2.0;

/// Share of the latency target after which a refused caller comes back.
const RETRY_AFTER_SHARE: f64 = 0.5;

/// Time after which a caller comes back to a host that has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(500);

/// Deadline of callers that state none, and longest one, for arithmetic to stay in range.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that may be sent to upstreams.
pub(super) struct AdmittedCall {
    pub(super) head: CallHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(super) route: Arc<RouteRecord>,
    pub(super) service: ServiceName,
    team: Option<Arc<TeamRecord>>,
    version: u64,
    cold_rate: f64,
    arrived: Instant,
    /// When the caller or the route gives up.
    pub(super) ends: Instant,
}

impl AdmittedCall {
    fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Time after which another upstream is tried although the first one has not failed.
    fn patience(&self) -> Duration {
        let multiple =
            if self.route.repeat.is_stream() { STREAM_PATIENCE } else { IDEMPOTENT_PATIENCE };
        self.route.target_latency.mul_f64(multiple)
    }

    fn retry_after(&self) -> Duration {
        self.route.target_latency.mul_f64(RETRY_AFTER_SHARE)
    }
}

/// Serves one request of a caller.
pub(super) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let _active = ActiveGuard::new(&gateway);
    let (parts, body) = request.into_parts();
    let head = gateway.dialect.read_call(&parts.headers);
    let table = gateway.table();
    let admitted = match read_body(body, table.as_deref()).await {
        Ok(body) => admit(table, head.clone(), parts, body, arrived),
        Err(refusal) => Err(refusal),
    };
    let call = match admitted {
        Ok(call) => call,
        Err(refusal) => {
            tracing::info!(
                request_id = %head.request_id,
                reason = refusal.kind.as_str(),
                status = refusal.kind.status(),
                detail = %refusal.message,
                "request_refused"
            );
            return gateway.refuse(&head.request_id, &refusal);
        }
    };
    gateway.state.borrow_mut().budget.request(arrived, &call.service);
    CallRun::new(gateway, Rc::new(call)).run().await
}

/// Counts a request as active until its response head is known.
pub(super) struct ActiveGuard(Rc<Gateway>);

impl ActiveGuard {
    pub(super) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.active.set(gateway.active.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

async fn read_body(body: Incoming, table: Option<&RouteTable>) -> Result<Bytes, CallRefusal> {
    let limits = table.map(RouteTable::limits).unwrap_or_default();
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(limits.read_timeout, reading).await {
        Err(_) => {
            let message = format!("the body took longer than {:?}", limits.read_timeout);
            Err(CallRefusal::not_run(RefusalKind::BodyTimeout, message))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
            Err(CallRefusal::not_run(RefusalKind::BodyTooLarge, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body is incomplete: {error}");
            Err(CallRefusal::not_run(RefusalKind::InvalidRequest, message))
        }
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

fn admit(
    table: Option<Arc<RouteTable>>,
    head: CallHead,
    parts: Parts,
    body: Bytes,
    arrived: Instant,
) -> Result<AdmittedCall, CallRefusal> {
    let Some(table) = table else {
        let message = "the host has no configuration yet";
        return Err(CallRefusal::not_run(RefusalKind::NoConfiguration, message)
            .retry_after(CONFIGURATION_WAIT));
    };
    let invalid = |message: &str| CallRefusal::not_run(RefusalKind::InvalidRequest, message);
    if head.request_id.is_empty() {
        return Err(invalid("the request has no id"));
    }
    let host = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let authority = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let path = parts.uri.path();
    let Some(route) = table.route(authority, path).cloned() else {
        let message = format!("no route of version {} has the path", table.version());
        return Err(CallRefusal::not_run(RefusalKind::NoRoute, message));
    };
    let team = match table.identify(&route, head.key.as_deref()) {
        CallerIdentity::Team(team) => Some(team),
        CallerIdentity::Open => None,
        CallerIdentity::Denied => {
            let message = format!("the key is not in version {}", table.version());
            return Err(CallRefusal::not_run(RefusalKind::KeyInvalid, message));
        }
    };
    let Some(service) = route.service_for(&head.request_id).cloned() else {
        return Err(CallRefusal::not_run(RefusalKind::NoUpstream, "the route has no service"));
    };
    let wait = head.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout).min(MAX_DEADLINE);
    Ok(AdmittedCall {
        cold_rate: table.service(&service).map_or(0.0, |it| it.cold_rate),
        version: table.version(),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        service,
        team,
        arrived,
        ends: arrived + wait,
    })
}

/// A response that was read to its end.
pub(super) struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How one attempt ended without a response for the caller.
pub(super) enum FailedAttempt {
    /// Nothing of the request reached the upstream.
    NotSent(&'static str),
    /// The upstream did not run the request and never will.
    NotRun(&'static str),
    /// The upstream may have run the request.
    MayHaveRun(RefusalKind),
    /// The upstream ran the request and answered with a failure of its own.
    Answered(WholeAnswer),
}

/// What one attempt led to.
enum AttemptOutcome {
    Response(Box<Response<ResponseBody>>),
    Failed(FailedAttempt),
}

/// Counts a request at an upstream until it ends; without a verdict it counts as cancelled.
pub(super) struct AttemptGuard {
    gateway: Rc<Gateway>,
    upstream: UpstreamName,
    end: AttemptEnd,
}

impl AttemptGuard {
    fn new(gateway: &Rc<Gateway>, upstream: &UpstreamName) -> Self {
        gateway.state.borrow_mut().upstreams.started(upstream);
        let (gateway, upstream) = (gateway.clone(), upstream.clone());
        Self { gateway, upstream, end: AttemptEnd::Cancelled }
    }

    /// Ends the attempt with a verdict on the upstream.
    pub(super) fn end(mut self, end: AttemptEnd) {
        self.end = end;
    }

    pub(super) fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.state.borrow_mut().upstreams.ended(now, &self.upstream, self.end);
    }
}

/// An upstream's response head with the body still to be read.
pub(super) struct OpenAnswer {
    pub(super) head: AnswerHead,
    pub(super) response: Response<Incoming>,
    pub(super) exchange: UpstreamExchange,
    pub(super) guard: AttemptGuard,
}

/// An admitted request with its attempts so far.
#[derive(Clone)]
pub(super) struct CallRun {
    pub(super) gateway: Rc<Gateway>,
    pub(super) call: Rc<AdmittedCall>,
    tried: Vec<UpstreamName>,
    /// Attempts that reached an upstream; the retry budget bounds those beyond the first.
    arrivals: u32,
    /// Attempts after which an upstream may have run the request.
    runs: u32,
    /// Whether the budget has been charged for the next attempt.
    is_charged: bool,
}

impl CallRun {
    fn new(gateway: Rc<Gateway>, call: Rc<AdmittedCall>) -> Self {
        Self { gateway, call, tried: Vec::new(), arrivals: 0, runs: 0, is_charged: false }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        let mut last: Option<FailedAttempt> = None;
        loop {
            let pick = match self.next_upstream(None) {
                Ok(pick) => pick,
                Err(reason) => return self.give_up(last, reason),
            };
            let failed = match self.attempt(&pick).await {
                AttemptOutcome::Response(response) => return *response,
                AttemptOutcome::Failed(failed) => failed,
            };
            self.tried.push(pick.name);
            let may_go_on = match &failed {
                FailedAttempt::NotSent(_) => self.runs == 0 || self.may_repeat(),
                FailedAttempt::NotRun(_) => {
                    self.arrivals += 1;
                    self.runs == 0 || self.may_repeat()
                }
                FailedAttempt::MayHaveRun(_) | FailedAttempt::Answered(_) => {
                    self.note_run();
                    self.may_repeat()
                }
            };
            // An earlier response of an upstream says more than a refusal that followed it.
            last = match (last, failed) {
                (Some(earlier), FailedAttempt::NotRun(_) | FailedAttempt::NotSent(_))
                    if self.runs > 0 =>
                {
                    Some(earlier)
                }
                (_, failed) => Some(failed),
            };
            if !may_go_on || self.tried.len() >= MAX_OFFERS {
                return self.give_up(last, "no_attempt_left");
            }
        }
    }

    /// Returns whether a request that may have run may be sent to one more upstream.
    fn may_repeat(&self) -> bool {
        self.call.route.repeat.may_repeat() && self.runs < self.call.route.max_attempts
    }

    /// Chooses the upstream of the next attempt, and charges the retry budget for a repeat.
    pub(super) fn next_upstream(
        &mut self,
        lost: Option<&UpstreamName>,
    ) -> Result<UpstreamPick, &'static str> {
        let now = self.gateway.now();
        if let Some(lost) = lost {
            self.tried.push(lost.clone());
        }
        if now >= self.call.ends {
            return Err("time_is_up");
        }
        let state = &mut *self.gateway.state.borrow_mut();
        let request = PickRequest {
            service: &self.call.service,
            affinity: self.call.head.affinity,
            tried: &self.tried,
            has_cold_limit: self.call.cold_rate > 0.0,
        };
        if self.arrivals > 0
            && !std::mem::take(&mut self.is_charged)
            && !state.budget.take(now, &self.call.service, state.hosts)
        {
            return Err("retry_budget");
        }
        let GatewayState { upstreams, members, hosts, .. } = state;
        let cold_rate = |name: &UpstreamName| {
            own_cold_rate(self.call.cold_rate, *hosts, |count| {
                members.is_among_first(now, name.as_str(), count)
            })
        };
        let pick = upstreams.pick(now, &request, cold_rate).map_err(PickRefusal::as_str)?;
        tracing::info!(
            request_id = %self.call.head.request_id,
            affinity = self.call.head.affinity.map(|it| format!("{it:016x}")),
            shared_tokens = self.call.head.shared_tokens,
            upstream = %pick.name,
            reason = pick.reason.as_str(),
            rank = pick.rank,
            load = pick.load,
            mean = pick.mean,
            report_age_ms = pick.report_age.map(|it| it.as_millis() as u64),
            attempt = self.tried.len() + 1,
            "upstream_picked"
        );
        Ok(pick)
    }

    /// Charges the budget for leaving an upstream that has not failed; returns whether it may.
    pub(super) fn may_leave(&mut self) -> bool {
        let now = self.gateway.now();
        if !self.call.route.repeat.may_repeat() || self.runs + 1 >= self.call.route.max_attempts {
            return false;
        }
        let state = &mut *self.gateway.state.borrow_mut();
        let has_other = state.upstreams.has_other(now, &self.call.service, &self.tried);
        if has_other && state.budget.take(now, &self.call.service, state.hosts) {
            self.is_charged = true;
        }
        self.is_charged
    }

    /// Counts an attempt after which an upstream may have run the request.
    pub(super) fn note_run(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    pub(super) fn can_resume(&self) -> bool {
        self.may_repeat()
    }

    async fn attempt(&mut self, pick: &UpstreamPick) -> AttemptOutcome {
        let patience = self.call.patience();
        let started = self.gateway.now();
        let (gateway, call) = (self.gateway.clone(), self.call.clone());
        let time_left = call.ends.saturating_duration_since(started);
        let mut run = Box::pin(timeout(time_left, attempt(gateway, call, pick, None)));
        let result = tokio::select! {
            result = &mut run => result,
            () = sleep(patience) => {
                if self.may_leave() {
                    drop(run);
                    self.log_failure(&pick.name, "slow", &"no response in time");
                    return AttemptOutcome::Failed(FailedAttempt::MayHaveRun(
                        RefusalKind::UpstreamTimeout,
                    ));
                }
                run.await
            }
        };
        match result {
            Err(_) => {
                self.log_failure(&pick.name, "timeout", &"the time of the request is up");
                AttemptOutcome::Failed(FailedAttempt::MayHaveRun(RefusalKind::UpstreamTimeout))
            }
            Ok(Ok(Answer::Whole(whole))) if self.is_retryable(whole.status) => {
                AttemptOutcome::Failed(FailedAttempt::Answered(whole))
            }
            Ok(Ok(Answer::Whole(whole))) => {
                self.log_end(&pick.name, whole.status.as_u16(), "answered");
                AttemptOutcome::Response(Box::new(whole.into_response()))
            }
            Ok(Ok(Answer::Stream(source))) => {
                AttemptOutcome::Response(Box::new(open_stream(self.clone(), *source)))
            }
            Ok(Err(failed)) => AttemptOutcome::Failed(failed),
        }
    }

    /// Returns whether another upstream may do better with a request that got this status.
    fn is_retryable(&self, status: StatusCode) -> bool {
        status.is_server_error()
    }

    fn give_up(&self, last: Option<FailedAttempt>, reason: &'static str) -> Response<ResponseBody> {
        let message = |text: &str| format!("{text} ({reason})");
        let refusal = match last {
            Some(FailedAttempt::Answered(whole)) => {
                self.log_end("", whole.status.as_u16(), reason);
                return whole.into_response();
            }
            Some(FailedAttempt::MayHaveRun(kind)) => {
                CallRefusal::unknown(kind, message("no upstream answered to the end"))
            }
            Some(FailedAttempt::NotRun(_) | FailedAttempt::NotSent(_)) | None if self.runs > 0 => {
                CallRefusal::unknown(
                    RefusalKind::UpstreamLost,
                    message("no upstream answered to the end"),
                )
            }
            Some(FailedAttempt::NotRun(cause) | FailedAttempt::NotSent(cause)) => {
                CallRefusal::not_run(RefusalKind::UpstreamUnreachable, message(cause))
                    .retry_after(self.call.retry_after())
            }
            None => CallRefusal::not_run(RefusalKind::NoUpstream, message("no upstream is free"))
                .retry_after(self.call.retry_after()),
        };
        self.log_end("", refusal.kind.status(), refusal.kind.as_str());
        self.gateway.refuse(&self.call.head.request_id, &refusal)
    }

    pub(super) fn log_failure(
        &self,
        upstream: &UpstreamName,
        kind: &'static str,
        error: &dyn ToString,
    ) {
        self.gateway.metrics.upstream_error(upstream, kind);
        log_failure(&self.gateway, &self.call, upstream, kind, error);
    }

    /// Logs the end of the request.
    pub(super) fn log_end(&self, upstream: impl AsRef<str>, status: u16, outcome: &'static str) {
        let call = &self.call;
        let labels = RequestLabels {
            route: Some(&call.route.name),
            team: call.team.as_ref().map(|it| &it.name),
            class: None,
        };
        self.gateway.metrics.request(labels, outcome);
        tracing::info!(
            request_id = %call.head.request_id,
            route = %call.route.name,
            team = call.team.as_ref().map_or("", |it| it.name.as_str()),
            version = call.version,
            upstream = upstream.as_ref(),
            status,
            outcome,
            failed_attempts = self.tried.len(),
            total_ms = self.gateway.now().saturating_duration_since(call.arrived).as_millis() as u64,
            "request_ended"
        );
    }
}

fn log_failure(
    gateway: &Gateway,
    call: &AdmittedCall,
    upstream: &UpstreamName,
    kind: &'static str,
    error: &dyn ToString,
) {
    tracing::warn!(
        request_id = %call.head.request_id,
        upstream = %upstream,
        kind,
        error = %error.to_string(),
        elapsed_ms = gateway.now().saturating_duration_since(call.arrived).as_millis() as u64,
        "attempt_failed"
    );
}

/// A usable response of an upstream.
enum Answer {
    Whole(WholeAnswer),
    Stream(Box<StreamSource>),
}

/// Sends the request to one upstream and reads the response, or the first events of a stream.
async fn attempt(
    gateway: Rc<Gateway>,
    call: Rc<AdmittedCall>,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Result<Answer, FailedAttempt> {
    let open = open_answer(&gateway, &call, pick, resume_after).await?;
    if call.route.repeat.is_stream() && open.response.status().is_success() {
        let mut source = StreamSource::new(open);
        return match source.next_events().await {
            Ok(_) => Ok(Answer::Stream(Box::new(source))),
            Err(error) => {
                log_failure(&gateway, &call, &pick.name, "stream_lost", &error);
                source.fail();
                Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost))
            }
        };
    }
    read_whole(&gateway, &call, open).await.map(Answer::Whole)
}

/// Sends the request to one upstream and reads the head of its response.
pub(super) async fn open_answer(
    gateway: &Rc<Gateway>,
    call: &Rc<AdmittedCall>,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Result<OpenAnswer, FailedAttempt> {
    let guard = AttemptGuard::new(gateway, &pick.name);
    let request = upstream_request(gateway, call, pick, resume_after);
    let key = PoolKey {
        upstream: pick.name.clone(),
        incarnation: pick.incarnation,
        address: pick.address,
    };
    let sent = gateway.pool.send(key, request, call.route.repeat.may_repeat()).await;
    let (response, exchange) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            log_failure(gateway, call, &pick.name, "unreachable", &error);
            guard.end(AttemptEnd::Unreachable);
            gateway.doubt(&pick.name, matches!(error, SendError::NoConnection));
            return Err(match error {
                SendError::NotSent(_) | SendError::NoConnection => {
                    FailedAttempt::NotSent("no upstream was reached")
                }
                SendError::Lost(_) => FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost),
            });
        }
    };
    let status = response.status();
    let head = gateway.dialect.read_answer(status, response.headers(), &call.head.request_id);
    note_answer(gateway, &pick.name, &head);
    if head.is_misdirected {
        log_failure(gateway, call, &pick.name, "replaced", &"another upstream has the address");
        let now = gateway.now();
        gateway.state.borrow_mut().upstreams.replaced(now, &pick.name);
        return Err(FailedAttempt::NotRun("the upstream is gone"));
    }
    if head.is_not_run {
        log_failure(gateway, call, &pick.name, "refused", &status);
        finish_refusal(response, exchange).await;
        return Err(FailedAttempt::NotRun("the upstreams are full"));
    }
    if !head.is_own || (status.is_success() && !head.is_signed) {
        log_failure(gateway, call, &pick.name, "wrong_answer", &status);
        guard.end(AttemptEnd::Failed);
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    Ok(OpenAnswer { head, response, exchange, guard })
}

/// Adopts what a response head says of its upstream.
fn note_answer(gateway: &Gateway, upstream: &UpstreamName, head: &AnswerHead) {
    let now = gateway.now();
    let upstreams = &mut gateway.state.borrow_mut().upstreams;
    if let Some(load) = head.load {
        upstreams.reported(now, upstream, load);
    }
    if let Some(cold_for) = head.cold_for {
        upstreams.cold_until(now, upstream, now + cold_for);
    }
}

/// Reads the rest of a refusal, so that the connection can be used again.
async fn finish_refusal(response: Response<Incoming>, exchange: UpstreamExchange) {
    if response.into_body().collect().await.is_ok() {
        exchange.finish();
    }
}

async fn read_whole(
    gateway: &Rc<Gateway>,
    call: &AdmittedCall,
    open: OpenAnswer,
) -> Result<WholeAnswer, FailedAttempt> {
    let OpenAnswer { head, response, exchange, guard } = open;
    let (parts, body) = response.into_parts();
    let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log_failure(gateway, call, guard.upstream(), "answer_lost", &error);
            let (end, kind) = if is_too_large(&*error) {
                (AttemptEnd::Cancelled, RefusalKind::AnswerTooLarge)
            } else {
                (AttemptEnd::Failed, RefusalKind::UpstreamLost)
            };
            guard.end(end);
            return Err(FailedAttempt::MayHaveRun(kind));
        }
    };
    exchange.finish();
    let is_failure = parts.status.is_server_error();
    if is_failure {
        log_failure(gateway, call, guard.upstream(), "failed", &parts.status);
    }
    guard.end(if is_failure { AttemptEnd::Failed } else { AttemptEnd::Complete });
    if promises_not_run(parts.status) {
        // Without the upstream's own statement the status would promise too much.
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    debug_assert!(!head.is_not_run);
    Ok(WholeAnswer { status: parts.status, headers: end_to_end(parts.headers), body })
}

fn is_too_large(error: &(dyn Error + 'static)) -> bool {
    error.is::<LengthLimitError>()
}

/// Returns whether callers take the status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn upstream_request(
    gateway: &Gateway,
    call: &AdmittedCall,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = end_to_end(call.headers.clone());
    let attempt = AttemptHead {
        upstream: pick.name.as_str(),
        team: call.team.as_ref().map(|it| &it.name),
        time_left: call.ends.saturating_duration_since(gateway.now()),
        priority: call.priority(),
        resume_after: resume_after.or(call.head.resume_after),
    };
    gateway.dialect.write_attempt(&mut headers, &attempt);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    // The client sends the target in the form in which it is given.
    *request.uri_mut() =
        call.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()));
    *request.headers_mut() = headers;
    request
}

/// Removes the headers that concern one connection only, and the length, which is set anew.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

impl WholeAnswer {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(Either::Left(Full::new(self.body)));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Starts a response with the head of a stream.
pub(super) fn stream_head(status: StatusCode, headers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = end_to_end(headers);
    response
}

impl Gateway {
    /// Makes the response of a refusal.
    fn refuse(&self, request_id: &str, refusal: &CallRefusal) -> Response<ResponseBody> {
        self.metrics.refusal(refusal.kind.as_str());
        let body = Full::new(Bytes::from(refusal.body(request_id)));
        let mut response = Response::new(Either::Left(body));
        let status = StatusCode::from_u16(refusal.kind.status());
        *response.status_mut() = status.expect("refusals have valid statuses");
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = refusal.retry_after
            && refusal.outcome == OutcomeKind::NotRun
        {
            let value = HeaderValue::from_str(&format!("{:.2}", delay.as_secs_f64()));
            headers.insert(header::RETRY_AFTER, value.expect("a number is a valid value"));
        }
        self.dialect.write_refusal(headers, request_id);
        response
    }
}
