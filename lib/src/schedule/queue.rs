//! Priorities between classes, start-time fair queueing between teams, shedding and expiry.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    catalogue::ClassEntry,
    names::{ClassName, TeamName},
    schedule::stats::{QueueReport, QueueStats},
};

/// Multiple of its fair share of the queue up to which a team loses no request to other teams.
const PROTECTED_SHARE: f64 = 0.5;

/// Multiple of its fair share of the queue above which a team displaces no request of others.
const MAX_DISPLACING_SHARE: f64 = 2.0;

/// Settings of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Limit on the length of the queue, in requests.
    pub capacity: usize,
    /// Number of starts of other priorities after which a class with an overdue request is served.
    ///
    /// A request is overdue when it has waited half of its limit. Without this setting, urgent work
    /// that fills the upstreams would starve all other work.
    pub max_overdue_skips: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        // The active requests of a host are limited to 1,024 (docs/design.md, section 10).
        Self { capacity: 1024, max_overdue_skips: 9 }
    }
}

/// A request in the queue; `T` is what the user of the queue needs to start or refuse it.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Team of the caller.
    pub team: TeamName,
    /// Weight of the team.
    pub weight: f64,
    /// Class of the request.
    pub class: ClassName,
    /// Priority of the class; 0 is served first.
    pub priority: u8,
    /// Model or service. If one request cannot start, others with the same target are not offered
    /// either.
    pub target: Arc<str>,
    /// Estimated work in tokens.
    pub work: u64,
    /// Limit on the wait in the queue.
    pub max_wait: Duration,
    /// Time after which a response is too late, so that the request is not started any more.
    pub deadline: Instant,
    /// Data of the user of the queue.
    pub payload: T,
}

impl<T> QueuedRequest<T> {
    /// Creates a request with the limits of a class; its deadline counts from `now`.
    #[expect(clippy::too_many_arguments, reason = "each argument is one field")]
    pub fn for_class(
        now: Instant,
        class: &ClassName,
        entry: &ClassEntry,
        team: &TeamName,
        weight: f64,
        target: Arc<str>,
        work: u64,
        payload: T,
    ) -> Self {
        Self {
            team: team.clone(),
            weight,
            class: class.clone(),
            priority: entry.priority,
            target,
            work,
            max_wait: Duration::from_millis(entry.queue_ms),
            deadline: now + Duration::from_millis(entry.deadline_ms),
            payload,
        }
    }
}

/// Why a request was refused; it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, and no waiting request may be shed for it.
    QueueFull,
    /// The queue was full, and another request took its slot.
    Shed,
    /// It waited longer than its class allows.
    WaitedTooLong,
    /// Its deadline passed.
    DeadlinePassed,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::QueueFull => "queue full",
            Self::Shed => "shed for another request",
            Self::WaitedTooLong => "waited too long in the queue",
            Self::DeadlinePassed => "deadline passed in the queue",
        })
    }
}

/// A request that was rejected by the queue or removed from it without being started.
#[derive(Clone, Debug)]
pub struct RefusedRequest<T> {
    /// The request.
    pub request: QueuedRequest<T>,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// How long it waited.
    pub wait: Duration,
}

/// A request that may start now.
#[derive(Clone, Debug)]
pub struct StartedRequest<T> {
    /// The request.
    pub request: QueuedRequest<T>,
    /// How long it waited.
    pub wait: Duration,
}

/// Outcome of a push.
#[derive(Clone, Debug)]
pub enum PushOutcome<T> {
    /// The request waits. If the queue was full, `shed` was removed for it.
    Queued {
        /// Identifies the request for [`FairQueue::cancel`].
        number: u64,
        /// The request that was shed.
        shed: Option<RefusedRequest<T>>,
    },
    /// The request is refused.
    Refused(RefusedRequest<T>),
}

#[derive(Clone, Debug)]
struct QueueEntry<T> {
    number: u64,
    request: QueuedRequest<T>,
    arrival: Instant,
    /// Virtual time of the priority band at arrival.
    virtual_arrival: f64,
}

impl<T> QueueEntry<T> {
    fn expiry(&self) -> Instant {
        self.request.deadline.min(self.arrival + self.request.max_wait)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.arrival) * 2 >= self.request.max_wait
    }

    fn into_refused(self, now: Instant, reason: RefusalReason) -> RefusedRequest<T> {
        RefusedRequest {
            wait: now.saturating_duration_since(self.arrival),
            request: self.request,
            reason,
        }
    }
}

