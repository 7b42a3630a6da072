//! API keys: which requests are authorised, and that no credential is passed to upstreams or
//! logged.

mod support;

use snipepond_standin::{CallerConnection, CallerRequest};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, MODEL, assert_not_run, chat,
    fleet::{quick_engine, quick_service},
    send_request, wait_for,
};

fn plan() -> FleetPlan {
    FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a")],
        engines: vec![("e1", "a", quick_engine())],
        services: vec![("s1", "a", quick_service())],
        ..FleetPlan::default()
    }
}

fn lookup(target: &str) -> CallerRequest {
    CallerRequest::new("GET", target).bearer_key(KEY_ONE)
}

/// Guards against requests that run without an API key or with an unknown one.
#[test]
fn missing_and_unknown_keys_are_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    for index in 0..fleet.routers.len() {
        let address = fleet.address(index);
        let target = format!("/items/unkeyed-{index}");
        let keyless = CallerRequest::new("GET", &target);
        assert_not_run(&send_request(address, &keyless), &[401]);
        for value in ["Bearer sk-nobody", "Bearer ", "Bearer", "Basic c2stb25l", KEY_ONE] {
            let request = keyless.clone().header("Authorization", value);
            assert_not_run(&send_request(address, &request), &[401]);
        }
        // A prefix or an extension of a valid key is not valid.
        for key in [&KEY_ONE[..KEY_ONE.len() - 1], &format!("{KEY_ONE}0")] {
            assert_not_run(&send_request(address, &keyless.clone().bearer_key(key)), &[401]);
        }
        let request = CallerRequest::chat(MODEL, "unkeyed chat", 1, true);
        assert_not_run(&send_request(address, &request), &[401]);
    }
    assert!(!fleet.services[0].server.request_log().contains("unkeyed"));
    assert_eq!(fleet.engine_that_ran("unkeyed chat"), None);
}

/// Guards against a withdrawn key that is still accepted, in particular on a connection that was
/// opened while the key was active.
#[test]
fn withdrawn_key_stops_working_on_open_connections() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let mut connections: Vec<_> = (0..fleet.routers.len())
        .map(|index| {
            let connection = CallerConnection::open(fleet.address(index)).unwrap();
            let (response, connection) =
                connection.send(&lookup("/items/before")).unwrap().finish_and_reuse().unwrap();
            assert_eq!(response.status, 200);
            Some(connection)
        })
        .collect();
    fleet.set_key_state("k1", "one", KEY_ONE, "withdrawn");
    for (index, slot) in connections.iter_mut().enumerate() {
        let host = &fleet.routers[index].host;
        wait_for(&format!("{host} to refuse the key"), || {
            let connection = slot.take().expect("the connection stays open");
            let reader = connection.send(&lookup("/items/during")).unwrap();
            let (response, connection) = reader.finish_and_reuse().unwrap();
            *slot = Some(connection);
            match response.status {
                200 => false,
                _ => {
                    assert_not_run(&response, &[401, 403]);
                    true
                }
            }
        });
        // Once refused, the key is refused on this and on new connections.
        for _ in 0..5 {
            let connection = slot.take().expect("the connection stays open");
            let reader = connection.send(&lookup("/items/after")).unwrap();
            let (response, connection) = reader.finish_and_reuse().unwrap();
            *slot = Some(connection);
            assert_not_run(&response, &[401, 403]);
            let response = send_request(fleet.address(index), &lookup("/items/after"));
            assert_not_run(&response, &[401, 403]);
        }
    }
    assert!(!fleet.services[0].server.request_log().contains("/items/after"));
    // The key of another team is still accepted.
    let other = CallerRequest::new("GET", "/items/other").bearer_key(KEY_TWO);
    wait_for("the other team", || other.send(fleet.address(0)).is_ok_and(|it| it.status == 200));
}

