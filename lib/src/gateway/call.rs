//! One caller's request: attempts at upstreams, and the response or refusal.

mod admission;
mod attempt;
mod headers;

use std::rc::Rc;

use http_body_util::{Either, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{self, HeaderValue},
};
use tokio::time::{sleep, timeout};

use self::{
    admission::{AdmittedCall, admit, configuration_patience, read_body},
    attempt::{Answer, FailedAttempt, attempt, log_failure},
};
pub(super) use self::{
    attempt::{AttemptGuard, OpenAnswer, open_answer},
    headers::stream_head,
};
use super::{
    body::ResponseBody,
    cold::host_cold_rate,
    fleet::{Gateway, GatewayState},
    stream::open_stream,
    upstreams::{PickRefusal, PickRequest, UpstreamPick},
};
use crate::{
    front::{OutcomeKind, RefusalKind, RequestRefusal},
    names::UpstreamName,
    quarantine::CrashVerdict,
    telemetry::RequestLabels,
};

/// Upstreams that one request is offered to at most, with those that were not reached or refused.
const MAX_OFFERS: usize = 5;

/// Serves one request of a caller.
pub(super) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let _active = ActiveGuard::new(&gateway);
    let (parts, body) = request.into_parts();
    let head = gateway.dialect.read_request(&parts.headers);
    let table = gateway.wait_for_route_table(configuration_patience(&head)).await;
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
    gateway.state.borrow_mut().budget.record_request(arrived, &call.service);
    CallRun::new(gateway, Rc::new(call)).run().await
}

/// Counts a request as active until its response head is known.
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

/// What one attempt led to.
enum AttemptOutcome {
    Response(Box<Response<ResponseBody>>),
    Failed(FailedAttempt),
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
                FailedAttempt::NotSent(_) => self.runs == 0 || self.may_retry(),
                FailedAttempt::NotRun(_) => {
                    self.arrivals += 1;
                    self.runs == 0 || self.may_retry()
                }
                FailedAttempt::MayHaveRun(_) | FailedAttempt::Answered(_) => {
                    self.note_run();
                    self.may_retry()
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
    pub(super) fn may_retry(&self) -> bool {
        self.call.route.retry_rule.may_retry() && self.runs < self.call.route.max_attempts
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
        if !state.crashes.is_empty()
            && let Some(fingerprint) = self.call.fingerprint()
            && matches!(state.crashes.check(now, fingerprint), CrashVerdict::Blocked { .. })
        {
            tracing::warn!(
                request_id = %self.call.head.request_id,
                failed_attempts = self.tried.len(),
                "request_quarantined"
            );
            return Err("quarantined");
        }
        let request = PickRequest {
            service: &self.call.service,
            affinity: self.call.head.affinity,
            tried: &self.tried,
            has_cold_limit: self.call.cold_rate > 0.0,
        };
        if self.arrivals > 0
            && !std::mem::take(&mut self.is_charged)
            && !state.budget.try_acquire(now, &self.call.service, state.hosts_sharing_limits)
        {
            return Err("retry_budget");
        }
        let GatewayState { upstreams, members, hosts_sharing_limits, .. } = state;
        let cold_rate = |name: &UpstreamName| {
            host_cold_rate(self.call.cold_rate, *hosts_sharing_limits, |count| {
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
            prompt_holder = pick.prompt_holder.as_ref().map(|it| it.name.as_str()),
            attempt = self.tried.len() + 1,
            "upstream_picked"
        );
        Ok(pick)
    }

    /// Charges the budget for leaving an upstream that has not failed; returns whether it may.
    pub(super) fn may_leave(&mut self) -> bool {
        let now = self.gateway.now();
        if !self.call.route.retry_rule.may_retry() || self.runs + 1 >= self.call.route.max_attempts
        {
            return false;
        }
        let state = &mut *self.gateway.state.borrow_mut();
        let has_healthy_alternative =
            state.upstreams.has_healthy_alternative(now, &self.call.service, &self.tried);
        if has_healthy_alternative
            && state.budget.try_acquire(now, &self.call.service, state.hosts_sharing_limits)
        {
            self.is_charged = true;
        }
        self.is_charged
    }

    /// Counts an attempt after which an upstream may have run the request.
    pub(super) fn note_run(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    async fn attempt(&mut self, pick: &UpstreamPick) -> AttemptOutcome {
        let patience = self.call.patience();
        let started = self.gateway.now();
        let (gateway, call) = (self.gateway.clone(), self.call.clone());
        let time_left = call.ends.saturating_duration_since(started);
        let mut run = Box::pin(timeout(time_left, attempt(gateway, call, pick)));
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
            Ok(Ok(Answer::Whole(whole))) if whole.status.is_server_error() => {
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

    fn give_up(&self, last: Option<FailedAttempt>, reason: &'static str) -> Response<ResponseBody> {
        let message = |text: &str| format!("{text} ({reason})");
        let refusal = match last {
            Some(FailedAttempt::Answered(whole)) => {
                self.log_end("", whole.status.as_u16(), reason);
                return whole.into_response();
            }
            Some(FailedAttempt::MayHaveRun(kind)) => {
                RequestRefusal::unknown(kind, message("no upstream answered to the end"))
            }
            Some(FailedAttempt::NotRun(_) | FailedAttempt::NotSent(_)) | None if self.runs > 0 => {
                RequestRefusal::unknown(
                    RefusalKind::UpstreamLost,
                    message("no upstream answered to the end"),
                )
            }
            Some(FailedAttempt::NotRun(cause) | FailedAttempt::NotSent(cause)) => {
                RequestRefusal::not_run(RefusalKind::UpstreamUnreachable, message(cause))
                    .with_retry_after(self.call.retry_after())
            }
            None => {
                RequestRefusal::not_run(RefusalKind::NoUpstream, message("no upstream is free"))
                    .with_retry_after(self.call.retry_after())
            }
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

impl Gateway {
    /// Makes the response of a refusal.
    fn refuse(&self, request_id: &str, refusal: &RequestRefusal) -> Response<ResponseBody> {
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
