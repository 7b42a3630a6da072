//! Detection of requests that crash upstreams. All time is simulated.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    gateway::{CrashDetector, LostAttempt, STRIKE_FANOUT, UpstreamProcess},
    names::{TeamName, UpstreamName},
    quarantine::{CrashVerdict, RequestFingerprint},
};

const MS: Duration = Duration::from_millis(1);

fn process(index: usize) -> UpstreamProcess {
    UpstreamProcess { upstream: UpstreamName::new(&format!("engine-{index}")), incarnation: 1 }
}

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&TeamName::new("t"), body.as_bytes())
}

fn lost_attempt(now: Instant, fingerprint: RequestFingerprint) -> LostAttempt {
    LostAttempt { fingerprint, parts: Vec::new(), dispatched: now, has_response: false }
}

fn is_blocked(detector: &CrashDetector, now: Instant, fingerprint: RequestFingerprint) -> bool {
    matches!(detector.check(now, fingerprint), CrashVerdict::Blocked { .. })
}

/// Guards against a request that crashes further upstreams, whether it is lost before or after the
/// upstream first refuses a connection.
#[test]
fn two_crashes_block_a_request() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    let poison = fingerprint("poison");
    detector.record_loss(now, &process(1), lost_attempt(now, poison));
    assert_eq!(detector.check(now, poison), CrashVerdict::Clear, "the upstream may still run");
    detector.record_refused_connection(now, &process(1));
    assert_eq!(detector.check(now, poison), CrashVerdict::Suspect);
    detector.record_refused_connection(now, &process(2));
    detector.record_loss(now, &process(2), lost_attempt(now, poison));
    assert!(is_blocked(&detector, now, poison));
    assert_eq!(detector.check(now, fingerprint("other")), CrashVerdict::Clear);
}

/// Guards against blocking requests whose upstreams only reset connections, or are behind a
/// partition.
#[test]
fn losses_without_a_crash_block_nothing() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for index in 0..10 {
        // A connection is accepted, so the upstream still runs.
        detector.record_loss(now, &process(index), lost_attempt(now, fingerprint("a")));
        detector.record_accepted_connection(&process(index));
        // Behind a partition, connections are neither accepted nor refused. A much later refusal
        // has another cause.
        detector.record_loss(now, &process(index), lost_attempt(now, fingerprint("b")));
        detector.expire(now + 3_000 * MS);
        detector.record_refused_connection(now + 3_000 * MS, &process(index));
    }
    assert!(detector.is_empty());
}

/// Guards against blocking requests that were running at the same upstreams as one that crashes
/// them.
#[test]
fn a_request_that_completes_is_cleared() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for index in 0..5 {
        detector.record_loss(now, &process(index), lost_attempt(now, fingerprint("innocent")));
        detector.record_refused_connection(now, &process(index));
        assert!(!is_blocked(&detector, now, fingerprint("innocent")));
        detector.record_completion(now, fingerprint("innocent"), &process(9).upstream);
        assert!(detector.strikes_to_send(now).is_empty());
    }
}

/// Lets each host exchange strikes and clearances with a random other one, as the gossip does every
/// half second.
fn exchange(detectors: &mut [CrashDetector], rng: &mut StdRng, now: Instant) {
    for host in 0..detectors.len() {
        let peer = rng.random_range(0..detectors.len());
        let (sent, reply) =
            (detectors[host].strikes_to_send(now), detectors[peer].strikes_to_send(now));
        let (cleared, reply_cleared) =
            (detectors[host].clearances_to_send(now), detectors[peer].clearances_to_send(now));
        detectors[peer].merge_clearances(now, &cleared);
        detectors[peer].merge_strikes(now, &sent);
        detectors[host].merge_clearances(now, &reply_cleared);
        detectors[host].merge_strikes(now, &reply);
    }
    detectors.iter_mut().for_each(|it| it.expire(now));
}

/// Guards against a blocked request that crashes upstreams again because hosts that were restarted,
/// paused or cut off when it got its strikes never learn of them.
#[test]
fn hosts_that_missed_the_strikes_learn_of_a_blocked_request() {
    const HOSTS: usize = 295;
    let mut rng = StdRng::seed_from_u64(4);
    let mut now = Instant::now();
    let mut detectors: Vec<CrashDetector> = (0..HOSTS).map(|_| CrashDetector::default()).collect();
    let poison = fingerprint("poison");
    for (index, detector) in detectors.iter_mut().enumerate().take(2) {
        detector.record_loss(now, &process(index), lost_attempt(now, poison));
        detector.record_refused_connection(now, &process(index));
    }
    // Half of the hosts receive nothing until the strikes are old.
    for _ in 0..20 {
        now += 500 * MS;
        exchange(&mut detectors[..HOSTS / 2], &mut rng, now);
    }
    assert!(!is_blocked(&detectors[HOSTS - 1], now, poison));
    // The operators allow a host 3 s after a start or a partition.
    for _ in 0..6 {
        now += 500 * MS;
        exchange(&mut detectors, &mut rng, now);
    }
    let blocked = detectors.iter().filter(|it| is_blocked(it, now, poison)).count();
    assert_eq!(blocked, HOSTS);
}

