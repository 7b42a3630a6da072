//! Measures waits and refusals per team and class, with ordinary traffic and in a surge.
//!
//! `cargo run --release -p snipepond --example schedule_measure [-- SEED]` prints a table for
//! `FairQueue` and for a plain first-in first-out list on the same generated traffic.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::ClassEntry,
    names::{ClassName, TeamName},
    schedule::{FairQueue, PushOutcome, QueueSettings, QueuedRequest},
};

/// Simulated time.
const RUN_MS: u64 = 300_000;

/// Requests that run at the same time on the upstreams of this host.
const UPSTREAM_SLOTS: usize = 40;

const QUEUE_CAPACITY: usize = 512;

/// Teams as (name, class, ordinary rate in requests/s, factor of the surge).
///
/// Ordinary traffic is 8.5 requests/s of 1.05 s each; the slots can serve about 38 requests/s.
const TEAMS: [(&str, &str, f64, f64); 10] = [
    ("large-1", "interactive", 2.0, 10.0),
    ("large-2", "interactive", 1.5, 10.0),
    ("mid-1", "interactive", 0.8, 10.0),
    ("mid-2", "standard", 0.8, 10.0),
    ("mid-3", "standard", 0.8, 10.0),
    ("small-1", "interactive", 0.2, 1.0),
    ("small-2", "interactive", 0.2, 1.0),
    ("small-3", "standard", 0.2, 1.0),
    ("batch-1", "batch", 1.5, 10.0),
    ("batch-2", "batch", 0.5, 1.0),
];

#[derive(Clone, Debug, Default)]
struct TeamFigures {
    pushed: u64,
    refused: u64,
    waits_ms: Vec<u64>,
}

fn class_of(name: &str) -> ClassEntry {
    let (priority, queue_ms) = match name {
        "interactive" => (0, 2_000),
        "standard" => (1, 10_000),
        _ => (2, 120_000),
    };
    ClassEntry { priority, deadline_ms: queue_ms + 10_000, queue_ms, objective: 0.95 }
}

enum Discipline {
    Fair(Box<FairQueue<usize>>),
    Plain(VecDeque<(Instant, usize, Duration)>),
}

