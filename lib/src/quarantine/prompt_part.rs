//! Identity of a part of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Identifies a part of a prompt for one model, by a hash.
///
/// Parts are named by callers, so a hash that cannot be forged would gain nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Computes the identity of a part from the model and the part's name.
    pub fn new(model: &str, name: &str) -> Self {
        Self(rendezvous::hash_parts(&["part", model, name]))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
