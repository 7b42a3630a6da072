//! Interface between the start control of a host and what it knows of the demand at other hosts.

use std::{fmt::Debug, time::Instant};

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, TeamName};

/// Demand of one class and team for a service, at one host or at several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandCell {
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Team of the callers; absent on routes that are open to all.
    pub team: Option<TeamName>,
    /// Requests in flight or waiting. A request of twice the mean work of the service counts
    /// twice.
    pub places: f32,
}

/// The part of a service's room that a host may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Requests that the host may have in flight, on average; may be a fraction.
    pub places: f64,
    /// Whether the share follows from reports of the other hosts. Otherwise it is the even part of
    /// a host, because the others are not known or do not report.
    pub is_reported: bool,
}

/// What a host knows of the demand at all hosts.
pub trait ShareSource: Debug {
    /// Returns the share of a host in a service whose upstreams together run `room` requests.
    /// `own` is the demand at this host.
    fn share(
        &self,
        now: Instant,
        service: &ServiceName,
        own: &[DemandCell],
        room: f64,
    ) -> HostShare;
}

/// What the start control of a host says of its own demand.
pub trait DemandSource {
    /// Returns the services that are scarce at this host.
    fn scarce_services(&self, now: Instant) -> Vec<ScarceService>;

    /// Returns the demand at this host for a service, whether it is scarce here or not.
    fn demand(&self, now: Instant, service: &ServiceName) -> Vec<DemandCell>;
}

impl<T: DemandSource + ?Sized> DemandSource for &T {
    fn scarce_services(&self, now: Instant) -> Vec<ScarceService> {
        (**self).scarce_services(now)
    }

    fn demand(&self, now: Instant, service: &ServiceName) -> Vec<DemandCell> {
        (**self).demand(now, service)
    }
}

/// A service that is scarce at a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ScarceService {
    /// The service.
    pub service: ServiceName,
    /// Requests that its upstreams run together, as far as the host knows.
    pub room: f64,
}

/// Shares without any report: each host has the same part of the room.
#[derive(Clone, Copy, Debug)]
pub struct EvenShares {
    /// Number of hosts that may send requests, this one included.
    pub host_count: usize,
}

impl ShareSource for EvenShares {
    fn share(&self, _: Instant, _: &ServiceName, _: &[DemandCell], room: f64) -> HostShare {
        HostShare { places: room / self.host_count.max(1) as f64, is_reported: false }
    }
}
