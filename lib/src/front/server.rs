//! The HTTP server for callers.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
};
use tokio::{
    runtime::{Builder, Handle},
    sync::{Semaphore, oneshot, watch},
};

use super::{
    refusal::{RefusalKind, RequestRefusal},
    request::CallerRequest,
    respond::{CallerResponder, CallerResponse, ChannelBody},
};
use crate::{
    intake::{
        CallerBodyError, CallerBodyLimits, ConnectionPhase, ConnectionTable, MemoryAccount,
        PhaseHandle, discard_rest, read_caller_body, sends_body_at_once,
    },
    listener::{ListenerLimits, serve_listener},
};

/// Longest request id that is accepted from a caller; a longer one is replaced by a random id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Stack size of a worker thread; workers allocate their buffers on the heap.
const WORKER_STACK_BYTES: usize = 512 << 10;

/// Idle time after which a worker thread ends.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of the server for callers.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    /// Concurrent connections; for a further one the idle or the newest unfinished one closes.
    pub max_connections: usize,
    /// Concurrent requests, each on its own worker thread; further ones are refused.
    pub max_active: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Time within which a request head must arrive, also on an idle connection.
    pub head_timeout: Duration,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// What the process may hold for its callers, in bytes.
    pub account_bytes: usize,
}

/// Handles requests on the worker threads.
pub trait RequestHandler: Send + Sync {
    /// Handles a request and sends its response; may block.
    fn handle(&self, request: CallerRequest, responder: CallerResponder);

    /// Returns whether the host takes new requests.
    fn is_ready(&self) -> bool;
}

struct FrontState {
    handler: Arc<dyn RequestHandler>,
    limits: FrontLimits,
    account: Arc<MemoryAccount>,
    worker_permits: Arc<Semaphore>,
    active_requests: AtomicUsize,
    is_draining: AtomicBool,
    stop: watch::Sender<bool>,
}

/// The running server for callers; dropping it stops it and joins its thread.
pub struct FrontServer {
    address: SocketAddr,
    state: Arc<FrontState>,
    thread: Option<JoinHandle<()>>,
}

impl FrontServer {
    /// Starts serving on a bound listener.
    pub fn start(
        listener: TcpListener,
        limits: FrontLimits,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let account = MemoryAccount::new(limits.account_bytes);
        let connections = ConnectionTable::new(limits.max_connections, Some(account.clone()));
        let state = Arc::new(FrontState {
            handler,
            limits,
            account,
            worker_permits: Arc::new(Semaphore::new(limits.max_active)),
            active_requests: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            stop: watch::Sender::new(false),
        });
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(limits.max_active)
            .thread_keep_alive(WORKER_IDLE_TIMEOUT)
            .thread_stack_size(WORKER_STACK_BYTES)
            .build()?;
        let (service_state, stop) = (state.clone(), state.stop.subscribe());
        let service = move |request| serve_request(request, service_state.clone());
        let listener_limits = ListenerLimits {
            connections,
            max_head_bytes: limits.max_head_bytes,
            head_timeout: limits.head_timeout,
        };
        let thread = thread::Builder::new().name("front".into()).spawn(move || {
            runtime.block_on(serve_listener(listener, listener_limits, stop, service))
        })?;
        Ok(Self { address, state, thread: Some(thread) })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    pub fn active(&self) -> usize {
        self.state.active_requests.load(Ordering::Acquire)
    }

    /// Makes each further response close its connection, so that callers connect to other hosts.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::Release);
    }
}

impl Drop for FrontServer {
    /// Closes idle connections, waits a few seconds for responses that are still being sent, and
    /// joins the server's thread.
    fn drop(&mut self) {
        self.state.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("front_thread_panicked");
        }
    }
}

