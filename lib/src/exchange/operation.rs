//! Requests that may run at most once.

use std::{sync::Arc, time::Duration};

use super::{ExchangeHandler, RequestRun, WholeAnswer, refuse};
use crate::{
    catalogue::KeyHash,
    control::{
        AdmitRequest, ControlCommand, DispatchEnd, DispatchGuard, DispatchTarget,
        ForwardedOperation, OperationCommand, OperationEnd, OperationLocation, OperationReply,
        OperationRequest, OperationStart, OperationVerdict, PeerReply, PeerRequest,
        RequestAdmission, RequestEnd,
    },
    front::{CallerRequest, CallerResponder, OutcomeKind, RefusalKind, RequestRefusal},
    membership::HostRecord,
    names::HostName,
    operation::{
        ByteString, ForwardId, OperationHandle, OperationRecord, RequestDigest, StoreReply,
        StoredResponse,
    },
    peer::PeerError,
};

/// Header that carries the operation key.
const OPERATION_KEY: &str = "idempotency-key";

/// Longest operation key, in bytes.
const MAX_OPERATION_KEY_BYTES: usize = 256;

/// Time until a backup has stored an intent.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Time until the deciding host has answered a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a forwarded call beyond the wait in the queue and the answer of the service.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);

/// Header by which a caller sees that the operation ran on an earlier call.
const REPLAYED: &str = "x-replayed";

/// An operation that passed the last check.
struct BegunOperation {
    handle: OperationHandle,
    /// Hosts that may hold a copy of the intent.
    offered: Vec<HostName>,
}

