//! Chat requests: streamed responses, their retries and their resumption.

use std::time::Instant;

use super::{
    CompleteResponse, FailedAttempt, MAX_ATTEMPTS, RequestRun, refuse,
    relay::{RelayEnd, relay_events},
    upstream_lost_refusal,
};
use crate::{
    control::{DispatchEnd, DispatchGuard, DispatchTarget, RequestEnd},
    front::{BodyWriter, CallerRequest, CallerResponder, ChatRequest, OutcomeKind, RequestRefusal},
    intake::record_cut_connection,
    upstream::UpstreamResponse,
};

/// Statuses with which an engine refuses a request without running it.
const REFUSED_STATUSES: [u16; 2] = [429, 503];

/// Progress of the response to the caller.
enum StreamState {
    NotStarted(CallerResponder),
    /// `delivered` is the number of events that were sent to the caller.
    Started {
        writer: BodyWriter,
        delivered: u64,
    },
}

/// How an attempt to relay a stream ended. A broken stream can be resumed at another engine.
enum RelayOutcome {
    Ended(RequestEnd),
    Broken(StreamState),
}

impl RequestRun<'_> {
    /// Serves a chat request; `original` is the request with the caller's own headers.
    pub(super) fn serve_chat(
        &mut self,
        original: &CallerRequest,
        responder: CallerResponder,
    ) -> RequestEnd {
        let chat = match ChatRequest::parse(original, &self.admission.team) {
            Ok(chat) => chat,
            Err(refusal) => return refuse(responder, &refusal),
        };
        let target = DispatchTarget::Chat { model: chat.model.clone(), chat: chat.chat.clone() };
        let mut stream = StreamState::NotStarted(responder);
        let mut attempt = 0;
        loop {
            attempt += 1;
            let guard = match self.dispatch(&target, chat.work_tokens, stream.delivered() > 0) {
                Ok(guard) => guard,
                Err(refusal) => return stream.fail(&refusal),
            };
            let headers = self.chat_headers(&chat, stream.delivered());
            let failed = match self.call(&guard, &headers, true) {
                Ok(response) if is_event_stream(&response) => {
                    match self.relay_stream(guard, response, stream) {
                        RelayOutcome::Ended(end) => return end,
                        RelayOutcome::Broken(broken) => {
                            stream = broken;
                            FailedAttempt { refusal: upstream_lost_refusal(), may_retry: true }
                        }
                    }
                }
                Ok(response)
                    if REFUSED_STATUSES.contains(&response.status) && attempt < MAX_ATTEMPTS =>
                {
                    self.tried.push(guard.permit().upstream.clone());
                    guard.end(DispatchEnd::Cancelled);
                    continue;
                }
                Ok(response) => match self.read_complete_response(guard, response) {
                    Ok(response) => return self.finish_with_response(stream, response),
                    Err(failed) => failed,
                },
                Err(error) => self.handle_call_error(guard, &error),
            };
            if attempt >= MAX_ATTEMPTS || !failed.may_retry {
                return stream.fail(&failed.refusal);
            }
        }
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

    fn relay_stream(
        &mut self,
        guard: DispatchGuard,
        response: UpstreamResponse,
        stream: StreamState,
    ) -> RelayOutcome {
        let UpstreamResponse { status, headers, incarnation, body } = response;
        let (mut writer, mut delivered) = stream.start(status, &headers);
        let clock = self.exchange.clock.clone();
        let mut last_chunk: Option<Instant> = None;
        let end = relay_events(body, &mut |events, count| {
            let now = clock.now();
            if let Some(last) = last_chunk.replace(now) {
                let gap = now.saturating_duration_since(last);
                self.exchange.metrics.record_chunk_gap(&self.admission.class, gap);
            }
            if delivered == 0 {
                self.record_first_chunk(&guard, incarnation);
            }
            writer.write(events)?;
            delivered += count;
            Ok(())
        });
        match end {
            RelayEnd::Complete => {
                guard.end(DispatchEnd::Complete);
                match writer.finish() {
                    Ok(()) => RelayOutcome::Ended(self.completed_end()),
                    Err(_) => RelayOutcome::Ended(RequestEnd::CallerDisconnected),
                }
            }
            RelayEnd::CallerDisconnected => {
                guard.end(DispatchEnd::Cancelled);
                RelayOutcome::Ended(RequestEnd::CallerDisconnected)
            }
            RelayEnd::Broken(reason) => {
                self.leave_stream(guard, delivered, &reason, DispatchEnd::UpstreamLost);
                RelayOutcome::Broken(StreamState::Started { writer, delivered })
            }
            RelayEnd::CutOff(reason) => {
                record_cut_connection();
                self.leave_stream(guard, delivered, &reason, DispatchEnd::BadResponse);
                RelayOutcome::Broken(StreamState::Started { writer, delivered })
            }
        }
    }

    /// Logs why a stream is not complete, and ends its attempt.
    fn leave_stream(
        &mut self,
        guard: DispatchGuard,
        delivered: u64,
        reason: &str,
        end: DispatchEnd,
    ) {
        let upstream = guard.permit().upstream.clone();
        tracing::warn!(
            request_id = %self.request.request_id, %upstream, delivered, reason,
            "stream_broken"
        );
        self.tried.push(upstream);
        self.may_have_run = true;
        guard.end(end);
    }

    fn finish_with_response(&self, stream: StreamState, response: CompleteResponse) -> RequestEnd {
        match stream {
            StreamState::NotStarted(responder) => self.send_response(responder, response),
            // A response that is not a stream cannot continue one.
            StreamState::Started { .. } => RequestEnd::Truncated,
        }
    }
}

impl StreamState {
    fn delivered(&self) -> u64 {
        match self {
            Self::NotStarted(_) => 0,
            Self::Started { delivered, .. } => *delivered,
        }
    }

    fn start(self, status: u16, headers: &[(String, String)]) -> (BodyWriter, u64) {
        match self {
            Self::NotStarted(responder) => {
                (responder.start_streaming(status, headers, OutcomeKind::Ran), 0)
            }
            Self::Started { writer, delivered } => (writer, delivered),
        }
    }

    /// Refuses the request, or cuts off a response that has already started.
    fn fail(self, refusal: &RequestRefusal) -> RequestEnd {
        match self {
            Self::NotStarted(responder) => refuse(responder, refusal),
            Self::Started { .. } => RequestEnd::Truncated,
        }
    }
}

fn is_event_stream(response: &UpstreamResponse) -> bool {
    response.status == 200
        && response.header("content-type").is_some_and(|it| it.starts_with("text/event-stream"))
}
