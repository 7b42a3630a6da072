//! Simulation of a fleet in one process: the state machines of many hosts, driven by an event
//! queue. Delay, loss and duplication of messages are random from a seed; scripts add partitions,
//! pauses, host list lag and host replacement.
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
pub enum AdmissionScheme {
    /// Buckets shared by the fleet, with the state machines of the library.
    SharedBuckets,
    /// Independent buckets on each host with this share of the team's rate and burst.
    PerHost(f64),
}

/// Properties of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct NetSettings {
    /// Shortest and longest delay between hosts of one data centre.
    pub delay_in_centre: (Duration, Duration),
    /// Shortest and longest delay between data centres.
    pub delay_between: (Duration, Duration),
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
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

/// A message between hosts.
#[derive(Clone, Debug)]
enum SimMessage {
    /// With the time of sending.
    Heartbeat(Duration, Heartbeat),
    /// With the incarnation that sent the heartbeat, and when.
    HeartbeatReply(u64, Duration, HeartbeatReply),
    Release(HostRelease),
    GrantRequest(GrantRequest),
    /// With the incarnation that sent the request, and the data centre of the owner.
    GrantReply(u64, CentreName, GrantReply),
}

/// An event in the queue; hosts and teams are named by index.
enum SimEvent {
    /// Periodic work of a host.
    Tick(usize),
    /// Arrival of a request of a team, which is sent to a host.
    Arrival(usize),
    /// Receipt of a request by a host, for a team.
    Request(usize, usize),
    Deliver {
        from: usize,
        to: usize,
        message: SimMessage,
    },
    RequestFailed {
        host: usize,
        incarnation: u64,
        team: TeamName,
        centre: CentreName,
        sequence: u64,
    },
    /// Fault or change that a test scheduled.
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
    /// Arrival and team of each request that waits for a token.
    waiting: Vec<(Duration, usize)>,
    /// Level and refill time of each team's bucket with `AdmissionScheme::PerHost`.
    host_buckets: Vec<(f64, Duration)>,
    is_running: bool,
    paused_until: Duration,
    next_periodic_work: Duration,
    /// Age of the host list that this host reads.
    pub lag: Duration,
    pub reads_platform: bool,
}

/// Limits, offered load and counts of one team.
#[derive(Clone, Debug)]
pub struct SimTeam {
    pub name: TeamName,
    pub rate: f64,
    pub burst: u32,
    /// Requests per second that the team offers at present.
    pub offered: f64,
    /// A host and the share of the requests that it gets; the others are spread evenly.
    pub skew: (usize, f64),
    /// Times of all admissions.
    pub admissions: Vec<Duration>,
    pub stats: TeamStats,
    /// Level and refill time of a central bucket that decides about the same arrivals.
    offered_bucket: (f64, Duration),
    /// Level and refill time of a central bucket, debited by the requests that the fleet admitted.
    admitted_bucket: (f64, Duration),
}

/// Counts of one team since `FleetSim::reset_stats`.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamStats {
    pub offered: u64,
    pub admitted: u64,
    pub refused: u64,
    /// Requests refused although the limits allowed them.
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
    pub scheme: AdmissionScheme,
    pub net: NetSettings,
    pub timing: ViewTiming,
    pub hosts: Vec<SimHost>,
    pub teams: Vec<SimTeam>,
    /// Pairs of hosts that cannot reach each other, lower index first.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub platform_up: bool,
    /// Messages and bytes of token requests and their replies.
    pub token_traffic: (u64, u64),
    /// Messages and bytes of all other messages.
    pub heartbeat_traffic: (u64, u64),
    /// How often two hosts of a data centre acted as the owner of a bucket at the same time.
    pub ownership_conflicts: u64,
    rng: StdRng,
    start: Instant,
    pub now: Duration,
    tick: Duration,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    next_event: u64,
    /// Host lists with their time of publication.
    published_lists: Vec<(Duration, HostList)>,
    /// Catalogues with their time of publication.
    catalogues: Vec<(Duration, Arc<Catalogue>)>,
}

