//! Choice among the candidates of a request: affinity, load bound, cold limit, and least load.

use std::{
    collections::{BinaryHeap, HashMap},
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    catalogue::Catalogue,
    names::{CentreName, HostName, ModelName, ServiceName, UpstreamName},
    rendezvous,
    routing::{
        candidates::{CandidateIndex, CandidateUpstream},
        cold::{ColdLimiter, ColdNotice, ColdPhase, ColdReason, HostSet},
        load::{LoadEstimate, LoadReport, LoadSettings, LoadSummary, LoadTable, ReportEffect},
    },
};

/// Share of an upstream's capacity below which the load bound does not apply to a host's only
/// request there. A nearly idle engine is not overloaded, and a chat that moves loses its cache.
const IDLE_CAPACITY_SHARE: f64 = 1.0 / 8.0;

/// Skipped upstreams that an outcome describes; the others are only counted.
const MAX_SKIPPED_DETAILS: usize = 8;

/// Slots of [`RecentChatTable`]: several times the number of chats that a host sees in
/// [`RoutingSettings::hot_window`].
const RECENT_CHAT_SLOTS: usize = 1024;

/// Makes the ramp-up decision of a chat independent of its rendezvous order.
const RAMP_SALT: u64 = 0x7261_6d70;

/// Makes the rounding of a host's quota independent of other uses of the hash.
const QUOTA_SALT: u64 = 0x7175_6f74;

/// Share of the span between the mean load and the load bound that hot chats may use.
///
/// The rest stays free for the other chats of the engine, which would otherwise move away.
const HOT_CHAT_HEADROOM_SHARE: f64 = 0.5;

/// Settings of an [`UpstreamPicker`].
#[derive(Clone, Copy, Debug)]
pub struct RoutingSettings {
    /// Time constants of the load estimates.
    pub load: LoadSettings,
    /// Longest ramp-up of an upstream that became warm or returned.
    pub max_ramp_up: Duration,
    /// Time for which an upstream is skipped after it refused a connection.
    pub refusal_backoff: Duration,
    /// A chat with three requests at this host within this time counts as hot.
    ///
    /// A chat that sends its requests one after another rarely has that many.
    pub hot_window: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            load: LoadSettings::default(),
            max_ramp_up: Duration::from_secs(30),
            refusal_backoff: Duration::from_secs(1),
            hot_window: Duration::from_secs(8),
        }
    }
}

/// Model or service that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickTarget<'a> {
    /// Any engine that serves this model.
    Model(&'a ModelName),
    /// Any upstream of this service.
    Service(&'a ServiceName),
}

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Model or service that the request is for.
    pub target: PickTarget<'a>,
    /// Chat that the request continues; an engine may hold its prefix in the cache.
    pub chat: Option<&'a str>,
    /// Request id; hashed to spread requests without a chat over the upstreams.
    pub request_id: &'a str,
    /// Estimated work in tokens.
    pub work: u64,
    /// Upstreams that already failed for this request, which are skipped.
    pub tried: &'a [UpstreamName],
}

/// Why an upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickReason {
    /// First acceptable upstream in the rendezvous order of the chat.
    ChatOrder,
    /// Less loaded one of the first two acceptable upstreams, for a request without a chat.
    LessLoaded,
    /// All were over their bound, in ramp-up or at the quota of a hot chat; this one has the least
    /// load.
    LeastLoaded,
}

impl fmt::Display for PickReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ChatOrder => "first acceptable one in the order of the chat",
            Self::LessLoaded => "less loaded of the first two acceptable ones",
            Self::LeastLoaded => "least loaded, none is within its bound",
        })
    }
}

