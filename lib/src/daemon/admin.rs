//! The port for peers and administration.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{
    control::{ControlCommand, ControlHandle, ForwardedOperation, PeerReply, PeerRequest},
    exchange::Exchange,
    peer::{decode_message, encode_message},
    status::ExplainQuery,
    telemetry::RouterMetrics,
    threads::ThreadGroup,
};

/// Threads that answer requests; none of them waits for an upstream.
const ADMIN_THREADS: usize = 4;

/// Forwarded calls at the same time; each has a thread.
const MAX_OPERATIONS: usize = 256;

/// The running server; dropping it ends it and joins its threads.
pub(super) struct AdminServer {
    address: SocketAddr,
    server: Arc<Server>,
    threads: ThreadGroup,
    operations: Arc<ThreadGroup>,
}

/// What the answers are made from.
#[derive(Clone)]
struct AdminState {
    control: ControlHandle,
    metrics: Arc<RouterMetrics>,
    exchange: Arc<Exchange>,
    operations: Arc<ThreadGroup>,
}

/// Status, content type and body of an answer.
struct AdminAnswer {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl AdminAnswer {
    fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into().into_bytes(),
        }
    }

    fn message(reply: &PeerReply) -> Self {
        let body = encode_message(reply);
        Self {
            status: 200,
            content_type: "application/vnd.msgpack",
            body,
        }
    }

    fn json<T: Serialize>(value: Option<T>) -> Self {
        match value.map(|it| serde_json::to_vec(&it)) {
            Some(Ok(body)) => Self {
                status: 200,
                content_type: "application/json",
                body,
            },
            Some(Err(error)) => Self::text(500, format!("cannot encode the answer: {error}\n")),
            None => Self::text(503, "the router is stopping\n"),
        }
    }
}

impl AdminServer {
    pub(super) fn start(
        listener: TcpListener,
        control: ControlHandle,
        metrics: Arc<RouterMetrics>,
        exchange: Arc<Exchange>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let operations = Arc::new(ThreadGroup::new());
        let state = AdminState {
            control,
            metrics,
            exchange,
            operations: operations.clone(),
        };
        let threads = ThreadGroup::new();
        for _ in 0..ADMIN_THREADS {
            let (server, state) = (server.clone(), state.clone());
            threads.spawn("admin", move || {
                while let Ok(request) = server.recv() {
                    state.serve(request);
                }
            })?;
        }
        Ok(Self {
            address,
            server,
            threads,
            operations,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        for _ in 0..ADMIN_THREADS {
            self.server.unblock();
        }
        self.threads.join();
        self.operations.join();
    }
}

impl AdminState {
    fn serve(&self, mut request: Request) {
        let answer = match request.method() {
            Method::Post if request.url() == "/peer" => {
                match decode_message::<PeerRequest>(request.as_reader()) {
                    Ok(PeerRequest::Operation(operation)) => {
                        return self.start_operation(*operation, request);
                    }
                    Ok(message) => self.peer(message),
                    Err(error) => {
                        tracing::warn!(%error, "peer_message_invalid");
                        AdminAnswer::text(400, "invalid message\n")
                    }
                }
            }
            Method::Get => self.get(request.url()),
            _ => AdminAnswer::text(405, "this port is read only\n"),
        };
        respond(request, answer);
    }

    /// Serves a forwarded call on a thread of its own, as it takes as long as the service.
    fn start_operation(&self, operation: ForwardedOperation, request: Request) {
        if self.operations.running() >= MAX_OPERATIONS {
            return respond(request, AdminAnswer::message(&PeerReply::Unavailable));
        }
        let exchange = self.exchange.clone();
        let run = move || {
            let answer = exchange.serve_forwarded(operation);
            respond(request, AdminAnswer::message(&PeerReply::Operation(answer)));
        };
        if let Err(error) = self.operations.spawn("operation", run) {
            // The request was dropped with the closure, which closes its connection.
            tracing::error!(%error, "operation_thread_failed");
        }
    }

    fn peer(&self, message: PeerRequest) -> AdminAnswer {
        let reply = self
            .control
            .ask(|reply| ControlCommand::Peer(Box::new(message), reply))
            .unwrap_or(PeerReply::Unavailable);
        AdminAnswer::message(&reply)
    }

    fn get(&self, url: &str) -> AdminAnswer {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        match path {
            "/healthz" => AdminAnswer::text(200, "ok\n"),
            "/readyz" => match self.control.ask(ControlCommand::IsReady) {
                Some(true) => AdminAnswer::text(200, "ok\n"),
                _ => AdminAnswer::text(503, "not ready\n"),
            },
            "/status" => AdminAnswer::json(self.control.ask(ControlCommand::Status)),
            "/slo" => AdminAnswer::json(self.control.ask(ControlCommand::Burn)),
            "/explain" => match ExplainQuery::parse(query) {
                Ok(query) => {
                    AdminAnswer::json(self.control.ask(|it| ControlCommand::Explain(query, it)))
                }
                Err(error) => AdminAnswer::text(400, format!("{error}\n")),
            },
            "/metrics" => match self.metrics.render() {
                Ok(text) => AdminAnswer::text(200, text),
                Err(error) => AdminAnswer::text(500, format!("{error}\n")),
            },
            _ => AdminAnswer::text(404, "not found\n"),
        }
    }
}

fn respond(request: Request, answer: AdminAnswer) {
    let kind =
        Header::from_bytes("content-type", answer.content_type).expect("the header is valid");
    let response = Response::from_data(answer.body)
        .with_status_code(answer.status)
        .with_header(kind);
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "admin_answer_failed");
    }
}
