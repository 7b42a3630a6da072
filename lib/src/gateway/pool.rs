//! Pool of connections to upstreams. A connection is reused only after a complete response, and for
//! one request only once.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    header::{CONNECTION, HeaderMap, HeaderValue},
};

use super::connection::{ConnectError, ConnectTimeouts, CutReason, HttpConnection};
use crate::{clock::ClockSource, intake::IntakeMeter, names::UpstreamName};

/// Longest time to establish a connection, which normally takes a few milliseconds. A lost SYN is
/// retransmitted after a second only; another upstream can respond sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// TCP user timeout of connections to upstreams. A lost packet is retransmitted and acknowledged
/// within 210 ms; an upstream behind a partition acknowledges nothing, and its requests can still
/// be retried at another one in time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(350);

/// Time before the end of an upstream's idle timeout from which its connection is no longer used,
/// so that a request arrives before the upstream closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle time after which a connection is closed if the upstream states no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest idle time of a connection that is reused for a request that must not run twice. If the
/// upstream has closed the connection in the meantime, the request is lost and may have run.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(400);

/// Largest number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection was refused: no process listens at the address.
    #[error("not sent: {0}")]
    Refused(String),
    /// No connection was established for another reason, so no byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No connection was established in time; this may be a partition between data centres.
    #[error("not sent: no connection in {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// The connection was lost after the request was sent; the upstream may have run it.
    #[error("no response: {0}")]
    Lost(String),
    /// The connection was cut off because of what came in place of a response head; the upstream
    /// may have run the request.
    #[error("cut off: {0}")]
    CutOff(#[from] CutReason),
}

/// Identifies a connection of one [`UpstreamPool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionId(u64);

/// The connections that a request was sent on. The pool does not send it on one of them again: an
/// upstream may send a second copy of a response late, and the id in it would be that of the
/// request. It lives as long as the request and has at most two entries for each attempt.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    ids: RefCell<Vec<ConnectionId>>,
}

impl ConnectionHistory {
    fn contains(&self, id: ConnectionId) -> bool {
        self.ids.borrow().contains(&id)
    }

    fn record(&self, id: ConnectionId) {
        self.ids.borrow_mut().push(id);
    }
}

#[derive(Debug)]
struct PooledConnection {
    id: ConnectionId,
    http: HttpConnection,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
    idle_timeout: Duration,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        let idle = now.saturating_duration_since(self.since);
        self.connection.http.is_usable() && idle < max_idle.min(self.idle_timeout)
    }
}

/// Identifies the process of an upstream that a connection leads to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Its incarnation; connections are not reused across a restart.
    pub incarnation: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// A request whose response is not complete. Dropping it closes the connection, which cancels the
/// request at the upstream.
#[derive(Debug)]
pub struct UpstreamExchange {
    connection: PooledConnection,
    pool: Rc<UpstreamPool>,
    key: PoolKey,
    idle_timeout: Option<Duration>,
}

impl UpstreamExchange {
    /// Returns the meter of the connection, to which the reader of the response reports.
    pub fn meter(&self) -> &IntakeMeter {
        &self.connection.http.meter
    }

    /// Returns the connection to the pool; to be called after a complete and valid response.
    pub fn finish(self) {
        if let Some(idle_timeout) = self.idle_timeout {
            self.pool.put_idle(self.key, self.connection, idle_timeout);
        }
    }
}

/// Idle connections to all upstreams.
#[derive(Debug)]
pub struct UpstreamPool {
    clock: Rc<dyn ClockSource>,
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
    next_id: Cell<u64>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self { clock, idle: RefCell::default(), next_id: Cell::default() }
    }

    /// Sends a request and returns the response, of which only the head has been read.
    ///
    /// `may_retry` is whether the request may run twice; it may then be sent on a connection that
    /// was idle for longer than `ONCE_MAX_IDLE`. `history` has the connections of its earlier
    /// attempts, and gets the one of this attempt.
    ///
    /// # Errors
    ///
    /// There is no response; [`SendError`] says whether the upstream may have run the request.
    pub async fn send(
        self: &Rc<Self>,
        key: PoolKey,
        request: Request<Full<Bytes>>,
        may_retry: bool,
        history: &ConnectionHistory,
    ) -> Result<(Response<Incoming>, UpstreamExchange), SendError> {
        let max_idle = if may_retry { Duration::MAX } else { ONCE_MAX_IDLE };
        let mut connection = match self.take_idle(&key, max_idle, history) {
            Some(connection) => connection,
            None => self.connect(key.address).await?,
        };
        history.record(connection.id);
        connection.http.meter.restart();
        let response = match connection.http.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                // The connection ended before any of the request was written to it.
                Some(request) => {
                    connection = self.connect(key.address).await?;
                    history.record(connection.id);
                    let sent = connection.http.sender.send_request(request).await;
                    sent.map_err(|error| head_error(&error, &connection.http.meter))?
                }
                None => return Err(head_error(&error.into_error(), &connection.http.meter)),
            },
        };
        let idle_timeout = idle_timeout(response.headers());
        let pool = self.clone();
        Ok((response, UpstreamExchange { connection, pool, key, idle_timeout }))
    }

    /// Probes an upstream: establishes a connection, and keeps it in the pool for a request.
    ///
    /// # Errors
    ///
    /// The upstream was not reached.
    pub async fn probe(&self, key: PoolKey) -> Result<(), SendError> {
        let connection = self.connect(key.address).await?;
        self.put_idle(key, connection, DEFAULT_IDLE_TIMEOUT);
        Ok(())
    }

    /// Closes connections that were idle for too long to be used; to be called on a timer.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|it| it.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, SendError> {
        let timeouts =
            ConnectTimeouts { connect: CONNECT_TIMEOUT, unacknowledged: UNACKNOWLEDGED_TIMEOUT };
        let http = HttpConnection::open(address, &timeouts).await.map_err(|error| match error {
            ConnectError::Refused(reason) => SendError::Refused(reason),
            ConnectError::Failed(reason) => SendError::NotSent(reason),
            ConnectError::Timeout => SendError::ConnectTimeout,
        })?;
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        Ok(PooledConnection { id, http })
    }

    /// Returns the most recently used connection that is usable and not in `history`; the upstream
    /// is least likely to have closed it.
    fn take_idle(
        &self,
        key: &PoolKey,
        max_idle: Duration,
        history: &ConnectionHistory,
    ) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        connections.retain(|it| it.is_usable(now, Duration::MAX));
        let index = connections
            .iter()
            .rposition(|it| it.is_usable(now, max_idle) && !history.contains(it.connection.id))?;
        Some(connections.remove(index).connection)
    }

    fn put_idle(&self, key: PoolKey, connection: PooledConnection, idle_timeout: Duration) {
        let idle = IdleConnection { connection, since: self.clock.now(), idle_timeout };
        let mut pool = self.idle.borrow_mut();
        let connections = pool.entry(key).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(idle);
    }
}

/// Returns why no response head was received on a connection.
fn head_error(error: &hyper::Error, meter: &IntakeMeter) -> SendError {
    CutReason::of(error, meter)
        .map_or_else(|| SendError::Lost(error.to_string()), SendError::CutOff)
}

/// Returns how long a connection may stay idle after a response with these headers; `None` if it
/// must not be reused.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let has_close = |value: &HeaderValue| {
        value
            .to_str()
            .is_ok_and(|it| it.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
    };
    if headers.get_all(CONNECTION).iter().any(has_close) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|value| {
        let seconds = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    let limit = stated.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.saturating_sub(IDLE_MARGIN));
    (!limit.is_zero()).then_some(limit)
}
