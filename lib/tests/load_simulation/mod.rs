//! Simulation of the choice of engines by all hosts of a fleet, with the load that the engines
//! really hold. Hosts learn it from response heads and from each other only.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    gateway::{
        AttemptEnd, InFlightScope, PickRequest, ReportedLoad, UpstreamPick, UpstreamRecord,
        UpstreamSet,
    },
    names::{CentreName, HostName, ServiceName, UpstreamName},
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Mean interval between the gossip rounds of a host.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Largest fleet whose hosts report their requests in flight to each other directly. In a larger one
/// they report to one of two hosts of their data centre, which report to those of the others.
const MAX_DIRECT_HOSTS: usize = 8;
const RELAYS_PER_CENTRE: usize = 2;

/// Least time between the reports of a host to another, and the delay of a report.
const DIRECT_INTERVAL: Duration = Duration::from_millis(10);
const RELAY_INTERVAL: Duration = Duration::from_millis(25);
const DIRECT_SURGE_INTERVAL: Duration = Duration::from_millis(25);
const RELAY_SURGE_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_DELAY: Duration = Duration::from_millis(3);

/// Largest delay after which a host learns that a data centre is closed or opened.
const CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Span of the load limit, its multiple of the mean, and the requests that it adds.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
const LIMIT_MULTIPLE: f64 = 2.0;
const LIMIT_SLACK: f64 = 3.0;

/// Requests over the limit within a window that break it, and their least share.
const LIMIT_REQUESTS: usize = 20;
const LIMIT_SHARE: f64 = 0.03;

/// A kind of request: its share, the time to the response head, and the decoding steps after it.
const KINDS: [(f64, Duration, f64); 3] = [
    (0.23, Duration::from_millis(90), 385.0),
    (0.32, Duration::from_millis(70), 294.0),
    (0.45, Duration::from_millis(70), 21.0),
];

/// Time of a decoding step of an idle engine, and what each request that it holds adds.
const STEP: Duration = Duration::from_micros(3_270);
const STEP_PER_REQUEST: Duration = Duration::from_micros(70);

/// Size and load of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    pub hosts: usize,
    pub engines: usize,
    pub centres: usize,
    pub requests_per_s: f64,
    /// Prompts that requests share; some are much more frequent than others.
    pub prompts: u32,
    /// Simulated time.
    pub length: Duration,
    /// A time with more requests.
    pub surge: Option<LoadSurge>,
}

/// Time in which callers send a multiple of their requests.
#[derive(Clone, Copy, Debug)]
pub struct LoadSurge {
    pub multiple: f64,
    pub from: Duration,
    pub until: Duration,
}

/// Time in which a data centre takes no new requests.
#[derive(Clone, Copy, Debug)]
pub struct CentreClosure {
    pub centre: usize,
    pub from: Duration,
    pub until: Duration,
}

/// Requests that reached an engine over the limit, of those in the worst window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    pub over: usize,
    pub requests: usize,
    /// Start of the window.
    pub from: Duration,
    /// Requests of the whole run.
    pub total: usize,
    /// Mean load of the engines at the sends of the worst window.
    pub mean: f64,
}

