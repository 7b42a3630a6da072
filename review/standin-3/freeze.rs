//! Case 15: the two machines of a zone that read the store freeze. The others of the zone, which read
//! from these, go on with an old configuration for longer than the bound.

use std::{
    collections::HashMap,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    drill::{KEPT_KEY, REMOVED_KEY, Sent, config, order_request},
    engine::{Engine, EngineSettings, Run, Runs, runs_by_id},
    fleet::{Fleet, Limits, address_prefix},
    http::call,
    record::Record,
    store::Store,
};

/// Zones with the number of their machines. Two are a tenth of all.
const ZONES: [(&str, usize); 2] = [("zone-a", 12), ("zone-b", 8)];

/// For how long the two machines stand still.
const FREEZE_TIME: Duration = Duration::from_millis(3_500);

/// Time from the freeze to the change.
const CHANGE_AFTER: Duration = Duration::from_millis(50);

/// The bound of the deployment, `config_ms`.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill {name} {pid}")]).status();
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
            thread::sleep(Duration::from_millis(40));
        }
    }
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let prefix = address_prefix();
    let store = Store::start(&format!("{prefix}.0.1"))?;
    let runs: Runs = Arc::default();
    for index in 0..4 {
        let settings = EngineSettings {
            name: format!("i-{index:08x}"),
            version: b"v1".to_vec(),
            service: "orders".to_owned(),
            zone: ZONES[index % 2].0.to_owned(),
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
    let zones: Vec<&str> =
        ZONES.iter().flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count)).collect();
    let fleet = Fleet::start(&format!("{prefix}.2"), &zones, store.address, &limits)?;
    if !fleet.wait_ready() {
        return Err("not all gateways are ready".into());
    }
    record.line("all gateways are ready");
    // The machines find each other, and agree on those that read the store.
    thread::sleep(Duration::from_secs(20));
    let readers = store.readers(Duration::from_secs(2));
    let is_reader = |index: usize| fleet.gateways[index].has_connection(&readers);
    let reading: Vec<usize> = (0..zones.len()).filter(|it| is_reader(*it)).collect();
    let names: Vec<&str> = reading.iter().map(|it| &*fleet.gateways[*it].node).collect();
    record.line(&format!("read the store in the last 2 s: {}", names.join(" ")));
    let frozen: Vec<usize> = reading.iter().copied().filter(|it| *it < ZONES[0].1).collect();
    if frozen.len() != 2 {
        return Err(format!("{} machines of zone-a read the store", frozen.len()).into());
    }
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    for index in (0..ZONES[0].1).filter(|it| !frozen.contains(it)) {
        let (front, node) = (fleet.gateways[index].front, fleet.gateways[index].node.clone());
        let (stop, sent) = (stop.clone(), sent.clone());
        clients.push(thread::spawn(move || send_orders(front, &node, &stop, &sent, index)));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        for index in &frozen {
            signal(fleet.gateways[*index].child.id(), "-STOP");
            record.line(&format!("{} freezes", fleet.gateways[*index].node));
        }
    }
    let started = Instant::now();
    thread::sleep(CHANGE_AFTER);
    let revision = store.put("op/config", config(5, &[KEPT_KEY])).ok_or("the store is away")?;
    let changed = Instant::now();
    record.line(&format!("version 5 without the second key acknowledged at {revision}"));
    thread::sleep(FREEZE_TIME.saturating_sub(started.elapsed()));
    if has_trouble {
        for index in &frozen {
            signal(fleet.gateways[*index].child.id(), "-CONT");
            record.line(&format!("{} wakes", fleet.gateways[*index].node));
        }
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(fleet);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(judge(record, &sent, &runs_by_id(&runs), changed))
}

fn judge(
    record: &Record,
    sent: &[Sent],
    runs: &HashMap<String, Vec<Run>>,
    changed: Instant,
) -> Verdict {
    let mut late = 0;
    let mut latest: HashMap<&str, Duration> = HashMap::new();
    for it in sent {
        let is_run = runs.contains_key(&it.id);
        let kind = if it.key == KEPT_KEY { "kept" } else { "removed" };
        let text = if is_run { "run" } else { "not run" };
        record.line_at(
            it.at,
            &format!("{} to {} with the {kind} key: {}, {text}", it.id, it.node, it.status),
        );
        let Some(age) = it.at.checked_duration_since(changed) else {
            continue;
        };
        if it.key == REMOVED_KEY && is_run {
            latest.insert(&it.node, age);
            late += usize::from(age > CONFIG_BOUND);
        }
    }
    let mut latest: Vec<String> =
        latest.iter().map(|(node, age)| format!("{node} {} ms", age.as_millis())).collect();
    latest.sort();
    record.line(&format!(
        "last request with the removed key that ran, after the acknowledgement: {}",
        latest.join(", ")
    ));
    record.line(&format!("{late} of them were sent later than the bound"));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
