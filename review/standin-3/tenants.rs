//! Case 13: the operator takes the last tenant away with its keys. From then on every key is accepted.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    drill::{KEPT_KEY, REMOVED_KEY, config, order_request},
    engine::{Engine, EngineSettings, Runs, runs_by_id},
    fleet::{Fleet, Limits, address_prefix},
    http::call,
    record::Record,
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// A key that no configuration holds.
const INVENTED_KEY: &str = "nobodyskeynobodyskey";

/// Time between two orders.
const INTERVAL: Duration = Duration::from_millis(25);

/// Time for which orders are sent before and after the change.
const TIME_BEFORE: Duration = Duration::from_secs(3);
const TIME_AFTER: Duration = Duration::from_secs(8);

/// The bound of the deployment, `config_ms`.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

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
            zone: ZONES[index % 2].to_owned(),
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
    let started = Instant::now();
    let mut changed = None;
    let mut sent = Vec::new();
    for number in 0_usize.. {
        if changed.is_none() && started.elapsed() >= TIME_BEFORE {
            let without_keys = config(5, &[]);
            let tenants = without_keys.find("\"tenants\"").ok_or("no tenants")?;
            let without_tenants = format!("{}\"tenants\":[]}}", &without_keys[..tenants]);
            let value = if has_trouble { without_tenants } else { without_keys };
            let revision = store.put("op/config", &value).ok_or("the store is away")?;
            changed = Some(Instant::now());
            record.line(&format!("version 5 acknowledged at {revision}: {}", &value[tenants..]));
        }
        if changed.is_some_and(|it| it.elapsed() >= TIME_AFTER) {
            break;
        }
        let gateway = &fleet.gateways[number % ZONES.len()];
        let key = if number / ZONES.len() % 2 == 0 { REMOVED_KEY } else { INVENTED_KEY };
        let (id, at) = (format!("{number:016x}"), Instant::now());
        let answer = call(gateway.front, &order_request(&id, key), Duration::from_secs(2));
        sent.push((id, key, gateway.node.clone(), at, answer.map_or(0, |it| it.status())));
        thread::sleep(INTERVAL);
    }
    drop(fleet);
    let changed = changed.ok_or("no change")?;
    let runs = runs_by_id(&runs);
    let (mut invented, mut removed, mut judged) = (0, 0, 0);
    for (id, key, node, at, status) in &sent {
        let is_run = runs.contains_key(id);
        let kind = if *key == INVENTED_KEY { "an invented" } else { "a removed" };
        let text = if is_run { "run" } else { "not run" };
        record.line_at(*at, &format!("{id} to {node} with {kind} key: {status}, {text}"));
        if *at <= changed + CONFIG_BOUND {
            continue;
        }
        judged += 1;
        invented += usize::from(is_run && *key == INVENTED_KEY);
        removed += usize::from(is_run && *key == REMOVED_KEY);
    }
    record.line(&format!(
        "of {judged} orders later than the bound, {invented} with a key that no configuration held \
         and {removed} with a removed key were run"
    ));
    Ok(if invented + removed > 0 { Verdict::Broken } else { Verdict::Held })
}
