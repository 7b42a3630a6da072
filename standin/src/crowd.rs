//! Callers that press a process: requests that stay unfinished, bodies over the limit, and responses
//! that nobody reads.

use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    thread,
    time::{Duration, Instant},
};

use socket2::SockRef;

/// Time without progress after which a caller stops to send and only keeps its connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of one write, and of a large chunk.
const PIECE_BYTES: usize = 64 << 10;

/// Content bytes of a small chunk.
const SMALL_CHUNK_BYTES: usize = 32;

/// Pause between two pieces of a body that is sent piece by piece.
const PIECE_PAUSE: Duration = Duration::from_millis(2);

/// Bytes by which an unfinished body stops short of its end.
const MISSING_BYTES: usize = 10;

/// Multiple of the body limit that a body over the limit announces.
const ANNOUNCED_MULTIPLE: usize = 64;

/// Multiple of the body limit that a caller sends of a body over the limit.
const SENT_MULTIPLE: usize = 8;

/// Requests that a caller sends on one connection without reading a response.
const PIPELINED_REQUESTS: usize = 64;

/// Receive buffer of a caller that does not read, in bytes.
const UNREAD_BUFFER_BYTES: usize = 4 << 10;

/// Longest wait for the process to read what was sent to it.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

/// Time without a change after which the process counts as having read all that it will read. It
/// may leave bytes of a connection unread for good.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Pause between two looks at what is unread.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What each caller of a crowd does before it keeps its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// Sends a body of the largest legal size at once, but for its last bytes.
    WholeBody,
    /// The same, with pauses between the pieces.
    PiecedBody,
    /// Sends a body in large chunks and not its last chunk.
    LargeChunks,
    /// Sends a body in very small chunks and not its last chunk.
    SmallChunks,
    /// Announces a body far over the limit and sends a part of it.
    AnnouncedOver,
    /// Sends chunks far over the limit.
    SentOver,
    /// Sends many requests without a body on one connection and reads no response.
    Unread,
    /// Connects and sends nothing.
    Silent,
}

/// Target and size of a crowd.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Address for callers of the process.
    pub address: SocketAddr,
    /// Request line and headers, each with its line end, without those that frame the body.
    pub head: String,
    /// Largest legal body, in bytes.
    pub max_body_bytes: usize,
    /// Number of callers.
    pub callers: usize,
}

/// Connections of a crowd; they stay open until they are dropped.
#[derive(Debug)]
pub struct CallerCrowd {
    connections: Vec<TcpStream>,
}

impl CallerCrowd {
    /// Lets all callers send at the same time, and returns once each has sent what it does or can
    /// send no more.
    pub fn press(kind: CrowdKind, plan: &CrowdPlan) -> Self {
        let connections = thread::scope(|scope| {
            let callers: Vec<_> = (0..plan.callers)
                .map(|_| scope.spawn(move || press_once(kind, plan).ok()))
                .collect();
            callers.into_iter().filter_map(|it| it.join().expect("a caller ends")).collect()
        });
        wait_until_read(plan.address);
        Self { connections }
    }

    /// Returns how many callers were accepted.
    pub fn connected(&self) -> usize {
        self.connections.len()
    }
}

fn press_once(kind: CrowdKind, plan: &CrowdPlan) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(plan.address)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    if kind == CrowdKind::Unread {
        SockRef::from(&stream).set_recv_buffer_size(UNREAD_BUFFER_BYTES)?;
    }
    // The process may close the connection at any time, which ends the sending.
    let _ = send_part(kind, plan, &mut stream);
    Ok(stream)
}

