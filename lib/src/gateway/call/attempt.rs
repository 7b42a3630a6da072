//! One attempt at one upstream.

use std::{error::Error, rc::Rc, time::Instant};

use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode, Uri,
    body::{Bytes, Incoming},
    header::HeaderMap,
};

use super::{admission::AdmittedCall, headers::end_to_end};
use crate::{
    front::RefusalKind,
    gateway::{
        body::ResponseBody,
        crashes::{LostAttempt, UpstreamProcess},
        dialect::{AttemptHead, ResponseHead},
        fleet::Gateway,
        health::AttemptEnd,
        pool::{PoolKey, SendError, UpstreamExchange},
        stream::StreamSource,
        upstreams::UpstreamPick,
    },
    names::UpstreamName,
};

/// Largest response that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A response that was read to its end.
pub(in crate::gateway) struct WholeAnswer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How one attempt ended without a response for the caller.
pub(in crate::gateway) enum FailedAttempt {
    /// Nothing of the request reached the upstream.
    NotSent(&'static str),
    /// The upstream did not run the request and never will.
    NotRun(&'static str),
    /// The upstream may have run the request.
    MayHaveRun(RefusalKind),
    /// The upstream ran the request and answered with a failure of its own.
    Answered(WholeAnswer),
}

/// Counts a request at an upstream until it ends; without a verdict it counts as cancelled.
pub(in crate::gateway) struct AttemptGuard {
    gateway: Rc<Gateway>,
    call: Rc<AdmittedCall>,
    process: UpstreamProcess,
    dispatched: Instant,
    end: AttemptEnd,
}

impl AttemptGuard {
    fn new(gateway: &Rc<Gateway>, call: &Rc<AdmittedCall>, pick: &UpstreamPick) -> Self {
        gateway.state.borrow_mut().upstreams.request_started(&pick.name);
        Self {
            gateway: gateway.clone(),
            call: call.clone(),
            process: UpstreamProcess { upstream: pick.name.clone(), incarnation: pick.incarnation },
            dispatched: gateway.now(),
            end: AttemptEnd::Cancelled,
        }
    }

    /// Ends the attempt with a verdict on the upstream.
    pub(in crate::gateway) fn end(mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Ends an attempt that was lost with its connection. Whether the upstream crashed shows in the
    /// connection that is tried next.
    pub(in crate::gateway) fn end_lost(self, has_response: bool) {
        if let Some(fingerprint) = self.call.fingerprint() {
            let run = LostAttempt { fingerprint, dispatched: self.dispatched, has_response };
            let now = self.gateway.now();
            self.gateway.state.borrow_mut().crashes.record_loss(now, &self.process, run);
        }
        let (gateway, upstream) = (self.gateway.clone(), self.process.upstream.clone());
        self.end(AttemptEnd::Lost);
        gateway.eject(&upstream, false);
    }

    pub(in crate::gateway) fn upstream(&self) -> &UpstreamName {
        &self.process.upstream
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let state = &mut *self.gateway.state.borrow_mut();
        state.upstreams.request_ended(now, &self.process.upstream, self.end);
        let is_complete = self.end == AttemptEnd::Complete;
        if is_complete || matches!(self.end, AttemptEnd::Failed | AttemptEnd::Lost) {
            state.outcomes.record(now, &self.process.upstream, is_complete);
        }
        if is_complete
            && !state.crashes.is_empty()
            && let Some(fingerprint) = self.call.fingerprint()
        {
            state.crashes.record_completion(now, fingerprint, &self.process.upstream);
        }
    }
}

/// An upstream's response head with the body still to be read.
pub(in crate::gateway) struct OpenAnswer {
    pub(in crate::gateway) response: Response<Incoming>,
    pub(in crate::gateway) exchange: UpstreamExchange,
    pub(in crate::gateway) guard: AttemptGuard,
}

/// Logs and counts a failed attempt.
pub(super) fn log_failure(
    gateway: &Gateway,
    call: &AdmittedCall,
    upstream: &UpstreamName,
    kind: &'static str,
    error: &dyn ToString,
) {
    gateway.metrics.upstream_error(upstream, kind);
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
pub(super) enum Answer {
    Whole(WholeAnswer),
    Stream(Box<StreamSource>),
}

/// Sends the request to one upstream and reads the response, or the first events of a stream.
pub(super) async fn attempt(
    gateway: Rc<Gateway>,
    call: Rc<AdmittedCall>,
    pick: &UpstreamPick,
) -> Result<Answer, FailedAttempt> {
    let open = open_answer(&gateway, &call, pick, None).await?;
    if call.route.retry_rule.is_stream() && open.response.status().is_success() {
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
pub(in crate::gateway) async fn open_answer(
    gateway: &Rc<Gateway>,
    call: &Rc<AdmittedCall>,
    pick: &UpstreamPick,
    resume_after: Option<u64>,
) -> Result<OpenAnswer, FailedAttempt> {
    let guard = AttemptGuard::new(gateway, call, pick);
    let request = upstream_request(gateway, call, pick, resume_after);
    let key = PoolKey {
        upstream: pick.name.clone(),
        incarnation: pick.incarnation,
        address: pick.address,
    };
    let sent = gateway.pool.send(key, request, call.route.retry_rule.may_retry()).await;
    let (response, exchange) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            log_failure(gateway, call, &pick.name, "unreachable", &error);
            if matches!(error, SendError::Lost(_)) {
                guard.end_lost(false);
                return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
            }
            guard.end(AttemptEnd::Unreachable);
            gateway.eject(&pick.name, matches!(error, SendError::ConnectTimeout));
            return Err(FailedAttempt::NotSent("no upstream was reached"));
        }
    };
    let status = response.status();
    let head = gateway.dialect.read_response(status, response.headers(), &call.head.request_id);
    record_response_head(gateway, &pick.name, &head);
    if head.is_misdirected {
        log_failure(gateway, call, &pick.name, "replaced", &"another upstream has the address");
        let now = gateway.now();
        gateway.state.borrow_mut().upstreams.address_reused(now, &pick.name);
        return Err(FailedAttempt::NotRun("the upstream is gone"));
    }
    if head.is_not_run {
        log_failure(gateway, call, &pick.name, "refused", &status);
        finish_refusal(response, exchange).await;
        return Err(FailedAttempt::NotRun("the upstreams are full"));
    }
    if !head.is_for_request || (status.is_success() && !head.is_signed) {
        log_failure(gateway, call, &pick.name, "wrong_answer", &status);
        guard.end(AttemptEnd::Failed);
        return Err(FailedAttempt::MayHaveRun(RefusalKind::UpstreamLost));
    }
    Ok(OpenAnswer { response, exchange, guard })
}

/// Adopts what a response head says of its upstream.
fn record_response_head(gateway: &Gateway, upstream: &UpstreamName, head: &ResponseHead) {
    let now = gateway.now();
    let upstreams = &mut gateway.state.borrow_mut().upstreams;
    if let Some(load) = head.load {
        upstreams.record_load(now, upstream, load);
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
    let OpenAnswer { response, exchange, guard } = open;
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
        prompt_holder: pick.prompt_holder.as_ref().map(|it| it.address),
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

impl WholeAnswer {
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(Either::Left(Full::new(self.body)));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
