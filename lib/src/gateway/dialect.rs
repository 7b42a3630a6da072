//! Interface to the wire format: what the request path reads from and writes to message heads.
//! Header names are up to the implementation of [`WireDialect`].

use std::{fmt::Debug, net::SocketAddr, time::Duration};

use hyper::{HeaderMap, StatusCode};

use super::upstreams::ReportedLoad;
use crate::{names::TeamName, quarantine::PromptPart, work::RequestSize};

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request, new for each attempt of the caller; empty if the caller sent none.
    pub request_id: String,
    /// Credential without its scheme.
    pub key: Option<String>,
    /// Time for which the caller waits for the response, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Hash of the prompt part that is shared with other requests.
    pub affinity: Option<u64>,
    /// Hash of the complete prompt.
    pub prompt: Option<u64>,
    /// Number of tokens in the shared part of the prompt.
    pub shared_tokens: u32,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Size of the request as the caller states it.
    pub size: RequestSize,
}

/// Values that the router sends to an upstream in the head of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// Name of the intended upstream; any other one at the address must not run the request.
    pub upstream: &'a str,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the caller has received, if the stream is resumed.
    pub resume_after: Option<u64>,
    /// Another upstream from which this one may copy cached parts of the prompt.
    pub prompt_holder: Option<SocketAddr>,
}

/// Contents of the head of an upstream's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the response carries the id of this request.
    pub is_for_request: bool,
    /// Whether the response carries the id of another request. An upstream may send a second copy
    /// of an answer late, on a connection that is in use again.
    pub is_for_other_request: bool,
    /// Whether the response carries the signature of an upstream.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream than the intended one responded at the address.
    pub is_misdirected: bool,
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// Remaining time of the upstream's cold start.
    pub cold_for: Option<Duration>,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this host.
    pub pause: Option<Duration>,
}

/// Reads and writes the heads of requests and responses in the wire format of one platform.
pub trait WireDialect: Debug {
    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Writes the values of an attempt into the caller's headers. Removes the credential, and every
    /// header that only the router may send to upstreams.
    fn write_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Reads the head of an upstream's response to the request with this id.
    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
    ) -> ResponseHead;

    /// Writes the id of the request into the head of a refusal by the router.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: &str);
}
