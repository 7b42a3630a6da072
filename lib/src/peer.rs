//! Calls to other hosts: the transport, and the threads that make calls in the background.

mod http;
mod pool;

use std::{fmt::Debug, net::SocketAddr, time::Duration};

pub use self::{
    http::{HttpPeer, MAX_MESSAGE_BYTES, decode_message, encode_message, encode_named_message},
    pool::{PeerCall, PeerCaller, PeerPool},
};

/// Sends requests to other hosts; `Q` is the type of requests and `R` the type of replies.
pub trait PeerTransport<Q, R>: Debug + Send + Sync {
    /// Sends a request to the host at `address` and waits for its reply.
    fn call(&self, address: SocketAddr, request: &Q, timeout: Duration) -> Result<R, PeerError>;
}

/// A call without a reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte of the request reached the host.
    #[error("peer not reached: {0}")]
    NotSent(String),
    /// The host may have handled the request.
    #[error("no reply from peer: {0}")]
    Ambiguous(String),
}
