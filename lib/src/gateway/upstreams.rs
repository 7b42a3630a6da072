//! The published upstreams, this host's state of each, and the choice among them.

mod announcement;
mod in_flight;
mod index;
mod pick;
mod presence;
mod prompt;
mod room;
mod spread;
mod work;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

pub(super) use self::presence::REPUBLISH_TIME;
pub use self::{
    announcement::MAX_PAUSE,
    in_flight::{HostCounts, InFlightCounts, InFlightScope},
    pick::{PickReason, PickRefusal, PickRequest, PickedWork, UpstreamPick},
    prompt::PromptHolder,
    work::{AssessedUpstream, Assessment},
};
use self::{
    announcement::UpstreamAnnouncement,
    in_flight::InFlightTable,
    index::UpstreamIndex,
    room::ObservedRoom,
    spread::{EvenSequence, SendRate},
};
use super::{
    cold::ColdBucket,
    health::{AttemptEnd, UpstreamHealth},
    outcomes::OutcomeCount,
};
use crate::{
    names::{CentreName, HostName, ServiceName, UpstreamName},
    rendezvous,
    work::{PromptDemand, WorkModel, WorkReport},
};

/// Age at which the weight of a load report has decayed to 1/e (37%); the rest of the estimate is
/// the mean over the service.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(4);

/// Shortest time in which an upstream that gets no requests is expected to finish most of those
/// that it holds.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(250);

/// Age at which the weight of a report has decayed to 1/e in the mean that follows falling loads.
const FRESH_REPORT_TIME: Duration = Duration::from_millis(500);

/// Age up to which a report is sent to other hosts; an older one is a worse estimate than the mean.
const MAX_SHARED_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Largest number of load reports in one digest.
const MAX_SHARED_SAMPLES: usize = 128;

/// An upstream as it is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: CentreName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it finishes its requests and takes no new ones.
    pub is_leaving: bool,
    /// Remaining time of its cold start; zero if it is warm.
    pub cold_for: Duration,
    /// Changes at each start of the upstream.
    pub incarnation: u64,
}

/// One process of an upstream; also the message to other hosts that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Changes at each start of the upstream.
    pub incarnation: u64,
}

/// An ejected upstream, to be probed until a connection to it succeeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Incarnation that was ejected; a restarted upstream is not probed for the previous process.
    pub incarnation: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Load that an upstream reports in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// Requests that it runs concurrently at most, if it reports that.
    pub slots: Option<u32>,
    /// Time that work takes on its machine at the moment, in percent of the usual time, if it
    /// reports that.
    pub pace_percent: Option<u32>,
}

/// A load report as hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Requests that it ran or had queued.
    pub requests: u32,
    /// Age of the report when the message was sent, in milliseconds.
    pub age_ms: u32,
}

/// The newest load report of an upstream, with this host's requests in flight to it at that time.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    reported_at: Instant,
    requests: f64,
    own_in_flight: u32,
}

/// What the estimated loads of the upstreams of a service have in common.
#[derive(Clone, Copy, Debug)]
struct LoadBasis {
    now: Instant,
    /// Whether the other hosts report their requests in flight.
    is_exchanged: bool,
    /// Load above which an upstream is not picked while others hold less. One that reported more
    /// has only finished requests since.
    limit: f64,
    /// Time in which an upstream that gets no requests finishes 63% of those that it holds.
    drain_time: Duration,
}

/// One upstream with this host's state of it.
#[derive(Debug)]
struct UpstreamState {
    record: UpstreamRecord,
    name_hash: u64,
    /// Time for which it has been open to picks, as far as this process saw it.
    open_time: Duration,
    /// When the upstream stops taking new requests; set once it is no longer published.
    removed_at: Option<Instant>,
    cold: Option<ColdBucket>,
    health: UpstreamHealth,
    announcement: UpstreamAnnouncement,
    report: Option<LoadReport>,
    /// Requests that it can run, as its reports show.
    room: Option<ObservedRoom>,
    own_in_flight: u32,
    /// Requests in flight of the other hosts, as far as they report them.
    other_in_flight: u32,
}

