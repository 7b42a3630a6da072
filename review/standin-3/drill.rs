//! Case 11: in a drill the store comes back from a copy some seconds old. A key that the operator
//! removes soon after is still accepted.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{Engine, EngineSettings, Run, Runs, runs_by_id},
    fleet::{Fleet, Limits, address_prefix},
    http::call,
    record::Record,
    store::Store,
};

/// Age of the copy when the store goes away, and for how long it is away.
const COPY_AGE: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_millis(1_500);

/// Time after the return at which the operator publishes the next version.
const CHANGE_AFTER: Duration = Duration::from_millis(500);

/// Bounds of the deployment: `config_ms`, `outer_ms`, `stable_window_ms` and `evacuation_ms`.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
const OUTER_BOUND: Duration = Duration::from_secs(5);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time for which requests are judged.
const JUDGED_TIME: Duration = Duration::from_secs(15);

const ZONES: [&str; 4] = ["zone-a", "zone-a", "zone-b", "zone-b"];
pub const KEPT_KEY: &str = "keptkeykeptkeykeptke";
pub const REMOVED_KEY: &str = "gonekeygonekeygoneke";

/// Returns a configuration with one unsafe route, and one tenant with these keys.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"shop.example\",\
         \"prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout_ms\":600,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"orders\",\"attempts\":2,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"editors\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

/// A request that was sent, and the status of its answer; 0 without one.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub key: &'static str,
    pub node: String,
    pub at: Instant,
    pub status: u16,
}

/// Returns an order.
pub fn order_request(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 600\r\nAuthorization: Token {key}\r\nContent-Length: 5\r\n\
         Connection: close\r\n\r\norder"
    )
    .into_bytes()
}

fn send_orders(
    front: SocketAddr,
    node: &str,
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    label: usize,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        for key in [KEPT_KEY, REMOVED_KEY] {
            number += 1;
            let id = format!("{label:02x}{number:014x}");
            let at = Instant::now();
            let answer = call(front, &order_request(&id, key), Duration::from_secs(2));
            let status = answer.map_or(0, |it| it.status());
            let entry = Sent { id, key, node: node.to_owned(), at, status };
            sent.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let prefix = address_prefix();
    let store = Store::start(&format!("{prefix}.0.1"))?;
    let runs: Runs = Arc::default();
    for (index, zone) in ZONES.iter().enumerate() {
        let settings = EngineSettings {
            name: format!("i-{index:08x}"),
            version: b"v1".to_vec(),
            service: "orders".to_owned(),
            zone: (*zone).to_owned(),
            ip: format!("{prefix}.1.{}", index + 1),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(15),
            events: None,
            tells_load: true,
        };
        Engine::start(settings, &store, &runs)?;
    }
    store.put("op/config", config(3, &[KEPT_KEY, REMOVED_KEY]));
    let limits = Limits { memory_mb: 260, descriptors: 4_100, link_mbps: 1_000 };
    let fleet = Fleet::start(&format!("{prefix}.2"), &ZONES, store.address, &limits)?;
    if !fleet.wait_ready() {
        return Err("not all gateways are ready".into());
    }
    record.line("all gateways are ready");
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = fleet
        .gateways
        .iter()
        .enumerate()
        .map(|(label, gateway)| {
            let (front, node) = (gateway.front, gateway.node.clone());
            let (stop, sent) = (stop.clone(), sent.clone());
            thread::spawn(move || send_orders(front, &node, &stop, &sent, label))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let copy = store.copy();
    record.line(&format!("copy of the store at revision {}", store.revision()));
    thread::sleep(COPY_AGE);
    let before = store.revision();
    if has_trouble {
        record.line(&format!("the store goes away at revision {before}"));
        store.go_away();
        thread::sleep(AWAY);
        store.come_back(copy);
        record.line(&format!("the store is back, era {}, at {}", store.era(), store.revision()));
    } else {
        thread::sleep(AWAY);
    }
    let returned = Instant::now();
    thread::sleep(CHANGE_AFTER);
    let revision = store.put("op/config", config(5, &[KEPT_KEY])).ok_or("the store is away")?;
    let changed = Instant::now();
    record.line(&format!("version 5 without the second key acknowledged at {revision}"));
    let revision = store.put("op/evacuate/zone-b", "{}").ok_or("the store is away")?;
    record.line(&format!("evacuation of zone-b acknowledged at {revision}"));
    // Every bound is over, although an unstable store stretches some of them.
    let judged =
        (changed + EVACUATION_BOUND.max(CONFIG_BOUND) + OUTER_BOUND).max(returned + STABLE_WINDOW);
    thread::sleep(judged.saturating_duration_since(Instant::now()) + JUDGED_TIME);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!(
        "the store is at revision {}; {} watches got 410",
        store.revision(),
        store.gone_answers()
    ));
    drop(fleet);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(judge(record, &sent, &runs_by_id(&runs), judged))
}

fn judge(
    record: &Record,
    sent: &[Sent],
    runs: &HashMap<String, Vec<Run>>,
    judged: Instant,
) -> Verdict {
    let (mut with_removed, mut evacuated, mut others, mut count) = (0, 0, 0, 0);
    let mut nodes = HashSet::new();
    for it in sent {
        let run = runs.get(&it.id).and_then(|it| it.first());
        let kind = if it.key == KEPT_KEY { "kept" } else { "removed" };
        let place =
            run.map_or("not run".to_owned(), |it| format!("run by {} in {}", it.engine, it.zone));
        record.line_at(
            it.at,
            &format!("{} to {} with the {kind} key: {}, {place}", it.id, it.node, it.status),
        );
        if it.at < judged {
            continue;
        }
        count += 1;
        if it.key == REMOVED_KEY && run.is_some() {
            with_removed += 1;
            nodes.insert(it.node.clone());
        }
        if it.key == KEPT_KEY && it.status != 200 {
            others += 1;
        }
        if run.is_some_and(|it| it.zone == "zone-b") {
            evacuated += 1;
        }
    }
    record.line(&format!(
        "judged {count} requests: {with_removed} run with the removed key at {} gateways, \
         {evacuated} run in the evacuated zone, {others} with the kept key without 200",
        nodes.len()
    ));
    if with_removed > 0 || evacuated > 0 { Verdict::Broken } else { Verdict::Held }
}
