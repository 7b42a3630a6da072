//! Load estimates, load bound, chat affinity, and outcomes of a pick. All time is simulated.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::Catalogue,
    names::{HostName, ModelName, ServiceName, UpstreamName},
    routing::{
        ColdPhase, FinishKind, HostSet, LoadReport, LoadSettings, LoadTable, PickOutcome,
        PickReason, PickRequest, PickTarget, ReportEffect, RoutingSettings, SkipReason,
        UpstreamPick, UpstreamPicker,
    },
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Builds a catalogue of upstreams given as (name, kind, data centre, state, capacity).
fn catalogue(revision: u64, upstreams: &[(&str, &str, &str, &str, u32)]) -> Catalogue {
    let mut entries = BTreeMap::new();
    for (name, region, state) in [
        ("east-1", "east", "in_service"),
        ("east-2", "east", "in_service"),
        ("west-1", "west", "in_service"),
        ("off-1", "east", "out_of_service"),
    ] {
        let value = format!(r#"{{"region":"{region}","state":"{state}"}}"#);
        entries.insert(format!("data_centre/{name}").into(), value.into());
    }
    for (name, kind, centre, state, capacity) in upstreams {
        let target = match *kind {
            "engine" => r#""models":["m"]"#,
            _ => r#""service":"s""#,
        };
        let value = format!(
            r#"{{"owner":"o","kind":"{kind}","address":"127.0.0.1:9000","data_centre":"{centre}",
            {target},"capacity":{capacity},"cold_allowance":1,"warmup_ms":1000,"state":"{state}"}}"#
        );
        entries.insert(format!("upstream/{name}").into(), value.into());
    }
    Catalogue::parse(revision, &entries).expect("the catalogue is valid")
}

fn engines(revision: u64, names: &[String]) -> Catalogue {
    let upstreams: Vec<_> =
        names.iter().map(|it| (it.as_str(), "engine", "east-1", "in_service", 64)).collect();
    catalogue(revision, &upstreams)
}

fn engine_names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("engine-{it}")).collect()
}

fn picker(host: &str) -> UpstreamPicker {
    UpstreamPicker::new(RoutingSettings::default(), host.into(), "east-1".into())
}

fn fleet(count: usize) -> Vec<HostSet> {
    vec![(0..count).map(|it| HostName::new(&format!("host-{it}"))).collect()]
}

fn report(running: u32, work_tokens: u64) -> LoadReport {
    LoadReport { incarnation: 1, running, work_tokens, ..LoadReport::default() }
}

/// Makes all upstreams warm and idle for the picker.
fn warm(picker: &mut UpstreamPicker, now: Instant, catalogue: &Catalogue) {
    picker.adopt_catalogue(now, catalogue);
    for name in catalogue.upstreams().keys() {
        picker.apply_report(now, name, &report(0, 0));
    }
}

fn pick(
    picker: &mut UpstreamPicker,
    now: Instant,
    catalogue: &Catalogue,
    chat: Option<&str>,
    tried: &[UpstreamName],
) -> PickOutcome {
    let request = PickRequest {
        target: PickTarget::Model(&ModelName::new("m")),
        chat,
        request_id: "request-1",
        work: 100,
        tried,
    };
    picker.pick(now, &request, catalogue, &fleet(3))
}

fn picked(outcome: PickOutcome) -> UpstreamPick {
    match outcome {
        PickOutcome::Picked(pick) => pick,
        other => panic!("no pick: {other:?}"),
    }
}

/// Guards against own work that is counted twice because a delayed report contains it, and against
/// own work that is not counted because the report does not contain it yet.
#[test]
fn late_report_does_not_count_own_work_twice() {
    let start = Instant::now();
    let engine = UpstreamName::new("engine");
    for lag_ms in [0, 300, 1_000, 1_900] {
        let mut table = LoadTable::new(LoadSettings::default());
        let mut own = 0_u64;
        for step in 0..40_u32 {
            let now = start + step * 100 * MS;
            // Two requests start and one ends per second; the engine runs only own work.
            if step % 5 == 0 {
                table.record_start(now, &engine, 100);
                own += 1;
            }
            if step % 10 == 9 {
                table.record_end(now, &engine, 100);
                own -= 1;
            }
            let reported_steps = u64::from((step * 100).saturating_sub(lag_ms) / 100);
            let reported_requests = (reported_steps / 5 + 1) - (reported_steps + 1) / 10;
            table.apply_report(
                now,
                &engine,
                &report(reported_requests as u32, reported_requests * 100),
            );
            let summary = table.summary(now, [(&engine, 1.0)]);
            let estimate = table.estimate(now, &engine, 1.0, &summary);
            // Subtracting the own work at the arrival of the report would give up to 2 requests too
            // many when requests end, and subtracting nothing would give twice the work.
            assert_eq!(estimate.work, own as f64 * 100.0, "lag {lag_ms} ms, step {step}");
            assert_eq!(u64::from(estimate.own_requests), own);
        }
    }
}

