//! Listeners of the gateway, and its graceful shutdown.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, spawn_local, yield_now},
    time::{Instant, interval, sleep, sleep_until},
};

use super::{
    call::{serve, start_waiting},
    connection::set_socket_options,
    fleet::Gateway,
    load_exchange::exchange_in_flight,
    peers::{broadcast_strikes, handle_peer_request, run_gossip},
    shutdown::{ShutdownTimes, ShutdownWindow},
    supervise::supervise,
};
use crate::intake::{ConnectionPhase, ConnectionSlot, MeteredSocket, PhaseBody, close_evicted};

/// Backlog of connections that wait to be accepted. After a host is killed all its callers
/// reconnect at the same time, and one that finds the backlog full retries only after a second.
const LISTEN_BACKLOG: u32 = 4_096;

/// Delay after a failed accept, typically for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// TCP user timeout of callers' connections.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which expired state is dropped and the metrics are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a shutdown checks for responses that are not complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a connection of another host may stay idle.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Smallest buffer that the HTTP library accepts for a request head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Messages of other hosts.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The running listeners of a gateway; dropping it stops them.
pub struct GatewayServer {
    gateway: Rc<Gateway>,
    closing: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl GatewayServer {
    /// Opens every listener. Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub fn start(
        gateway: &Rc<Gateway>,
        addresses: &ServerAddresses,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<Self> {
        let closing = watch::Sender::new(false);
        let callers = listen(addresses.callers)?;
        let readiness = listen(addresses.readiness)?;
        let peers = listen(addresses.peers)?;
        let metrics = listen(addresses.metrics)?;
        let is_closing = closing.subscribe();
        let tasks = vec![
            start("accept_callers", gateway, move |gateway| {
                accept_callers(callers.clone(), gateway, is_closing.clone())
            }),
            start("accept_checks", gateway, move |it| accept_checks(readiness.clone(), it)),
            start("accept_metrics", gateway, move |it| accept_checks(metrics.clone(), it)),
            start("accept_peers", gateway, move |it| accept_peers(peers.clone(), it)),
            start("gossip", gateway, move |it| run_gossip(it, seeds.clone())),
            start("strikes", gateway, broadcast_strikes),
            start("load_exchange", gateway, exchange_in_flight),
            start("start_waiting", gateway, start_waiting),
            start("tick", gateway, tick),
        ];
        Ok(Self { gateway: gateway.clone(), closing, tasks })
    }

    /// Shuts down without truncating a response: reports not ready, serves on for the drain delay,
    /// then closes idle connections and waits for the responses that are not complete. A request
    /// that arrives after the drain delay is accepted as [`ShutdownWindow`] says.
    ///
    /// Returns whether all responses were complete in time. A request that has not been read when
    /// this returns stays unread if the event loop ends with it.
    pub async fn shutdown(self, times: &ShutdownTimes) -> bool {
        let started = Instant::now();
        self.gateway.drain(ShutdownWindow::new(self.gateway.now(), times));
        sleep(times.drain_delay).await;
        self.closing.send_replace(true);
        let limit = started + times.limit;
        // Each connection closes in its own task, so the first check follows a pause.
        loop {
            sleep_until((Instant::now() + DRAIN_POLL_INTERVAL).min(limit)).await;
            let is_drained = self.gateway.used_connections() == 0;
            if is_drained || Instant::now() >= limit {
                return is_drained;
            }
        }
    }
}

impl Drop for GatewayServer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a task that is started again if it panics.
fn start<F>(
    name: &'static str,
    gateway: &Rc<Gateway>,
    run: impl Fn(Rc<Gateway>) -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    let gateway = gateway.clone();
    spawn_local(supervise(name, move || run(gateway.clone())))
}

fn listen(address: SocketAddr) -> io::Result<Rc<TcpListener>> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG).map(Rc::new)
}

async fn tick(gateway: Rc<Gateway>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        gateway.tick(TICK_INTERVAL);
    }
}

async fn accept_callers(
    listener: Rc<TcpListener>,
    gateway: Rc<Gateway>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        // Without a slot the connection closes unread.
        if let Some(slot) = gateway.connections.open() {
            spawn_local(serve_caller(stream, slot, gateway.clone(), closing.clone()));
        }
        if gateway.connections.is_full() {
            // Connections that have to close do so before the next one is accepted.
            yield_now().await;
        }
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(
    stream: TcpStream,
    slot: ConnectionSlot,
    gateway: Rc<Gateway>,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = set_socket_options(&stream, CALLER_UNACKNOWLEDGED_TIMEOUT) {
        tracing::debug!(%error, "caller_connection_ended");
        return;
    }
    let limits = gateway.route_table().map(|it| it.limits()).unwrap_or_default();
    let connection_use = Rc::new(ConnectionUse::new(&gateway));
    let request_use = connection_use.clone();
    let phase = slot.phase_handle();
    let service = service_fn(move |mut request| {
        request_use.record_request();
        let gateway = gateway.clone();
        phase.set(ConnectionPhase::Unfinished);
        request.extensions_mut().insert(phase.clone());
        let phase = phase.clone();
        async move {
            let response = serve(gateway, request).await;
            Ok::<_, Infallible>(response.map(|body| PhaseBody::new(body, phase)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The header timeout also runs while a connection is idle.
        .header_read_timeout(limits.idle_timeout.max(limits.read_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(MeteredSocket::accepted(stream)), service);
    tokio::pin!(connection);
    let must_close = async {
        // An error means that the sender was dropped, and with it the server.
        let _ = closing.wait_for(|it| *it).await;
        // A connection without a request yet stays open for the first one, because a caller that
        // has just connected is about to send it.
        connection_use.first_request().await;
    };
    let result = tokio::select! {
        biased;
        // Polled first, so that a request that has arrived is read before the connection closes.
        result = connection.as_mut() => result,
        () = slot.wait_evicted() => {
            let phase = slot.phase_handle();
            if !phase.is_unfinished() {
                connection.as_mut().graceful_shutdown();
            }
            close_evicted(connection, &phase).await
        }
        () = must_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "caller_connection_ended");
    }
}

/// Counts a caller's connection from its first request to its end. During a shutdown idle
/// connections close, so each of those counted has a response that is not complete.
struct ConnectionUse {
    gateway: Rc<Gateway>,
    is_used: watch::Sender<bool>,
}

impl ConnectionUse {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self { gateway: gateway.clone(), is_used: watch::Sender::new(false) }
    }

    fn record_request(&self) {
        if !self.is_used.send_replace(true) {
            self.gateway.add_used_connection();
        }
    }

    async fn first_request(&self) {
        // The wait cannot fail, because `self` holds the sender.
        let _ = self.is_used.subscribe().wait_for(|it| *it).await;
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        if *self.is_used.borrow() {
            self.gateway.remove_used_connection();
        }
    }
}

/// Serves `/ready` and `/metrics`.
async fn accept_checks(listener: Rc<TcpListener>, gateway: Rc<Gateway>) {
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = check_response(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(MeteredSocket::accepted(stream)), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "check_connection_ended");
            }
        });
    }
}

/// Serves messages of other hosts.
async fn accept_peers(listener: Rc<TcpListener>, gateway: Rc<Gateway>) {
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let gateway = gateway.clone();
                async move { Ok::<_, Infallible>(handle_peer_request(gateway, request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PEER_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(MeteredSocket::accepted(stream)), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "peer_connection_ended");
            }
        });
    }
}

fn check_response(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        "/ready" if gateway.is_ready() => (StatusCode::OK, String::new()),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => (StatusCode::OK, gateway.metrics_text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
