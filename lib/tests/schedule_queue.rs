//! Fairness, deadlines, shedding and expiry in the queue. All time is simulated.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::ClassEntry,
    names::{ClassName, TeamName},
    schedule::{
        FairQueue, PushOutcome, QueueSettings, QueuedRequest, RefusalReason, StartedRequest,
    },
};

const MS: Duration = Duration::from_millis(1);

fn request(team: &str, priority: u8, work: u64, queue_ms: u64) -> QueuedRequest<u64> {
    QueuedRequest {
        team: team.into(),
        weight: 1.0,
        class: ClassName::new(&format!("class-{priority}")),
        priority,
        target: "model".into(),
        work,
        max_wait: MS * queue_ms as u32,
        deadline: Instant::now() + Duration::from_secs(86_400),
        payload: 0,
    }
}

fn queue(capacity: usize) -> FairQueue<u64> {
    FairQueue::new(QueueSettings { capacity, ..QueueSettings::default() })
}

fn shed_team(outcome: PushOutcome<u64>) -> Option<String> {
    match outcome {
        PushOutcome::Queued { shed, .. } => shed.map(|it| it.request.team.to_string()),
        PushOutcome::Refused(refused) => Some(format!("refused {}", refused.request.team)),
    }
}

/// Baseline for comparison: one bounded list, first in, first out.
struct FifoList {
    entries: VecDeque<(Instant, QueuedRequest<u64>)>,
    capacity: usize,
    refused: HashMap<TeamName, u64>,
}

enum Discipline {
    Fair(FairQueue<u64>),
    Plain(FifoList),
}

impl Discipline {
    fn plain(capacity: usize) -> Self {
        Self::Plain(FifoList { entries: VecDeque::new(), capacity, refused: HashMap::new() })
    }

    fn push(&mut self, now: Instant, request: QueuedRequest<u64>) {
        match self {
            Self::Fair(queue) => drop(queue.push(now, request)),
            Self::Plain(list) if list.entries.len() < list.capacity => {
                list.entries.push_back((now, request));
            }
            Self::Plain(list) => *list.refused.entry(request.team).or_default() += 1,
        }
    }

    fn pop(&mut self, now: Instant) -> Option<StartedRequest<u64>> {
        match self {
            Self::Fair(queue) => {
                queue.expire(now);
                queue.pop(now, |_| true)
            }
            Self::Plain(list) => loop {
                let (arrival, request) = list.entries.pop_front()?;
                let wait = now - arrival;
                if wait < request.max_wait {
                    break Some(StartedRequest { request, wait });
                }
                *list.refused.entry(request.team).or_default() += 1;
            },
        }
    }

    fn refused(&self, team: &TeamName) -> u64 {
        match self {
            Self::Fair(queue) => {
                queue.reports().filter(|it| it.team == team).map(|it| it.stats.refused()).sum()
            }
            Self::Plain(list) => list.refused.get(team).copied().unwrap_or(0),
        }
    }
}

/// Returns the largest number of refusals of a team and the longest wait in ms, of nine teams with
/// the ordinary rate while a tenth one sends ten times as much.
///
/// The server can serve 120% of the ordinary load of all ten.
fn surge_outcome(mut discipline: Discipline, seed: u64) -> (u64, u128) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let teams: Vec<TeamName> = (0..10).map(|it| TeamName::new(&format!("team-{it}"))).collect();
    let mut longest_wait_ms = 0;
    let mut credit = 0.0;
    for _ in 0..20_000 {
        for (index, team) in teams.iter().enumerate() {
            let rate = if index == 9 { 0.2 } else { 0.02 };
            if rng.random_bool(rate) {
                discipline.push(now, request(team.as_str(), 1, 100, 2_000));
            }
        }
        now += MS;
        credit += 0.24;
        while credit >= 1.0 {
            credit -= 1.0;
            if let Some(started) = discipline.pop(now)
                && started.request.team != teams[9]
            {
                longest_wait_ms = longest_wait_ms.max(started.wait.as_millis());
            }
        }
    }
    let refused = teams[..9].iter().map(|it| discipline.refused(it)).max();
    (refused.unwrap_or(0), longest_wait_ms)
}

