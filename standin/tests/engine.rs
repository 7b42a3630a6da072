//! Tests of the engine stand-in.

mod support;

use std::{thread, time::Duration};

use serde_json::json;
use snipepond_standin::{
    CallerConnection, CallerRequest, CallerResponse, EngineServer, EngineSettings, FaultMode,
    ResponseEnd, ResponseFault, expected_text, expected_tokens,
};

use self::support::{control, get, wait_for};

fn quick_settings() -> EngineSettings {
    EngineSettings {
        first_token_delay: Duration::from_millis(1),
        token_interval: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_drop_interval: 0,
        ..EngineSettings::default()
    }
}

fn slow_settings() -> EngineSettings {
    EngineSettings { token_interval: Duration::from_millis(20), ..quick_settings() }
}

fn start(settings: EngineSettings) -> EngineServer {
    EngineServer::start(settings).expect("engine starts")
}

fn chat(engine: &EngineServer, text: &str, tokens: u64) -> CallerResponse {
    CallerRequest::chat("m", text, tokens, true).send(engine.address()).expect("response")
}

fn stat(engine: &EngineServer, name: &str) -> u64 {
    engine.stats()[name].as_u64().expect(name)
}

/// Guards against a stream that is buffered until it is complete, and against tokens that differ
/// from `expected_tokens`.
#[test]
fn stream_arrives_token_by_token() {
    let engine = start(quick_settings());
    let mut reader = CallerRequest::chat("m", "hello", 5, true)
        .header("x-request-id", "r1")
        .start(engine.address())
        .unwrap();
    assert_eq!(reader.read_events(1), 1);
    let response = reader.finish();
    assert!(response.is_complete());
    assert_eq!(response.header("x-request-id"), Some("r1"));
    assert_eq!(response.tokens(), expected_tokens("m", &[("user", "hello")], 5));
    // One chunk for each token and one for `[DONE]`, so the link coalesced none.
    assert_eq!(response.chunk_count, 6);
    assert_eq!(engine.stats()["runs"]["r1"], 1);
    assert_eq!(engine.stats()["texts"]["hello"], 1);
}

/// Guards against a first event that is buffered until the response is complete.
#[test]
fn first_event_is_sent_while_the_rest_is_open() {
    let engine =
        start(EngineSettings { token_interval: Duration::from_secs(60), ..quick_settings() });
    let mut reader = CallerRequest::chat("m", "hello", 5, true).start(engine.address()).unwrap();
    assert_eq!(reader.read_events(1), 1);
    assert_eq!(stat(&engine, "running"), 1);
    drop(reader);
    wait_for("cancel", || stat(&engine, "cancelled") == 1);
    assert_eq!(stat(&engine, "running"), 0);
}

/// Guards against a response that has another text when it is not streamed.
#[test]
fn unstreamed_response_has_the_same_text() {
    let engine = start(quick_settings());
    let response = CallerRequest::chat("m", "hello", 5, false).send(engine.address()).unwrap();
    assert!(response.is_complete());
    assert_eq!(response.chat_text(), expected_text("m", &[("user", "hello")], 5));
    let other = CallerRequest::chat("m", "other", 5, false).send(engine.address()).unwrap();
    assert_ne!(response.chat_text(), other.chat_text());
}

/// Guards against a resumed stream that repeats or skips tokens.
#[test]
fn resumed_stream_continues_at_the_offset() {
    let engine = start(quick_settings());
    engine.disconnect_streams_after(3, 1);
    let first = chat(&engine, "hello", 8);
    assert!(!first.is_complete());
    assert!(matches!(first.end, ResponseEnd::Broken(_)), "{:?}", first.end);
    assert_eq!(first.tokens().len(), 3);
    let rest = CallerRequest::chat("m", "hello", 8, true)
        .header("x-resume-offset", "3")
        .send(engine.address())
        .unwrap();
    assert!(rest.is_complete());
    let tokens = [first.tokens(), rest.tokens()].concat();
    assert_eq!(tokens, expected_tokens("m", &[("user", "hello")], 8));
}

/// Guards against an engine without resume support that honours `x-resume-offset`.
#[test]
fn engine_without_resume_starts_over() {
    let engine = start(EngineSettings { supports_resume: false, ..quick_settings() });
    let response = CallerRequest::chat("m", "hello", 4, true)
        .header("x-resume-offset", "3")
        .send(engine.address())
        .unwrap();
    assert_eq!(response.tokens().len(), 4);
}