/// Requests of one team in one class, the earliest deadline first, and in order of arrival.
#[derive(Clone, Debug)]
struct TeamFlow<T> {
    entries: VecDeque<QueueEntry<T>>,
    /// Virtual finish time of the last started request.
    virtual_finish: f64,
}

/// The flows of all classes with the same priority.
#[derive(Clone, Debug)]
struct PriorityBand<T> {
    flows: BTreeMap<(TeamName, ClassName), TeamFlow<T>>,
    virtual_time: f64,
    /// Starts of other priorities, while an overdue request waited here, since the last start here.
    overdue_skips: u32,
}

/// Requests of one team in the queue, over all classes.
#[derive(Clone, Copy, Debug, Default)]
struct TeamBacklog {
    requests: usize,
    weight: f64,
}

/// Position of an entry in the queue.
#[derive(Clone, Debug)]
struct EntryPosition {
    priority: u8,
    flow_key: (TeamName, ClassName),
    index: usize,
}

/// Sort key of the flows of a band: whether the team is above its share, the lead, and the arrival
/// of the first request.
type FlowOrder = (bool, f64, Instant);

/// Sort key of the order in which requests start; the smallest starts first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct StartOrder {
    /// Starts for which the band was passed over, if an overdue request waits there and the limit
    /// is reached; otherwise 0.
    overdue_skips: Reverse<u32>,
    /// Whether the team uses more than its share of the upstreams.
    is_above_share: bool,
    priority: u8,
    /// How far the flow is ahead of its band's virtual time. Virtual times of different bands have
    /// no common scale, but leads can be compared.
    lead: f64,
    arrival: Instant,
}

