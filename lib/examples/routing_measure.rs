//! Measures cache reuse, load skew and the cost of a pick in a simulated fleet.
//!
//! `cargo run --release -p snipepond --example routing_measure [-- SEED]` prints a table for this
//! design, for least-loaded and for modulo hashing on the same generated traffic.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::Catalogue,
    names::{HostName, ModelName, UpstreamName},
    rendezvous,
    routing::{
        ColdLimiter, FinishKind, HostSet, LoadReport, LoadTable, PickOutcome, PickRequest,
        PickTarget, RoutingSettings, UpstreamPicker,
    },
};

/// Simulated time, and the part at its start that the figures leave out.
const RUN_MS: u64 = 600_000;
const UNMEASURED_MS: u64 = 180_000;

/// Time between two reads of an engine's report by a host, and the age of a report on arrival.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Requests that an engine runs at the same time, and size of its prefix cache.
const ENGINE_CAPACITY: u32 = 32;
const CACHE_TOKENS: u64 = 800_000;

/// Mean time between two restarts or absences of the same engine.
const MEAN_CHURN_INTERVAL_MS: u64 = 1_200_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    Design,
    LeastLoaded,
    Modulo,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    hosts: usize,
    engines: usize,
    /// Share of the requests that belong to one hot chat.
    hot_share: f64,
    has_churn: bool,
}

#[derive(Clone, Debug, Default)]
struct Figures {
    prompt_tokens: u64,
    cached_tokens: u64,
    skew: Vec<f64>,
    over_bound: u64,
    engine_samples: u64,
    /// Turns that ran on another engine than the turn of the same chat before.
    moved_turns: u64,
    turns: u64,
    /// Picks without a result, after which the turn is tried again.
    waits: u64,
}

/// Prefix cache of an engine: tokens by chat, with eviction of the least recently used chat.
#[derive(Clone, Debug, Default)]
struct PrefixCache {
    /// Tokens and time of the last use, by chat.
    chats: HashMap<u64, (u64, u64)>,
    /// Chats by the time of their last use.
    order: BTreeMap<u64, u64>,
    tokens: u64,
    /// Logical time: the number of stores.
    stamp: u64,
}

impl PrefixCache {
    fn cached(&self, chat: u64) -> u64 {
        self.chats.get(&chat).map_or(0, |it| it.0)
    }

    fn store(&mut self, chat: u64, tokens: u64) {
        self.stamp += 1;
        if let Some((old, stamp)) = self.chats.insert(chat, (tokens, self.stamp)) {
            self.order.remove(&stamp);
            self.tokens -= old;
        }
        self.order.insert(self.stamp, chat);
        self.tokens += tokens;
        while self.tokens > CACHE_TOKENS {
            let (_, oldest) = self.order.pop_first().expect("a full cache holds chats");
            let (tokens, _) = self.chats.remove(&oldest).expect("both maps hold the chat");
            self.tokens -= tokens;
        }
    }
}

#[derive(Clone, Debug)]
struct Engine {
    name: UpstreamName,
    incarnation: u64,
    takes_new_work: bool,
    running: u32,
    work: u64,
    cache: PrefixCache,
    /// Reports of the last [`REPORT_INTERVAL_MS`]: (time, running, work, incarnation).
    history: VecDeque<(u64, u32, u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Turn { chat: u64 },
    Finish { host: usize, engine: usize, incarnation: u64, work: u64, chat: u64, tokens: u64 },
    Report,
    Churn,
    Return { engine: usize, is_restart: bool },
}

#[derive(Clone, Copy, Debug)]
struct Chat {
    tokens: u64,
    turns_left: u32,
    last_engine: Option<usize>,
}

struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    rng: StdRng,
    start: Instant,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    catalogue: Catalogue,
    pickers: Vec<UpstreamPicker>,
    /// For least-loaded, by host and engine: work in the last report plus own work sent since then.
    loads: Vec<Vec<u64>>,
    host_sets: Vec<HostSet>,
    chats: HashMap<u64, Chat>,
    next_chat: u64,
    figures: Figures,
}

