//! Specifications of the router's settings: names, units, defaults and limits.

/// Maximum of a time in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Maximum of `max-active`; each active request occupies a worker thread.
const MAX_ACTIVE: u64 = 16_384;

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

pub(super) const fn text(
    name: &'static str,
    unit: &'static str,
    default: Option<&'static str>,
    allowed: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { name, unit, default, allowed, help, range: None }
}

pub(super) const fn number(
    name: &'static str,
    unit: &'static str,
    default: &'static str,
    (range, allowed): ((u64, u64), &'static str),
    help: &'static str,
) -> SettingSpec {
    SettingSpec { name, unit, default: Some(default), allowed, help, range: Some(range) }
}

pub(super) const TIME: ((u64, u64), &str) = ((1, MAX_TIME_MS), "1 to 86400000 ms");
const TIME_OR_ZERO: ((u64, u64), &str) = ((0, MAX_TIME_MS), "0 to 86400000 ms");
pub(super) const NAME: &str = "1 to 64 of A-Z a-z 0-9 - _ .";
pub(super) const ADDRESS: &str = "IP:PORT";

/// The log filter, a setting of every daemon.
pub(super) const LOG: SettingSpec = text(
    "log",
    "filter",
    Some("info"),
    "a tracing filter such as info or snipepond=debug,info",
    "which events are logged",
);

/// All settings of a router in the order of the help text.
pub const ROUTER_SETTINGS: &[SettingSpec] = &[
    text("host", "name", None, NAME, "name of this host in the host list"),
    text("data-centre", "name", None, NAME, "data centre of this host"),
    text("listen", "IP:PORT", Some("127.0.0.1:8080"), ADDRESS, "address for callers"),
    text(
        "admin-listen",
        "IP:PORT",
        Some("127.0.0.1:8081"),
        "IP:PORT, other than that of listen",
        "address for peers and administration",
    ),
    text(
        "platform",
        "URL",
        None,
        "http://IP:PORT with an optional path",
        "platform from which the catalogue and the host list are read",
    ),
    text(
        "seed-peers",
        "IP:PORT,...",
        Some(""),
        "IP:PORT of other hosts, separated by commas, or nothing",
        "hosts asked for both at the start while the platform is silent",
    ),
    number(
        "validity-ms",
        "ms",
        "6000",
        TIME,
        "time for which a host list or a peer's confirmation counts",
    ),
    number("list-lag-ms", "ms", "10000", TIME_OR_ZERO, "longest lag of the platform's host list"),
    number(
        "margin-ms",
        "ms",
        "1000",
        TIME_OR_ZERO,
        "added to validity and list lag before acting as a new owner",
    ),
    number(
        "max-connections",
        "connections",
        "2048",
        ((1, 65_536), "1 to 65536"),
        "most caller connections at the same time",
    ),
    number(
        "max-active",
        "requests",
        "1024",
        ((1, MAX_ACTIVE), "1 to 16384"),
        "most requests at upstreams at the same time",
    ),
    number(
        "max-queued",
        "requests",
        "2048",
        ((0, 1_000_000), "0 to 1000000"),
        "most requests in the queue",
    ),
    number(
        "max-body-bytes",
        "bytes",
        "1048576",
        ((1, MAX_BODY_BYTES), "1 to 67108864 bytes"),
        "largest request body",
    ),
    number(
        "header-timeout-ms",
        "ms",
        "10000",
        TIME,
        "time in which a caller must have sent the header",
    ),
    number(
        "body-timeout-ms",
        "ms",
        "30000",
        TIME,
        "time in which a caller must have sent the body",
    ),
    number(
        "drain-timeout-ms",
        "ms",
        "600000",
        TIME_OR_ZERO,
        "longest wait for running requests at a planned stop; 0 waits without a limit",
    ),
    LOG,
];
