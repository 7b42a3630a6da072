//! Reports of the requests in flight between hosts, while few upstreams of a service are open.
//!
//! Otherwise hosts know the load of an upstream from its responses, which is enough as long as the
//! load of the open upstreams is far below the limit. When few are open, a host has to know what
//! the others have just sent.
//!
//! In a small fleet each host reports to each other one as soon as its requests change. In a larger
//! one the relays of the data centres add up the requests: each host reports to a relay of its data
//! centre, and receives the requests of all others in the reply.

use std::{collections::HashMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout},
};

use super::{
    fleet::Gateway,
    members::MemberRecord,
    peers::PeerClient,
    upstreams::{InFlightCounts, InFlightScope},
};
use crate::{names::HostName, rendezvous};

/// Largest number of other hosts to which a host reports directly.
const MAX_DIRECT_PEERS: usize = 7;

/// Shortest time between two reports of a host to another one directly.
const DIRECT_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest time between two reports of a host to a relay, or of a relay to another.
const RELAY_INTERVAL: Duration = Duration::from_millis(25);

/// Reports that a relay receives per second from the hosts of its data centre, at most.
const RELAY_REPORTS_PER_S: f64 = 500.0;

/// Number of intervals after which all hosts have heard of a request: from the host to its relay,
/// from there to the other relays, and from these to their hosts.
const RELAY_STEPS: u32 = 3;

/// Longest time without a report to another host, so that it knows that this one still counts.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a host checks whether, and to which hosts, it has to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which nothing is sent to a host after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// The requests in flight of one or more hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightReport {
    /// The host that sends the report.
    pub sender: HostName,
    /// Whose requests it counts.
    pub scope: InFlightScope,
    /// Whose requests the reply is to count.
    pub wanted: InFlightScope,
    /// Age of the counts at the receiver, at most, in milliseconds.
    pub lag_ms: u64,
    /// The requests.
    pub counts: InFlightCounts,
}

/// A host to which this one reports.
#[derive(Clone, Debug, PartialEq)]
struct ReportTarget {
    record: MemberRecord,
    scope: InFlightScope,
    wanted: InFlightScope,
    /// Shortest time between two reports.
    interval: Duration,
    /// Whether a report waits for a change; otherwise it is sent for the sake of its reply.
    waits_for_change: bool,
    lag: Duration,
}

