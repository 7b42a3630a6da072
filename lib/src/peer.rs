//! Calls between hosts.

mod http;
mod pool;

use std::{fmt::Debug, net::SocketAddr, time::Duration};

pub use self::{
    http::{HttpPeer, decode_message, encode_message},
    pool::{PeerCall, PeerCaller, PeerPool},
};

/// Calls another host with an encoded request; `Q` and `R` are the message types.
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
