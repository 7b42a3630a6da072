//! Waits until the start control of the host starts a request.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::admission::AdmittedRequest;
use crate::{
    front::{RefusalKind, RequestRefusal},
    gateway::fleet::{Gateway, GatewayState},
    names::ServiceName,
    schedule::{
        StartOutcome, StartRefusal, StartRefusalReason, StartRequest, StartedWork, WaitEnd,
    },
    work::WorkModel,
};

/// Time for which events are collected before the queue is served.
const MIN_SERVE_DELAY: Duration = Duration::from_millis(1);

/// Receives the end of a wait: a ticket, or the refusal. A ticket that nobody reads any more ends
/// when it is dropped.
pub(in crate::gateway) type StartSender = oneshot::Sender<Result<StartTicket, StartRefusal>>;

/// Counts a request as in flight at its service until it is dropped.
pub(in crate::gateway) struct StartTicket {
    gateway: Rc<Gateway>,
    work: StartedWork,
    is_complete: Cell<bool>,
}

impl StartTicket {
    fn new(gateway: &Rc<Gateway>, work: StartedWork) -> Self {
        Self { gateway: gateway.clone(), work, is_complete: Cell::new(false) }
    }

    /// Records that a response, or the first event of a stream, has arrived.
    pub(super) fn record_response(&self) {
        self.is_complete.set(true);
        let now = self.gateway.now();
        self.gateway.state.borrow_mut().start.record_response(now, &self.work);
    }

    /// Records that an upstream was full. Returns whether the request has to wait for its turn
    /// again, because the others have no room either.
    pub(super) fn record_full(&self, service: &ServiceName) -> bool {
        let now = self.gateway.now();
        let GatewayState { start, upstreams, exchange, .. } = &mut *self.gateway.state.borrow_mut();
        upstreams
            .service_room(now, service)
            .map(|it| start.usable_room(service, it))
            .is_some_and(|it| start.record_full(now, service, &it, &exchange.demands))
    }
}

impl Drop for StartTicket {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let start = &mut self.gateway.state.borrow_mut().start;
        start.end(now, &self.work, self.is_complete.get());
        if start.waiting() > 0 {
            self.gateway.start_news.notify_one();
        }
    }
}

/// A request in the queue; removes it when its caller leaves.
struct QueuePlace<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a AdmittedRequest,
    number: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let start = &mut self.gateway.state.borrow_mut().start;
        start.cancel(&self.request.service, self.number);
    }
}

