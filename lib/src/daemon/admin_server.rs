//! The HTTP server for peers and administration; each request is handled on a worker thread.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{self, HeaderValue},
    http::request::Parts,
};
use serde::Serialize;
use tokio::{runtime::Builder, sync::watch, task::spawn_blocking, time::timeout};

use crate::{
    control::PeerReply,
    intake::{ConnectionTable, read_body},
    listener::{ListenerLimits, serve_listener},
    peer::{MAX_MESSAGE_BYTES, encode_message},
};

/// Time within which a head must arrive, also on an idle connection. A peer closes an idle connection after 60 s,
/// which is earlier, so that no message is sent on a connection that is being closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Largest head of a message or an operator's request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Most connections of peers and operators at the same time.
const MAX_CONNECTIONS: usize = 4_096;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Stack size of a worker thread; workers allocate their buffers on the heap.
const WORKER_STACK_BYTES: usize = 512 << 10;

/// A request with its whole body.
pub(super) struct AdminRequest {
    method: String,
    target: String,
    body: Bytes,
    head_bytes: usize,
}

impl AdminRequest {
    pub(super) fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path with the query.
    pub(super) fn target(&self) -> &str {
        &self.target
    }

    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the size of the head and the body.
    pub(super) fn wire_bytes(&self) -> u64 {
        (self.head_bytes + self.body.len()) as u64
    }
}

/// Status, content type and body of a response.
#[derive(Debug)]
pub(super) struct AdminResponse {
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
}

impl AdminResponse {
    pub(super) fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status: StatusCode::from_u16(status).expect("the status is valid"),
            content_type: "text/plain; charset=utf-8",
            body: body.into().into_bytes(),
        }
    }

    pub(super) fn message(reply: &PeerReply) -> Self {
        let body = encode_message(reply);
        Self { status: StatusCode::OK, content_type: "application/vnd.msgpack", body }
    }

    pub(super) fn json<T: Serialize>(value: Option<T>) -> Self {
        match value.map(|it| serde_json::to_vec(&it)) {
            Some(Ok(body)) => {
                Self { status: StatusCode::OK, content_type: "application/json", body }
            }
            Some(Err(error)) => Self::text(500, format!("cannot encode the answer: {error}\n")),
            None => Self::text(503, "the router is stopping\n"),
        }
    }

    /// Returns the size of the head and the body as the server writes them.
    pub(super) fn wire_bytes(&self) -> u64 {
        let line = format!("HTTP/1.1 {}\r\n", self.status);
        let content_type = format!("content-type: {}\r\n", self.content_type);
        let content_length = format!("content-length: {}\r\n", self.body.len());
        let head = line.len() + content_type.len() + content_length.len() + "\r\n".len();
        (head + self.body.len()) as u64
    }

    fn into_http(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = self.status;
        let content_type = HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }
}

/// Handles requests on the worker threads.
pub(super) trait AdminHandler: Send + Sync + 'static {
    /// Returns the response to a request; may block.
    fn handle(&self, request: &AdminRequest) -> AdminResponse;
}

/// The running server; dropping it stops it and joins its threads.
pub(super) struct AdminServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl AdminServer {
    /// Starts serving on a bound listener, with up to `max_workers` requests at the same time.
    pub(super) fn start(
        listener: TcpListener,
        handler: Arc<dyn AdminHandler>,
        max_workers: usize,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(max_workers)
            .thread_stack_size(WORKER_STACK_BYTES)
            .build()?;
        let stop = watch::Sender::new(false);
        let stopped = stop.subscribe();
        let service = move |request| serve(handler.clone(), request);
        let limits = ListenerLimits {
            connections: ConnectionTable::new(MAX_CONNECTIONS, None),
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
        };
        let thread = thread::Builder::new()
            .name("admin".into())
            .spawn(move || runtime.block_on(serve_listener(listener, limits, stopped, service)))?;
        Ok(Self { address, stop, thread: Some(thread) })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("admin_thread_panicked");
        }
    }
}

async fn serve(
    handler: Arc<dyn AdminHandler>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = read_body(body, MAX_MESSAGE_BYTES, None);
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            return AdminResponse::text(400, format!("the body cannot be read: {error}\n"))
                .into_http();
        }
        Err(_) => return AdminResponse::text(408, "the body did not arrive in time\n").into_http(),
    };
    let request = AdminRequest {
        head_bytes: head_bytes(&parts),
        method: parts.method.as_str().to_owned(),
        target: parts.uri.to_string(),
        body,
    };
    let response = spawn_blocking(move || handler.handle(&request)).await.unwrap_or_else(|error| {
        tracing::error!(%error, "admin_request_panicked");
        AdminResponse::text(500, "the request failed\n")
    });
    response.into_http()
}

/// Returns the size of a request head.
///
/// The HTTP library gives no access to the bytes. Peers are routers, whose HTTP client writes each
/// header as `name: value`, so the size follows from the parts.
fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |it| it.as_str().len());
    let line = parts.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let headers: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    line + headers + "\r\n".len()
}
