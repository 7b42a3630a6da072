//! Choice of an upstream: prompt affinity within a load bound for engines, least loaded for others.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    PromptHolder, UpstreamProcess, UpstreamSet, UpstreamState,
    spread::{self, SpreadChoice},
};
use crate::{
    names::{ServiceName, UpstreamName},
    rendezvous,
};

/// Load of an engine, as a multiple of the mean, up to which it is picked for prompts that it has
/// cached. The operators require at most 2; the margin covers load reports that lag behind.
const AFFINITY_LOAD_MULTIPLE: f64 = 1.7;

/// Requests added to that bound, so that affinity still works when engines are nearly idle.
const AFFINITY_LOAD_SLACK: f64 = 2.5;

/// Load per slot below which upstreams of the local data centre are preferred. Traffic between data
/// centres costs more than a short wait, but a local queue would miss the latency target.
const MAX_LOCAL_LOAD_PER_SLOT: f64 = 0.5;

/// Multiple of the time until hosts hear of each other's requests for which requests are spread. A
/// choice counts until the others have heard of it and have chosen with that knowledge.
const SPREAD_TIME_MULTIPLE: f64 = 2.0;

/// Parameters of a pick.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service that the request is routed to.
    pub service: &'a ServiceName,
    /// Hash of the prompt part shared with other requests; absent for requests without a prompt.
    pub affinity: Option<u64>,
    /// Upstreams to which earlier attempts of this request were sent.
    pub tried: &'a [UpstreamName],
    /// Whether requests to cold upstreams of the service are rate limited.
    pub has_cold_limit: bool,
    /// Whether healthy upstreams of the own data centre go before all others, because this data
    /// centre seems to be cut off.
    pub prefers_local: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickReason {
    /// Highest rendezvous score for the prompt among upstreams within the load bound.
    Affinity,
    /// Least loaded, or close to it, so that hosts do not all choose the same one.
    LeastLoaded,
    /// Least loaded of the unhealthy upstreams; no healthy one can take the request.
    LastResort,
}

impl PickReason {
    /// Returns the value of the log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Affinity => "affinity",
            Self::LeastLoaded => "least_loaded",
            Self::LastResort => "last_resort",
        }
    }
}

/// The picked upstream, with the inputs of the decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamPick {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Why it was picked.
    pub reason: PickReason,
    /// Number of candidates before it: by rendezvous score for affinity, else by load per slot.
    pub rank: usize,
    /// Its estimated load, in requests.
    pub load: f64,
    /// Mean load of the published upstreams of the service, in requests.
    pub mean: f64,
    /// Requests of this host in flight to it.
    pub own_in_flight: u32,
    /// Number of upstreams of the service that take new requests from this host.
    pub open_count: usize,
    /// Age of its newest load report.
    pub report_age: Option<Duration>,
    /// Another upstream that probably has the prompt cached.
    pub prompt_holder: Option<PromptHolder>,
}

impl UpstreamPick {
    /// Returns the process that was picked.
    pub(in crate::gateway) fn process(&self) -> UpstreamProcess {
        UpstreamProcess { upstream: self.name.clone(), incarnation: self.incarnation }
    }
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// The service has no published upstream that takes new requests.
    NoneEligible,
    /// Every upstream that would take new requests wants none from this host at the moment.
    AllPaused,
    /// Every eligible upstream was tried already.
    AllTried,
    /// Every untried upstream is cold, and this host's rate limit for each is used up.
    ColdLimit,
}

impl PickRefusal {
    /// Returns the value of the log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneEligible => "none_eligible",
            Self::AllPaused => "all_paused",
            Self::AllTried => "all_tried",
            Self::ColdLimit => "cold_limit",
        }
    }
}

/// An eligible, untried upstream with its load and score for one pick.
struct Candidate<'a> {
    state: &'a UpstreamState,
    load: f64,
    /// Rendezvous score for the prompt; the highest is preferred.
    score: f64,
}

impl Candidate<'_> {
    fn load_per_slot(&self) -> f64 {
        self.load / f64::from(self.state.record.slots.max(1))
    }
}