/// Time in which 0.24 requests per ms serve ten requests of each of the ten teams.
const MAX_WAIT_MS: u128 = 417;

/// Guards against a surging team that delays or displaces requests of the others.
#[test]
fn surge_of_one_team_does_not_touch_the_others() {
    for seed in 0..3 {
        let (refused, longest_wait_ms) = surge_outcome(Discipline::Fair(queue(200)), seed);
        assert_eq!(refused, 0, "seed {seed}");
        assert!(longest_wait_ms <= MAX_WAIT_MS, "seed {seed}: longest wait {longest_wait_ms} ms");
        let (refused, longest_wait_ms) = surge_outcome(Discipline::plain(200), seed);
        assert!(refused > 0 && longest_wait_ms > MAX_WAIT_MS, "a plain list must fail this check");
    }
}

/// Returns the longest wait of urgent requests in ms, and the numbers of patient requests that were
/// served and that expired.
///
/// `urgent` is the urgent load as a share of the server's capacity. There is always patient work.
fn mixed_outcome(
    mut queue: FairQueue<u64>,
    urgent: f64,
    urgent_priority: u8,
) -> (u128, usize, usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut now = Instant::now();
    let (mut longest_wait_ms, mut patient, mut expired) = (0, 0, 0);
    for _ in 0..20_000 {
        if rng.random_bool(urgent) {
            queue.push(now, request("urgent", urgent_priority, 100, 200));
        }
        if rng.random_bool(0.5) {
            queue.push(now, request("patient", 2, 100, 4_000));
        }
        now += MS;
        let refused = queue.expire(now);
        expired += refused.iter().filter(|it| it.request.team.as_str() == "patient").count();
        if let Some(started) = queue.pop(now, |_| true) {
            if started.request.team.as_str() == "urgent" {
                longest_wait_ms = longest_wait_ms.max(started.wait.as_millis());
            } else {
                patient += 1;
            }
        }
    }
    (longest_wait_ms, patient, expired)
}

/// Guards against urgent requests that wait behind a backlog of less urgent ones.
#[test]
fn urgent_work_meets_its_deadline_beside_a_backlog() {
    let (longest_wait_ms, patient, _) = mixed_outcome(queue(100), 0.8, 0);
    assert!(longest_wait_ms <= 60, "longest wait {longest_wait_ms} ms");
    assert!(patient > 2_000);
    let (longest_wait_ms, _, _) = mixed_outcome(queue(100), 0.8, 2);
    assert!(longest_wait_ms > 60, "equal priorities must fail this check");
}

/// Guards against starvation of patient requests by urgent work that fills the server.
///
/// Patient requests keep 25 protected slots and become overdue after 2 s, so that at least 25 of
/// them start in 2.5 s, and none that is in the queue expires.
#[test]
fn patient_work_is_served_in_the_end() {
    let (_, patient, expired) = mixed_outcome(queue(100), 1.0, 0);
    assert!(patient >= 175 && expired == 0, "{patient} served, {expired} expired");
    let starving = FairQueue::new(QueueSettings { capacity: 100, max_overdue_skips: u32::MAX });
    let (_, patient, expired) = mixed_outcome(starving, 1.0, 0);
    assert!(patient < 175 && expired > 0, "strict priority must fail this check");
}

/// Guards against an overdue request that is still served after the next higher class.
#[test]
fn overdue_request_counts_as_one_priority_higher() {
    let start = Instant::now();
    let mut queue = queue(10);
    queue.push(start, request("slow", 1, 1, 100));
    queue.push(start + 40 * MS, request("fast", 0, 1, 1_000));
    let mut early = queue.clone();
    let started = early.pop(start + 49 * MS, |_| true).expect("two wait");
    assert_eq!(started.request.team.as_str(), "fast");
    // Both count as priority 0 from now on, and the older one starts first.
    let started = queue.pop(start + 50 * MS, |_| true).expect("two wait");
    assert_eq!(started.request.team.as_str(), "slow");
}

