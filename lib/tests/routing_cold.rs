//! Cold allowance over all hosts, and the begin and end of a cold start. All time is simulated.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::Catalogue,
    names::{HostName, ModelName, UpstreamName},
    routing::{
        ColdChange, ColdLimiter, ColdNotice, ColdPhase, ColdReason, FinishKind, HostSet,
        LoadReport, PickOutcome, PickRequest, PickTarget, RoutingSettings, UpstreamPicker,
        cold_slots,
    },
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn host(index: usize) -> HostName {
    HostName::new(&format!("host-{index}"))
}

/// Guards against slots that no host or two hosts have, although all hosts have the same list.
#[test]
fn shares_sum_to_the_allowance() {
    for count in 1..20 {
        let host_sets: Vec<HostSet> = vec![(0..count).map(host).collect()];
        for allowance in [0, 1, 3, 7, 40] {
            let upstream = UpstreamName::new(&format!("engine-{allowance}"));
            let shares: Vec<u32> = (0..count)
                .map(|it| cold_slots(&host(it), &upstream, allowance, &host_sets))
                .collect();
            assert_eq!(shares.iter().sum::<u32>(), allowance);
            assert!(shares.iter().max().unwrap() - shares.iter().min().unwrap() <= 1);
        }
    }
    assert_eq!(
        cold_slots(&host(0), &"engine".into(), 9, &[]),
        0,
        "a process that has just started has no slot"
    );
}

/// Returns the largest sum of slots over all hosts as a multiple of the allowance.
///
/// The host list changes, and each host follows it with its own lag of up to 16 s. A host takes
/// into account the lists that it had in force during the last `window` seconds.
fn max_slot_ratio(seed: u64, window: usize) -> f64 {
    const HOSTS: usize = 12;
    const SECONDS: usize = 400;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut live: HashSet<usize> = (0..HOSTS).collect();
    let mut list_versions: Vec<HostSet> = Vec::new();
    for _ in 0..SECONDS {
        if rng.random_bool(0.15) {
            // Sometimes half of the list is replaced at once.
            for _ in 0..if rng.random_bool(0.1) { HOSTS / 2 } else { 1 } {
                let index = rng.random_range(0..HOSTS);
                if !live.remove(&index) {
                    live.insert(index);
                }
            }
        }
        list_versions.push(live.iter().map(|it| host(*it)).collect());
    }
    // Version of the list that each host has in force at each second; a host may skip versions.
    let mut in_force = vec![Vec::new(); HOSTS];
    for versions in &mut in_force {
        let mut version = 0;
        let mut lag = rng.random_range(0..=16);
        for second in 0..SECONDS {
            if rng.random_bool(0.2) {
                lag = rng.random_range(0..=16);
            }
            version = version.max(second.saturating_sub(lag));
            versions.push(version);
        }
    }
    let (allowance, upstream) = (5, UpstreamName::new("engine"));
    let mut max_ratio = 0.0_f64;
    for second in 40..SECONDS {
        let sum: u32 = (0..HOSTS)
            .map(|index| {
                let versions: HashSet<usize> =
                    in_force[index][second - window..=second].iter().copied().collect();
                let host_sets: Vec<HostSet> =
                    versions.iter().map(|it| list_versions[*it].clone()).collect();
                cold_slots(&host(index), &upstream, allowance, &host_sets)
            })
            .sum();
        max_ratio = max_ratio.max(f64::from(sum) / f64::from(allowance));
    }
    max_ratio
}

/// Guards against an allowance that is exceeded because hosts have different lists in force.
#[test]
fn disagreeing_lists_do_not_exceed_the_allowance() {
    let latest_only = (0..12).map(|seed| max_slot_ratio(seed, 0)).fold(0.0, f64::max);
    assert!(latest_only > 1.0, "the latest list alone must fail this check");
    for seed in 0..12 {
        let ratio = max_slot_ratio(seed, 17);
        assert!(ratio <= 1.0, "seed {seed}: {ratio} times the allowance");
    }
}

fn limiter() -> ColdLimiter {
    ColdLimiter::new(host(0), 30 * SECOND, 2 * SECOND)
}

