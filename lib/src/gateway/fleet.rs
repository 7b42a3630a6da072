//! The gateway of one host: what is published, and everything that requests share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use super::{
    budget::{RetryAllowance, RetryBudget},
    dialect::WireDialect,
    pool::UpstreamPool,
    table::RouteTable,
    upstreams::{UpstreamRecord, UpstreamSet},
};
use crate::{
    clock::ClockSource,
    names::{CentreName, HostName, UpstreamName},
    telemetry::RouterMetrics,
};

/// Hosts that are assumed until peers are known; more than both organisations run today.
const ASSUMED_HOSTS: usize = 8;

/// Settings of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this host.
    pub host: HostName,
    /// Data centre of this host.
    pub centre: CentreName,
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
    UpstreamGone(UpstreamName),
    /// A data centre takes no new work.
    CentreClosed(CentreName),
    /// A data centre takes new work again.
    CentreOpened(CentreName),
    /// A complete listing; what it lacks is no longer published.
    Listing {
        /// All upstreams.
        upstreams: Vec<UpstreamRecord>,
        /// All data centres that take no new work.
        closed: Vec<CentreName>,
    },
    /// The platform does not answer.
    SourceLost,
    /// The platform answers.
    SourceAnswered,
}

/// What requests read and change.
pub(super) struct GatewayState {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) upstreams: UpstreamSet,
    pub(super) budget: RetryBudget,
    pub(super) hosts: usize,
}

/// The gateway of one host.
pub struct Gateway {
    pub(super) clock: Rc<dyn ClockSource>,
    pub(super) dialect: Rc<dyn WireDialect>,
    pub(super) state: RefCell<GatewayState>,
    pub(super) pool: Rc<UpstreamPool>,
    pub(super) metrics: Rc<RouterMetrics>,
    /// Requests that were read and have no complete response yet.
    pub(super) active: Cell<usize>,
    is_listed: Cell<bool>,
    is_draining: Cell<bool>,
}

impl Gateway {
    /// Creates a gateway that knows no configuration.
    pub fn new(
        settings: GatewaySettings,
        clock: Rc<dyn ClockSource>,
        dialect: Rc<dyn WireDialect>,
        metrics: Rc<RouterMetrics>,
    ) -> Rc<Self> {
        let state = GatewayState {
            table: None,
            upstreams: UpstreamSet::new(settings.host, settings.centre),
            budget: RetryBudget::new(clock.now(), settings.retries),
            hosts: ASSUMED_HOSTS,
        };
        Rc::new(Self {
            pool: Rc::new(UpstreamPool::new(clock.clone())),
            clock,
            dialect,
            state: RefCell::new(state),
            metrics,
            active: Cell::new(0),
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
                let before = state.table.as_ref().map_or(0, |it| it.version());
                let is_newer = state.table.is_none() || table.version() > before;
                tracing::info!(version = table.version(), before, is_newer, "routes_published");
                if is_newer {
                    self.metrics.config_revision(table.version(), table.version());
                    state.table = Some(table);
                }
            }
            FleetChange::Upstream(record) => {
                log_upstream(&record);
                state.upstreams.publish(now, record);
            }
            FleetChange::UpstreamGone(name) => {
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
            FleetChange::Listing { upstreams, closed } => {
                let (count, closed_count) = (upstreams.len(), closed.len());
                tracing::info!(upstreams = count, closed = closed_count, "fleet_listed");
                state.upstreams.replace_all(now, upstreams);
                state.upstreams.replace_closed(closed);
                self.is_listed.set(true);
            }
            FleetChange::SourceLost => state.upstreams.platform_lost(),
            FleetChange::SourceAnswered => state.upstreams.platform_answered(now),
        }
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_listed.get() && !self.is_draining.get() && self.state.borrow().table.is_some()
    }

    /// From now on the host is not ready; requests are still served.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Returns the number of requests in flight.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Returns the current configuration.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state.borrow().table.clone()
    }

    /// Does the periodic work.
    pub fn tick(&self) {
        self.pool.expire();
        self.metrics.in_flight(self.active.get() as u64);
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
