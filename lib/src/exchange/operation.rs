//! Requests to services that must run at most once.

use std::{sync::Arc, time::Duration};

use super::{CompleteResponse, ExchangeHandler, RequestRun, refuse};
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
const OPERATION_KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an operation key.
const MAX_OPERATION_KEY_BYTES: usize = 256;

/// Maximum time until a backup confirms that it has stored a record.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time until the deciding host replies to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for a forwarded request in addition to the wait in the queue and for the response
/// of the service.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);

/// Header that tells the caller that the operation ran on an earlier request.
const REPLAY_HEADER: &str = "x-replayed";

/// An operation that passed the final check and may be sent.
struct ReadyOperation {
    handle: OperationHandle,
    /// Hosts that may hold a copy of the record.
    offered: Vec<HostName>,
}

impl RequestRun<'_> {
    /// Serves a request on a route whose requests run at most once; `original` is the request with
    /// the caller's own headers.
    pub(super) fn serve_operation(
        &mut self,
        original: &CallerRequest,
        responder: CallerResponder,
    ) -> RequestEnd {
        let key = match operation_key(original) {
            Ok(key) => key.to_owned(),
            Err(refusal) => return refuse(responder, &refusal),
        };
        let team = self.admission.team.clone();
        let location = self.ask_control(|reply| OperationCommand::Locate(team, key.clone(), reply));
        let reply = match location {
            Some(OperationLocation::Local) => self.run_operation(&key, None),
            Some(OperationLocation::Forward { host, id }) => self.forward_operation(&host, key, id),
            Some(OperationLocation::Refused(refusal)) => OperationReply::Refused(refusal),
            None => OperationReply::Refused(stopping_refusal()),
        };
        match reply {
            OperationReply::Ran { response, is_replay } => {
                self.send_operation_response(responder, &response, is_replay)
            }
            OperationReply::Refused(refusal) => refuse(responder, &refusal),
        }
    }

    fn send_operation_response(
        &self,
        responder: CallerResponder,
        response: &StoredResponse,
        is_replay: bool,
    ) -> RequestEnd {
        let mut headers = response.headers.clone();
        if is_replay {
            headers.push((REPLAY_HEADER.to_owned(), "true".to_owned()));
        }
        let status = if response.status == 0 { 200 } else { response.status };
        responder.respond(status, &headers, OutcomeKind::Ran, response.body.0.clone());
        self.completed_end()
    }

    fn forward_operation(&self, host: &HostRecord, key: String, id: ForwardId) -> OperationReply {
        let peers = &self.exchange.peers;
        // A paused or cut-off host may accept a connection without ever replying. The probe keeps
        // the request from waiting for such a host. If it fails, nothing was sent, so the outcome
        // is `not_run`.
        if peers.call(host.address, &PeerRequest::Probe, PROBE_TIMEOUT).is_err() {
            return OperationReply::Refused(undecided_refusal("the deciding host does not answer"));
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
            Ok(PeerReply::Operation(reply)) => reply,
            Ok(_) => OperationReply::Refused(undecided_refusal("the deciding host takes no calls")),
            Err(PeerError::NotSent(_)) => {
                OperationReply::Refused(undecided_refusal("the deciding host was not reached"))
            }
            Err(PeerError::Ambiguous(_)) => OperationReply::Refused(RequestRefusal::unknown(
                RefusalKind::OperationUnknown,
                "the answer of the deciding host was lost",
            )),
        }
    }

    /// Decides about a request on this host and sends it to an upstream if it may run.
    ///
    /// A retry gets its response without waiting for an upstream. Any other request waits for an
    /// upstream before the decision, because a decision is valid for a few seconds only.
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
        match self
            .ask_control(|reply| OperationCommand::DecideWithoutDispatch(request.clone(), reply))
        {
            Some(None) => {}
            Some(Some(verdict)) => return reply_from_verdict(verdict),
            None => return OperationReply::Refused(stopping_refusal()),
        }
        request.forward = None;
        let service =
            self.admission.service.clone().expect("the catalogue check requires a service");
        let guard = match self.dispatch(&DispatchTarget::Service(service), 1, false) {
            Ok(guard) => guard,
            Err(refusal) => return OperationReply::Refused(refusal),
        };
        let ready = match self.ask_control(|reply| OperationCommand::Decide(request, reply)) {
            Some(OperationStart::Dispatch(handle)) => self.check_dispatch(handle, Vec::new()),
            Some(OperationStart::OfferBackup { handle, record, backups }) => self
                .store_backup(&handle, &record, &backups)
                .and_then(|offered| self.check_dispatch(handle, offered)),
            Some(OperationStart::End(verdict)) => Err(reply_from_verdict(verdict)),
            None => Err(OperationReply::Refused(stopping_refusal())),
        };
        match ready {
            Ok(ready) => self.send_operation(guard, ready),
            Err(reply) => {
                guard.end(DispatchEnd::Cancelled);
                reply
            }
        }
    }

    /// Copies the record to one backup and returns the hosts that may hold a copy.
    fn store_backup(
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
                    self.notify_control(command);
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
        let verdict = self.ask_control(|reply| OperationCommand::BackupFailed {
            handle: handle.clone(),
            offered,
            conflict,
            reply,
        });
        Err(verdict.map_or_else(|| OperationReply::Refused(stopping_refusal()), reply_from_verdict))
    }

    /// Makes the final check before the request is written to the socket.
    fn check_dispatch(
        &self,
        handle: OperationHandle,
        offered: Vec<HostName>,
    ) -> Result<ReadyOperation, OperationReply> {
        let verdict = self.ask_control(|reply| OperationCommand::BeginDispatch {
            handle: handle.clone(),
            offered: offered.clone(),
            reply,
        });
        match verdict {
            Some(None) => Ok(ReadyOperation { handle, offered }),
            Some(Some(verdict)) => Err(reply_from_verdict(verdict)),
            None => Err(OperationReply::Refused(stopping_refusal())),
        }
    }

    fn send_operation(&mut self, guard: DispatchGuard, ready: ReadyOperation) -> OperationReply {
        let result = match self.call(&guard, &self.service_headers(), false) {
            Ok(response) => self.read_complete_response(guard, response).map_err(|it| it.refusal),
            Err(error) => Err(self.handle_call_error(guard, &error).refusal),
        };
        let (end, reply) = match result {
            Ok(response) => {
                let response = stored_response(response);
                let end = OperationEnd::Finished(Some(response.clone()));
                (end, OperationReply::Ran { response: Arc::new(response), is_replay: false })
            }
            Err(refusal) if refusal.outcome == OutcomeKind::NotRun => {
                (OperationEnd::BeforeSend, OperationReply::Refused(refusal))
            }
            Err(refusal) => (OperationEnd::AfterSend, OperationReply::Refused(refusal)),
        };
        let ReadyOperation { handle, offered } = ready;
        self.notify_control(OperationCommand::Ended { handle, offered, end });
        reply
    }

    fn notify_control(&self, command: OperationCommand) {
        self.exchange.control.send(ControlCommand::Operation(Box::new(command)));
    }

    fn ask_control<T>(
        &self,
        command: impl FnOnce(crate::control::ReplySender<T>) -> OperationCommand,
    ) -> Option<T> {
        self.exchange.control.ask(|reply| ControlCommand::Operation(Box::new(command(reply))))
    }
}

