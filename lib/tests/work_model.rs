//! Estimates of work, and choices of upstreams that depend on them. All time is simulated.

use std::time::{Duration, Instant};

use snipepond::{
    gateway::{PickReason, PickRequest, ReportedLoad, UpstreamPick, UpstreamRecord, UpstreamSet},
    names::{CentreName, HostName, RouteName, ServiceName, UpstreamName},
    quarantine::PromptPart,
    work::{PromptDemand, PromptSpan, RequestSize, WorkModel, WorkReport, WorkRequest},
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A service with one route, and a request of it.
struct TestRequest {
    service: ServiceName,
    route: RouteName,
    size: RequestSize,
}

impl TestRequest {
    fn plain() -> Self {
        Self {
            service: ServiceName::new("app"),
            route: RouteName::new("save"),
            size: RequestSize::default(),
        }
    }

    /// A prompt of a shared span and one of its own.
    fn prompt(shared: &str, shared_tokens: u32) -> Self {
        let span = |name: &str, tokens| PromptSpan { part: PromptPart::new("m", name), tokens };
        let size = RequestSize {
            prompt_tokens: Some(shared_tokens + 100),
            max_output_tokens: Some(200),
            expected_output_tokens: Some(50),
            spans: vec![span(shared, shared_tokens), span("own", 100)],
        };
        Self { size, ..Self::plain() }
    }

    fn work(&self) -> WorkRequest<'_> {
        let (route, service, size) = (&self.route, &self.service, &self.size);
        WorkRequest { route, service, size, target_latency: 400 * MS }
    }
}

fn name(index: usize) -> UpstreamName {
    UpstreamName::new(&format!("app-{index}"))
}

/// Answers a request after `first`, with `events` events 10 ms apart; without events it is no stream.
fn answer(
    model: &mut WorkModel,
    now: Instant,
    upstream: &UpstreamName,
    request: &TestRequest,
    first: Duration,
    events: u32,
) {
    let ticket = model.started(now, upstream, 1, &request.work(), 0);
    for index in 0..events {
        let at = now + first + 10 * MS * index;
        model.events_arrived(at, upstream, ticket, &request.work(), 1);
    }
    let end = now + first + 10 * MS * events.saturating_sub(1);
    model.ended(end, upstream, ticket, &request.work(), true);
}

fn set(now: Instant, count: usize) -> UpstreamSet {
    let mut set = UpstreamSet::new(HostName::new("h1"), CentreName::new("a"));
    let record = |index: usize| UpstreamRecord {
        name: name(index),
        service: ServiceName::new("app"),
        address: ([10, 0, 0, index as u8], 80).into(),
        data_centre: CentreName::new("b"),
        slots: 64,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation: 1,
    };
    set.replace_all(now, (0..count).map(record).collect());
    set
}

fn pick(
    set: &mut UpstreamSet,
    now: Instant,
    request: &TestRequest,
    affinity: Option<u64>,
) -> UpstreamPick {
    let pick_request = PickRequest {
        service: &request.service,
        affinity,
        tried: &[],
        has_cold_limit: false,
        prefers_local: false,
    };
    set.pick_for(now, &pick_request, Some(&request.work()), |_| 0.0).expect("upstreams are open")
}

/// Guards against prompts of 30,000 tokens that count like one of 100, or like one that is cached.
#[test]
fn a_prompt_costs_the_tokens_that_are_not_cached() {
    let (now, mut model) = (Instant::now(), WorkModel::default());
    let long = TestRequest::prompt("long", 10_000);
    let short = TestRequest::prompt("short", 50);
    answer(&mut model, now, &name(0), &short, 50 * MS, 11);
    answer(&mut model, now, &name(0), &long, 1_060 * MS, 11);
    let later = now + 2 * SECOND;
    assert_eq!(model.cached_tokens(later, &name(0), &long.size), 10_100);
    assert_eq!(model.cached_tokens(later, &name(1), &long.size), 0);
    let uncached = model.estimate(&long.work(), 0);
    assert_eq!(uncached.before_first_event.as_millis(), 1_060);
    assert_eq!(uncached.after_first_event.as_millis(), 110);
    assert_eq!(model.estimate(&long.work(), 10_100).before_first_event.as_millis(), 50);
    // A new process has nothing cached.
    model.started(later, &name(0), 2, &short.work(), 0);
    assert_eq!(model.cached_tokens(later, &name(0), &long.size), 0);
}

