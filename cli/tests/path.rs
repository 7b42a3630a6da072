//! The path of a request from the caller to an upstream and back.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use snipepond_standin::{CallerConnection, CallerRequest, EngineSettings, expected_text};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, MODEL, assert_not_run, chat,
    fleet::{quick_engine, quick_service},
    send_request, wait_for,
};

fn one_engine(settings: EngineSettings) -> FleetPlan {
    FleetPlan { engines: vec![("e1", "a", settings)], ..FleetPlan::default() }
}

fn one_service() -> FleetPlan {
    FleetPlan { services: vec![("s1", "a", quick_service())], ..FleetPlan::default() }
}

/// Guards against a stream that loses, repeats or reorders tokens, or ends without its last event.
#[test]
fn streamed_chat_arrives_complete() {
    let fleet = Fleet::start(one_engine(quick_engine()));
    fleet.wait_until_chats_work();
    let response =
        send_request(fleet.address(0), &chat("tell me", 40).header("X-Request-Id", "whole-1"));
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.is_complete(), "ended with {:?}", response.end);
    let expected = expected_text(MODEL, &[("user", "tell me")], 40);
    assert_eq!(response.chat_text(), expected);
    assert_eq!(response.header("x-request-id"), Some("whole-1"));
}

/// Guards against a router that buffers a stream until its end.
#[test]
fn streamed_chat_is_not_buffered() {
    let fleet = Fleet::start(one_engine(EngineSettings {
        token_interval: Duration::from_secs(600),
        ..quick_engine()
    }));
    fleet.wait_until_chats_work();
    let mut reader = chat("tell me", 5).start(fleet.address(0)).unwrap();
    // The second token comes after ten minutes; the first one must arrive before it.
    assert_eq!(reader.read_events(1), 1);
    assert_eq!(fleet.engines[0].server.stats()["running"], 1);
}

/// Guards against an engine that continues to generate after the caller has disconnected.
#[test]
fn abandoned_chat_is_cancelled() {
    let fleet = Fleet::start(one_engine(EngineSettings {
        token_interval: Duration::from_millis(20),
        ..quick_engine()
    }));
    fleet.wait_until_chats_work();
    let engine = &fleet.engines[0].server;
    // The tokens take twenty minutes, so the engine stops only if it is cancelled.
    let mut reader = chat("tell me", 60_000).start(fleet.address(0)).unwrap();
    assert!(reader.read_events(1) >= 1);
    drop(reader);
    wait_for("the engine to be cancelled", || engine.stats()["cancelled"] == 1);
    assert_eq!(engine.stats()["running"], 0);
}

/// Guards against unstreamed chat responses that are treated like streams.
#[test]
fn unstreamed_chat_arrives_complete() {
    let fleet = Fleet::start(one_engine(quick_engine()));
    fleet.wait_until_chats_work();
    let request = CallerRequest::chat(MODEL, "tell me", 12, false).bearer_key(KEY_ONE);
    let response = send_request(fleet.address(0), &request);
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.is_complete());
    let expected = expected_text(MODEL, &[("user", "tell me")], 12);
    assert_eq!(response.chat_text(), expected);
}

/// Guards against hosts that choose different engines for the same chat, so that the prompt cache
/// of its engine is not used.
#[test]
fn returning_chat_reaches_its_engine_through_another_host() {
    let fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a")],
        engines: vec![
            ("e1", "a", quick_engine()),
            ("e2", "a", quick_engine()),
            ("e3", "a", quick_engine()),
        ],
        // The load bound must not move a chat away from its engine; it has its own tests.
        skew_multiple: 100.0,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    for number in 0..12 {
        // Half of the chats have an id; the others are identified by their first message.
        let with_id = number % 2 == 0;
        let question = format!("question {number}");
        let send = |host: usize, turns: &[(&str, &str)]| {
            let mut request =
                CallerRequest::chat_messages(MODEL, turns, 4, true).bearer_key(KEY_ONE);
            if with_id {
                request = request.header("X-Chat-Id", &format!("chat-{number}"));
            }
            let response = send_request(fleet.address(host), &request);
            assert_eq!(response.status, 200, "{}", response.text());
            assert!(response.is_complete());
            response.chat_text()
        };
        let reply = send(0, &[("user", &question)]);
        let follow_up = format!("and after {number}?");
        let turns = [
            ("user", question.as_str()),
            ("assistant", reply.as_str()),
            ("user", follow_up.as_str()),
        ];
        send(1, &turns);
        let engine = fleet.engine_that_ran(&question);
        assert!(engine.is_some());
        assert_eq!(engine, fleet.engine_that_ran(&follow_up), "chat {number}");
    }
    // Several engines were used: a single engine for all chats would pass the loop above.
    let used_engine_count =
        fleet.engines.iter().filter(|it| it.server.stats()["received"].as_u64() > Some(0)).count();
    assert!(used_engine_count > 1, "all chats went to one engine");
}

