//! Measures processor time and messages of the control actor of one host for fleets of several
//! sizes: `cargo run --release -p snipepond --example control_measure`.
//!
//! Takes about 20 s on one thread, in simulated time and without a network. The host gets its share
//! of the requests, and for every message that it sends to a peer it receives one of the same kind.
//! docs/measurements.md explains the output.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, sync_channel},
    },
    time::{Duration, Instant},
};

use snipepond::{
    catalogue::KeyHash,
    config::{ConfigChange, EntryChange},
    control::{
        AdmitOutcome, AdmitRequest, ControlCommand, ControlState, DispatchEnd, DispatchOutcome,
        DispatchRequest, DispatchTarget, HostDigest, PeerReply, PeerRequest, RequestEnd,
        StateSettings,
    },
    limits::{GrantAccount, GrantReply, GrantRequest},
    membership::{Heartbeat, HeartbeatReply, HostList, HostRecord, HostState, ViewTiming},
    names::{CentreName, HostName, ModelName, TeamName},
    peer::{PeerCall, PeerCaller, encode_message},
    quarantine::RequestFingerprint,
    routing::LoadReport,
    telemetry::RouterMetrics,
};

/// Data centres; hosts are spread evenly over them.
const CENTRES: usize = 6;

/// Number of models at the target size.
const MODELS: usize = 12;

/// Tick interval of the control actor.
const TICK: Duration = Duration::from_millis(10);

/// Simulated time before the measurement. A new host owns nothing for 17 s, and the interval after
/// its first round of load reports is 175 s with 600 engines.
const WARM_UP: Duration = Duration::from_secs(200);

/// Simulated time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Time from the dispatch of a request to its end.
const SERVICE_TIME: Duration = Duration::from_secs(5);

/// Size of the HTTP heads of one request between hosts and its reply, as `state_measure` prints it.
const HEAD_BYTES: usize = 206;

/// Size of the fleet and load of the simulated host; printed with its name and fields.
#[derive(Clone, Copy, Debug)]
struct Plan {
    teams: usize,
    keys: usize,
    engines: usize,
    hosts: usize,
    /// Requests per second at this host.
    rate: u32,
    /// Whether the platform responds after the warm-up.
    is_platform_up: bool,
}

const TARGET: Plan =
    Plan { teams: 440, keys: 1_800, engines: 600, hosts: 402, rate: 14, is_platform_up: true };

fn main() {
    println!("one host, simulated; processor time of the control actor only");
    let plans = [
        ("target", TARGET),
        ("target, no requests", Plan { rate: 0, ..TARGET }),
        ("target, platform silent", Plan { is_platform_up: false, ..TARGET }),
        ("10 teams", Plan { teams: 10, ..TARGET }),
        ("100 teams", Plan { teams: 100, ..TARGET }),
        ("10 engines", Plan { engines: 10, ..TARGET }),
        ("100 engines", Plan { engines: 100, ..TARGET }),
        ("12 hosts", Plan { hosts: 12, ..TARGET }),
        ("66 hosts", Plan { hosts: 66, ..TARGET }),
    ];
    for (name, plan) in plans {
        HostSimulation::new(plan).run(name);
    }
}

/// Collects the calls of the host until they are delivered.
#[derive(Default)]
struct CallLog {
    calls: Mutex<Vec<PeerCall<PeerRequest>>>,
}

impl PeerCaller<PeerRequest, PeerReply> for CallLog {
    fn submit(&self, call: PeerCall<PeerRequest>) {
        self.calls.lock().expect("never poisoned").push(call);
    }
}

/// Messages or processor time of one kind of work.
#[derive(Default)]
struct WorkTally {
    count: usize,
    bytes: usize,
    time: Duration,
}

struct RunningRequest {
    number: u64,
    admission: Arc<snipepond::control::RequestAdmission>,
    ends: Instant,
}

/// The control state of one host and a simulation of its workers, its peers and the platform.
struct HostSimulation {
    plan: Plan,
    state: ControlState,
    log: Arc<CallLog>,
    list: HostList,
    now: Instant,
    is_measuring: bool,
    tallies: BTreeMap<&'static str, WorkTally>,
    admissions: Vec<Receiver<AdmitOutcome>>,
    dispatches: Vec<(Receiver<DispatchOutcome>, Arc<snipepond::control::RequestAdmission>)>,
    running: Vec<RunningRequest>,
    arrivals: usize,
    refusals: usize,
    sequence: u64,
    sender_turn: usize,
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    (Ipv4Addr::new(192, 0, high, low), 8_081).into()
}

fn host_list(hosts: usize) -> HostList {
    let hosts = (0..hosts)
        .map(|index| HostRecord {
            name: HostName::new(&format!("host-{index:03}")),
            address: address(index),
            data_centre: CentreName::new(&format!("dc{}", index % CENTRES)),
            state: HostState::Live,
        })
        .collect();
    HostList { version: 1, hosts }
}

