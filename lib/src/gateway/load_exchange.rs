//! Reports of requests in flight and of demand between hosts, while choices and shares need them.
//!
//! Hosts need them while few upstreams of a service are open, while the rate of requests changes and
//! for some seconds after, and while a service is scarce. A host that finds one of these reports, and
//! every report says for how long the others have to, so that all hosts take part and all stop.
//!
//! In a small fleet each host reports to all others. In a large one each host reports to a relay of
//! its data centre, and receives what all others report in the reply. Relays notify the hosts of
//! their data centre that do not report yet.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout},
};

use super::{
    fleet::{Gateway, GatewayState},
    host_report::{DemandPart, HostReport, InFlightPart, REPORT_VERSION},
    members::{MemberRecord, select_relays},
    peers::{PeerClient, PeerFailure},
    upstreams::{HostCounts, InFlightCounts, InFlightScope},
};
use crate::{
    names::{CentreName, HostName, ServiceName},
    peer::encode_named_message,
    rendezvous,
    schedule::{DemandSource, DemandTable, HostShare, ScarceService, ShareSource},
    telemetry::ControlPurpose,
};

/// Largest number of other hosts to which a host reports directly.
const MAX_DIRECT_PEERS: usize = 7;

/// Shortest time between two reports of a host to another one directly while few upstreams are open.
const DIRECT_INTERVAL: Duration = Duration::from_millis(10);

/// The same otherwise. Most upstreams are open then, and have more room for uneven loads.
const DIRECT_SURGE_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest time between two reports of a host to a relay, or of a relay to another, while few
/// upstreams are open.
const RELAY_INTERVAL: Duration = Duration::from_millis(25);

/// The same otherwise. Shares settle after [`RELAY_STEPS`] of them.
const RELAY_SURGE_INTERVAL: Duration = Duration::from_millis(50);

/// Reports that a relay receives per second from the hosts of its data centre, at most, while few
/// upstreams are open.
const RELAY_REPORTS_PER_S: f64 = 500.0;

/// The same otherwise.
const RELAY_SURGE_REPORTS_PER_S: f64 = 250.0;

/// Number of intervals after which all hosts have heard of a request: from the host to its relay,
/// from there to the other relays, and from these to their hosts.
const RELAY_STEPS: u32 = 3;

/// Longest time without a report to another host, so that it knows that this one still counts.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The same while a service is scarce. The demand also changes without a change of the requests in
/// flight.
const SCARCE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a host checks whether, and to which hosts, it has to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which nothing is sent to a host after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// Time for which a host that failed is no relay for this one.
const RELAY_RETRY_TIME: Duration = Duration::from_secs(3);

/// Time for which a host that cannot read reports is not sent any. It may be replaced by a newer
/// release meanwhile.
const OLDER_RETRY_TIME: Duration = Duration::from_secs(10);

/// Time after which a host that no longer reports to this relay is notified again.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Age of a reply above which it is dropped: the host was paused, and the reply waited for it.
const MAX_REPLY_AGE: Duration = Duration::from_millis(500);

/// The requests in flight of one or more hosts, as releases without [`HostReport`] read them.
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

/// What a host knows of the reports of the others.
pub(super) struct ExchangeState {
    pub(super) demands: DemandTable,
    /// Replaces the demand of this host's own requests.
    pub(super) demand_source: Option<Rc<dyn DemandSource>>,
    /// When each host last reported to this one.
    heard: HashMap<HostName, Instant>,
    /// When a report to a host last failed.
    failed: HashMap<HostName, Instant>,
    /// When a host last responded that it cannot read reports.
    older: HashMap<HostName, Instant>,
    /// Services whose shares the metrics show.
    shown: Vec<ServiceName>,
}

impl ExchangeState {
    pub(super) fn new() -> Self {
        Self {
            demands: DemandTable::default(),
            demand_source: None,
            heard: HashMap::new(),
            failed: HashMap::new(),
            older: HashMap::new(),
            shown: Vec::new(),
        }
    }

