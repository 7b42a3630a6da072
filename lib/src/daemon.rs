//! The router process: starts every part, and stops without cutting a request.

mod admin;
mod peers;
#[cfg(test)]
mod tests;
mod traffic;
mod watch;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};

pub use self::peers::RouterTransport;
pub(crate) use self::traffic::byte_counting_agent;
use self::{
    admin::AdminServer,
    peers::SplitCaller,
    traffic::{CountedLoads, CountedPeers, CountedPlatform},
    watch::{bootstrap_from_seeds, read_loads, watch_config, watch_hosts},
};
use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle, ControlState, ControlThread, StateSettings},
    exchange::ExchangeHandler,
    front::{FrontLimits, FrontServer},
    membership::{HostRecord, HostState, ViewTiming},
    platform::PlatformSource,
    settings::RouterSettings,
    telemetry::RouterMetrics,
    threads::{StopGuard, StopSignal, ThreadGroup},
    upstream::UpstreamClient,
};

/// Largest head of a caller's request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Interval at which a stopping process looks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last messages of a stopping process.
const RELEASE_SEND_TIME: Duration = Duration::from_millis(300);

/// Time during which a stopping process still refuses new requests, so that the load balancer
/// sees that it is not ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// The outside world of a router; each part has a test double.
#[derive(Clone, Debug)]
pub struct RouterDependencies {
    /// Clock of all decisions.
    pub clock: Arc<dyn ClockSource>,
    /// The platform.
    pub platform: Arc<dyn PlatformSource>,
    /// Engines and services.
    pub upstream: Arc<dyn UpstreamClient>,
    /// Other hosts.
    pub peers: Arc<RouterTransport>,
}

/// A running router.
pub struct RouterDaemon {
    settings: RouterSettings,
    // Fields are dropped in this order: callers first, and the control thread last.
    front: FrontServer,
    _stop: StopGuard,
    _threads: ThreadGroup,
    admin: AdminServer,
    control: ControlThread,
}

impl RouterDaemon {
    /// Opens both ports and starts every thread.
    pub fn start(settings: RouterSettings, dependencies: RouterDependencies) -> Result<Self> {
        let caller_listener = bind(settings.listen, "listen")?;
        let admin_listener = bind(settings.admin_listen, "admin-listen")?;
        let metrics = Arc::new(RouterMetrics::new());
        let dependencies = count_control_bytes(dependencies, &metrics);
        let address = admin_listener.local_addr()?;
        let control = start_control(&settings, &dependencies, address, &metrics)?;
        let stop = StopGuard::new();
        let threads = ThreadGroup::new();
        start_watchers(
            &settings,
            &dependencies,
            &metrics,
            &control.handle(),
            stop.signal(),
            &threads,
        )?;
        let exchange = Arc::new(ExchangeHandler::new(
            control.handle(),
            dependencies.upstream.clone(),
            dependencies.clock.clone(),
            dependencies.peers.clone(),
            settings.host.clone(),
            metrics.clone(),
        ));
        let admin = AdminServer::start(admin_listener, control.handle(), metrics, exchange.clone())
            .context("cannot start the administration server")?;
        let front = FrontServer::start(caller_listener, front_limits(&settings), exchange.clone())
            .context("cannot start the caller interface")?;
        Ok(Self { settings, control, front, admin, _stop: stop, _threads: threads })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the address for peers and administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns access to the decisions.
    pub fn control(&self) -> ControlHandle {
        self.control.handle()
    }

    /// Refuses new requests, waits for those in flight and stops every thread.
    ///
    /// Returns whether all requests ended before the drain timeout.
    pub fn shutdown(self) -> bool {
        let handle = self.control.handle();
        handle.send(ControlCommand::Drain);
        self.front.drain();
        let started = Instant::now();
        let limit = self.settings.drain_timeout;
        let mut is_drained = false;
        while limit.is_none_or(|it| started.elapsed() < it) {
            if self.front.active() == 0 && started.elapsed() >= MIN_DRAIN_TIME {
                is_drained = true;
                break;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        handle.ask(ControlCommand::HandOver);
        // The releases are on their way in other threads; one that is lost only costs a wait.
        std::thread::sleep(RELEASE_SEND_TIME);
        is_drained
    }
}

fn bind(address: SocketAddr, setting: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("setting {setting}: cannot listen on {address}"))
}

/// Adds counts to the calls that are control traffic only.
fn count_control_bytes(
    dependencies: RouterDependencies,
    metrics: &Arc<RouterMetrics>,
) -> RouterDependencies {
    let platform =
        Arc::new(CountedPlatform { inner: dependencies.platform, metrics: metrics.clone() });
    let peers = Arc::new(CountedPeers { inner: dependencies.peers, metrics: metrics.clone() });
    RouterDependencies { platform, peers, ..dependencies }
}

fn front_limits(settings: &RouterSettings) -> FrontLimits {
    FrontLimits {
        max_connections: settings.max_connections,
        max_active: settings.max_active,
        max_body_bytes: settings.max_body_bytes,
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
    }
}

fn start_control(
    settings: &RouterSettings,
    dependencies: &RouterDependencies,
    address: SocketAddr,
    metrics: &Arc<RouterMetrics>,
) -> Result<ControlThread> {
    let identity = HostRecord {
        name: settings.host.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        state: HostState::Live,
    };
    let timing = ViewTiming {
        validity: settings.validity,
        list_lag: settings.list_lag,
        margin: settings.margin,
    };
    // Each waiting request holds a worker, and the rest of the workers serves running ones.
    let max_queued = settings.max_queued.min(settings.max_active / 2).max(1);
    let metrics = metrics.clone();
    let (transport, clock) = (dependencies.peers.clone(), dependencies.clock.clone());
    ControlThread::start(dependencies.clock.clone(), move |now, handle| {
        let caller = SplitCaller::start(&transport, &clock, &handle)
            .expect("threads can be started while the process starts");
        let settings = StateSettings {
            identity,
            incarnation: rand::random(),
            timing,
            max_queued,
            metrics,
            caller: Arc::new(caller),
        };
        ControlState::new(settings, now)
    })
    .context("cannot start the control thread")
}

fn start_watchers(
    settings: &RouterSettings,
    dependencies: &RouterDependencies,
    metrics: &Arc<RouterMetrics>,
    control: &ControlHandle,
    stop: &StopSignal,
    threads: &ThreadGroup,
) -> io::Result<()> {
    let (platform, handle, signal) = (dependencies.platform.clone(), control.clone(), stop.clone());
    let clock = dependencies.clock.clone();
    threads.spawn("watch-config", move || watch_config(&*platform, &*clock, &handle, &signal))?;
    let (platform, handle, signal) = (dependencies.platform.clone(), control.clone(), stop.clone());
    let clock = dependencies.clock.clone();
    let validity = settings.validity;
    threads.spawn("watch-hosts", move || {
        watch_hosts(&*platform, &*clock, &handle, &signal, validity)
    })?;
    let upstream = CountedLoads { inner: dependencies.upstream.clone(), metrics: metrics.clone() };
    let (handle, signal) = (control.clone(), stop.clone());
    let clock = dependencies.clock.clone();
    if !settings.seed_peers.is_empty() {
        let (transport, handle, signal) =
            (dependencies.peers.clone(), control.clone(), stop.clone());
        let seeds = settings.seed_peers.clone();
        threads
            .spawn("seed", move || bootstrap_from_seeds(&*transport, &seeds, &handle, &signal))?;
    }
    threads.spawn("read-loads", move || read_loads(&upstream, &*clock, &handle, &signal))
}
