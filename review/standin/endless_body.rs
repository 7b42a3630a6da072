//! Answers whose body comes without end: an engine in trouble sends bytes that are no answer until
//! the caller closes.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{self, Connection, Handler, Received},
    world::{
        Gateway, GatewayAddresses, Record, Store, config, loopback_ip, request_head, server_entry,
    },
};

/// Bound of the users' pages until a machine is in touch (`stable_window_ms`).
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time that a request may take beyond the timeout of its route.
const TIMEOUT_SLACK_MS: u64 = 500;

/// Memory of a machine (`memory_mb`), in KiB. The platform kills a process that takes more.
const MEMORY_KIB: u64 = 260 << 10;

/// What an engine does to one request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// The body is newlines without end.
    Newlines,
    /// Interim heads come without end, and no answer.
    InterimHeads,
    /// The answer is a failure whose body is chunks of one byte without end.
    SmallChunks,
}

/// Decides which requests an engine in trouble spoils.
struct TroublePlan {
    kind: Trouble,
    is_on: AtomicBool,
    /// Answers that are still to be spoiled.
    left: AtomicU64,
}

impl TroublePlan {
    fn takes(&self) -> bool {
        let take = |left: u64| left.checked_sub(1);
        self.is_on.load(Ordering::SeqCst)
            && self.left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }
}

struct Site {
    gateways: Vec<Arc<Gateway>>,
    record: Arc<Record>,
    plan: Arc<TroublePlan>,
    /// When requests began to run at sound engines, by their ids.
    sound_runs: Arc<Mutex<HashMap<String, u64>>>,
    _store: Store,
}

