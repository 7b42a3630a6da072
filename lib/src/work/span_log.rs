//! Which spans of prompts an upstream was sent recently.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{PromptSpan, RequestSize};
use crate::quarantine::PromptPart;

/// Time after which a span is no longer expected to be cached: other prompts may have displaced it.
const SPAN_RETENTION: Duration = Duration::from_secs(20);

/// Largest number of spans that are remembered of an upstream.
const MAX_SPANS: usize = 256;

/// The spans that one upstream was sent, with the time of the last one.
#[derive(Debug, Default)]
pub(super) struct SpanLog(HashMap<PromptPart, Instant>);

impl SpanLog {
    /// Records a prompt that the upstream has begun to answer, and so has read.
    pub(super) fn record(&mut self, now: Instant, spans: &[PromptSpan]) {
        for span in spans {
            self.0.insert(span.part, now);
        }
        if self.0.len() <= MAX_SPANS {
            return;
        }
        // Half of them are dropped, so that the sort is rare.
        let mut times: Vec<Instant> = self.0.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_SPANS / 2);
        let median = *median;
        self.0.retain(|_, at| *at > median);
    }

    /// Returns the tokens at the beginning of a prompt that the upstream probably has cached. A
    /// cached span is of use only if all spans before it are cached.
    pub(super) fn cached_tokens(&self, now: Instant, size: &RequestSize) -> u32 {
        let is_cached = |it: &&PromptSpan| {
            let sent = self.0.get(&it.part);
            sent.is_some_and(|at| now.saturating_duration_since(*at) < SPAN_RETENTION)
        };
        let cached = size.spans.iter().take_while(is_cached);
        cached.fold(0, |sum, it| sum.saturating_add(it.tokens))
    }
}
