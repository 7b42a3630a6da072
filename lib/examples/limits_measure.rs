//! Measures refusals and messages of the team limits in a simulated fleet, for a bucket of rate/n
//! on each host and for the shared buckets of the library:
//! `cargo run --release -p snipepond --example limits_measure`.
//!
//! Wrongful refusals: share of the requests of teams within their rate that were refused although
//! a central bucket, debited by the requests admitted before, had a token. Served: admitted
//! requests per request that a central bucket admits from the same arrivals. Worst window: requests
//! above rate * t + burst in the worst window of any team.

#[path = "../tests/limits_support/mod.rs"]
mod limits_support;

use std::time::{Duration, Instant};

use limits_support::{AdmissionScheme, FleetSim, TeamStats, catalogue, secs};
use snipepond::{
    limits::{BucketTable, ShareGate, TokenCache},
    membership::{
        Heartbeat, HeartbeatReply, HostList, HostRecord, HostState, ViewTiming, ViewTracker,
    },
};

/// Hosts in each data centre, 7 in total.
const CENTRES: [usize; 4] = [2, 2, 2, 1];

/// Rate in requests/s and burst of each team, from large to small.
const TEAMS: [(f64, u32); 10] = [
    (120.0, 120),
    (80.0, 80),
    (20.0, 20),
    (15.0, 15),
    (10.0, 20),
    (8.0, 8),
    (5.0, 10),
    (4.0, 4),
    (2.0, 4),
    (1.0, 2),
];

/// Offered requests of each team as a share of its rate, unless a case changes them.
const LOAD: f64 = 0.7;

/// Start of the faults and of the measurement; owners do not act before about 19 s.
const BEGIN: Duration = secs(30);
const END: Duration = secs(90);

/// One run of each case per seed.
const SEEDS: std::ops::Range<u64> = 1..9;

type Setup = fn(&mut FleetSim);

fn surge(sim: &mut FleetSim) {
    sim.schedule(BEGIN, |sim| sim.teams[0].offered = 10.0 * sim.teams[0].rate);
}

fn skew(sim: &mut FleetSim) {
    for (index, team) in sim.teams.iter_mut().enumerate() {
        team.skew = (index % 7, 0.8);
    }
}

fn main() {
    measure_cases();
    measure_cost();
}

fn measure_cases() {
    let cases: [(&str, Setup); 10] = [
        ("even balancing", |_| ()),
        ("80% of a team to one host", skew),
        ("one host lost", |sim| {
            sim.schedule(BEGIN, |sim| sim.kill(0, secs(3)));
        }),
        ("one host stopped as planned", |sim| {
            sim.schedule(BEGIN, |sim| sim.stop(0, secs(3)));
        }),
        ("data centre lost", |sim| {
            sim.schedule(BEGIN, |sim| {
                for host in sim.in_centre(0) {
                    sim.kill(host, secs(3));
                }
            });
        }),
        ("data centre cut off", |sim| {
            sim.schedule(BEGIN, |sim| {
                let group = sim.in_centre(0);
                sim.partition(&group, true);
                for host in group {
                    sim.hosts[host].reads_platform = false;
                }
            });
        }),
        ("platform down, one host lost", |sim| {
            sim.schedule(BEGIN, |sim| {
                sim.platform_up = false;
                sim.kill(0, secs(3));
            });
        }),
        ("platform down", |sim| sim.schedule(BEGIN, |sim| sim.platform_up = false)),
        ("one team at 10 times its rate", surge),
        ("10 times, 80% to one host", |sim| {
            skew(sim);
            surge(sim);
        }),
    ];
    println!(
        "| case | scheme | wrongful refusals | worst-served team | team beyond its rate | \
         messages/admitted | bytes/admitted | heartbeat bytes/s/host | mean wait | worst window |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (name, setup) in cases {
        for scheme in [AdmissionScheme::PerHost(1.0 / 7.0), AdmissionScheme::SharedBuckets] {
            report(name, scheme, setup);
        }
    }
}