/// Why an upstream was not picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SkipReason {
    /// It already failed for this request.
    Tried,
    /// It refused a connection within [`RoutingSettings::refusal_backoff`].
    Refused,
    /// It is cold or unknown, and all slots of this host are in use.
    NoColdSlot(ColdPhase),
    /// It has as many requests as its capacity.
    Full,
    /// It is cold or in ramp-up, and the chat is not in the share of its chats that it receives.
    RampUp(f64),
    /// Its load with this request is above the bound.
    OverBound,
    /// The chat is hot, and this host has reached its quota of requests there.
    HotChat,
    /// The other one of the first two acceptable upstreams has less load.
    MoreLoaded,
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tried => f.write_str("already tried for this request"),
            Self::Refused => f.write_str("refused a connection a moment ago"),
            Self::NoColdSlot(ColdPhase::Cold(reason)) => {
                write!(f, "cold ({reason}) and no free slot of this host")
            }
            Self::NoColdSlot(_) => f.write_str("state unknown and no free slot of this host"),
            Self::Full => f.write_str("at capacity"),
            Self::RampUp(share) => {
                write!(f, "takes {:.0}% of its chats, not this one", share * 100.0)
            }
            Self::OverBound => f.write_str("over the load bound"),
            Self::HotChat => f.write_str("hot chat and no free place of this host"),
            Self::MoreLoaded => f.write_str("more loaded than the other choice"),
        }
    }
}

/// An upstream that was not picked.
#[derive(Clone, Debug, PartialEq)]
pub struct SkippedUpstream {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Number of candidates that were considered before it.
    pub rank: usize,
    /// Estimated load.
    pub estimate: LoadEstimate,
    /// Why it was not picked.
    pub reason: SkipReason,
}

/// A picked upstream, with the data behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamPick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Number of candidates that were considered before it.
    pub rank: usize,
    /// Why it was picked.
    pub reason: PickReason,
    /// Estimated load before this request.
    pub estimate: LoadEstimate,
    /// Mean load for its capacity and chat share, in tokens (requests for services).
    pub mean: f64,
    /// Load bound that applied, in the unit of `mean`.
    pub bound: f64,
    /// Its cold-start phase.
    pub phase: ColdPhase,
    /// The first few of the upstreams that were considered and not picked.
    pub skipped: Vec<SkippedUpstream>,
    /// Number of upstreams that were considered and not picked.
    pub skipped_count: usize,
}

/// Outcome of a pick.
#[derive(Clone, Debug, PartialEq)]
pub enum PickOutcome {
    /// An upstream may receive the request.
    Picked(UpstreamPick),
    /// Upstreams exist, but none may receive the request now; it waits.
    Busy {
        /// The first few of the skipped upstreams.
        skipped: Vec<SkippedUpstream>,
        /// Number of skipped upstreams.
        skipped_count: usize,
    },
    /// No upstream of the catalogue takes new work for the target, or all were tried.
    NoneEligible,
}

/// How a request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishKind {
    /// With a complete response.
    Complete,
    /// The connection was refused; nothing was sent.
    Refused,
    /// The upstream was lost: the connection broke, or the response is incomplete.
    UpstreamLost,
    /// The caller or the router cancelled it; this says nothing about the upstream.
    Cancelled,
}

/// Candidate with its score for a request; the maximum is the first in rendezvous order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedCandidate {
    score: f64,
    position: usize,
}

impl Eq for OrderedCandidate {}

impl Ord for OrderedCandidate {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // Positions follow the order of the names, so that every host breaks ties in the same way.
        self.score.total_cmp(&other.score).then_with(|| other.position.cmp(&self.position))
    }
}

impl PartialOrd for OrderedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Whether an upstream takes new work, and since when.
#[derive(Clone, Copy, Debug)]
struct UpstreamAvailability {
    takes_new_work: bool,
    since: Instant,
}

/// A chat with the times of its last two requests at this host, the latest first.
#[derive(Clone, Copy, Debug)]
struct RecentChat {
    hash: u64,
    requests: [Option<Instant>; 2],
}

/// Recent chats in a table indexed by hash; a chat replaces an earlier one in the same slot.
#[derive(Clone, Debug, Default)]
struct RecentChatTable {
    slots: Vec<Option<RecentChat>>,
}

