//! Start control of one host: whether a request starts now, waits, or is refused.

mod learned;
mod request;
mod service_state;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

pub use self::request::{
    ServiceRoom, StartForecast, StartOutcome, StartRefusal, StartRefusalReason, StartRequest,
    StartSettings, StartedWork, WaitEnd,
};
use self::{
    learned::RouteTimes,
    service_state::{IDLE_FILL_TIME, ServiceState, WaitingRequest, work_weight},
};
use super::{DemandCell, HostShare, PushOutcome, QueuedRequest, RefusalReason, ShareSource};
use crate::names::{ClassName, RouteName, ServiceName, TeamName};

/// Smallest share of a host, so that a wrong room never stops it.
const MIN_SHARE: f64 = 0.02;

/// Part of the room that must be in use for a rejection to mean that a service is full; below it,
/// only the upstream that rejected the request is.
const FULL_PART: f64 = 0.8;

/// Part of the latency target that a request may always wait, however slow responses are.
const MIN_WAIT_PART: f64 = 0.5;

/// Divisor of a caller's remaining time; longer stated delays are not honoured.
const RETRY_DIVISOR: u32 = 3;

/// Interval at which the queue is served without any event: credit accrues with time.
const MAX_SERVE_INTERVAL: Duration = Duration::from_millis(50);
const MIN_SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// Steps of the queue's priority between two priorities of requests. The queue raises a class with
/// overdue requests by one, which must not make late requests equal to those that can be in time.
const PRIORITY_STEPS: u8 = 4;

/// Returns the priority in the queue. Of one priority, requests whose target is missed already go
/// last: each that starts would make a new one late.
fn queue_priority(request: &StartRequest, is_late: bool) -> u8 {
    let priority = request.priority.min(u8::MAX / PRIORITY_STEPS - 1) * PRIORITY_STEPS;
    if is_late { priority + PRIORITY_STEPS / 2 } else { priority }
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
