//! Handles one request of a caller: admission, attempts at upstreams, and the response or refusal.

mod admission;
mod attempt;
mod headers;
mod start;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::Either;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{self, HeaderValue},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use self::{
    admission::{AdmittedRequest, admit, configuration_wait, read_body},
    attempt::{UPSTREAMS_FULL, UsableResponse, log_failure, run_attempt},
    start::StartTicket,
};
pub(super) use self::{
    attempt::{AttemptGuard, CUT_OFF, FailedAttempt, MEMORY_FULL, OpenResponse, open_response},
    headers::stream_head,
    start::{StartSender, start_waiting},
};
use super::{
    body::{CompleteBody, ResponseBody},
    cold::host_cold_rate,
    crashes::CrashDetector,
    fleet::{Gateway, GatewayState},
    stream::relay,
    table::RouteTable,
    upstreams::{PickRefusal, PickRequest, UpstreamPick},
};
use crate::{
    front::{OutcomeKind, RefusalKind, RequestRefusal},
    intake::{ConnectionPhase, PhaseHandle, discard_rest, sends_body_at_once},
    names::UpstreamName,
    quarantine::CrashVerdict,
    telemetry::RequestLabels,
};

/// Largest number of attempts of one request, including those that did not reach an upstream or
/// were refused by one.
const MAX_UPSTREAMS_TRIED: usize = 5;

/// Number of upstreams that one request did not reach after which those of the own data centre go
/// first: if the data centre is cut off, connections to all others are refused.
const UNREACHED_BEFORE_LOCAL: u32 = 2;

/// Time after which a caller that a stopping host refused is told to retry; other hosts can serve
/// it at once.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Serves one request of a caller.
pub(super) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let _active = ActiveGuard::new(&gateway);
    let (parts, mut body) = request.into_parts();
    let head = gateway.dialect.read_request(&parts.headers);
    let table = gateway.wait_for_route_table(configuration_wait(&head)).await;
    let limits = table.as_deref().map(RouteTable::limits).unwrap_or_default();
    let mut is_body_sent = sends_body_at_once(&parts.headers);
    let phase = parts.extensions.get::<PhaseHandle>().cloned();
    let mut admitted = admit(table, head.clone(), parts, arrived);
    if let Ok(request) = &mut admitted {
        match read_body(&mut body, &limits, &gateway.account).await {
            Ok(_) if !gateway.accepts(request.expires_at) => admitted = Err(draining_refusal()),
            Ok(bytes) => request.body = bytes,
            Err(refusal) => {
                // A body that was announced as too large was not asked for.
                is_body_sent |= refusal.kind != RefusalKind::BodyTooLarge;
                admitted = Err(refusal);
            }
        }
    }
    if let Some(phase) = phase {
        phase.set(ConnectionPhase::Responding);
    }
    if admitted.is_err() && is_body_sent && !body.is_end_stream() {
        spawn_local(discard_rest(body, limits.body_limits(), gateway.account.clone()));
    }
    let request = match admitted {
        Ok(request) => request,
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
    gateway.state.borrow_mut().budget.record_request(arrived, &request.service);
    RequestAttempts::new(gateway, Rc::new(request)).run().await
}

fn draining_refusal() -> RequestRefusal {
    let message = "the host stops before the time of the request is over";
    RequestRefusal::not_run(RefusalKind::Draining, message).with_retry_after(DRAINING_RETRY_AFTER)
}

/// Counts a request as active while it exists: until the response head is known, and for a stream
/// while its events are relayed.
pub(super) struct ActiveGuard(Rc<Gateway>);

impl ActiveGuard {
    pub(super) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Result of one attempt.
enum AttemptOutcome {
    Response(Box<Response<ResponseBody>>),
    Failed(FailedAttempt),
}

/// An admitted request with the state of its attempts.
#[derive(Clone)]
pub(super) struct RequestAttempts {
    pub(super) gateway: Rc<Gateway>,
    pub(super) request: Rc<AdmittedRequest>,
    tried: Vec<UpstreamName>,
    /// Attempts of which nothing reached an upstream.
    unreached_attempts: u32,
    /// Attempts that reached an upstream. Every further one is acquired from the retry budget.
    reached_attempts: u32,
    /// Attempts in which an upstream ran the request or may have run it, bounded by the route's
    /// `max_attempts`.
    possible_runs: u32,
    /// Whether the next attempt has been acquired from the retry budget already.
    is_retry_acquired: bool,
    /// Time until an upstream takes requests again, if all of them are paused.
    return_delay: Option<Duration>,
    /// Counts the request as in flight once it has started.
    ticket: Option<Rc<StartTicket>>,
}

impl RequestAttempts {
    fn new(gateway: Rc<Gateway>, request: Rc<AdmittedRequest>) -> Self {
        Self {
            gateway,
            request,
            tried: Vec::new(),
            unreached_attempts: 0,
            reached_attempts: 0,
            possible_runs: 0,
            is_retry_acquired: false,
            return_delay: None,
            ticket: None,
        }
    }

