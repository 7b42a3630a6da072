//! Settings of a gateway process.

use std::{ffi::OsString, net::SocketAddr, time::Duration};

use super::{
    reader::{
        ParsedFlags, SettingsError, ValueReader, help_text_of, parse_addresses, parse_filter,
        parse_flags, parse_name,
    },
    spec::{
        ADDRESS_FORMAT, DESCRIPTORS_SPEC, LOG_SPEC, MEMORY_SPEC, NAME_FORMAT, SettingSpec,
        TIME_RANGE, number_spec, text_spec,
    },
};
use crate::{
    intake::HostSize,
    names::{CentreName, HostName},
};

const DECIMAL_FORMAT: &str = "a number, not negative";
const MEMORY_RANGE: ((u64, u64), &str) = ((1, 1 << 20), "1 to 1048576 KiB");
const WAITING_RANGE: ((u64, u64), &str) = ((0, 1 << 20), "0 to 1048576 requests");
const BANDWIDTH_FORMAT: &str = "a number, at least 1";
const SECONDS_RANGE: &str = "0 to 86400 s";

/// All settings of a gateway in the order of the help text.
pub const GATEWAY_SETTINGS: &[SettingSpec] = &[
    text_spec("host", "name", None, NAME_FORMAT, "name of this host"),
    text_spec("data-centre", "name", None, NAME_FORMAT, "data centre of this host"),
    text_spec("listen", "IP:PORT", None, ADDRESS_FORMAT, "address for callers"),
    text_spec("ready-listen", "IP:PORT", None, ADDRESS_FORMAT, "address for readiness checks"),
    text_spec("peer-listen", "IP:PORT", None, ADDRESS_FORMAT, "address for other hosts"),
    text_spec("metrics-listen", "IP:PORT", None, ADDRESS_FORMAT, "address for metrics"),
    text_spec("store", "IP:PORT", None, ADDRESS_FORMAT, "store of the platform"),
    text_spec(
        "seed-peers",
        "IP:PORT,...",
        Some(""),
        "IP:PORT of other hosts, separated by commas, or nothing",
        "hosts asked first for the other hosts",
    ),
    text_spec(
        "bandwidth-mbps",
        "Mbit/s",
        Some("1000"),
        BANDWIDTH_FORMAT,
        "bandwidth of this host; the fastest hosts of a data centre are relays",
    ),
    text_spec("retry-ratio", "1", Some("0.2"), DECIMAL_FORMAT, "repeats per request of a service"),
    text_spec(
        "retry-window-s",
        "s",
        Some("10"),
        SECONDS_RANGE,
        "time over which repeats are counted",
    ),
    text_spec(
        "retry-slack",
        "requests",
        Some("50"),
        DECIMAL_FORMAT,
        "repeats per window that all hosts may make besides",
    ),
    number_spec(
        "config-bound-ms",
        "ms",
        "2000",
        TIME_RANGE,
        "time in which a published change is in force on every host",
    ),
    number_spec(
        "max-response-kb",
        "KiB",
        "16384",
        MEMORY_RANGE,
        "largest response of an upstream that is not a stream",
    ),
    number_spec(
        "response-memory-kb",
        "KiB",
        "49152",
        MEMORY_RANGE,
        "memory of all responses that are being received",
    ),
    number_spec(
        "max-waiting",
        "requests",
        "1024",
        WAITING_RANGE,
        "requests that wait for their start while upstreams are full",
    ),
    number_spec(
        "max-waiting-kb",
        "KiB",
        "16384",
        MEMORY_RANGE,
        "memory of the bodies of requests that wait for their start",
    ),
    MEMORY_SPEC,
    DESCRIPTORS_SPEC,
    text_spec("stop-limit-s", "s", Some("8"), SECONDS_RANGE, "longest time of a planned stop"),
    LOG_SPEC,
];

