//! Graceful shutdown and start of a gateway, with connections on loopback.

mod gateway_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use gateway_support::{loopback_addresses, new_gateway, run_local};
use snipepond::{
    gateway::{
        CallerLimits, FleetChange, GatewayServer, LAST_RESPONSE_MARGIN, RetryRule, RouteRecord,
        RouteTable, ShutdownTimes, UpstreamRecord, WeightedService,
    },
    names::{CentreName, RouteName, ServiceName, UpstreamName},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot, watch},
    task::spawn_local,
    time::sleep,
};

/// Time limit of a shutdown; only a failing test comes near it.
const STOP_TIME_LIMIT: Duration = Duration::from_secs(20);

/// Time that the upstream takes for a request; longer than a shutdown without requests takes.
const PROCESSING_TIME: Duration = Duration::from_millis(200);

/// Size of a response that does not fit into the buffers of a connection.
const LARGE_BODY_BYTES: usize = 12 << 20;

/// Time limit of a request; a stopping gateway accepts those that it can answer before its end.
const REQUEST_TIME_LIMIT: Duration = Duration::from_secs(10);

/// Prefix of a route whose requests may last longer than a shutdown.
const LONG_PREFIX: &str = "/long/";

fn route_record(prefix: &str, timeout: Duration) -> RouteRecord {
    RouteRecord {
        name: RouteName::new(prefix),
        host: "site.example".into(),
        prefix: prefix.into(),
        retry_rule: RetryRule::Once,
        timeout,
        target_latency: timeout,
        event_gap: Duration::ZERO,
        priority: 0,
        services: vec![WeightedService { service: ServiceName::new("desk"), weight: 1 }],
        max_attempts: 1,
        is_open: true,
    }
}

fn route_table() -> RouteTable {
    let routes = vec![
        route_record("/", REQUEST_TIME_LIMIT),
        route_record(LONG_PREFIX, STOP_TIME_LIMIT + REQUEST_TIME_LIMIT),
    ];
    RouteTable::new(1, routes, None, vec![], CallerLimits::default())
}

/// A gateway with one upstream, in a thread that ends at shutdown as the process would.
struct GatewayThread {
    callers: SocketAddr,
    stop: Arc<Notify>,
    thread: JoinHandle<()>,
}

impl GatewayThread {
    async fn start(upstream: SocketAddr) -> Self {
        Self::start_with(upstream, STOP_TIME_LIMIT).await
    }

    /// Starts a gateway whose shutdown takes up to `limit`.
    async fn start_with(upstream: SocketAddr, limit: Duration) -> Self {
        static NEXT_NUMBER: AtomicU16 = AtomicU16::new(1);
        let addresses = loopback_addresses(NEXT_NUMBER.fetch_add(1, Ordering::SeqCst));
        let stop = Arc::new(Notify::new());
        let (ready, is_ready) = oneshot::channel();
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            run_local(async move {
                let gateway = new_gateway(&addresses);
                gateway.apply(FleetChange::Routes(Arc::new(route_table())));
                let listing = FleetChange::FullListing {
                    upstreams: vec![upstream_record(upstream)],
                    closed: vec![],
                };
                gateway.apply(listing);
                let server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
                ready.send(()).unwrap();
                stop_requested.notified().await;
                let times = ShutdownTimes { drain_delay: Duration::ZERO, limit };
                server.shutdown(&times).await;
            });
        });
        is_ready.await.unwrap();
        Self { callers: addresses.callers, stop, thread }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.unwrap()
    }

    /// Begins the shutdown, without a drain delay.
    fn stop(&self) {
        self.stop.notify_one();
    }

    fn is_stopped(&self) -> bool {
        self.thread.is_finished()
    }

    fn join(self) {
        self.thread.join().unwrap();
    }
}

fn upstream_record(address: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new("d1"),
        service: ServiceName::new("desk"),
        address,
        data_centre: CentreName::new("a"),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation: 1,
    }
}

/// An upstream that takes [`PROCESSING_TIME`] for each request.
struct SlowUpstream {
    address: SocketAddr,
    /// Number of requests that have arrived.
    arrived: watch::Receiver<usize>,
}

impl SlowUpstream {
    async fn start(body_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, arrived) = watch::channel(0);
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let sender = sender.clone();
                spawn_local(async move {
                    while read_head(&mut stream).await.is_some() {
                        sender.send_modify(|it| *it += 1);
                        sleep(PROCESSING_TIME).await;
                        let head =
                            format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
                        let mut bytes = head.into_bytes();
                        bytes.resize(bytes.len() + body_bytes, b'x');
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, arrived }
    }

    fn arrived(&self) -> usize {
        *self.arrived.borrow()
    }
}

/// Reads the head of a message; returns none if the connection is closed.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).unwrap())
}

/// Sends a request. Errors are ignored, because a lost request shows in the missing response.
async fn send_request(stream: &mut TcpStream, id: &str) {
    send_request_to(stream, "/", id).await;
}