impl RecentChatTable {
    /// Records a request of a chat and returns whether it is the third within `window`.
    fn record_request(&mut self, now: Instant, hash: u64, window: Duration) -> bool {
        if self.slots.is_empty() {
            self.slots.resize(RECENT_CHAT_SLOTS, None);
        }
        let slot = &mut self.slots[hash as usize % RECENT_CHAT_SLOTS];
        let [last, second_last] = match slot {
            Some(chat) if chat.hash == hash => chat.requests,
            _ => [None, None],
        };
        let requests = [Some(now), last];
        *slot = Some(RecentChat { hash, requests });
        second_last.is_some_and(|it| now.saturating_duration_since(it) < window)
    }
}

/// Picks upstreams for requests, and owns the load, cold-start and recency state for it.
#[derive(Clone, Debug)]
pub struct UpstreamPicker {
    settings: RoutingSettings,
    centre: CentreName,
    load_table: LoadTable,
    cold_limiter: ColdLimiter,
    availability: HashMap<UpstreamName, UpstreamAvailability>,
    revision: Option<u64>,
    candidate_index: CandidateIndex,
    heap_buffer: Vec<OrderedCandidate>,
    recent_chats: RecentChatTable,
}

impl UpstreamPicker {
    /// Creates a picker for a host and its data centre.
    pub fn new(settings: RoutingSettings, host: HostName, centre: CentreName) -> Self {
        Self {
            settings,
            centre,
            load_table: LoadTable::new(settings.load),
            cold_limiter: ColdLimiter::new(host, settings.max_ramp_up, settings.load.report_lag),
            availability: HashMap::new(),
            revision: None,
            candidate_index: CandidateIndex::default(),
            heap_buffer: Vec::new(),
            recent_chats: RecentChatTable::default(),
        }
    }

    /// Records a request that is about to be sent, with its estimated work in tokens.
    pub fn record_start(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        self.load_table.record_start(now, upstream, work);
    }