impl Gateway {
    /// Returns a ticket as soon as the request may start.
    ///
    /// # Errors
    ///
    /// The request has not run, and is refused.
    pub(super) async fn wait_to_start(
        self: &Rc<Self>,
        request: &AdmittedRequest,
    ) -> Result<StartTicket, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let outcome = {
            let GatewayState { start, upstreams, exchange, .. } = &mut *self.state.borrow_mut();
            let room = upstreams.service_room(now, &request.service);
            let room = room.map(|it| start.usable_room(&request.service, it));
            let start_request = request.start_request(upstreams.work());
            start.admit(now, start_request, room, &exchange.demands, sender)
        };
        let number = match outcome {
            StartOutcome::Started(work) => return Ok(StartTicket::new(self, work)),
            StartOutcome::Refused(refusal) => {
                return Err(self.refused_start(request, refusal, Duration::ZERO));
            }
            StartOutcome::Waits(number) => number,
        };
        let place = QueuePlace { gateway: self, request, number };
        self.start_news.notify_one();
        // The other hosts have to know of the demand soon.
        self.reports_wanted.notify_one();
        let end = receiver.await;
        drop(place);
        let waited = self.now().saturating_duration_since(now);
        match end {
            Ok(Ok(ticket)) => {
                tracing::info!(
                    request_id = %request.head.request_id,
                    service = %request.service,
                    team = request.team.as_ref().map_or("", |it| it.name.as_str()),
                    priority = request.priority(),
                    wait_ms = waited.as_millis() as u64,
                    "start_after_wait"
                );
                self.metrics.count_start("after_wait");
                Ok(ticket)
            }
            Ok(Err(refusal)) => Err(self.refused_start(request, refusal, waited)),
            Err(_) => Err(RequestRefusal::not_run(RefusalKind::Stopping, "the host stops")),
        }
    }

    fn refused_start(
        &self,
        request: &AdmittedRequest,
        refusal: StartRefusal,
        waited: Duration,
    ) -> RequestRefusal {
        let StartRefusal { reason, retry_after } = refusal;
        tracing::info!(
            request_id = %request.head.request_id,
            service = %request.service,
            route = %request.route.name,
            team = request.team.as_ref().map_or("", |it| it.name.as_str()),
            priority = request.priority(),
            reason = reason.as_str(),
            waited_ms = waited.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64,
            "start_refused"
        );
        self.metrics.count_start(reason.as_str());
        let (kind, message) = match reason {
            StartRefusalReason::TooLate => {
                (RefusalKind::QueueTimeout, "no response can come before the caller gives up")
            }
            StartRefusalReason::OverTarget => {
                (RefusalKind::Overloaded, "no response can come within the latency target")
            }
            StartRefusalReason::QueueFull => {
                (RefusalKind::QueueFull, "too many requests wait at the host")
            }
            StartRefusalReason::WaitedTooLong => {
                (RefusalKind::QueueTimeout, "no upstream became free in time")
            }
        };
        RequestRefusal::not_run(kind, message).with_retry_after(retry_after)
    }

    /// Starts the waiting requests that may start; returns when to do so again at the latest, or
    /// none if no request waits.
    fn serve_waiting(self: &Rc<Self>) -> Option<Duration> {
        let now = self.now();
        let mut ends = Vec::new();
        let next = {
            let GatewayState { start, upstreams, exchange, .. } = &mut *self.state.borrow_mut();
            for service in start.services_with_waiting() {
                let room = upstreams.service_room(now, &service);
                let room = room.map(|it| start.usable_room(&service, it));
                ends.extend(start.serve(now, &service, room, &exchange.demands));
            }
            start.next_serve(now)
        };
        for (sender, end) in ends {
            // A caller that left meanwhile has no receiver; its ticket ends the start.
            let _ = sender.send(match end {
                WaitEnd::Started(work, _) => Ok(StartTicket::new(self, work)),
                WaitEnd::Refused(refusal) => Err(refusal),
            });
        }
        next
    }
}

impl Gateway {
    /// Logs what the host believes of the services for which requests wait.
    pub(in crate::gateway) fn log_scarcity(&self, now: Instant) {
        let GatewayState { start, upstreams, .. } = &*self.state.borrow();
        for service in start.services_with_waiting() {
            let room = upstreams.service_room(now, &service);
            let above_share: Vec<&str> =
                start.above_share(&service).map(|it| it.as_str()).collect();
            tracing::info!(
                %service,
                waiting = start.waiting_for(&service),
                in_flight = room.map_or(0.0, |it| it.in_flight),
                above_share = above_share.join(","),
                "scarcity"
            );
        }
    }
}

/// Starts waiting requests when an attempt ends and when time allows it, until the process ends.
pub(in crate::gateway) async fn start_waiting(gateway: Rc<Gateway>) {
    loop {
        match gateway.serve_waiting() {
            None => gateway.start_news.notified().await,
            Some(limit) => {
                // Several ends within a moment are handled together.
                sleep(MIN_SERVE_DELAY).await;
                // The time limit ends the wait if there is no news.
                let _ = timeout(limit, gateway.start_news.notified()).await;
            }
        }
    }
}

impl AdmittedRequest {
    fn start_request(&self, model: &WorkModel) -> StartRequest {
        let patience = self.route.caller_patience();
        // Some upstream has the shared parts of the prompt cached in most cases.
        let work = model.estimate(&self.work(), self.head.shared_tokens).total();
        StartRequest {
            service: self.service.clone(),
            route: self.route.name.clone(),
            team: self.team.as_ref().map(|it| it.name.clone()),
            priority: self.priority(),
            work: Some(work).filter(|it| !it.is_zero()),
            body_bytes: self.body.len(),
            arrived: self.arrived,
            // Callers may state any deadline; the timeout of the route bounds it.
            time_left: self
                .head
                .deadline
                .map(|it| it.min(self.expires_at.saturating_duration_since(self.arrived))),
            target_latency: self.route.target_latency,
            gives_up_at: patience
                .map_or(self.expires_at, |it| self.expires_at.min(self.arrived + it)),
            expires_at: self.expires_at,
        }
    }
}