/// A bounded queue that is fair between teams.
///
/// - Classes are served in strict priority. A request that has waited half of its limit is overdue.
///   A class counts as one priority higher while a team that holds at most its fair share of the
///   slots has an overdue request in it, and a class with any overdue request is passed over for
///   a limited number of starts only.
/// - Teams of a class are served by start-time fair queueing, by weight and estimated work.
/// - Requests of teams above their share of the upstreams start after those of all other teams.
/// - Of one team in one class, the request with the earliest deadline is first: a caller that comes
///   back has less time left than a new one.
/// - When the queue is full, the lowest class is shed first. A team above its fair share of the
///   slots displaces only lower classes of other teams, and none above twice its fair share.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    bands: BTreeMap<u8, PriorityBand<T>>,
    backlogs: BTreeMap<TeamName, TeamBacklog>,
    len: usize,
    next_number: u64,
    /// No entry expires before this time.
    next_expiry: Option<Instant>,
    /// Teams that use more than their share of the upstreams.
    above_share: BTreeSet<TeamName>,
    stats: BTreeMap<(TeamName, ClassName), QueueStats>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            bands: BTreeMap::new(),
            backlogs: BTreeMap::new(),
            len: 0,
            next_number: 0,
            next_expiry: None,
            above_share: BTreeSet::new(),
            stats: BTreeMap::new(),
        }
    }

    /// Sets the teams that use more than their share of the upstreams.
    pub fn set_above_share(&mut self, teams: BTreeSet<TeamName>) {
        self.above_share = teams;
    }

    /// Returns the teams that use more than their share of the upstreams.
    pub fn above_share(&self) -> &BTreeSet<TeamName> {
        &self.above_share
    }

    /// Returns whether a team uses more than its share of the upstreams.
    pub fn is_above_share(&self, team: &TeamName) -> bool {
        self.above_share.contains(team)
    }

    /// Returns the number of waiting requests that would start before a new one of a team and
    /// priority, if no other one arrived. The guard against starvation is not included.
    pub fn len_ahead(&self, team: &TeamName, priority: u8) -> usize {
        let is_above_share = self.above_share.contains(team);
        let own_in_band = |band: &PriorityBand<T>| {
            let own = band.flows.iter().filter(|(key, _)| key.0 == *team);
            own.map(|(_, flow)| flow.entries.len()).sum::<usize>()
        };
        let own = self.bands.get(&priority).map_or(0, own_in_band);
        let mut ahead = 0;
        for (band_priority, band) in &self.bands {
            let mut by_team: BTreeMap<&TeamName, usize> = BTreeMap::new();
            for (key, flow) in &band.flows {
                *by_team.entry(&key.0).or_default() += flow.entries.len();
            }
            for (other, len) in by_team {
                let order = (self.above_share.contains(other), *band_priority);
                ahead += match order.cmp(&(is_above_share, priority)) {
                    Ordering::Less => len,
                    Ordering::Equal if other == team => len,
                    // The teams of a class take turns.
                    Ordering::Equal => len.min(own + 1),
                    Ordering::Greater => 0,
                };
            }
        }
        ahead
    }

    /// Returns the waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest<T>> {
        let flows = self.bands.values().flat_map(|it| it.flows.values());
        flows.flat_map(|it| &it.entries).map(|it| &it.request)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of a team.
    pub fn team_len(&self, team: &TeamName) -> usize {
        self.backlogs.get(team).map_or(0, |it| it.requests)
    }

    /// Adds a request. If the queue is full, sheds another one for it or refuses it.
    pub fn push(&mut self, now: Instant, request: QueuedRequest<T>) -> PushOutcome<T> {
        self.stats_mut(&request).pushed += 1;
        let mut shed = None;
        if self.len >= self.settings.capacity {
            match self.shed_candidate(&request) {
                Some(position) => {
                    let entry = self.remove_entry(&position);
                    self.stats_mut(&entry.request).count_refusal(RefusalReason::Shed);
                    shed = Some(entry.into_refused(now, RefusalReason::Shed));
                }
                None => {
                    let reason = RefusalReason::QueueFull;
                    self.stats_mut(&request).count_refusal(reason);
                    return PushOutcome::Refused(RefusedRequest {
                        request,
                        reason,
                        wait: Duration::ZERO,
                    });
                }
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let backlog = self.backlogs.entry(request.team.clone()).or_default();
        backlog.requests += 1;
        backlog.weight = valid_weight(request.weight);
        let band = self.bands.entry(request.priority).or_insert(PriorityBand {
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            overdue_skips: 0,
        });
        let virtual_arrival = band.virtual_time;
        let flow = band
            .flows
            .entry((request.team.clone(), request.class.clone()))
            .or_insert(TeamFlow { entries: VecDeque::new(), virtual_finish: 0.0 });
        let entry = QueueEntry { number, request, arrival: now, virtual_arrival };
        let expiry = entry.expiry();
        self.next_expiry = Some(self.next_expiry.map_or(expiry, |it| it.min(expiry)));
        let index =
            flow.entries.partition_point(|it| it.request.deadline <= entry.request.deadline);
        flow.entries.insert(index, entry);
        self.len += 1;
        PushOutcome::Queued { number, shed }
    }

    /// Removes and returns the next request that `can_start` accepts.
    ///
    /// Once `can_start` has rejected a request, no other one with the same target is offered.
    /// Expired requests are not offered either; [`FairQueue::expire`] returns them.
    pub fn pop(
        &mut self,
        now: Instant,
        mut can_start: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Option<StartedRequest<T>> {
        let mut blocked: Vec<Arc<str>> = Vec::new();
        loop {
            let position = self.next_position(now, &blocked)?;
            let entry = self.entry(&position);
            if can_start(&entry.request) {
                return Some(self.start_entry(now, &position));
            }
            blocked.push(entry.request.target.clone());
        }
    }

    /// Removes and returns the requests whose wait limit or deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<RefusedRequest<T>> {
        if self.next_expiry.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        let mut next_expiry: Option<Instant> = None;
        for band in self.bands.values_mut() {
            for flow in band.flows.values_mut() {
                let entries = std::mem::take(&mut flow.entries);
                for entry in entries {
                    let expiry = entry.expiry();
                    if expiry <= now {
                        let reason = if entry.request.deadline <= now {
                            RefusalReason::DeadlinePassed
                        } else {
                            RefusalReason::WaitedTooLong
                        };
                        expired.push(entry.into_refused(now, reason));
                    } else {
                        next_expiry = Some(next_expiry.map_or(expiry, |it| it.min(expiry)));
                        flow.entries.push_back(entry);
                    }
                }
            }
            band.remove_idle_flows();
        }
        self.next_expiry = next_expiry;
        for refused in &expired {
            self.release_slot(&refused.request.team);
            self.stats_mut(&refused.request).count_refusal(refused.reason);
        }
        expired
    }

    /// Returns a time before which no request expires; `None` if no request waits.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.next_expiry
    }

    /// Removes a request that its caller cancelled; `None` if it no longer waits.
    pub fn cancel(&mut self, number: u64) -> Option<QueuedRequest<T>> {
        let position = self.bands.iter().find_map(|(priority, band)| {
            band.flows.iter().find_map(|(key, flow)| {
                let index = flow.entries.iter().position(|it| it.number == number)?;
                Some(EntryPosition { priority: *priority, flow_key: key.clone(), index })
            })
        })?;
        let entry = self.remove_entry(&position);
        self.stats_mut(&entry.request).cancelled += 1;
        Some(entry.request)
    }

    /// Removes and returns all requests, in no particular order, when the process stops.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        self.len = 0;
        self.backlogs.clear();
        self.next_expiry = None;
        std::mem::take(&mut self.bands)
            .into_values()
            .flat_map(|it| it.flows.into_values())
            .flat_map(|it| it.entries)
            .map(|it| it.request)
            .collect()
    }

    /// Returns the counters of every team in every class.
    pub fn reports(&self) -> impl Iterator<Item = QueueReport<'_>> {
        self.stats.iter().map(|((team, class), stats)| QueueReport { team, class, stats })
    }

    /// Returns the team and class with the smallest share of started requests. Among equal ones,
    /// it is the one with the longest 95th percentile of the wait.
    pub fn worst_served(&self) -> Option<QueueReport<'_>> {
        self.reports().filter(|it| it.stats.started + it.stats.refused() > 0).min_by(|a, b| {
            let (share_a, share_b) = (a.stats.started_share(), b.stats.started_share());
            let (wait_a, wait_b) = (a.stats.waits.quantile(0.95), b.stats.waits.quantile(0.95));
            share_a.total_cmp(&share_b).then_with(|| wait_b.cmp(&wait_a))
        })
    }

    /// Removes the counters of teams that `keep` rejects and that have no waiting request.
    pub fn retain_stats(&mut self, mut keep: impl FnMut(&TeamName) -> bool) {
        let backlogs = &self.backlogs;
        self.stats.retain(|(team, _), _| backlogs.contains_key(team) || keep(team));
    }

    /// Finds the request to start next among those whose target is not blocked.
    ///
    /// An overdue request raises the priority of its class and keeps its position in it. Otherwise
    /// the requests of a surging team, which wait long because there are so many of them, would
    /// overtake those of all other teams.
    fn next_position(&self, now: Instant, blocked: &[Arc<str>]) -> Option<EntryPosition> {
        let total_weight = self.total_weight();
        let mut best: Option<(StartOrder, EntryPosition)> = None;
        for (priority, band) in &self.bands {
            let mut first_in_band: Option<(FlowOrder, &(TeamName, ClassName), usize)> = None;
            let (mut is_overdue, mut is_raised) = (false, false);
            for (key, flow) in &band.flows {
                let head = flow
                    .entries
                    .iter()
                    .enumerate()
                    .find(|(_, it)| it.expiry() > now && !blocked.contains(&it.request.target));
                let Some((index, entry)) = head else {
                    continue;
                };
                if entry.is_overdue(now) {
                    is_overdue = true;
                    let backlog = &self.backlogs[&key.0];
                    is_raised |= self.queue_share(backlog, total_weight) <= 1.0;
                }
                let start = entry.virtual_arrival.max(flow.virtual_finish);
                let lead = (start - band.virtual_time).max(0.0);
                let order = (self.above_share.contains(&key.0), lead, entry.arrival);
                if first_in_band.as_ref().is_none_or(|it| order < it.0) {
                    first_in_band = Some((order, key, index));
                }
            }
            let Some(((is_above_share, lead, arrival), key, index)) = first_in_band else {
                continue;
            };
            let is_due = is_overdue && band.overdue_skips >= self.settings.max_overdue_skips;
            let order = StartOrder {
                overdue_skips: Reverse(if is_due { band.overdue_skips } else { 0 }),
                is_above_share,
                priority: priority.saturating_sub(u8::from(is_raised)),
                lead,
                arrival,
            };
            if best.as_ref().is_none_or(|(other, _)| order < *other) {
                let position = EntryPosition { priority: *priority, flow_key: key.clone(), index };
                best = Some((order, position));
            }
        }
        best.map(|(_, it)| it)
    }

    fn start_entry(&mut self, now: Instant, position: &EntryPosition) -> StartedRequest<T> {
        for (priority, band) in &mut self.bands {
            if *priority == position.priority {
                band.overdue_skips = 0;
            } else if band.has_overdue(now) {
                band.overdue_skips = band.overdue_skips.saturating_add(1);
            }
        }
        let band =
            self.bands.get_mut(&position.priority).expect("the band of a found entry exists");
        let flow =
            band.flows.get_mut(&position.flow_key).expect("the flow of a found entry exists");
        let entry = &flow.entries[position.index];
        let start = entry.virtual_arrival.max(flow.virtual_finish);
        let cost = entry.request.work.max(1) as f64 / valid_weight(entry.request.weight);
        flow.virtual_finish = start + cost;
        band.virtual_time = band.virtual_time.max(start);
        let entry = self.remove_entry(position);
        let wait = now.saturating_duration_since(entry.arrival);
        let stats = self.stats_mut(&entry.request);
        stats.started += 1;
        stats.waits.record(wait);
        StartedRequest { request: entry.request, wait }
    }

    /// Finds the request to shed for `incoming` when the queue is full, if there is one.
    ///
    /// The fair share of a team is a part of the capacity, by weight among the teams with waiting
    /// requests.
    fn shed_candidate(&self, incoming: &QueuedRequest<T>) -> Option<EntryPosition> {
        let own_weight = valid_weight(incoming.weight);
        let own_backlog = self.backlogs.get(&incoming.team);
        let added_weight = if own_backlog.is_none() { own_weight } else { 0.0 };
        let total_weight = self.total_weight() + added_weight;
        // The incoming request counts, so that a team does not exceed a limit by one.
        let backlog_after = TeamBacklog {
            requests: own_backlog.map_or(0, |it| it.requests) + 1,
            weight: own_weight,
        };
        let own_share = self.queue_share(&backlog_after, total_weight);
        let mut best: Option<((u8, f64), EntryPosition)> = None;
        for (priority, band) in self.bands.iter().rev() {
            let is_lower_class = *priority > incoming.priority;
            for (key, flow) in &band.flows {
                let Some(newest) = flow.entries.len().checked_sub(1) else {
                    continue;
                };
                let backlog = &self.backlogs[&key.0];
                let share = self.queue_share(backlog, total_weight);
                let may_be_shed = if key.0 == incoming.team {
                    is_lower_class
                } else if own_share <= PROTECTED_SHARE {
                    share > 1.0
                } else if own_share <= 1.0 {
                    share > 1.0 && *priority >= incoming.priority
                        || is_lower_class && share > PROTECTED_SHARE
                } else {
                    own_share <= MAX_DISPLACING_SHARE && is_lower_class && share > PROTECTED_SHARE
                };
                if may_be_shed
                    && best.as_ref().is_none_or(|((priority_best, share_best), _)| {
                        (*priority, share) > (*priority_best, *share_best)
                    })
                {
                    let position =
                        EntryPosition { priority: *priority, flow_key: key.clone(), index: newest };
                    best = Some(((*priority, share), position));
                }
            }
        }
        best.map(|(_, it)| it)
    }

    fn total_weight(&self) -> f64 {
        self.backlogs.values().map(|it| it.weight).sum()
    }

    /// Returns the slots that a team holds, as a multiple of its fair share of the queue.
    fn queue_share(&self, backlog: &TeamBacklog, total_weight: f64) -> f64 {
        let capacity = self.settings.capacity.max(1) as f64;
        backlog.requests as f64 * total_weight / (capacity * backlog.weight)
    }

    fn entry(&self, position: &EntryPosition) -> &QueueEntry<T> {
        &self.bands[&position.priority].flows[&position.flow_key].entries[position.index]
    }

    fn remove_entry(&mut self, position: &EntryPosition) -> QueueEntry<T> {
        let band =
            self.bands.get_mut(&position.priority).expect("the band of a found entry exists");
        let entry = band
            .flows
            .get_mut(&position.flow_key)
            .and_then(|it| it.entries.remove(position.index))
            .expect("a found entry exists");
        band.remove_idle_flows();
        self.release_slot(&position.flow_key.0);
        entry
    }

    fn release_slot(&mut self, team: &TeamName) {
        self.len -= 1;
        let backlog =
            self.backlogs.get_mut(team).expect("a team with a waiting request has a backlog");
        backlog.requests -= 1;
        if backlog.requests == 0 {
            self.backlogs.remove(team);
        }
    }

    fn stats_mut(&mut self, request: &QueuedRequest<T>) -> &mut QueueStats {
        self.stats.entry((request.team.clone(), request.class.clone())).or_default()
    }
}

impl<T> PriorityBand<T> {
    fn has_overdue(&self, now: Instant) -> bool {
        self.flows.values().any(|flow| {
            flow.entries.iter().find(|it| it.expiry() > now).is_some_and(|it| it.is_overdue(now))
        })
    }

    /// Removes empty flows that are not ahead of the virtual time.
    ///
    /// An empty flow that is ahead is kept. Otherwise a team that always has a single request in
    /// the queue would be served as if it had not been served before.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, it| !it.entries.is_empty() || it.virtual_finish > virtual_time);
    }
}

fn valid_weight(weight: f64) -> f64 {
    if weight > 0.0 && weight.is_finite() { weight } else { 1.0 }
}
