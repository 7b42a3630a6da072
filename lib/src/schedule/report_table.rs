//! The newest reports of other hosts, on themselves or on groups of hosts.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::names::HostName;

/// Time after which a report no longer counts: its host was lost, or reports to another one.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);

/// Time for which hosts that reported are known to be able to. One of them that stops was lost or
/// cut off; a host that never reported may be an older release or has just started, and still has
/// requests that nobody counts.
const PEAK_RETENTION: Duration = Duration::from_secs(30);

/// Whose requests a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportScope {
    /// Those of the host alone.
    Host,
    /// Those of the host and of the hosts that report to it.
    Group,
    /// Those of all hosts but the receiver.
    Others,
}

#[derive(Clone, Debug)]
struct HostEntry<T> {
    heard: Instant,
    scope: ReportScope,
    value: T,
}

/// The reports that count, by the host that sent them.
#[derive(Clone, Debug)]
pub struct ReportTable<T> {
    entries: HashMap<HostName, HostEntry<T>>,
}

impl<T> Default for ReportTable<T> {
    fn default() -> Self {
        Self { entries: HashMap::new() }
    }
}

impl<T> ReportTable<T> {
    /// Replaces what a host reported before; a report on all other hosts replaces those of every
    /// host. Returns the values that no longer count.
    pub fn insert(
        &mut self,
        now: Instant,
        sender: &HostName,
        scope: ReportScope,
        value: T,
    ) -> Vec<T> {
        let is_kept = |host: &HostName, entry: &HostEntry<T>| {
            scope != ReportScope::Others
                && host != sender
                && entry.scope != ReportScope::Others
                && is_current(now, entry.heard)
        };
        let dropped = self.entries.extract_if(|host, entry| !is_kept(host, entry));
        let dropped = dropped.map(|(_, entry)| entry.value).collect();
        self.entries.insert(sender.clone(), HostEntry { heard: now, scope, value });
        dropped
    }

    /// Returns the values that have not expired.
    pub fn values(&self, now: Instant) -> impl Iterator<Item = &T> {
        self.entries.values().filter(move |it| is_current(now, it.heard)).map(|it| &it.value)
    }

    /// Returns the values that a report to `receiver` with `scope` adds to what this host has.
    pub fn included(
        &self,
        now: Instant,
        scope: ReportScope,
        receiver: &HostName,
    ) -> impl Iterator<Item = &T> {
        let is_included = move |(host, entry): &(&HostName, &HostEntry<T>)| {
            is_current(now, entry.heard)
                && match scope {
                    ReportScope::Host => false,
                    ReportScope::Group => entry.scope == ReportScope::Host,
                    ReportScope::Others => *host != receiver,
                }
        };
        self.entries.iter().filter(is_included).map(|(_, entry)| &entry.value)
    }
}

/// Which part of the hosts the reports count.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportCoverage {
    /// Highest number of hosts within `PEAK_RETENTION`, and when it was last reached.
    peak: Option<(usize, Instant)>,
}

impl ReportCoverage {
    /// Records that reports count `covered` hosts, this one included.
    pub fn record(&mut self, now: Instant, covered: usize) {
        if covered >= self.known_peak(now) {
            self.peak = Some((covered, now));
        }
    }

    /// Returns the part of the hosts that may send requests which `covered` are.
    ///
    /// `live_hosts` is the number of hosts that are believed to run. Those that never reported count
    /// as hosts that send; those that did and no longer do, do not.
    pub fn part(&self, now: Instant, covered: usize, live_hosts: usize) -> f64 {
        let covered = covered.max(1);
        let silent = live_hosts.saturating_sub(self.known_peak(now).max(covered));
        covered as f64 / (covered + silent) as f64
    }

    fn known_peak(&self, now: Instant) -> usize {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEAK_RETENTION;
        self.peak.filter(|(_, at)| is_recent(*at)).map_or(0, |(peak, _)| peak)
    }
}

fn is_current(now: Instant, heard: Instant) -> bool {
    now.saturating_duration_since(heard) < REPORT_EXPIRY
}
