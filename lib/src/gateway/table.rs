//! The published routes, teams and limits in the form in which requests look them up.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    catalogue::KeyHash,
    names::{RouteName, ServiceName, TeamName},
    rendezvous,
};

/// What may happen to a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is an event stream that another upstream may continue.
    ResumableStream,
    /// The response is an event stream, and the request may run at most once.
    OnceStream,
}

impl RetryRule {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }

    /// Returns whether a request that may have run can be sent to another upstream.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the other services of the route.
    pub weight: u32,
}

/// One published route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Name of the route.
    pub name: RouteName,
    /// Host of the requests, in lower case.
    pub host: Box<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub retry_rule: RetryRule,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time to the response, or its first event, that counts as on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that counts as on time.
    pub event_gap: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// Services that run the requests.
    pub services: Vec<WeightedService>,
    /// Upstreams that one request is sent to at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl RouteRecord {
    /// Returns the service for a request; the choice depends on the request id only.
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
    /// Replaces the priority of the route.
    pub priority: Option<u8>,
    /// Hashes of the keys in force.
    pub keys: Vec<KeyHash>,
}

/// What a service tolerates.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests per second that a cold upstream tolerates; 0 if it needs no care.
    pub cold_rate: f64,
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a request head or body to arrive.
    pub read_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What a key or its absence allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The key belongs to this team.
    Team(Arc<TeamRecord>),
    /// The route is open to all.
    Open,
    /// The key is missing or unknown.
    Denied,
}

/// One version of the configuration; immutable.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<Arc<RouteRecord>>>,
    teams: HashMap<KeyHash, Arc<TeamRecord>>,
    has_teams: bool,
    services: HashMap<ServiceName, ServiceRecord>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Indexes one published version.
    pub fn new(
        version: u64,
        routes: Vec<RouteRecord>,
        teams: Vec<TeamRecord>,
        services: Vec<ServiceRecord>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let has_teams = !teams.is_empty();
        let mut keys = HashMap::new();
        for team in teams {
            let team = Arc::new(team);
            keys.extend(team.keys.iter().map(|it| (*it, team.clone())));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Self { version, hosts, teams: keys, has_teams, services, limits }
    }

    /// Returns the version as published.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds of what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns what a service tolerates.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns the route with the longest prefix that begins the path.
    ///
    /// `authority` is the value of the `Host` header; its port and case do not matter.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        let host = authority.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns what a key allows on a route.
    pub fn identify(&self, route: &RouteRecord, key: Option<&str>) -> CallerIdentity {
        let team = key.and_then(|it| self.teams.get(&KeyHash::of(it)));
        match team {
            Some(team) => CallerIdentity::Team(team.clone()),
            None if route.is_open || !self.has_teams => CallerIdentity::Open,
            None => CallerIdentity::Denied,
        }
    }
}
