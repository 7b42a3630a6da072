//! Bounds what the sender of a message can make this process hold and compute.
//!
//! [`ResponseBuffers`] accounts for the memory that responses take until their callers
//! have them.
//!
//! Bodies are copied out of the buffers of the HTTP library: a small piece of such a buffer would
//! keep all of it.

mod body;
mod buffers;

pub(crate) use self::body::{BodyError, read_body};
pub use self::buffers::{BufferError, BufferReservation, ResponseBuffers, ResponseLimits};
