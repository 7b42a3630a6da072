//! Means that forget.

use std::time::{Duration, Instant};

/// A mean of samples in which each new one has at least a fixed weight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    mean: f64,
    count: u32,
}

impl RunningMean {
    /// Adds a sample; among more than `memory` samples the older ones fade.
    pub(super) fn add(&mut self, sample: f64, memory: u32) {
        self.count = (self.count + 1).min(memory.max(1));
        self.mean += (sample - self.mean) / f64::from(self.count);
    }

    /// Returns the mean; none without samples.
    pub(super) fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }
}

/// A factor that returns to 1 while nothing is heard of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FadingFactor {
    /// Natural logarithm of the factor, so that a half and a double weigh the same.
    logarithm: f64,
    updated: Option<Instant>,
}

impl FadingFactor {
    /// Moves the factor towards `sample` by the share `weight`.
    pub(super) fn add(&mut self, now: Instant, sample: f64, weight: f64, fade_time: Duration) {
        let before = self.logarithm_at(now, fade_time);
        self.logarithm = before + weight * (sample.ln() - before);
        self.updated = Some(now);
    }

    /// Returns the factor as of `now`.
    pub(super) fn get(&self, now: Instant, fade_time: Duration) -> f64 {
        self.logarithm_at(now, fade_time).exp()
    }

    fn logarithm_at(&self, now: Instant, fade_time: Duration) -> f64 {
        self.updated.map_or(0.0, |it| self.logarithm * remaining_weight(now, it, fade_time))
    }
}

/// Returns the weight of what was known at `then`, which falls to 1/e within `fade_time`.
pub(super) fn remaining_weight(now: Instant, then: Instant, fade_time: Duration) -> f64 {
    let age = now.saturating_duration_since(then).as_secs_f64();
    (-age / fade_time.as_secs_f64()).exp()
}
