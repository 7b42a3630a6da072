//! The state of the control actor and its handling of commands and periodic work.
//!
//! The state reads no clock and does no I/O: the time is an argument, and calls to other hosts go
//! through a [`PeerCaller`]. Tests can therefore run several hosts in one process.

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
    operations::LastView,
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
    operation::{OperationLedger, OperationRouter},
    peer::{PeerCall, PeerCaller, PeerError},
    quarantine::CrashRegister,
    routing::{HostSet, RoutingSettings, UpstreamPicker},
    schedule::{FairQueue, QueueSettings},
    slo::BurnTracker,
    telemetry::RouterMetrics,
};

/// Interval of the gossip rounds in which digests are exchanged. With 2 s, a new revision reaches a
/// host that is cut off from the platform within seconds, at a cost of 300 bytes/s.
const DIGEST_PERIOD: Duration = Duration::from_secs(2);

/// Interval of the periodic work in `slow_tick`.
const SLOW_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which the queue is served independently of other events.
const QUEUE_PERIOD: Duration = Duration::from_millis(20);

/// Heartbeats per `validity`, so that the loss of single ones has no effect.
const HEARTBEATS_PER_VALIDITY: u32 = 5;

/// Settings of a new [`ControlState`].
pub struct StateSettings {
    /// Record of this host in the host list.
    pub identity: HostRecord,
    /// Random number that identifies this process.
    pub incarnation: u64,
    /// Times on which ownership depends.
    pub timing: ViewTiming,
    /// Capacity of the queue in requests.
    pub max_queued: usize,
    /// Metrics of this router.
    pub metrics: Arc<RouterMetrics>,
    /// Sends calls to other hosts.
    pub caller: Arc<dyn PeerCaller<PeerRequest, PeerReply>>,
}

/// Timers of the periodic work.
struct StateTimers {
    heartbeat: PeriodTimer,
    digest: PeriodTimer,
    slow: PeriodTimer,
    queue: PeriodTimer,
}

