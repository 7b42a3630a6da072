//! Format of log lines: a value must not end a line, add a key or make a line too long.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use snipepond::{
    clock::ManualClock,
    telemetry::{TelemetryError, log_subscriber},
};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns what `emit` logs, with the clock at 2024-02-29T23:59:59.042Z.
fn logged_text(emit: impl FnOnce()) -> String {
    let clock = ManualClock::new();
    clock.advance(Duration::from_millis(1_709_251_199_042));
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let subscriber = log_subscriber("info", Arc::new(clock), move || writer.clone()).unwrap();
    tracing::subscriber::with_default(subscriber, emit);
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

const LINE_START: &str = "time=2024-02-29T23:59:59.042Z level=info event=";

/// Log tools parse this format.
#[test]
fn an_event_is_one_line() {
    let line = logged_text(|| {
        tracing::info!(team = %"t1", count = 3, share = 0.5, ready = true, "request_refused");
        tracing::debug!("not selected by the filter");
    });
    assert_eq!(line, format!("{LINE_START}request_refused team=t1 count=3 share=0.5 ready=true\n"));
}

/// A value that a caller controls must not forge a second event or another key.
#[test]
fn values_cannot_forge_a_line() {
    for hostile in [
        "x\ntime=1970-01-01T00:00:00.000Z level=info event=key_accepted",
        "x\r\nevent=y",
        "x event=y",
        "x\" event=\"y",
        "x\\\" event=y",
        "\u{2028}event=y",
        "\u{85}event=y",
        "\u{202e}tneve",
        "\u{1b}[2K",
        "",
    ] {
        let line = logged_text(|| tracing::info!(path = hostile, other = ?hostile, "request"));
        assert_eq!(line.matches('\n').count(), 1, "{line:?}");
        assert!(line.bytes().all(|b| b == b'\n' || (b' '..=b'~').contains(&b)), "{line:?}");
        assert_eq!(keys(&line), ["time", "level", "event", "path", "other"], "{line:?}");
    }
}

/// Events of libraries may have any message and field names; they must not forge a key of the
/// line format.
#[test]
fn messages_and_reserved_keys_cannot_forge_a_key() {
    let line = logged_text(|| tracing::info!(event = "forged", level = "error", "two words=1\n"));
    assert_eq!(
        line,
        format!("{LINE_START}\"two words=1\\n\" field_event=forged field_level=error\n")
    );
    assert_eq!(logged_text(|| tracing::info!(a = 1)), format!("{LINE_START}unnamed a=1\n"));
}

/// A request path of 16 KiB must not fill the log.
#[test]
fn long_values_are_truncated() {
    let line = logged_text(|| tracing::info!(path = %"a".repeat(16_384), "request"));
    assert!(line.len() < 1_200, "{}", line.len());
    assert!(line.ends_with("a...\"\n"));
}

#[test]
fn an_invalid_filter_is_named_in_the_error() {
    let result = log_subscriber("a=b=c", Arc::new(ManualClock::new()), io::stderr);
    let Err(error @ TelemetryError::Filter { .. }) = result.map(|_| ()) else {
        panic!("the filter must be rejected");
    };
    assert!(error.to_string().contains("a=b=c"));
}

/// Returns the keys of a line, parsed as a log tool does.
fn keys(line: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut rest = line.trim_end_matches('\n');
    while !rest.is_empty() {
        let (key, value) = rest.split_once('=').expect("a key and a value");
        keys.push(key.to_owned());
        let end = match value.strip_prefix('"') {
            Some(quoted) => {
                let mut escaped = false;
                let close = quoted.find(|c| {
                    let closes = c == '"' && !escaped;
                    escaped = c == '\\' && !escaped;
                    closes
                });
                close.expect("a closing quote") + 2
            }
            None => value.find(' ').unwrap_or(value.len()),
        };
        rest = value[end..].strip_prefix(' ').unwrap_or(&value[end..]);
    }
    keys
}