    /// Sends the request to one upstream after the other until one responds or no further attempt
    /// is allowed.
    async fn run(mut self) -> Response<ResponseBody> {
        let mut last: Option<FailedAttempt> = None;
        let gateway = self.gateway.clone();
        let last_response = gateway.wait_for_last_response();
        tokio::pin!(last_response);
        loop {
            if self.ticket.is_none() {
                let started = tokio::select! {
                    biased;
                    started = gateway.wait_to_start(&self.request) => started,
                    () = &mut last_response => Err(draining_refusal()),
                };
                match started {
                    Ok(ticket) => self.ticket = Some(Rc::new(ticket)),
                    Err(refusal) => return self.refuse(&refusal),
                }
            }
            let pick = match self.next_upstream(None) {
                Ok(pick) => pick,
                Err(reason) => return self.give_up(last, reason),
            };
            let outcome = tokio::select! {
                biased;
                outcome = self.attempt(&pick) => outcome,
                () = &mut last_response => return self.end_at_shutdown(&pick.name),
            };
            let failed = match outcome {
                AttemptOutcome::Response(response) => return *response,
                AttemptOutcome::Failed(failed) => failed,
            };
            self.tried.push(pick.name);
            let can_continue = match &failed {
                FailedAttempt::NotSent(_) => {
                    self.unreached_attempts += 1;
                    self.possible_runs == 0 || self.may_retry()
                }
                FailedAttempt::NotRun(cause) => {
                    self.reached_attempts += 1;
                    if *cause == UPSTREAMS_FULL && self.possible_runs == 0 {
                        self.return_to_queue();
                    }
                    self.possible_runs == 0 || self.may_retry()
                }
                FailedAttempt::MayHaveRun(_) | FailedAttempt::ErrorResponse(_) => {
                    self.record_possible_run();
                    self.may_retry()
                }
            };
            // An earlier failure of a request that may have run is reported to the caller rather
            // than a later attempt that did not run it.
            last = match (last, failed) {
                (Some(earlier), FailedAttempt::NotRun(_) | FailedAttempt::NotSent(_))
                    if self.possible_runs > 0 =>
                {
                    Some(earlier)
                }
                (_, failed) => Some(failed),
            };
            if !can_continue || self.attempt_count() >= MAX_UPSTREAMS_TRIED {
                return self.give_up(last, "no_attempt_left");
            }
        }
    }

    fn attempt_count(&self) -> usize {
        (self.unreached_attempts + self.reached_attempts) as usize
    }

    /// Ends the start of a request that a full upstream did not run. If the service is scarce, the
    /// request waits for its turn again, and any upstream may take it then.
    fn return_to_queue(&mut self) {
        if self.ticket.as_ref().is_some_and(|it| it.record_full(&self.request.service)) {
            self.tried.pop();
            self.ticket = None;
        }
    }

    /// Ends a request that is refused before it was sent, or before it was sent again.
    fn refuse(&self, refusal: &RequestRefusal) -> Response<ResponseBody> {
        self.log_end("", refusal.kind.status(), refusal.kind.as_str());
        self.gateway.refuse(&self.request.head.request_id, refusal)
    }

    /// Ends a request that has no response shortly before the process ends. An upstream may be
    /// running it.
    fn end_at_shutdown(&self, upstream: &UpstreamName) -> Response<ResponseBody> {
        self.log_failure(upstream, "timeout", &"the host stops before there is a response");
        let message = "the host stops before an upstream answered";
        let refusal = RequestRefusal::unknown(RefusalKind::UpstreamTimeout, message);
        self.log_end(upstream, refusal.kind.status(), "host_stopped");
        self.gateway.refuse(&self.request.head.request_id, &refusal)
    }

    /// Returns whether the request may be sent to one more upstream although it may have run.
    pub(super) fn may_retry(&self) -> bool {
        self.request.route.retry_rule.may_retry()
            && self.possible_runs < self.request.route.max_attempts
    }

