//! Choice of an upstream: prompt affinity within a load bound for engines, least loaded for others.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    FRESH_REPORT_TIME, LoadBasis, MIN_DRAIN_TIME, PromptHolder, REPORT_DECAY_TIME, UpstreamProcess,
    UpstreamSet, UpstreamState, decay,
    spread::{self, SpreadChoice},
};
use crate::{
    names::{ServiceName, UpstreamName},
    rendezvous,
    work::WorkRequest,
};

/// Load of an upstream, as a multiple of the mean and the requests added to it, above which the
/// operators allow it no requests.
const LOAD_LIMIT_MULTIPLE: f64 = 2.0;
const LOAD_LIMIT_SLACK: f64 = 3.0;

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
    /// One of the upstreams over which a prompt with much of the traffic is spread.
    SpreadPrompt,
    /// Answers much earlier than the upstream with the highest rendezvous score.
    Earlier,
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
            Self::SpreadPrompt => "spread_prompt",
            Self::Earlier => "earlier",
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
    /// How many times the usual time work takes at it at the moment.
    pub slowness: f64,
    /// Number of upstreams over which the prompt is spread.
    pub prompt_upstreams: usize,
    /// Estimate of the request's work; none if its size is unknown.
    pub work: Option<PickedWork>,
}

/// Estimated work of a request at the picked upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PickedWork {
    /// Expected time to the first event, or to the response if it is no stream.
    pub first_event: Duration,
    /// Work of the request at the usual speed of the service.
    pub total: Duration,
    /// Work that this host's requests in flight still cause there.
    pub remaining: Duration,
    /// Prompt tokens that are probably cached there.
    pub cached_tokens: u32,
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
pub(super) struct Candidate<'a> {
    pub(super) state: &'a UpstreamState,
    pub(super) load: f64,
    /// Rendezvous score for the prompt; the highest is preferred.
    pub(super) score: f64,
    /// How many times the usual time work takes at the moment.
    pub(super) slowness: f64,
}

/// The candidates for one pick, with what the choice is based on.
pub(super) struct PickSurvey<'a> {
    pub(super) healthy: Vec<Candidate<'a>>,
    pub(super) unhealthy: Vec<Candidate<'a>>,
    /// Mean load of the published upstreams.
    pub(super) mean: f64,
    /// Number of upstreams that take new requests.
    pub(super) open_count: usize,
    /// Number of upstreams over which the prompt is spread.
    pub(super) prompt_upstreams: usize,
}

