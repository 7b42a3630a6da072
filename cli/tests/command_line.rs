//! Tests of the `snipepond` command line, run as a process against a fake administration port.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};

/// Runs `snipepond` with the given standard input and returns its output and exit status.
fn snipepond(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_snipepond"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Writing fails if the command exits without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// A file in the directory for temporary files; it is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("snipepond-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Starts a server that responds to one request. Returns its URL and a thread whose result is the
/// request line.
fn serve_once(status: u16, body: String) -> (String, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        let mut chunk = [0; 1024];
        while !request.windows(4).any(|it| it == b"\r\n\r\n") {
            let count = stream.read(&mut chunk).unwrap();
            assert_ne!(count, 0, "the request ended early");
            request.extend_from_slice(&chunk[..count]);
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).unwrap();
        let request = String::from_utf8(request).unwrap();
        request.lines().next().unwrap().to_owned()
    });
    (url, server)
}

/// Returns the first `json` block of docs/catalogue.md.
fn documented_example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/catalogue.md");
    let page = fs::read_to_string(path).unwrap();
    let (_, rest) = page.split_once("```json\n").expect("a json block");
    rest.split_once("```").expect("the end of the block").0.to_owned()
}

/// Guards against a documented example that the check rejects.
#[test]
fn check_accepts_the_documented_example() {
    let file = TempFile::new("example.json", &documented_example());
    let output = snipepond(&["check", file.path()], "");
    assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    assert!(stdout(&output).starts_with("accepted: "));
    let output = snipepond(&["check", "--json", file.path()], "");
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["accepted"], json!(true));
    // The page says that the example contains every kind of entry.
    for kind in ["class", "data_centre", "team", "key", "route", "upstream", "fleet"] {
        assert!(documented_example().contains(&format!("\"{kind}/")), "{kind}");
    }
}