impl UpstreamSet {
    /// Picks an upstream, and spends a token of its rate limit if it is cold.
    ///
    /// `cold_rate` returns the requests per second that this host may send to a cold upstream.
    ///
    /// # Errors
    ///
    /// No upstream can take the request; [`PickRefusal`] says why.
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
        self.draws.advance();
        self.send_rates.entry(request.service.clone()).or_default().record(now);
        pick.prompt_holder = self.prompt_holder(now, request, &pick.name);
        let state = self.upstreams.get_mut(&pick.name).expect("chosen from the index");
        if let Some(cold) = state.cold.as_mut().filter(|it| it.is_cold(now)) {
            cold.spend(now, cold_rate(&pick.name));
        }
        Ok(pick)
    }

    /// Returns whether at least two eligible untried upstreams are reachable: the one that runs the
    /// request now, and an alternative to it.
    pub fn has_reachable_alternative(
        &self,
        now: Instant,
        service: &ServiceName,
        tried: &[UpstreamName],
    ) -> bool {
        let is_alternative =
            |it: &&UpstreamState| !tried.contains(&it.record.name) && !it.health.is_unreachable();
        self.eligible(now, service).filter(is_alternative).nth(1).is_some()
    }

    /// Returns the upstreams of a service that take new requests from this host.
    fn eligible(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        let published = self.published_to_picks(now, service);
        published.filter(move |it| it.announcement.allows_requests(now))
    }

    /// Returns the upstreams of a service that do not leave, whether they are paused or not.
    pub(super) fn published_to_picks(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        self.upstreams.of_service(service).filter(move |it| {
            !it.record.is_leaving
                && !it.announcement.is_leaving()
                && it.removed_at.is_none_or(|at| now < at)
                && !self.closed_centres.contains(&it.record.data_centre)
        })
    }

    /// Returns the mean load of the upstreams of the same service that take new requests.
    pub(super) fn mean_open_load(&self, now: Instant, name: &UpstreamName) -> Option<f64> {
        let service = &self.upstreams.get(name)?.record.service;
        self.mean_load(now, self.eligible(now, service)).or(Some(0.0))
    }

    /// Returns the mean load of upstreams; none if there are no upstreams.
    fn mean_load<'a>(
        &self,
        now: Instant,
        states: impl Iterator<Item = &'a UpstreamState>,
    ) -> Option<f64> {
        let is_exchanged = self.others.lag(now).is_some();
        // An upstream without a report counts with this host's requests in flight only.
        let (count, sum) = states.fold((0_u32, 0.0), |(count, sum), it| {
            (count + 1, sum + it.estimated_load(now, 0.0, is_exchanged))
        });
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns the number of requests that all hosts send to a service until they hear of each
    /// other's requests, or of those of the upstreams that they choose from.
    fn unknown_arrivals(
        &self,
        now: Instant,
        service: &ServiceName,
        candidates: &[Candidate<'_>],
    ) -> f64 {
        let age =
            |it: &Candidate<'_>| Some(now.saturating_duration_since(it.state.report?.reported_at));
        let lag = self.others.lag(now).unwrap_or_else(|| {
            let ages = candidates.iter().filter_map(age);
            ages.sum::<Duration>() / candidates.len().max(1) as u32
        });
        let rate = self.send_rates.get(service).map_or(0.0, |it| it.per_second(now));
        let arrivals = lag.as_secs_f64() * rate * self.host_count as f64;
        // Of what arrives, no more is in flight at a time than the upstreams hold together.
        arrivals.min(candidates.iter().map(|it| it.load).sum())
    }

    /// Returns whether the room below `bound` is enough for what all hosts send until they hear of
    /// each other. With less, they would all send to the few upstreams that have some.
    ///
    /// Without reports of other hosts most upstreams are open, and there is room.
    fn has_room(
        &self,
        now: Instant,
        service: &ServiceName,
        candidates: &[Candidate<'_>],
        bound: f64,
    ) -> bool {
        let room = || candidates.iter().map(|it| (bound - it.load).max(0.0)).sum::<f64>();
        let is_exchanged = self.others.lag(now).is_some();
        !is_exchanged || room() >= self.unknown_arrivals(now, service, candidates)
    }

    fn choose(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        is_admissible: impl Fn(&UpstreamState) -> bool,
    ) -> Result<UpstreamPick, PickRefusal> {
        let eligible = self.eligible(now, request.service);
        let Some(eligible_mean) = self.mean_load(now, eligible.clone()) else {
            return Err(match self.earliest_return(now, request.service) {
                Some(_) => PickRefusal::AllPaused,
                None => PickRefusal::NoneEligible,
            });
        };
        // The operators bound the load relative to the mean of all published upstreams, including
        // those that take no new requests.
        let open_count = eligible.clone().count();
        let published = self.upstreams.of_service(request.service);
        let published = published.filter(|it| it.removed_at.is_none_or(|at| now < at));
        let mean = self.mean_load(now, published).unwrap_or(eligible_mean);
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
        let lag = self.others.lag(now);
        let candidates = untried.into_iter().map(|state| Candidate {
            state,
            load: state.estimated_load(now, eligible_mean, lag.is_some()),
            score: score(state),
        });
        let is_healthy = |it: &Candidate<'_>| {
            !it.state.health.is_failing(now, median_failure) && !it.state.health.is_unreachable()
        };
        let (mut healthy, unhealthy): (Vec<_>, Vec<_>) = candidates.partition(is_healthy);
        let is_local = |it: &Candidate<'_>| it.state.record.data_centre == self.centre;
        if request.prefers_local && healthy.iter().any(is_local) {
            healthy.retain(is_local);
        }
        // One that is full would only queue or reject the request.
        let has_room = |it: &Candidate<'_>| it.state.has_room(now, it.load);
        if healthy.iter().any(has_room) {
            healthy.retain(has_room);
        }
        let is_admissible = |it: &Candidate<'_>| is_admissible(it.state);
        let bound = AFFINITY_LOAD_MULTIPLE * mean + AFFINITY_LOAD_SLACK;
        if request.affinity.is_some() && self.has_room(now, request.service, &healthy, bound) {
            let in_bound = healthy.iter().filter(|it| it.load + 1.0 <= bound).collect();
            if let Some(first) = first_admissible(in_bound, |it| -it.score, is_admissible) {
                let rank = healthy.iter().filter(|it| it.score > first.score).count();
                return Ok(new_pick(now, first, PickReason::Affinity, rank, open_count, mean));
            }
        }
        let groups = [(&healthy, PickReason::LeastLoaded), (&unhealthy, PickReason::LastResort)];
        for (group, reason) in groups {
            let is_local_with_capacity = |it: &&Candidate<'_>| {
                request.affinity.is_none()
                    && it.state.record.data_centre == self.centre
                    && it.load_per_slot() < MAX_LOCAL_LOAD_PER_SLOT
            };
            let local = group.iter().filter(is_local_with_capacity).collect();
            let least = first_admissible(local, Candidate::load_per_slot, is_admissible);
            let least = least.or_else(|| {
                let arrivals =
                    SPREAD_TIME_MULTIPLE * self.unknown_arrivals(now, request.service, group);
                spread_admissible(group, arrivals, self.draws.current(), is_admissible)
            });
            if let Some(least) = least {
                let load = least.load_per_slot();
                let rank = group.iter().filter(|it| it.load_per_slot() < load).count();
                return Ok(new_pick(now, least, reason, rank, open_count, mean));
            }
        }
        Err(PickRefusal::ColdLimit)
    }
}

