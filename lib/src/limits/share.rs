//! The split of a team's limits over the data centres.

use crate::{
    catalogue::{Catalogue, TeamEntry},
    names::{CentreName, TeamName},
    rendezvous,
};

use super::UNITS_PER_TOKEN;

/// One data centre's share of a team's limits.
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

    /// Returns whether neither rate nor burst is lower than in `other`.
    pub fn covers(self, other: Self) -> bool {
        self.rate >= other.rate && self.burst >= other.burst
    }
}

/// A team's limits, split over the data centres that are not decommissioned.
///
/// The sum of the shares never exceeds the limits. The split depends on the catalogue only, so all
/// hosts with the same revision compute the same one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitSplit {
    /// Data centres with a share, in the team's rendezvous order.
    shares: Vec<(CentreName, CentreShare)>,
}

impl LimitSplit {
    /// Splits the limits of a team of the catalogue; `None` if the team is unknown.
    pub fn of(catalogue: &Catalogue, team: &TeamName) -> Option<Self> {
        let entry = catalogue.team(team)?;
        Some(Self::new(team, entry, catalogue.commissioned_centres()))
    }

    /// Splits a team's limits over data centres.
    ///
    /// Every data centre with a share has a burst of at least one token, because a bucket that
    /// cannot hold a whole token could never admit a request. If the burst is smaller than the
    /// number of data centres, the last ones of the rendezvous order have no share.
    pub fn new<'a>(
        team: &TeamName,
        entry: &TeamEntry,
        centres: impl Iterator<Item = &'a CentreName>,
    ) -> Self {
        let mut ranked = rendezvous::rank(team.as_str(), centres);
        ranked.truncate(entry.burst as usize);
        let count = ranked.len() as u64;
        let burst = u64::from(entry.burst);
        let shares = ranked
            .into_iter()
            .zip(0..)
            .map(|(centre, index): (_, u64)| {
                let tokens = burst / count + u64::from(index < burst % count);
                let share = CentreShare {
                    rate: entry.rate / count as f64,
                    burst: tokens * UNITS_PER_TOKEN,
                };
                (centre.clone(), share)
            })
            .collect();
        Self { shares }
    }

    /// Returns the share of a data centre; rate and burst are 0 if it has none.
    pub fn in_centre(&self, centre: &CentreName) -> CentreShare {
        self.shares.iter().find(|it| it.0 == *centre).map_or_else(CentreShare::default, |it| it.1)
    }

    /// Returns the data centres with a share, in the team's rendezvous order.
    pub fn centres(&self) -> impl Iterator<Item = &CentreName> {
        self.shares.iter().map(|it| &it.0)
    }

    /// Returns whether no data centre's share is lower than in `other`.
    pub fn covers(&self, other: &Self) -> bool {
        other.shares.iter().all(|(centre, share)| self.in_centre(centre).covers(*share))
    }
}