    fn is_older(&self, now: Instant, host: &HostName) -> bool {
        is_within(now, self.older.get(host), OLDER_RETRY_TIME)
    }

    fn may_relay(&self, now: Instant, host: &HostName) -> bool {
        !is_within(now, self.failed.get(host), RELAY_RETRY_TIME) && !self.is_older(now, host)
    }

    fn is_heard(&self, now: Instant, host: &HostName) -> bool {
        is_within(now, self.heard.get(host), NOTICE_INTERVAL)
    }

    fn expire(&mut self, now: Instant) {
        self.demands.expire(now);
        for times in [&mut self.heard, &mut self.failed, &mut self.older] {
            times.retain(|_, at| is_within(now, Some(&*at), OLDER_RETRY_TIME));
        }
    }
}

/// Why a host reports to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportPurpose {
    /// Both merge what the other one reports.
    Exchange,
    /// The receiver learns that it has to report; its relay may be another host, which counts it.
    Notice,
}

/// A host to which this one reports.
#[derive(Clone, Debug, PartialEq)]
struct ReportTarget {
    record: MemberRecord,
    purpose: ReportPurpose,
    scope: InFlightScope,
    wanted: InFlightScope,
    /// Shortest time between two reports.
    interval: Duration,
    /// Longest time for which a report waits for a change; otherwise it is sent at once, for the
    /// sake of its reply.
    change_wait: Option<Duration>,
    lag: Duration,
    /// Whether the host reads no [`HostReport`].
    is_older: bool,
}

/// Reports to other hosts for as long as reports are needed, until the process ends.
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
        // Ends early when another host needs reports.
        let _ = timeout(CHECK_INTERVAL, gateway.reports_wanted.notified()).await;
    }
}

/// Reports to one host until the task is aborted.
async fn send_reports(gateway: Rc<Gateway>, target: ReportTarget) {
    let mut client = PeerClient::new(target.record.address);
    let mut changes = gateway.in_flight_changes.subscribe();
    loop {
        changes.mark_unchanged();
        let sent = gateway.now();
        let result = if target.is_older {
            let report = gateway.in_flight_report(&target);
            client.report_in_flight(&report).await.map(|it| gateway.merge_in_flight_report(it))
        } else {
            let report = gateway.encode_report(&gateway.host_report(&target));
            client.report(report).await.map(|it| gateway.merge_reply(sent, &target, it))
        };
        if let Err(error) = result {
            tracing::debug!(host = %target.record.host, %error, "report_failed");
            gateway.record_report_failure(&target, &error);
            sleep(FAILURE_BACKOFF).await;
        }
        sleep(target.interval).await;
        if let Some(wait) = target.change_wait {
            // Without a change the time limit ends the wait, and the report is sent again.
            let _ = timeout(wait, changes.changed()).await;
        }
    }
}

impl GatewayState {
    /// Finds out whether this host needs reports of the others.
    fn update_report_needs(&mut self, now: Instant) {
        let scarce = self.local_demand().scarce_services(now);
        for scarce in scarce {
            self.exchange.demands.record_scarcity(now, &scarce.service);
        }
        let is_scarce = self.exchange.demands.scarce_services(now).next().is_some();
        self.upstreams.update_report_needs(now, is_scarce);
    }

    /// Returns the live hosts by data centre, this one included, that may be relays.
    fn relay_candidates(&self, now: Instant) -> BTreeMap<&CentreName, Vec<&MemberRecord>> {
        let this_host = self.members.local();
        let mut centres: BTreeMap<&CentreName, Vec<&MemberRecord>> = BTreeMap::new();
        for record in self.members.live(now).chain([this_host]) {
            if record.host == this_host.host || self.exchange.may_relay(now, &record.host) {
                centres.entry(&record.centre).or_default().push(record);
            }
        }
        centres
    }

