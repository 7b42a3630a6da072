//! The rules that the team limits depend on, each for a single bucket, token cache or share gate.

mod limits_support;

use std::time::Instant;

use snipepond::{
    limits::{
        AcquireOutcome, BucketSnapshot, BucketTable, CentreShare, GrantAccount, GrantReply,
        GrantRequest, LimitSplit, ShareGate, TeamBucket, TokenCache, UNITS_PER_TOKEN,
    },
    membership::{HostList, HostRecord, HostState},
    names::{CentreName, TeamName},
};

use limits_support::{catalogue, ms, secs};

const SHARE: CentreShare = CentreShare { rate: 10.0, burst: 5 * UNITS_PER_TOKEN };

fn token_request(sequence: u64, tokens: u64, accounts: Vec<GrantAccount>) -> GrantRequest {
    GrantRequest {
        team: "t0".into(),
        borrower: "h1".into(),
        incarnation: 1,
        sequence,
        wanted: tokens * UNITS_PER_TOKEN,
        spare: 0,
        is_partial: false,
        accounts,
    }
}

/// Returns a bucket and a time at which it is full.
fn full_bucket(start: Instant) -> (TeamBucket, Instant) {
    let mut bucket = TeamBucket::new(start);
    for second in 0..=3 {
        bucket.update(start + secs(second), true, SHARE);
    }
    assert_eq!(bucket.level(), SHARE.burst);
    (bucket, start + secs(3))
}

/// Guards against a new owner that refills the bucket while grants of an earlier owner can still
/// be spent.
#[test]
fn new_owner_waits_for_earlier_grants() {
    let start = Instant::now();
    let (mut bucket, now) = full_bucket(start);
    bucket.update(now, false, SHARE);
    assert_eq!((bucket.level(), bucket.outstanding()), (0, 0));
    bucket.update(now, true, SHARE);
    bucket.update(now + ms(1_240), true, SHARE);
    assert_eq!(bucket.level(), 0);
    bucket.update(now + ms(1_450), true, SHARE);
    assert_eq!(bucket.level(), 2 * UNITS_PER_TOKEN);

    // Another host may have been the owner during a gap between updates.
    let (mut bucket, now) = full_bucket(start);
    bucket.update(now + ms(5_001), true, SHARE);
    assert_eq!(bucket.level(), 0);
}

/// Guards against a second grant for a duplicate of a request, or for one that arrives after a
/// later one.
#[test]
fn duplicate_request_gets_the_same_reply() {
    let (mut bucket, now) = full_bucket(Instant::now());
    let first = bucket.grant(now, true, SHARE, &token_request(7, 2, vec![]));
    assert_eq!(first.granted, 2 * UNITS_PER_TOKEN);
    assert_eq!(bucket.grant(now, true, SHARE, &token_request(7, 2, vec![])), first);
    assert_eq!(bucket.grant(now, true, SHARE, &token_request(6, 2, vec![])).granted, 0);
    assert_eq!(bucket.level(), 3 * UNITS_PER_TOKEN);
    assert_eq!(bucket.outstanding(), 2 * UNITS_PER_TOKEN);
}

/// Guards against refill beyond the burst while grants are unspent, and refill that is discarded
/// because spent tokens are reported late.
#[test]
fn refill_counts_outstanding_grants_and_late_reports() {
    let (mut bucket, now) = full_bucket(Instant::now());
    bucket.grant(now, true, SHARE, &token_request(1, 2, vec![]));
    let now = now + ms(500);
    bucket.update(now, true, SHARE);
    assert_eq!(bucket.level(), 3 * UNITS_PER_TOKEN);
    // One token was spent 200 ms ago, so at most one token of the refill since then is restored.
    let account = GrantAccount { sequence: 1, spent: UNITS_PER_TOKEN, returned: 0, age_ms: 200 };
    bucket.grant(now, true, SHARE, &token_request(2, 0, vec![account]));
    assert_eq!(bucket.level(), 4 * UNITS_PER_TOKEN);
    // A duplicate report and a report about an unknown grant change nothing.
    let unknown = GrantAccount { sequence: 9, ..account };
    bucket.grant(now, true, SHARE, &token_request(3, 0, vec![account, unknown]));
    assert_eq!(bucket.level() + bucket.outstanding(), SHARE.burst);
    // A returned token can be granted again.
    let returned = GrantAccount { returned: UNITS_PER_TOKEN, ..account };
    bucket.grant(now, true, SHARE, &token_request(4, 0, vec![returned]));
    assert_eq!((bucket.level(), bucket.outstanding()), (SHARE.burst, 0));
}

