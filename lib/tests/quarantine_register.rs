//! Number of upstreams that one request can take down, and effect on requests lost with it.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{Options, Rng as SeededDriver},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    names::{TeamName, UpstreamName},
    quarantine::{
        BLOCK_TIME, CrashRegister, CrashStrike, CrashVerdict, InterruptedRun,
        MAX_REGISTERED_REQUESTS, MAX_REMEMBERED_COMPLETIONS, RequestFingerprint, SOUND_TIME,
        WEAK_BLOCK_TIME,
    },
};

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&TeamName::new("team"), body.as_bytes())
}

fn unanswered_run(upstream: &UpstreamName, dispatched: Instant) -> InterruptedRun<'_> {
    InterruptedRun { upstream, incarnation: 1, dispatched, has_response: false, parts: &[] }
}

fn record_loss(
    register: &mut CrashRegister,
    now: Instant,
    fingerprint: RequestFingerprint,
    upstream: &str,
    is_late: bool,
) -> CrashStrike {
    let elapsed_s = if is_late { 60 } else { 1 };
    let run = InterruptedRun {
        upstream: &UpstreamName::new(upstream),
        incarnation: 1,
        dispatched: now - Duration::from_secs(elapsed_s),
        has_response: is_late,
        parts: &[],
    };
    register.record_loss(now, fingerprint, &run).expect("the request did not complete before")
}

/// A request that crashes every upstream, sent through several hosts.
#[derive(Clone, Debug, TypeGenerator)]
struct CrashPlan {
    #[generator(1..6_usize)]
    hosts: usize,
    /// Copies that the caller keeps in flight.
    #[generator(1..5_usize)]
    copies: usize,
    /// Number of sides of a network partition; no strike reaches another side.
    #[generator(1..4_usize)]
    sides: usize,
    is_late: bool,
    /// Each step starts a copy at a host, or lets a running copy crash its upstream.
    #[generator(bolero::produce::<Vec<(u8, bool)>>().with().len(40_usize))]
    steps: Vec<(u8, bool)>,
}

/// Returns the number of lost upstreams.
///
/// `delay` is the number of steps that strikes take to reach the peers after the caller gets the
/// failure; 0 if they arrive before it does.
fn lost_upstreams(plan: &CrashPlan, delay: usize) -> usize {
    let mut now = Instant::now() + BLOCK_TIME;
    let request = fingerprint("request");
    let mut registers: Vec<CrashRegister> = Vec::new();
    registers.resize_with(plan.hosts, CrashRegister::new);
    let mut running: Vec<(usize, UpstreamName)> = Vec::new();
    let mut pending: Vec<(usize, usize, CrashStrike)> = Vec::new();
    let mut lost_count = 0;
    let mut last_upstream = 0;
    for (step, (choice, is_start)) in plan.steps.iter().enumerate() {
        now += Duration::from_secs(if plan.is_late { 4 } else { 1 });
        for (_, host, strike) in pending.iter().filter(|it| it.0 <= step) {
            registers[*host].merge_strike(now, strike);
        }
        pending.retain(|it| it.0 > step);
        let host = usize::from(*choice) % plan.hosts;
        if (*is_start || running.is_empty()) && running.len() < plan.copies {
            last_upstream += 1;
            let upstream = UpstreamName::new(&format!("upstream-{last_upstream}"));
            let may_start = match registers[host].check(now, request) {
                CrashVerdict::Clear => true,
                CrashVerdict::Suspect => registers[host].reserve_trial(request, &upstream),
                CrashVerdict::Blocked { .. } => false,
            };
            if may_start {
                running.push((host, upstream));
            }
        } else if !running.is_empty() {
            let (host, upstream) = running.remove(usize::from(*choice) % running.len());
            lost_count += 1;
            let register = &mut registers[host];
            let strike = record_loss(register, now, request, upstream.as_str(), plan.is_late);
            let peers = (0..plan.hosts).filter(|it| it % plan.sides == host % plan.sides);
            for peer in peers.filter(|it| *it != host) {
                match delay {
                    0 => registers[peer].merge_strike(now, &strike),
                    _ => pending.push((step + delay, peer, strike.clone())),
                }
            }
        }
    }
    lost_count
}