    fn report_targets(&self, now: Instant) -> Vec<ReportTarget> {
        if self.upstreams.reports_wanted_for(now).is_zero() {
            return Vec::new();
        }
        let peers: Vec<&MemberRecord> = self.members.live(now).collect();
        if peers.len() <= MAX_DIRECT_PEERS {
            self.direct_targets(now, &peers)
        } else {
            self.relay_targets(now, &peers)
        }
    }

    fn direct_targets(&self, now: Instant, peers: &[&MemberRecord]) -> Vec<ReportTarget> {
        let has_few_open = self.upstreams.has_few_open(now);
        let is_scarce = self.exchange.demands.scarce_services(now).next().is_some();
        let interval = if has_few_open { DIRECT_INTERVAL } else { DIRECT_SURGE_INTERVAL };
        let target = |record: &&MemberRecord| ReportTarget {
            record: comparable(record),
            purpose: ReportPurpose::Exchange,
            scope: InFlightScope::Host,
            wanted: InFlightScope::Host,
            interval,
            change_wait: Some(if is_scarce { SCARCE_REFRESH_INTERVAL } else { REFRESH_INTERVAL }),
            lag: interval,
            is_older: self.exchange.is_older(now, &record.host),
        };
        // Older releases report while few upstreams are open, and only then.
        peers.iter().map(target).filter(|it| has_few_open || !it.is_older).collect()
    }

    fn relay_targets(&self, now: Instant, peers: &[&MemberRecord]) -> Vec<ReportTarget> {
        let this_host = self.members.local();
        let mut centres = self.relay_candidates(now);
        let relays = select_relays(centres.remove(&this_host.centre).unwrap_or_default());
        let neighbours = peers.iter().filter(|it| it.centre == this_host.centre);
        let has_few_open = self.upstreams.has_few_open(now);
        let interval = relay_interval(neighbours.clone().count(), relays.len(), has_few_open);
        let target = |record: &MemberRecord, purpose, scope, wanted| ReportTarget {
            record: comparable(record),
            purpose,
            scope,
            wanted,
            interval: if purpose == ReportPurpose::Notice { NOTICE_INTERVAL } else { interval },
            change_wait: None,
            lag: RELAY_STEPS * interval,
            is_older: false,
        };
        let exchange =
            |record, scope, wanted| target(record, ReportPurpose::Exchange, scope, wanted);
        if relays.iter().all(|it| it.host != this_host.host) {
            let relay = choose_relay(&relays, &this_host.host);
            let report = relay.map(|it| exchange(it, InFlightScope::Host, InFlightScope::Others));
            return report.into_iter().collect();
        }
        let is_relay = |host: &HostName| relays.iter().any(|it| it.host == *host);
        let follows = |it: &&&MemberRecord| {
            let relay = choose_relay(&relays, &it.host);
            !is_relay(&it.host) && relay.is_some_and(|relay| relay.host == this_host.host)
        };
        let is_missing = |it: &&&MemberRecord| {
            !self.exchange.is_heard(now, &it.host) && self.exchange.may_relay(now, &it.host)
        };
        let missing = neighbours.filter(follows).filter(is_missing);
        let notices = missing.map(|it| {
            target(it, ReportPurpose::Notice, InFlightScope::Others, InFlightScope::Host)
        });
        // Of two relays one reports, and the other replies.
        let others = relays.iter().copied().chain(centres.into_values().flat_map(select_relays));
        let others = others.filter(|it| it.host > this_host.host);
        let exchanges = others.map(|it| exchange(it, InFlightScope::Group, InFlightScope::Group));
        exchanges.chain(notices).collect()
    }

