//! Many clients send bodies of legal size at once; most stop just short of their end and stay open.
//! The process takes more memory than its machine has.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::world::{Answer, Client, Gateway, GatewaySettings, Record, Server, Store, free_port};

const SERVICE: &str = "huvo11a";
const HOST: &str = "ficu95.example";
const PREFIX: &str = "/lohu930/";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Memory and descriptors of the small machines of the site.
const MEMORY_MB: u64 = 160;
const DESCRIPTORS: u64 = 4_100;

/// Clients that nobody controls. In 100 of them 55 stop one byte before the end.
const FLOOD_CLIENTS: usize = 1_950;
const SHORT_PERCENT: usize = 55;
const FLOOD_BODY: usize = 40_000;

/// Headers of their requests; the head stays below `max_header_bytes`, 16,384.
const FLOOD_HEADERS: usize = 90;
const FLOOD_HEADER_BYTES: usize = 140;

/// Ordinary clients, each with one request at a time.
const ORDINARY_CLIENTS: usize = 4;

/// Two requests of each ordinary client.
const WARM_UP: Duration = Duration::from_secs(9);

const WATCHED_TIME: Duration = Duration::from_secs(12);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-hvz3pfi\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":850,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn head(id: &str, length: usize) -> String {
    format!(
        "POST {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 11812,400\r\nPrompt-Prefix: 5c1e07a2:10512,91bd3f06:1300\r\nDeadline-Ms: 12000\r\nAuthorization: Token {KEY}\r\nContent-Length: {length}\r\n"
    )
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start(record.clone(), Duration::from_secs(20));
    // Model engines: a stream takes seconds. 6 of the 60 of the site.
    let servers: Vec<Arc<Server>> = (0..6)
        .map(|index| {
            let id = format!("i-7f3a91c{index}");
            Server::start(record.clone(), &id, SERVICE, 64, 192, Duration::from_secs(4))
        })
        .collect();
    store.put("op/config", &config());
    for server in &servers {
        store.put(&server.key(), &server.entry("qc-est-a", "ready"));
    }
    let settings = GatewaySettings {
        host: "front-qc-est-a-1".to_owned(),
        zone: "qc-est-a".to_owned(),
        store: store.address,
        seeds: Vec::new(),
        peers: SocketAddr::from(([127, 0, 0, 1], free_port())),
        config_ms: 3_000,
        retry_slack: 216,
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
    let mut gateway = Gateway::start(&settings).map_err(|error| error.to_string())?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err("the gateway did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    record.say(&format!("before: {:?} MiB", gateway.memory_mib()));

    let stop = Arc::new(AtomicBool::new(false));
    let mut ordinary = Vec::new();
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    for number in 0..ORDINARY_CLIENTS {
        let (address, stop, answers) = (gateway.listen, stop.clone(), answers.clone());
        let record = record.clone();
        ordinary.push(thread::spawn(move || {
            let mut client = Client::new(address);
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("0rdinary{number:04}{count:04}");
                let request = format!("{}\r\n{}", head(&id, 12_000), "x".repeat(12_000));
                let (answer, _) = client.send(request.as_bytes(), Duration::from_secs(13));
                record.line(&format!("ordinary client {number}: {id} -> {answer:?}"));
                answers.lock().unwrap().push(answer);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    // The gateway has answered, and knows the loads, before the flood.
    thread::sleep(WARM_UP);
    let mut flood = Vec::new();
    if has_trouble {
        let padding: String = (0..FLOOD_HEADERS)
            .map(|index| format!("X-{index:02}: {}\r\n", "v".repeat(FLOOD_HEADER_BYTES)))
            .collect();
        let largest = head("f10000000000", FLOOD_BODY).len() + padding.len() + 2;
        record.say(&format!("heads of {largest} bytes, bodies of {FLOOD_BODY} bytes"));
        for index in 0..FLOOD_CLIENTS {
            let is_short = index * 37 % 100 < SHORT_PERCENT;
            let body = "x".repeat(FLOOD_BODY - usize::from(is_short));
            let id = format!("f{index:011}");
            let request = format!("{}{padding}\r\n{body}", head(&id, FLOOD_BODY));
            let sent = TcpStream::connect_timeout(&gateway.listen, Duration::from_secs(2))
                .and_then(|mut stream| {
                    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
                    stream.write_all(request.as_bytes())?;
                    Ok(stream)
                });
            match sent {
                Ok(stream) => flood.push((id, is_short, stream)),
                Err(error) => record.line(&format!("client of {id}: {error}")),
            }
        }
        let whole = flood.iter().filter(|it| !it.1).count();
        record.say(&format!("{} clients have sent, {whole} of them all of it", flood.len()));
    }
    // The platform: "A process that exceeds `memory_mb` is killed."
    let started = Instant::now();
    let mut peak = 0;
    let mut is_killed = false;
    while started.elapsed() < WATCHED_TIME {
        if gateway.has_exited() {
            record.say("the gateway has ended by itself");
            is_killed = true;
            break;
        }
        peak = gateway.memory_mib().map_or(peak, |it| it.1.max(peak));
        if peak > MEMORY_MB {
            record.say(&format!(
                "the gateway has taken {peak} MiB, over the {MEMORY_MB} MB of its machine: the platform kills it"
            ));
            gateway.kill();
            is_killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("largest memory of the gateway: {peak} MiB of {MEMORY_MB} MB"));
    stop.store(true, Ordering::Relaxed);
    for client in ordinary {
        let _ = client.join();
    }
    let mut ran_without_answer = 0;
    for (id, is_short, stream) in &mut flood {
        let ran = servers.iter().any(|it| it.runs.lock().unwrap().iter().any(|(run, _)| run == id));
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let mut bytes = [0; 12];
        let has_answer = matches!(stream.read(&mut bytes), Ok(read) if read > 0);
        if is_killed && ran && !*is_short && !has_answer {
            ran_without_answer += 1;
        }
    }
    let answers = answers.lock().unwrap();
    record.say(&format!("answers of ordinary clients: {answers:?}"));
    record.say(&format!(
        "whole requests that a server ran and nobody answered: {ran_without_answer}"
    ));
    Ok(is_killed)
}
