//! Counts the bytes of control traffic at the sockets, and cuts off connections whose bytes are no
//! content.
//!
//! The HTTP clients create their agents with [`byte_counting_agent`]. It counts the bytes that each
//! connection reads and writes, HTTP heads included, for the thread that makes the call. The
//! wrappers of this module read these counts before and after a call and add the difference to the
//! metrics under the purpose of the call. Headers of TCP and IP are not counted.
//!
//! Each connection also has an [`IntakeMeter`]. Bodies must be read through [`metered_body`], because
//! the meter fails once the connection has received far more than was read from its bodies.

use std::{
    cell::{Cell, RefCell},
    io::{self, Read},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use ureq::{
    Agent, Error,
    config::Config,
    unversioned::{
        resolver::DefaultResolver,
        transport::{
            Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
        },
    },
};

use super::RouterTransport;
use crate::{
    config::ConfigChange,
    control::{PeerReply, PeerRequest},
    intake::IntakeMeter,
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

    /// Meter of the connection that an agent of this module last used on this thread.
    static LAST_METER: RefCell<Option<Arc<IntakeMeter>>> = const { RefCell::new(None) };
}

/// Bytes sent and received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ByteCount {
    pub(super) sent: u64,
    pub(super) received: u64,
}

/// Creates an agent whose connections are metered and that counts the bytes of its connections.
pub(crate) fn byte_counting_agent(config: Config) -> Agent {
    let connector = CountingConnector(DefaultConnector::default());
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Returns a reader of the body of the response that was last received on this thread.
///
/// Once the connection is cut off, or the framing of the body is invalid, reads fail with an error
/// of the kind [`io::ErrorKind::InvalidData`].
pub(crate) fn metered_body(body: ureq::Body) -> impl Read + Send + 'static {
    let meter = LAST_METER.with_borrow(Clone::clone).unwrap_or_default();
    MeteredReader { reader: body.into_reader(), meter }
}

/// Reads a body and reports what it reads to the meter of its connection.
struct MeteredReader<R> {
    reader: R,
    meter: Arc<IntakeMeter>,
}

impl<R: Read> Read for MeteredReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.reader.read(buffer) {
            Ok(length) => {
                self.meter.record_delivered(length);
                Ok(length)
            }
            Err(error) => {
                let cut = self.meter.check().err();
                let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
                Err(match error.downcast::<Error>() {
                    Ok(error @ Error::Protocol(_)) => invalid(error.to_string()),
                    Ok(error) => error.into_io(),
                    Err(error) => cut.map_or(error, |it| invalid(it.to_string())),
                })
            }
        }
    }
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
struct CountingConnector(DefaultConnector);

impl Connector<()> for CountingConnector {
    type Out = CountingTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.0.connect(details, chained)?;
        Ok(transport.map(|inner| CountingTransport { inner, meter: IntakeMeter::new() }))
    }
}

/// A connection that adds its bytes to the count of the thread that uses it.
#[derive(Debug)]
struct CountingTransport {
    inner: Box<dyn Transport>,
    meter: Arc<IntakeMeter>,
}

impl Transport for CountingTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // A request is sent as a whole before its response is read.
        self.meter.restart();
        self.inner.transmit_output(amount, timeout)?;
        // A failed write may have sent some of the bytes; these are not counted.
        let count = THREAD_BYTES.get();
        let sent = count.sent + amount as u64;
        THREAD_BYTES.set(ByteCount { sent, ..count });
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        LAST_METER.set(Some(self.meter.clone()));
        let invalid = |error| Error::Io(io::Error::new(io::ErrorKind::InvalidData, error));
        self.meter.check().map_err(|error| invalid(error.to_string()))?;
        // The HTTP library would take the lack of space for the end of the connection.
        if self.inner.buffers().input_append_buf().is_empty() {
            return Err(invalid("a line exceeds the read buffer".to_owned()));
        }
        let before = self.inner.buffers().input().len();
        let progress = self.inner.await_input(timeout);
        let after = self.inner.buffers().input().len();
        let length = after.saturating_sub(before);
        self.meter.record_received(length);
        let count = THREAD_BYTES.get();
        THREAD_BYTES.set(ByteCount { received: count.received + length as u64, ..count });
        progress
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
