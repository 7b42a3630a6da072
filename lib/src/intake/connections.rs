//! The open connections of callers, and the decision which of them closes first.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use tokio::{sync::Notify, time::timeout};

use super::{
    MemoryAccount,
    account::{CONNECTION_BYTES, MemoryCharge},
};

/// Connections beyond the limit that may be open while others close, as a divisor of the limit.
const CLOSING_SHARE: usize = 8;

/// Time for an idle connection that has to close to send what it still holds.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(500);

/// Connections of callers that are open in this process.
static OPEN_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Number of connections of callers that were closed for want of room.
static EVICTED_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of callers' connections that are open in this process.
pub fn open_connections() -> u64 {
    OPEN_CONNECTIONS.load(Ordering::Relaxed)
}

/// Returns the number of callers' connections that this process closed or did not accept because too
/// many were open.
pub fn evicted_connections() -> u64 {
    EVICTED_CONNECTIONS.load(Ordering::Relaxed)
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The head of the first request is awaited.
    Awaiting,
    /// A request arrives.
    Unfinished,
    /// A request has arrived completely or was refused, and its response is not complete.
    Responding,
    /// All requests have their responses.
    Idle,
}

#[derive(Debug)]
struct ConnectionEntry {
    phase: ConnectionPhase,
    /// Order of the last change of the phase.
    changed: u64,
    is_evicted: bool,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct TableState {
    /// Connections in the order in which they were opened.
    connections: BTreeMap<u64, ConnectionEntry>,
    next_number: u64,
    next_change: u64,
}

/// The open connections of callers, with a limit.
///
/// Beyond the limit the connection that is idle for longest closes, or if none is idle the one that
/// waits longest for its first request, or else the newest one whose request is unfinished. One with a response in flight never closes for others.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    account: Option<Arc<MemoryAccount>>,
    state: Mutex<TableState>,
    /// Notified when a connection closes.
    closed: Notify,
}

impl ConnectionTable {
    /// Creates a table for `max_connections` whose memory is charged to `account`.
    pub fn new(max_connections: usize, account: Option<Arc<MemoryAccount>>) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { max_connections, account, state, closed: Notify::new() })
    }

    /// Adds a connection; another one may have to close. None if there is no room, because all
    /// others have responses in flight or are closing already.
    pub fn open(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let state = &mut *self.lock();
        let open = state.connections.len();
        if open >= self.max_connections && !self.evict_one(state) {
            return self.reject(open);
        }
        let charge = match &self.account {
            // A connection is small, so that large bodies cannot keep new callers out.
            Some(account) => match account.charge(CONNECTION_BYTES, true) {
                Ok(charge) => Some(charge),
                Err(_) => return self.reject(open),
            },
            None => None,
        };
        let (number, changed) = (state.next_number, state.next_change);
        state.next_number += 1;
        state.next_change += 1;
        let evicted = Arc::new(Notify::new());
        let entry = ConnectionEntry {
            phase: ConnectionPhase::Awaiting,
            changed,
            is_evicted: false,
            evicted: evicted.clone(),
        };
        state.connections.insert(number, entry);
        OPEN_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionSlot { table: self.clone(), number, evicted, _charge: charge })
    }

    /// Returns whether new connections close others.
    pub fn is_full(&self) -> bool {
        self.lock().connections.len() >= self.max_connections
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        while !self.lock().connections.is_empty() {
            self.closed.notified().await;
        }
    }

    fn reject(&self, open: usize) -> Option<ConnectionSlot> {
        EVICTED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
        tracing::info!(open, limit = self.max_connections, "connection_rejected");
        None
    }

    /// Tells one connection to close. Returns false if none may, or too many are closing.
    fn evict_one(&self, state: &mut TableState) -> bool {
        let open = state.connections.len();
        if open >= self.max_connections + self.max_connections / CLOSING_SHARE {
            return false;
        }
        let candidates = state.connections.iter().filter(|(_, entry)| !entry.is_evicted);
        let Some(number) =
            first_to_close(candidates.map(|(number, entry)| (*number, entry.phase, entry.changed)))
        else {
            return false;
        };
        if let Some(entry) = state.connections.get_mut(&number) {
            entry.is_evicted = true;
            entry.evicted.notify_one();
            EVICTED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
            let phase = entry.phase;
            tracing::info!(?phase, open, limit = self.max_connections, "connection_evicted");
        }
        true
    }

    /// The state is consistent after a panic: each change is complete before anything can panic.
    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns which of the connections (number, phase, order of the last change) closes first.
