//! Reads bodies that are small enough to be held in one piece.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{
    body::{Body, Bytes, Incoming},
    header::{self, HeaderMap},
};
use tokio::time::{sleep, timeout};

use super::{AccountError, HeldBody, IntakeMeter, MemoryAccount};

/// Largest capacity that is allocated for a body before any of it has arrived.
const MAX_INITIAL_CAPACITY: usize = 64 << 10;

/// Interval at which the rate of a caller's body is checked.
const RATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a caller's body must have a minimum rate.
const RATE_GRACE: Duration = Duration::from_secs(5);

/// Lowest mean rate of a caller's body while memory is scarce, in bytes per second.
const MIN_BODY_RATE: u64 = 1 << 10;

/// Time for which the rest of a refused body is read and dropped while memory is scarce, so that its
/// caller can read the refusal: closing a connection with unread bytes would reset it.
const DISCARD_TIME: Duration = Duration::from_secs(1);

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

/// Limits of the body of a caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerBodyLimits {
    /// Largest body, in bytes.
    pub(crate) max_bytes: usize,
    /// Time within which the body must arrive.
    pub(crate) time: Duration,
}

/// Why the body of a caller's request was not read completely.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallerBodyError<E> {
    /// The connection ended, or the framing is invalid.
    #[error("the body is incomplete: {0}")]
    Lost(#[from] E),
    /// The body exceeds the limit of its reader, in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive within its time.
    #[error("the body took longer than {0:?}")]
    Timeout(Duration),
    /// The body is slower than the lowest rate, and memory is scarce.
    #[error("the body is slower than {MIN_BODY_RATE} bytes per second")]
    Stalled,
    /// There is no memory for the body.
    #[error(transparent)]
    NoMemory(AccountError),
}

/// Reads the body of a caller's request into `account`. Its memory stays charged until the returned
/// bytes are dropped.
///
/// An announced length over the limit fails at once. What remains of a body that is not read to its
/// end is left in `body`.
pub(crate) async fn read_caller_body<B>(
    body: &mut B,
    limits: CallerBodyLimits,
    account: &Arc<MemoryAccount>,
) -> Result<Bytes, CallerBodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > limits.max_bytes as u64 {
        return Err(CallerBodyError::TooLarge(limits.max_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = hint.exact().and_then(|it| usize::try_from(it).ok());
    let mut held = account.begin_body(announced, limits.max_bytes);
    let result = timeout(limits.time, receive(body, limits.max_bytes, &mut held, account)).await;
    result.unwrap_or(Err(CallerBodyError::Timeout(limits.time)))?;
    held.finish().map_err(CallerBodyError::NoMemory)
}

async fn receive<B>(
    body: &mut B,
    max_bytes: usize,
    held: &mut HeldBody,
    account: &MemoryAccount,
) -> Result<(), CallerBodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let started = Instant::now();
    let mut received = 0;
    let mut next_check = pin!(sleep(RATE_CHECK_INTERVAL));
    loop {
        let frame = tokio::select! {
            biased;
            () = held.wait_evicted() => return Err(CallerBodyError::NoMemory(AccountError::Evicted)),
            frame = body.frame() => frame,
            () = next_check.as_mut() => {
                if is_too_slow(started.elapsed(), received as u64) && account.is_scarce() {
                    return Err(CallerBodyError::Stalled);
                }
                next_check.set(sleep(RATE_CHECK_INTERVAL));
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        // Trailers are dropped.
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        if chunk.len() > max_bytes - received {
            return Err(CallerBodyError::TooLarge(max_bytes));
        }
        received += chunk.len();
        held.extend(&chunk).map_err(CallerBodyError::NoMemory)?;
    }
}

/// Returns whether a body of which `received` bytes arrived in `elapsed` is below the lowest rate.
pub fn is_too_slow(elapsed: Duration, received: u64) -> bool {
    elapsed > RATE_GRACE && received < elapsed.as_secs().saturating_mul(MIN_BODY_RATE)
}

/// Returns whether the caller sends its body without waiting for `100 Continue`, which it gets once
/// the body is read for the first time.
pub(crate) fn sends_body_at_once(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::EXPECT)
}

/// Reads and drops the rest of a refused body, within the limits of a body that is read, or for a
/// shorter time while memory is scarce.
pub(crate) async fn discard_rest(
    mut body: Incoming,
    limits: CallerBodyLimits,
    account: Arc<MemoryAccount>,
) {
    let time = if account.is_scarce() { DISCARD_TIME.min(limits.time) } else { limits.time };

    let reading = async {
        let mut left = limits.max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    // The time limit is no failure: the connection closes when the body is dropped.
    let _ = timeout(time, reading).await;
}
