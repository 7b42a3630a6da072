//! Draining: data centres out of service, leaving upstreams, and routers that stop.

mod support;

use std::time::Duration;

use snipepond_standin::{
    CallerConnection, EngineSettings, ProcessSignal, ResponseReader, ServiceSettings,
};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, MODEL, assert_not_run, chat,
    fleet::{quick_engine, quick_service},
    order, outcome_of, send_request, send_until_run, wait_for,
};

/// Tokens of a stream that is still open during the change under test: 3 s at 10 ms each.
const LONG_STREAM_TOKENS: u64 = 300;

/// Returns settings of an engine that sends a token every 10 ms.
fn paced_engine() -> EngineSettings {
    EngineSettings { token_interval: Duration::from_millis(10), capacity: 32, ..quick_engine() }
}

fn two_centres() -> FleetPlan {
    FleetPlan {
        centres: vec!["a", "b"],
        hosts: vec![("h1", "a"), ("h2", "b")],
        engines: vec![("e1", "a", paced_engine()), ("e2", "b", paced_engine())],
        skew_multiple: 100.0,
        ..FleetPlan::default()
    }
}

/// Starts streams through the first router until the engine at `index` serves one, and returns this
/// stream and the text of its request.
fn start_stream_on(fleet: &Fleet, index: usize) -> (ResponseReader, String) {
    for number in 0..200 {
        let text = format!("long {number}");
        let request = chat(&text, LONG_STREAM_TOKENS);
        let mut reader = request.start(fleet.address(0)).unwrap();
        assert!(reader.read_events(1) >= 1, "{}", reader.response().text());
        if fleet.engine_that_ran(&text) == Some(index) {
            return (reader, text);
        }
    }
    panic!("no stream of 200 reached engine {index}");
}

#[track_caller]
fn assert_stream_is_complete(reader: ResponseReader, text: &str) {
    let response = reader.finish();
    assert!(response.is_complete(), "the stream ended with {:?}", response.end);
    let expected = snipepond_standin::expected_text(MODEL, &[("user", text)], LONG_STREAM_TOKENS);
    assert_eq!(response.chat_text(), expected);
}

/// Waits until the engine at `index` gets none of 10 chats through each router, then asserts the
/// same for 20 more.
///
/// Guards against a router that learns of the change late or applies it only to some chats.
#[track_caller]
fn assert_receives_no_new_requests(fleet: &Fleet, index: usize) {
    let received = || fleet.engines[index].server.stats()["received"].as_u64().unwrap();
    let mut number = 0;
    let mut send = |count: u64| {
        for router in &fleet.routers {
            for _ in 0..count {
                number += 1;
                let response = send_request(router.address, &chat(&format!("new {number}"), 1));
                assert_eq!(response.status, 200, "{}", response.text());
                assert!(response.is_complete());
            }
        }
    };
    wait_for("new chats to avoid the engine", || {
        let before = received();
        send(10);
        received() == before
    });
    let before = received();
    send(20);
    assert_eq!(received(), before, "the engine received new requests");
}

/// Guards against new requests to a data centre that is out of service, and against a truncated
/// stream there.
#[test]
fn data_centre_out_of_service_receives_nothing_new() {
    let fleet = Fleet::start(two_centres());
    fleet.wait_until_chats_work();
    let (reader, text) = start_stream_on(&fleet, 0);
    fleet.set_centre_state("a", "out_of_service");
    assert_receives_no_new_requests(&fleet, 0);
    assert_stream_is_complete(reader, &text);
    // It receives requests again when it is back in service.
    fleet.set_centre_state("a", "in_service");
    let before = fleet.engines[0].server.stats()["received"].clone();
    let mut number = 0;
    wait_for("new requests in the data centre", || {
        number += 1;
        send_request(fleet.address(0), &chat(&format!("back {number}"), 1));
        fleet.engines[0].server.stats()["received"] != before
    });
}

/// Guards against new requests to a leaving upstream, and against a truncated stream there.
#[test]
fn leaving_upstream_receives_nothing_new() {
    let fleet = Fleet::start(two_centres());
    fleet.wait_until_chats_work();
    let (reader, text) = start_stream_on(&fleet, 1);
    fleet.set_engine_state(1, "leaving");
    assert_receives_no_new_requests(&fleet, 1);
    assert_stream_is_complete(reader, &text);
}