/// Guards against a request to a service that arrives without its path, query or body.
#[test]
fn look_up_reaches_the_service() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let request = CallerRequest::new("GET", "/items/7?page=2&sort=name").bearer_key(KEY_ONE);
    let response = send_request(fleet.address(0), &request);
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.is_complete());
    assert!(response.header("x-request-id").is_some());
    let body = response.json();
    assert_eq!(body["target"], "/items/7?page=2&sort=name");
    assert_eq!(body["method"], "GET");
    let request = CallerRequest::new("PUT", "/items/7").bearer_key(KEY_ONE).body("blue");
    let response = send_request(fleet.address(0), &request);
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.json()["body"], "blue");
}

/// Guards against an open route that requires an API key.
#[test]
fn open_route_needs_no_key() {
    let fleet = Fleet::start(one_service());
    let request = CallerRequest::new("GET", "/public/news");
    wait_for("the open route", || request.send(fleet.address(0)).is_ok_and(|it| it.status == 200));
    let response = send_request(fleet.address(0), &request);
    assert_eq!(response.json()["target"], "/public/news");
}

/// Guards against requests without a matching route that reach an upstream, or that are refused
/// without a clear status.
#[test]
fn requests_without_a_route_are_refused() {
    let fleet =
        Fleet::start(FleetPlan { engines: vec![("e1", "a", quick_engine())], ..one_service() });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let before = fleet.engines[0].server.stats()["received"].clone();
    let unknown_path = CallerRequest::new("GET", "/nowhere").bearer_key(KEY_ONE);
    assert_not_run(&send_request(address, &unknown_path), &[404]);
    let wrong_method = CallerRequest::new("POST", "/public/news").bearer_key(KEY_ONE).body("x");
    assert_not_run(&send_request(address, &wrong_method), &[404, 405]);
    let wrong_team = CallerRequest::new("GET", "/private/1").bearer_key(KEY_ONE);
    assert_not_run(&send_request(address, &wrong_team), &[403, 404]);
    let unknown_model = CallerRequest::chat("unheard-of", "hi", 1, true).bearer_key(KEY_ONE);
    assert_not_run(&send_request(address, &unknown_model), &[400, 404, 503]);
    assert_eq!(fleet.engines[0].server.stats()["received"], before);
    assert!(!fleet.services[0].server.request_log().contains("/private"));
    let permitted = CallerRequest::new("GET", "/private/1").bearer_key(KEY_TWO);
    wait_for("the team of the route", || permitted.send(address).is_ok_and(|it| it.status == 200));
}

/// Guards against a chat body that the router cannot parse and forwards to an engine.
#[test]
fn malformed_chat_is_refused() {
    let fleet = Fleet::start(one_engine(quick_engine()));
    fleet.wait_until_chats_work();
    let before = fleet.engines[0].server.stats()["received"].clone();
    for body in ["", "no JSON", "[]", r#"{"model":"small"}"#, r#"{"messages":[]}"#] {
        let request = CallerRequest::new("POST", "/v1/chat/completions")
            .bearer_key(KEY_ONE)
            .header("Content-Type", "application/json")
            .body(body);
        assert_not_run(&send_request(fleet.address(0), &request), &[400, 422]);
    }
    assert_eq!(fleet.engines[0].server.stats()["received"], before);
}

