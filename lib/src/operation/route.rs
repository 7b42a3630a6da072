//! Finds the host that decides about an operation.

use std::time::Instant;

use super::{
    ledger::DecisionRights,
    outcome::{NotRunReason, UnknownReason},
    record::OperationId,
    ticket::OperationTicket,
};
use crate::{
    catalogue::Catalogue,
    membership::{HostList, HostRecord},
    names::{CentreName, HostName, TeamName},
    rendezvous,
};

/// Maximum number of hosts to which the record of one operation is offered.
const MAX_BACKUP_CANDIDATES: usize = 2;

/// Look-up of the owner hosts of keys; implemented by the view tracker.
pub trait OwnerLookup {
    /// Returns the owner of the key in a data centre, as far as known to this host.
    fn owner_in(&self, centre: &CentreName, key: &str) -> Option<&HostRecord>;

    /// Returns whether this host may act as the only owner of the key in its data centre.
    fn owns(&self, key: &str, now: Instant) -> bool;
}

/// Where the decision about a request is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision<'a> {
    /// The ledger of this host decides.
    Local,
    /// The ledger of another host decides; the request is forwarded to it, at most once.
    Forward(&'a HostRecord),
    /// It is not known whether the operation ran.
    Unknown(UnknownReason),
    /// The request was not run.
    NotRun(NotRunReason),
}

/// The data centres of a catalogue.
#[derive(Clone, Debug)]
struct CentreSet {
    revision: u64,
    centres: Vec<CentreName>,
}

/// Finds the host that decides about an operation.
///
/// The home data centre of a plain key depends on the set of data centres. Until every host has
/// accepted a change of the set, a key that it moves has no deciding host: the old home stops when
/// it accepts the change, and the new home waits until all hosts have accepted it.
#[derive(Clone, Debug)]
pub struct OperationRouter {
    host: HostName,
    incarnation: u64,
    centre: CentreName,
    /// The newest set last; earlier ones may still be in force on other hosts.
    centre_sets: Vec<CentreSet>,
}

impl OperationRouter {
    /// Creates the router of a process without a catalogue.
    pub fn new(host: &HostName, incarnation: u64, centre: &CentreName) -> Self {
        Self { host: host.clone(), incarnation, centre: centre.clone(), centre_sets: Vec::new() }
    }

