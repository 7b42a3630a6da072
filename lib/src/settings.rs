//! Settings of a router process: flags and environment variables of the same names.
//!
//! `--admin-listen` and `SNIPEPOND_ADMIN_LISTEN` set the same value; the flag wins. A flag that
//! is given twice takes the last value. [`ROUTER_SETTINGS`] holds the defaults.

mod gateway;
mod reader;
mod spec;

use std::{ffi::OsString, fmt, net::SocketAddr, time::Duration};

use self::reader::{
    ParsedFlags, ValueReader, help_text_of, parse_addresses, parse_filter, parse_flags, parse_name,
};
pub use self::{
    gateway::{GATEWAY_SETTINGS, GatewayCommand, GatewayOptions},
    reader::{SettingsError, ValueOrigin, env_var_name},
    spec::{ROUTER_SETTINGS, SettingSpec},
};
use crate::{
    intake::HostSize,
    names::{CentreName, HostName},
};

/// Validated settings of a router process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// Name of this host in the host list.
    pub host: HostName,
    /// Data centre in which the host runs.
    pub data_centre: CentreName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers and administration.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform, `http://IP:PORT[/PATH]` without a slash at the end.
    pub platform: String,
    /// Administration addresses of other hosts, from which the configuration and the host list are
    /// requested at startup while the platform does not respond.
    pub seed_peers: Vec<SocketAddr>,
    /// Time for which a host list or a peer's confirmation is valid after it was received.
    pub validity: Duration,
    /// Maximum lag of the platform's host list.
    pub list_lag: Duration,
    /// Safety margin that [`Self::takeover_wait`] adds to `validity` and `list_lag`.
    pub margin: Duration,
    /// Maximum number of simultaneous caller connections.
    pub max_connections: usize,
    /// Maximum number of requests in flight at upstreams.
    pub max_active: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time limit for a caller to send the header of a request.
    pub header_timeout: Duration,
    /// Time limit for a caller to send the body of a request.
    pub body_timeout: Duration,
    /// Maximum wait for running requests at a planned stop; `None` waits without a limit.
    pub drain_timeout: Option<Duration>,
    /// Memory and descriptors of the process.
    pub host_size: HostSize,
    /// Log filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: String,
}

/// What the command line tells the process to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterCommand {
    /// Run a router with these settings.
    Run(Box<RouterSettings>),
    /// Print this help text and exit with status 0.
    PrintHelp(String),
    /// Print this version text and exit with status 0.
    PrintVersion(String),
}

impl RouterSettings {
    /// Reads settings from `args` (without the program name) and from environment variables.
    ///
    /// Arguments after the first `--help` or `--version` are ignored.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString>>,
        env: impl Fn(&str) -> Option<OsString>,
    ) -> Result<RouterCommand, SettingsError> {
        let flags = match parse_flags(ROUTER_SETTINGS, args)? {
            ParsedFlags::Values(flags) => flags,
            ParsedFlags::Help => return Ok(RouterCommand::PrintHelp(help_text())),
            ParsedFlags::Version => return Ok(RouterCommand::PrintVersion(version_text())),
        };
        let reader = ValueReader { specs: ROUTER_SETTINGS, flags, env };
        Self::read(&reader).map(|settings| RouterCommand::Run(Box::new(settings)))
    }

    fn read<E>(reader: &ValueReader<E>) -> Result<Self, SettingsError>
    where
        E: Fn(&str) -> Option<OsString>,
    {
        let settings = Self {
            host: HostName::new(&reader.read("host", parse_name)?),
            data_centre: CentreName::new(&reader.read("data-centre", parse_name)?),
            listen: reader.read("listen", |it| it.parse().ok())?,
            admin_listen: reader.read("admin-listen", |it| it.parse().ok())?,
            platform: reader.read("platform", parse_platform_url)?,
            seed_peers: reader.read("seed-peers", parse_addresses)?,
            validity: reader.milliseconds("validity-ms")?,
            list_lag: reader.milliseconds("list-lag-ms")?,
            margin: reader.milliseconds("margin-ms")?,
            max_connections: reader.count("max-connections")?,
            max_active: reader.count("max-active")?,
            max_queued: reader.count("max-queued")?,
            max_body_bytes: reader.count("max-body-bytes")?,
            header_timeout: reader.milliseconds("header-timeout-ms")?,
            body_timeout: reader.milliseconds("body-timeout-ms")?,
            drain_timeout: Some(reader.milliseconds("drain-timeout-ms")?)
                .filter(|it| !it.is_zero()),
            host_size: reader.host_size()?,
            log: reader.read("log", parse_filter)?,
        };
        let (listen, admin) = (settings.listen, settings.admin_listen);
        // With port 0 the operating system chooses a free port, so two such addresses do not
        // collide.
        if listen.port() != 0 && listen == admin {
            let (value, origin) = reader.raw_value("admin-listen")?;
            return Err(SettingsError::Invalid {
                name: "admin-listen",
                origin,
                value: value.to_string_lossy().into_owned(),
                allowed: "an IP:PORT other than that of listen",
            });
        }
        Ok(settings)
    }

    /// Returns how long a host must have been the owner of a key in all its views before it acts as
    /// the owner.
    pub fn takeover_wait(&self) -> Duration {
        self.list_lag + self.validity + self.margin
    }
}

/// Returns the text of `--version`.
pub fn version_text() -> String {
    format!("snipepond-router {}\n", env!("CARGO_PKG_VERSION"))
}

/// Returns the text of `--help`.
pub fn help_text() -> String {
    help_text_of(
        "snipepond-router --host NAME --data-centre NAME --platform URL [--SETTING VALUE]...",
        ROUTER_SETTINGS,
    )
}

impl fmt::Display for RouterSettings {
    /// Writes the settings that identify the process, for its start message.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "host {} in data centre {}, callers on {}, peers on {}, platform {}",
            self.host, self.data_centre, self.listen, self.admin_listen, self.platform
        )
    }
}

fn parse_platform_url(value: &str) -> Option<String> {
    let rest = value.strip_prefix("http://")?;
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address: SocketAddr = authority.parse().ok()?;
    let is_valid_path = path.bytes().all(|b| b.is_ascii_alphanumeric() || b"/-_.~".contains(&b));
    (address.port() != 0 && is_valid_path).then(|| value.trim_end_matches('/').to_owned())
}
