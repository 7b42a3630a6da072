//! HTTP server of the stand-ins: one thread for each connection, behind a [`TcpLink`].
//!
//! Responses are written byte by byte as a handler chooses, also malformed ones. The link in front
//! lets a stand-in close a connection after a chosen byte and detect that a caller has
//! disconnected.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    link::{LinkConnection, TcpLink, lock},
    request_reader::{ReadError, RequestReader, header},
};

/// Interval at which waiting threads check for a disconnected caller or a server stop, in
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// Connections that one server serves concurrently; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 1_024;

/// Delay after a failed accept, typically for want of file descriptors, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Distinct values that are recorded for each header name, and distinct request targets.
const MAX_LOGGED_VALUES: usize = 4_096;

/// Stack of a thread that serves a connection, in bytes.
const WORKER_STACK_BYTES: usize = 512 * 1024;

/// Distinct headers and request targets that a stand-in received.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RequestLog {
    /// Values by header name, with the name in the received spelling.
    pub headers: BTreeMap<String, BTreeSet<String>>,
    /// Request targets (path with query).
    pub targets: BTreeSet<String>,
    /// Number of values that were not recorded because of the limit on distinct values.
    pub dropped: u64,
}

impl RequestLog {
    /// Adds the headers and the target of a request.
    pub(crate) fn record(&mut self, request: &ServerRequest) {
        for (name, value) in &request.headers {
            let values = self.headers.entry(name.clone()).or_default();
            if values.len() < MAX_LOGGED_VALUES {
                values.insert(value.clone());
            } else if !values.contains(value) {
                self.dropped += 1;
            }
        }
        if self.targets.len() < MAX_LOGGED_VALUES {
            self.targets.insert(request.target.clone());
        } else if !self.targets.contains(&request.target) {
            self.dropped += 1;
        }
    }

    /// Returns whether any recorded header name, header value or request target contains `text`.
    pub fn contains(&self, text: &str) -> bool {
        self.targets.iter().any(|it| it.contains(text))
            || self.headers.iter().any(|(name, values)| {
                name.contains(text) || values.iter().any(|it| it.contains(text))
            })
    }
}

/// A received request with its full body, and the writer for its response.
pub(crate) struct ServerRequest {
    pub(crate) method: String,
    /// Path with query.
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) response: ResponseWriter,
}

impl ServerRequest {
    pub(crate) fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |it| it.0)
    }

    /// Returns the query parameter `name` if it is a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .find(|it| it.0 == name)
            .and_then(|it| it.1.parse().ok())
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Parses the body as JSON; an empty body counts as `{}`.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        let body: &[u8] = if self.body.is_empty() { b"{}" } else { &self.body };
        serde_json::from_slice(body).map_err(|err| format!("body: {err}"))
    }
}

/// Writes the response to a request.
pub(crate) struct ResponseWriter {
    stream: TcpStream,
    connection: Arc<LinkConnection>,
    stopping: Arc<AtomicBool>,
}

impl ResponseWriter {
    /// Returns whether the connection is closed or the server is stopping.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.connection.is_closed() || self.stopping.load(Ordering::SeqCst)
    }

    /// Waits until `deadline`. Returns false as soon as the response is abandoned or `is_cancelled`
    /// returns true.
    pub(crate) fn wait_until(&self, deadline: Instant, is_cancelled: impl Fn() -> bool) -> bool {
        loop {
            if self.is_abandoned() || is_cancelled() {
                return false;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            thread::sleep(remaining.min(Duration::from_millis(POLL_INTERVAL_MS)));
        }
    }

    fn write(&mut self, data: &[u8]) -> io::Result<()> {
        self.connection.add_written(data.len());
        self.stream.write_all(data)
    }

    fn head(status: u16, headers: &[(&str, String)], length: &str) -> String {
        let reason = match status {
            200 => "OK",
            304 => "Not Modified",
            400 => "Bad Request",
            404 => "Not Found",
            413 => "Content Too Large",
            503 => "Service Unavailable",
            _ => "Status",
        };
        let mut head = format!("HTTP/1.1 {status} {reason}\r\n{length}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        head
    }

    /// Sends a complete response. Write errors are ignored, since they mean that the caller has
    /// disconnected.
    pub(crate) fn send(mut self, status: u16, headers: &[(&str, String)], body: &[u8]) {
        let length = if status == 304 {
            "Cache-Control: no-store".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let mut message = Self::head(status, headers, &length).into_bytes();
        message.extend_from_slice(body);
        let _ = self.write(&message);
    }

    /// Sends a complete response with a JSON body.
    pub(crate) fn send_json(self, status: u16, value: &impl serde::Serialize) {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let headers = [("Content-Type", "application/json".to_owned())];
                self.send(status, &headers, &body);
            }
            Err(err) => self.send(500, &[], err.to_string().as_bytes()),
        }
    }

    /// Sends a complete response with the body `{"error": message}`.
    pub(crate) fn send_error(self, status: u16, message: &str) {
        self.send_json(status, &serde_json::json!({ "error": message }));
    }

    /// Sends the head and the first half of the body, then closes the connection.
    pub(crate) fn send_truncated(mut self, headers: &[(&str, String)], body: &[u8]) {
        let length = format!("Content-Length: {}", body.len());
        let mut message = Self::head(200, headers, &length).into_bytes();
        message.extend_from_slice(&body[..body.len() / 2]);
        let _ = self.write(&message);
        self.disconnect();
    }

    /// Sends the head of a chunked response.
    pub(crate) fn start_chunked(&mut self, headers: &[(&str, String)]) -> io::Result<()> {
        let head = Self::head(200, headers, "Transfer-Encoding: chunked");
        self.write(head.as_bytes())
    }

    /// Sends one chunk and flushes it.
    pub(crate) fn send_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut frame = format!("{:x}\r\n", data.len()).into_bytes();
        frame.extend_from_slice(data);
        frame.extend_from_slice(b"\r\n");
        self.write(&frame)
    }

    /// Ends a chunked response.
    pub(crate) fn finish_chunked(mut self) {
        let _ = self.write(b"0\r\n\r\n");
    }

    /// Closes the connection after the link has forwarded everything written so far.
    pub(crate) fn disconnect(self) {
        self.connection.close_after_drain();
    }
}