/// Guards against a surging team whose overdue requests raise its class above the next higher one.
#[test]
fn team_above_its_share_does_not_raise_its_class() {
    let start = Instant::now();
    for (count, first) in [(10, "low"), (11, "high")] {
        let mut queue = queue(20);
        for _ in 0..count {
            queue.push(start, request("low", 1, 1, 100));
        }
        queue.push(start + 40 * MS, request("high", 0, 1, 1_000));
        let started = queue.pop(start + 50 * MS, |_| true).expect("many wait");
        assert_eq!(started.request.team.as_str(), first, "{count} of 20 slots");
    }
}

/// Guards against a service order that ignores the weight of teams or the work of requests.
#[test]
fn backlogged_teams_share_by_weight_and_work() {
    let now = Instant::now();
    let mut queue = queue(10_000);
    for _ in 0..3_000 {
        queue.push(now, request("small", 1, 50, 60_000));
        queue.push(now, request("large", 1, 200, 60_000));
        let mut heavy = request("heavy", 1, 100, 60_000);
        heavy.weight = 3.0;
        queue.push(now, heavy);
    }
    let mut work: HashMap<String, u64> = HashMap::new();
    for _ in 0..3_000 {
        let started = queue.pop(now, |_| true).expect("many wait");
        *work.entry(started.request.team.to_string()).or_default() += started.request.work;
    }
    let unit = work["small"] as f64;
    assert!((work["large"] as f64 / unit - 1.0).abs() < 0.02, "{work:?}");
    assert!((work["heavy"] as f64 / unit - 3.0).abs() < 0.05, "{work:?}");
}

/// Guards against a service order that favours a team with never more than one queued request.
#[test]
fn one_request_at_a_time_gives_no_advantage() {
    let now = Instant::now();
    let mut queue = queue(1_000);
    for _ in 0..900 {
        queue.push(now, request("many", 1, 100, 60_000));
    }
    let mut single = 0;
    queue.push(now, request("single", 1, 100, 60_000));
    for _ in 0..400 {
        let started = queue.pop(now, |_| true).expect("many wait");
        if started.request.team.as_str() == "single" {
            single += 1;
            queue.push(now, request("single", 1, 100, 60_000));
        }
    }
    assert!((199..=201).contains(&single), "{single} of 400");
}

/// Guards against a busy model that blocks requests for another model, also within a team.
#[test]
fn busy_target_does_not_block_others() {
    let now = Instant::now();
    let mut queue = queue(10);
    for target in ["busy", "busy", "free"] {
        let mut item = request("team", 1, 1, 1_000);
        item.target = Arc::from(target);
        queue.push(now, item);
    }
    let mut offered = Vec::new();
    let started = queue.pop(now, |it| {
        offered.push(it.target.to_string());
        &*it.target == "free"
    });
    assert_eq!(started.map(|it| it.request.target.to_string()), Some("free".into()));
    assert_eq!(offered, ["busy", "free"]);
    assert!(queue.pop(now, |it| &*it.target == "free").is_none());
    assert_eq!(queue.len(), 2);
}

/// Guards against a full queue that keeps the lowest class, or lets a team displace all others.
#[test]
fn full_queue_sheds_low_classes_within_the_fair_share() {
    let now = Instant::now();
    let mut queue = queue(8);
    for _ in 0..3 {
        queue.push(now, request("a", 1, 1, 1_000));
    }
    for _ in 0..5 {
        queue.push(now, request("b", 2, 1, 1_000));
    }
    // Team a has 3 of its fair 4 slots; b is above its share and has the lower class.
    for _ in 0..3 {
        let outcome = queue.push(now, request("a", 0, 1, 1_000));
        assert_eq!(shed_team(outcome), Some("b".into()));
    }
    // Team b has only its protected half, so that a loses its own lowest class from now on.
    assert_eq!(queue.team_len(&"b".into()), 2);
    for _ in 0..3 {
        let outcome = queue.push(now, request("a", 0, 1, 1_000));
        assert_eq!(shed_team(outcome), Some("a".into()));
    }
    let outcome = queue.push(now, request("a", 0, 1, 1_000));
    assert_eq!(shed_team(outcome), Some("refused a".into()));
    // A team without queued requests gets a slot from the team above its share.
    let outcome = queue.push(now, request("c", 2, 1, 1_000));
    assert_eq!(shed_team(outcome), Some("a".into()));
    assert_eq!(queue.len(), 8);
}

