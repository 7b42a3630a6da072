//! Settings of a router process: flags and environment variables of the same names.
//!
//! `--admin-listen` and `SNIPEPOND_ADMIN_LISTEN` set the same value; the flag wins. A flag that
//! is given twice takes the last value. The defaults are constants of [`SETTINGS`].

mod spec;

use std::{collections::HashMap, ffi::OsString, fmt, net::SocketAddr, time::Duration};

use tracing_subscriber::EnvFilter;

pub use self::spec::{SETTINGS, SettingSpec};
use crate::names::{CentreName, HostName, is_valid_name};

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "SNIPEPOND_";

/// Checked settings of a router process.
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
    /// Administration addresses of other hosts, asked at the start while the platform is silent.
    pub seed_peers: Vec<SocketAddr>,
    /// Time for which a host list or a confirmation counts after it was read.
    pub validity: Duration,
    /// Longest lag of the platform's host list.
    pub list_lag: Duration,
    /// Added to `validity` and `list_lag` before a host acts as a new owner.
    pub margin: Duration,
    /// Most caller connections at the same time.
    pub max_connections: usize,
    /// Most requests at upstreams at the same time.
    pub max_active: usize,
    /// Most requests in the queue.
    pub max_queued: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which a caller must have sent the header of a request.
    pub header_timeout: Duration,
    /// Time in which a caller must have sent the body of a request.
    pub body_timeout: Duration,
    /// Longest wait for running requests at a planned stop; nothing for no limit.
    pub drain_timeout: Option<Duration>,
    /// Filter of the log, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: String,
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsOutcome {
    /// Run a router with these settings.
    Run(Box<RouterSettings>),
    /// Print this text and exit with status 0.
    PrintHelp(String),
    /// Print this text and exit with status 0.
    PrintVersion(String),
}

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// A flag.
    Flag,
    /// An environment variable.
    Environment,
    /// The default.
    Default,
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error(
        "setting {name} is required: set --{name} or {}; allowed: {allowed}",
        variable_name(name)
    )]
    Missing {
        /// Name of the setting.
        name: &'static str,
        /// Values that are allowed.
        allowed: &'static str,
    },
    /// A value is not allowed.
    #[error("setting {}: value {value:?} is not allowed; allowed: {allowed}", origin_name(name, *origin))]
    Invalid {
        /// Name of the setting.
        name: &'static str,
        /// Where the value came from.
        origin: ValueOrigin,
        /// The value as given; bytes that are not UTF-8 are replaced.
        value: String,
        /// Values that are allowed.
        allowed: &'static str,
    },
    /// The command line cannot be read.
    #[error("{reason}; --help lists the settings")]
    Usage {
        /// What is wrong.
        reason: String,
    },
}

impl RouterSettings {
    /// Reads settings from `args` (without the program name) and from environment variables.
    ///
    /// The first `--help` or `--version` ends reading.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString>>,
        env: impl Fn(&str) -> Option<OsString>,
    ) -> Result<SettingsOutcome, SettingsError> {
        let mut flags = HashMap::new();
        let args: Vec<OsString> = args.into_iter().map(Into::into).collect();
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                    return Ok(SettingsOutcome::PrintHelp(help_text()));
                }
                lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                    return Ok(SettingsOutcome::PrintVersion(version_text()));
                }
                lexopt::Arg::Long(name) => match SETTINGS.iter().find(|it| it.name == name) {
                    Some(spec) => {
                        flags.insert(spec.name, parser.value().map_err(usage)?);
                    }
                    None => return Err(usage(arg.unexpected())),
                },
                _ => return Err(usage(arg.unexpected())),
            }
        }
        let reader = ValueReader { flags, env };
        reader.settings().map(|settings| SettingsOutcome::Run(Box::new(settings)))
    }

    /// Returns how long a host waits before it acts as a new owner.
    pub fn takeover_wait(&self) -> Duration {
        self.list_lag + self.validity + self.margin
    }
}

/// Returns the environment variable of a setting.
pub fn variable_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"))
}

/// Returns the text of `--version`.
pub fn version_text() -> String {
    format!("snipepond-router {}\n", env!("CARGO_PKG_VERSION"))
}

/// Returns the text of `--help`.
pub fn help_text() -> String {
    let mut text = String::from(
        "Usage: snipepond-router --host NAME --data-centre NAME --platform URL [--SETTING VALUE]...\n\
         \n\
         Every setting can also be given as an environment variable: --admin-listen is\n\
         SNIPEPOND_ADMIN_LISTEN. A flag wins over the variable.\n\n",
    );
    for spec in SETTINGS {
        let default = spec.default.unwrap_or("required");
        text.push_str(&format!(
            "  --{:<18} {} [unit: {}] [default: {default}]\n  {:20} allowed: {}\n",
            spec.name, spec.help, spec.unit, "", spec.allowed
        ));
    }
    text.push_str(
        "  --help               print this text\n  --version            print the version\n",
    );
    text
}

fn usage(error: lexopt::Error) -> SettingsError {
    SettingsError::Usage { reason: error.to_string() }
}

