//! The load limit of engines in simulated fleets: few requests reach an engine that holds over twice
//! the mean of its service, plus three.

mod load_simulation;

use std::{ops::RangeInclusive, time::Duration};

use self::load_simulation::{CentreClosure, FleetSettings, LimitReport, LoadSurge, play};

const SECOND: Duration = Duration::from_secs(1);

/// 7 hosts before 9 engines in 4 data centres.
const SMALL: FleetSettings = FleetSettings {
    hosts: 7,
    engines: 9,
    centres: 4,
    requests_per_s: 73.4,
    prompts: 180,
    length: Duration::from_secs(30),
    surge: None,
};

/// 88 hosts before 60 engines in 4 data centres.
const LARGE: FleetSettings = FleetSettings {
    hosts: 88,
    engines: 60,
    centres: 4,
    requests_per_s: 490.0,
    prompts: 180,
    length: Duration::from_secs(24),
    surge: None,
};

/// Closes two data centres for 8 s each, the second half a second after the first.
fn two_closures(first: usize, second: usize) -> [CentreClosure; 2] {
    let closure = |centre, from: Duration| CentreClosure { centre, from, until: from + 8 * SECOND };
    [closure(first, 12 * SECOND), closure(second, 12 * SECOND + SECOND / 2)]
}

/// Plays a run with several seeds, and returns what broke the limit.
fn broken_runs(
    seeds: RangeInclusive<u64>,
    settings: FleetSettings,
    closures: &[CentreClosure],
) -> Vec<(u64, LimitReport)> {
    let runs = seeds.map(|it| (it, play(it, settings, closures)));
    runs.filter(|(_, report)| report.is_broken()).collect()
}

/// Guards against requests that all hosts send to the engine that each of them believes to be the
/// least loaded, while two data centres are closed and 4 of 9 engines take new requests.
#[test]
fn small_fleet_keeps_the_load_limit_while_two_data_centres_are_closed() {
    let broken = broken_runs(1..=10, SMALL, &two_closures(0, 3));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against the same in a fleet whose hosts hear of the load of an engine seconds later.
#[test]
fn large_fleet_keeps_the_load_limit_while_two_data_centres_are_closed() {
    let broken = broken_runs(1..=3, LARGE, &two_closures(0, 2));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against the same where prompts are as many for each engine as in the small fleet, so that
/// affinity alone stays within the limit while all engines are open.
#[test]
fn large_fleet_with_many_prompts_keeps_the_load_limit_while_two_data_centres_are_closed() {
    let settings = FleetSettings { prompts: 1_200, ..LARGE };
    let broken = broken_runs(1..=3, settings, &two_closures(0, 2));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a spread that loads some engines too much although most are open.
#[test]
fn small_fleet_keeps_the_load_limit_while_one_data_centre_is_closed() {
    let broken = broken_runs(1..=5, SMALL, &two_closures(1, 1)[..1]);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Five times the usual load for 8 s.
const SURGE: LoadSurge =
    LoadSurge { multiple: 5.0, from: Duration::from_secs(5), until: Duration::from_secs(13) };

/// Guards against requests that go to engines which still hold what a surge has left there, while
/// the mean has fallen and hosts know the loads of some seconds before.
#[test]
fn large_fleet_keeps_the_load_limit_while_a_surge_drains() {
    let settings = FleetSettings { surge: Some(SURGE), prompts: 500, ..LARGE };
    let broken = broken_runs(1..=2, settings, &[]);
    assert!(broken.is_empty(), "{broken:#?}");
}
