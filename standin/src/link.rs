//! A TCP proxy that can stall, reset and close the connections it forwards.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Size of the copy buffer of one direction, in bytes.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// Stack of a forwarding thread, in bytes. A few frames are enough, the copy buffer is on the heap.
const COPY_STACK_BYTES: usize = 128 * 1024;

/// Longest wait, before a connection is closed, until written bytes are forwarded to the caller, in
/// milliseconds. Without the limit, a caller that does not read would block the wait forever.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

/// Connections that one link forwards concurrently; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 2_048;

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded in both directions.
    Open,
    /// Connections are accepted and stay open, but no byte is forwarded until the mode changes.
    Stalled,
    /// Existing connections are reset. New ones are accepted and then reset.
    Reset,
}

/// Locks a mutex and ignores poisoning, so that a panic in one thread does not cause further panics
/// whose messages hide the first one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// One forwarded connection.
#[derive(Debug)]
pub(crate) struct LinkConnection {
    caller: TcpStream,
    target: TcpStream,
    /// Whether the caller closed the connection, or the link closed or reset it.
    is_closed: AtomicBool,
    /// Bytes that the target has written, as reported by the HTTP server of a stand-in; 0 for other
    /// targets.
    written: AtomicU64,
    /// Bytes forwarded to the caller.
    forwarded: AtomicU64,
    /// Whether the last request was a control request. Such connections survive a crash of the
    /// stand-in.
    is_control: AtomicBool,
    /// Whether the connection ends with a TCP reset instead of FIN.
    is_resetting: AtomicBool,
}

impl LinkConnection {
    /// Returns whether the caller closed the connection, or the link closed or reset it.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    pub(crate) fn set_control(&self, is_control: bool) {
        self.is_control.store(is_control, Ordering::SeqCst);
    }

    pub(crate) fn add_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::SeqCst);
    }

    /// Closes both sides after everything written so far is forwarded, or after
    /// [`DRAIN_TIMEOUT_MS`].
    pub(crate) fn close_after_drain(&self) {
        let deadline = Instant::now() + Duration::from_millis(DRAIN_TIMEOUT_MS);
        while !self.is_closed()
            && self.forwarded.load(Ordering::SeqCst) < self.written.load(Ordering::SeqCst)
            && Instant::now() < deadline
        {
            thread::sleep(Duration::from_micros(200));
        }
        self.close();
    }

    /// Closes both sides.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Shutdown fails only on a side that is closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }

    /// Ends both sides with a TCP reset.
    fn reset(&self) {
        self.is_resetting.store(true, Ordering::SeqCst);
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in [&self.caller, &self.target] {
            // With a linger time of zero, closing the socket sends a reset. Only the read half is
            // shut down here, because shutting down the write half sends FIN first.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
    }
}

/// State that the link shares with its threads.
#[derive(Debug)]
struct LinkShared {
    target: Mutex<SocketAddr>,
    mode: Mutex<LinkMode>,
    mode_changed: Condvar,
    stopping: AtomicBool,
    next_connection: AtomicU64,
    /// Open connections by the local address of their socket towards the target.
    connections: Mutex<HashMap<SocketAddr, Arc<LinkConnection>>>,
}

impl LinkShared {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Waits while the link is stalled. Returns whether bytes may be forwarded.
    fn wait_while_stalled(&self) -> bool {
        let mut mode = lock(&self.mode);
        while *mode == LinkMode::Stalled && !self.is_stopping() {
            mode = self.mode_changed.wait(mode).unwrap_or_else(|it| it.into_inner());
        }
        *mode == LinkMode::Open && !self.is_stopping()
    }
}

/// A TCP proxy whose network faults a test controls with [`TcpLink::set_mode`].
///
/// [`TcpLink::stop`], which is also called on drop, ends the threads of the link.
#[derive(Debug)]
pub struct TcpLink {
    address: SocketAddr,
    shared: Arc<LinkShared>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

impl TcpLink {
    /// Listens on `listen` (port 0 selects a free port) and forwards every connection to `target`.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(LinkShared {
            target: Mutex::new(target),
            mode: Mutex::new(LinkMode::Open),
            mode_changed: Condvar::new(),
            stopping: AtomicBool::new(false),
            next_connection: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let acceptor = thread::Builder::new().name("link-accept".to_owned()).spawn({
            let shared = shared.clone();
            move || accept_loop(&listener, &shared)
        })?;
        Ok(Self { address, shared, acceptor: Mutex::new(Some(acceptor)) })
    }