/// Guards against a check that stops at the first problem, so that the operator needs several runs
/// to see all of them.
#[test]
fn check_prints_every_problem_on_its_own_line() {
    let catalogue = r#"{
        "team/t": {"owner": "", "class": "none", "rate": 0, "burst": 1},
        "class/c": {"priority": 0, "deadline_ms": 0, "queue_ms": 1, "x\ny": 1}
    }"#;
    let file = TempFile::new("wrong.json", catalogue);
    let output = snipepond(&["check", file.path()], "");
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[0].contains(r#"entry "class/c": unknown field"#), "{lines:?}");
    for (line, field) in lines[1..].iter().zip(["class", "owner", "rate"]) {
        assert!(line.starts_with(&format!(r#"entry "team/t", field "{field}": "#)), "{line}");
    }
    let output = snipepond(&["check", file.path(), "--json"], "");
    assert_eq!(output.status.code(), Some(1));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["problems"].as_array().unwrap().len(), 4);
}

/// Guards against a file that is accepted although it is no object of entries or has a duplicate
/// key, which would hide the first of two entries from the check.
#[test]
fn check_refuses_files_that_are_not_an_object_of_entries() {
    for (name, text) in [
        ("array", "[]"),
        ("text", "not json"),
        (
            "twice",
            r#"{"fleet/settings": {"skew_multiple": 2}, "fleet/settings": {"skew_multiple": 2}}"#,
        ),
        ("twice-inside", r#"{"fleet/settings": {"skew_multiple": 2, "skew_multiple": 3}}"#),
    ] {
        let file = TempFile::new(name, text);
        let output = snipepond(&["check", file.path()], "");
        assert_eq!(output.status.code(), Some(1), "{name}");
        assert!(stdout(&output).starts_with("file: "), "{}", stdout(&output));
    }
}

/// Guards against an exit status by which scripts cannot distinguish wrong usage from a rejected
/// catalogue.
#[test]
fn wrong_usage_exits_with_status_2() {
    for args in [
        &[][..],
        &["unknown"],
        &["--unknown"],
        &["check"],
        &["check", "/nonexistent/catalogue.json"],
        &["check", "a", "b"],
        &["status"],
        &["status", "--router", "http://localhost:1"],
        &["status", "--router", "127.0.0.1:1"],
        &["explain", "--router", "http://127.0.0.1:1"],
        &["explain", "--router", "http://127.0.0.1:1", "--model", "m", "--path", "/p"],
        &["slo"],
        &["slo", "--router", "http://127.0.0.1:1", "--router", "http://127.0.0.1:1/"],
        &["key"],
        &["key", "hash", "secret"],
    ] {
        let output = snipepond(args, "");
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(stderr(&output).starts_with("snipepond: "), "{args:?}");
        assert!(output.stdout.is_empty(), "{args:?}");
    }
}

#[test]
fn help_lists_every_command() {
    for args in [&["help"][..], &["--help"], &["check", "--help"]] {
        let output = snipepond(args, "");
        assert_eq!(output.status.code(), Some(0));
        for command in ["check", "status", "explain", "slo", "key hash", "help"] {
            let line = format!("  snipepond {command}");
            assert!(stdout(&output).contains(&line), "{command}");
        }
    }
    assert!(stdout(&snipepond(&["--version"], "")).starts_with("snipepond 0."));
}

/// Guards against a hash that includes the newline after the key, which callers do not send.
#[test]
fn key_hash_reads_the_key_from_standard_input() {
    // SHA-256 of "abc", FIPS 180-2, appendix B.1.
    let hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    for input in ["abc", "abc\n", "abc\r\n"] {
        let output = snipepond(&["key", "hash"], input);
        assert_eq!(stdout(&output), format!("{hash}\n"));
    }
    let output = snipepond(&["key", "hash", "--json"], "abc");
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report, json!({ "sha256": hash }));
}

/// Guards against an error message that contains a key, and against a hash for a key that no
/// request header can contain.
#[test]
fn key_hash_refuses_unusable_keys_without_repeating_them() {
    for input in ["", "\n", "secret key", "secret\n\n", "sécret", &"secret".repeat(1000)] {
        let output = snipepond(&["key", "hash"], input);
        assert_eq!(output.status.code(), Some(1), "{input:?}");
        assert!(output.stdout.is_empty());
        assert!(!stderr(&output).contains("cret"), "{}", stderr(&output));
    }
    let output = snipepond(&["key", "hash", "secret"], "");
    assert!(!stderr(&output).contains("secret"));
}

fn status_response() -> Value {
    json!({
        "host": "h1", "data_centre": "a", "incarnation": "00000000000000ff",
        "config": {"accepted_revision": 7, "seen_revision": 8, "problems": [
            {"entry": "team/t", "field": "rate", "reason": "must be above 0"}]},
        "list_version": 3, "view_confirmed": true, "ready": true, "draining": false,
        "in_flight": 4, "queued": 0, "added_by_a_newer_router": 1,
        "upstreams": [{"name": "e1", "kind": "engine", "data_centre": "a", "state": "in_service",
            "eligible": true, "load": 1234.5, "in_flight": 2, "cold": true}],
        "teams": [{"name": "t", "admitted": 10, "refused": 3, "refused_over_rate": 2}]
    })
}

/// Guards against a status that does not show a rejected revision.
#[test]
fn status_shows_a_router() {
    let (url, server) = serve_once(200, status_response().to_string());
    let output = snipepond(&["status", "--router", &url], "");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(server.join().unwrap(), "GET /status HTTP/1.1");
    let text = stdout(&output);
    assert!(text.contains("configuration: revision 7 in force, 8 seen"), "{text}");
    assert!(text.contains(r#"rejected: entry "team/t", field "rate""#), "{text}");
    let (url, server) = serve_once(200, status_response().to_string());
    let output = snipepond(&["status", "--json", "--router", &url], "");
    server.join().unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["incarnation"], json!("00000000000000ff"));
}

/// Guards against a router that looks healthy although it returns an error or an invalid response.
#[test]
fn a_failed_read_exits_with_status_1() {
    for (status, body) in [(503, "\u{1b}[2Jstarting"), (200, "{}"), (200, "not json")] {
        let (url, server) = serve_once(status, body.to_owned());
        let output = snipepond(&["status", "--router", &url], "");
        server.join().unwrap();
        assert_eq!(output.status.code(), Some(1), "{body}");
        assert!(stderr(&output).contains("cannot read"), "{}", stderr(&output));
        assert!(!stderr(&output).contains('\u{1b}'));
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let output = snipepond(&["status", "--router", &url], "");
    assert_eq!(output.status.code(), Some(1));
}

/// Guards against a value that reaches the router changed because its special characters are not
/// percent-encoded, and against a forged verdict in the text of a step.
#[test]
fn explain_encodes_the_request_and_prints_the_steps() {
    let response = json!({
        "host": "h1", "revision": 7,
        "query": {"model": "m&1", "chat": "c 2", "path": null, "method": null, "team": null},
        "steps": [
            {"name": "route", "outcome": "passed", "detail": "chat"},
            {"name": "load_bound", "outcome": "refused", "detail": "e1 12 > 10\nverdict: forged"}],
        "verdict": {"kind": "dispatch", "upstream": "e2"}
    });
    let (url, server) = serve_once(200, response.to_string());
    let args = ["explain", "--router", &url, "--model", "m&1", "--chat=c 2"];
    let output = snipepond(&args, "");
    assert_eq!(server.join().unwrap(), "GET /explain?model=m%261&chat=c%202 HTTP/1.1");
    let text = stdout(&output);
    assert!(text.contains("  passed   route: chat\n"), "{text}");
    assert!(text.ends_with("verdict: dispatch to upstream e2\n"), "{text}");
    assert_eq!(text.lines().filter(|it| it.starts_with("verdict: ")).count(), 1);
}

fn burn_response(good: u64, bad: u64) -> String {
    let window = json!({"good": good, "bad": bad, "total": good + bad, "over_rate": 0,
        "allowed_bad": (good + bad) as f64 * 0.05, "burn": 0.0});
    json!({
        "short_window_s": 300, "long_window_s": 3600, "page_burn": 14.4, "ticket_burn": 6.0,
        "rows": [{"team": "t", "class": "c", "objective": 0.95, "short": window, "long": window,
            "alert": "none"}],
        "teams": [], "classes": [], "worst_team": null
    })
    .to_string()
}

/// Guards against a failing router that hides the reports of the others, or that is left out
/// without notice.
#[test]
fn slo_merges_the_reports_of_routers() {
    let (first, first_server) = serve_once(200, burn_response(90, 0));
    let (second, second_server) = serve_once(200, burn_response(0, 10));
    let args = ["slo", "--router", &first, "--router", &second, "--json"];
    let output = snipepond(&args, "");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(first_server.join().unwrap(), "GET /slo HTTP/1.1");
    second_server.join().unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["rows"][0]["long"]["total"], json!(100));
    assert_eq!(report["worst_team"], json!("t"));

    let (good, good_server) = serve_once(200, burn_response(90, 0));
    let (failing, failing_server) = serve_once(500, String::new());
    let output = snipepond(&["slo", "--router", &good, "--router", &failing], "");
    good_server.join().unwrap();
    failing_server.join().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(&failing));
    assert!(stdout(&output).contains("routers: 1 of 2 answered"));
}