/// Guards against remaining work that stays as it was at the start, or that never ends.
#[test]
fn remaining_work_falls_as_events_arrive() {
    let (now, mut model) = (Instant::now(), WorkModel::default());
    let request = TestRequest::prompt("p", 50);
    (0..8).for_each(|_| answer(&mut model, now, &name(0), &request, 50 * MS, 21));
    let ticket = model.started(now, &name(1), 1, &request.work(), 0);
    let whole = model.remaining(now, &name(1));
    assert!(whole > 200 * MS, "{whole:?}");
    model.events_arrived(now + 50 * MS, &name(1), ticket, &request.work(), 10);
    let half = model.remaining(now + 50 * MS, &name(1));
    assert!(half < whole.mul_f64(0.7) && half > 50 * MS, "{half:?} of {whole:?}");
    model.ended(now + 90 * MS, &name(1), ticket, &request.work(), false);
    assert_eq!(model.remaining(now + 90 * MS, &name(1)), Duration::ZERO);
}

/// Guards against an upstream that a false, missing or old report takes out of use for good.
#[test]
fn false_and_old_reports_do_not_last() {
    let (now, mut model) = (Instant::now(), WorkModel::default());
    let request = TestRequest::plain();
    answer(&mut model, now, &name(0), &request, 30 * MS, 0);
    for pace_percent in [u32::MAX, 0] {
        model.reported(now, &name(0), WorkReport { pace_percent });
        let slowness = model.slowness(now, &name(0));
        assert!((6.0..=8.0).contains(&slowness), "{slowness}");
    }
    assert_eq!(model.slowness(now + 3 * SECOND, &name(0)), 1.0);
    // One that always reports the best pace, and is as slow as the others, gains nothing.
    for index in 1..60 {
        let at = now + index * 100 * MS;
        model.reported(at, &name(0), WorkReport { pace_percent: 25 });
        answer(&mut model, at, &name(0), &request, 30 * MS, 0);
    }
    let slowness = model.slowness(now + 6 * SECOND, &name(0));
    assert!((0.8..=1.3).contains(&slowness), "{slowness}");
}

/// Guards against a service of three upstreams, one of them eight times as slow, whose requests are
/// shared out evenly; the slow one wins its share back.
#[test]
fn a_slow_upstream_of_three_gets_less_and_wins_it_back() {
    let start = Instant::now();
    let mut set = set(start, 3);
    let request = TestRequest::plain();
    let play = |set: &mut UpstreamSet, from: Instant, slow: u32| {
        let mut counts = [0; 3];
        for index in 0..300 {
            let now = from + index * 20 * MS;
            let picked = pick(set, now, &request, None).name;
            let upstream = (0..3).find(|it| name(*it) == picked).unwrap();
            counts[upstream] += 1;
            let time = if upstream == 0 { 30 * MS * slow } else { 30 * MS };
            let load = ReportedLoad { running: 3, ..ReportedLoad::default() };
            set.record_load(now, &picked, load);
            answer(set.work_mut(), now, &picked, &request, time, 0);
        }
        counts
    };
    let usual = play(&mut set, start, 1);
    assert!(usual.iter().all(|it| (70..=130).contains(it)), "{usual:?}");
    let slow = play(&mut set, start + 10 * SECOND, 8);
    assert!((5..=60).contains(&slow[0]), "{slow:?}");
    play(&mut set, start + 20 * SECOND, 1);
    let after = play(&mut set, start + 30 * SECOND, 1);
    assert!(after[0] >= 70, "{after:?}");
}

/// Guards against faster upstreams that hold more than twice the mean plus three while others do not.
#[test]
fn the_fastest_upstream_stays_within_the_load_limit() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let request = TestRequest::plain();
    for index in 0..9 {
        let pace = if index == 4 { 25 } else { 800 };
        answer(set.work_mut(), now, &name(index), &request, 30 * MS, 0);
        set.work_mut().reported(now, &name(index), WorkReport { pace_percent: pace });
    }
    for _ in 0..120 {
        let pick = pick(&mut set, now, &request, None);
        assert!(pick.load <= 2.0 * pick.mean + 3.0, "{pick:?}");
        set.request_started(&pick.name);
    }
}

/// Guards against engines that are left out for seconds after a burst: their last report says that
/// they are full, and without requests they send no other.
#[test]
fn an_engine_that_was_full_is_used_again_after_a_burst() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let request = TestRequest::plain();
    let first = pick(&mut set, now, &request, Some(7)).name;
    (0..16).for_each(|_| answer(set.work_mut(), now, &first, &request, SECOND, 0));
    let running = |running| ReportedLoad { running, ..ReportedLoad::default() };
    (0..9).for_each(|it| {
        set.record_load(now, &name(it), running(64));
    });
    for step in 1..=10 {
        let others = (0..9).map(name).filter(|it| *it != first);
        for other in others.collect::<Vec<_>>() {
            set.record_load(now + 250 * MS * step, &other, running(6));
        }
    }
    assert_ne!(pick(&mut set, now + 250 * MS, &request, Some(7)).name, first);
    let later = pick(&mut set, now + 2_500 * MS, &request, Some(7));
    assert_eq!((later.name, later.reason), (first, PickReason::Affinity));
    assert!(later.mean < 9.0, "{}", later.mean);
}

