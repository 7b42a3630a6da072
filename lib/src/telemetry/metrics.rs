//! The instruments of a router.
//!
//! The number of time series is bounded: names that are not in the catalogue are counted under
//! `other`, and all other label values are constants of the program. In addition, each instrument
//! keeps a limited number of label sets; the SDK counts the rest under `otel_metric_overflow`.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter, Gauge, Histogram, Meter, MeterProvider, ObservableCounter, ObservableGauge,
    },
};
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    metrics::{
        Instrument, PeriodicReader, SdkMeterProvider, Stream, Temporality, data::ResourceMetrics,
        exporter::PushMetricExporter,
    },
};

use super::exposition;
use crate::{
    catalogue::Catalogue,
    intake::{cut_connections, evicted_bodies, evicted_connections, held_bytes, open_connections},
    names::{ClassName, OPEN_TEAM, RouteName, ServiceName, TeamName, UpstreamName},
};

/// Cardinality limit of the instruments in [`HIGH_CARDINALITY_INSTRUMENTS`].
///
/// 440 teams with four outcomes on eleven routes have 19,360 label sets. With the SDK's default of
/// 2,000, teams of a fleet of the target size would be merged into the overflow series.
const MAX_LABEL_SETS: usize = 20_000;

/// Instruments with a label for the team or the upstream: 600 engines with four kinds of failure
/// have 2,400 label sets.
const HIGH_CARDINALITY_INSTRUMENTS: [&str; 2] = ["snipepond_requests", "snipepond_upstream_errors"];

/// Label value that replaces a name that is not in the catalogue.
pub const OTHER_LABEL: &str = "other";

/// Histogram bounds of first-chunk and queue times; 0.41 s is the target for the first token.
const WAIT_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Histogram bounds of the time between chunks; 0.076 s is the target between tokens.
const CHUNK_GAP_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.06, 0.076, 0.1, 0.15, 0.25, 0.5, 1.0, 5.0];

/// Export interval of the SDK's periodic reader. Each rendering collects the metrics by a flush,
/// so no periodic export is needed.
const EXPORT_INTERVAL: Duration = Duration::from_secs(86_400);

/// Error while metrics are collected.
#[derive(Debug, thiserror::Error)]
#[error("metrics cannot be collected: {0}")]
pub struct MetricsError(#[from] OTelSdkError);

/// Purpose of control traffic, the value of the label `purpose`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlPurpose {
    /// Watching and reading the configuration.
    Config,
    /// Watching the host list.
    HostList,
    /// Heartbeats and views between hosts.
    Membership,
    /// Digests and deltas between hosts.
    AntiEntropy,
    /// Requests for rate-limit tokens and the grants of their owners.
    Grant,
    /// Records of at-most-once operations.
    Operation,
    /// Strikes against requests that may have crashed upstreams.
    Quarantine,
    /// Cold starts of upstreams, announced to peers.
    ColdStart,
    /// Load reports and cache events of upstreams.
    Load,
}

/// All purposes; each has a series with value 0 from process start.
pub const CONTROL_PURPOSES: [ControlPurpose; 9] = [
    ControlPurpose::Config,
    ControlPurpose::HostList,
    ControlPurpose::Membership,
    ControlPurpose::AntiEntropy,
    ControlPurpose::Grant,
    ControlPurpose::Operation,
    ControlPurpose::Quarantine,
    ControlPurpose::ColdStart,
    ControlPurpose::Load,
];

impl ControlPurpose {
    /// Returns the value of the label `purpose`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::HostList => "host_list",
            Self::Membership => "membership",
            Self::AntiEntropy => "anti_entropy",
            Self::Grant => "grant",
            Self::Operation => "operation",
            Self::Quarantine => "quarantine",
            Self::ColdStart => "cold_start",
            Self::Load => "load",
        }
    }
}

/// Labels of a finished request. A request that was refused early may lack some of them; they are
/// counted as [`OTHER_LABEL`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLabels<'a> {
    /// Route of the request.
    pub route: Option<&'a RouteName>,
    /// Team of the request.
    pub team: Option<&'a TeamName>,
    /// Class of the request.
    pub class: Option<&'a ClassName>,
}

