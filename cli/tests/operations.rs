//! At-most-once operations: orders with an idempotency key.

mod support;

use std::{collections::BTreeSet, sync::Barrier, thread, time::Duration};

use snipepond_standin::{CallerResponse, DisconnectPoint, ProcessSignal, ServiceSettings};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, assert_not_run, fleet::quick_service, obtain_ticket, order,
    outcome_of, send_request, wait_for,
};

/// Hosts of the fleet, which all receive the same order.
const HOST_COUNT: usize = 3;

fn plan() -> FleetPlan {
    FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        services: vec![("s1", "a", quick_service()), ("s2", "a", quick_service())],
        ..FleetPlan::default()
    }
}

/// Sends the same order through all hosts at the same time.
fn send_through_all_hosts(fleet: &Fleet, key: &str) -> Vec<CallerResponse> {
    let barrier = Barrier::new(fleet.routers.len());
    thread::scope(|scope| {
        let senders: Vec<_> = fleet
            .routers
            .iter()
            .map(|router| {
                let barrier = &barrier;
                scope.spawn(move || {
                    barrier.wait();
                    send_request(router.address, &order(key))
                })
            })
            .collect();
        senders.into_iter().map(|it| it.join().unwrap()).collect()
    })
}

/// Asserts that an order, which was sent several times, ran exactly once and that every response is
/// its response or states that the order is still running.
#[track_caller]
fn assert_ran_once(fleet: &Fleet, key: &str, responses: &[CallerResponse]) {
    assert_eq!(fleet.run_count(key), 1, "runs of {key}");
    let mut bodies = BTreeSet::new();
    for response in responses {
        match response.status {
            200 => {
                assert!(response.is_complete());
                bodies.insert(response.text());
            }
            // The order is still running through another host.
            409 => assert_eq!(outcome_of(response), "unknown", "{}", response.text()),
            status => panic!("status {status}: {}", response.text()),
        }
    }
    assert_eq!(bodies.len(), 1, "all callers get the one response: {bodies:?}");
}

/// Asserts that every retry of a finished order succeeded. [`assert_ran_once`] also accepts 409,
/// which would be wrong for a finished order.
#[track_caller]
fn assert_all_succeeded(retries: &[CallerResponse]) {
    for response in retries {
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

/// Guards against hosts that each run the same order.
#[test]
fn order_with_a_plain_key_runs_once() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    for number in 0..20 {
        let key = format!("plain-{number}");
        let responses = send_through_all_hosts(&fleet, &key);
        assert_eq!(responses.len(), HOST_COUNT);
        assert_ran_once(&fleet, &key, &responses);
        // A later retry gets the stored response, through every host.
        let retries: Vec<_> =
            (0..HOST_COUNT).map(|it| send_request(fleet.address(it), &order(&key))).collect();
        assert_all_succeeded(&retries);
        assert_ran_once(&fleet, &key, &retries);
    }
}

/// Guards against hosts that each run an order whose ticket one of them issued.
#[test]
fn order_with_a_ticket_runs_once() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let mut tickets = BTreeSet::new();
    for number in 0..20 {
        let key = obtain_ticket(fleet.address(number % HOST_COUNT), KEY_ONE);
        assert!(tickets.insert(key.clone()), "a ticket was issued twice");
        let responses = send_through_all_hosts(&fleet, &key);
        assert_ran_once(&fleet, &key, &responses);
        let retries: Vec<_> =
            (0..HOST_COUNT).map(|it| send_request(fleet.address(it), &order(&key))).collect();
        assert_all_succeeded(&retries);
        assert_ran_once(&fleet, &key, &retries);
    }
}

/// Guards against an order without an idempotency key that runs, although a retry of it could not
/// be recognised.
#[test]
fn order_without_a_key_is_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let before = fleet.run_count("");
    let mut request = order("unused");
    request.headers.retain(|it| it.0 != "Idempotency-Key");
    assert_not_run(&send_request(fleet.address(0), &request), &[400, 428]);
    assert_eq!(fleet.run_count(""), before);
}

/// Guards against an idempotency key that is accepted for two different orders.
#[test]
fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let first = send_request(fleet.address(0), &order("reused"));
    assert_eq!(first.status, 200, "{}", first.text());
    for index in 0..HOST_COUNT {
        let other = order("reused").body("three cups");
        assert_eq!(send_request(fleet.address(index), &other).status, 422);
    }
    assert_eq!(fleet.run_count("reused"), 1);
    assert_eq!(send_request(fleet.address(1), &order("reused")).text(), first.text());
}

/// Guards against a team that reads the response to another team's order by guessing its
/// idempotency key.
#[test]
fn keys_of_two_teams_are_different_orders() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let send_as = |team_key: &str| {
        let mut request = order("shared-name");
        request.headers.retain(|it| it.0 != "Authorization");
        send_request(fleet.address(0), &request.bearer_key(team_key))
    };
    assert_eq!(send_as(KEY_ONE).status, 200);
    wait_for("the order of team two", || send_as(KEY_TWO).status == 200);
    assert_eq!(fleet.run_count("shared-name"), 2);
}

/// Guards against tickets that a caller forges or uses although another team obtained them.
#[test]
fn foreign_and_forged_tickets_are_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let foreign = obtain_ticket(fleet.address(0), KEY_TWO);
    let genuine = obtain_ticket(fleet.address(0), KEY_ONE);
    let mut forged = genuine.clone();
    let last = forged.pop();
    forged.push(if last == Some('0') { '1' } else { '0' });
    let truncated = genuine[..genuine.rfind('.').unwrap_or(0)].to_owned();
    for key in [foreign.as_str(), &forged, &truncated, "spt1.", "spt1.h1.x.y.z"] {
        for index in 0..HOST_COUNT {
            let response = send_request(fleet.address(index), &order(key));
            assert!(response.status >= 400, "{key}: {}", response.status);
            assert_ne!(outcome_of(&response), "ran", "{key}");
        }
        assert_eq!(fleet.run_count(key), 0, "{key}");
    }
    let response = send_request(fleet.address(1), &order(&genuine));
    assert_eq!(response.status, 200, "{}", response.text());
}