fn plan(seed: u64) -> CrashPlan {
    let options = Options::default().with_max_len(4_096);
    let mut driver = SeededDriver::new(StdRng::seed_from_u64(seed), &options);
    CrashPlan::generate(&mut driver).expect("driver has enough bytes")
}

/// Guards against a request that takes down more upstreams than documented: `c + 1` on each side of
/// a partition with `c` copies in flight, and `c + 2` if it crashes them late.
#[test]
fn one_request_takes_down_few_upstreams() {
    let mut reached_bounds = HashSet::new();
    for seed in 0..3_000 {
        let plan = plan(seed);
        let bound = plan.copies + 1 + usize::from(plan.is_late);
        let sides = plan.sides.min(plan.hosts);
        let lost_count = lost_upstreams(&plan, 0);
        assert!(lost_count <= bound * sides, "seed {seed}: {lost_count} lost, {plan:?}");
        if lost_count == bound && sides == 1 {
            reached_bounds.insert((plan.copies, plan.is_late));
        }
    }
    // The bound is reached, so that a smaller one would be wrong.
    assert!(
        reached_bounds.contains(&(1, false)) && reached_bounds.contains(&(3, false)),
        "{reached_bounds:?}"
    );
    assert!(reached_bounds.contains(&(1, true)), "{reached_bounds:?}");
}

/// Shows that the bound needs the strike to reach the peers before the caller gets the failure.
#[test]
fn late_strikes_exceed_the_bound() {
    let exceeds = |seed| {
        let plan = CrashPlan { copies: 1, sides: 1, is_late: false, ..plan(seed) };
        lost_upstreams(&plan, 5) > 2
    };
    assert!((0..200).any(exceeds));
}

/// Guards against a block that depends on the order or on duplicates of strike messages.
#[test]
fn strikes_merge_idempotently() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now() + BLOCK_TIME;
        let mut strikes: Vec<CrashStrike> = (0..4)
            .map(|number| CrashStrike {
                fingerprint: fingerprint("request"),
                upstream: UpstreamName::new(&format!("upstream-{}", number % 3)),
                incarnation: 1,
                is_prompt: rng.random(),
                age_ms: rng.random_range(0..700_000),
                parts: Vec::new(),
            })
            .collect();
        let mut verdicts = HashSet::new();
        for _ in 0..8 {
            let (a, b) = (rng.random_range(0..strikes.len()), rng.random_range(0..4));
            strikes.swap(a, b);
            let mut register = CrashRegister::new();
            for strike in strikes.iter().chain(&strikes) {
                register.merge_strike(now, strike);
            }
            verdicts.insert(format!("{:?}", register.check(now, fingerprint("request"))));
        }
        assert_eq!(verdicts.len(), 1, "seed {seed}");
    }
}

/// Guards against a long block of an innocent request that was lost twice with its upstream, once
/// after its response had begun.
#[test]
fn companion_is_not_blocked_for_long() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = CrashRegister::new();
    let companion = fingerprint("companion");
    record_loss(&mut register, start, companion, "a", true);
    assert_eq!(register.check(start, companion), CrashVerdict::Suspect);
    record_loss(&mut register, start, companion, "b", false);
    let remaining = WEAK_BLOCK_TIME;
    assert_eq!(register.check(start, companion), CrashVerdict::Blocked { remaining });
    assert_eq!(register.check(start + remaining, companion), CrashVerdict::Suspect);
    let upstream = UpstreamName::new("c");
    let clearance = register.record_completion(start + remaining, companion, &upstream);
    assert_eq!(clearance.map(|it| it.cleared.len()), Some(2));
    assert_eq!(register.check(start + remaining, companion), CrashVerdict::Clear);
}

