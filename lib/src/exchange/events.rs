//! Splits a stream of server-sent events (SSE) into complete events.

/// Maximum size of an event; a stream with a longer one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Start of the event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Collects the bytes of a stream and returns complete events only.
///
/// A broken stream is resumed at the start of an event, so no partial event may be delivered.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    is_done: bool,
}

/// Consecutive complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, including the separators.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: u64,
}

impl EventBatch {
    /// Returns whether an event has data or an id. Comments and empty lines are no content.
    pub fn has_content(&self) -> bool {
        let mut lines = self.bytes.split(|it| *it == b'\n');
        lines.any(|line| line.starts_with(b"data:") || line.starts_with(b"id:"))
    }
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that they complete; `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        let mut count = 0;
        let mut from = search_start;
        while let Some(end) = event_end(&self.pending, from) {
            let event = &self.pending[start..end];
            self.is_done |= event.starts_with(DONE_EVENT);
            count += 1;
            start = end;
            from = end;
        }
        if count == 0 {
            return None;
        }
        let rest = self.pending.split_off(start);
        let bytes = std::mem::replace(&mut self.pending, rest);
        Some(EventBatch { bytes, count })
    }

    /// Returns whether part of an event has arrived after the last complete one.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the final event has arrived.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns the memory that the splitter takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Returns the position after the first empty line at or after `from`; reads no further than that.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    loop {
        let line_end = start + bytes[start..].iter().position(|it| *it == b'\n')?;
        let rest = &bytes[line_end + 1..];
        if rest.starts_with(b"\n") {
            return Some(line_end + 2);
        }
        if rest.starts_with(b"\r\n") && bytes[from..line_end].ends_with(b"\r") {
            return Some(line_end + 3);
        }
        start = line_end + 1;
    }
}
