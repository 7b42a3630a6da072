//! Another writer leaves an entry under the name of a server, without the time of its start and with
//! another service. Requests of that service run at the server.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::world::{
    Answer, Client, Gateway, GatewaySettings, Random, Record, Server, Store, free_port,
};

const SERVICES: [&str; 2] = ["wuno96b", "huvo11a"];
const PREFIXES: [&str; 2] = ["/puxa403/", "/cufi504/"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// `heartbeat_ms` of the site: servers write their entries about as often.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn config() -> String {
    let routes: Vec<String> = (0..2)
        .map(|index| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"unsafe\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{}\",\"attempts\":2,\"public\":false}}",
                PREFIXES[index], SERVICES[index]
            )
        })
        .collect();
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// The entry of a server with the other service, and without the time of its start.
fn foreign_entry(server: &Server, zone: &str) -> String {
    let entry = server.entry(zone, "ready").replace(SERVICES[1], SERVICES[0]);
    let born = entry.rfind(",\"born\"").unwrap_or(entry.len() - 1);
    format!("{}}}", &entry[..born])
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start(record.clone(), Duration::from_secs(20));
    let servers: Vec<Arc<Server>> = (0..4)
        .map(|index| {
            let id = format!("i-7f3a91c{index}");
            let work = Duration::from_millis(15);
            Server::start(record.clone(), &id, SERVICES[index / 2], 6, 24, work)
        })
        .collect();
    store.put("op/config", &config());
    let zones = ["qc-est-a", "qc-est-b"];
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let is_due = Arc::new(AtomicBool::new(false));
    for (index, server) in servers.iter().enumerate() {
        let (store, server, stop) = (store.clone(), server.clone(), stop.clone());
        let (is_due, record) = (is_due.clone(), record.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                store.put(&server.key(), &server.entry(zones[index % 2], "ready"));
                thread::sleep(HEARTBEAT / 6);
                // The other writer comes once, soon after a heartbeat of the server.
                if index == 2 && is_due.swap(false, Ordering::Relaxed) {
                    let entry = foreign_entry(&server, zones[index % 2]);
                    record.say(&format!("another writer leaves under {}: {entry}", server.key()));
                    store.put(&server.key(), &entry);
                }
                thread::sleep(HEARTBEAT * 5 / 6);
            }
        }));
    }
    let peers: Vec<_> =
        (0..2).map(|_| std::net::SocketAddr::from(([127, 0, 0, 1], free_port()))).collect();
    let mut gateways = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let settings = GatewaySettings {
            host: format!("front-{zone}-1"),
            zone: (*zone).to_owned(),
            store: store.address,
            seeds: peers.clone(),
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
    thread::sleep(Duration::from_secs(4));
    // Requests of the first service only; the other one has none.
    let sent: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..6_u64 {
        let address = gateways[number as usize % 2].listen;
        let (stop, sent, record) = (stop.clone(), sent.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut random = Random::new(50 + number);
            let mut client = Client::new(address);
            while !stop.load(Ordering::Relaxed) {
                let id = format!("{:016x}", random.next());
                sent.lock().unwrap().insert(id.clone());
                let request = format!(
                    "POST {}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 600\r\nAuthorization: Token {KEY}\r\nContent-Length: 5\r\n\r\norder",
                    PREFIXES[0]
                );
                let (answer, _) = client.send(request.as_bytes(), Duration::from_secs(2));
                if answer != Answer::Status(200) {
                    record.line(&format!("client {number}: {id} -> {answer:?}"));
                }
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    is_due.store(has_trouble, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap();
    let mut foreign = 0;
    for server in &servers {
        let runs = server.runs.lock().unwrap();
        record.say(&format!("{} of {}: {} runs", server.id, server.service, runs.len()));
        if server.service != SERVICES[0] {
            foreign += runs.iter().filter(|(id, _)| sent.contains(id)).count();
        }
    }
    record.say(&format!(
        "of {} requests of {}, {foreign} were run by {}",
        sent.len(),
        SERVICES[0],
        SERVICES[1]
    ));
    Ok(foreign > 0)
}
