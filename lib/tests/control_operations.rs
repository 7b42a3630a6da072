//! At-most-once operations through the control states of several hosts in one process, with a
//! manual clock and a fake transport between the hosts.

use std::{
    sync::{Arc, Mutex, mpsc::sync_channel},
    time::{Duration, Instant},
};

use snipepond::{
    config::{ConfigChange, EntryChange},
    control::{
        ControlCommand, ControlState, OperationCommand, OperationEnd, OperationLocation,
        OperationRequest, OperationStart, OperationVerdict, PeerReply, PeerRequest, ReplySender,
        StateSettings,
    },
    front::OutcomeKind,
    membership::{HostList, HostRecord, HostState, ViewTiming},
    names::{CentreName, HostName, TeamName},
    operation::{
        OperationHandle, OperationId, OperationUpdate, RequestDigest, StoreReply, StoredResponse,
    },
    peer::{PeerCall, PeerCaller, PeerError},
    telemetry::RouterMetrics,
};

const TICK: Duration = Duration::from_millis(50);
const TAKEOVER_WAIT: Duration = Duration::from_secs(17);

type CallQueue = Arc<Mutex<Vec<PeerCall<PeerRequest>>>>;

/// Collects the calls of one host until the fleet delivers them.
struct FakeCaller(CallQueue);

impl PeerCaller<PeerRequest, PeerReply> for FakeCaller {
    fn submit(&self, call: PeerCall<PeerRequest>) {
        self.0.lock().expect("lock is not poisoned").push(call);
    }
}

struct FakeHost {
    record: HostRecord,
    /// `None` while the host is down.
    state: Option<ControlState>,
    calls: CallQueue,
    is_listed: bool,
}

/// Result of a request, or its started operation that is ready for dispatch.
#[derive(Debug, PartialEq)]
enum RequestResult {
    Started(StartedRequest),
    Replayed(u16),
    RanBefore,
    Refused(OutcomeKind),
}

/// A request whose operation was started by its owner.
#[derive(Debug, PartialEq)]
struct StartedRequest {
    owner: usize,
    handle: OperationHandle,
    offered: Vec<HostName>,
}

const NOT_RUN: RequestResult = RequestResult::Refused(OutcomeKind::NotRun);
const UNKNOWN: RequestResult = RequestResult::Refused(OutcomeKind::Unknown);

fn result_of(verdict: OperationVerdict) -> RequestResult {
    match verdict {
        OperationVerdict::Replay(response) => RequestResult::Replayed(response.status),
        OperationVerdict::Ran => RequestResult::RanBefore,
        OperationVerdict::Refused(refusal) => RequestResult::Refused(refusal.outcome),
    }
}

/// Hosts of one data centre with a shared clock.
struct TestFleet {
    now: Instant,
    hosts: Vec<FakeHost>,
    /// Version of the host list.
    version: u64,
    /// Number of processes started, and incarnation of the last one.
    started: u64,
    /// Record whose updates are lost in transit.
    lost_updates: Option<OperationId>,
}

impl TestFleet {
    /// Starts hosts of one data centre and runs them until they may act as owners.
    fn new(count: u16) -> Self {
        let host = |number: u16| FakeHost {
            record: HostRecord {
                name: HostName::new(&format!("east{number}")),
                address: ([127, 0, 0, 1], number + 1).into(),
                data_centre: CentreName::new("east"),
                state: HostState::Live,
            },
            state: None,
            calls: CallQueue::default(),
            is_listed: true,
        };
        let mut fleet = Self {
            now: Instant::now(),
            hosts: (0..count).map(host).collect(),
            version: 1,
            started: 0,
            lost_updates: None,
        };
        for host in 0..fleet.hosts.len() {
            fleet.start(host);
        }
        fleet.run(TAKEOVER_WAIT * 2);
        fleet
    }

