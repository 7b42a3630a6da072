//! Calls to engines and services.

mod http;

use std::{
    fmt::{self, Debug},
    io::Read,
    net::SocketAddr,
    time::Duration,
};

pub use self::http::HttpUpstream;
use crate::routing::LoadReport;

/// A request as it goes to an upstream; it carries no credential.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Headers, without those that describe the connection.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
    /// Id that the upstream must echo in its answer.
    pub request_id: &'a str,
    /// Whether the request may be sent on a connection that was used before.
    ///
    /// A failure on such a connection leaves open whether the request was read, so requests that
    /// must not run twice use a new connection.
    pub reuse_connection: bool,
    /// Time until the head of the answer.
    pub head_timeout: Duration,
}

/// An answer whose body is read as it arrives.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those that describe the connection.
    pub headers: Vec<(String, String)>,
    /// Incarnation of the upstream, if the answer names it.
    pub incarnation: Option<u64>,
    /// Body; an error means that the answer is incomplete.
    pub body: Box<dyn Read + Send>,
}

impl UpstreamResponse {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

impl Debug for UpstreamResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamAnswer").field("status", &self.status).finish_non_exhaustive()
    }
}

/// A call without a usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request reached the upstream.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream may have run the request.
    #[error("no answer: {0}")]
    Ambiguous(String),
    /// The answer belongs to another request.
    #[error("answer carries request id {found:?}")]
    WrongResponse {
        /// Request id of the answer, if it has one.
        found: Option<String>,
    },
}

/// Calls upstreams.
pub trait UpstreamClient: Debug + Send + Sync {
    /// Sends a request and returns the head of the answer.
    fn send(&self, request: &UpstreamRequest<'_>) -> Result<UpstreamResponse, CallError>;

    /// Reads the load report.
    fn read_load(&self, address: SocketAddr) -> Result<LoadReport, CallError>;
}
