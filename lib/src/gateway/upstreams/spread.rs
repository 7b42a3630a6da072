//! Choice of the next upstream when many hosts choose at the same time from the same knowledge.
//!
//! If each host chose the least loaded upstream, all would send to the same one until they hear of
//! its load. Instead, a host chooses each upstream with a probability that makes the loads equal
//! once all hosts have sent what they send until they hear of each other: the requests fill the
//! upstreams up to a common level.

use std::time::{Duration, Instant};

/// Time constant of a [`SendRate`].
const RATE_TIME: Duration = Duration::from_secs(2);

/// Time constants of the rates that are compared in order to detect a change.
const RECENT_TIME: Duration = Duration::from_millis(500);
const USUAL_TIME: Duration = Duration::from_secs(8);

/// Age of a rate before which no change is detected: a host that starts does not know what is usual.
const MIN_RATE_AGE: Duration = Duration::from_secs(2);

/// Smallest difference of the requests in `RECENT_TIME` that counts as a change, and the number of
/// standard deviations that it must exceed. Hosts with few requests differ by chance from one moment
/// to the next, and one host that detects a change lets all others report.
const MIN_CHANGE: f64 = 8.0;
const CHANGE_DEVIATIONS: f64 = 5.0;

/// Fractional part of the golden ratio. The multiples of it, modulo 1, are spread evenly, so that
/// the choices of a host differ less from their probabilities than random ones.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Requests per second, as an exponentially decaying mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendRate {
    mean: DecayingCount,
    recent: DecayingCount,
    usual: DecayingCount,
    first: Option<Instant>,
}

impl SendRate {
    pub(super) fn record(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.mean.record(now, RATE_TIME);
        self.recent.record(now, RECENT_TIME);
        self.usual.record(now, USUAL_TIME);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.mean.per_second(now, RATE_TIME)
    }

    /// Returns whether the rate of the last moments is far from that of some seconds before.
    pub(super) fn is_changing(&self, now: Instant) -> bool {
        let age = self.first.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        if age < MIN_RATE_AGE {
            return false;
        }
        // The share of a count over an unlimited time that a host of this age has.
        let seen = 1.0 - (-age.as_secs_f64() / USUAL_TIME.as_secs_f64()).exp();
        let usual = self.usual.per_second(now, USUAL_TIME) / seen;
        let recent = self.recent.decayed(now, RECENT_TIME);
        let expected = usual * RECENT_TIME.as_secs_f64();
        // Of independent arrivals, a decaying count varies by half of its mean.
        let deviation = (expected / 2.0).sqrt();
        (recent - expected).abs() >= MIN_CHANGE.max(CHANGE_DEVIATIONS * deviation)
    }
}

/// Number of events that each count less the longer ago they are.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    weight: f64,
    updated: Option<Instant>,
}

impl DecayingCount {
    fn record(&mut self, now: Instant, time: Duration) {
        self.weight = self.decayed(now, time) + 1.0;
        self.updated = Some(now);
    }

    fn per_second(&self, now: Instant, time: Duration) -> f64 {
        self.decayed(now, time) / time.as_secs_f64()
    }

    fn decayed(&self, now: Instant, time: Duration) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.weight * (-age.as_secs_f64() / time.as_secs_f64()).exp()
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