impl FleetSim {
    /// Creates a fleet with the given number of hosts in each data centre.
    pub fn new(seed: u64, centres: &[usize], teams: &[(f64, u32)], timing: ViewTiming) -> Self {
        let start = Instant::now() + secs(1_000);
        let states = vec!["in_service"; centres.len()];
        let mut sim = Self {
            scheme: AdmissionScheme::SharedBuckets,
            net: NetSettings::default(),
            timing,
            hosts: Vec::new(),
            teams: Vec::new(),
            blocked_links: BTreeSet::new(),
            platform_up: true,
            token_traffic: (0, 0),
            heartbeat_traffic: (0, 0),
            ownership_conflicts: 0,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            tick: ms(20),
            queue: BTreeMap::new(),
            next_event: 0,
            published_lists: Vec::new(),
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
                offered_bucket: (f64::from(*burst), Duration::ZERO),
                admitted_bucket: (f64::from(*burst), Duration::ZERO),
            });
            sim.push(Duration::ZERO, SimEvent::Arrival(index));
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
        let host = self.new_process(record);
        self.hosts.push(host);
        self.push(self.now, SimEvent::Tick(index));
        self.publish_hosts();
        index
    }

    fn new_process(&mut self, record: HostRecord) -> SimHost {
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
            host_buckets: self.teams.iter().map(|_| (0.0, self.now)).collect(),
            is_running: true,
            paused_until: Duration::ZERO,
            next_periodic_work: Duration::ZERO,
            lag: Duration::ZERO,
            reads_platform: true,
        }
    }

    // Faults and changes.

    /// Runs `script` at the simulated `time`.
    pub fn schedule(&mut self, time: Duration, script: impl FnOnce(&mut Self) + 'static) {
        self.push(time, SimEvent::Script(Box::new(script)));
    }

    pub fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused_until = self.now + time;
    }

    /// Ends a host's process without a release; the host list shows it after `delay`.
    pub fn kill(&mut self, host: usize, delay: Duration) {
        self.hosts[host].is_running = false;
        self.hosts[host].waiting.clear();
        self.schedule(self.now + delay, move |sim| {
            if !sim.hosts[host].is_running {
                sim.set_listed(host, HostState::Leaving);
            }
        });
    }

    /// Stops a host as planned: it sends its release and ends 1 s later; the host list shows it
    /// `delay` after that.
    pub fn stop(&mut self, host: usize, delay: Duration) {
        let release = self.hosts[host].views.release();
        let peers = self.hosts[host].views.known_peers().into_iter();
        for to in self.host_indices(peers) {
            self.send(host, to, SimMessage::Release(release.clone()));
        }
        self.schedule(self.now + secs(1), move |sim| sim.kill(host, delay));
    }

    /// Starts a new process on a stopped or running host and lists the host as live.
    pub fn restart(&mut self, host: usize) {
        let lag = self.hosts[host].lag;
        self.hosts[host] = self.new_process(self.hosts[host].record.clone());
        self.hosts[host].lag = lag;
        self.set_listed(host, HostState::Live);
    }

    /// Publishes a new state of a host; its process is not affected.
    pub fn set_listed(&mut self, host: usize, state: HostState) {
        self.hosts[host].record.state = state;
        self.publish_hosts();
    }

    /// Blocks all links between a group of hosts and the other hosts, or unblocks them.
    pub fn partition(&mut self, group: &[usize], is_partitioned: bool) {
        for host in group {
            for other in 0..self.hosts.len() {
                if group.contains(&other) {
                    continue;
                }
                let pair = (*host.min(&other), *host.max(&other));
                if is_partitioned {
                    self.blocked_links.insert(pair);
                } else {
                    self.blocked_links.remove(&pair);
                }
            }
        }
    }

    pub fn in_centre(&self, centre: usize) -> Vec<usize> {
        let name = CentreName::new(&format!("c{centre}"));
        (0..self.hosts.len()).filter(|it| self.hosts[*it].record.data_centre == name).collect()
    }

    /// Publishes a catalogue; each host applies it within 12 s.
    pub fn publish(&mut self, catalogue: Catalogue) {
        self.catalogues.push((self.now, Arc::new(catalogue)));
    }

    fn publish_hosts(&mut self) {
        let hosts = self.hosts.iter().map(|it| it.record.clone()).collect();
        let version = self.published_lists.len() as u64 + 1;
        self.published_lists.push((self.now, HostList { version, hosts }));
    }

    // Results.

    /// Returns by how many requests a team exceeds rate * t + burst in its worst window.
    ///
    /// Checks all windows that start and end with an admission; no other window can exceed the
    /// limit by more.
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
            team.offered_bucket = (f64::from(team.burst), self.now);
        }
        self.token_traffic = (0, 0);
        self.heartbeat_traffic = (0, 0);
    }

    // Event loop.

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

    fn push(&mut self, at: Duration, event: SimEvent) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: SimEvent) {
        let host = match &event {
            SimEvent::Tick(host)
            | SimEvent::Request(host, _)
            | SimEvent::RequestFailed { host, .. } => Some(*host),
            SimEvent::Deliver { to, .. } => Some(*to),
            SimEvent::Arrival(_) | SimEvent::Script(_) => None,
        };
        if let Some(host) = host {
            let resume_at = self.hosts[host].paused_until;
            if self.now < resume_at {
                return self.push(resume_at, event);
            }
            if !self.hosts[host].is_running && !matches!(event, SimEvent::Tick(_)) {
                return;
            }
        }
        let now = self.instant(self.now);
        match event {
            SimEvent::Tick(host) => {
                if self.hosts[host].is_running {
                    self.tick(host);
                }
                self.push(self.now + self.tick, SimEvent::Tick(host));
            }
            SimEvent::Arrival(team) => self.handle_arrival(team),
            SimEvent::Request(host, team) => {
                self.hosts[host].waiting.push((self.now, team));
                self.serve_waiting(host);
            }
            SimEvent::Deliver { from, to, message } => self.receive(from, to, message),
            SimEvent::RequestFailed { host, incarnation, team, centre, sequence } => {
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].token_cache.on_failed(now, &team, &centre, sequence);
                    self.serve_waiting(host);
                }
            }
            SimEvent::Script(script) => script(self),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let team = &self.teams[index];
        let (offered, (preferred, skew)) = (team.offered, team.skew);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / offered.max(0.01);
        self.push(self.now + Duration::from_secs_f64(gap.min(1.0)), SimEvent::Arrival(index));
        // No request arrives at the end of a gap that was truncated to 1 s. The next gap is drawn
        // anew, which is equivalent, because exponential gaps are memoryless.
        if gap > 1.0 {
            return;
        }
        let live: Vec<usize> =
            (0..self.hosts.len()).filter(|it| self.hosts[*it].is_running).collect();
        if live.is_empty() {
            return;
        }
        let host = if self.rng.random_bool(skew) && self.hosts[preferred].is_running {
            preferred
        } else {
            live[self.rng.random_range(0..live.len())]
        };
        let team = &mut self.teams[index];
        team.stats.offered += 1;
        refill(&mut team.offered_bucket, team.rate, team.burst, self.now);
        if team.offered_bucket.0 >= 1.0 {
            team.offered_bucket.0 -= 1.0;
            team.stats.entitled += 1;
        }
        self.push(self.now, SimEvent::Request(host, index));
    }

    fn record_decision(&mut self, team: usize, arrived: Duration, is_admitted: bool) {
        let team = &mut self.teams[team];
        refill(&mut team.admitted_bucket, team.rate, team.burst, self.now);
        team.stats.wait += self.now - arrived;
        if is_admitted {
            team.admitted_bucket.0 -= 1.0;
            team.stats.admitted += 1;
            team.admissions.push(self.now);
        } else {
            team.stats.refused += 1;
            team.stats.wrongful += u64::from(team.admitted_bucket.0 >= 1.0);
        }
    }

    /// Admits or refuses the waiting requests of a host and requests tokens for the remaining ones.
    fn serve_waiting(&mut self, host: usize) {
        let now = self.instant(self.now);
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        let mut remaining = Vec::new();
        let mut requests: BTreeMap<usize, (CentreName, u32)> = BTreeMap::new();
        for (arrived, team) in waiting {
            let state = &mut self.hosts[host];
            let entry = &mut self.teams[team];
            if let AdmissionScheme::PerHost(part) = self.scheme {
                let (rate, burst) = (entry.rate * part, f64::from(entry.burst) * part);
                let (level, at) = state.host_buckets[team];
                let refilled = level + rate * (self.now - at).as_secs_f64();
                let level = refilled.min(burst.max(1.0));
                let is_admitted = level >= 1.0;
                state.host_buckets[team] = (level - f64::from(u8::from(is_admitted)), self.now);
                self.record_decision(team, arrived, is_admitted);
                continue;
            }
            let share = state.gate.limit_split(&entry.name).expect("team is known");
            let since = self.start + arrived;
            match state.token_cache.acquire(now, since, &entry.name, share) {
                AcquireOutcome::Acquired => self.record_decision(team, arrived, true),
                AcquireOutcome::Refused { .. } => self.record_decision(team, arrived, false),
                AcquireOutcome::RequestFrom(centres) => {
                    remaining.push((arrived, team));
                    let request = requests.entry(team).or_insert_with(|| (centres[0].clone(), 0));
                    request.1 += 1;
                }
            }
        }
        self.hosts[host].waiting = remaining;
        for (team, (centre, count)) in requests {
            let team = self.teams[team].name.clone();
            let request = self.hosts[host].token_cache.token_request(now, &team, &centre, count);
            if let Some(request) = request {
                self.send_token_request(host, centre, request);
            }
        }
    }

    fn send_token_request(&mut self, host: usize, centre: CentreName, request: GrantRequest) {
        let state = &self.hosts[host];
        let owner = state.views.owner_in(&centre, request.team.as_str());
        let owner = owner.and_then(|it| self.index_of(&it.name));
        let failure = SimEvent::RequestFailed {
            host,
            incarnation: state.incarnation,
            team: request.team.clone(),
            centre,
            sequence: request.sequence,
        };
        match owner {
            Some(owner) => {
                self.push(self.now + ms(100), failure);
                self.send(host, owner, SimMessage::GrantRequest(request));
            }
            None => self.push(self.now, failure),
        }
    }

    fn index_of(&self, name: &HostName) -> Option<usize> {
        self.hosts.iter().position(|it| it.record.name == *name)
    }

    fn host_indices<'a>(&self, records: impl Iterator<Item = &'a HostRecord>) -> Vec<usize> {
        records.filter_map(|it| self.index_of(&it.name)).collect()
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.blocked_links.contains(&(from.min(to), from.max(to)))
    }

    fn send(&mut self, from: usize, to: usize, message: SimMessage) {
        let bytes = match &message {
            SimMessage::Heartbeat(_, it) => rmp_serde::to_vec(it),
            SimMessage::HeartbeatReply(_, _, it) => rmp_serde::to_vec(it),
            SimMessage::Release(it) => rmp_serde::to_vec(it),
            SimMessage::GrantRequest(it) => rmp_serde::to_vec(it),
            SimMessage::GrantReply(_, _, it) => rmp_serde::to_vec(it),
        };
        let is_token = matches!(message, SimMessage::GrantRequest(_) | SimMessage::GrantReply(..));
        let traffic = if is_token { &mut self.token_traffic } else { &mut self.heartbeat_traffic };
        if from == to {
            return self.push(self.now, SimEvent::Deliver { from, to, message });
        }
        traffic.0 += 1;
        traffic.1 += bytes.expect("messages can be serialized").len() as u64;
        if !self.can_reach(from, to) {
            return;
        }
        let is_local = self.hosts[from].record.data_centre == self.hosts[to].record.data_centre;
        let (low, high) = if is_local { self.net.delay_in_centre } else { self.net.delay_between };
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.net.loss) {
                let at = self.now + self.rng.random_range(low..=high);
                let message = message.clone();
                self.push(at, SimEvent::Deliver { from, to, message });
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: SimMessage) {
        let now = self.instant(self.now);
        let start = self.start;
        let requester = self.hosts[from].incarnation;
        let host = &mut self.hosts[to];
        match message {
            SimMessage::Heartbeat(sent, heartbeat) => {
                let reply = host.views.receive_heartbeat(now, &heartbeat);
                self.send(to, from, SimMessage::HeartbeatReply(heartbeat.incarnation, sent, reply));
            }
            SimMessage::HeartbeatReply(incarnation, sent, reply) => {
                let peer = self.hosts[from].record.name.clone();
                let host = &mut self.hosts[to];
                if host.incarnation == incarnation {
                    host.views.receive_reply(start + sent, now, &peer, &reply);
                }
            }
            SimMessage::Release(release) => {
                let _ = host.views.apply_release(now, &release.host, release.incarnation);
            }
            SimMessage::GrantRequest(request) => {
                let team = request.team.clone();
                let owns = host.views.owns(team.as_str(), now);
                let reply = host.buckets.grant(now, owns, host.gate.share(&team), &request);
                let centre = host.record.data_centre.clone();
                if requester == request.incarnation {
                    self.send(to, from, SimMessage::GrantReply(requester, centre, reply));
                }
            }
            SimMessage::GrantReply(incarnation, centre, reply) => {
                if host.incarnation == incarnation {
                    host.token_cache.on_reply(now, &centre, &reply);
                    self.serve_waiting(to);
                }
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.instant(self.now);
        if self.now >= self.hosts[host].next_periodic_work {
            self.hosts[host].next_periodic_work = self.now + secs(1);
            self.run_periodic_work(host, now);
        }
        for (centre, request) in self.hosts[host].token_cache.due_requests(now) {
            self.send_token_request(host, centre, request);
        }
        self.serve_waiting(host);
    }

    fn run_periodic_work(&mut self, index: usize, now: Instant) {
        let host = &mut self.hosts[index];
        if self.platform_up && host.reads_platform {
            // The list is the result of a long poll that took one second and ends now.
            let seen = self.now.saturating_sub(host.lag);
            if let Some((_, list)) = self.published_lists.iter().rfind(|it| it.0 <= seen) {
                let started = now.checked_sub(secs(1)).unwrap_or(now).max(self.start);
                host.views.apply_list(started, now, list);
            }
        }
        // The hosts apply a revision one after another.
        let delay = ms(400) * index as u32;
        let next = host.revision + 1;
        if self.catalogues.get(next).is_some_and(|it| it.0 + delay <= self.now) {
            host.revision = next;
            host.gate.on_catalogue(&self.catalogues[next].1);
        }
        for other in 0..self.hosts.len() {
            if self.can_reach(index, other) && self.hosts[other].is_running {
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
        let heartbeat = host.views.heartbeat(now);
        let peers = host.views.heartbeat_targets(now);
        for to in self.host_indices(peers.iter()) {
            self.send(index, to, SimMessage::Heartbeat(self.now, heartbeat.clone()));
        }
        self.count_ownership_conflicts();
    }

    /// Counts teams whose bucket two running hosts of one data centre own at this moment.
    fn count_ownership_conflicts(&mut self) {
        let now = self.instant(self.now);
        for team in &self.teams {
            let mut centres = BTreeSet::new();
            for host in &self.hosts {
                let is_acting = host.is_running
                    && host.paused_until <= self.now
                    && host.views.owns(team.name.as_str(), now);
                if is_acting && !centres.insert(&host.record.data_centre) {
                    self.ownership_conflicts += 1;
                }
            }
        }
    }
}

fn refill(bucket: &mut (f64, Duration), rate: f64, burst: u32, now: Duration) {
    let elapsed = now.saturating_sub(bucket.1).as_secs_f64();
    *bucket = ((bucket.0 + rate * elapsed).min(f64::from(burst)), now);
}
