//! The upstreams that are published, with what this host knows of each, and the choice among them.

mod index;
mod pick;
mod presence;
mod prompt;

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use self::index::UpstreamIndex;
pub use self::{
    pick::{PickReason, PickRefusal, PickRequest, UpstreamPick},
    prompt::PromptHolder,
};
use super::{
    cold::ColdBucket,
    health::{AttemptEnd, UpstreamHealth},
    outcomes::OutcomeCount,
};
use crate::{
    names::{CentreName, HostName, ServiceName, UpstreamName},
    rendezvous,
};

/// Age at which a load report counts for 37%; the rest is the mean over the service.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(4);

/// Age up to which a report is told to other hosts; an older one says less than the mean.
const MAX_SHARED_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Reports in one message.
const MAX_SHARED_SAMPLES: usize = 128;

/// An upstream as it is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that it provides.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: CentreName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub is_leaving: bool,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// Changes at each start of the upstream.
    pub incarnation: u64,
}

/// An upstream to which a connection has to be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Requests at an upstream as it reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
}

/// A load report that hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that it ran or had waiting.
    pub requests: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
}

/// The last report, with this host's own requests at that moment.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    reported_at: Instant,
    requests: f64,
    own_in_flight: u32,
}

/// One upstream with everything that this host knows of it.
#[derive(Debug)]
struct UpstreamState {
    record: UpstreamRecord,
    name_hash: u64,
    /// When it was first published; none if it was there before this host knew of any.
    joined: Option<Instant>,
    /// When the upstream stops taking new work; set once it is no longer published.
    removed_at: Option<Instant>,
    cold: Option<ColdBucket>,
    health: UpstreamHealth,
    report: Option<LoadReport>,
    own_in_flight: u32,
}

impl UpstreamState {
    fn new(record: UpstreamRecord) -> Self {
        Self {
            name_hash: rendezvous::hash_parts(&[record.name.as_str()]),
            joined: None,
            record,
            removed_at: None,
            cold: None,
            health: UpstreamHealth::default(),
            report: None,
            own_in_flight: 0,
        }
    }

    /// Requests here, from the last report and the own requests since.
    fn estimated_load(&self, now: Instant, mean: f64) -> f64 {
        let own_in_flight = f64::from(self.own_in_flight);
        let Some(report) = self.report else {
            return own_in_flight.max(mean);
        };
        let age = now.saturating_duration_since(report.reported_at).as_secs_f64();
        let weight = (-age / REPORT_DECAY_TIME.as_secs_f64()).exp();
        let current = report.requests + own_in_flight - f64::from(report.own_in_flight);
        own_in_flight.max(weight * current + (1.0 - weight) * mean)
    }
}

/// Owner of all that is known of upstreams.
#[derive(Debug)]
pub struct UpstreamSet {
    host: HostName,
    centre: CentreName,
    upstreams: UpstreamIndex,
    /// Data centres that take no new work.
    closed_centres: HashSet<CentreName>,
    /// Since when the platform has answered again after its last outage.
    platform_regained: Option<Instant>,
    is_platform_lost: bool,
    /// Entries that vanished a moment ago without notice.
    withdrawn: Vec<(Instant, ServiceName, UpstreamName)>,
}

impl UpstreamSet {
    /// Creates an empty set for a host.
    pub fn new(host: HostName, centre: CentreName) -> Self {
        Self {
            host,
            centre,
            upstreams: UpstreamIndex::default(),
            closed_centres: HashSet::new(),
            platform_regained: None,
            is_platform_lost: false,
            withdrawn: Vec::new(),
        }
    }

    /// Returns the number of upstreams that are known, with those that left a moment ago.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.len() == 0
    }

    /// Counts a request that is about to be sent.
    pub fn request_started(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_in_flight += 1;
        }
    }

    /// Counts the end of a request that was sent.
    pub fn request_ended(&mut self, now: Instant, name: &UpstreamName, end: AttemptEnd) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
            state.health.record(now, end);
        }
    }

    /// Takes a load report that a response carried.
    pub fn record_load(&mut self, now: Instant, name: &UpstreamName, load: ReportedLoad) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let requests = f64::from(load.running) + f64::from(load.waiting);
            state.report =
                Some(LoadReport { reported_at: now, requests, own_in_flight: state.own_in_flight });
        }
    }

    /// Returns the newest reports, for the hosts of the data centre.
    pub fn recent_loads(&self, now: Instant) -> Vec<LoadSample> {
        let samples = self.upstreams.values().filter_map(|state| {
            let report = state.report?;
            let age = now.saturating_duration_since(report.reported_at);
            let is_recent = age < MAX_SHARED_REPORT_AGE;
            is_recent.then(|| LoadSample {
                upstream: state.record.name.clone(),
                requests: report.requests as u32,
                age_ms: age.as_millis() as u32,
            })
        });
        samples.take(MAX_SHARED_SAMPLES).collect()
    }

    /// Takes a report that another host had, if it is newer than the one known here.
    pub fn merge_load(&mut self, now: Instant, sample: &LoadSample) {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        let (Some(state), Some(reported_at)) =
            (self.upstreams.get_mut(&sample.upstream), now.checked_sub(age))
        else {
            return;
        };
        if state.report.is_none_or(|it| it.reported_at < reported_at) {
            // How many of the own requests the report contains is not known; most of them last
            // longer than the report is old.
            let requests = f64::from(sample.requests);
            state.report =
                Some(LoadReport { reported_at, requests, own_in_flight: state.own_in_flight });
        }
    }

    /// Takes how requests of another host of the data centre ended.
    pub fn merge_outcomes(&mut self, now: Instant, name: &UpstreamName, count: OutcomeCount) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.health.merge_outcomes(now, count);
        }
    }

    /// Marks an address as taken by another upstream: this one is gone.
    pub fn address_reused(&mut self, now: Instant, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.removed_at = Some(now);
        }
    }

    /// Doubts an upstream that was not reached until a connection to it is established, and with
    /// `whole_centre` every other upstream of its data centre.
    ///
    /// Returns those that were not ejected before; a connection to each has to be tried.
    pub fn eject(&mut self, name: &UpstreamName, whole_centre: bool) -> Vec<EjectedUpstream> {
        let Some(centre) = self.upstreams.get(name).map(|it| it.record.data_centre.clone()) else {
            return Vec::new();
        };
        let mut ejected = Vec::new();
        for state in self.upstreams.values_mut() {
            let is_meant =
                state.record.name == *name || (whole_centre && state.record.data_centre == centre);
            if is_meant && !state.health.is_unreachable() && state.removed_at.is_none() {
                state.health.set_reachable(false);
                ejected.push(EjectedUpstream {
                    name: state.record.name.clone(),
                    incarnation: state.record.incarnation,
                    address: state.record.address,
                });
            }
        }
        ejected
    }

    /// Ends the eject about an upstream.
    pub fn mark_reachable(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.health.set_reachable(true);
        }
    }

    /// Returns whether this incarnation of an upstream is published and ejected.
    pub fn is_ejected(&self, ejected: &EjectedUpstream) -> bool {
        self.upstreams.get(&ejected.name).is_some_and(|it| {
            it.record.incarnation == ejected.incarnation
                && it.removed_at.is_none()
                && it.health.is_unreachable()
        })
    }
}
