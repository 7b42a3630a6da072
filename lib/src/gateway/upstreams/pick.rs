//! Choice of an upstream: cached prompt first for engines, least loaded for services.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{PromptHolder, UpstreamSet, UpstreamState};
use crate::{
    names::{ServiceName, UpstreamName},
    rendezvous,
};

/// Load of an engine, as a multiple of the mean, up to which it gets the requests whose prompt it
/// has cached. The bound of the operators is 2; the rest covers the lag of reports.
const AFFINITY_LOAD_MULTIPLE: f64 = 1.7;

/// Requests added to that bound, so that it does not bind when engines are nearly idle.
const AFFINITY_LOAD_SLACK: f64 = 2.5;

/// Load per slot of the own data centre from which a service's upstreams elsewhere are used. Bytes
/// between data centres cost more than a short wait, but a queue costs the latency target.
const LOCAL_LOAD_LIMIT: f64 = 0.5;

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service to run the request.
    pub service: &'a ServiceName,
    /// Hash of the prompt part that requests share; absent for requests without a prompt.
    pub affinity: Option<u64>,
    /// Upstreams that this request was sent to already.
    pub tried: &'a [UpstreamName],
    /// Whether the service has upstreams that need care while they are cold.
    pub has_cold_limit: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickReason {
    /// First in the order of the prompt, and not overloaded.
    Affinity,
    /// Least loaded.
    LeastLoaded,
    /// Least loaded among upstreams that are not in good health; there are no others.
    LastResort,
}

impl PickReason {
    /// Returns the value for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Affinity => "affinity",
            Self::LeastLoaded => "least_loaded",
            Self::LastResort => "last_resort",
        }
    }
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamPick {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Why it was chosen.
    pub reason: PickReason,
    /// Position in the order of the prompt; 0 is first.
    pub rank: usize,
    /// Its estimated load, in requests.
    pub load: f64,
    /// Mean load of the service's upstreams.
    pub mean: f64,
    /// Age of its last load report.
    pub report_age: Option<Duration>,
    /// Another upstream that probably holds the prompt.
    pub prompt_holder: Option<PromptHolder>,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// No upstream of the service is published and takes new work.
    NoneEligible,
    /// All that take new work were tried already.
    AllTried,
    /// All that are left are cold and have their share.
    ColdLimit,
}

impl PickRefusal {
    /// Returns the value for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneEligible => "none_eligible",
            Self::AllTried => "all_tried",
            Self::ColdLimit => "cold_limit",
        }
    }
}

/// A candidate with its estimated load.
struct Candidate<'a> {
    state: &'a UpstreamState,
    load: f64,
    is_sound: bool,
}

impl Candidate<'_> {
    fn relative_load(&self) -> f64 {
        self.load / f64::from(self.state.record.slots.max(1))
    }
}

