//! Formats each event as one line: `time=... level=info event=NAME key=value ...`.
//!
//! The event name is the message of the event. A value that is empty or contains anything but
//! visible ASCII, or a quote, an equals sign or a backslash, is quoted and escaped, so that no
//! value can end a line or look like another key.

use std::{
    fmt::{self, Write},
    io,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use tracing::{
    Event, Subscriber,
    field::{Field, Visit},
};
use tracing_subscriber::{
    EnvFilter,
    fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter, format::Writer},
    registry::LookupSpan,
};

use crate::clock::ClockSource;

/// Length at which a value is truncated; `...` replaces the rest.
///
/// Callers control some values, such as a request path of up to 16 KiB.
const MAX_VALUE_CHARS: usize = 1_024;

/// Keys that the line format writes for every event; an event field of the same name gets the prefix `field_`.
const RESERVED_KEYS: [&str; 3] = ["time", "level", "event"];

/// Error while logging is set up.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// The filter cannot be parsed.
    #[error("log filter {filter:?} cannot be read: {reason}")]
    Filter {
        /// The filter as given.
        filter: String,
        /// Message of the filter parser.
        reason: String,
    },
    /// The process already has a global subscriber.
    #[error("logging was already set up")]
    AlreadySet,
    /// The log thread cannot be started.
    #[error("log thread cannot be started: {0}")]
    Thread(#[source] io::Error),
}

/// Installs a global subscriber that writes the events that `filter` selects to standard error.
///
/// # Errors
///
/// The filter cannot be parsed, or the process already has a global subscriber.
pub fn init_log(filter: &str, clock: Arc<dyn ClockSource>) -> Result<(), TelemetryError> {
    let subscriber = log_subscriber(filter, clock, io::stderr)?;
    tracing::subscriber::set_global_default(subscriber).map_err(|_| TelemetryError::AlreadySet)
}

/// Returns a subscriber that writes the events that `filter` selects to `writer`.
///
/// # Errors
///
/// The filter cannot be parsed.
pub fn log_subscriber<W>(
    filter: &str,
    clock: Arc<dyn ClockSource>,
    writer: W,
) -> Result<impl Subscriber + Send + Sync + use<W>, TelemetryError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter).map_err(|error| TelemetryError::Filter {
        filter: filter.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        // By default the subscriber reports a failed write with `eprintln!`, which panics if
        // standard error itself is closed.
        .log_internal_errors(false)
        .event_format(LineFormat::new(clock))
        .finish())
}

/// Formats an event as one line.
#[derive(Clone, Debug)]
pub struct LineFormat {
    clock: Arc<dyn ClockSource>,
}

impl LineFormat {
    /// Creates a format whose timestamps come from `clock`.
    pub fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self { clock }
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut visitor = FieldVisitor::default();
        event.record(&mut visitor);
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        let time = timestamp(self.clock.wall_time());
        let name = visitor.name.unwrap_or_else(|| "unnamed".to_owned());
        writeln!(writer, "time={time} level={level} event={name}{}", visitor.pairs)
    }
}

/// Collects the message and the other fields of an event.
#[derive(Default)]
struct FieldVisitor {
    name: Option<String>,
    pairs: String,
}

impl FieldVisitor {
    fn add_field(&mut self, field: &Field, value: &str) {
        if field.name() == "message" {
            self.name = Some(quote_value(value));
            return;
        }
        self.pairs.push(' ');
        if RESERVED_KEYS.contains(&field.name()) {
            self.pairs.push_str("field_");
        }
        let key = field
            .name()
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() || c == '_' || c == '.' { c } else { '_' });
        self.pairs.extend(key);
        self.pairs.push('=');
        self.pairs.push_str(&quote_value(value));
    }
}

impl Visit for FieldVisitor {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.add_field(field, value);
    }

    fn record_error(&mut self, field: &Field, value: &(dyn std::error::Error + 'static)) {
        self.add_field(field, &value.to_string());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.add_field(field, &format!("{value:?}"));
    }
}

/// Returns the value unchanged if it is a plain word, otherwise quoted, escaped and truncated.
fn quote_value(value: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'=' | b'\\');
    if !value.is_empty() && value.len() <= MAX_VALUE_CHARS && value.bytes().all(is_plain) {
        return value.to_owned();
    }
    let mut text = String::with_capacity(value.len() + 2);
    text.push('"');
    let mut chars = value.chars();
    for c in chars.by_ref().take(MAX_VALUE_CHARS) {
        match c {
            '"' | '\\' => text.extend(['\\', c]),
            '\n' => text.push_str("\\n"),
            '\r' => text.push_str("\\r"),
            '\t' => text.push_str("\\t"),
            ' '..='~' => text.push(c),
            // Besides control characters, Unicode has line separators and bidirectional controls,
            // which reorder the surrounding text.
            _ => text.extend(c.escape_unicode()),
        }
    }
    if chars.next().is_some() {
        text.push_str("...");
    }
    text.push('"');
    text
}

/// Formats a time as `2026-12-04T08:00:00.000Z`; a time before 1970 becomes the start of 1970.
fn timestamp(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, second_of_day) = (since_epoch.as_secs() / 86_400, since_epoch.as_secs() % 86_400);
    let (year, month, day) = civil_date(days);
    let mut text = String::with_capacity(24);
    write!(
        text,
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        since_epoch.subsec_millis()
    )
    .expect("writing to a string does not fail");
    text
}

/// Returns year, month and day of the given number of days since 1970-01-01, in the Gregorian
/// calendar.
///
/// Source: Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms", `civil_from_days`. Its
/// years begin in March, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