    /// Records the time from sending a request to the first chunk of its response.
    ///
    /// Returns the notice for the peers if this indicates a cold start.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        elapsed: Duration,
    ) -> Option<ColdNotice> {
        let phase = self.cold_limiter.phase(now, upstream, Duration::MAX);
        if let ColdPhase::Cold(_) | ColdPhase::Unknown = phase {
            return None;
        }
        if !self.load_table.record_first_token(now, upstream, elapsed) {
            return None;
        }
        self.load_table.reset_first_token_times(now, upstream);
        let incarnation = self.load_table.last_incarnation(upstream);
        self.cold_limiter.mark_cold(upstream, incarnation, ColdReason::FirstTokenJump)
    }

    /// Records the end of a request; `work` is the value given to [`UpstreamPicker::record_start`].
    ///
    /// Returns the notice for the peers if this indicates a cold start or is the first response
    /// since it began.
    pub fn record_end(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        work: u64,
        kind: FinishKind,
    ) -> Option<ColdNotice> {
        self.load_table.record_end(now, upstream, work);
        match kind {
            FinishKind::Complete => self.cold_limiter.record_response(now, upstream),
            FinishKind::Refused => {
                let incarnation = self.load_table.last_incarnation(upstream);
                self.cold_limiter.record_refusal(now, upstream, incarnation)
            }
            FinishKind::UpstreamLost => {
                self.cold_limiter.record_break(now, upstream);
                None
            }
            FinishKind::Cancelled => None,
        }
    }

    /// Applies a load report; returns the notice for the peers if it indicates a cold start.
    pub fn apply_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        report: &LoadReport,
    ) -> Option<ColdNotice> {
        let effect = self.load_table.apply_report(now, upstream, report);
        if effect == ReportEffect::Outdated {
            return None;
        }
        let is_new = effect == ReportEffect::NewIncarnation;
        self.cold_limiter.apply_report(now, upstream, report.incarnation, is_new, report.cold)
    }

    /// Applies the incarnation that a response names.
    ///
    /// Returns the notice for the peers if the incarnation is new.
    pub fn observe_incarnation(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<ColdNotice> {
        match self.load_table.observe_incarnation(now, upstream, incarnation) {
            ReportEffect::NewIncarnation => {
                self.cold_limiter.mark_cold(upstream, Some(incarnation), ColdReason::NewIncarnation)
            }
            ReportEffect::First | ReportEffect::Same | ReportEffect::Outdated => None,
        }
    }

    /// Applies a notice from a peer.
    pub fn apply_notice(&mut self, now: Instant, notice: &ColdNotice) {
        self.cold_limiter.apply_notice(now, notice);
    }

    /// Returns notices of all cold upstreams, for peers that missed earlier ones.
    pub fn cold_notices(&self) -> Vec<ColdNotice> {
        self.cold_limiter.cold_notices()
    }

    /// Returns the load reports and own requests of all upstreams.
    pub fn load_table(&self) -> &LoadTable {
        &self.load_table
    }

    /// Returns the cold-start phase of an upstream, with the warm-up time of the catalogue.
    pub fn cold_phase(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        catalogue: &Catalogue,
    ) -> ColdPhase {
        let warmup = catalogue
            .upstreams()
            .get(upstream)
            .map_or(Duration::ZERO, |it| Duration::from_millis(it.warmup_ms));
        self.cold_limiter.phase(now, upstream, warmup)
    }

    /// Switches to a catalogue if its revision differs from the one in use.
    ///
    /// [`UpstreamPicker::pick`] does so as well. Call this on each accepted revision anyway, so
    /// that the length of an upstream's absence is measured from the revision that removed it from
    /// service.
    pub fn adopt_catalogue(&mut self, now: Instant, catalogue: &Catalogue) {
        if self.revision == Some(catalogue.revision()) {
            return;
        }
        let is_first = self.revision.is_none();
        let upstreams = catalogue.upstreams();
        self.availability.retain(|name, _| upstreams.contains_key(name));
        self.cold_limiter.retain(|name| upstreams.contains_key(name));
        self.load_table.retain(|name| upstreams.contains_key(name));
        for (name, entry) in upstreams {
            let takes_new_work = catalogue.takes_new_work(entry);
            match self.availability.get_mut(name) {
                None => {
                    let availability = UpstreamAvailability { takes_new_work, since: now };
                    self.availability.insert(name.clone(), availability);
                    if is_first {
                        self.cold_limiter.add_unknown(name);
                    } else {
                        self.cold_limiter.mark_cold(name, None, ColdReason::Joined);
                    }
                }
                Some(availability) if availability.takes_new_work != takes_new_work => {
                    if takes_new_work {
                        let absence = now.saturating_duration_since(availability.since);
                        self.cold_limiter.record_return(now, name, absence);
                    }
                    *availability = UpstreamAvailability { takes_new_work, since: now };
                }
                Some(_) => {}
            }
        }
        let load_table = &mut self.load_table;
        self.candidate_index =
            CandidateIndex::build(&self.centre, catalogue, |it| load_table.index_of(now, it));
        self.revision = Some(catalogue.revision());
    }

    /// Picks an upstream for a request.
    ///
    /// `host_sets` are the sets of live hosts of the whole fleet that were in force at this host at
    /// any time during the last
    /// [`ViewTiming::takeover_wait`](crate::membership::ViewTiming::takeover_wait), the latest one
    /// last. It is empty for a process that started after this.
    pub fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        catalogue: &Catalogue,
        host_sets: &[HostSet],
    ) -> PickOutcome {
        self.adopt_catalogue(now, catalogue);
        let groups = match request.target {
            PickTarget::Model(model) => self.candidate_index.model(model.as_str()),
            PickTarget::Service(service) => self.candidate_index.service(service.as_str()),
        };
        let Some(groups) = groups else {
            return PickOutcome::NoneEligible;
        };
        let key_hash = match (request.chat, request.target) {
            (Some(chat), PickTarget::Model(model)) => {
                rendezvous::hash_parts(&[model.as_str(), chat])
            }
            (Some(chat), PickTarget::Service(service)) => {
                rendezvous::hash_parts(&[service.as_str(), chat])
            }
            (None, _) => rendezvous::hash_parts(&[request.request_id]),
        };
        // A chat with concurrent requests may need more than one engine.
        let is_hot = request.chat.is_some()
            && self.recent_chats.record_request(now, key_hash, self.settings.hot_window);
        let host_hash = rendezvous::hash_parts(&[self.cold_limiter.own_host().as_str()]);
        let mut attempt = PickAttempt {
            now,
            request,
            settings: &self.settings,
            skew_multiple: catalogue.settings().skew_multiple,
            host_sets,
            load_table: &self.load_table,
            cold_limiter: &mut self.cold_limiter,
            key_hash,
            is_hot,
            host_hash,
            skipped: Vec::new(),
            skipped_count: 0,
            next_rank: 0,
            has_untried: false,
        };
        for group in &groups.groups {
            if group.is_empty() {
                continue;
            }
            if let Some(pick) = attempt.pick_from_group(group, &mut self.heap_buffer) {
                return PickOutcome::Picked(pick);
            }
        }
        if attempt.has_untried {
            PickOutcome::Busy { skipped: attempt.skipped, skipped_count: attempt.skipped_count }
        } else {
            PickOutcome::NoneEligible
        }
    }
}