impl LimitReport {
    pub fn is_broken(&self) -> bool {
        self.over >= LIMIT_REQUESTS && self.over as f64 > LIMIT_SHARE * self.requests as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrival,
    Head { host: usize, engine: usize },
    End { host: usize, engine: usize },
    Gossip { host: usize },
    Report { host: usize },
    Close { host: usize, centre: usize, is_closed: bool },
}

/// The fleet during a run.
struct LoadFleet {
    settings: FleetSettings,
    rng: StdRng,
    start: Instant,
    now: Instant,
    hosts: Vec<UpstreamSet>,
    /// Share of the requests of the hosts up to each one.
    host_shares: Vec<f64>,
    held: Vec<u32>,
    names: Vec<UpstreamName>,
    events: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    next_number: u64,
    /// Time of each request, whether its engine was over the limit, and the mean load.
    sent: Vec<(Instant, bool, f64)>,
    /// When each host last reported its requests in flight, or will.
    reports: Vec<Instant>,
    service: ServiceName,
}

/// Plays a run with the given closures, and returns its worst window.
pub fn play(seed: u64, settings: FleetSettings, closures: &[CentreClosure]) -> LimitReport {
    let mut fleet = LoadFleet::new(seed, settings);
    for closure in closures {
        for host in 0..settings.hosts {
            let delay = CHANGE_DELAY.mul_f64(fleet.rng.random());
            for (at, is_closed) in [(closure.from, true), (closure.until, false)] {
                let event = FleetEvent::Close { host, centre: closure.centre, is_closed };
                fleet.schedule(at + delay, event);
            }
        }
    }
    fleet.run();
    fleet.report()
}

impl LoadFleet {
    fn new(seed: u64, settings: FleetSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now() + SECOND;
        let service = ServiceName::new("chat");
        let names: Vec<UpstreamName> = (0..settings.engines)
            .map(|it| UpstreamName::new(&format!("{:08x}-{it}", rng.random::<u32>())))
            .collect();
        let centre = |index: usize| CentreName::new(&format!("c{}", index % settings.centres));
        let records = |names: &[UpstreamName]| -> Vec<UpstreamRecord> {
            let record = |(index, name): (usize, &UpstreamName)| UpstreamRecord {
                name: name.clone(),
                service: service.clone(),
                address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
                data_centre: centre(index),
                slots: 64,
                is_leaving: false,
                cold_for: Duration::ZERO,
                incarnation: 1,
            };
            names.iter().enumerate().map(record).collect()
        };
        let new_host = |index: usize| {
            let mut host = UpstreamSet::new(HostName::new(&format!("h{index}")), centre(index));
            host.replace_all(start, records(&names));
            host.set_host_count(settings.hosts);
            host.set_live_hosts(settings.hosts);
            host
        };
        let hosts: Vec<UpstreamSet> = (0..settings.hosts).map(new_host).collect();
        let weights: Vec<f64> = (0..settings.hosts).map(|_| rng.random_range(0.5..1.5)).collect();
        let total: f64 = weights.iter().sum();
        let host_shares = weights.iter().scan(0.0, |sum, it| {
            *sum += it / total;
            Some(*sum)
        });
        let mut fleet = Self {
            settings,
            start,
            now: start,
            host_shares: host_shares.collect(),
            held: vec![0; settings.engines],
            hosts,
            names,
            events: BinaryHeap::new(),
            next_number: 0,
            sent: Vec::new(),
            reports: vec![start; settings.hosts],
            service,
            rng,
        };
        for host in 0..settings.hosts {
            let first = GOSSIP_INTERVAL.mul_f64(fleet.rng.random());
            fleet.schedule(first, FleetEvent::Gossip { host });
        }
        if settings.hosts > MAX_DIRECT_HOSTS {
            for host in 0..settings.hosts {
                let first = RELAY_INTERVAL.mul_f64(fleet.rng.random());
                fleet.schedule(first, FleetEvent::Report { host });
            }
        }
        fleet.schedule(Duration::ZERO, FleetEvent::Arrival);
        fleet
    }

    /// Schedules an event at a time since the start.
    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.next_number += 1;
        self.events.push(Reverse((self.start + at, self.next_number, event)));
    }