impl ExchangeHandler {
    /// Issues an operation ticket to the team to which the caller's key belongs.
    pub(super) fn issue_ticket(
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
            None => return responder.refuse(&stopping_refusal()),
        };
        let ticket = self.control.ask(|reply| {
            ControlCommand::Operation(Box::new(OperationCommand::IssueTicket(team, reply)))
        });
        let Some(ticket) = ticket else {
            return responder.refuse(&stopping_refusal());
        };
        let headers = [("content-type".to_owned(), "application/json".to_owned())];
        let body = serde_json::json!({ "idempotency_key": ticket }).to_string();
        responder.respond(201, &headers, OutcomeKind::Ran, body.into_bytes());
    }

    /// Serves a request that another host forwarded because this host decides about it.
    pub fn serve_forwarded(&self, operation: ForwardedOperation) -> OperationReply {
        let ForwardedOperation { request, caller_key, operation_key, id } = operation;
        let admission = match self.check_forwarded(&request, caller_key) {
            Ok(admission) => admission,
            Err(refusal) => return OperationReply::Refused(refusal),
        };
        if !admission.runs_at_most_once {
            return OperationReply::Refused(undecided_refusal("the hosts' configurations differ"));
        }
        let mut run = RequestRun {
            exchange: self,
            started: self.clock.now(),
            request,
            admission,
            tried: Vec::new(),
            may_have_run: false,
            first_chunk: None,
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
            .unwrap_or_else(|| Err(stopping_refusal()))
    }
}

fn operation_key(request: &CallerRequest) -> Result<&str, RequestRefusal> {
    let key = request.header(OPERATION_KEY_HEADER).ok_or_else(|| {
        let message = "this route needs an Idempotency-Key; POST /v1/operations issues one";
        RequestRefusal::not_run(RefusalKind::OperationKeyMissing, message)
    })?;
    if key.is_empty() || key.len() > MAX_OPERATION_KEY_BYTES {
        let message = format!("Idempotency-Key must have 1 to {MAX_OPERATION_KEY_BYTES} bytes");
        return Err(RequestRefusal::not_run(RefusalKind::InvalidRequest, message));
    }
    Ok(key)
}

fn stored_response(response: CompleteResponse) -> StoredResponse {
    let CompleteResponse { status, headers, body, .. } = response;
    StoredResponse { status, headers, body: ByteString(body) }
}

fn reply_from_verdict(verdict: OperationVerdict) -> OperationReply {
    match verdict {
        OperationVerdict::Replay(response) => OperationReply::Ran { response, is_replay: true },
        OperationVerdict::Ran => OperationReply::Ran { response: Arc::default(), is_replay: true },
        OperationVerdict::Refused(refusal) => OperationReply::Refused(refusal),
    }
}

fn undecided_refusal(message: &str) -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::OperationUndecided, message)
        .with_retry_after(Duration::from_secs(1))
}

fn stopping_refusal() -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::Stopping, "the host is stopping")
}
