//! Orders that must run at most once.

mod support;

use std::{collections::BTreeSet, sync::Barrier, thread, time::Duration};

use snipepond_standin::{CallerResponse, DisconnectPoint, ProcessSignal, ServiceSettings};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, KEY_TWO, assert_not_run, call, fleet::quick_service, order,
    outcome_of, ticket, wait_for,
};

/// Hosts that receive an order at the same time.
const HOSTS: usize = 3;

fn plan() -> FleetPlan {
    FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        services: vec![("s1", "a", quick_service()), ("s2", "a", quick_service())],
        ..FleetPlan::default()
    }
}

/// Sends one order through all hosts at the same moment.
fn send_through_all(fleet: &Fleet, key: &str) -> Vec<CallerResponse> {
    let barrier = Barrier::new(fleet.routers.len());
    thread::scope(|scope| {
        let senders: Vec<_> = fleet
            .routers
            .iter()
            .map(|router| {
                let barrier = &barrier;
                scope.spawn(move || {
                    barrier.wait();
                    call(router.address, &order(key))
                })
            })
            .collect();
        senders.into_iter().map(|it| it.join().unwrap()).collect()
    })
}

/// Checks the answers to one order that was sent several times.
#[track_caller]
fn assert_ran_once(fleet: &Fleet, key: &str, answers: &[CallerResponse]) {
    assert_eq!(fleet.runs(key), 1, "runs of {key}");
    let mut bodies = BTreeSet::new();
    for answer in answers {
        match answer.status {
            200 => {
                assert!(answer.is_complete());
                bodies.insert(answer.text());
            }
            // The order runs at this moment through another host.
            409 => assert_eq!(outcome_of(answer), "unknown", "{}", answer.text()),
            status => panic!("status {status}: {}", answer.text()),
        }
    }
    assert_eq!(bodies.len(), 1, "all callers get the one answer: {bodies:?}");
}

/// Asserts that every repeat of a finished order got an answer, and states a refusal if not.
#[track_caller]
fn assert_all_answered(repeats: &[CallerResponse]) {
    for answer in repeats {
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// Guards against hosts that each run the same order.
#[test]
fn order_with_a_plain_key_runs_once() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    for number in 0..20 {
        let key = format!("plain-{number}");
        let answers = send_through_all(&fleet, &key);
        assert_eq!(answers.len(), HOSTS);
        assert_ran_once(&fleet, &key, &answers);
        // A later repeat gets the stored answer, through every host.
        let repeats: Vec<_> = (0..HOSTS).map(|it| call(fleet.address(it), &order(&key))).collect();
        assert_all_answered(&repeats);
        assert_ran_once(&fleet, &key, &repeats);
    }
}

/// Guards against hosts that each run an order whose ticket one of them issued.
#[test]
fn order_with_a_ticket_runs_once() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let mut tickets = BTreeSet::new();
    for number in 0..20 {
        let key = ticket(fleet.address(number % HOSTS), KEY_ONE);
        assert!(tickets.insert(key.clone()), "a ticket was issued twice");
        let answers = send_through_all(&fleet, &key);
        assert_ran_once(&fleet, &key, &answers);
        let repeats: Vec<_> = (0..HOSTS).map(|it| call(fleet.address(it), &order(&key))).collect();
        assert_all_answered(&repeats);
        assert_ran_once(&fleet, &key, &repeats);
    }
}

/// Guards against an order that runs while it is not known which one it is.
#[test]
fn order_without_a_key_is_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let before = fleet.runs("");
    let mut request = order("unused");
    request.headers.retain(|it| it.0 != "Idempotency-Key");
    assert_not_run(&call(fleet.address(0), &request), &[400, 428]);
    assert_eq!(fleet.runs(""), before);
}

/// Guards against a key that stands for two different orders.
#[test]
fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let first = call(fleet.address(0), &order("reused"));
    assert_eq!(first.status, 200, "{}", first.text());
    for index in 0..HOSTS {
        let other = order("reused").body("three cups");
        assert_eq!(call(fleet.address(index), &other).status, 422);
    }
    assert_eq!(fleet.runs("reused"), 1);
    assert_eq!(call(fleet.address(1), &order("reused")).text(), first.text());
}

/// Guards against a team that reads the answer to another team's order by guessing its key.
#[test]
fn keys_of_two_teams_are_different_orders() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let body_of = |team_key: &str| {
        let mut request = order("shared-name");
        request.headers.retain(|it| it.0 != "Authorization");
        call(fleet.address(0), &request.bearer_key(team_key))
    };
    assert_eq!(body_of(KEY_ONE).status, 200);
    wait_for("the order of team two", || body_of(KEY_TWO).status == 200);
    assert_eq!(fleet.runs("shared-name"), 2);
}