impl UpstreamSet {
    /// Chooses an upstream, and takes a token of its allowance if it is cold.
    ///
    /// `cold_rate` returns the requests per second that this host may send to a cold upstream.
    pub fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        cold_rate: impl Fn(&UpstreamName) -> f64,
    ) -> Result<UpstreamPick, PickRefusal> {
        let eligible = self.eligible(now, request.service);
        if eligible.is_empty() {
            return Err(PickRefusal::NoneEligible);
        }
        let mean = self.mean_load(now, &eligible);
        let mut untried = Vec::with_capacity(eligible.len());
        let mut has_cold = false;
        for name in eligible {
            if request.tried.contains(&name) {
                continue;
            }
            let state = self.upstreams.get_mut(&name).expect("listed from the map");
            let is_open = !request.has_cold_limit
                || state
                    .cold
                    .as_mut()
                    .is_none_or(|it| !it.is_cold(now) || it.has_token(now, cold_rate(&name)));
            if is_open {
                untried.push(name);
            } else {
                has_cold = true;
            }
        }
        if untried.is_empty() {
            return Err(if has_cold { PickRefusal::ColdLimit } else { PickRefusal::AllTried });
        }
        let mut pick = self.choose(now, request, &untried, mean);
        pick.prompt_holder = self.prompt_holder(now, request, &pick.name);
        let state = self.upstreams.get_mut(&pick.name).expect("chosen from the map");
        if let Some(cold) = state.cold.as_mut().filter(|it| it.is_cold(now)) {
            cold.take();
        }
        Ok(pick)
    }

    /// Returns whether an upstream besides one that runs the request and those tried is in good
    /// health.
    pub fn has_other(&self, now: Instant, service: &ServiceName, tried: &[UpstreamName]) -> bool {
        let is_open = |name: &UpstreamName| {
            !tried.contains(name) && !self.upstreams[name].health.is_unreachable()
        };
        self.eligible(now, service).iter().filter(|it| is_open(it)).count() > 1
    }

    /// Names of the upstreams of a service that take new work.
    fn eligible(&self, now: Instant, service: &ServiceName) -> Vec<UpstreamName> {
        let names = self.services.get(service).into_iter().flatten();
        names
            .filter(|name| {
                let state = &self.upstreams[*name];
                !state.record.is_leaving
                    && state.gone_at.is_none_or(|it| now < it)
                    && !self.closed.contains(&state.record.data_centre)
            })
            .cloned()
            .collect()
    }

    fn choose(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        names: &[UpstreamName],
        mean: f64,
    ) -> UpstreamPick {
        let usual_failure = self.usual_failure(now, names);
        let mut candidates: Vec<Candidate<'_>> = names
            .iter()
            .map(|name| {
                let state = &self.upstreams[name];
                let is_failing = state.health.is_failing(now, usual_failure);
                let is_sound = !is_failing && !state.health.is_unreachable();
                Candidate { state, load: state.load(now, mean), is_sound }
            })
            .collect();
        let has_sound = candidates.iter().any(|it| it.is_sound);
        if has_sound {
            candidates.retain(|it| it.is_sound);
        }
        if let Some(key) = request.affinity {
            let bound = AFFINITY_LOAD_MULTIPLE * mean + AFFINITY_LOAD_SLACK;
            let score = |it: &Candidate<'_>| rendezvous::hashed_score(key, it.state.hash, 1.0);
            candidates.sort_by(|a, b| score(b).total_cmp(&score(a)));
            if let Some(rank) = candidates.iter().position(|it| it.load + 1.0 <= bound)
                && has_sound
            {
                return pick_of(now, &candidates[rank], PickReason::Affinity, rank, mean);
            }
        } else {
            let is_local = |it: &Candidate<'_>| {
                it.state.record.data_centre == self.centre && it.relative_load() < LOCAL_LOAD_LIMIT
            };
            if candidates.iter().any(is_local) {
                candidates.retain(is_local);
            }
        }
        let reason = if has_sound { PickReason::LeastLoaded } else { PickReason::LastResort };
        let by_load = |a: &(usize, &Candidate<'_>), b: &(usize, &Candidate<'_>)| {
            a.1.relative_load().total_cmp(&b.1.relative_load())
        };
        let least = candidates.iter().enumerate().min_by(by_load);
        let (rank, candidate) = least.expect("there is a candidate");
        pick_of(now, candidate, reason, rank, mean)
    }

    /// Mean load of upstreams; there is at least one.
    fn mean_load(&self, now: Instant, names: &[UpstreamName]) -> f64 {
        // Without a report the own requests are all that is known.
        let loads = names.iter().map(|name| self.upstreams[name].load(now, 0.0));
        loads.sum::<f64>() / names.len() as f64
    }

    /// Median of the failure shares.
    fn usual_failure(&self, now: Instant, names: &[UpstreamName]) -> f64 {
        let mut shares: Vec<f64> =
            names.iter().map(|it| self.upstreams[it].health.failure_share(now)).collect();
        shares.sort_by(f64::total_cmp);
        shares[shares.len() / 2]
    }
}

fn pick_of(
    now: Instant,
    candidate: &Candidate<'_>,
    reason: PickReason,
    rank: usize,
    mean: f64,
) -> UpstreamPick {
    let record = &candidate.state.record;
    UpstreamPick {
        name: record.name.clone(),
        address: record.address,
        incarnation: record.incarnation,
        reason,
        rank,
        load: candidate.load,
        mean,
        report_age: candidate.state.report.map(|it| now.saturating_duration_since(it.at)),
        prompt_holder: None,
    }
}
