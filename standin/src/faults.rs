//! Faults of single responses, set with `POST /control/echo`.

use serde::{Deserialize, Serialize};

/// How a response is faulty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// The response is correct.
    #[default]
    Normal,
    /// The response to another request: a wrong `x-request-id`, and a body that contains `foreign`.
    WrongId,
    /// The correct body with a wrong `x-request-id`.
    WrongIdOnly,
    /// The response has no `x-request-id`.
    NoId,
    /// The response starts after an additional delay.
    Late,
    /// The connection is closed after half of the response.
    Short,
    /// A stream ends with valid framing, but without `[DONE]` and half of its tokens. Responses
    /// that are not streamed are truncated as in `Short`.
    ShortFramed,
}

/// A fault of the next responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseFault {
    /// How the responses are faulty.
    #[serde(default)]
    pub mode: FaultMode,
    /// Number of responses that are faulty; later ones are correct.
    #[serde(default = "default_count")]
    pub count: u64,
    /// Additional delay in the mode `Late`, in milliseconds.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: u64,
}

fn default_count() -> u64 {
    1
}

fn default_delay_ms() -> u64 {
    1_000
}

impl ResponseFault {
    /// Returns the fault of the next response and decrements `count`.
    pub(crate) fn next_fault(&mut self) -> ResponseFault {
        if self.mode == FaultMode::Normal || self.count == 0 {
            return ResponseFault::default();
        }
        self.count -= 1;
        *self
    }

    /// Returns the `x-request-id` of the response to a request with `id`.
    pub(crate) fn echoed_id(&self, id: &str) -> Option<String> {
        match self.mode {
            FaultMode::NoId => None,
            FaultMode::WrongId | FaultMode::WrongIdOnly => Some(format!("other-{id}")),
            _ => Some(id.to_owned()),
        }
    }
}