/// Guards against malformed HTTP that gets no error response or disturbs other callers.
#[test]
fn malformed_request_gets_an_error() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let cases: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"GET /items/1\r\n\r\n",
        b"GET /items/1 HTTP/1.1\r\nno colon here\r\n\r\n",
        b"POST /items/1 HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n",
    ];
    for case in cases {
        let mut connection = CallerConnection::open(fleet.address(0)).unwrap();
        connection.send_raw(case).unwrap();
        let response = connection
            .read_head(false)
            .unwrap_or_else(|err| panic!("no response to {case:?}: {err}"))
            .finish();
        assert_eq!(response.status, 400, "{case:?}");
    }
    let lookup = CallerRequest::new("GET", "/items/2").bearer_key(KEY_ONE);
    assert_eq!(send_request(fleet.address(0), &lookup).status, 200);
}

/// Guards against request smuggling: with two contradictory lengths, a caller could hide a second
/// request, whose API key is not checked, in the body of the first.
#[test]
fn contradictory_lengths_are_refused() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let smuggled = "GET /items/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    let heads = [
        "Content-Length: 0\r\nContent-Length: 44\r\n",
        "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n",
    ];
    for head in heads {
        let bytes = format!(
            "POST /items/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY_ONE}\r\n{head}\r\n\
             0\r\n\r\n{smuggled}"
        );
        let mut connection = CallerConnection::open(fleet.address(0)).unwrap();
        connection.send_raw(bytes.as_bytes()).unwrap();
        // A refusal or a closed connection is correct; a response must be to the outer request.
        if let Ok(reader) = connection.read_head(false) {
            let response = reader.finish();
            assert!(!response.text().contains("smuggled"), "{head:?}");
        }
        let log = fleet.services[0].server.request_log();
        assert!(!log.contains("smuggled"), "{head:?}");
    }
}

/// Guards against request bodies and heads that exhaust the memory of a host.
#[test]
fn oversized_requests_are_refused() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let limit = 1 << 20;
    let at_limit =
        CallerRequest::new("POST", "/items/fits").bearer_key(KEY_ONE).body(vec![b'x'; limit]);
    assert_eq!(send_request(address, &at_limit).status, 200);
    let over_limit = CallerRequest::new("POST", "/items/too-long")
        .bearer_key(KEY_ONE)
        .body(vec![b'x'; limit + 1]);
    assert_not_run(&send_request(address, &over_limit), &[413]);
    // A chunked body has no Content-Length, so the limit applies while it is read.
    let mut connection = CallerConnection::open(address).unwrap();
    let head = format!(
        "POST /items/chunked HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY_ONE}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    connection.send_raw(head.as_bytes()).unwrap();
    let mut chunk = b"10000\r\n".to_vec();
    chunk.extend_from_slice(&[b'x'; 0x10000]);
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..17 {
        // The router may respond and close the connection before it has read everything.
        if connection.send_raw(&chunk).is_err() {
            break;
        }
    }
    assert_not_run(&connection.read_head(false).unwrap().finish(), &[413]);
    let long_head = CallerRequest::new("GET", "/items/long-head")
        .bearer_key(KEY_ONE)
        .header("X-Padding", &"x".repeat(20 * 1024));
    let response = send_request(address, &long_head);
    assert!(matches!(response.status, 400 | 431), "{}", response.status);
    let log = fleet.services[0].server.request_log();
    for target in ["too-long", "chunked", "long-head"] {
        assert!(!log.contains(target), "{target} reached the service");
    }
}

/// Guards against slow callers that keep connections occupied without limit.
#[test]
fn slow_requests_are_refused() {
    let fleet = Fleet::start(FleetPlan {
        extra_arguments: vec!["--header-timeout-ms", "500", "--body-timeout-ms", "500"],
        ..one_service()
    });
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    // The head never ends. The router must close the connection, with 408 if it responds.
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(support::WAIT_LIMIT_S))).unwrap();
    stream.write_all(b"GET /items/1 HTTP/1.1\r\n").unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the router ends the connection");
    let text = String::from_utf8_lossy(&received);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 408"), "{text}");
    // The body never ends. The router must respond that the request did not run.
    let mut connection = CallerConnection::open(address).unwrap();
    let head = format!(
        "POST /items/slow-body HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY_ONE}\r\n\
         Content-Length: 10\r\n\r\nhalf"
    );
    connection.send_raw(head.as_bytes()).unwrap();
    assert_not_run(&connection.read_head(false).unwrap().finish(), &[408]);
    let log = fleet.services[0].server.request_log();
    assert!(!log.contains("slow-body"));
}
