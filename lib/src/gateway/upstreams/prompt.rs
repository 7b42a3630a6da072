//! Which other upstream has a prompt cached, so that the picked one copies the cached parts instead
//! of computing them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{PickRequest, UpstreamSet, UpstreamState};
use crate::{names::UpstreamName, rendezvous};

/// Time after its first publication from which an upstream is expected to have cached the prompts
/// that rank it first. Requests with the same prompt are some seconds apart.
const MIN_HOLDER_AGE: Duration = Duration::from_secs(4);

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
    /// overloaded. If the chosen upstream lacks the prompt, because it has just joined or replaces
    /// an overloaded one, the highest-scored established upstream has it. That may be a leaving
    /// one, which takes no new requests but still serves its cache.
    pub(super) fn prompt_holder(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        chosen: &UpstreamName,
    ) -> Option<PromptHolder> {
        let key = request.affinity?;
        let score = |it: &&UpstreamState| rendezvous::score_from_hashes(key, it.name_hash, 1.0);
        let others = self
            .upstreams
            .of_service(request.service)
            .filter(|it| it.record.name != *chosen && !request.tried.contains(&it.record.name));
        let holders = others.filter(|it| it.may_hold_prompt(now));
        let holder = holders.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(PromptHolder { name: holder.record.name.clone(), address: holder.record.address })
    }
}

impl UpstreamState {
    fn may_hold_prompt(&self, now: Instant) -> bool {
        let is_established =
            self.joined.is_none_or(|it| now.saturating_duration_since(it) >= MIN_HOLDER_AGE);
        is_established && self.removed_at.is_none() && !self.health.is_unreachable()
    }
}