    /// Starts a new process on a host.
    fn start(&mut self, host: usize) {
        self.started += 1;
        let settings = StateSettings {
            identity: self.hosts[host].record.clone(),
            incarnation: self.started,
            timing: ViewTiming::default(),
            max_queued: 8,
            metrics: Arc::new(RouterMetrics::new()),
            caller: Arc::new(FakeCaller(self.hosts[host].calls.clone())),
        };
        let mut state = ControlState::new(settings, self.now);
        let entry = EntryChange {
            key: "data_centre/east".into(),
            revision: 1,
            value: Some(r#"{"region":"r","state":"in_service"}"#.into()),
        };
        let change = ConfigChange { base: 0, revision: 1, entries: vec![entry] };
        state.handle(self.now, ControlCommand::ConfigRead(change));
        self.hosts[host].state = Some(state);
        self.set_listed(host, true);
    }

    fn set_listed(&mut self, host: usize, is_listed: bool) {
        self.hosts[host].is_listed = is_listed;
        self.version += 1;
    }

    /// Ends the process of a host without a planned stop; its undelivered calls are lost.
    fn crash(&mut self, host: usize) {
        self.hosts[host].state = None;
        self.hosts[host].calls.lock().expect("lock").clear();
    }

    fn handle(&mut self, host: usize, command: ControlCommand) {
        let state = self.hosts[host].state.as_mut();
        state.expect("host runs").handle(self.now, command);
    }

    fn send_command(&mut self, host: usize, command: OperationCommand) {
        self.handle(host, ControlCommand::Operation(Box::new(command)));
    }

    fn ask<T>(
        &mut self,
        host: usize,
        command: impl FnOnce(ReplySender<T>) -> OperationCommand,
    ) -> T {
        let (sender, receiver) = sync_channel(1);
        self.send_command(host, command(sender));
        receiver.try_recv().expect("the state replies at once")
    }

    fn deliver_request(&mut self, host: usize, request: PeerRequest) -> Option<PeerReply> {
        self.hosts[host].state.as_ref()?;
        let (sender, receiver) = sync_channel(1);
        self.handle(host, ControlCommand::Peer(Box::new(request), sender));
        receiver.try_recv().ok()
    }

    /// Advances the clock: hosts read the list every second, tick, and receive the calls of the
    /// same tick.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut next_read = self.now;
        while self.now < end {
            self.now += TICK;
            let listed = self.hosts.iter().filter(|it| it.is_listed);
            let list = HostList {
                version: self.version,
                hosts: listed.map(|it| it.record.clone()).collect(),
            };
            let is_read_due = self.now >= next_read;
            if is_read_due {
                next_read = self.now + Duration::from_secs(1);
            }
            let now = self.now;
            for state in self.hosts.iter_mut().filter_map(|it| it.state.as_mut()) {
                if is_read_due {
                    let list = Some(list.clone());
                    state.handle(now, ControlCommand::HostsRead { started: now, list });
                }
                state.tick(now);
            }
            self.deliver_calls();
        }
    }

    fn deliver_calls(&mut self) {
        for from in 0..self.hosts.len() {
            let calls = std::mem::take(&mut *self.hosts[from].calls.lock().expect("lock"));
            for call in calls {
                let to = usize::from(call.address.port()) - 1;
                let not_sent = || PeerError::NotSent("down".to_owned());
                let is_lost = match &call.request {
                    PeerRequest::UpdateRecord {
                        update: OperationUpdate::Changed(record), ..
                    } => self.lost_updates.as_ref() == Some(&record.id),
                    _ => false,
                };
                let reply = (!is_lost).then(|| self.deliver_request(to, call.request.clone()));
                let result = reply.flatten().ok_or_else(not_sent);
                if self.hosts[from].state.is_some() {
                    self.handle(from, ControlCommand::PeerEnded(Box::new(call), result));
                }
            }
        }
    }

    /// Does what a worker thread does for a request, up to the final check before its dispatch.
    fn send_request(&mut self, entry: usize, key: &str) -> RequestResult {
        let team = TeamName::new("team");
        let location =
            self.ask(entry, |it| OperationCommand::Locate(team.clone(), key.to_owned(), it));
        let (owner, forward) = match location {
            OperationLocation::Local => (entry, None),
            OperationLocation::Forward { host, id } => {
                (usize::from(host.address.port()) - 1, Some(id))
            }
            OperationLocation::Refused(refusal) => return RequestResult::Refused(refusal.outcome),
        };
        if self.hosts[owner].state.is_none() {
            return NOT_RUN;
        }
        let request = OperationRequest {
            team,
            key: key.to_owned(),
            digest: RequestDigest::of("POST", "/print", b"order"),
            forward,
        };
        match self.ask(owner, |it| OperationCommand::Decide(request, it)) {
            OperationStart::Dispatch(handle) => {
                RequestResult::Started(StartedRequest { owner, handle, offered: Vec::new() })
            }
            OperationStart::End(verdict) => result_of(verdict),
            OperationStart::OfferBackup { handle, record, backups } => {
                let mut offered = Vec::new();
                let mut conflict = None;
                for backup in backups {
                    let request = PeerRequest::StoreIntent {
                        sender: self.hosts[owner].record.name.clone(),
                        record: record.clone(),
                    };
                    match self.deliver_request(usize::from(backup.address.port()) - 1, request) {
                        Some(PeerReply::Stored(StoreReply::Stored)) => {
                            offered.push(backup.name.clone());
                            self.send_command(
                                owner,
                                OperationCommand::BackupStored(handle.clone(), backup.name),
                            );
                            return RequestResult::Started(StartedRequest {
                                owner,
                                handle,
                                offered,
                            });
                        }
                        Some(PeerReply::Stored(StoreReply::Conflict(record))) => {
                            offered.push(backup.name.clone());
                            conflict = Some((Box::new(record), backup.name));
                            break;
                        }
                        _ => {}
                    }
                }
                result_of(self.ask(owner, |reply| OperationCommand::BackupFailed {
                    handle,
                    offered,
                    conflict,
                    reply,
                }))
            }
        }
    }