impl RequestRun<'_> {
    /// Serves a call on a route whose requests run at most once.
    pub(super) fn operation(
        &mut self,
        original: &CallerRequest,
        responder: CallerResponder,
    ) -> RequestEnd {
        let key = match operation_key(original) {
            Ok(key) => key.to_owned(),
            Err(refusal) => return refuse(responder, &refusal),
        };
        let team = self.admission.team.clone();
        let place = self.ask(|reply| OperationCommand::Locate(team, key.clone(), reply));
        let answer = match place {
            Some(OperationLocation::Local) => self.run_operation(&key, None),
            Some(OperationLocation::Forward { host, id }) => self.forward(&host, key, id),
            Some(OperationLocation::Refused(refusal)) => OperationReply::Refused(refusal),
            None => OperationReply::Refused(stopping()),
        };
        match answer {
            OperationReply::Ran { response, is_replay } => {
                self.send_response(responder, &response, is_replay)
            }
            OperationReply::Refused(refusal) => refuse(responder, &refusal),
        }
    }

    fn send_response(
        &self,
        responder: CallerResponder,
        response: &StoredResponse,
        is_replay: bool,
    ) -> RequestEnd {
        let mut headers = response.headers.clone();
        if is_replay {
            headers.push((REPLAYED.to_owned(), "true".to_owned()));
        }
        let status = if response.status == 0 { 200 } else { response.status };
        responder.respond(status, &headers, OutcomeKind::Ran, response.body.0.clone());
        self.answered()
    }

    fn forward(&self, host: &HostRecord, key: String, id: ForwardId) -> OperationReply {
        let peers = &self.exchange.peers;
        // A paused or cut-off host takes a connection and stays silent. Asking first keeps the
        // call from waiting for it, and the refusal is true because nothing was sent.
        if peers.call(host.address, &PeerRequest::Probe, PROBE_TIMEOUT).is_err() {
            return OperationReply::Refused(undecided("the deciding host does not answer"));
        }
        let operation = ForwardedOperation {
            request: self.request.clone(),
            caller_key: self.admission.key,
            operation_key: key,
            id,
        };
        let request = PeerRequest::Operation(Box::new(operation));
        let timeout = self.admission.max_queue_time + self.head_timeout() + FORWARD_MARGIN;
        match peers.call(host.address, &request, timeout) {
            Ok(PeerReply::Operation(answer)) => answer,
            Ok(_) => OperationReply::Refused(undecided("the deciding host takes no calls")),
            Err(PeerError::NotSent(_)) => {
                OperationReply::Refused(undecided("the deciding host was not reached"))
            }
            Err(PeerError::Ambiguous(_)) => OperationReply::Refused(RequestRefusal::unknown(
                RefusalKind::OperationUnknown,
                "the answer of the deciding host was lost",
            )),
        }
    }

    /// Decides about a call on this host and runs it if it may run.
    ///
    /// A repeat is answered before it waits for an upstream. Any other call waits for one before
    /// the decision, because a decision is valid for a few seconds only.
    fn run_operation(&mut self, key: &str, forward: Option<ForwardId>) -> OperationReply {
        let mut request = OperationRequest {
            team: self.admission.team.clone(),
            key: key.to_owned(),
            digest: RequestDigest::of(
                &self.request.method,
                &self.request.target,
                &self.request.body,
            ),
            forward,
        };
        match self.ask(|reply| OperationCommand::Preview(request.clone(), reply)) {
            Some(None) => {}
            Some(Some(verdict)) => return answer_of(verdict),
            None => return OperationReply::Refused(stopping()),
        }
        request.forward = None;
        let service =
            self.admission.service.clone().expect("the catalogue check requires a service");
        let guard = match self.dispatch(&DispatchTarget::Service(service), 1, false) {
            Ok(guard) => guard,
            Err(refusal) => return OperationReply::Refused(refusal),
        };
        let begun = match self.ask(|reply| OperationCommand::Decide(request, reply)) {
            Some(OperationStart::Dispatch(handle)) => self.begin(handle, Vec::new()),
            Some(OperationStart::OfferBackup { handle, record, backups }) => self
                .offer(&handle, &record, &backups)
                .and_then(|offered| self.begin(handle, offered)),
            Some(OperationStart::End(verdict)) => Err(answer_of(verdict)),
            None => Err(OperationReply::Refused(stopping())),
        };
        match begun {
            Ok(begun) => self.send_operation(guard, begun),
            Err(answer) => {
                guard.end(DispatchEnd::Cancelled);
                answer
            }
        }
    }

    /// Copies the intent to one backup; returns the hosts that may hold it.
    fn offer(
        &self,
        handle: &OperationHandle,
        record: &OperationRecord,
        backups: &[HostRecord],
    ) -> Result<Vec<HostName>, OperationReply> {
        let mut offered = Vec::new();
        let mut conflict = None;
        for backup in backups {
            let request = PeerRequest::StoreIntent {
                sender: self.exchange.host.clone(),
                record: Box::new(record.clone()),
            };
            offered.push(backup.name.clone());
            match self.exchange.peers.call(backup.address, &request, BACKUP_TIMEOUT) {
                Ok(PeerReply::Stored(StoreReply::Stored)) => {
                    let command =
                        OperationCommand::BackupStored(handle.clone(), backup.name.clone());
                    self.notify(command);
                    return Ok(offered);
                }
                Ok(PeerReply::Stored(StoreReply::Conflict(record))) => {
                    conflict = Some((Box::new(record), backup.name.clone()));
                    break;
                }
                Ok(_) | Err(PeerError::Ambiguous(_)) => {}
                Err(PeerError::NotSent(_)) => {
                    offered.pop();
                }
            }
        }
        let verdict = self.ask(|reply| OperationCommand::BackupFailed {
            handle: handle.clone(),
            offered,
            conflict,
            reply,
        });
        Err(verdict.map_or_else(|| OperationReply::Refused(stopping()), answer_of))
    }

    /// The last check before the socket write.
    fn begin(
        &self,
        handle: OperationHandle,
        offered: Vec<HostName>,
    ) -> Result<BegunOperation, OperationReply> {
        let verdict = self.ask(|reply| OperationCommand::BeginDispatch {
            handle: handle.clone(),
            offered: offered.clone(),
            reply,
        });
        match verdict {
            Some(None) => Ok(BegunOperation { handle, offered }),
            Some(Some(verdict)) => Err(answer_of(verdict)),
            None => Err(OperationReply::Refused(stopping())),
        }
    }

    fn send_operation(&mut self, guard: DispatchGuard, begun: BegunOperation) -> OperationReply {
        let answer = match self.call(&guard, &self.service_headers(), false) {
            Ok(answer) => self.read_whole(guard, answer).map_err(|it| it.refusal),
            Err(error) => Err(self.failed_call(guard, &error).refusal),
        };
        let (end, answer) = match answer {
            Ok(whole) => {
                let response = stored_response(whole);
                let end = OperationEnd::Finished(Some(response.clone()));
                (end, OperationReply::Ran { response: Arc::new(response), is_replay: false })
            }
            Err(refusal) if refusal.outcome == OutcomeKind::NotRun => {
                (OperationEnd::BeforeSend, OperationReply::Refused(refusal))
            }
            Err(refusal) => (OperationEnd::AfterSend, OperationReply::Refused(refusal)),
        };
        let BegunOperation { handle, offered } = begun;
        self.notify(OperationCommand::Ended { handle, offered, end });
        answer
    }

    fn notify(&self, command: OperationCommand) {
        self.exchange.control.send(ControlCommand::Operation(Box::new(command)));
    }

    fn ask<T>(
        &self,
        command: impl FnOnce(crate::control::ReplySender<T>) -> OperationCommand,
    ) -> Option<T> {
        self.exchange.control.ask(|reply| ControlCommand::Operation(Box::new(command(reply))))
    }
}

