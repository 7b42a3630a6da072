//! A large configuration changes in quick succession. The changes of one watch exceed what the
//! gateway reads from the store, and it asks for the same changes again and again.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::world::{
    Answer, Client, Gateway, GatewaySettings, Random, Record, Server, Store, free_port,
};

const SERVICES: [&str; 2] = ["wuno96b", "huvo11a"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const DEADLINE: Duration = Duration::from_millis(1_500);

/// `config_ms` and `stable_window_ms` of the site.
const CONFIG_TIME: Duration = Duration::from_millis(3_000);

/// Routes that requests don't use: 240 idle ones, and those of two `big_config`, one of the largest size.
const IDLE_ROUTES: usize = 240 + 1_480 + 600;

/// `config_storm` with `gap_s = 0.06` and `for_s = 1.5`.
const STORM_GAP: Duration = Duration::from_millis(60);
const STORM_VERSIONS: u64 = 25;

/// Time for which requests are judged after the last version has to be in force.
const JUDGED_TIME: Duration = Duration::from_secs(10);

/// A configuration. In the last step the route `/lohu930/` goes to the other service,
/// there is a new route, and a key is gone.
fn config(version: u64, step: u64) -> String {
    let is_last = step == STORM_VERSIONS;
    let mut routes = Vec::new();
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"public\":false}}"
        )
    };
    routes.push(route("r-6y7z5k6", "/lohu930/", SERVICES[usize::from(is_last)]));
    routes.push(route("r-hvz3pfi", "/puxa403/", SERVICES[0]));
    if is_last {
        routes.push(route("r-new0001", "/cufi504/", SERVICES[0]));
    }
    for index in 0..IDLE_ROUTES {
        // Time-outs of some routes change with each version.
        let timeout = 10_000 + 1_000 * ((index as u64 + step) % 3);
        routes.push(format!(
            "{{\"name\":\"r-{index:07x}\",\"host\":\"ledu{:02}.example\",\"prefix\":\"/pufi{index}/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout},\"target_latency_ms\":600,\"priority\":0,\"backends\":[{{\"service\":\"{}\",\"weight\":90}},{{\"service\":\"{}\",\"weight\":10}}],\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}}",
            index % 40,
            SERVICES[0],
            SERVICES[1]
        ));
    }
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    let revoked = if is_last { String::new() } else { format!(",\"{REVOKED_KEY}\"") };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"{revoked}],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// One request of a client after the last version was acknowledged.
struct Probe {
    sent: Instant,
    what: &'static str,
    id: String,
    gateway: usize,
    answer: Answer,
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
    let first = config(7, 0);
    record.say(&format!("a configuration has {} bytes; a value may have 1048576", first.len()));
    store.put("op/config", &first);
    for (index, server) in servers.iter().enumerate() {
        let zone = ["qc-est-a", "qc-est-b"][index % 2];
        store.put(&server.key(), &server.entry(zone, "ready"));
    }
    let zones = ["qc-est-a", "qc-est-a", "qc-est-b", "qc-est-b"];
    let peers: Vec<_> =
        zones.iter().map(|_| std::net::SocketAddr::from(([127, 0, 0, 1], free_port()))).collect();
    let mut gateways = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let settings = GatewaySettings {
            host: format!("front-{zone}-{index}"),
            zone: (*zone).to_owned(),
            store: store.address,
            seeds: peers[..3].to_vec(),
            peers: peers[index],
            config_ms: CONFIG_TIME.as_millis() as u64,
            retry_slack: 208,
            memory_mb: 393,
            descriptors: 10_064,
        };
        gateways.push(Gateway::start(&settings).map_err(|error| error.to_string())?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err("a gateway did not become ready".to_owned());
        }
    }
    // Longer than `stable_window_ms`: all hosts are in touch.
    thread::sleep(Duration::from_secs(6));

    // The versions are ready before the first one is written, so that the gaps are kept.
    let steps: Vec<u64> =
        if has_trouble { (1..=STORM_VERSIONS).collect() } else { vec![STORM_VERSIONS] };
    let values: Vec<String> = steps.iter().map(|step| config(7 + 2 * step, *step)).collect();
    let mut next = Instant::now();
    for value in &values {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += STORM_GAP;
        let revision = store.put("op/config", value);
        record.line(&format!("operator: revision {revision} acknowledged"));
    }
    let acknowledged = Instant::now();
    record.say(&format!("the last of {} versions is acknowledged", values.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        let (address, stop, probes) = (gateway.listen, stop.clone(), probes.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut random = Random::new(77 + index as u64);
            let mut client = Client::new(address);
            while !stop.load(Ordering::Relaxed) {
                let kinds = [
                    ("moved route", "/lohu930/2f", KEY),
                    ("kept route", "/puxa403/2f", KEY),
                    ("new route", "/cufi504/2f", KEY),
                    ("revoked key", "/puxa403/2f", REVOKED_KEY),
                ];
                for (what, path, key) in kinds {
                    let id = format!("{:016x}", random.next());
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {key}\r\n\r\n",
                        DEADLINE.as_millis()
                    );
                    let sent = Instant::now();
                    let (answer, _) =
                        client.send(request.as_bytes(), DEADLINE + Duration::from_secs(1));
                    record.line(&format!("client of gateway {index}: {what} {id} -> {answer:?}"));
                    probes.lock().unwrap().push(Probe { sent, what, id, gateway: index, answer });
                }
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(CONFIG_TIME + JUDGED_TIME);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!(
        "largest answer to a watch: {} bytes; {} answers with 410",
        store.largest_watch.load(Ordering::Relaxed),
        store.gone_answers.load(Ordering::Relaxed)
    ));
    let ran_at = |id: &str| {
        let server =
            servers.iter().find(|it| it.runs.lock().unwrap().iter().any(|(run, _)| run == id));
        server.map(|it| it.service.clone())
    };
    let mut broken = 0;
    for gateway in 0..gateways.len() {
        let mut counts = [0_u32; 4];
        let mut judged = 0;
        let mut last = Duration::ZERO;
        for probe in probes.lock().unwrap().iter().filter(|it| it.gateway == gateway) {
            let age = probe.sent.saturating_duration_since(acknowledged);
            if age <= CONFIG_TIME {
                continue;
            }
            judged += 1;
            let service = ran_at(&probe.id);
            let is_old = match probe.what {
                "moved route" => service.as_deref() == Some(SERVICES[0]),
                "new route" => probe.answer == Answer::Status(404),
                "revoked key" => service.is_some(),
                _ => false,
            };
            if is_old {
                let kind = ["moved route", "kept route", "new route", "revoked key"];
                counts[kind.iter().position(|it| *it == probe.what).unwrap()] += 1;
                last = age;
            }
        }
        let old: u32 = counts.iter().sum();
        broken += old;
        record.say(&format!(
            "gateway {gateway}: of {judged} requests sent over {} ms after the acknowledgement, {} were run by the old service, {} got 404 on a route that is there, {} ran with a key that is gone; the last after {} ms",
            CONFIG_TIME.as_millis(),
            counts[0],
            counts[2],
            counts[3],
            last.as_millis()
        ));
    }
    Ok(broken > 0)
}
