//! Relays the events of a stream as they arrive.

use std::io::{ErrorKind, Read};

use super::events::EventSplitter;
use crate::{front::CallerDisconnected, upstream::CallError};

/// Maximum number of bytes per read; many times the size of the event of one token.
const READ_BYTES: usize = 8 << 10;

/// Bytes of events without content that are relayed in a row. Comments keep a connection open; a
/// few of them a minute are usual.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// How the relay of a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The final event was delivered.
    Complete,
    /// The stream failed or ended before the final event, for this reason.
    Broken(String),
    /// The stream is cut off because of what the upstream sent, for this reason.
    CutOff(String),
    /// The caller closed its connection.
    CallerDisconnected,
}

/// Reads to the end of the stream and passes complete events to `deliver` as soon as they arrive.
pub(super) fn relay_events(
    mut body: impl Read,
    deliver: &mut dyn FnMut(Vec<u8>, u64) -> Result<(), CallerDisconnected>,
) -> RelayEnd {
    let mut splitter = EventSplitter::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut empty_bytes = 0;
    loop {
        let length = match body.read(&mut buffer) {
            Ok(0) if splitter.is_done() => return RelayEnd::Complete,
            Ok(0) => return RelayEnd::Broken("ended without the final event".into()),
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // After the final event the stream is complete, even if the connection fails.
            Err(_) if splitter.is_done() => return RelayEnd::Complete,
            Err(error) => {
                return match CallError::of_body(&error) {
                    CallError::CutOff(reason) => RelayEnd::CutOff(reason),
                    _ => RelayEnd::Broken(error.to_string()),
                };
            }
        };
        if let Some(batch) = splitter.push(&buffer[..length]) {
            empty_bytes = if batch.has_content() { 0 } else { empty_bytes + batch.bytes.len() };
            if deliver(batch.bytes, batch.count).is_err() {
                return RelayEnd::CallerDisconnected;
            }
        }
        if empty_bytes > MAX_EMPTY_BYTES {
            return RelayEnd::CutOff(format!("{empty_bytes} bytes of events without content"));
        }
        if splitter.is_oversized() {
            return RelayEnd::CutOff("an event is too large".into());
        }
    }
}