/// Guards against blocking a common request of which copies ran on two upstreams that were lost
/// together, and against a request that is never blocked because it once completed.
#[test]
fn a_request_that_just_completed_gets_no_strike() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = CrashRegister::new();
    let (common, upstream) = (fingerprint("common"), UpstreamName::new("c"));
    register.record_completion(start, common, &upstream);
    let mut lose = |now, name: &str| {
        let lost = UpstreamName::new(name);
        let strike = register.record_loss(now, common, &unanswered_run(&lost, start));
        // The strike of a peer that has not seen the completion counts no more than an own one.
        let peer_strike = CrashStrike {
            fingerprint: common,
            upstream: UpstreamName::new(&format!("{name} of a peer")),
            incarnation: 1,
            is_prompt: true,
            age_ms: 0,
            parts: Vec::new(),
        };
        register.merge_strike(now, &peer_strike);
        (strike.is_some(), register.check(now, common))
    };
    let soon = start + SOUND_TIME / 2;
    assert_eq!(lose(soon, "a"), (false, CrashVerdict::Clear));
    assert_eq!(lose(soon, "b"), (false, CrashVerdict::Clear));
    let later = start + SOUND_TIME;
    let remaining = BLOCK_TIME;
    assert_eq!(lose(later, "a"), (true, CrashVerdict::Blocked { remaining }));
}

/// Guards against unbounded memory for completions, and against a flood of other requests that
/// makes a common one lose its own.
#[test]
fn remembered_completions_are_bounded() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = CrashRegister::new();
    let upstream = UpstreamName::new("a");
    let complete = |register: &mut CrashRegister, now, body: &str| {
        register.record_completion(now, fingerprint(body), &upstream);
    };
    let strikes = |register: &mut CrashRegister, now, body: &str| {
        let lost = UpstreamName::new("b");
        register.record_loss(now, fingerprint(body), &unanswered_run(&lost, now)).is_some()
    };
    complete(&mut register, start, "common");
    for number in 0..MAX_REMEMBERED_COMPLETIONS {
        complete(&mut register, start, &number.to_string());
    }
    let now = start + SOUND_TIME - Duration::from_millis(1);
    assert!(!strikes(&mut register, now, "common"));
    let last = (MAX_REMEMBERED_COMPLETIONS - 1).to_string();
    assert!(strikes(&mut register, now, &last), "there is no room for the last one");
    // Expired completions make room for new ones.
    complete(&mut register, start + SOUND_TIME, "new");
    assert!(!strikes(&mut register, start + SOUND_TIME, "new"));
}

/// Guards against a second strike for an innocent request that is retried on the same upstream as
/// the cause.
#[test]
fn suspects_run_on_distinct_upstreams() {
    let mut register = CrashRegister::new();
    let (cause, companion) = (fingerprint("cause"), fingerprint("companion"));
    let (b, c) = (UpstreamName::new("b"), UpstreamName::new("c"));
    assert!(register.reserve_trial(cause, &b));
    assert!(!register.reserve_trial(companion, &b));
    assert!(!register.reserve_trial(cause, &c));
    assert!(register.reserve_trial(companion, &c));
    register.release_trial(cause, &b);
    assert!(register.reserve_trial(cause, &b));
}

/// Guards against unbounded growth, and against a burst of single strikes that evicts the cause.
#[test]
fn register_is_bounded_and_keeps_blocked_requests() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = CrashRegister::new();
    let cause = fingerprint("cause");
    record_loss(&mut register, start, cause, "a", false);
    record_loss(&mut register, start, cause, "b", false);
    for number in 0..MAX_REGISTERED_REQUESTS + 100 {
        let now = start + Duration::from_millis(number as u64);
        record_loss(&mut register, now, fingerprint(&number.to_string()), "c", false);
    }
    assert_eq!(register.len(), MAX_REGISTERED_REQUESTS);
    let now = start + Duration::from_secs(10);
    assert!(matches!(register.check(now, cause), CrashVerdict::Blocked { .. }));
    assert_eq!(register.check(now, fingerprint("0")), CrashVerdict::Clear);

    let mut copy = CrashRegister::new();
    register.export_strikes(now).iter().for_each(|it| copy.merge_strike(now, it));
    assert!(matches!(copy.check(now, cause), CrashVerdict::Blocked { .. }));
    copy.expire(start + BLOCK_TIME + Duration::from_secs(10));
    assert!(copy.is_empty());
}
