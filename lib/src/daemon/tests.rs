//! Tests of the traffic counts against the bytes that the other end of the connection sees, and of
//! the rate at which the platform is read.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tiny_http::Server;

use super::{
    admin::{AdminAnswer, request_bytes, respond_counted},
    traffic::{ByteCount, CountedPeers, CountedPlatform, count_bytes},
    watch::{watch_config, watch_hosts},
};
use crate::{
    clock::SystemClock,
    config::ConfigChange,
    control::{ControlState, ControlThread, PeerReply, PeerRequest, StateSettings},
    membership::{HostList, HostRecord, HostState, ViewTiming},
    names::{CentreName, HostName},
    peer::{HttpPeer, PeerCall, PeerCaller, PeerTransport, encode_message},
    platform::{HttpPlatform, PlatformError, PlatformSource},
    telemetry::{ControlPurpose, RouterMetrics},
    threads::StopSignal,
};

/// Bounds a failing test.
const TIMEOUT: Duration = Duration::from_secs(20);

const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Reads one request with its body from a connection and returns its bytes.
fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    loop {
        let count = stream.read(&mut piece).expect("a request");
        assert_ne!(count, 0, "the client closed the connection");
        bytes.extend_from_slice(&piece[..count]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let Some(head) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
            continue;
        };
        let body = text
            .split("\r\n")
            .find_map(|it| it.strip_prefix("content-length: ")?.parse().ok())
            .unwrap_or(0);
        if bytes.len() >= head + 4 + body {
            return bytes;
        }
    }
}

/// Answers each of `answers` on one connection and returns the bytes received and sent.
fn serve(listener: TcpListener, answers: Vec<Vec<u8>>) -> thread::JoinHandle<ByteCount> {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut count = ByteCount { sent: 0, received: 0 };
        for answer in answers {
            count.received += read_request(&mut stream).len() as u64;
            stream.write_all(&answer).expect("the answer is sent");
            count.sent += answer.len() as u64;
        }
        count
    })
}

fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn sample(metrics: &RouterMetrics, name: &str, purpose: ControlPurpose) -> u64 {
    let text = metrics.render().expect("metrics");
    let series = format!("{name}{{purpose=\"{}\"}} ", purpose.as_str());
    let line = text
        .lines()
        .find_map(|it| it.strip_prefix(series.as_str()))
        .unwrap_or_else(|| panic!("no {series} in {text}"));
    line.parse().expect("a number")
}

fn assert_counted(metrics: &RouterMetrics, purpose: ControlPurpose, count: ByteCount) {
    let sent = sample(metrics, "snipepond_control_sent_bytes_total", purpose);
    let received = sample(metrics, "snipepond_control_received_bytes_total", purpose);
    assert_eq!(ByteCount { sent, received }, count);
}

/// Guards against counts that leave out heads or that lose bytes on a pooled connection.
#[test]
fn platform_reads_are_counted_to_the_byte() {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    let address = listener.local_addr().expect("an address");
    let hosts = br#"{"version":3,"hosts":[]}"#;
    let server = serve(
        listener,
        vec![answer("200 OK", hosts), b"HTTP/1.1 304 Not Modified\r\n\r\n".to_vec()],
    );
    let metrics = Arc::new(RouterMetrics::new());
    let platform = CountedPlatform {
        inner: Arc::new(HttpPlatform::new(&format!("http://{address}"))),
        metrics: metrics.clone(),
    };
    for _ in 0..2 {
        platform.hosts_after(2, TIMEOUT).expect("an answer");
    }
    let seen = server.join().expect("the server ends");
    let count = ByteCount { sent: seen.received, received: seen.sent };
    assert_counted(&metrics, ControlPurpose::HostList, count);
}

/// Guards against a message that is counted under the purpose of another one.
#[test]
fn peer_calls_are_counted_by_purpose() {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    let address = listener.local_addr().expect("an address");
    let reply = answer("200 OK", &encode_message(&PeerReply::Done));
    let server = serve(listener, vec![reply]);
    let metrics = Arc::new(RouterMetrics::new());
    let peers = CountedPeers { inner: Arc::new(HttpPeer::new()), metrics: metrics.clone() };
    peers.call(address, &PeerRequest::ConfigSince(7), TIMEOUT).expect("a reply");
    let seen = server.join().expect("the server ends");
    let count = ByteCount { sent: seen.received, received: seen.sent };
    assert_counted(&metrics, ControlPurpose::AntiEntropy, count);
    let nothing = ByteCount { sent: 0, received: 0 };
    assert_counted(&metrics, ControlPurpose::Grant, nothing);
}

