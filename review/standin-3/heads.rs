//! Case 13: many requests with long heads at once, all within the limits, take a process over the
//! memory of its machine.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    engine::{Engine, EngineSettings, Runs},
    fleet::{Fleet, Limits, address_prefix},
    http::call,
    record::Record,
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const KEY: &str = "keptkeykeptkeykeptke";

/// Memory of a machine; a process that exceeds it is killed, as the platform does.
const MEMORY_MB: u64 = 260;

/// Largest head that the configuration allows, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;

/// Requests of a crowd, which come at once.
const CROWD: usize = 2_400;

/// Crowds for each machine. The rule is broken if processes end three times on two machines.
const ROUNDS: usize = 3;

/// Time for which a crowd waits for its answers.
const ROUND_TIME: Duration = Duration::from_secs(6);

/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-chat\",\"host\":\"shop.example\",\
         \"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":12000,\
         \"target_latency_ms\":600,\"priority\":0,\"service\":\"llm\",\"attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":{MAX_HEAD_BYTES},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"editors\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Returns a request whose prompt has as many parts as the limit of a head allows, or three.
fn request(id: &str, is_long: bool) -> Vec<u8> {
    let head = |parts: &[String]| {
        format!(
            "POST /chat/new HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Token-Counts: {},80\r\nPrompt-Prefix: {}\r\nDeadline-Ms: 12000\r\n\
             Authorization: Token {KEY}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n",
            parts.len(),
            parts.join(",")
        )
    };
    let part = |number: usize| format!("{number:x}:1");
    let mut parts: Vec<String> = (1..=3).map(part).collect();
    if is_long {
        // The number of parts takes up to four digits, one of which is there already.
        let mut left = MAX_HEAD_BYTES - head(&parts).len() - 3;
        let mut next = part(parts.len() + 1);
        while next.len() < left {
            left -= next.len() + 1;
            parts.push(next);
            next = part(parts.len() + 1);
        }
    }
    let text = head(&parts);
    assert!(text.len() <= MAX_HEAD_BYTES, "the head is within the limit");
    [text.as_bytes(), b"hi"].concat()
}

/// Sends the requests of a crowd at once, and returns the open connections.
fn send_crowd(front: SocketAddr, round: usize, is_long: bool) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..CROWD {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        if stream.write_all(&request(&format!("{round:04x}{number:012x}"), is_long)).is_ok() {
            streams.push(stream);
        }
    }
    streams
}

/// Counts the answers of a crowd by status; 0 counts connections without one.
fn count_answers(streams: Vec<TcpStream>) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for mut stream in streams {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let mut start = [0; 12];
        let is_read = stream.read_exact(&mut start).is_ok();
        let status = std::str::from_utf8(&start[9..]).ok().and_then(|it| it.parse().ok());
        *counts.entry(status.filter(|_| is_read).unwrap_or(0)).or_default() += 1;
    }
    counts
}

/// Ends what exceeds its memory and starts it again, until told to stop. Returns the ends of each
/// machine.
fn watch_memory(record: &Record, fleet: &Mutex<Fleet>, stop: &AtomicBool) -> Vec<usize> {
    let (mut ends, mut peaks) = (vec![0; ZONES.len()], vec![0; ZONES.len()]);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(10));
        for index in 0..ZONES.len() {
            let mut fleet = lock(fleet);
            let gateway = &fleet.gateways[index];
            let node = gateway.node.clone();
            let resident = gateway.memory_kb().unwrap_or(0);
            if resident > peaks[index] + 16_384 {
                peaks[index] = resident;
                record.line(&format!("{node} takes {} MiB", resident >> 10));
            }
            if resident <= MEMORY_MB << 10 {
                continue;
            }
            ends[index] += 1;
            peaks[index] = 0;
            record.line(&format!(
                "{node} takes {} MiB of {MEMORY_MB} and is killed, end {}",
                resident >> 10,
                ends[index]
            ));
            fleet.kill(index);
            thread::sleep(RESTART_DELAY);
            if let Err(error) = fleet.restart(index) {
                record.line(&format!("{node} does not start again: {error}"));
            }
        }
    }
    ends
}

/// Sends an ordinary request every 200 ms until told to stop, and counts the answers by status; 0
/// counts requests without one.
fn send_ordinary(front: SocketAddr, stop: &AtomicBool) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("ffff{number:012x}");
        let answer = call(front, &request(&id, false), Duration::from_secs(12));
        *counts.entry(answer.map_or(0, |it| it.status())).or_default() += 1;
        thread::sleep(Duration::from_millis(200));
    }
    counts
}

fn lock(fleet: &Mutex<Fleet>) -> MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let prefix = address_prefix();
    let store = Store::start(&format!("{prefix}.0.1"))?;
    let runs: Runs = Arc::default();
    for index in 0..9 {
        let settings = EngineSettings {
            name: format!("i-{index:08x}"),
            version: b"v1".to_vec(),
            service: "llm".to_owned(),
            zone: ZONES[index % 2].to_owned(),
            ip: format!("{prefix}.1.{}", index + 1),
            slots: 64,
            queue: 192,
            work: Duration::from_millis(300),
            events: Some((20, Duration::from_millis(200))),
            tells_load: false,
        };
        Engine::start(settings, &store, &runs)?;
    }
    store.put("op/config", config());
    let limits = Limits { memory_mb: MEMORY_MB, descriptors: 4_100, link_mbps: 1_000 };
    let fleet = Fleet::start(&format!("{prefix}.2"), &ZONES, store.address, &limits)?;
    if !fleet.wait_ready() {
        return Err("not all gateways are ready".into());
    }
    record.line("all gateways are ready");
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|it| it.front).collect();
    let (fleet, stop) = (Mutex::new(fleet), AtomicBool::new(false));
    let (ends, ordinary) = thread::scope(|scope| {
        let watch = scope.spawn(|| watch_memory(record, &fleet, &stop));
        let ordinary: Vec<_> =
            fronts.iter().map(|it| scope.spawn(|| send_ordinary(*it, &stop))).collect();
        thread::sleep(Duration::from_secs(2));
        for round in 0..ROUNDS {
            for (index, front) in fronts.iter().enumerate() {
                let node = lock(&fleet).gateways[index].node.clone();
                let sent = send_crowd(*front, round * ZONES.len() + index, has_trouble);
                record.line(&format!("round {round}: {} requests sent to {node}", sent.len()));
                thread::sleep(ROUND_TIME);
                record.line(&format!("answers by status: {:?}", count_answers(sent)));
            }
        }
        stop.store(true, Ordering::Relaxed);
        let ordinary = ordinary.into_iter().map(|it| it.join().unwrap_or_default());
        let ordinary: Vec<_> = ordinary.collect();
        (watch.join().unwrap_or_default(), ordinary)
    });
    for (index, counts) in ordinary.iter().enumerate() {
        record.line(&format!("ordinary requests to machine {index} by status: {counts:?}"));
    }
    let ended = ends.iter().filter(|it| **it >= 3).count();
    record.line(&format!("ends of each machine: {ends:?}"));
    Ok(if ended >= 2 { Verdict::Broken } else { Verdict::Held })
}
