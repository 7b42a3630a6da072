//! A small deployment on loopback addresses: a store of the platform, servers, and gateways as
//! separate processes with the command of the deploy file.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{self, Connection, Handler, Received};

/// Signals, with their numbers on Linux.
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Gateways that run, by their process ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every gateway that runs; for a case that is given up.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: the call takes no pointers, and the child has not been waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// The record of a case: what was sent, answered and run, each with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Self { file, started: Instant::now() }))
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    removed: BTreeMap<String, u64>,
}

/// Stand-in of the platform's store.
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let shared = state.clone();
        let handler: Arc<Handler> = Arc::new(move |request: &Received, stream: &mut TcpStream| {
            let body = answer_store(&shared, request);
            let headers = [("Content-Type", "application/json")];
            net::respond(stream, 200, &headers, body.as_bytes())
        });
        Ok(Self { state, address: net::serve(ip, handler)? })
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (base64(value.as_bytes()), revision));
        state.removed.remove(key);
        self.state.1.notify_all();
    }
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), request: &Received) -> String {
    let mut state = shared.0.lock().unwrap();
    let item = |key: &str, value: &str, revision: u64| {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"create_rev\":{revision},\"lease\":0}}"
        )
    };
    if request.target.starts_with("/kv-range") {
        let items: Vec<String> =
            state.items.iter().map(|(key, it)| item(key, &it.0, it.1)).collect();
        return format!(
            "{{\"items\":[{}],\"more_pages\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
    }
    let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
    let after = number("after").unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
    while state.revision <= after && Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
    let changed = state.items.iter().filter(|it| it.1.1 > after);
    let mut events: Vec<(u64, String)> =
        changed.map(|(key, it)| (it.1, item(key, &it.0, it.1))).collect();
    events.extend(state.removed.iter().filter(|it| *it.1 > after).map(|(key, revision)| {
        let text = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}");
        (*revision, text)
    }));
    events.sort();
    let events: Vec<String> = events.into_iter().map(|it| it.1).collect();
    format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), state.revision)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let is_padding = index > group.len();
            let digit = ALPHABET[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}

/// Addresses of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
}

impl GatewayAddresses {
    /// Finds free ports of an address; the port of the metrics is that of the deploy file.
    pub fn reserve(ip: &str) -> io::Result<Self> {
        let metrics = TcpListener::bind((ip, 9_464))?.local_addr()?;
        let listeners: io::Result<Vec<TcpListener>> =
            (0..3).map(|_| TcpListener::bind((ip, 0))).collect();
        let addresses: io::Result<Vec<SocketAddr>> =
            listeners?.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        Ok(Self { callers: addresses[0], ready: addresses[1], peers: addresses[2], metrics })
    }
}

/// Returns a loopback address of this run; `number` tells its hosts apart.
pub fn loopback_ip(number: u8) -> String {
    let run = std::process::id();
    format!("127.{}.{}.{number}", 100 + (run >> 8) % 100, run % 250)
}

/// One gateway process; dropping it kills the process.
pub struct Gateway {
    pub name: String,
    pub addresses: GatewayAddresses,
    child: Mutex<Child>,
}

impl Gateway {
    /// Starts a process with the command of the deploy file.
    pub fn start(
        number: usize,
        zone: &str,
        addresses: GatewayAddresses,
        store: SocketAddr,
        seeds: &[GatewayAddresses],
    ) -> io::Result<Self> {
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> = seeds.iter().map(|it| it.peers.to_string()).collect();
        let child = Command::new("target/release/snipepond-gateway")
            .arg(format!("--host={name}"))
            .arg(format!("--data-centre={zone}"))
            .arg(format!("--listen={}", addresses.callers))
            .arg(format!("--ready-listen={}", addresses.ready))
            .arg(format!("--peer-listen={}", addresses.peers))
            .arg(format!("--metrics-listen={}", addresses.metrics))
            .arg(format!("--store={store}"))
            .arg(format!("--seed-peers={}", seeds.join(",")))
            .arg("--bandwidth-mbps=1000.0")
            .arg("--retry-ratio=0.2")
            .arg("--retry-window-s=10")
            .arg("--retry-slack=52")
            .arg("--config-bound-ms=2000")
            .arg("--stop-limit-s=8")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Self { name, addresses, child: Mutex::new(child) })
    }

    /// Asks the readiness check, as the platform does once a second.
    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let ask = || {
            let mut connection = Connection::open(self.addresses.ready, second)?;
            connection.call("GET /ready HTTP/1.1\r\nHost: ready\r\n", b"", second)
        };
        ask().is_ok_and(|it| it.status == 200)
    }

    pub fn wait_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Resident memory in KiB; 0 if the process has ended.
    pub fn resident_kib(&self) -> u64 {
        let id = self.child.lock().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let value = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
        value.unwrap_or(0)
    }

    pub fn end(&self) {
        let mut child = self.child.lock().unwrap();
        RUNNING.lock().unwrap().retain(|it| *it != child.id());
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}

/// The configuration of the small deployment, with the routes of its sheet. `tenants` have one key
/// each, `key-NAME`.
pub fn config(version: u64) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 resumable: bool,
                 timeout: u32,
                 aim: u32,
                 priority: u8,
                 attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\
             \"priority\":{priority},\"service\":\"{service}\",\"attempts\":{attempts},\
             \"public\":false,\"sticky\":{},\"resumable\":{resumable},\"gap_aim_ms\":300}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("chapter-review", "streaming", "llm-pool", true, 12_000, 600, 0, 2),
        route("lesson-qa", "streaming", "llm-pool", false, 10_000, 800, 1, 1),
        route("glossary-tag", "streaming", "llm-pool", true, 3_000, 1_200, 2, 2),
        route("print-order", "unsafe", "print-desk", false, 600, 100, 2, 1),
        route("stock-check", "safe", "print-desk", false, 600, 100, 2, 2),
    ];
    let service = |name: &str, connections: u32| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":{connections},\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"school\",\"api_keys\":[\"key-school\"],\"priority\":1}}]}}",
        routes.join(","),
        service("llm-pool", 360),
        service("print-desk", 96)
    )
}

/// The entry of a server in the store.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    server_entry_born(service, address, zone, slots, 1)
}

/// The entry of a server; `start` counts the starts of its process.
pub fn server_entry_born(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    start: u64,
) -> String {
    let born = 1_700_000_000_000 + start;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":{born}}}"
    )
}

/// The head of a request, without the length and the empty line.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-school\r\n{more}"
    )
}
