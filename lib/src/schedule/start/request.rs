//! Requests before and after their start, and the decisions on them.

use std::time::{Duration, Instant};

use crate::{
    names::{OPEN_TEAM, RouteName, ServiceName, TeamName},
    schedule::{HostShare, usage::DemandKey},
};

/// Bounds of the queue of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSettings {
    /// Requests that wait, over all services.
    pub max_waiting: usize,
    /// Bytes of their bodies.
    pub max_waiting_bytes: usize,
}

impl Default for StartSettings {
    fn default() -> Self {
        Self { max_waiting: 1_024, max_waiting_bytes: 16 << 20 }
    }
}

/// What a host knows of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRoom {
    /// Requests that the upstreams can have in flight together.
    pub places: f64,
    /// Requests of all hosts in flight, as far as they are known.
    pub in_flight: f64,
}

impl ServiceRoom {
    /// Returns whether there is no room for one more request.
    pub fn is_used_up(&self) -> bool {
        self.in_flight + 1.0 > self.places
    }

    pub(super) fn idle(&self) -> f64 {
        (self.places - self.in_flight).max(0.0)
    }
}

/// A request before its start.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Route of the request; learned times are kept by route.
    pub route: RouteName,
    /// Team of the caller; absent on routes that are open to all.
    pub team: Option<TeamName>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Estimated work; absent if only the learned time of the route is known.
    pub work: Option<Duration>,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// When it arrived at this host.
    pub arrived: Instant,
    /// Time that its caller had left at its arrival, if the caller states it.
    pub time_left: Option<Duration>,
    /// Latency target of the route, from the arrival.
    pub target_latency: Duration,
    /// When the deadline, the timeout of the route or the patience of the caller ends.
    pub gives_up_at: Instant,
    /// When the deadline of the caller or the timeout of the route ends.
    pub expires_at: Instant,
}

impl StartRequest {
    pub(super) fn demand_key(&self) -> DemandKey {
        (self.priority, self.team.clone())
    }

    pub(super) fn team_or_open(&self) -> TeamName {
        self.team.clone().unwrap_or_else(|| TeamName::new(OPEN_TEAM))
    }
}

/// What is expected of a request that would have to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartForecast {
    /// Waiting requests that start before it.
    pub ahead: usize,
    /// Expected wait until it starts.
    pub wait: Duration,
    /// Longest wait with which the first event or the response is in time for the target.
    pub max_wait: Duration,
    /// Longest wait with which the caller is still there.
    pub give_up_wait: Duration,
    /// Share of this host.
    pub share: HostShare,
    /// Whether the team of the request is above its share.
    pub is_above_share: bool,
    /// Whether its caller came back so late that the latency target is missed already.
    pub is_late: bool,
}

/// Why a request is refused before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusalReason {
    /// The caller gives up before a response is expected.
    TooLate,
    /// The response is expected after the latency target, while more is asked for than can be
    /// served.
    OverTarget,
    /// The queue is full, or the request lost its place to another one.
    QueueFull,
    /// It waited for as long as was useful.
    WaitedTooLong,
}

impl StartRefusalReason {
    /// Returns the value of the log field and metrics label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::OverTarget => "over_target",
            Self::QueueFull => "queue_full",
            Self::WaitedTooLong => "waited_too_long",
        }
    }
}

/// A refusal before the start; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartRefusal {
    /// Why it is refused.
    pub reason: StartRefusalReason,
    /// Time after which room is expected.
    pub retry_after: Duration,
}

/// A request that has started, until [`StartControl::end`].
#[derive(Clone, Debug, PartialEq)]
pub struct StartedWork {
    pub(super) service: ServiceName,
    pub(super) route: RouteName,
    pub(super) team: Option<TeamName>,
    pub(super) priority: u8,
    pub(super) weight: f64,
    pub(super) started: Instant,
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub enum StartOutcome {
    /// It starts now.
    Started(StartedWork),
    /// It waits; the number identifies it for [`StartControl::cancel`].
    Waits(u64),
    /// It is refused.
    Refused(StartRefusal),
}

/// How the wait of a request ended, for its owner.
#[derive(Clone, Debug)]
pub enum WaitEnd {
    /// It starts now, after a wait.
    Started(StartedWork, Duration),
    /// It is refused.
    Refused(StartRefusal),
}
