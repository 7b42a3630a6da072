//! Catalogue, stand-ins and router processes of a measured fleet.

use std::{io::Result, net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use snipepond_standin::{
    CallerRequest, EngineServer, EngineSettings, HostEntry, PlatformServer, PlatformSettings,
    ServiceServer, ServiceSettings,
};

use crate::{
    measure::wait_for,
    process::{OwnershipTiming, RouterProcess},
};

/// Model that all engines serve.
pub const MODEL: &str = "small";

/// Numbers and settings of the parts of a fleet. Hosts, engines and services are distributed round
/// robin over the data centres.
pub struct FleetPlan {
    pub centres: usize,
    pub hosts: usize,
    pub engines: usize,
    pub services: usize,
    pub teams: usize,
    pub first_token_delay: Duration,
    pub token_interval: Duration,
    pub timing: OwnershipTiming,
}

/// A running fleet. Fields are dropped in order: routers end before the servers that they use.
pub struct Fleet {
    pub routers: Vec<RouterProcess>,
    pub engines: Vec<EngineServer>,
    pub services: Vec<ServiceServer>,
    pub platform: PlatformServer,
}

/// Returns the API key of a team.
pub fn team_key(index: usize) -> String {
    format!("sk-bench-{index:04}-51d2e84b60")
}

/// Returns a streamed chat request; a distinct `text` makes it a chat of its own.
pub fn chat(team: usize, text: &str, tokens: u64) -> CallerRequest {
    CallerRequest::chat(MODEL, text, tokens, true).bearer_key(&team_key(team))
}

/// Returns a look-up, a request to a service that may be retried.
pub fn look_up(team: usize) -> CallerRequest {
    CallerRequest::new("GET", "/items/7").bearer_key(&team_key(team))
}

/// Returns an order: an at-most-once operation with the idempotency key `key`.
pub fn order(team: usize, key: &str) -> CallerRequest {
    CallerRequest::new("POST", "/orders/7")
        .bearer_key(&team_key(team))
        .header("Idempotency-Key", key)
        .header("Content-Type", "text/plain")
        .body("two cups")
}

fn centre_name(index: usize, plan: &FleetPlan) -> String {
    format!("dc{}", index % plan.centres)
}

fn upstream_entry(
    kind: &str,
    address: SocketAddr,
    centre: String,
    extra_field: (&str, Value),
) -> Value {
    let mut entry = json!({
        "owner": "bench",
        "kind": kind,
        "address": address.to_string(),
        "data_centre": centre,
        "capacity": 1_000,
        "cold_allowance": 1_000,
        "warmup_ms": 0,
        "state": "in_service",
    });
    entry[extra_field.0] = extra_field.1;
    entry
}

impl Fleet {
    /// Starts platform, upstreams and routers, and waits until every router serves look-ups.
    pub fn start(plan: &FleetPlan) -> Result<Self> {
        let platform = PlatformServer::start(PlatformSettings::default())?;
        let engine = EngineSettings {
            first_token_delay: plan.first_token_delay,
            token_interval: plan.token_interval,
            capacity: 1_000,
            cold_allowance: 1_000,
            ..EngineSettings::default()
        };
        let service = ServiceSettings {
            duration: Duration::ZERO,
            capacity: 1_000,
            cold_allowance: 1_000,
            ..ServiceSettings::default()
        };
        let mut fleet = Self {
            routers: Vec::new(),
            engines: (0..plan.engines)
                .map(|_| EngineServer::start(engine.clone()))
                .collect::<Result<_>>()?,
            services: (0..plan.services)
                .map(|_| ServiceServer::start(service.clone()))
                .collect::<Result<_>>()?,
            platform,
        };
        let entries = fleet.catalogue_entries(plan);
        fleet.platform.set_entries(entries.iter().map(|it| (it.0.as_str(), it.1.clone())));
        for index in 0..plan.hosts {
            let (host, centre) = (format!("h{index}"), centre_name(index, plan));
            let platform = fleet.platform.address();
            fleet.routers.push(RouterProcess::start(&host, &centre, platform, plan.timing)?);
        }
        let hosts = fleet.routers.iter().map(|it| HostEntry {
            name: it.host.clone(),
            address: it.admin_address.to_string(),
            data_centre: it.data_centre.clone(),
            state: "live".to_owned(),
        });
        fleet.platform.set_hosts(hosts.collect());
        for router in &fleet.routers {
            router.wait_until_ready()?;
        }
        for router in &fleet.routers {
            wait_for("look-ups", Duration::from_secs(40), || {
                look_up(0).send(router.address).is_ok_and(|it| it.status == 200)
            })?;
        }
        Ok(fleet)
    }

    fn catalogue_entries(&self, plan: &FleetPlan) -> Vec<(String, Value)> {
        let route = |path: &str, kind: &str, fields: Value| {
            let mut route = json!({ "owner": "bench", "path": path, "kind": kind });
            if let (Some(route), Some(fields)) = (route.as_object_mut(), fields.as_object()) {
                route.extend(fields.clone());
            }
            route
        };
        let mut entries: Vec<(String, Value)> = vec![
            (
                "class/interactive".to_owned(),
                json!({ "priority": 0, "deadline_ms": 20_000, "queue_ms": 20_000 }),
            ),
            ("fleet/settings".to_owned(), json!({ "skew_multiple": 4.0 })),
            (
                "route/chat".to_owned(),
                route("/v1/chat/completions", "chat", json!({ "methods": ["POST"] })),
            ),
            (
                "route/orders".to_owned(),
                route(
                    "/orders",
                    "service",
                    json!({ "methods": ["POST"], "service": "desk", "once": true }),
                ),
            ),
            ("route/items".to_owned(), route("/items", "service", json!({ "service": "desk" }))),
        ];
        for index in 0..plan.centres {
            entries.push((
                format!("data_centre/dc{index}"),
                json!({ "region": "north", "state": "in_service" }),
            ));
        }
        for index in 0..plan.teams {
            let hash: String = Sha256::digest(team_key(index).as_bytes())
                .iter()
                .map(|it| format!("{it:02x}"))
                .collect();
            entries.push((
                format!("team/t{index}"),
                json!({
                    "owner": "bench",
                    "class": "interactive",
                    "rate": 100_000.0,
                    "burst": 100_000,
                }),
            ));
            entries.push((
                format!("key/k{index}"),
                json!({ "team": format!("t{index}"), "sha256": hash, "state": "active" }),
            ));
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let models = ("models", json!([MODEL]));
            let entry =
                upstream_entry("engine", engine.address(), centre_name(index, plan), models);
            entries.push((format!("upstream/e{index}"), entry));
        }
        for (index, service) in self.services.iter().enumerate() {
            let desk = ("service", json!("desk"));
            let entry =
                upstream_entry("service", service.address(), centre_name(index, plan), desk);
            entries.push((format!("upstream/s{index}"), entry));
        }
        entries
    }
}