/// Reports to other hosts for as long as few upstreams of a service are open, until the process
/// ends.
pub(super) async fn exchange_in_flight(gateway: Rc<Gateway>) {
    let mut tasks = JoinSet::new();
    let mut running: HashMap<HostName, (ReportTarget, AbortHandle)> = HashMap::new();
    loop {
        let targets = gateway.report_targets();
        running.retain(|_, (target, task)| {
            let is_kept = targets.contains(target);
            if !is_kept {
                task.abort();
            }
            is_kept
        });
        if running.is_empty() && !targets.is_empty() {
            tracing::info!(targets = targets.len(), "load_exchange_started");
        }
        for target in targets {
            running.entry(target.record.host.clone()).or_insert_with(|| {
                let task = tasks.spawn_local(send_reports(gateway.clone(), target.clone()));
                (target, task)
            });
        }
        while tasks.try_join_next().is_some() {}
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reports to one host until the task is aborted.
async fn send_reports(gateway: Rc<Gateway>, target: ReportTarget) {
    let mut client = PeerClient::new(target.record.address);
    let mut changes = gateway.in_flight_changes.subscribe();
    loop {
        changes.mark_unchanged();
        let report = gateway.in_flight_report(&target);
        match client.report_in_flight(&report).await {
            Ok(reply) => gateway.merge_report(reply),
            Err(error) => {
                tracing::debug!(host = %target.record.host, %error, "report_failed");
                sleep(FAILURE_BACKOFF).await;
            }
        }
        sleep(target.interval).await;
        if target.waits_for_change {
            // Without a change the time limit ends the wait, and the report is sent again.
            let _ = timeout(REFRESH_INTERVAL, changes.changed()).await;
        }
    }
}

impl Gateway {
    /// Returns the hosts to which this one has to report; none if enough upstreams are open.
    fn report_targets(&self) -> Vec<ReportTarget> {
        let now = self.now();
        let state = self.state.borrow();
        if !state.upstreams.has_few_open(now) {
            return Vec::new();
        }
        let members = &state.members;
        let peers: Vec<&MemberRecord> = members.live(now).collect();
        if peers.len() <= MAX_DIRECT_PEERS {
            let target = |record: &MemberRecord| ReportTarget {
                record: comparable(record),
                scope: InFlightScope::Host,
                wanted: InFlightScope::Host,
                interval: DIRECT_INTERVAL,
                waits_for_change: true,
                lag: DIRECT_INTERVAL,
            };
            return peers.into_iter().map(target).collect();
        }
        let this_host = members.local();
        let relays = members.local_relays(now);
        let neighbours = peers.iter().filter(|it| it.centre == this_host.centre).count();
        let interval = relay_interval(neighbours, relays.len());
        let target = |record: &MemberRecord, scope, wanted| ReportTarget {
            record: comparable(record),
            scope,
            wanted,
            interval,
            waits_for_change: false,
            lag: RELAY_STEPS * interval,
        };
        if relays.iter().all(|it| it.host != this_host.host) {
            let relay = choose_relay(&members.relays(now), &this_host.host);
            let report = relay.map(|it| target(it, InFlightScope::Host, InFlightScope::Others));
            return report.into_iter().collect();
        }
        // Of two relays one reports, and the other replies.
        let others = relays.into_iter().chain(members.remote_relays(now));
        let others = others.filter(|it| it.host > this_host.host);
        others.map(|it| target(it, InFlightScope::Group, InFlightScope::Group)).collect()
    }

    fn in_flight_report(&self, target: &ReportTarget) -> InFlightReport {
        self.report_on(target.scope, target.wanted, target.lag, &target.record.host)
    }

    fn report_on(
        &self,
        scope: InFlightScope,
        wanted: InFlightScope,
        lag: Duration,
        receiver: &HostName,
    ) -> InFlightReport {
        let state = self.state.borrow();
        InFlightReport {
            sender: state.members.local().host.clone(),
            scope,
            wanted,
            lag_ms: lag.as_millis() as u64,
            counts: state.upstreams.in_flight(scope, receiver),
        }
    }

    /// Merges the report of another host, and returns the reply.
    pub(super) fn exchange_report(&self, report: InFlightReport) -> InFlightReport {
        let lag = Duration::from_millis(report.lag_ms);
        let reply = self.report_on(report.wanted, report.scope, lag, &report.sender);
        self.merge_report(report);
        reply
    }

    fn merge_report(&self, report: InFlightReport) {
        let now = self.now();
        let InFlightReport { sender, scope, lag_ms, counts, .. } = report;
        let lag = Duration::from_millis(lag_ms);
        let upstreams = &mut self.state.borrow_mut().upstreams;
        upstreams.merge_in_flight(now, &sender, scope, lag, counts);
    }
}

/// Returns the relay to which a host reports; the hosts of a data centre are split over its relays.
fn choose_relay<'a>(relays: &[&'a MemberRecord], host: &HostName) -> Option<&'a MemberRecord> {
    let score = |it: &&&MemberRecord| rendezvous::hash_parts(&[host.as_str(), it.host.as_str()]);
    relays.iter().max_by_key(score).copied()
}

/// Returns the time between two reports to a relay. It is longer where a relay has many hosts.
fn relay_interval(neighbours: usize, relays: usize) -> Duration {
    let hosts_per_relay = neighbours as f64 / relays.max(1) as f64;
    RELAY_INTERVAL.max(Duration::from_secs_f64(hosts_per_relay / RELAY_REPORTS_PER_S))
}

/// Returns the record without the heartbeat, which changes all the time.
fn comparable(record: &MemberRecord) -> MemberRecord {
    MemberRecord { heartbeat: 0, ..record.clone() }
}