/// Guards against a computed size of tiny_http's heads that differs from what it writes, for a
/// reply with a length and for one that is long enough to be sent in chunks.
#[test]
fn served_messages_are_counted_to_the_byte() {
    for filler in [1, 100_000] {
        let server = Server::http(ANY_PORT).expect("a server");
        let address = server.server_addr().to_ip().expect("an address");
        let metrics = Arc::new(RouterMetrics::new());
        let client = thread::spawn(move || {
            let peer = HttpPeer::new();
            let request = PeerRequest::ConfigSince(7);
            let (reply, count) =
                count_bytes(|| PeerTransport::call(&peer, address, &request, TIMEOUT));
            let _: PeerReply = reply.expect("a reply");
            count
        });
        let mut request = server.recv_timeout(TIMEOUT).expect("no fault").expect("a request");
        let purpose = ControlPurpose::AntiEntropy;
        metrics.count_control_received(purpose, request_bytes(&request));
        let mut message = Vec::new();
        request.as_reader().read_to_end(&mut message).expect("a body");
        let reply = PeerReply::Config(crate::config::ConfigChange {
            base: 0,
            revision: 1,
            entries: vec![crate::config::EntryChange {
                key: "k".into(),
                revision: 1,
                value: Some("x".repeat(filler).into()),
            }],
        });
        respond_counted(request, AdminAnswer::message(&reply), &metrics, purpose);
        let seen = client.join().expect("the client ends");
        let count = ByteCount { sent: seen.received, received: seen.sent };
        assert_counted(&metrics, purpose, count);
    }
}

/// A platform with a new revision and a new host list for every read.
#[derive(Debug, Default)]
struct BusyPlatform {
    reads: AtomicU64,
}

impl PlatformSource for BusyPlatform {
    fn config_after(
        &self,
        revision: u64,
        _wait: Duration,
    ) -> Result<Option<ConfigChange>, PlatformError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(Some(ConfigChange { base: revision, revision: revision + 1, entries: Vec::new() }))
    }

    fn hosts_after(
        &self,
        version: u64,
        _wait: Duration,
    ) -> Result<Option<HostList>, PlatformError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(Some(HostList { version: version + 1, hosts: Vec::new() }))
    }
}

/// Loses every call.
struct SilentCaller;

impl PeerCaller<PeerRequest, PeerReply> for SilentCaller {
    fn submit(&self, _call: PeerCall<PeerRequest>) {}
}

fn start_control() -> ControlThread {
    ControlThread::start(Arc::new(SystemClock), |now, _| {
        let settings = StateSettings {
            identity: HostRecord {
                name: HostName::new("h1"),
                address: ANY_PORT.into(),
                data_centre: CentreName::new("a"),
                state: HostState::Live,
            },
            incarnation: 1,
            timing: ViewTiming::default(),
            max_queued: 1,
            metrics: Arc::new(RouterMetrics::new()),
            caller: Arc::new(SilentCaller),
        };
        ControlState::new(settings, now)
    })
    .expect("the control thread starts")
}

/// Guards against hosts that together exceed the platform's rate while it changes often, as when
/// all hosts restart.
#[test]
fn a_platform_that_always_has_news_is_not_read_without_pause() {
    let control = start_control();
    let (platform, stop) = (Arc::new(BusyPlatform::default()), StopSignal::new());
    let (source, handle, signal) = (platform.clone(), control.handle(), stop.clone());
    let config = thread::spawn(move || watch_config(&*source, &SystemClock, &handle, &signal));
    let (source, handle, signal) = (platform.clone(), control.handle(), stop.clone());
    let hosts = thread::spawn(move || {
        watch_hosts(&*source, &SystemClock, &handle, &signal, ViewTiming::default().validity)
    });
    let started = std::time::Instant::now();
    thread::sleep(Duration::from_millis(300));
    stop.set();
    config.join().expect("the watch ends");
    hosts.join().expect("the watch ends");
    let elapsed = started.elapsed().as_secs();
    let reads = platform.reads.load(Ordering::SeqCst);
    drop(control);
    assert!(reads >= 2, "only {reads} reads");
    assert!(reads <= 2 * (elapsed + 1), "{reads} reads of two resources within {elapsed} s");
}
