//! One service at a host: its queue, what is in flight, and the starts that the share allows.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    MAX_SERVE_INTERVAL, MIN_SERVE_INTERVAL, ServiceRoom, StartRequest, StartSettings, StartedWork,
    learned::{LEARNING_WEIGHT, LearnedTime},
};
use crate::schedule::{
    DemandCell, FairQueue, HostShare, QueueSettings,
    usage::{DemandKey, RefusedDemand, TeamUsage},
};

/// Time in which all hosts together fill room that is idle. Load reports are older than this on
/// average, so that a shorter time would fill the same room twice.
pub(super) const IDLE_FILL_TIME: Duration = Duration::from_millis(100);

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

/// Range of the learned ratio of real to forecast waits.
const FORECAST_ERROR_RANGE: (f64, f64) = (0.5, 4.0);

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest<T> {
    pub(super) request: StartRequest,
    /// Forecast at its arrival, before the correction by the learned error.
    pub(super) raw_wait: Duration,
    pub(super) payload: T,
}

/// State of one service at a host.
#[derive(Debug)]
pub(super) struct ServiceState<T> {
    pub(super) queue: FairQueue<WaitingRequest<T>>,
    pub(super) in_flight: BTreeMap<DemandKey, CellLoad>,
    /// Requests that were refused lately.
    pub(super) refused: RefusedDemand,
    /// The room when it was last known.
    pub(super) last_room: Option<ServiceRoom>,
    /// Shortest latency target of the requests to the service.
    pub(super) target_latency: Option<Duration>,
    pub(super) in_flight_total: usize,
    /// Time in flight of requests.
    pub(super) mean_time: LearnedTime,
    /// Estimated work of requests.
    pub(super) mean_work: LearnedTime,
    /// Starts that have been saved up.
    pub(super) credit: f64,
    pub(super) credited: Option<Instant>,
    /// No start before this time, because an upstream was full.
    pub(super) blocked_until: Option<Instant>,
    pub(super) usage: TeamUsage,
    /// Learned ratio of real to forecast waits.
    pub(super) forecast_error: f64,
}

/// Requests in flight of one class and team.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CellLoad {
    pub(super) requests: u32,
    pub(super) places: f64,
}

impl<T> ServiceState<T> {
    pub(super) fn new(settings: &StartSettings) -> Self {
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
    pub(super) fn start_rate(&self, share: HostShare, fallback_time: Duration) -> f64 {
        let time = self.mean_time.get().unwrap_or(fallback_time);
        share.places / time.as_secs_f64().max(0.001)
    }

    /// Adds to the room the requests that may wait at the upstreams.
    pub(super) fn usable_room(&self, room: ServiceRoom) -> ServiceRoom {
        let waiting =
            self.target_latency.zip(self.mean_time.get()).map_or(0.0, |(target, time)| {
                UPSTREAM_WAIT_PART * target.as_secs_f64() / time.as_secs_f64().max(0.001)
            });
        ServiceRoom { places: room.places * (1.0 + waiting.min(MAX_UPSTREAM_WAITING)), ..room }
    }

    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|it| now < it)
    }

    /// Returns the requests in flight and waiting, `arriving`, and what those that were refused
    /// lately would have had in flight. Without the latter two, a host that may start nothing would
    /// seem to need nothing.
    pub(super) fn demand(&self, now: Instant, arriving: Option<&StartRequest>) -> Vec<DemandCell> {
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
    pub(super) fn accrue(
        &mut self,
        now: Instant,
        room: &ServiceRoom,
        share: HostShare,
        fallback: Duration,
    ) {
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
    pub(super) fn may_start(&self, now: Instant, share: HostShare) -> bool {
        if self.is_blocked(now) {
            return false;
        }
        let is_within_share =
            share.places >= MIN_COUNTED_SHARE && self.in_flight_total as f64 + 1.0 <= share.places;
        is_within_share || self.credit >= 1.0
    }

    pub(super) fn start(
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

    pub(super) fn update_above_share(&mut self, now: Instant) {
        let above = self.usage.above_share(now);
        self.queue.set_above_share(above);
    }

    pub(super) fn learn_wait(&mut self, forecast: Duration, wait: Duration) {
        if forecast < MIN_SERVE_INTERVAL {
            return;
        }
        let (low, high) = FORECAST_ERROR_RANGE;
        let ratio = (wait.as_secs_f64() / forecast.as_secs_f64()).clamp(low, high);
        self.forecast_error += LEARNING_WEIGHT * (ratio - self.forecast_error);
    }
}

/// Returns the work of a request relative to the mean of its service.
pub(super) fn work_weight(work: Option<Duration>, mean: Option<Duration>) -> f64 {
    match (work, mean) {
        (Some(work), Some(mean)) if !mean.is_zero() => {
            (work.as_secs_f64() / mean.as_secs_f64()).clamp(0.05, 20.0)
        }
        _ => 1.0,
    }
}
