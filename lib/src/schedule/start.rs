//! Start control of one host: whether a request starts now, waits, or is refused.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{
    DemandCell, FairQueue, HostShare, PushOutcome, QueueSettings, QueuedRequest, RefusalReason,
    ShareSource,
    usage::{DemandKey, RefusedDemand, TeamUsage},
};
use crate::names::{ClassName, OPEN_TEAM, RouteName, ServiceName, TeamName};

/// Weight of one request in the learned times. At 8 requests per second to a service, a change is
/// learned in about a second.
const LEARNING_WEIGHT: f64 = 0.15;

/// Time in which all hosts together fill room that is idle. Load reports are older than this on
/// average, so that a shorter time would fill the same room twice.
const IDLE_FILL_TIME: Duration = Duration::from_millis(100);

/// Starts that a host can save up while it sends less than its share. With fewer, a part of the
/// share would be lost whenever no request waits for a moment.
const MAX_SAVED_STARTS: f64 = 3.0;

/// Part of the latency target for which requests may wait at the upstreams. Without waiting requests
/// there, an upstream would be idle whenever hosts do not know yet that it has finished one.
const UPSTREAM_WAIT_PART: f64 = 0.25;

/// Most requests that may wait at the upstreams, as a multiple of those that they run.
const MAX_UPSTREAM_WAITING: f64 = 1.5;

/// Multiple of its share that a host may have in flight beyond the saved starts before pacing ends.
const MAX_STUCK_SHARES: f64 = 2.0;

/// Share below which starts are paced. A host with a larger one counts its requests in flight.
const MIN_COUNTED_SHARE: f64 = 2.0;

/// Smallest share of a host, so that a wrong room never stops it.
const MIN_SHARE: f64 = 0.02;

/// Part of the room that must be in use for a rejection to mean that a service is full; below it,
/// only the upstream that rejected the request is.
const FULL_PART: f64 = 0.8;

/// Part of the latency target that a request may always wait, however slow responses are.
const MIN_WAIT_PART: f64 = 0.5;

/// Factor by which the usual time of callers shrinks with each request, so that a route whose
/// callers now have less time is learned after some thousand requests.
const TIME_LEFT_DECAY: f64 = 0.9995;

/// Divisor of a caller's remaining time; longer stated delays are not honoured.
const RETRY_DIVISOR: u32 = 3;

/// Range of the learned ratio of real to forecast waits.
const FORECAST_ERROR_RANGE: (f64, f64) = (0.5, 4.0);

/// Interval at which the queue is served without any event: credit accrues with time.
const MAX_SERVE_INTERVAL: Duration = Duration::from_millis(50);
const MIN_SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// Bounds of the queue of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSettings {
    /// Requests that wait, over all services.
    pub max_waiting: usize,
    /// Bytes of their bodies.
    pub max_waiting_bytes: usize,
}

impl Default for StartSettings {
    fn default() -> Self {
        Self { max_waiting: 1_024, max_waiting_bytes: 16 << 20 }
    }
}

/// What a host knows of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRoom {
    /// Requests that the upstreams can have in flight together.
    pub places: f64,
    /// Requests of all hosts in flight, as far as they are known.
    pub in_flight: f64,
}

impl ServiceRoom {
    /// Returns whether there is no room for one more request.
    pub fn is_used_up(&self) -> bool {
        self.in_flight + 1.0 > self.places
    }

    fn idle(&self) -> f64 {
        (self.places - self.in_flight).max(0.0)
    }
}

/// A request before its start.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Route of the request; learned times are kept by route.
    pub route: RouteName,
    /// Team of the caller; absent on routes that are open to all.
    pub team: Option<TeamName>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Estimated work; absent if only the learned time of the route is known.
    pub work: Option<Duration>,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// When it arrived at this host.
    pub arrived: Instant,
    /// Time that its caller had left at its arrival, if the caller states it.
    pub time_left: Option<Duration>,
    /// Latency target of the route, from the arrival.
    pub target_latency: Duration,
    /// When the deadline, the timeout of the route or the patience of the caller ends.
    pub gives_up_at: Instant,
    /// When the deadline of the caller or the timeout of the route ends.
    pub expires_at: Instant,
}

