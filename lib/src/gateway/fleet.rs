//! The gateway of one host: what is published, and everything that requests share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, time::timeout};

use super::{
    budget::{RetryAllowance, RetryBudget},
    crashes::CrashDetector,
    dialect::WireDialect,
    feed::{EntryDecoder, EntryFeed, SourceState},
    members::{MemberRecord, MemberTable},
    outcomes::OutcomeLog,
    packed::PackedChanges,
    pool::UpstreamPool,
    table::RouteTable,
    upstreams::{UpstreamRecord, UpstreamSet},
};
use crate::{
    clock::ClockSource,
    names::{CentreName, UpstreamName},
    telemetry::RouterMetrics,
};

/// Hosts that are assumed until peers are known; more than both organisations run today.
const ASSUMED_HOSTS: usize = 8;

/// Settings of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This host as others know it.
    pub identity: MemberRecord,
    /// Bounds of repeats.
    pub retries: RetryAllowance,
}

/// One change of what the platform publishes.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// A version of the configuration.
    Routes(Arc<RouteTable>),
    /// An upstream was added or changed.
    Upstream(UpstreamRecord),
    /// An upstream is no longer published.
    UpstreamRemoved(UpstreamName),
    /// A data centre takes no new work.
    CentreClosed(CentreName),
    /// A data centre takes new work again.
    CentreOpened(CentreName),
    /// A complete listing; what it lacks is no longer published.
    FullListing {
        /// All upstreams.
        upstreams: Vec<UpstreamRecord>,
        /// All data centres that take no new work.
        closed: Vec<CentreName>,
    },
    /// The platform does not answer.
    SourceFailed,
    /// The platform answers.
    SourceResponded,
}

/// What requests read and change.
pub(super) struct GatewayState {
    pub(super) upstreams: UpstreamSet,
    pub(super) budget: RetryBudget,
    pub(super) feed: EntryFeed,
    pub(super) members: MemberTable,
    /// Hosts over which bounded sums are split.
    pub(super) hosts_sharing_limits: usize,
    pub(super) source: SourceState,
    pub(super) crashes: CrashDetector,
    pub(super) outcomes: OutcomeLog,
}

/// The gateway of one host.
pub struct Gateway {
    pub(super) clock: Rc<dyn ClockSource>,
    pub(super) dialect: Rc<dyn WireDialect>,
    pub(super) state: RefCell<GatewayState>,
    pub(super) pool: Rc<UpstreamPool>,
    pub(super) metrics: Rc<RouterMetrics>,
    /// Requests that were read and whose response has not begun, and streams that are relayed.
    pub(super) in_flight: Cell<usize>,
    /// Callers' connections that have carried a request.
    used_connections: Cell<usize>,
    /// The configuration in force; none before the first one is known.
    table: watch::Sender<Option<Arc<RouteTable>>>,
    /// Revision of the entries, for peers that wait for changes.
    pub(super) revisions: watch::Sender<u64>,
    /// Whether neither the platform nor a relay of the data centre answers this host.
    pub(super) source_unavailable: watch::Sender<bool>,
    pub(super) packed: PackedChanges,
    is_listed: Cell<bool>,
    is_draining: Cell<bool>,
}

impl Gateway {
    /// Creates a gateway that knows no configuration.
    pub fn new(
        settings: GatewaySettings,
        clock: Rc<dyn ClockSource>,
        dialect: Rc<dyn WireDialect>,
        decoder: Rc<dyn EntryDecoder>,
        metrics: Rc<RouterMetrics>,
    ) -> Rc<Self> {
        let MemberRecord { host, centre, .. } = settings.identity.clone();
        let state = GatewayState {
            upstreams: UpstreamSet::new(host, centre),
            budget: RetryBudget::new(clock.now(), settings.retries),
            feed: EntryFeed::new(decoder),
            members: MemberTable::new(clock.now(), settings.identity),
            hosts_sharing_limits: ASSUMED_HOSTS,
            source: SourceState::default(),
            crashes: CrashDetector::default(),
            outcomes: OutcomeLog::new(clock.now()),
        };
        Rc::new(Self {
            pool: Rc::new(UpstreamPool::new(clock.clone())),
            clock,
            dialect,
            state: RefCell::new(state),
            metrics,
            in_flight: Cell::new(0),
            used_connections: Cell::new(0),
            table: watch::Sender::new(None),
            revisions: watch::Sender::new(0),
            source_unavailable: watch::Sender::new(false),
            packed: PackedChanges::default(),
            is_listed: Cell::new(false),
            is_draining: Cell::new(false),
        })
    }

    /// Adopts a change. A version of the configuration that is not newer changes nothing.
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
                    self.metrics.config_revision(table.version(), table.version());
                    self.table.send_replace(Some(table));
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
                self.is_listed.set(true);
            }
            FleetChange::SourceFailed => {
                self.source_unavailable.send_replace(true);
                state.upstreams.platform_lost();
            }
            FleetChange::SourceResponded => {
                if self.source_unavailable.send_replace(false) {
                    tracing::info!("source_regained");
                    state.source.last_recovery = Some(now);
                }
                state.source.last_response = Some(now);
                state.upstreams.platform_answered(state.source);
            }
        }
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_listed.get() && !self.is_draining.get() && self.table.borrow().is_some()
    }

    /// From now on the host is not ready; requests are still served.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of callers' connections that have carried a request.
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
        self.table.borrow().clone()
    }

    /// Returns the current configuration, or the first one if it becomes known within `limit`.
    pub(super) async fn wait_for_route_table(&self, limit: Duration) -> Option<Arc<RouteTable>> {
        let known = self.route_table();
        if known.is_some() {
            return known;
        }
        let mut table = self.table.subscribe();
        let known = timeout(limit, table.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    /// Returns the revision of the entries that are known.
    pub fn revision(&self) -> u64 {
        self.state.borrow().feed.revision()
    }

    /// Notes when the platform answered a host that told this one. What is learned from that host
    /// has its meaning from that host's outages.
    pub(super) fn merge_source_state(&self, source: SourceState) {
        let state = &mut *self.state.borrow_mut();
        state.source.last_response = state.source.last_response.max(source.last_response);
        state.source.last_recovery = source.last_recovery;
        state.upstreams.platform_answered(state.source);
    }

    /// Does the periodic work; `interval` is the time since the last call.
    pub fn tick(&self, interval: Duration) {
        let now = self.now();
        let lost = {
            let state = &mut *self.state.borrow_mut();
            state.upstreams.expire(now);
            state.crashes.expire(now);
            state.members.expire(now, interval)
        };
        for host in lost {
            tracing::warn!(%host, "member_lost");
        }
        self.pool.expire();
        self.metrics.in_flight(self.in_flight.get() as u64);
    }

    /// Renders the metrics.
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
