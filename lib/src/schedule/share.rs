//! Division of the room of a service over classes and teams, and from there over hosts.

use std::{collections::BTreeMap, fmt};

use super::DemandCell;
use crate::names::TeamName;

/// Part of the room that is kept for lower classes while they ask for it, so that urgent work that
/// fills the upstreams does not starve them. It is the same part as in the queue of a host
/// ([`QueueSettings::max_overdue_skips`](super::QueueSettings)).
const LOWER_CLASS_PART: f64 = 0.1;

/// What one class and team asked for and what it gets, in places of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct CellGrant {
    /// Priority of the class; 0 is served first.
    pub priority: u8,
    /// Team; absent on routes that are open to all.
    pub team: Option<TeamName>,
    /// Places asked for by all hosts.
    pub demanded: f64,
    /// Places that it may use.
    pub granted: f64,
}

/// Formats the cell for logs: priority, team, places granted and asked for.
impl fmt::Display for CellGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let team = self.team.as_ref().map_or("", TeamName::as_str);
        write!(f, "{}:{team}:{:.1}/{:.1}", self.priority, self.granted, self.demanded)
    }
}

/// The room of a service, divided over classes and teams.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomDivision {
    /// The cells with demand, by priority and team.
    pub grants: Vec<CellGrant>,
    /// Places that nobody asks for.
    pub leftover: f64,
}

/// Divides `room` over the classes and teams that ask for it.
///
/// Classes are served in order of priority, but a part of the room is kept for lower ones. Within a
/// class no team gets more than it asks for, and none gets less than another one unless it asks for
/// less. Cells of the same class and team are added up; negative and undefined places count as none.
pub fn divide(cells: &[DemandCell], room: f64) -> RoomDivision {
    let mut classes: BTreeMap<u8, BTreeMap<Option<&TeamName>, f64>> = BTreeMap::new();
    for cell in cells {
        let places = valid_places(cell.places);
        *classes.entry(cell.priority).or_default().entry(cell.team.as_ref()).or_default() += places;
    }
    let mut below: f64 = classes.values().flat_map(BTreeMap::values).sum();
    let mut left = if room.is_finite() { room.max(0.0) } else { 0.0 };
    let mut grants = Vec::new();
    for (priority, teams) in classes {
        below -= teams.values().sum::<f64>();
        let kept = below.clamp(0.0, LOWER_CLASS_PART * left);
        let limit = fair_limit(teams.values().copied().collect(), left - kept);
        for (team, demanded) in teams {
            let granted = demanded.min(limit);
            left -= granted;
            grants.push(CellGrant { priority, team: team.cloned(), demanded, granted });
        }
    }
    RoomDivision { grants, leftover: left.max(0.0) }
}

impl RoomDivision {
    /// Returns the places of a host that itself has the demand `own`, which the division includes.
    ///
    /// What nobody asks for is the same for each of `host_count` hosts.
    pub fn host_part(&self, own: &[DemandCell], host_count: usize) -> f64 {
        let part = |cell: &DemandCell| {
            let grant = self.grant(cell.priority, cell.team.as_ref())?;
            (grant.demanded > 0.0)
                .then(|| valid_places(cell.places) / grant.demanded * grant.granted)
        };
        let asked: f64 = own.iter().filter_map(part).sum();
        asked + self.leftover / host_count.max(1) as f64
    }

    /// Returns the cells that ask for more than they get.
    pub fn above_share(&self) -> impl Iterator<Item = &CellGrant> {
        self.grants.iter().filter(|it| it.demanded > it.granted * (1.0 + f64::EPSILON))
    }

    fn grant(&self, priority: u8, team: Option<&TeamName>) -> Option<&CellGrant> {
        let key = (priority, team);
        let index = self.grants.binary_search_by(|it| (it.priority, it.team.as_ref()).cmp(&key));
        self.grants.get(index.ok()?)
    }
}

/// Returns the most that one team may get, so that all together get `room` or what they ask for.
pub(super) fn fair_limit(mut demands: Vec<f64>, room: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = room.max(0.0);
    for (index, demand) in demands.iter().enumerate() {
        let even = left / (demands.len() - index) as f64;
        if *demand > even {
            return even;
        }
        left -= demand;
    }
    f64::INFINITY
}

fn valid_places(places: f32) -> f64 {
    if places.is_finite() { f64::from(places.max(0.0)) } else { 0.0 }
}