impl UpstreamState {
    fn new(record: UpstreamRecord) -> Self {
        Self {
            name_hash: rendezvous::hash_parts(&[record.name.as_str()]),
            open_time: Duration::ZERO,
            record,
            removed_at: None,
            cold: None,
            health: UpstreamHealth::default(),
            announcement: UpstreamAnnouncement::default(),
            report: None,
            room: None,
            own_in_flight: 0,
            other_in_flight: 0,
        }
    }

    /// Returns the hash of the name in reports between hosts.
    fn short_hash(&self) -> u32 {
        self.name_hash as u32
    }

    /// Estimates the number of requests at this upstream.
    ///
    /// If the other hosts report their requests in flight, the load is the sum. Otherwise the newest
    /// report of the upstream, corrected by this host's requests since then, decays with its age
    /// towards `mean`, the mean over the service. The estimate is at least this host's requests in
    /// flight.
    fn estimated_load(&self, basis: &LoadBasis, mean: f64) -> f64 {
        if basis.is_exchanged {
            return f64::from(self.own_in_flight) + f64::from(self.other_in_flight);
        }
        let own_in_flight = f64::from(self.own_in_flight);
        let Some(current) = self.reported_load() else {
            return own_in_flight.max(mean);
        };
        let age = self.report_age(basis.now).unwrap_or_default();
        // After a burst the reports of upstreams that were full are the oldest ones: without
        // requests there are no responses. They would keep them out of use for seconds, while the
        // others hold all of the load, and make the mean too high.
        let current = if current > basis.limit {
            (current * decay(age, basis.drain_time)).max(basis.limit)
        } else {
            current
        };
        let weight = decay(age, REPORT_DECAY_TIME);
        own_in_flight.max(weight * current + (1.0 - weight) * mean)
    }

    /// Returns the newest reported load, corrected by this host's requests since then.
    fn reported_load(&self) -> Option<f64> {
        let report = self.report?;
        Some(report.requests + f64::from(self.own_in_flight) - f64::from(report.own_in_flight))
    }

    fn report_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.report?.reported_at))
    }
}

/// Returns the weight of a report of some age.
fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}

/// State of all upstreams at one host.
#[derive(Debug)]
pub struct UpstreamSet {
    host: HostName,
    centre: CentreName,
    upstreams: UpstreamIndex,
    /// Data centres that take no new requests.
    closed_centres: HashSet<CentreName>,
    /// When the last outage of the platform ended.
    last_platform_recovery: Option<Instant>,
    is_platform_down: bool,
    /// Recently removed entries whose upstreams had not announced that they leave, for detecting
    /// leases that expired together.
    withdrawn: Vec<(Instant, ServiceName, UpstreamName)>,
    /// When the open times were last brought up to date.
    open_time_recorded: Option<Instant>,
    /// Requests in flight of the other hosts.
    others: InFlightTable,
    /// Rate at which this host sends requests to each service.
    send_rates: HashMap<ServiceName, SendRate>,
    /// Number of hosts that send requests, this one included.
    host_count: usize,
    /// Makes the choices of hosts with the same knowledge differ.
    draws: EvenSequence,
    work: WorkModel,
    /// Prompts of each service that need more than one upstream.
    prompt_demands: HashMap<ServiceName, PromptDemand>,
}

impl UpstreamSet {
    /// Creates an empty set for a host.
    pub fn new(host: HostName, centre: CentreName) -> Self {
        let offset = rendezvous::unit_fraction(rendezvous::hash_parts(&[host.as_str()]));
        Self {
            others: InFlightTable::default(),
            send_rates: HashMap::new(),
            host_count: 1,
            draws: EvenSequence::new(offset),
            host,
            centre,
            upstreams: UpstreamIndex::default(),
            closed_centres: HashSet::new(),
            last_platform_recovery: None,
            is_platform_down: false,
            withdrawn: Vec::new(),
            open_time_recorded: None,
            work: WorkModel::default(),
            prompt_demands: HashMap::new(),
        }
    }

