//! Harness for tests of whole processes: routers as child processes, stand-ins inside the test.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod fleet;
pub mod router;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use snipepond_standin::{CallerRequest, CallerResponse};

pub use self::fleet::{Fleet, FleetPlan, KEY_ONE, KEY_TWO, MODEL};

/// Longest wait for a condition, in seconds. It bounds a failing test and asserts nothing about
/// speed, so it is far above every timer of the router.
pub const WAIT_LIMIT_S: u64 = 40;

/// Pause between two looks at a condition, in milliseconds.
const POLL_PAUSE_MS: u64 = 20;

/// Waits until `condition` holds.
///
/// # Panics
/// The condition does not hold within [`WAIT_LIMIT_S`].
#[track_caller]
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(WAIT_LIMIT_S);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(POLL_PAUSE_MS));
    }
}

/// Returns the outcome that a refusal states, in the header and in the body alike.
///
/// # Panics
/// Header and body differ.
#[track_caller]
pub fn outcome_of(answer: &CallerResponse) -> String {
    let header = answer.header("x-outcome").unwrap_or_default().to_owned();
    let body = answer.json();
    if let Some(outcome) = body["error"]["outcome"].as_str() {
        assert_eq!(header, outcome, "header and body state different outcomes");
    }
    header
}

/// Asserts that an answer is a refusal with `not_run` and everything that explains it.
#[track_caller]
pub fn assert_not_run(answer: &CallerResponse, statuses: &[u16]) {
    let text = answer.text();
    assert!(
        statuses.contains(&answer.status),
        "status {} is not one of {statuses:?}: {text}",
        answer.status
    );
    assert_eq!(outcome_of(answer), "not_run", "{text}");
    let error = &answer.json()["error"];
    for field in ["type", "message", "request_id"] {
        let value = error[field].as_str().unwrap_or_default();
        assert!(!value.is_empty(), "the refusal has no {field}: {text}");
    }
    assert!(answer.header("x-request-id").is_some(), "no x-request-id");
}

/// Sends a request and describes the failure if there is no answer.
#[track_caller]
pub fn call(address: SocketAddr, request: &CallerRequest) -> CallerResponse {
    match request.send(address) {
        Ok(answer) => answer,
        Err(err) => {
            panic!("no answer to {} {} from {address}: {err}", request.method, request.target)
        }
    }
}

/// Sends a request again as long as it is refused with `not_run`, as a caller may do.
#[track_caller]
pub fn call_until_run(address: SocketAddr, request: &CallerRequest) -> CallerResponse {
    let mut last = None;
    wait_for("a request to run", || {
        let answer = call(address, request);
        let is_refused = outcome_of(&answer) == "not_run";
        last = Some(answer);
        !is_refused
    });
    last.expect("an answer")
}

/// Returns a chat request of team one.
pub fn chat(text: &str, tokens: u64) -> CallerRequest {
    CallerRequest::chat(MODEL, text, tokens, true).bearer_key(KEY_ONE)
}

/// Returns a non-idempotent order of team one.
pub fn order(key: &str) -> CallerRequest {
    CallerRequest::new("POST", "/orders/7")
        .bearer_key(KEY_ONE)
        .header("Idempotency-Key", key)
        .header("Content-Type", "text/plain")
        .body("two cups")
}

/// Returns a ticket that the host at `address` issues to the team of `key`.
pub fn ticket(address: SocketAddr, key: &str) -> String {
    let request = CallerRequest::new("POST", "/v1/operations").bearer_key(key);
    let mut ticket = String::new();
    wait_for("a ticket", || {
        let Ok(answer) = request.send(address) else {
            return false;
        };
        let text = answer.text();
        let found = text.split(['"', ' ', '\n']).find(|it| it.starts_with("spt1."));
        ticket = found.unwrap_or_default().to_owned();
        answer.status < 300 && !ticket.is_empty()
    });
    ticket
}