fn catalogue(revision: u64, engines: &[Engine]) -> Catalogue {
    let mut entries: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    let centre = r#"{"region":"r","state":"in_service"}"#;
    entries.insert("data_centre/dc".into(), centre.into());
    for engine in engines {
        let state = if engine.takes_new_work { "in_service" } else { "leaving" };
        let value = format!(
            r#"{{"owner":"o","kind":"engine","address":"127.0.0.1:9000","data_centre":"dc",
            "models":["m"],"capacity":{ENGINE_CAPACITY},"cold_allowance":4,"warmup_ms":5000,
            "state":"{state}"}}"#
        );
        entries.insert(format!("upstream/{}", engine.name).into(), value.into());
    }
    Catalogue::parse(revision, &entries).expect("the generated catalogue is valid")
}

impl Simulation {
    fn new(scenario: Scenario, strategy: Strategy, seed: u64) -> Self {
        let engines: Vec<Engine> = (0..scenario.engines)
            .map(|it| Engine {
                name: UpstreamName::new(&format!("engine-{it:03}")),
                incarnation: it as u64 + 1,
                takes_new_work: true,
                running: 0,
                work: 0,
                cache: PrefixCache::default(),
                history: VecDeque::new(),
            })
            .collect();
        let host = |it: usize| HostName::new(&format!("host-{it:02}"));
        Self {
            catalogue: catalogue(1, &engines),
            pickers: (0..scenario.hosts)
                .map(|it| UpstreamPicker::new(RoutingSettings::default(), host(it), "dc".into()))
                .collect(),
            loads: vec![vec![0; scenario.engines]; scenario.hosts],
            host_sets: vec![(0..scenario.hosts).map(host).collect()],
            scenario,
            strategy,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            events: BinaryHeap::new(),
            sequence: 0,
            engines,
            chats: HashMap::new(),
            next_chat: 1,
            figures: Figures::default(),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(mut self) -> Figures {
        // About 55% of the capacity: 18 requests of 3.5 s each on every engine.
        let rate = self.scenario.engines as f64 * 18.0 / 3.5;
        let chat_rate = rate * (1.0 - self.scenario.hot_share) / 8.0;
        let mut time = 0.0;
        while time < RUN_MS as f64 {
            time += -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / chat_rate;
            let turns_left = 1 + (-self.rng.random::<f64>().max(1e-12).ln() * 7.5) as u32;
            let chat = self.next_chat;
            self.next_chat += 1;
            self.chats.insert(chat, Chat { tokens: 0, turns_left, last_engine: None });
            self.schedule(time as u64, Event::Turn { chat });
        }
        if self.scenario.hot_share > 0.0 {
            self.chats.insert(0, Chat { tokens: 2_000, turns_left: u32::MAX, last_engine: None });
            let mut time = 0.0;
            while time < RUN_MS as f64 {
                time += -self.rng.random::<f64>().max(1e-12).ln() * 1000.0
                    / (rate * self.scenario.hot_share);
                self.schedule(time as u64, Event::Turn { chat: 0 });
            }
        }
        if self.scenario.has_churn {
            let step = MEAN_CHURN_INTERVAL_MS / self.scenario.engines as u64;
            for time in (step..RUN_MS).step_by(step as usize) {
                self.schedule(time, Event::Churn);
            }
        }
        self.schedule(0, Event::Report);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time >= RUN_MS {
                break;
            }
            let now = self.start + Duration::from_millis(time);
            match event {
                Event::Turn { chat } => self.turn(time, now, chat),
                Event::Finish { .. } => self.finish(now, event),
                Event::Report => self.report(time, now),
                Event::Churn => self.churn(time, now),
                Event::Return { engine, is_restart } => {
                    if is_restart {
                        self.engines[engine].cache = PrefixCache::default();
                    }
                    self.engines[engine].takes_new_work = true;
                    self.publish(now);
                }
            }
        }
        self.figures
    }

    fn turn(&mut self, time: u64, now: Instant, id: u64) {
        let mut chat = self.chats[&id];
        let host = self.rng.random_range(0..self.scenario.hosts);
        let prompt = chat.tokens + self.rng.random_range(50..500);
        let output = self.rng.random_range(50..400);
        let work = prompt + 200;
        let Some(index) = self.choose(now, host, id, work) else {
            self.figures.waits += 1;
            self.schedule(time + 100, Event::Turn { chat: id });
            return;
        };
        let engine = &mut self.engines[index];
        let cached = engine.cache.cached(id).min(prompt);
        engine.running += 1;
        engine.work += work;
        let incarnation = engine.incarnation;
        if time >= UNMEASURED_MS && chat.tokens > 0 {
            self.figures.prompt_tokens += chat.tokens;
            self.figures.cached_tokens += cached.min(chat.tokens);
            self.figures.turns += 1;
            self.figures.moved_turns += u64::from(chat.last_engine.is_some_and(|it| it != index));
        }
        // 5,000 tokens/s of prompt that is not cached, 15 ms per token of output.
        let length = 100 + (prompt - cached) / 5 + output * 15;
        let tokens = prompt + output;
        let finish = Event::Finish { host, engine: index, incarnation, work, chat: id, tokens };
        self.schedule(time + length, finish);
        if id == 0 {
            return;
        }
        chat.tokens = tokens;
        chat.last_engine = Some(index);
        chat.turns_left -= 1;
        if chat.turns_left == 0 {
            self.chats.remove(&id);
            return;
        }
        self.chats.insert(id, chat);
        // Most pauses are short (mean 20 s), some are long (mean 5 min).
        let mean = if self.rng.random_bool(0.85) { 20_000.0 } else { 300_000.0 };
        let pause = (-self.rng.random::<f64>().max(1e-12).ln() * mean) as u64;
        self.schedule(time + length + pause, Event::Turn { chat: id });
    }

    fn choose(&mut self, now: Instant, host: usize, chat: u64, work: u64) -> Option<usize> {
        let name = format!("chat-{chat}");
        let available: Vec<usize> = match self.strategy {
            Strategy::Design => Vec::new(),
            _ => (0..self.engines.len()).filter(|it| self.engines[*it].takes_new_work).collect(),
        };
        match self.strategy {
            Strategy::Design => {
                let request = PickRequest {
                    target: PickTarget::Model(&ModelName::new("m")),
                    chat: Some(&name),
                    request_id: &self.rng.random::<u64>().to_string(),
                    work,
                    tried: &[],
                };
                let picker = &mut self.pickers[host];
                match picker.pick(now, &request, &self.catalogue, &self.host_sets) {
                    PickOutcome::Picked(pick) => {
                        picker.record_start(now, &pick.upstream, work);
                        self.engines.iter().position(|it| it.name == pick.upstream)
                    }
                    PickOutcome::Busy { .. } | PickOutcome::NoneEligible => None,
                }
            }
            Strategy::LeastLoaded => {
                // Ties are broken at random, or all hosts would prefer the first names.
                let loads = &mut self.loads[host];
                let rng = &mut self.rng;
                let chosen =
                    available.into_iter().min_by_key(|it| (loads[*it], rng.random::<u32>()))?;
                loads[chosen] += work;
                Some(chosen)
            }
            Strategy::Modulo => {
                let hash = rendezvous::hash_parts(&[&name]);
                Some(available[hash as usize % available.len()])
            }
        }
    }

    fn finish(&mut self, now: Instant, event: Event) {
        let Event::Finish { host, engine: index, incarnation, work, chat, tokens } = event else {
            return;
        };
        let engine = &mut self.engines[index];
        let is_same = engine.incarnation == incarnation;
        if is_same {
            engine.running -= 1;
            engine.work -= work;
            engine.cache.store(chat, tokens);
        }
        let kind = if is_same { FinishKind::Complete } else { FinishKind::UpstreamLost };
        let name = engine.name.clone();
        match self.strategy {
            Strategy::Design => {
                if let Some(notice) = self.pickers[host].record_end(now, &name, work, kind) {
                    self.send_notice(now, host, &notice);
                }
            }
            Strategy::LeastLoaded | Strategy::Modulo => {}
        }
    }

    fn send_notice(&mut self, now: Instant, host: usize, notice: &snipepond::routing::ColdNotice) {
        for (peer, picker) in self.pickers.iter_mut().enumerate() {
            if peer != host {
                picker.apply_notice(now, notice);
            }
        }
    }

    fn report(&mut self, time: u64, now: Instant) {
        // One tenth of the hosts read reports at each tick, so that the ages of reports differ.
        let tick = time / (REPORT_INTERVAL_MS / 10);
        for engine in &mut self.engines {
            engine.history.push_back((time, engine.running, engine.work, engine.incarnation));
            while engine.history[0].0 + REPORT_INTERVAL_MS < time {
                engine.history.pop_front();
            }
        }
        for host in 0..self.scenario.hosts {
            if host as u64 % 10 != tick % 10 {
                continue;
            }
            for index in 0..self.engines.len() {
                let engine = &self.engines[index];
                let (_, running, work_tokens, incarnation) = engine.history[0];
                let report =
                    LoadReport { incarnation, running, work_tokens, ..LoadReport::default() };
                let name = engine.name.clone();
                match self.strategy {
                    Strategy::Design => {
                        if let Some(notice) = self.pickers[host].apply_report(now, &name, &report) {
                            self.send_notice(now, host, &notice);
                        }
                    }
                    Strategy::LeastLoaded => self.loads[host][index] = work_tokens,
                    Strategy::Modulo => {}
                }
            }
        }
        if time >= UNMEASURED_MS && tick.is_multiple_of(10) {
            let loads: Vec<f64> = self
                .engines
                .iter()
                .filter(|it| it.takes_new_work)
                .map(|it| it.work as f64)
                .collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            let max = loads.iter().copied().fold(0.0, f64::max);
            self.figures.skew.push(max / mean);
            self.figures.engine_samples += loads.len() as u64;
            self.figures.over_bound += loads.iter().filter(|it| **it > 1.5 * mean).count() as u64;
        }
        self.schedule(time + REPORT_INTERVAL_MS / 10, Event::Report);
    }

    /// Takes an engine out of service: for 3 s, or for 30 s or 2 min with a restart.
    fn churn(&mut self, time: u64, now: Instant) {
        let index = self.rng.random_range(0..self.engines.len());
        if !self.engines[index].takes_new_work {
            return;
        }
        let (absence, is_restart) = match self.rng.random_range(0..3) {
            0 => (3_000, false),
            1 => (30_000, true),
            _ => (120_000, true),
        };
        let engine = &mut self.engines[index];
        engine.takes_new_work = false;
        if is_restart {
            engine.incarnation += 1_000;
            engine.running = 0;
            engine.work = 0;
        }
        self.publish(now);
        self.schedule(time + absence, Event::Return { engine: index, is_restart });
    }

    fn publish(&mut self, now: Instant) {
        self.catalogue = catalogue(self.catalogue.revision() + 1, &self.engines);
        if self.strategy == Strategy::Design {
            for picker in &mut self.pickers {
                picker.adopt_catalogue(now, &self.catalogue);
            }
        }
    }
}

/// Returns the microseconds per pick with `engines` engines: for a chat, for a request without a
/// chat, and for a chat while all engines are cold and this host has no slot.
fn pick_cost(engines: usize, hosts: usize) -> [f64; 3] {
    let scenario = Scenario { hosts, engines, hot_share: 0.0, has_churn: false };
    let mut simulation = Simulation::new(scenario, Strategy::Design, 1);
    let now = simulation.start;
    let mut cold_picker = simulation.pickers[1].clone();
    let picker = &mut simulation.pickers[0];
    picker.adopt_catalogue(now, &simulation.catalogue);
    for engine in &simulation.engines {
        let report = LoadReport {
            incarnation: 1,
            running: 18,
            work_tokens: 18_000,
            ..LoadReport::default()
        };
        picker.apply_report(now, &engine.name, &report);
    }
    let model = ModelName::new("m");
    let cost = |picker: &mut UpstreamPicker, has_chat: bool, host_sets: &[HostSet]| {
        const PICKS: u32 = 100_000;
        let names: Vec<String> = (0..PICKS).map(|it| format!("chat-{it}")).collect();
        let begin = Instant::now();
        let mut picked = 0;
        for name in &names {
            let request = PickRequest {
                target: PickTarget::Model(&model),
                chat: has_chat.then_some(name),
                request_id: name,
                work: 1_000,
                tried: &[],
            };
            let outcome = picker.pick(now, &request, &simulation.catalogue, host_sets);
            picked += u32::from(matches!(outcome, PickOutcome::Picked(_)));
        }
        assert!(picked == PICKS || picked == 0);
        begin.elapsed().as_secs_f64() * 1e6 / f64::from(PICKS)
    };
    let sets_without_host: Vec<HostSet> = vec![simulation.host_sets[0][2..].into()];
    [
        cost(picker, true, &simulation.host_sets),
        cost(picker, false, &simulation.host_sets),
        cost(&mut cold_picker, true, &sets_without_host),
    ]
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
    println!("seed {seed}, {} s measured; work in tokens", (RUN_MS - UNMEASURED_MS) / 1000);
    println!(
        "{:>5} {:>7} {:>5} {:>6} {:<12} {:>7} {:>8} {:>8} {:>9} {:>7} {:>7}",
        "hosts",
        "engines",
        "churn",
        "hot",
        "strategy",
        "reuse",
        "max/mean",
        "p95",
        "over 1.5",
        "moved",
        "waits"
    );
    for (hosts, engines) in [(7, 10), (67, 100)] {
        for (hot_share, has_churn) in [(0.0, false), (0.0, true), (0.05, true)] {
            for strategy in [Strategy::Design, Strategy::LeastLoaded, Strategy::Modulo] {
                let scenario = Scenario { hosts, engines, hot_share, has_churn };
                let mut figures = Simulation::new(scenario, strategy, seed).run();
                figures.skew.sort_by(f64::total_cmp);
                let mean = figures.skew.iter().sum::<f64>() / figures.skew.len() as f64;
                println!(
                    "{:>5} {:>7} {:>5} {:>6} {:<12} {:>6.1}% {:>8.2} {:>8.2} {:>8.2}% {:>6.1}% {:>7}",
                    hosts,
                    engines,
                    if has_churn { "yes" } else { "no" },
                    hot_share,
                    format!("{strategy:?}"),
                    100.0 * figures.cached_tokens as f64 / figures.prompt_tokens as f64,
                    mean,
                    figures.skew[figures.skew.len() * 95 / 100],
                    100.0 * figures.over_bound as f64 / figures.engine_samples as f64,
                    100.0 * figures.moved_turns as f64 / figures.turns as f64,
                    figures.waits,
                );
            }
        }
    }
    for (hosts, engines) in [(7, 10), (67, 100)] {
        let [chat, other, cold] = pick_cost(engines, hosts);
        println!(
            "{engines} engines: {chat:.2} us per pick of a chat, {other:.2} us without a chat, \
             {cold:.2} us if all are cold and none has a slot"
        );
    }
    let bytes = LoadTable::bytes_per_upstream() + ColdLimiter::bytes_per_upstream();
    println!("{bytes} bytes of state per engine and host");
}
