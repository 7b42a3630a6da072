//! The event-driven request path: every request, decision and timer on one thread.
//!
//! It serves hosts with a fraction of a core and platforms that publish routes and upstreams, but
//! neither hosts nor team rates. Wire names come from a [`WireDialect`]; what the platform
//! publishes arrives as [`FleetChange`]s.

mod body;
mod budget;
mod call;
mod cold;
mod dialect;
mod fleet;
mod health;
mod pool;
mod reach;
mod server;
mod stream;
mod table;
mod upstreams;

pub use self::{
    budget::{RetryAllowance, RetryBudget},
    cold::ColdBucket,
    dialect::{AnswerHead, AttemptHead, CallHead, WireDialect},
    fleet::{FleetChange, Gateway, GatewaySettings},
    health::{AttemptEnd, UpstreamHealth},
    pool::{PoolKey, SendError, UpstreamExchange, UpstreamPool, configure},
    server::{GatewayServer, ServerAddresses, ShutdownTimes},
    table::{
        CallerIdentity, CallerLimits, RepeatRule, RouteRecord, RouteTable, ServiceRecord,
        TeamRecord, WeightedService,
    },
    upstreams::{
        DoubtedUpstream, PickReason, PickRefusal, PickRequest, ReportedLoad, UpstreamPick,
        UpstreamRecord, UpstreamSet,
    },
};