    fn start_request(&mut self, entry: usize, key: &str) -> StartedRequest {
        match self.send_request(entry, key) {
            RequestResult::Started(request) => request,
            other => panic!("request was not started: {other:?}"),
        }
    }

    /// Does the final check before the dispatch; returns `None` if the request may be sent.
    fn begin_dispatch(&mut self, request: &StartedRequest) -> Option<RequestResult> {
        let verdict = self.ask(request.owner, |reply| OperationCommand::BeginDispatch {
            handle: request.handle.clone(),
            offered: request.offered.clone(),
            reply,
        });
        verdict.map(result_of)
    }

    fn finish(&mut self, request: StartedRequest) {
        let response = StoredResponse { status: 201, ..StoredResponse::default() };
        let command = OperationCommand::Ended {
            handle: request.handle,
            offered: request.offered,
            end: OperationEnd::Finished(Some(response)),
        };
        self.send_command(request.owner, command);
        self.deliver_calls();
    }

    /// Runs an operation to its end and returns its owner and its backup.
    fn run_operation(&mut self, entry: usize, key: &str) -> (usize, usize) {
        let request = self.start_request(entry, key);
        assert_eq!(self.begin_dispatch(&request), None);
        let owner = request.owner;
        let is_backup = |it: &FakeHost| it.record.name == request.offered[0];
        let backup = self.hosts.iter().position(is_backup);
        self.finish(request);
        (owner, backup.expect("backup exists"))
    }

    /// Stops a process as planned; it ends as soon as it has given up its ownership.
    ///
    /// Returns how long that took.
    fn stop(&mut self, host: usize) -> Duration {
        let (sender, receiver) = sync_channel(1);
        let since = self.now;
        self.handle(host, ControlCommand::Drain);
        self.handle(host, ControlCommand::HandOver(sender));
        self.deliver_calls();
        while receiver.try_recv().is_err() {
            assert!(self.now - since < Duration::from_secs(5), "stop takes too long");
            self.run(TICK);
        }
        self.crash(host);
        self.now - since
    }
}

/// Guards against a second run when two hosts receive requests with the same key.
#[test]
fn key_through_two_hosts_runs_once() {
    let mut fleet = TestFleet::new(3);
    let request = fleet.start_request(0, "order-1");
    assert_eq!(fleet.send_request(1, "order-1"), UNKNOWN);
    assert_eq!(fleet.begin_dispatch(&request), None);
    // A second acknowledgement must not allow a second dispatch.
    assert_eq!(fleet.begin_dispatch(&request), Some(UNKNOWN));
    fleet.finish(request);
    for entry in 0..3 {
        assert_eq!(fleet.send_request(entry, "order-1"), RequestResult::Replayed(201));
    }
}

/// Guards against a dispatch after a pause of the process, during which another host may have
/// become the owner, and against a backup copy that blocks the key after the refusal.
#[test]
fn pause_before_final_check_prevents_dispatch() {
    for pause in [Duration::from_millis(5_100), Duration::from_secs(60)] {
        let mut fleet = TestFleet::new(2);
        let request = fleet.start_request(0, "order-1");
        fleet.now += pause;
        assert_eq!(fleet.begin_dispatch(&request), Some(NOT_RUN));
        fleet.deliver_calls();
        fleet.run(TAKEOVER_WAIT * 2);
        fleet.run_operation(1, "order-1");
    }
}

