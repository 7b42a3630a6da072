//! Responses to peers and to administration requests.

use std::{io, net::TcpListener, sync::Arc};

use tokio::sync::Semaphore;

use super::{
    admin_server::{AdminHandler, AdminRequest, AdminResponse, AdminServer},
    traffic::purpose_of,
};
use crate::{
    control::{ControlCommand, ControlHandle, ForwardedOperation, PeerReply, PeerRequest},
    exchange::ExchangeHandler,
    peer::decode_message,
    status::ExplainQuery,
    telemetry::RouterMetrics,
};

/// Requests that are handled at the same time besides forwarded operations; none of them waits for
/// an upstream.
const MAX_SHORT_REQUESTS: usize = 4;

/// Forwarded operations that run at the same time.
const MAX_FORWARDED_OPERATIONS: usize = 256;

/// Starts the server for peers and administration.
pub(super) fn start_admin(
    listener: TcpListener,
    control: ControlHandle,
    metrics: Arc<RouterMetrics>,
    exchange: Arc<ExchangeHandler>,
) -> io::Result<AdminServer> {
    let operation_permits = Semaphore::new(MAX_FORWARDED_OPERATIONS);
    let handler = Arc::new(AdminState { control, metrics, exchange, operation_permits });
    AdminServer::start(listener, handler, MAX_SHORT_REQUESTS + MAX_FORWARDED_OPERATIONS)
}

struct AdminState {
    control: ControlHandle,
    metrics: Arc<RouterMetrics>,
    exchange: Arc<ExchangeHandler>,
    operation_permits: Semaphore,
}

impl AdminHandler for AdminState {
    fn handle(&self, request: &AdminRequest) -> AdminResponse {
        match request.method() {
            "POST" if request.target() == "/peer" => self.serve_peer(request),
            "GET" => self.serve_get(request.target()),
            _ => AdminResponse::text(405, "this port is read only\n"),
        }
    }
}

impl AdminState {
    fn serve_peer(&self, request: &AdminRequest) -> AdminResponse {
        let message = match decode_message::<PeerRequest>(&mut request.body()) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(%error, "peer_message_invalid");
                return AdminResponse::text(400, "invalid message\n");
            }
        };
        let purpose = purpose_of(&message);
        self.metrics.count_control_received(purpose, request.wire_bytes());
        let reply = match message {
            PeerRequest::Operation(operation) => self.serve_operation(*operation),
            message => self
                .control
                .ask(|reply| ControlCommand::Peer(Box::new(message), reply))
                .unwrap_or(PeerReply::Unavailable),
        };
        let response = AdminResponse::message(&reply);
        self.metrics.count_control_sent(purpose, response.wire_bytes());
        response
    }

    /// Serves a forwarded operation, which takes as long as the service does.
    fn serve_operation(&self, operation: ForwardedOperation) -> PeerReply {
        match self.operation_permits.try_acquire() {
            Ok(_permit) => PeerReply::Operation(self.exchange.serve_forwarded(operation)),
            Err(_) => PeerReply::Unavailable,
        }
    }

    fn serve_get(&self, url: &str) -> AdminResponse {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        match path {
            "/healthz" => AdminResponse::text(200, "ok\n"),
            "/readyz" => match self.control.ask(ControlCommand::IsReady) {
                Some(true) => AdminResponse::text(200, "ok\n"),
                _ => AdminResponse::text(503, "not ready\n"),
            },
            "/status" => AdminResponse::json(self.control.ask(ControlCommand::Status)),
            "/slo" => AdminResponse::json(self.control.ask(ControlCommand::Burn)),
            "/explain" => match ExplainQuery::parse(query) {
                Ok(query) => {
                    AdminResponse::json(self.control.ask(|it| ControlCommand::Explain(query, it)))
                }
                Err(error) => AdminResponse::text(400, format!("{error}\n")),
            },
            "/metrics" => match self.metrics.render() {
                Ok(text) => AdminResponse::text(200, text),
                Err(error) => AdminResponse::text(500, format!("{error}\n")),
            },
            _ => AdminResponse::text(404, "not found\n"),
        }
    }
}
