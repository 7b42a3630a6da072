//! Requests in flight of the other hosts, as they report them while few upstreams take requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::UpstreamSet;
use crate::names::{HostName, ServiceName, UpstreamName};

/// Time after which a report no longer counts: its host was lost, or reports to another one.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);

/// Time without any report after which loads are estimated from the responses of upstreams again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Share of the upstreams of a service below which the open ones are few: an even load of them is
/// then so far above the mean of all that it leaves little room for uneven loads.
const FEW_OPEN_SHARE: f64 = 0.75;

/// Requests in flight to each upstream that has any.
pub type InFlightCounts = Vec<(UpstreamName, u32)>;

/// Whose requests a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InFlightScope {
    /// Those of the host alone.
    Host,
    /// Those of the host and of the hosts that report to it.
    Group,
    /// Those of all hosts but the receiver.
    Others,
}

#[derive(Debug)]
struct InFlightSource {
    heard: Instant,
    scope: InFlightScope,
    counts: InFlightCounts,
}

/// The reports that count, by the host that sent them.
#[derive(Debug, Default)]
pub(super) struct InFlightTable {
    sources: HashMap<HostName, InFlightSource>,
    last_heard: Option<Instant>,
    /// Age of what the last report says, at most.
    lag: Duration,
}

impl InFlightTable {
    /// Returns the age up to which the counts are known; none if they are not reported.
    pub(super) fn lag(&self, now: Instant) -> Option<Duration> {
        let is_current = |at: Instant| now.saturating_duration_since(at) < MAX_REPORT_AGE;
        self.last_heard.is_some_and(is_current).then_some(self.lag)
    }
}

impl UpstreamSet {
    /// Returns whether few upstreams of some service take new requests.
    pub fn has_few_open(&self, now: Instant) -> bool {
        self.upstreams.services().any(|it| self.has_few_open_in(now, it))
    }

    fn has_few_open_in(&self, now: Instant, service: &ServiceName) -> bool {
        let published = self.upstreams.of_service(service);
        let published = published.filter(|it| it.removed_at.is_none_or(|at| now < at)).count();
        let open = self.published_to_picks(now, service).count();
        (open as f64) < FEW_OPEN_SHARE * published as f64
    }

    /// Returns the requests in flight that a report to `receiver` has in `scope`.
    pub fn in_flight(&self, scope: InFlightScope, receiver: &HostName) -> InFlightCounts {
        let is_included = |(host, source): &(&HostName, &InFlightSource)| match scope {
            InFlightScope::Host => false,
            InFlightScope::Group => source.scope == InFlightScope::Host,
            InFlightScope::Others => *host != receiver,
        };
        let mut counts: HashMap<&UpstreamName, u32> = HashMap::new();
        for state in self.upstreams.values().filter(|it| it.own_in_flight > 0) {
            counts.insert(&state.record.name, state.own_in_flight);
        }
        for (_, source) in self.others.sources.iter().filter(is_included) {
            for (name, count) in &source.counts {
                let sum = counts.entry(name).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        counts.into_iter().map(|(name, count)| (name.clone(), count)).collect()
    }

    /// Replaces what a host reported before. `lag` is the age of the counts, at most.
    ///
    /// A report on all other hosts replaces those of every host.
    pub fn merge_in_flight(
        &mut self,
        now: Instant,
        sender: &HostName,
        scope: InFlightScope,
        lag: Duration,
        counts: InFlightCounts,
    ) {
        if scope == InFlightScope::Others {
            self.retain_in_flight(|_, _| false);
        } else {
            self.retain_in_flight(|host, source| {
                let is_other = host != sender && source.scope != InFlightScope::Others;
                is_other && now.saturating_duration_since(source.heard) < REPORT_EXPIRY
            });
        }
        for (name, count) in &counts {
            if let Some(state) = self.upstreams.get_mut(name) {
                state.other_in_flight = state.other_in_flight.saturating_add(*count);
            }
        }
        self.others.sources.insert(sender.clone(), InFlightSource { heard: now, scope, counts });
        self.others.last_heard = Some(now);
        self.others.lag = lag;
    }

    fn retain_in_flight(&mut self, mut is_kept: impl FnMut(&HostName, &InFlightSource) -> bool) {
        let dropped = self.others.sources.extract_if(|host, source| !is_kept(host, source));
        for (name, count) in dropped.flat_map(|(_, source)| source.counts) {
            if let Some(state) = self.upstreams.get_mut(&name) {
                state.other_in_flight = state.other_in_flight.saturating_sub(count);
            }
        }
    }
}
