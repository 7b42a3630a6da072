//! Harness for end-to-end tests: routers run as child processes, the stand-ins of platform, engines
//! and services as servers inside the test process.
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

/// Longest wait for a condition. It only bounds the time of a failing test and is no assertion
/// about speed, so it is far above every timer of the router.
pub const WAIT_LIMIT_S: u64 = 40;

/// Pause between two evaluations of a condition.
const POLL_INTERVAL_MS: u64 = 20;

/// Waits until `condition` holds.
///
/// # Panics
/// The condition does not hold within [`WAIT_LIMIT_S`].
#[track_caller]
pub fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(WAIT_LIMIT_S);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Returns the outcome in the `x-outcome` header of a response.
///
/// # Panics
/// The body also contains an outcome, and it differs from the header.
#[track_caller]
pub fn outcome_of(response: &CallerResponse) -> String {
    let header = response.header("x-outcome").unwrap_or_default().to_owned();
    let body = response.json();
    if let Some(outcome) = body["error"]["outcome"].as_str() {
        assert_eq!(header, outcome, "header and body state different outcomes");
    }
    header
}

/// Asserts that a response is a refusal with one of `statuses` and the outcome `not_run`, and that
/// it contains the type, the message and the request id of the refusal.
#[track_caller]
pub fn assert_not_run(response: &CallerResponse, statuses: &[u16]) {
    let text = response.text();
    assert!(
        statuses.contains(&response.status),
        "status {} is not one of {statuses:?}: {text}",
        response.status
    );
    assert_eq!(outcome_of(response), "not_run", "{text}");
    let error = &response.json()["error"];
    for field in ["type", "message", "request_id"] {
        let value = error[field].as_str().unwrap_or_default();
        assert!(!value.is_empty(), "the refusal has no {field}: {text}");
    }
    assert!(response.header("x-request-id").is_some(), "no x-request-id");
}

/// Sends a request and returns the response.
///
/// # Panics
/// There is no response.
#[track_caller]
pub fn send_request(address: SocketAddr, request: &CallerRequest) -> CallerResponse {
    match request.send(address) {
        Ok(response) => response,
        Err(err) => {
            panic!("no response to {} {} from {address}: {err}", request.method, request.target)
        }
    }
}

/// Sends a request, and retries it as long as it is refused with `not_run`, as callers may do.
#[track_caller]
pub fn send_until_run(address: SocketAddr, request: &CallerRequest) -> CallerResponse {
    let mut last_response = None;
    wait_for("a request to run", || {
        let response = send_request(address, request);
        let is_refused = outcome_of(&response) == "not_run";
        last_response = Some(response);
        !is_refused
    });
    last_response.expect("a response")
}

/// Returns a streamed chat request of team `one` for `tokens` tokens.
pub fn chat(text: &str, tokens: u64) -> CallerRequest {
    CallerRequest::chat(MODEL, text, tokens, true).bearer_key(KEY_ONE)
}

/// Returns an order of team `one`: a request that must run at most once, identified by the
/// idempotency key `key`.
pub fn order(key: &str) -> CallerRequest {
    CallerRequest::new("POST", "/orders/7")
        .bearer_key(KEY_ONE)
        .header("Idempotency-Key", key)
        .header("Content-Type", "text/plain")
        .body("two cups")
}

/// Obtains a ticket, an idempotency key that the host at `address` issues, for the team of the API
/// key `key`.
pub fn obtain_ticket(address: SocketAddr, key: &str) -> String {
    let request = CallerRequest::new("POST", "/v1/operations").bearer_key(key);
    let mut ticket = String::new();
    wait_for("a ticket", || {
        let Ok(response) = request.send(address) else {
            return false;
        };
        let text = response.text();
        let found = text.split(['"', ' ', '\n']).find(|it| it.starts_with("spt1."));
        ticket = found.unwrap_or_default().to_owned();
        response.status < 300 && !ticket.is_empty()
    });
    ticket
}
