//! Refusals: what the caller learns when a request has no answer from an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

/// Whether an upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// An upstream ran the request.
    Ran,
    /// No upstream ran the request or will run it.
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

/// Why a request has no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request cannot be read or lacks a field.
    InvalidRequest,
    /// The route needs a key.
    KeyMissing,
    /// The key is unknown or withdrawn.
    KeyInvalid,
    /// The team may not use the route.
    RouteForbidden,
    /// No route has the path.
    NoRoute,
    /// No route of the path has the method.
    MethodNotAllowed,
    /// The body took too long to arrive.
    BodyTimeout,
    /// The body is too large.
    BodyTooLarge,
    /// The team has used its rate and burst.
    OverRate,
    /// No host that keeps the team's limit can be asked.
    LimitUnavailable,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host is about to stop.
    Draining,
    /// The host is stopping.
    Stopping,
    /// The host takes no new requests.
    NotReady,
    /// The host serves its maximum of requests.
    Overloaded,
    /// The queue of the team is full.
    QueueFull,
    /// The place in the queue went to more urgent work.
    Shed,
    /// No upstream was free in time.
    QueueTimeout,
    /// No upstream takes such requests at present.
    NoUpstream,
    /// No upstream was reached.
    UpstreamUnreachable,
    /// Too many requests are being sent again.
    RetryLimit,
    /// An upstream did not answer to the end.
    UpstreamLost,
    /// No upstream answered in the time that the route or the caller allows.
    UpstreamTimeout,
    /// The answer is too large to be delivered whole.
    AnswerTooLarge,
    /// The request broke several upstreams.
    Quarantined,
    /// The request needs an operation key.
    OperationKeyMissing,
    /// The operation key is not a valid one.
    OperationKeyInvalid,
    /// The operation key was used with another request.
    OperationMismatch,
    /// An earlier request with the operation key is running.
    OperationRunning,
    /// The ticket is too old, or the process that issued it is gone.
    OperationExpired,
    /// What became of the operation is not known.
    OperationUnknown,
    /// The host that decides about the operation cannot decide at present.
    OperationUndecided,
    /// The request was interrupted.
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

    /// Returns whether the caller, not the fleet, has to change something.
    pub fn is_caller_error(self) -> bool {
        self != Self::OverRate && self.status() < 500
    }
}

/// A refusal as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub kind: RefusalKind,
    /// Explanation for a person.
    pub message: String,
    /// Whether an upstream ran the request.
    pub outcome: OutcomeKind,
    /// Time after which a retry may succeed.
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

    /// Adds the time after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the JSON body.
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
