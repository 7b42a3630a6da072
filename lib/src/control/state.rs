//! The decisions of one router behind one interface.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    admission::{TokenQueue, bucket_key, team_of},
    command::ControlCommand,
    crash::StrikeBroadcasts,
    dispatch::{QueuedDispatch, RetryBudget, RunningDispatch},
    gossip::StartSync,
    message::{PeerReply, PeerRequest},
    operations::SeenView,
    processes::ProcessTable,
    report::TeamCountTable,
    timer::PeriodTimer,
};
use crate::{
    catalogue::Catalogue,
    config::{ChangeOutcome, ConfigChange, ConfigTracker},
    limits::{BucketTable, ShareGate, TokenCache},
    membership::{HostList, HostRecord, HostRelease, ViewTiming, ViewTracker},
    names::{CentreName, HostName, TeamName, UpstreamName},
    operation::{OperationLedger, OperationRoute},
    peer::{PeerCall, PeerCaller, PeerError},
    quarantine::CrashRegister,
    routing::{HostSet, RoutingSettings, UpstreamPicker},
    schedule::{FairQueue, QueueSettings},
    slo::BurnTracker,
    telemetry::RouterMetrics,
};

/// Interval of digests; with 2 s a changed revision reaches a host that is cut off from the
/// platform within seconds and costs 300 bytes/s.
const DIGEST_PERIOD: Duration = Duration::from_secs(2);

/// Interval of slow periodic work.
const SLOW_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which the queue is served without another cause.
const QUEUE_PERIOD: Duration = Duration::from_millis(20);

/// Heartbeats per validity, so that single losses do no harm.
const HEARTBEATS_PER_VALIDITY: u32 = 5;

/// What the state of a new process is made from.
pub struct StateSettings {
    /// This host as other hosts know it.
    pub identity: HostRecord,
    /// Random number of this process.
    pub incarnation: u64,
    /// Times on which ownership depends.
    pub timing: ViewTiming,
    /// Longest queue, in requests.
    pub max_queued: usize,
    /// Where events are counted.
    pub metrics: Arc<RouterMetrics>,
    /// Calls to other hosts.
    pub caller: Arc<dyn PeerCaller<PeerRequest, PeerReply>>,
}

/// Timers of the periodic work.
struct StateTimers {
    heartbeat: PeriodTimer,
    digest: PeriodTimer,
    slow: PeriodTimer,
    queue: PeriodTimer,
}

/// Everything that the control actor owns.
pub struct ControlState {
    pub(super) identity: HostRecord,
    pub(super) incarnation: u64,
    pub(super) timing: ViewTiming,
    pub(super) caller: Arc<dyn PeerCaller<PeerRequest, PeerReply>>,
    timers: StateTimers,
    pub(super) is_draining: bool,

    pub(super) config: ConfigTracker,
    /// Highest revision that each host is known to have accepted.
    pub(super) revisions: BTreeMap<HostName, u64>,
    pub(super) sync: StartSync,

    pub(super) views: ViewTracker,
    pub(super) unconfirmed_releases: Vec<HostRelease>,

    pub(super) gate: ShareGate,
    pub(super) buckets: BucketTable,
    pub(super) token_cache: TokenCache,
    pub(super) tokens: BTreeMap<TeamName, TokenQueue>,
    pub(super) last_arrival: Instant,
    /// Data centre that each grant request without an answer was sent to, by sequence.
    pub(super) grant_calls: HashMap<u64, CentreName>,

    pub(super) picker: UpstreamPicker,
    /// Sets of live hosts in force during the last `takeover_wait`, for the cold split.
    pub(super) fleets: Vec<HostSet>,
    pub(super) reported: HashMap<UpstreamName, Instant>,
    pub(super) queue: FairQueue<QueuedDispatch>,
    pub(super) running: HashMap<u64, RunningDispatch>,
    pub(super) next_dispatch: u64,
    pub(super) retries: RetryBudget,

    pub(super) crashes: CrashRegister,
    pub(super) broadcasts: StrikeBroadcasts,

    pub(super) operation_route: OperationRoute,
    pub(super) ledger: OperationLedger,
    pub(super) last_forward: u64,
    pub(super) processes: ProcessTable,
    pub(super) seen_view: SeenView,
    pub(super) is_placement_due: bool,
    pub(super) placement_cursor: u64,

    pub(super) metrics: Arc<RouterMetrics>,
    pub(super) burn: BurnTracker,
    pub(super) counts: TeamCountTable,
    started: Instant,
}

impl fmt::Debug for ControlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlState").field("identity", &self.identity).finish_non_exhaustive()
    }
}

