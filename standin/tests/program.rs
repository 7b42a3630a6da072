//! Tests of the program `snipepond-standin`.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Output, Stdio},
};

use snipepond_standin::CallerRequest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_snipepond-standin");

/// Kills the child process on drop, so that a failed test leaves none behind.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // These fail only if the child has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn start(kind: &str) -> (ChildGuard, SocketAddr) {
    let mut child = Command::new(PROGRAM)
        .args([kind, "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = child.stdout.take().unwrap();
    let guard = ChildGuard(child);
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).unwrap();
    let address = line
        .trim_end()
        .strip_prefix("listening=")
        .unwrap_or_else(|| panic!("unexpected output {line:?}"))
        .parse()
        .unwrap();
    (guard, address)
}

/// Guards against a kind of stand-in that does not start, does not print its address, or ignores
/// SIGTERM.
#[test]
fn each_kind_serves_until_sigterm() {
    for kind in ["engine", "service", "platform"] {
        let (mut guard, address) = start(kind);
        let response = CallerRequest::new("GET", "/control/stats").send(address).unwrap();
        assert_eq!(response.status, 200, "{kind}");
        let status =
            Command::new("kill").args(["-TERM", &guard.0.id().to_string()]).status().unwrap();
        assert!(status.success());
        assert!(guard.0.wait().unwrap().success(), "{kind}");
    }
}

/// Guards against errors that do not name the invalid argument.
#[test]
fn wrong_arguments_are_named() {
    let cases: [(&[&str], &str); 6] = [
        (&[], "no kind given"),
        (&["desk"], "desk"),
        (&["engine"], "--listen"),
        (&["engine", "--listen", "here"], "here"),
        (&["service", "--capacity", "many"], "--capacity"),
        (&["platform", "--capacity", "1"], "--capacity"),
    ];
    for (arguments, expected) in cases {
        let output = run(arguments);
        assert!(!output.status.success(), "{arguments:?}");
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(message.contains(expected), "{arguments:?}: {message}");
    }
}

/// Guards against a help option that is missing or treated as an error.
#[test]
fn help_is_printed() {
    for arguments in [&["--help"][..], &["engine", "--help"]] {
        let output = run(arguments);
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains("--listen IP:PORT"));
    }
}
