//! Expected work in the choice of an upstream, and a view of a choice without making it.

use std::time::{Duration, Instant};

use super::{
    PickReason, PickRefusal, PickRequest, UpstreamPick, UpstreamSet,
    pick::{Candidate, PickSurvey, PickedWork, spread_index},
};
use crate::{
    names::UpstreamName,
    work::{WorkModel, WorkRequest},
};

/// Candidates of the highest scores that are compared. With two, a prompt that leaves the first one
/// is read once more only.
const COMPARED_CANDIDATES: usize = 2;

/// Part of the latency target that the second upstream has to save a request that would miss it,
/// the reading of the prompt included, before the request leaves the one that has it cached.
const MIN_GAIN_DIVISOR: u32 = 2;

/// An upstream as one pick sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct AssessedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Whether it counts as healthy.
    pub is_healthy: bool,
    /// Its estimated load, in requests.
    pub load: f64,
    /// How many times the usual time work takes at it at the moment.
    pub slowness: f64,
    /// Rendezvous score for the prompt; the highest is preferred.
    pub score: f64,
    /// Estimate of the request's work there; none if its size is unknown.
    pub work: Option<PickedWork>,
}

/// What a pick would be based on, and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct Assessment {
    /// The candidates; those that were tried or take no new requests are missing.
    pub candidates: Vec<AssessedUpstream>,
    /// The pick, or why there is none. Limits of cold upstreams do not count.
    pub pick: Result<UpstreamPick, PickRefusal>,
}

impl UpstreamSet {
    /// Returns what this host has learned of the work of requests.
    pub fn work(&self) -> &WorkModel {
        &self.work
    }

    /// Returns the same, for recording what attempts show.
    pub fn work_mut(&mut self) -> &mut WorkModel {
        &mut self.work
    }

    /// Returns where a request would go now, and why, without sending it.
    pub fn assess(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        work: Option<&WorkRequest<'_>>,
    ) -> Assessment {
        let Ok(survey) = self.survey(now, request) else {
            return Assessment {
                candidates: Vec::new(),
                pick: self.choose(now, request, work, |_| true),
            };
        };
        let assessed = |it: &Candidate<'_>, is_healthy| AssessedUpstream {
            name: it.state.record.name.clone(),
            is_healthy,
            load: it.load,
            slowness: it.slowness,
            score: it.score,
            work: work.map(|work| self.picked_work(now, &survey, it, work)),
        };
        let healthy = survey.healthy.iter().map(|it| assessed(it, true));
        let unhealthy = survey.unhealthy.iter().map(|it| assessed(it, false));
        Assessment {
            candidates: healthy.chain(unhealthy).collect(),
            pick: self.choose(now, request, work, |_| true),
        }
    }

    /// Returns the upstream that a prompt prefers among those within the load bound, and why.
    ///
    /// It is the first in rendezvous order, unless another one of the first few answers much
    /// earlier, with the delay of the requests that run there. A prompt that needs several
    /// upstreams is spread over the first ones.
    pub(super) fn preferred<'a, 'b>(
        &self,
        now: Instant,
        survey: &PickSurvey<'_>,
        mut in_bound: Vec<&'b Candidate<'a>>,
        work: Option<&WorkRequest<'_>>,
    ) -> Option<(&'b Candidate<'a>, PickReason)> {
        let by_score = |a: &&Candidate<'_>, b: &&Candidate<'_>| b.score.total_cmp(&a.score);
        let most = survey.prompt_upstreams.max(COMPARED_CANDIDATES);
        if in_bound.len() > most {
            in_bound.select_nth_unstable_by(most - 1, by_score);
            in_bound.truncate(most);
        }
        in_bound.sort_unstable_by(by_score);
        if survey.prompt_upstreams > 1 {
            in_bound.truncate(survey.prompt_upstreams);
            let arrivals = in_bound.len() as f64;
            let index = spread_index(&in_bound, arrivals, self.draws.current())?;
            return Some((in_bound[index], PickReason::SpreadPrompt));
        }
        let first = in_bound.first().copied()?;
        let Some(work) = work else {
            return Some((first, PickReason::Affinity));
        };
        let cost = |it: &Candidate<'_>| self.cost(now, survey, it, work);
        let first_cost = cost(first);
        if first_cost <= work.target_latency {
            return Some((first, PickReason::Affinity));
        }
        let worth_leaving = first_cost.saturating_sub(work.target_latency / MIN_GAIN_DIVISOR);
        let others = in_bound.iter().skip(1).map(|it| (cost(it), *it));
        let best = others.min_by_key(|(cost, _)| *cost);
        let earlier = best.filter(|(cost, _)| *cost < worth_leaving);
        Some(earlier.map_or((first, PickReason::Affinity), |(_, it)| (it, PickReason::Earlier)))
    }

    /// Returns the expected time to the first event, and the delay that reading the prompt is to
    /// the requests that run there.
    fn cost(
        &self,
        now: Instant,
        survey: &PickSurvey<'_>,
        candidate: &Candidate<'_>,
        work: &WorkRequest<'_>,
    ) -> Duration {
        let picked = self.picked_work(now, survey, candidate, work);
        let read = self.work.estimate(work, picked.cached_tokens).before_first_event;
        let cached = self.work.estimate(work, u32::MAX).before_first_event;
        let slots = f64::from(candidate.state.record.slots.max(1));
        let busy = (candidate.load / slots).clamp(0.0, 1.0);
        picked.first_event + read.saturating_sub(cached).mul_f64(candidate.slowness * busy)
    }

    /// Estimates the work of a request at a candidate.
    pub(super) fn picked_work(
        &self,
        now: Instant,
        survey: &PickSurvey<'_>,
        candidate: &Candidate<'_>,
        work: &WorkRequest<'_>,
    ) -> PickedWork {
        let record = &candidate.state.record;
        // All hosts send a prompt to the first one, so that it has the shared spans even if this
        // host did not send them.
        let is_first = !survey.healthy.iter().any(|it| it.score > candidate.score);
        let shared = work.size.spans.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens = shared.iter().fold(0_u32, |sum, it| sum.saturating_add(it.tokens));
        let seen = self.work.cached_tokens(now, &record.name, work.size);
        let cached_tokens = if is_first { seen.max(shared_tokens) } else { seen };
        let estimate = self.work.estimate(work, cached_tokens);
        let queue_time = self.work.queue_time(work.service, candidate.load, record.slots);
        let first_event = queue_time + estimate.before_first_event;
        PickedWork {
            first_event: first_event.mul_f64(candidate.slowness),
            total: estimate.total(),
            remaining: self.work.remaining(now, &record.name),
            cached_tokens,
        }
    }
}
