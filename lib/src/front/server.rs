//! The HTTP server for callers.

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    runtime::{Builder, Handle},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
    time::timeout,
};

use super::{
    refusal::{RefusalKind, RequestRefusal},
    request::CallerRequest,
    respond::{CallerResponder, CallerResponse, StreamedBody},
};

/// Longest request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Stack of a worker thread; workers hold their buffers on the heap.
const WORKER_STACK_BYTES: usize = 512 << 10;

/// Idle time after which a worker thread ends.
const WORKER_IDLE: Duration = Duration::from_secs(10);

/// Time at the end of the server for answers that are still being sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Bounds of the caller interface.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    /// Connections at the same time; more wait in the listen queue.
    pub max_connections: usize,
    /// Requests at the same time, each with a worker thread; more are refused.
    pub max_active: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a request head, also on an idle connection.
    pub head_timeout: Duration,
    /// Time for a request body.
    pub body_timeout: Duration,
}

/// Serves one request on a worker thread.
pub trait RequestHandler: Send + Sync {
    /// Answers the request; may block.
    fn handle(&self, request: CallerRequest, responder: CallerResponder);

    /// Returns whether the host takes new requests.
    fn is_ready(&self) -> bool;
}

struct FrontState {
    handler: Arc<dyn RequestHandler>,
    limits: FrontLimits,
    connections: Arc<Semaphore>,
    workers: Arc<Semaphore>,
    active: AtomicUsize,
    draining: AtomicBool,
    stop: watch::Sender<bool>,
}

/// The running server; dropping it ends it and joins its thread.
pub struct FrontServer {
    address: SocketAddr,
    state: Arc<FrontState>,
    thread: Option<JoinHandle<()>>,
}

impl FrontServer {
    /// Starts to serve on a bound listener.
    pub fn start(
        listener: TcpListener,
        limits: FrontLimits,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let state = Arc::new(FrontState {
            handler,
            limits,
            connections: Arc::new(Semaphore::new(limits.max_connections)),
            workers: Arc::new(Semaphore::new(limits.max_active)),
            active: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            stop: watch::Sender::new(false),
        });
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(limits.max_active)
            .thread_keep_alive(WORKER_IDLE)
            .thread_stack_size(WORKER_STACK_BYTES)
            .build()?;
        let serving = state.clone();
        let thread = thread::Builder::new()
            .name("front".into())
            .spawn(move || runtime.block_on(serve(listener, serving)))?;
        Ok(Self { address, state, thread: Some(thread) })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    pub fn active(&self) -> usize {
        self.state.active.load(Ordering::Acquire)
    }

    /// From now on each answer closes its connection, so that callers go to other hosts.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Release);
    }
}

impl Drop for FrontServer {
    /// Closes idle connections, waits a bounded time for answers that are still being sent, and
    /// ends the server.
    fn drop(&mut self) {
        self.state.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("front_thread_panicked");
        }
    }
}

async fn serve(listener: TcpListener, state: Arc<FrontState>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "listen_failed"),
    };
    let mut stop = state.stop.subscribe();
    loop {
        tokio::select! {
            () = accept(&listener, &state) => {}
            _ = stop.changed() => break,
        }
    }
    let all = u32::try_from(state.limits.max_connections).unwrap_or(u32::MAX);
    let _ = timeout(CLOSE_TIMEOUT, state.connections.acquire_many(all)).await;
}

async fn accept(listener: &tokio::net::TcpListener, state: &Arc<FrontState>) {
    let Ok(permit) = state.connections.clone().acquire_owned().await else {
        return;
    };
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve_connection(stream, permit, state.clone()));
        }
        Err(error) => {
            // Typically no file descriptor is left; one is free when a connection ends.
            tracing::warn!(%error, "accept_failed");
            tokio::time::sleep(ACCEPT_RETRY).await;
        }
    }
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    permit: OwnedSemaphorePermit,
    state: Arc<FrontState>,
) {
    let limits = state.limits;
    let mut stop = state.stop.subscribe();
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(serve_request(request, state).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let stopped = async move { stop.wait_for(|it| *it).await.map(drop) };
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "caller_connection_ended");
    }
    drop(permit);
}