impl ControlState {
    /// Creates the state of a process that has just started.
    pub fn new(settings: StateSettings, now: Instant) -> Self {
        let StateSettings { identity, incarnation, timing, max_queued, metrics, caller } = settings;
        let (host, centre) = (identity.name.clone(), identity.data_centre.clone());
        let routing = RoutingSettings::default();
        let queue = QueueSettings { capacity: max_queued, ..QueueSettings::default() };
        Self {
            incarnation,
            timing,
            caller,
            timers: StateTimers {
                heartbeat: PeriodTimer::new(timing.validity / HEARTBEATS_PER_VALIDITY, now),
                digest: PeriodTimer::new(DIGEST_PERIOD, now),
                slow: PeriodTimer::new(SLOW_PERIOD, now),
                queue: PeriodTimer::new(QUEUE_PERIOD, now),
            },
            is_draining: false,
            config: ConfigTracker::new(),
            revisions: BTreeMap::new(),
            sync: StartSync::WaitsForList,
            views: ViewTracker::new(identity.clone(), incarnation, timing, now),
            unconfirmed_releases: Vec::new(),
            gate: ShareGate::new(&identity, timing.takeover_wait()),
            buckets: BucketTable::new(),
            token_cache: TokenCache::new(host.clone(), incarnation, centre.clone()),
            tokens: BTreeMap::new(),
            last_arrival: now,
            grant_calls: HashMap::new(),
            picker: UpstreamPicker::new(routing, host.clone(), centre.clone()),
            fleets: Vec::new(),
            reported: HashMap::new(),
            queue: FairQueue::new(queue),
            running: HashMap::new(),
            next_dispatch: 0,
            retries: RetryBudget::new(),
            crashes: CrashRegister::new(),
            broadcasts: StrikeBroadcasts::default(),
            operation_route: OperationRoute::new(&host, incarnation, &centre),
            ledger: OperationLedger::new(now, &host, &centre, incarnation, rand::random()),
            last_forward: 0,
            processes: ProcessTable::default(),
            seen_view: SeenView::default(),
            is_placement_due: false,
            placement_cursor: 0,
            metrics,
            burn: BurnTracker::new(now),
            counts: TeamCountTable::new(),
            started: now,
            identity,
        }
    }

    /// Handles one command.
    pub fn handle(&mut self, now: Instant, command: ControlCommand) {
        self.handle_command(now, command);
        // The right to new keys begins when a view changes, so each change is noticed at once.
        self.watch_gains(now, now + self.timing.takeover_wait());
    }

    fn handle_command(&mut self, now: Instant, command: ControlCommand) {
        match command {
            ControlCommand::ConfigRead(change) => {
                self.apply_config(now, &change);
            }
            ControlCommand::HostsRead { started, list } => self.hosts_read(now, started, list),
            ControlCommand::HostsFromPeer(list) => self.hosts_from_peer(now, &list),
            ControlCommand::Admit(request, reply) => self.admit(now, &request, reply),
            ControlCommand::Dispatch(request, reply) => self.dispatch(now, *request, reply),
            ControlCommand::FirstChunk { number, incarnation } => {
                self.first_chunk(now, number, incarnation);
            }
            ControlCommand::DispatchEnded(number, end) => self.dispatch_ended(now, number, end),
            ControlCommand::UpstreamLost(number, reply) => {
                self.upstream_lost(now, number, reply);
            }
            ControlCommand::Operation(command) => self.handle_operation(now, *command),
            ControlCommand::Authenticate(key, reply) => {
                let _ = reply.send(team_of(self.catalogue(), key));
            }
            ControlCommand::CheckAdmission(request, reply) => {
                let checked = self.check_admission(now, &request);
                let _ = reply.send(checked.map(Arc::new));
            }
            ControlCommand::RequestEnded(admission, end) => {
                self.request_ended(now, &admission, end);
            }
            ControlCommand::Status(reply) => {
                let _ = reply.send(Box::new(self.status(now)));
            }
            ControlCommand::Explain(query, reply) => {
                let _ = reply.send(Box::new(self.explain(now, query)));
            }
            ControlCommand::Burn(reply) => {
                let _ = reply.send(self.burn_report(now));
            }
            ControlCommand::LoadRound(reply) => {
                let _ = reply.send(self.load_round(now));
            }
            ControlCommand::LoadsRead(reports) => self.share_loads(now, reports),
            ControlCommand::Peer(request, reply) => {
                let _ = reply.send(self.handle_peer(now, *request));
            }
            ControlCommand::PeerEnded(call, result) => self.peer_ended(now, *call, result),
            ControlCommand::SeenRevision(reply) => {
                let _ = reply.send(self.config.seen_revision());
            }
            ControlCommand::ListVersion(reply) => {
                let _ = reply.send(self.views.host_list().version);
            }
            ControlCommand::IsReady(reply) => {
                let _ = reply.send(self.is_ready());
            }
            ControlCommand::Drain => {
                self.is_draining = true;
                self.hand_over(now, None);
            }
            ControlCommand::HandOver(reply) => self.hand_over(now, Some(reply)),
        }
    }

    /// Does the periodic work.
    pub fn tick(&mut self, now: Instant) {
        self.views.tick(now);
        self.watch_gains(now, now + self.timing.takeover_wait());
        for (centre, request) in self.token_cache.due_requests(now) {
            self.send_grant_request(now, &centre, request);
        }
        self.serve_all_waiting(now);
        self.broadcasts.expire(now);
        if self.timers.queue.is_due(now) {
            self.serve_queue(now);
            self.continue_hand_over(now);
        }
        if self.timers.heartbeat.is_due(now) {
            self.send_heartbeats(now);
        }
        if self.timers.digest.is_due(now) {
            self.send_digest(now);
        }
        if self.timers.slow.is_due(now) {
            self.slow_tick(now);
        }
    }