impl Candidate<'_> {
    /// Returns the requests that it runs at a time, as if it had the usual speed.
    fn capacity(&self) -> f64 {
        f64::from(self.state.record.slots.max(1)) / self.slowness
    }

    fn load_per_slot(&self) -> f64 {
        self.load / self.capacity()
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
        self.pick_for(now, request, None, cold_rate)
    }

    /// Picks an upstream like [`Self::pick`], for a request whose work can be estimated.
    ///
    /// # Errors
    ///
    /// No upstream can take the request; [`PickRefusal`] says why.
    pub fn pick_for(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        work: Option<&WorkRequest<'_>>,
        cold_rate: impl Fn(&UpstreamName) -> f64,
    ) -> Result<UpstreamPick, PickRefusal> {
        let is_admissible = |state: &UpstreamState| {
            !request.has_cold_limit
                || state.cold.as_ref().is_none_or(|it| {
                    !it.is_cold(now) || it.has_token(now, cold_rate(&state.record.name))
                })
        };
        let mut pick = self.choose(now, request, work, is_admissible)?;
        self.draws.advance();
        self.send_rates.entry(request.service.clone()).or_default().record(now);
        if let Some(prompt) = request.affinity {
            let demand = self.prompt_demands.entry(request.service.clone()).or_default();
            demand.record(now, prompt, pick.open_count, pick.mean);
        }
        pick.prompt_holder = self.prompt_holder(now, request, work, &pick.name);
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

    /// Returns the mean load of the upstreams of a service that take new requests.
    pub(super) fn mean_open_load(&self, basis: &LoadBasis, service: &ServiceName) -> f64 {
        mean_load(basis, self.eligible(basis.now, service)).unwrap_or(0.0)
    }

    /// Returns what the estimated loads of the upstreams of a service have in common.
    pub(super) fn load_basis(&self, now: Instant, service: &ServiceName) -> LoadBasis {
        let residence = self.work.residence(service).unwrap_or(REPORT_DECAY_TIME);
        let unlimited = LoadBasis {
            now,
            is_exchanged: self.others.lag(now).is_some(),
            limit: f64::INFINITY,
            drain_time: residence.clamp(MIN_DRAIN_TIME, REPORT_DECAY_TIME),
        };
        if unlimited.is_exchanged {
            return unlimited;
        }
        let published = || self.published_at(now, service);
        let Some(mean) = mean_load(&unlimited, published()) else {
            return unlimited;
        };
        // While loads fall, new reports show it first.
        let mean = fresh_mean(now, published()).map_or(mean, |it| it.min(mean));
        LoadBasis { limit: LOAD_LIMIT_MULTIPLE * mean + LOAD_LIMIT_SLACK, ..unlimited }
    }

    /// Returns the upstreams of a service that are published, also those that take no new requests.
    fn published_at(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        let states = self.upstreams.of_service(service);
        states.filter(move |it| it.removed_at.is_none_or(|at| now < at))
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

    /// Collects the candidates for a pick. Changes nothing.
    ///
    /// # Errors
    ///
    /// No upstream of the service is open and untried.
    pub(super) fn survey(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
    ) -> Result<PickSurvey<'_>, PickRefusal> {
        let basis = self.load_basis(now, request.service);
        let eligible = self.eligible(now, request.service);
        let Some(eligible_mean) = mean_load(&basis, eligible.clone()) else {
            return Err(match self.earliest_return(now, request.service) {
                Some(_) => PickRefusal::AllPaused,
                None => PickRefusal::NoneEligible,
            });
        };
        // The operators bound the load relative to the mean of all published upstreams, including
        // those that take no new requests.
        let open_count = eligible.clone().count();
        let published = self.published_at(now, request.service);
        let mean = mean_load(&basis, published).unwrap_or(eligible_mean);
        let untried: Vec<&UpstreamState> =
            eligible.filter(|it| !request.tried.contains(&it.record.name)).collect();
        if untried.is_empty() {
            return Err(PickRefusal::AllTried);
        }
        let median_failure = median_failure(now, &untried);
        // An upstream that stays slow loses a part of its prompts; one that is slow for a moment
        // loses none, because each prompt that moves is read again.
        let score = |it: &UpstreamState| {
            request.affinity.map_or(0.0, |key| {
                let slowness = self.work.steady_slowness(now, &it.record.name);
                rendezvous::score_from_hashes(key, it.name_hash, 1.0 / slowness.max(1.0))
            })
        };
        let candidates = untried.into_iter().map(|state| Candidate {
            state,
            load: state.estimated_load(&basis, eligible_mean),
            score: score(state),
            slowness: self.work.slowness(now, &state.record.name),
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
        let is_room_known = healthy.iter().all(|it| has_room(it).is_some());
        if is_room_known && healthy.iter().any(|it| has_room(it) == Some(true)) {
            healthy.retain(|it| has_room(it) == Some(true));
        }
        let demand = self.prompt_demands.get(request.service).zip(request.affinity);
        let prompt_upstreams = demand.map_or(1, |(it, prompt)| it.upstreams(now, prompt));
        Ok(PickSurvey { healthy, unhealthy, mean, open_count, prompt_upstreams })
    }

    pub(super) fn choose(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        work: Option<&WorkRequest<'_>>,
        is_admissible: impl Fn(&UpstreamState) -> bool,
    ) -> Result<UpstreamPick, PickRefusal> {
        let survey = self.survey(now, request)?;
        let PickSurvey { healthy, unhealthy, mean, .. } = &survey;
        let is_admissible = |it: &Candidate<'_>| is_admissible(it.state);
        let new_pick = |candidate: &Candidate<'_>, reason, rank| {
            let mut pick = new_pick(now, &survey, candidate, reason, rank);
            pick.work = work.map(|it| self.picked_work(now, &survey, candidate, it));
            pick
        };
        let bound = AFFINITY_LOAD_MULTIPLE * mean + AFFINITY_LOAD_SLACK;
        if request.affinity.is_some() && self.has_room(now, request.service, healthy, bound) {
            let in_bound: Vec<&Candidate<'_>> =
                healthy.iter().filter(|it| it.load + 1.0 <= bound).collect();
            let preferred = self.preferred(now, &survey, in_bound.clone(), work);
            let preferred = preferred.filter(|(it, _)| is_admissible(it)).or_else(|| {
                let first = first_admissible(in_bound, |it| -it.score, is_admissible)?;
                Some((first, PickReason::Affinity))
            });
            if let Some((candidate, reason)) = preferred {
                let rank = healthy.iter().filter(|it| it.score > candidate.score).count();
                return Ok(new_pick(candidate, reason, rank));
            }
        }
        let limit = LOAD_LIMIT_MULTIPLE * mean + LOAD_LIMIT_SLACK;
        for (group, reason) in
            [(healthy, PickReason::LeastLoaded), (unhealthy, PickReason::LastResort)]
        {
            let is_local_with_capacity = |it: &&Candidate<'_>| {
                request.affinity.is_none()
                    && it.state.record.data_centre == self.centre
                    && it.load_per_slot() < MAX_LOCAL_LOAD_PER_SLOT
                    && it.load <= limit
            };
            let local = group.iter().filter(is_local_with_capacity).collect();
            let least = first_admissible(local, Candidate::load_per_slot, is_admissible);
            let least = least.or_else(|| {
                let arrivals =
                    SPREAD_TIME_MULTIPLE * self.unknown_arrivals(now, request.service, group);
                let draw = self.draws.current();
                // Faster upstreams get more requests, but none above the limit while there is one
                // below it.
                let below = group.iter().filter(|it| it.load <= limit).collect();
                spread_admissible(below, arrivals, draw, is_admissible).or_else(|| {
                    spread_admissible(group.iter().collect(), arrivals, draw, is_admissible)
                })
            });
            if let Some(least) = least {
                let load = least.load_per_slot();
                let rank = group.iter().filter(|it| it.load_per_slot() < load).count();
                return Ok(new_pick(least, reason, rank));
            }
        }
        Err(PickRefusal::ColdLimit)
    }
}

