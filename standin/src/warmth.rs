//! Concurrency and cold start of an upstream.

use std::time::{Duration, Instant};

/// Requests in flight, and whether the upstream is cold.
///
/// Each crash, fall or announced cold start begins a new generation. Requests of an earlier
/// generation do not count against the cold allowance.
#[derive(Debug)]
pub(crate) struct WarmthState {
    pub(crate) incarnation: String,
    generation: u64,
    /// Generation that began with the last crash or fall; older requests are lost.
    restarted_at: u64,
    pub(crate) cold: bool,
    /// Whether the load report tells that the upstream is cold.
    pub(crate) announced: bool,
    warm_at: Option<Instant>,
    allowance: u32,
    warmup: Duration,
    /// Requests in flight that were received in this generation.
    current: u32,
    /// All requests in flight.
    pub(crate) in_flight: u32,
    pub(crate) peak_in_flight: u32,
    pub(crate) peak_cold: u32,
    pub(crate) falls: u64,
    pub(crate) crashes: u64,
}

/// Whether a request was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Taken in this generation.
    Taken(u64),
    /// The cold upstream fell over; all connections must be dropped.
    Fell,
}

impl WarmthState {
    pub(crate) fn new(cold: bool, allowance: u32, warmup: Duration) -> Self {
        Self {
            incarnation: new_incarnation(),
            generation: 0,
            restarted_at: 0,
            cold,
            announced: cold,
            warm_at: None,
            allowance,
            warmup,
            current: 0,
            in_flight: 0,
            peak_in_flight: 0,
            peak_cold: 0,
            falls: 0,
            crashes: 0,
        }
    }

    /// Returns whether the upstream crashed or fell over since `generation` began.
    pub(crate) fn generation_ended(&self, generation: u64) -> bool {
        self.restarted_at > generation
    }

    pub(crate) fn refresh(&mut self, now: Instant) {
        if self.cold && self.warm_at.is_some_and(|it| it <= now) {
            self.cold = false;
            self.announced = false;
            self.warm_at = None;
        }
    }

    pub(crate) fn arrive(&mut self, now: Instant) -> Arrival {
        self.refresh(now);
        self.current += 1;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        if self.cold {
            self.peak_cold = self.peak_cold.max(self.current);
            if self.current > self.allowance {
                self.in_flight -= 1;
                self.falls += 1;
                self.restart();
                return Arrival::Fell;
            }
        }
        Arrival::Taken(self.generation)
    }

    pub(crate) fn leave(&mut self, generation: u64, complete: bool, now: Instant) {
        self.in_flight -= 1;
        if generation == self.generation {
            self.current -= 1;
            if complete && self.cold && self.warm_at.is_none() {
                self.warm_at = Some(now + self.warmup);
            }
        }
        self.refresh(now);
    }

    pub(crate) fn crash(&mut self) {
        self.crashes += 1;
        self.restart();
    }

    /// Becomes cold; a silent cold start keeps the incarnation and does not show in the report.
    pub(crate) fn become_cold(&mut self, silent: bool) {
        self.generation += 1;
        self.current = 0;
        self.cold = true;
        self.announced = !silent;
        self.warm_at = None;
        if !silent {
            self.incarnation = new_incarnation();
        }
    }

    fn restart(&mut self) {
        self.become_cold(false);
        self.restarted_at = self.generation;
    }
}

fn new_incarnation() -> String {
    format!("{:016x}", rand::random::<u64>())
}
