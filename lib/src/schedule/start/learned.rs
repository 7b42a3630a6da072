//! Times that a host learns from its requests.

use std::time::{Duration, Instant};

use super::StartRequest;

/// Weight of one request in the learned times. At 8 requests per second to a service, a change is
/// learned in about a second.
pub(super) const LEARNING_WEIGHT: f64 = 0.15;

/// Factor by which the usual time of callers shrinks with each request, so that a route whose
/// callers now have less time is learned after some thousand requests.
const TIME_LEFT_DECAY: f64 = 0.9995;

/// Exponentially weighted mean of a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearnedTime(Option<f64>);

impl LearnedTime {
    pub(super) fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let mean = self.0.get_or_insert(seconds);
        *mean += LEARNING_WEIGHT * (seconds - *mean);
    }

    pub(super) fn get(self) -> Option<Duration> {
        self.0.map(Duration::from_secs_f64)
    }
}

/// What is learned of the times of a route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteTimes {
    /// Time in flight.
    pub(super) total: LearnedTime,
    /// Time until the response or the first event.
    pub(super) response: LearnedTime,
    /// Longest time that callers have at their first attempt, slowly decaying.
    usual_time_left: Duration,
}

impl RouteTimes {
    pub(super) fn record_time_left(&mut self, time_left: Duration) {
        self.usual_time_left = time_left.max(self.usual_time_left.mul_f64(TIME_LEFT_DECAY));
    }

    /// Returns when the caller made its first attempt, as far as its remaining time shows.
    pub(super) fn first_attempt(&self, request: &StartRequest) -> Instant {
        let elapsed = request.time_left.map(|it| self.usual_time_left.saturating_sub(it));
        let elapsed = elapsed.unwrap_or_default();
        request.arrived.checked_sub(elapsed).unwrap_or(request.arrived)
    }
}
