//! A fleet under test: stand-ins of platform and upstreams, a catalogue, and router processes.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use snipepond_standin::{
    CallerRequest, EngineServer, EngineSettings, HostEntry, PlatformServer, PlatformSettings,
    ServiceServer, ServiceSettings, TcpLink,
};

use super::{
    chat, order,
    router::{RouterProcess, RouterSettings},
    wait_for,
};

/// Model that all engines serve.
pub const MODEL: &str = "small";

/// API key of team `one`.
pub const KEY_ONE: &str = "sk-one-7f3a9c51d2e84b60";

/// API key of team `two`.
pub const KEY_TWO: &str = "sk-two-c04be91d77a35f28";

/// Time for which a read of the host list confirms a host's view of the fleet.
///
/// It is short because a host becomes an owner only `VALIDITY_MS + LIST_LAG_MS + MARGIN_MS` after
/// its process starts.
pub const VALIDITY_MS: u64 = 1_500;

/// Longest time by which the host list may be out of date.
pub const LIST_LAG_MS: u64 = 300;

/// Safety margin of the takeover wait.
pub const MARGIN_MS: u64 = 200;

/// Time after which another host may take over the buckets and operations of a host that no longer
/// responds.
pub const TAKEOVER_WAIT: Duration = Duration::from_millis(VALIDITY_MS + LIST_LAG_MS + MARGIN_MS);

/// Lets the system choose a free port of the loopback interface.
pub const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Makes the idempotency keys of [`Fleet::wait_until_orders_work`] unique.
static NEXT_PROBE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Hosts, upstreams and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Names of the data centres, all in one region.
    pub centres: Vec<&'static str>,
    /// Name and data centre of each host.
    pub hosts: Vec<(&'static str, &'static str)>,
    /// Name, data centre and settings of each engine.
    pub engines: Vec<(&'static str, &'static str, EngineSettings)>,
    /// Name, data centre and settings of each upstream of the service `desk`.
    pub services: Vec<(&'static str, &'static str, ServiceSettings)>,
    /// Rate of team `one`, in requests per second.
    pub rate: f64,
    /// Burst of team `one`, in requests.
    pub burst: u32,
    /// Load bound: the largest multiple of the mean load that an engine may carry.
    pub skew_multiple: f64,
    /// Whether the catalogue states that engines can resume a stream.
    pub supports_resume: bool,
    /// Whether the host list contains, for each host, the address of a [`TcpLink`] to its peer port
    /// instead of the port itself.
    pub has_peer_links: bool,
    /// Additional command-line arguments of every router.
    pub extra_arguments: Vec<&'static str>,
    /// Settings of every router that are given as environment variables.
    pub variables: Vec<(&'static str, &'static str)>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            centres: vec!["a"],
            hosts: vec![("h1", "a")],
            engines: Vec::new(),
            services: Vec::new(),
            rate: 1_000.0,
            burst: 1_000,
            skew_multiple: 4.0,
            supports_resume: true,
            has_peer_links: false,
            extra_arguments: Vec::new(),
            variables: Vec::new(),
        }
    }
}

/// Returns settings of an engine that responds without noticeable delay.
pub fn quick_engine() -> EngineSettings {
    EngineSettings {
        first_token_delay: Duration::from_millis(1),
        token_interval: Duration::from_millis(1),
        load_lag: Duration::from_millis(10),
        ..EngineSettings::default()
    }
}

/// Returns settings of a service that responds without noticeable delay.
pub fn quick_service() -> ServiceSettings {
    ServiceSettings {
        duration: Duration::from_millis(1),
        load_lag: Duration::from_millis(10),
        ..ServiceSettings::default()
    }
}

/// The server of an upstream, with the name and data centre of the upstream.
pub struct NamedServer<T> {
    pub name: &'static str,
    pub data_centre: &'static str,
    pub server: T,
}

/// A running fleet. Fields are dropped in order: routers end before the servers that they use.
pub struct Fleet {
    pub routers: Vec<RouterProcess>,
    /// Link to the peer port of each host, if the plan has peer links.
    pub peer_links: Vec<TcpLink>,
    pub engines: Vec<NamedServer<EngineServer>>,
    pub services: Vec<NamedServer<ServiceServer>>,
    pub platform: PlatformServer,
    plan: FleetPlan,
}

