//! Case 12: another writer registers a server with an entry whose bytes are no valid text. The server
//! gets orders.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    drill::{KEPT_KEY, config, order_request},
    engine::{Engine, EngineSettings, Runs, runs_by_id},
    fleet::{Fleet, Limits, address_prefix},
    http::call,
    record::Record,
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Orders that are sent, and the clients that send them, in turn to each gateway.
const ORDERS: usize = 400;
const CLIENTS: usize = 8;

/// Time between two orders of a client.
const INTERVAL: Duration = Duration::from_millis(20);

/// Name of the server that another writer registers.
const FOREIGN: &str = "x-0badcafe";

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let prefix = address_prefix();
    let store = Store::start(&format!("{prefix}.0.1"))?;
    let runs: Runs = Arc::default();
    let settings = |name: &str, version: &[u8], index: usize| EngineSettings {
        name: name.to_owned(),
        version: version.to_vec(),
        service: "orders".to_owned(),
        zone: ZONES[index % 2].to_owned(),
        ip: format!("{prefix}.1.{}", index + 1),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(15),
        events: None,
        tells_load: true,
    };
    for index in 0..4 {
        Engine::start(settings(&format!("i-{index:08x}"), b"v1", index), &store, &runs)?;
    }
    store.put("op/config", config(3, &[KEPT_KEY]));
    let limits = Limits { memory_mb: 260, descriptors: 4_100, link_mbps: 1_000 };
    let fleet = Fleet::start(&format!("{prefix}.2"), &ZONES, store.address, &limits)?;
    if !fleet.wait_ready() {
        return Err("not all gateways are ready".into());
    }
    record.line("all gateways are ready");
    if has_trouble {
        // "préprod" in Latin-1.
        Engine::start(settings(FOREIGN, b"pr\xe9prod", 4), &store, &runs)?;
        record.line(&format!("another writer registers {FOREIGN}"));
    }
    thread::sleep(Duration::from_secs(3));
    let send = &|client: usize| {
        let gateway = &fleet.gateways[client % ZONES.len()];
        let mut sent = Vec::new();
        for number in 0..ORDERS / CLIENTS {
            let (id, at) = (format!("{client:04x}{number:012x}"), Instant::now());
            let answer = call(gateway.front, &order_request(&id, KEPT_KEY), Duration::from_secs(2));
            sent.push((id, gateway.node.clone(), at, answer.map_or(0, |it| it.status())));
            thread::sleep(INTERVAL);
        }
        sent
    };
    let mut sent: Vec<_> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|it| scope.spawn(move || send(it))).collect();
        clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
    });
    sent.sort_by_key(|it| it.2);
    drop(fleet);
    let runs = runs_by_id(&runs);
    let mut foreign = 0;
    for (id, node, at, status) in &sent {
        let run = runs.get(id).and_then(|it| it.first());
        let engine = run.map_or("no engine", |it| &it.engine);
        foreign += usize::from(engine == FOREIGN);
        record.line_at(*at, &format!("{id} to {node}: {status}, run by {engine}"));
    }
    record.line(&format!("{foreign} of {ORDERS} orders were run by {FOREIGN}"));
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
