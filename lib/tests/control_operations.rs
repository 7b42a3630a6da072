//! Operations through the control state of several hosts in one process, with a manual clock and
//! calls that a fake caller delivers.

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

type Calls = Arc<Mutex<Vec<PeerCall<PeerRequest>>>>;

/// Keeps the calls of one host until the fleet delivers them.
struct FakeCaller(Calls);

impl PeerCaller<PeerRequest, PeerReply> for FakeCaller {
    fn submit(&self, call: PeerCall<PeerRequest>) {
        self.0.lock().expect("lock is not poisoned").push(call);
    }
}

struct FakeHost {
    record: HostRecord,
    /// `None` while the host is down.
    state: Option<ControlState>,
    calls: Calls,
    is_listed: bool,
}

/// How a call ended, or the operation that waits for its dispatch.
#[derive(Debug, PartialEq)]
enum CallResult {
    Started(StartedCall),
    Replayed(u16),
    RanEarlier,
    Refused(OutcomeKind),
}

#[derive(Debug, PartialEq)]
struct StartedCall {
    owner: usize,
    handle: OperationHandle,
    offered: Vec<HostName>,
}

const NOT_RUN: CallResult = CallResult::Refused(OutcomeKind::NotRun);
const UNKNOWN: CallResult = CallResult::Refused(OutcomeKind::Unknown);

fn result_of(verdict: OperationVerdict) -> CallResult {
    match verdict {
        OperationVerdict::Replay(response) => CallResult::Replayed(response.status),
        OperationVerdict::Ran => CallResult::RanEarlier,
        OperationVerdict::Refused(refusal) => CallResult::Refused(refusal.outcome),
    }
}

struct Fleet {
    now: Instant,
    hosts: Vec<FakeHost>,
    version: u64,
    started: u64,
    /// Updates of this record are lost.
    lost_updates: Option<OperationId>,
}

impl Fleet {
    /// Starts hosts of one data centre and waits until they may act as owners.
    fn new(count: u16) -> Self {
        let host = |number: u16| FakeHost {
            record: HostRecord {
                name: HostName::new(&format!("east{number}")),
                address: ([127, 0, 0, 1], number + 1).into(),
                data_centre: CentreName::new("east"),
                state: HostState::Live,
            },
            state: None,
            calls: Calls::default(),
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

    /// Loses the process of a host with all its calls.
    fn crash(&mut self, host: usize) {
        self.hosts[host].state = None;
        self.hosts[host].calls.lock().expect("lock").clear();
    }

    fn handle(&mut self, host: usize, command: ControlCommand) {
        let state = self.hosts[host].state.as_mut();
        state.expect("host runs").handle(self.now, command);
    }

    fn tell(&mut self, host: usize, command: OperationCommand) {
        self.handle(host, ControlCommand::Operation(Box::new(command)));
    }

    fn ask<T>(
        &mut self,
        host: usize,
        command: impl FnOnce(ReplySender<T>) -> OperationCommand,
    ) -> T {
        let (sender, receiver) = sync_channel(1);
        self.tell(host, command(sender));
        receiver.try_recv().expect("the state replies at once")
    }

    fn peer(&mut self, host: usize, request: PeerRequest) -> Option<PeerReply> {
        self.hosts[host].state.as_ref()?;
        let (sender, receiver) = sync_channel(1);
        self.handle(host, ControlCommand::Peer(Box::new(request), sender));
        receiver.try_recv().ok()
    }

    /// Lets time pass: list reads every second, ticks, and calls that arrive in the same tick.
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
            self.deliver();
        }
    }

