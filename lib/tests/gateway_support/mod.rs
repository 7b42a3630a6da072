//! Fakes and helpers for tests of a gateway with listeners on loopback.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod flood;
pub mod relay;
pub mod script;

use std::{net::SocketAddr, process, rc::Rc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use snipepond::{
    clock::SystemClock,
    config::EntryChange,
    gateway::{
        AttemptHead, EntryDecoder, FleetChange, Gateway, GatewaySettings, HostSize, MemberRecord,
        ReportedLoad, RequestHead, ResponseHead, ResponseLimits, RetryAllowance, ServerAddresses,
        WireDialect,
    },
    names::{CentreName, HostName},
    schedule::StartSettings,
    telemetry::RouterMetrics,
};
use tokio::{runtime::Builder, task::LocalSet};

/// Size of a host whose memory and descriptors bound no test.
pub const HOST_SIZE: HostSize = HostSize { memory_bytes: 1 << 30, descriptors: 4_096 };

/// Dialect that reads the ids of requests and responses, prompts, and the refusals and loads of
/// upstreams. Accepts every response as signed, and one without an id as that of the request unless
/// it is a refusal.
#[derive(Debug)]
pub struct TestDialect;

impl WireDialect for TestDialect {
    fn read_request(&self, headers: &HeaderMap) -> RequestHead {
        let request_id = headers.get("id").and_then(|it| it.to_str().ok()).unwrap_or_default();
        let affinity = headers.get("prompt").and_then(|it| it.to_str().ok()?.parse().ok());
        RequestHead { request_id: request_id.to_owned(), affinity, ..RequestHead::default() }
    }

    fn write_attempt(&self, _: &mut HeaderMap, _: &AttemptHead<'_>) {}

    fn read_response(&self, _: StatusCode, headers: &HeaderMap, request_id: &str) -> ResponseHead {
        let is_not_run = headers.contains_key("not-run");
        let id = headers.get("id");
        ResponseHead {
            is_for_request: id.map_or(!is_not_run, |it| it == request_id),
            is_for_other_request: id.is_some_and(|it| it != request_id),
            is_signed: true,
            is_not_run,
            load: headers.get("load").and_then(|it| read_load(it.to_str().ok()?)),
            ..ResponseHead::default()
        }
    }

    fn write_refusal(&self, _: &mut HeaderMap, _: &str) {}
}

/// Reads the numbers of running requests, waiting requests and slots.
fn read_load(text: &str) -> Option<ReportedLoad> {
    let mut numbers = text.split(',').map(|it| it.parse().ok());
    let (running, waiting) = (numbers.next()??, numbers.next()??);
    Some(ReportedLoad { running, waiting, slots: numbers.next().flatten(), pace_percent: None })
}

/// Decoder that ignores every entry of the platform.
#[derive(Debug)]
pub struct EmptyDecoder;

impl EntryDecoder for EmptyDecoder {
    fn decode(&self, _: &EntryChange) -> Option<FleetChange> {
        None
    }
}

/// Returns listener addresses for gateway `number`. They depend on the process id, so that tests in
/// processes that run at the same time normally do not share them.
pub fn loopback_addresses(number: u16) -> ServerAddresses {
    let at = |port: u16| -> SocketAddr {
        let [_, _, _, process] = process::id().to_be_bytes();
        let [high, low] = number.to_be_bytes();
        SocketAddr::from(([127, 32 | (process & 0x1f), high, low], port))
    };
    ServerAddresses {
        callers: at(8_000),
        readiness: at(8_001),
        metrics: at(8_002),
        peers: at(8_003),
    }
}

/// Default limits of the memory of responses.
pub const RESPONSE_LIMITS: ResponseLimits =
    ResponseLimits { max_bytes: 16 << 20, max_total_bytes: 48 << 20 };

/// Creates a gateway in the data centre `a` without configuration and upstreams.
pub fn new_gateway(addresses: &ServerAddresses) -> Rc<Gateway> {
    new_gateway_with(addresses, RESPONSE_LIMITS)
}

/// Creates a gateway as [`new_gateway`], with these limits of the memory of responses.
pub fn new_gateway_with(addresses: &ServerAddresses, responses: ResponseLimits) -> Rc<Gateway> {
    let identity = MemberRecord {
        host: HostName::new("h1"),
        centre: CentreName::new("a"),
        address: addresses.peers,
        incarnation: 1,
        heartbeat: 0,
        bandwidth: 1,
    };
    let retries = RetryAllowance { ratio: 0.2, window: Duration::from_secs(10), slack: 1_000.0 };
    Gateway::new(
        GatewaySettings {
            identity,
            retries,
            responses,
            waiting: StartSettings::default(),
            host_size: HOST_SIZE,
        },
        Rc::new(SystemClock),
        Rc::new(TestDialect),
        Rc::new(EmptyDecoder),
        Rc::new(RouterMetrics::new()),
    )
}

pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}
