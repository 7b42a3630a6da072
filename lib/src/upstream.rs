//! The client for upstreams: engines and services.

mod http;

use std::{
    fmt::{self, Debug},
    io::{self, Read},
    net::SocketAddr,
    time::Duration,
};

pub use self::http::HttpUpstream;
use crate::routing::LoadReport;

/// A request to an upstream; it carries no credentials of the caller.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers; hop-by-hop headers are not sent.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
    /// Request id that the response must echo.
    pub request_id: &'a str,
    /// Whether the request may be sent on a pooled connection.
    ///
    /// If a pooled connection fails, it is unknown whether the upstream read the request, so
    /// requests that must not run twice use a new connection.
    pub reuse_connection: bool,
    /// Time within which the response head must arrive.
    pub head_timeout: Duration,
}

/// A response whose body is read as it arrives.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Incarnation of the upstream process, if the response states it.
    pub incarnation: Option<u64>,
    /// Body; a read error means that the response is incomplete. Its kind is
    /// [`io::ErrorKind::InvalidData`] if the connection was cut off because of what the upstream
    /// sent.
    pub body: Box<dyn Read + Send>,
}

impl UpstreamResponse {
    /// Returns the value of the first header called `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

impl Debug for UpstreamResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamAnswer").field("status", &self.status).finish_non_exhaustive()
    }
}

/// A call without a usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request reached the upstream.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream may have run the request.
    #[error("no response: {0}")]
    Ambiguous(String),
    /// The connection was cut off because of what the upstream sent; it may have run the request.
    #[error("cut off: {0}")]
    CutOff(String),
    /// The status is not that of a final response; the upstream may have run the request.
    #[error("{0} is not the status of a final response")]
    InvalidStatus(u16),
    /// The response belongs to another request.
    #[error("response carries request id {found:?}")]
    WrongResponse {
        /// Request id of the response, if it has one.
        found: Option<String>,
    },
}

impl CallError {
    /// Classifies an error of reading the body of a response.
    pub fn of_body(error: &io::Error) -> Self {
        if error.kind() == io::ErrorKind::InvalidData {
            Self::CutOff(error.to_string())
        } else {
            Self::Ambiguous(error.to_string())
        }
    }
}

/// Returns whether a response with this status can answer a request. Responses of the class 1xx
/// precede the one that does, and HTTP has no class above 5xx.
pub(crate) fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Sends requests to upstreams.
pub trait UpstreamClient: Debug + Send + Sync {
    /// Sends a request and returns the response as soon as its head has arrived.
    fn send(&self, request: &UpstreamRequest<'_>) -> Result<UpstreamResponse, CallError>;

    /// Reads the load report of the upstream at `address`.
    fn read_load(&self, address: SocketAddr) -> Result<LoadReport, CallError>;
}
