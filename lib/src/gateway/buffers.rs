//! Bounds the memory that responses of upstreams take while they are being received.

use std::{cell::Cell, rc::Rc};

/// Limits of the responses that are received completely before a caller gets them.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// Largest response, in bytes.
    pub max_bytes: usize,
    /// Largest sum over all responses that are being received, in bytes.
    pub max_total_bytes: usize,
}

/// Memory that responses take now.
///
/// An upstream may send bytes without end. Under a limit for each response alone, the requests in
/// flight could together take the memory of the whole process.
#[derive(Debug)]
pub struct ResponseBuffers {
    limits: ResponseLimits,
    total_bytes: Cell<usize>,
}

impl ResponseBuffers {
    /// Creates the account of a process.
    pub fn new(limits: ResponseLimits) -> Rc<Self> {
        Rc::new(Self { limits, total_bytes: Cell::new(0) })
    }

    /// Starts to account for one response.
    pub fn open(self: &Rc<Self>) -> BufferReservation {
        BufferReservation { buffers: self.clone(), bytes: 0 }
    }
}

/// Memory of one response; dropping it releases the memory.
#[derive(Debug)]
pub struct BufferReservation {
    buffers: Rc<ResponseBuffers>,
    bytes: usize,
}

impl BufferReservation {
    /// Accounts for `bytes` more; returns false, and changes nothing, if a limit would be exceeded.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let limits = self.buffers.limits;
        let total_bytes = self.buffers.total_bytes.get();
        let has_room = bytes <= limits.max_bytes.saturating_sub(self.bytes)
            && bytes <= limits.max_total_bytes.saturating_sub(total_bytes);
        if has_room {
            self.bytes += bytes;
            self.buffers.total_bytes.set(total_bytes + bytes);
        }
        has_room
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let total_bytes = &self.buffers.total_bytes;
        total_bytes.set(total_bytes.get() - self.bytes);
    }
}
