//! snipepond: a router fleet for language-model engines and plain HTTP services.
//!
//! Decisions are state machines without sockets, threads or clock reads; see `docs/design.md`.

pub mod catalogue;
pub mod clock;
pub mod config;
pub mod membership;
pub mod names;
pub mod operation;
pub mod quarantine;
pub mod rendezvous;
