//! What a caller states about the size of its request.

use crate::quarantine::PromptPart;

/// Consecutive tokens of a prompt that an upstream caches as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSpan {
    /// The part of the prompt.
    pub part: PromptPart,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Size of a request as its caller states it. All of it may be absent or wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Length of the prompt, in tokens; absent for requests without a prompt.
    pub prompt_tokens: Option<u32>,
    /// Largest length of the response, in tokens.
    pub max_output_tokens: Option<u32>,
    /// The caller's estimate of the length of the response, in tokens.
    pub expected_output_tokens: Option<u32>,
    /// The parts of the prompt, in order; the last one belongs to the request alone.
    pub spans: Vec<PromptSpan>,
}

impl RequestSize {
    /// Returns the length of the parts that other requests may share, in tokens: all but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.spans.split_last().map_or(&[][..], |(_, before)| before);
        shared.iter().fold(0, |sum, it| sum.saturating_add(it.tokens))
    }
}
