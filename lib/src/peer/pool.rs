//! Threads that call other hosts, so that the control actor never waits for one.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, Instant},
};

use super::{PeerError, PeerTransport};
use crate::{clock::ClockSource, threads::ThreadGroup};

/// Calls that wait for a thread; more are lost, as messages may be.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Time after a failed call during which calls to the same host fail at once, so that one host
/// that does not answer cannot occupy every thread.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// A call to make.
#[derive(Clone, Debug)]
pub struct PeerCall<Q> {
    /// Address of the host.
    pub address: SocketAddr,
    /// The request.
    pub request: Q,
    /// Time until the reply.
    pub timeout: Duration,
    /// When the call was ordered, which is before it is sent.
    pub submitted: Instant,
}

/// Makes calls to other hosts in the background.
pub trait PeerCaller<Q, R>: Send + Sync {
    /// Orders a call; its end is reported to whoever created the caller.
    fn submit(&self, call: PeerCall<Q>);
}

type CompletionHandler<Q, R> = dyn Fn(PeerCall<Q>, Result<R, PeerError>) + Send + Sync;

/// A fixed number of threads that make calls in the order in which they are ordered.
pub struct PeerPool<Q, R> {
    calls: Option<SyncSender<PeerCall<Q>>>,
    on_completion: Arc<CompletionHandler<Q, R>>,
    _threads: ThreadGroup,
}

impl<Q, R> fmt::Debug for PeerPool<Q, R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerPool").finish_non_exhaustive()
    }
}

struct PoolState<Q, R> {
    transport: Arc<dyn PeerTransport<Q, R>>,
    clock: Arc<dyn ClockSource>,
    on_completion: Arc<CompletionHandler<Q, R>>,
    calls: Mutex<Receiver<PeerCall<Q>>>,
    failed: Mutex<HashMap<SocketAddr, Instant>>,
}

impl<Q: Send + 'static, R: 'static> PeerPool<Q, R> {
    /// Starts `count` threads; `on_completion` is called once for every ordered call.
    pub fn start(
        count: usize,
        transport: Arc<dyn PeerTransport<Q, R>>,
        clock: Arc<dyn ClockSource>,
        on_completion: Arc<CompletionHandler<Q, R>>,
    ) -> io::Result<Self> {
        let (sender, calls) = sync_channel(MAX_QUEUED_CALLS);
        let state = Arc::new(PoolState {
            transport,
            clock,
            on_completion: on_completion.clone(),
            calls: Mutex::new(calls),
            failed: Mutex::new(HashMap::new()),
        });
        let threads = ThreadGroup::new();
        for _ in 0..count {
            let state = state.clone();
            threads.spawn("peer-call", move || state.run())?;
        }
        Ok(Self { calls: Some(sender), on_completion, _threads: threads })
    }
}

impl<Q: Send, R> PeerCaller<Q, R> for PeerPool<Q, R> {
    fn submit(&self, call: PeerCall<Q>) {
        let calls = self.calls.as_ref().expect("the sender exists until the pool is dropped");
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            calls.try_send(call)
        {
            (self.on_completion)(call, Err(PeerError::NotSent("too many calls wait".into())));
        }
    }
}

impl<Q, R> Drop for PeerPool<Q, R> {
    fn drop(&mut self) {
        // The threads end when the channel is closed, and the group joins them.
        self.calls = None;
    }
}

impl<Q, R> PoolState<Q, R> {
    fn run(&self) {
        loop {
            let next = self.calls.lock().expect("call queue is never poisoned").recv();
            let Ok(call) = next else { return };
            let result = self.call(&call);
            (self.on_completion)(call, result);
        }
    }

    fn call(&self, call: &PeerCall<Q>) -> Result<R, PeerError> {
        if self.is_backing_off(call.address) {
            return Err(PeerError::NotSent("a call to this host just failed".into()));
        }
        let result = self.transport.call(call.address, &call.request, call.timeout);
        let mut failed = self.failed.lock().expect("failure table is never poisoned");
        match &result {
            Ok(_) => {
                failed.remove(&call.address);
            }
            Err(_) => {
                failed.insert(call.address, self.clock.now());
            }
        }
        result
    }

    fn is_backing_off(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut failed = self.failed.lock().expect("failure table is never poisoned");
        failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_BACKOFF);
        failed.contains_key(&address)
    }
}
