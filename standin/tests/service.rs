//! Tests of the service stand-in.

mod support;

use std::{thread, time::Duration};

use serde_json::json;
use snipepond_standin::{
    CallerConnection, CallerRequest, DisconnectPoint, ResponseEnd, ServiceServer, ServiceSettings,
};

use self::support::{control, get, wait_for};

fn start(settings: ServiceSettings) -> ServiceServer {
    ServiceServer::start(settings).expect("service starts")
}

fn quick_settings() -> ServiceSettings {
    ServiceSettings {
        duration: Duration::ZERO,
        load_lag: Duration::ZERO,
        ..ServiceSettings::default()
    }
}

fn write_request(key: &str) -> CallerRequest {
    CallerRequest::new("POST", "/orders/7")
        .header("Idempotency-Key", key)
        .header("x-request-id", "r1")
        .body("two cups")
}

/// Guards against runs that are not counted by idempotency key, and reads that count as runs.
#[test]
fn runs_are_counted_by_key() {
    let service = start(quick_settings());
    for expected in 1..=2 {
        let response = write_request("k1").send(service.address()).unwrap();
        assert!(response.is_complete());
        assert_eq!(response.header("x-request-id"), Some("r1"));
        let body = response.json();
        assert_eq!(body["run"], expected);
        assert_eq!(body["body"], "two cups");
        assert_eq!(body["target"], "/orders/7");
    }
    assert!(get(service.address(), "/orders/7").is_complete());
    assert_eq!(service.run_count("k1"), 2);
    assert_eq!(service.run_count("k2"), 0);
    assert_eq!(service.total_runs(), 2);
    assert_eq!(service.stats()["reads"], 1);
}

/// Guards against a request that counts as run although its connection was closed before.
#[test]
fn break_before_run_has_no_effect() {
    let service = start(quick_settings());
    service.disconnect_next(DisconnectPoint::BeforeRun, 1);
    assert!(write_request("k1").send(service.address()).is_err());
    assert_eq!(service.run_count("k1"), 0);
    assert!(write_request("k1").send(service.address()).unwrap().is_complete());
    assert_eq!(service.run_count("k1"), 1);
}

/// Guards against a request that is not counted although it ran before its connection was closed.
#[test]
fn break_after_run_has_its_effect() {
    let service = start(quick_settings());
    control(service.address(), "/control/break", json!({ "when": "after_run" }));
    assert!(write_request("k1").send(service.address()).is_err());
    assert_eq!(service.run_count("k1"), 1);
}

/// Guards against a write that does not run because its caller has disconnected.
#[test]
fn abandoned_write_still_runs() {
    let service =
        start(ServiceSettings { duration: Duration::from_millis(50), ..quick_settings() });
    let mut connection = CallerConnection::open(service.address()).unwrap();
    connection.send_raw(&write_request("k1").to_bytes(service.address())).unwrap();
    wait_for("the request", || service.stats()["in_flight"] == 1);
    drop(connection);
    wait_for("the run", || service.run_count("k1") == 1);
}

/// Guards against a response to another request that a test cannot recognize as such.
#[test]
fn foreign_response_has_another_id_and_body() {
    let service = start(quick_settings());
    control(service.address(), "/control/echo", json!({ "mode": "wrong_id" }));
    let response = write_request("k1").send(service.address()).unwrap();
    assert_eq!(response.header("x-request-id"), Some("other-r1"));
    assert_eq!(response.json()["body"], "foreign");
    control(service.address(), "/control/echo", json!({ "mode": "short" }));
    let response = write_request("k1").send(service.address()).unwrap();
    assert!(matches!(response.end, ResponseEnd::Broken(_)));
}

/// Guards against a cold service that tolerates any load.
#[test]
fn cold_service_crashes_beyond_its_allowance() {
    let service = start(ServiceSettings {
        starts_cold: true,
        cold_allowance: 1,
        duration: Duration::from_secs(30),
        ..quick_settings()
    });
    let address = service.address();
    let first = thread::spawn(move || CallerRequest::new("GET", "/a").send(address).is_err());
    wait_for("the first request", || service.stats()["in_flight"] == 1);
    assert!(CallerRequest::new("GET", "/b").send(address).is_err());
    assert!(first.join().unwrap());
    let stats = service.stats();
    assert_eq!(stats["falls"], 1);
    assert_eq!(stats["peak_cold"], 2);
}

/// Guards against a persistent connection that is closed after each response.
#[test]
fn connection_serves_several_requests() {
    let service = start(quick_settings());
    let mut connection = CallerConnection::open(service.address()).unwrap();
    for _ in 0..3 {
        let (response, kept) =
            connection.send(&write_request("k1")).unwrap().finish_and_reuse().unwrap();
        assert_eq!(response.status, 200);
        connection = kept;
    }
    assert_eq!(service.run_count("k1"), 3);
}

/// Guards against a load report without the requests in flight.
#[test]
fn load_report_shows_requests_in_flight() {
    let service = start(ServiceSettings { duration: Duration::from_secs(30), ..quick_settings() });
    let mut connection = CallerConnection::open(service.address()).unwrap();
    let request = CallerRequest::new("GET", "/slow");
    connection.send_raw(&request.to_bytes(service.address())).unwrap();
    wait_for("the request in the report", || {
        get(service.address(), "/load").json()["running"] == 1
    });
    assert_eq!(get(service.address(), "/load").json()["cold"], false);
}

/// Guards against errors of control requests that do not name the invalid value.
#[test]
fn invalid_control_requests_are_rejected() {
    let service = start(quick_settings());
    let response = CallerRequest::new("POST", "/control/break")
        .body(r#"{"when":"later"}"#)
        .send(service.address())
        .unwrap();
    assert_eq!(response.status, 400);
    assert!(response.text().contains("later"));
}
