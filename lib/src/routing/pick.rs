//! The choice itself.

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
        cold::{ColdGate, ColdNotice, ColdPhase, ColdReason, HostSet},
        load::{LoadEstimate, LoadReport, LoadSettings, LoadSummary, LoadTable, ReportEffect},
    },
};

/// Part of an engine's capacity below which the load bound does not apply to the first request of
/// a host. An engine that is nearly idle is not overloaded, and moving its chats costs their cache.
const IDLE_SHARE: f64 = 1.0 / 8.0;

/// Skipped upstreams described in an outcome; the others are only counted.
const MAX_DESCRIBED: usize = 8;

/// Slots for recent chats: several times the chats that a host sees in `hot_window`.
const RECENT_CHATS: usize = 1024;

/// Separates the ramp-up decision of a chat from its rendezvous order.
const RAMP_SALT: u64 = 0x7261_6d70;

/// Separates the rounding of a host's quota from other uses of the hash.
const QUOTA_SALT: u64 = 0x7175_6f74;

/// Part of the way from the mean to the load bound that hot chats may fill.
///
/// The rest is left to the other chats of the engine, which would otherwise have to leave it.
const HOT_FILL: f64 = 0.5;

/// Settings of an [`UpstreamPicker`].
#[derive(Clone, Copy, Debug)]
pub struct RoutingSettings {
    /// Time constants of the load estimates.
    pub load: LoadSettings,
    /// Longest ramp-up of an upstream that became warm or returned.
    pub max_ramp_up: Duration,
    /// An upstream that refused a connection is not tried again before this time.
    pub refusal_backoff: Duration,
    /// A chat with three requests at this host within this time counts as hot.
    ///
    /// A chat whose requests follow one another rarely has so many.
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

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickTarget<'a> {
    /// An engine with this model.
    Model(&'a ModelName),
    /// An upstream of this service.
    Service(&'a ServiceName),
}

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// What the request needs.
    pub target: PickTarget<'a>,
    /// Chat whose prefix an engine may hold in its cache.
    pub chat: Option<&'a str>,
    /// Request id; spreads requests without a chat.
    pub request_id: &'a str,
    /// Estimated work in tokens.
    pub work: u64,
    /// Upstreams that already failed for this request.
    pub tried: &'a [UpstreamName],
}

/// Why an upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickReason {
    /// First acceptable upstream in the rendezvous order of the chat.
    ChatOrder,
    /// Less loaded of the first two acceptable upstreams for a request without a chat.
    LessLoaded,
    /// All were over their bound or in ramp-up; this one has the least load.
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
    /// It refused a connection a moment ago.
    Refused,
    /// It is cold and this host's slots are in use.
    NoColdSlot(ColdPhase),
    /// It runs as many requests as its capacity.
    Full,
    /// It returned or is cold, and the chat is not yet among those that it takes (share given).
    RampUp(f64),
    /// Its load with this request is above the bound.
    OverBound,
    /// The chat has concurrent requests, and this host has its share of requests there.
    HotChat,
    /// The other of two choices has less load.
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
    /// Position in the order of the request, 0 first.
    pub rank: usize,
    /// Estimated load.
    pub estimate: LoadEstimate,
    /// Why it was not picked.
    pub reason: SkipReason,
}

/// A picked upstream with the reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamPick {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Position in the order of the request, 0 first.
    pub rank: usize,
    /// Why it was picked.
    pub reason: PickReason,
    /// Estimated load before this request.
    pub estimate: LoadEstimate,
    /// Mean load that an upstream of this capacity would have, in tokens (requests for services).
    pub mean: f64,
    /// Load bound that applied, in the unit of `mean`.
    pub bound: f64,
    /// Whether it is cold, unknown or in ramp-up.
    pub phase: ColdPhase,
    /// Upstreams before it in the order; the first few of them.
    pub skipped: Vec<SkippedUpstream>,
    /// Number of upstreams skipped.
    pub skipped_count: usize,
}

