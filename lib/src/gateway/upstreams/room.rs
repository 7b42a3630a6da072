//! How many requests the upstreams of a service can have in flight.

use std::time::{Duration, Instant};

use super::{LoadReport, REPORT_DECAY_TIME, ReportedLoad, UpstreamSet, UpstreamState};
use crate::{names::ServiceName, schedule::ServiceRoom};

/// Requests in flight at an upstream beyond those that it can run. They keep it busy until the
/// hosts hear that it has finished others.
const QUEUED_PER_UPSTREAM: f64 = 2.0;

/// Waiting requests, relative to the running ones, from which an upstream is full. An engine counts
/// a request as waiting while it reads its prompt, so that a few wait at one with room.
const FULL_WAITING_SHARE: f64 = 0.25;

/// Age up to which a report of an upstream says more of its load than counts of requests in flight.
/// These also count requests on their way, and those that a busy host has not looked at yet.
const CURRENT_REPORT_TIME: Duration = Duration::from_millis(100);

/// Requests that an upstream was seen to run at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedRoom {
    seen: Instant,
    slots: f64,
    /// Below `slots` if the upstream had requests waiting while it ran fewer.
    places: f64,
}

impl ObservedRoom {
    /// Updates the room from a load report.
    ///
    /// An upstream with many waiting requests is full. Otherwise it may have room for one more than
    /// it runs; the room grows with what it is seen to run, since a full upstream is often without
    /// waiting requests for a moment.
    pub(super) fn after(
        before: Option<Self>,
        now: Instant,
        published: u32,
        load: &ReportedLoad,
    ) -> Option<Self> {
        let slots = load.slots.filter(|it| *it > 0).unwrap_or(published);
        if slots == 0 {
            return None;
        }
        // One that runs more than it states has at least as many slots.
        let slots = f64::from(slots.max(load.running));
        let running = f64::from(load.running);
        let waiting = f64::from(load.waiting);
        let places = if waiting > QUEUED_PER_UPSTREAM.max(FULL_WAITING_SHARE * running) {
            running
        } else {
            before.map_or(slots, |it| it.current(now).max(running + 1.0))
        };
        Some(Self { seen: now, slots, places: places.clamp(1.0, slots) })
    }

    /// Returns the room; an old observation counts less.
    fn current(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.seen).as_secs_f64();
        let weight = (-age / REPORT_DECAY_TIME.as_secs_f64()).exp();
        weight * self.places + (1.0 - weight) * self.slots
    }
}

impl UpstreamState {
    /// Returns the requests that it can run; none if it publishes and reports no slots.
    pub(super) fn places(&self, now: Instant) -> Option<f64> {
        let published = Some(f64::from(self.record.slots)).filter(|it| *it > 0.0);
        self.room.map(|it| it.current(now)).or(published)
    }

    /// Returns its load by its own report and this host's requests since, if the report is current.
    fn current_load(&self, now: Instant) -> Option<f64> {
        let is_current =
            |it: &LoadReport| now.saturating_duration_since(it.reported_at) <= CURRENT_REPORT_TIME;
        let report = self.report.filter(is_current)?;
        let since = f64::from(self.own_in_flight) - f64::from(report.own_in_flight);
        Some((report.requests + since).max(0.0))
    }

    /// Returns whether it can run one more request than `load`, if that is known.
    pub(super) fn has_room(&self, now: Instant, load: f64) -> Option<bool> {
        self.places(now).map(|it| load + 1.0 <= it + QUEUED_PER_UPSTREAM)
    }
}

impl UpstreamSet {
    /// Returns the room of the upstreams that take new requests. None if none of them publishes or
    /// reports slots, or if none has reported its load. One without slots counts like the mean of
    /// the others.
    pub fn service_room(&self, now: Instant, service: &ServiceName) -> Option<ServiceRoom> {
        let basis = self.load_basis(now, service);
        let is_open = |it: &&UpstreamState| {
            it.announcement.allows_requests(now) && !it.health.is_unreachable()
        };
        let mut room = ServiceRoom { places: 0.0, in_flight: 0.0 };
        let mut has_report = false;
        let (mut known, mut unknown) = (0_u32, 0_u32);
        for state in self.published_to_picks(now, service).filter(is_open) {
            has_report |= state.room.is_some();
            match state.places(now) {
                Some(places) => {
                    known += 1;
                    room.places += places + QUEUED_PER_UPSTREAM;
                }
                None => unknown += 1,
            }
            // Without a report only the requests of this host are known.
            let estimated = state.estimated_load(&basis, 0.0);
            let reported = state.current_load(now);
            room.in_flight += reported.map_or(estimated, |it| it.min(estimated));
        }
        room.places *= 1.0 + f64::from(unknown) / f64::from(known.max(1));
        (has_report && known > 0).then_some(room)
    }
}
