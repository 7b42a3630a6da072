//! The gateway of one host: the published configuration and fleet, and the state that requests
//! share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use super::{
    budget::{RetryAllowance, RetryBudget},
    call::StartSender,
    crashes::CrashDetector,
    dialect::WireDialect,
    feed::{EntryDecoder, EntryFeed, SourceState},
    lag::LagTracker,
    load_exchange::ExchangeState,
    members::{MemberRecord, MemberTable},
    outcomes::OutcomeLog,
    packed::ChangeCache,
    pauses::PauseDetector,
    pool::UpstreamPool,
    position::StorePosition,
    shutdown::ShutdownWindow,
    table::RouteTable,
    upstreams::{UpstreamRecord, UpstreamSet},
};
use crate::{
    clock::ClockSource,
    intake::{ConnectionTable, HostSize, MemoryAccount, ResponseBuffers, ResponseLimits},
    names::{CentreName, UpstreamName},
    schedule::{StartControl, StartSettings},
    telemetry::RouterMetrics,
};

/// Number of hosts that fleet-wide limits are split over until the peers are known; more than the 7
/// hosts of a small fleet.
const INITIAL_HOST_COUNT: usize = 8;

/// Settings of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Record of this host for the other hosts.
    pub identity: MemberRecord,
    /// Bounds of retries.
    pub retries: RetryAllowance,
    /// Bounds of the memory of responses.
    pub responses: ResponseLimits,
    /// Bounds of the requests that wait for their start.
    pub waiting: StartSettings,
    /// Memory and descriptors of the process.
    pub host_size: HostSize,
}

/// One change of what the platform publishes, or of whether it responds.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// A version of the configuration was published.
    Routes(Arc<RouteTable>),
    /// An upstream was added or changed.
    Upstream(UpstreamRecord),
    /// An upstream is no longer published.
    UpstreamRemoved(UpstreamName),
    /// A data centre takes no new requests.
    CentreClosed(CentreName),
    /// A data centre takes new requests again.
    CentreOpened(CentreName),
    /// A full listing; what it lacks is no longer published.
    FullListing {
        /// All upstreams.
        upstreams: Vec<UpstreamRecord>,
        /// All data centres that take no new requests.
        closed: Vec<CentreName>,
    },
    /// The platform did not respond to this host.
    SourceFailed,
    /// The platform responded to this host.
    SourceResponded,
}

/// State that requests, gossip and timers read and change.
pub(super) struct GatewayState {
    pub(super) upstreams: UpstreamSet,
    pub(super) budget: RetryBudget,
    pub(super) feed: EntryFeed,
    pub(super) lag: LagTracker,
    pub(super) members: MemberTable,
    /// Number of hosts over which fleet-wide limits are split.
    pub(super) hosts_sharing_limits: usize,
    pub(super) source_state: SourceState,
    pub(super) crashes: CrashDetector,
    pub(super) outcomes: OutcomeLog,
    pub(super) start: StartControl<StartSender>,
    pub(super) exchange: ExchangeState,
}