/// Outcome of a pick.
#[derive(Clone, Debug, PartialEq)]
pub enum PickOutcome {
    /// An upstream may receive the request.
    Picked(UpstreamPick),
    /// Upstreams exist but none may receive a request now; the request waits.
    Busy {
        /// The first few of them.
        skipped: Vec<SkippedUpstream>,
        /// Number of upstreams skipped.
        skipped_count: usize,
    },
    /// No upstream of the catalogue takes such requests, or all were tried.
    NoneEligible,
}

/// How a request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishKind {
    /// With a complete response.
    Complete,
    /// The connection was refused; nothing was sent.
    Refused,
    /// The connection broke, or the response was cut.
    Broken,
    /// The caller or the router gave up; this says nothing about the upstream.
    Cancelled,
}

/// Candidate in the order of a request; the heap's maximum comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedCandidate {
    score: f64,
    position: usize,
}

impl Eq for OrderedCandidate {}

impl Ord for OrderedCandidate {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // Candidates are indexed in the order of their names, which breaks ties on every host alike.
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
struct UpstreamPresence {
    is_taking: bool,
    since: Instant,
}

/// A chat and its last two requests at this host, the later one first.
#[derive(Clone, Copy, Debug)]
struct RecentChat {
    hash: u64,
    requests: [Option<Instant>; 2],
}

/// Chats that came a moment ago, by hash; a later chat of the same slot replaces an earlier one.
#[derive(Clone, Debug, Default)]
struct RecentChats {
    slots: Vec<Option<RecentChat>>,
}

impl RecentChats {
    /// Notes a request of a chat and returns whether it is the third within `window`.
    fn note(&mut self, now: Instant, hash: u64, window: Duration) -> bool {
        if self.slots.is_empty() {
            self.slots.resize(RECENT_CHATS, None);
        }
        let slot = &mut self.slots[hash as usize % RECENT_CHATS];
        let [last, before] = match slot {
            Some(chat) if chat.hash == hash => chat.requests,
            _ => [None, None],
        };
        let requests = [Some(now), last];
        *slot = Some(RecentChat { hash, requests });
        before.is_some_and(|it| now.saturating_duration_since(it) < window)
    }
}

/// Chooses upstreams and keeps what the choice depends on.
#[derive(Clone, Debug)]
pub struct UpstreamPicker {
    settings: RoutingSettings,
    centre: CentreName,
    table: LoadTable,
    gate: ColdGate,
    presence: HashMap<UpstreamName, UpstreamPresence>,
    revision: Option<u64>,
    index: CandidateIndex,
    heap: Vec<OrderedCandidate>,
    recent: RecentChats,
}

impl UpstreamPicker {
    /// Creates a picker for a host and its data centre.
    pub fn new(settings: RoutingSettings, host: HostName, centre: CentreName) -> Self {
        Self {
            settings,
            centre,
            table: LoadTable::new(settings.load),
            gate: ColdGate::new(host, settings.max_ramp_up, settings.load.report_lag),
            presence: HashMap::new(),
            revision: None,
            index: CandidateIndex::default(),
            heap: Vec::new(),
            recent: RecentChats::default(),
        }
    }

    /// Notes a request that is about to be sent, with its estimated work in tokens.
    pub fn record_start(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        self.table.started(now, upstream, work);
    }

    /// Notes the time from sending a request to the first piece of its response.
    ///
    /// Returns the notice for the peers if this shows a cold start.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        elapsed: Duration,
    ) -> Option<ColdNotice> {
        let phase = self.gate.phase(now, upstream, Duration::MAX);
        if let ColdPhase::Cold(_) | ColdPhase::Unknown = phase {
            return None;
        }
        if !self.table.first_token(now, upstream, elapsed) {
            return None;
        }
        self.table.forget_first_tokens(now, upstream);
        let incarnation = self.table.last_incarnation(upstream);
        self.gate.cold(upstream, incarnation, ColdReason::FirstTokenJump)
    }

    /// Notes the end of a request; `work` is the value given to [`UpstreamPicker::record_start`].
    ///
    /// Returns the notice for the peers if this shows a cold start or ends a part of it.
    pub fn record_end(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        work: u64,
        how: FinishKind,
    ) -> Option<ColdNotice> {
        self.table.finished(now, upstream, work);
        match how {
            FinishKind::Complete => self.gate.responded(now, upstream),
            FinishKind::Refused => {
                let incarnation = self.table.last_incarnation(upstream);
                self.gate.refused(now, upstream, incarnation)
            }
            FinishKind::Broken => {
                self.gate.broken(now, upstream);
                None
            }
            FinishKind::Cancelled => None,
        }
    }