/// The instruments of one process.
///
/// `reason`, `kind` and `outcome` labels are `&'static str`, so that only values written in the
/// program occur. Dropping the value stops the SDK's reader thread.
pub struct RouterMetrics {
    provider: SdkMeterProvider,
    exposition: Arc<Mutex<String>>,
    catalogue: RwLock<Arc<Catalogue>>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    picks: Counter<u64>,
    first_chunk: Histogram<f64>,
    chunk_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    queue_length: Gauge<u64>,
    in_flight: Gauge<u64>,
    waiting: Gauge<u64>,
    starts: Counter<u64>,
    remaining_work: Gauge<u64>,
    service_room: Gauge<f64>,
    service_share: Gauge<f64>,
    share_hosts: Gauge<u64>,
    response_memory: Gauge<u64>,
    upstream_errors: Counter<u64>,
    _cut_connections: ObservableCounter<u64>,
    _held_bytes: ObservableGauge<u64>,
    _caller_connections: ObservableGauge<u64>,
    _evicted_bodies: ObservableCounter<u64>,
    _evicted_connections: ObservableCounter<u64>,
    config_accepted: Gauge<u64>,
    config_seen: Gauge<u64>,
    store_era: Gauge<u64>,
    control_sent: Counter<u64>,
    control_received: Counter<u64>,
    grants: Counter<u64>,
    granted_tokens: Counter<f64>,
    operations: Counter<u64>,
}

impl fmt::Debug for RouterMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouterMetrics").finish_non_exhaustive()
    }
}

impl Default for RouterMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RouterMetrics {
    /// Creates the instruments with an empty catalogue: until [`Self::set_catalogue`], its names
    /// are counted as [`OTHER_LABEL`].
    pub fn new() -> Self {
        let exposition = Arc::new(Mutex::new(String::new()));
        let exporter = TextExporter { text: exposition.clone() };
        let reader = PeriodicReader::builder(exporter).with_interval(EXPORT_INTERVAL).build();
        let provider =
            SdkMeterProvider::builder().with_reader(reader).with_view(limit_cardinality).build();
        let meter = provider.meter("snipepond");
        let metrics = Self {
            requests: counter(&meter, "snipepond_requests", "Finished requests."),
            refusals: counter(&meter, "snipepond_refusals", "Refused requests by reason."),
            picks: counter(&meter, "snipepond_upstream_picks", "Picked upstreams by reason."),
            first_chunk: histogram(
                &meter,
                "snipepond_first_chunk_seconds",
                "Time from the request to the first chunk of the response.",
                &WAIT_BOUNDS_S,
            ),
            chunk_gap: histogram(
                &meter,
                "snipepond_chunk_gap_seconds",
                "Time between two chunks of a response.",
                &CHUNK_GAP_BOUNDS_S,
            ),
            queue_wait: histogram(
                &meter,
                "snipepond_queue_wait_seconds",
                "Time that a request waited in the queue.",
                &WAIT_BOUNDS_S,
            ),
            queue_length: gauge(&meter, "snipepond_queue_length", "Requests in the queue."),
            in_flight: gauge(&meter, "snipepond_in_flight", "Requests at upstreams."),
            waiting: gauge(&meter, "snipepond_waiting", "Requests that wait for their start."),
            starts: counter(
                &meter,
                "snipepond_start_decisions",
                "Requests that started after a wait, or were refused before their start, by result.",
            ),
            remaining_work: gauge(
                &meter,
                "snipepond_remaining_work_milliseconds",
                "Estimated work that requests in flight still cause at upstreams.",
            ),
            service_room: float_gauge(
                &meter,
                "snipepond_service_room",
                "Requests that the upstreams of a scarce service run together; 0 if not scarce.",
            ),
            service_share: float_gauge(
                &meter,
                "snipepond_service_share",
                "Part of the room of a scarce service that this host may use; 0 if not scarce.",
            ),
            share_hosts: gauge(
                &meter,
                "snipepond_share_hosts",
                "Hosts whose demand the share follows from; 1 if it is the even part.",
            ),
            response_memory: gauge(
                &meter,
                "snipepond_response_memory_bytes",
                "Memory of responses that are not delivered yet.",
            ),
            upstream_errors: counter(
                &meter,
                "snipepond_upstream_errors",
                "Failed upstream calls by kind of failure.",
            ),
            _cut_connections: meter
                .u64_observable_counter("snipepond_cut_connections")
                .with_description("Connections closed because of what the remote side sent.")
                .with_callback(|observer| observer.observe(cut_connections(), &[]))
                .build(),
            _held_bytes: meter
                .u64_observable_gauge("snipepond_held_memory_bytes")
                .with_description("Memory that is held for callers.")
                .with_callback(|observer| observer.observe(held_bytes(), &[]))
                .build(),
            _caller_connections: meter
                .u64_observable_gauge("snipepond_caller_connections")
                .with_description("Open connections of callers.")
                .with_callback(|observer| observer.observe(open_connections(), &[]))
                .build(),
            _evicted_bodies: meter
                .u64_observable_counter("snipepond_evicted_bodies")
                .with_description("Unfinished bodies given up because memory was short.")
                .with_callback(|observer| observer.observe(evicted_bodies(), &[]))
                .build(),
            _evicted_connections: meter
                .u64_observable_counter("snipepond_evicted_connections")
                .with_description("Connections of callers closed because too many were open.")
                .with_callback(|observer| observer.observe(evicted_connections(), &[]))
                .build(),
            config_accepted: gauge(
                &meter,
                "snipepond_config_accepted_revision",
                "Revision of the configuration in force.",
            ),
            config_seen: gauge(
                &meter,
                "snipepond_config_seen_revision",
                "Highest revision of the configuration known.",
            ),
            store_era: gauge(
                &meter,
                "snipepond_store_era",
                "Number of the history of the platform's entries; it rises when the platform comes \
                 back from an older copy.",
            ),
            control_sent: counter(
                &meter,
                "snipepond_control_sent_bytes",
                "Bytes of control traffic sent.",
            ),
            control_received: counter(
                &meter,
                "snipepond_control_received_bytes",
                "Bytes of control traffic received.",
            ),
            grants: counter(&meter, "snipepond_grants", "Token grants by outcome."),
            granted_tokens: meter
                .f64_counter("snipepond_granted_tokens")
                .with_description("Tokens granted.")
                .build(),
            operations: counter(
                &meter,
                "snipepond_operations",
                "At-most-once operations by outcome.",
            ),
            catalogue: RwLock::default(),
            provider,
            exposition,
        };
        for purpose in CONTROL_PURPOSES {
            metrics.count_control_sent(purpose, 0);
            metrics.count_control_received(purpose, 0);
        }
        metrics.set_queue_length(0);
        metrics.set_in_flight(0);
        metrics.set_config_revisions(0, 0);
        metrics
    }

