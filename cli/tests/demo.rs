//! `snipepond demo`, which the README asks a new user to run.

use std::process::Command;

/// Guards against a demo that hangs, fails or prints something other than the README says.
#[test]
fn demo_shows_every_decision_and_ends() {
    let output = Command::new(env!("CARGO_BIN_EXE_snipepond"))
        .arg("demo")
        .output()
        .expect("the demo starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    for expected in [
        "through router 2: status 200, outcome ran, replayed true",
        "the service ran it 1 time(s)",
        "status 401, outcome not_run",
        "Both routers stopped without cutting a request.",
    ] {
        assert!(text.contains(expected), "{expected:?} is missing in:\n{text}");
    }
    // Both requests of the chat went to the same engine.
    let engines: Vec<&str> = text
        .lines()
        .filter_map(|it| it.split_once("engine incarnation ").map(|(_, rest)| &rest[..16]))
        .collect();
    assert_eq!(engines.len(), 2);
    assert_eq!(engines[0], engines[1]);
}
