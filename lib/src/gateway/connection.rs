//! Outgoing HTTP connections: to upstreams, other hosts and the platform.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::intake::read_body;

/// Idle time before the first TCP keep-alive probe, and interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts after which a remote address counts as unreachable.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimeouts {
    /// Time to establish a connection.
    pub connect: Duration,
    /// TCP user timeout: time without acknowledgement of sent data after which the system closes
    /// the connection.
    pub unacknowledged: Duration,
}

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The remote host refused the connection: no process listens at the address.
    #[error("no connection: {0}")]
    Refused(String),
    /// The connection was reset, there is no route to the remote side, or the socket failed.
    #[error("no connection: {0}")]
    Failed(String),
    /// The connection was not established in time.
    #[error("the connection was not established in time")]
    Timeout,
}

/// One HTTP connection. Dropping it closes the connection, even while a response is being received.
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
    /// The connection was refused, or was not established in time.
    pub async fn open(
        address: SocketAddr,
        timeouts: &ConnectTimeouts,
    ) -> Result<Self, ConnectError> {
        let failed = |reason: &dyn ToString| ConnectError::Failed(reason.to_string());
        let stream = match timeout(timeouts.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused(error.to_string()));
            }
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

    /// Returns whether the connection is open and has no request in flight.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Disables Nagle's algorithm, enables TCP keep-alive, and sets the TCP user timeout to
/// `unacknowledged`.
pub(super) fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Why a request of an [`HttpClient`] got no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection was established.
    #[error(transparent)]
    Unreachable(#[from] ConnectError),
    /// The connection was lost, or no response came in time.
    #[error("no response: {0}")]
    Lost(String),
}

/// Client for one address, with one persistent connection.
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

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the complete response within `time_limit`; its body may have up to
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// No connection was established, or there was no complete response in time. The connection is
    /// closed in this case, because a late response would be taken for that of the next request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
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
            let body = read_body(body, max_bytes).await.map_err(|error| lost(&error))?;
            Ok::<_, ClientError>((parts.status, body))
        };
        let response = timeout(time_limit, exchange)
            .await
            .map_err(|_| lost(&"no complete response in time"))??;
        self.connection = Some(connection);
        Ok(response)
    }
}
