//! What the request path needs from heads on the wire; header names belong to the adapter.

use std::{fmt::Debug, net::SocketAddr, time::Duration};

use hyper::{HeaderMap, StatusCode};

use super::upstreams::ReportedLoad;
use crate::names::TeamName;

/// What a caller's request head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the caller's attempt; empty if the caller sent none.
    pub request_id: String,
    /// Credential as the caller sent it.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Last event of the stream that the caller has.
    pub resume_after: Option<u64>,
    /// Hash of the prompt part that is shared with other requests.
    pub affinity: Option<u64>,
    /// Hash of all parts of the prompt, with the request's own one.
    pub prompt: Option<u64>,
    /// Tokens of all prompt parts up to and including that one.
    pub shared_tokens: u32,
}

/// What the router tells an upstream with one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// Upstream that is meant; any other one at the address must not run the request.
    pub upstream: &'a str,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Time that is left.
    pub time_left: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// Last event that the caller has, if the stream is continued.
    pub resume_after: Option<u64>,
    /// Another upstream from which this one may copy the parts of the prompt that it lacks.
    pub prompt_holder: Option<SocketAddr>,
}

/// What an upstream's response head says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the response names this request.
    pub is_for_request: bool,
    /// Whether the response carries the signature of an upstream.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream answered at the address.
    pub is_misdirected: bool,
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// How much longer the upstream is cold.
    pub cold_for: Option<Duration>,
}

/// Reads and writes the heads of requests and responses.
pub trait WireDialect: Debug {
    /// Reads a caller's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces what only the router may say to upstreams, and removes the credential.
    fn write_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Reads an upstream's head; `request_id` is the id that the request was sent with.
    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
    ) -> ResponseHead;

    /// Marks a response of the router itself with the id of the request.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: &str);
}
