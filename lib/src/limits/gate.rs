//! Delays an increased share until every host has accepted the decreases in other data centres.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{CentreShare, GRANT_EXPIRY_MARGIN, GRANT_LIFETIME, LimitSplit};
use crate::{
    catalogue::{Catalogue, CentreState},
    membership::{HostList, HostRecord},
    names::{CentreName, HostName, TeamName},
};

/// The share of one team that is in force in this data centre, and the split that the catalogue
/// assigns.
#[derive(Clone, Debug)]
struct ShareState {
    in_force: CentreShare,
    target: LimitSplit,
    /// Revision that all hosts must have accepted before the target comes into force.
    required_revision: Option<u64>,
    /// When all hosts were first known to have accepted it.
    accepted_since: Option<Instant>,
}

/// Decides which share of each team is in force in the host's data centre.
///
/// While hosts have different revisions, each data centre uses at most the smaller of its old and
/// its new share, unless the change lowers no data centre's share. The sum of the shares then
/// never exceeds the higher of the old and the new limits.
#[derive(Debug)]
pub struct ShareGate {
    host: HostName,
    centre: CentreName,
    revision: u64,
    /// Time for which a host counts that is no longer listed, because it may still run and use its
    /// old share.
    listing_ttl: Duration,
    shares: BTreeMap<TeamName, ShareState>,
    centres: BTreeMap<CentreName, CentreState>,
    /// Data centre of each host, and when the host was last in the host list.
    last_listed: BTreeMap<HostName, (CentreName, Instant)>,
    /// Incarnation and accepted revision of the process on each host.
    accepted: BTreeMap<HostName, (u64, u64)>,
}

impl ShareGate {
    /// Creates a gate for a host; `listing_ttl` has to be [`ViewTiming::takeover_wait`].
    ///
    /// [`ViewTiming::takeover_wait`]: crate::membership::ViewTiming::takeover_wait
    pub fn new(host: &HostRecord, listing_ttl: Duration) -> Self {
        Self {
            host: host.name.clone(),
            centre: host.data_centre.clone(),
            revision: 0,
            listing_ttl,
            shares: BTreeMap::new(),
            centres: BTreeMap::new(),
            last_listed: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    /// Applies the catalogue that came into force.
    ///
    /// The shares of the first catalogue are in force at once, because a new process knows no
    /// earlier ones.
    pub fn on_catalogue(&mut self, catalogue: &Catalogue) {
        let revision = catalogue.revision();
        self.centres =
            catalogue.centres().iter().map(|(name, entry)| (name.clone(), entry.state)).collect();
        self.shares.retain(|team, _| catalogue.team(team).is_some());
        for team in catalogue.teams().keys() {
            let target = LimitSplit::of(catalogue, team).unwrap_or_default();
            let own_share = target.in_centre(&self.centre);
            match self.shares.get_mut(team) {
                None => {
                    let share = ShareState {
                        in_force: own_share,
                        target,
                        required_revision: None,
                        accepted_since: None,
                    };
                    self.shares.insert(team.clone(), share);
                }
                Some(share) if share.target != target => {
                    if share.required_revision.is_none() && target.covers(&share.target) {
                        share.in_force = own_share;
                    } else {
                        share.in_force = share.in_force.min(own_share);
                        share.required_revision = Some(revision);
                        share.accepted_since = None;
                    }
                    share.target = target;
                }
                Some(_) => {}
            }
        }
        self.revision = revision;
    }

    /// Records that a process has accepted a revision.
    ///
    /// A new process may have a lower revision than the previous one on the same host.
    pub fn record_accepted(&mut self, host: &HostName, incarnation: u64, revision: u64) {
        let accepted = self.accepted.entry(host.clone()).or_default();
        if accepted.0 == incarnation {
            accepted.1 = revision.max(accepted.1);
        } else {
            *accepted = (incarnation, revision);
        }
    }

    /// Applies the host list and puts the shares into force that every host has accepted.
    ///
    /// A share comes into force one grant lifetime after that, because grants from the old shares
    /// can be spent until then.
    pub fn update(&mut self, now: Instant, hosts: &HostList) {
        for host in &hosts.hosts {
            self.last_listed.insert(host.name.clone(), (host.data_centre.clone(), now));
        }
        self.last_listed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) <= self.listing_ttl);
        let last_listed = &self.last_listed;
        self.accepted.retain(|host, _| last_listed.contains_key(host));
        let Some(min_accepted) = self
            .last_listed
            .iter()
            .filter(|(_, (centre, _))| {
                self.centres.get(centre) != Some(&CentreState::Decommissioned)
            })
            .map(|(host, _)| match self.accepted.get(host) {
                _ if *host == self.host => self.revision,
                Some((_, revision)) => *revision,
                None => 0,
            })
            .min()
        else {
            return;
        };
        for share in self.shares.values_mut() {
            let Some(revision) = share.required_revision else {
                continue;
            };
            if min_accepted < revision {
                share.accepted_since = None;
                continue;
            }
            let since = *share.accepted_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= GRANT_LIFETIME + GRANT_EXPIRY_MARGIN {
                share.in_force = share.target.in_centre(&self.centre);
                share.required_revision = None;
            }
        }
    }

    /// Returns the share of a team that is in force in this data centre.
    pub fn share(&self, team: &TeamName) -> CentreShare {
        self.shares.get(team).map_or_else(CentreShare::default, |it| it.in_force)
    }

    /// Returns the split of a team's limits that the catalogue assigns.
    pub fn limit_split(&self, team: &TeamName) -> Option<&LimitSplit> {
        self.shares.get(team).map(|it| &it.target)
    }

    /// Returns the share in force of every team in this data centre.
    pub fn shares(&self) -> impl Iterator<Item = (&TeamName, CentreShare)> {
        self.shares.iter().map(|(team, it)| (team, it.in_force))
    }
}
