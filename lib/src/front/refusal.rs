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

/// A refusal as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable, machine-readable reason.
    pub reason: String,
    /// Explanation for a person.
    pub message: String,
    /// Whether an upstream ran the request.
    pub outcome: OutcomeKind,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that no upstream ran.
    pub fn not_run(status: u16, reason: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            message: message.into(),
            outcome: OutcomeKind::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that an upstream may have run.
    pub fn unknown(status: u16, reason: &str, message: impl Into<String>) -> Self {
        Self {
            outcome: OutcomeKind::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Adds the time after which a retry may succeed.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the JSON body.
    pub fn body(&self, request_id: &str) -> Vec<u8> {
        let body = json!({
            "error": {
                "type": self.reason,
                "message": self.message,
                "outcome": self.outcome.as_str(),
                "request_id": request_id,
            }
        });
        body.to_string().into_bytes()
    }
}