    /// Returns what this host reports to another one.
    fn host_report(
        &self,
        now: Instant,
        scope: InFlightScope,
        wanted: InFlightScope,
        lag: Duration,
        receiver: &HostName,
    ) -> HostReport {
        let wanted_for = self.upstreams.reports_wanted_for(now);
        let in_flight = || {
            let HostCounts { hosts, counts } = self.upstreams.in_flight(now, scope, receiver);
            InFlightPart {
                hosts: hosts as u32,
                wanted_ms: wanted_for.as_millis() as u32,
                counts: self.upstreams.hash_counts(&counts),
            }
        };
        let local_demand = self.local_demand();
        let own = |service: &ServiceName| local_demand.demand(now, service);
        let demands = self.exchange.demands.report(now, scope, receiver, own);
        HostReport {
            version: REPORT_VERSION,
            sender: self.members.local().host.clone(),
            scope,
            wanted,
            lag_ms: lag.as_millis() as u64,
            in_flight: (!wanted_for.is_zero()).then(in_flight),
            demand: DemandPart::from_demands(&demands),
        }
    }

    fn merge_host_report(&mut self, now: Instant, report: HostReport) {
        let HostReport { sender, scope, lag_ms, in_flight, demand, .. } = report;
        let lag = Duration::from_millis(lag_ms);
        if let Some(part) = in_flight {
            self.upstreams.want_reports(now, Duration::from_millis(u64::from(part.wanted_ms)));
            let counts = self.upstreams.named_counts(&part.counts);
            let counts = HostCounts { hosts: part.hosts as usize, counts };
            self.upstreams.merge_counts(now, &sender, scope, lag, counts);
        }
        if let Some(part) = demand {
            self.exchange.demands.merge(now, &sender, scope, part.into_demands());
        }
    }

    /// Sets the number of hosts that are believed to run, this one included.
    pub(super) fn set_live_hosts(&mut self, count: usize) {
        self.upstreams.set_live_hosts(count);
        self.exchange.demands.set_live_hosts(count);
    }
}

impl Gateway {
    /// Replaces the demand that this host reports for its own requests.
    pub fn set_demand_source(&self, source: Rc<dyn DemandSource>) {
        self.state.borrow_mut().exchange.demand_source = Some(source);
    }

    /// Returns the share of this host in a service whose upstreams together run `room` requests.
    pub fn room_share(&self, service: &ServiceName, room: f64) -> HostShare {
        let now = self.now();
        let state = self.state.borrow();
        let own = state.local_demand().demand(now, service);
        state.exchange.demands.share(now, service, &own, room)
    }

