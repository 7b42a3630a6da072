//! Load reports and cache events, both delayed.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{CacheEvent, EventPage};

/// Cache events that are kept for readers.
const MAX_EVENTS: usize = 16_384;

/// What `GET /load` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) incarnation: String,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) capacity: u32,
    pub(crate) work_tokens: u64,
    pub(crate) cold: bool,
}

/// Load over time, so that readers see it with a lag.
#[derive(Debug)]
pub(crate) struct ReportHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, reports: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, now: Instant, report: LoadReport) {
        if self.reports.back().is_some_and(|it| it.1 == report) {
            return;
        }
        self.reports.push_back((now, report));
        self.drop_superseded(now);
    }

    /// Returns the newest report that is at least as old as the lag, or else the oldest one.
    pub(crate) fn visible(&mut self, now: Instant) -> LoadReport {
        self.drop_superseded(now);
        self.reports.front().map(|it| it.1.clone()).unwrap_or_default()
    }

    fn drop_superseded(&mut self, now: Instant) {
        while self.reports.len() > 1 && self.reports[1].0 + self.lag <= now {
            self.reports.pop_front();
        }
    }
}

/// Cache events with their numbers.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    drop_interval: u64,
    next_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, drop_interval: u64) -> Self {
        Self { lag, drop_interval, next_number: 1, events: VecDeque::new() }
    }

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
