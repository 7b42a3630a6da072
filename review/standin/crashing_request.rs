//! A request that crashes the servers that begin to run it comes again: after all gateways were
//! killed at the same moment, or at servers that go silent when they crash.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    net::{self, Connection, Received},
    world::{
        Gateway, GatewayAddresses, Record, Store, config, loopback_ip, request_head, server_entry,
        server_entry_born,
    },
};

/// Bound of the users' pages until a machine is in touch (`stable_window_ms`).
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time until a crashed server is back.
const SERVER_DOWN: Duration = Duration::from_millis(3_000);

/// Time until killed gateways are back, as in the final faults of the site.
const GATEWAY_DOWN: Duration = Duration::from_millis(1_300);

/// Zones of the gateways, as in the site.
const GATEWAY_ZONES: [&str; 6] = ["hn-a", "hn-a", "hn-b", "hn-b", "hn-c", "hn-d"];

/// Path of the request that crashes servers.
const CRASHING_PATH: &str = "/print-order/crash";

/// What servers saw of the request that crashes them, in milliseconds since the start.
#[derive(Default)]
struct Crashes {
    arrivals: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Usual length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// What callers see of a server that has crashed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CrashKind {
    /// The process ended: connections end, and new ones are refused.
    Refusing,
    /// The machine went down: connections are silent, and new ones are not answered.
    Silent,
}

/// A server that can crash. It is back at the same address after [`SERVER_DOWN`].
struct Desk {
    name: &'static str,
    zone: &'static str,
    address: SocketAddr,
    starts: AtomicU64,
    is_down: AtomicBool,
    /// Whether the listener is closed.
    is_closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    store: Arc<Store>,
    seen: Arc<Crashes>,
    crash_kind: CrashKind,
}

impl Desk {
    fn start(
        name: &'static str,
        zone: &'static str,
        ip: &str,
        crash_kind: CrashKind,
        record: &Arc<Record>,
        store: &Arc<Store>,
        seen: &Arc<Crashes>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let desk = Arc::new(Self {
            name,
            zone,
            address: listener.local_addr()?,
            starts: AtomicU64::new(1),
            is_down: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
            seen: seen.clone(),
            crash_kind,
        });
        let entry = server_entry("print-desk", desk.address, zone, 6);
        store.put(&format!("servers/{name}"), &entry);
        let accepting = desk.clone();
        thread::spawn(move || accepting.run(listener));
        Ok(desk)
    }

    fn run(self: Arc<Self>, first: TcpListener) {
        let mut listener = first;
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => self.clone().accept(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            listener = match self.crash_kind {
                CrashKind::Refusing => {
                    drop(listener);
                    self.is_closed.store(true, Ordering::SeqCst);
                    thread::sleep(SERVER_DOWN);
                    TcpListener::bind(self.address).expect("the port is still free")
                }
                CrashKind::Silent => {
                    let fill = fill_queue(&listener);
                    self.is_closed.store(true, Ordering::SeqCst);
                    thread::sleep(SERVER_DOWN);
                    // The connections of the process before end with it.
                    self.end_connections();
                    while listener.accept().is_ok() {}
                    drop(fill);
                    // SAFETY: the socket is open and listens.
                    unsafe { listen(listener.as_raw_fd(), BACKLOG) };
                    listener
                }
            };
            self.is_closed.store(false, Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
            let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
            self.record.line(&format!("server {} is back", self.name));
            let entry = server_entry_born("print-desk", self.address, self.zone, 6, start);
            self.store.put(&format!("servers/{}", self.name), &entry);
        }
    }

    fn accept(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().push(copy);
        }
        thread::spawn(move || {
            let _ = net::serve_connection(stream, &|request, socket| self.answer(request, socket));
        });
    }