    /// Takes a load report; returns the notice for the peers if it shows a cold start.
    pub fn apply_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        report: &LoadReport,
    ) -> Option<ColdNotice> {
        let effect = self.table.report(now, upstream, report);
        if effect == ReportEffect::Outdated {
            return None;
        }
        let is_new = effect == ReportEffect::NewIncarnation;
        self.gate.report(now, upstream, report.incarnation, is_new, report.cold)
    }

    /// Takes the incarnation that a response names; returns the notice for the peers if it is new.
    pub fn observe_incarnation(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<ColdNotice> {
        match self.table.incarnation(now, upstream, incarnation) {
            ReportEffect::NewIncarnation => {
                self.gate.cold(upstream, Some(incarnation), ColdReason::NewIncarnation)
            }
            ReportEffect::First | ReportEffect::Same | ReportEffect::Outdated => None,
        }
    }

    /// Takes a peer's notice.
    pub fn apply_notice(&mut self, now: Instant, notice: &ColdNotice) {
        self.gate.notice(now, notice);
    }

    /// Returns notices of all cold upstreams, for peers that missed earlier ones.
    pub fn cold_notices(&self) -> Vec<ColdNotice> {
        self.gate.notices()
    }

    /// Returns the load table.
    pub fn load_table(&self) -> &LoadTable {
        &self.table
    }

    /// Returns the phase of an upstream of the catalogue.
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
        self.gate.phase(now, upstream, warmup)
    }

    /// Adopts a catalogue if its revision differs from the one in use; `pick` does so as well.
    ///
    /// Call it on each accepted revision, so that absences are noticed when they happen.
    pub fn adopt_catalogue(&mut self, now: Instant, catalogue: &Catalogue) {
        if self.revision == Some(catalogue.revision()) {
            return;
        }
        let is_first = self.revision.is_none();
        let upstreams = catalogue.upstreams();
        self.presence.retain(|name, _| upstreams.contains_key(name));
        self.gate.retain(|name| upstreams.contains_key(name));
        self.table.retain(|name| upstreams.contains_key(name));
        for (name, entry) in upstreams {
            let is_taking = catalogue.takes_new_work(entry);
            match self.presence.get_mut(name) {
                None => {
                    let presence = UpstreamPresence { is_taking, since: now };
                    self.presence.insert(name.clone(), presence);
                    if is_first {
                        self.gate.discovered(name);
                    } else {
                        self.gate.cold(name, None, ColdReason::Joined);
                    }
                }
                Some(presence) if presence.is_taking != is_taking => {
                    if is_taking {
                        let absence = now.saturating_duration_since(presence.since);
                        self.gate.returned(now, name, absence);
                    }
                    *presence = UpstreamPresence { is_taking, since: now };
                }
                Some(_) => {}
            }
        }
        let table = &mut self.table;
        self.index = CandidateIndex::build(&self.centre, catalogue, |it| table.index(now, it));
        self.revision = Some(catalogue.revision());
    }

    /// Picks an upstream for a request.
    ///
    /// `fleets` are the sets of live hosts of the whole fleet that were in force at this host at
    /// any time during the last `takeover_wait`, the latest last; empty for a younger process.
    pub fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        catalogue: &Catalogue,
        fleets: &[HostSet],
    ) -> PickOutcome {
        self.adopt_catalogue(now, catalogue);
        let groups = match request.target {
            PickTarget::Model(model) => self.index.model(model.as_str()),
            PickTarget::Service(service) => self.index.service(service.as_str()),
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
        // A hot chat, one with concurrent requests, may need more than one engine.
        let is_hot =
            request.chat.is_some() && self.recent.note(now, key_hash, self.settings.hot_window);
        let host_hash = rendezvous::hash_parts(&[self.gate.own().as_str()]);
        let mut attempt = PickAttempt {
            now,
            request,
            settings: &self.settings,
            skew_multiple: catalogue.settings().skew_multiple,
            fleets,
            table: &self.table,
            gate: &mut self.gate,
            key_hash,
            is_hot,
            host_hash,
            skipped: Vec::new(),
            skipped_count: 0,
            rank: 0,
            has_untried: false,
        };
        for group in &groups.groups {
            if group.is_empty() {
                continue;
            }
            if let Some(pick) = attempt.pick_from(group, &mut self.heap) {
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
    fleets: &'a [HostSet],
    table: &'a LoadTable,
    gate: &'a mut ColdGate,
    key_hash: u64,
    is_hot: bool,
    host_hash: u64,
    skipped: Vec<SkippedUpstream>,
    skipped_count: usize,
    rank: usize,
    has_untried: bool,
}

/// Number in (0, 1) that is fixed for a key and an upstream, and independent for each salt.
fn unit_of(key_hash: u64, candidate: &CandidateUpstream, salt: u64) -> f64 {
    rendezvous::unit_fraction(rendezvous::combine_hashes(key_hash ^ salt, candidate.hash))
}

/// A candidate with what was found out about it.
struct EvaluatedCandidate<'a> {
    candidate: &'a CandidateUpstream,
    rank: usize,
    estimate: LoadEstimate,
    phase: ColdPhase,
    mean: f64,
    own_mean: f64,
    bound: f64,
    verdict: Result<(), SkipReason>,
}

impl EvaluatedCandidate<'_> {
    /// Load per unit of the capacity that is open to it.
    fn relative_load(&self, load: f64) -> f64 {
        load / (self.candidate.capacity * self.phase.chat_share())
    }

    /// Whether the request may run there although the verdict is negative.
    fn is_possible(&self) -> bool {
        matches!(
            self.verdict,
            Ok(()) | Err(SkipReason::RampUp(_) | SkipReason::HotChat | SkipReason::OverBound)
        )
    }
}

impl PickAttempt<'_> {
    fn pick_from(
        &mut self,
        group: &[CandidateUpstream],
        scratch: &mut Vec<OrderedCandidate>,
    ) -> Option<UpstreamPick> {
        scratch.clear();
        let mut summary = LoadSummary::default();
        for (position, candidate) in group.iter().enumerate() {
            let capacity = candidate.capacity * self.share_of(candidate);
            self.table.add_to_summary(self.now, candidate.index, capacity, &mut summary);
            scratch.push(OrderedCandidate {
                score: rendezvous::score_from_hashes(
                    self.key_hash,
                    candidate.hash,
                    candidate.capacity,
                ),
                position,
            });
        }
        // A heap gives the first candidates in order without sorting the whole set.
        let mut heap = BinaryHeap::from(std::mem::take(scratch));
        let pick = self.pick_in_order(group, &summary, &mut heap);
        *scratch = heap.into_vec();
        pick
    }

    fn pick_in_order(
        &mut self,
        group: &[CandidateUpstream],
        summary: &LoadSummary,
        heap: &mut BinaryHeap<OrderedCandidate>,
    ) -> Option<UpstreamPick> {
        let mut first: Option<EvaluatedCandidate<'_>> = None;
        let mut least: Option<EvaluatedCandidate<'_>> = None;
        while let Some(ordered) = heap.pop() {
            let evaluated = self.evaluate(&group[ordered.position], summary);
            if evaluated.verdict.is_ok() {
                if self.request.chat.is_some() {
                    return Some(self.pick_of(evaluated, PickReason::ChatOrder));
                }
                let Some(earlier) = first.take() else {
                    first = Some(evaluated);
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
                return Some(self.pick_of(chosen, PickReason::LessLoaded));
            }
            if let Err(reason) = evaluated.verdict {
                self.skip(&evaluated, reason);
            }
            if evaluated.is_possible() {
                let load = evaluated.relative_load(self.load_of(&evaluated.estimate));
                let is_less = least
                    .as_ref()
                    .is_none_or(|it| load < it.relative_load(self.load_of(&it.estimate)));
                if is_less {
                    least = Some(evaluated);
                }
            }
        }
        if let Some(evaluated) = first {
            return Some(self.pick_of(evaluated, PickReason::LessLoaded));
        }
        let evaluated = least?;
        let name = &evaluated.candidate.name;
        self.skipped.retain(|it| it.upstream != *name);
        self.skipped_count -= 1;
        Some(self.pick_of(evaluated, PickReason::LeastLoaded))
    }

    /// Share of its load that a candidate takes.
    fn share_of(&mut self, candidate: &CandidateUpstream) -> f64 {
        if self.gate.is_limited(&candidate.name) {
            self.gate.phase(self.now, &candidate.name, candidate.warmup).chat_share()
        } else {
            1.0
        }
    }

    fn evaluate<'a>(
        &mut self,
        candidate: &'a CandidateUpstream,
        summary: &LoadSummary,
    ) -> EvaluatedCandidate<'a> {
        let estimate =
            self.table.estimate_at(self.now, candidate.index, candidate.capacity, summary);
        let rank = self.rank;
        self.rank += 1;
        let phase = self.gate.phase(self.now, &candidate.name, candidate.warmup);
        // The others carry what a cold or returning upstream does not take yet, and its own load
        // rises with its share.
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
            own_mean: capacity * summary.mean_own_requests(),
            bound,
            verdict: Ok(()),
        };
        evaluated.verdict = self.verdict(&evaluated);
        evaluated
    }

    fn verdict(&mut self, evaluated: &EvaluatedCandidate<'_>) -> Result<(), SkipReason> {
        let (candidate, estimate) = (evaluated.candidate, &evaluated.estimate);
        if self.request.tried.contains(&candidate.name) {
            return Err(SkipReason::Tried);
        }
        self.has_untried = true;
        if let Some(refused_at) = self.gate.refused_at(&candidate.name)
            && self.now.saturating_duration_since(refused_at) < self.settings.refusal_backoff
        {
            return Err(SkipReason::Refused);
        }
        if let ColdPhase::Unknown | ColdPhase::Cold(_) = evaluated.phase
            && !self.gate.has_slot(
                &candidate.name,
                candidate.cold_allowance,
                estimate.own_requests,
                self.fleets,
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
            && unit_of(self.key_hash, candidate, RAMP_SALT) >= share
        {
            return Err(SkipReason::RampUp(share));
        }
        if estimate.own_requests == 0 && estimate.requests < self.idle_requests(candidate) {
            return Ok(());
        }
        if self.is_hot && f64::from(estimate.own_requests) >= self.hot_quota(evaluated) {
            return Err(SkipReason::HotChat);
        }
        let load = self.load_of(estimate);
        if load + self.request_load() <= evaluated.bound || load <= evaluated.mean {
            return Ok(());
        }
        Err(SkipReason::OverBound)
    }

    /// Requests that this host may have at an engine when it adds one of a hot chat.
    ///
    /// All hosts see a hot chat and would follow the same late reports to and fro. A limit in
    /// terms of the own requests needs no reports: if each host stays within a multiple of its own
    /// mean, the sum stays within this multiple of the fleet's mean. The fraction of a request
    /// goes to as many hosts.
    fn hot_quota(&self, evaluated: &EvaluatedCandidate<'_>) -> f64 {
        let multiple = 1.0 + HOT_FILL * (self.skew_multiple - 1.0).max(0.0);
        let quota = multiple * evaluated.own_mean;
        let has_one_more = unit_of(self.host_hash, evaluated.candidate, QUOTA_SALT) < quota.fract();
        quota.floor() + f64::from(u8::from(has_one_more))
    }

    /// Estimated requests below which an upstream counts as idle.
    fn idle_requests(&self, candidate: &CandidateUpstream) -> f64 {
        let hosts = self.fleets.last().map_or(1, |it| it.len()) as f64;
        hosts.min(candidate.capacity * IDLE_SHARE).max(1.0)
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
        if self.skipped.len() < MAX_DESCRIBED {
            self.skipped.push(SkippedUpstream {
                upstream: evaluated.candidate.name.clone(),
                rank: evaluated.rank,
                estimate: evaluated.estimate,
                reason,
            });
        }
    }

    fn pick_of(&mut self, evaluated: EvaluatedCandidate<'_>, reason: PickReason) -> UpstreamPick {
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