/// Lets the hosts that have news send it to some others at once, and those in turn.
fn broadcast(detectors: &mut [CrashDetector], rng: &mut StdRng, now: Instant) {
    while let Some(host) = (0..detectors.len()).find(|it| detectors[*it].take_news()) {
        for _ in 0..STRIKE_FANOUT {
            let peer = rng.random_range(0..detectors.len());
            let sent = detectors[host].strikes_to_send(now);
            detectors[peer].merge_strikes(now, &sent);
        }
    }
}

/// Guards against a request that crashes one upstream after the other, through another host each time,
/// before the next digest tells the strikes: after all hosts have lost their memory at once, and with
/// many hosts.
#[test]
fn strikes_reach_all_hosts_before_the_request_comes_again() {
    const CRASH_DELAY: Duration = Duration::from_millis(60);
    for seed in 0..60 {
        let hosts = [7, 88, 295][seed as usize % 3];
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut detectors: Vec<CrashDetector> =
            (0..hosts).map(|_| CrashDetector::default()).collect();
        let poison = fingerprint("poison");
        let mut running: Vec<(Instant, usize)> = Vec::new();
        let mut sent = 0;
        for tick in 0..1_000_u32 {
            let now = start + 10 * MS * tick;
            for (_, host) in running.extract_if(.., |(ends_at, _)| *ends_at <= now) {
                sent += 1;
                let down = process(sent);
                detectors[host].record_loss(now, &down, lost_attempt(now, poison));
                detectors[host].record_refused_connection(now, &down);
            }
            broadcast(&mut detectors, &mut rng, now);
            if tick % 50 == 0 {
                exchange(&mut detectors, &mut rng, now);
            }
            // Its caller sends it some two times a second.
            let host = rng.random_range(0..hosts);
            if rng.random_bool(0.02) && !is_blocked(&detectors[host], now, poison) {
                running.push((now + CRASH_DELAY, host));
            }
        }
        // The operators allow three.
        assert!(sent <= 3, "seed {seed}: sent {sent} times");
        assert!(detectors.iter().all(|it| is_blocked(it, start + 10_000 * MS, poison)));
    }
}

/// Guards against blocking a request that was lost twice, and completed at another host in between.
#[test]
fn a_completion_clears_the_strikes_of_all_hosts() {
    const HOSTS: usize = 88;
    let mut rng = StdRng::seed_from_u64(5);
    let mut now = Instant::now();
    let mut detectors: Vec<CrashDetector> = (0..HOSTS).map(|_| CrashDetector::default()).collect();
    let innocent = fingerprint("innocent");
    detectors[1].record_loss(now, &process(1), lost_attempt(now, innocent));
    detectors[1].record_refused_connection(now, &process(1));
    for _ in 0..8 {
        now += 500 * MS;
        exchange(&mut detectors, &mut rng, now);
    }
    assert!(detectors.iter().all(|it| it.check(now, innocent) == CrashVerdict::Suspect));
    detectors[2].record_completion(now, innocent, &process(2).upstream);
    for _ in 0..8 {
        now += 500 * MS;
        exchange(&mut detectors, &mut rng, now);
    }
    assert!(detectors.iter().all(CrashDetector::is_empty));
}

/// Guards against a request that is retried through different hosts and crashes an upstream each
/// time, while many other requests are lost in the same crashes.
#[test]
fn all_hosts_learn_of_a_request_that_crashes_upstreams() {
    const HOSTS: usize = 88;
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut detectors: Vec<CrashDetector> = (0..HOSTS).map(|_| CrashDetector::default()).collect();
    let poison = fingerprint("poison");
    let mut crashes = 0;
    // Each host exchanges strikes with another one every half second.
    for round in 0..60_u32 {
        let now = start + 500 * MS * round;
        // Its caller retries it every second at a random host.
        let host = rng.random_range(0..HOSTS);
        if round % 2 == 0 && !is_blocked(&detectors[host], now, poison) {
            crashes += 1;
            let down = process(round as usize);
            detectors[host].record_loss(now, &down, lost_attempt(now, poison));
            for index in 0..20 {
                let other_host = rng.random_range(0..HOSTS);
                let other_request = fingerprint(&format!("beside {round} {index}"));
                detectors[other_host].record_loss(now, &down, lost_attempt(now, other_request));
            }
            detectors.iter_mut().for_each(|it| it.record_refused_connection(now, &down));
        }
        exchange(&mut detectors, &mut rng, now);
    }
    // The operators allow three crashes, and three more while hosts receive the strikes.
    assert!(crashes <= 6, "{crashes} crashes");
    let blocked = detectors.iter().filter(|it| is_blocked(it, start + 30_000 * MS, poison)).count();
    assert!(blocked >= HOSTS * 9 / 10, "{blocked} hosts block it");
}
