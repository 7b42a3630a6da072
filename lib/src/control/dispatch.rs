//! Dispatch of admitted requests from the fair queue to upstreams, and load reports.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    admission::is_key_valid,
    command::{
        DispatchEnd, DispatchOutcome, DispatchPermit, DispatchRequest, DispatchTarget, ReplySender,
    },
    message::{LoadBatch, PeerRequest},
    state::ControlState,
};
use crate::{
    catalogue::{Catalogue, RouteKind},
    front::{RefusalKind, RequestRefusal},
    names::UpstreamName,
    quarantine::{CrashRegister, CrashVerdict, InterruptedRun, RequestFingerprint},
    routing::{
        ColdNotice, FinishKind, HostSet, LoadReport, PickOutcome, PickRequest, PickTarget,
        UpstreamPick, UpstreamPicker,
    },
    schedule::{PushOutcome, QueuedRequest, RefusalReason, RefusedRequest},
};

/// Retry time in refusals of requests that no upstream could take.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bytes of one load probe on the wire, in both directions and with HTTP heads.
const LOAD_PROBE_BYTES: f64 = 350.0;

/// Upper bound of the traffic of load probes in bytes per second, out of 4 KB/s for all control
/// traffic of a host.
const MAX_PROBE_BYTES_PER_S: f64 = 1_200.0;

/// Lower bound of the interval between two probes of an upstream.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Lower bound of the time without a load report after which a host probes an upstream itself.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// Probe intervals without a load report after which a host probes an upstream itself.
const MISSED_PROBES: u32 = 3;

/// Retries that each first attempt adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Upper bound of the retry budget. At the target size, the loss of an engine interrupts about this
/// many streams of one host at once.
const MAX_RETRY_BURST: f64 = 100.0;

/// Limits retries to a share of the requests, so that they do not multiply the load on upstreams
/// that already fail.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget(f64);

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self(MAX_RETRY_BURST)
    }

    /// Spends budget on a retry, or adds to it on a first attempt; returns whether the attempt is
    /// allowed.
    fn acquire(&mut self, is_retry: bool) -> bool {
        if !is_retry {
            self.0 = (self.0 + RETRIES_PER_REQUEST).min(MAX_RETRY_BURST);
            return true;
        }
        let may_retry = self.0 >= 1.0;
        if may_retry {
            self.0 -= 1.0;
        }
        may_retry
    }
}

/// A queued dispatch request.
pub(super) struct QueuedDispatch {
    request: DispatchRequest,
    reply: ReplySender<DispatchOutcome>,
}

/// A dispatch that has not ended.
#[derive(Clone, Debug)]
pub(super) struct RunningDispatch {
    upstream: UpstreamName,
    fingerprint: RequestFingerprint,
    has_response: bool,
    work: u64,
    sent: Instant,
}

/// An upstream whose load report this host reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTarget {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
}

/// The load reports that a host reads in one round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRound {
    /// Upstreams to read.
    pub targets: Vec<LoadTarget>,
    /// Time from the start of this round to the start of the next one.
    pub interval: Duration,
}

/// Decision about the request at the head of the queue, if it need not wait.
enum HeadVerdict {
    Send(Box<UpstreamPick>),
    Refuse(RequestRefusal),
}