/// Guards against a prompt with most of the traffic that overloads its one engine, against hosts
/// that choose other engines for it, and against engines that it never gives up.
#[test]
fn a_hot_prompt_gets_the_same_engines_on_all_hosts_and_gives_them_up() {
    let start = Instant::now();
    let (mut demand, mut other) = (PromptDemand::default(), PromptDemand::default());
    for index in 0..400_u64 {
        let now = start + 10 * MS * index as u32;
        let prompt = if index % 2 == 0 { 7 } else { 1_000 + index };
        demand.record(now, prompt, 9, 20.0);
        // Another host sees an eighth of it.
        if index % 16 < 2 {
            other.record(now, prompt, 9, 20.0);
        }
    }
    let end = start + 4 * SECOND;
    let upstreams = demand.upstreams(end, 7);
    assert!((3..=6).contains(&upstreams), "{upstreams}");
    assert!(other.upstreams(end, 7).abs_diff(upstreams) <= 1);
    assert_eq!(demand.upstreams(end, 1_399), 1);
    // Nearly idle engines need no help.
    let mut idle = PromptDemand::default();
    (0..100).for_each(|_| idle.record(start, 7, 9, 0.2));
    assert_eq!(idle.upstreams(start, 7), 1);
    for index in 0..2_000_u64 {
        let now = end + 10 * MS * index as u32;
        demand.record(now, if index % 50 == 0 { 7 } else { 10_000 + index }, 9, 20.0);
    }
    assert_eq!(demand.upstreams(end + 20 * SECOND, 7), 1);
}

/// Guards against a copy of a prompt from an engine that never had it.
#[test]
fn the_holder_of_a_prompt_is_one_that_was_sent_it() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let request = TestRequest::prompt("p", 5_000);
    let first = pick(&mut set, now, &request, Some(7)).name;
    let sent = (0..9).map(name).find(|it| *it != first).unwrap();
    answer(set.work_mut(), now, &sent, &request, 80 * MS, 3);
    set.expire(now);
    set.expire(now + SECOND);
    let holder = pick(&mut set, now + SECOND, &request, Some(7)).prompt_holder;
    assert_eq!(holder.map(|it| it.name), Some(sent));
}

/// Guards against a copy from an engine that has only the part that all prompts begin with, in place of
/// the one that ranks first for the prompt.
#[test]
fn an_engine_with_the_first_part_alone_is_not_the_holder() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let mut request = TestRequest::prompt("p", 5_000);
    let system = PromptSpan { part: PromptPart::new("m", "system"), tokens: 800 };
    request.size.spans.insert(0, system);
    set.expire(now);
    set.expire(now + SECOND);
    let inferred = pick(&mut set, now + SECOND, &request, Some(7)).prompt_holder;
    let other = TestRequest::prompt("system", 800);
    for sent in (0..9).map(name).filter(|it| Some(it) != inferred.as_ref().map(|it| &it.name)) {
        answer(set.work_mut(), now + SECOND, &sent, &other, 80 * MS, 3);
    }
    assert!(inferred.is_some());
    assert_eq!(pick(&mut set, now + 2 * SECOND, &request, Some(7)).prompt_holder, inferred);
}

/// Guards against requests that miss their latency target in the queue of the engine that has their
/// prompt while the next one answers at once, and against prompts that move for less.
#[test]
fn a_prompt_leaves_an_engine_whose_queue_is_longer_than_the_target() {
    let now = Instant::now();
    let mut set = set(now, 9);
    let request = TestRequest::prompt("p", 500);
    let first = pick(&mut set, now, &request, Some(7)).name;
    (0..16).for_each(|_| answer(set.work_mut(), now, &first, &request, 100 * MS, 91));
    for (load, reason) in [(80, PickReason::Affinity), (110, PickReason::Earlier)] {
        for index in 0..9 {
            // No engine has room, so that none is passed over for want of it.
            let running = if name(index) == first { load } else { 66 };
            let load = ReportedLoad { running, ..ReportedLoad::default() };
            set.record_load(now, &name(index), load);
        }
        let pick = pick(&mut set, now, &request, Some(7));
        assert_eq!((pick.reason, pick.name == first), (reason, reason == PickReason::Affinity));
    }
}
