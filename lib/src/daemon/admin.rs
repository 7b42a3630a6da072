//! The HTTP server for peers and administration.

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

/// Threads that serve requests; none of them waits for an upstream.
const ADMIN_THREADS: usize = 4;

/// Forwarded operations that run at the same time, each on its own thread.
const MAX_FORWARDED_OPERATIONS: usize = 256;

/// The running server; dropping it stops it and joins its threads.
pub(super) struct AdminServer {
    address: SocketAddr,
    server: Arc<Server>,
    threads: ThreadGroup,
    operation_threads: Arc<ThreadGroup>,
}

/// State that the threads of the server share.
#[derive(Clone)]
struct AdminState {
    control: ControlHandle,
    metrics: Arc<RouterMetrics>,
    exchange: Arc<ExchangeHandler>,
    operation_threads: Arc<ThreadGroup>,
}

/// Status, content type and body of a response.
pub(super) struct AdminResponse {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl AdminResponse {
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
        let operation_threads = Arc::new(ThreadGroup::new());
        let state =
            AdminState { control, metrics, exchange, operation_threads: operation_threads.clone() };
        let threads = ThreadGroup::new();
        for _ in 0..ADMIN_THREADS {
            let (server, state) = (server.clone(), state.clone());
            threads.spawn("admin", move || {
                while let Ok(request) = server.recv() {
                    state.serve(request);
                }
            })?;
        }
        Ok(Self { address, server, threads, operation_threads })
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
        self.operation_threads.join();
    }
}

impl AdminState {
    fn serve(&self, mut request: Request) {
        let response = match request.method() {
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
                        let response = self.serve_peer(message);
                        return respond_and_count(request, response, &self.metrics, purpose);
                    }
                    Err(error) => {
                        tracing::warn!(%error, "peer_message_invalid");
                        AdminResponse::text(400, "invalid message\n")
                    }
                }
            }
            Method::Get => self.serve_get(request.url()),
            _ => AdminResponse::text(405, "this port is read only\n"),
        };
        respond(request, response);
    }

    /// Serves a forwarded operation on its own thread, because it takes as long as the service.
    fn start_operation(&self, operation: ForwardedOperation, request: Request) {
        let purpose = ControlPurpose::Operation;
        if self.operation_threads.running() >= MAX_FORWARDED_OPERATIONS {
            let response = AdminResponse::message(&PeerReply::Unavailable);
            return respond_and_count(request, response, &self.metrics, purpose);
        }
        let (exchange, metrics) = (self.exchange.clone(), self.metrics.clone());
        let run = move || {
            let reply = PeerReply::Operation(exchange.serve_forwarded(operation));
            respond_and_count(request, AdminResponse::message(&reply), &metrics, purpose);
        };
        if let Err(error) = self.operation_threads.spawn("operation", run) {
            // The request was dropped with the closure, which closes its connection.
            tracing::error!(%error, "operation_thread_failed");
        }
    }

    fn serve_peer(&self, message: PeerRequest) -> AdminResponse {
        let reply = self
            .control
            .ask(|reply| ControlCommand::Peer(Box::new(message), reply))
            .unwrap_or(PeerReply::Unavailable);
        AdminResponse::message(&reply)
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

/// Returns the size of a request's head and body.
///
/// tiny_http gives no access to the socket. Peers are routers, whose HTTP client writes each header
/// as `name: value`, so the size of the head follows from its parts.
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

/// Responds to a peer and counts the bytes that tiny_http writes.
pub(super) fn respond_and_count(
    request: Request,
    response: AdminResponse,
    metrics: &RouterMetrics,
    purpose: ControlPurpose,
) {
    // The response is also printed to a counter, because tiny_http does not return how many bytes
    // it writes.
    let mut counter = CountingWriter::default();
    let version = request.http_version().clone();
    let printed =
        make_response(&response).raw_print(&mut counter, version, request.headers(), false, None);
    if printed.is_ok() {
        metrics.count_control_sent(purpose, counter.bytes);
    }
    respond(request, response);
}

/// Discards what is written and counts its bytes.
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

fn make_response(response: &AdminResponse) -> Response<&[u8]> {
    let content_type =
        Header::from_bytes("content-type", response.content_type).expect("the header is valid");
    Response::new(
        response.status.into(),
        vec![content_type],
        &response.body[..],
        Some(response.body.len()),
        None,
    )
}

fn respond(request: Request, response: AdminResponse) {
    if let Err(error) = request.respond(make_response(&response)) {
        tracing::debug!(%error, "admin_answer_failed");
    }
}
