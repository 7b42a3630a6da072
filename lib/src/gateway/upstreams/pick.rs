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
const LOCAL_LOAD_PER_SLOT: f64 = 0.5;

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
    /// Mean load of the published upstreams of the service.
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

/// An upstream that takes new work and was not tried, with what the choice depends on.
struct Candidate<'a> {
    state: &'a UpstreamState,
    load: f64,
    /// Place in the order of the prompt; the highest is first.
    score: f64,
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
        let is_admissible = |state: &UpstreamState| {
            !request.has_cold_limit
                || state.cold.as_ref().is_none_or(|it| {
                    !it.is_cold(now) || it.has_token(now, cold_rate(&state.record.name))
                })
        };
        let mut pick = self.choose(now, request, is_admissible)?;
        pick.prompt_holder = self.prompt_holder(now, request, &pick.name);
        let state = self.upstreams.get_mut(&pick.name).expect("chosen from the index");
        if let Some(cold) = state.cold.as_mut().filter(|it| it.is_cold(now)) {
            cold.spend(now, cold_rate(&pick.name));
        }
        Ok(pick)
    }

    /// Returns whether an upstream besides one that runs the request and those tried is in good
    /// health.
    pub fn has_healthy_alternative(
        &self,
        now: Instant,
        service: &ServiceName,
        tried: &[UpstreamName],
    ) -> bool {
        let is_healthy =
            |it: &&UpstreamState| !tried.contains(&it.record.name) && !it.health.is_unreachable();
        self.eligible(now, service).filter(is_healthy).nth(1).is_some()
    }

    /// Upstreams of a service that take new work.
    fn eligible(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        self.upstreams.of_service(service).filter(move |it| {
            !it.record.is_leaving
                && it.removed_at.is_none_or(|at| now < at)
                && !self.closed_centres.contains(&it.record.data_centre)
        })
    }

    fn choose(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        is_admissible: impl Fn(&UpstreamState) -> bool,
    ) -> Result<UpstreamPick, PickRefusal> {
        let eligible = self.eligible(now, request.service);
        let Some(eligible_mean) = mean_load(now, eligible.clone()) else {
            return Err(PickRefusal::NoneEligible);
        };
        // Those that take no new work count in the mean that the operators bound the load by.
        let published = self.upstreams.of_service(request.service);
        let published = published.filter(|it| it.removed_at.is_none_or(|at| now < at));
        let mean = mean_load(now, published).unwrap_or(eligible_mean);
        let untried: Vec<&UpstreamState> =
            eligible.filter(|it| !request.tried.contains(&it.record.name)).collect();
        if untried.is_empty() {
            return Err(PickRefusal::AllTried);
        }
        let median_failure = median_failure(now, &untried);
        let score = |it: &UpstreamState| {
            request
                .affinity
                .map_or(0.0, |key| rendezvous::score_from_hashes(key, it.name_hash, 1.0))
        };
        let candidates = untried.into_iter().map(|state| Candidate {
            state,
            load: state.estimated_load(now, eligible_mean),
            score: score(state),
        });
        let is_healthy = |it: &Candidate<'_>| {
            !it.state.health.is_failing(now, median_failure) && !it.state.health.is_unreachable()
        };
        let (healthy, unhealthy): (Vec<_>, Vec<_>) = candidates.partition(is_healthy);
        let is_admissible = |it: &Candidate<'_>| is_admissible(it.state);
        if request.affinity.is_some() {
            let bound = AFFINITY_LOAD_MULTIPLE * mean + AFFINITY_LOAD_SLACK;
            let in_bound = healthy.iter().filter(|it| it.load + 1.0 <= bound).collect();
            if let Some(first) = first_admissible(in_bound, |it| -it.score, is_admissible) {
                let rank = healthy.iter().filter(|it| it.score > first.score).count();
                return Ok(new_pick(now, first, PickReason::Affinity, rank, mean));
            }
        }
        let groups = [(&healthy, PickReason::LeastLoaded), (&unhealthy, PickReason::LastResort)];
        for (group, reason) in groups {
            let is_local_with_capacity = |it: &&Candidate<'_>| {
                request.affinity.is_none()
                    && it.state.record.data_centre == self.centre
                    && it.relative_load() < LOCAL_LOAD_PER_SLOT
            };
            let local = group.iter().filter(is_local_with_capacity).collect();
            let least =
                first_admissible(local, Candidate::relative_load, is_admissible).or_else(|| {
                    first_admissible(
                        group.iter().collect(),
                        Candidate::relative_load,
                        is_admissible,
                    )
                });
            if let Some(least) = least {
                let load = least.relative_load();
                let rank = group.iter().filter(|it| it.relative_load() < load).count();
                return Ok(new_pick(now, least, reason, rank, mean));
            }
        }
        Err(PickRefusal::ColdLimit)
    }
}

/// Returns the open candidate with the lowest key.
///
/// Whether one is open is costly to tell and nearly always true, so it is asked in order.
fn first_admissible<'a, 'b>(
    mut candidates: Vec<&'b Candidate<'a>>,
    key: impl Fn(&Candidate<'a>) -> f64,
    is_admissible: impl Fn(&Candidate<'a>) -> bool,
) -> Option<&'b Candidate<'a>> {
    loop {
        let keyed = candidates.iter().enumerate().map(|(index, it)| (index, key(it)));
        let (index, _) = keyed.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let candidate = candidates.swap_remove(index);
        if is_admissible(candidate) {
            return Some(candidate);
        }
    }
}

/// Mean load of upstreams; none without any.
fn mean_load<'a>(now: Instant, states: impl Iterator<Item = &'a UpstreamState>) -> Option<f64> {
    // Without a report the own requests are all that is known.
    let (count, sum) = states
        .fold((0_u32, 0.0), |(count, sum), it| (count + 1, sum + it.estimated_load(now, 0.0)));
    (count > 0).then(|| sum / f64::from(count))
}

/// Median of the failure shares; there is at least one upstream.
fn median_failure(now: Instant, states: &[&UpstreamState]) -> f64 {
    let mut shares: Vec<f64> = states.iter().map(|it| it.health.failure_share(now)).collect();
    let middle = shares.len() / 2;
    *shares.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn new_pick(
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
        report_age: candidate.state.report.map(|it| now.saturating_duration_since(it.reported_at)),
        prompt_holder: None,
    }
}
