//! Enforcement of a team's rate and burst across all hosts.

mod support;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use snipepond_standin::{CallerRequest, ProcessSignal};

use self::support::{
    Fleet, FleetPlan, KEY_ONE, assert_not_run,
    fleet::{TAKEOVER_WAIT, quick_service},
    send_request,
};

fn plan() -> FleetPlan {
    FleetPlan {
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "a")],
        services: vec![("s1", "a", quick_service())],
        ..FleetPlan::default()
    }
}

fn lookup() -> CallerRequest {
    CallerRequest::new("GET", "/items/1").bearer_key(KEY_ONE)
}

/// Guards against a team that exceeds its rate and burst by sending to several hosts.
#[test]
fn team_receives_no_more_than_its_rate_over_all_hosts() {
    const RATE: f64 = 20.0;
    const BURST: u32 = 10;
    let fleet = Fleet::start(FleetPlan {
        centres: vec!["a", "b"],
        hosts: vec![("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")],
        rate: RATE,
        burst: BURST,
        ..plan()
    });
    fleet.wait_until_lookups_work();
    // The limit is computed for the time from the first request to the last response, so a slow
    // machine makes it higher and never too low.
    let started = Instant::now();
    let admitted = AtomicU64::new(0);
    let refused = AtomicU64::new(0);
    thread::scope(|scope| {
        for router in &fleet.routers {
            for _ in 0..2 {
                let (admitted, refused) = (&admitted, &refused);
                scope.spawn(move || {
                    while started.elapsed() < Duration::from_secs(3) {
                        let response = send_request(router.address, &lookup());
                        if response.status == 200 {
                            admitted.fetch_add(1, Ordering::SeqCst);
                        } else {
                            assert_not_run(&response, &[429, 503]);
                            refused.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
        }
    });
    let elapsed = started.elapsed().as_secs_f64();
    let limit = RATE * elapsed + f64::from(BURST);
    let admitted = admitted.into_inner();
    assert!(admitted as f64 <= limit, "{admitted} requests in {elapsed:.2} s, limit {limit:.1}");
    assert!(refused.into_inner() > 0, "the team did not reach its limit");
    assert!(admitted > 0, "the team received nothing");
}

/// Guards against refusals of a team that stays within its rate and burst.
#[test]
fn requests_within_the_rate_are_not_refused() {
    let fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    // Sends 60 requests at once and 180 in total; the bucket has had time to fill towards the burst
    // of 1,000.
    thread::sleep(Duration::from_secs(2));
    thread::scope(|scope| {
        for number in 0..60 {
            let address = fleet.address(number % fleet.routers.len());
            scope.spawn(move || {
                for _ in 0..3 {
                    let response = send_request(address, &lookup());
                    assert_eq!(response.status, 200, "{}", response.text());
                }
            });
        }
    });
}

/// Guards against refusals after a planned stop, because a bucket has no owner: a stopping host
/// must release its buckets to other hosts.
#[test]
fn planned_stop_causes_no_refusals() {
    let mut fleet = Fleet::start(plan());
    fleet.wait_until_lookups_work();
    thread::sleep(TAKEOVER_WAIT);
    for _ in 0..2 {
        fleet.publish_leaving(0);
        let mut leaving = fleet.routers.remove(0);
        leaving.signal(ProcessSignal::Terminate);
        let started = Instant::now();
        while started.elapsed() < TAKEOVER_WAIT {
            for router in &fleet.routers {
                let response = send_request(router.address, &lookup());
                assert_eq!(response.status, 200, "{}", response.text());
            }
            thread::sleep(Duration::from_millis(20));
        }
        assert!(leaving.wait_for_exit().success());
        fleet.publish_hosts();
    }
}
