//! The path of a request from the caller to an upstream and back.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use snipepond_standin::{CallerConnection, CallerRequest, EngineSettings, expected_text};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, MODEL, assert_not_run, call, chat,
    fleet::{quick_engine, quick_service},
    wait_for,
};

fn one_engine(settings: EngineSettings) -> FleetPlan {
    FleetPlan { engines: vec![("e1", "a", settings)], ..FleetPlan::default() }
}

fn one_service() -> FleetPlan {
    FleetPlan { services: vec![("s1", "a", quick_service())], ..FleetPlan::default() }
}

/// Guards against a stream that loses, repeats or reorders tokens, or ends without its last event.
#[test]
fn streamed_chat_arrives_whole() {
    let fleet = Fleet::start(one_engine(quick_engine()));
    fleet.wait_until_chats_work();
    let answer = call(fleet.address(0), &chat("tell me", 40).header("X-Request-Id", "whole-1"));
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.is_complete(), "ended with {:?}", answer.end);
    let expected = expected_text(MODEL, &[("user", "tell me")], 40);
    assert_eq!(answer.chat_text(), expected);
    assert_eq!(answer.header("x-request-id"), Some("whole-1"));
}

/// Guards against a stream that is held back until its end.
#[test]
fn streamed_chat_arrives_in_pieces() {
    let fleet = Fleet::start(one_engine(EngineSettings {
        token_interval: Duration::from_secs(600),
        ..quick_engine()
    }));
    fleet.wait_until_chats_work();
    let mut reader = chat("tell me", 5).start(fleet.address(0)).unwrap();
    // The second token follows after ten minutes; the first one must not wait for it.
    assert_eq!(reader.read_events(1), 1);
    assert_eq!(fleet.engines[0].server.stats()["running"], 1);
}

/// Guards against an engine that goes on for a caller that went away.
#[test]
fn abandoned_chat_is_cancelled() {
    let fleet = Fleet::start(one_engine(EngineSettings {
        token_interval: Duration::from_millis(20),
        ..quick_engine()
    }));
    fleet.wait_until_chats_work();
    let engine = &fleet.engines[0].server;
    // Twenty minutes of tokens: the engine stops early only if it is cancelled.
    let mut reader = chat("tell me", 60_000).start(fleet.address(0)).unwrap();
    assert!(reader.read_events(1) >= 1);
    drop(reader);
    wait_for("the engine to be cancelled", || engine.stats()["cancelled"] == 1);
    assert_eq!(engine.stats()["running"], 0);
}

/// Guards against plain chat answers that are treated like streams.
#[test]
fn plain_chat_arrives_whole() {
    let fleet = Fleet::start(one_engine(quick_engine()));
    fleet.wait_until_chats_work();
    let request = CallerRequest::chat(MODEL, "tell me", 12, false).bearer_key(KEY_ONE);
    let answer = call(fleet.address(0), &request);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.is_complete());
    let expected = expected_text(MODEL, &[("user", "tell me")], 12);
    assert_eq!(answer.chat_text(), expected);
}

/// Guards against hosts that disagree about the engine of a chat, so that its cache is useless.
#[test]
fn returning_chat_reaches_its_engine_through_another_host() {
    let fleet = Fleet::start(FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a")],
        engines: vec![
            ("e1", "a", quick_engine()),
            ("e2", "a", quick_engine()),
            ("e3", "a", quick_engine()),
        ],
        // Only affinity decides; the load bound has its own tests.
        skew_multiple: 100.0,
        ..FleetPlan::default()
    });
    fleet.wait_until_chats_work();
    for number in 0..12 {
        // Half of the chats carry an id; the others are recognised by their first message.
        let with_id = number % 2 == 0;
        let question = format!("question {number}");
        let send = |host: usize, turns: &[(&str, &str)]| {
            let mut request =
                CallerRequest::chat_messages(MODEL, turns, 4, true).bearer_key(KEY_ONE);
            if with_id {
                request = request.header("X-Chat-Id", &format!("chat-{number}"));
            }
            let answer = call(fleet.address(host), &request);
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert!(answer.is_complete());
            answer.chat_text()
        };
        let reply = send(0, &[("user", &question)]);
        let follow_up = format!("and after {number}?");
        let turns = [
            ("user", question.as_str()),
            ("assistant", reply.as_str()),
            ("user", follow_up.as_str()),
        ];
        send(1, &turns);
        let engine = fleet.engine_of(&question);
        assert!(engine.is_some());
        assert_eq!(engine, fleet.engine_of(&follow_up), "chat {number}");
    }
    // The chats are spread: one engine for all of them would pass the loop above.
    let used =
        fleet.engines.iter().filter(|it| it.server.stats()["received"].as_u64() > Some(0)).count();
    assert!(used > 1, "all chats went to one engine");
}

/// Guards against a look-up that loses its path, query or body on the way.
#[test]
fn look_up_reaches_the_service() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let request = CallerRequest::new("GET", "/items/7?page=2&sort=name").bearer_key(KEY_ONE);
    let answer = call(fleet.address(0), &request);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.is_complete());
    assert!(answer.header("x-request-id").is_some());
    let body = answer.json();
    assert_eq!(body["target"], "/items/7?page=2&sort=name");
    assert_eq!(body["method"], "GET");
    let request = CallerRequest::new("PUT", "/items/7").bearer_key(KEY_ONE).body("blue");
    let answer = call(fleet.address(0), &request);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["body"], "blue");
}