impl ControlState {
    /// Queues a request and dispatches all queued requests that an upstream can take now.
    ///
    /// A retry that exceeds the retry budget is refused.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: DispatchRequest,
        reply: ReplySender<DispatchOutcome>,
    ) {
        if !self.retry_budget.acquire(!request.tried.is_empty()) {
            let message = "too many requests are being repeated";
            let refusal = RequestRefusal::not_run(RefusalKind::RetryLimit, message)
                .with_retry_after(BUSY_RETRY_AFTER);
            let _ = reply.send(DispatchOutcome::Refused(refusal));
            return;
        }
        let admission = request.admission.clone();
        let target: Arc<str> = match &request.target {
            DispatchTarget::Chat { model, .. } => model.as_str().into(),
            DispatchTarget::Service(service) => service.as_str().into(),
        };
        let queued = QueuedRequest {
            team: admission.team.clone(),
            weight: admission.weight,
            class: admission.class.clone(),
            priority: admission.priority,
            target,
            work: request.work,
            max_wait: admission.max_queue_time,
            // A request is refused after the longest queue time of its class. A response after the
            // deadline of the class is still useful and only counts as late.
            deadline: admission.admitted + admission.max_queue_time.max(admission.deadline),
            payload: QueuedDispatch { request, reply },
        };
        match self.queue.push(now, queued) {
            PushOutcome::Queued { shed, .. } => {
                if let Some(shed) = shed {
                    refuse_queued(shed);
                }
            }
            PushOutcome::Refused(refused) => refuse_queued(refused),
        }
        self.serve_queue(now);
    }

    /// Dispatches every request that an upstream can take now, and refuses those that waited too
    /// long.
    pub(super) fn serve_queue(&mut self, now: Instant) {
        for refused in self.queue.expire(now) {
            refuse_queued(refused);
        }
        loop {
            let mut verdict = None;
            let Self { queue, picker, crashes, config, recent_host_sets, .. } = self;
            let mut dispatcher = HeadDispatcher {
                now,
                catalogue: config.catalogue(),
                picker,
                crashes,
                recent_host_sets,
            };
            let started = queue.pop(now, |queued| {
                verdict = dispatcher.decide(&queued.payload.request);
                verdict.is_some()
            });
            let (Some(started), Some(verdict)) = (started, verdict) else {
                return;
            };
            self.metrics.record_queue_wait(&started.request.class, started.wait);
            let QueuedDispatch { request, reply } = started.request.payload;
            let outcome = match verdict {
                HeadVerdict::Refuse(refusal) => DispatchOutcome::Refused(refusal),
                HeadVerdict::Send(pick) => {
                    DispatchOutcome::Send(self.start_dispatch(now, &request, &pick))
                }
            };
            if let Err(std::sync::mpsc::SendError(DispatchOutcome::Send(permit))) =
                reply.send(outcome)
            {
                self.dispatch_ended(now, permit.number, DispatchEnd::Cancelled);
            }
        }
    }

    fn start_dispatch(
        &mut self,
        now: Instant,
        request: &DispatchRequest,
        pick: &UpstreamPick,
    ) -> DispatchPermit {
        self.picker.record_start(now, &pick.upstream, request.work);
        self.last_dispatch += 1;
        let running = RunningDispatch {
            upstream: pick.upstream.clone(),
            fingerprint: request.fingerprint,
            has_response: false,
            work: request.work,
            sent: now,
        };
        self.running.insert(self.last_dispatch, running);
        let entry = self.catalogue().upstreams().get(&pick.upstream);
        DispatchPermit {
            number: self.last_dispatch,
            upstream: pick.upstream.clone(),
            address: pick.address,
            can_resume: request.admission.kind == RouteKind::Chat
                && entry.is_some_and(|it| it.resume),
        }
    }

    /// Records the first chunk of a response and the incarnation that the response names; either
    /// can show that the upstream is cold.
    pub(super) fn record_first_chunk(
        &mut self,
        now: Instant,
        number: u64,
        incarnation: Option<u64>,
    ) {
        let Some(running) = self.running.get_mut(&number) else {
            return;
        };
        running.has_response = true;
        let running = running.clone();
        let elapsed = now.saturating_duration_since(running.sent);
        let jump = self.picker.record_first_token(now, &running.upstream, elapsed);
        let restart =
            incarnation.and_then(|it| self.picker.observe_incarnation(now, &running.upstream, it));
        for notice in [jump, restart].into_iter().flatten() {
            self.broadcast_cold(now, &notice);
        }
    }

    pub(super) fn dispatch_ended(&mut self, now: Instant, number: u64, end: DispatchEnd) {
        if end == DispatchEnd::UpstreamLost {
            return self.end_upstream_lost(now, number, None);
        }
        let Some(running) = self.running.remove(&number) else {
            return;
        };
        let kind = match end {
            DispatchEnd::Complete => FinishKind::Complete,
            DispatchEnd::NotSent => FinishKind::Refused,
            DispatchEnd::Cancelled | DispatchEnd::BadResponse | DispatchEnd::UpstreamLost => {
                FinishKind::Cancelled
            }
        };
        match end {
            DispatchEnd::Complete => {
                self.request_completed(now, running.fingerprint, &running.upstream);
            }
            _ => self.crashes.release_trial(running.fingerprint, &running.upstream),
        }
        self.finish_dispatch(now, &running, kind);
    }

    /// Ends a dispatch whose upstream was lost; `reply` is sent when the peers have received the
    /// strike, or after a timeout.
    pub(super) fn upstream_lost(&mut self, now: Instant, number: u64, reply: ReplySender<()>) {
        self.end_upstream_lost(now, number, Some(reply));
    }

    fn end_upstream_lost(&mut self, now: Instant, number: u64, reply: Option<ReplySender<()>>) {
        let Some(running) = self.running.remove(&number) else {
            return;
        };
        let run = InterruptedRun {
            upstream: &running.upstream,
            incarnation: self.picker.load_table().last_incarnation(&running.upstream).unwrap_or(0),
            dispatched: running.sent,
            has_response: running.has_response,
            parts: &[],
        };
        self.metrics.count_upstream_error(&running.upstream, "broken");
        self.record_strike(now, running.fingerprint, &run, reply);
        self.finish_dispatch(now, &running, FinishKind::UpstreamLost);
    }

    fn finish_dispatch(&mut self, now: Instant, running: &RunningDispatch, kind: FinishKind) {
        if let Some(notice) = self.picker.record_end(now, &running.upstream, running.work, kind) {
            self.broadcast_cold(now, &notice);
        }
        self.serve_queue(now);
    }

    /// Notifies every host of the fleet that an upstream started cold or has responded since.
    fn broadcast_cold(&self, now: Instant, notice: &ColdNotice) {
        tracing::info!(upstream = %notice.upstream, change = ?notice.change, "cold_upstream");
        for host in self.other_hosts() {
            self.notify(now, host, PeerRequest::Cold(notice.clone()));
        }
    }

    /// Applies load reports that this host or another one read.
    pub(super) fn apply_loads(&mut self, now: Instant, reports: &[(UpstreamName, LoadReport)]) {
        for (upstream, report) in reports {
            self.last_reports.insert(upstream.clone(), now);
            if let Some(notice) = self.picker.apply_report(now, upstream, report) {
                self.broadcast_cold(now, &notice);
            }
        }
        self.serve_queue(now);
    }

    /// Applies load reports that this host read and sends them to the hosts of its data centre.
    pub(super) fn share_loads(&mut self, now: Instant, reports: Vec<(UpstreamName, LoadReport)>) {
        self.apply_loads(now, &reports);
        if reports.is_empty() {
            return;
        }
        for peer in self.views.known_peers() {
            let batch = LoadBatch { reports: reports.clone() };
            self.notify(now, peer, PeerRequest::Loads(batch));
        }
    }

    /// Returns the upstreams whose load report this host reads.
    ///
    /// In each data centre one host is assigned to an upstream by rendezvous hashing. Any other
    /// host probes the upstream as well if it has received no report for too long.
    pub(super) fn load_round(&mut self, now: Instant) -> LoadRound {
        let catalogue = self.catalogue().clone();
        self.last_reports.retain(|name, _| catalogue.upstreams().contains_key(name));
        let interval_of = |count: usize| {
            let seconds = count as f64 * LOAD_PROBE_BYTES / MAX_PROBE_BYTES_PER_S;
            MIN_PROBE_INTERVAL.max(Duration::from_secs_f64(seconds))
        };
        let is_reader = |name: &UpstreamName| {
            let reader = self.views.owner(&format!("load/{name}"));
            reader.is_none_or(|it| it.name == self.identity.name)
        };
        let assigned = catalogue.upstreams().keys().filter(|it| is_reader(it)).count();
        let interval = interval_of(assigned);
        // The assigned hosts read about as many upstreams as this one, so their interval is about
        // the same.
        let silence_limit = (interval * MISSED_PROBES).max(MIN_SILENCE_LIMIT);
        let is_silent = |name: &UpstreamName| {
            let at = self.last_reports.get(name);
            at.is_none_or(|it| now.saturating_duration_since(*it) > silence_limit)
        };
        let targets = catalogue
            .upstreams()
            .iter()
            .filter(|(name, _)| is_reader(name) || is_silent(name))
            .map(|(name, entry)| LoadTarget { upstream: name.clone(), address: entry.address })
            .collect();
        LoadRound { targets, interval }
    }

    /// Returns the number of requests of this host in flight, by upstream.
    pub(super) fn running_by_upstream(&self) -> HashMap<&UpstreamName, u64> {
        let mut counts = HashMap::new();
        for running in self.running.values() {
            *counts.entry(&running.upstream).or_default() += 1;
        }
        counts
    }
}

