//! Reads bodies that are small enough to be held in one piece.

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};

use super::IntakeMeter;

/// Largest capacity that is allocated for a body before any of it has arrived.
const MAX_INITIAL_CAPACITY: usize = 64 << 10;

/// Why a body was not read completely.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError<E> {
    /// The connection ended, or the framing is invalid.
    #[error("{0}")]
    Lost(#[from] E),
    /// The body exceeds the limit of its reader, in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
}

/// Reads a body of up to `max_bytes` to its end, and reports what it reads to the meter of the
/// connection, if it has one.
///
/// The copy takes at most twice the memory of the body, however the body is split into chunks.
pub(crate) async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    meter: Option<&IntakeMeter>,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(announced.min(max_bytes).min(MAX_INITIAL_CAPACITY));
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        if let Some(meter) = meter {
            meter.record_delivered(chunk.len());
        }
        if chunk.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLarge(max_bytes));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.into())
}
