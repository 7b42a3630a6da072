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
mod health;
mod members;
mod outcomes;
mod packed;
mod peers;
mod pool;
mod reach;
mod server;
mod stream;
mod table;
mod upstreams;

pub use self::{
    budget::{RetryAllowance, RetryBudget},
    cold::{ColdBucket, own_cold_rate},
    connection::{CallClient, CallFailure, ConnectError, ConnectTimes, HttpConnection},
    crashes::{CrashDetector, LostAttempt, UpstreamProcess},
    dialect::{AnswerHead, AttemptHead, CallHead, WireDialect},
    feed::{
        EntryDecoder, EntryFeed, EntrySource, FeedOutcome, SourceError, SourceFuture, SourceState,
    },
    fleet::{FleetChange, Gateway, GatewaySettings},
    follow::follow_entries,
    health::{AttemptEnd, UpstreamHealth},
    members::{MemberChange, MemberDigest, MemberHeartbeat, MemberRecord, MemberTable},
    outcomes::{OutcomeCount, OutcomeLog, OutcomeSlot},
    packed::PackedChange,
    peers::{ChangesReply, ChangesRequest, PeerClient, PeerDigest, PeerFailure},
    pool::{PoolKey, SendError, UpstreamExchange, UpstreamPool},
    server::{GatewayServer, ServerAddresses, ShutdownTimes},
    table::{
        CallerIdentity, CallerLimits, RepeatRule, RouteRecord, RouteTable, ServiceRecord,
        TeamRecord, WeightedService,
    },
    upstreams::{
        DoubtedUpstream, LoadSample, PickReason, PickRefusal, PickRequest, PromptHolder,
        ReportedLoad, UpstreamPick, UpstreamRecord, UpstreamSet,
    },
};
