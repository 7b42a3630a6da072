//! Fault tolerance: faults of the platform, of hosts, of upstreams and of the network.

mod support;

use std::{thread, time::Duration};

use snipepond_standin::{
    CallerConnection, CallerRequest, DisconnectPoint, EngineSettings, FaultMode, LinkMode,
    PlatformFaults, PlatformSettings, ProcessSignal, ResponseEnd, ResponseFault, TcpLink,
    expected_text, expected_tokens,
};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, MODEL, assert_not_run, chat,
    fleet::{ANY_PORT, TAKEOVER_WAIT, find_free_address, quick_engine, quick_service},
    obtain_ticket, order, outcome_of, send_request, send_until_run, wait_for,
};

fn lookup(target: &str, key: &str) -> CallerRequest {
    CallerRequest::new("GET", target).bearer_key(key)
}

fn lookup_status(fleet: &Fleet, index: usize, key: &str) -> Option<u16> {
    lookup("/items/1", key).send(fleet.address(index)).ok().map(|it| it.status)
}

fn two_hosts() -> FleetPlan {
    FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a")],
        services: vec![("s1", "a", quick_service())],
        ..FleetPlan::default()
    }
}

/// Guards against a fleet that stops serving, or returns to an earlier configuration, while the
/// platform is down.
#[test]
fn platform_down_changes_nothing() {
    let fleet = Fleet::start(two_hosts());
    fleet.wait_until_lookups_work();
    fleet.set_key_state("k2", "two", KEY_TWO, "withdrawn");
    for index in 0..2 {
        wait_for("the key to be refused", || lookup_status(&fleet, index, KEY_TWO) == Some(401));
    }
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    // Three takeover waits, which is longer than any ownership that depends on a read of the host
    // list lasts.
    for _ in 0..30 {
        for index in 0..2 {
            let response = send_request(fleet.address(index), &lookup("/items/1", KEY_ONE));
            assert_eq!(response.status, 200, "{}", response.text());
            let response = send_request(fleet.address(index), &lookup("/items/1", KEY_TWO));
            assert_not_run(&response, &[401]);
        }
        thread::sleep(TAKEOVER_WAIT / 10);
    }
    // Orders need an owner with a confirmed view; during the outage, peers confirm it.
    fleet.wait_until_orders_work();
    // A change that is published during the outage arrives after it.
    fleet.set_key_state("k2", "two", KEY_TWO, "active");
    fleet.platform.set_faults(PlatformFaults::default());
    for index in 0..2 {
        wait_for("the key to work", || lookup_status(&fleet, index, KEY_TWO) == Some(200));
    }
}

/// Guards against a host that reads a stale replica of the platform and misses changes that its
/// peers have, and against a new process that starts with the configuration of the stale replica.
#[test]
fn stale_replica_does_not_hide_what_peers_know() {
    let mut fleet = Fleet::start_without_routers(two_hosts());
    let replica = fleet.platform.start_replica(PlatformSettings::default()).unwrap();
    let current_platform = fleet.platform.address();
    fleet.add_router("h1", "a", current_platform);
    fleet.add_router("h2", "a", replica.address());
    fleet.publish_hosts();
    for router in &fleet.routers {
        router.wait_until_ready();
    }
    fleet.wait_until_lookups_work();
    for index in 0..2 {
        wait_for("the key to work", || lookup_status(&fleet, index, KEY_TWO) == Some(200));
    }
    // The replica must list the third host before it becomes stale, so the address of the host is
    // chosen before the host starts.
    let third_address = find_free_address();
    let mut hosts = fleet.host_entries();
    let mut entry = hosts[0].clone();
    entry.name = "h3".to_owned();
    entry.address = third_address.to_string();
    hosts.push(entry);
    fleet.platform.set_hosts(hosts);
    replica.set_faults(PlatformFaults {
        frozen: true,
        serve_older: true,
        ..PlatformFaults::default()
    });
    fleet.set_key_state("k2", "two", KEY_TWO, "withdrawn");
    for index in 0..2 {
        wait_for("the withdrawal to arrive from the platform or a peer", || {
            lookup_status(&fleet, index, KEY_TWO) == Some(401)
        });
    }
    fleet.add_router_at("h3", "a", replica.address(), third_address);
    fleet.routers[2].wait_until_ready();
    // A ready host has at least the revision that its peers had accepted.
    for _ in 0..50 {
        let response = send_request(fleet.address(2), &lookup("/items/1", KEY_TWO));
        assert_ne!(response.status, 200, "an earlier configuration is in force");
    }
    for index in 0..3 {
        assert_eq!(lookup_status(&fleet, index, KEY_TWO), Some(401));
    }
}