/// Counts a request as active until its answer is sent or dropped.
struct ActiveGuard(Arc<FrontState>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_request(
    request: Request<Incoming>,
    state: Arc<FrontState>,
) -> Response<StreamedBody> {
    state.active.fetch_add(1, Ordering::AcqRel);
    let guard = ActiveGuard(state.clone());
    let request_id = request_id_of(&request);
    let (head, receiver) = oneshot::channel::<CallerResponse>();
    let close = state.draining.load(Ordering::Acquire);
    let responder = CallerResponder::new(head, Handle::current(), &request_id, close);
    match request.uri().path() {
        "/healthz" => responder.health(true),
        "/readyz" => responder.health(state.handler.is_ready()),
        _ => match read_request(request, request_id, &state.limits).await {
            Ok(request) => start_worker(request, responder, &state, guard),
            Err(refusal) => responder.refuse(&refusal),
        },
    }
    match receiver.await {
        Ok(response) => response,
        Err(_) => cut_response(),
    }
}

fn start_worker(
    request: CallerRequest,
    responder: CallerResponder,
    state: &Arc<FrontState>,
    guard: ActiveGuard,
) {
    let Ok(permit) = state.workers.clone().try_acquire_owned() else {
        let refusal = RequestRefusal::not_run(
            RefusalKind::Overloaded,
            "the host serves its maximum of requests",
        )
        .with_retry_after(Duration::from_secs(1));
        return responder.refuse(&refusal);
    };
    let handler = state.handler.clone();
    tokio::task::spawn_blocking(move || {
        handler.handle(request, responder);
        drop(guard);
        drop(permit);
    });
}

/// The answer for a worker that ended without one; the connection is closed.
fn cut_response() -> Response<StreamedBody> {
    let (head, mut receiver) = oneshot::channel::<CallerResponse>();
    let responder = CallerResponder::new(head, Handle::current(), "", true);
    responder.refuse(&RequestRefusal::unknown(
        RefusalKind::InternalError,
        "the request was interrupted",
    ));
    receiver.try_recv().expect("a refusal always sends a head")
}

async fn read_request(
    request: Request<Incoming>,
    request_id: String,
    limits: &FrontLimits,
) -> Result<CallerRequest, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let too_large = || {
        let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
        RequestRefusal::not_run(RefusalKind::BodyTooLarge, message)
    };
    let stated = parts.headers.get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    if stated.is_some_and(|it: u64| it > limits.max_body_bytes as u64) {
        return Err(too_large());
    }
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    let body = match timeout(limits.body_timeout, reading).await {
        Err(_) => {
            let message = format!("the body took longer than {} s", limits.body_timeout.as_secs());
            return Err(RequestRefusal::not_run(RefusalKind::BodyTimeout, message));
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        Ok(Err(error)) => {
            let message = format!("the body is incomplete: {error}");
            return Err(RequestRefusal::not_run(RefusalKind::InvalidRequest, message));
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    let mut headers = Vec::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        let value = value.to_str().map_err(|_| {
            let message = format!("header {name} is not visible ASCII");
            RequestRefusal::not_run(RefusalKind::InvalidRequest, message)
        })?;
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
    Ok(CallerRequest {
        method: parts.method.as_str().to_owned(),
        target,
        headers,
        body: body.as_ref().into(),
        request_id,
    })
}

fn request_id_of(request: &Request<Incoming>) -> String {
    request
        .headers()
        .get("x-request-id")
        .and_then(|it| it.to_str().ok())
        .filter(|it| (1..=MAX_REQUEST_ID_BYTES).contains(&it.len()))
        .filter(|it| it.bytes().all(|b| b.is_ascii_graphic()))
        .map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned)
}