/// Guards against a cold start that ends too early or never.
#[test]
fn cold_start_ends_after_warmup_or_by_report() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let warmup = 10 * SECOND;
    let mut limiter = limiter();
    assert_eq!(limiter.phase(start, &engine, warmup), ColdPhase::Unknown);
    limiter.apply_report(start, &engine, 1, false, false);
    assert_eq!(limiter.phase(start, &engine, warmup), ColdPhase::Warm(1.0));
    // The new incarnation announced no cold start, so `cold: false` does not make it warm.
    let notice =
        limiter.apply_report(start, &engine, 2, true, false).expect("the incarnation is new");
    assert_eq!(notice.change, ColdChange::Started(ColdReason::NewIncarnation));
    limiter.apply_report(start + SECOND, &engine, 2, false, false);
    let cold = ColdPhase::Cold(ColdReason::NewIncarnation);
    assert_eq!(limiter.phase(start + 900 * SECOND, &engine, warmup), cold);
    let later = start + 901 * SECOND;
    let notice =
        limiter.record_response(later, &engine).expect("the first response is sent to the peers");
    assert_eq!(notice.change, ColdChange::Responded);
    assert_eq!(limiter.record_response(later + SECOND, &engine), None);
    assert_eq!(limiter.phase(later + warmup - MS, &engine, warmup), cold);
    assert_eq!(limiter.phase(later + warmup, &engine, warmup), ColdPhase::Warm(0.1));
    assert_eq!(limiter.phase(later + warmup + 30 * SECOND, &engine, warmup), ColdPhase::Warm(1.0));
    // If the upstream announced its cold start, a report can end it.
    limiter.apply_report(later, &engine, 2, false, true);
    assert_eq!(limiter.phase(later, &engine, warmup), ColdPhase::Cold(ColdReason::Announced));
    limiter.apply_report(later + SECOND, &engine, 2, false, false);
    assert!(matches!(limiter.phase(later + SECOND, &engine, warmup), ColdPhase::Warm(_)));
}

/// Guards against effects of notices that arrive late, twice or for another incarnation.
#[test]
fn late_notices_change_nothing() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let mut limiter = limiter();
    limiter.apply_report(start, &engine, 1, false, false);
    let notice = |incarnation, change| ColdNotice {
        upstream: engine.clone(),
        incarnation: Some(incarnation),
        change,
    };
    let started = ColdChange::Started(ColdReason::NewIncarnation);
    limiter.apply_notice(start, &notice(2, started));
    limiter.apply_notice(start, &notice(1, ColdChange::Responded));
    let cold = ColdPhase::Cold(ColdReason::NewIncarnation);
    assert_eq!(limiter.phase(start + 900 * SECOND, &engine, SECOND), cold);
    assert_eq!(limiter.cold_notices().len(), 1);
    let later = start + 900 * SECOND;
    limiter.apply_notice(later, &notice(2, ColdChange::Responded));
    limiter.apply_notice(later + 5 * MS, &notice(2, ColdChange::Responded));
    assert_eq!(limiter.cold_notices().len(), 2);
    assert_eq!(limiter.phase(later + SECOND, &engine, SECOND), ColdPhase::Warm(0.1));
    limiter.apply_notice(later + SECOND, &notice(2, started));
    assert_eq!(limiter.phase(later + SECOND, &engine, SECOND), ColdPhase::Warm(0.1));
}

/// Guards against a broken connection that the next report undoes, although this report may be
/// older than the break.
#[test]
fn broken_connection_limits_until_a_younger_report() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let mut limiter = limiter();
    limiter.apply_report(start, &engine, 1, false, false);
    limiter.record_break(start, &engine);
    // A response that completes must not limit the upstream for the whole warm-up time.
    assert_eq!(limiter.record_response(start, &engine), None);
    limiter.apply_report(start + 1999 * MS, &engine, 1, false, false);
    assert_eq!(limiter.phase(start + 1999 * MS, &engine, 10 * SECOND), ColdPhase::Unknown);
    limiter.apply_report(start + 2 * SECOND, &engine, 1, false, false);
    assert_eq!(limiter.phase(start + 2 * SECOND, &engine, 10 * SECOND), ColdPhase::Warm(1.0));
}

/// Guards against a picker that does not report a broken connection to the cold limiter.
#[test]
fn picker_limits_after_a_broken_connection() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let mut picker = UpstreamPicker::new(RoutingSettings::default(), host(0), "dc".into());
    picker.apply_report(start, &engine, &LoadReport::default());
    for (kind, phase) in [
        (FinishKind::Cancelled, ColdPhase::Warm(1.0)),
        (FinishKind::UpstreamLost, ColdPhase::Unknown),
    ] {
        picker.record_end(start, &engine, 0, kind);
        assert_eq!(picker.cold_phase(start, &engine, &Catalogue::default()), phase);
    }
}

