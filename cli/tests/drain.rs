//! Planned changes: data centres and upstreams that leave, routers that stop.

mod support;

use std::time::Duration;

use snipepond_standin::{
    CallerConnection, EngineSettings, ProcessSignal, ResponseReader, ServiceSettings,
};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, MODEL, assert_not_run, call, call_until_run, chat,
    fleet::{quick_engine, quick_service},
    order, outcome_of, wait_for,
};

/// Tokens of a stream that runs during a change: 3 s at 10 ms each.
const LONG_TOKENS: u64 = 300;

fn steady_engine() -> EngineSettings {
    EngineSettings { token_interval: Duration::from_millis(10), capacity: 32, ..quick_engine() }
}

fn two_centres() -> FleetPlan {
    FleetPlan {
        centres: vec!["a", "b"],
        hosts: vec![("h1", "a"), ("h2", "b")],
        engines: vec![("e1", "a", steady_engine()), ("e2", "b", steady_engine())],
        skew_multiple: 100.0,
        ..FleetPlan::default()
    }
}

/// Starts streams through the first router until the engine with `index` runs one.
fn stream_on(fleet: &Fleet, index: usize) -> (ResponseReader, String) {
    for number in 0..200 {
        let text = format!("long {number}");
        let request = chat(&text, LONG_TOKENS);
        let mut reader = request.start(fleet.address(0)).unwrap();
        assert!(reader.read_events(1) >= 1, "{}", reader.response().text());
        if fleet.engine_of(&text) == Some(index) {
            return (reader, text);
        }
    }
    panic!("no stream of 200 reached engine {index}");
}

#[track_caller]
fn assert_stream_is_whole(reader: ResponseReader, text: &str) {
    let answer = reader.finish();
    assert!(answer.is_complete(), "the stream ended with {:?}", answer.end);
    let expected = snipepond_standin::expected_text(MODEL, &[("user", text)], LONG_TOKENS);
    assert_eq!(answer.chat_text(), expected);
}

/// Waits until 10 chats in a row through each router avoid an engine, then checks 20 more.
#[track_caller]
fn assert_receives_nothing_new(fleet: &Fleet, index: usize) {
    let received = || fleet.engines[index].server.stats()["received"].as_u64().unwrap();
    let mut number = 0;
    let mut send = |count: u64| {
        for router in &fleet.routers {
            for _ in 0..count {
                number += 1;
                let answer = call(router.address, &chat(&format!("new {number}"), 1));
                assert_eq!(answer.status, 200, "{}", answer.text());
                assert!(answer.is_complete());
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
    assert_eq!(received(), before, "the engine received new work");
}

/// Guards against new work in a data centre out of service, and against a cut stream there.
#[test]
fn data_centre_out_of_service_receives_nothing_new() {
    let fleet = Fleet::start(two_centres());
    fleet.wait_until_chats_work();
    let (reader, text) = stream_on(&fleet, 0);
    fleet.set_centre_state("a", "out_of_service");
    assert_receives_nothing_new(&fleet, 0);
    assert_stream_is_whole(reader, &text);
    // It takes work again when it is back.
    fleet.set_centre_state("a", "in_service");
    let before = fleet.engines[0].server.stats()["received"].clone();
    let mut number = 0;
    wait_for("new work in the data centre", || {
        number += 1;
        call(fleet.address(0), &chat(&format!("back {number}"), 1));
        fleet.engines[0].server.stats()["received"] != before
    });
}

/// Guards against new work for a leaving upstream, and against a cut stream there.
#[test]
fn leaving_upstream_receives_nothing_new() {
    let fleet = Fleet::start(two_centres());
    fleet.wait_until_chats_work();
    let (reader, text) = stream_on(&fleet, 1);
    fleet.set_engine_state(1, "leaving");
    assert_receives_nothing_new(&fleet, 1);
    assert_stream_is_whole(reader, &text);
}

/// Guards against a planned stop that cuts a stream or takes new work that it cannot finish.
#[test]
fn sigterm_finishes_streams_and_refuses_new_work() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a")],
        engines: vec![("e1", "a", steady_engine())],
        services: vec![("s1", "a", quick_service())],
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let lookup =
        |target: &str| snipepond_standin::CallerRequest::new("GET", target).bearer_key(KEY_ONE);
    let kept = CallerConnection::open(address).unwrap();
    let reader = kept.send(&lookup("/items/before")).unwrap();
    let (_, kept) = reader.finish_and_reuse().unwrap();
    let (reader, text) = stream_on(&fleet, 0);
    fleet.routers[0].signal(ProcessSignal::Terminate);
    // From some moment on, new work is refused with `not_run` or the port is closed.
    let mut number = 0;
    wait_for("new work to be refused", || {
        number += 1;
        match lookup(&format!("/items/{number}")).send(address) {
            Ok(answer) if answer.status == 200 => false,
            Ok(answer) => {
                assert_not_run(&answer, &[503]);
                true
            }
            Err(_) => true,
        }
    });
    // A kept connection is closed or gets the same refusal, and the request does not run.
    if let Ok(reader) = kept.send(&lookup("/items/after")) {
        assert_not_run(&reader.finish(), &[503]);
    }
    if let Ok(answer) = lookup("/items/after").send(address) {
        assert_not_run(&answer, &[503]);
    }
    assert_stream_is_whole(reader, &text);
    assert!(fleet.routers[0].wait_for_exit().success());
    let log = fleet.services[0].server.request_log();
    assert!(!log.contains("/items/after"));
}

/// Guards against a planned stop that cuts an order in flight.
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
    let answer = connection.read_head(false).unwrap().finish();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.is_complete());
    assert!(fleet.routers[0].wait_for_exit().success());
    assert_eq!(fleet.runs("in-flight"), 1);
    let repeat = call(fleet.address(1), &request);
    assert!(repeat.status == 200 || outcome_of(&repeat) != "not_run", "{}", repeat.text());
    assert_eq!(fleet.runs("in-flight"), 1);
}

/// Guards against a rolling restart that is visible to callers who use another host when one
/// refuses with `not_run` or is closed.
#[test]
fn rolling_restart_cuts_nothing() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        engines: vec![("e1", "a", steady_engine()), ("e2", "a", steady_engine())],
        skew_multiple: 100.0,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    for round in 0..3 {
        let streams: Vec<_> = (0..4)
            .map(|number| {
                let text = format!("round {round} stream {number}");
                let request = chat(&text, LONG_TOKENS / 3);
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
            let answer = call_until_run(fleet.address(0), &request);
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert!(answer.is_complete());
        }
        for (reader, text) in streams {
            let answer = reader.finish();
            assert!(answer.is_complete(), "{text} ended with {:?}", answer.end);
        }
        assert!(leaving.wait_for_exit().success());
        let platform = fleet.platform.address();
        fleet.add_router(&leaving.host, "a", platform);
        fleet.publish_hosts();
        fleet.routers[2].wait_until_ready();
        fleet.wait_until_chats_work();
    }
}