/// The gateway of one host.
pub struct Gateway {
    pub(super) clock: Rc<dyn ClockSource>,
    pub(super) dialect: Rc<dyn WireDialect>,
    pub(super) state: RefCell<GatewayState>,
    pub(super) pool: Rc<UpstreamPool>,
    pub(super) metrics: Rc<RouterMetrics>,
    /// Number of requests that were read and whose response has not begun, and of streams that are
    /// being relayed.
    pub(super) in_flight: Cell<usize>,
    /// Number of open connections of callers that have carried a request.
    used_connections: Cell<usize>,
    /// The configuration in force; `None` until the first one is known.
    route_table: watch::Sender<Option<Arc<RouteTable>>>,
    /// Position of the entries, for peers that wait for changes.
    pub(super) positions: watch::Sender<StorePosition>,
    /// Whether neither the platform nor a relay of the data centre responds to this host.
    pub(super) source_unavailable: watch::Sender<bool>,
    pub(super) change_cache: ChangeCache,
    pub(super) response_buffers: Arc<ResponseBuffers>,
    /// What the process holds for its callers.
    pub(super) account: Arc<MemoryAccount>,
    pub(super) connections: Arc<ConnectionTable>,
    pub(super) pauses: PauseDetector,
    /// Notified when there are strikes that other hosts may not know.
    pub(super) strike_news: Notify,
    /// Notified when a request waits for its start, or when one ended while others wait.
    pub(super) start_news: Notify,
    /// Changes of the number of this host's requests in flight.
    pub(super) in_flight_changes: watch::Sender<()>,
    /// Notified when another host needs reports.
    pub(super) reports_wanted: Notify,
    /// Whether a full listing of the fleet was received.
    has_listing: Cell<bool>,
    /// The shutdown, once it has begun.
    shutdown: watch::Sender<Option<ShutdownWindow>>,
}

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(
        settings: GatewaySettings,
        clock: Rc<dyn ClockSource>,
        dialect: Rc<dyn WireDialect>,
        decoder: Rc<dyn EntryDecoder>,
        metrics: Rc<RouterMetrics>,
    ) -> Rc<Self> {
        let MemberRecord { host, centre, .. } = settings.identity.clone();
        let host_size = settings.host_size;
        let account = MemoryAccount::new(host_size.account_bytes());
        let max_total_bytes = settings.responses.max_total_bytes.min(host_size.response_bytes());
        let max_bytes = settings.responses.max_bytes.min(max_total_bytes);
        let responses = ResponseLimits { max_bytes, max_total_bytes };
        let mut state = GatewayState {
            upstreams: UpstreamSet::new(host, centre),
            budget: RetryBudget::new(clock.now(), settings.retries),
            feed: EntryFeed::new(decoder),
            lag: LagTracker::default(),
            members: MemberTable::new(clock.now(), settings.identity),
            hosts_sharing_limits: INITIAL_HOST_COUNT,
            source_state: SourceState::default(),
            crashes: CrashDetector::default(),
            outcomes: OutcomeLog::new(clock.now()),
            start: StartControl::new(settings.waiting),
            exchange: ExchangeState::new(),
        };
        state.set_live_hosts(INITIAL_HOST_COUNT);
        Rc::new(Self {
            pauses: PauseDetector::new(clock.now()),
            strike_news: Notify::new(),
            start_news: Notify::new(),
            in_flight_changes: watch::Sender::new(()),
            reports_wanted: Notify::new(),
            pool: Rc::new(UpstreamPool::new(clock.clone())),
            clock,
            dialect,
            state: RefCell::new(state),
            metrics,
            in_flight: Cell::new(0),
            used_connections: Cell::new(0),
            route_table: watch::Sender::new(None),
            positions: watch::Sender::new(StorePosition::default()),
            source_unavailable: watch::Sender::new(false),
            change_cache: ChangeCache::default(),
            response_buffers: ResponseBuffers::with_account(responses, account.clone()),
            connections: ConnectionTable::new(
                host_size.caller_connections(),
                Some(account.clone()),
            ),
            account,
            has_listing: Cell::new(false),
            shutdown: watch::Sender::new(None),
        })
    }

    /// Applies a change. A configuration that is not newer than the current one is ignored.
    pub fn apply(&self, change: FleetChange) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        match change {
            FleetChange::Routes(table) => {
                let before = self.route_table().map(|it| it.version());
                let is_newer = before.is_none_or(|it| table.version() > it);
                let before = before.unwrap_or_default();
                tracing::info!(version = table.version(), before, is_newer, "routes_published");
                if is_newer {
                    self.metrics.set_config_revisions(table.version(), table.version());
                    self.route_table.send_replace(Some(table));
                }
            }
            FleetChange::Upstream(record) => {
                log_upstream(&record);
                state.upstreams.publish(now, record);
            }
            FleetChange::UpstreamRemoved(name) => {
                tracing::info!(upstream = %name, "upstream_withdrawn");
                state.upstreams.withdraw(now, &name);
            }
            FleetChange::CentreClosed(centre) => {
                tracing::info!(%centre, "data_centre_closed");
                state.upstreams.set_closed(&centre, true);
            }
            FleetChange::CentreOpened(centre) => {
                tracing::info!(%centre, "data_centre_opened");
                state.upstreams.set_closed(&centre, false);
            }
            FleetChange::FullListing { upstreams, closed } => {
                let (count, closed_count) = (upstreams.len(), closed.len());
                tracing::info!(upstreams = count, closed = closed_count, "fleet_listed");
                state.upstreams.replace_all(now, upstreams);
                state.upstreams.replace_closed(closed);
                self.has_listing.set(true);
            }
            FleetChange::SourceFailed => {
                self.source_unavailable.send_replace(true);
                state.upstreams.platform_failed();
            }
            FleetChange::SourceResponded => {
                if self.source_unavailable.send_replace(false) {
                    tracing::info!("source_regained");
                    state.source_state.last_recovery = Some(now);
                }
                state.source_state.last_response = Some(now);
                state.upstreams.platform_responded(state.source_state);
            }
        }
    }

    /// Returns whether the load balancer should send requests to this host: it knows the
    /// configuration and the fleet, and does not drain.
    pub fn is_ready(&self) -> bool {
        self.has_listing.get()
            && self.shutdown.borrow().is_none()
            && self.route_table.borrow().is_some()
    }

    /// Starts to drain: the host is no longer ready, but still serves the requests that `window`
    /// accepts.
    pub fn drain(&self, window: ShutdownWindow) {
        self.shutdown.send_replace(Some(window));
    }

    /// Returns whether a request may start that has its final response at `expires_at` at the
    /// latest.
    pub(super) fn accepts(&self, expires_at: Instant) -> bool {
        self.shutdown.borrow().is_none_or(|it| it.accepts(self.now(), expires_at))
    }

    /// Waits until a shutdown is so close to its end that requests must be answered.
    pub(super) async fn wait_for_last_response(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // Cannot fail: the gateway holds the sender.
        let window = shutdown.wait_for(Option::is_some).await.ok().and_then(|it| *it);
        if let Some(window) = window {
            sleep(window.last_response().saturating_duration_since(self.now())).await;
        }
    }

    /// Returns the number of requests in flight, relayed streams included.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of open connections of callers that have carried a request.
    pub(super) fn used_connections(&self) -> usize {
        self.used_connections.get()
    }

    pub(super) fn add_used_connection(&self) {
        self.used_connections.set(self.used_connections.get() + 1);
    }

    pub(super) fn remove_used_connection(&self) {
        self.used_connections.set(self.used_connections.get() - 1);
    }

    /// Returns the current configuration.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Returns the current configuration; if there is none yet, waits up to `limit` for the first
    /// one.
    pub(super) async fn wait_for_route_table(&self, limit: Duration) -> Option<Arc<RouteTable>> {
        let known = self.route_table();
        if known.is_some() {
            return known;
        }
        let mut table = self.route_table.subscribe();
        let known = timeout(limit, table.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    /// Returns the position of the known entries.
    pub fn position(&self) -> StorePosition {
        self.state.borrow().feed.position()
    }

    /// Merges the times of the platform's responses that another host reported along with changes.
    /// The time of the recovery is replaced rather than merged: whether an entry that is missing
    /// from the changes may have expired in an outage depends on the outages that the reporting
    /// host saw.
    pub(super) fn merge_source_state(&self, source: SourceState) {
        let state = &mut *self.state.borrow_mut();
        state.source_state.last_response =
            state.source_state.last_response.max(source.last_response);
        state.source_state.last_recovery = source.last_recovery;
        state.upstreams.platform_responded(state.source_state);
    }

    /// Drops expired state and updates metrics; to be called on a timer. `interval` is the time
    /// since the last call.
    pub fn tick(&self, interval: Duration) {
        let now = self.now();
        self.pauses.record_tick(now);
        self.expire_entries(now);
        let lost = {
            let state = &mut *self.state.borrow_mut();
            state.upstreams.expire(now);
            state.crashes.expire(now);
            state.members.expire(now, interval)
        };
        for host in lost {
            tracing::warn!(%host, "member_lost");
        }
        self.tick_exchange(now);
        self.log_scarcity(now);
        self.pool.expire();
        self.metrics.set_in_flight(self.in_flight.get() as u64);
        self.metrics.set_waiting(self.state.borrow().start.waiting() as u64);
        self.metrics.set_remaining_work(self.state.borrow().upstreams.work().total_remaining(now));
        self.metrics.set_response_memory(self.response_buffers.total_bytes() as u64);
    }

    /// Drops entries that the platform lacks since it came back from an older copy.
    fn expire_entries(&self, now: Instant) {
        let changes = self.state.borrow_mut().feed.expire(now);
        if !changes.is_empty() {
            self.change_cache.clear();
        }
        changes.into_iter().for_each(|it| self.apply(it));
    }

    /// Returns the metrics in the text exposition format, or an empty text if rendering fails.
    pub(super) fn metrics_text(&self) -> String {
        self.metrics.render().unwrap_or_else(|error| {
            tracing::error!(%error, "metrics_failed");
            String::new()
        })
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }
}

fn log_upstream(record: &UpstreamRecord) {
    tracing::info!(
        upstream = %record.name,
        service = %record.service,
        data_centre = %record.data_centre,
        address = %record.address,
        is_leaving = record.is_leaving,
        cold_ms = record.cold_for.as_millis() as u64,
        incarnation = record.incarnation,
        "upstream_published"
    );
}
