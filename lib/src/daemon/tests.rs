//! Compares the counts of control traffic with the bytes that the other end of the connection sees,
//! and checks the rate at which the platform is read.

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

use super::{
    admin_server::{AdminHandler, AdminRequest, AdminResponse, AdminServer},
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

/// Time limit for a failing test.
const TIMEOUT: Duration = Duration::from_secs(20);

const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Reads one request with its body from a connection and returns its bytes.
fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer).expect("a request");
        assert_ne!(count, 0, "the client closed the connection");
        bytes.extend_from_slice(&buffer[..count]);
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

/// Serves one request with each of `responses` on one connection and returns the bytes received and
/// sent.
fn serve(listener: TcpListener, responses: Vec<Vec<u8>>) -> thread::JoinHandle<ByteCount> {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut count = ByteCount { sent: 0, received: 0 };
        for response in responses {
            count.received += read_request(&mut stream).len() as u64;
            stream.write_all(&response).expect("the response is sent");
            count.sent += response.len() as u64;
        }
        count
    })
}

fn http_response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn counter_value(metrics: &RouterMetrics, name: &str, purpose: ControlPurpose) -> u64 {
    let text = metrics.render().expect("metrics");
    let series = format!("{name}{{purpose=\"{}\"}} ", purpose.as_str());
    let line = text
        .lines()
        .find_map(|it| it.strip_prefix(series.as_str()))
        .unwrap_or_else(|| panic!("no {series} in {text}"));
    line.parse().expect("a number")
}

fn assert_counted(metrics: &RouterMetrics, purpose: ControlPurpose, count: ByteCount) {
    let sent = counter_value(metrics, "snipepond_control_sent_bytes_total", purpose);
    let received = counter_value(metrics, "snipepond_control_received_bytes_total", purpose);
    assert_eq!(ByteCount { sent, received }, count);
}

/// Guards against counts that leave out HTTP heads or bytes on a pooled connection.
#[test]
fn platform_reads_are_counted_to_the_byte() {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    let address = listener.local_addr().expect("an address");
    let hosts = br#"{"version":3,"hosts":[]}"#;
    let server = serve(
        listener,
        vec![http_response("200 OK", hosts), b"HTTP/1.1 304 Not Modified\r\n\r\n".to_vec()],
    );
    let metrics = Arc::new(RouterMetrics::new());
    let platform = CountedPlatform {
        inner: Arc::new(HttpPlatform::new(&format!("http://{address}"))),
        metrics: metrics.clone(),
    };
    for _ in 0..2 {
        platform.hosts_after(2, TIMEOUT).expect("a response");
    }
    let seen = server.join().expect("the server ends");
    let count = ByteCount { sent: seen.received, received: seen.sent };
    assert_counted(&metrics, ControlPurpose::HostList, count);
}

/// Guards against a message that is counted under the purpose of another message.
#[test]
fn peer_calls_are_counted_by_purpose() {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    let address = listener.local_addr().expect("an address");
    let reply = http_response("200 OK", &encode_message(&PeerReply::Done));
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

/// Gives the same reply to each message and counts its bytes.
struct CountingHandler {
    reply: PeerReply,
    metrics: Arc<RouterMetrics>,
}

impl AdminHandler for CountingHandler {
    fn handle(&self, request: &AdminRequest) -> AdminResponse {
        let response = AdminResponse::message(&self.reply);
        let purpose = ControlPurpose::AntiEntropy;
        self.metrics.count_control_received(purpose, request.wire_bytes());
        self.metrics.count_control_sent(purpose, response.wire_bytes());
        response
    }
}

/// Guards against a computed size that differs from what the server reads and writes, for a short
/// and a long reply.
#[test]
fn served_messages_are_counted_to_the_byte() {
    for filler in [1, 100_000] {
        let entries = vec![crate::config::EntryChange {
            key: "k".into(),
            revision: 1,
            value: Some("x".repeat(filler).into()),
        }];
        let reply = PeerReply::Config(ConfigChange { base: 0, revision: 1, entries });
        let metrics = Arc::new(RouterMetrics::new());
        let handler = Arc::new(CountingHandler { reply, metrics: metrics.clone() });
        let listener = TcpListener::bind(ANY_PORT).expect("a port");
        let server = AdminServer::start(listener, handler, 1).expect("the server starts");
        let peer = HttpPeer::new();
        let request = PeerRequest::ConfigSince(7);
        let (reply, seen) =
            count_bytes(|| PeerTransport::call(&peer, server.address(), &request, TIMEOUT));
        let _: PeerReply = reply.expect("a reply");
        let count = ByteCount { sent: seen.received, received: seen.sent };
        assert_counted(&metrics, ControlPurpose::AntiEntropy, count);
    }
}

/// Answers each request with its target, or panics.
struct EchoHandler;

impl AdminHandler for EchoHandler {
    fn handle(&self, request: &AdminRequest) -> AdminResponse {
        assert_ne!(request.target(), "/panic", "a request that fails");
        AdminResponse::text(200, request.target())
    }
}

fn connect(server: &AdminServer) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream
}

fn get(stream: &mut TcpStream, target: &str) -> String {
    write!(stream, "GET {target} HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
    let mut buffer = [0; 1_024];
    let count = stream.read(&mut buffer).expect("a response in time");
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Guards against a message that waits until another connection, which is idle but open, is
/// closed. The former server did so if connections arrived at the same time.
#[test]
fn connections_that_arrive_together_are_all_served() {
    for _ in 0..20 {
        let listener = TcpListener::bind(ANY_PORT).expect("a port");
        let server =
            AdminServer::start(listener, Arc::new(EchoHandler), 2).expect("the server starts");
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let mut stream = connect(&server);
                thread::spawn(move || {
                    assert!(get(&mut stream, "/a").ends_with("/a"));
                    stream
                })
            })
            .collect();
        // The connections stay open until the last one was served.
        let streams: Vec<_> = callers.into_iter().map(|it| it.join().expect("served")).collect();
        drop(streams);
    }
}

/// Guards against a panic or a malformed message that ends more than one request.
#[test]
fn failed_request_ends_alone() {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    let server = AdminServer::start(listener, Arc::new(EchoHandler), 1).expect("the server starts");
    assert!(get(&mut connect(&server), "/panic").starts_with("HTTP/1.1 500"));
    let mut malformed = connect(&server);
    malformed.write_all(b"\0\xff\r\n\r\n").expect("sent");
    let mut head = [0; 12];
    malformed.read_exact(&mut head).expect("a refusal");
    assert_eq!(&head, b"HTTP/1.1 400");
    assert!(get(&mut connect(&server), "/a").ends_with("/a"));
}

/// Platform that returns a new revision and a new host list for every read.
#[derive(Debug, Default)]
struct ChangingPlatform {
    reads: AtomicU64,
}

impl PlatformSource for ChangingPlatform {
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

/// Drops every call.
struct DroppingCaller;

impl PeerCaller<PeerRequest, PeerReply> for DroppingCaller {
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
            caller: Arc::new(DroppingCaller),
        };
        ControlState::new(settings, now)
    })
    .expect("the control thread starts")
}

/// Guards against hosts that together send more reads than the platform serves. Every change ends
/// the pending watches, so frequent changes, as when all hosts restart, cause frequent reads.
#[test]
fn platform_that_always_changes_is_read_at_a_bounded_rate() {
    let control = start_control();
    let (platform, stop) = (Arc::new(ChangingPlatform::default()), StopSignal::new());
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