impl Fleet {
    /// Starts platform, upstreams and routers, and waits until all routers are ready.
    #[track_caller]
    pub fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_without_routers(plan);
        let platform = fleet.platform.address();
        for (host, centre) in fleet.plan.hosts.clone() {
            fleet.add_router(host, centre, platform);
        }
        fleet.publish_hosts();
        for router in &fleet.routers {
            router.wait_until_ready();
        }
        fleet
    }

    /// Starts platform and upstreams, and publishes the catalogue.
    #[track_caller]
    pub fn start_without_routers(plan: FleetPlan) -> Self {
        let platform =
            PlatformServer::start(PlatformSettings::default()).expect("the platform starts");
        let engines: Vec<_> = plan
            .engines
            .iter()
            .map(|(name, data_centre, settings)| NamedServer {
                name,
                data_centre,
                server: EngineServer::start(settings.clone()).expect("an engine starts"),
            })
            .collect();
        let services: Vec<_> = plan
            .services
            .iter()
            .map(|(name, data_centre, settings)| NamedServer {
                name,
                data_centre,
                server: ServiceServer::start(settings.clone()).expect("a service starts"),
            })
            .collect();
        let fleet =
            Self { routers: Vec::new(), peer_links: Vec::new(), engines, services, platform, plan };
        let entries = fleet.catalogue();
        fleet.platform.set_entries(entries.iter().map(|it| (it.0.as_str(), it.1.clone())));
        fleet
    }

    /// Sets the additional command-line arguments of routers that are started later.
    pub fn set_extra_arguments(&mut self, extra_arguments: Vec<&'static str>) {
        self.plan.extra_arguments = extra_arguments;
    }

    /// Starts one more router. The next [`Fleet::publish_hosts`] adds it to the host list.
    #[track_caller]
    pub fn add_router(&mut self, host: &str, centre: &str, platform: SocketAddr) {
        self.add_router_at(host, centre, platform, ANY_PORT.into());
    }

    /// Starts one more router with the given address for its peer and administration port.
    #[track_caller]
    pub fn add_router_at(
        &mut self,
        host: &str,
        centre: &str,
        platform: SocketAddr,
        admin_listen: SocketAddr,
    ) {
        let router = RouterProcess::start(&RouterSettings {
            host: host.to_owned(),
            data_centre: centre.to_owned(),
            listen: ANY_PORT.into(),
            admin_listen,
            platform,
            validity_ms: VALIDITY_MS,
            list_lag_ms: LIST_LAG_MS,
            margin_ms: MARGIN_MS,
            extra_arguments: self.plan.extra_arguments.clone(),
            variables: self.plan.variables.clone(),
        });
        if self.plan.has_peer_links {
            let link =
                TcpLink::start(ANY_PORT.into(), router.admin_address).expect("a link starts");
            self.peer_links.push(link);
        }
        self.routers.push(router);
    }

    /// Returns the host list entries of all routers, with state `live`.
    pub fn host_entries(&self) -> Vec<HostEntry> {
        self.routers
            .iter()
            .enumerate()
            .map(|(index, router)| HostEntry {
                name: router.host.clone(),
                address: match self.peer_links.get(index) {
                    Some(link) => link.address().to_string(),
                    None => router.admin_address.to_string(),
                },
                data_centre: router.data_centre.clone(),
                state: "live".to_owned(),
            })
            .collect()
    }

    /// Publishes a host list of all routers, with state `live`.
    pub fn publish_hosts(&self) {
        self.platform.set_hosts(self.host_entries());
    }

    /// Publishes a host list with the router at `index` as `leaving` and all others as `live`, as
    /// the platform does before it stops a host.
    pub fn publish_leaving(&self, index: usize) {
        let mut hosts = self.host_entries();
        hosts[index].state = "leaving".to_owned();
        self.platform.set_hosts(hosts);
    }

    /// Returns the address of the port for callers of the router at `index`.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.routers[index].address
    }

    /// Waits until every router serves chats of team `one`.
    ///
    /// The token bucket of a team starts empty and has no owner during the takeover wait, so the
    /// first requests after a start may be refused.
    #[track_caller]
    pub fn wait_until_chats_work(&self) {
        for router in &self.routers {
            wait_for(&format!("chats through {}", router.host), || {
                chat("probe", 1)
                    .send(router.address)
                    .is_ok_and(|it| it.status == 200 && it.is_complete())
            });
        }
    }

    /// Waits until every router serves look-ups, requests that may be retried, of team `one`.
    #[track_caller]
    pub fn wait_until_lookups_work(&self) {
        for router in &self.routers {
            wait_for(&format!("look-ups through {}", router.host), || {
                CallerRequest::new("GET", "/items/0")
                    .bearer_key(super::KEY_ONE)
                    .send(router.address)
                    .is_ok_and(|it| it.status == 200 && it.is_complete())
            });
        }
    }

    /// Waits until every router runs orders whose idempotency key is chosen by the caller.
    ///
    /// Several orders in a row must run, so that each host has been the owner of one.
    #[track_caller]
    pub fn wait_until_orders_work(&self) {
        for router in &self.routers {
            wait_for(&format!("orders through {}", router.host), || {
                (0..8).all(|_| {
                    let number = NEXT_PROBE_NUMBER.fetch_add(1, Ordering::SeqCst);
                    order(&format!("probe-{number}"))
                        .send(router.address)
                        .is_ok_and(|it| it.status == 200 && it.is_complete())
                })
            });
        }
    }

    /// Returns the index of the engine that ran a request whose last message is `text`.
    ///
    /// The text identifies a request, because routers need not forward the request id of a caller:
    /// two callers may use the same one.
    pub fn engine_that_ran(&self, text: &str) -> Option<usize> {
        self.engines
            .iter()
            .position(|it| it.server.stats()["texts"][text].as_u64().unwrap_or(0) > 0)
    }

    /// Returns how often the service upstreams together ran a request with the idempotency key
    /// `key`.
    pub fn run_count(&self, key: &str) -> u64 {
        self.services.iter().map(|it| it.server.run_count(key)).sum()
    }

    /// Publishes the state of a data centre.
    pub fn set_centre_state(&self, name: &str, state: &str) -> u64 {
        self.platform.set_entry(&format!("data_centre/{name}"), centre_entry(state))
    }

    /// Publishes the state of an engine.
    pub fn set_engine_state(&self, index: usize, state: &str) -> u64 {
        let engine = &self.engines[index];
        let entry = self.engine_entry(index, state);
        self.platform.set_entry(&format!("upstream/{}", engine.name), entry)
    }

    /// Publishes the state of an API key.
    pub fn set_key_state(&self, id: &str, team: &str, key: &str, state: &str) -> u64 {
        self.platform.set_entry(&format!("key/{id}"), key_entry(team, key, state))
    }

    fn engine_entry(&self, index: usize, state: &str) -> Value {
        let engine = &self.engines[index];
        let settings = &self.plan.engines[index].2;
        json!({
            "owner": "platform",
            "kind": "engine",
            "address": engine.server.address().to_string(),
            "data_centre": engine.data_centre,
            "models": [MODEL],
            "capacity": settings.capacity,
            "cold_allowance": settings.cold_allowance,
            "warmup_ms": settings.warmup.as_millis() as u64,
            "state": state,
            "resume": self.plan.supports_resume,
        })
    }

    fn catalogue(&self) -> Vec<(String, Value)> {
        let mut entries: Vec<(String, Value)> = vec![
            (
                "class/interactive".to_owned(),
                json!({ "priority": 0, "deadline_ms": 20_000, "queue_ms": 20_000 }),
            ),
            ("team/one".to_owned(), team_entry("interactive", self.plan.rate, self.plan.burst)),
            ("team/two".to_owned(), team_entry("interactive", 1_000.0, 1_000)),
            ("key/k1".to_owned(), key_entry("one", super::KEY_ONE, "active")),
            ("key/k2".to_owned(), key_entry("two", super::KEY_TWO, "active")),
            ("fleet/settings".to_owned(), json!({ "skew_multiple": self.plan.skew_multiple })),
        ];
        for name in &self.plan.centres {
            entries.push((format!("data_centre/{name}"), centre_entry("in_service")));
        }
        if !self.engines.is_empty() {
            entries.push((
                "route/chat".to_owned(),
                json!({
                    "owner": "platform",
                    "path": "/v1/chat/completions",
                    "methods": ["POST"],
                    "kind": "chat",
                }),
            ));
        }
        for (index, engine) in self.engines.iter().enumerate() {
            entries.push((
                format!("upstream/{}", engine.name),
                self.engine_entry(index, "in_service"),
            ));
        }
        if !self.services.is_empty() {
            let route = |path: &str, fields: Value| {
                let mut route = json!({
                    "owner": "platform",
                    "path": path,
                    "kind": "service",
                    "service": "desk",
                });
                if let (Some(route), Some(fields)) = (route.as_object_mut(), fields.as_object()) {
                    route.extend(fields.clone());
                }
                route
            };
            entries.push((
                "route/orders".to_owned(),
                route("/orders", json!({ "methods": ["POST"], "once": true })),
            ));
            entries.push(("route/items".to_owned(), route("/items", json!({}))));
            entries
                .push(("route/private".to_owned(), route("/private", json!({ "teams": ["two"] }))));
            entries.push((
                "route/public".to_owned(),
                route(
                    "/public",
                    json!({ "methods": ["GET"], "open": true, "class": "interactive" }),
                ),
            ));
        }
        for (service, (_, _, settings)) in self.services.iter().zip(&self.plan.services) {
            entries.push((
                format!("upstream/{}", service.name),
                json!({
                    "owner": "platform",
                    "kind": "service",
                    "address": service.server.address().to_string(),
                    "data_centre": service.data_centre,
                    "service": "desk",
                    "capacity": settings.capacity,
                    "cold_allowance": settings.cold_allowance,
                    "warmup_ms": settings.warmup.as_millis() as u64,
                    "state": "in_service",
                }),
            ));
        }
        entries
    }
}

/// Returns the address of a free port of the loopback interface.
///
/// The port is not reserved: another process could open it before the router does.
pub fn find_free_address() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a free port");
    listener.local_addr().expect("local address")
}

fn centre_entry(state: &str) -> Value {
    json!({ "region": "north", "state": state })
}

fn team_entry(class: &str, rate: f64, burst: u32) -> Value {
    json!({ "owner": "platform", "class": class, "rate": rate, "burst": burst })
}

fn key_entry(team: &str, key: &str, state: &str) -> Value {
    let hash: String =
        Sha256::digest(key.as_bytes()).iter().map(|it| format!("{it:02x}")).collect();
    json!({ "team": team, "sha256": hash, "state": state })
}
