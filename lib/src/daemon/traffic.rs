//! Counts the bytes of control traffic at the sockets.
//!
//! The HTTP clients create their agents with [`byte_counting_agent`]. It counts the bytes that each
//! connection reads and writes, HTTP heads included, for the thread that makes the call. The
//! wrappers of this module read these counts before and after a call and add the difference to the
//! metrics under the purpose of the call. Headers of TCP and IP are not counted.

use std::{cell::Cell, net::SocketAddr, sync::Arc, time::Duration};

use ureq::{
    Agent, Error,
    config::Config,
    unversioned::{
        resolver::DefaultResolver,
        transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport},
    },
};

use super::RouterTransport;
use crate::{
    config::ConfigChange,
    control::{PeerReply, PeerRequest},
    intake::{MeteredConnector, MeteredTransport},
    membership::HostList,
    peer::{PeerError, PeerTransport},
    platform::{PlatformError, PlatformSource},
    routing::LoadReport,
    telemetry::{ControlPurpose, RouterMetrics},
    upstream::{CallError, UpstreamClient, UpstreamRequest, UpstreamResponse},
};

thread_local! {
    /// Bytes that the agents of this module sent and received on this thread.
    ///
    /// ureq performs each call on the calling thread, also on pooled connections.
    static THREAD_BYTES: Cell<ByteCount> = const { Cell::new(ByteCount { sent: 0, received: 0 }) };
}

/// Bytes sent and received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ByteCount {
    pub(super) sent: u64,
    pub(super) received: u64,
}

/// Creates an agent that counts the bytes of its connections. They are metered, so bodies must be read
/// through [`metered_body`](crate::intake::metered_body).
pub(crate) fn byte_counting_agent(config: Config) -> Agent {
    let connector = CountingConnector(MeteredConnector::default());
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Runs `call` and returns its result with the bytes that counting agents sent and received on this
/// thread during it.
pub(super) fn count_bytes<T>(call: impl FnOnce() -> T) -> (T, ByteCount) {
    let before = THREAD_BYTES.get();
    let result = call();
    let after = THREAD_BYTES.get();
    let count =
        ByteCount { sent: after.sent - before.sent, received: after.received - before.received };
    (result, count)
}

/// Returns the purpose of a message between hosts.
pub(super) fn purpose_of(request: &PeerRequest) -> ControlPurpose {
    match request {
        PeerRequest::Heartbeat(_) | PeerRequest::Release(_) => ControlPurpose::Membership,
        PeerRequest::Digest(_) | PeerRequest::ConfigSince(_) => ControlPurpose::AntiEntropy,
        PeerRequest::HostList => ControlPurpose::HostList,
        PeerRequest::Grant(_) | PeerRequest::Buckets(_) => ControlPurpose::Grant,
        PeerRequest::Loads(_) => ControlPurpose::Load,
        PeerRequest::Cold(_) => ControlPurpose::ColdStart,
        PeerRequest::Strikes { .. } | PeerRequest::Cleared(_) | PeerRequest::StrikeList => {
            ControlPurpose::Quarantine
        }
        PeerRequest::StoreIntent { .. }
        | PeerRequest::UpdateRecord { .. }
        | PeerRequest::Records { .. }
        | PeerRequest::Probe
        | PeerRequest::Operation(_) => ControlPurpose::Operation,
    }
}

/// Transport of calls to other hosts that counts their bytes by the purpose of the message.
#[derive(Debug)]
pub(super) struct CountedPeers {
    pub(super) inner: Arc<RouterTransport>,
    pub(super) metrics: Arc<RouterMetrics>,
}

impl PeerTransport<PeerRequest, PeerReply> for CountedPeers {
    fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let (result, count) = count_bytes(|| self.inner.call(address, request, timeout));
        add_bytes(&self.metrics, purpose_of(request), count);
        result
    }
}

/// Platform source that counts the bytes of its reads.
#[derive(Debug)]
pub(super) struct CountedPlatform {
    pub(super) inner: Arc<dyn PlatformSource>,
    pub(super) metrics: Arc<RouterMetrics>,
}

impl PlatformSource for CountedPlatform {
    fn config_after(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<ConfigChange>, PlatformError> {
        let (result, count) = count_bytes(|| self.inner.config_after(revision, wait));
        add_bytes(&self.metrics, ControlPurpose::Config, count);
        result
    }

    fn hosts_after(&self, version: u64, wait: Duration) -> Result<Option<HostList>, PlatformError> {
        let (result, count) = count_bytes(|| self.inner.hosts_after(version, wait));
        add_bytes(&self.metrics, ControlPurpose::HostList, count);
        result
    }
}

/// Upstream client that counts the bytes of load reports; requests of callers are not control
/// traffic.
#[derive(Debug)]
pub(super) struct CountedLoads {
    pub(super) inner: Arc<dyn UpstreamClient>,
    pub(super) metrics: Arc<RouterMetrics>,
}

impl UpstreamClient for CountedLoads {
    fn send(&self, request: &UpstreamRequest<'_>) -> Result<UpstreamResponse, CallError> {
        self.inner.send(request)
    }

    fn read_load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let (result, count) = count_bytes(|| self.inner.read_load(address));
        add_bytes(&self.metrics, ControlPurpose::Load, count);
        result
    }
}

fn add_bytes(metrics: &RouterMetrics, purpose: ControlPurpose, count: ByteCount) {
    metrics.count_control_sent(purpose, count.sent);
    metrics.count_control_received(purpose, count.received);
}

/// Connector whose connections count their bytes.
#[derive(Debug)]
struct CountingConnector(MeteredConnector);

impl Connector<()> for CountingConnector {
    type Out = CountingTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.0.connect(details, chained)?;
        Ok(transport.map(|inner| CountingTransport { inner }))
    }
}

/// A connection that adds its bytes to the count of the thread that uses it.
#[derive(Debug)]
struct CountingTransport {
    inner: MeteredTransport,
}

impl Transport for CountingTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)?;
        // A failed write may have sent some of the bytes; these are not counted.
        let count = THREAD_BYTES.get();
        let sent = count.sent + amount as u64;
        THREAD_BYTES.set(ByteCount { sent, ..count });
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let progress = self.inner.await_input(timeout);
        let after = self.inner.buffers().input().len();
        let count = THREAD_BYTES.get();
        let received = count.received + after.saturating_sub(before) as u64;
        THREAD_BYTES.set(ByteCount { received, ..count });
        progress
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
