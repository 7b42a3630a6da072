//! Messages in which hosts tell each other their requests in flight and their demand.
//!
//! Fields are sent by name and those that a release does not know are ignored, so that releases with
//! different fields read each other's reports. A release without these messages responds with status
//! 400.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{HostName, ServiceName, TeamName},
    schedule::{DemandCell, ReportScope, ServiceDemand},
};

/// Version of the message that this release sends. It rises when the meaning of a field changes.
pub const REPORT_VERSION: u32 = 1;

/// Places are sent as multiples of this fraction, which a small number of bytes holds.
const PLACES_PER_UNIT: f32 = 16.0;

/// What a host reports to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostReport {
    /// Version of the message.
    pub version: u32,
    /// The host that sends the report.
    pub sender: HostName,
    /// Whose requests it counts.
    pub scope: ReportScope,
    /// Whose requests the reply is to count.
    pub wanted: ReportScope,
    /// Age of what it says at the receiver, at most, in milliseconds.
    pub lag_ms: u64,
    /// Requests in flight; absent while no host needs them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<InFlightPart>,
    /// Demand; absent while no service is scarce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<DemandPart>,
}

/// Requests in flight by upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightPart {
    /// Number of hosts whose requests they are.
    pub hosts: u32,
    /// Time for which hosts have to report their requests in flight, in milliseconds.
    pub wanted_ms: u32,
    /// Hash of the name of each upstream with requests, and their number.
    pub counts: Vec<(u32, u32)>,
}

/// Demand for the services that are scarce.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DemandPart {
    /// The teams with demand.
    pub teams: Vec<TeamName>,
    /// The services.
    pub services: Vec<DemandEntry>,
}

/// Demand for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DemandEntry {
    /// The service.
    pub service: ServiceName,
    /// Number of hosts whose demand it is.
    pub hosts: u32,
    /// Time for which hosts have to report this service, in milliseconds.
    pub scarce_ms: u32,
    /// Priority, position of the team in the list, and sixteenths of a place.
    pub cells: Vec<(u8, Option<u32>, u32)>,
}

impl DemandPart {
    /// Encodes demand; none if there is none.
    pub fn from_demands(demands: &[ServiceDemand]) -> Option<Self> {
        let mut part = Self::default();
        for demand in demands {
            let cells = demand.cells.iter().map(|it| {
                let team = it.team.as_ref().map(|team| part.team_index(team));
                // Rounded up, so that a small demand does not vanish. Negative and undefined
                // numbers become 0.
                (it.priority, team, (it.places * PLACES_PER_UNIT).ceil() as u32)
            });
            let cells = cells.collect();
            part.services.push(DemandEntry {
                service: demand.service.clone(),
                hosts: demand.hosts as u32,
                scarce_ms: demand.scarce_for.as_millis() as u32,
                cells,
            });
        }
        (!part.services.is_empty()).then_some(part)
    }

    fn team_index(&mut self, team: &TeamName) -> u32 {
        let known = self.teams.iter().position(|it| it == team);
        let index = known.unwrap_or_else(|| {
            self.teams.push(team.clone());
            self.teams.len() - 1
        });
        index as u32
    }

    /// Decodes the demand; cells of a team that the list lacks are left out.
    pub fn into_demands(self) -> Vec<ServiceDemand> {
        let Self { teams, services } = self;
        let cell = |(priority, team, units): (u8, Option<u32>, u32)| {
            let team = match team {
                Some(index) => Some(teams.get(index as usize)?.clone()),
                None => None,
            };
            Some(DemandCell { priority, team, places: units as f32 / PLACES_PER_UNIT })
        };
        let demand = |entry: DemandEntry| ServiceDemand {
            service: entry.service,
            hosts: entry.hosts as usize,
            scarce_for: Duration::from_millis(u64::from(entry.scarce_ms)),
            cells: entry.cells.into_iter().filter_map(&cell).collect(),
        };
        services.into_iter().map(demand).collect()
    }
}
