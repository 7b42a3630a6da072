//! Receives a response that is not streamed, within the memory for responses.

use std::io::{self, Read};

use crate::intake::{BufferError, BufferReservation};

/// Bytes of a response body that are read at a time.
const READ_BYTES: usize = 8 << 10;

/// Why the body of a response was not received.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// The connection ended, or was cut off.
    #[error(transparent)]
    Lost(#[from] io::Error),
    /// There is no memory for it.
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

/// Reads a body to its end. `reservation` accounts for the capacity of the result.
pub(super) fn read_body(
    mut body: impl Read,
    reservation: &mut BufferReservation,
) -> Result<Vec<u8>, ReceiveError> {
    let mut content = Vec::new();
    let mut buffer = [0; READ_BYTES];
    loop {
        let length = match body.read(&mut buffer) {
            Ok(0) => return Ok(content),
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(error.into()),
        };
        if length > content.capacity() - content.len() {
            let doubled = (content.capacity() * 2).max(content.len() + length);
            let more = (doubled - content.capacity()).min(reservation.remaining_bytes());
            reservation.try_grow(more.max(content.len() + length - content.capacity()))?;
            content.reserve_exact(content.capacity() + more - content.len());
        }
        content.extend_from_slice(&buffer[..length]);
    }
}