    /// Picks the upstream of the next attempt, and acquires a retry from the budget if an earlier
    /// attempt reached an upstream.
    ///
    /// `lost` is the upstream whose stream is to be continued; it is not picked again.
    ///
    /// # Errors
    ///
    /// There is no next attempt; the text is the reason for logs and the refusal.
    pub(super) fn next_upstream(
        &mut self,
        lost: Option<&UpstreamName>,
    ) -> Result<UpstreamPick, &'static str> {
        let now = self.gateway.now();
        if let Some(lost) = lost {
            self.tried.push(lost.clone());
        }
        if now >= self.request.expires_at {
            return Err("time_is_up");
        }
        let state = &mut *self.gateway.state.borrow_mut();
        if self.is_quarantined(now, &state.crashes) {
            return Err("quarantined");
        }
        let pick_request = PickRequest {
            service: &self.request.service,
            affinity: self.request.head.affinity,
            tried: &self.tried,
            has_cold_limit: self.request.cold_rate > 0.0,
            prefers_local: self.unreached_attempts >= UNREACHED_BEFORE_LOCAL,
        };
        if self.reached_attempts > 0
            && !std::mem::take(&mut self.is_retry_acquired)
            && !state.budget.try_acquire(now, &self.request.service, state.hosts_sharing_limits)
        {
            return Err("retry_budget");
        }
        let GatewayState { upstreams, members, hosts_sharing_limits, .. } = state;
        let cold_rate = |name: &UpstreamName| {
            host_cold_rate(self.request.cold_rate, *hosts_sharing_limits, |count| {
                members.is_among_first(now, name.as_str(), count)
            })
        };
        let work = Some(self.request.work());
        let pick = upstreams.pick_for(now, &pick_request, work.as_ref(), cold_rate).map_err(
            |refusal| {
                if refusal == PickRefusal::AllPaused {
                    self.return_delay = upstreams.earliest_return(now, &self.request.service);
                }
                refusal.as_str()
            },
        )?;
        self.gateway.metrics.count_pick(pick.reason.as_str());
        tracing::info!(
            request_id = %self.request.head.request_id,
            affinity = self.request.head.affinity.map(|it| format!("{it:016x}")),
            shared_tokens = self.request.head.shared_tokens,
            upstream = %pick.name,
            reason = pick.reason.as_str(),
            rank = pick.rank,
            load = pick.load,
            mean = pick.mean,
            own_in_flight = pick.own_in_flight,
            open = pick.open_count,
            report_age_ms = pick.report_age.map(|it| it.as_millis() as u64),
            slowness = pick.slowness,
            prompt_upstreams = pick.prompt_upstreams,
            expected_ms = pick.work.map(|it| it.first_event.as_millis() as u64),
            work_ms = pick.work.map(|it| it.total.as_millis() as u64),
            remaining_ms = pick.work.map(|it| it.remaining.as_millis() as u64),
            cached_tokens = pick.work.map(|it| it.cached_tokens),
            prompt_holder = pick.prompt_holder.as_ref().map(|it| it.name.as_str()),
            attempt = self.tried.len() + 1,
            "upstream_picked"
        );
        Ok(pick)
    }

    /// Returns whether the request or a part of its prompt is blocked, and logs it.
    fn is_quarantined(&self, now: Instant, crashes: &CrashDetector) -> bool {
        let part = crashes.blocked_part(now, &self.request.head.shared_parts);
        let is_blocked = || {
            let verdict = crashes.check(now, self.request.fingerprint());
            matches!(verdict, CrashVerdict::Blocked { .. })
        };
        let is_quarantined = part.is_some() || (!crashes.is_empty() && is_blocked());
        if is_quarantined {
            tracing::warn!(
                request_id = %self.request.head.request_id,
                fingerprint = %self.request.fingerprint(),
                part = part.map(tracing::field::display),
                failed_attempts = self.tried.len(),
                "request_quarantined"
            );
        }
        is_quarantined
    }

    /// Acquires a retry from the budget in order to abandon an upstream that is slow but has not
    /// failed. Returns false if the request may not be retried, there is no reachable alternative,
    /// or the budget is used up; the attempt then continues.
    pub(super) fn try_acquire_early_retry(&mut self) -> bool {
        let now = self.gateway.now();
        if !self.request.route.retry_rule.may_retry()
            || self.possible_runs + 1 >= self.request.route.max_attempts
        {
            return false;
        }
        let state = &mut *self.gateway.state.borrow_mut();
        let has_reachable_alternative =
            state.upstreams.has_reachable_alternative(now, &self.request.service, &self.tried);
        if has_reachable_alternative
            && state.budget.try_acquire(now, &self.request.service, state.hosts_sharing_limits)
        {
            self.is_retry_acquired = true;
        }
        self.is_retry_acquired
    }

    /// Counts an attempt in which an upstream ran the request or may have run it.
    pub(super) fn record_possible_run(&mut self) {
        self.reached_attempts += 1;
        self.possible_runs += 1;
    }

