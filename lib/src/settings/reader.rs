//! Parses settings from flags and from environment variables derived from the same names.

use std::{collections::HashMap, ffi::OsString, net::SocketAddr, time::Duration};

use tracing_subscriber::EnvFilter;

use super::spec::SettingSpec;
use crate::{intake::HostSize, names::is_valid_name};

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "SNIPEPOND_";

/// Source of the value of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// A flag.
    Flag,
    /// An environment variable.
    Environment,
    /// The default of the setting.
    Default,
}

/// Error in the settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting has no value.
    #[error(
        "setting {name} is required: set --{name} or {}; allowed: {allowed}",
        env_var_name(name)
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
    /// The command line cannot be parsed.
    #[error("{reason}; --help lists the settings")]
    Usage {
        /// Message of the parser of the command line.
        reason: String,
    },
}

/// Result of parsing the flags of a command line.
pub(super) enum ParsedFlags {
    Values(HashMap<&'static str, OsString>),
    Help,
    Version,
}

/// Parses the flags of `specs`; arguments after the first `--help` or `--version` are ignored.
pub(super) fn parse_flags(
    specs: &'static [SettingSpec],
    args: impl IntoIterator<Item = impl Into<OsString>>,
) -> Result<ParsedFlags, SettingsError> {
    let mut flags = HashMap::new();
    let args: Vec<OsString> = args.into_iter().map(Into::into).collect();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(usage_error)? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(ParsedFlags::Help),
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                return Ok(ParsedFlags::Version);
            }
            lexopt::Arg::Long(name) => match specs.iter().find(|it| it.name == name) {
                Some(spec) => {
                    flags.insert(spec.name, parser.value().map_err(usage_error)?);
                }
                None => return Err(usage_error(arg.unexpected())),
            },
            _ => return Err(usage_error(arg.unexpected())),
        }
    }
    Ok(ParsedFlags::Values(flags))
}

/// Returns the name of the environment variable of a setting.
pub fn env_var_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"))
}

/// Returns the text of `--help`: the `usage` line and the settings.
pub(super) fn help_text_of(usage: &str, specs: &[SettingSpec]) -> String {
    let mut text = format!(
        "Usage: {usage}\n\
         \n\
         Every setting can also be given as an environment variable: --admin-listen is\n\
         SNIPEPOND_ADMIN_LISTEN. A flag wins over the variable.\n\n",
    );
    for spec in specs {
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

fn usage_error(error: lexopt::Error) -> SettingsError {
    SettingsError::Usage { reason: error.to_string() }
}

fn origin_name(name: &str, origin: ValueOrigin) -> String {
    match origin {
        ValueOrigin::Flag => format!("--{name}"),
        ValueOrigin::Environment => env_var_name(name),
        ValueOrigin::Default => format!("{name} (default)"),
    }
}

/// Looks up the values of settings (flag, environment variable, default) and parses them.
pub(super) struct ValueReader<E> {
    pub(super) specs: &'static [SettingSpec],
    pub(super) flags: HashMap<&'static str, OsString>,
    pub(super) env: E,
}

impl<E: Fn(&str) -> Option<OsString>> ValueReader<E> {
    pub(super) fn raw_value(
        &self,
        name: &'static str,
    ) -> Result<(OsString, ValueOrigin), SettingsError> {
        let spec = self.spec(name);
        if let Some(value) = self.flags.get(name) {
            Ok((value.clone(), ValueOrigin::Flag))
        } else if let Some(value) = (self.env)(&env_var_name(name)) {
            Ok((value, ValueOrigin::Environment))
        } else if let Some(value) = spec.default {
            Ok((value.into(), ValueOrigin::Default))
        } else {
            Err(SettingsError::Missing { name, allowed: spec.allowed })
        }
    }

    pub(super) fn read<T>(
        &self,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let (value, origin) = self.raw_value(name)?;
        value.to_str().and_then(parse).ok_or_else(|| SettingsError::Invalid {
            name,
            origin,
            value: value.to_string_lossy().into_owned(),
            allowed: self.spec(name).allowed,
        })
    }

    fn whole_number(&self, name: &'static str) -> Result<u64, SettingsError> {
        let range = self.spec(name).range.expect("a numeric setting has a range");
        self.read(name, |it| {
            // Rust's parser accepts a leading '+', which other tools that read these values reject.
            let is_digits = it.bytes().all(|b| b.is_ascii_digit());
            let number = it.parse().ok().filter(|_| is_digits)?;
            (range.0..=range.1).contains(&number).then_some(number)
        })
    }

    pub(super) fn milliseconds(&self, name: &'static str) -> Result<Duration, SettingsError> {
        self.whole_number(name).map(Duration::from_millis)
    }

    pub(super) fn count(&self, name: &'static str) -> Result<usize, SettingsError> {
        let number = self.whole_number(name)?;
        Ok(usize::try_from(number).expect("the ranges of counts fit into usize"))
    }

    /// Reads a number of which a fraction is dropped.
    fn floor(&self, name: &'static str) -> Result<usize, SettingsError> {
        let (low, high) = self.spec(name).range.expect("a numeric setting has a range");
        self.read(name, |it| {
            let is_number = it.bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let number: f64 = it.parse().ok().filter(|_| is_number)?;
            ((low as f64)..=(high as f64)).contains(&number).then_some(number as usize)
        })
    }

    /// Reads the settings `memory-mb` and `descriptors`.
    pub(super) fn host_size(&self) -> Result<HostSize, SettingsError> {
        Ok(HostSize {
            memory_bytes: self.floor("memory-mb")? << 20,
            descriptors: self.floor("descriptors")?,
        })
    }

    /// Reads a number, not negative, that may have a fraction.
    pub(super) fn decimal(&self, name: &'static str) -> Result<f64, SettingsError> {
        self.read(name, |it| it.parse().ok().filter(|it: &f64| it.is_finite() && *it >= 0.0))
    }

    /// Reads a time in seconds, up to [`MAX_TIME_S`], that may have a fraction.
    pub(super) fn seconds(&self, name: &'static str) -> Result<Duration, SettingsError> {
        let seconds = self.read(name, |it| it.parse().ok().filter(is_time))?;
        Ok(Duration::from_secs_f64(seconds))
    }

    fn spec(&self, name: &str) -> &'static SettingSpec {
        let spec = self.specs.iter().find(|it| it.name == name);
        spec.expect("every setting that is read has a specification")
    }
}

/// Maximum of a time in seconds: one day.
const MAX_TIME_S: f64 = 86_400.0;

fn is_time(seconds: &f64) -> bool {
    (0.0..=MAX_TIME_S).contains(seconds)
}

pub(super) fn parse_name(value: &str) -> Option<String> {
    is_valid_name(value).then(|| value.to_owned())
}

pub(super) fn parse_filter(value: &str) -> Option<String> {
    (!value.is_empty() && EnvFilter::try_new(value).is_ok()).then(|| value.to_owned())
}

pub(super) fn parse_addresses(value: &str) -> Option<Vec<SocketAddr>> {
    let parts = value.split(',').filter(|_| !value.is_empty());
    parts.map(|it| it.parse().ok().filter(|it: &SocketAddr| it.port() != 0)).collect()
}