/// Guards against tickets that a caller makes up, or takes from another team.
#[test]
fn foreign_and_forged_tickets_are_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    let foreign = ticket(fleet.address(0), KEY_TWO);
    let genuine = ticket(fleet.address(0), KEY_ONE);
    let mut forged = genuine.clone();
    let last = forged.pop();
    forged.push(if last == Some('0') { '1' } else { '0' });
    let cut = genuine[..genuine.rfind('.').unwrap_or(0)].to_owned();
    for key in [foreign.as_str(), &forged, &cut, "spt1.", "spt1.h1.x.y.z"] {
        for index in 0..HOSTS {
            let answer = call(fleet.address(index), &order(key));
            assert!(answer.status >= 400, "{key}: {}", answer.status);
            assert_ne!(outcome_of(&answer), "ran", "{key}");
        }
        assert_eq!(fleet.runs(key), 0, "{key}");
    }
    let answer = call(fleet.address(1), &order(&genuine));
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Guards against an order that is repeated because its answer was lost, and against a wrong
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
        // Each order has its own body, because requests with one body may be kept apart together.
        let request = order(&key).body(key.as_str());
        let answer = call(fleet.address(0), &request);
        // The router cannot see whether the service read the request before the break.
        assert_eq!(outcome_of(&answer), "unknown", "{}", answer.text());
        assert!(answer.status >= 500, "{}", answer.status);
        for service in &fleet.services {
            service.server.disconnect_next(when, 0);
        }
        for index in 0..HOSTS {
            let repeat = call(fleet.address(index), &request);
            assert_eq!(outcome_of(&repeat), "unknown", "{}", repeat.text());
        }
        assert_eq!(fleet.runs(&key), runs);
    }
}

/// Guards against a caller that is told `not_run` about an order that ran, because its repeat is
/// refused for another reason, such as the failures of requests with the same body.
#[test]
fn repeat_of_a_lost_order_is_not_called_not_run() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    for service in &fleet.services {
        service.server.disconnect_next(DisconnectPoint::AfterRun, 100);
    }
    let keys: Vec<_> = (0..4).map(|it| format!("same-body-{it}")).collect();
    for key in &keys {
        call(fleet.address(0), &order(key));
    }
    for key in &keys {
        let runs = fleet.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        for index in 0..HOSTS {
            let repeat = call(fleet.address(index), &order(key));
            if runs == 1 {
                assert_ne!(outcome_of(&repeat), "not_run", "{key}: {}", repeat.text());
            }
        }
    }
    assert!(keys.iter().any(|it| fleet.runs(it) == 1), "no order ran");
}

/// Guards against a `not_run` that is false, and against an order that is lost although it can
/// be sent again.
#[test]
fn refused_connection_is_not_run() {
    let fleet = Fleet::start(FleetPlan { services: vec![("s1", "a", quick_service())], ..plan() });
    fleet.wait_until_orders_work();
    fleet.services[0].server.stop();
    let answer = call(fleet.address(0), &order("refused"));
    assert_not_run(&answer, &[502, 503]);
    assert_eq!(fleet.runs("refused"), 0);
}

/// Guards against a second run by hosts that take over from one that was lost.
#[test]
fn orders_of_a_lost_host_do_not_run_again() {
    let mut fleet = Fleet::start(plan());
    fleet.wait_until_orders_work();
    let keys: Vec<_> = (0..30).map(|it| format!("before-{it}")).collect();
    for key in &keys {
        let answer = call(fleet.address(0), &order(key));
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let issued = ticket(fleet.address(2), KEY_ONE);
    fleet.routers[2].signal(ProcessSignal::Kill);
    fleet.routers[2].wait_for_exit();
    let mut hosts = fleet.host_entries();
    hosts.pop();
    fleet.platform.set_hosts(hosts);
    for round in 0..3 {
        for key in &keys {
            for index in 0..2 {
                let answer = call(fleet.address(index), &order(key));
                assert!(
                    answer.status == 200 || ["unknown", "not_run"].contains(&&*outcome_of(&answer)),
                    "round {round}: {}",
                    answer.text()
                );
            }
            assert_eq!(fleet.runs(key), 1, "round {round}: {key}");
        }
        // The rounds fall before, around and after the takeover.
        thread::sleep(support::fleet::TAKEOVER_WAIT / 2);
    }
    // Only the lost process could decide about its ticket.
    let answer = call(fleet.address(0), &order(&issued));
    assert_ne!(answer.status, 200);
    assert_eq!(fleet.runs(&issued), 0);
    // New orders run again, also those that the lost host would have owned.
    fleet.routers.pop();
    fleet.wait_until_orders_work();
}

/// Guards against an order in flight whose caller goes away and sends it again elsewhere.
#[test]
fn impatient_caller_does_not_cause_a_second_run() {
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
        let address = fleet.address(number % HOSTS);
        let mut connection = snipepond_standin::CallerConnection::open(address).unwrap();
        connection.send_raw(&request.to_bytes(address)).unwrap();
        wait_for("the order to reach the service", || {
            fleet.services[0].server.stats()["in_flight"] == 1
        });
        drop(connection);
        wait_for("the stored answer", || {
            let answer = call(fleet.address((number + 1) % HOSTS), &request);
            assert_ne!(outcome_of(&answer), "not_run", "{}", answer.text());
            answer.status == 200
        });
        assert_eq!(fleet.runs(&key), 1);
    }
}