    pub(super) fn slow_tick(&mut self, now: Instant) {
        self.gate.update(now, self.views.host_list());
        self.observe_buckets(now);
        self.start_sync(now);
        self.expire_sync(now);
        self.update_fleets(now);
        self.update_gauges();
        self.tick_operations(now);
        self.crashes.expire(now);
    }

    /// Notes which buckets this host owns now.
    pub(super) fn observe_buckets(&mut self, now: Instant) {
        let Self { gate, buckets, views, .. } = self;
        buckets.tick(now, gate.shares(), |team| views.owns(&bucket_key(team), now));
    }

    /// Returns whether the host takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining && self.config.accepted_revision() > 0 && self.sync == StartSync::Done
    }

    pub(super) fn catalogue(&self) -> &Arc<Catalogue> {
        self.config.catalogue()
    }

    /// Applies a change; returns whether a whole configuration is needed instead.
    fn apply_config(&mut self, now: Instant, change: &ConfigChange) -> bool {
        match self.config.apply(change) {
            ChangeOutcome::Accepted(catalogue) => {
                tracing::info!(revision = catalogue.revision(), "config_accepted");
                self.metrics.set_catalogue(&catalogue);
                self.gate.on_catalogue(&catalogue);
                self.operation_route.set_catalogue(&catalogue);
                let own = self.identity.name.clone();
                self.note_revision(&own, self.incarnation, catalogue.revision());
                self.picker.adopt_catalogue(now, &catalogue);
                self.serve_queue(now);
                false
            }
            ChangeOutcome::Rejected(rejection) => {
                for problem in &rejection.problems {
                    tracing::warn!(revision = rejection.revision, %problem, "config_rejected");
                }
                false
            }
            ChangeOutcome::Stale => false,
            ChangeOutcome::Gap => {
                tracing::warn!(base = change.base, revision = change.revision, "config_gap");
                true
            }
        }
    }

    fn hosts_read(&mut self, now: Instant, started: Instant, list: Option<HostList>) {
        match list {
            Some(list) => {
                if list.version > self.views.host_list().version {
                    tracing::info!(version = list.version, hosts = list.hosts.len(), "host_list");
                }
                self.take_list(now, started, &list);
            }
            None => self.views.refresh_list(started, now),
        }
        self.update_fleets(now);
        self.note_listed(now);
        self.start_sync(now);
    }

    /// Takes a host list from another host, if the platform has given none.
    fn hosts_from_peer(&mut self, now: Instant, list: &HostList) {
        if self.views.host_list().version == 0 {
            tracing::info!(version = list.version, hosts = list.hosts.len(), "host_list_learned");
            self.views.apply_list(self.started, now, list);
            self.note_listed(now);
            self.start_sync(now);
        }
    }

    /// A process younger than `takeover_wait` does not know the sets in force before its start.
    fn update_fleets(&mut self, now: Instant) {
        self.fleets.clear();
        if now.saturating_duration_since(self.started) < self.timing.takeover_wait() {
            return;
        }
        let sets = self.views.recent_fleets(now);
        self.fleets.extend(sets.into_iter().map(|it| it.iter().cloned().collect::<HostSet>()));
    }

    fn peer_ended(
        &mut self,
        now: Instant,
        call: PeerCall<PeerRequest>,
        result: Result<PeerReply, PeerError>,
    ) {
        match (call.request, result) {
            (PeerRequest::Heartbeat(_), Ok(PeerReply::Heartbeat(reply))) => {
                let peer = reply.host.name.clone();
                self.note_process(now, &peer, reply.incarnation);
                self.views.receive_reply(call.submitted, now, &peer, &reply);
                self.repeat_releases(now, &peer);
            }
            (PeerRequest::Digest(_), Ok(PeerReply::Digest(digest))) => {
                let is_pulling = self.handle_digest(now, &digest);
                if !is_pulling {
                    self.sync_step();
                }
            }
            (PeerRequest::ConfigSince(_), Ok(PeerReply::Config(change))) => {
                self.apply_config(now, &change);
                self.sync_step();
            }
            (PeerRequest::Digest(_) | PeerRequest::ConfigSince(_), _) => self.sync_step(),
            (PeerRequest::Grant(request), result) => {
                self.grant_ended(now, &request, result);
            }
            (PeerRequest::Strikes { number, .. }, _) => self.broadcasts.step(number),
            (PeerRequest::StrikeList, Ok(PeerReply::Strikes(strikes))) => {
                self.merge_strikes(now, &strikes);
            }
            (PeerRequest::UpdateRecord { target, update, .. }, result) => {
                self.update_ended(&target, &update, result);
            }
            (PeerRequest::Records { source, epoch, cursor, .. }, result) => {
                self.page_ended(now, &source, epoch, cursor, result);
            }
            _ => {}
        }
    }
}