/// Guards against an open route that asks for a key.
#[test]
fn open_route_needs_no_key() {
    let fleet = Fleet::start(one_service());
    let request = CallerRequest::new("GET", "/public/news");
    wait_for("the open route", || request.send(fleet.address(0)).is_ok_and(|it| it.status == 200));
    let answer = call(fleet.address(0), &request);
    assert_eq!(answer.json()["target"], "/public/news");
}

/// Guards against refusals that are unclear, or that let a request through.
#[test]
fn requests_without_a_route_are_refused() {
    let fleet =
        Fleet::start(FleetPlan { engines: vec![("e1", "a", quick_engine())], ..one_service() });
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let before = fleet.engines[0].server.stats()["received"].clone();
    let none = CallerRequest::new("GET", "/nowhere").bearer_key(KEY_ONE);
    assert_not_run(&call(address, &none), &[404]);
    let method = CallerRequest::new("POST", "/public/news").bearer_key(KEY_ONE).body("x");
    assert_not_run(&call(address, &method), &[404, 405]);
    let team = CallerRequest::new("GET", "/private/1").bearer_key(KEY_ONE);
    assert_not_run(&call(address, &team), &[403, 404]);
    let model = CallerRequest::chat("unheard-of", "hi", 1, true).bearer_key(KEY_ONE);
    assert_not_run(&call(address, &model), &[400, 404, 503]);
    assert_eq!(fleet.engines[0].server.stats()["received"], before);
    assert!(!fleet.services[0].server.request_log().contains("/private"));
    let permitted = CallerRequest::new("GET", "/private/1").bearer_key(KEY_TWO);
    wait_for("the team of the route", || permitted.send(address).is_ok_and(|it| it.status == 200));
}

/// Guards against a chat body that reaches an engine although the router cannot read it.
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
        assert_not_run(&call(fleet.address(0), &request), &[400, 422]);
    }
    assert_eq!(fleet.engines[0].server.stats()["received"], before);
}

/// Guards against bytes that are no HTTP request: they must be answered with an error and must
/// not disturb other callers.
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
        let answer = connection
            .read_head(false)
            .unwrap_or_else(|err| panic!("no answer to {case:?}: {err}"))
            .finish();
        assert_eq!(answer.status, 400, "{case:?}");
    }
    let lookup = CallerRequest::new("GET", "/items/2").bearer_key(KEY_ONE);
    assert_eq!(call(fleet.address(0), &lookup).status, 200);
}

/// Guards against two readings of where a request ends, with which a caller could smuggle a
/// request past the check of its key.
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
        // A refusal or a closed connection is right; an answer must belong to the outer request.
        if let Ok(reader) = connection.read_head(false) {
            let answer = reader.finish();
            assert!(!answer.text().contains("smuggled"), "{head:?}");
        }
        let log = fleet.services[0].server.request_log();
        assert!(!log.contains("smuggled"), "{head:?}");
    }
}

/// Guards against bodies and heads that exhaust the memory of a host.
#[test]
fn oversized_requests_are_refused() {
    let fleet = Fleet::start(one_service());
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let limit = 1 << 20;
    let at_limit =
        CallerRequest::new("POST", "/items/fits").bearer_key(KEY_ONE).body(vec![b'x'; limit]);
    assert_eq!(call(address, &at_limit).status, 200);
    let over_limit = CallerRequest::new("POST", "/items/too-long")
        .bearer_key(KEY_ONE)
        .body(vec![b'x'; limit + 1]);
    assert_not_run(&call(address, &over_limit), &[413]);
    // A chunked body announces no length, so the limit applies while it is read.
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
        // The router may answer and close before it read everything.
        if connection.send_raw(&chunk).is_err() {
            break;
        }
    }
    assert_not_run(&connection.read_head(false).unwrap().finish(), &[413]);
    let long_head = CallerRequest::new("GET", "/items/long-head")
        .bearer_key(KEY_ONE)
        .header("X-Padding", &"x".repeat(20 * 1024));
    let answer = call(address, &long_head);
    assert!(matches!(answer.status, 400 | 431), "{}", answer.status);
    let log = fleet.services[0].server.request_log();
    for target in ["too-long", "chunked", "long-head"] {
        assert!(!log.contains(target), "{target} reached the service");
    }
}

/// Guards against slow callers that hold connections forever.
#[test]
fn slow_requests_are_refused() {
    let fleet = Fleet::start(FleetPlan {
        arguments: vec!["--header-timeout-ms", "500", "--body-timeout-ms", "500"],
        ..one_service()
    });
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    // The head never ends. The connection must end, with 408 if there is an answer.
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(support::WAIT_LIMIT_S))).unwrap();
    stream.write_all(b"GET /items/1 HTTP/1.1\r\n").unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the router ends the connection");
    let text = String::from_utf8_lossy(&received);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 408"), "{text}");
    // The body never ends. The caller must learn that nothing ran.
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
