//! Outgoing HTTP connections: to upstreams, other hosts and the platform.

use std::{error::Error, io, net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::intake::{
    BodyError, IntakeError, IntakeMeter, MAX_RESPONSE_HEAD_BYTES, MeteredSocket,
    log_cut_connection, read_body,
};

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

/// Why this process closed a connection while it received a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutReason {
    /// The remote side sent far more than the content that was delivered.
    #[error(transparent)]
    Undelivered(#[from] IntakeError),
    /// The head exceeds [`MAX_RESPONSE_HEAD_BYTES`].
    #[error("the head of the response exceeds {MAX_RESPONSE_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The head or the framing of the body is no HTTP, or exceeds a limit of the HTTP library.
    #[error("the response is no valid message")]
    Invalid,
}

impl CutReason {
    /// Returns the reason if `error` is the consequence of cutting off the connection of `meter`.
    pub(super) fn of(error: &hyper::Error, meter: &IntakeMeter) -> Option<Self> {
        match meter.check() {
            Err(error) => Some(Self::Undelivered(error)),
            Ok(()) if error.is_parse_too_large() => Some(Self::HeadTooLarge),
            Ok(()) => (error.is_parse() || has_invalid_framing(error)).then_some(Self::Invalid),
        }
    }
}

/// Returns whether the framing of a body is invalid, as opposed to a connection that is lost.
fn has_invalid_framing(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    source.is_some_and(|it| {
        matches!(it.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
    })
}

/// One HTTP connection. Dropping it closes the connection, even while a response is being received.
#[derive(Debug)]
pub struct HttpConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) meter: Arc<IntakeMeter>,
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
        let meter = IntakeMeter::new();
        let socket = TokioIo::new(MeteredSocket::outgoing(stream, meter.clone()));
        let handshake =
            http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(socket);
        let (sender, connection) = handshake.await.map_err(|error| failed(&error))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection_ended");
            }
        });
        Ok(Self { sender, meter, driver })
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
    /// The connection was cut off, because the head or the body of the response is too long.
    #[error("the connection was cut off: {0}")]
    CutOff(String),
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
    /// No connection was established, there was no complete response in time, or the connection was
    /// cut off, which is logged. The connection is closed in these cases, because a late response
    /// would be taken for that of the next request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ClientError> {
        let usable = self.connection.take().filter(HttpConnection::is_usable);
        let mut connection = match usable {
            Some(connection) => connection,
            None => HttpConnection::open(self.address, &self.timeouts).await?,
        };
        let meter = connection.meter.clone();
        meter.restart();
        let exchange = async {
            let (parts, body) = connection.sender.send_request(request).await?.into_parts();
            let body = read_body(body, max_bytes, Some(&meter)).await?;
            Ok(Response::from_parts(parts, body))
        };
        let response = timeout(time_limit, exchange)
            .await
            .map_err(|_| ClientError::Lost("no complete response in time".to_owned()))?
            .map_err(|error| self.classify(&error, &meter))?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Returns why a response was not received, and logs and counts it if the connection was cut
    /// off.
    fn classify(&self, error: &BodyError<hyper::Error>, meter: &IntakeMeter) -> ClientError {
        let reason = match error {
            BodyError::Lost(error) => match CutReason::of(error, meter) {
                Some(reason) => reason.to_string(),
                None => return ClientError::Lost(error.to_string()),
            },
            BodyError::TooLarge(_) => error.to_string(),
        };
        log_cut_connection(&self.address, &reason);
        ClientError::CutOff(reason)
    }
}
