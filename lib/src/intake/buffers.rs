//! Bounds the memory that responses of upstreams take until their callers have them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::{MemoryAccount, MemoryCharge};

/// Memory that a response may take also while larger ones take up their part of the total.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// Part of the total that only small responses may take, as a divisor: a quarter. A few responses
/// without end then do not take the memory from all others.
const SMALL_RESPONSE_SHARE: usize = 4;

/// Limits of the memory of responses.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// Largest response that is received completely before its caller gets it, in bytes.
    pub max_bytes: usize,
    /// Largest sum over all responses that are not delivered yet, in bytes.
    pub max_total_bytes: usize,
}

/// Why memory was not granted to a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The response reached the limit of a single one.
    #[error("the response exceeds {0} bytes")]
    ResponseTooLarge(usize),
    /// All responses together reached their limit; this one may be sound.
    #[error("the memory for responses is used up")]
    MemoryFull,
}

/// Memory that responses take now.
///
/// An upstream may send bytes without end. Under a limit for each response alone, the requests in
/// flight could together take the memory of the whole process.
#[derive(Debug)]
pub struct ResponseBuffers {
    limits: ResponseLimits,
    total_bytes: AtomicUsize,
    /// Account of the process, to which responses are charged too.
    account: Option<Arc<MemoryAccount>>,
}

impl ResponseBuffers {
    /// Creates the account of the responses of a process.
    pub fn new(limits: ResponseLimits) -> Arc<Self> {
        Arc::new(Self { limits, total_bytes: AtomicUsize::new(0), account: None })
    }

    /// Creates the same; responses are charged to `account` too, where they have the room of
    /// unfinished bodies.
    pub fn with_account(limits: ResponseLimits, account: Arc<MemoryAccount>) -> Arc<Self> {
        Arc::new(Self { limits, total_bytes: AtomicUsize::new(0), account: Some(account) })
    }

    /// Starts to account for a response that is received completely.
    pub fn open(self: &Arc<Self>) -> BufferReservation {
        self.open_with(self.limits.max_bytes)
    }

    /// Starts to account for a part of a response, such as its head or some events of a stream. Only
    /// the limit of all responses applies to it.
    pub fn open_part(self: &Arc<Self>) -> BufferReservation {
        self.open_with(self.limits.max_total_bytes)
    }

    fn open_with(self: &Arc<Self>, max_bytes: usize) -> BufferReservation {
        BufferReservation {
            buffers: self.clone(),
            bytes: 0,
            charge: None,
            response_bytes: 0,
            max_bytes,
        }
    }

    /// Returns the memory that responses take now, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }
}

/// Memory of one response or of a part of it; dropping it releases the memory.
#[derive(Debug)]
pub struct BufferReservation {
    buffers: Arc<ResponseBuffers>,
    bytes: usize,
    /// The same bytes in the account of the process.
    charge: Option<MemoryCharge>,
    /// Memory of the whole response, with the parts that were split off.
    response_bytes: usize,
    /// Largest value of `response_bytes`.
    max_bytes: usize,
}

impl BufferReservation {
    /// Accounts for `bytes` more.
    ///
    /// # Errors
    ///
    /// A limit would be exceeded; nothing changes.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), BufferError> {
        let max_total_bytes = self.buffers.limits.max_total_bytes;
        if bytes > self.remaining_bytes() {
            return Err(BufferError::ResponseTooLarge(self.max_bytes));
        }
        let is_small = self.response_bytes + bytes <= SMALL_RESPONSE_BYTES;
        let reserved = if is_small { 0 } else { max_total_bytes / SMALL_RESPONSE_SHARE };
        let grow = |total: usize| {
            let grown = total.checked_add(bytes)?;
            (grown <= max_total_bytes - reserved).then_some(grown)
        };
        let total_bytes = &self.buffers.total_bytes;
        if total_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_err() {
            return Err(BufferError::MemoryFull);
        }
        if let Some(account) = &self.buffers.account {
            let Ok(charge) = account.charge(bytes, is_small) else {
                total_bytes.fetch_sub(bytes, Ordering::Relaxed);
                return Err(BufferError::MemoryFull);
            };
            match &mut self.charge {
                Some(held) => held.merge(charge),
                None => self.charge = Some(charge),
            }
        }
        self.bytes += bytes;
        self.response_bytes += bytes;
        Ok(())
    }

    /// Accounts for exactly `bytes`, as the memory of a buffer that is filled and emptied.
    ///
    /// # Errors
    ///
    /// A limit would be exceeded; nothing changes.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BufferError> {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            return self.try_grow(more);
        }
        let less = self.bytes - bytes;
        self.bytes = bytes;
        // Dropped, which releases it.
        self.charge.as_mut().map(|it| it.split(less));
        self.response_bytes -= less;
        self.buffers.total_bytes.fetch_sub(less, Ordering::Relaxed);
        Ok(())
    }

    /// Moves the memory to a reservation of its own. It counts for the limit of this response as
    /// before.
    pub fn split(&mut self) -> Self {
        Self {
            buffers: self.buffers.clone(),
            bytes: std::mem::take(&mut self.bytes),
            charge: self.charge.take(),
            response_bytes: self.response_bytes,
            max_bytes: self.max_bytes,
        }
    }

    /// Returns how much more the response may take under its own limit, in bytes.
    pub fn remaining_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.response_bytes)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.buffers.total_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