    /// Returns the number of upstreams, including removed ones that have not expired.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there is no upstream, not even a removed one.
    pub fn is_empty(&self) -> bool {
        self.upstreams.len() == 0
    }

    /// Returns the services that have upstreams.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.upstreams.services()
    }

    /// Sets the number of hosts that send requests, this one included.
    pub fn set_host_count(&mut self, count: usize) {
        self.host_count = count;
    }

    /// Counts a request as in flight before it is sent.
    pub fn request_started(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_in_flight += 1;
        }
    }

    /// Records that a request in flight ended, and its outcome for the upstream's health.
    pub fn request_ended(&mut self, now: Instant, name: &UpstreamName, end: AttemptEnd) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
            state.health.record(now, end);
        }
    }

    /// Records the load report of a response; returns the load that was estimated before it, in
    /// requests, unless the upstream is unknown.
    pub fn record_load(
        &mut self,
        now: Instant,
        name: &UpstreamName,
        load: ReportedLoad,
    ) -> Option<f64> {
        let service = &self.upstreams.get(name)?.record.service;
        let basis = self.load_basis(now, service);
        let mean = self.mean_open_load(&basis, service);
        if let Some(pace_percent) = load.pace_percent {
            self.work.reported(now, name, WorkReport { pace_percent });
        }
        let state = self.upstreams.get_mut(name)?;
        let estimated = state.estimated_load(&basis, mean);
        let requests = f64::from(load.running) + f64::from(load.waiting);
        state.report =
            Some(LoadReport { reported_at: now, requests, own_in_flight: state.own_in_flight });
        state.room = ObservedRoom::after(state.room, now, state.record.slots, &load);
        Some(estimated)
    }

    /// Returns the recent load reports to be sent to the other hosts of the data centre.
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

    /// Merges a report of another host; an older one than that known here changes nothing.
    pub fn merge_load(&mut self, now: Instant, sample: &LoadSample) {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        let (Some(state), Some(reported_at)) =
            (self.upstreams.get_mut(&sample.upstream), now.checked_sub(age))
        else {
            return;
        };
        if state.report.is_none_or(|it| it.reported_at < reported_at) {
            // How many of this host's requests the report includes is unknown. Most requests run
            // longer than the report is old, so all of them are assumed to be included.
            let requests = f64::from(sample.requests);
            state.report =
                Some(LoadReport { reported_at, requests, own_in_flight: state.own_in_flight });
        }
    }

    /// Merges the outcomes of requests of another host of the data centre.
    pub fn merge_outcomes(&mut self, now: Instant, name: &UpstreamName, count: OutcomeCount) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.health.merge_outcomes(now, count);
        }
    }

    /// Removes an upstream from use because another one responded at its address.
    pub fn address_reused(&mut self, now: Instant, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.removed_at = Some(now);
        }
    }

    /// Ejects an upstream that was not reached, and with `whole_centre` every other upstream of its
    /// data centre, until [`Self::mark_reachable`].
    ///
    /// Returns those that were not ejected before; the caller has to probe each of them.
    pub fn eject(&mut self, name: &UpstreamName, whole_centre: bool) -> Vec<EjectedUpstream> {
        let Some(centre) = self.upstreams.get(name).map(|it| it.record.data_centre.clone()) else {
            return Vec::new();
        };
        let mut ejected = Vec::new();
        for state in self.upstreams.values_mut() {
            let is_affected =
                state.record.name == *name || (whole_centre && state.record.data_centre == centre);
            if is_affected && !state.health.is_unreachable() && state.removed_at.is_none() {
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

    /// Ends the ejection of an upstream after a connection to it succeeded.
    pub fn mark_reachable(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.health.set_reachable(true);
        }
    }

    /// Returns whether this incarnation of an upstream is still published and ejected.
    pub fn is_ejected(&self, ejected: &EjectedUpstream) -> bool {
        self.upstreams.get(&ejected.name).is_some_and(|it| {
            it.record.incarnation == ejected.incarnation
                && it.removed_at.is_none()
                && it.health.is_unreachable()
        })
    }
}
