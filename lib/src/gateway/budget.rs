//! Retry budget: retries are a bounded share of a service's requests, summed over all hosts.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::names::ServiceName;

/// Slots of the sliding window.
const WINDOW_SLOTS: u32 = 10;

/// Share of the fleet-wide allowance that the hosts use together. The rest covers retries that are
/// counted in a later window than their request.
const ALLOWANCE_SHARE: f64 = 0.8;

/// Bound of the retries of one service, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request of a caller.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per window in addition to `ratio`, summed over all hosts.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of each service at this host, and refuses retries beyond its
/// share.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    started: Instant,
    services: HashMap<ServiceName, VecDeque<WindowSlot>>,
}

impl RetryBudget {
    /// Creates a budget in which no request is counted.
    pub fn new(now: Instant, allowance: RetryAllowance) -> Self {
        Self { allowance, started: now, services: HashMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.slot(now, service).requests += 1;
    }

    /// Acquires one retry; returns false if the share of this host is used up.
    ///
    /// `hosts` is the number of hosts among which [`RetryAllowance::slack`] is split.
    pub fn try_acquire(&mut self, now: Instant, service: &ServiceName, hosts: usize) -> bool {
        let RetryAllowance { ratio, slack, .. } = self.allowance;
        self.slot(now, service);
        let slots = &self.services[service];
        let requests: u32 = slots.iter().map(|it| it.requests).sum();
        let retries: u32 = slots.iter().map(|it| it.retries).sum();
        let share = slack / hosts.max(1) as f64;
        let allowed = ALLOWANCE_SHARE * (ratio * f64::from(requests) + share);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slot(now, service).retries += 1;
        true
    }

    fn slot(&mut self, now: Instant, service: &ServiceName) -> &mut WindowSlot {
        let width = self.allowance.window / WINDOW_SLOTS;
        let elapsed = now.saturating_duration_since(self.started).as_nanos();
        let number = (elapsed / width.as_nanos().max(1)) as u64;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slots = self.services.get_mut(service).expect("inserted above");
        slots.retain(|it| it.number + u64::from(WINDOW_SLOTS) > number);
        if slots.back().is_none_or(|it| it.number != number) {
            slots.push_back(WindowSlot { number, ..WindowSlot::default() });
        }
        slots.back_mut().expect("pushed above")
    }
}