fn origin_name(name: &str, origin: ValueOrigin) -> String {
    match origin {
        ValueOrigin::Flag => format!("--{name}"),
        ValueOrigin::Environment => variable_name(name),
        ValueOrigin::Default => format!("{name} (default)"),
    }
}

/// Looks up values by setting and checks them.
struct ValueReader<E> {
    flags: HashMap<&'static str, OsString>,
    env: E,
}

impl<E: Fn(&str) -> Option<OsString>> ValueReader<E> {
    fn settings(&self) -> Result<RouterSettings, SettingsError> {
        let settings = RouterSettings {
            host: HostName::new(&self.read("host", valid_name)?),
            data_centre: CentreName::new(&self.read("data-centre", valid_name)?),
            listen: self.read("listen", |it| it.parse().ok())?,
            admin_listen: self.read("admin-listen", |it| it.parse().ok())?,
            platform: self.read("platform", platform_url)?,
            seed_peers: self.read("seed-peers", address_list)?,
            validity: self.milliseconds("validity-ms")?,
            list_lag: self.milliseconds("list-lag-ms")?,
            margin: self.milliseconds("margin-ms")?,
            max_connections: self.count("max-connections")?,
            max_active: self.count("max-active")?,
            max_queued: self.count("max-queued")?,
            max_body_bytes: self.count("max-body-bytes")?,
            header_timeout: self.milliseconds("header-timeout-ms")?,
            body_timeout: self.milliseconds("body-timeout-ms")?,
            drain_timeout: Some(self.milliseconds("drain-timeout-ms")?).filter(|it| !it.is_zero()),
            log: self.read("log", valid_filter)?,
        };
        let (listen, admin) = (settings.listen, settings.admin_listen);
        // Port 0 is assigned by the operating system, so two of them never collide.
        if listen.port() != 0 && listen == admin {
            let (value, origin) = self.raw("admin-listen")?;
            return Err(SettingsError::Invalid {
                name: "admin-listen",
                origin,
                value: value.to_string_lossy().into_owned(),
                allowed: "an IP:PORT other than that of listen",
            });
        }
        Ok(settings)
    }

    fn raw(&self, name: &'static str) -> Result<(OsString, ValueOrigin), SettingsError> {
        let spec = spec_of(name);
        if let Some(value) = self.flags.get(name) {
            Ok((value.clone(), ValueOrigin::Flag))
        } else if let Some(value) = (self.env)(&variable_name(name)) {
            Ok((value, ValueOrigin::Environment))
        } else if let Some(value) = spec.default {
            Ok((value.into(), ValueOrigin::Default))
        } else {
            Err(SettingsError::Missing { name, allowed: spec.allowed })
        }
    }

    fn read<T>(
        &self,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let (value, origin) = self.raw(name)?;
        value.to_str().and_then(parse).ok_or_else(|| SettingsError::Invalid {
            name,
            origin,
            value: value.to_string_lossy().into_owned(),
            allowed: spec_of(name).allowed,
        })
    }

    fn number(&self, name: &'static str) -> Result<u64, SettingsError> {
        let range = spec_of(name).range.expect("a number has a range");
        self.read(name, |it| {
            // Rust's parser takes a leading '+', which no other tool that reads these values does.
            let digits = it.bytes().all(|b| b.is_ascii_digit());
            let number = it.parse().ok().filter(|_| digits)?;
            (range.0..=range.1).contains(&number).then_some(number)
        })
    }

    fn milliseconds(&self, name: &'static str) -> Result<Duration, SettingsError> {
        self.number(name).map(Duration::from_millis)
    }

    fn count(&self, name: &'static str) -> Result<usize, SettingsError> {
        let number = self.number(name)?;
        Ok(usize::try_from(number).expect("ranges fit into usize"))
    }
}

fn spec_of(name: &str) -> &'static SettingSpec {
    SETTINGS.iter().find(|it| it.name == name).expect("every setting that is read is listed")
}

fn valid_name(value: &str) -> Option<String> {
    is_valid_name(value).then(|| value.to_owned())
}

fn valid_filter(value: &str) -> Option<String> {
    (!value.is_empty() && EnvFilter::try_new(value).is_ok()).then(|| value.to_owned())
}

fn address_list(value: &str) -> Option<Vec<SocketAddr>> {
    let parts = value.split(',').filter(|_| !value.is_empty());
    parts.map(|it| it.parse().ok().filter(|it: &SocketAddr| it.port() != 0)).collect()
}

fn platform_url(value: &str) -> Option<String> {
    let rest = value.strip_prefix("http://")?;
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address: SocketAddr = authority.parse().ok()?;
    let plain = path.bytes().all(|b| b.is_ascii_alphanumeric() || b"/-_.~".contains(&b));
    (address.port() != 0 && plain).then(|| value.trim_end_matches('/').to_owned())
}

impl fmt::Display for RouterSettings {
    /// Writes the settings that identify the process; used in the start event.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "host {} in data centre {}, callers on {}, peers on {}, platform {}",
            self.host, self.data_centre, self.listen, self.admin_listen, self.platform
        )
    }
}