/// Guards against ignored work of other hosts, and against an old report that keeps its weight.
#[test]
fn old_report_counts_less_and_less() {
    let now = Instant::now();
    let mut table = LoadTable::new(LoadSettings::default());
    let [busy, idle] = ["busy", "idle"].map(UpstreamName::new);
    let both = [(&busy, 1.0), (&idle, 1.0)];
    table.apply_report(now, &busy, &report(8, 800));
    table.apply_report(now, &idle, &report(0, 0));
    table.record_start(now, &idle, 50);
    let work = |table: &LoadTable, name, now| {
        let summary = table.summary(now, both);
        table.estimate(now, name, 1.0, &summary).work
    };
    assert_eq!(work(&table, &busy, now), 800.0);
    assert_eq!(work(&table, &idle, now), 50.0);
    // Only `idle` sends new reports, so that the report of `busy` loses its weight.
    let mut last = work(&table, &busy, now);
    for age in 1..200 {
        let later = now + age * SECOND;
        table.apply_report(later, &idle, &report(1, 50));
        let aged = work(&table, &busy, later);
        assert!(aged < last);
        last = aged;
    }
    assert!(last < 1.0, "an old report still counts {last}");
}

/// Guards against a single high report that counts in full although its short requests have ended
/// since, and against a steady load that is discounted in the same way.
#[test]
fn short_requests_discount_a_single_report() {
    let start = Instant::now();
    let mut table = LoadTable::new(LoadSettings::default());
    let [steady, spiky] = ["steady", "spiky"].map(UpstreamName::new);
    for step in 0..1_000 {
        // Own requests of 50 ms show how long requests take.
        table.record_start(start + step * 60 * MS, &steady, 10);
        table.record_end(start + (step * 60 + 50) * MS, &steady, 10);
    }
    let estimates = |spike: u32, table: &mut LoadTable, second: u32| {
        let now = start + second * SECOND;
        table.apply_report(now, &steady, &report(8, 800));
        table.apply_report(now, &spiky, &report(spike, u64::from(spike) * 100));
        let summary = table.summary(now, [(&steady, 1.0), (&spiky, 1.0)]);
        [&steady, &spiky].map(|it| table.estimate(now, it, 1.0, &summary).work)
    };
    for second in 60..120 {
        estimates(2, &mut table, second);
    }
    let [steady_work, spiky_work] = estimates(20, &mut table, 120);
    assert!(steady_work > 750.0, "{steady_work}");
    assert!(spiky_work < 350.0, "{spiky_work}");
}

/// Guards against an undetected restart or jump of the first-token time, and against a delayed
/// report of a replaced process that counts as another restart.
#[test]
fn restart_and_first_token_jump_are_detected() {
    let now = Instant::now();
    let mut table = LoadTable::new(LoadSettings::default());
    let engine = UpstreamName::new("engine");
    let report_of = |incarnation| LoadReport { incarnation, ..report(1, 1) };
    assert_eq!(table.apply_report(now, &engine, &report_of(5)), ReportEffect::First);
    assert_eq!(table.apply_report(now, &engine, &report_of(5)), ReportEffect::Same);
    assert_eq!(table.observe_incarnation(now, &engine, 3), ReportEffect::NewIncarnation);
    assert_eq!(table.apply_report(now, &engine, &report_of(5)), ReportEffect::Outdated);
    assert_eq!(table.apply_report(now, &engine, &report_of(3)), ReportEffect::Same);
    for _ in 0..8 {
        assert!(!table.record_first_token(now, &engine, 200 * MS));
    }
    assert!(!table.record_first_token(now, &engine, 800 * MS));
    assert!(table.record_first_token(now, &engine, 801 * MS));
}