/// Returns the mean load of upstreams; none if there are no upstreams.
fn mean_load<'a>(
    basis: &LoadBasis,
    states: impl Iterator<Item = &'a UpstreamState>,
) -> Option<f64> {
    // An upstream without a report counts with this host's requests in flight only.
    let (count, sum) = states
        .fold((0_u32, 0.0), |(count, sum), it| (count + 1, sum + it.estimated_load(basis, 0.0)));
    (count > 0).then(|| sum / f64::from(count))
}

/// Returns the mean reported load, in which new reports count most; none if all of them are old.
fn fresh_mean<'a>(now: Instant, states: impl Iterator<Item = &'a UpstreamState>) -> Option<f64> {
    let reports = states.filter_map(|it| Some((it.reported_load()?, it.report_age(now)?)));
    let (weight, sum) = reports.fold((0.0, 0.0), |(weight, sum), (load, age)| {
        let share = decay(age, FRESH_REPORT_TIME);
        (weight + share, sum + share * load.max(0.0))
    });
    (weight >= 1.0).then(|| sum / weight)
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
    mut candidates: Vec<&'b Candidate<'a>>,
    arrivals: f64,
    draw: f64,
    is_admissible: impl Fn(&Candidate<'a>) -> bool,
) -> Option<&'b Candidate<'a>> {
    loop {
        let candidate = candidates.swap_remove(spread_index(&candidates, arrivals, draw)?);
        if is_admissible(candidate) {
            return Some(candidate);
        }
    }
}

pub(super) fn spread_index(
    candidates: &[&Candidate<'_>],
    arrivals: f64,
    draw: f64,
) -> Option<usize> {
    let choice = |it: &&Candidate<'_>| SpreadChoice { load: it.load, capacity: it.capacity() };
    let choices: Vec<SpreadChoice> = candidates.iter().map(choice).collect();
    spread::choose(&choices, arrivals, draw)
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
    survey: &PickSurvey<'_>,
    candidate: &Candidate<'_>,
    reason: PickReason,
    rank: usize,
) -> UpstreamPick {
    let record = &candidate.state.record;
    UpstreamPick {
        name: record.name.clone(),
        address: record.address,
        incarnation: record.incarnation,
        reason,
        rank,
        load: candidate.load,
        mean: survey.mean,
        own_in_flight: candidate.state.own_in_flight,
        open_count: survey.open_count,
        report_age: candidate.state.report_age(now),
        prompt_holder: None,
        slowness: candidate.slowness,
        prompt_upstreams: survey.prompt_upstreams,
        work: None,
    }
}