    fn answer(&self, request: &Received, socket: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        self.record.line(&format!("server {} runs {id}", self.name));
        let is_crashing = request.target == CRASHING_PATH;
        if is_crashing {
            self.seen.arrivals.lock().unwrap().push(self.record.now());
        }
        let start = self.starts.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(15));
        if is_crashing && !self.is_down.load(Ordering::SeqCst) {
            self.crash();
        }
        while self.is_down.load(Ordering::SeqCst) {
            // The process does nothing more.
            thread::sleep(Duration::from_millis(10));
        }
        if self.starts.load(Ordering::SeqCst) != start {
            return Ok(false);
        }
        let seal = format!("seal-{}", self.name);
        let headers = [("Request-Id", &*id), ("Server-Seal", &*seal)];
        net::respond(socket, 200, &headers, &[b'x'; 800])
    }

    /// Ends the process: its port has no listener, and its connections end.
    fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        while !self.is_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        self.seen.crashes.lock().unwrap().push(self.record.now());
        self.record.line(&format!("server {} crashes", self.name));
        if self.crash_kind == CrashKind::Refusing {
            self.end_connections();
        }
    }

    fn end_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Fills the queue of connections that wait to be accepted, so that no further one is answered.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    // SAFETY: the socket is open and listens.
    unsafe { listen(listener.as_raw_fd(), 0) };
    let Ok(address) = listener.local_addr() else {
        return Vec::new();
    };
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(20)).ok();
    (0..BACKLOG).map_while(|_| connect()).collect()
}

/// Sends the crashing request to gateways at the same time, each copy with an id of its own.
fn send_copies(record: &Record, gateways: &[GatewayAddresses], wave: &str) {
    thread::scope(|scope| {
        for (index, gateway) in gateways.iter().enumerate() {
            scope.spawn(move || {
                let id = format!("crash-{wave}-{index}");
                record.line(&format!("client sends {id} to gateway {index}"));
                let head = request_head("POST", CRASHING_PATH, &id, 600, "");
                let answer = Connection::open(gateway.callers, Duration::from_secs(1))
                    .and_then(|mut it| it.call(&head, b"order 17", Duration::from_millis(600)));
                match answer {
                    Ok(answer) => record.line(&format!("client gets {id}: {}", answer.status)),
                    Err(error) => record.line(&format!("client gets no answer to {id}: {error}")),
                }
            });
        }
    });
}

