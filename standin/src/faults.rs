//! Faults of single answers, set by `POST /control/echo`.

use serde::{Deserialize, Serialize};

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Nothing.
    #[default]
    Normal,
    /// The answer of another request: wrong `x-request-id`, and a body that contains `foreign`.
    WrongId,
    /// The right body under a wrong `x-request-id`.
    WrongIdOnly,
    /// No `x-request-id`.
    NoId,
    /// The answer starts after an additional delay.
    Late,
    /// The connection breaks after half of the answer.
    Short,
    /// The answer ends with valid framing, but half of the tokens and `[DONE]` are missing.
    /// Plain answers are cut like `short`.
    ShortFramed,
}

/// A fault for the next answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseFault {
    /// What is wrong.
    #[serde(default)]
    pub mode: FaultMode,
    /// Answers that are affected; later ones are normal.
    #[serde(default = "default_count")]
    pub count: u64,
    /// Additional delay of the mode `late`, in milliseconds.
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
    /// Returns the fault of the next answer and counts it.
    pub(crate) fn next_fault(&mut self) -> ResponseFault {
        if self.mode == FaultMode::Normal || self.count == 0 {
            return ResponseFault::default();
        }
        self.count -= 1;
        *self
    }

    /// Returns the value of the header `x-request-id` for a request with `id`.
    pub(crate) fn echoed_id(&self, id: &str) -> Option<String> {
        match self.mode {
            FaultMode::NoId => None,
            FaultMode::WrongId | FaultMode::WrongIdOnly => Some(format!("other-{id}")),
            _ => Some(id.to_owned()),
        }
    }
}