/// One call of [`UpstreamPicker::pick`].
struct PickAttempt<'a> {
    now: Instant,
    request: &'a PickRequest<'a>,
    settings: &'a RoutingSettings,
    skew_multiple: f64,
    host_sets: &'a [HostSet],
    load_table: &'a LoadTable,
    cold_limiter: &'a mut ColdLimiter,
    /// Hash of the target and the chat or, without a chat, of the request id.
    key_hash: u64,
    /// Whether the chat has concurrent requests; see [`RoutingSettings::hot_window`].
    is_hot: bool,
    host_hash: u64,
    skipped: Vec<SkippedUpstream>,
    skipped_count: usize,
    next_rank: usize,
    /// Whether a candidate is not in [`PickRequest::tried`].
    has_untried: bool,
}

/// Returns a number in (0, 1) that depends only on the key, the upstream and the salt.
fn hash_fraction(key_hash: u64, candidate: &CandidateUpstream, salt: u64) -> f64 {
    rendezvous::unit_fraction(rendezvous::combine_hashes(key_hash ^ salt, candidate.name_hash))
}

/// A candidate with its load, its bound and the verdict on it.
struct EvaluatedCandidate<'a> {
    candidate: &'a CandidateUpstream,
    rank: usize,
    estimate: LoadEstimate,
    phase: ColdPhase,
    /// Mean load for its capacity and chat share.
    mean: f64,
    mean_own_requests: f64,
    bound: f64,
    verdict: Result<(), SkipReason>,
}

impl EvaluatedCandidate<'_> {
    /// Returns `load` per unit of the capacity that its chat share leaves.
    fn relative_load(&self, load: f64) -> f64 {
        load / (self.candidate.capacity * self.phase.chat_share())
    }

    /// Returns whether the request may run there if no candidate is acceptable.
    fn is_fallback(&self) -> bool {
        matches!(
            self.verdict,
            Ok(()) | Err(SkipReason::RampUp(_) | SkipReason::HotChat | SkipReason::OverBound)
        )
    }
}

