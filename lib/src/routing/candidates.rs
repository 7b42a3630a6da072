//! Index of the upstreams that may serve each model or service, built once per catalogue revision.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{
    catalogue::{Catalogue, UpstreamEntry, UpstreamKind},
    names::{CentreName, UpstreamName},
    rendezvous,
    routing::load::LoadIndex,
};

/// An upstream that takes new work.
#[derive(Clone, Debug)]
pub(super) struct CandidateUpstream {
    pub(super) name: UpstreamName,
    pub(super) address: SocketAddr,
    pub(super) name_hash: u64,
    pub(super) capacity: f64,
    pub(super) cold_allowance: u32,
    pub(super) warmup: Duration,
    pub(super) load_index: LoadIndex,
}

/// Candidates for one model or service, the nearest group first.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateGroups {
    pub(super) groups: [Vec<CandidateUpstream>; 3],
}

/// Candidates by model and by service.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateIndex {
    models: HashMap<String, CandidateGroups>,
    services: HashMap<String, CandidateGroups>,
}

impl CandidateIndex {
    /// Builds the index for a host in `centre`.
    ///
    /// `load_index_of` returns the position of an upstream in the load table.
    pub(super) fn build(
        centre: &CentreName,
        catalogue: &Catalogue,
        mut load_index_of: impl FnMut(&UpstreamName) -> LoadIndex,
    ) -> Self {
        let mut index = Self::default();
        for (name, entry) in catalogue.upstreams() {
            if !catalogue.takes_new_work(entry) {
                continue;
            }
            let candidate = CandidateUpstream {
                name: name.clone(),
                address: entry.address,
                name_hash: rendezvous::hash_parts(&[name.as_str()]),
                capacity: f64::from(entry.capacity.max(1)),
                cold_allowance: entry.cold_allowance,
                warmup: Duration::from_millis(entry.warmup_ms),
                load_index: load_index_of(name),
            };
            let group = group_index(centre, catalogue, entry);
            match entry.kind {
                UpstreamKind::Engine => {
                    for model in &entry.models {
                        add_candidate(&mut index.models, model.as_str(), group, &candidate);
                    }
                }
                UpstreamKind::Service => {
                    if let Some(service) = &entry.service {
                        add_candidate(&mut index.services, service.as_str(), group, &candidate);
                    }
                }
            }
        }
        index
    }

    pub(super) fn model(&self, name: &str) -> Option<&CandidateGroups> {
        self.models.get(name)
    }

    pub(super) fn service(&self, name: &str) -> Option<&CandidateGroups> {
        self.services.get(name)
    }
}

fn add_candidate(
    groups_by_name: &mut HashMap<String, CandidateGroups>,
    key: &str,
    group: usize,
    candidate: &CandidateUpstream,
) {
    groups_by_name.entry(key.to_owned()).or_default().groups[group].push(candidate.clone());
}

/// Returns the group of an upstream: 0 for services in the data centre of this host, 1 for its
/// region, 2 for other regions. Engines of this data centre are in group 1 with those of the region.
fn group_index(centre: &CentreName, catalogue: &Catalogue, entry: &UpstreamEntry) -> usize {
    let region_of = |name| catalogue.centres().get(name).map(|it| it.region.as_str());
    if entry.kind == UpstreamKind::Service && entry.data_centre == *centre {
        0
    } else if region_of(&entry.data_centre) == region_of(centre) {
        1
    } else {
        2
    }
}
