//! Compares what a connection receives with what its reader delivers.

use std::{
    fmt::Display,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Bytes that a connection may receive beyond those that the delivered ones account for: heads, and
/// what is buffered between the socket and the reader.
pub const MAX_UNDELIVERED_BYTES: u64 = 256 << 10;

/// Received bytes that each delivered byte accounts for. A chunk of one byte takes six.
const RECEIVED_PER_DELIVERED: u64 = 9;

/// Number of connections that this process cut off.
static CUT_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Counts a connection that was closed because of what it received.
pub(crate) fn record_cut_connection() {
    CUT_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
}

/// Logs and counts a connection to another host or the platform that was closed because of what it
/// received.
pub(crate) fn log_cut_connection(address: &dyn Display, reason: &dyn Display) {
    record_cut_connection();
    tracing::warn!(%address, %reason, "connection_cut");
}

/// Returns the number of connections that this process closed because of what they received.
pub fn cut_connections() -> u64 {
    CUT_CONNECTIONS.load(Ordering::Relaxed)
}

/// A connection received far more than its reader delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{received} bytes received, only {delivered} of them content")]
pub struct IntakeError {
    /// Bytes received since the start of the exchange.
    pub received: u64,
    /// Bytes of content that the reader delivered in this time.
    pub delivered: u64,
}

/// Counts the bytes of one exchange at a time on one connection.
///
/// The socket adds what it receives, and the reader of the response adds what it delivers.
#[derive(Debug, Default)]
pub struct IntakeMeter {
    received: AtomicU64,
    delivered: AtomicU64,
}

impl IntakeMeter {
    /// Creates the meter of a connection.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Starts to count for the next exchange of the connection.
    pub fn restart(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.delivered.store(0, Ordering::Relaxed);
    }

    /// Adds bytes that the socket received.
    pub fn record_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes of content that the reader delivered.
    pub fn record_delivered(&self, bytes: usize) {
        self.delivered.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Checks whether the connection may receive more.
    ///
    /// # Errors
    ///
    /// It has received far more than its reader delivered.
    pub fn check(&self) -> Result<(), IntakeError> {
        let received = self.received.load(Ordering::Relaxed);
        let delivered = self.delivered.load(Ordering::Relaxed);
        let accounted = delivered.saturating_mul(RECEIVED_PER_DELIVERED);
        if received > accounted.saturating_add(MAX_UNDELIVERED_BYTES) {
            return Err(IntakeError { received, delivered });
        }
        Ok(())
    }
}