impl StartRequest {
    fn demand_key(&self) -> DemandKey {
        (self.priority, self.team.clone())
    }

    fn team_or_open(&self) -> TeamName {
        self.team.clone().unwrap_or_else(|| TeamName::new(OPEN_TEAM))
    }
}

/// What is expected of a request that would have to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartForecast {
    /// Waiting requests that start before it.
    pub ahead: usize,
    /// Expected wait until it starts.
    pub wait: Duration,
    /// Longest wait with which the first event or the response is in time for the target.
    pub max_wait: Duration,
    /// Longest wait with which the caller is still there.
    pub give_up_wait: Duration,
    /// Share of this host.
    pub share: HostShare,
    /// Whether the team of the request is above its share.
    pub is_above_share: bool,
    /// Whether its caller came back so late that the latency target is missed already.
    pub is_late: bool,
}

/// Why a request is refused before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusalReason {
    /// The caller gives up before a response is expected.
    TooLate,
    /// The response is expected after the latency target, while more is asked for than can be
    /// served.
    OverTarget,
    /// The queue is full, or the request lost its place to another one.
    QueueFull,
    /// It waited for as long as was useful.
    WaitedTooLong,
}

impl StartRefusalReason {
    /// Returns the value of the log field and metrics label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::OverTarget => "over_target",
            Self::QueueFull => "queue_full",
            Self::WaitedTooLong => "waited_too_long",
        }
    }
}

/// A refusal before the start; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartRefusal {
    /// Why it is refused.
    pub reason: StartRefusalReason,
    /// Time after which room is expected.
    pub retry_after: Duration,
}

/// A request that has started, until [`StartControl::end`].
#[derive(Clone, Debug, PartialEq)]
pub struct StartedWork {
    service: ServiceName,
    route: RouteName,
    team: Option<TeamName>,
    priority: u8,
    weight: f64,
    started: Instant,
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub enum StartOutcome {
    /// It starts now.
    Started(StartedWork),
    /// It waits; the number identifies it for [`StartControl::cancel`].
    Waits(u64),
    /// It is refused.
    Refused(StartRefusal),
}

/// How the wait of a request ended, for its owner.
#[derive(Clone, Debug)]
pub enum WaitEnd {
    /// It starts now, after a wait.
    Started(StartedWork, Duration),
    /// It is refused.
    Refused(StartRefusal),
}

#[derive(Clone, Debug)]
struct WaitingRequest<T> {
    request: StartRequest,
    /// Forecast at its arrival, before the correction by the learned error.
    raw_wait: Duration,
    payload: T,
}

/// Exponentially weighted mean of a time.
#[derive(Clone, Copy, Debug, Default)]
struct LearnedTime(Option<f64>);

impl LearnedTime {
    fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let mean = self.0.get_or_insert(seconds);
        *mean += LEARNING_WEIGHT * (seconds - *mean);
    }