/// Guards against an upstream without reports that stays limited forever.
#[test]
fn unknown_upstream_becomes_warm_without_reports() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let mut limiter = limiter();
    limiter.add_unknown(&engine);
    limiter.record_response(start, &engine);
    assert_eq!(limiter.phase(start, &engine, SECOND), ColdPhase::Unknown);
    assert_eq!(limiter.phase(start + SECOND, &engine, SECOND), ColdPhase::Warm(0.1));
}

type ColdTrigger = fn(&mut UpstreamPicker, Instant, &UpstreamName, Duration) -> Option<ColdNotice>;

/// Guards against a detected cold start that is not sent to the peers, or that a peer ignores.
#[test]
fn signs_of_a_cold_start_reach_the_peers() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let slow = 900 * MS;
    let triggers: [(ColdReason, ColdTrigger); 3] = [
        (ColdReason::FirstTokenJump, |picker, now, engine, slow| {
            picker.record_first_token(now, engine, slow)
        }),
        (ColdReason::RefusedConnection, |picker, now, engine, _| {
            picker.record_end(now, engine, 0, FinishKind::Refused)
        }),
        (ColdReason::NewIncarnation, |picker, now, engine, _| {
            picker.observe_incarnation(now, engine, 2)
        }),
    ];
    for (reason, trigger) in triggers {
        let [mut own, mut peer] =
            [0, 1].map(|it| UpstreamPicker::new(RoutingSettings::default(), host(it), "dc".into()));
        let catalogue = Catalogue::default();
        for picker in [&mut own, &mut peer] {
            let report = LoadReport { incarnation: 1, ..LoadReport::default() };
            picker.apply_report(start, &engine, &report);
            for _ in 0..8 {
                assert_eq!(picker.record_first_token(start, &engine, 100 * MS), None);
            }
        }
        let notice = trigger(&mut own, start, &engine, slow).expect("this shows a cold start");
        assert_eq!(notice.change, ColdChange::Started(reason));
        assert_eq!(trigger(&mut own, start, &engine, slow), None, "sent only once");
        peer.apply_notice(start, &notice);
        for picker in [&mut own, &mut peer] {
            assert_eq!(picker.cold_phase(start, &engine, &catalogue), ColdPhase::Cold(reason));
        }
    }
}

