//! Stand-ins (test doubles) for model engines, HTTP services and the platform, used by tests,
//! benchmarks and the demo.
//!
//! Each stand-in is an HTTP server with the interface that the routers expect of the real system.
//! Requests under `/control/` inject faults and read counters. A stand-in runs inside the test
//! process as an [`EngineServer`], [`ServiceServer`] or [`PlatformServer`], or in a process of its
//! own as the program `snipepond-standin`. [`TcpLink`] is a TCP proxy that injects network faults,
//! and [`CallerRequest`] is an HTTP client that records how a response arrives. `docs/standins.md`
//! lists all settings and controls.

mod caller;
mod crowd;
mod engine;
mod faults;
mod http;
mod link;
mod platform;
mod request_reader;
mod service;
mod signal;
mod warmth;

pub use self::{
    caller::{
        CallerConnection, CallerEvent, CallerRequest, CallerResponse, ResponseEnd, ResponseReader,
    },
    crowd::{CallerCrowd, CrowdKind, CrowdPlan, ProcessFigures},
    engine::{EngineServer, EngineSettings, expected_text, expected_tokens},
    faults::{FaultMode, ResponseFault},
    http::RequestLog,
    link::{LinkMode, TcpLink},
    platform::{HostEntry, PlatformFaults, PlatformServer, PlatformSettings},
    service::{DisconnectPoint, ServiceServer, ServiceSettings},
    signal::ProcessSignal,
};