/// Counts a request as active until the guard is dropped.
struct ActiveGuard(Arc<FrontState>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A request whose body is charged to the account of the process.
struct ReadRequest {
    request: CallerRequest,
    _charged: Bytes,
}

async fn serve_request(
    request: Request<Incoming>,
    state: Arc<FrontState>,
) -> Response<ChannelBody> {
    state.active_requests.fetch_add(1, Ordering::AcqRel);
    let guard = ActiveGuard(state.clone());
    let request_id = request_id_of(&request);
    let (sender, receiver) = oneshot::channel::<CallerResponse>();
    let close_connection = state.is_draining.load(Ordering::Acquire);
    let responder = CallerResponder::new(sender, Handle::current(), &request_id, close_connection);
    match request.uri().path() {
        "/healthz" => responder.health(true),
        "/readyz" => responder.health(state.handler.is_ready()),
        _ => {
            let phase = request.extensions().get::<PhaseHandle>().cloned();
            let result = read_request(request, request_id, &state).await;
            if let Some(phase) = phase {
                phase.set(ConnectionPhase::Responding);
            }
            match result {
                Ok(request) => start_worker(request, responder, &state, guard),
                Err(refusal) => responder.refuse(&refusal),
            }
        }
    }
    match receiver.await {
        Ok(response) => response,
        Err(_) => interrupted_response(),
    }
}

fn start_worker(
    request: ReadRequest,
    responder: CallerResponder,
    state: &Arc<FrontState>,
    guard: ActiveGuard,
) {
    let Ok(permit) = state.worker_permits.clone().try_acquire_owned() else {
        let refusal = RequestRefusal::not_run(
            RefusalKind::Overloaded,
            "the host serves its maximum of requests",
        )
        .with_retry_after(Duration::from_secs(1));
        return responder.refuse(&refusal);
    };
    let handler = state.handler.clone();
    tokio::task::spawn_blocking(move || {
        let ReadRequest { request, _charged } = request;
        handler.handle(request, responder);
        drop(guard);
        drop(permit);
    });
}

/// Returns the response to a request whose worker ended without sending one; it closes the
/// connection.
fn interrupted_response() -> Response<ChannelBody> {
    let (sender, mut receiver) = oneshot::channel::<CallerResponse>();
    let responder = CallerResponder::new(sender, Handle::current(), "", true);
    responder.refuse(&RequestRefusal::unknown(
        RefusalKind::InternalError,
        "the request was interrupted",
    ));
    receiver.try_recv().expect("a refusal always sends a response")
}

async fn read_request(
    request: Request<Incoming>,
    request_id: String,
    state: &FrontState,
) -> Result<ReadRequest, RequestRefusal> {
    let (parts, mut body) = request.into_parts();
    let limits = &state.limits;
    let body_limits =
        CallerBodyLimits { max_bytes: limits.max_body_bytes, time: limits.body_timeout };
    let body = match read_caller_body(&mut body, body_limits, &state.account).await {
        Ok(body) => body,
        Err(error) => {
            // A body that was announced as too large was not asked for.
            let is_asked_for = !matches!(error, CallerBodyError::TooLarge(_));
            if is_asked_for || sends_body_at_once(&parts.headers) {
                tokio::spawn(discard_rest(body, body_limits, state.account.clone()));
            }
            return Err(body_refusal(&error));
        }
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
    let request = CallerRequest {
        method: parts.method.as_str().to_owned(),
        target,
        headers,
        body: body.as_ref().into(),
        request_id,
    };
    // The charge of the received bytes, which the copy does not exceed, is that of the request now.
    Ok(ReadRequest { request, _charged: body })
}

/// Returns the refusal of a request whose body was not received.
fn body_refusal(error: &CallerBodyError<hyper::Error>) -> RequestRefusal {
    let kind = match error {
        CallerBodyError::Timeout(_) | CallerBodyError::Stalled => RefusalKind::BodyTimeout,
        CallerBodyError::TooLarge(_) => RefusalKind::BodyTooLarge,
        CallerBodyError::Lost(_) => RefusalKind::InvalidRequest,
        CallerBodyError::NoMemory(_) => {
            return RequestRefusal::not_run(RefusalKind::Overloaded, error.to_string())
                .with_retry_after(Duration::from_secs(1));
        }
    };
    RequestRefusal::not_run(kind, error.to_string())
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
