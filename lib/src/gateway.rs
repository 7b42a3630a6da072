//! The event-driven gateway: all requests, routing decisions and timers run on one thread.
//!
//! It is made for hosts with a fraction of a core, and for platforms that publish routes and
//! upstreams but neither hosts nor rate limits of teams. A [`WireDialect`] translates header names;
//! what the platform publishes arrives as [`FleetChange`]s.

mod body;
mod budget;
mod call;
mod cold;
mod connection;
mod crashes;
mod dialect;
mod feed;
mod fleet;
mod follow;
mod follow_times;
mod health;
mod host_report;
mod lag;
mod load_exchange;
mod local_demand;
mod members;
mod outcomes;
mod packed;
mod pauses;
mod peers;
mod pool;
mod position;
mod reach;
mod segments;
mod server;
mod shutdown;
mod stream;
mod supervise;
mod table;
mod upstreams;

pub use self::{
    budget::{RetryAllowance, RetryBudget},
    cold::{ColdBucket, host_cold_rate},
    connection::{ClientError, ConnectError, ConnectTimeouts, HttpClient, HttpConnection},
    crashes::{CrashDetector, LostAttempt},
    dialect::{AttemptHead, RequestHead, ResponseHead, WireDialect},
    feed::{
        EntryDecoder, EntryFeed, EntrySource, EntryUpdate, FeedOutcome, SourceError, SourceFuture,
        SourceState,
    },
    fleet::{FleetChange, Gateway, GatewaySettings},
    follow::follow_entries,
    follow_times::FollowTimes,
    health::{AttemptEnd, UpstreamHealth},
    host_report::{DemandEntry, DemandPart, HostReport, InFlightPart, REPORT_VERSION},
    lag::{LagTracker, NewerHost},
    load_exchange::InFlightReport,
    members::{MemberChange, MemberDigest, MemberHeartbeat, MemberRecord, MemberTable},
    outcomes::{OutcomeCount, OutcomeLog, OutcomeSlot},
    packed::PackedChange,
    pauses::PauseDetector,
    peers::{ChangesReply, ChangesRequest, PeerClient, PeerDigest, PeerFailure, STRIKE_FANOUT},
    pool::{ConnectionHistory, PoolKey, SendError, UpstreamExchange, UpstreamPool},
    position::StorePosition,
    server::{GatewayServer, ServerAddresses},
    shutdown::{LAST_RESPONSE_MARGIN, ShutdownTimes, ShutdownWindow},
    supervise::supervise,
    table::{
        CallerIdentity, CallerLimits, RetryRule, RouteRecord, RouteTable, ServiceRecord,
        TeamRecord, WeightedService,
    },
    upstreams::{
        AssessedUpstream, Assessment, EjectedUpstream, HostCounts, InFlightCounts, InFlightScope,
        LoadSample, MAX_PAUSE, PickReason, PickRefusal, PickRequest, PickedWork, PromptHolder,
        ReportedLoad, UpstreamPick, UpstreamProcess, UpstreamRecord, UpstreamSet,
    },
};
pub use crate::intake::{
    BufferError, BufferReservation, HostSize, ResponseBuffers, ResponseLimits,
};
