//! Concurrency and cold start of an upstream.

use std::time::{Duration, Instant};

/// Requests in flight, and whether the upstream is cold.
///
/// Each crash, fall or announced cold start begins a new generation. Requests of an earlier
/// generation do not count against the cold allowance.
#[derive(Debug)]
pub(crate) struct ColdStartState {
    pub(crate) incarnation: String,
    generation: u64,
    /// Generation that began with the last crash or fall; older requests are lost.
    restart_generation: u64,
    pub(crate) is_cold: bool,
    /// Whether the load report tells that the upstream is cold.
    pub(crate) is_reported_cold: bool,
    warm_at: Option<Instant>,
    allowance: u32,
    warmup: Duration,
    /// Requests in flight that were received in this generation.
    generation_in_flight: u32,
    /// All requests in flight.
    pub(crate) in_flight: u32,
    pub(crate) peak_in_flight: u32,
    pub(crate) peak_cold_in_flight: u32,
    pub(crate) overload_crashes: u64,
    pub(crate) crashes: u64,
}

/// Whether a request was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Taken in this generation.
    Accepted(u64),
    /// The cold upstream fell over; all connections must be dropped.
    Overloaded,
}

impl ColdStartState {
    pub(crate) fn new(is_cold: bool, allowance: u32, warmup: Duration) -> Self {
        Self {
            incarnation: new_incarnation(),
            generation: 0,
            restart_generation: 0,
            is_cold,
            is_reported_cold: is_cold,
            warm_at: None,
            allowance,
            warmup,
            generation_in_flight: 0,
            in_flight: 0,
            peak_in_flight: 0,
            peak_cold_in_flight: 0,
            overload_crashes: 0,
            crashes: 0,
        }
    }

    /// Returns whether the upstream crashed or fell over since `generation` began.
    pub(crate) fn is_generation_lost(&self, generation: u64) -> bool {
        self.restart_generation > generation
    }

    pub(crate) fn update_warmup(&mut self, now: Instant) {
        if self.is_cold && self.warm_at.is_some_and(|it| it <= now) {
            self.is_cold = false;
            self.is_reported_cold = false;
            self.warm_at = None;
        }
    }

    pub(crate) fn admit(&mut self, now: Instant) -> Admission {
        self.update_warmup(now);
        self.generation_in_flight += 1;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        if self.is_cold {
            self.peak_cold_in_flight = self.peak_cold_in_flight.max(self.generation_in_flight);
            if self.generation_in_flight > self.allowance {
                self.in_flight -= 1;
                self.overload_crashes += 1;
                self.restart_cold();
                return Admission::Overloaded;
            }
        }
        Admission::Accepted(self.generation)
    }

    pub(crate) fn finish_request(&mut self, generation: u64, is_complete: bool, now: Instant) {
        self.in_flight -= 1;
        if generation == self.generation {
            self.generation_in_flight -= 1;
            if is_complete && self.is_cold && self.warm_at.is_none() {
                self.warm_at = Some(now + self.warmup);
            }
        }
        self.update_warmup(now);
    }

    pub(crate) fn crash(&mut self) {
        self.crashes += 1;
        self.restart_cold();
    }

    /// Becomes cold; a silent cold start keeps the incarnation and does not show in the report.
    pub(crate) fn become_cold(&mut self, is_silent: bool) {
        self.generation += 1;
        self.generation_in_flight = 0;
        self.is_cold = true;
        self.is_reported_cold = !is_silent;
        self.warm_at = None;
        if !is_silent {
            self.incarnation = new_incarnation();
        }
    }

    fn restart_cold(&mut self) {
        self.become_cold(false);
        self.restart_generation = self.generation;
    }
}

fn new_incarnation() -> String {
    format!("{:016x}", rand::random::<u64>())
}
