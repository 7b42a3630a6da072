//! Tests of the platform stand-in.

mod support;

use std::{net::SocketAddr, thread};

use serde_json::{Value, json};
use snipepond_standin::{
    CallerRequest, HostEntry, PlatformFaults, PlatformServer, PlatformSettings,
};

use self::support::{control, get, wait_for};

fn start() -> PlatformServer {
    PlatformServer::start(PlatformSettings::default()).expect("platform starts")
}

fn config(address: SocketAddr, after: u64) -> Value {
    let response = get(address, &format!("/v1/config?after={after}&wait_ms=0"));
    match response.status {
        200 => response.json(),
        status => json!(status),
    }
}

fn hosts(address: SocketAddr, after: u64) -> Value {
    let response = get(address, &format!("/v1/hosts?after={after}&wait_ms=0"));
    match response.status {
        200 => response.json(),
        status => json!(status),
    }
}

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "a".to_owned(),
        state: "live".to_owned(),
    }
}

/// Guards against a delta that misses a changed entry, repeats an unchanged one, or hides a
/// removal.
#[test]
fn changes_are_based_on_the_revision_asked_for() {
    let platform = start();
    let address = platform.address();
    assert_eq!(config(address, 0), 304);
    let set = json!({ "set": { "team/a": { "rate": 1 }, "team/b": { "rate": 2 } } });
    assert_eq!(control(address, "/control/entries", set)["revision"], 1);
    let full = config(address, 0);
    assert_eq!(full["base"], 0);
    assert_eq!(full["revision"], 1);
    assert_eq!(full["entries"].as_array().unwrap().len(), 2);
    // The value is the JSON text of the entry.
    assert_eq!(full["entries"][0]["value"], r#"{"rate":1}"#);
    assert_eq!(config(address, 1), 304);
    control(address, "/control/entries", json!({ "remove": ["team/a"] }));
    let change = config(address, 1);
    assert_eq!(
        change,
        json!({
            "base": 1,
            "revision": 2,
            "entries": [{ "key": "team/a", "revision": 2, "value": null }],
        })
    );
    // A full configuration has no tombstones.
    let full = config(address, 0);
    assert_eq!(full["entries"].as_array().unwrap().len(), 1);
}

/// Guards against a delta since a revision for which the tombstones of later removals have been
/// dropped.
#[test]
fn reader_too_far_behind_receives_all_entries() {
    let platform = PlatformServer::start(PlatformSettings {
        history_revisions: 2,
        ..PlatformSettings::default()
    })
    .unwrap();
    for number in 0..5 {
        platform.set_entry(&format!("team/{number}"), json!({}));
    }
    platform.remove_entry("team/0");
    assert_eq!(config(platform.address(), 1)["base"], 0);
    assert_eq!(config(platform.address(), 5)["base"], 5);
}

/// Guards against a long poll that ends late, or without the change.
#[test]
fn long_poll_ends_with_the_change() {
    let platform = start();
    let address = platform.address();
    platform.set_entry("team/a", json!({}));
    let poll = thread::spawn(move || {
        get(address, "/v1/config?after=1&wait_ms=30000").json()["revision"].clone()
    });
    wait_for("the poll", || platform.stats()["waiting"] == 1);
    platform.set_entry("team/b", json!({}));
    assert_eq!(poll.join().unwrap(), 2);
    let poll = thread::spawn(move || {
        get(address, "/v1/hosts?after=0&wait_ms=30000").json()["version"].clone()
    });
    wait_for("the poll", || platform.stats()["waiting"] == 1);
    platform.set_hosts(vec![host("h1")]);
    assert_eq!(poll.join().unwrap(), 1);
}

/// Guards against a long poll that is counted several times, or not at all.
#[test]
fn each_request_counts_once() {
    let platform = start();
    get(platform.address(), "/v1/config?after=0&wait_ms=100");
    hosts(platform.address(), 0);
    hosts(platform.address(), 0);
    let stats = platform.stats();
    assert_eq!(stats["config_calls"], 1);
    assert_eq!(stats["host_calls"], 2);
}

/// Guards against a host list that ignores `list_lag`.
#[test]
fn host_list_lags() {
    let platform = start();
    platform.set_hosts(vec![host("h1")]);
    control(platform.address(), "/control/mode", json!({ "list_lag_ms": 60000 }));
    platform.set_hosts(vec![host("h1"), host("h2")]);
    // The oldest list is served while no list is old enough.
    assert_eq!(hosts(platform.address(), 0)["version"], 1);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(hosts(platform.address(), 1)["version"], 2);
}

/// Guards against control requests that change or remove the wrong hosts.
#[test]
fn hosts_are_changed_by_control_requests() {
    let platform = start();
    let address = platform.address();
    control(address, "/control/hosts", json!({ "hosts": [host("h1"), host("h2")] }));
    let mut leaving = host("h2");
    leaving.state = "leaving".to_owned();
    control(address, "/control/hosts", json!({ "set": [leaving], "remove": ["h1"] }));
    let list = hosts(address, 0);
    assert_eq!(list["version"], 2);
    assert_eq!(list["hosts"], json!([leaving]));
    assert_eq!(platform.hosts(), [leaving]);
}

/// Guards against a platform that responds while it is down.
#[test]
fn platform_that_is_down_closes_connections() {
    let platform = start();
    let address = platform.address();
    platform.set_entry("team/a", json!({}));
    let poll = thread::spawn(move || {
        CallerRequest::new("GET", "/v1/config?after=1&wait_ms=30000").send(address).is_err()
    });
    wait_for("the poll", || platform.stats()["waiting"] == 1);
    control(address, "/control/mode", json!({ "down": true }));
    assert!(poll.join().unwrap());
    let again = CallerRequest::new("GET", "/v1/config?after=0&wait_ms=0").send(address);
    assert!(again.is_err());
    control(address, "/control/mode", json!({ "down": false }));
    assert_eq!(config(address, 0)["revision"], 1);
}

/// Guards against a frozen replica that serves newer state, or that freezes other replicas.
#[test]
fn frozen_replica_serves_its_state() {
    let platform = start();
    platform.set_entry("team/a", json!({}));
    platform.set_hosts(vec![host("h1")]);
    let replica = platform.start_replica(PlatformSettings::default()).unwrap();
    let frozen = PlatformFaults { frozen: true, ..PlatformFaults::default() };
    replica.set_faults(frozen);
    platform.set_entry("team/b", json!({}));
    platform.set_hosts(vec![]);
    assert_eq!(config(platform.address(), 0)["revision"], 2);
    assert_eq!(config(replica.address(), 0)["revision"], 1);
    assert_eq!(hosts(replica.address(), 0)["version"], 1);
    // A reader with a newer state receives 304, unless the replica serves older states.
    assert_eq!(config(replica.address(), 2), 304);
    replica.set_faults(PlatformFaults { serve_older: true, ..frozen });
    let older = config(replica.address(), 2);
    assert_eq!(older["base"], 0);
    assert_eq!(older["revision"], 1);
    assert_eq!(replica.stats()["older_answers"], 1);
    replica.set_faults(PlatformFaults::default());
    assert_eq!(config(replica.address(), 1)["revision"], 2);
}
