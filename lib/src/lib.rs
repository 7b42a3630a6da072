//! snipepond: a router fleet for language-model engines and plain HTTP services.
//!
//! Decisions are made by state machines that use no sockets, threads or clocks; see
//! `docs/design.md`.

pub mod catalogue;
pub mod clock;
pub mod config;
pub mod control;
pub mod daemon;
pub mod exchange;
pub mod front;
pub mod gateway;
pub mod intake;
pub mod limits;
mod listener;
pub mod membership;
pub mod names;
pub mod operation;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod rendezvous;
pub mod routing;
pub mod schedule;
pub mod settings;
pub mod slo;
pub mod status;
pub mod telemetry;
pub mod threads;
pub mod upstream;
pub mod work;
