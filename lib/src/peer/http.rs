//! Transport of calls between hosts: MessagePack over HTTP/1.1.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, Error, Timeout, config::AutoHeaderValue};

use super::{PeerError, PeerTransport};
use crate::{
    daemon::byte_counting_agent,
    intake::{is_cut_off, log_cut_connection, metered_body},
};

/// Time limit for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest message; large enough for a complete configuration and for the body of a forwarded
/// request.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(60);

/// Buffer size for each direction of a connection; the HTTP library's default of 128 KiB would
/// take 25 MB with 100 peers, out of the 64 MB for all control work.
const BUFFER_BYTES: usize = 8 << 10;

/// Client for calls to other hosts over HTTP.
#[derive(Debug)]
pub struct HttpPeer {
    agent: Agent,
}

impl HttpPeer {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .no_delay(true)
            .proxy(None)
            .user_agent(AutoHeaderValue::None)
            .accept(AutoHeaderValue::None)
            .accept_encoding(AutoHeaderValue::None)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(256)
            .max_idle_connections_per_host(4)
            .max_idle_age(MAX_IDLE_AGE)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self { agent: byte_counting_agent(config) }
    }
}

impl Default for HttpPeer {
    fn default() -> Self {
        Self::new()
    }
}

impl<Q: Serialize, R: DeserializeOwned> PeerTransport<Q, R> for HttpPeer {
    fn call(&self, address: SocketAddr, request: &Q, timeout: Duration) -> Result<R, PeerError> {
        let message = encode_message(request);
        let response = self
            .agent
            .post(format!("http://{address}/peer"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(&message[..])
            .map_err(|error| classify(address, error))?;
        if response.status() != 200 {
            return Err(PeerError::Ambiguous(format!("status {}", response.status())));
        }
        let mut reply = Vec::new();
        metered_body(response.into_body())
            .take(MAX_MESSAGE_BYTES as u64)
            .read_to_end(&mut reply)
            .map_err(|error| classify(address, error.into()))?;
        rmp_serde::from_slice(&reply).map_err(|error| PeerError::Ambiguous(error.to_string()))
    }
}

/// Maps an error of the HTTP client to whether the request may have reached the host, and logs it if
/// the connection was cut off.
///
/// Only a failure before the connection is established proves that it did not.
fn classify(address: SocketAddr, error: Error) -> PeerError {
    if is_cut_off(&error) {
        log_cut_connection(&address, &error);
    }
    let reason = error.to_string();
    match error {
        Error::Io(source) if source.kind() == io::ErrorKind::ConnectionRefused => {
            PeerError::NotSent(reason)
        }
        Error::Timeout(Timeout::Connect) | Error::ConnectionFailed => PeerError::NotSent(reason),
        _ => PeerError::Ambiguous(reason),
    }
}

/// Encodes a message as MessagePack.
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    // Fields are sent by position, not by name, because control traffic is bounded to 4 KB/s.
    rmp_serde::to_vec(message).expect("peer messages are always encodable")
}

/// Encodes a message as MessagePack with the names of its fields. A receiver ignores those that it
/// does not know, so that releases may add fields.
pub fn encode_named_message<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("peer messages are always encodable")
}

/// Reads and decodes a MessagePack message; one of more than 16 MiB is cut off and fails to decode.
pub fn decode_message<T: DeserializeOwned>(reader: &mut dyn Read) -> Result<T, String> {
    let mut message = Vec::new();
    reader
        .take(MAX_MESSAGE_BYTES as u64)
        .read_to_end(&mut message)
        .map_err(|error| error.to_string())?;
    rmp_serde::from_slice(&message).map_err(|error| error.to_string())
}