impl PickAttempt<'_> {
    fn pick_from_group(
        &mut self,
        group: &[CandidateUpstream],
        heap_buffer: &mut Vec<OrderedCandidate>,
    ) -> Option<UpstreamPick> {
        heap_buffer.clear();
        let mut summary = LoadSummary::default();
        for (position, candidate) in group.iter().enumerate() {
            let capacity = candidate.capacity * self.chat_share_of(candidate);
            self.load_table.add_to_summary(self.now, candidate.load_index, capacity, &mut summary);
            heap_buffer.push(OrderedCandidate {
                score: rendezvous::score_from_hashes(
                    self.key_hash,
                    candidate.name_hash,
                    candidate.capacity,
                ),
                position,
            });
        }
        // A heap yields the first candidates in order without sorting the whole group.
        let mut heap = BinaryHeap::from(std::mem::take(heap_buffer));
        let pick = self.pick_in_order(group, &summary, &mut heap);
        *heap_buffer = heap.into_vec();
        pick
    }

    fn pick_in_order(
        &mut self,
        group: &[CandidateUpstream],
        summary: &LoadSummary,
        heap: &mut BinaryHeap<OrderedCandidate>,
    ) -> Option<UpstreamPick> {
        let mut first_acceptable: Option<EvaluatedCandidate<'_>> = None;
        let mut least_loaded: Option<EvaluatedCandidate<'_>> = None;
        while let Some(ordered) = heap.pop() {
            let evaluated = self.evaluate(&group[ordered.position], summary);
            if evaluated.verdict.is_ok() {
                if self.request.chat.is_some() {
                    return Some(self.accept(evaluated, PickReason::ChatOrder));
                }
                let Some(earlier) = first_acceptable.take() else {
                    first_acceptable = Some(evaluated);
                    continue;
                };
                let earlier_load = earlier.relative_load(self.load_of(&earlier.estimate));
                let later_load = evaluated.relative_load(self.load_of(&evaluated.estimate));
                let (chosen, other) = if later_load < earlier_load {
                    (evaluated, earlier)
                } else {
                    (earlier, evaluated)
                };
                self.skip(&other, SkipReason::MoreLoaded);
                return Some(self.accept(chosen, PickReason::LessLoaded));
            }
            if let Err(reason) = evaluated.verdict {
                self.skip(&evaluated, reason);
            }
            if evaluated.is_fallback() {
                let load = evaluated.relative_load(self.load_of(&evaluated.estimate));
                let is_less_loaded = least_loaded
                    .as_ref()
                    .is_none_or(|it| load < it.relative_load(self.load_of(&it.estimate)));
                if is_less_loaded {
                    least_loaded = Some(evaluated);
                }
            }
        }
        if let Some(evaluated) = first_acceptable {
            return Some(self.accept(evaluated, PickReason::LessLoaded));
        }
        let evaluated = least_loaded?;
        let name = &evaluated.candidate.name;
        self.skipped.retain(|it| it.upstream != *name);
        self.skipped_count -= 1;
        Some(self.accept(evaluated, PickReason::LeastLoaded))
    }

    /// Returns the chat share of a candidate.
    fn chat_share_of(&mut self, candidate: &CandidateUpstream) -> f64 {
        if self.cold_limiter.is_limited(&candidate.name) {
            self.cold_limiter.phase(self.now, &candidate.name, candidate.warmup).chat_share()
        } else {
            1.0
        }
    }

    fn evaluate<'a>(
        &mut self,
        candidate: &'a CandidateUpstream,
        summary: &LoadSummary,
    ) -> EvaluatedCandidate<'a> {
        let estimate = self.load_table.estimate_at(
            self.now,
            candidate.load_index,
            candidate.capacity,
            summary,
        );
        let rank = self.next_rank;
        self.next_rank += 1;
        let phase = self.cold_limiter.phase(self.now, &candidate.name, candidate.warmup);
        // The mean load scales with the chat share: the other upstreams carry the rest of the load
        // of a cold or returning one.
        let capacity = candidate.capacity * phase.chat_share();
        let mean = capacity
            * match self.request.target {
                PickTarget::Model(_) => summary.mean_work(),
                PickTarget::Service(_) => summary.mean_requests(),
            };
        let bound = mean * self.skew_multiple.max(1.0);
        let mut evaluated = EvaluatedCandidate {
            candidate,
            rank,
            estimate,
            phase,
            mean,
            mean_own_requests: capacity * summary.mean_own_requests(),
            bound,
            verdict: Ok(()),
        };
        evaluated.verdict = self.verdict(&evaluated);
        evaluated
    }

    /// Returns why a candidate is not acceptable, if it is not.
    fn verdict(&mut self, evaluated: &EvaluatedCandidate<'_>) -> Result<(), SkipReason> {
        let (candidate, estimate) = (evaluated.candidate, &evaluated.estimate);
        if self.request.tried.contains(&candidate.name) {
            return Err(SkipReason::Tried);
        }
        self.has_untried = true;
        if let Some(refused_at) = self.cold_limiter.refused_at(&candidate.name)
            && self.now.saturating_duration_since(refused_at) < self.settings.refusal_backoff
        {
            return Err(SkipReason::Refused);
        }
        if let ColdPhase::Unknown | ColdPhase::Cold(_) = evaluated.phase
            && !self.cold_limiter.has_slot(
                &candidate.name,
                candidate.cold_allowance,
                estimate.own_requests,
                self.host_sets,
            )
        {
            return Err(SkipReason::NoColdSlot(evaluated.phase));
        }
        if estimate.requests + 1.0 > candidate.capacity + 1e-6 {
            return Err(SkipReason::Full);
        }
        let share = evaluated.phase.chat_share();
        if self.request.chat.is_some()
            && share < 1.0
            && hash_fraction(self.key_hash, candidate, RAMP_SALT) >= share
        {
            return Err(SkipReason::RampUp(share));
        }
        if estimate.own_requests == 0 && estimate.requests < self.idle_request_limit(candidate) {
            return Ok(());
        }
        if self.is_hot && f64::from(estimate.own_requests) >= self.hot_chat_quota(evaluated) {
            return Err(SkipReason::HotChat);
        }
        let load = self.load_of(estimate);
        if load + self.request_load() <= evaluated.bound || load <= evaluated.mean {
            return Ok(());
        }
        Err(SkipReason::OverBound)
    }

    /// Returns the number of own requests in flight at which an engine gets no further request of a
    /// hot chat.
    ///
    /// All hosts receive requests of a hot chat. If they followed the reports, which are delayed,
    /// they would all move it from one engine to the next at the same time. A limit on the own
    /// requests needs no reports: if each host stays within a multiple of its own mean, the sum
    /// stays within this multiple of the fleet's mean. A fractional quota is rounded up on the
    /// matching fraction of the hosts.
    fn hot_chat_quota(&self, evaluated: &EvaluatedCandidate<'_>) -> f64 {
        let multiple = 1.0 + HOT_CHAT_HEADROOM_SHARE * (self.skew_multiple - 1.0).max(0.0);
        let quota = multiple * evaluated.mean_own_requests;
        let has_one_more =
            hash_fraction(self.host_hash, evaluated.candidate, QUOTA_SALT) < quota.fract();
        quota.floor() + f64::from(u8::from(has_one_more))
    }

    /// Returns the estimated number of requests below which an upstream counts as idle.
    fn idle_request_limit(&self, candidate: &CandidateUpstream) -> f64 {
        let hosts = self.host_sets.last().map_or(1, |it| it.len()) as f64;
        hosts.min(candidate.capacity * IDLE_CAPACITY_SHARE).max(1.0)
    }

    fn load_of(&self, estimate: &LoadEstimate) -> f64 {
        match self.request.target {
            PickTarget::Model(_) => estimate.work,
            PickTarget::Service(_) => estimate.requests,
        }
    }

    fn request_load(&self) -> f64 {
        match self.request.target {
            PickTarget::Model(_) => self.request.work as f64,
            PickTarget::Service(_) => 1.0,
        }
    }

    fn skip(&mut self, evaluated: &EvaluatedCandidate<'_>, reason: SkipReason) {
        self.skipped_count += 1;
        if self.skipped.len() < MAX_SKIPPED_DETAILS {
            self.skipped.push(SkippedUpstream {
                upstream: evaluated.candidate.name.clone(),
                rank: evaluated.rank,
                estimate: evaluated.estimate,
                reason,
            });
        }
    }

    fn accept(&mut self, evaluated: EvaluatedCandidate<'_>, reason: PickReason) -> UpstreamPick {
        UpstreamPick {
            upstream: evaluated.candidate.name.clone(),
            address: evaluated.candidate.address,
            rank: evaluated.rank,
            reason,
            estimate: evaluated.estimate,
            mean: evaluated.mean,
            bound: evaluated.bound,
            phase: evaluated.phase,
            skipped: std::mem::take(&mut self.skipped),
            skipped_count: self.skipped_count,
        }
    }
}
