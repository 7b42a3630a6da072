//! Outcomes of requests at upstreams, which the hosts of a data centre send each other for passive
//! health checks.
//!
//! In a large fleet each host sends a request to a given upstream only every few seconds, and would
//! notice too late by itself that the upstream fails. Outcomes are counted in numbered time slots,
//! so that a host counts each of them once although it receives it many times.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::names::{HostName, UpstreamName};

/// Length of a slot; an outcome is sent once its slot has ended. In a simulation of 22 hosts, an
/// upstream that fails half of its requests gets 0.37 of a fair share of the requests, and 0.45
/// with slots of 1 s.
const SLOT_LENGTH: Duration = Duration::from_millis(250);

/// Number of ended slots that are sent. In a data centre of twenty hosts, two given hosts exchange
/// digests every five seconds on average, and older outcomes say little about an upstream.
const SENT_SLOTS: u64 = 24;

/// Largest number of upstreams in a slot.
const MAX_SLOT_UPSTREAMS: usize = 64;

/// Numbers of requests that ended at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// Those with a complete response.
    pub complete: u32,
    /// Those that the upstream failed, or whose connection was lost.
    pub failed: u32,
}

/// Outcomes of one time slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeSlot {
    number: u64,
    counts: BTreeMap<UpstreamName, OutcomeCount>,
}

/// The outcomes that one host recorded, and the position up to which it merged those of others.
#[derive(Debug)]
pub struct OutcomeLog {
    started: Instant,
    slots: VecDeque<OutcomeSlot>,
    /// Incarnation of each host, and the last of its slots that was merged.
    merged: HashMap<HostName, (u64, u64)>,
}

impl OutcomeLog {
    /// Creates a log without outcomes.
    pub fn new(now: Instant) -> Self {
        Self { started: now, slots: VecDeque::new(), merged: HashMap::new() }
    }

    /// Counts a request that reached its upstream and ended.
    pub fn record(&mut self, now: Instant, upstream: &UpstreamName, is_complete: bool) {
        let number = self.slot_number(now);
        if self.slots.back().is_none_or(|it| it.number != number) {
            self.slots.push_back(OutcomeSlot { number, ..OutcomeSlot::default() });
        }
        let slot = self.slots.back_mut().expect("pushed above");
        if slot.counts.len() < MAX_SLOT_UPSTREAMS || slot.counts.contains_key(upstream) {
            let count = slot.counts.entry(upstream.clone()).or_default();
            if is_complete {
                count.complete += 1;
            } else {
                count.failed += 1;
            }
        }
    }

    /// Returns the ended slots to send to other hosts, oldest first.
    pub fn slots_to_send(&mut self, now: Instant) -> Vec<OutcomeSlot> {
        let current = self.slot_number(now);
        self.slots.retain(|it| it.number + SENT_SLOTS >= current);
        self.slots.iter().filter(|it| it.number < current).cloned().collect()
    }

    /// Merges the slots of another host; returns the counts that were not merged before.
    ///
    /// `slots` are ordered from the oldest to the newest.
    pub fn merge_slots(
        &mut self,
        host: &HostName,
        incarnation: u64,
        slots: &[OutcomeSlot],
    ) -> BTreeMap<UpstreamName, OutcomeCount> {
        let known = self.merged.get(host).filter(|it| it.0 == incarnation).map(|it| it.1);
        let mut counts: BTreeMap<UpstreamName, OutcomeCount> = BTreeMap::new();
        for slot in slots.iter().filter(|it| known.is_none_or(|last| it.number > last)) {
            for (upstream, received) in &slot.counts {
                let count = counts.entry(upstream.clone()).or_default();
                count.complete += received.complete;
                count.failed += received.failed;
            }
        }
        if let Some(last) = slots.last() {
            let last = known.map_or(last.number, |it| last.number.max(it));
            self.merged.insert(host.clone(), (incarnation, last));
        }
        counts
    }

    fn slot_number(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        (elapsed / SLOT_LENGTH.as_millis()) as u64
    }
}
