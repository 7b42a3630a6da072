//! Which other upstream has a prompt cached, so that the picked one copies the cached parts instead
//! of computing them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{PickRequest, UpstreamSet, UpstreamState};
use crate::{names::UpstreamName, rendezvous, work::WorkRequest};

/// Time for which an upstream must have been open to picks to be expected to have cached the
/// prompts that rank it first. Requests with the same prompt are some seconds apart.
const MIN_OPEN_TIME: Duration = Duration::from_secs(8);

/// Share of the longest open time of any upstream that is enough as well, so that there are holders
/// soon after the start of this process.
const OPEN_TIME_DIVISOR: u32 = 2;

/// An upstream that probably has parts of a prompt cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptHolder {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Address on which it listens.
    pub address: SocketAddr,
}

impl UpstreamSet {
    /// Returns the upstream, other than the chosen one, that most probably has the prompt cached.
    ///
    /// All hosts send a prompt to the upstream with the highest rendezvous score that is not
    /// overloaded. If this host has sent all shared parts of the prompt to one within the last
    /// seconds, that one is the holder. Otherwise it is inferred:
    /// if the chosen upstream lacks the prompt, because it has just joined or replaces
    /// an overloaded one, the highest-scored upstream that was open to picks for long enough has
    /// it. That may be a leaving one, which takes no new requests but still serves its cache.
    pub(super) fn prompt_holder(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        work: Option<&WorkRequest<'_>>,
        chosen: &UpstreamName,
    ) -> Option<PromptHolder> {
        let key = request.affinity?;
        let score = |it: &&UpstreamState| rendezvous::score_from_hashes(key, it.name_hash, 1.0);
        let others = self
            .upstreams
            .of_service(request.service)
            .filter(|it| it.record.name != *chosen && !request.tried.contains(&it.record.name));
        let is_within_reach = |it: &&UpstreamState| {
            it.removed_at.is_none()
                && !it.health.is_unreachable()
                && it.announcement.pause_left(now).is_none()
        };
        let reachable = others.filter(is_within_reach);
        // Many upstreams have the first parts, which most prompts share.
        let has_shared_parts = |it: &&UpstreamState| {
            work.is_some_and(|work| {
                let shared = work.size.shared_tokens();
                shared > 0 && self.work.cached_tokens(now, &it.record.name, work.size) >= shared
            })
        };
        let known = reachable.clone().filter(has_shared_parts);
        if let Some(it) = known.max_by(|a, b| score(a).total_cmp(&score(b))) {
            let (name, address) = (it.record.name.clone(), it.record.address);
            return Some(PromptHolder { name, address });
        }
        let longest = reachable.clone().map(|it| it.open_time).max()?;
        let min_open_time = MIN_OPEN_TIME.min(longest / OPEN_TIME_DIVISOR);
        let holders = reachable.filter(|it| it.open_time >= min_open_time);
        let holder = holders.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(PromptHolder { name: holder.record.name.clone(), address: holder.record.address })
    }

    /// Adds the time since the last call to the open time of the upstreams that are open to picks.
    pub(super) fn record_open_time(&mut self, now: Instant) {
        let since_last = self.open_time_recorded.map(|it| now.saturating_duration_since(it));
        self.open_time_recorded = Some(now);
        let closed_centres = &self.closed_centres;
        for state in self.upstreams.values_mut() {
            let is_open = !state.record.is_leaving
                && state.announcement.allows_requests(now)
                && state.removed_at.is_none()
                && !state.health.is_unreachable()
                && !state.cold.as_ref().is_some_and(|it| it.is_cold(now))
                && !closed_centres.contains(&state.record.data_centre);
            if is_open {
                state.open_time += since_last.unwrap_or_default();
            }
        }
    }
}