/// Guards against refill at the new rate for the time before a share of zero was increased.
#[test]
fn changed_share_is_not_applied_retroactively() {
    let start = Instant::now();
    let mut bucket = TeamBucket::new(start);
    for second in 0..=3 {
        bucket.update(start + secs(second), true, CentreShare::default());
    }
    bucket.update(start + secs(4), true, SHARE);
    assert_eq!(bucket.level(), 0);
    bucket.update(start + ms(4_250), true, SHARE);
    assert_eq!(bucket.level(), 2_500, "250 ms at 10 tokens/s");
    bucket.update(start + secs(5), true, SHARE);
    assert_eq!(bucket.level(), SHARE.burst);
    let half = CentreShare { rate: 5.0, burst: 2 * UNITS_PER_TOKEN };
    bucket.update(start + secs(5), true, half);
    assert_eq!(bucket.level(), 2 * UNITS_PER_TOKEN);
}

/// Guards against spending a grant twice, or after the owner has let it expire.
#[test]
fn cache_spends_each_grant_once_and_in_time() {
    let now = Instant::now();
    let team = TeamName::new("t0");
    let centre = CentreName::new("c0");
    let share = LimitSplit::of(&catalogue(1, &["in_service"], &[(10.0, 5)]), &team).unwrap();
    let mut cache = TokenCache::new("h1".into(), 1, centre.clone());
    let request_from = AcquireOutcome::RequestFrom(vec![centre.clone()]);
    assert_eq!(cache.acquire(now, now, &team, &share), request_from);
    let request = cache.token_request(now, &team, &centre, 1).unwrap();
    assert!(cache.token_request(now, &team, &centre, 1).is_none(), "one request at a time");
    let reply = GrantReply {
        team: team.clone(),
        sequence: request.sequence,
        is_owner: true,
        granted: 3 * UNITS_PER_TOKEN,
        level: 0,
        lifetime_ms: 1_000,
        retry_ms: 0,
        is_tight: true,
    };
    // The late reply is accepted, because the grant has not expired; its duplicate is ignored.
    cache.on_failed(now + ms(100), &team, &centre, request.sequence);
    cache.on_reply(now + ms(600), &centre, &reply);
    cache.on_reply(now + ms(600), &centre, &reply);
    assert_eq!(cache.team(&team).unwrap().unspent(now + ms(999)), 3 * UNITS_PER_TOKEN);
    assert_eq!(cache.acquire(now + ms(999), now, &team, &share), AcquireOutcome::Acquired);
    let late = now + secs(1);
    assert_ne!(cache.acquire(late, late, &team, &share), AcquireOutcome::Acquired);
    // Unused tokens are returned to a contended owner, and debited before the message is sent.
    let later = now + ms(900);
    let (_, request) = cache.due_requests(later).pop().expect("tokens are returned");
    assert_eq!(request.accounts[0].returned, 2 * UNITS_PER_TOKEN);
    assert_eq!(cache.team(&team).unwrap().unspent(later), 0);
}

/// Guards against shares whose sum exceeds the limits while hosts have different revisions.
#[test]
fn increased_share_waits_for_every_host() {
    let start = Instant::now();
    let team = TeamName::new("t0");
    let record = |centre: usize| HostRecord {
        name: format!("h{centre}").as_str().into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        data_centre: format!("c{centre}").as_str().into(),
        state: HostState::Live,
    };
    let hosts = HostList { version: 1, hosts: (0..3).map(record).collect() };
    let live = "in_service";
    // A burst of 2 instead of 3 leaves one data centre without a share and raises the rate of the
    // others.
    let old = catalogue(1, &[live; 3], &[(12.0, 3)]);
    let new = catalogue(2, &[live; 3], &[(12.0, 2)]);
    let mut gates: Vec<ShareGate> =
        (0..3).map(|it| ShareGate::new(&record(it), secs(17))).collect();
    for gate in &mut gates {
        gate.on_catalogue(&old);
        gate.update(start, &hosts);
    }
    let total = |gates: &[ShareGate]| -> f64 { gates.iter().map(|it| it.share(&team).rate).sum() };
    for index in 0..3 {
        gates[index].on_catalogue(&new);
        for (gate, second) in gates.iter_mut().zip(0..) {
            let now = start + secs(10 * index as u64 + second);
            for host in 0..=index {
                gate.record_accepted(&format!("h{host}").as_str().into(), 1, 2);
            }
            gate.update(now, &hosts);
        }
        assert!(total(&gates) <= 12.0, "after {index}");
    }
    assert!(total(&gates) < 9.0, "old grants may be unspent");
    // A process that restarted with an older revision uses the old share again.
    let growing = gates.iter().position(|it| it.share(&team).rate > 0.0).unwrap();
    let other = format!("h{}", (growing + 1) % 3).as_str().into();
    let gate = &mut gates[growing];
    gate.record_accepted(&other, 2, 1);
    gate.update(start + secs(25), &hosts);
    gate.record_accepted(&other, 2, 2);
    gate.update(start + secs(28), &hosts);
    assert_eq!(gate.share(&team).rate, 4.0);
    for gate in &mut gates {
        gate.update(start + secs(30), &hosts);
    }
    assert_eq!(total(&gates), 12.0);
    // A higher rate lowers no share, so it is in force at once.
    gates[0].on_catalogue(&catalogue(3, &[live; 3], &[(24.0, 2)]));
    assert!(total(&gates) > 12.0 || gates[0].share(&team).rate == 0.0);
}