    /// Sets the catalogue whose names are used as label values.
    pub fn set_catalogue(&self, catalogue: &Arc<Catalogue>) {
        *self.catalogue.write().unwrap_or_else(PoisonError::into_inner) = catalogue.clone();
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: RequestLabels<'_>, outcome: &'static str) {
        let catalogue = self.catalogue();
        let route =
            labels.route.filter(|name| catalogue.routes().iter().any(|(it, _)| it == *name));
        let team =
            labels.team.filter(|it| it.as_str() == OPEN_TEAM || catalogue.team(it).is_some());
        self.requests.add(
            1,
            &[
                label("route", route.map(RouteName::as_str)),
                label("team", team.map(TeamName::as_str)),
                class_label(&catalogue, labels.class),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a pick of an upstream.
    pub fn count_pick(&self, reason: &'static str) {
        self.picks.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the work that requests in flight still cause at upstreams.
    pub fn set_remaining_work(&self, work: Duration) {
        self.remaining_work.record(work.as_millis() as u64, &[]);
    }

    /// Records the time from a request to the first chunk of its response.
    pub fn record_first_chunk(&self, class: &ClassName, time: Duration) {
        let label = class_label(&self.catalogue(), Some(class));
        self.first_chunk.record(time.as_secs_f64(), &[label]);
    }

    /// Records the time between two chunks of a response.
    pub fn record_chunk_gap(&self, class: &ClassName, time: Duration) {
        let label = class_label(&self.catalogue(), Some(class));
        self.chunk_gap.record(time.as_secs_f64(), &[label]);
    }

    /// Records how long a request waited in the queue.
    pub fn record_queue_wait(&self, class: &ClassName, time: Duration) {
        let label = class_label(&self.catalogue(), Some(class));
        self.queue_wait.record(time.as_secs_f64(), &[label]);
    }

    /// Sets the number of requests in the queue.
    pub fn set_queue_length(&self, requests: u64) {
        self.queue_length.record(requests, &[]);
    }

    /// Sets the memory that responses take until their callers have them, in bytes.
    pub fn set_response_memory(&self, bytes: u64) {
        self.response_memory.record(bytes, &[]);
    }

    /// Sets the number of requests in flight at upstreams.
    pub fn set_in_flight(&self, requests: u64) {
        self.in_flight.record(requests, &[]);
    }

    /// Sets the number of requests that wait for their start.
    pub fn set_waiting(&self, requests: u64) {
        self.waiting.record(requests, &[]);
    }

    /// Counts a request that started after a wait, or was refused before its start.
    pub fn count_start(&self, result: &'static str) {
        self.starts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Sets the room of a service that is scarce here, this host's part of it, and the number of
    /// hosts whose demand is known. All are 0 once it is no longer scarce.
    pub fn set_share(&self, service: &ServiceName, room: f64, share: f64, hosts: u64) {
        let labels = [label("service", Some(service.as_str()))];
        self.service_room.record(room, &labels);
        self.service_share.record(share, &labels);
        self.share_hosts.record(hosts, &labels);
    }

    /// Counts a failed upstream call.
    pub fn count_upstream_error(&self, upstream: &UpstreamName, kind: &'static str) {
        let catalogue = self.catalogue();
        let name = Some(upstream).filter(|it| catalogue.upstreams().contains_key(*it));
        let labels =
            [label("upstream", name.map(UpstreamName::as_str)), KeyValue::new("kind", kind)];
        self.upstream_errors.add(1, &labels);
    }

    /// Sets the configuration revision in force and the highest one known.
    pub fn set_config_revisions(&self, accepted: u64, seen: u64) {
        self.config_accepted.record(accepted, &[]);
        self.config_seen.record(seen, &[]);
    }

    /// Sets the era of the platform's entries.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Adds to the bytes of control traffic sent.
    pub fn count_control_sent(&self, purpose: ControlPurpose, bytes: u64) {
        let label = KeyValue::new("purpose", purpose.as_str());
        self.control_sent.add(bytes, &[label]);
    }

    /// Adds to the bytes of control traffic received.
    pub fn count_control_received(&self, purpose: ControlPurpose, bytes: u64) {
        let label = KeyValue::new("purpose", purpose.as_str());
        self.control_received.add(bytes, &[label]);
    }

    /// Counts the outcome of a token request; `tokens` is 0 unless tokens were granted.
    pub fn count_grant(&self, outcome: &'static str, tokens: f64) {
        let label = KeyValue::new("outcome", outcome);
        self.grants.add(1, std::slice::from_ref(&label));
        self.granted_tokens.add(tokens, &[label]);
    }

    /// Counts the outcome of an at-most-once operation.
    pub fn count_operation(&self, outcome: &'static str) {
        self.operations.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics in the Prometheus text format, for `GET /metrics`.
    ///
    /// # Errors
    ///
    /// The SDK's collection failed, for example because its thread could not be started.
    pub fn render(&self) -> Result<String, MetricsError> {
        self.provider.force_flush()?;
        Ok(self.exposition.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }

    fn catalogue(&self) -> Arc<Catalogue> {
        self.catalogue.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Exporter that renders each collection and keeps the text of the last one.
///
/// The SDK's `ManualReader` needs an experimental feature. A periodic reader that is flushed for
/// each `GET /metrics` gives the same result at the cost of one idle thread.
#[derive(Debug)]
struct TextExporter {
    text: Arc<Mutex<String>>,
}

impl PushMetricExporter for TextExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = exposition::render(metrics);
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

fn limit_cardinality(instrument: &Instrument) -> Option<Stream> {
    // The SDK allocates memory for the limit of each instrument in advance, about 1 MB for this
    // limit, and its default of 2,000 suffices for all other instruments. Histograms must not get
    // a stream of their own: without boundaries it would reset theirs to the SDK's defaults.
    if !HIGH_CARDINALITY_INSTRUMENTS.contains(&instrument.name()) {
        return None;
    }
    Stream::builder().with_cardinality_limit(MAX_LABEL_SETS).build().ok()
}

fn counter(meter: &Meter, name: &'static str, help: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(help).build()
}

fn gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help).build()
}

fn float_gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(help).build()
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    help: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(help).with_boundaries(bounds.to_vec()).build()
}

fn label(key: &'static str, name: Option<&str>) -> KeyValue {
    KeyValue::new(key, name.unwrap_or(OTHER_LABEL).to_owned())
}

fn class_label(catalogue: &Catalogue, class: Option<&ClassName>) -> KeyValue {
    let name = class.filter(|it| catalogue.classes().contains_key(*it));
    label("class", name.map(ClassName::as_str))
}