/// Returns the largest number of requests on an engine that restarts without announcement: from
/// 100 ms after the restart until its warm-up ends, and after that.
///
/// Seven hosts together send a request every 20 ms to three engines. The requests belong to no
/// chat, so that all of them compete for the slots of the idle engine. Reports are read once a
/// second and are a second old; a notice arrives after 50 ms. With `is_unaware`, the hosts see
/// neither the new incarnation nor the broken requests.
fn restart_outcome(seed: u64, is_unaware: bool) -> (u32, u32) {
    const HOSTS: usize = 7;
    const ALLOWANCE: u32 = 4;
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut entries = BTreeMap::new();
    let centre = r#"{"region":"r","state":"in_service"}"#;
    entries.insert("data_centre/dc".into(), centre.into());
    let names: Vec<_> = (0..3).map(|it| UpstreamName::new(&format!("engine-{it}"))).collect();
    for name in &names {
        let value = format!(
            r#"{{"owner":"o","kind":"engine","address":"127.0.0.1:9000","data_centre":"dc",
            "models":["m"],"capacity":64,"cold_allowance":{ALLOWANCE},"warmup_ms":3000,
            "state":"in_service"}}"#
        );
        entries.insert(format!("upstream/{name}").into(), value.into());
    }
    let catalogue = Catalogue::parse(1, &entries).expect("the catalogue is valid");
    let host_sets: Vec<HostSet> = vec![(0..HOSTS).map(host).collect()];
    let mut pickers: Vec<_> = (0..HOSTS)
        .map(|it| UpstreamPicker::new(RoutingSettings::default(), host(it), "dc".into()))
        .collect();
    let report = |incarnation, running| LoadReport {
        incarnation,
        running,
        work_tokens: u64::from(running) * 100,
        ..LoadReport::default()
    };
    for picker in &mut pickers {
        picker.adopt_catalogue(start, &catalogue);
        for name in &names {
            picker.apply_report(start, name, &report(1, 0));
        }
    }
    // Requests as (end, host, engine, incarnation), notices as (arrival, sender, notice).
    let mut running: Vec<(u32, usize, usize, u64)> = Vec::new();
    let mut notices: Vec<(u32, usize, ColdNotice)> = Vec::new();
    let mut history: Vec<[u32; 3]> = Vec::new();
    const RESTART_MS: u32 = 5_000;
    let (mut max_cold, mut max_warm, mut warm_at) = (0, 0, None);
    for time in 0..20_000_u32 {
        let now = start + time * MS;
        let incarnation_at = |engine: usize, time: u32| {
            if engine == 0 && time >= RESTART_MS { 2 } else { 1 }
        };
        let mut new_notices: Vec<(usize, ColdNotice)> = Vec::new();
        // A restart breaks the running requests, which their hosts see at once.
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it| it.0 <= time || it.3 != incarnation_at(it.2, time));
        running = rest;
        for (_, index, engine, incarnation) in ended {
            let is_complete = incarnation == incarnation_at(engine, time);
            let kind = if is_complete || is_unaware {
                FinishKind::Complete
            } else {
                FinishKind::UpstreamLost
            };
            if engine == 0 && incarnation == 2 {
                warm_at.get_or_insert(time + 3_000);
            }
            let notice = pickers[index].record_end(now, &names[engine], 100, kind);
            new_notices.extend(notice.map(|it| (index, it)));
        }
        if time % 20 == 0 {
            let index = rng.random_range(0..HOSTS);
            let request = PickRequest {
                target: PickTarget::Model(&ModelName::new("m")),
                chat: None,
                request_id: &rng.random::<u32>().to_string(),
                work: 100,
                tried: &[],
            };
            if let PickOutcome::Picked(pick) =
                pickers[index].pick(now, &request, &catalogue, &host_sets)
            {
                let engine = names.iter().position(|it| *it == pick.upstream).expect("it exists");
                pickers[index].record_start(now, &pick.upstream, 100);
                let incarnation = incarnation_at(engine, time);
                // The sending host sees the incarnation first, in the response header.
                if !is_unaware {
                    let notice =
                        pickers[index].observe_incarnation(now, &pick.upstream, incarnation);
                    new_notices.extend(notice.map(|it| (index, it)));
                }
                running.push((time + 900, index, engine, incarnation));
            }
        }
        let count = |engine| running.iter().filter(|it| it.2 == engine).count() as u32;
        history.push([count(0), count(1), count(2)]);
        for (index, picker) in pickers.iter_mut().enumerate() {
            if time >= 1_000 && time as usize % 1_000 == index * 100 {
                for (engine, name) in names.iter().enumerate() {
                    let reported_time = time - 1_000;
                    let incarnation =
                        if is_unaware { 1 } else { incarnation_at(engine, reported_time) };
                    let report = report(incarnation, history[reported_time as usize][engine]);
                    new_notices
                        .extend(picker.apply_report(now, name, &report).map(|it| (index, it)));
                }
            }
        }
        notices.extend(new_notices.into_iter().map(|(index, it)| (time + 50, index, it)));
        notices.retain(|(arrival, sender, notice)| {
            if *arrival > time {
                return true;
            }
            for (index, picker) in pickers.iter_mut().enumerate() {
                if index != *sender {
                    picker.apply_notice(now, notice);
                }
            }
            false
        });
        if time >= RESTART_MS + 100 {
            if warm_at.is_none_or(|it| time < it) {
                max_cold = max_cold.max(count(0));
            } else {
                max_warm = max_warm.max(count(0));
            }
        }
    }
    (max_cold, max_warm)
}

/// Guards against an engine that receives its full load right after an unannounced restart.
#[test]
fn unannounced_restart_is_held_to_the_allowance() {
    for seed in 0..4 {
        let (max_cold, max_warm) = restart_outcome(seed, false);
        assert!(max_cold <= 4, "seed {seed}: {max_cold} requests on the cold engine");
        assert!(max_warm > 4, "seed {seed}: only {max_warm} requests on the warm engine");
    }
    let (max_cold, _) = restart_outcome(0, true);
    assert!(max_cold > 4, "hosts that do not see the restart must fail this check");
}

/// Guards against a cold engine that receives all its chats at once instead of a rising share.
#[test]
fn cold_engine_receives_few_chats() {
    assert_eq!(ColdPhase::Cold(ColdReason::Joined).chat_share(), 0.1);
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    let mut limiter = limiter();
    limiter.apply_report(start, &engine, 1, false, true);
    limiter.apply_report(start, &engine, 1, false, false);
    let mut last = 0.0;
    for second in 0..=30 {
        let phase = limiter.phase(start + second * SECOND, &engine, SECOND);
        assert!(phase.chat_share() > last);
        last = phase.chat_share();
    }
    assert_eq!(last, 1.0);
}
