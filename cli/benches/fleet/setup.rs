//! Catalogues and stand-ins of the measurements.

use std::{io::Result, net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use snipepond_standin::{
    CallerRequest, EngineServer, EngineSettings, HostEntry, PlatformServer, PlatformSettings,
    ServiceServer, ServiceSettings,
};

use crate::{
    measure::wait_for,
    process::{Router, Timing},
};

/// Model that all engines serve.
pub const MODEL: &str = "small";

/// What a fleet consists of; hosts, engines and services are spread over the data centres.
pub struct Plan {
    pub centres: usize,
    pub hosts: usize,
    pub engines: usize,
    pub services: usize,
    pub teams: usize,
    pub first_token: Duration,
    pub token: Duration,
    pub timing: Timing,
}

/// A running fleet. Fields are dropped in order: routers end before what they call.
pub struct Fleet {
    pub routers: Vec<Router>,
    pub engines: Vec<EngineServer>,
    pub services: Vec<ServiceServer>,
    pub platform: PlatformServer,
}

/// Returns the key of a team.
pub fn team_key(index: usize) -> String {
    format!("sk-bench-{index:04}-51d2e84b60")
}

/// Returns a chat with its own identity.
pub fn chat(team: usize, text: &str, tokens: u64) -> CallerRequest {
    CallerRequest::chat(MODEL, text, tokens, true).bearer_key(&team_key(team))
}

/// Returns a plain look-up.
pub fn look_up(team: usize) -> CallerRequest {
    CallerRequest::new("GET", "/items/7").bearer_key(&team_key(team))
}

/// Returns an operation that runs at most once.
pub fn order(team: usize, key: &str) -> CallerRequest {
    CallerRequest::new("POST", "/orders/7")
        .bearer_key(&team_key(team))
        .header("Idempotency-Key", key)
        .header("Content-Type", "text/plain")
        .body("two cups")
}

fn centre(index: usize, plan: &Plan) -> String {
    format!("dc{}", index % plan.centres)
}

fn upstream(kind: &str, address: SocketAddr, centre: String, fields: (&str, Value)) -> Value {
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
    entry[fields.0] = fields.1;
    entry
}

impl Fleet {
    /// Starts everything and waits until every router answers look-ups.
    pub fn start(plan: &Plan) -> Result<Self> {
        let platform = PlatformServer::start(PlatformSettings::default())?;
        let engine = EngineSettings {
            first_token_delay: plan.first_token,
            token_interval: plan.token,
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
        let entries = fleet.entries(plan);
        fleet.platform.set_entries(entries.iter().map(|it| (it.0.as_str(), it.1.clone())));
        for index in 0..plan.hosts {
            let (host, centre) = (format!("h{index}"), centre(index, plan));
            let platform = fleet.platform.address();
            fleet.routers.push(Router::start(&host, &centre, platform, plan.timing)?);
        }
        let hosts = fleet.routers.iter().map(|it| HostEntry {
            name: it.host.clone(),
            address: it.admin.to_string(),
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

    fn entries(&self, plan: &Plan) -> Vec<(String, Value)> {
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
            let entry = upstream("engine", engine.address(), centre(index, plan), models);
            entries.push((format!("upstream/e{index}"), entry));
        }
        for (index, service) in self.services.iter().enumerate() {
            let desk = ("service", json!("desk"));
            let entry = upstream("service", service.address(), centre(index, plan), desk);
            entries.push((format!("upstream/s{index}"), entry));
        }
        entries
    }
}
