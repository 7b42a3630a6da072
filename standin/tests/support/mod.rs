//! Helpers shared by the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use snipepond_standin::{CallerRequest, CallerResponse};

/// Longest wait for a condition, in seconds. Only a failing test waits that long.
const WAIT_LIMIT_S: u64 = 10;

/// Waits until `condition` holds, and panics after [`WAIT_LIMIT_S`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(WAIT_LIMIT_S);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a control request, which must succeed, and returns the JSON response.
pub fn control(address: SocketAddr, path: &str, body: Value) -> Value {
    let response =
        CallerRequest::new("POST", path).json(&body).send(address).expect("control request");
    assert_eq!(response.status, 200, "{}", response.text());
    response.json()
}

/// Sends a GET request, which must receive a response.
pub fn get(address: SocketAddr, target: &str) -> CallerResponse {
    CallerRequest::new("GET", target).send(address).expect("response to GET")
}