/// Sends orders that crash nothing; returns when those were sent that were lost with their server:
/// answered, but neither with success nor as not run.
fn run_sound_client(
    record: &Record,
    gateway: GatewayAddresses,
    number: usize,
    is_over: &AtomicBool,
) -> Vec<u64> {
    let mut lost = Vec::new();
    let mut count = 0;
    let mut kept: Option<Connection> = None;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("o{number}-{count}");
        let sent = record.now();
        record.line(&format!("client sends {id}"));
        let head = request_head("POST", "/print-order/1", &id, 600, "");
        let opened = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(gateway.callers, Duration::from_secs(1)),
        };
        let answer = opened.and_then(|mut connection| {
            let body = format!("order {id}");
            let answer = connection.call(&head, body.as_bytes(), Duration::from_millis(600))?;
            Ok((connection, answer))
        });
        match answer {
            Ok((connection, answer)) => {
                record.line(&format!("client gets {id}: {}", answer.status));
                if !matches!(answer.status, 200 | 503) {
                    lost.push(sent);
                }
                kept = Some(connection);
            }
            Err(error) => {
                record.line(&format!("client gets no answer to {id}: {error}"));
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
    lost
}

/// The store, four desks, and the addresses of six gateways.
struct Site {
    record: Arc<Record>,
    store: Arc<Store>,
    seen: Arc<Crashes>,
    addresses: Vec<GatewayAddresses>,
}

impl Site {
    fn start(folder: &Path, crash_kind: CrashKind) -> io::Result<Self> {
        let record = Record::create(&folder.join("record.txt"))?;
        let store = Arc::new(Store::start(&loopback_ip(1))?);
        let seen = Arc::new(Crashes::default());
        let zones = [("d1", "hn-a"), ("d2", "hn-b"), ("d3", "hn-c"), ("d4", "hn-d")];
        for (index, (name, zone)) in zones.into_iter().enumerate() {
            let ip = loopback_ip(10 + index as u8);
            Desk::start(name, zone, &ip, crash_kind, &record, &store, &seen)?;
        }
        store.put("op/config", &config(3));
        let addresses: io::Result<Vec<GatewayAddresses>> =
            (0..6).map(|it| GatewayAddresses::reserve(&loopback_ip(20 + it))).collect();
        Ok(Self { record, store, seen, addresses: addresses? })
    }

    /// Starts all gateways and waits until they are ready.
    fn start_gateways(&self) -> io::Result<Vec<Gateway>> {
        let gateways: io::Result<Vec<Gateway>> = GATEWAY_ZONES
            .into_iter()
            .enumerate()
            .map(|(index, zone)| {
                let own = self.addresses[index];
                Gateway::start(index + 1, zone, own, self.store.address, &self.addresses[..3])
            })
            .collect();
        let gateways = gateways?;
        for gateway in &gateways {
            gateway.wait_ready()?;
        }
        self.record.line("all gateways are ready");
        Ok(gateways)
    }

    /// Checks the rule BUDGET on retries of a request that has crashed three servers. `lost` are the
    /// times at which other orders were sent that were lost.
    fn check(&self, lost: &[u64]) -> bool {
        let crashes = self.seen.crashes.lock().unwrap();
        let arrivals = self.seen.arrivals.lock().unwrap();
        let third = crashes.get(2).copied().unwrap_or(u64::MAX / 2);
        let bound = third + STABLE_WINDOW.as_millis() as u64;
        let late = arrivals.iter().filter(|it| **it > bound).count();
        let later_crashes = crashes.iter().filter(|it| **it > bound).count();
        self.record.tell(&format!("crashes: {crashes:?}; arrivals: {arrivals:?}"));
        self.record.tell(&format!(
            "{late} retries reached servers later than {} ms after the third crash, and crashed \
             {later_crashes}; {} other orders sent after that time were lost with their servers",
            STABLE_WINDOW.as_millis(),
            lost.iter().filter(|it| **it > bound).count()
        ));
        let held = late <= 3;
        self.record.tell(if held { "the rule held" } else { "rule BUDGET is broken" });
        held
    }
}

/// All gateways are killed after the request was blocked.
pub fn forgotten_strikes(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let site = Site::start(folder, CrashKind::Refusing)?;
    let Site { record, addresses, .. } = &site;
    let mut gateways = site.start_gateways()?;
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));

    let is_over = AtomicBool::new(false);
    let mut lost: Vec<u64> = Vec::new();
    thread::scope(|scope| -> io::Result<()> {
        let clients: Vec<_> = (0..12)
            .map(|number| {
                let (is_over, gateway) = (&is_over, addresses[number % 6]);
                scope.spawn(move || run_sound_client(record, gateway, number, is_over))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        // Three gateways in different data centres have the request at the same time.
        send_copies(record, &[addresses[0], addresses[2], addresses[4]], "first");
        // It comes again at each gateway in turn, for longer than the servers are away.
        for gateway in addresses.iter().cycle().take(10) {
            thread::sleep(Duration::from_millis(500));
            send_copies(record, std::slice::from_ref(gateway), "again");
        }
        if has_trouble {
            gateways.iter().for_each(Gateway::end);
            record.line("all gateways are killed");
            gateways.clear();
            thread::sleep(GATEWAY_DOWN);
            gateways = site.start_gateways()?;
        }
        thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
        for wave in ["second", "third"] {
            send_copies(record, addresses, wave);
            thread::sleep(SERVER_DOWN + Duration::from_millis(500));
        }
        is_over.store(true, Ordering::SeqCst);
        lost = clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
        Ok(())
    })?;

    Ok(site.check(&lost))
}

/// The request takes down machines, which go silent. It comes again every 0.7 s, at each gateway in
/// turn.
pub fn silent_crashes(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let site = Site::start(folder, CrashKind::Silent)?;
    let Site { record, addresses, .. } = &site;
    let _gateways = site.start_gateways()?;
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    let is_over = AtomicBool::new(false);
    let mut lost: Vec<u64> = Vec::new();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..12)
            .map(|number| {
                let (is_over, gateway) = (&is_over, addresses[number % 6]);
                scope.spawn(move || run_sound_client(record, gateway, number, is_over))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        for gateway in addresses.iter().cycle().take(30) {
            if has_trouble {
                send_copies(record, std::slice::from_ref(gateway), "again");
            }
            thread::sleep(Duration::from_millis(700));
        }
        is_over.store(true, Ordering::SeqCst);
        lost = clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
    });
    Ok(site.check(&lost))
}