fn send_part(kind: CrowdKind, plan: &CrowdPlan, stream: &mut TcpStream) -> io::Result<()> {
    let max = plan.max_body_bytes;
    let announce = |bytes: usize| format!("{}content-length: {bytes}\r\n\r\n", plan.head);
    let chunked = format!("{}transfer-encoding: chunked\r\n\r\n", plan.head);
    let chunks = |bytes: usize, size: usize| {
        let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'x'; size], b"\r\n"].concat();
        (chunk.repeat((PIECE_BYTES / size).max(1)), bytes.div_ceil(PIECE_BYTES))
    };
    match kind {
        CrowdKind::WholeBody => {
            stream.write_all(announce(max).as_bytes())?;
            stream.write_all(&vec![b'x'; max - MISSING_BYTES])
        }
        CrowdKind::PiecedBody => {
            stream.write_all(announce(max).as_bytes())?;
            for piece in vec![b'x'; max - MISSING_BYTES].chunks(PIECE_BYTES) {
                stream.write_all(piece)?;
                thread::sleep(PIECE_PAUSE);
            }
            Ok(())
        }
        CrowdKind::LargeChunks | CrowdKind::SmallChunks | CrowdKind::SentOver => {
            let is_small = kind == CrowdKind::SmallChunks;
            let size = if is_small { SMALL_CHUNK_BYTES } else { PIECE_BYTES };
            let bytes = if kind == CrowdKind::SentOver { max * SENT_MULTIPLE } else { max };
            let (piece, count) = chunks(bytes, size);
            stream.write_all(chunked.as_bytes())?;
            (0..count).try_for_each(|_| stream.write_all(&piece))
        }
        CrowdKind::AnnouncedOver => {
            stream.write_all(announce(max * ANNOUNCED_MULTIPLE).as_bytes())?;
            let piece = vec![b'x'; PIECE_BYTES];
            (0..max * SENT_MULTIPLE / PIECE_BYTES).try_for_each(|_| stream.write_all(&piece))
        }
        CrowdKind::Unread => {
            let request = format!("{}\r\n", plan.head);
            (0..PIPELINED_REQUESTS).try_for_each(|_| stream.write_all(request.as_bytes()))
        }
        CrowdKind::Silent => Ok(()),
    }
}

/// Waits until the process behind the listener at `address` has read what was sent to it.
fn wait_until_read(address: SocketAddr) {
    let started = Instant::now();
    let (mut last_change, mut last) = (started, u64::MAX);
    while started.elapsed() < MAX_READ_WAIT && last_change.elapsed() < SETTLE_TIME {
        match unread_bytes(address) {
            Ok(0) | Err(_) => return,
            Ok(bytes) if bytes != last => (last_change, last) = (Instant::now(), bytes),
            Ok(_) => {}
        }
        thread::sleep(READ_POLL_INTERVAL);
    }
}

/// Returns the bytes that were sent to the listener at `address` and that its process has not read,
/// whether the system still sends them or has received them.
fn unread_bytes(address: SocketAddr) -> io::Result<u64> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let local = kernel_address(address);
    let table = fs::read_to_string("/proc/net/tcp")?;
    let queues = table.lines().filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let (is_local, is_remote) = (columns.next()? == local, columns.next()? == local);
        let (state, queues) = (columns.next()?, columns.next()?.split_once(':')?);
        // The queue of a listener counts connections.
        let queue = match (is_local, is_remote) {
            (true, _) if state != LISTEN_STATE => queues.1,
            (_, true) => queues.0,
            _ => return None,
        };
        u64::from_str_radix(queue, 16).ok()
    });
    Ok(queues.sum())
}

/// State of a listener in the table of the system.
const LISTEN_STATE: &str = "0A";

/// Returns an address as the table of the system writes it.
fn kernel_address(address: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}

/// What a process holds, as the system reports it.
#[derive(Clone, Copy, Debug)]
pub struct ProcessFigures {
    /// Largest resident memory since the start of the process, in bytes.
    pub peak_memory_bytes: u64,
    /// Open file descriptors.
    pub open_descriptors: usize,
}

impl ProcessFigures {
    /// Reads the figures of the process `id`.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn read(id: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let peak = status
            .lines()
            .find_map(|it| it.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?.parse().ok());
        let peak: u64 = peak.ok_or_else(|| io::Error::other("the process has ended"))?;
        let open_descriptors = fs::read_dir(format!("/proc/{id}/fd"))?.count();
        Ok(Self { peak_memory_bytes: peak << 10, open_descriptors })
    }
}
