//! A server that is full refuses a request that must not run twice, and sends a second copy of that
//! refusal late. The same request comes again on the same connection.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::world::{
    Answer, Client, Gateway, GatewaySettings, Random, Record, Server, Store, free_port,
};

/// The service of the orders has one server; the other service has the other one.
const SERVICES: [&str; 2] = ["wuno96b", "huvo11a"];
const HOST: &str = "ficu95.example";
const PREFIX: &str = "/puxa403/";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const DEADLINE: Duration = Duration::from_millis(1_000);

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(100);

/// One disruption lasts 5 s, as on the site's sheet, and comes again.
const FAULT_LENGTH: Duration = Duration::from_secs(5);
const FAULT_GAP: Duration = Duration::from_secs(1);

/// 3 in 100 answers, at one of the two servers: a share of 0.5, where the sheet has 0.6.
const COPIES_PER_MILLE: u64 = 30;

/// Clients at each of the 7 gateways. The server runs 6 requests and queues 3.
const CLIENTS: [u64; 7] = [2; 7];

fn config() -> String {
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{}\",\"attempts\":2,\"public\":false}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        SERVICES[0],
        services.join(",")
    )
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start(record.clone(), Duration::from_secs(20));
    let servers: Vec<Arc<Server>> = (0..2)
        .map(|index| {
            let id = format!("i-7f3a91c{index}");
            let work = Duration::from_millis(150);
            Server::start(record.clone(), &id, SERVICES[index], 6, 3, work)
        })
        .collect();
    store.put("op/config", &config());
    for (index, server) in servers.iter().enumerate() {
        let zone = ["qc-est-a", "qc-est-b"][index];
        store.put(&server.key(), &server.entry(zone, "ready"));
    }
    let peers: Vec<_> = (0..CLIENTS.len())
        .map(|_| std::net::SocketAddr::from(([127, 0, 0, 1], free_port())))
        .collect();
    let mut gateways = Vec::new();
    for (index, letter) in ["a", "b", "a", "b", "c", "c", "d"].iter().enumerate() {
        let settings = GatewaySettings {
            host: format!("front-qc-est-{letter}-{index}"),
            zone: format!("qc-est-{letter}"),
            store: store.address,
            seeds: peers[..3].to_vec(),
            peers: peers[index],
            config_ms: 2_000,
            retry_slack: 54,
            memory_mb: 260,
            descriptors: 4_100,
        };
        gateways.push(Gateway::start(&settings).map_err(|error| error.to_string())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err("a gateway did not become ready".to_owned());
        }
    }
    // The hosts learn of each other before the traffic.
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<HashMap<String, Answer>>> = Arc::default();
    let mut clients = Vec::new();
    let places =
        CLIENTS.iter().enumerate().flat_map(|(index, count)| (0..*count).map(move |_| index));
    for (number, gateway) in (0_u64..).zip(places) {
        let address = gateways[gateway].listen;
        let (stop, sent, answers) = (stop.clone(), sent.clone(), answers.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut random = Random::new(1_000 + number);
            let mut client = Client::new(address);
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{:012x}{:04x}", random.next() >> 16, number);
                let body = format!("order {number} {count}");
                let request = format!(
                    "POST {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
                    DEADLINE.as_millis(),
                    body.len()
                );
                sent.fetch_add(1, Ordering::Relaxed);
                let (answer, _) = client.send(request.as_bytes(), DEADLINE + Duration::from_secs(1));
                record.line(&format!("client {number}: {id} -> {answer:?}"));
                answers.lock().unwrap().insert(id, answer);
                let pause = 80.0;
                thread::sleep(Duration::from_millis((pause * (0.5 + random.unit())) as u64));
            }
        }));
    }
    if let Some(server) = servers.first() {
        server.fault.late_copy_per_mille.store(COPIES_PER_MILLE, Ordering::Relaxed);
    }
    let started = Instant::now();
    let mut is_broken = false;
    while started.elapsed() < LENGTH && !is_broken {
        thread::sleep(Duration::from_millis(200));
        let phase = started.elapsed().as_millis() % (FAULT_LENGTH + FAULT_GAP).as_millis();
        let is_active = has_trouble && phase >= FAULT_GAP.as_millis();
        if let Some(server) = servers.first() {
            server.fault.active.store(is_active, Ordering::Relaxed);
        }
        is_broken = !repeated_runs(&servers).is_empty()
            || !refused_runs(&servers, &answers.lock().unwrap()).is_empty();
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(300));
    let twice = repeated_runs(&servers);
    let answers = answers.lock().unwrap();
    let refused = refused_runs(&servers, &answers);
    for server in &servers {
        record.say(&format!(
            "{}: {} runs, {} refusals, {} late copies",
            server.id,
            server.runs.lock().unwrap().len(),
            server.refusals.load(Ordering::Relaxed),
            server.fault.copies_sent.load(Ordering::Relaxed)
        ));
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    for answer in answers.values() {
        *counts.entry(format!("{answer:?}")).or_default() += 1;
    }
    record.say(&format!("{} requests sent, answers: {counts:?}", sent.load(Ordering::Relaxed)));
    for (id, count) in &twice {
        record.say(&format!("TWICE: {id} ran {count} times; its client got {:?}", answers.get(id)));
    }
    for id in &refused {
        record.say(&format!("REFUSED: {id} has run; its client got {:?}", answers.get(id)));
    }
    Ok(!twice.is_empty() || !refused.is_empty())
}

fn runs(servers: &[Arc<Server>]) -> HashMap<String, usize> {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for server in servers {
        for (id, _) in server.runs.lock().unwrap().iter() {
            *counts.entry(id.clone()).or_default() += 1;
        }
    }
    counts
}

fn repeated_runs(servers: &[Arc<Server>]) -> Vec<(String, usize)> {
    runs(servers).into_iter().filter(|(_, count)| *count > 1).collect()
}

/// Returns the requests that have run although their clients were told that they never will.
fn refused_runs(servers: &[Arc<Server>], answers: &HashMap<String, Answer>) -> Vec<String> {
    let ran = runs(servers);
    let is_promise = |answer: &Answer| matches!(answer, Answer::Status(408 | 421 | 429 | 503));
    answers
        .iter()
        .filter(|(id, answer)| is_promise(answer) && ran.contains_key(*id))
        .map(|(id, _)| id.clone())
        .collect()
}