/// Guards against more concurrent runs than `capacity`, and against a queue that ignores priority.
#[test]
fn waiting_requests_run_by_priority() {
    let engine = start(EngineSettings {
        capacity: 1,
        token_interval: Duration::from_secs(60),
        ..quick_settings()
    });
    let address = engine.address();
    let mut blocker = CallerRequest::chat("m", "blocker", 2, true)
        .header("x-request-id", "blocker")
        .start(address)
        .unwrap();
    assert_eq!(blocker.read_events(1), 1);
    let send_chat = |id: &'static str, priority: &'static str| {
        thread::spawn(move || {
            CallerRequest::chat("m", id, 1, true)
                .header("x-request-id", id)
                .header("x-priority", priority)
                .send(address)
                .unwrap();
        })
    };
    let low = send_chat("low", "5");
    wait_for("the low request", || stat(&engine, "waiting") == 1);
    let high = send_chat("high", "0");
    wait_for("the high request", || stat(&engine, "waiting") == 2);
    assert_eq!(stat(&engine, "peak_running"), 1);
    drop(blocker);
    low.join().unwrap();
    high.join().unwrap();
    let stats = engine.stats();
    assert_eq!(stats["run_order"], json!(["blocker", "high", "low"]));
    assert_eq!(stat(&engine, "peak_running"), 1);
}

/// Guards against a queued request that still runs after its caller has disconnected.
#[test]
fn abandoned_request_leaves_the_queue() {
    let engine = start(EngineSettings {
        capacity: 1,
        token_interval: Duration::from_secs(60),
        ..quick_settings()
    });
    let mut blocker = CallerRequest::chat("m", "blocker", 2, true).start(engine.address()).unwrap();
    blocker.read_events(1);
    let mut waiting = CallerConnection::open(engine.address()).unwrap();
    let request = CallerRequest::chat("m", "waiting", 1, true).header("x-request-id", "abandoned");
    waiting.send_raw(&request.to_bytes(engine.address())).unwrap();
    wait_for("the request", || stat(&engine, "waiting") == 1);
    drop(waiting);
    wait_for("the queue to empty", || stat(&engine, "waiting") == 0);
    assert!(engine.stats()["runs"]["abandoned"].is_null());
}

/// Guards against a cache that loses the chat used last or exceeds its limit.
#[test]
fn prefix_cache_keeps_recent_chats() {
    let engine = start(EngineSettings { cache_tokens: 12, ..quick_settings() });
    let send_chat = |chat: &str, turns: &[(&str, &str)]| {
        CallerRequest::chat_messages("m", turns, 2, true)
            .header("x-chat-id", chat)
            .send(engine.address())
            .unwrap()
    };
    let first = send_chat("a", &[("user", "one two three")]);
    assert_eq!(first.header("x-prompt-tokens"), Some("4"));
    assert_eq!(first.header("x-cached-tokens"), Some("0"));
    let response = first.chat_text();
    let turns = [("user", "one two three"), ("assistant", response.as_str()), ("user", "four")];
    // 4 tokens of the first message and 3 of the response.
    let second = send_chat("a", &turns);
    assert_eq!(second.header("x-cached-tokens"), Some("7"));
    // Chat `a` occupies all 12 tokens of the cache, so storing chat `b` evicts it.
    send_chat("b", &[("user", "five")]);
    let third = send_chat("a", &turns);
    assert_eq!(third.header("x-cached-tokens"), Some("0"));
    assert!(stat(&engine, "cache_tokens_used") <= 12);
    assert_eq!(stat(&engine, "cached_tokens"), 7);
}

/// Guards against a changed prompt that counts as cached because the chat id is the same.
#[test]
fn changed_prompt_is_not_cached() {
    let engine = start(quick_settings());
    for text in ["one two", "one three"] {
        let response = CallerRequest::chat("m", text, 1, true)
            .header("x-chat-id", "a")
            .send(engine.address())
            .unwrap();
        assert_eq!(response.header("x-cached-tokens"), Some("0"));
    }
}

