//! How many upstreams a prompt needs that much of a service's traffic asks for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::decay::remaining_weight;

/// Time constant of the rates of prompts.
const RATE_TIME: Duration = Duration::from_secs(8);

/// Requests of a prompt, as a decayed count, below which its rate says too little to split it.
const MIN_REQUESTS: f64 = 12.0;

/// Requests of a prompt for each of its upstreams, as a multiple of the mean load, above which one
/// more upstream takes part. An upstream may hold twice the mean, and has other prompts besides.
const ADD_MULTIPLE: f64 = 1.4;

/// Requests added to that, since nearly idle upstreams need no help.
const ADD_SLACK: f64 = 2.5;

/// Part of that load below which an upstream is given up. Hysteresis keeps the number from changing
/// with every fluctuation of the rate; each change costs reading the prompt once more.
const DROP_SHARE: f64 = 0.65;

/// Largest number of upstreams of one prompt.
pub const MAX_PROMPT_SHARES: usize = 32;

/// Largest number of prompts whose rates are kept.
const MAX_PROMPTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    weight: f64,
    updated: Instant,
}

impl DecayedCount {
    fn at(&self, now: Instant) -> f64 {
        self.weight * remaining_weight(now, self.updated, RATE_TIME)
    }

    fn add(&mut self, now: Instant) {
        *self = Self { weight: self.at(now) + 1.0, updated: now };
    }
}

#[derive(Clone, Copy, Debug)]
struct PromptRate {
    count: DecayedCount,
    upstreams: usize,
}

/// Rates of the prompts of one service as this host sees them.
///
/// The hosts see samples of the same traffic. Where their numbers differ, the smaller set of
/// upstreams is a part of the larger one, since all take the first in rendezvous order.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand {
    total: Option<DecayedCount>,
    prompts: HashMap<u64, PromptRate>,
}

impl PromptDemand {
    /// Counts a request of a prompt at a service with `open` upstreams that hold `mean` requests each.
    pub fn record(&mut self, now: Instant, prompt: u64, open: usize, mean: f64) {
        let zero = DecayedCount { weight: 0.0, updated: now };
        let total = self.total.get_or_insert(zero);
        total.add(now);
        let total = total.weight;
        if self.prompts.len() >= MAX_PROMPTS && !self.prompts.contains_key(&prompt) {
            self.drop_rare(now);
        }
        let rate = self.prompts.entry(prompt).or_insert(PromptRate { count: zero, upstreams: 1 });
        rate.count.add(now);
        let load = rate.count.weight / total * mean * open as f64;
        let most = open.clamp(1, MAX_PROMPT_SHARES);
        let full = ADD_MULTIPLE * mean + ADD_SLACK;
        let is_known = rate.count.weight >= MIN_REQUESTS;
        while is_known && rate.upstreams < most && load > full * rate.upstreams as f64 {
            rate.upstreams += 1;
        }
        while rate.upstreams > 1
            && (rate.upstreams > most || load < DROP_SHARE * full * (rate.upstreams - 1) as f64)
        {
            rate.upstreams -= 1;
        }
    }

    /// Returns the number of upstreams, in rendezvous order, among which a prompt is spread.
    pub fn upstreams(&self, now: Instant, prompt: u64) -> usize {
        let is_current = |it: &&PromptRate| it.count.at(now) >= 1.0;
        self.prompts.get(&prompt).filter(is_current).map_or(1, |it| it.upstreams)
    }

    /// Drops at least half of the prompts, the rarest first.
    fn drop_rare(&mut self, now: Instant) {
        let mut weights: Vec<f64> = self.prompts.values().map(|it| it.count.at(now)).collect();
        let middle = weights.len() / 2;
        let median = *weights.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.prompts.retain(|_, it| it.count.at(now) > median);
    }
}
