//! Chat requests: streamed answers, retries and resumption.

use std::time::Instant;

use super::{
    FailedAttempt, MAX_ATTEMPTS, RequestRun, WholeAnswer, lost_refusal, refuse,
    relay::{RelayEnd, relay_events},
};
use crate::{
    control::{DispatchEnd, DispatchGuard, DispatchTarget, RequestEnd},
    front::{BodyWriter, CallerRequest, CallerResponder, ChatRequest, OutcomeKind, RequestRefusal},
    upstream::UpstreamResponse,
};

/// Statuses by which an engine says that it did not take the request.
const REFUSED_STATUSES: [u16; 2] = [429, 503];

/// How much of an answer the caller has.
enum StreamState {
    Waiting(CallerResponder),
    Started { writer: BodyWriter, delivered: u64 },
}

enum RelayOutcome {
    Ended(RequestEnd),
    Broken(StreamState),
}

impl RequestRun<'_> {
    /// Serves a chat request; `original` is the request with the caller's own headers.
    pub(super) fn chat(
        &mut self,
        original: &CallerRequest,
        responder: CallerResponder,
    ) -> RequestEnd {
        let chat = match ChatRequest::parse(original, &self.admission.team) {
            Ok(chat) => chat,
            Err(refusal) => return refuse(responder, &refusal),
        };
        let target = DispatchTarget::Chat { model: chat.model.clone(), chat: chat.chat.clone() };
        let mut stream = StreamState::Waiting(responder);
        let mut attempt = 0;
        loop {
            attempt += 1;
            let guard = match self.dispatch(&target, chat.work_tokens, stream.delivered() > 0) {
                Ok(guard) => guard,
                Err(refusal) => return stream.fail(&refusal),
            };
            let headers = self.chat_headers(&chat, stream.delivered());
            let failed = match self.call(&guard, &headers, true) {
                Ok(answer) if is_event_stream(&answer) => match self.relay(guard, answer, stream) {
                    RelayOutcome::Ended(end) => return end,
                    RelayOutcome::Broken(broken) => {
                        stream = broken;
                        FailedAttempt { refusal: lost_refusal(), may_retry: true }
                    }
                },
                Ok(answer)
                    if REFUSED_STATUSES.contains(&answer.status) && attempt < MAX_ATTEMPTS =>
                {
                    self.tried.push(guard.permit().upstream.clone());
                    guard.end(DispatchEnd::Cancelled);
                    continue;
                }
                Ok(answer) => match self.read_whole(guard, answer) {
                    Ok(whole) => return self.answer_stream(stream, whole),
                    Err(failed) => failed,
                },
                Err(error) => self.failed_call(guard, &error),
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

    fn relay(
        &mut self,
        guard: DispatchGuard,
        answer: UpstreamResponse,
        stream: StreamState,
    ) -> RelayOutcome {
        let UpstreamResponse { status, headers, incarnation, body } = answer;
        let (mut writer, mut delivered) = stream.start(status, &headers);
        let clock = self.exchange.clock.clone();
        let mut last_piece: Option<Instant> = None;
        let end = relay_events(body, &mut |events, count| {
            let now = clock.now();
            if let Some(last) = last_piece.replace(now) {
                let gap = now.saturating_duration_since(last);
                self.exchange.metrics.chunk_gap(&self.admission.class, gap);
            }
            if delivered == 0 {
                self.note_first_piece(&guard, incarnation);
            }
            writer.write(events)?;
            delivered += count;
            Ok(())
        });
        match end {
            RelayEnd::Complete => {
                guard.end(DispatchEnd::Complete);
                match writer.finish() {
                    Ok(()) => RelayOutcome::Ended(self.answered()),
                    Err(_) => RelayOutcome::Ended(RequestEnd::CallerDisconnected),
                }
            }
            RelayEnd::CallerGone => {
                guard.end(DispatchEnd::Cancelled);
                RelayOutcome::Ended(RequestEnd::CallerDisconnected)
            }
            RelayEnd::Broken(reason) => {
                let upstream = guard.permit().upstream.clone();
                tracing::warn!(
                    request_id = %self.request.request_id, %upstream, delivered, %reason,
                    "stream_broken"
                );
                self.tried.push(upstream);
                self.may_have_run = true;
                guard.end(DispatchEnd::UpstreamLost);
                RelayOutcome::Broken(StreamState::Started { writer, delivered })
            }
        }
    }

    fn answer_stream(&self, stream: StreamState, whole: WholeAnswer) -> RequestEnd {
        match stream {
            StreamState::Waiting(responder) => self.answer(responder, whole),
            // A whole answer cannot continue a stream.
            StreamState::Started { .. } => RequestEnd::Truncated,
        }
    }
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
            Self::Waiting(responder) => {
                (responder.start_streaming(status, headers, OutcomeKind::Ran), 0)
            }
            Self::Started { writer, delivered } => (writer, delivered),
        }
    }

    /// Refuses the request, or cuts an answer that has begun.
    fn fail(self, refusal: &RequestRefusal) -> RequestEnd {
        match self {
            Self::Waiting(responder) => refuse(responder, refusal),
            Self::Started { .. } => RequestEnd::Truncated,
        }
    }
}

fn is_event_stream(answer: &UpstreamResponse) -> bool {
    answer.status == 200
        && answer.header("content-type").is_some_and(|it| it.starts_with("text/event-stream"))
}
