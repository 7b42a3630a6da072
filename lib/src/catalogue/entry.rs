//! Values of catalogue entries in the JSON form that the platform publishes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{CentreName, ClassName, ModelName, ServiceName, TeamName};

/// A class of requests with its priority, time limits and objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Priority in the queue; 0 is served first.
    pub priority: u8,
    /// Time limit for the first chunk of the response, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum wait in a router's queue, in milliseconds.
    pub queue_ms: u64,
    /// Service-level objective: share of requests that must meet the deadline, between 0 and 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
}

fn default_objective() -> f64 {
    0.95
}

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CentreState {
    /// Upstreams take new work.
    InService,
    /// Upstreams take no new work; hosts may still run and keep their share of team limits.
    OutOfService,
    /// The operator asserts that no host of the data centre is running any more.
    Decommissioned,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Region; a host prefers upstreams in its own region.
    pub region: String,
    /// Whether the data centre takes new work.
    pub state: CentreState,
}

/// A team with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Who is responsible for the entry.
    pub owner: String,
    /// Class of the team's requests, unless their route has a class of its own.
    pub class: ClassName,
    /// Rate limit in requests per second, summed over all hosts.
    pub rate: f64,
    /// Capacity of the token bucket in requests, summed over all hosts.
    pub burst: u32,
    /// Weight of the team in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// State of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Requests with the key are admitted.
    Active,
    /// Requests with the key are refused.
    Withdrawn,
}

/// A caller's key; only its hash is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Team to which requests with the key belong.
    pub team: TeamName,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub sha256: String,
    /// Whether requests with the key are admitted.
    pub state: KeyState,
}

/// Kind of upstreams to which a route leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Chat completions on model engines.
    Chat,
    /// Plain HTTP on a service.
    Service,
}

/// A route, which matches requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Who is responsible for the entry.
    pub owner: String,
    /// Path prefix; the longest matching prefix wins.
    pub path: String,
    /// HTTP methods that the route matches; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Kind of upstreams to which the route leads.
    pub kind: RouteKind,
    /// Service to which a route of kind `service` leads.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Whether requests are admitted without a key.
    #[serde(default)]
    pub open: bool,
    /// Teams that may use the route; empty for all.
    #[serde(default)]
    pub teams: Vec<TeamName>,
    /// Class of the route's requests; `None` for the class of the team.
    #[serde(default)]
    pub class: Option<ClassName>,
    /// Whether a request must run at most once, which requires an operation key.
    #[serde(default)]
    pub once: bool,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Serves language models.
    Engine,
    /// Serves plain HTTP calls.
    Service,
}

/// State of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream takes new work.
    InService,
    /// The upstream finishes the requests in flight and takes no new work.
    Leaving,
}

/// An upstream: an engine or an instance of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Who is responsible for the entry.
    pub owner: String,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// IP address and port.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: CentreName,
    /// Models that an engine serves; empty for a service.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Service that the upstream provides; `None` for an engine.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Number of requests that the upstream runs concurrently.
    pub capacity: u32,
    /// Number of concurrent requests that may be sent to the upstream while it is cold, summed over
    /// all hosts.
    pub cold_allowance: u32,
    /// Time from the first response until the upstream counts as warm, in milliseconds.
    pub warmup_ms: u64,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
    /// Whether an interrupted stream can be resumed at an offset.
    #[serde(default)]
    pub resume: bool,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Bound on the load of an engine, as a multiple of the mean load.
    pub skew_multiple: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { skew_multiple: 1.5 }
    }
}
