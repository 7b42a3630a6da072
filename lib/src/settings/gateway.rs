//! Settings of a gateway process.

use std::{ffi::OsString, net::SocketAddr, time::Duration};

use super::{
    reader::{
        ParsedFlags, SettingsError, ValueReader, address_list, help_text_of, read_flags,
        valid_filter, valid_name,
    },
    spec::{ADDRESS, LOG, NAME, SettingSpec, TIME, number, text},
};
use crate::names::{CentreName, HostName};

const DECIMAL: &str = "a number, not negative";
const SECONDS: &str = "0 to 86400 s";

/// All settings of a gateway in the order of the help text.
pub const GATEWAY_SETTINGS: &[SettingSpec] = &[
    text("host", "name", None, NAME, "name of this host"),
    text("data-centre", "name", None, NAME, "data centre of this host"),
    text("listen", "IP:PORT", None, ADDRESS, "address for callers"),
    text("ready-listen", "IP:PORT", None, ADDRESS, "address for readiness checks"),
    text("peer-listen", "IP:PORT", None, ADDRESS, "address for other hosts"),
    text("metrics-listen", "IP:PORT", None, ADDRESS, "address for metrics"),
    text("store", "IP:PORT", None, ADDRESS, "store of the platform"),
    text(
        "seed-peers",
        "IP:PORT,...",
        Some(""),
        "IP:PORT of other hosts, separated by commas, or nothing",
        "hosts asked first for the other hosts",
    ),
    text(
        "bandwidth-mbps",
        "Mbit/s",
        Some("1000"),
        DECIMAL,
        "bandwidth of this host; the fastest hosts of a data centre are relays",
    ),
    text("retry-ratio", "1", Some("0.2"), DECIMAL, "repeats per request of a service"),
    text("retry-window-s", "s", Some("10"), SECONDS, "time over which repeats are counted"),
    text(
        "retry-slack",
        "requests",
        Some("50"),
        DECIMAL,
        "repeats per window that all hosts may make besides",
    ),
    number(
        "config-bound-ms",
        "ms",
        "2000",
        TIME,
        "time in which a published change is in force on every host",
    ),
    text("stop-limit-s", "s", Some("8"), SECONDS, "longest time of a planned stop"),
    LOG,
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
        let flags = match read_flags(GATEWAY_SETTINGS, args)? {
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
            host: HostName::new(&reader.read("host", valid_name)?),
            data_centre: CentreName::new(&reader.read("data-centre", valid_name)?),
            listen: address("listen")?,
            ready_listen: address("ready-listen")?,
            peer_listen: address("peer-listen")?,
            metrics_listen: address("metrics-listen")?,
            store: address("store")?,
            seed_peers: reader.read("seed-peers", address_list)?,
            bandwidth_mbps: reader.decimal("bandwidth-mbps")? as u32,
            retry_ratio: reader.decimal("retry-ratio")?,
            retry_window: reader.seconds("retry-window-s")?,
            retry_slack: reader.decimal("retry-slack")?,
            config_bound: reader.milliseconds("config-bound-ms")?,
            stop_limit: reader.seconds("stop-limit-s")?,
            log: reader.read("log", valid_filter)?,
        })
    }
}
