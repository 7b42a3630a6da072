//! Memory that responses in very small chunks take. Each test needs a process of its own, because it
//! measures the process; this file has one.

mod gateway_support;

use std::{fs, rc::Rc};

use gateway_support::{
    flood::FloodServer,
    run_local,
    script::{OK_HEAD, PROMPT, ROUTE_TIMEOUT, Site, chunk},
};
use http_body_util::Full;
use hyper::{Request, body::Bytes};
use snipepond::{
    gateway::{ClientError, ConnectTimeouts, HttpClient, ResponseLimits},
    intake::MAX_UNDELIVERED_BYTES,
};
use tokio::task::JoinSet;

/// Memory for all but the responses: the test itself, and what the allocator keeps.
const PROCESS_BYTES: usize = 4 << 20;

/// Callers that wait for a response at the same time.
const CALLERS: usize = 4;

const LIMITS: ResponseLimits = ResponseLimits { max_bytes: 512 << 10, max_total_bytes: 1 << 20 };

/// Largest response of the client for the platform and other hosts.
const CLIENT_BYTES: usize = 512 << 10;

/// Returns the highest resident memory of this process so far.
fn peak_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|it| it.starts_with("VmHWM:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}

/// Guards against limits that count the data of a response and not the memory that it takes: chunks
/// of one byte took dozens of times their size, and the process exceeded the memory of its host.
#[test]
fn chunks_of_one_byte_stay_within_the_memory_for_responses() {
    run_local(async {
        let padded = |zeros: usize| format!("{}1\r\n?\r\n", "0".repeat(zeros));
        let blocks = [chunk("?"), padded(15)];
        for (index, block) in blocks.into_iter().enumerate() {
            let head = "HTTP/1.1 500 x\r\ntransfer-encoding: chunked\r\n\r\n";
            let flood = FloodServer::start(head, block.repeat(4 << 10));
            let site = Site::start_limited(5_000 + index as u16, LIMITS, |it| {
                (it == 0).then_some((flood.address, "a"))
            });
            let before = peak_bytes();
            let mut calls = JoinSet::new();
            let site = Rc::new(site);
            for call in 0..CALLERS {
                let site = site.clone();
                calls.spawn_local(async move {
                    let reply = site.call("/once/", &format!("r{call}")).await;
                    assert!(matches!(reply.status(), 502 | 504), "{reply:?}");
                });
            }
            calls.join_all().await;
            let grown = peak_bytes().saturating_sub(before);
            let connections = CALLERS * MAX_UNDELIVERED_BYTES as usize;
            let bound = LIMITS.max_total_bytes + connections + PROCESS_BYTES;
            assert!(grown <= bound, "block {index}: {grown} bytes, of at most {bound}");
        }

        let before = peak_bytes();
        let head = format!("{OK_HEAD}transfer-encoding: chunked\r\n\r\n");
        let flood = FloodServer::start(head, chunk("?").repeat(4 << 10));
        let timeouts = ConnectTimeouts { connect: PROMPT, unacknowledged: PROMPT };
        let mut client = HttpClient::new(flood.address, timeouts);
        let request = Request::get("/").header("host", "a").body(Full::new(Bytes::new()));
        let result = client.send(request.unwrap(), ROUTE_TIMEOUT * 10, CLIENT_BYTES).await;
        assert!(matches!(result, Err(ClientError::CutOff(_))), "{result:?}");
        let grown = peak_bytes().saturating_sub(before);
        // A buffer takes as much again while it grows.
        let bound = CLIENT_BYTES * 2 + MAX_UNDELIVERED_BYTES as usize + PROCESS_BYTES;
        assert!(grown <= bound, "{grown} bytes, of at most {bound}");
    });
}