    /// Adopts the data centres of a newly accepted catalogue.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        let centres: Vec<CentreName> = catalogue.commissioned_centres().cloned().collect();
        if self.centre_sets.last().is_none_or(|it| it.centres != centres) {
            self.centre_sets.push(CentreSet { revision: catalogue.revision(), centres });
        }
    }

    /// Drops the sets that are no longer in force because every listed host of every data centre
    /// has accepted `revision` or a higher one.
    ///
    /// Returns whether this host may have gained keys and needs a handover.
    pub fn retire_earlier_sets(&mut self, revision: u64) -> bool {
        let known = self.centre_sets.iter().rposition(|it| it.revision <= revision);
        match known {
            Some(index) if index > 0 => {
                self.centre_sets.drain(..index);
                true
            }
            _ => false,
        }
    }

    /// Finds the deciding host for a request received from a caller.
    ///
    /// Must not be used for a forwarded request: the ledger decides about that or refuses it.
    pub fn locate<'a>(
        &self,
        team: &TeamName,
        key: &str,
        list: &'a HostList,
        lookup: &'a dyn OwnerLookup,
    ) -> RouteDecision<'a> {
        if OperationTicket::is_ticket(key) {
            return self.locate_issuer(key, list);
        }
        let id = OperationId::new(team, key);
        let placement_key = id.placement_key();
        let Some(home) = self.home_centre(&placement_key) else {
            return RouteDecision::NotRun(NotRunReason::NoOwner);
        };
        if home == &self.centre && !self.is_home_agreed(&placement_key) {
            return RouteDecision::NotRun(NotRunReason::HomeMoving);
        }
        match lookup.owner_in(home, &placement_key) {
            Some(owner) if owner.name == self.host => RouteDecision::Local,
            Some(owner) => RouteDecision::Forward(owner),
            None => RouteDecision::NotRun(NotRunReason::NoOwner),
        }
    }

    /// Returns whether a data centre is the home of an operation with a plain key.
    pub fn is_home(&self, id: &OperationId, centre: &CentreName) -> bool {
        self.home_centre(&id.placement_key()) == Some(centre)
    }

    /// Returns the host that decides about an operation with a plain key.
    pub fn owner<'a>(
        &self,
        id: &OperationId,
        lookup: &'a dyn OwnerLookup,
    ) -> Option<&'a HostRecord> {
        let placement_key = id.placement_key();
        lookup.owner_in(self.home_centre(&placement_key)?, &placement_key)
    }

    /// Returns the rights of this host for [`OperationLedger`](super::OperationLedger).
    pub fn rights<'a>(&'a self, lookup: &'a dyn OwnerLookup) -> RouterRights<'a> {
        RouterRights { router: self, lookup }
    }

    /// Returns the hosts to which the record is offered for backup, in order.
    ///
    /// They are the first other live hosts of this data centre in rendezvous order or, if there are
    /// none, the first live hosts of the next data centre that has any.
    pub fn backups<'a>(&self, id: &OperationId, list: &'a HostList) -> Vec<&'a HostRecord> {
        let placement_key = id.placement_key();
        let centres = self.centre_sets.last().map_or(&[][..], |it| &it.centres);
        let others =
            rendezvous::rank(&placement_key, centres.iter().filter(|it| **it != self.centre));
        std::iter::once(&self.centre)
            .chain(others)
            .map(|centre| self.ranked_hosts(&placement_key, centre, list))
            .find(|it| !it.is_empty())
            .unwrap_or_default()
    }

    fn ranked_hosts<'a>(
        &self,
        placement_key: &str,
        centre: &CentreName,
        list: &'a HostList,
    ) -> Vec<&'a HostRecord> {
        let names = list
            .hosts
            .iter()
            .filter(|it| it.data_centre == *centre && it.name != self.host)
            .filter(|it| it.state == crate::membership::HostState::Live)
            .map(|it| &it.name);
        rendezvous::rank(placement_key, names)
            .into_iter()
            .take(MAX_BACKUP_CANDIDATES)
            .filter_map(|it| list.host(it))
            .collect()
    }

    fn locate_issuer<'a>(&self, key: &str, list: &'a HostList) -> RouteDecision<'a> {
        let Some(ticket) = OperationTicket::parse(key) else {
            return RouteDecision::NotRun(NotRunReason::InvalidTicket);
        };
        if ticket.host() == &self.host {
            return match ticket.incarnation() == self.incarnation {
                true => RouteDecision::Local,
                false => RouteDecision::Unknown(UnknownReason::IssuerGone),
            };
        }
        match list.host(ticket.host()) {
            Some(issuer) => RouteDecision::Forward(issuer),
            None => RouteDecision::Unknown(UnknownReason::IssuerGone),
        }
    }

    fn home_centre(&self, placement_key: &str) -> Option<&CentreName> {
        rendezvous::first(placement_key, &self.centre_sets.last()?.centres)
    }

    /// Returns whether all sets that may be in force agree on the key's home.
    fn is_home_agreed(&self, placement_key: &str) -> bool {
        let home = self.home_centre(placement_key);
        let mut centre_sets = self.centre_sets.iter();
        centre_sets.all(|it| rendezvous::first(placement_key, &it.centres) == home)
    }
}

/// Right of this host to decide, according to its router and its view of the hosts.
#[derive(Clone, Copy)]
pub struct RouterRights<'a> {
    router: &'a OperationRouter,
    lookup: &'a dyn OwnerLookup,
}

impl DecisionRights for RouterRights<'_> {
    fn may_decide(&self, id: &OperationId, now: Instant) -> bool {
        let placement_key = id.placement_key();
        self.router.home_centre(&placement_key) == Some(&self.router.centre)
            && self.router.is_home_agreed(&placement_key)
            && self.lookup.owns(&placement_key, now)
    }
}