/// Guards against refusals of a team within its rate. A usage report that was sent while a request
/// waited counted as asking the owner for that request's token.
#[test]
fn usage_report_does_not_count_as_asking() {
    let start = Instant::now();
    let (team, centre) = (TeamName::new("t0"), CentreName::new("c0"));
    let share = LimitSplit::of(&catalogue(1, &["in_service"], &[(10.0, 10)]), &team).unwrap();
    let mut cache = TokenCache::new("h1".into(), 1, centre.clone());
    let grant = |sequence: u64, granted: u64| GrantReply {
        team: team.clone(),
        sequence,
        is_owner: true,
        granted,
        level: UNITS_PER_TOKEN,
        lifetime_ms: 1_000,
        retry_ms: 0,
        is_tight: true,
    };
    assert!(matches!(cache.acquire(start, start, &team, &share), AcquireOutcome::RequestFrom(_)));
    let first = cache.token_request(start, &team, &centre, 1).unwrap();
    cache.on_reply(start + ms(1), &centre, &grant(first.sequence, UNITS_PER_TOKEN));
    assert_eq!(cache.acquire(start + ms(1), start, &team, &share), AcquireOutcome::Acquired);
    // A caller request arrives 1 ms before the report of the spent token is sent.
    let arrived = start + ms(25);
    let (_, report) = cache.due_requests(arrived + ms(1)).pop().expect("the spending is reported");
    assert_eq!(report.wanted, 0);
    cache.on_reply(arrived + ms(2), &centre, &grant(report.sequence, 0));
    let outcome = cache.acquire(arrived + ms(2), arrived, &team, &share);
    assert!(matches!(outcome, AcquireOutcome::RequestFrom(_)), "{outcome:?}");
}

/// Guards against tokens that are granted twice after a planned stop, because a handover is
/// applied twice or after the new owner has begun to refill.
#[test]
fn bucket_handover_counts_once() {
    let start = Instant::now();
    let team = TeamName::new("t0");
    let share = CentreShare { rate: 1.0, burst: 10 * UNITS_PER_TOKEN };
    let snapshots = |level: u64, outstanding: u64| {
        let units = UNITS_PER_TOKEN;
        vec![BucketSnapshot {
            team: team.clone(),
            level: level * units,
            outstanding: outstanding * units,
        }]
    };
    let update = |buckets: &mut BucketTable, now: Instant, is_owner: bool| {
        buckets.tick(now, std::iter::once((&team, share)), |_| is_owner);
    };
    let mut buckets = BucketTable::new();
    update(&mut buckets, start, true);
    assert_eq!(buckets.bucket(&team).unwrap().level(), 0);
    buckets.receive_handover(start + ms(10), 7, snapshots(4, 5));
    update(&mut buckets, start + ms(20), true);
    let bucket = buckets.bucket(&team).unwrap();
    assert_eq!((bucket.level(), bucket.outstanding()), (4_000, 5_000));
    // Neither a duplicate of the message nor the handover of another process adds anything.
    buckets.receive_handover(start + ms(30), 7, snapshots(4, 5));
    buckets.receive_handover(start + ms(30), 8, snapshots(10, 0));
    update(&mut buckets, start + ms(40), true);
    let bucket = buckets.bucket(&team).unwrap();
    assert!(bucket.level() < 4_100 && bucket.outstanding() == 5_000);
    // The previous owner's grants expire, and the bucket never holds more than its burst.
    for second in 1..=20 {
        update(&mut buckets, start + secs(second), true);
    }
    let bucket = buckets.bucket(&team).unwrap();
    assert_eq!((bucket.level(), bucket.outstanding()), (10_000, 0));
    // A host that is no longer the owner hands over nothing.
    update(&mut buckets, start + secs(21), false);
    assert!(buckets.take_snapshots(start + secs(21)).is_empty());
}
