//! The demand of this host, as its reports to other hosts state it.

use std::time::Instant;

use super::{call::StartSender, fleet::GatewayState, upstreams::UpstreamSet};
use crate::{
    names::ServiceName,
    schedule::{DemandCell, DemandSource, ScarceService, StartControl},
};

/// The requests that a host has in flight and waiting, and the room of the services.
struct LocalDemand<'a> {
    start: &'a StartControl<StartSender>,
    upstreams: &'a UpstreamSet,
}

impl GatewayState {
    /// Returns the demand of this host.
    pub(super) fn local_demand(&self) -> Box<dyn DemandSource + '_> {
        match &self.exchange.demand_source {
            Some(source) => Box::new(source.as_ref()),
            None => Box::new(LocalDemand { start: &self.start, upstreams: &self.upstreams }),
        }
    }
}

impl DemandSource for LocalDemand<'_> {
    fn scarce_services(&self, now: Instant) -> Vec<ScarceService> {
        let scarce = |service: &ServiceName| {
            let room = self.upstreams.service_room(now, service)?;
            let room = self.start.usable_room(service, room);
            let is_scarce = room.is_used_up() || self.start.has_waiting(service);
            is_scarce.then(|| ScarceService { service: service.clone(), room: room.places })
        };
        self.upstreams.services().filter_map(scarce).collect()
    }

    fn demand(&self, now: Instant, service: &ServiceName) -> Vec<DemandCell> {
        self.start.demand(now, service)
    }
}
