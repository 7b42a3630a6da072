//! Delays a share that grows at the expense of another data centre.

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

/// The share of one team that is in force here, and the one that the catalogue assigns.
#[derive(Clone, Debug)]
struct GatedShare {
    in_force: CentreShare,
    target: LimitSplit,
    /// Revision that all hosts must confirm before the target is in force.
    waits_for: Option<u64>,
    /// Time since which all hosts are known to have confirmed it.
    confirmed_since: Option<Instant>,
}

/// Decides which share of each team is in force in the host's data centre.
///
/// While hosts are at different revisions, each data centre has at most the lower one of its
/// old and its new share, unless the change lowers no data centre's share. The sum is then never
/// above the higher one of the old and the new limits.
#[derive(Debug)]
pub struct ShareGate {
    host: HostName,
    centre: CentreName,
    revision: u64,
    /// Time for which a host that left the list must still confirm: `takeover_wait`.
    memory: Duration,
    shares: BTreeMap<TeamName, GatedShare>,
    centres: BTreeMap<CentreName, CentreState>,
    /// Hosts of the fleet, with the time at which they were last listed.
    listed: BTreeMap<HostName, (CentreName, Instant)>,
    /// Incarnation and accepted revision of each host.
    confirmed: BTreeMap<HostName, (u64, u64)>,
}

impl ShareGate {
    /// Creates a gate for a host; `memory` is the `takeover_wait`.
    pub fn new(host: &HostRecord, memory: Duration) -> Self {
        Self {
            host: host.name.clone(),
            centre: host.data_centre.clone(),
            revision: 0,
            memory,
            shares: BTreeMap::new(),
            centres: BTreeMap::new(),
            listed: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        }
    }

    /// Takes the catalogue that came into force.
    ///
    /// The shares of the first catalogue are in force at once: a new process does not know
    /// earlier ones.
    pub fn on_catalogue(&mut self, catalogue: &Catalogue) {
        let revision = catalogue.revision();
        self.centres =
            catalogue.centres().iter().map(|(name, entry)| (name.clone(), entry.state)).collect();
        self.shares.retain(|team, _| catalogue.team(team).is_some());
        for team in catalogue.teams().keys() {
            let target = LimitSplit::of(catalogue, team).unwrap_or_default();
            let own = target.in_centre(&self.centre);
            match self.shares.get_mut(team) {
                None => {
                    let share = GatedShare {
                        in_force: own,
                        target,
                        waits_for: None,
                        confirmed_since: None,
                    };
                    self.shares.insert(team.clone(), share);
                }
                Some(share) if share.target != target => {
                    if share.waits_for.is_none() && target.covers(&share.target) {
                        share.in_force = own;
                    } else {
                        share.in_force = share.in_force.min(own);
                        share.waits_for = Some(revision);
                        share.confirmed_since = None;
                    }
                    share.target = target;
                }
                Some(_) => {}
            }
        }
        self.revision = revision;
    }

    /// Notes that a process has accepted a revision.
    ///
    /// A new process may have a lower revision than the one before it on the same host.
    pub fn record_accepted(&mut self, host: &HostName, incarnation: u64, revision: u64) {
        let confirmed = self.confirmed.entry(host.clone()).or_default();
        if confirmed.0 == incarnation {
            confirmed.1 = revision.max(confirmed.1);
        } else {
            *confirmed = (incarnation, revision);
        }
    }

    /// Takes the host list and opens the gate for shares that every host has confirmed.
    ///
    /// Grants made under the old shares may be spent for one more grant lifetime.
    pub fn update(&mut self, now: Instant, hosts: &HostList) {
        for host in &hosts.hosts {
            self.listed.insert(host.name.clone(), (host.data_centre.clone(), now));
        }
        self.listed.retain(|_, (_, at)| now.saturating_duration_since(*at) <= self.memory);
        let listed = &self.listed;
        self.confirmed.retain(|host, _| listed.contains_key(host));
        let Some(lowest) = self
            .listed
            .iter()
            .filter(|(_, (centre, _))| {
                self.centres.get(centre) != Some(&CentreState::Decommissioned)
            })
            .map(|(host, _)| match self.confirmed.get(host) {
                _ if *host == self.host => self.revision,
                Some((_, revision)) => *revision,
                None => 0,
            })
            .min()
        else {
            return;
        };
        for share in self.shares.values_mut() {
            let Some(revision) = share.waits_for else {
                continue;
            };
            if lowest < revision {
                share.confirmed_since = None;
                continue;
            }
            let since = *share.confirmed_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= GRANT_LIFETIME + GRANT_EXPIRY_MARGIN {
                share.in_force = share.target.in_centre(&self.centre);
                share.waits_for = None;
            }
        }
    }

    /// Returns the share of a team that is in force in the own data centre.
    pub fn share(&self, team: &TeamName) -> CentreShare {
        self.shares.get(team).map_or_else(CentreShare::default, |it| it.in_force)
    }

    /// Returns the split of a team's limits that the catalogue assigns, for the token cache.
    pub fn limit_split(&self, team: &TeamName) -> Option<&LimitSplit> {
        self.shares.get(team).map(|it| &it.target)
    }

    /// Returns the shares in force of all teams.
    pub fn shares(&self) -> impl Iterator<Item = (&TeamName, CentreShare)> {
        self.shares.iter().map(|(team, it)| (team, it.in_force))
    }
}
