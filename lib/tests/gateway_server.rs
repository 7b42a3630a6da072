//! Planned stop of a gateway, with connections on loopback.

use std::{
    net::SocketAddr,
    process,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use hyper::{HeaderMap, StatusCode};
use snipepond::{
    clock::SystemClock,
    config::EntryChange,
    gateway::{
        AnswerHead, AttemptHead, CallHead, CallerLimits, EntryDecoder, FleetChange, Gateway,
        GatewayServer, GatewaySettings, MemberRecord, RepeatRule, RetryAllowance, RouteRecord,
        RouteTable, ServerAddresses, ShutdownTimes, UpstreamRecord, WeightedService, WireDialect,
    },
    names::{CentreName, HostName, RouteName, ServiceName, UpstreamName},
    telemetry::RouterMetrics,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::{Notify, oneshot, watch},
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Time to the end of a stop at the latest; no test comes near it unless it fails.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Time that the upstream takes for a request; longer than the end of a process that waits for none.
const WORK_TIME: Duration = Duration::from_millis(200);

/// A response that does not fit into the buffers of a connection.
const LARGE_BODY: usize = 12 << 20;

/// Reads nothing but the id of a request, and accepts every response as its upstream's.
#[derive(Debug)]
struct PlainDialect;

impl WireDialect for PlainDialect {
    fn read_call(&self, headers: &HeaderMap) -> CallHead {
        let request_id = headers.get("id").and_then(|it| it.to_str().ok()).unwrap_or_default();
        CallHead { request_id: request_id.to_owned(), ..CallHead::default() }
    }

    fn write_attempt(&self, _: &mut HeaderMap, _: &AttemptHead<'_>) {}

    fn read_answer(&self, _: StatusCode, _: &HeaderMap, _: &str) -> AnswerHead {
        AnswerHead { is_own: true, is_signed: true, ..AnswerHead::default() }
    }

    fn write_refusal(&self, _: &mut HeaderMap, _: &str) {}
}

/// Nothing is read from a platform.
#[derive(Debug)]
struct NoEntries;

impl EntryDecoder for NoEntries {
    fn decode(&self, _: &EntryChange) -> Option<FleetChange> {
        None
    }
}

fn routes() -> RouteTable {
    let route = RouteRecord {
        name: RouteName::new("orders"),
        host: "site.example".into(),
        prefix: "/".into(),
        repeat: RepeatRule::Once,
        timeout: STOP_LIMIT,
        target_latency: STOP_LIMIT,
        event_gap: Duration::ZERO,
        priority: 0,
        services: vec![WeightedService { service: ServiceName::new("desk"), weight: 1 }],
        max_attempts: 1,
        is_open: true,
    };
    RouteTable::new(1, vec![route], vec![], vec![], CallerLimits::default())
}

/// A gateway before one upstream, in a thread that ends with it as its process would.
struct GatewayThread {
    callers: SocketAddr,
    stop: Arc<Notify>,
    thread: JoinHandle<()>,
}

impl GatewayThread {
    async fn start(upstream: SocketAddr) -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(1);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let at = move |port: u16| -> SocketAddr {
            let [_, _, _, process] = process::id().to_be_bytes();
            let [high, low] = number.to_be_bytes();
            SocketAddr::from(([127, 32 | (process & 0x1f), high, low], port))
        };
        let stop = Arc::new(Notify::new());
        let (ready, is_ready) = oneshot::channel();
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            run_local(async move {
                let gateway = gateway_of(upstream, at(8_003));
                let addresses = ServerAddresses {
                    callers: at(8_000),
                    readiness: at(8_001),
                    peers: at(8_003),
                    metrics: at(8_002),
                };
                let server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
                ready.send(()).unwrap();
                stop_requested.notified().await;
                let times = ShutdownTimes { notice: Duration::ZERO, limit: STOP_LIMIT };
                server.shutdown(&times).await;
            });
        });
        is_ready.await.unwrap();
        Self { callers: at(8_000), stop, thread }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.unwrap()
    }

    /// Begins the stop, without time for a load balancer to notice.
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

fn gateway_of(upstream: SocketAddr, peers: SocketAddr) -> Rc<Gateway> {
    let identity = MemberRecord {
        host: HostName::new("h1"),
        centre: CentreName::new("a"),
        address: peers,
        incarnation: 1,
        heartbeat: 0,
        bandwidth: 1,
    };
    let retries = RetryAllowance { ratio: 0.2, window: Duration::from_secs(10), slack: 10.0 };
    let gateway = Gateway::new(
        GatewaySettings { identity, retries },
        Rc::new(SystemClock),
        Rc::new(PlainDialect),
        Rc::new(NoEntries),
        Rc::new(RouterMetrics::new()),
    );
    gateway.apply(FleetChange::Routes(Arc::new(routes())));
    let record = UpstreamRecord {
        name: UpstreamName::new("d1"),
        service: ServiceName::new("desk"),
        address: upstream,
        data_centre: CentreName::new("a"),
        slots: 8,
        is_leaving: false,
        cold_for: Duration::ZERO,
        incarnation: 1,
    };
    gateway.apply(FleetChange::Listing { upstreams: vec![record], closed: vec![] });
    gateway
}

/// An upstream that takes a while for each request.
struct Upstream {
    address: SocketAddr,
    /// Requests that have arrived.
    arrived: watch::Receiver<usize>,
}

impl Upstream {
    async fn start(body: usize) -> Self {
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
                        sleep(WORK_TIME).await;
                        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body}\r\n\r\n");
                        let mut bytes = head.into_bytes();
                        bytes.resize(bytes.len() + body, b'x');
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

/// Reads the head of a message; none follows a closed connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).unwrap())
}

/// Sends a request; whether it is read shows in the response.
async fn send(stream: &mut TcpStream, id: &str) {
    let text = format!("POST / HTTP/1.1\r\nhost: site.example\r\nid: {id}\r\n\r\n");
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads a response to its end; returns whether it was complete.
async fn receive(stream: &mut TcpStream) -> bool {
    let Some(head) = read_head(stream).await else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let (_, rest) = head.split_once("content-length: ").unwrap();
    let length = rest.split("\r\n").next().unwrap().parse().unwrap();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    stream.read_exact(&mut vec![0; length]).await.is_ok()
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a request that is passed on while the process ends, because no request was in
/// flight a moment before.
#[test]
fn a_stop_waits_for_a_request_that_comes_last() {
    run_local(async {
        // Pauses from before the first look of the stop at the requests in flight to after its end.
        for pause in (0..80).step_by(10).map(Duration::from_millis) {
            let upstream = Upstream::start(10).await;
            let gateway = GatewayThread::start(upstream.address).await;
            let mut first = gateway.connect().await;
            send(&mut first, "first").await;
            while upstream.arrived() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            gateway.stop();
            assert!(receive(&mut first).await);
            sleep(pause).await;
            let is_answered = match TcpStream::connect(gateway.callers).await {
                Ok(mut last) => {
                    send(&mut last, "last").await;
                    receive(&mut last).await
                }
                Err(_) => false,
            };
            assert_eq!(is_answered, upstream.arrived() == 2, "after a pause of {pause:?}");
            gateway.join();
        }
    });
}

/// Guards against a response that is cut by a stop because its caller reads slowly.
#[test]
fn a_stop_waits_for_the_last_byte_of_a_response() {
    run_local(async {
        let upstream = Upstream::start(LARGE_BODY).await;
        let gateway = GatewayThread::start(upstream.address).await;
        let mut caller = gateway.connect().await;
        send(&mut caller, "large").await;
        // The first byte says that the response head has left.
        caller.peek(&mut [0]).await.unwrap();
        gateway.stop();
        sleep(Duration::from_millis(500)).await;
        assert!(!gateway.is_stopped(), "the process ends before the response has left");
        assert!(receive(&mut caller).await);
        gateway.join();
    });
}
