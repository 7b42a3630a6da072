//! Refusals: error responses that the router itself sends to callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

/// Whether an upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// An upstream ran the request.
    Ran,
    /// No upstream ran the request, and none will run it later.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl OutcomeKind {
    /// Returns the value of the `X-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why the router refuses a request or cannot deliver an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed or lacks a required field.
    InvalidRequest,
    /// The route requires an API key, and the request has none.
    KeyMissing,
    /// The API key is unknown or withdrawn.
    KeyInvalid,
    /// The team may not use the route.
    RouteForbidden,
    /// No route matches the path.
    NoRoute,
    /// Routes match the path, but none of them allows the method.
    MethodNotAllowed,
    /// The body did not arrive within the time limit.
    BodyTimeout,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The team has used up its rate and burst.
    OverRate,
    /// No host that owns a token bucket of the team is reachable.
    LimitUnavailable,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host accepts no new requests because a planned stop has begun.
    Draining,
    /// The router process is shutting down.
    Stopping,
    /// The host is not ready for requests; the response to a failed readiness check.
    NotReady,
    /// The host already serves its maximum number of requests.
    Overloaded,
    /// The queue of the team is full.
    QueueFull,
    /// The request lost its queue position to more urgent work.
    Shed,
    /// No upstream became free within the time limit of the queue.
    QueueTimeout,
    /// No upstream is eligible for the request at present.
    NoUpstream,
    /// No upstream could be reached.
    UpstreamUnreachable,
    /// The retry budget is exhausted.
    RetryLimit,
    /// The upstream failed before its response was complete.
    UpstreamLost,
    /// No upstream responded within the time limit of the route or the caller.
    UpstreamTimeout,
    /// The response exceeds the size limit for responses that are not streamed.
    AnswerTooLarge,
    /// The request is quarantined because it crashed several upstreams.
    Quarantined,
    /// The route requires an operation key, and the request has none.
    OperationKeyMissing,
    /// The operation key is invalid.
    OperationKeyInvalid,
    /// The operation key was used for a different request before.
    OperationMismatch,
    /// An earlier request with the same operation key is still running.
    OperationRunning,
    /// The operation's ticket has expired, or the process that issued it no longer runs.
    OperationExpired,
    /// It is unknown whether the operation ran.
    OperationUnknown,
    /// The host that owns the operation's record cannot decide at present.
    OperationUndecided,
    /// An internal error interrupted the request.
    InternalError,
}

impl RefusalKind {
    /// Returns the machine-readable name, the `type` of the error body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::KeyMissing => "key_missing",
            Self::KeyInvalid => "key_invalid",
            Self::RouteForbidden => "route_forbidden",
            Self::NoRoute => "no_route",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BodyTimeout => "body_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::OverRate => "over_rate",
            Self::LimitUnavailable => "limit_unavailable",
            Self::NoConfiguration => "no_configuration",
            Self::Draining => "draining",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue_full",
            Self::Shed => "shed",
            Self::QueueTimeout => "queue_timeout",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::RetryLimit => "retry_limit",
            Self::UpstreamLost => "upstream_lost",
            Self::UpstreamTimeout => "upstream_timeout",
            Self::AnswerTooLarge => "answer_too_large",
            Self::Quarantined => "quarantined",
            Self::OperationKeyMissing => "operation_key_missing",
            Self::OperationKeyInvalid => "operation_key_invalid",
            Self::OperationMismatch => "operation_mismatch",
            Self::OperationRunning => "operation_running",
            Self::OperationExpired => "operation_expired",
            Self::OperationUnknown => "operation_unknown",
            Self::OperationUndecided => "operation_undecided",
            Self::InternalError => "internal_error",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest | Self::OperationKeyMissing => 400,
            Self::KeyMissing | Self::KeyInvalid => 401,
            Self::RouteForbidden | Self::OperationKeyInvalid => 403,
            Self::NoRoute => 404,
            Self::MethodNotAllowed => 405,
            Self::BodyTimeout => 408,
            Self::OperationRunning => 409,
            Self::OperationExpired => 410,
            Self::BodyTooLarge => 413,
            Self::Quarantined | Self::OperationMismatch => 422,
            Self::OverRate => 429,
            Self::InternalError => 500,
            Self::UpstreamLost | Self::AnswerTooLarge | Self::OperationUnknown => 502,
            Self::UpstreamTimeout => 504,
            Self::LimitUnavailable
            | Self::NoConfiguration
            | Self::Draining
            | Self::Stopping
            | Self::NotReady
            | Self::Overloaded
            | Self::QueueFull
            | Self::Shed
            | Self::QueueTimeout
            | Self::RetryLimit
            | Self::NoUpstream
            | Self::UpstreamUnreachable
            | Self::OperationUndecided => 503,
        }
    }

    /// Returns whether the caller caused the refusal; exceeding the team's rate does not count.
    pub fn is_caller_error(self) -> bool {
        self != Self::OverRate && self.status() < 500
    }
}

/// A refusal of one request, as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub kind: RefusalKind,
    /// Human-readable explanation.
    pub message: String,
    /// Whether an upstream ran the request.
    pub outcome: OutcomeKind,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal of a request that no upstream ran.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), outcome: OutcomeKind::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that an upstream may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { outcome: OutcomeKind::Unknown, ..Self::not_run(kind, message) }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the response body as JSON.
    pub fn body(&self, request_id: &str) -> Vec<u8> {
        let body = json!({
            "error": {
                "type": self.kind.as_str(),
                "message": self.message,
                "outcome": self.outcome.as_str(),
                "request_id": request_id,
            }
        });
        body.to_string().into_bytes()
    }
}