impl Discipline {
    /// Returns the refused teams.
    fn push(&mut self, now: Instant, team: usize, work: u64) -> Vec<usize> {
        let (name, class, ..) = TEAMS[team];
        let entry = class_of(class);
        match self {
            Self::Fair(queue) => {
                let (class, name) = (ClassName::new(class), TeamName::new(name));
                let request = QueuedRequest::for_class(
                    now,
                    &class,
                    &entry,
                    &name,
                    1.0,
                    "m".into(),
                    work,
                    team,
                );
                match queue.push(now, request) {
                    PushOutcome::Queued { shed, .. } => {
                        shed.into_iter().map(|it| it.request.payload).collect()
                    }
                    PushOutcome::Refused(refused) => vec![refused.request.payload],
                }
            }
            Self::Plain(list) if list.len() < QUEUE_CAPACITY => {
                list.push_back((now, team, Duration::from_millis(entry.queue_ms)));
                Vec::new()
            }
            Self::Plain(_) => vec![team],
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        match self {
            Self::Fair(queue) => queue.expire(now).iter().map(|it| it.request.payload).collect(),
            Self::Plain(list) => {
                let mut expired = Vec::new();
                list.retain(|(arrival, team, max_wait)| {
                    let is_expired = now - *arrival >= *max_wait;
                    if is_expired {
                        expired.push(*team);
                    }
                    !is_expired
                });
                expired
            }
        }
    }

    fn pop(&mut self, now: Instant) -> Option<(usize, Duration)> {
        match self {
            Self::Fair(queue) => queue.pop(now, |_| true).map(|it| (it.request.payload, it.wait)),
            Self::Plain(list) => list.pop_front().map(|(arrival, team, _)| (team, now - arrival)),
        }
    }
}

fn run(mut discipline: Discipline, seed: u64, has_surge: bool) -> (Vec<TeamFigures>, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut figures = vec![TeamFigures::default(); TEAMS.len()];
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let (mut pop_time, mut pops) = (Duration::ZERO, 0_u32);
    for time in 0..RUN_MS {
        let now = start + Duration::from_millis(time);
        while ends.peek().is_some_and(|it| it.0 <= time) {
            ends.pop();
        }
        for (team, (_, _, rate, surge_factor)) in TEAMS.iter().enumerate() {
            let rate = if has_surge { rate * surge_factor } else { *rate };
            if rng.random_bool(rate / 1000.0) {
                figures[team].pushed += 1;
                let work = rng.random_range(200..2_000);
                for refused in discipline.push(now, team, work) {
                    figures[refused].refused += 1;
                }
            }
        }
        for refused in discipline.expire(now) {
            figures[refused].refused += 1;
        }
        while ends.len() < UPSTREAM_SLOTS {
            let begin = Instant::now();
            let popped = discipline.pop(now);
            pop_time += begin.elapsed();
            pops += 1;
            let Some((team, wait)) = popped else {
                break;
            };
            figures[team].waits_ms.push(wait.as_millis() as u64);
            ends.push(Reverse(time + rng.random_range(100..2_000)));
        }
    }
    (figures, pop_time.as_secs_f64() * 1e6 / f64::from(pops))
}

fn quantile(sorted: &[u64], quantile: f64) -> String {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index).map_or("-".to_owned(), |it| it.to_string())
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
    for has_surge in [false, true] {
        println!(
            "\nseed {seed}, {} s, {}; waits in ms",
            RUN_MS / 1000,
            if has_surge {
                "six teams at ten times their ordinary rate"
            } else {
                "ordinary traffic"
            }
        );
        let fair = Discipline::Fair(Box::new(FairQueue::new(QueueSettings {
            capacity: QUEUE_CAPACITY,
            ..QueueSettings::default()
        })));
        let (fair, fair_cost) = run(fair, seed, has_surge);
        let (plain, _) = run(Discipline::Plain(VecDeque::new()), seed, has_surge);
        println!(
            "{:<8} {:<12} {:>6} | {:>7} {:>7} {:>8} | {:>7} {:>7} {:>8}",
            "team", "class", "req/s", "p50", "p95", "refused", "p50", "p95", "refused"
        );
        for (team, (name, class, rate, surge_factor)) in TEAMS.iter().enumerate() {
            let rate = if has_surge { rate * surge_factor } else { *rate };
            let mut cells = Vec::new();
            for figures in [&fair[team], &plain[team]] {
                let mut waits = figures.waits_ms.clone();
                waits.sort_unstable();
                cells.push(format!(
                    "{:>7} {:>7} {:>7.1}%",
                    quantile(&waits, 0.5),
                    quantile(&waits, 0.95),
                    100.0 * figures.refused as f64 / figures.pushed.max(1) as f64
                ));
            }
            println!("{name:<8} {class:<12} {rate:>6.1} | {} | {}", cells[0], cells[1]);
        }
        let mut classes: BTreeMap<&str, [u64; 4]> = BTreeMap::new();
        for (team, (_, class, ..)) in TEAMS.iter().enumerate() {
            let sums = classes.entry(class).or_default();
            for (index, figures) in [&fair[team], &plain[team]].into_iter().enumerate() {
                sums[2 * index] += figures.pushed;
                sums[2 * index + 1] += figures.refused;
            }
        }
        for (class, [pushed, refused, plain_pushed, plain_refused]) in classes {
            println!(
                "class {class}: refused {:.1}% here, {:.1}% first-in first-out",
                100.0 * refused as f64 / pushed.max(1) as f64,
                100.0 * plain_refused as f64 / plain_pushed.max(1) as f64
            );
        }
        println!("{fair_cost:.2} us per pop");
    }
}
