//! Requests in flight and cold starts of a stand-in upstream (engine or service).

use std::time::{Duration, Instant};

/// Requests in flight, and whether the upstream is cold.
///
/// A cold upstream crashes when more requests are in flight than its cold allowance. Each crash or
/// cold start begins a new generation. Requests of an earlier generation do not count against the
/// allowance.
#[derive(Debug)]
pub(crate) struct ColdStartState {
    pub(crate) incarnation: String,
    generation: u64,
    /// Generation that began with the last crash. The crash cancelled all requests of earlier
    /// generations.
    restart_generation: u64,
    pub(crate) is_cold: bool,
    /// Whether the load report says that the upstream is cold.
    pub(crate) is_reported_cold: bool,
    /// End of the warm-up, which starts with the first complete response.
    warm_at: Option<Instant>,
    allowance: u32,
    warmup: Duration,
    /// Requests in flight of the current generation.
    generation_in_flight: u32,
    /// Requests in flight of all generations.
    pub(crate) in_flight: u32,
    pub(crate) peak_in_flight: u32,
    /// Highest `generation_in_flight` while cold, including requests that caused a crash.
    pub(crate) peak_cold_in_flight: u32,
    /// Crashes because the cold allowance was exceeded.
    pub(crate) overload_crashes: u64,
    /// Crashes caused by the content of a request.
    pub(crate) crashes: u64,
}

/// Whether a request was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Accepted in this generation.
    Accepted(u64),
    /// The cold upstream crashed. The server has to close all connections.
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

    /// Returns whether a crash cancelled the requests of `generation`.
    pub(crate) fn is_generation_lost(&self, generation: u64) -> bool {
        self.restart_generation > generation
    }

    /// Ends the cold state if the warm-up is over.
    pub(crate) fn update_warmup(&mut self, now: Instant) {
        if self.is_cold && self.warm_at.is_some_and(|it| it <= now) {
            self.is_cold = false;
            self.is_reported_cold = false;
            self.warm_at = None;
        }
    }

    /// Counts a new request in flight, unless it crashes a cold upstream.
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

    /// Removes a request from the counts. The first complete response starts the warm-up.
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

    /// Crashes the upstream, which restarts as a cold one.
    pub(crate) fn crash(&mut self) {
        self.crashes += 1;
        self.restart_cold();
    }

    /// Starts a new, cold generation. A silent cold start keeps the incarnation and does not appear
    /// in the load report.
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

    /// Becomes cold after a crash and cancels the requests of all earlier generations.
    fn restart_cold(&mut self) {
        self.become_cold(false);
        self.restart_generation = self.generation;
    }
}

fn new_incarnation() -> String {
    format!("{:016x}", rand::random::<u64>())
}
