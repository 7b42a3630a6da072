//! Bounds what the sender of a message can make this process hold and compute.
//!
//! A connection to an upstream, another host or the platform runs over a [`MeteredSocket`]. It hands
//! over a few bytes for each poll of its task, so that no sender keeps the thread, and it fails once
//! the sender has sent far more than its reader delivered, whether in heads, chunk framing, trailers
//! or events without content. Readers report what they deliver to the [`IntakeMeter`] of the
//! connection. The router's blocking client has metered connections of its own. [`ResponseBuffers`] accounts for the memory that responses take until their callers
//! have them.
//!
//! A [`MemoryAccount`] covers all that a process holds for its callers: connections, bodies of
//! requests and those responses. A [`ConnectionTable`] bounds the connections of callers.
//!
//! Bodies are copied out of the buffers of the HTTP library: a small piece of such a buffer would
//! keep all of it.

mod account;
mod body;
mod buffers;
mod connections;
mod meter;
mod socket;
mod transport;

pub use self::{
    account::{
        AccountError, CONNECTION_BYTES, HeldBody, HostSize, MemoryAccount, MemoryCharge,
        evicted_bodies, first_to_give_up, held_bytes,
    },
    body::is_too_slow,
    buffers::{BufferError, BufferReservation, ResponseBuffers, ResponseLimits},
    connections::{
        ConnectionPhase, ConnectionSlot, ConnectionTable, PhaseHandle, evicted_connections,
        first_to_close, open_connections,
    },
    meter::{IntakeError, IntakeMeter, MAX_UNDELIVERED_BYTES, cut_connections},
    socket::{BYTES_PER_POLL, MeteredSocket},
};
pub(crate) use self::{
    body::{
        BodyError, CallerBodyError, CallerBodyLimits, discard_rest, read_body, read_caller_body,
        sends_body_at_once,
    },
    connections::{PhaseBody, close_evicted},
    meter::{log_cut_connection, record_cut_connection},
    transport::{MeteredConnector, MeteredTransport, is_cut_off, metered_body},
};

/// Largest head of a response, in bytes; also the limit of a connection's read buffer.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
