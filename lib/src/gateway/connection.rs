//! HTTP connections that the router opens: to upstreams, other hosts and the platform.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Idle time before the first keep-alive probe of the system, and interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Largest response of a [`HttpClient`]: a page of a listing is about 1 MB of values in base64.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Times after which a peer counts as unreachable.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimeouts {
    /// Time to establish a connection.
    pub connect: Duration,
    /// Time without acknowledgement after which the system gives a connection up.
    pub unacknowledged: Duration,
}

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The other side refused, or the system has no way there.
    #[error("no connection: {0}")]
    Failed(String),
    /// No response came in time.
    #[error("no connection in time")]
    Timeout,
}

/// One connection; dropping it closes it, also while a response arrives.
#[derive(Debug)]
pub struct HttpConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Establishes a connection. Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The address was not reached in time.
    pub async fn open(
        address: SocketAddr,
        timeouts: &ConnectTimeouts,
    ) -> Result<Self, ConnectError> {
        let failed = |reason: &dyn ToString| ConnectError::Failed(reason.to_string());
        let stream = match timeout(timeouts.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(&error)),
            Err(_) => return Err(ConnectError::Timeout),
        };
        set_socket_options(&stream, timeouts.unacknowledged).map_err(|error| failed(&error))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(&error))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection_ended");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Returns whether a request can be sent now.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Sends small packets at once, and lets the system notice a peer that has acknowledged nothing for
/// `unacknowledged`.
pub(super) fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection was established.
    #[error(transparent)]
    Unreachable(#[from] ConnectError),
    /// The connection was lost, or no response came in time.
    #[error("no response: {0}")]
    Lost(String),
}

/// Calls one address over a connection that is kept between calls.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeouts: ConnectTimeouts,
    connection: Option<HttpConnection>,
}

impl HttpClient {
    /// Creates a client that is not connected.
    pub fn new(address: SocketAddr, timeouts: ConnectTimeouts) -> Self {
        Self { address, timeouts, connection: None }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response within `limit`.
    ///
    /// # Errors
    ///
    /// There was no complete response in time. The connection is closed then, because a late
    /// response would be taken for that of the next call.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let usable = self.connection.take().filter(HttpConnection::is_usable);
        let mut connection = match usable {
            Some(connection) => connection,
            None => HttpConnection::open(self.address, &self.timeouts).await?,
        };
        let lost = |reason: &dyn ToString| ClientError::Lost(reason.to_string());
        let exchange = async {
            let response = connection.sender.send_request(request).await;
            let (parts, body) = response.map_err(|error| lost(&error))?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| lost(&error))?.to_bytes();
            Ok::<_, ClientError>((parts.status, body))
        };
        let response = timeout(limit, exchange).await.map_err(|_| lost(&"not in time"))??;
        self.connection = Some(connection);
        Ok(response)
    }
}