/// Guards against wrong eligibility, and against outcomes without the reasons.
#[test]
fn outcome_names_the_reasons() {
    let now = Instant::now();
    let catalogue = catalogue(
        1,
        &[
            ("a", "engine", "east-1", "in_service", 1),
            ("b", "engine", "east-2", "in_service", 1),
            ("far", "engine", "west-1", "in_service", 1),
            ("gone", "engine", "east-1", "leaving", 1),
            ("off", "engine", "off-1", "in_service", 1),
            ("s-far", "service", "east-2", "in_service", 1),
            ("s-near", "service", "east-1", "in_service", 1),
        ],
    );
    let mut picker = picker("host-0");
    warm(&mut picker, now, &catalogue);
    let first = picked(pick(&mut picker, now, &catalogue, Some("chat"), &[]));
    assert!(["a", "b"].contains(&first.upstream.as_str()));
    assert_eq!((first.rank, first.reason), (0, PickReason::ChatOrder));
    picker.record_start(now, &first.upstream, 100);
    let second = picked(pick(&mut picker, now, &catalogue, Some("chat"), &[]));
    assert!(["a", "b"].contains(&second.upstream.as_str()));
    assert_eq!(second.skipped[0].reason, SkipReason::Full);
    picker.record_start(now, &second.upstream, 100);
    // The own region is full, so the request goes to the other region instead of the queue.
    let third = picked(pick(&mut picker, now, &catalogue, Some("chat"), &[]));
    assert_eq!((third.upstream.as_str(), third.skipped_count), ("far", 2));
    let tried = [third.upstream];
    match pick(&mut picker, now, &catalogue, Some("chat"), &tried) {
        PickOutcome::Busy { skipped, .. } => assert_eq!(skipped[2].reason, SkipReason::Tried),
        other => panic!("not busy: {other:?}"),
    }
    picker.record_end(now, &first.upstream, 100, FinishKind::Refused);
    let outcome = pick(&mut picker, now, &catalogue, Some("chat"), &tried);
    assert!(matches!(outcome, PickOutcome::Busy { .. }));
    let all = ["a", "b", "far"].map(UpstreamName::new);
    let outcome = pick(&mut picker, now, &catalogue, Some("chat"), &all);
    assert_eq!(outcome, PickOutcome::NoneEligible);
    for _ in 0..2 {
        let request = PickRequest {
            target: PickTarget::Service(&ServiceName::new("s")),
            chat: None,
            request_id: "request-1",
            work: 1,
            tried: &[],
        };
        let outcome = picker.pick(now, &request, &catalogue, &fleet(3));
        assert_eq!(picked(outcome).upstream.as_str(), "s-near");
    }
}

fn chosen_engines(picker: &mut UpstreamPicker, now: Instant, catalogue: &Catalogue) -> Vec<String> {
    (0..2_000)
        .map(|it| picked(pick(picker, now, catalogue, Some(&format!("chat-{it}")), &[])))
        .map(|it| it.upstream.to_string())
        .collect()
}

