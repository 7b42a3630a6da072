//! Choice of the next upstream when many hosts choose at the same time from the same knowledge.
//!
//! If each host chose the least loaded upstream, all would send to the same one until they hear of
//! its load. Instead, a host chooses each upstream with a probability that makes the loads equal
//! once all hosts have sent what they send until they hear of each other: the requests fill the
//! upstreams up to a common level.

use std::time::{Duration, Instant};

/// Time constant of a [`SendRate`].
const RATE_TIME: Duration = Duration::from_secs(2);

/// Fractional part of the golden ratio. The multiples of it, modulo 1, are spread evenly, so that
/// the choices of a host differ less from their probabilities than random ones.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Requests per second, as an exponentially decaying mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendRate {
    weight: f64,
    updated: Option<Instant>,
}

impl SendRate {
    pub(super) fn record(&mut self, now: Instant) {
        self.weight = self.decayed(now) + 1.0;
        self.updated = Some(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / RATE_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.weight * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}

/// Numbers in [0, 1) that are spread evenly; each host has a sequence of its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvenSequence(f64);

impl EvenSequence {
    /// Creates a sequence that begins at `offset`.
    pub(super) fn new(offset: f64) -> Self {
        Self(offset.fract())
    }

    pub(super) fn current(&self) -> f64 {
        self.0
    }

    pub(super) fn advance(&mut self) {
        self.0 = (self.0 + GOLDEN_FRACTION).fract();
    }
}

/// Load and capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpreadChoice {
    pub(super) load: f64,
    pub(super) capacity: f64,
}

impl SpreadChoice {
    fn level(&self) -> f64 {
        self.load / self.capacity
    }

    /// Returns the requests that raise the load to `level`.
    fn gap(&self, level: f64) -> f64 {
        (level * self.capacity - self.load).max(0.0)
    }
}

/// Returns the index of the chosen upstream; none if there are none.
///
/// `arrivals` are the requests that all hosts send until they hear of each other, and `draw` is a
/// number in [0, 1). With no arrivals the least loaded upstream is chosen.
pub(super) fn choose(choices: &[SpreadChoice], arrivals: f64, draw: f64) -> Option<usize> {
    let order = |a: &SpreadChoice, b: &SpreadChoice| a.level().total_cmp(&b.level());
    let (least, _) = choices.iter().enumerate().min_by(|a, b| order(a.1, b.1))?;
    let level = fill_level(choices, arrivals);
    let total: f64 = choices.iter().map(|it| it.gap(level)).sum();
    let mut left = draw * total;
    let chosen = choices.iter().position(|it| {
        left -= it.gap(level);
        left < 0.0
    });
    Some(chosen.unwrap_or(least))
}

/// Returns the load per capacity up to which `arrivals` fill the least loaded upstreams.
fn fill_level(choices: &[SpreadChoice], arrivals: f64) -> f64 {
    let mut sorted = choices.to_vec();
    sorted.sort_by(|a, b| a.level().total_cmp(&b.level()));
    let (mut load, mut capacity) = (arrivals, 0.0);
    for (index, choice) in sorted.iter().enumerate() {
        load += choice.load;
        capacity += choice.capacity;
        if sorted.get(index + 1).is_none_or(|it| it.level() >= load / capacity) {
            break;
        }
    }
    load / capacity
}