/// State of the control actor.
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
    pub(super) start_sync: StartSync,

    pub(super) views: ViewTracker,
    /// Releases that count only after a heartbeat reply of their process.
    pub(super) unconfirmed_releases: Vec<HostRelease>,

    pub(super) gate: ShareGate,
    pub(super) buckets: BucketTable,
    pub(super) token_cache: TokenCache,
    pub(super) token_queues: BTreeMap<TeamName, TokenQueue>,
    /// Start of the last attempt to get a token; differs from that of all earlier attempts.
    pub(super) last_attempt: Instant,
    /// Data centre of each grant request in flight to another host, by sequence number.
    pub(super) grant_calls: HashMap<u64, CentreName>,

    pub(super) picker: UpstreamPicker,
    /// Sets of live hosts in force during the last `takeover_wait`, among which the cold allowance
    /// of an upstream is split.
    pub(super) recent_host_sets: Vec<HostSet>,
    /// When the last load report of each upstream arrived.
    pub(super) last_reports: HashMap<UpstreamName, Instant>,
    pub(super) queue: FairQueue<QueuedDispatch>,
    /// Dispatches that have not ended, by number.
    pub(super) running: HashMap<u64, RunningDispatch>,
    /// Number of the last dispatch.
    pub(super) last_dispatch: u64,
    pub(super) retry_budget: RetryBudget,

    pub(super) crashes: CrashRegister,
    pub(super) broadcasts: StrikeBroadcasts,

    pub(super) operation_router: OperationRouter,
    pub(super) ledger: OperationLedger,
    pub(super) last_forward_number: u64,
    pub(super) processes: ProcessTable,
    pub(super) last_view: LastView,
    /// Whether operation records may lack a second holder.
    pub(super) is_replication_due: bool,
    /// Position in the current pass over the records; 0 at the beginning.
    pub(super) replication_cursor: u64,

    pub(super) metrics: Arc<RouterMetrics>,
    pub(super) burn: BurnTracker,
    pub(super) team_counts: TeamCountTable,
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
            start_sync: StartSync::AwaitingList,
            views: ViewTracker::new(identity.clone(), incarnation, timing, now),
            unconfirmed_releases: Vec::new(),
            gate: ShareGate::new(&identity, timing.takeover_wait()),
            buckets: BucketTable::new(),
            token_cache: TokenCache::new(host.clone(), incarnation, centre.clone()),
            token_queues: BTreeMap::new(),
            last_attempt: now,
            grant_calls: HashMap::new(),
            picker: UpstreamPicker::new(routing, host.clone(), centre.clone()),
            recent_host_sets: Vec::new(),
            last_reports: HashMap::new(),
            queue: FairQueue::new(queue),
            running: HashMap::new(),
            last_dispatch: 0,
            retry_budget: RetryBudget::new(),
            crashes: CrashRegister::new(),
            broadcasts: StrikeBroadcasts::default(),
            operation_router: OperationRouter::new(&host, incarnation, &centre),
            ledger: OperationLedger::new(now, &host, &centre, incarnation, rand::random()),
            last_forward_number: 0,
            processes: ProcessTable::default(),
            last_view: LastView::default(),
            is_replication_due: false,
            replication_cursor: 0,
            metrics,
            burn: BurnTracker::new(now),
            team_counts: TeamCountTable::new(),
            started: now,
            identity,
        }
    }

    /// Handles one command.
    pub fn handle(&mut self, now: Instant, command: ControlCommand) {
        self.handle_command(now, command);
        // Ownership of further keys begins when the view changes, so each change is checked at
        // once.
        self.require_handover_for_gains(now, now + self.timing.takeover_wait());
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
                self.record_first_chunk(now, number, incarnation);
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
                self.begin_record_handover(now, None);
            }
            ControlCommand::HandOver(reply) => self.begin_record_handover(now, Some(reply)),
        }
    }

    /// Does the periodic work; must be called about every 10 ms.
    pub fn tick(&mut self, now: Instant) {
        self.views.tick(now);
        self.require_handover_for_gains(now, now + self.timing.takeover_wait());
        for (centre, request) in self.token_cache.due_requests(now) {
            self.send_grant_request(now, &centre, request);
        }
        self.serve_all_waiting(now);
        self.broadcasts.expire(now);
        if self.timers.queue.is_due(now) {
            self.serve_queue(now);
            self.continue_record_handover(now);
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

    /// Does the periodic work that is due every `SLOW_PERIOD`, or at once after a release.
    pub(super) fn slow_tick(&mut self, now: Instant) {
        self.gate.update(now, self.views.host_list());
        self.update_buckets(now);
        self.begin_start_sync(now);
        self.expire_start_sync(now);
        self.update_host_sets(now);
        self.update_gauges();
        self.tick_operations(now);
        self.crashes.expire(now);
    }

    /// Updates the buckets that this host owns now and drops the others.
    pub(super) fn update_buckets(&mut self, now: Instant) {
        let Self { gate, buckets, views, .. } = self;
        buckets.tick(now, gate.shares(), |team| views.owns(&bucket_key(team), now));
    }

    /// Returns whether the host accepts new requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining
            && self.config.accepted_revision() > 0
            && self.start_sync == StartSync::Done
    }

    pub(super) fn catalogue(&self) -> &Arc<Catalogue> {
        self.config.catalogue()
    }

    /// Applies a configuration change; returns whether the full configuration is needed instead.
    fn apply_config(&mut self, now: Instant, change: &ConfigChange) -> bool {
        match self.config.apply(change) {
            ChangeOutcome::Accepted(catalogue) => {
                tracing::info!(revision = catalogue.revision(), "config_accepted");
                self.metrics.set_catalogue(&catalogue);
                self.gate.on_catalogue(&catalogue);
                self.operation_router.set_catalogue(&catalogue);
                let host = self.identity.name.clone();
                self.record_revision(&host, self.incarnation, catalogue.revision());
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
                self.apply_host_list(now, started, &list);
            }
            None => self.views.refresh_list(started, now),
        }
        self.update_host_sets(now);
        self.update_listed(now);
        self.begin_start_sync(now);
    }

    /// Applies a host list from another host, unless the platform has already provided one.
    fn hosts_from_peer(&mut self, now: Instant, list: &HostList) {
        if self.views.host_list().version == 0 {
            tracing::info!(version = list.version, hosts = list.hosts.len(), "host_list_learned");
            self.views.apply_list(self.started, now, list);
            self.update_listed(now);
            self.begin_start_sync(now);
        }
    }

    /// Updates the sets of live hosts that were in force during the last `takeover_wait`.
    ///
    /// There are none until the process is that old, because it does not know the sets that were
    /// in force before its start.
    fn update_host_sets(&mut self, now: Instant) {
        self.recent_host_sets.clear();
        if now.saturating_duration_since(self.started) < self.timing.takeover_wait() {
            return;
        }
        let sets = self.views.recent_host_sets(now);
        self.recent_host_sets
            .extend(sets.into_iter().map(|it| it.iter().cloned().collect::<HostSet>()));
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
                self.record_process(now, &peer, reply.incarnation);
                self.views.receive_reply(call.submitted, now, &peer, &reply);
                self.retry_releases(now, &peer);
            }
            (PeerRequest::Digest(_), Ok(PeerReply::Digest(digest))) => {
                let is_pulling = self.handle_digest(now, &digest);
                if !is_pulling {
                    self.count_sync_reply();
                }
            }
            (PeerRequest::ConfigSince(_), Ok(PeerReply::Config(change))) => {
                self.apply_config(now, &change);
                self.count_sync_reply();
            }
            (PeerRequest::Digest(_) | PeerRequest::ConfigSince(_), _) => self.count_sync_reply(),
            (PeerRequest::Grant(request), result) => {
                self.grant_call_ended(now, &request, result);
            }
            (PeerRequest::Strikes { number, .. }, _) => self.broadcasts.count_reply(number),
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