/// Guards against an order that is retried because its response was lost, and against a false
/// `not_run`.
#[test]
fn lost_answer_is_unknown_and_not_repeated() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    for (when, runs) in [(DisconnectPoint::BeforeRun, 0), (DisconnectPoint::AfterRun, 1)] {
        for service in &fleet.services {
            service.server.disconnect_next(when, 1);
        }
        let key = format!("lost-{runs}");
        // Each order has a body of its own, because requests with the same body may be quarantined
        // together.
        let request = order(&key).body(key.as_str());
        let response = send_request(fleet.address(0), &request);
        // The router cannot know whether the service read the request before the connection broke.
        assert_eq!(outcome_of(&response), "unknown", "{}", response.text());
        assert!(response.status >= 500, "{}", response.status);
        for service in &fleet.services {
            service.server.disconnect_next(when, 0);
        }
        for index in 0..HOST_COUNT {
            let retry = send_request(fleet.address(index), &request);
            assert_eq!(outcome_of(&retry), "unknown", "{}", retry.text());
        }
        assert_eq!(fleet.run_count(&key), runs);
    }
}

/// Guards against `not_run` for an order that ran, because its retry is refused for another reason,
/// such as the failures of other requests with the same body.
#[test]
fn retry_of_a_lost_order_is_not_reported_as_not_run() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    for service in &fleet.services {
        service.server.disconnect_next(DisconnectPoint::AfterRun, 100);
    }
    let keys: Vec<_> = (0..4).map(|it| format!("same-body-{it}")).collect();
    for key in &keys {
        send_request(fleet.address(0), &order(key));
    }
    for key in &keys {
        let runs = fleet.run_count(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        for index in 0..HOST_COUNT {
            let retry = send_request(fleet.address(index), &order(key));
            if runs == 1 {
                assert_ne!(outcome_of(&retry), "not_run", "{key}: {}", retry.text());
            }
        }
    }
    assert!(keys.iter().any(|it| fleet.run_count(it) == 1), "no order ran");
}

/// Guards against a false `not_run`, and against another outcome after a refused connection, with
/// which the caller loses an order that it could have retried.
#[test]
fn refused_connection_is_not_run() {
    let fleet = Fleet::start(FleetPlan { services: vec![("s1", "a", quick_service())], ..plan() });
    fleet.wait_until_orders_work();
    fleet.services[0].server.stop();
    let response = send_request(fleet.address(0), &order("refused"));
    assert_not_run(&response, &[502, 503]);
    assert_eq!(fleet.run_count("refused"), 0);
}

/// Guards against a second run by hosts that take over from a killed host.
#[test]
fn orders_of_a_lost_host_do_not_run_again() {
    let mut fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let keys: Vec<_> = (0..30).map(|it| format!("before-{it}")).collect();
    for key in &keys {
        let response = send_request(fleet.address(0), &order(key));
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let issued = obtain_ticket(fleet.address(2), KEY_ONE);
    fleet.routers[2].signal(ProcessSignal::Kill);
    fleet.routers[2].wait_for_exit();
    let mut hosts = fleet.host_entries();
    hosts.pop();
    fleet.platform.set_hosts(hosts);
    for round in 0..3 {
        for key in &keys {
            for index in 0..2 {
                let response = send_request(fleet.address(index), &order(key));
                assert!(
                    response.status == 200
                        || ["unknown", "not_run"].contains(&&*outcome_of(&response)),
                    "round {round}: {}",
                    response.text()
                );
            }
            assert_eq!(fleet.run_count(key), 1, "round {round}: {key}");
        }
        // The rounds take place before, around and after the takeover.
        thread::sleep(support::fleet::TAKEOVER_WAIT / 2);
    }
    // Only the process that issued the ticket could decide about its order, and it was killed.
    let response = send_request(fleet.address(0), &order(&issued));
    assert_ne!(response.status, 200);
    assert_eq!(fleet.run_count(&issued), 0);
    // New orders run again, including those that the killed host would have owned.
    fleet.routers.pop();
    fleet.wait_until_orders_work();
}

/// Guards against a second run when a caller disconnects while its order is in flight and retries
/// it on another host.
#[test]
fn retry_after_a_disconnect_does_not_cause_a_second_run() {
    let fleet = Fleet::start(FleetPlan {
        services: vec![(
            "s1",
            "a",
            ServiceSettings { duration: Duration::from_millis(300), ..quick_service() },
        )],
        ..plan()
    });
    fleet.wait_until_orders_work();
    for number in 0..5 {
        let key = format!("impatient-{number}");
        let request = order(&key);
        let address = fleet.address(number % HOST_COUNT);
        let mut connection = snipepond_standin::CallerConnection::open(address).unwrap();
        connection.send_raw(&request.to_bytes(address)).unwrap();
        wait_for("the order to reach the service", || {
            fleet.services[0].server.stats()["in_flight"] == 1
        });
        drop(connection);
        wait_for("the stored response", || {
            let response = send_request(fleet.address((number + 1) % HOST_COUNT), &request);
            assert_ne!(outcome_of(&response), "not_run", "{}", response.text());
            response.status == 200
        });
        assert_eq!(fleet.run_count(&key), 1);
    }
}
