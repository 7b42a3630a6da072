//! Client for upstreams over HTTP/1.1.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration,
};

use ureq::{
    Agent, Error, Timeout,
    config::AutoHeaderValue,
    http::{Request, Response},
};

use super::{CallError, UpstreamClient, UpstreamRequest, UpstreamResponse, is_final_status};
use crate::{
    daemon::byte_counting_agent,
    intake::{is_cut_off, metered_body},
    rendezvous,
    routing::LoadReport,
};

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for one read or write on a connection, after which the call fails.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for reading a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest load report that is read.
const MAX_LOAD_BYTES: u64 = 64 << 10;

/// Buffer size for each direction of a connection; the HTTP library's default of 128 KiB would
/// take 100 MB at 400 streams.
const BUFFER_BYTES: usize = 8 << 10;

/// Idle connections kept for each upstream.
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM: usize = 32;

/// Idle connections kept in total.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Age at which an idle connection is closed. It is below the usual keep-alive timeouts of servers,
/// so that a request is rarely sent on a connection that the upstream is closing.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// Header that carries the request id in both directions.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that apply to one connection or its framing and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Client for engines and services over HTTP/1.1.
#[derive(Debug)]
pub struct HttpUpstream {
    pooled: Agent,
    /// Opens a new connection for each request.
    unpooled: Agent,
}

impl HttpUpstream {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        Self { pooled: agent(MAX_IDLE_CONNECTIONS), unpooled: agent(0) }
    }
}

impl Default for HttpUpstream {
    fn default() -> Self {
        Self::new()
    }
}

fn agent(max_idle_connections: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .no_delay(true)
        .proxy(None)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .accept_encoding(AutoHeaderValue::None)
        .allow_non_standard_methods(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections.min(MAX_IDLE_CONNECTIONS_PER_UPSTREAM))
        .max_idle_age(MAX_IDLE_AGE)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(IO_TIMEOUT))
        .timeout_per_write(Some(IO_TIMEOUT))
        .build();
    byte_counting_agent(config)
}

/// Returns whether the router may forward a header; `name` must be in lower case.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

impl UpstreamClient for HttpUpstream {
    fn send(&self, request: &UpstreamRequest<'_>) -> Result<UpstreamResponse, CallError> {
        let agent = if request.reuse_connection { &self.pooled } else { &self.unpooled };
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.target))
            .header(REQUEST_ID_HEADER, request.request_id);
        for (name, value) in request.headers {
            if is_end_to_end(name) && name != REQUEST_ID_HEADER && name != "host" {
                builder = builder.header(name, value);
            }
        }
        let http_request =
            builder.body(request.body).map_err(|error| CallError::NotSent(error.to_string()))?;
        let http_request = agent
            .configure_request(http_request)
            .timeout_recv_response(Some(request.head_timeout))
            .build();
        let result = if request.body.is_empty() && !sends_length(request.method) {
            agent.run(http_request.map(|_| ()))
        } else {
            agent.run(http_request)
        };
        let response = into_upstream_response(result.map_err(classify)?);
        if !is_final_status(response.status) {
            return Err(CallError::InvalidStatus(response.status));
        }
        match response.header(REQUEST_ID_HEADER) {
            Some(found) if found == request.request_id => Ok(response),
            found => Err(CallError::WrongResponse { found: found.map(str::to_owned) }),
        }
    }

    fn read_load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let response = self
            .pooled
            .get(format!("http://{address}/load"))
            .config()
            .timeout_global(Some(LOAD_TIMEOUT))
            .build()
            .call()
            .map_err(classify)?;
        if response.status() != 200 {
            return Err(CallError::Ambiguous(format!("status {}", response.status())));
        }
        let mut body = Vec::new();
        metered_body(response.into_body())
            .take(MAX_LOAD_BYTES)
            .read_to_end(&mut body)
            .map_err(|error| CallError::Ambiguous(error.to_string()))?;
        let report: ReportedLoad = serde_json::from_slice(&body)
            .map_err(|error| CallError::Ambiguous(error.to_string()))?;
        Ok(report.into())
    }
}

/// The body of `GET /load`.
#[derive(serde::Deserialize)]
struct ReportedLoad {
    /// A number or a string that is only compared for equality.
    incarnation: serde_json::Value,
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    capacity: u32,
    #[serde(default)]
    work_tokens: u64,
    #[serde(default)]
    cold: bool,
}

impl From<ReportedLoad> for LoadReport {
    fn from(reported: ReportedLoad) -> Self {
        let incarnation = match &reported.incarnation {
            serde_json::Value::String(text) => incarnation_hash(text),
            other => incarnation_hash(&other.to_string()),
        };
        Self {
            incarnation,
            running: reported.running,
            waiting: reported.waiting,
            capacity: reported.capacity,
            work_tokens: reported.work_tokens,
            cold: reported.cold,
        }
    }
}

/// Hashes the text of an incarnation, in the same way for load reports and response headers.
fn incarnation_hash(text: &str) -> u64 {
    rendezvous::hash_parts(&[text])
}

/// Returns whether a request with this method has a content length even if its body is empty.
fn sends_length(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

fn into_upstream_response(response: Response<ureq::Body>) -> UpstreamResponse {
    let (parts, body) = response.into_parts();
    let incarnation =
        parts.headers.get("x-incarnation").and_then(|it| it.to_str().ok()).map(incarnation_hash);
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect();
    UpstreamResponse {
        status: parts.status.as_u16(),
        headers,
        incarnation,
        body: Box::new(metered_body(body)),
    }
}

/// Maps an error of the HTTP client to whether the request may have reached the upstream.
///
/// Only a failure before the connection is established proves that it did not.
fn classify(error: Error) -> CallError {
    let reason = error.to_string();
    match error {
        error if is_cut_off(&error) => CallError::CutOff(reason),
        Error::Io(source) if source.kind() == io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(reason)
        }
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_) => CallError::NotSent(reason),
        _ => CallError::Ambiguous(reason),
    }
}
