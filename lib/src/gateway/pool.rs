//! Connections to upstreams. One is used again only after a complete response to its request.

use std::{
    cell::RefCell,
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

use super::connection::{ConnectError, ConnectTimeouts, HttpConnection};
use crate::{clock::ClockSource, names::UpstreamName};

/// Longest time to establish a connection. A connection takes a few milliseconds; a lost opening
/// packet is sent again after a second, and another upstream is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without acknowledgement after which the system gives a connection to an upstream up. A lost
/// packet is sent again and acknowledged within 210 ms; an upstream behind a partition acknowledges
/// nothing, and its requests can still be answered in time elsewhere.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that is left of an upstream's idle timeout when its connection is no longer used, for the
/// request to arrive before the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle time after which connections of upstreams that state no idle timeout are closed.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest idle time of a connection on which a request is sent that must not run twice.
///
/// A request that is lost on a connection that the upstream has just closed may have run.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(400);

/// Idle connections kept for one upstream.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request reached the upstream.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No connection was established in time, so perhaps a whole data centre is cut off.
    #[error("not sent: no connection in {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// The upstream may have run the request.
    #[error("no response: {0}")]
    Lost(String),
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
    limit: Duration,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        let idle = now.saturating_duration_since(self.since);
        self.connection.is_usable() && idle < limit.min(self.limit)
    }
}

/// Identifies the upstream to which a connection leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Its incarnation; a restarted upstream has no connection of before.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A request whose response is under way; dropping it cancels the request at the upstream.
#[derive(Debug)]
pub struct UpstreamExchange {
    connection: HttpConnection,
    pool: Rc<UpstreamPool>,
    key: PoolKey,
    idle_timeout: Option<Duration>,
}

impl UpstreamExchange {
    /// Returns the connection to the pool; to be called after a complete and proper response.
    pub fn finish(self) {
        if let Some(limit) = self.idle_timeout {
            self.pool.put_idle(self.key, self.connection, limit);
        }
    }
}

/// Owner of the idle connections to all upstreams.
#[derive(Debug)]
pub struct UpstreamPool {
    clock: Rc<dyn ClockSource>,
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self { clock, idle: RefCell::default() }
    }

    /// Sends a request and returns the response head.
    ///
    /// `may_retry` allows a connection that was idle for a while.
    pub async fn send(
        self: &Rc<Self>,
        key: PoolKey,
        request: Request<Full<Bytes>>,
        may_retry: bool,
    ) -> Result<(Response<Incoming>, UpstreamExchange), SendError> {
        let limit = if may_retry { Duration::MAX } else { ONCE_MAX_IDLE };
        let mut connection = match self.take_idle(&key, limit) {
            Some(connection) => connection,
            None => connect(key.address).await?,
        };
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                // The connection ended before it took the request.
                Some(request) => {
                    connection = connect(key.address).await?;
                    let sent = connection.sender.send_request(request).await;
                    sent.map_err(|error| SendError::Lost(error.to_string()))?
                }
                None => return Err(SendError::Lost(error.into_error().to_string())),
            },
        };
        let idle_timeout = idle_timeout(response.headers());
        let pool = self.clone();
        Ok((response, UpstreamExchange { connection, pool, key, idle_timeout }))
    }

    /// Establishes a connection for later use.
    ///
    /// # Errors
    ///
    /// The upstream was not reached.
    pub async fn probe(&self, key: PoolKey) -> Result<(), SendError> {
        let connection = connect(key.address).await?;
        self.put_idle(key, connection, DEFAULT_IDLE_TIMEOUT);
        Ok(())
    }

    /// Closes connections that are too old to be used; to be called on a timer.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|it| it.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
    }

    fn take_idle(&self, key: &PoolKey, limit: Duration) -> Option<HttpConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        // The connection that was used last is the least likely to be closed.
        while let Some(last) = connections.pop() {
            if last.is_usable(now, limit) {
                return Some(last.connection);
            }
            if last.is_usable(now, Duration::MAX) {
                connections.push(last);
                return None;
            }
        }
        None
    }

    fn put_idle(&self, key: PoolKey, connection: HttpConnection, limit: Duration) {
        let idle = IdleConnection { connection, since: self.clock.now(), limit };
        let mut pool = self.idle.borrow_mut();
        let connections = pool.entry(key).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(idle);
    }
}

async fn connect(address: SocketAddr) -> Result<HttpConnection, SendError> {
    let timeouts =
        ConnectTimeouts { connect: CONNECT_TIMEOUT, unacknowledged: UNACKNOWLEDGED_TIMEOUT };
    HttpConnection::open(address, &timeouts).await.map_err(|error| match error {
        ConnectError::Failed(reason) => SendError::NotSent(reason),
        ConnectError::Timeout => SendError::ConnectTimeout,
    })
}

/// Returns how long the connection may stay idle after this response; `None` if it closes.
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