async fn send_request_to(stream: &mut TcpStream, path: &str, id: &str) {
    let text = format!("POST {path} HTTP/1.1\r\nhost: site.example\r\nid: {id}\r\n\r\n");
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads a successful response to its end; returns whether it was complete.
async fn receive_response(stream: &mut TcpStream) -> bool {
    let Some(head) = read_head(stream).await else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let (_, rest) = head.split_once("content-length: ").unwrap();
    let length = rest.split("\r\n").next().unwrap().parse().unwrap();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    stream.read_exact(&mut vec![0; length]).await.is_ok()
}

/// Guards against a request that is forwarded to an upstream and then lost with the process: it
/// arrives when the shutdown has just found no request in flight.
#[test]
fn a_stop_waits_for_a_request_that_comes_last() {
    run_local(async {
        // The pauses reach from before the shutdown's first check for requests in flight to after
        // its end.
        for pause in (0..80).step_by(10).map(Duration::from_millis) {
            let upstream = SlowUpstream::start(10).await;
            let gateway = GatewayThread::start(upstream.address).await;
            let mut first = gateway.connect().await;
            send_request(&mut first, "first").await;
            while upstream.arrived() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            gateway.stop();
            assert!(receive_response(&mut first).await);
            sleep(pause).await;
            let is_complete = match TcpStream::connect(gateway.callers).await {
                Ok(mut last) => {
                    send_request(&mut last, "last").await;
                    receive_response(&mut last).await
                }
                Err(_) => false,
            };
            assert_eq!(is_complete, upstream.arrived() == 2, "after a pause of {pause:?}");
            gateway.join();
        }
    });
}

/// Guards against a request that a stopping host forwards although it may last longer than the
/// process. The refusal must come at once, say when to retry, and be true.
#[test]
fn a_stop_refuses_a_request_that_it_cannot_wait_for() {
    run_local(async {
        let upstream = SlowUpstream::start(10).await;
        let gateway = GatewayThread::start(upstream.address).await;
        let mut first = gateway.connect().await;
        send_request(&mut first, "first").await;
        while upstream.arrived() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.stop();
        sleep(PROCESSING_TIME / 4).await;
        let mut long = gateway.connect().await;
        send_request_to(&mut long, LONG_PREFIX, "long").await;
        let head = read_head(&mut long).await.expect("a refusal").to_ascii_lowercase();
        assert!(head.starts_with("http/1.1 503"), "{head}");
        assert!(head.contains("retry-after:"), "{head}");
        let mut short = gateway.connect().await;
        send_request(&mut short, "short").await;
        assert!(receive_response(&mut short).await);
        assert!(receive_response(&mut first).await);
        gateway.join();
        assert_eq!(upstream.arrived(), 2);
    });
}

/// Guards against requests that were taken before the shutdown and whose connections end without an
/// answer, because their upstream takes longer than the shutdown.
#[test]
fn a_stop_answers_requests_that_it_cannot_wait_for() {
    run_local(async {
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let limit = LAST_RESPONSE_MARGIN * 4;
        let gateway = GatewayThread::start_with(silent.local_addr().unwrap(), limit).await;
        let mut caller = gateway.connect().await;
        send_request_to(&mut caller, LONG_PREFIX, "long").await;
        let (mut upstream, _) = silent.accept().await.unwrap();
        read_head(&mut upstream).await.expect("the request is sent on");
        gateway.stop();
        let head = read_head(&mut caller).await.expect("an answer").to_ascii_lowercase();
        assert!(head.starts_with("http/1.1 504"), "{head}");
        assert!(!head.contains("retry-after:"), "the request may be running: {head}");
        gateway.join();
    });
}

/// Guards against a response that a shutdown truncates because its caller reads slowly.
#[test]
fn a_stop_waits_for_the_last_byte_of_a_response() {
    run_local(async {
        let upstream = SlowUpstream::start(LARGE_BODY_BYTES).await;
        let gateway = GatewayThread::start(upstream.address).await;
        let mut caller = gateway.connect().await;
        send_request(&mut caller, "large").await;
        // The first byte shows that the response head was sent.
        caller.peek(&mut [0]).await.unwrap();
        gateway.stop();
        sleep(Duration::from_millis(500)).await;
        assert!(!gateway.is_stopped(), "the process ended before the response was sent");
        assert!(receive_response(&mut caller).await);
        gateway.join();
    });
}

/// Guards against requests that are refused because they arrive shortly before the process has its
/// first configuration, and against requests that wait for it without limit.
#[test]
fn a_request_waits_for_the_first_configuration() {
    run_local(async {
        let upstream = SlowUpstream::start(10).await;
        let addresses = loopback_addresses(1_000);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
        let mut caller = TcpStream::connect(addresses.callers).await.unwrap();
        send_request(&mut caller, "refused").await;
        let head = read_head(&mut caller).await.unwrap();
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        let mut caller = TcpStream::connect(addresses.callers).await.unwrap();
        send_request(&mut caller, "served").await;
        while gateway.in_flight() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.apply(FleetChange::Routes(Arc::new(route_table())));
        let listing = vec![upstream_record(upstream.address)];
        gateway.apply(FleetChange::FullListing { upstreams: listing, closed: vec![] });
        assert!(receive_response(&mut caller).await);
    });
}