fn key_text(index: usize) -> String {
    format!("sk-model-{index}")
}

fn config(plan: Plan) -> ConfigChange {
    let mut entries = vec![
        (
            "class/interactive".to_owned(),
            r#"{"priority":0,"deadline_ms":410,"queue_ms":5000}"#.to_owned(),
        ),
        (
            "fleet/settings".to_owned(),
            r#"{"skew_multiple":1.5}"#.to_owned(),
        ),
        (
            "route/chat".to_owned(),
            r#"{"owner":"platform","path":"/v1/chat/completions","methods":["POST"],"kind":"chat"}"#
                .to_owned(),
        ),
    ];
    for index in 0..CENTRES {
        let region = index / 3;
        entries.push((
            format!("data_centre/dc{index}"),
            format!(r#"{{"region":"r{region}","state":"in_service"}}"#),
        ));
    }
    for index in 0..plan.teams {
        let text = r#"{"owner":"platform","class":"interactive","rate":1000.0,"burst":1000}"#;
        entries.push((format!("team/team-{index:03}"), text.to_owned()));
    }
    for index in 0..plan.keys {
        let team = index % plan.teams;
        let hash = KeyHash::of(&key_text(index));
        entries.push((
            format!("key/k{index:04}"),
            format!(r#"{{"team":"team-{team:03}","sha256":"{hash}","state":"active"}}"#),
        ));
    }
    for index in 0..plan.engines {
        let models: Vec<String> = if plan.engines < MODELS {
            (0..MODELS).map(|it| format!(r#""model-{it}""#)).collect()
        } else {
            vec![format!(r#""model-{}""#, index % MODELS)]
        };
        entries.push((
            format!("upstream/engine-{index:03}"),
            format!(
                r#"{{"owner":"platform","kind":"engine","address":"{}","data_centre":"dc{}","models":[{}],"capacity":640,"cold_allowance":160,"warmup_ms":60000,"state":"in_service"}}"#,
                address(index),
                index % CENTRES,
                models.join(",")
            ),
        ));
    }
    let entries = entries
        .into_iter()
        .map(|(key, value)| EntryChange { key: key.into(), revision: 1, value: Some(value.into()) })
        .collect();
    ConfigChange { base: 0, revision: 1, entries }
}

fn kind_of(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Heartbeat(_) => "heartbeat",
        PeerRequest::Digest(_) => "digest",
        PeerRequest::Grant(_) => "grant",
        PeerRequest::Loads(_) => "loads",
        PeerRequest::Cold(_) => "cold",
        PeerRequest::Records { .. } => "records",
        _ => "other",
    }
}

fn load_report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        running: 100,
        waiting: 0,
        capacity: 640,
        work_tokens: 40_000,
        cold: false,
    }
}

impl HostSimulation {
    fn new(plan: Plan) -> Self {
        let now = Instant::now();
        let list = host_list(plan.hosts);
        let log = Arc::new(CallLog::default());
        let settings = StateSettings {
            identity: list.hosts[0].clone(),
            incarnation: 1,
            timing: ViewTiming::default(),
            max_queued: 2_048,
            metrics: Arc::new(RouterMetrics::new()),
            caller: log.clone(),
        };
        Self {
            plan,
            state: ControlState::new(settings, now),
            log,
            list,
            now,
            is_measuring: false,
            tallies: BTreeMap::new(),
            admissions: Vec::new(),
            dispatches: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
            refusals: 0,
            sequence: 0,
            sender_turn: 0,
        }
    }

    fn run(mut self, name: &str) {
        self.command("config", ControlCommand::ConfigRead(config(self.plan)));
        let list = self.list.clone();
        self.read_hosts(Some(list));
        let start = self.now;
        let mut next_list = start;
        let mut next_loads = start;
        let mut due_arrivals = 0.0;
        while self.now < start + WARM_UP + MEASURED_TIME {
            self.is_measuring = self.now >= start + WARM_UP;
            if self.now >= next_list && (self.plan.is_platform_up || !self.is_measuring) {
                next_list += Duration::from_secs(3);
                self.read_hosts(None);
            }
            if self.now >= next_loads {
                next_loads = self.now + self.load_round();
            }
            due_arrivals += f64::from(self.plan.rate) * TICK.as_secs_f64();
            while due_arrivals >= 1.0 {
                due_arrivals -= 1.0;
                self.send_request();
            }
            self.advance_requests();
            let now = self.now;
            self.timed("tick", |state| state.tick(now));
            self.deliver_calls();
            self.now += TICK;
        }
        self.print(name);
    }

    /// Runs work on the state and adds its processor time to the tally of its kind.
    fn timed<T>(&mut self, kind: &'static str, work: impl FnOnce(&mut ControlState) -> T) -> T {
        let started = Instant::now();
        let result = work(&mut self.state);
        let elapsed = started.elapsed();
        if self.is_measuring {
            let tally = self.tallies.entry(kind).or_default();
            tally.count += 1;
            tally.time += elapsed;
        }
        result
    }

    fn command(&mut self, kind: &'static str, command: ControlCommand) {
        let now = self.now;
        self.timed(kind, |state| state.handle(now, command));
    }

    fn read_hosts(&mut self, list: Option<HostList>) {
        let started = self.now;
        self.command("hosts read", ControlCommand::HostsRead { started, list });
    }

    /// Simulates a round of load reports; returns the time until the next round.
    fn load_round(&mut self) -> Duration {
        let (reply, receiver) = sync_channel(1);
        self.command("load round", ControlCommand::LoadRound(reply));
        let round = receiver.recv().expect("the state replies at once");
        let reports = round.targets.into_iter().map(|it| (it.upstream, load_report())).collect();
        self.command("loads read", ControlCommand::LoadsRead(reports));
        round.interval
    }

    fn send_request(&mut self) {
        self.arrivals += 1;
        // Consecutive requests come from different teams.
        let key = KeyHash::of(&key_text((self.arrivals * 7) % self.plan.keys));
        let request = AdmitRequest {
            key: Some(key),
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
        };
        let (reply, admission) = sync_channel(1);
        self.command("admit", ControlCommand::Admit(request, reply));
        self.admissions.push(admission);
    }

    /// Advances the requests: dispatches admitted ones and ends those that have run.
    fn advance_requests(&mut self) {
        let mut admitted = Vec::new();
        self.admissions.retain(|it| match it.try_recv() {
            Ok(outcome) => {
                admitted.push(outcome);
                false
            }
            Err(_) => true,
        });
        for outcome in admitted {
            match outcome {
                AdmitOutcome::Admitted(admission) => self.dispatch(admission),
                AdmitOutcome::Refused(_) => self.refusals += 1,
            }
        }
        let mut sent = Vec::new();
        self.dispatches.retain(|(it, admission)| match it.try_recv() {
            Ok(outcome) => {
                sent.push((outcome, admission.clone()));
                false
            }
            Err(_) => true,
        });
        for (outcome, admission) in sent {
            let DispatchOutcome::Send(permit) = outcome else {
                self.refusals += 1;
                continue;
            };
            let number = permit.number;
            let incarnation = None;
            self.command("first chunk", ControlCommand::FirstChunk { number, incarnation });
            self.running.push(RunningRequest { number, admission, ends: self.now + SERVICE_TIME });
        }
        let now = self.now;
        let ended: Vec<RunningRequest> = self.running.extract_if(.., |it| it.ends <= now).collect();
        for request in ended {
            self.command(
                "dispatch end",
                ControlCommand::DispatchEnded(request.number, DispatchEnd::Complete),
            );
            let end = RequestEnd::Completed { first_chunk: Duration::from_millis(200) };
            self.command("request end", ControlCommand::RequestEnded(request.admission, end));
        }
    }

    fn dispatch(&mut self, admission: Arc<snipepond::control::RequestAdmission>) {
        let chat = format!("chat-{}", self.arrivals);
        let request = DispatchRequest {
            admission: admission.clone(),
            target: DispatchTarget::Chat {
                model: ModelName::new(&format!("model-{}", self.arrivals % MODELS)),
                chat: chat.clone(),
            },
            request_id: chat.clone(),
            fingerprint: RequestFingerprint::of(&admission.team, chat.as_bytes()),
            work: 400,
            tried: Vec::new(),
            needs_resume: false,
        };
        let (reply, outcome) = sync_channel(1);
        self.command("dispatch", ControlCommand::Dispatch(Box::new(request), reply));
        self.dispatches.push((outcome, admission));
    }

    /// Replies to the calls of this host and simulates as many calls of the same kinds from peers.
    fn deliver_calls(&mut self) {
        let calls = std::mem::take(&mut *self.log.calls.lock().expect("never poisoned"));
        for call in calls {
            let kind = kind_of(&call.request);
            let Some(peer) = self.list.hosts.iter().find(|it| it.address == call.address).cloned()
            else {
                continue;
            };
            let (reply, received) = self.peer_reply(&call.request, &peer);
            if self.is_measuring {
                let bytes = encode_message(&call.request).len() + encode_message(&reply).len();
                let tally = self.tallies.entry(sent_name(kind)).or_default();
                tally.count += 1;
                tally.bytes += bytes + HEAD_BYTES;
            }
            self.command(ended_name(kind), ControlCommand::PeerEnded(Box::new(call), Ok(reply)));
            if let Some(request) = received {
                let (reply, receiver) = sync_channel(1);
                self.command(received_name(kind), ControlCommand::Peer(Box::new(request), reply));
                let _ = receiver.try_recv();
            }
        }
    }

    /// Returns the reply of a peer, and a message of the same kind that another peer sends to this
    /// host.
    fn peer_reply(
        &mut self,
        request: &PeerRequest,
        peer: &HostRecord,
    ) -> (PeerReply, Option<PeerRequest>) {
        let local_peers: Vec<HostRecord> =
            self.list.live_in(&CentreName::new("dc0")).skip(1).cloned().collect();
        self.sender_turn += 1;
        let sender = local_peers[self.sender_turn % local_peers.len()].clone();
        match request {
            PeerRequest::Heartbeat(_) => {
                let reply = HeartbeatReply {
                    host: peer.clone(),
                    incarnation: 1,
                    // The hash is used only while the platform does not respond.
                    view_hash: 0,
                    heard: Vec::new(),
                };
                let received = Heartbeat { host: sender, incarnation: 1, list_version: 1 };
                (PeerReply::Heartbeat(reply), Some(PeerRequest::Heartbeat(received)))
            }
            PeerRequest::Digest(_) => {
                let digest = |host: &HostRecord| HostDigest {
                    host: host.name.clone(),
                    incarnation: 1,
                    accepted: 1,
                    seen: 1,
                };
                (PeerReply::Digest(digest(peer)), Some(PeerRequest::Digest(digest(&sender))))
            }
            PeerRequest::Grant(wanted) => {
                let reply = GrantReply {
                    level: 0,
                    team: wanted.team.clone(),
                    sequence: wanted.sequence,
                    is_owner: true,
                    granted: wanted.wanted + wanted.spare,
                    lifetime_ms: 1_000,
                    retry_ms: 0,
                    is_tight: false,
                };
                self.sequence += 1;
                let team = self.sender_turn % self.plan.teams;
                let received = GrantRequest {
                    is_partial: false,
                    team: TeamName::new(&format!("team-{team:03}")),
                    borrower: sender.name,
                    incarnation: 1,
                    sequence: self.sequence,
                    wanted: 1_000,
                    spare: 0,
                    accounts: vec![GrantAccount {
                        sequence: self.sequence - 1,
                        spent: 1_000,
                        returned: 0,
                        age_ms: 10,
                    }],
                };
                (PeerReply::Grant(reply), Some(PeerRequest::Grant(received)))
            }
            PeerRequest::Loads(_) => (PeerReply::Done, Some(request.clone())),
            PeerRequest::Records { .. } => (PeerReply::Records(Default::default()), None),
            _ => (PeerReply::Done, None),
        }
    }

    fn print(&self, name: &str) {
        let seconds = MEASURED_TIME.as_secs_f64();
        let time: Duration = self.tallies.values().map(|it| it.time).sum();
        let bytes: usize = self.tallies.values().map(|it| it.bytes).sum();
        println!("\n{name}: {:?}", self.plan);
        println!(
            "  total: {:.2} % of a core, messages between hosts {:.0} bytes/s (sent requests and \
             their replies; as many again are received), {} requests refused",
            time.as_secs_f64() / seconds * 100.0,
            bytes as f64 / seconds,
            self.refusals
        );
        for (kind, tally) in &self.tallies {
            let rate = tally.count as f64 / seconds;
            if tally.bytes > 0 {
                println!(
                    "  {kind}: {rate:.1}/s, {:.0} bytes each, {:.0} bytes/s",
                    tally.bytes as f64 / tally.count as f64,
                    tally.bytes as f64 / seconds
                );
            } else {
                println!(
                    "  {kind}: {rate:.1}/s, {:.1} us each, {:.3} %",
                    tally.time.as_secs_f64() * 1e6 / tally.count as f64,
                    tally.time.as_secs_f64() / seconds * 100.0
                );
            }
        }
    }
}

fn sent_name(kind: &str) -> &'static str {
    match kind {
        "heartbeat" => "sent: heartbeat",
        "digest" => "sent: digest",
        "grant" => "sent: grant",
        "loads" => "sent: loads",
        "cold" => "sent: cold",
        "records" => "sent: records",
        _ => "sent: other",
    }
}

fn ended_name(kind: &str) -> &'static str {
    match kind {
        "heartbeat" => "reply: heartbeat",
        "digest" => "reply: digest",
        "grant" => "reply: grant",
        "loads" => "reply: loads",
        "cold" => "reply: cold",
        "records" => "reply: records",
        _ => "reply: other",
    }
}

fn received_name(kind: &str) -> &'static str {
    match kind {
        "heartbeat" => "received: heartbeat",
        "digest" => "received: digest",
        "grant" => "received: grant",
        "loads" => "received: loads",
        _ => "received: other",
    }
}