/// Guards against requests that wait forever, and against a wrong reason in the refusal.
#[test]
fn waiting_requests_expire_with_their_reason() {
    let start = Instant::now();
    let mut queue = queue(10);
    let class = ClassEntry { priority: 0, deadline_ms: 300, queue_ms: 100, objective: 0.95 };
    let (name, team) = (ClassName::new("chat"), TeamName::new("team"));
    for (number, queue_ms) in [100, 1_000].into_iter().enumerate() {
        let entry = ClassEntry { queue_ms, ..class.clone() };
        let target = Arc::from("model");
        let item =
            QueuedRequest::for_class(start, &name, &entry, &team, 1.0, target, 1, number as u64);
        queue.push(start, item);
    }
    assert_eq!(queue.next_expiry(), Some(start + 100 * MS));
    assert!(queue.expire(start + 99 * MS).is_empty());
    let expired = queue.expire(start + 100 * MS);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].reason, RefusalReason::WaitedTooLong);
    // An expired request never starts, even before `expire` has removed it.
    assert!(queue.pop(start + 300 * MS, |_| true).is_none());
    let expired = queue.expire(start + 300 * MS);
    assert_eq!(expired[0].reason, RefusalReason::DeadlinePassed);
    assert!(queue.is_empty() && queue.next_expiry().is_none());
    let worst = queue.worst_served().expect("one team is known");
    assert_eq!((worst.team, worst.stats.refused()), (&team, 2));
}

/// Guards against lost, duplicated or reordered requests and wrong counters, by random operations.
#[test]
fn every_request_leaves_exactly_once() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let capacity = rng.random_range(1..30);
        let mut queue = queue(capacity);
        let mut now = Instant::now();
        let mut pushed = 0_u64;
        let mut removed: Vec<u64> = Vec::new();
        let mut last_started: HashMap<(String, u8), u64> = HashMap::new();
        let mut waiting: Vec<(u64, u64)> = Vec::new();
        for _ in 0..600 {
            match rng.random_range(0..10) {
                0..=5 => {
                    let team = format!("team-{}", rng.random_range(0..4));
                    let mut item = request(&team, rng.random_range(0..3), 10, 40);
                    item.payload = pushed;
                    item.weight = f64::from(rng.random_range(1..4));
                    pushed += 1;
                    let payload = item.payload;
                    match queue.push(now, item) {
                        PushOutcome::Queued { number, shed } => {
                            waiting.push((number, payload));
                            removed.extend(shed.map(|it| it.request.payload));
                        }
                        PushOutcome::Refused(refused) => removed.push(refused.request.payload),
                    }
                }
                6..=7 => {
                    if let Some(started) = queue.pop(now, |_| true) {
                        let request = started.request;
                        let key = (request.team.to_string(), request.priority);
                        if let Some(last) = last_started.insert(key, request.payload) {
                            assert!(last < request.payload, "seed {seed}: order of a team");
                        }
                        removed.push(request.payload);
                    }
                }
                8 => {
                    let index = rng.random_range(0..waiting.len().max(1));
                    if let Some((number, payload)) = waiting.get(index)
                        && let Some(request) = queue.cancel(*number)
                    {
                        assert_eq!(request.payload, *payload);
                        removed.push(request.payload);
                    }
                }
                _ => removed.extend(queue.expire(now).iter().map(|it| it.request.payload)),
            }
            now += MS * rng.random_range(0..4);
            assert!(queue.len() <= capacity);
            let by_team: usize =
                (0..4).map(|it| queue.team_len(&TeamName::new(&format!("team-{it}")))).sum();
            assert_eq!(by_team, queue.len());
        }
        let counted: u64 = queue
            .reports()
            .map(|it| it.stats.started + it.stats.refused() + it.stats.cancelled)
            .sum();
        assert_eq!(counted, removed.len() as u64, "seed {seed}");
        removed.extend(queue.drain().iter().map(|it| it.payload));
        removed.sort_unstable();
        assert!(removed.iter().copied().eq(0..pushed), "seed {seed}");
    }
}