pub fn first_to_close(
    connections: impl Iterator<Item = (u64, ConnectionPhase, u64)>,
) -> Option<u64> {
    let (mut idle, mut awaiting) = (None::<(u64, u64)>, None::<(u64, u64)>);
    let mut unfinished = None;
    for (number, phase, changed) in connections {
        let since = (changed, number);
        match phase {
            ConnectionPhase::Idle => idle = Some(idle.map_or(since, |it| it.min(since))),
            ConnectionPhase::Awaiting => {
                awaiting = Some(awaiting.map_or(since, |it| it.min(since)));
            }
            ConnectionPhase::Unfinished => unfinished = unfinished.max(Some(number)),
            ConnectionPhase::Responding => {}
        }
    }
    idle.or(awaiting).map(|it| it.1).or(unfinished)
}

/// The place of one connection in its table; dropping it frees the place.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: Arc<ConnectionTable>,
    number: u64,
    evicted: Arc<Notify>,
    _charge: Option<MemoryCharge>,
}

impl ConnectionSlot {
    /// Returns a handle that reports the phase of the connection.
    pub fn phase_handle(&self) -> PhaseHandle {
        PhaseHandle { table: self.table.clone(), number: self.number }
    }

    /// Waits until the connection has to close for another one.
    pub async fn wait_evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.lock().connections.remove(&self.number);
        OPEN_CONNECTIONS.fetch_sub(1, Ordering::Relaxed);
        self.table.closed.notify_one();
    }
}

/// Reports the phase of one connection. It is an extension of the connection's requests.
#[derive(Clone, Debug)]
pub struct PhaseHandle {
    table: Arc<ConnectionTable>,
    number: u64,
}

impl PhaseHandle {
    /// Sets the phase; has no effect once the connection has closed.
    pub fn set(&self, phase: ConnectionPhase) {
        let state = &mut *self.table.lock();
        if let Some(entry) = state.connections.get_mut(&self.number) {
            entry.phase = phase;
            entry.changed = state.next_change;
            state.next_change += 1;
        }
    }

    /// Returns whether the connection has no request that was read.
    pub fn is_unfinished(&self) -> bool {
        let state = self.table.lock();
        let phase = state.connections.get(&self.number).map(|it| it.phase);
        matches!(phase, Some(ConnectionPhase::Awaiting | ConnectionPhase::Unfinished))
    }
}

/// Ends a connection that has to close for another one, and whose graceful shutdown has begun unless
/// its request is unfinished. One with a response in flight ends after the response, also if the
/// request or the last bytes of a response crossed the decision; one with an unfinished request closes
/// at once.
pub(crate) async fn close_evicted<E>(
    mut connection: Pin<&mut impl Future<Output = Result<(), E>>>,
    phase: &PhaseHandle,
) -> Result<(), E> {
    if phase.is_unfinished() {
        return Ok(());
    }
    match timeout(IDLE_CLOSE_TIME, connection.as_mut()).await {
        Ok(result) => result,
        Err(_) if phase.is_unfinished() => Ok(()),
        Err(_) => connection.await,
    }
}

/// Body of a response; its connection is idle once it is dropped.
#[derive(Debug)]
pub(crate) struct PhaseBody<B> {
    body: B,
    phase: PhaseHandle,
}

impl<B> PhaseBody<B> {
    /// Marks the connection of `phase` as responding.
    pub(crate) fn new(body: B, phase: PhaseHandle) -> Self {
        phase.set(ConnectionPhase::Responding);
        Self { body, phase }
    }
}

impl<B> Drop for PhaseBody<B> {
    fn drop(&mut self) {
        self.phase.set(ConnectionPhase::Idle);
    }
}

impl<B: Body + Unpin> Body for PhaseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