    /// Returns the address on which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Sets the mode of existing and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *lock(&self.shared.mode) = mode;
        self.shared.mode_changed.notify_all();
        if mode == LinkMode::Reset {
            for connection in lock(&self.shared.connections).values() {
                connection.reset();
            }
        }
    }

    /// Returns the number of connections that are open now.
    pub fn connection_count(&self) -> usize {
        lock(&self.shared.connections).len()
    }

    /// Closes all connections except those of control requests. New ones are still accepted.
    pub(crate) fn drop_connections(&self) {
        for connection in lock(&self.shared.connections).values() {
            if !connection.is_control.load(Ordering::SeqCst) {
                connection.close();
            }
        }
    }

    /// Returns the connection whose socket towards the target has the local address
    /// `outbound_address`.
    pub(crate) fn connection(&self, outbound_address: SocketAddr) -> Option<Arc<LinkConnection>> {
        lock(&self.shared.connections).get(&outbound_address).cloned()
    }

    /// Closes all connections and joins the threads of the link.
    pub fn stop(&self) {
        let Some(acceptor) = lock(&self.acceptor).take() else {
            return;
        };
        {
            // The flag is set under the lock, so that no thread can check it before and then miss
            // the notification.
            let _mode = lock(&self.shared.mode);
            self.shared.stopping.store(true, Ordering::SeqCst);
        }
        self.shared.mode_changed.notify_all();
        // `accept` has no timeout, so a connection to the listener wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if acceptor.join().is_err() {
            eprintln!("event=link_acceptor_panicked address={}", self.address);
        }
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a worker thread for each connection until the link stops, then joins the workers.
fn accept_loop(listener: &TcpListener, shared: &Arc<LinkShared>) {
    let mut workers: Vec<JoinHandle<()>> = Vec::new();
    for caller in listener.incoming() {
        if shared.is_stopping() {
            break;
        }
        workers.retain(|it| !it.is_finished());
        let Ok(caller) = caller else {
            // The process may be out of file descriptors, or the connection was aborted. The sleep
            // avoids a busy loop.
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        if workers.len() >= MAX_CONNECTIONS {
            continue;
        }
        let number = shared.next_connection.fetch_add(1, Ordering::SeqCst);
        let worker = thread::Builder::new()
            .name(format!("link-{number}"))
            .stack_size(COPY_STACK_BYTES)
            .spawn({
                let shared = shared.clone();
                move || forward_connection(caller, &shared)
            });
        if let Ok(worker) = worker {
            workers.push(worker);
        }
    }
    // A worker that registers its connection after this loop then sees the stop flag and closes
    // the connection itself.
    for connection in lock(&shared.connections).values() {
        connection.close();
    }
    for worker in workers {
        let _ = worker.join();
    }
}

/// Forwards one connection until both directions have ended.
fn forward_connection(caller: TcpStream, shared: &Arc<LinkShared>) {
    if !shared.wait_while_stalled() {
        let _ = socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO));
        return;
    }
    let target_address = *lock(&shared.target);
    let Ok(target) = TcpStream::connect_timeout(&target_address, Duration::from_secs(1)) else {
        let _ = socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO));
        return;
    };
    let Ok(outbound_address) = target.local_addr() else {
        return;
    };
    // With Nagle's algorithm, small frames would wait for the acknowledgement of earlier ones.
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let connection = Arc::new(LinkConnection {
        caller,
        target,
        is_closed: AtomicBool::new(false),
        written: AtomicU64::new(0),
        forwarded: AtomicU64::new(0),
        is_control: AtomicBool::new(false),
        is_resetting: AtomicBool::new(false),
    });
    lock(&shared.connections).insert(outbound_address, connection.clone());
    if shared.is_stopping() {
        connection.close();
    }
    let return_worker =
        thread::Builder::new().name("link-back".to_owned()).stack_size(COPY_STACK_BYTES).spawn({
            let connection = connection.clone();
            let shared = shared.clone();
            move || copy_to_caller(&connection, &shared)
        });
    match return_worker {
        Ok(return_worker) => {
            copy_to_target(&connection, shared);
            let _ = return_worker.join();
        }
        Err(_) => connection.close(),
    }
    lock(&shared.connections).remove(&outbound_address);
}

fn copy_to_target(connection: &LinkConnection, shared: &LinkShared) {
    let result = copy(&connection.caller, &connection.target, shared, |_| ());
    connection.is_closed.store(true, Ordering::SeqCst);
    finish_direction(connection, result, &connection.target);
}

fn copy_to_caller(connection: &LinkConnection, shared: &LinkShared) {
    let result = copy(&connection.target, &connection.caller, shared, |bytes| {
        connection.forwarded.fetch_add(bytes as u64, Ordering::SeqCst);
    });
    let is_complete = result.is_ok();
    finish_direction(connection, result, &connection.caller);
    if is_complete && !connection.is_resetting.load(Ordering::SeqCst) {
        // The target sends nothing more, so it cannot respond to further data from the caller.
        let _ = connection.caller.shutdown(Shutdown::Read);
    }
}

/// Ends one direction after its copy loop: closes `to` for writing after an end of stream, and
/// propagates a reset to both sides.
fn finish_direction(connection: &LinkConnection, result: io::Result<()>, to: &TcpStream) {
    match result {
        _ if connection.is_resetting.load(Ordering::SeqCst) => (),
        Ok(()) => {
            let _ = to.shutdown(Shutdown::Write);
        }
        Err(err) if err.kind() == io::ErrorKind::ConnectionReset => connection.reset(),
        Err(_) => connection.close(),
    }
}

/// Copies bytes until the end of the stream, and calls `on_copied` with the length of each write.
fn copy(
    mut from: &TcpStream,
    mut to: &TcpStream,
    shared: &LinkShared,
    on_copied: impl Fn(usize),
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => {
                // A stalled link delays the end of a stream like its bytes.
                shared.wait_while_stalled();
                return Ok(());
            }
            Ok(read) => read,
            Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
            Err(err) => return Err(err),
        };
        if !shared.wait_while_stalled() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&buffer[..read])?;
        on_copied(read);
    }
}
