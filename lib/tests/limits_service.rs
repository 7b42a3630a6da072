//! Requests served to teams within their limits, and the cost of a team that exceeds its rate.

mod limits_support;

use snipepond::membership::ViewTiming;

use limits_support::{FleetSim, secs};

/// Guards against lost refill of a team whose burst share is one token. One bucket is full while
/// another one is not; if owners grant whole tokens only, about 84% of the requests are served.
#[test]
fn small_team_combines_fractions_of_tokens() {
    let mut sim = FleetSim::new(5, &[1, 1, 1, 1], &[(4.0, 4)], ViewTiming::default());
    sim.teams[0].offered = 2.8;
    sim.run_until(secs(30));
    sim.reset_stats();
    sim.run_until(secs(230));
    let stats = sim.teams[0].stats;
    let served = stats.admitted as f64 / stats.entitled as f64;
    assert!(served > 0.92, "{served} of the entitled requests served");
    assert!(sim.worst_excess() <= 1e-6);
}

/// Guards against a surging team that causes messages in proportion to its requests, or that
/// causes refusals or delays for another team.
#[test]
fn surging_team_costs_a_bounded_number_of_messages() {
    let run = |offered: f64| {
        let teams = [(40.0, 40), (10.0, 10)];
        let mut sim = FleetSim::new(6, &[2, 2], &teams, ViewTiming::default());
        sim.teams[0].offered = offered;
        sim.teams[1].offered = 5.0;
        sim.run_until(secs(25));
        sim.reset_stats();
        sim.run_until(secs(40));
        assert!(sim.worst_excess() <= 1e-6);
        let other = sim.teams[1].stats;
        assert_eq!(other.refused, 0, "{offered}/s of one team refuse another's");
        let wait_ms = other.wait.as_secs_f64() * 1e3 / other.offered as f64;
        assert!(wait_ms < 5.0, "mean simulated wait {wait_ms} ms");
        sim.token_traffic.0
    };
    let (messages, surge_messages) = (run(200.0), run(2_000.0));
    assert!(surge_messages * 2 < messages * 3, "{messages} messages became {surge_messages}");
}
