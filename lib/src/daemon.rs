//! The router process: starts all components, and drains requests before it stops.

mod admin;
mod admin_server;
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
    admin::start_admin,
    admin_server::AdminServer,
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

/// Largest head of a caller's request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Interval at which a draining process checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for other threads to send the last messages of a stopping process.
const RELEASE_SEND_TIME: Duration = Duration::from_millis(300);

/// Shortest time for which a stopping process still responds to new requests, with refusals, so that
/// the load balancer sees that it is not ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// External interfaces that a router depends on; tests replace them with test doubles.
#[derive(Clone, Debug)]
pub struct RouterDependencies {
    /// Clock for all decisions.
    pub clock: Arc<dyn ClockSource>,
    /// Source of the configuration and the host list.
    pub platform: Arc<dyn PlatformSource>,
    /// Client for engines and services.
    pub upstream: Arc<dyn UpstreamClient>,
    /// Transport of calls to other hosts.
    pub peers: Arc<RouterTransport>,
}

/// A running router.
pub struct RouterDaemon {
    settings: RouterSettings,
    // Fields are dropped in this order: the server for callers first, the control thread last.
    front: FrontServer,
    _stop_guard: StopGuard,
    _threads: ThreadGroup,
    admin: AdminServer,
    control: ControlThread,
}

impl RouterDaemon {
    /// Binds both ports and starts all threads.
    pub fn start(settings: RouterSettings, dependencies: RouterDependencies) -> Result<Self> {
        let caller_listener = bind(settings.listen, "listen")?;
        let admin_listener = bind(settings.admin_listen, "admin-listen")?;
        let metrics = Arc::new(RouterMetrics::new());
        let dependencies = count_control_bytes(dependencies, &metrics);
        let admin_address = admin_listener.local_addr()?;
        let control = start_control(&settings, &dependencies, admin_address, &metrics)?;
        let stop_guard = StopGuard::new();
        let threads = ThreadGroup::new();
        start_watchers(
            &settings,
            &dependencies,
            &metrics,
            &control.handle(),
            stop_guard.signal(),
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
        let admin = start_admin(admin_listener, control.handle(), metrics, exchange.clone())
            .context("cannot start the server for peers and administration")?;
        let front = FrontServer::start(caller_listener, front_limits(&settings), exchange.clone())
            .context("cannot start the server for callers")?;
        Ok(Self { settings, control, front, admin, _stop_guard: stop_guard, _threads: threads })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the address for peers and administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns a handle that sends commands to the control thread.
    pub fn control(&self) -> ControlHandle {
        self.control.handle()
    }

    /// Refuses new requests, waits for those in flight and stops all threads.
    ///
    /// Returns whether all requests ended before the drain timeout.
    pub fn shutdown(self) -> bool {
        let handle = self.control.handle();
        handle.send(ControlCommand::Drain);
        self.front.drain();
        let started = Instant::now();
        let drain_timeout = self.settings.drain_timeout;
        let mut is_drained = false;
        while drain_timeout.is_none_or(|it| started.elapsed() < it) {
            if self.front.active() == 0 && started.elapsed() >= MIN_DRAIN_TIME {
                is_drained = true;
                break;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        handle.ask(ControlCommand::HandOver);
        // Other threads send the releases. A host that does not receive one waits longer before it
        // takes over the keys of this host.
        std::thread::sleep(RELEASE_SEND_TIME);
        is_drained
    }
}

fn bind(address: SocketAddr, setting: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("setting {setting}: cannot listen on {address}"))
}

/// Wraps the dependencies that carry only control traffic, so that their bytes are counted.
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
        max_connections: settings.max_connections.min(settings.host_size.caller_connections()),
        max_active: settings.max_active,
        max_body_bytes: settings.max_body_bytes,
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
        account_bytes: settings.host_size.account_bytes(),
    }
}

fn start_control(
    settings: &RouterSettings,
    dependencies: &RouterDependencies,
    admin_address: SocketAddr,
    metrics: &Arc<RouterMetrics>,
) -> Result<ControlThread> {
    let identity = HostRecord {
        name: settings.host.clone(),
        address: admin_address,
        data_centre: settings.data_centre.clone(),
        state: HostState::Live,
    };
    let timing = ViewTiming {
        validity: settings.validity,
        list_lag: settings.list_lag,
        margin: settings.margin,
    };
    // Each queued request occupies a worker thread; at least half of the threads stay free for
    // running requests.
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
