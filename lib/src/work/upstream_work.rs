//! What a host knows of the work at one upstream.

use std::time::{Duration, Instant};

use super::{
    decay::{FadingFactor, remaining_weight},
    span_log::SpanLog,
};
use crate::names::RouteName;

/// Time after which what was learned of an upstream's speed has faded to 1/e. One that was slow
/// and gets little work wins it back within some of it.
const SPEED_FADE_TIME: Duration = Duration::from_secs(5);

/// Weight of one duration in the learned speed. Durations of equal requests differ by half; seven
/// or so make a difference of a quarter stand out.
const SPEED_WEIGHT: f64 = 0.15;

/// Age at which a reported pace has lost most of its weight; it changes many times a second.
const PACE_FADE_TIME: Duration = Duration::from_millis(500);

/// Fade time and weight of the pace over a longer time, for choices that have to be steady.
const STEADY_PACE_FADE_TIME: Duration = Duration::from_secs(3);
const STEADY_PACE_WEIGHT: f64 = 0.1;

/// Bounds of any factor that is reported or learned, so that a false one cannot take an upstream
/// out of use, or send everything to it.
const MIN_FACTOR: f64 = 0.25;
const MAX_FACTOR: f64 = 8.0;

/// Factors up to this, or down to its inverse, count as usual: equal upstreams differ by as much
/// in what was learned of a few requests.
const USUAL_FACTOR: f64 = 1.25;

/// The same for choices that have to be steady: each prompt that moves is read again.
const STEADY_USUAL_FACTOR: f64 = 2.0;

/// What an upstream reports of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// Time that work takes at the moment, in percent of the usual time.
    pub pace_percent: u32,
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct AttemptWork {
    pub(super) ticket: u64,
    pub(super) route: RouteName,
    pub(super) started: Instant,
    pub(super) first_event: Option<Instant>,
    pub(super) uncached_tokens: Option<u32>,
    pub(super) hinted_tokens: Option<u32>,
    /// Expected time until the first event, at the usual speed.
    pub(super) before_first_event: Duration,
    pub(super) expected_events: f64,
    pub(super) event_time: Duration,
    pub(super) events: u32,
    /// Reported pace of the machine when the attempt started.
    pub(super) pace: f64,
}

impl AttemptWork {
    /// Returns the time that the rest of the work takes at the usual speed.
    fn remaining(&self, now: Instant) -> Duration {
        let before = if self.first_event.is_some() {
            Duration::ZERO
        } else {
            self.before_first_event.saturating_sub(now.saturating_duration_since(self.started))
        };
        // A response that is longer than expected goes on: one more event at least.
        let left = (self.expected_events - f64::from(self.events)).max(1.0);
        let after = if self.event_time.is_zero() { 0.0 } else { left };
        before + self.event_time.mul_f64(after)
    }
}

/// Speed, cached spans and requests in flight of one process of an upstream.
#[derive(Debug, Default)]
pub(super) struct UpstreamWork {
    pub(super) incarnation: u64,
    pub(super) spans: SpanLog,
    pub(super) attempts: Vec<AttemptWork>,
    /// Time that requests take, relative to the service and apart from the reported pace.
    speed: FadingFactor,
    pace: FadingFactor,
    steady_pace: FadingFactor,
}

impl UpstreamWork {
    pub(super) fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    pub(super) fn record_report(&mut self, now: Instant, report: WorkReport) {
        if report.pace_percent == 0 {
            return;
        }
        let pace = (f64::from(report.pace_percent) / 100.0).clamp(MIN_FACTOR, MAX_FACTOR);
        self.pace.add(now, pace, 1.0, PACE_FADE_TIME);
        self.steady_pace.add(now, pace, STEADY_PACE_WEIGHT, STEADY_PACE_FADE_TIME);
    }

    /// Learns from the time that work took, relative to the expected time.
    pub(super) fn record_duration(&mut self, now: Instant, relative: f64, pace: f64) {
        let factor = (relative / pace).clamp(MIN_FACTOR, MAX_FACTOR);
        self.speed.add(now, factor, SPEED_WEIGHT, SPEED_FADE_TIME);
    }

    /// Returns the pace of the machine as of `now`; an old report counts less.
    pub(super) fn pace(&self, now: Instant) -> f64 {
        self.pace.get(now, PACE_FADE_TIME)
    }

    /// Returns how many times the usual time work takes at the moment.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        beyond(USUAL_FACTOR, self.speed.get(now, SPEED_FADE_TIME) * self.pace(now))
    }

    /// Returns the same over some seconds.
    pub(super) fn steady_slowness(&self, now: Instant) -> f64 {
        let pace = self.steady_pace.get(now, STEADY_PACE_FADE_TIME);
        beyond(STEADY_USUAL_FACTOR, self.speed.get(now, SPEED_FADE_TIME) * pace)
    }

    /// Returns the work that this host's requests in flight still cause.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        let work: Duration = self.attempts.iter().map(|it| it.remaining(now)).sum();
        work.mul_f64(self.slowness(now))
    }

    /// Returns whether nothing that was learned still counts.
    pub(super) fn is_forgotten(&self, now: Instant, since: Instant) -> bool {
        self.attempts.is_empty() && remaining_weight(now, since, SPEED_FADE_TIME) < 0.01
    }
}

/// Returns 1 for factors up to `usual` or down to its inverse, and one that begins at 1 outside.
fn beyond(usual: f64, factor: f64) -> f64 {
    let beyond = if factor > 1.0 { (factor / usual).max(1.0) } else { (factor * usual).min(1.0) };
    beyond.clamp(MIN_FACTOR, MAX_FACTOR)
}