/// Guards against a rollback of the configuration when a host is connected to a replica with an
/// older revision than its own.
#[test]
fn older_replica_does_not_roll_back() {
    let mut fleet = Fleet::start_without_routers(two_hosts());
    let replica = fleet.platform.start_replica(PlatformSettings::default()).unwrap();
    let link = TcpLink::start(ANY_PORT.into(), fleet.platform.address()).unwrap();
    fleet.add_router("h1", "a", link.address());
    fleet.publish_hosts();
    fleet.routers[0].wait_until_ready();
    fleet.wait_until_lookups_work();
    replica.set_faults(PlatformFaults {
        frozen: true,
        serve_older: true,
        ..PlatformFaults::default()
    });
    fleet.set_key_state("k2", "two", KEY_TWO, "withdrawn");
    wait_for("the key to be refused", || lookup_status(&fleet, 0, KEY_TWO) == Some(401));
    link.set_target(replica.address());
    link.set_mode(LinkMode::Reset);
    link.set_mode(LinkMode::Open);
    wait_for("responses of the older replica", || {
        assert_eq!(lookup_status(&fleet, 0, KEY_TWO), Some(401), "rolled back");
        replica.stats()["older_answers"].as_u64() >= Some(3)
    });
}

/// Guards against an invalid configuration that replaces a valid one or prevents later valid ones
/// from being applied.
#[test]
fn rejected_revision_leaves_the_last_one_in_force() {
    let fleet = Fleet::start(two_hosts());
    fleet.wait_until_lookups_work();
    fleet.platform.set_raw_entry("team/one", r#"{"class":"no such class"}"#);
    fleet.platform.set_raw_entry("route/broken", "no JSON");
    for _ in 0..20 {
        for index in 0..2 {
            assert_eq!(lookup_status(&fleet, index, KEY_ONE), Some(200));
        }
        thread::sleep(Duration::from_millis(20));
    }
    fleet.platform.remove_entry("route/broken");
    let team = serde_json::json!({
        "owner": "platform", "class": "interactive", "rate": 1000.0, "burst": 1000,
    });
    fleet.platform.set_entry("team/one", team);
    fleet.set_key_state("k2", "two", KEY_TWO, "withdrawn");
    for index in 0..2 {
        wait_for("the next valid revision", || lookup_status(&fleet, index, KEY_TWO) == Some(401));
    }
}

/// Guards against a paused process that, when it resumes, still acts as owner of operations that
/// other hosts have taken over.
#[test]
fn paused_host_does_not_run_orders_again() {
    let mut fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        ..two_hosts()
    });
    fleet.wait_until_orders_work();
    let keys: Vec<_> = (0..30).map(|it| format!("pause-{it}")).collect();
    let paused = fleet.address(0);
    fleet.routers[0].signal(ProcessSignal::Stop);
    // These orders wait in the socket buffers of the paused process.
    let waiting: Vec<_> = keys
        .iter()
        .map(|key| {
            let mut connection = CallerConnection::open(paused).unwrap();
            connection
                .send_raw(&order(key).to_bytes(paused))
                .expect("the socket accepts the order");
            connection
        })
        .collect();
    let other_hosts = fleet.host_entries()[1..].to_vec();
    fleet.platform.set_hosts(other_hosts);
    // The other hosts take over, and the callers retry their orders there.
    thread::sleep(TAKEOVER_WAIT);
    for key in &keys {
        let response = send_request(fleet.address(1), &order(key));
        assert!(
            response.status == 200 || ["unknown", "not_run"].contains(&&*outcome_of(&response)),
            "{}",
            response.text()
        );
    }
    fleet.routers[0].signal(ProcessSignal::Continue);
    for connection in waiting {
        // A response and a broken connection are both correct; the runs are counted below.
        if let Ok(reader) = connection.read_head(false) {
            reader.finish();
        }
    }
    for key in &keys {
        for index in 0..3 {
            send_request(fleet.address(index), &order(key));
        }
        assert!(fleet.run_count(key) <= 1, "{key} ran {} times", fleet.run_count(key));
    }
    fleet.publish_hosts();
    fleet.wait_until_orders_work();
}

