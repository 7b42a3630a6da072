//! Index of upstreams by service.

use std::collections::{BTreeMap, HashMap};

use super::UpstreamState;
use crate::names::{ServiceName, UpstreamName};

/// The states of all upstreams, grouped by service.
///
/// There may be thousands of upstreams, and each pick iterates over all of one service. Grouping
/// keeps upstreams of other services out of that iteration; adding or removing one upstream does
/// not touch the others.
#[derive(Debug, Default)]
pub(super) struct UpstreamIndex {
    services: BTreeMap<ServiceName, BTreeMap<UpstreamName, UpstreamState>>,
    service_of: HashMap<UpstreamName, ServiceName>,
    /// Names by their hash, as reports between hosts have them.
    by_hash: HashMap<u32, UpstreamName>,
}

impl UpstreamIndex {
    pub(super) fn len(&self) -> usize {
        self.service_of.len()
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&UpstreamState> {
        self.services.get(self.service_of.get(name)?)?.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut UpstreamState> {
        self.services.get_mut(self.service_of.get(name)?)?.get_mut(name)
    }

    /// Inserts a state, replacing any state of the same name.
    pub(super) fn insert(&mut self, state: UpstreamState) {
        let (name, service) = (state.record.name.clone(), state.record.service.clone());
        self.remove(&name);
        self.service_of.insert(name.clone(), service.clone());
        self.by_hash.insert(state.short_hash(), name.clone());
        self.services.entry(service).or_default().insert(name, state);
    }

    pub(super) fn remove(&mut self, name: &UpstreamName) -> Option<UpstreamState> {
        let service = self.service_of.remove(name)?;
        let states = self.services.get_mut(&service)?;
        let state = states.remove(name);
        if states.is_empty() {
            self.services.remove(&service);
        }
        if let Some(state) = &state {
            self.by_hash.remove(&state.short_hash());
        }
        state
    }

    /// Returns the upstream with this hash of its name.
    pub(super) fn name_of(&self, short_hash: u32) -> Option<&UpstreamName> {
        self.by_hash.get(&short_hash)
    }

    /// Returns the services that have upstreams.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the states of a service, ordered by name.
    pub(super) fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        self.services.get(service).into_iter().flat_map(BTreeMap::values)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &UpstreamState> {
        self.services.values().flat_map(BTreeMap::values)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.services.values_mut().flat_map(BTreeMap::values_mut)
    }
}
