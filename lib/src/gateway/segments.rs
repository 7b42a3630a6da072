//! Bodies of responses that are received completely, in segments that account for their memory.

use hyper::body::Bytes;

use crate::intake::{BufferError, BufferReservation};

/// Smallest capacity of a segment.
const MIN_SEGMENT_BYTES: usize = 1 << 10;

/// Largest capacity of a segment. A body wastes less than this.
const MAX_SEGMENT_BYTES: usize = 256 << 10;

/// Bytes that release their memory when the last reference to them is dropped.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: BufferReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that keep `reservation`, which accounts for their capacity, until they are dropped.
pub(super) fn reserved_bytes(bytes: Vec<u8>, reservation: BufferReservation) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation })
}

/// Receives a body into segments of growing capacity, so that no byte moves when it grows.
pub(super) struct SegmentBuffer {
    complete: Vec<Bytes>,
    current: Vec<u8>,
    reservation: BufferReservation,
}

impl SegmentBuffer {
    pub(super) fn new(reservation: BufferReservation) -> Self {
        Self { complete: Vec::new(), current: Vec::new(), reservation }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// There is no memory for them; some of them may have been appended.
    pub(super) fn extend(&mut self, mut bytes: &[u8]) -> Result<(), BufferError> {
        while !bytes.is_empty() {
            let space = self.current.capacity() - self.current.len();
            let (now, rest) = bytes.split_at(space.min(bytes.len()));
            self.current.extend_from_slice(now);
            bytes = rest;
            if !bytes.is_empty() {
                self.start_segment(bytes.len())?;
            }
        }
        Ok(())
    }

    /// Returns the segments of the body in their order.
    pub(super) fn finish(mut self) -> Vec<Bytes> {
        self.complete_segment();
        self.complete
    }

    fn start_segment(&mut self, needed: usize) -> Result<(), BufferError> {
        let doubled = self.current.capacity().saturating_mul(2).max(needed);
        let capacity = doubled.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        // Under the limit of the response, so that one of exactly this size is received.
        let capacity = capacity.min(self.reservation.remaining_bytes()).max(1);
        self.complete_segment();
        self.reservation.try_grow(capacity)?;
        self.current = Vec::with_capacity(capacity);
        Ok(())
    }

    fn complete_segment(&mut self) {
        if !self.current.is_empty() {
            let bytes = std::mem::take(&mut self.current);
            self.complete.push(reserved_bytes(bytes, self.reservation.split()));
        }
    }
}
