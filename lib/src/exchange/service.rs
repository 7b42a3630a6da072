//! Requests to services, except for those that must run at most once.

use super::{MAX_ATTEMPTS, RequestRun, refuse};
use crate::{
    control::{DispatchTarget, RequestEnd},
    front::{CallerRequest, CallerResponder, OutcomeKind},
};

/// Methods whose requests may be retried after an unknown outcome.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl RequestRun<'_> {
    /// Serves a request to a service; `original` is the request with the caller's own headers.
    pub(super) fn serve_service(
        &mut self,
        original: &CallerRequest,
        responder: CallerResponder,
    ) -> RequestEnd {
        let service =
            self.admission.service.clone().expect("the catalogue check requires a service");
        if self.admission.runs_at_most_once {
            return self.serve_operation(original, responder);
        }
        let target = DispatchTarget::Service(service);
        let is_idempotent = IDEMPOTENT_METHODS.contains(&self.request.method.as_str());
        let mut attempt = 0;
        loop {
            attempt += 1;
            let guard = match self.dispatch(&target, 1, false) {
                Ok(guard) => guard,
                Err(refusal) => return refuse(responder, &refusal),
            };
            // If a request fails on a reused connection, it is not known whether it was read.
            let failed = match self.call(&guard, &self.service_headers(), is_idempotent) {
                Ok(response) => match self.read_complete_response(guard, response) {
                    Ok(response) => return self.send_response(responder, response),
                    Err(failed) => failed,
                },
                Err(error) => self.handle_call_error(guard, &error),
            };
            let may_resend = is_idempotent || failed.refusal.outcome == OutcomeKind::NotRun;
            if attempt >= MAX_ATTEMPTS || !may_resend || !failed.may_retry {
                return refuse(responder, &failed.refusal);
            }
        }
    }

    pub(super) fn service_headers(&self) -> Vec<(String, String)> {
        let mut headers = self.request.headers.clone();
        headers.push(("x-team".into(), self.admission.team.as_str().to_owned()));
        headers
    }
}