/// The state on which the decision about the request at the head of the queue depends.
struct HeadDispatcher<'a> {
    now: Instant,
    catalogue: &'a Catalogue,
    picker: &'a mut UpstreamPicker,
    crashes: &'a mut CrashRegister,
    recent_host_sets: &'a [HostSet],
}

impl HeadDispatcher<'_> {
    /// Decides about a request; returns `None` if it has to wait.
    ///
    /// This host sends at most one suspect at a time to an upstream, so that the loss of the
    /// upstream is not counted against two suspects.
    fn decide(&mut self, request: &DispatchRequest) -> Option<HeadVerdict> {
        if !is_key_valid(self.catalogue, &request.admission) {
            let refusal = RequestRefusal::not_run(RefusalKind::KeyInvalid, "the key was withdrawn");
            return Some(HeadVerdict::Refuse(refusal));
        }
        let verdict = self.crashes.check(self.now, request.fingerprint);
        if let CrashVerdict::Blocked { remaining } = verdict {
            let message = "the request broke several upstreams";
            let refusal = RequestRefusal::not_run(RefusalKind::Quarantined, message)
                .with_retry_after(remaining);
            return Some(HeadVerdict::Refuse(refusal));
        }
        let mut excluded = self.excluded(request);
        loop {
            let pick = match self.pick(request, &excluded) {
                PickOutcome::Picked(pick) => pick,
                PickOutcome::Busy { .. } => return None,
                PickOutcome::NoneEligible => return self.none_eligible(request, &excluded),
            };
            let is_suspect = verdict == CrashVerdict::Suspect;
            if !is_suspect || self.crashes.reserve_trial(request.fingerprint, &pick.upstream) {
                return Some(HeadVerdict::Send(Box::new(pick)));
            }
            excluded.push(pick.upstream);
        }
    }

    fn excluded(&self, request: &DispatchRequest) -> Vec<UpstreamName> {
        let mut excluded = request.tried.clone();
        if request.needs_resume {
            let without_resume = self.catalogue.upstreams().iter().filter(|(_, it)| !it.resume);
            excluded.extend(without_resume.map(|(name, _)| name.clone()));
        }
        excluded
    }

    fn pick(&mut self, request: &DispatchRequest, excluded: &[UpstreamName]) -> PickOutcome {
        let (target, chat) = match &request.target {
            DispatchTarget::Chat { model, chat } => (PickTarget::Model(model), Some(chat.as_str())),
            DispatchTarget::Service(service) => (PickTarget::Service(service), None),
        };
        let pick_request = PickRequest {
            target,
            chat,
            request_id: &request.request_id,
            work: request.work,
            tried: excluded,
        };
        self.picker.pick(self.now, &pick_request, self.catalogue, self.recent_host_sets)
    }

    /// Handles a request without an eligible upstream.
    ///
    /// A suspect waits if upstreams were excluded because they run another suspect; any other
    /// request is refused.
    fn none_eligible(
        &mut self,
        request: &DispatchRequest,
        excluded: &[UpstreamName],
    ) -> Option<HeadVerdict> {
        if excluded.len() > self.excluded(request).len() {
            return None;
        }
        let message = "no upstream takes such requests at present";
        let refusal = RequestRefusal::not_run(RefusalKind::NoUpstream, message)
            .with_retry_after(BUSY_RETRY_AFTER);
        Some(HeadVerdict::Refuse(refusal))
    }
}

fn refuse_queued(refused: RefusedRequest<QueuedDispatch>) {
    let (kind, message) = match refused.reason {
        RefusalReason::QueueFull => (RefusalKind::QueueFull, "the queue of the team is full"),
        RefusalReason::Shed => {
            (RefusalKind::Shed, "the place in the queue went to more urgent work")
        }
        RefusalReason::WaitedTooLong | RefusalReason::DeadlinePassed => {
            (RefusalKind::QueueTimeout, "no upstream was free in time")
        }
    };
    let refusal = RequestRefusal::not_run(kind, message).with_retry_after(BUSY_RETRY_AFTER);
    let _ = refused.request.payload.reply.send(DispatchOutcome::Refused(refusal));
}
