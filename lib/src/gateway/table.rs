//! Lookup tables for the published routes, teams, services and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    catalogue::KeyHash,
    intake::CallerBodyLimits,
    names::{RouteName, ServiceName, TeamName},
    rendezvous,
};

/// Whether a request may run more than once, and what kind of response it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is an event stream that another upstream may resume.
    ResumableStream,
    /// The response is an event stream, and the request may run at most once.
    OnceStream,
}

impl RetryRule {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }

    /// Returns whether a request that may have run may be sent to another upstream.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// One published route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Name of the route.
    pub name: RouteName,
    /// Value of the `Host` header without a port, in lower case.
    pub host: Box<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be retried after they may have run.
    pub retry_rule: RetryRule,
    /// Longest time from a request to the end of its response.
    pub timeout: Duration,
    /// Longest time to the response, or to the first event of a stream, that meets the objective.
    pub target_latency: Duration,
    /// Longest time between two events of a stream that meets the objective.
    pub event_gap: Duration,
    /// Priority at upstreams; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are split.
    pub services: Vec<WeightedService>,
    /// Largest number of attempts that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
}

/// Shortest time for which a caller waits for the next event of a stream, its first included.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Multiple of the latency target for which a caller waits for the next event, if that is longer.
const PATIENCE_PER_TARGET: u32 = 4;

/// Multiple of the longest gap between events on time for which a caller waits, if that is longer.
const PATIENCE_PER_EVENT_GAP: u32 = 8;

impl RouteRecord {
    /// Returns how long a caller waits for the first event of a stream before it leaves; none if
    /// the response is not a stream.
    pub fn caller_patience(&self) -> Option<Duration> {
        let patience = MIN_CALLER_PATIENCE
            .max(self.target_latency * PATIENCE_PER_TARGET)
            .max(self.event_gap * PATIENCE_PER_EVENT_GAP);
        self.retry_rule.is_stream().then_some(patience)
    }

    /// Returns the service for a request, split by weight and determined by the request id. None if
    /// all weights are zero.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut position = rendezvous::hash_parts(&[request_id]) % total;
        self.services
            .iter()
            .find(|it| {
                let weight = u64::from(it.weight);
                let is_hit = position < weight;
                position = position.saturating_sub(weight);
                is_hit
            })
            .map(|it| &it.service)
    }
}

/// One team with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRecord {
    /// Name of the team.
    pub name: TeamName,
    /// Priority of the team's requests, instead of that of the route.
    pub priority: Option<u8>,
    /// Hashes of the team's valid keys.
    pub keys: Vec<KeyHash>,
}

/// Limits of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests per second that a cold upstream tolerates; 0 if they are not limited.
    pub cold_rate: f64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size limit of a request head.
    pub max_head_bytes: usize,
    /// Size limit of a request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head or body to arrive.
    pub read_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    pub(super) fn body_limits(&self) -> CallerBodyLimits {
        CallerBodyLimits { max_bytes: self.max_body_bytes, time: self.read_timeout }
    }
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Result of identifying a caller by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The key belongs to this team.
    Team(Arc<TeamRecord>),
    /// The key is missing or unknown, and the route needs none.
    Open,
    /// The key is missing or unknown, and the route needs one.
    Denied,
}

/// One version of the configuration, indexed for lookup; immutable.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    /// Routes of each host, longest prefix first.
    routes_by_host: HashMap<Box<str>, Vec<Arc<RouteRecord>>>,
    teams_by_key: HashMap<KeyHash, Arc<TeamRecord>>,
    needs_keys: bool,
    services: HashMap<ServiceName, ServiceRecord>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Creates the table of one published version.
    ///
    /// Without a list of teams no route needs a key; with an empty one no key is valid.
    pub fn new(
        version: u64,
        routes: Vec<RouteRecord>,
        teams: Option<Vec<TeamRecord>>,
        services: Vec<ServiceRecord>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<Box<str>, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let needs_keys = teams.is_some();
        let mut teams_by_key = HashMap::new();
        for team in teams.into_iter().flatten() {
            let team = Arc::new(team);
            teams_by_key.extend(team.keys.iter().map(|it| (*it, team.clone())));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Self { version, routes_by_host, teams_by_key, needs_keys, services, limits }
    }

    /// Returns the published version number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the limits of a service; none if the version does not contain it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns the route with the longest prefix of the path.
    ///
    /// `authority` is the value of the `Host` header; its port and case are ignored.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        let host = authority.split(':').next().unwrap_or_default();
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Identifies the caller of a route by its key. Without a list of teams every route is open.
    pub fn identify(&self, route: &RouteRecord, key: Option<&str>) -> CallerIdentity {
        let team = key.and_then(|it| self.teams_by_key.get(&KeyHash::of(it)));
        match team {
            Some(team) => CallerIdentity::Team(team.clone()),
            None if route.is_open || !self.needs_keys => CallerIdentity::Open,
            None => CallerIdentity::Denied,
        }
    }
}
