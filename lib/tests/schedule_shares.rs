//! Shares of a service's room by class, team and host, while hosts, links and releases fail. All
//! time is simulated, and reports are passed by hand.

use std::time::{Duration, Instant};

use snipepond::{
    names::{HostName, ServiceName, TeamName},
    schedule::{
        CellGrant, DemandCell, DemandTable, HostShare, ReportScope, ServiceDemand, ShareSource,
        divide,
    },
};

const MS: Duration = Duration::from_millis(1);
const ROOM: f64 = 18.0;

fn cell(priority: u8, team: &str, places: f32) -> DemandCell {
    DemandCell { priority, team: Some(TeamName::new(team)), places }
}

fn service() -> ServiceName {
    ServiceName::new("orders")
}

/// Hosts that report to each other every 100 ms, or to the first of their data centre.
struct ShareFleet {
    now: Instant,
    tables: Vec<DemandTable>,
    demands: Vec<Vec<DemandCell>>,
    /// Whether a report of one host reaches another one.
    reaches: fn(usize, usize) -> bool,
    is_running: Vec<bool>,
}

impl ShareFleet {
    fn new(demands: Vec<Vec<DemandCell>>) -> Self {
        let now = Instant::now();
        let mut table = DemandTable::default();
        table.set_live_hosts(demands.len());
        Self {
            now,
            tables: vec![table; demands.len()],
            is_running: vec![true; demands.len()],
            demands,
            reaches: |_, _| true,
        }
    }

    fn name(host: usize) -> HostName {
        HostName::new(&format!("h{host}"))
    }

    fn report(&mut self, from: usize, to: usize, scope: ReportScope) {
        if !self.is_running[from] || !self.is_running[to] || !(self.reaches)(from, to) {
            return;
        }
        let own = |_: &ServiceName| self.demands[from].clone();
        let report = self.tables[from].report(self.now, scope, &Self::name(to), own);
        self.tables[to].merge(self.now, &Self::name(from), scope, report);
    }

    /// Lets every host report to every other one for a time.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += 100 * MS;
            for from in 0..self.tables.len() {
                self.tables[from].record_scarcity(self.now, &service());
                for to in (0..self.tables.len()).filter(|it| *it != from) {
                    self.report(from, to, ReportScope::Host);
                }
            }
        }
    }

    /// Lets hosts report to one of `relays`, and these to each other, for a time.
    fn run_with_relays(&mut self, relays: usize, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += 100 * MS;
            for host in 0..self.tables.len() {
                self.tables[host].record_scarcity(self.now, &service());
                if host >= relays {
                    self.report(host, host % relays, ReportScope::Host);
                    self.report(host % relays, host, ReportScope::Others);
                } else {
                    for other in (0..relays).filter(|it| *it != host) {
                        self.report(host, other, ReportScope::Group);
                    }
                }
            }
        }
    }

    fn share(&self, host: usize) -> HostShare {
        self.tables[host].share(self.now, &service(), &self.demands[host], ROOM)
    }

    /// Returns the sum of the shares of running hosts.
    fn sum(&self) -> f64 {
        let running = (0..self.tables.len()).filter(|it| self.is_running[*it]);
        running.map(|it| self.share(it).places).sum()
    }
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 0.05 * expected.max(1.0), "{actual} is not {expected}");
}

fn granted(grants: &[CellGrant]) -> Vec<f64> {
    grants.iter().map(|it| it.granted).collect()
}

/// Guards against a surge of one team that takes the room of the others, while it sends 30 times its
/// usual.
#[test]
fn a_surge_of_one_team_leaves_the_others_what_they_ask_for() {
    let cells = [cell(1, "a", 3.0), cell(1, "b", 2.0), cell(1, "surge", 90.0)];
    let division = divide(&cells, ROOM);
    assert_eq!(granted(&division.grants), [3.0, 2.0, 13.0]);
    let above: Vec<_> = division.above_share().map(|it| it.team.clone().unwrap()).collect();
    assert_eq!(above, [TeamName::new("surge")]);
}

/// Guards against urgent requests that fill the room so that lower classes get none, and against
/// room that is kept for lower classes which do not ask for it.
#[test]
fn lower_classes_keep_a_part_only_while_they_ask_for_it() {
    let division = divide(&[cell(0, "a", 100.0), cell(3, "b", 100.0)], ROOM);
    assert_near(division.grants[1].granted, 1.8);
    assert_near(division.grants.iter().map(|it| it.granted).sum(), ROOM);
    let division = divide(&[cell(0, "a", 100.0), cell(3, "b", 0.5)], ROOM);
    assert_eq!(granted(&division.grants), [17.5, 0.5]);
}

/// Guards against undefined or negative demand of a faulty report that takes or breaks the room.
#[test]
fn silly_demand_counts_as_none() {
    let cells = [cell(0, "a", f32::NAN), cell(0, "b", -9.0), cell(0, "c", 30.0)];
    assert_eq!(granted(&divide(&cells, ROOM).grants), [0.0, 0.0, ROOM]);
}