impl ExchangeHandler {
    /// Issues an operation ticket to the team of the caller's key.
    pub(super) fn ticket(
        &self,
        request: &CallerRequest,
        key: Option<&str>,
        responder: CallerResponder,
    ) {
        if request.method != "POST" {
            let message = "tickets are issued on POST";
            return responder
                .refuse(&RequestRefusal::not_run(RefusalKind::MethodNotAllowed, message));
        }
        let key = key.map(KeyHash::of);
        let team = self.control.ask(|reply| ControlCommand::Authenticate(key, reply));
        let team = match team {
            Some(Ok(team)) => team,
            Some(Err(refusal)) => return responder.refuse(&refusal),
            None => return responder.refuse(&stopping()),
        };
        let ticket = self.control.ask(|reply| {
            ControlCommand::Operation(Box::new(OperationCommand::IssueTicket(team, reply)))
        });
        let Some(ticket) = ticket else {
            return responder.refuse(&stopping());
        };
        let headers = [("content-type".to_owned(), "application/json".to_owned())];
        let body = serde_json::json!({ "idempotency_key": ticket }).to_string();
        responder.respond(201, &headers, OutcomeKind::Ran, body.into_bytes());
    }

    /// Serves a call that another host forwarded because this one decides about it.
    pub fn serve_forwarded(&self, operation: ForwardedOperation) -> OperationReply {
        let ForwardedOperation { request, caller_key, operation_key, id } = operation;
        let admission = match self.check_forwarded(&request, caller_key) {
            Ok(admission) => admission,
            Err(refusal) => return OperationReply::Refused(refusal),
        };
        if !admission.runs_at_most_once {
            return OperationReply::Refused(undecided("the hosts' configurations differ"));
        }
        let mut run = RequestRun {
            exchange: self,
            started: self.clock.now(),
            request,
            admission,
            tried: Vec::new(),
            may_have_run: false,
            first_piece: None,
        };
        run.run_operation(&operation_key, Some(id))
    }

    fn check_forwarded(
        &self,
        request: &CallerRequest,
        key: Option<KeyHash>,
    ) -> Result<Arc<RequestAdmission>, RequestRefusal> {
        let admit =
            AdmitRequest { key, method: request.method.clone(), path: request.path().to_owned() };
        self.control
            .ask(|reply| ControlCommand::CheckAdmission(admit, reply))
            .unwrap_or_else(|| Err(stopping()))
    }
}

fn operation_key(request: &CallerRequest) -> Result<&str, RequestRefusal> {
    let key = request.header(OPERATION_KEY).ok_or_else(|| {
        let message = "this route needs an Idempotency-Key; POST /v1/operations issues one";
        RequestRefusal::not_run(RefusalKind::OperationKeyMissing, message)
    })?;
    if key.is_empty() || key.len() > MAX_OPERATION_KEY_BYTES {
        let message = format!("Idempotency-Key must have 1 to {MAX_OPERATION_KEY_BYTES} bytes");
        return Err(RequestRefusal::not_run(RefusalKind::InvalidRequest, message));
    }
    Ok(key)
}

fn stored_response(whole: WholeAnswer) -> StoredResponse {
    let WholeAnswer { status, headers, body } = whole;
    StoredResponse { status, headers, body: ByteString(body) }
}

fn answer_of(verdict: OperationVerdict) -> OperationReply {
    match verdict {
        OperationVerdict::Replay(response) => OperationReply::Ran { response, is_replay: true },
        OperationVerdict::Ran => OperationReply::Ran { response: Arc::default(), is_replay: true },
        OperationVerdict::Refused(refusal) => OperationReply::Refused(refusal),
    }
}

fn undecided(message: &str) -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::OperationUndecided, message)
        .with_retry_after(Duration::from_secs(1))
}

fn stopping() -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::Stopping, "the host is stopping")
}