/// Guards against a credential that reaches an upstream in an unusual header, spelling or encoding.
#[test]
fn no_upstream_sees_a_credential() {
    const OTHER_SECRET: &str = "secret-d41d8cd98f00b204";
    let fleet = Fleet::start(plan());
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    let headers = [
        ("Proxy-Authorization", format!("Bearer {OTHER_SECRET}")),
        ("PROXY-AUTHORIZATION", format!("Basic {OTHER_SECRET}")),
        ("X-Api-Key", OTHER_SECRET.to_owned()),
        ("x-api-key", OTHER_SECRET.to_owned()),
        ("X-API-KEY", KEY_ONE.to_owned()),
        ("Api-Key", OTHER_SECRET.to_owned()),
        ("api-key", KEY_ONE.to_owned()),
        ("Cookie", format!("session={OTHER_SECRET}")),
        ("cookie", format!("a=b; key={KEY_ONE}")),
        ("X-Forwarded-Secret", KEY_ONE.to_owned()),
        ("X-Note", format!("my key is {KEY_ONE}, thanks")),
        ("Referer", format!("http://example.invalid/?key={KEY_ONE}")),
        ("User-Agent", format!("curl {KEY_ONE}")),
    ];
    let mut number = 0;
    for authorization in ["Authorization", "authorization", "AUTHORIZATION"] {
        for scheme in ["Bearer", "bearer"] {
            for (name, value) in &headers {
                let credentials = format!("{scheme} {KEY_ONE}");
                let request = CallerRequest::new("GET", "/items/7?page=2")
                    .header(authorization, &credentials)
                    .header(name, value);
                let response = send_request(address, &request);
                assert_eq!(response.status, 200, "{name}: {}", response.text());
                let request = CallerRequest::chat(MODEL, &format!("chat {number}"), 1, true)
                    .header(authorization, &credentials)
                    .header(name, value);
                let response = send_request(address, &request);
                assert_eq!(response.status, 200, "{name}: {}", response.text());
                number += 1;
            }
        }
    }
    let encoded: String = KEY_ONE.bytes().map(|it| format!("%{it:02x}")).collect();
    for query in [
        format!("key={KEY_ONE}&page=2"),
        format!("page=2&api_key={OTHER_SECRET}"),
        format!("API_KEY={OTHER_SECRET}&page=2"),
        format!("page=2&apikey={OTHER_SECRET}"),
        format!("api-key={OTHER_SECRET}&page=2"),
        format!("access_token={OTHER_SECRET}&page=2"),
        format!("api%5Fkey={OTHER_SECRET}&page=2"),
        format!("page=2&note={KEY_ONE}"),
        format!("page=2&note=my+key+{KEY_ONE}+there"),
        format!("page=2&note={encoded}"),
    ] {
        let response = send_request(address, &lookup(&format!("/items/7?{query}")));
        assert_eq!(response.status, 200, "{query}: {}", response.text());
        // Parameters without a credential are still forwarded.
        assert_eq!(response.json()["target"], "/items/7?page=2", "{query}");
    }
    let logs = [fleet.engines[0].server.request_log(), fleet.services[0].server.request_log()];
    for log in &logs {
        assert_eq!(log.dropped, 0, "the log is incomplete");
        for secret in [KEY_ONE, OTHER_SECRET, encoded.as_str()] {
            assert!(!log.contains(secret), "{secret} in {log:#?}");
        }
        for name in log.headers.keys() {
            let name = name.to_ascii_lowercase();
            for credential in
                ["authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"]
            {
                assert_ne!(name, credential);
            }
        }
    }
}

/// Guards against callers that set headers by which routers instruct upstreams, such as the
/// priority.
#[test]
fn caller_cannot_set_the_routers_headers() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_chats_work();
    fleet.wait_until_lookups_work();
    let request = chat("forged", 4)
        .header("X-Priority", "77")
        .header("X-Resume-Offset", "3")
        .header("X-Team", "forged-team");
    let response = send_request(fleet.address(0), &request);
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.tokens().len(), 4, "tokens were skipped");
    let request = lookup("/items/1").header("X-Team", "forged-team");
    assert_eq!(send_request(fleet.address(0), &request).status, 200);
    for log in [fleet.engines[0].server.request_log(), fleet.services[0].server.request_log()] {
        assert!(!log.contains("forged-team"));
    }
    let engine = fleet.engines[0].server.request_log();
    let is_forged = engine
        .headers
        .iter()
        .any(|(name, values)| name.eq_ignore_ascii_case("x-priority") && values.contains("77"));
    assert!(!is_forged, "the caller chose its priority");
}

/// Guards against API keys in the log, the metrics and the status of a router.
#[test]
fn keys_are_not_logged() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let address = fleet.address(0);
    send_request(address, &lookup(&format!("/items/1?key={KEY_ONE}")));
    send_request(address, &CallerRequest::new("GET", "/items/1").bearer_key("sk-unknown-5f2b"));
    send_request(address, &CallerRequest::new("GET", "/nowhere").bearer_key(KEY_ONE));
    let log = fleet.routers[0].log_text();
    assert!(!log.contains(KEY_ONE));
    assert!(!log.contains("sk-unknown-5f2b"));
    let metrics =
        send_request(fleet.routers[0].admin_address, &CallerRequest::new("GET", "/metrics"));
    assert!(!metrics.text().contains(KEY_ONE));
    let status =
        send_request(fleet.routers[0].admin_address, &CallerRequest::new("GET", "/status"));
    assert!(!status.text().contains(KEY_ONE));
}
