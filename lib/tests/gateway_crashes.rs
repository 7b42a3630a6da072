//! Requests that crash the upstreams that run them. All time is simulated.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    gateway::{CrashWatch, LostRun, UpstreamProcess},
    names::{TeamName, UpstreamName},
    quarantine::{CrashVerdict, RequestFingerprint},
};

const MS: Duration = Duration::from_millis(1);

fn process(index: usize) -> UpstreamProcess {
    UpstreamProcess { upstream: UpstreamName::new(&format!("engine-{index}")), incarnation: 1 }
}

fn request(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&TeamName::new("t"), body.as_bytes())
}

fn lost(now: Instant, fingerprint: RequestFingerprint) -> LostRun {
    LostRun { fingerprint, dispatched: now, has_response: false }
}

fn is_blocked(watch: &CrashWatch, now: Instant, fingerprint: RequestFingerprint) -> bool {
    matches!(watch.check(now, fingerprint), CrashVerdict::Blocked { .. })
}

/// Guards against a request that goes on to crash upstreams, also when it is lost before or after the
/// host learns that the upstream refuses connections.
#[test]
fn two_crashes_block_a_request() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    let poison = request("poison");
    watch.lost(now, &process(1), lost(now, poison));
    assert_eq!(watch.check(now, poison), CrashVerdict::Clear, "the upstream may be well");
    watch.refused(now, &process(1));
    assert_eq!(watch.check(now, poison), CrashVerdict::Suspect);
    watch.refused(now, &process(2));
    watch.lost(now, &process(2), lost(now, poison));
    assert!(is_blocked(&watch, now, poison));
    assert_eq!(watch.check(now, request("other")), CrashVerdict::Clear);
}

/// Guards against blocked requests where upstreams reset connections or are cut off but run on.
#[test]
fn losses_without_a_crash_block_nothing() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    for index in 0..10 {
        // Accepted: the upstream runs.
        watch.lost(now, &process(index), lost(now, request("a")));
        watch.accepted(&process(index));
        // Neither accepted nor refused: a partition. A later refusal has another cause.
        watch.lost(now, &process(index), lost(now, request("b")));
        watch.expire(now + 3_000 * MS);
        watch.refused(now + 3_000 * MS, &process(index));
    }
    assert!(watch.is_empty());
}

/// Guards against requests that are blocked because they ran beside one that crashes upstreams.
#[test]
fn a_request_that_completes_is_cleared() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    for index in 0..5 {
        watch.lost(now, &process(index), lost(now, request("innocent")));
        watch.refused(now, &process(index));
        assert!(!is_blocked(&watch, now, request("innocent")));
        watch.completed(now, request("innocent"), &process(9).upstream);
        assert!(watch.told(now).is_empty());
    }
}

/// Guards against a request that is sent again and again through different hosts and crashes an
/// upstream at each, while many others are lost in the same moments.
#[test]
fn all_hosts_learn_of_a_request_that_crashes_upstreams() {
    const HOSTS: usize = 88;
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut watches: Vec<CrashWatch> = (0..HOSTS).map(|_| CrashWatch::default()).collect();
    let poison = request("poison");
    let mut crashes = 0;
    // Digests of a fleet: each host exchanges strikes with another one every half second.
    for round in 0..60_u32 {
        let now = start + 500 * MS * round;
        // Its caller sends it again every second, to any host.
        let host = rng.random_range(0..HOSTS);
        if round % 2 == 0 && !is_blocked(&watches[host], now, poison) {
            crashes += 1;
            let down = process(round as usize);
            watches[host].lost(now, &down, lost(now, poison));
            for index in 0..20 {
                let other = rng.random_range(0..HOSTS);
                let beside = request(&format!("beside {round} {index}"));
                watches[other].lost(now, &down, lost(now, beside));
            }
            watches.iter_mut().for_each(|it| it.refused(now, &down));
        }
        for host in 0..HOSTS {
            let peer = rng.random_range(0..HOSTS);
            let (told, answer) = (watches[host].told(now), watches[peer].told(now));
            watches[peer].take(now, &told);
            watches[host].take(now, &answer);
        }
        watches.iter_mut().for_each(|it| it.expire(now));
    }
    // The operators allow three crashes, and three more sends while hosts learn of them.
    assert!(crashes <= 6, "{crashes} crashes");
    let blocked = watches.iter().filter(|it| is_blocked(it, start + 30_000 * MS, poison)).count();
    assert!(blocked >= HOSTS * 9 / 10, "{blocked} hosts know of it");
}