/// Guards against a second run by the next owner: it replays the response in its copy, and a copy
/// of an operation that has not ended gives `unknown`.
#[test]
fn next_owner_answers_from_the_copy() {
    let mut fleet = TestFleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    let mut keys = (0..100).map(|it| format!("cut-{it}"));
    let interrupted = keys.find(|key| {
        let request = fleet.start_request(0, key);
        assert_eq!(fleet.begin_dispatch(&request), None);
        request.owner == owner
    });
    let interrupted = interrupted.expect("owner has a second key");
    fleet.crash(owner);
    assert_eq!(fleet.send_request(backup, "order-1"), NOT_RUN);
    fleet.set_listed(owner, false);
    fleet.run(Duration::from_secs(2));
    // Both keys have a copy, which the next owner uses even before it may decide about new keys.
    fleet.run(TAKEOVER_WAIT * 2);
    for entry in (0..3).filter(|it| *it != owner) {
        assert_eq!(fleet.send_request(entry, "order-1"), RequestResult::Replayed(201));
        assert_eq!(fleet.send_request(entry, &interrupted), UNKNOWN);
    }
    // The records were replicated again, so that they survive the loss of a second host as well.
    let next = fleet.start_request(backup, "order-2").owner;
    fleet.crash(next);
    fleet.set_listed(next, false);
    fleet.run(TAKEOVER_WAIT * 2);
    let last = (0..3).find(|it| *it != owner && *it != next);
    let last = last.expect("one host runs");
    assert_eq!(fleet.send_request(last, "order-1"), RequestResult::Replayed(201));
}

/// Guards against a second run by a new process on the owner's host.
#[test]
fn new_process_of_the_owner_answers_from_the_copy() {
    let mut fleet = TestFleet::new(2);
    let (owner, _) = fleet.run_operation(0, "order-1");
    fleet.crash(owner);
    fleet.start(owner);
    for _ in 0..40 {
        fleet.run(Duration::from_secs(1));
        let result = fleet.send_request(owner, "order-1");
        let is_safe = [NOT_RUN, UNKNOWN, RequestResult::Replayed(201)].contains(&result);
        assert!(is_safe, "{result:?}");
    }
    assert_eq!(fleet.send_request(owner, "order-1"), RequestResult::Replayed(201));
}

/// Guards against a second run after the processes of owner and backup were both replaced.
#[test]
fn loss_of_owner_and_backup_gives_unknown() {
    let mut fleet = TestFleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.crash(owner);
    fleet.crash(backup);
    fleet.start(owner);
    fleet.start(backup);
    fleet.run(TAKEOVER_WAIT * 3);
    assert_eq!(fleet.send_request(0, "order-1"), UNKNOWN);
}

/// Guards against lost records and an unnecessary delay at a planned stop.
#[test]
fn planned_stop_hands_records_over() {
    let mut fleet = TestFleet::new(3);
    let (owner, _) = fleet.run_operation(0, "order-1");
    assert!(fleet.stop(owner) < Duration::from_secs(1));
    fleet.set_listed(owner, false);
    fleet.run(Duration::from_secs(3));
    for entry in (0..3).filter(|it| *it != owner) {
        assert_eq!(fleet.send_request(entry, "order-1"), RequestResult::Replayed(201));
    }
}

/// Guards against a second run if the backup is lost shortly before the planned stop of the owner:
/// a process that could not hand over its records must not send a release, which would hide their
/// loss.
#[test]
fn planned_stop_without_the_backup_is_detected() {
    let mut fleet = TestFleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.crash(backup);
    fleet.stop(owner);
    fleet.set_listed(owner, false);
    fleet.set_listed(backup, false);
    fleet.run(TAKEOVER_WAIT * 2);
    let last = (0..3).find(|it| *it != owner && *it != backup);
    let last = last.expect("one host runs");
    assert_eq!(fleet.send_request(last, "order-1"), UNKNOWN);
}

/// Guards against a release while one of many records has no second holder: a pass over the
/// records has several pages, and there may be nothing to send for the last ones.
#[test]
fn planned_stop_waits_for_every_page() {
    let mut fleet = TestFleet::new(2);
    let (owner, _) = fleet.run_operation(0, "order-1");
    fleet.lost_updates = Some(OperationId::new(&TeamName::new("team"), "order-1"));
    for number in 0..10_000 {
        fleet.run_operation(0, &format!("more-{number}"));
    }
    assert!(fleet.stop(owner) >= Duration::from_secs(2));
}

/// Guards against a second run while the only copy is on a host that runs but is not listed, and
/// after it is listed again until its records have arrived.
#[test]
fn unlisted_backup_is_waited_for() {
    let mut fleet = TestFleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.set_listed(backup, false);
    fleet.crash(owner);
    fleet.start(owner);
    for is_listed in [false, true] {
        fleet.set_listed(backup, is_listed);
        for _ in 0..1_000 {
            fleet.run(TICK);
            let entry = (0..3).find(|it| *it != backup);
            let result = fleet.send_request(entry.expect("host exists"), "order-1");
            assert!(!matches!(result, RequestResult::Started(_)), "{result:?}");
        }
    }
    assert_eq!(fleet.send_request(owner, "order-1"), RequestResult::Replayed(201));
}
