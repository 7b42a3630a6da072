//! What a host knows of the demand at the others, and its share of a service's room that follows.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{
    DemandCell, HostShare, ReportCoverage, ReportScope, ReportTable, RoomDivision, ShareSource,
    divide,
};
use crate::names::{HostName, ServiceName, TeamName};

/// Time for which hosts go on to report a service after it was last scarce at some host. Longer than
/// the expiry of a report, so that the shares of a service do not fall back between two moments of
/// scarcity.
const SCARCITY_HOLD: Duration = Duration::from_secs(3);

/// Demand for a service at one host or at several.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Number of hosts whose demand it is.
    pub hosts: usize,
    /// Time for which hosts have to report this service.
    pub scarce_for: Duration,
    /// The demand, one cell for each class and team.
    pub cells: Vec<DemandCell>,
}

/// Demand of the hosts of a fleet for the services that are scarce at any of them.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    reports: ReportTable<Vec<ServiceDemand>>,
    /// When hosts stop reporting a service.
    scarce_until: HashMap<ServiceName, Instant>,
    coverage: HashMap<ServiceName, ReportCoverage>,
    live_hosts: usize,
}

impl DemandTable {
    /// Sets the number of hosts that are believed to run, this one included.
    pub fn set_live_hosts(&mut self, count: usize) {
        self.live_hosts = count;
    }

    /// Records that a service is scarce at this host.
    pub fn record_scarcity(&mut self, now: Instant, service: &ServiceName) {
        self.extend_scarcity(service, now + SCARCITY_HOLD);
    }

    fn extend_scarcity(&mut self, service: &ServiceName, until: Instant) {
        let known = self.scarce_until.entry(service.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns the services that hosts have to report, each with the time for which they have to.
    pub fn scarce_services(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, Duration)> {
        let time_left = move |until: &Instant| until.saturating_duration_since(now);
        let services = self.scarce_until.iter().map(move |(name, until)| (name, time_left(until)));
        services.filter(|(_, time_left)| !time_left.is_zero())
    }

    /// Replaces what a host reported before.
    pub fn merge(
        &mut self,
        now: Instant,
        sender: &HostName,
        scope: ReportScope,
        demands: Vec<ServiceDemand>,
    ) {
        for demand in &demands {
            // Bounds what a faulty report of another host can start.
            self.extend_scarcity(&demand.service, now + demand.scarce_for.min(SCARCITY_HOLD));
        }
        let services: Vec<ServiceName> = demands.iter().map(|it| it.service.clone()).collect();
        self.reports.insert(now, sender, scope, demands);
        for service in services {
            let covered = self.covered_hosts(now, &service);
            self.coverage.entry(service).or_default().record(now, covered);
        }
    }

    /// Drops services that are no longer scarce.
    pub fn expire(&mut self, now: Instant) {
        self.scarce_until.retain(|_, until| now < *until);
        let Self { scarce_until, coverage, .. } = self;
        coverage.retain(|service, _| scarce_until.contains_key(service));
    }

    /// Returns what a report to `receiver` says. `own` returns the demand at this host.
    pub fn report(
        &self,
        now: Instant,
        scope: ReportScope,
        receiver: &HostName,
        own: impl Fn(&ServiceName) -> Vec<DemandCell>,
    ) -> Vec<ServiceDemand> {
        let demand = |(service, scarce_for): (&ServiceName, Duration)| {
            let included = self.reports.included(now, scope, receiver).flatten();
            let included = included.filter(|it| it.service == *service);
            let own = own(service);
            let (mut hosts, mut sums) = (1, CellSums::default());
            sums.add(&own);
            for other in included {
                hosts += other.hosts;
                sums.add(&other.cells);
            }
            ServiceDemand { service: service.clone(), hosts, scarce_for, cells: sums.into_cells() }
        };
        self.scarce_services(now).map(demand).collect()
    }

    /// Returns the division of a service's room over the demand of all hosts that report and of this
    /// one. Hosts that never reported keep their even part, which the division leaves out.
    pub fn division(
        &self,
        now: Instant,
        service: &ServiceName,
        own: &[DemandCell],
        room: f64,
    ) -> RoomDivision {
        let covered = self.covered_hosts(now, service);
        let coverage = self.coverage.get(service).copied().unwrap_or_default();
        let room = room * coverage.part(now, covered, self.live_hosts);
        let others = self.demands(now, service).flat_map(|it| &it.cells);
        let cells: Vec<DemandCell> = others.chain(own).cloned().collect();
        divide(&cells, room)
    }

    /// Returns the number of hosts whose demand for a service is known, this one included.
    pub fn covered_hosts(&self, now: Instant, service: &ServiceName) -> usize {
        1 + self.demands(now, service).map(|it| it.hosts).sum::<usize>()
    }

    fn demands(&self, now: Instant, service: &ServiceName) -> impl Iterator<Item = &ServiceDemand> {
        self.reports.values(now).flatten().filter(move |it| it.service == *service)
    }
}

impl ShareSource for DemandTable {
    fn share(
        &self,
        now: Instant,
        service: &ServiceName,
        own: &[DemandCell],
        room: f64,
    ) -> HostShare {
        let covered = self.covered_hosts(now, service);
        if covered == 1 {
            return HostShare { places: room / self.live_hosts.max(1) as f64, is_reported: false };
        }
        let division = self.division(now, service, own, room);
        HostShare { places: division.host_part(own, covered), is_reported: true }
    }
}

/// Cells added up by class and team.
#[derive(Default)]
struct CellSums<'a>(BTreeMap<(u8, Option<&'a TeamName>), f32>);

impl<'a> CellSums<'a> {
    fn add(&mut self, cells: &'a [DemandCell]) {
        for cell in cells {
            *self.0.entry((cell.priority, cell.team.as_ref())).or_default() += cell.places;
        }
    }

    fn into_cells(self) -> Vec<DemandCell> {
        let cell = |((priority, team), places): ((u8, Option<&TeamName>), f32)| DemandCell {
            priority,
            team: team.cloned(),
            places,
        };
        self.0.into_iter().map(cell).collect()
    }
}