    fn report_targets(&self) -> Vec<ReportTarget> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.update_report_needs(now);
        state.report_targets(now)
    }

    fn host_report(&self, target: &ReportTarget) -> HostReport {
        let receiver = &target.record.host;
        let state = self.state.borrow();
        state.host_report(self.now(), target.scope, target.wanted, target.lag, receiver)
    }

    /// Encodes a report that is about to be sent, and counts its bytes.
    pub(super) fn encode_report(&self, report: &HostReport) -> Vec<u8> {
        let message = encode_named_message(report);
        self.metrics.count_control_sent(ControlPurpose::Load, message.len() as u64);
        message
    }

    fn merge_reply(&self, sent: Instant, target: &ReportTarget, reply: HostReport) {
        let now = self.now();
        let is_late = now.saturating_duration_since(sent) > MAX_REPLY_AGE;
        if !is_late && target.purpose == ReportPurpose::Exchange {
            self.state.borrow_mut().merge_host_report(now, reply);
        }
    }

    fn record_report_failure(&self, target: &ReportTarget, error: &PeerFailure) {
        let now = self.now();
        let host = target.record.host.clone();
        let exchange = &mut self.state.borrow_mut().exchange;
        if matches!(error, PeerFailure::Unreadable(StatusCode::BAD_REQUEST)) {
            tracing::info!(%host, "peer_without_reports");
            exchange.older.insert(host, now);
        } else {
            exchange.failed.insert(host, now);
        }
    }

    /// Merges the report of another host, and returns the reply.
    pub(super) fn exchange_host_report(&self, report: HostReport) -> HostReport {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let lag = Duration::from_millis(report.lag_ms);
        let needed_before = !state.upstreams.reports_wanted_for(now).is_zero();
        state.exchange.heard.insert(report.sender.clone(), now);
        state.exchange.failed.remove(&report.sender);
        let (scope, wanted, sender) = (report.scope, report.wanted, report.sender.clone());
        state.merge_host_report(now, report);
        if !needed_before && !state.upstreams.reports_wanted_for(now).is_zero() {
            self.reports_wanted.notify_one();
        }
        state.host_report(now, wanted, scope, lag, &sender)
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
            counts: state.upstreams.in_flight(self.now(), scope, receiver).counts,
        }
    }

    /// Merges the report of a host of an older release, and returns the reply.
    pub(super) fn exchange_report(&self, report: InFlightReport) -> InFlightReport {
        let lag = Duration::from_millis(report.lag_ms);
        let reply = self.report_on(report.wanted, report.scope, lag, &report.sender);
        self.merge_in_flight_report(report);
        reply
    }

    fn merge_in_flight_report(&self, report: InFlightReport) {
        let now = self.now();
        let InFlightReport { sender, scope, lag_ms, counts, .. } = report;
        let lag = Duration::from_millis(lag_ms);
        let upstreams = &mut self.state.borrow_mut().upstreams;
        upstreams.merge_in_flight(now, &sender, scope, lag, counts);
    }

    /// Drops expired reports, and tells operators the shares of the services that are scarce here.
    pub(super) fn tick_exchange(&self, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        state.exchange.expire(now);
        let local_demand = state.local_demand();
        let scarce = local_demand.scarce_services(now);
        let exchange = &state.exchange;
        for service in &exchange.shown {
            if scarce.iter().all(|it| it.service != *service) {
                self.metrics.set_share(service, 0.0, 0.0, 0);
            }
        }
        for ScarceService { service, room } in &scarce {
            let own = local_demand.demand(now, service);
            let share = exchange.demands.share(now, service, &own, *room);
            let hosts = exchange.demands.covered_hosts(now, service);
            self.metrics.set_share(service, *room, share.places, hosts as u64);
            let division = exchange.demands.division(now, service, &own, *room);
            let above: Vec<String> = division.above_share().map(ToString::to_string).collect();
            tracing::info!(
                %service,
                room,
                share = share.places,
                demand = own.iter().map(|it| it.places).sum::<f32>(),
                source = if share.is_reported { "reported" } else { "even" },
                hosts,
                above_share = above.join(","),
                "room_divided"
            );
        }
        drop(local_demand);
        state.exchange.shown = scarce.into_iter().map(|it| it.service).collect();
    }
}

/// Returns the relay to which a host reports; the hosts of a data centre are split over its relays.
fn choose_relay<'a>(relays: &[&'a MemberRecord], host: &HostName) -> Option<&'a MemberRecord> {
    let score = |it: &&&MemberRecord| rendezvous::hash_parts(&[host.as_str(), it.host.as_str()]);
    relays.iter().max_by_key(score).copied()
}

/// Returns the time between two reports to a relay. It is longer where a relay has many hosts.
fn relay_interval(neighbours: usize, relays: usize, has_few_open: bool) -> Duration {
    let hosts_per_relay = neighbours as f64 / relays.max(1) as f64;
    let (interval, reports_per_s) = if has_few_open {
        (RELAY_INTERVAL, RELAY_REPORTS_PER_S)
    } else {
        (RELAY_SURGE_INTERVAL, RELAY_SURGE_REPORTS_PER_S)
    };
    interval.max(Duration::from_secs_f64(hosts_per_relay / reports_per_s))
}

/// Returns the record without the heartbeat, which changes all the time.
fn comparable(record: &MemberRecord) -> MemberRecord {
    MemberRecord { heartbeat: 0, ..record.clone() }
}

fn is_within(now: Instant, at: Option<&Instant>, time: Duration) -> bool {
    at.is_some_and(|it| now.saturating_duration_since(*it) < time)
}
