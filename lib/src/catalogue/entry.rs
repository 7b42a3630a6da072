//! The values of catalogue entries, as the platform publishes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{CentreName, ClassName, ModelName, ServiceName, TeamName};

/// How urgent requests of a class are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// 0 is served first.
    pub priority: u8,
    /// Time until the first piece of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Longest wait in a router's queue, in milliseconds.
    pub queue_ms: u64,
    /// Share of requests that must meet the deadline, between 0 and 1.
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
    /// The operator asserts that no host of the data centre runs any more.
    Decommissioned,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Region; upstreams of the own region are preferred.
    pub region: String,
    /// Whether the data centre takes new work.
    pub state: CentreState,
}

/// A team with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Who answers for the entry.
    pub owner: String,
    /// Class of the team's requests unless the route sets one.
    pub class: ClassName,
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Requests beyond the rate that may come at once, over all hosts.
    pub burst: u32,
    /// Weight in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether a key admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The key admits requests.
    Active,
    /// The key admits nothing.
    Withdrawn,
}

/// A caller's key; only its hash is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Team whose requests the key admits.
    pub team: TeamName,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub sha256: String,
    /// Whether the key admits requests.
    pub state: KeyState,
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Chat completions on model engines.
    Chat,
    /// Plain HTTP on a service.
    Service,
}

/// A route: requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Who answers for the entry.
    pub owner: String,
    /// Path prefix; the longest matching prefix wins.
    pub path: String,
    /// HTTP methods; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Service of a route of kind `service`.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Teams that may use the route; empty for all.
    #[serde(default)]
    pub teams: Vec<TeamName>,
    /// Class of the route's requests; the team's class if absent.
    #[serde(default)]
    pub class: Option<ClassName>,
    /// Whether a request may run at most once and needs an operation key.
    #[serde(default)]
    pub once: bool,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Serves language models.
    Engine,
    /// Serves plain HTTP calls.
    Service,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Takes new work.
    InService,
    /// Finishes what it runs and takes no new work.
    Leaving,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Who answers for the entry.
    pub owner: String,
    /// What the upstream is.
    pub kind: UpstreamKind,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: CentreName,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Service that a service upstream provides.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Requests that it runs at the same time.
    pub capacity: u32,
    /// Requests that it bears at the same time while cold.
    pub cold_allowance: u32,
    /// Time from the first answer until it is warm, in milliseconds.
    pub warmup_ms: u64,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Whether a cut stream can be resumed by offset.
    #[serde(default)]
    pub resume: bool,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// No engine carries more than this multiple of the mean load.
    pub skew_multiple: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { skew_multiple: 1.5 }
    }
}