    fn get(self) -> Option<Duration> {
        self.0.map(Duration::from_secs_f64)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTimes {
    /// Time in flight.
    total: LearnedTime,
    /// Time until the response or the first event.
    response: LearnedTime,
    /// Longest time that callers have at their first attempt, slowly decaying.
    usual_time_left: Duration,
}

impl RouteTimes {
    fn record_time_left(&mut self, time_left: Duration) {
        self.usual_time_left = time_left.max(self.usual_time_left.mul_f64(TIME_LEFT_DECAY));
    }

    /// Returns when the caller made its first attempt, as far as its remaining time shows.
    fn first_attempt(&self, request: &StartRequest) -> Instant {
        let elapsed = request.time_left.map(|it| self.usual_time_left.saturating_sub(it));
        let elapsed = elapsed.unwrap_or_default();
        request.arrived.checked_sub(elapsed).unwrap_or(request.arrived)
    }
}

#[derive(Debug)]
struct ServiceState<T> {
    queue: FairQueue<WaitingRequest<T>>,
    in_flight: BTreeMap<DemandKey, CellLoad>,
    /// Requests that were refused lately.
    refused: RefusedDemand,
    /// The room when it was last known.
    last_room: Option<ServiceRoom>,
    /// Shortest latency target of the requests to the service.
    target_latency: Option<Duration>,
    in_flight_total: usize,
    /// Time in flight of requests.
    mean_time: LearnedTime,
    /// Estimated work of requests.
    mean_work: LearnedTime,
    /// Starts that have been saved up.
    credit: f64,
    credited: Option<Instant>,
    /// No start before this time, because an upstream was full.
    blocked_until: Option<Instant>,
    usage: TeamUsage,
    /// Learned ratio of real to forecast waits.
    forecast_error: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CellLoad {
    requests: u32,
    places: f64,
}

impl<T> ServiceState<T> {
    fn new(settings: &StartSettings) -> Self {
        let queue = QueueSettings { capacity: settings.max_waiting, ..QueueSettings::default() };
        Self {
            queue: FairQueue::new(queue),
            in_flight: BTreeMap::new(),
            refused: RefusedDemand::default(),
            last_room: None,
            target_latency: None,
            in_flight_total: 0,
            mean_time: LearnedTime::default(),
            mean_work: LearnedTime::default(),
            credit: 1.0,
            credited: None,
            blocked_until: None,
            usage: TeamUsage::default(),
            forecast_error: 1.0,
        }
    }

    /// Returns the starts per second with which the share of the host is met over time.
    fn start_rate(&self, share: HostShare, fallback_time: Duration) -> f64 {
        let time = self.mean_time.get().unwrap_or(fallback_time);
        share.places / time.as_secs_f64().max(0.001)
    }

    /// Adds to the room the requests that may wait at the upstreams.
    fn usable_room(&self, room: ServiceRoom) -> ServiceRoom {
        let waiting =
            self.target_latency.zip(self.mean_time.get()).map_or(0.0, |(target, time)| {
                UPSTREAM_WAIT_PART * target.as_secs_f64() / time.as_secs_f64().max(0.001)
            });
        ServiceRoom { places: room.places * (1.0 + waiting.min(MAX_UPSTREAM_WAITING)), ..room }
    }

    fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|it| now < it)
    }

    /// Returns the requests in flight and waiting, `arriving`, and what those that were refused
    /// lately would have had in flight. Without the latter two, a host that may start nothing would
    /// seem to need nothing.
    fn demand(&self, now: Instant, arriving: Option<&StartRequest>) -> Vec<DemandCell> {
        let mut cells: BTreeMap<DemandKey, f64> =
            self.in_flight.iter().map(|(key, load)| (key.clone(), load.places)).collect();
        let mean = self.mean_work.get();
        let time = self.mean_time.get().unwrap_or_default();
        for (key, places) in self.refused.places(now, time) {
            *cells.entry(key.clone()).or_default() += places;
        }
        if let Some(request) = arriving {
            *cells.entry(request.demand_key()).or_default() += work_weight(request.work, mean);
        }
        for queued in self.queue.iter() {
            let request = &queued.payload.request;
            *cells.entry(request.demand_key()).or_default() += work_weight(request.work, mean);
        }
        let cells = cells.into_iter().filter(|(_, places)| *places > 0.0);
        let cell =
            |((priority, team), places)| DemandCell { priority, team, places: places as f32 };
        cells.map(cell).collect()
    }

    /// Adds the starts that time has brought: those of the share, and this host's part of the room
    /// that is idle.
    fn accrue(&mut self, now: Instant, room: &ServiceRoom, share: HostShare, fallback: Duration) {
        let elapsed = self.credited.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.credited = Some(now);
        // Nothing is saved up while the service is not scarce, or while the host is frozen.
        let elapsed = elapsed.min(self.mean_time.get().unwrap_or(fallback).max(MAX_SERVE_INTERVAL));
        let part = (share.places / room.places.max(1.0)).min(1.0);
        let own_idle = room.idle() * part;
        // Of a share that is counted, the fraction is paced.
        let is_counted = share.places >= MIN_COUNTED_SHARE;
        let places = if is_counted { share.places.fract() } else { share.places };
        // Requests that hang do not end, so that pacing alone would go on without a bound.
        let is_stuck =
            self.in_flight_total as f64 > MAX_STUCK_SHARES * share.places + MAX_SAVED_STARTS;
        let paced = self.start_rate(HostShare { places, ..share }, fallback);
        let rate = if is_stuck { 0.0 } else { paced } + own_idle / IDLE_FILL_TIME.as_secs_f64();
        let limit = MAX_SAVED_STARTS.min(1.0 + share.places).max(own_idle);
        self.credit = (self.credit + elapsed.as_secs_f64() * rate).min(limit);
    }

    /// Returns whether one more request may start, while the service is scarce.
    fn may_start(&self, now: Instant, share: HostShare) -> bool {
        if self.is_blocked(now) {
            return false;
        }
        let is_within_share =
            share.places >= MIN_COUNTED_SHARE && self.in_flight_total as f64 + 1.0 <= share.places;
        is_within_share || self.credit >= 1.0
    }

    fn start(
        &mut self,
        now: Instant,
        request: &StartRequest,
        share: Option<HostShare>,
    ) -> StartedWork {
        let weight = work_weight(request.work, self.mean_work.get());
        let key = (request.priority, request.team.clone());
        let load = self.in_flight.entry(key).or_default();
        load.requests += 1;
        load.places += weight;
        self.in_flight_total += 1;
        self.usage.record_start(now, &request.team_or_open(), weight);
        let is_counted = |it: HostShare| {
            it.places >= MIN_COUNTED_SHARE && self.in_flight_total as f64 <= it.places
        };
        if share.is_some_and(|it| !is_counted(it)) {
            self.credit -= 1.0;
        }
        StartedWork {
            service: request.service.clone(),
            route: request.route.clone(),
            team: request.team.clone(),
            priority: request.priority,
            weight,
            started: now,
        }
    }

    fn update_above_share(&mut self, now: Instant) {
        let above = self.usage.above_share(now);
        self.queue.set_above_share(above);
    }
}

/// Steps of the queue's priority between two priorities of requests. The queue raises a class with
/// overdue requests by one, which must not make late requests equal to those that can be in time.
const PRIORITY_STEPS: u8 = 4;

/// Returns the priority in the queue. Of one priority, requests whose target is missed already go
/// last: each that starts would make a new one late.
fn queue_priority(request: &StartRequest, is_late: bool) -> u8 {
    let priority = request.priority.min(u8::MAX / PRIORITY_STEPS - 1) * PRIORITY_STEPS;
    if is_late { priority + PRIORITY_STEPS / 2 } else { priority }
}

/// Returns the work of a request relative to the mean of its service.
fn work_weight(work: Option<Duration>, mean: Option<Duration>) -> f64 {
    match (work, mean) {
        (Some(work), Some(mean)) if !mean.is_zero() => {
            (work.as_secs_f64() / mean.as_secs_f64()).clamp(0.05, 20.0)
        }
        _ => 1.0,
    }
}

/// Decides for one host which requests start, wait or are refused; `T` is what its user needs to
/// answer a request that waits.
///
/// While a service is not scarce, every request starts at once. A service is scarce while the
/// requests in flight reach its room, or while requests wait here.
#[derive(Debug)]
pub struct StartControl<T> {
    settings: StartSettings,
    services: HashMap<ServiceName, ServiceState<T>>,
    routes: HashMap<RouteName, RouteTimes>,
    waiting: usize,
    waiting_bytes: usize,
}

impl<T> StartControl<T> {
    /// Creates a control that knows nothing.
    pub fn new(settings: StartSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
            routes: HashMap::new(),
            waiting: 0,
            waiting_bytes: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether requests wait for a service.
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|it| !it.queue.is_empty())
    }

