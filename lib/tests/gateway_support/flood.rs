//! Senders that write as fast as they can, from threads of their own.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Time after which a blocked read or write checks whether the test is over.
const IO_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections of a [`FloodServer`].
#[derive(Debug, Default)]
struct FloodCounts {
    opened: AtomicUsize,
    closed: AtomicUsize,
    sent_bytes: AtomicUsize,
    is_over: AtomicBool,
}

/// A server that reads the head of a request on each connection, and then writes a block of bytes
/// again and again until the connection is closed.
pub struct FloodServer {
    pub address: SocketAddr,
    counts: Arc<FloodCounts>,
    acceptor: Option<JoinHandle<()>>,
}

impl FloodServer {
    /// Starts a server that writes `start` once and then `block` without end.
    pub fn start(start: impl Into<Vec<u8>>, block: impl Into<Vec<u8>>) -> Self {
        let (start, block): (Arc<[u8]>, Arc<[u8]>) = (start.into().into(), block.into().into());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let counts = Arc::new(FloodCounts::default());
        let shared = counts.clone();
        let acceptor = thread::spawn(move || {
            let mut writers = Vec::new();
            while let Ok((stream, _)) = listener.accept() {
                if shared.is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (start, block, counts) = (start.clone(), block.clone(), shared.clone());
                counts.opened.fetch_add(1, Ordering::SeqCst);
                writers.push(thread::spawn(move || {
                    flood(stream, &start, &block, &counts);
                    counts.closed.fetch_add(1, Ordering::SeqCst);
                }));
            }
            writers.into_iter().for_each(|it| it.join().unwrap());
        });
        Self { address, counts, acceptor: Some(acceptor) }
    }

    /// Returns the number of connections that were opened.
    pub fn opened(&self) -> usize {
        self.counts.opened.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that the other side has closed.
    pub fn closed(&self) -> usize {
        self.counts.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were written on all connections.
    pub fn sent_bytes(&self) -> usize {
        self.counts.sent_bytes.load(Ordering::SeqCst)
    }
}

impl Drop for FloodServer {
    fn drop(&mut self) {
        self.counts.is_over.store(true, Ordering::SeqCst);
        // Ends the wait for the next connection.
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            let result = acceptor.join();
            assert!(result.is_ok() || thread::panicking(), "a thread of the server panicked");
        }
    }
}

fn flood(mut stream: TcpStream, start: &[u8], block: &[u8], counts: &FloodCounts) {
    stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
    let is_timeout = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Err(error) if is_timeout(&error) && !counts.is_over.load(Ordering::SeqCst) => {}
            _ => return,
        }
    }
    let mut next = if start.is_empty() { block } else { start };
    while !counts.is_over.load(Ordering::SeqCst) {
        match stream.write(next) {
            Ok(0) => return,
            Ok(length) => {
                counts.sent_bytes.fetch_add(length, Ordering::SeqCst);
                next = &next[length..];
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
        if next.is_empty() {
            next = block;
        }
    }
}
