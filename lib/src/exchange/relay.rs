//! Passes the events of a stream on as they arrive.

use std::io::{ErrorKind, Read};

use super::events::EventSplitter;
use crate::front::CallerDisconnected;

/// Bytes that are read at once; many times the size of a token event.
const READ_BYTES: usize = 8 << 10;

/// How a relayed stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The final event was delivered.
    Complete,
    /// The upstream broke off before the final event.
    Broken(String),
    /// The caller went away.
    CallerGone,
}

/// Reads until the end of the stream and hands every whole event to `deliver` at once.
pub(super) fn relay_events(
    mut body: impl Read,
    deliver: &mut dyn FnMut(Vec<u8>, u64) -> Result<(), CallerDisconnected>,
) -> RelayEnd {
    let mut splitter = EventSplitter::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = match body.read(&mut buffer) {
            Ok(0) if splitter.is_done() => return RelayEnd::Complete,
            Ok(0) => return RelayEnd::Broken("ended without the final event".into()),
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // After the final event nothing is missing, whatever happens to the connection.
            Err(_) if splitter.is_done() => return RelayEnd::Complete,
            Err(error) => return RelayEnd::Broken(error.to_string()),
        };
        if let Some(batch) = splitter.push(&buffer[..length])
            && deliver(batch.bytes, batch.count).is_err()
        {
            return RelayEnd::CallerGone;
        }
        if splitter.is_oversized() {
            return RelayEnd::Broken("an event is too large".into());
        }
    }
}