/// Starts a store, three model engines, two desks and two gateways. The first engine is the one
/// that gets into trouble.
fn start_site(folder: &Path, plan: TroublePlan, stream: StreamShape) -> io::Result<Site> {
    let record = Record::create(&folder.join("record.txt"))?;
    let plan = Arc::new(plan);
    let sound_runs: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let store = Store::start(&loopback_ip(1))?;
    let servers = [
        ("m1", "llm-pool", "hn-a"),
        ("m2", "llm-pool", "hn-b"),
        ("m3", "llm-pool", "hn-a"),
        ("d1", "print-desk", "hn-a"),
        ("d2", "print-desk", "hn-b"),
    ];
    for (index, (name, service, zone)) in servers.into_iter().enumerate() {
        let (record, plan, sound_runs) = (record.clone(), plan.clone(), sound_runs.clone());
        let handler: Arc<Handler> = Arc::new(move |request: &Received, socket: &mut TcpStream| {
            let id = request.header("request-id").to_owned();
            record.line(&format!("server {name} runs {id}"));
            if name == "m1" && plan.takes() {
                record.line(&format!("server {name} answers {id} with a body without end"));
                return spoil(plan.kind, name, &id, socket).inspect_err(|error| {
                    record.line(&format!("server {name} ends {id}: {error}"));
                });
            }
            if name != "m1" {
                sound_runs.lock().unwrap().insert(id.clone(), record.now());
            }
            let seal = format!("seal-{name}");
            let headers = [("Request-Id", &*id), ("Server-Seal", &*seal)];
            if service == "llm-pool" {
                return write_stream(&headers, stream, socket);
            }
            thread::sleep(Duration::from_millis(15));
            net::respond(socket, 200, &headers, &[b'x'; 800])
        });
        let address = net::serve(&loopback_ip(10 + index as u8), handler)?;
        let slots = if service == "llm-pool" { 64 } else { 6 };
        store.put(&format!("servers/{name}"), &server_entry(service, address, zone, slots));
    }
    store.put("op/config", &config(3));
    let addresses = [
        GatewayAddresses::reserve(&loopback_ip(20))?,
        GatewayAddresses::reserve(&loopback_ip(21))?,
    ];
    let mut gateways = Vec::new();
    for (index, zone) in ["hn-a", "hn-b"].into_iter().enumerate() {
        let own = addresses[index];
        let gateway = Gateway::start(index + 1, zone, own, store.address, &addresses)?;
        gateways.push(Arc::new(gateway));
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    record.line("all gateways are ready");
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    Ok(Site { gateways, record, plan, sound_runs, _store: store })
}

/// Shape of the sound streams.
#[derive(Clone, Copy)]
struct StreamShape {
    /// Time until the head and the first event.
    first: Duration,
    events: u32,
    gap: Duration,
}

fn write_stream(
    headers: &[(&str, &str)],
    shape: StreamShape,
    socket: &mut TcpStream,
) -> io::Result<bool> {
    thread::sleep(shape.first);
    let event_stream = [("Content-Type", "text/event-stream")];
    net::respond_chunked(socket, 200, &[headers, &event_stream].concat())?;
    for event in 1..=shape.events {
        net::write_chunk(socket, format!("id: {event}\ndata: piece {event}\n\n").as_bytes())?;
        thread::sleep(shape.gap);
    }
    net::write_chunk(socket, b"")?;
    Ok(true)
}

/// Writes bytes that are no answer until the caller closes.
fn spoil(kind: Trouble, name: &str, id: &str, socket: &mut TcpStream) -> io::Result<bool> {
    let seal = format!("seal-{name}");
    let headers = [("Request-Id", id), ("Server-Seal", &*seal)];
    match kind {
        Trouble::Newlines => {
            let event_stream = [("Content-Type", "text/event-stream")];
            net::respond_chunked(socket, 200, &[&headers[..], &event_stream].concat())?;
            let block = vec![b'\n'; 1 << 20];
            loop {
                net::write_chunk(socket, &block)?;
            }
        }
        Trouble::InterimHeads => {
            let block = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(4 << 10);
            loop {
                socket.write_all(&block)?;
            }
        }
        Trouble::SmallChunks => {
            net::respond_chunked(socket, 500, &headers)?;
            let block = b"0000000000000001\r\n?\r\n".repeat(4 << 10);
            loop {
                socket.write_all(&block)?;
            }
        }
    }
}

/// How a request ended for its client.
struct Outcome {
    gateway: usize,
    sent_ms: u64,
    /// Time until the final answer or the end of the connection; none if the client left first.
    took_ms: Option<u64>,
}

/// A client that sends one short request after the other on a kept connection, with four times as
/// many lookups as orders. It waits for `deadline_ms` for each.
fn run_short_client(
    site: &Site,
    gateway: usize,
    number: usize,
    until: Instant,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    const DEADLINE_MS: u64 = 2_000;
    let Site { gateways, record, .. } = site;
    let limit = Duration::from_millis(DEADLINE_MS);
    let mut kept: Option<Connection> = None;
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = format!("s{gateway}-{number}-{count}");
        let is_order = count % 5 == 0;
        let (method, path) =
            if is_order { ("POST", "/print-order/1") } else { ("GET", "/stock-check/1") };
        let head = request_head(method, path, &id, DEADLINE_MS, "");
        let body: &[u8] = if is_order { b"order" } else { b"" };
        let sent_ms = record.now();
        record.line(&format!("client sends {id} to {}", gateways[gateway].name));
        let address = gateways[gateway].addresses.callers;
        let opened = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(address, Duration::from_secs(1)),
        };
        let answer = opened.and_then(|mut connection| {
            let answer = connection.call(&head, body, limit)?;
            Ok((connection, answer))
        });
        let took_ms = record.now() - sent_ms;
        let is_over = match answer {
            Ok((connection, answer)) => {
                record.line(&format!("client gets {id}: {} after {took_ms} ms", answer.status));
                let closes = answer.header("connection").is_some_and(|it| it == "close");
                kept = Some(connection).filter(|_| !closes);
                true
            }
            Err(error) => {
                record.line(&format!("client gets no answer to {id} in {took_ms} ms: {error}"));
                !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
            }
        };
        let took_ms = is_over.then_some(took_ms);
        outcomes.lock().unwrap().push(Outcome { gateway, sent_ms, took_ms });
        thread::sleep(Duration::from_millis(200));
    }
}

/// Sends streams with different prompts to one gateway, each on a new connection.
fn run_stream_client(site: &Site, gateway: usize, until: Instant) {
    thread::scope(|scope| {
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            let id = format!("t{gateway}-{count}");
            scope.spawn(move || {
                let prompt = prompt_headers(&format!("{gateway}{count:x}"));
                send_stream(site, gateway, &id, &prompt, None)
            });
            thread::sleep(Duration::from_millis(125));
        }
    });
}