/// Returns the admissible candidate with the lowest key.
///
/// `is_admissible` is expensive and nearly always true, so it is evaluated lazily in key order.
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

/// Returns the admissible candidate that [`spread::choose`] chooses.
fn spread_admissible<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    arrivals: f64,
    draw: f64,
    is_admissible: impl Fn(&Candidate<'a>) -> bool,
) -> Option<&'b Candidate<'a>> {
    let mut candidates: Vec<&Candidate<'a>> = candidates.iter().collect();
    loop {
        let choice = |it: &&Candidate<'a>| SpreadChoice {
            load: it.load,
            capacity: f64::from(it.state.record.slots.max(1)),
        };
        let choices: Vec<SpreadChoice> = candidates.iter().map(choice).collect();
        let candidate = candidates.swap_remove(spread::choose(&choices, arrivals, draw)?);
        if is_admissible(candidate) {
            return Some(candidate);
        }
    }
}

/// Returns the lower median of the failure shares, so that of two upstreams a single failing one
/// is found. `states` must not be empty.
fn median_failure(now: Instant, states: &[&UpstreamState]) -> f64 {
    let mut shares: Vec<f64> = states.iter().map(|it| it.health.failure_share(now)).collect();
    let middle = (shares.len() - 1) / 2;
    *shares.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn new_pick(
    now: Instant,
    candidate: &Candidate<'_>,
    reason: PickReason,
    rank: usize,
    open_count: usize,
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
        own_in_flight: candidate.state.own_in_flight,
        open_count,
        report_age: candidate.state.report.map(|it| now.saturating_duration_since(it.reported_at)),
        prompt_holder: None,
    }
}
