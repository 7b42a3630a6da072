//! Load reports and cache events, both published with a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{CacheEvent, EventPage};

/// Most recent cache events that are kept for readers.
const MAX_EVENTS: usize = 16_384;

/// Response body of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) incarnation: String,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) capacity: u32,
    /// Prompt and response tokens still to be processed; for a service, requests in flight.
    pub(crate) work_tokens: u64,
    pub(crate) cold: bool,
}

/// Load reports over time, of which readers see one that is `lag` old.
#[derive(Debug)]
pub(crate) struct ReportHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, reports: VecDeque::new() }
    }

    /// Adds a report unless it equals the last one.
    pub(crate) fn push(&mut self, now: Instant, report: LoadReport) {
        if self.reports.back().is_some_and(|it| it.1 == report) {
            return;
        }
        self.reports.push_back((now, report));
        self.drop_superseded(now);
    }

    /// Returns the newest report that is at least `lag` old, or the oldest one if there is none.
    pub(crate) fn visible(&mut self, now: Instant) -> LoadReport {
        self.drop_superseded(now);
        self.reports.front().map(|it| it.1.clone()).unwrap_or_default()
    }

    /// Drops the reports that are older than the visible one.
    fn drop_superseded(&mut self, now: Instant) {
        while self.reports.len() > 1 && self.reports[1].0 + self.lag <= now {
            self.reports.pop_front();
        }
    }
}

/// Numbered cache events.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    /// Events with a multiple of this number are dropped; 0 drops none.
    drop_interval: u64,
    next_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, drop_interval: u64) -> Self {
        Self { lag, drop_interval, next_number: 1, events: VecDeque::new() }
    }

    /// Assigns the next number to an event and records it, unless `drop_interval` applies.
    pub(super) fn push(&mut self, now: Instant, kind: &'static str, chat: String) {
        let number = self.next_number;
        self.next_number += 1;
        if self.drop_interval != 0 && number.is_multiple_of(self.drop_interval) {
            return;
        }
        self.events.push_back((now, CacheEvent { number, kind, chat }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the published events with a number above `after`.
    pub(super) fn page(&self, after: u64, now: Instant) -> EventPage {
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|it| it.1.number > after && it.0 + self.lag <= now)
            .map(|it| it.1.clone())
            .collect();
        EventPage { next: events.last().map_or(after, |it| it.number), events }
    }
}
