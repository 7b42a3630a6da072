//! Requests in flight of the other hosts, as they report them while choices need fresh counts.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::UpstreamSet;
pub use crate::schedule::ReportScope as InFlightScope;
use crate::{
    names::{HostName, ServiceName, UpstreamName},
    schedule::{ReportCoverage, ReportTable},
};

/// Time without any report after which loads are estimated from the responses of upstreams again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Share of the upstreams of a service below which the open ones are few: an even load of them is
/// then so far above the mean of all that it leaves little room for uneven loads.
const FEW_OPEN_SHARE: f64 = 0.75;

/// Part of the hosts whose requests must be known for the counts to be a better estimate than the
/// upstreams' own reports.
const MIN_COVERAGE: f64 = 0.9;

/// Time for which hosts report after the rate of requests has changed. A surge of some seconds ends
/// within it, and so do the requests that it leaves at the upstreams: choices by late reports go
/// wrong most while these drain.
const SURGE_HOLD: Duration = Duration::from_secs(10);

/// Time for which hosts report after a service was scarce or few upstreams were open: the requests
/// that such a time leaves at the upstreams end meanwhile.
const DRAIN_HOLD: Duration = Duration::from_secs(5);

/// Requests in flight to each upstream that has any.
pub type InFlightCounts = Vec<(UpstreamName, u32)>;

/// Requests in flight of some hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostCounts {
    /// Number of hosts whose requests they are.
    pub hosts: usize,
    /// The requests.
    pub counts: InFlightCounts,
}

/// The reports that count, by the host that sent them.
#[derive(Debug, Default)]
pub(super) struct InFlightTable {
    reports: ReportTable<HostCounts>,
    coverage: ReportCoverage,
    is_complete: bool,
    /// Number of hosts that are believed to run, this one included.
    live_hosts: usize,
    last_heard: Option<Instant>,
    /// Age of what the last report says, at most.
    lag: Duration,
    /// When this host, or another one, no longer needs reports.
    wanted_until: Option<Instant>,
}

impl InFlightTable {
    /// Returns the age up to which the counts are known; none if too few hosts report them.
    pub(super) fn lag(&self, now: Instant) -> Option<Duration> {
        let is_current = |at: Instant| now.saturating_duration_since(at) < MAX_REPORT_AGE;
        (self.is_complete && self.last_heard.is_some_and(is_current)).then_some(self.lag)
    }
}

impl UpstreamSet {
    /// Returns the time for which hosts have to report their requests in flight; zero if they need
    /// not.
    pub fn reports_wanted_for(&self, now: Instant) -> Duration {
        let until = self.others.wanted_until;
        until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// Records that reports are needed for a time.
    pub fn want_reports(&mut self, now: Instant, time: Duration) {
        self.others.wanted_until = self.others.wanted_until.max(Some(now + time.min(SURGE_HOLD)));
    }

    /// Finds out whether this host needs reports: a service is scarce, few upstreams of one are open,
    /// or the rate of requests to one is far from that of some seconds before.
    pub fn update_report_needs(&mut self, now: Instant, is_scarce: bool) {
        if is_scarce || self.has_few_open(now) {
            self.want_reports(now, DRAIN_HOLD);
        }
        if self.send_rates.values().any(|it| it.is_changing(now)) {
            self.want_reports(now, SURGE_HOLD);
        }
    }

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

    /// Sets the number of hosts that are believed to run, this one included.
    pub fn set_live_hosts(&mut self, count: usize) {
        self.others.live_hosts = count;
    }

    /// Returns the requests in flight that a report to `receiver` has in `scope`.
    pub fn in_flight(&self, now: Instant, scope: InFlightScope, receiver: &HostName) -> HostCounts {
        let mut sums: HashMap<&UpstreamName, u32> = HashMap::new();
        for state in self.upstreams.values().filter(|it| it.own_in_flight > 0) {
            sums.insert(&state.record.name, state.own_in_flight);
        }
        let mut hosts = 1;
        for report in self.others.reports.included(now, scope, receiver) {
            hosts += report.hosts;
            for (name, count) in &report.counts {
                let sum = sums.entry(name).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        let counts = sums.into_iter().map(|(name, count)| (name.clone(), count)).collect();
        HostCounts { hosts, counts }
    }

    /// Returns counts by the hash of the upstream's name, which is shorter.
    pub fn hash_counts(&self, counts: &InFlightCounts) -> Vec<(u32, u32)> {
        let hashed = |(name, count): &(UpstreamName, u32)| {
            Some((self.upstreams.get(name)?.short_hash(), *count))
        };
        counts.iter().filter_map(hashed).collect()
    }

    /// Returns counts by name; those of upstreams that are not published here are left out.
    pub fn named_counts(&self, counts: &[(u32, u32)]) -> InFlightCounts {
        let named =
            |(hash, count): &(u32, u32)| Some((self.upstreams.name_of(*hash)?.clone(), *count));
        counts.iter().filter_map(named).collect()
    }

    /// Merges a report that does not say how many hosts it counts.
    pub fn merge_in_flight(
        &mut self,
        now: Instant,
        sender: &HostName,
        scope: InFlightScope,
        lag: Duration,
        counts: InFlightCounts,
    ) {
        let hosts = if scope == InFlightScope::Host { 1 } else { self.others.live_hosts };
        self.merge_counts(now, sender, scope, lag, HostCounts { hosts, counts });
    }

    /// Replaces what a host reported before. `lag` is the age of the counts, at most.
    pub fn merge_counts(
        &mut self,
        now: Instant,
        sender: &HostName,
        scope: InFlightScope,
        lag: Duration,
        report: HostCounts,
    ) {
        for (name, count) in &report.counts {
            if let Some(state) = self.upstreams.get_mut(name) {
                state.other_in_flight = state.other_in_flight.saturating_add(*count);
            }
        }
        for dropped in self.others.reports.insert(now, sender, scope, report) {
            for (name, count) in dropped.counts {
                if let Some(state) = self.upstreams.get_mut(&name) {
                    state.other_in_flight = state.other_in_flight.saturating_sub(count);
                }
            }
        }
        let table = &mut self.others;
        let is_current = |at: Instant| now.saturating_duration_since(at) < MAX_REPORT_AGE;
        if !table.last_heard.is_some_and(is_current) {
            // The hosts that reported in an earlier exchange have not begun to in this one, but
            // still have requests.
            table.coverage = ReportCoverage::default();
        }
        let covered = 1 + table.reports.values(now).map(|it| it.hosts).sum::<usize>();
        table.coverage.record(now, covered);
        table.is_complete = table.coverage.part(now, covered, table.live_hosts) >= MIN_COVERAGE;
        table.last_heard = Some(now);
        table.lag = lag;
    }
}
