//! A fleet in one process: the state machines of many hosts, driven by a queue of events with
//! seeded delay, loss and duplication, partitions, pauses, list lag and host replacement.
//!
//! Used by the tests and by `examples/limits_measure.rs`.
#![allow(dead_code, missing_docs)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::Catalogue,
    limits::{AcquireOutcome, BucketTable, GrantReply, GrantRequest, ShareGate, TokenCache},
    membership::{
        Heartbeat, HeartbeatReply, HostList, HostRecord, HostRelease, HostState, ViewTiming,
        ViewTracker,
    },
    names::{CentreName, HostName, TeamName},
};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Parses a catalogue with data centres `c0`, `c1`, ... and teams `t0`, `t1`, ....
pub fn catalogue(revision: u64, centres: &[&str], teams: &[(f64, u32)]) -> Catalogue {
    let class = r#"{"priority":0,"deadline_ms":400,"queue_ms":200}"#;
    let mut entries = BTreeMap::from([("class/c".into(), class.into())]);
    for (index, state) in centres.iter().enumerate() {
        let value = format!(r#"{{"region":"r","state":"{state}"}}"#);
        entries.insert(format!("data_centre/c{index}").into(), value.into());
    }
    for (index, (rate, burst)) in teams.iter().enumerate() {
        let value = format!(r#"{{"owner":"o","class":"c","rate":{rate:?},"burst":{burst}}}"#);
        entries.insert(format!("team/t{index}").into(), value.into());
    }
    Catalogue::parse(revision, &entries).expect("catalogue is valid")
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scheme {
    /// The state machines of the library.
    Fleet,
    /// A bucket per host with this part of the team's rate and burst.
    PerHost(f64),
}

/// Properties of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct NetSettings {
    pub delay_in_centre: (Duration, Duration),
    pub delay_between: (Duration, Duration),
    pub loss: f64,
    pub duplication: f64,
}

impl Default for NetSettings {
    fn default() -> Self {
        Self {
            delay_in_centre: (ms(0), ms(1)),
            delay_between: (Duration::from_micros(500), Duration::from_micros(1_500)),
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

#[derive(Clone, Debug)]
enum Message {
    Heartbeat(Duration, Heartbeat),
    Answer(u64, Duration, HeartbeatReply),
    Release(HostRelease),
    Grant(GrantRequest),
    Granted(u64, CentreName, GrantReply),
}

enum Event {
    Tick(usize),
    Arrival(usize),
    Request(usize, usize),
    Deliver { from: usize, to: usize, message: Message },
    Lost { host: usize, incarnation: u64, team: TeamName, centre: CentreName, sequence: u64 },
    Script(Box<dyn FnOnce(&mut FleetSim)>),
}

pub struct SimHost {
    pub record: HostRecord,
    pub incarnation: u64,
    pub views: ViewTracker,
    pub buckets: BucketTable,
    token_cache: TokenCache,
    gate: ShareGate,
    revision: usize,
    waiting: Vec<(Duration, usize)>,
    local: Vec<(f64, Duration)>,
    runs: bool,
    paused_until: Duration,
    next_second: Duration,
    /// Lag of this host's view of the list.
    pub lag: Duration,
    pub reads_platform: bool,
}

/// Traffic of one team.
#[derive(Clone, Debug)]
pub struct SimTeam {
    pub name: TeamName,
    pub rate: f64,
    pub burst: u32,
    /// Requests per second offered now.
    pub offered: f64,
    /// Part of the requests that goes to one host; the rest is spread evenly.
    pub skew: (usize, f64),
    pub admissions: Vec<Duration>,
    pub stats: TeamStats,
    central: (f64, Duration),
    reference: (f64, Duration),
}

/// Counts of one team since `FleetSim::reset_stats`.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamStats {
    pub offered: u64,
    pub admitted: u64,
    pub refused: u64,
    /// Refused although the limits allowed the request.
    pub wrongful: u64,
    /// Requests that a central bucket would have admitted.
    pub entitled: u64,
    pub wait: Duration,
}

impl std::ops::AddAssign for TeamStats {
    fn add_assign(&mut self, other: Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.refused += other.refused;
        self.wrongful += other.wrongful;
        self.entitled += other.entitled;
        self.wait += other.wait;
    }
}

pub struct FleetSim {
    pub scheme: Scheme,
    pub net: NetSettings,
    pub timing: ViewTiming,
    pub hosts: Vec<SimHost>,
    pub teams: Vec<SimTeam>,
    /// Pairs of hosts that cannot reach each other, lower index first.
    pub blocked: BTreeSet<(usize, usize)>,
    pub platform_up: bool,
    /// Messages and bytes for tokens, and for heartbeats.
    pub token_traffic: (u64, u64),
    pub beat_traffic: (u64, u64),
    pub double_owners: u64,
    rng: StdRng,
    start: Instant,
    pub now: Duration,
    tick: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    truth: Vec<(Duration, HostList)>,
    catalogues: Vec<(Duration, Arc<Catalogue>)>,
}

impl FleetSim {
    /// Creates a fleet with the given number of hosts in each data centre.
    pub fn new(seed: u64, centres: &[usize], teams: &[(f64, u32)], timing: ViewTiming) -> Self {
        let start = Instant::now() + secs(1_000);
        let states = vec!["in_service"; centres.len()];
        let mut sim = Self {
            scheme: Scheme::Fleet,
            net: NetSettings::default(),
            timing,
            hosts: Vec::new(),
            teams: Vec::new(),
            blocked: BTreeSet::new(),
            platform_up: true,
            token_traffic: (0, 0),
            beat_traffic: (0, 0),
            double_owners: 0,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            tick: ms(20),
            queue: BTreeMap::new(),
            next_event: 0,
            truth: Vec::new(),
            catalogues: vec![(Duration::ZERO, Arc::new(catalogue(1, &states, teams)))],
        };
        for (index, (rate, burst)) in teams.iter().enumerate() {
            sim.teams.push(SimTeam {
                name: TeamName::new(&format!("t{index}")),
                rate: *rate,
                burst: *burst,
                offered: *rate,
                skew: (0, 0.0),
                admissions: Vec::new(),
                stats: TeamStats::default(),
                central: (f64::from(*burst), Duration::ZERO),
                reference: (f64::from(*burst), Duration::ZERO),
            });
            sim.push(Duration::ZERO, Event::Arrival(index));
        }
        for (centre, count) in centres.iter().enumerate() {
            for _ in 0..*count {
                sim.add_host(centre);
            }
        }
        sim
    }

    /// Adds a host to the list and starts it.
    pub fn add_host(&mut self, centre: usize) -> usize {
        let index = self.hosts.len();
        let record = HostRecord {
            name: HostName::new(&format!("h{index}")),
            address: ([10, 0, 0, index as u8], 7_000).into(),
            data_centre: CentreName::new(&format!("c{centre}")),
            state: HostState::Live,
        };
        let host = self.process(record);
        self.hosts.push(host);
        self.push(self.now, Event::Tick(index));
        self.publish_hosts();
        index
    }

    fn process(&mut self, record: HostRecord) -> SimHost {
        let now = self.instant(self.now);
        let incarnation = self.rng.random();
        let revision = self.catalogues.len() - 1;
        let mut gate = ShareGate::new(&record, self.timing.takeover_wait());
        gate.on_catalogue(&self.catalogues[revision].1);
        let token_cache =
            TokenCache::new(record.name.clone(), incarnation, record.data_centre.clone());
        SimHost {
            views: ViewTracker::new(record.clone(), incarnation, self.timing, now),
            record,
            incarnation,
            buckets: BucketTable::new(),
            token_cache,
            gate,
            revision,
            waiting: Vec::new(),
            local: self.teams.iter().map(|_| (0.0, self.now)).collect(),
            runs: true,
            paused_until: Duration::ZERO,
            next_second: Duration::ZERO,
            lag: Duration::ZERO,
            reads_platform: true,
        }
    }

    // Faults.

    /// Runs `script` at a time.
    pub fn at(&mut self, time: Duration, script: impl FnOnce(&mut Self) + 'static) {
        self.push(time, Event::Script(Box::new(script)));
    }

    pub fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused_until = self.now + time;
    }

    /// Stops a host without a release; the list shows it after `delay`.
    pub fn kill(&mut self, host: usize, delay: Duration) {
        self.hosts[host].runs = false;
        self.hosts[host].waiting.clear();
        self.at(self.now + delay, move |sim| {
            if !sim.hosts[host].runs {
                sim.set_listed(host, HostState::Leaving);
            }
        });
    }

    /// Stops a host as planned: release, then end, while the list lags.
    pub fn stop(&mut self, host: usize, delay: Duration) {
        let release = self.hosts[host].views.release();
        let neighbours = self.hosts[host].views.known_peers().into_iter();
        for to in self.indices(neighbours) {
            self.send(host, to, Message::Release(release.clone()));
        }
        self.at(self.now + secs(1), move |sim| sim.kill(host, delay));
    }

    /// Starts a new process on a stopped or running host.
    pub fn restart(&mut self, host: usize) {
        let lag = self.hosts[host].lag;
        self.hosts[host] = self.process(self.hosts[host].record.clone());
        self.hosts[host].lag = lag;
        self.set_listed(host, HostState::Live);
    }

    /// Changes only the published state of a host.
    pub fn set_listed(&mut self, host: usize, state: HostState) {
        self.hosts[host].record.state = state;
        self.publish_hosts();
    }

    /// Cuts the hosts of a group off from all others, or heals all cuts of the group.
    pub fn cut(&mut self, group: &[usize], is_cut: bool) {
        for host in group {
            for other in 0..self.hosts.len() {
                if group.contains(&other) {
                    continue;
                }
                let pair = (*host.min(&other), *host.max(&other));
                if is_cut {
                    self.blocked.insert(pair);
                } else {
                    self.blocked.remove(&pair);
                }
            }
        }
    }

    pub fn in_centre(&self, centre: usize) -> Vec<usize> {
        let name = CentreName::new(&format!("c{centre}"));
        (0..self.hosts.len()).filter(|it| self.hosts[*it].record.data_centre == name).collect()
    }

    /// Publishes a catalogue; each host takes it up within 12 s.
    pub fn publish(&mut self, catalogue: Catalogue) {
        self.catalogues.push((self.now, Arc::new(catalogue)));
    }

    fn publish_hosts(&mut self) {
        let hosts = self.hosts.iter().map(|it| it.record.clone()).collect();
        let version = self.truth.len() as u64 + 1;
        self.truth.push((self.now, HostList { version, hosts }));
    }

    // Results.

    /// Returns by how many requests the worst window of a team exceeds rate * t + burst.
    ///
    /// All windows that start and end with an admission are checked; no other window can
    /// exceed the limit by more.
    pub fn excess(&self, team: usize) -> f64 {
        let team = &self.teams[team];
        let mut lowest = f64::INFINITY;
        let mut excess = f64::NEG_INFINITY;
        for (count, at) in team.admissions.iter().enumerate() {
            let balance = count as f64 - team.rate * at.as_secs_f64();
            lowest = lowest.min(balance);
            excess = excess.max(balance + 1.0 - lowest - f64::from(team.burst));
        }
        excess
    }

    /// Returns the excess of the worst team.
    pub fn worst_excess(&self) -> f64 {
        (0..self.teams.len()).map(|it| self.excess(it)).fold(f64::NEG_INFINITY, f64::max)
    }

    pub fn admitted_between(&self, team: usize, from: Duration, to: Duration) -> usize {
        let range = from..to;
        let admissions = &self.teams[team].admissions;
        admissions.iter().filter(|it| range.contains(it)).count()
    }

    pub fn reset_stats(&mut self) {
        for team in &mut self.teams {
            team.stats = TeamStats::default();
            team.central = (f64::from(team.burst), self.now);
        }
        self.token_traffic = (0, 0);
        self.beat_traffic = (0, 0);
    }

    // The run.

    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn instant(&self, time: Duration) -> Instant {
        self.start + time
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Tick(host) | Event::Request(host, _) | Event::Lost { host, .. } => Some(*host),
            Event::Deliver { to, .. } => Some(*to),
            Event::Arrival(_) | Event::Script(_) => None,
        };
        if let Some(host) = host {
            let resumes = self.hosts[host].paused_until;
            if self.now < resumes {
                return self.push(resumes, event);
            }
            if !self.hosts[host].runs && !matches!(event, Event::Tick(_)) {
                return;
            }
        }
        let now = self.instant(self.now);
        match event {
            Event::Tick(host) => {
                if self.hosts[host].runs {
                    self.tick(host);
                }
                self.push(self.now + self.tick, Event::Tick(host));
            }
            Event::Arrival(team) => self.arrive(team),
            Event::Request(host, team) => {
                self.hosts[host].waiting.push((self.now, team));
                self.pump(host);
            }
            Event::Deliver { from, to, message } => self.receive(from, to, message),
            Event::Lost { host, incarnation, team, centre, sequence } => {
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].token_cache.on_failed(now, &team, &centre, sequence);
                    self.pump(host);
                }
            }
            Event::Script(script) => script(self),
        }
    }

    fn arrive(&mut self, index: usize) {
        let team = &self.teams[index];
        let (offered, (favourite, skew)) = (team.offered, team.skew);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / offered.max(0.01);
        self.push(self.now + Duration::from_secs_f64(gap.min(1.0)), Event::Arrival(index));
        // A gap that was cut short carries no arrival; an exponential gap has no memory.
        if gap > 1.0 {
            return;
        }
        let live: Vec<usize> = (0..self.hosts.len()).filter(|it| self.hosts[*it].runs).collect();
        if live.is_empty() {
            return;
        }
        let host = if self.rng.random_bool(skew) && self.hosts[favourite].runs {
            favourite
        } else {
            live[self.rng.random_range(0..live.len())]
        };
        let team = &mut self.teams[index];
        team.stats.offered += 1;
        refill(&mut team.central, team.rate, team.burst, self.now);
        if team.central.0 >= 1.0 {
            team.central.0 -= 1.0;
            team.stats.entitled += 1;
        }
        self.push(self.now, Event::Request(host, index));
    }

    fn decide(&mut self, team: usize, arrived: Duration, is_admitted: bool) {
        let team = &mut self.teams[team];
        refill(&mut team.reference, team.rate, team.burst, self.now);
        team.stats.wait += self.now - arrived;
        if is_admitted {
            team.reference.0 -= 1.0;
            team.stats.admitted += 1;
            team.admissions.push(self.now);
        } else {
            team.stats.refused += 1;
            team.stats.wrongful += u64::from(team.reference.0 >= 1.0);
        }
    }

    /// Lets the waiting requests of a host proceed as far as possible.
    fn pump(&mut self, host: usize) {
        let now = self.instant(self.now);
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        let mut still = Vec::new();
        let mut asks: BTreeMap<usize, (CentreName, u32)> = BTreeMap::new();
        for (arrived, team) in waiting {
            let state = &mut self.hosts[host];
            let entry = &mut self.teams[team];
            if let Scheme::PerHost(part) = self.scheme {
                let (rate, burst) = (entry.rate * part, f64::from(entry.burst) * part);
                let (level, at) = state.local[team];
                let refilled = level + rate * (self.now - at).as_secs_f64();
                let level = refilled.min(burst.max(1.0));
                let is_admitted = level >= 1.0;
                state.local[team] = (level - f64::from(u8::from(is_admitted)), self.now);
                self.decide(team, arrived, is_admitted);
                continue;
            }
            let share = state.gate.limit_split(&entry.name).expect("team is known");
            let since = self.start + arrived;
            match state.token_cache.acquire(now, since, &entry.name, share) {
                AcquireOutcome::Acquired => self.decide(team, arrived, true),
                AcquireOutcome::Refused { .. } => self.decide(team, arrived, false),
                AcquireOutcome::RequestFrom(centres) => {
                    still.push((arrived, team));
                    let ask = asks.entry(team).or_insert_with(|| (centres[0].clone(), 0));
                    ask.1 += 1;
                }
            }
        }
        self.hosts[host].waiting = still;
        for (team, (centre, count)) in asks {
            let team = self.teams[team].name.clone();
            let request = self.hosts[host].token_cache.token_request(now, &team, &centre, count);
            if let Some(request) = request {
                self.ask(host, centre, request);
            }
        }
    }

    fn ask(&mut self, host: usize, centre: CentreName, request: GrantRequest) {
        let state = &self.hosts[host];
        let owner = state.views.owner_in(&centre, request.team.as_str());
        let owner = owner.and_then(|it| self.index_of(&it.name));
        let lost = Event::Lost {
            host,
            incarnation: state.incarnation,
            team: request.team.clone(),
            centre,
            sequence: request.sequence,
        };
        match owner {
            Some(owner) => {
                self.push(self.now + ms(100), lost);
                self.send(host, owner, Message::Grant(request));
            }
            None => self.push(self.now, lost),
        }
    }

    fn index_of(&self, name: &HostName) -> Option<usize> {
        self.hosts.iter().position(|it| it.record.name == *name)
    }

    fn indices<'a>(&self, records: impl Iterator<Item = &'a HostRecord>) -> Vec<usize> {
        records.filter_map(|it| self.index_of(&it.name)).collect()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.blocked.contains(&(from.min(to), from.max(to)))
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Heartbeat(_, it) => rmp_serde::to_vec(it),
            Message::Answer(_, _, it) => rmp_serde::to_vec(it),
            Message::Release(it) => rmp_serde::to_vec(it),
            Message::Grant(it) => rmp_serde::to_vec(it),
            Message::Granted(_, _, it) => rmp_serde::to_vec(it),
        };
        let is_token = matches!(message, Message::Grant(_) | Message::Granted(..));
        let traffic = if is_token { &mut self.token_traffic } else { &mut self.beat_traffic };
        if from == to {
            return self.push(self.now, Event::Deliver { from, to, message });
        }
        traffic.0 += 1;
        traffic.1 += bytes.expect("messages can be serialized").len() as u64;
        if !self.reaches(from, to) {
            return;
        }
        let is_near = self.hosts[from].record.data_centre == self.hosts[to].record.data_centre;
        let (low, high) = if is_near { self.net.delay_in_centre } else { self.net.delay_between };
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.net.loss) {
                let at = self.now + self.rng.random_range(low..=high);
                let message = message.clone();
                self.push(at, Event::Deliver { from, to, message });
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.instant(self.now);
        let start = self.start;
        let asker = self.hosts[from].incarnation;
        let host = &mut self.hosts[to];
        match message {
            Message::Heartbeat(sent, beat) => {
                let reply = host.views.receive_heartbeat(now, &beat);
                self.send(to, from, Message::Answer(beat.incarnation, sent, reply));
            }
            Message::Answer(incarnation, sent, reply) => {
                let peer = self.hosts[from].record.name.clone();
                let host = &mut self.hosts[to];
                if host.incarnation == incarnation {
                    host.views.receive_reply(start + sent, now, &peer, &reply);
                }
            }
            Message::Release(release) => {
                let _ = host.views.apply_release(now, &release.host, release.incarnation);
            }
            Message::Grant(request) => {
                let team = request.team.clone();
                let owns = host.views.owns(team.as_str(), now);
                let reply = host.buckets.grant(now, owns, host.gate.share(&team), &request);
                let centre = host.record.data_centre.clone();
                if asker == request.incarnation {
                    self.send(to, from, Message::Granted(asker, centre, reply));
                }
            }
            Message::Granted(incarnation, centre, reply) => {
                if host.incarnation == incarnation {
                    host.token_cache.on_reply(now, &centre, &reply);
                    self.pump(to);
                }
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.instant(self.now);
        if self.now >= self.hosts[host].next_second {
            self.hosts[host].next_second = self.now + secs(1);
            self.each_second(host, now);
        }
        for (centre, request) in self.hosts[host].token_cache.due_requests(now) {
            self.ask(host, centre, request);
        }
        self.pump(host);
    }

    fn each_second(&mut self, index: usize, now: Instant) {
        let host = &mut self.hosts[index];
        if self.platform_up && host.reads_platform {
            // A long poll of one second that ends now.
            let seen = self.now.saturating_sub(host.lag);
            if let Some((_, list)) = self.truth.iter().rfind(|it| it.0 <= seen) {
                let started = now.checked_sub(secs(1)).unwrap_or(now).max(self.start);
                host.views.apply_list(started, now, list);
            }
        }
        // Hosts take up a revision one after another.
        let delay = ms(400) * index as u32;
        let next = host.revision + 1;
        if self.catalogues.get(next).is_some_and(|it| it.0 + delay <= self.now) {
            host.revision = next;
            host.gate.on_catalogue(&self.catalogues[next].1);
        }
        for other in 0..self.hosts.len() {
            if self.reaches(index, other) && self.hosts[other].runs {
                let state = &self.hosts[other];
                let (name, revision) = (state.record.name.clone(), state.revision as u64 + 1);
                let incarnation = state.incarnation;
                self.hosts[index].gate.record_accepted(&name, incarnation, revision);
            }
        }
        let host = &mut self.hosts[index];
        host.gate.update(now, host.views.host_list());
        let views = &host.views;
        host.buckets.tick(now, host.gate.shares(), |it| views.owns(it.as_str(), now));
        let beat = host.views.heartbeat(now);
        let peers = host.views.heartbeat_targets(now);
        for to in self.indices(peers.iter()) {
            self.send(index, to, Message::Heartbeat(self.now, beat.clone()));
        }
        self.count_double_owners();
    }

    /// Counts teams that two running hosts of one data centre would act for at this moment.
    fn count_double_owners(&mut self) {
        let now = self.instant(self.now);
        for team in &self.teams {
            let mut centres = BTreeSet::new();
            for host in &self.hosts {
                let acts = host.runs
                    && host.paused_until <= self.now
                    && host.views.owns(team.name.as_str(), now);
                if acts && !centres.insert(&host.record.data_centre) {
                    self.double_owners += 1;
                }
            }
        }
    }
}

fn refill(bucket: &mut (f64, Duration), rate: f64, burst: u32, now: Duration) {
    let elapsed = now.saturating_sub(bucket.1).as_secs_f64();
    *bucket = ((bucket.0 + rate * elapsed).min(f64::from(burst)), now);
}
