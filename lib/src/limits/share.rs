//! The split of a team's limits over the data centres.

use crate::{
    catalogue::{Catalogue, TeamEntry},
    names::{CentreName, TeamName},
    rendezvous,
};

use super::UNITS_PER_TOKEN;

/// One data centre's part of a team's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CentreShare {
    /// Rate in requests per second.
    pub rate: f64,
    /// Burst in thousandths of a token; a whole number of tokens.
    pub burst: u64,
}

impl CentreShare {
    /// Returns the lower rate and the lower burst of two shares.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Returns whether neither part is lower than that of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.rate >= other.rate && self.burst >= other.burst
    }
}

/// A team's limits, split over the data centres that are not decommissioned.
///
/// The shares never add up to more than the limits. It is a function of the catalogue only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitSplit {
    /// Data centres with a share, in the team's rendezvous order.
    parts: Vec<(CentreName, CentreShare)>,
}

impl LimitSplit {
    /// Splits the limits of a team of the catalogue; nothing if the team is unknown.
    pub fn of(catalogue: &Catalogue, team: &TeamName) -> Option<Self> {
        let entry = catalogue.team(team)?;
        Some(Self::split(team, entry, catalogue.sharing_centres()))
    }

    /// Splits a team's limits over data centres.
    ///
    /// Every data centre with a share has at least one token of burst, because a bucket without
    /// a whole token could never admit a request.
    pub fn split<'a>(
        team: &TeamName,
        entry: &TeamEntry,
        centres: impl Iterator<Item = &'a CentreName>,
    ) -> Self {
        let mut ranked = rendezvous::rank(team.as_str(), centres);
        ranked.truncate(entry.burst as usize);
        let count = ranked.len() as u64;
        let burst = u64::from(entry.burst);
        let parts = ranked
            .into_iter()
            .zip(0..)
            .map(|(centre, index): (_, u64)| {
                let tokens = burst / count + u64::from(index < burst % count);
                let part = CentreShare {
                    rate: entry.rate / count as f64,
                    burst: tokens * UNITS_PER_TOKEN,
                };
                (centre.clone(), part)
            })
            .collect();
        Self { parts }
    }

    /// Returns the share of a data centre; nothing at all if it has none.
    pub fn in_centre(&self, centre: &CentreName) -> CentreShare {
        self.parts.iter().find(|it| it.0 == *centre).map_or_else(CentreShare::default, |it| it.1)
    }

    /// Returns the data centres with a share, in the team's rendezvous order.
    pub fn centres(&self) -> impl Iterator<Item = &CentreName> {
        self.parts.iter().map(|it| &it.0)
    }

    /// Returns whether no data centre's share is lower than in `other`.
    pub fn covers(&self, other: &Self) -> bool {
        other.parts.iter().all(|(centre, part)| self.in_centre(centre).covers(*part))
    }
}