    /// Sends the request to the picked upstream. Abandons it at the deadline, or when it is slow
    /// and an early retry was acquired.
    async fn attempt(&mut self, pick: &UpstreamPick) -> AttemptOutcome {
        let slow_timeout = self.request.slow_timeout();
        let started = self.gateway.now();
        let (gateway, request) = (self.gateway.clone(), self.request.clone());
        let time_left = request.expires_at.saturating_duration_since(started);
        let mut pending = Box::pin(timeout(time_left, run_attempt(gateway, request, pick)));
        let result = tokio::select! {
            result = &mut pending => result,
            () = sleep(slow_timeout) => {
                if self.try_acquire_early_retry() {
                    drop(pending);
                    self.log_failure(&pick.name, "slow", &"no response in time");
                    return AttemptOutcome::Failed(FailedAttempt::MayHaveRun(
                        RefusalKind::UpstreamTimeout,
                    ));
                }
                pending.await
            }
        };
        if let (Ok(Ok(_)), Some(ticket)) = (&result, &self.ticket) {
            ticket.record_response();
        }
        match result {
            Err(_) => {
                self.log_failure(&pick.name, "timeout", &"the deadline of the request expired");
                AttemptOutcome::Failed(FailedAttempt::MayHaveRun(RefusalKind::UpstreamTimeout))
            }
            Ok(Ok(UsableResponse::Complete(response))) if response.status.is_server_error() => {
                AttemptOutcome::Failed(FailedAttempt::ErrorResponse(response))
            }
            Ok(Ok(UsableResponse::Complete(response))) => {
                self.log_end(&pick.name, response.status.as_u16(), "answered");
                AttemptOutcome::Response(Box::new(response.into_response()))
            }
            Ok(Ok(UsableResponse::Stream(source))) => {
                AttemptOutcome::Response(Box::new(relay(self.clone(), *source)))
            }
            Ok(Err(failed)) => AttemptOutcome::Failed(failed),
        }
    }

    /// Returns when a caller whose request has not run should come back: after half the latency
    /// target, or if all upstreams are paused, within as long after the first of them returns, so
    /// that not all callers come at once.
    fn retry_after(&self) -> Duration {
        let usual = self.request.retry_after();
        self.return_delay.map_or(usual, |it| it + usual.mul_f64(rand::random()))
    }

    /// Ends the request without a successful response: forwards the last error response of an
    /// upstream, or creates a refusal that says whether the request may have run.
    fn give_up(&self, last: Option<FailedAttempt>, reason: &'static str) -> Response<ResponseBody> {
        let detail = |text: &str| format!("{text} ({reason})");
        let refusal = match last {
            Some(FailedAttempt::ErrorResponse(response)) => {
                self.log_end("", response.status.as_u16(), reason);
                return response.into_response();
            }
            Some(FailedAttempt::MayHaveRun(kind)) => {
                RequestRefusal::unknown(kind, detail("no upstream answered to the end"))
            }
            Some(FailedAttempt::NotRun(_) | FailedAttempt::NotSent(_)) | None
                if self.possible_runs > 0 =>
            {
                RequestRefusal::unknown(
                    RefusalKind::UpstreamLost,
                    detail("no upstream answered to the end"),
                )
            }
            Some(FailedAttempt::NotRun(cause) | FailedAttempt::NotSent(cause)) => {
                RequestRefusal::not_run(RefusalKind::UpstreamUnreachable, detail(cause))
                    .with_retry_after(self.retry_after())
            }
            None => RequestRefusal::not_run(RefusalKind::NoUpstream, detail("no upstream is free"))
                .with_retry_after(self.retry_after()),
        };
        self.refuse(&refusal)
    }

    pub(super) fn log_failure(
        &self,
        upstream: &UpstreamName,
        kind: &'static str,
        error: &dyn ToString,
    ) {
        log_failure(&self.gateway, &self.request, upstream, kind, error);
    }

    /// Logs the end of the request and counts its outcome.
    pub(super) fn log_end(&self, upstream: impl AsRef<str>, status: u16, outcome: &'static str) {
        let request = &self.request;
        let labels = RequestLabels {
            route: Some(&request.route.name),
            team: request.team.as_ref().map(|it| &it.name),
            class: None,
        };
        self.gateway.metrics.count_request(labels, outcome);
        tracing::info!(
            request_id = %request.head.request_id,
            route = %request.route.name,
            team = request.team.as_ref().map_or("", |it| it.name.as_str()),
            version = request.table_version,
            upstream = upstream.as_ref(),
            status,
            outcome,
            failed_attempts = self.tried.len(),
            total_ms =
                self.gateway.now().saturating_duration_since(request.arrived).as_millis() as u64,
            "request_ended"
        );
    }
}

impl Gateway {
    /// Counts a refusal and creates the response that reports it to the caller.
    fn refuse(&self, request_id: &str, refusal: &RequestRefusal) -> Response<ResponseBody> {
        self.metrics.count_refusal(refusal.kind.as_str());
        let body = CompleteBody::new(vec![Bytes::from(refusal.body(request_id))]);
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