/// Headers of a prompt with parts of its own.
fn prompt_headers(part: &str) -> String {
    format!(
        "Model: m\r\nToken-Counts: 830,60\r\n\
         Prompt-Prefix: a{part}:119,b{part}:580,c{part}:131\r\n"
    )
}

/// How a stream ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    /// The connection ended without a byte of an answer.
    Unanswered,
    /// The answer broke off.
    Cut,
    /// The client left at its deadline.
    Left,
}

/// Sends one stream on a kept connection or a new one.
fn send_stream(
    site: &Site,
    gateway: usize,
    id: &str,
    prompt: &str,
    kept: Option<Connection>,
) -> StreamEnd {
    const DEADLINE: Duration = Duration::from_millis(10_000);
    let Site { gateways, record, .. } = site;
    let opened = match kept {
        Some(connection) => Ok(connection),
        None => Connection::open(gateways[gateway].addresses.callers, Duration::from_secs(1)),
    };
    let Ok(mut connection) = opened else {
        return StreamEnd::Unanswered;
    };
    let head = request_head("POST", "/lesson-qa/1", id, DEADLINE.as_millis() as u64, prompt);
    record.line(&format!("client sends {id} to {}", gateways[gateway].name));
    match connection.call(&head, &[b'q'; 830], DEADLINE) {
        Ok(answer) => {
            let bytes = answer.body.len();
            record.line(&format!("client gets {id}: {}, {bytes} bytes, complete", answer.status));
            StreamEnd::Complete
        }
        Err(error) => {
            record.line(&format!(
                "client gets no complete answer to {id} (head: {}): {error}",
                connection.has_head
            ));
            match (error.kind(), connection.has_head) {
                (io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut, _) => StreamEnd::Left,
                (_, false) => StreamEnd::Unanswered,
                (_, true) => StreamEnd::Cut,
            }
        }
    }
}

/// One answer of one engine is newlines without end. Rule: CONFIG, requests that are unanswered at
/// the timeout of their route.
pub fn newlines(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    run_short_requests(folder, has_trouble, Trouble::Newlines, 1)
}

/// The answers of one engine are interim heads without end, for ten seconds. Rule: CONFIG, as for
/// [`newlines`].
pub fn interim_heads(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    run_short_requests(folder, has_trouble, Trouble::InterimHeads, u64::MAX)
}

