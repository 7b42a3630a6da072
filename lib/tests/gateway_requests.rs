//! Route lookup and the retry budget.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::KeyHash,
    gateway::{
        CallerIdentity, CallerLimits, RetryAllowance, RetryBudget, RetryRule, RouteRecord,
        RouteTable, TeamRecord, WeightedService,
    },
    names::{RouteName, ServiceName, TeamName},
};

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> RouteRecord {
    let weighted = services.iter();
    let weighted = weighted.map(|(service, weight)| WeightedService {
        service: ServiceName::new(service),
        weight: *weight,
    });
    RouteRecord {
        name: RouteName::new(name),
        host: "chat.example".into(),
        prefix: prefix.into(),
        retry_rule: RetryRule::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        event_gap: Duration::ZERO,
        priority: 1,
        services: weighted.collect(),
        max_attempts: 2,
        is_open: name == "open",
    }
}

fn table() -> RouteTable {
    let team = TeamRecord {
        name: TeamName::new("t"),
        priority: Some(0),
        keys: vec![KeyHash::of("k1"), KeyHash::of("k2")],
    };
    table_with(Some(vec![team]))
}

fn table_with(teams: Option<Vec<TeamRecord>>) -> RouteTable {
    let routes = vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("x", 90), ("y", 10)]),
        route("open", "/open/", &[("x", 1)]),
        route("none", "/none/", &[("x", 0)]),
    ];
    RouteTable::new(7, routes, teams, vec![], CallerLimits::default())
}

/// Guards against a request that is routed by a shorter prefix or by the prefix of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|it| it.name.as_str().to_owned());
    assert_eq!(name("chat.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("CHAT.example:8080", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("chat.example", "/a"), None, "a prefix ends with a slash");
    assert_eq!(name("other.example", "/a/"), None);
}

/// Guards against an unknown or missing key that admits a request to a route that needs one.
#[test]
fn a_key_identifies_its_team() {
    let table = table();
    let short = table.route("chat.example", "/a/").unwrap();
    let open = table.route("chat.example", "/open/").unwrap();
    assert!(matches!(table.identify(short, Some("k2")), CallerIdentity::Team(_)));
    assert_eq!(table.identify(short, Some("k3")), CallerIdentity::Denied);
    assert_eq!(table.identify(short, None), CallerIdentity::Denied);
    assert_eq!(table.identify(open, None), CallerIdentity::Open);
    assert!(matches!(table.identify(open, Some("k1")), CallerIdentity::Team(_)));
}

/// Guards against an empty list of teams that opens every route, as no list does.
#[test]
fn without_teams_a_key_is_denied_and_without_their_list_none_is_needed() {
    for (teams, expected) in [(Some(vec![]), CallerIdentity::Denied), (None, CallerIdentity::Open)]
    {
        let table = table_with(teams);
        let short = table.route("chat.example", "/a/").unwrap();
        let open = table.route("chat.example", "/open/").unwrap();
        assert_eq!(table.identify(short, Some("k1")), expected);
        assert_eq!(table.identify(short, None), expected);
        assert_eq!(table.identify(open, None), CallerIdentity::Open);
    }
}

/// Guards against a split of a route's requests that does not follow the weights of its services.
#[test]
fn a_route_is_split_by_weight_and_request() {
    let table = table();
    let long = table.route("chat.example", "/a/b/").unwrap();
    let ids = (0..2_000).map(|it| format!("{it:x}"));
    let minority = ids.filter(|it| long.service_for(it).unwrap().as_str() == "y").count();
    assert!((120..280).contains(&minority), "{minority}");
    let none = table.route("chat.example", "/none/").unwrap();
    assert_eq!(none.service_for("1"), None);
}

/// Guards against more retries than the operators allow in any window, summed over hosts that
/// receive unequal shares of the requests.
#[test]
fn repeats_of_all_hosts_stay_within_the_allowance() {
    const HOSTS: usize = 7;
    let allowance = RetryAllowance { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 };
    let service = ServiceName::new("x");
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> =
            (0..HOSTS).map(|_| RetryBudget::new(start, allowance)).collect();
        let mut requests: VecDeque<Duration> = VecDeque::new();
        let mut retries: VecDeque<Duration> = VecDeque::new();
        for step in 0..6_000_u32 {
            let at = Duration::from_millis(10) * step;
            let now = start + at;
            // Every request asks for a retry; the request rate triples for 10 s of the 60 s.
            let load = if (2_000..3_000).contains(&step) { 3 } else { 1 };
            for _ in 0..load {
                let host = rng.random_range(0..HOSTS).min(rng.random_range(0..HOSTS));
                budgets[host].record_request(now, &service);
                requests.push_back(at);
                if budgets[host].try_acquire(now, &service, HOSTS) {
                    retries.push_back(at);
                }
            }
            let is_outside = |it: &Duration, windows: u32| *it + allowance.window * windows < at;
            while retries.front().is_some_and(|it| is_outside(it, 1)) {
                retries.pop_front();
            }
            while requests.front().is_some_and(|it| is_outside(it, 1)) {
                requests.pop_front();
            }
            let allowed = allowance.ratio * requests.len() as f64 + allowance.slack;
            assert!(retries.len() as f64 <= allowed, "seed {seed}, step {step}");
        }
    }
}
