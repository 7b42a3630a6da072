//! Specifications of the router's settings: names, units, defaults and limits.

/// Maximum of a time in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Maximum of `max-active`; each active request occupies a worker thread.
const MAX_ACTIVE_REQUESTS: u64 = 16_384;

/// Maximum of `max-body-bytes`; bodies are held in memory.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Specification of one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag without the leading dashes.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description of the allowed values, for error messages and the help text.
    pub allowed: &'static str,
    /// Description of the setting for the help text.
    pub help: &'static str,
    /// Minimum and maximum of a number; `None` if the value is not a whole number.
    pub(super) range: Option<(u64, u64)>,
}

pub(super) const fn text_spec(
    name: &'static str,
    unit: &'static str,
    default: Option<&'static str>,
    allowed: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { name, unit, default, allowed, help, range: None }
}

pub(super) const fn number_spec(
    name: &'static str,
    unit: &'static str,
    default: &'static str,
    (range, allowed): ((u64, u64), &'static str),
    help: &'static str,
) -> SettingSpec {
    SettingSpec { name, unit, default: Some(default), allowed, help, range: Some(range) }
}

pub(super) const TIME_RANGE: ((u64, u64), &str) = ((1, MAX_TIME_MS), "1 to 86400000 ms");
const TIME_OR_ZERO_RANGE: ((u64, u64), &str) = ((0, MAX_TIME_MS), "0 to 86400000 ms");
pub(super) const NAME_FORMAT: &str = "1 to 64 of A-Z a-z 0-9 - _ .";
pub(super) const ADDRESS_FORMAT: &str = "IP:PORT";

/// The log filter, a setting of every daemon.
pub(super) const LOG_SPEC: SettingSpec = text_spec(
    "log",
    "filter",
    Some("info"),
    "a tracing filter such as info or snipepond=debug,info",
    "which events are logged",
);

/// Memory of the process, a setting of every daemon that serves callers.
pub(super) const MEMORY_SPEC: SettingSpec = number_spec(
    "memory-mb",
    "MiB",
    "160",
    ((16, 1 << 20), "16 to 1048576 MiB"),
    "memory of the process; bounds what it holds for callers",
);

/// Descriptors of the process, a setting of every daemon that serves callers.
pub(super) const DESCRIPTORS_SPEC: SettingSpec = number_spec(
    "descriptors",
    "descriptors",
    "4096",
    ((64, 1 << 20), "64 to 1048576"),
    "file descriptors of the process; callers may take three quarters",
);

/// All settings of a router in the order of the help text.
pub const ROUTER_SETTINGS: &[SettingSpec] = &[
    text_spec("host", "name", None, NAME_FORMAT, "name of this host in the host list"),
    text_spec("data-centre", "name", None, NAME_FORMAT, "data centre of this host"),
    text_spec("listen", "IP:PORT", Some("127.0.0.1:8080"), ADDRESS_FORMAT, "address for callers"),
    text_spec(
        "admin-listen",
        "IP:PORT",
        Some("127.0.0.1:8081"),
        "IP:PORT, other than that of listen",
        "address for peers and administration",
    ),
    text_spec(
        "platform",
        "URL",
        None,
        "http://IP:PORT with an optional path",
        "platform from which the catalogue and the host list are read",
    ),
    text_spec(
        "seed-peers",
        "IP:PORT,...",
        Some(""),
        "IP:PORT of other hosts, separated by commas, or nothing",
        "hosts asked for both at the start while the platform is silent",
    ),
    number_spec(
        "validity-ms",
        "ms",
        "6000",
        TIME_RANGE,
        "time for which a host list or a peer's confirmation counts",
    ),
    number_spec(
        "list-lag-ms",
        "ms",
        "10000",
        TIME_OR_ZERO_RANGE,
        "longest lag of the platform's host list",
    ),
    number_spec(
        "margin-ms",
        "ms",
        "1000",
        TIME_OR_ZERO_RANGE,
        "added to validity and list lag before acting as a new owner",
    ),
    number_spec(
        "max-connections",
        "connections",
        "2048",
        ((1, 65_536), "1 to 65536"),
        "most caller connections at the same time",
    ),
    number_spec(
        "max-active",
        "requests",
        "1024",
        ((1, MAX_ACTIVE_REQUESTS), "1 to 16384"),
        "most requests at upstreams at the same time",
    ),
    number_spec(
        "max-queued",
        "requests",
        "2048",
        ((0, 1_000_000), "0 to 1000000"),
        "most requests in the queue",
    ),
    number_spec(
        "max-body-bytes",
        "bytes",
        "1048576",
        ((1, MAX_BODY_BYTES), "1 to 67108864 bytes"),
        "largest request body",
    ),
    number_spec(
        "header-timeout-ms",
        "ms",
        "10000",
        TIME_RANGE,
        "time in which a caller must have sent the header",
    ),
    number_spec(
        "body-timeout-ms",
        "ms",
        "30000",
        TIME_RANGE,
        "time in which a caller must have sent the body",
    ),
    number_spec(
        "drain-timeout-ms",
        "ms",
        "600000",
        TIME_OR_ZERO_RANGE,
        "longest wait for running requests at a planned stop; 0 waits without a limit",
    ),
    MEMORY_SPEC,
    DESCRIPTORS_SPEC,
    LOG_SPEC,
];