/// Handles requests; each connection has its own thread.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    fn handle(&self, request: ServerRequest);
}

/// A running HTTP server. [`HttpServer::stop`] joins its threads.
pub(crate) struct HttpServer {
    link: Arc<TcpLink>,
    /// Address to which the link forwards connections.
    inner_address: SocketAddr,
    stopping: Arc<AtomicBool>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Listens on `listen` and forwards connections to a loopback port. `make_handler` receives
    /// the link that forwards them.
    pub(crate) fn start<H: RequestHandler>(
        listen: SocketAddr,
        make_handler: impl FnOnce(Arc<TcpLink>) -> H,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        // On Linux, accepted sockets inherit the option. Without it, Nagle's algorithm holds back
        // each token for up to 40 ms until the delayed acknowledgement of the previous one, so
        // tokens arrive in bursts.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let inner_address = listener.local_addr()?;
        let link = Arc::new(TcpLink::start(listen, inner_address)?);
        let handler = Arc::new(make_handler(link.clone()));
        let stopping = Arc::new(AtomicBool::new(false));
        let acceptor = thread::Builder::new().name("standin-accept".to_owned()).spawn({
            let link = link.clone();
            let stopping = stopping.clone();
            move || accept_connections(&listener, &link, &stopping, &handler)
        })?;
        Ok(Self { link, inner_address, stopping, acceptor: Mutex::new(Some(acceptor)) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.link.address()
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.link.stop();
        let Some(acceptor) = lock(&self.acceptor).take() else {
            return;
        };
        // `accept` has no timeout, so a connection to the listener wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.inner_address, Duration::from_secs(1));
        if acceptor.join().is_err() {
            eprintln!("event=acceptor_panicked address={}", self.address());
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a thread for each connection until the server stops, then joins the threads.
fn accept_connections<H: RequestHandler>(
    listener: &TcpListener,
    link: &Arc<TcpLink>,
    stopping: &Arc<AtomicBool>,
    handler: &Arc<H>,
) {
    let mut workers: Vec<JoinHandle<()>> = Vec::new();
    for stream in listener.incoming() {
        if stopping.load(Ordering::SeqCst) {
            break;
        }
        workers.retain(|it| !it.is_finished());
        while workers.len() >= MAX_CONNECTIONS && !stopping.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            workers.retain(|it| !it.is_finished());
        }
        let Ok(stream) = stream else {
            thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS));
            continue;
        };
        let worker = thread::Builder::new()
            .name("standin-call".to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn({
                let (link, stopping) = (link.clone(), stopping.clone());
                let handler = handler.clone();
                move || serve_connection(&stream, &link, &stopping, &*handler)
            });
        match worker {
            Ok(worker) => workers.push(worker),
            Err(err) => eprintln!("event=thread_start_failed error=\"{err}\""),
        }
    }
    for worker in workers {
        let _ = worker.join();
    }
}

/// Serves the requests of one connection, one after the other, until it ends.
fn serve_connection(
    stream: &TcpStream,
    link: &TcpLink,
    stopping: &Arc<AtomicBool>,
    handler: &dyn RequestHandler,
) {
    let mut reader = RequestReader::new(stream);
    while !stopping.load(Ordering::SeqCst) {
        let request = reader.next_request();
        // The link registers a connection before it forwards the first byte. A connection that it
        // does not know is closed already, or did not come through the link.
        let connection = stream.peer_addr().ok().and_then(|it| link.connection(it));
        let (Some(connection), Ok(response_stream)) = (connection, stream.try_clone()) else {
            break;
        };
        let stopping = stopping.clone();
        let response = ResponseWriter { stream: response_stream, connection, stopping };
        let request = match request {
            Ok(request) => request,
            Err(ReadError::BodyTooLarge) => {
                response.send_error(413, "the body is longer than 4 MiB");
                break;
            }
            Err(ReadError::Closed | ReadError::Malformed) => break,
        };
        response.connection.set_control(request.target.starts_with("/control/"));
        let is_last = request.is_last();
        handler.handle(ServerRequest {
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            response,
        });
        if is_last {
            break;
        }
    }
    // The shutdown fails if the connection is closed already.
    let _ = stream.shutdown(Shutdown::Both);
}