    /// Returns the services that have waiting requests.
    pub fn services_with_waiting(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter().filter(|(_, state)| !state.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of requests that wait for a service.
    pub fn waiting_for(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |it| it.queue.len())
    }

    /// Returns the teams that are above their share of a service, as of its last decision.
    pub fn above_share(&self, service: &ServiceName) -> impl Iterator<Item = &TeamName> {
        self.services.get(service).into_iter().flat_map(|it| it.queue.above_share())
    }

    /// Returns the room of a service with the requests that may wait at its upstreams, which is the
    /// room that decisions take.
    pub fn usable_room(&self, service: &ServiceName, room: ServiceRoom) -> ServiceRoom {
        self.services.get(service).map_or(room, |it| it.usable_room(room))
    }

    /// Returns the demand of this host for a service: its requests in flight and waiting.
    pub fn demand(&self, now: Instant, service: &ServiceName) -> Vec<DemandCell> {
        self.services.get(service).map(|it| it.demand(now, None)).unwrap_or_default()
    }

    /// Decides on a request. `room` is absent if the room of the service is not known; it is then
    /// never scarce.
    pub fn admit(
        &mut self,
        now: Instant,
        request: StartRequest,
        room: Option<ServiceRoom>,
        shares: &dyn ShareSource,
        payload: T,
    ) -> StartOutcome {
        let settings = self.settings;
        if let Some(time_left) = request.time_left {
            self.routes.entry(request.route.clone()).or_default().record_time_left(time_left);
        }
        let state = self
            .services
            .entry(request.service.clone())
            .or_insert_with(|| ServiceState::new(&settings));
        if let Some(work) = request.work {
            state.mean_work.record(work);
        }
        let weight = work_weight(request.work, state.mean_work.get());
        state.usage.record_arrival(now, &request.team_or_open(), weight);
        let target = state.target_latency.get_or_insert(request.target_latency);
        *target = request.target_latency.min(*target);
        let is_idle = state.queue.is_empty() && !state.is_blocked(now);
        let Some(room) = room.filter(|it| !is_idle || it.is_used_up()) else {
            // With no known room there is nothing to wait for.
            return StartOutcome::Started(state.start(now, &request, None));
        };
        state.last_room = Some(room);
        let share = host_share(now, state, &request.service, Some(&request), &room, shares);
        state.accrue(now, &room, share, request.target_latency);
        if state.queue.is_empty() && state.may_start(now, share) {
            return StartOutcome::Started(state.start(now, &request, Some(share)));
        }
        state.update_above_share(now);
        let forecast = self.forecast(now, &request, &room, share);
        let refused = |reason| {
            let retry_after = retry_after(now, &request, forecast.wait);
            StartOutcome::Refused(StartRefusal { reason, retry_after })
        };
        let too_late = forecast.wait > forecast.give_up_wait;
        if too_late || forecast.wait > forecast.max_wait {
            if let Some(state) = self.services.get_mut(&request.service) {
                state.refused.record(now, request.demand_key(), weight);
            }
            return refused(if too_late {
                StartRefusalReason::TooLate
            } else {
                StartRefusalReason::OverTarget
            });
        }
        if self.waiting >= settings.max_waiting
            || self.waiting_bytes + request.body_bytes > settings.max_waiting_bytes
        {
            return refused(StartRefusalReason::QueueFull);
        }
        let queued = self.queued(now, request, &forecast, payload);
        let bytes = queued.payload.request.body_bytes;
        let state = self.services.get_mut(&queued.payload.request.service).expect("created above");
        match state.queue.push(now, queued) {
            // The queue of a service holds as many requests as all queues together, so that none
            // is shed.
            PushOutcome::Queued { number, .. } => {
                self.waiting += 1;
                self.waiting_bytes += bytes;
                StartOutcome::Waits(number)
            }
            PushOutcome::Refused(refused) => StartOutcome::Refused(StartRefusal {
                reason: StartRefusalReason::QueueFull,
                retry_after: retry_after(now, &refused.request.payload.request, forecast.wait),
            }),
        }
    }

    /// Returns what is expected of a request that arrives now and has to wait. Changes nothing.
    pub fn forecast(
        &self,
        now: Instant,
        request: &StartRequest,
        room: &ServiceRoom,
        share: HostShare,
    ) -> StartForecast {
        let team = request.team_or_open();
        let times = self.routes.get(&request.route).copied().unwrap_or_default();
        let response = times.response.get().unwrap_or_default();
        let target = times.first_attempt(request) + request.target_latency;
        let is_late = target <= now;
        let max_wait = target
            .saturating_duration_since(now + response)
            .max(request.target_latency.mul_f64(MIN_WAIT_PART));
        let give_up_wait = request.gives_up_at.saturating_duration_since(now + response);
        let state = self.services.get(&request.service);
        let ahead =
            state.map_or(0, |it| it.queue.len_ahead(&team, queue_priority(request, is_late)));
        let rate = state.map_or(0.0, |it| it.start_rate(share, request.target_latency))
            + room.idle() * (share.places / room.places.max(1.0)).min(1.0)
                / IDLE_FILL_TIME.as_secs_f64();
        let credit = state.map_or(0.0, |it| it.credit);
        let error = state.map_or(1.0, |it| it.forecast_error);
        let starts = (ahead as f64 + 1.0 - credit).max(0.0);
        let seconds = error * starts / rate.max(0.001);
        StartForecast {
            ahead,
            wait: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
            max_wait,
            give_up_wait,
            share,
            is_above_share: state.is_some_and(|it| it.queue.is_above_share(&team)),
            is_late,
        }
    }

    fn queued(
        &self,
        now: Instant,
        request: StartRequest,
        forecast: &StartForecast,
        payload: T,
    ) -> QueuedRequest<WaitingRequest<T>> {
        let times = self.routes.get(&request.route).copied().unwrap_or_default();
        let work = request.work.or_else(|| times.total.get()).unwrap_or(request.target_latency);
        let state = &self.services[&request.service];
        QueuedRequest {
            team: request.team_or_open(),
            weight: 1.0,
            class: ClassName::new(request.route.as_str()),
            priority: queue_priority(&request, forecast.is_late),
            target: request.service.as_str().into(),
            work: work.as_micros() as u64,
            max_wait: forecast.max_wait.min(forecast.give_up_wait),
            deadline: request.expires_at.min(now + forecast.give_up_wait),
            payload: WaitingRequest {
                raw_wait: forecast.wait.div_f64(state.forecast_error),
                request,
                payload,
            },
        }
    }

    /// Starts the waiting requests of a service that may start, and refuses those that waited too
    /// long.
    pub fn serve(
        &mut self,
        now: Instant,
        service: &ServiceName,
        room: Option<ServiceRoom>,
        shares: &dyn ShareSource,
    ) -> Vec<(T, WaitEnd)> {
        let Some(state) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let mut ends = Vec::new();
        for refused in state.queue.expire(now) {
            let waiting = refused.request.payload;
            state.learn_wait(waiting.raw_wait, refused.wait);
            let reason = match refused.reason {
                RefusalReason::DeadlinePassed => StartRefusalReason::TooLate,
                RefusalReason::WaitedTooLong => StartRefusalReason::WaitedTooLong,
                RefusalReason::QueueFull | RefusalReason::Shed => StartRefusalReason::QueueFull,
            };
            let retry_after = retry_after(now, &waiting.request, refused.wait);
            self.waiting -= 1;
            self.waiting_bytes -= waiting.request.body_bytes;
            ends.push((waiting.payload, WaitEnd::Refused(StartRefusal { reason, retry_after })));
        }
        state.update_above_share(now);
        // Upstreams that are paused or lost for a moment must not release the whole queue.
        let room = room.or(state.last_room);
        while !state.queue.is_empty() {
            let share = match &room {
                Some(room) => {
                    let share = host_share(now, state, service, None, room, shares);
                    let fallback = state.queue.iter().map(|it| it.payload.request.target_latency);
                    let fallback = fallback.min().unwrap_or_default();
                    state.accrue(now, room, share, fallback);
                    if !state.may_start(now, share) {
                        break;
                    }
                    Some(share)
                }
                None => None,
            };
            let Some(started) = state.queue.pop(now, |_| true) else {
                break;
            };
            let waiting = started.request.payload;
            state.learn_wait(waiting.raw_wait, started.wait);
            self.waiting -= 1;
            self.waiting_bytes -= waiting.request.body_bytes;
            let work = state.start(now, &waiting.request, share);
            ends.push((waiting.payload, WaitEnd::Started(work, started.wait)));
        }
        ends
    }

    /// Returns how long the waiting requests of a host can be left alone if no event comes; none if
    /// no request waits.
    pub fn next_serve(&self, now: Instant) -> Option<Duration> {
        let waiting = self.services.values().filter(|it| !it.queue.is_empty());
        let next = |it: &ServiceState<T>| {
            let expiry = it.queue.next_expiry().map(|it| it.saturating_duration_since(now));
            let missing = (1.0 - it.credit).max(0.0);
            let time = it.mean_time.get().unwrap_or(MAX_SERVE_INTERVAL).mul_f64(missing);
            let next = time.min(expiry.unwrap_or(MAX_SERVE_INTERVAL));
            next.clamp(MIN_SERVE_INTERVAL, MAX_SERVE_INTERVAL)
        };
        waiting.map(next).min()
    }

    /// Removes a waiting request whose caller has left. Returns false if it no longer waits.
    pub fn cancel(&mut self, service: &ServiceName, number: u64) -> bool {
        let state = self.services.get_mut(service);
        let Some(cancelled) = state.and_then(|it| it.queue.cancel(number)) else {
            return false;
        };
        self.waiting -= 1;
        self.waiting_bytes -= cancelled.payload.request.body_bytes;
        true
    }

    /// Records that an upstream had no room, and returns whether the others are full too. The host
    /// then starts nothing for the time of one start of its share, and has saved up none.
    pub fn record_full(
        &mut self,
        now: Instant,
        service: &ServiceName,
        room: &ServiceRoom,
        shares: &dyn ShareSource,
    ) -> bool {
        if room.in_flight < FULL_PART * room.places {
            return false;
        }
        if let Some(state) = self.services.get_mut(service) {
            let share = host_share(now, state, service, None, room, shares);
            state.credit = state.credit.min(0.0);
            let rate = state.start_rate(share, MAX_SERVE_INTERVAL);
            let pause = Duration::from_secs_f64(1.0 / rate.max(1.0)).min(MAX_SERVE_INTERVAL);
            state.blocked_until = state.blocked_until.max(Some(now + pause));
        }
        true
    }

    /// Records that the response or the first event of a started request arrived.
    pub fn record_response(&mut self, now: Instant, work: &StartedWork) {
        let time = now.saturating_duration_since(work.started);
        self.routes.entry(work.route.clone()).or_default().response.record(time);
    }

    /// Records the end of a started request. `is_complete` says whether it ran to its end, so that
    /// its time is typical.
    pub fn end(&mut self, now: Instant, work: &StartedWork, is_complete: bool) {
        let time = now.saturating_duration_since(work.started);
        if let Some(state) = self.services.get_mut(&work.service) {
            let key = (work.priority, work.team.clone());
            if let Some(load) = state.in_flight.get_mut(&key) {
                load.requests -= 1;
                load.places = (load.places - work.weight).max(0.0);
                if load.requests == 0 {
                    state.in_flight.remove(&key);
                }
            }
            state.in_flight_total -= 1;
            if is_complete {
                state.mean_time.record(time);
            }
        }
        if is_complete {
            self.routes.entry(work.route.clone()).or_default().total.record(time);
        }
    }
}

impl<T> ServiceState<T> {
    fn learn_wait(&mut self, forecast: Duration, wait: Duration) {
        if forecast < MIN_SERVE_INTERVAL {
            return;
        }
        let (low, high) = FORECAST_ERROR_RANGE;
        let ratio = (wait.as_secs_f64() / forecast.as_secs_f64()).clamp(low, high);
        self.forecast_error += LEARNING_WEIGHT * (ratio - self.forecast_error);
    }
}

fn host_share<T>(
    now: Instant,
    state: &ServiceState<T>,
    service: &ServiceName,
    arriving: Option<&StartRequest>,
    room: &ServiceRoom,
    shares: &dyn ShareSource,
) -> HostShare {
    bounded(shares.share(now, service, &state.demand(now, arriving), room.places))
}

fn bounded(share: HostShare) -> HostShare {
    let places = if share.places.is_finite() { share.places.max(MIN_SHARE) } else { MIN_SHARE };
    HostShare { places, ..share }
}

/// Returns when a refused caller should come back: when its turn would be, spread over as long
/// again so that not all callers return together, and within the time that it honours.
fn retry_after(now: Instant, request: &StartRequest, wait: Duration) -> Duration {
    let left = request.expires_at.saturating_duration_since(now);
    let limit = left / RETRY_DIVISOR;
    let usual = wait.clamp(request.target_latency.mul_f64(MIN_WAIT_PART).min(limit), limit);
    (usual.mul_f64(1.0 + rand::random::<f64>())).min(limit)
}