/// Guards against shares that do not add up to the room, and against a host that pays for the surge
/// at another one.
#[test]
fn shares_follow_the_demand_of_each_host_and_add_up_to_the_room() {
    let demand = |host: usize| match host {
        0 => vec![cell(1, "surge", 60.0)],
        _ => vec![cell(1, "a", 0.25)],
    };
    let mut fleet = ShareFleet::new((0..34).map(demand).collect());
    fleet.run_with_relays(6, 400 * MS);
    assert_near(fleet.sum(), ROOM);
    assert_near(fleet.share(20).places, 0.25);
    assert_near(fleet.share(0).places, ROOM - 33.0 * 0.25);
    // The surge has moved to another host; 300 ms later the share has too.
    fleet.demands.swap(0, 20);
    fleet.run_with_relays(6, 300 * MS);
    assert_near(fleet.sum(), ROOM);
    assert_near(fleet.share(20).places, ROOM - 33.0 * 0.25);
}

/// Guards against room that is left idle: nobody asks for it, and a host that gets a request now
/// must be able to start it.
#[test]
fn room_that_nobody_asks_for_is_spread_evenly() {
    let mut fleet = ShareFleet::new(vec![vec![cell(1, "a", 4.0)], vec![], vec![]]);
    fleet.run(200 * MS);
    assert_near(fleet.share(0).places, 4.0 + 14.0 / 3.0);
    assert_near(fleet.share(1).places, 14.0 / 3.0);
}

/// Guards against a host that has just started and takes the whole room because it knows of no
/// demand, or none because the others report so much.
#[test]
fn a_host_without_reports_has_the_even_part() {
    let demand = vec![cell(1, "a", 10.0)];
    let mut fleet = ShareFleet::new(vec![demand; 9]);
    fleet.reaches = |from, to| from != 8 && to != 8;
    fleet.run(500 * MS);
    assert_eq!(fleet.share(8), HostShare { places: 2.0, is_reported: false });
    // The others leave the part of the host that does not report.
    assert_near(fleet.sum(), ROOM);
    assert!(fleet.share(0).is_reported);
}

/// Guards against room that stays with a host which has lost power with a full queue.
#[test]
fn the_room_of_a_lost_host_returns() {
    let mut fleet = ShareFleet::new(vec![vec![cell(1, "a", 10.0)]; 4]);
    fleet.run(500 * MS);
    assert_near(fleet.share(0).places, ROOM / 4.0);
    fleet.is_running[3] = false;
    fleet.run(1_200 * MS);
    assert_near(fleet.share(0).places, ROOM / 3.0);
}

/// Guards against hosts that stop, or wait for the others, while their data centre is cut off in a
/// surge.
#[test]
fn hosts_of_a_data_centre_that_is_cut_off_share_the_room_that_they_reach() {
    let mut fleet = ShareFleet::new(vec![vec![cell(1, "a", 10.0)]; 9]);
    fleet.run_with_relays(3, 500 * MS);
    fleet.reaches = |from, to| (from % 3 == 0) == (to % 3 == 0);
    fleet.run_with_relays(3, 1_500 * MS);
    let share = fleet.share(3);
    assert!(share.is_reported);
    assert_near(share.places, ROOM / 3.0);
    assert_near(fleet.share(4).places, ROOM / 6.0);
}

/// Guards against shares that rest on the reports of a relay which is gone.
#[test]
fn the_loss_of_all_relays_leaves_the_even_part() {
    let mut fleet = ShareFleet::new(vec![vec![cell(1, "a", 10.0)]; 9]);
    fleet.demands[8] = vec![cell(1, "a", 100.0)];
    fleet.run_with_relays(2, 500 * MS);
    fleet.is_running[..2].fill(false);
    fleet.run_with_relays(2, 1_200 * MS);
    assert_eq!(fleet.share(8), HostShare { places: 2.0, is_reported: false });
    // Two other hosts relay.
    fleet.is_running.rotate_left(2);
    fleet.demands.rotate_left(2);
    fleet.tables.rotate_left(2);
    fleet.run_with_relays(2, 500 * MS);
    assert_near(fleet.sum(), ROOM);
}

/// Guards against a host that was frozen and decides by the reports from before.
#[test]
fn a_host_that_was_frozen_does_not_use_its_old_reports() {
    let mut fleet = ShareFleet::new(vec![vec![]; 3]);
    fleet.demands[0] = vec![cell(1, "a", 30.0)];
    fleet.run(500 * MS);
    assert_near(fleet.share(0).places, ROOM);
    fleet.now += 5_000 * MS;
    assert_eq!(fleet.share(0), HostShare { places: 6.0, is_reported: false });
}

/// Guards against hosts that report to each other for ever because each one's report lets the other
/// go on.
#[test]
fn reports_end_after_a_service_was_last_scarce() {
    let mut fleet = ShareFleet::new(vec![vec![]; 2]);
    fleet.run(500 * MS);
    for _ in 0..40 {
        fleet.now += 100 * MS;
        fleet.report(0, 1, ReportScope::Host);
        fleet.report(1, 0, ReportScope::Host);
    }
    for table in &fleet.tables {
        assert_eq!(table.scarce_services(fleet.now).count(), 0);
    }
}

/// Guards against a faulty report that lets all hosts report for hours.
#[test]
fn a_report_cannot_keep_a_service_scarce_for_long() {
    let now = Instant::now();
    let mut table = DemandTable::default();
    let scarce_for = Duration::from_secs(100_000);
    let demand = ServiceDemand { service: service(), hosts: 1, scarce_for, cells: Vec::new() };
    table.merge(now, &HostName::new("h2"), ReportScope::Host, vec![demand]);
    assert_eq!(table.scarce_services(now + Duration::from_secs(10)).count(), 0);
}
