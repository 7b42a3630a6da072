//! Which upstream holds the parts of a prompt, so that the chosen one copies instead of reading them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{PickRequest, UpstreamSet, UpstreamState};
use crate::{names::UpstreamName, rendezvous};

/// Age of an upstream from which it holds the prompts that it ranks first for. Requests about one
/// subject are some seconds apart.
const MIN_HOLDER_AGE: Duration = Duration::from_secs(4);

/// An upstream that probably holds parts of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptHolder {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
}

impl UpstreamSet {
    /// Returns the upstream that most probably holds the prompt, besides the chosen one.
    ///
    /// All hosts send a prompt to the first of its order that is not overloaded. So if the chosen
    /// upstream lacks it, because it has joined or stands in for an overloaded one, the first of
    /// those that have been there for a while holds it. One that leaves still does.
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