/// Prints the sums over several runs, because the small teams have few requests in a single run.
fn report(name: &str, scheme: AdmissionScheme, setup: Setup) {
    let mut teams: Vec<TeamStats> = vec![TeamStats::default(); TEAMS.len()];
    let mut is_within = vec![true; TEAMS.len()];
    let (mut messages, mut bytes, mut heartbeat_bytes, mut host_seconds) = (0, 0, 0, 0.0);
    let mut excess = f64::NEG_INFINITY;
    for seed in SEEDS {
        let mut sim = FleetSim::new(seed, &CENTRES, &TEAMS, ViewTiming::default());
        sim.scheme = scheme;
        for team in &mut sim.teams {
            team.offered = team.rate * LOAD;
        }
        setup(&mut sim);
        sim.run_until(BEGIN);
        sim.reset_stats();
        sim.run_until(END);
        for (index, team) in sim.teams.iter().enumerate() {
            teams[index] += team.stats;
            is_within[index] = team.offered <= team.rate;
        }
        messages += sim.token_traffic.0;
        bytes += sim.token_traffic.1;
        heartbeat_bytes += sim.heartbeat_traffic.1;
        host_seconds += sim.hosts.len() as f64 * (END - BEGIN).as_secs_f64();
        excess = excess.max(sim.worst_excess());
    }
    let served = |team: usize| teams[team].admitted as f64 / teams[team].entitled.max(1) as f64;
    let within = (0..TEAMS.len()).filter(|it| is_within[*it]);
    let worst = within.clone().min_by(|a, b| served(*a).total_cmp(&served(*b)));
    let worst = worst.expect("some team is within its rate");
    let offered: u64 = within.clone().map(|it| teams[it].offered).sum();
    let wrongful: u64 = within.map(|it| teams[it].wrongful).sum();
    let beyond = (0..TEAMS.len())
        .find(|it| !is_within[*it])
        .map_or("-".into(), |it| format!("{:.1}%", 100.0 * served(it)));
    let mut sum = TeamStats::default();
    teams.iter().for_each(|it| sum += *it);
    let admitted = sum.admitted.max(1) as f64;
    let scheme = match scheme {
        AdmissionScheme::SharedBuckets => "design",
        AdmissionScheme::PerHost(_) => "rate/n",
    };
    println!(
        "| {name} | {scheme} | {:.2}% | {:.1}% (t{worst}) | {beyond} | {:.2} | {:.0} | {:.0} | {:.2} ms | {:+.2} |",
        100.0 * wrongful as f64 / offered as f64,
        100.0 * served(worst),
        messages as f64 / admitted,
        bytes as f64 / admitted,
        heartbeat_bytes as f64 / host_seconds,
        sum.wait.as_secs_f64() * 1_000.0 / sum.offered as f64,
        excess,
    );
}

/// Prints the processor time per second that one host of the target fleet spends on team limits:
/// 400 hosts in 6 data centres, 440 teams.
fn measure_cost() {
    const SECONDS: u32 = 20;
    let teams = vec![(13.0, 26); 440];
    let states = ["in_service"; 6];
    let catalogue = catalogue(1, &states, &teams);
    let hosts: Vec<HostRecord> = (0..400)
        .map(|index| HostRecord {
            name: format!("router-{index}").as_str().into(),
            address: ([10, 0, (index >> 8) as u8, index as u8], 7_000).into(),
            data_centre: format!("c{}", index % 6).as_str().into(),
            state: HostState::Live,
        })
        .collect();
    let list = HostList { version: 1, hosts: hosts.clone() };
    let start = Instant::now();
    let mut views = ViewTracker::new(hosts[0].clone(), 1, ViewTiming::default(), start);
    let mut gate = ShareGate::new(&hosts[0], secs(17));
    gate.on_catalogue(&catalogue);
    let mut buckets = BucketTable::new();
    let mut cache = TokenCache::new("router-0".into(), 1, "c0".into());
    let mut spent = [Duration::ZERO; 3];
    for second in 0..SECONDS {
        let now = start + secs(second.into());
        let begun = Instant::now();
        views.apply_list(now, now, &list);
        let heartbeat = views.heartbeat(now);
        for peer in views.heartbeat_targets(now) {
            let from = Heartbeat { host: peer.clone(), ..heartbeat.clone() };
            let reply =
                HeartbeatReply { host: peer.clone(), ..views.receive_heartbeat(now, &from) };
            views.receive_reply(now, now, &peer.name, &reply);
        }
        spent[0] += begun.elapsed();
        let begun = Instant::now();
        gate.update(now, &list);
        buckets.tick(now, gate.shares(), |it| views.owns(it.as_str(), now));
        spent[1] += begun.elapsed();
        let begun = Instant::now();
        for team in catalogue.teams().keys() {
            let share = gate.limit_split(team).expect("team is known");
            let _ = cache.acquire(now, now, team, share);
        }
        for step in 0..100 {
            let _ = cache.due_requests(now + step * Duration::from_millis(10));
        }
        spent[2] += begun.elapsed();
    }
    println!();
    for (name, spent) in ["views", "share gate and buckets", "token cache"].iter().zip(spent) {
        println!("{name}: {:.2} ms per second", spent.as_secs_f64() * 1e3 / f64::from(SECONDS));
    }
}