    fn deliver(&mut self) {
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
                let reply = (!is_lost).then(|| self.peer(to, call.request.clone()));
                let result = reply.flatten().ok_or_else(not_sent);
                if self.hosts[from].state.is_some() {
                    self.handle(from, ControlCommand::PeerEnded(Box::new(call), result));
                }
            }
        }
    }

    /// Does the worker's part of a call up to the last check.
    fn call(&mut self, entry: usize, key: &str) -> CallResult {
        let team = TeamName::new("team");
        let place =
            self.ask(entry, |it| OperationCommand::Locate(team.clone(), key.to_owned(), it));
        let (owner, forward) = match place {
            OperationLocation::Local => (entry, None),
            OperationLocation::Forward { host, id } => {
                (usize::from(host.address.port()) - 1, Some(id))
            }
            OperationLocation::Refused(refusal) => return CallResult::Refused(refusal.outcome),
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
                CallResult::Started(StartedCall { owner, handle, offered: Vec::new() })
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
                    match self.peer(usize::from(backup.address.port()) - 1, request) {
                        Some(PeerReply::Stored(StoreReply::Stored)) => {
                            offered.push(backup.name.clone());
                            self.tell(
                                owner,
                                OperationCommand::BackupStored(handle.clone(), backup.name),
                            );
                            return CallResult::Started(StartedCall { owner, handle, offered });
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

    fn start_call(&mut self, entry: usize, key: &str) -> StartedCall {
        match self.call(entry, key) {
            CallResult::Started(call) => call,
            other => panic!("call was not started: {other:?}"),
        }
    }

    /// Returns how the last check ended the call, or `None` if the dispatch may go on.
    fn begin(&mut self, call: &StartedCall) -> Option<CallResult> {
        let verdict = self.ask(call.owner, |reply| OperationCommand::BeginDispatch {
            handle: call.handle.clone(),
            offered: call.offered.clone(),
            reply,
        });
        verdict.map(result_of)
    }

    fn finish(&mut self, call: StartedCall) {
        let response = StoredResponse { status: 201, ..StoredResponse::default() };
        let command = OperationCommand::Ended {
            handle: call.handle,
            offered: call.offered,
            end: OperationEnd::Finished(Some(response)),
        };
        self.tell(call.owner, command);
        self.deliver();
    }

    /// Runs an operation and returns its owner and its backup.
    fn run_operation(&mut self, entry: usize, key: &str) -> (usize, usize) {
        let call = self.start_call(entry, key);
        assert_eq!(self.begin(&call), None);
        let owner = call.owner;
        let is_backup = |it: &FakeHost| it.record.name == call.offered[0];
        let backup = self.hosts.iter().position(is_backup);
        self.finish(call);
        (owner, backup.expect("backup exists"))
    }

    /// Stops a process as planned; it ends as soon as it has given up its rights.
    ///
    /// Returns how long that took.
    fn stop(&mut self, host: usize) -> Duration {
        let (sender, receiver) = sync_channel(1);
        let since = self.now;
        self.handle(host, ControlCommand::Drain);
        self.handle(host, ControlCommand::HandOver(sender));
        self.deliver();
        while receiver.try_recv().is_err() {
            assert!(self.now - since < Duration::from_secs(5), "stop takes too long");
            self.run(TICK);
        }
        self.crash(host);
        self.now - since
    }
}

/// Guards against a second run when the same key comes through two hosts.
#[test]
fn key_through_two_hosts_runs_once() {
    let mut fleet = Fleet::new(3);
    let call = fleet.start_call(0, "order-1");
    assert_eq!(fleet.call(1, "order-1"), UNKNOWN);
    assert_eq!(fleet.begin(&call), None);
    // A second acknowledgement must not allow a second dispatch.
    assert_eq!(fleet.begin(&call), Some(UNKNOWN));
    fleet.finish(call);
    for entry in 0..3 {
        assert_eq!(fleet.call(entry, "order-1"), CallResult::Replayed(201));
    }
}

/// Guards against a dispatch after a pause in which another host may have become the owner, and
/// against a copy that blocks the key after the refusal.
#[test]
fn pause_before_last_check_prevents_dispatch() {
    for pause in [Duration::from_millis(5_100), Duration::from_secs(60)] {
        let mut fleet = Fleet::new(2);
        let call = fleet.start_call(0, "order-1");
        fleet.now += pause;
        assert_eq!(fleet.begin(&call), Some(NOT_RUN));
        fleet.deliver();
        fleet.run(TAKEOVER_WAIT * 2);
        fleet.run_operation(1, "order-1");
    }
}

/// Guards against a second run by the host that takes over: it answers from the copy, and a copy
/// without an end gives `unknown`.
#[test]
fn next_owner_answers_from_the_copy() {
    let mut fleet = Fleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    let mut keys = (0..100).map(|it| format!("cut-{it}"));
    let cut = keys.find(|key| {
        let call = fleet.start_call(0, key);
        assert_eq!(fleet.begin(&call), None);
        call.owner == owner
    });
    let cut = cut.expect("owner has a second key");
    fleet.crash(owner);
    assert_eq!(fleet.call(backup, "order-1"), NOT_RUN);
    fleet.set_listed(owner, false);
    fleet.run(Duration::from_secs(2));
    // Both keys have a copy, which the next owner trusts before it may decide about new keys.
    fleet.run(TAKEOVER_WAIT * 2);
    for entry in (0..3).filter(|it| *it != owner) {
        assert_eq!(fleet.call(entry, "order-1"), CallResult::Replayed(201));
        assert_eq!(fleet.call(entry, &cut), UNKNOWN);
    }
    // The copy of the copy survives the loss of the second holder as well.
    let next = fleet.start_call(backup, "order-2").owner;
    fleet.crash(next);
    fleet.set_listed(next, false);
    fleet.run(TAKEOVER_WAIT * 2);
    let last = (0..3).find(|it| *it != owner && *it != next);
    let last = last.expect("one host runs");
    assert_eq!(fleet.call(last, "order-1"), CallResult::Replayed(201));
}

/// Guards against a second run by a new process of the same host.
#[test]
fn new_process_of_the_owner_answers_from_the_copy() {
    let mut fleet = Fleet::new(2);
    let (owner, _) = fleet.run_operation(0, "order-1");
    fleet.crash(owner);
    fleet.start(owner);
    for _ in 0..40 {
        fleet.run(Duration::from_secs(1));
        let result = fleet.call(owner, "order-1");
        let is_sound = [NOT_RUN, UNKNOWN, CallResult::Replayed(201)].contains(&result);
        assert!(is_sound, "{result:?}");
    }
    assert_eq!(fleet.call(owner, "order-1"), CallResult::Replayed(201));
}

/// Guards against a second run after owner and backup were both replaced.
#[test]
fn loss_of_owner_and_backup_gives_unknown() {
    let mut fleet = Fleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.crash(owner);
    fleet.crash(backup);
    fleet.start(owner);
    fleet.start(backup);
    fleet.run(TAKEOVER_WAIT * 3);
    assert_eq!(fleet.call(0, "order-1"), UNKNOWN);
}

/// Guards against lost records and a needless wait at a planned stop.
#[test]
fn planned_stop_hands_records_over() {
    let mut fleet = Fleet::new(3);
    let (owner, _) = fleet.run_operation(0, "order-1");
    assert!(fleet.stop(owner) < Duration::from_secs(1));
    fleet.set_listed(owner, false);
    fleet.run(Duration::from_secs(3));
    for entry in (0..3).filter(|it| *it != owner) {
        assert_eq!(fleet.call(entry, "order-1"), CallResult::Replayed(201));
    }
}

/// Guards against a second run if the backup is lost shortly before the owner stops as planned:
/// the release of a process that could not hand over its records must not hide their loss.
#[test]
fn planned_stop_without_the_backup_is_noticed() {
    let mut fleet = Fleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.crash(backup);
    fleet.stop(owner);
    fleet.set_listed(owner, false);
    fleet.set_listed(backup, false);
    fleet.run(TAKEOVER_WAIT * 2);
    let last = (0..3).find(|it| *it != owner && *it != backup);
    let last = last.expect("one host runs");
    assert_eq!(fleet.call(last, "order-1"), UNKNOWN);
}

/// Guards against a release while one record of many is without a second holder: a pass over the
/// records takes several pages, and the last ones may have nothing to send.
#[test]
fn planned_stop_waits_for_every_page() {
    let mut fleet = Fleet::new(2);
    let (owner, _) = fleet.run_operation(0, "order-1");
    fleet.lost_updates = Some(OperationId::new(&TeamName::new("team"), "order-1"));
    for number in 0..10_000 {
        fleet.run_operation(0, &format!("more-{number}"));
    }
    assert!(fleet.stop(owner) >= Duration::from_secs(2));
}

/// Guards against a second run while the only copy is on a host that runs without being listed,
/// and between its return to the list and the arrival of its records.
#[test]
fn unlisted_backup_is_waited_for() {
    let mut fleet = Fleet::new(3);
    let (owner, backup) = fleet.run_operation(0, "order-1");
    fleet.set_listed(backup, false);
    fleet.crash(owner);
    fleet.start(owner);
    for is_listed in [false, true] {
        fleet.set_listed(backup, is_listed);
        for _ in 0..1_000 {
            fleet.run(TICK);
            let entry = (0..3).find(|it| *it != backup);
            let result = fleet.call(entry.expect("host exists"), "order-1");
            assert!(!matches!(result, CallResult::Started(_)), "{result:?}");
        }
    }
    assert_eq!(fleet.call(owner, "order-1"), CallResult::Replayed(201));
}