/// Guards against a cold engine that tolerates any load, and against an overload crash that callers
/// and readers of the statistics cannot see.
#[test]
fn cold_engine_crashes_beyond_its_allowance() {
    let engine = start(EngineSettings {
        starts_cold: true,
        cold_allowance: 2,
        cold_slowdown: 1,
        ..slow_settings()
    });
    let incarnation = engine.stats()["incarnation"].clone();
    let address = engine.address();
    let readers: Vec<_> = (0..2)
        .map(|it| {
            let mut reader =
                CallerRequest::chat("m", &format!("chat {it}"), 1000, true).start(address).unwrap();
            assert_eq!(reader.read_events(1), 1);
            reader
        })
        .collect();
    assert_eq!(stat(&engine, "falls"), 0);
    assert!(CallerRequest::chat("m", "chat 3", 1, true).send(address).is_err());
    for reader in readers {
        assert!(!reader.finish().is_complete());
    }
    let stats = engine.stats();
    assert_eq!(stats["falls"], 1);
    assert_eq!(stats["peak_cold"], 3);
    assert_eq!(stats["cold"], true);
    assert_ne!(stats["incarnation"], incarnation);
    // The engine serves requests again, as a cold engine.
    wait_for("the lost requests to end", || stat(&engine, "in_flight") == 0);
    assert!(chat(&engine, "again", 1).is_complete());
}

/// Guards against an engine that stays cold, or is warm before its first complete response.
#[test]
fn engine_warms_up_after_its_first_complete_response() {
    let engine = start(EngineSettings {
        starts_cold: true,
        cold_allowance: 1,
        warmup: Duration::ZERO,
        ..quick_settings()
    });
    assert_eq!(engine.stats()["cold"], true);
    assert!(chat(&engine, "hello", 1).is_complete());
    wait_for("the engine to be warm", || engine.stats()["cold"] == false);
    let load = get(engine.address(), "/load").json();
    assert_eq!(load["cold"], false);
}

/// Guards against a silent cold start that appears in the load report, and against an announced
/// cold start that does not.
#[test]
fn silent_cold_start_is_not_reported() {
    let engine = start(quick_settings());
    let before = get(engine.address(), "/load").json();
    control(engine.address(), "/control/cold", json!({ "silent": true }));
    assert_eq!(get(engine.address(), "/load").json(), before);
    assert_eq!(engine.stats()["cold"], true);
    control(engine.address(), "/control/cold", json!({}));
    let load = get(engine.address(), "/load").json();
    assert_eq!(load["cold"], true);
    assert_ne!(load["incarnation"], before["incarnation"]);
}

/// Guards against a crash that leaves other requests running, and against an engine that serves
/// nothing after a crash.
#[test]
fn crash_drops_all_connections_and_serves_again() {
    let engine = start(slow_settings());
    let incarnation = engine.stats()["incarnation"].clone();
    let mut reader =
        CallerRequest::chat("m", "victim", 1000, true).start(engine.address()).unwrap();
    reader.read_events(1);
    let crash = CallerRequest::chat("m", "please [[crash]] now", 1, true).send(engine.address());
    assert!(crash.is_err());
    assert!(!reader.finish().is_complete());
    let stats = engine.stats();
    assert_eq!(stats["crashes"], 1);
    assert_ne!(stats["incarnation"], incarnation);
    wait_for("the victim to end", || stat(&engine, "in_flight") == 0);
    assert!(chat(&engine, "again", 1).is_complete());
}

/// Guards against a load report that ignores `load_lag`.
#[test]
fn load_report_lags() {
    let engine = start(EngineSettings {
        load_lag: Duration::from_secs(60),
        token_interval: Duration::from_secs(60),
        ..quick_settings()
    });
    let mut reader = CallerRequest::chat("m", "hello", 2, true).start(engine.address()).unwrap();
    reader.read_events(1);
    assert_eq!(stat(&engine, "running"), 1);
    assert_eq!(get(engine.address(), "/load").json()["running"], 0);
}

/// Guards against wrong counts of requests and tokens in a load report without lag.
#[test]
fn load_report_shows_running_and_waiting() {
    let engine = start(EngineSettings {
        capacity: 1,
        token_interval: Duration::from_secs(60),
        ..quick_settings()
    });
    let mut reader = CallerRequest::chat("m", "hello", 10, true).start(engine.address()).unwrap();
    reader.read_events(1);
    let second = CallerRequest::chat("m", "second", 10, true);
    let mut connection = CallerConnection::open(engine.address()).unwrap();
    connection.send_raw(&second.to_bytes(engine.address())).unwrap();
    wait_for("the second request", || stat(&engine, "waiting") == 1);
    let load = get(engine.address(), "/load").json();
    assert_eq!(load["running"], 1);
    assert_eq!(load["waiting"], 1);
    assert_eq!(load["capacity"], 1);
    // The running request has 9 of its 10 tokens left. The waiting one has 2 prompt tokens and 10
    // response tokens.
    wait_for("the work of both requests", || {
        get(engine.address(), "/load").json()["work_tokens"] == 9 + 12
    });
}

