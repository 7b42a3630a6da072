//! Stand-ins for the store, for upstream servers and for clients, and a launcher of the gateway.
//! They use the standard library only and listen on loopback addresses.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Writes `record.txt`; each line has the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self { file: Mutex::new(File::create(path)?), start: Instant::now() }))
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Writes to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Small random numbers; a script needs no more.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns a port that nobody listens on. It is below the ports that the system gives to outgoing
/// connections, so that none of these takes it before the program listens.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let start = u64::from(std::process::id()) * 97 + unix_millis() / 1_000;
        let port = 12_000 + ((start + step) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index > part.len() {
                text.push('=');
            } else {
                text.push(SET[(word >> (18 - 6 * index)) as usize & 63] as char);
            }
        }
    }
    text
}

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a length, in chunks, or without a body. `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim_end(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

// ---------------------------------------------------------------------------------------------
// The store

struct StoreEvent {
    revision: u64,
    at: Instant,
    text: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    events: Vec<(String, StoreEvent)>,
    /// Watches from before this revision get 410.
    oldest: u64,
}

/// The platform's store, as PROTOCOL.md has it: items, pages of at most 500 items or about 1 MB, and
/// watches that return each change as it was written, with a history of `history`.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub address: SocketAddr,
    history: Duration,
    record: Arc<Record>,
    /// Bytes of the largest answer to a watch.
    pub largest_watch: AtomicU64,
    pub gone_answers: AtomicU64,
    /// Time that each answer takes.
    pub answer_ms: AtomicU64,
}

impl Store {
    pub fn start(record: Arc<Record>, history: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr().unwrap(),
            history,
            record,
            largest_watch: AtomicU64::new(0),
            gone_answers: AtomicU64::new(0),
            answer_ms: AtomicU64::new(4),
        });
        store.state.lock().unwrap().revision = 1;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Writes an item; returns its revision. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let created = state.items.get(key).map_or(revision, |it| it.2);
        let text = item_text(key, &value, revision, created);
        state.items.insert(key.to_owned(), (value, revision, created));
        state.events.push((key.to_owned(), StoreEvent { revision, at: Instant::now(), text }));
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let path = request.path().to_owned();
            let (name, query) = path.split_once('?').unwrap_or((&path, ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .map(|(key, value)| (key.to_owned(), percent_decode(value)))
                .collect();
            let (status, body) = match name {
                "/kv-range" => (200, self.range(&query)),
                "/kv-watch" => self.watch(&query),
                _ => (404, "{}".to_owned()),
            };
            thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::Relaxed)));
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err()
                || writer.write_all(body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> String {
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, revision, created)) in &state.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            if items.len() >= 500 || (bytes > 0 && bytes + value.len() > 1 << 20) {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(item_text(key, value, *revision, *created));
        }
        format!(
            "{{\"items\":[{}],\"more_pages\":{more},\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &HashMap<String, String>) -> (u16, String) {
        let number =
            |name: &str| query.get(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = number("after");
        let limit = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let history = self.history;
            let dropped =
                state.events.iter().take_while(|(_, it)| it.at.elapsed() > history).count();
            if dropped > 0 {
                state.oldest = state.events[dropped - 1].1.revision;
                state.events.drain(..dropped);
            }
            if after < state.oldest {
                self.gone_answers.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("store: watch after {after}: 410"));
                return (410, "{}".to_owned());
            }
            let found: Vec<&str> = state
                .events
                .iter()
                .filter(|(key, it)| it.revision > after && key.starts_with(&prefix))
                .map(|(_, it)| it.text.as_str())
                .collect();
            if !found.is_empty() || Instant::now() >= limit {
                let count = found.len();
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    found.join(","),
                    state.revision
                );
                self.largest_watch.fetch_max(body.len() as u64, Ordering::Relaxed);
                if count > 0 {
                    let bytes = body.len();
                    let line = format!("store: watch after {after}: {count} events, {bytes} bytes");
                    self.record.line(&line);
                }
                return (200, body);
            }
            let wait = limit.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{created},\"lease\":0}}"
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3).and_then(|it| std::str::from_utf8(it).ok());
        match (bytes[index], hex.and_then(|it| u8::from_str_radix(it, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Servers

/// What a server does wrong while `active` is set.
#[derive(Default)]
pub struct ServerFault {
    pub active: AtomicBool,
    /// Share of its answers, in thousandths, of which it sends a second copy late: when the next
    /// request has arrived on the connection.
    pub late_copy_per_mille: AtomicU64,
    pub copies_sent: AtomicU64,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// A server of a service that is no model: it runs `slots` requests at a time and queues a few more.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    places: Mutex<Places>,
    freed: Condvar,
    pub fault: ServerFault,
    /// Request ids that it began to run, with the time in seconds of the record.
    pub runs: Mutex<Vec<(String, f64)>>,
    pub refusals: AtomicU64,
    /// Times at which requests arrived, refused ones included.
    pub arrivals: Mutex<Vec<f64>>,
    record: Arc<Record>,
    seed: AtomicU64,
}

impl Server {
    pub fn start(
        record: Arc<Record>,
        id: &str,
        service: &str,
        slots: usize,
        queue: usize,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_millis(),
            slots,
            queue,
            work,
            places: Mutex::default(),
            freed: Condvar::new(),
            fault: ServerFault::default(),
            runs: Mutex::default(),
            refusals: AtomicU64::new(0),
            arrivals: Mutex::default(),
            record,
            seed: AtomicU64::new(1),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        server
    }

    /// The entry of the server in the store.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":4,\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn load(&self) -> String {
        let places = self.places.lock().unwrap();
        format!("{},{},{}", places.running, places.waiting, self.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        // One descriptor for each connection.
        let stream = &stream;
        let mut writer = stream;
        let mut random = Random::new(
            self.seed.fetch_add(1, Ordering::Relaxed) * 7919 + u64::from(self.address.port()),
        );
        let mut reader = BufReader::new(stream);
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            self.arrivals.lock().unwrap().push(self.record.seconds());
            if let Some((of, copy)) = late_copy.take() {
                self.fault.copies_sent.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!(
                    "{}: second copy of the answer to {of}, late, as {id} arrives on the connection",
                    self.id
                ));
                if writer.write_all(&copy).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &id, stream) else {
                return;
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
            let share = self.fault.late_copy_per_mille.load(Ordering::Relaxed) as f64 / 1e3;
            if self.fault.active.load(Ordering::Relaxed) && random.unit() < share {
                late_copy = Some((id, answer));
            }
        }
    }

    /// Runs or refuses a request. `None` if its connection closed while it waited or ran.
    fn answer(&self, request: &Message, id: &str, probe: &TcpStream) -> Option<Vec<u8>> {
        let respond = |status: &str, extra: &str, body: &[u8]| {
            let head = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nKeep-Alive: timeout=5\r\nServer-Load: {}\r\n{extra}Content-Length: {}\r\n\r\n",
                self.load(),
                body.len()
            );
            [head.as_bytes(), body].concat()
        };
        if request.header("expect-instance").is_some_and(|it| it != self.id) {
            let extra = format!("Instance-Id: {}\r\n", self.id);
            return Some(respond("421 Misdirected Request", &extra, b""));
        }
        if id.is_empty() {
            return Some(respond("400 Bad Request", "Not-Executed: 1\r\n", b""));
        }
        {
            let mut places = self.places.lock().unwrap();
            if places.running >= self.slots {
                if places.waiting >= self.queue {
                    drop(places);
                    self.refusals.fetch_add(1, Ordering::Relaxed);
                    self.record.line(&format!("{}: refuses {id}, full", self.id));
                    return Some(respond("503 Service Unavailable", "Not-Executed: 1\r\n", b""));
                }
                places.waiting += 1;
                // Many waiting threads must not take the processor.
                let pause = Duration::from_millis(if self.queue > 50 { 250 } else { 5 });
                while places.running >= self.slots {
                    places = self.freed.wait_timeout(places, pause).unwrap().0;
                    if is_closed(probe) {
                        places.waiting -= 1;
                        return None;
                    }
                }
                places.waiting -= 1;
            }
            places.running += 1;
        }
        self.runs.lock().unwrap().push((id.to_owned(), self.record.seconds()));
        self.record.line(&format!("{}: runs {id}", self.id));
        thread::sleep(self.work);
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_all();
        let seal = format!("Server-Seal: {}.{id}\r\n", self.id);
        // One event, so that a stream is complete too.
        let body = format!("id: 1\ndata: {}\n\n", "x".repeat(786));
        Some(respond("200 OK", &seal, body.as_bytes()))
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

// ---------------------------------------------------------------------------------------------
// The gateway

pub struct Gateway {
    child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
}

/// Settings that the deploy file takes from the platform.
#[derive(Clone)]
pub struct GatewaySettings {
    pub host: String,
    pub zone: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub peers: SocketAddr,
    pub config_ms: u64,
    pub retry_slack: u64,
    pub memory_mb: u64,
    pub descriptors: u64,
}

impl Gateway {
    /// Starts the program with the command of the deploy file.
    pub fn start(settings: &GatewaySettings) -> io::Result<Self> {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (listen, ready) = (address(free_port()), address(free_port()));
        let metrics = address(free_port());
        let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
        let output = match std::env::var("STANDIN_LOG") {
            Ok(folder) => {
                let path = PathBuf::from(folder).join(format!("{}.log", settings.host));
                Stdio::from(File::create(path)?)
            }
            Err(_) => Stdio::null(),
        };
        // The shell sets the limit of descriptors and is replaced by the program.
        let limit = format!("ulimit -n {} 2>/dev/null; exec \"$0\" \"$@\"", settings.descriptors);
        let child = Command::new("sh")
            .args(["-c", &limit, "target/release/snipepond-gateway"])
            .arg(format!("--host={}", settings.host))
            .arg(format!("--data-centre={}", settings.zone))
            .arg(format!("--listen={listen}"))
            .arg(format!("--ready-listen={ready}"))
            .arg(format!("--peer-listen={}", settings.peers))
            .arg(format!("--metrics-listen={metrics}"))
            .arg(format!("--store={}", settings.store))
            .arg(format!("--seed-peers={}", seeds.join(",")))
            .arg("--bandwidth-mbps=1000.0")
            .arg("--retry-ratio=0.2")
            .arg("--retry-window-s=10")
            .arg(format!("--retry-slack={}", settings.retry_slack))
            .arg(format!("--config-bound-ms={}", settings.config_ms))
            .arg("--stop-limit-s=8")
            .arg(format!("--memory-mb={}", settings.memory_mb))
            .arg(format!("--descriptors={}", settings.descriptors))
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child, listen, ready })
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let mut reader = BufReader::new(stream);
        matches!(read_message(&mut reader), Ok(Some(it)) if it.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory that the process takes, and the most that it has taken, in MiB.
    pub fn memory_mib(&self) -> Option<(u64, u64)> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| -> Option<u64> {
            let line = text.lines().find(|it| it.starts_with(name))?;
            let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kib.div_ceil(1024))
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Status(u16),
    /// The connection closed without an answer, or there was none within the time.
    Nothing(String),
}

/// A client with one connection, which it keeps.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    used_at: Instant,
}

/// Idle time after which a client opens a new connection: four fifths of the limit of 15 s.
const CLIENT_IDLE: Duration = Duration::from_secs(12);

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None, used_at: Instant::now() }
    }

    /// Sends a request and reads the answer.
    pub fn send(&mut self, request: &[u8], limit: Duration) -> (Answer, Option<Message>) {
        let nothing = |error: io::Error| (Answer::Nothing(error.to_string()), None);
        if self.used_at.elapsed() >= CLIENT_IDLE {
            self.connection = None;
        }
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                }
                Err(error) => return nothing(error),
            },
        };
        let _ = reader.get_ref().set_read_timeout(Some(limit));
        if let Err(error) = reader.get_mut().write_all(request) {
            return nothing(error);
        }
        match read_message(&mut reader) {
            Ok(Some(message)) => {
                let closes =
                    message.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
                self.used_at = Instant::now();
                if !closes {
                    self.connection = Some(reader);
                }
                (Answer::Status(message.status()), Some(message))
            }
            Ok(None) => (Answer::Nothing("closed".to_owned()), None),
            Err(error) => {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                nothing(error)
            }
        }
    }
}
