//! Stand-ins for engines, services and the platform, for tests and the demo.
//!
//! Each stand-in speaks the dialect of section 14 of the design page on a loopback port and has
//! controls under `/control/` that provoke faults. They run inside a test process as
//! [`EngineServer`], [`ServiceServer`] and [`PlatformServer`], or as the `snipepond-standin`
//! program. [`TcpLink`] cuts and mends connections, and [`CallerRequest`] calls and records.
//! `docs/standins.md` lists all settings and controls.

mod caller;
mod engine;
mod faults;
mod http;
mod link;
mod platform;
mod service;
mod signal;
mod warmth;

pub use self::{
    caller::{
        CallerConnection, CallerEvent, CallerRequest, CallerResponse, ResponseEnd, ResponseReader,
    },
    engine::{EngineServer, EngineSettings, expected_text, expected_tokens},
    faults::{FaultMode, ResponseFault},
    http::RequestLog,
    link::{LinkMode, TcpLink},
    platform::{HostEntry, PlatformFaults, PlatformServer, PlatformSettings},
    service::{DisconnectPoint, ServiceServer, ServiceSettings},
    signal::ProcessSignal,
};