/// Guards against a data centre that serves no requests while it is partitioned, and against an
/// order that runs on both sides of a partition.
#[test]
fn partitioned_data_centres_keep_serving() {
    let fleet = Fleet::start(FleetPlan {
        centres: vec!["a", "b"],
        hosts: vec![("h1", "a"), ("h2", "b")],
        engines: vec![("e1", "a", quick_engine()), ("e2", "b", quick_engine())],
        services: vec![("s1", "a", quick_service()), ("s2", "b", quick_service())],
        has_peer_links: true,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    fleet.wait_until_orders_work();
    for link in &fleet.peer_links {
        link.set_mode(LinkMode::Stalled);
    }
    for index in 0..2 {
        wait_for("a chat during the partition", || {
            chat(&format!("cut off {index}"), 2)
                .send(fleet.address(index))
                .is_ok_and(|it| it.status == 200 && it.is_complete())
        });
    }
    // Each order is sent to both sides at once. With one host in each data centre, the backup of an
    // order is on the other side, so orders with a key of the caller may all be refused. A caller
    // without a response in time does not know the outcome, which is the same as `unknown`.
    let keys: Vec<_> = (0..6).map(|it| format!("partition-{it}")).collect();
    let outcomes: Vec<Vec<String>> = thread::scope(|scope| {
        let senders: Vec<Vec<_>> = keys
            .iter()
            .map(|key| {
                (0..2)
                    .map(|index| {
                        let address = fleet.address(index);
                        scope.spawn(move || match order(key).send(address) {
                            Ok(response) if response.status == 200 => "ran".to_owned(),
                            Ok(response) => outcome_of(&response),
                            Err(_) => "unknown".to_owned(),
                        })
                    })
                    .collect()
            })
            .collect();
        senders
            .into_iter()
            .map(|it| it.into_iter().map(|it| it.join().unwrap()).collect())
            .collect()
    });
    for (key, outcomes) in keys.iter().zip(&outcomes) {
        for outcome in outcomes {
            assert!(
                ["ran", "unknown", "not_run"].contains(&outcome.as_str()),
                "{key}: {outcomes:?}"
            );
        }
        let limit = u64::from(outcomes.iter().any(|it| it != "not_run"));
        let runs = fleet.run_count(key);
        assert!(runs <= limit, "{key} ran {runs} times: {outcomes:?}");
    }
    // A ticket is valid for an order on the side of the partition where it was issued.
    for index in 0..2 {
        let issued = obtain_ticket(fleet.address(index), KEY_ONE);
        let response = send_request(fleet.address(index), &order(&issued));
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(fleet.run_count(&issued), 1);
    }
    for link in &fleet.peer_links {
        link.set_mode(LinkMode::Open);
    }
    fleet.wait_until_orders_work();
    for key in &keys {
        for index in 0..2 {
            send_request(fleet.address(index), &order(key));
        }
        assert!(fleet.run_count(key) <= 1, "{key} ran {} times", fleet.run_count(key));
    }
}

/// Guards against a stream that ends early although another engine could resume it, and against a
/// resumed stream that repeats or skips tokens.
#[test]
fn stream_is_resumed_on_another_engine() {
    let fleet = Fleet::start(FleetPlan {
        engines: vec![("e1", "a", quick_engine()), ("e2", "a", quick_engine())],
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    for (number, tokens) in [1_u64, 7, 19].into_iter().enumerate() {
        let text = format!("resume {number}");
        let question = [("user", text.as_str())];
        // A chat always uses the same engine; a short request finds out which.
        assert_eq!(send_request(fleet.address(0), &chat(&text, 1)).status, 200);
        let engine = fleet.engine_that_ran(&text).expect("an engine ran the chat");
        fleet.engines[engine].server.disconnect_streams_after(tokens, 1);
        let response = send_request(fleet.address(0), &chat(&text, 20));
        assert_eq!(response.status, 200, "{}", response.text());
        assert!(response.is_complete(), "ended with {:?}", response.end);
        assert_eq!(response.chat_text(), expected_text(MODEL, &question, 20));
    }
}

/// Guards against a truncated stream that looks complete to the caller.
#[test]
fn stream_without_resume_is_visibly_truncated() {
    let fleet = Fleet::start(FleetPlan {
        engines: vec![
            ("e1", "a", EngineSettings { supports_resume: false, ..quick_engine() }),
            ("e2", "a", EngineSettings { supports_resume: false, ..quick_engine() }),
        ],
        supports_resume: false,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    let expected = expected_tokens(MODEL, &[("user", "cut me")], 20);
    for engine in &fleet.engines {
        engine.server.disconnect_streams_after(5, 1);
    }
    let response = send_request(fleet.address(0), &chat("cut me", 20));
    assert!(matches!(response.end, ResponseEnd::Broken(_)), "{:?}", response.end);
    let tokens = response.tokens();
    assert!(expected.starts_with(&tokens), "{tokens:?}");
    // A response with valid framing but without the final `[DONE]` is not complete either.
    for engine in &fleet.engines {
        engine.server.disconnect_streams_after(0, 0);
        engine.server.set_fault(ResponseFault {
            mode: FaultMode::ShortFramed,
            count: 1,
            delay_ms: 0,
        });
    }
    let response = send_request(fleet.address(0), &chat("cut me too", 20));
    assert!(matches!(response.end, ResponseEnd::Broken(_)), "{:?}", response.end);
    let expected = expected_tokens(MODEL, &[("user", "cut me too")], 20);
    assert!(expected.starts_with(&response.tokens()));
}

/// Guards against truncated unstreamed responses that look complete to the caller.
#[test]
fn short_plain_answer_is_not_passed_on_as_whole() {
    let fleet =
        Fleet::start(FleetPlan { engines: vec![("e1", "a", quick_engine())], ..two_hosts() });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let fault = ResponseFault { mode: FaultMode::Short, count: 100, delay_ms: 0 };
    fleet.engines[0].server.set_fault(fault);
    fleet.services[0].server.set_fault(fault);
    let requests = [
        CallerRequest::chat(MODEL, "cut", 20, false).bearer_key(KEY_ONE),
        lookup("/items/cut", KEY_ONE),
        CallerRequest::new("PUT", "/items/cut-write").bearer_key(KEY_ONE).body("x"),
    ];
    for request in requests {
        let reached_upstream = || {
            fleet.engine_that_ran("cut").is_some() && request.target.starts_with("/v1/")
                || fleet.services[0].server.request_log().targets.contains(&request.target)
        };
        if let Ok(response) = request.send(fleet.address(0)) {
            assert!(
                response.status >= 500 || !response.is_complete(),
                "a short response looks complete: {}",
                response.text()
            );
            // After the earlier failures, the router may have stopped sending to the upstream.
            if outcome_of(&response) == "not_run" {
                assert!(!reached_upstream(), "a false `not_run`: {}", response.text());
            }
        }
    }
    assert!(fleet.engine_that_ran("cut").is_some(), "nothing was cut short");
}

/// Guards against a caller that receives the response to another request.
#[test]
fn answer_to_another_request_is_never_delivered() {
    let fleet = Fleet::start(FleetPlan {
        engines: vec![("e1", "a", quick_engine()), ("e2", "a", quick_engine())],
        ..two_hosts()
    });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    for mode in [FaultMode::WrongId, FaultMode::WrongIdOnly] {
        let fault = ResponseFault { mode, count: 1_000, delay_ms: 0 };
        for engine in &fleet.engines {
            engine.server.set_fault(fault);
        }
        fleet.services[0].server.set_fault(fault);
        for number in 0..4 {
            let text = format!("mine {number}");
            let requests = [
                CallerRequest::chat(MODEL, &text, 4, true).bearer_key(KEY_ONE),
                CallerRequest::chat(MODEL, &text, 4, false).bearer_key(KEY_ONE),
                lookup(&format!("/items/{number}"), KEY_ONE),
            ];
            for request in requests {
                if let Ok(response) = request.send(fleet.address(number % 2)) {
                    let text = response.text();
                    assert!(!text.contains("foreign"), "{text}");
                    // The router may also refuse a request that failed at several upstreams.
                    assert!(response.status >= 400 || !response.is_complete(), "{text}");
                }
            }
        }
    }
    for engine in &fleet.engines {
        engine.server.set_fault(ResponseFault::default());
    }
    fleet.services[0].server.set_fault(ResponseFault::default());
    // Later responses are correct: no bytes of other responses are left on a pooled connection.
    wait_for("look-ups to work again", || lookup_status(&fleet, 0, KEY_ONE) == Some(200));
    for number in 0..10 {
        let target = format!("/items/after-{number}");
        let response = send_until_run(fleet.address(0), &lookup(&target, KEY_ONE));
        assert_eq!(response.json()["target"], target.as_str());
    }
}

/// Guards against a request that crashes one engine after another because its caller retries it.
#[test]
fn crashing_request_is_not_sent_on_forever() {
    let fleet = Fleet::start(FleetPlan {
        engines: vec![
            ("e1", "a", quick_engine()),
            ("e2", "a", quick_engine()),
            ("e3", "a", quick_engine()),
        ],
        ..two_hosts()
    });
    fleet.wait_until_chats_work();
    for round in 0..6 {
        let request = chat("please [[crash]]", 4);
        if let Ok(response) = request.send(fleet.address(round % 2)) {
            assert!(response.status >= 400 || !response.is_complete());
        }
    }
    let crashes: u64 =
        fleet.engines.iter().map(|it| it.server.stats()["crashes"].as_u64().unwrap()).sum();
    assert!(crashes >= 1);
    assert!(crashes <= 2, "one request broke {crashes} engines");
    // Other requests are served.
    fleet.wait_until_chats_work();
}

/// Guards against a cold engine that is overloaded because two hosts each use its full cold
/// allowance.
#[test]
fn cold_engine_receives_no_more_than_its_allowance() {
    let cold = EngineSettings {
        starts_cold: true,
        cold_allowance: 2,
        token_interval: Duration::from_millis(20),
        warmup: Duration::from_secs(600),
        ..quick_engine()
    };
    let warm = EngineSettings {
        token_interval: Duration::from_millis(20),
        capacity: 64,
        ..quick_engine()
    };
    let fleet = Fleet::start(FleetPlan {
        engines: vec![("e1", "a", cold), ("e2", "a", warm)],
        skew_multiple: 100.0,
        ..two_hosts()
    });
    fleet.wait_until_chats_work();
    thread::scope(|scope| {
        for number in 0..20 {
            let address = fleet.address(number % 2);
            scope.spawn(move || {
                for turn in 0..3 {
                    let text = format!("caller {number} turn {turn}");
                    let response = send_until_run(address, &chat(&text, 10));
                    assert_eq!(response.status, 200, "{}", response.text());
                }
            });
        }
    });
    let stats = fleet.engines[0].server.stats();
    assert_eq!(stats["falls"], 0, "peak {}", stats["peak_cold"]);
    assert!(stats["peak_cold"].as_u64().unwrap() <= 2);
}

/// Guards against a response that arrives after its request was cancelled and is delivered to the
/// next request on the same connection.
#[test]
fn late_answer_does_not_reach_the_next_request() {
    let fleet = Fleet::start(two_hosts());
    fleet.wait_until_lookups_work();
    for round in 0..10 {
        fleet.services[0].server.set_fault(ResponseFault {
            mode: FaultMode::Late,
            count: 1,
            delay_ms: 100,
        });
        let address = fleet.address(0);
        let abandoned = lookup(&format!("/items/abandoned-{round}"), KEY_ONE);
        let mut connection = CallerConnection::open(address).unwrap();
        connection.send_raw(&abandoned.to_bytes(address)).unwrap();
        wait_for("the call to reach the service", || {
            fleet.services[0].server.stats()["in_flight"] == 1
        });
        drop(connection);
        for number in 0..4 {
            let target = format!("/items/next-{round}-{number}");
            let response = send_until_run(address, &lookup(&target, KEY_ONE));
            assert_eq!(response.status, 200, "{}", response.text());
            assert_eq!(response.json()["target"], target.as_str());
        }
    }
}

/// Guards against a host that restarts during a platform outage and cannot serve, because it has
/// neither a configuration nor the address of a peer.
#[test]
fn host_restarts_during_a_platform_outage() {
    let mut fleet = Fleet::start(two_hosts());
    fleet.wait_until_lookups_work();
    let revision = fleet.platform.revision();
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let stopped = fleet.routers.remove(1);
    let admin = stopped.admin_address;
    drop(stopped);
    let seed: &'static str = Box::leak(fleet.routers[0].admin_address.to_string().into_boxed_str());
    let platform = fleet.platform.address();
    fleet.set_extra_arguments(vec!["--seed-peers", seed]);
    fleet.add_router_at("h2", "a", platform, admin);
    wait_for("the restarted host to serve", || lookup_status(&fleet, 1, KEY_ONE) == Some(200));
    assert_eq!(fleet.platform.revision(), revision);
}

/// Guards against look-ups that are refused because another look-up of the same team, which has no
/// body either, was lost at two upstreams and is quarantined.
#[test]
fn lost_look_up_does_not_block_others() {
    let fleet = Fleet::start(FleetPlan {
        services: vec![("s1", "a", quick_service()), ("s2", "a", quick_service())],
        ..two_hosts()
    });
    fleet.wait_until_lookups_work();
    for service in &fleet.services {
        service.server.disconnect_next(DisconnectPoint::BeforeRun, 1);
    }
    let lost = send_request(fleet.address(0), &lookup("/items/1", KEY_ONE));
    assert_eq!(outcome_of(&lost), "unknown", "{}", lost.text());
    for service in &fleet.services {
        service.server.disconnect_next(DisconnectPoint::BeforeRun, 0);
    }
    wait_for("another look-up to be served", || {
        lookup("/items/2", KEY_ONE).send(fleet.address(1)).is_ok_and(|it| it.status == 200)
    });
}