/// Guards against a router that, on SIGTERM, truncates a stream or accepts a new request that it
/// cannot finish.
#[test]
fn sigterm_finishes_streams_and_refuses_new_work() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a")],
        engines: vec![("e1", "a", paced_engine())],
        services: vec![("s1", "a", quick_service())],
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let lookup =
        |target: &str| snipepond_standin::CallerRequest::new("GET", target).bearer_key(KEY_ONE);
    let connection = CallerConnection::open(address).unwrap();
    let reader = connection.send(&lookup("/items/before")).unwrap();
    let (_, connection) = reader.finish_and_reuse().unwrap();
    let (reader, text) = start_stream_on(&fleet, 0);
    fleet.routers[0].signal(ProcessSignal::Terminate);
    // Soon after the signal, new requests are refused with `not_run` or the port is closed.
    let mut number = 0;
    wait_for("new requests to be refused", || {
        number += 1;
        match lookup(&format!("/items/{number}")).send(address) {
            Ok(response) if response.status == 200 => false,
            Ok(response) => {
                assert_not_run(&response, &[503]);
                true
            }
            Err(_) => true,
        }
    });
    // A request on a connection opened earlier is refused in the same way, or the connection is
    // closed; the request does not run.
    if let Ok(reader) = connection.send(&lookup("/items/after")) {
        assert_not_run(&reader.finish(), &[503]);
    }
    if let Ok(response) = lookup("/items/after").send(address) {
        assert_not_run(&response, &[503]);
    }
    assert_stream_is_complete(reader, &text);
    assert!(fleet.routers[0].wait_for_exit().success());
    let log = fleet.services[0].server.request_log();
    assert!(!log.contains("/items/after"));
}

/// Guards against a router that, on SIGTERM, drops an order in flight.
#[test]
fn sigterm_finishes_an_order() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a")],
        services: vec![(
            "s1",
            "a",
            ServiceSettings { duration: Duration::from_millis(1_000), ..quick_service() },
        )],
        ..FleetPlan::default()
    });
    fleet.services[0].server.set_duration(Duration::ZERO);
    fleet.wait_until_orders_work();
    fleet.services[0].server.set_duration(Duration::from_millis(1_000));
    let address = fleet.address(0);
    let request = order("in-flight");
    let mut connection = CallerConnection::open(address).unwrap();
    connection.send_raw(&request.to_bytes(address)).unwrap();
    wait_for("the order to reach the service", || {
        fleet.services[0].server.stats()["in_flight"] == 1
    });
    fleet.routers[0].signal(ProcessSignal::Terminate);
    let response = connection.read_head(false).unwrap().finish();
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.is_complete());
    assert!(fleet.routers[0].wait_for_exit().success());
    assert_eq!(fleet.run_count("in-flight"), 1);
    let retry = send_request(fleet.address(1), &request);
    assert!(retry.status == 200 || outcome_of(&retry) != "not_run", "{}", retry.text());
    assert_eq!(fleet.run_count("in-flight"), 1);
}

/// Guards against errors during a rolling restart for callers that retry on another host when a
/// host refuses with `not_run` or has closed its port.
#[test]
fn rolling_restart_cuts_nothing() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        engines: vec![("e1", "a", paced_engine()), ("e2", "a", paced_engine())],
        skew_multiple: 100.0,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    for round in 0..3 {
        let streams: Vec<_> = (0..4)
            .map(|number| {
                let text = format!("round {round} stream {number}");
                let request = chat(&text, LONG_STREAM_TOKENS / 3);
                let mut reader = request.start(fleet.address(0)).unwrap();
                assert!(reader.read_events(1) >= 1);
                (reader, text)
            })
            .collect();
        fleet.publish_leaving(0);
        let mut leaving = fleet.routers.remove(0);
        leaving.signal(ProcessSignal::Terminate);
        for number in 0..20 {
            let request = chat(&format!("r{round} {number}"), 1);
            let response = send_until_run(fleet.address(0), &request);
            assert_eq!(response.status, 200, "{}", response.text());
            assert!(response.is_complete());
        }
        for (reader, text) in streams {
            let response = reader.finish();
            assert!(response.is_complete(), "{text} ended with {:?}", response.end);
        }
        assert!(leaving.wait_for_exit().success());
        let platform = fleet.platform.address();
        fleet.add_router(&leaving.host, "a", platform);
        fleet.publish_hosts();
        fleet.routers[2].wait_until_ready();
        fleet.wait_until_chats_work();
    }
}