fn count_moved(before: &[String], after: &[String]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

/// Guards against chats that move although their engine did not change when another one joins or
/// leaves, and against hosts that choose different engines.
#[test]
fn only_chats_of_the_changed_engine_move() {
    let start = Instant::now();
    let names = engine_names(20);
    let (all, fewer) = (engines(1, &names), engines(2, &names[1..]));
    let mut picker = picker("host-0");
    warm(&mut picker, start, &all);
    let before = chosen_engines(&mut picker, start, &all);
    let first_engine_chats = before.iter().filter(|it| **it == names[0]).count();
    let without = chosen_engines(&mut picker, start + SECOND, &fewer);
    assert_eq!(count_moved(&before, &without), first_engine_chats);
    // A hash modulo the number of engines moves nearly all chats and would fail this check.
    let by_modulo = |names: &[String], chat: u64| names[chat as usize % names.len()].clone();
    let modulo = (0..2_000).filter(|it| by_modulo(&names, *it) != by_modulo(&names[1..], *it));
    assert!(modulo.count() > 10 * first_engine_chats);
    // The engine returns with an empty cache: it takes a tenth of its chats while cold ...
    let again = engines(3, &names);
    let later = start + 2 * SECOND;
    let cold = chosen_engines(&mut picker, later, &again);
    assert!(count_moved(&before, &cold) >= first_engine_chats * 8 / 10);
    assert!(matches!(
        picker.cold_phase(later, &UpstreamName::new(&names[0]), &again),
        ColdPhase::Cold(_)
    ));
    // ... and a rising share during the ramp-up after the warm-up, until it takes all of them.
    picker.record_end(later, &UpstreamName::new(&names[0]), 0, FinishKind::Complete);
    let half = chosen_engines(&mut picker, later + 16 * SECOND, &again);
    let half_moved = count_moved(&before, &half);
    assert!(
        (first_engine_chats * 3 / 10..first_engine_chats * 7 / 10).contains(&half_moved),
        "{half_moved} of {first_engine_chats}"
    );
    let after = chosen_engines(&mut picker, later + 40 * SECOND, &again);
    assert_eq!(count_moved(&before, &after), 0);
    // Another host, without this history, makes the same choices.
    let mut other =
        UpstreamPicker::new(RoutingSettings::default(), "host-1".into(), "east-2".into());
    warm(&mut other, later, &again);
    assert_eq!(chosen_engines(&mut other, later, &again), after);
}

/// Guards against a short absence after which chats stay away from their cache for long: the
/// ramp-up is as long as the absence, but not longer than the limit.
#[test]
fn ramp_up_is_no_longer_than_the_absence() {
    let start = Instant::now();
    let names = engine_names(10);
    let rows = |state| -> Vec<(&str, &str, &str, &str, u32)> {
        let mut rows: Vec<_> =
            names.iter().map(|it| (it.as_str(), "engine", "east-1", "in_service", 64)).collect();
        rows[0].3 = state;
        rows
    };
    for (absence, ramp) in [(2 * SECOND, 2 * SECOND), (600 * SECOND, 30 * SECOND)] {
        let mut picker = picker("host-0");
        let all = catalogue(1, &rows("in_service"));
        warm(&mut picker, start, &all);
        let before = chosen_engines(&mut picker, start, &all);
        picker.adopt_catalogue(start + SECOND, &catalogue(2, &rows("leaving")));
        let back = start + SECOND + absence;
        let again = catalogue(3, &rows("in_service"));
        let early = chosen_engines(&mut picker, back, &again);
        let middle = chosen_engines(&mut picker, back + ramp / 2, &again);
        let late = chosen_engines(&mut picker, back + ramp, &again);
        let [early, middle, late] = [early, middle, late].map(|it| count_moved(&before, &it));
        assert!(early > middle && middle > late && late == 0, "{early} {middle} {late}");
    }
}

/// Returns the requests on the most loaded engine as a multiple of the mean, averaged over time.
///
/// `hot` is the share of the traffic that belongs to one hot chat. 20 hosts receive requests at
/// random, and read reports once a second that are a second old.
fn skew_outcome(hot_share: f64, is_bounded: bool, seed: u64) -> f64 {
    const HOSTS: usize = 20;
    const ENGINES: usize = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let names = engine_names(ENGINES);
    let catalogue = engines(1, &names);
    let (model, host_sets) = (ModelName::new("m"), fleet(HOSTS));
    let mut pickers: Vec<_> = (0..HOSTS).map(|it| picker(&format!("host-{it}"))).collect();
    for picker in &mut pickers {
        warm(picker, start, &catalogue);
    }
    let upstreams: Vec<_> = names.iter().map(|it| UpstreamName::new(it)).collect();
    let index: HashMap<_, _> =
        upstreams.iter().enumerate().map(|(i, it)| (it.clone(), i)).collect();
    let mut running = vec![0_u32; ENGINES];
    let mut history: Vec<Vec<u32>> = Vec::new();
    let mut ends: BTreeMap<u32, Vec<(usize, usize)>> = BTreeMap::new();
    let (mut skew, mut samples) = (0.0, 0);
    // Steps of 10 ms: a request takes 2 s and 1.2 start per step, so that 240 run on 10 engines.
    for step in 0..4_000_u32 {
        let now = start + step * 10 * MS;
        for (host, engine) in ends.remove(&step).unwrap_or_default() {
            pickers[host].record_end(now, &upstreams[engine], 100, FinishKind::Complete);
            running[engine] -= 1;
        }
        for _ in 0..if rng.random_bool(0.2) { 2 } else { 1 } {
            let host = rng.random_range(0..HOSTS);
            let chat = if rng.random_bool(hot_share) { 0 } else { rng.random_range(1..100_000) };
            let request = PickRequest {
                target: PickTarget::Model(&model),
                chat: Some(&format!("chat-{chat}")),
                request_id: &rng.random::<u64>().to_string(),
                work: 100,
                tried: &[],
            };
            let pick = picked(pickers[host].pick(now, &request, &catalogue, &host_sets));
            // Without the bound, the first engine in order always gets the request.
            let chosen = match pick.skipped.first() {
                Some(first) if !is_bounded => &first.upstream,
                _ => &pick.upstream,
            };
            let engine = index[chosen];
            pickers[host].record_start(now, chosen, 100);
            running[engine] += 1;
            ends.entry(step + 200).or_default().push((host, engine));
        }
        history.push(running.clone());
        for (host, picker) in pickers.iter_mut().enumerate() {
            if step as usize % 100 == host * 5 && step >= 100 {
                for (engine, upstream) in upstreams.iter().enumerate() {
                    let running = history[step as usize - 100][engine];
                    picker.apply_report(now, upstream, &report(running, u64::from(running) * 100));
                }
            }
        }
        if step > 1_000 {
            let mean = running.iter().sum::<u32>() as f64 / ENGINES as f64;
            skew += f64::from(running.iter().copied().max().unwrap_or(0)) / mean;
            samples += 1;
        }
    }
    skew / f64::from(samples)
}

/// Guards against an overloaded engine due to a hot chat, delayed reports, or hosts that each see
/// only a small part of the traffic.
#[test]
fn load_bound_holds_with_a_hot_chat() {
    for seed in 0..2 {
        for hot in [0.0, 0.3, 0.6] {
            let skew = skew_outcome(hot, true, seed);
            assert!(skew <= 1.5, "seed {seed}, hot {hot}: skew {skew:.2}");
        }
    }
    assert!(skew_outcome(0.3, false, 0) > 1.5, "affinity without a bound must fail this check");
}
