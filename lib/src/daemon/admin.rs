//! The port for peers and administration.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};

use super::traffic::purpose_of;
use crate::{
    control::{ControlCommand, ControlHandle, ForwardedOperation, PeerReply, PeerRequest},
    exchange::ExchangeHandler,
    peer::{decode_message, encode_message},
    status::ExplainQuery,
    telemetry::{ControlPurpose, RouterMetrics},
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
    exchange: Arc<ExchangeHandler>,
    operations: Arc<ThreadGroup>,
}

/// Status, content type and body of an answer.
pub(super) struct AdminAnswer {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl AdminAnswer {
    fn text(status: u16, body: impl Into<String>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into().into_bytes() }
    }

    pub(super) fn message(reply: &PeerReply) -> Self {
        let body = encode_message(reply);
        Self { status: 200, content_type: "application/vnd.msgpack", body }
    }

    fn json<T: Serialize>(value: Option<T>) -> Self {
        match value.map(|it| serde_json::to_vec(&it)) {
            Some(Ok(body)) => Self { status: 200, content_type: "application/json", body },
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
        exchange: Arc<ExchangeHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let operations = Arc::new(ThreadGroup::new());
        let state = AdminState { control, metrics, exchange, operations: operations.clone() };
        let threads = ThreadGroup::new();
        for _ in 0..ADMIN_THREADS {
            let (server, state) = (server.clone(), state.clone());
            threads.spawn("admin", move || {
                while let Ok(request) = server.recv() {
                    state.serve(request);
                }
            })?;
        }
        Ok(Self { address, server, threads, operations })
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
                let received = request_bytes(&request);
                match decode_message::<PeerRequest>(request.as_reader()) {
                    Ok(PeerRequest::Operation(operation)) => {
                        self.metrics.count_control_received(ControlPurpose::Operation, received);
                        return self.start_operation(*operation, request);
                    }
                    Ok(message) => {
                        let purpose = purpose_of(&message);
                        self.metrics.count_control_received(purpose, received);
                        let answer = self.peer(message);
                        return respond_counted(request, answer, &self.metrics, purpose);
                    }
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
        let purpose = ControlPurpose::Operation;
        if self.operations.running() >= MAX_OPERATIONS {
            let answer = AdminAnswer::message(&PeerReply::Unavailable);
            return respond_counted(request, answer, &self.metrics, purpose);
        }
        let (exchange, metrics) = (self.exchange.clone(), self.metrics.clone());
        let run = move || {
            let reply = PeerReply::Operation(exchange.serve_forwarded(operation));
            respond_counted(request, AdminAnswer::message(&reply), &metrics, purpose);
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

/// Returns the bytes of a request's head and body.
///
/// tiny_http gives no access to the socket. Peers are routers, whose client writes each header as
/// `name: value`, so the head can be computed from its parts.
pub(super) fn request_bytes(request: &Request) -> u64 {
    let line = request.method().as_str().len() + request.url().len() + " ".len() * 2;
    let version = "HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|it| it.field.as_str().as_str().len() + it.value.as_str().len() + ": \r\n".len())
        .sum();
    let body = request.body_length().unwrap_or(0);
    (line + version + headers + "\r\n".len() + body) as u64
}

/// Answers a peer and counts the bytes that tiny_http writes.
pub(super) fn respond_counted(
    request: Request,
    answer: AdminAnswer,
    metrics: &RouterMetrics,
    purpose: ControlPurpose,
) {
    // The response is written twice, as tiny_http does not tell how long its head is.
    let mut counter = CountingWriter::default();
    let version = request.http_version().clone();
    let printed =
        make_response(&answer).raw_print(&mut counter, version, request.headers(), false, None);
    if printed.is_ok() {
        metrics.count_control_sent(purpose, counter.bytes);
    }
    respond(request, answer);
}

/// Discards and counts what is written.
#[derive(Default)]
struct CountingWriter {
    bytes: u64,
}

impl Write for CountingWriter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.bytes += buffer.len() as u64;
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn make_response(answer: &AdminAnswer) -> Response<&[u8]> {
    let kind =
        Header::from_bytes("content-type", answer.content_type).expect("the header is valid");
    Response::new(answer.status.into(), vec![kind], &answer.body[..], Some(answer.body.len()), None)
}

fn respond(request: Request, answer: AdminAnswer) {
    if let Err(error) = request.respond(make_response(&answer)) {
        tracing::debug!(%error, "admin_answer_failed");
    }
}