/// Guards against cache events without gaps in their numbers, or out of order.
#[test]
fn cache_events_have_gaps() {
    let engine = start(EngineSettings { event_drop_interval: 2, ..quick_settings() });
    for chat_id in ["a", "b", "c"] {
        CallerRequest::chat("m", chat_id, 1, true)
            .header("x-chat-id", chat_id)
            .send(engine.address())
            .unwrap();
    }
    let page = get(engine.address(), "/events?after=0").json();
    assert_eq!(page["next"], 3);
    let events = page["events"].as_array().unwrap();
    let chats: Vec<_> = events.iter().map(|it| it["chat"].as_str().unwrap()).collect();
    assert_eq!(chats, ["a", "c"]);
    assert_eq!(events[0]["kind"], "stored");
    let rest = get(engine.address(), "/events?after=1").json();
    assert_eq!(rest["events"].as_array().unwrap().len(), 1);
}

/// Guards against cache events that ignore `event_lag`.
#[test]
fn cache_events_are_late() {
    let engine = start(EngineSettings { event_lag: Duration::from_secs(60), ..quick_settings() });
    chat(&engine, "hello", 1);
    let page = get(engine.address(), "/events?after=0").json();
    assert_eq!(page["next"], 0);
}

/// Guards against response faults that are not injected, or affect more responses than `count`.
#[test]
fn response_faults_affect_the_requested_number_of_responses() {
    let engine = start(quick_settings());
    let send = |stream: bool| {
        CallerRequest::chat("m", "hello", 4, stream)
            .header("x-request-id", "r")
            .send(engine.address())
            .unwrap()
    };
    let set_fault = |mode: &str| {
        control(engine.address(), "/control/echo", json!({ "mode": mode, "count": 1 }));
    };
    set_fault("wrong_id");
    let foreign = send(true);
    assert_eq!(foreign.header("x-request-id"), Some("other-r"));
    assert!(foreign.chat_text().contains("foreign"));
    let normal = send(true);
    assert_eq!(normal.header("x-request-id"), Some("r"));
    assert!(!normal.chat_text().contains("foreign"));
    set_fault("no_id");
    assert_eq!(send(true).header("x-request-id"), None);
    set_fault("short");
    let short = send(true);
    assert!(matches!(short.end, ResponseEnd::Broken(_)));
    assert_eq!(short.tokens().len(), 2);
    set_fault("short_framed");
    let framed = send(true);
    assert_eq!(framed.end, ResponseEnd::Complete);
    assert!(!framed.is_complete());
    set_fault("short");
    assert!(matches!(send(false).end, ResponseEnd::Broken(_)));
    engine.set_fault(ResponseFault { mode: FaultMode::Late, count: 1, delay_ms: 1 });
    assert!(send(false).is_complete());
}

/// Guards against headers or targets that are not recorded, so that a test for leaked credentials
/// would pass although they leak.
#[test]
fn headers_and_targets_are_recorded() {
    let engine = start(quick_settings());
    CallerRequest::chat("m", "hello", 1, true)
        .header("X-Odd-Spelling", "secret-1")
        .send(engine.address())
        .unwrap();
    get(engine.address(), "/load?api_key=secret-2");
    let log = engine.request_log();
    assert!(log.contains("secret-1"));
    assert!(log.contains("secret-2"));
    assert!(!log.contains("secret-3"));
    assert_eq!(engine.stats()["headers"]["X-Odd-Spelling"][0], "secret-1");
}

/// Guards against errors of control requests that do not name the invalid value.
#[test]
fn invalid_control_requests_are_rejected() {
    let engine = start(quick_settings());
    let send_raw = |path: &str, body: &str| {
        CallerRequest::new("POST", path).body(body).send(engine.address()).unwrap()
    };
    assert_eq!(send_raw("/control/nothing", "{}").status, 404);
    let response = send_raw("/control/echo", r#"{"mode":"upside_down"}"#);
    assert_eq!(response.status, 400);
    assert!(response.text().contains("upside_down"));
    assert_eq!(send_raw("/v1/chat/completions", "no JSON").status, 400);
    assert_eq!(get(engine.address(), "/nothing").status, 404);
}

/// Guards against a stop that waits for a running stream, or that leaves the port open.
#[test]
fn stop_ends_running_streams() {
    let engine =
        start(EngineSettings { token_interval: Duration::from_secs(60), ..quick_settings() });
    let mut reader = CallerRequest::chat("m", "hello", 10, true).start(engine.address()).unwrap();
    reader.read_events(1);
    engine.stop();
    assert!(!reader.finish().is_complete());
    assert!(CallerRequest::new("GET", "/load").send(engine.address()).is_err());
}