/// Validated settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayOptions {
    /// Name of this host.
    pub host: HostName,
    /// Data centre in which the host runs.
    pub data_centre: CentreName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub ready_listen: SocketAddr,
    /// Address for other hosts.
    pub peer_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses from which the other hosts are discovered.
    pub seed_peers: Vec<SocketAddr>,
    /// Bandwidth of this host; the fastest hosts of a data centre are relays.
    pub bandwidth_mbps: u32,
    /// Retries per request to a service.
    pub retry_ratio: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries per window, summed over all hosts, that are allowed in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Time within which a published change is in force on every host.
    pub config_bound: Duration,
    /// Largest response of an upstream that is not a stream, in bytes.
    pub max_response_bytes: usize,
    /// Memory of all responses that are being received, in bytes.
    pub response_memory_bytes: usize,
    /// Requests that wait for their start, at most.
    pub max_waiting: usize,
    /// Bytes of the bodies of waiting requests, at most.
    pub max_waiting_bytes: usize,
    /// Memory and descriptors of the process.
    pub host_size: HostSize,
    /// Time limit of a planned stop.
    pub stop_limit: Duration,
    /// Log filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: String,
}

/// What the command line tells the process to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayCommand {
    /// Run a gateway with these settings.
    Run(Box<GatewayOptions>),
    /// Print this help or version text and exit with status 0.
    Print(String),
}

impl GatewayOptions {
    /// Reads settings from `args` (without the program name) and from environment variables.
    ///
    /// # Errors
    ///
    /// A required setting is missing, a value is not allowed, or the command line cannot be parsed.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString>>,
        env: impl Fn(&str) -> Option<OsString>,
    ) -> Result<GatewayCommand, SettingsError> {
        let usage = "snipepond-gateway --host NAME --data-centre NAME [--SETTING VALUE]...";
        let version = || format!("snipepond-gateway {}\n", env!("CARGO_PKG_VERSION"));
        let flags = match parse_flags(GATEWAY_SETTINGS, args)? {
            ParsedFlags::Values(flags) => flags,
            ParsedFlags::Help => {
                return Ok(GatewayCommand::Print(help_text_of(usage, GATEWAY_SETTINGS)));
            }
            ParsedFlags::Version => return Ok(GatewayCommand::Print(version())),
        };
        let reader = ValueReader { specs: GATEWAY_SETTINGS, flags, env };
        Self::read(&reader).map(|options| GatewayCommand::Run(Box::new(options)))
    }

    fn read<E>(reader: &ValueReader<E>) -> Result<Self, SettingsError>
    where
        E: Fn(&str) -> Option<OsString>,
    {
        let address = |name| reader.read(name, |it| it.parse().ok());
        Ok(Self {
            host: HostName::new(&reader.read("host", parse_name)?),
            data_centre: CentreName::new(&reader.read("data-centre", parse_name)?),
            listen: address("listen")?,
            ready_listen: address("ready-listen")?,
            peer_listen: address("peer-listen")?,
            metrics_listen: address("metrics-listen")?,
            store: address("store")?,
            seed_peers: reader.read("seed-peers", parse_addresses)?,
            bandwidth_mbps: reader.read("bandwidth-mbps", parse_bandwidth)?,
            retry_ratio: reader.decimal("retry-ratio")?,
            retry_window: reader.seconds("retry-window-s")?,
            retry_slack: reader.decimal("retry-slack")?,
            config_bound: reader.milliseconds("config-bound-ms")?,
            max_response_bytes: reader.count("max-response-kb")? << 10,
            response_memory_bytes: reader.count("response-memory-kb")? << 10,
            max_waiting: reader.count("max-waiting")?,
            max_waiting_bytes: reader.count("max-waiting-kb")? << 10,
            host_size: reader.host_size()?,
            stop_limit: reader.seconds("stop-limit-s")?,
            log: reader.read("log", parse_filter)?,
        })
    }
}

/// Parses a bandwidth in Mbit/s; a fraction is dropped.
fn parse_bandwidth(value: &str) -> Option<u32> {
    let bandwidth: f64 = value.parse().ok()?;
    (1.0..=f64::from(u32::MAX)).contains(&bandwidth).then_some(bandwidth as u32)
}