/// Sends short requests and streams while one engine spoils up to `spoiled` answers; checks when
/// the short requests are answered.
fn run_short_requests(
    folder: &Path,
    has_trouble: bool,
    kind: Trouble,
    spoiled: u64,
) -> io::Result<bool> {
    const ROUTE_TIMEOUT_MS: u64 = 600;
    let plan = TroublePlan { kind, is_on: AtomicBool::new(false), left: AtomicU64::new(spoiled) };
    let shape = StreamShape {
        first: Duration::from_millis(80),
        events: 20,
        gap: Duration::from_millis(20),
    };
    let site = start_site(folder, plan, shape)?;
    let outcomes = Mutex::new(Vec::new());
    let until = Instant::now() + Duration::from_secs(30);
    let missed = AtomicU64::new(0);
    thread::scope(|scope| {
        for gateway in 0..2 {
            let (site, outcomes) = (&site, &outcomes);
            for number in 0..6 {
                scope.spawn(move || run_short_client(site, gateway, number, until, outcomes));
            }
            scope.spawn(move || run_stream_client(site, gateway, until));
            let missed = &missed;
            scope.spawn(move || {
                while Instant::now() < until {
                    if !site.gateways[gateway].is_ready() {
                        missed.fetch_add(1, Ordering::SeqCst);
                        site.record.line(&format!("{} is not ready", site.gateways[gateway].name));
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        site.plan.is_on.store(has_trouble, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(10));
        site.plan.is_on.store(false, Ordering::SeqCst);
    });
    let mut held = true;
    for (index, gateway) in site.gateways.iter().enumerate() {
        let outcomes = outcomes.lock().unwrap();
        let own: Vec<&Outcome> = outcomes.iter().filter(|it| it.gateway == index).collect();
        let is_later = |it: &&&Outcome, ms: u64| it.took_ms.is_none_or(|took| took > ms);
        let unanswered = own.iter().filter(|it| is_later(it, ROUTE_TIMEOUT_MS)).count();
        let late = own.iter().filter(|it| is_later(it, ROUTE_TIMEOUT_MS + TIMEOUT_SLACK_MS));
        let (first, last) = late
            .clone()
            .fold((u64::MAX, 0), |(first, last), it| (first.min(it.sent_ms), last.max(it.sent_ms)));
        let late = late.count();
        let is_broken = late >= 8 && late * 2 > unanswered;
        held &= !is_broken;
        site.record.tell(&format!(
            "{}: {} short requests, {unanswered} unanswered after {ROUTE_TIMEOUT_MS} ms, {late} of \
             them also {TIMEOUT_SLACK_MS} ms later{}",
            gateway.name,
            own.len(),
            if late > 0 { format!(", sent from {first} to {last} ms") } else { String::new() }
        ));
    }
    site.record.tell(&format!("readiness checks without 200: {}", missed.into_inner()));
    site.record.tell(if held { "the rule held" } else { "rule CONFIG is broken" });
    Ok(held)
}

/// Failures of one engine have a body of small chunks without end. Rule: LOST, requests from kept
/// connections that were passed on to sound engines.
pub fn chunks(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let plan = TroublePlan {
        kind: Trouble::SmallChunks,
        is_on: AtomicBool::new(false),
        left: AtomicU64::new(u64::MAX),
    };
    let shape = StreamShape {
        first: Duration::from_millis(1_500),
        events: 15,
        gap: Duration::from_millis(100),
    };
    let site = start_site(folder, plan, shape)?;
    let until = Instant::now() + Duration::from_secs(25);
    let killed_ms = AtomicU64::new(0);
    let most_kib = AtomicU64::new(0);
    let ends: Mutex<Vec<(String, StreamEnd)>> = Mutex::default();
    thread::scope(|scope| {
        scope.spawn(|| {
            // The platform: it kills a process that exceeds the memory of its machine.
            while Instant::now() < until && killed_ms.load(Ordering::SeqCst) == 0 {
                let kib = site.gateways[0].resident_kib();
                most_kib.fetch_max(kib, Ordering::SeqCst);
                if kib > MEMORY_KIB {
                    site.gateways[0].end();
                    killed_ms.store(site.record.now(), Ordering::SeqCst);
                    site.record.tell(&format!("{kib} KiB: the platform kills the process"));
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        for number in 0..36 {
            let (site, ends, killed_ms) = (&site, &ends, &killed_ms);
            scope.spawn(move || {
                // The clients don't send in step.
                thread::sleep(Duration::from_millis(87) * number);
                let mut count = 0;
                while Instant::now() < until && killed_ms.load(Ordering::SeqCst) == 0 {
                    count += 1;
                    let id = format!("k{number}-{count}");
                    let part = format!("{number:x}{count:x}");
                    if let Some(end) = run_kept_stream(site, &part, &id) {
                        ends.lock().unwrap().push((id, end));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        site.plan.is_on.store(has_trouble, Ordering::SeqCst);
    });
    let sound_runs = site.sound_runs.lock().unwrap();
    let ends = ends.into_inner().unwrap();
    let count = |end: StreamEnd| {
        ends.iter().filter(|(id, it)| *it == end && sound_runs.contains_key(id)).count()
    };
    let unanswered = count(StreamEnd::Unanswered);
    let held = unanswered <= 3;
    site.record.tell(&format!(
        "highest memory: {} KiB of {MEMORY_KIB}; of the requests from kept connections that ran at \
         sound engines, {} were answered, {unanswered} lost their connection without an answer, \
         and {} within it",
        most_kib.into_inner(),
        count(StreamEnd::Complete),
        count(StreamEnd::Cut)
    ));
    site.record.tell(if held { "the rule held" } else { "rule LOST is broken" });
    Ok(held)
}

/// Sends a lookup, and then a stream on the same connection; none if the lookup failed.
fn run_kept_stream(site: &Site, part: &str, id: &str) -> Option<StreamEnd> {
    let address = site.gateways[0].addresses.callers;
    let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
    let head = request_head("GET", "/stock-check/1", &format!("{id}-first"), 600, "");
    connection.call(&head, b"", Duration::from_millis(600)).ok()?;
    Some(send_stream(site, 0, id, &prompt_headers(part), Some(connection)))
}