    fn schedule_in(&mut self, delay: Duration, event: FleetEvent) {
        self.schedule(self.now - self.start + delay, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < self.start + self.settings.length
        {
            self.now = at;
            match event {
                FleetEvent::Arrival => {
                    let gap = -self.rng.random::<f64>().max(1e-9).ln();
                    let gap = Duration::from_secs_f64(gap / self.requests_per_s());
                    self.schedule_in(gap, FleetEvent::Arrival);
                    self.send_request();
                }
                FleetEvent::Head { host, engine } => {
                    let load =
                        ReportedLoad { running: self.held[engine], ..ReportedLoad::default() };
                    self.hosts[host].record_load(at, &self.names[engine], load);
                }
                FleetEvent::End { host, engine } => {
                    self.held[engine] -= 1;
                    let end = AttemptEnd::Complete;
                    self.hosts[host].request_ended(at, &self.names[engine], end);
                    self.schedule_report(host);
                }
                FleetEvent::Gossip { host } => {
                    self.gossip(host);
                    let jitter = self.rng.random_range(0.8..1.2);
                    self.schedule_in(GOSSIP_INTERVAL.mul_f64(jitter), FleetEvent::Gossip { host });
                }
                FleetEvent::Report { host } if self.hosts.len() > MAX_DIRECT_HOSTS => {
                    self.hosts[host].update_report_needs(at, false);
                    self.report_by_relays(host);
                    let interval = self.report_interval(host);
                    self.schedule_in(interval, FleetEvent::Report { host });
                }
                FleetEvent::Report { host } => {
                    self.hosts[host].update_report_needs(at, false);
                    let others = (0..self.hosts.len()).filter(|it| *it != host);
                    others.for_each(|it| self.report_to(host, it, InFlightScope::Host));
                }
                FleetEvent::Close { host, centre, is_closed } => {
                    let centre = CentreName::new(&format!("c{centre}"));
                    self.hosts[host].set_closed(&centre, is_closed);
                }
            }
        }
    }

    fn requests_per_s(&self) -> f64 {
        let elapsed = self.now - self.start;
        let surge = self.settings.surge.filter(|it| (it.from..it.until).contains(&elapsed));
        self.settings.requests_per_s * surge.map_or(1.0, |it| it.multiple)
    }

    fn send_request(&mut self) {
        let drawn = self.rng.random::<f64>();
        let host = self.host_shares.partition_point(|it| *it < drawn).min(self.hosts.len() - 1);
        let kind = self.draw_kind();
        let (_, head, steps) = KINDS[kind];
        // Squared, so that low numbers are frequent.
        let prompts = f64::from(self.settings.prompts);
        let prompt = (self.rng.random::<f64>().powi(2) * prompts) as u64;
        let pick = self.pick(host, prompt);
        let engine = self.names.iter().position(|it| *it == pick.name).expect("published");
        let held = f64::from(self.held[engine]);
        let mean = f64::from(self.held.iter().sum::<u32>()) / self.held.len() as f64;
        self.sent.push((self.now, held > LIMIT_MULTIPLE * mean + LIMIT_SLACK, mean));
        self.hosts[host].request_started(&pick.name);
        self.schedule_report(host);
        self.held[engine] += 1;
        let step = STEP + STEP_PER_REQUEST.mul_f64(held);
        let decoding = step.mul_f64(steps * self.rng.random_range(0.4..1.6));
        self.schedule_in(head, FleetEvent::Head { host, engine });
        self.schedule_in(head + decoding, FleetEvent::End { host, engine });
    }

    /// Lets a host of a small fleet report a change, unless it is about to.
    fn schedule_report(&mut self, host: usize) {
        if self.hosts.len() <= MAX_DIRECT_HOSTS && self.reports[host] < self.now {
            let at = (self.now + REPORT_DELAY).max(self.reports[host] + self.report_interval(host));
            self.reports[host] = at;
            self.schedule(at - self.start, FleetEvent::Report { host });
        }
    }

    /// Sends a host's report to its relay and takes the reply; a relay exchanges with the others.
    fn report_by_relays(&mut self, host: usize) {
        let centres = self.settings.centres;
        let relays = centres * RELAYS_PER_CENTRE;
        if host < relays {
            // Notifies the hosts that do not report yet.
            let wanted_for = self.hosts[host].reports_wanted_for(self.now);
            for follower in (host % centres..self.hosts.len()).step_by(centres) {
                self.hosts[follower].want_reports(self.now, wanted_for);
            }
            for other in host + 1..relays {
                self.report_to(host, other, InFlightScope::Group);
                self.report_to(other, host, InFlightScope::Group);
            }
        } else {
            let relay = host % centres + host / centres % RELAYS_PER_CENTRE * centres;
            self.report_to(host, relay, InFlightScope::Host);
            self.report_to(relay, host, InFlightScope::Others);
        }
    }

    /// Returns the least time between two reports of a host.
    fn report_interval(&self, host: usize) -> Duration {
        let has_few_open = self.hosts[host].has_few_open(self.now);
        match (self.hosts.len() <= MAX_DIRECT_HOSTS, has_few_open) {
            (true, true) => DIRECT_INTERVAL,
            (true, false) => DIRECT_SURGE_INTERVAL,
            (false, true) => RELAY_INTERVAL,
            (false, false) => RELAY_SURGE_INTERVAL,
        }
    }

    fn report_to(&mut self, from: usize, to: usize, scope: InFlightScope) {
        let wanted_for = self.hosts[from].reports_wanted_for(self.now);
        if wanted_for.is_zero() {
            return;
        }
        let name = |host: usize| HostName::new(&format!("h{host}"));
        let counts = self.hosts[from].in_flight(self.now, scope, &name(to));
        let is_direct = self.hosts.len() <= MAX_DIRECT_HOSTS;
        let interval = self.report_interval(from);
        let lag = if is_direct { interval } else { 3 * interval };
        self.hosts[to].want_reports(self.now, wanted_for);
        self.hosts[to].merge_counts(self.now, &name(from), scope, lag, counts);
    }

    fn draw_kind(&mut self) -> usize {
        let mut drawn = self.rng.random::<f64>();
        KINDS
            .iter()
            .position(|(share, ..)| {
                drawn -= share;
                drawn < 0.0
            })
            .unwrap_or(KINDS.len() - 1)
    }

    fn pick(&mut self, host: usize, prompt: u64) -> UpstreamPick {
        let request = PickRequest {
            service: &self.service,
            affinity: Some(prompt.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            tried: &[],
            has_cold_limit: false,
            prefers_local: false,
        };
        self.hosts[host].pick(self.now, &request, |_| 0.0).expect("engines are open")
    }

    /// Exchanges load reports with another host of the same data centre, if there is one.
    fn gossip(&mut self, host: usize) {
        let centres = self.settings.centres;
        let neighbours: Vec<usize> = (0..self.hosts.len())
            .filter(|it| it % centres == host % centres && *it != host)
            .collect();
        if neighbours.is_empty() {
            return;
        }
        let other = neighbours[self.rng.random_range(0..neighbours.len())];
        for (from, to) in [(host, other), (other, host)] {
            for sample in self.hosts[from].recent_loads(self.now) {
                self.hosts[to].merge_load(self.now + MS, &sample);
            }
        }
    }

    fn report(&self) -> LimitReport {
        let mut worst = LimitReport { total: self.sent.len(), ..LimitReport::default() };
        let (mut first, mut over) = (0, 0);
        for (index, (at, is_over, _)) in self.sent.iter().enumerate() {
            over += usize::from(*is_over);
            while self.sent[first].0 + LIMIT_WINDOW < *at {
                over -= usize::from(self.sent[first].1);
                first += 1;
            }
            if over > worst.over {
                worst.over = over;
                worst.requests = index + 1 - first;
                let window = &self.sent[first..=index];
                worst.mean = window.iter().map(|it| it.2).sum::<f64>() / window.len() as f64;
                worst.from = self.sent[first].0 - self.start;
            }
        }
        worst
    }
}
