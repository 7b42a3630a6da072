//! Planned stop of a gateway, with connections on loopback.

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

use gateway_support::{addresses, new_gateway, run_local};
use snipepond::{
    gateway::{
        CallerLimits, FleetChange, GatewayServer, RetryRule, RouteRecord, RouteTable,
        ShutdownTimes, UpstreamRecord, WeightedService,
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

/// Time to the end of a stop at the latest; no test comes near it unless it fails.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Time that the upstream takes for a request; longer than the end of a process that waits for none.
const WORK_TIME: Duration = Duration::from_millis(200);

/// A response that does not fit into the buffers of a connection.
const LARGE_BODY: usize = 12 << 20;

fn routes() -> RouteTable {
    let route = RouteRecord {
        name: RouteName::new("orders"),
        host: "site.example".into(),
        prefix: "/".into(),
        retry_rule: RetryRule::Once,
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
        let addresses = addresses(NEXT.fetch_add(1, Ordering::SeqCst));
        let stop = Arc::new(Notify::new());
        let (ready, is_ready) = oneshot::channel();
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            run_local(async move {
                let gateway = new_gateway(&addresses);
                gateway.apply(FleetChange::Routes(Arc::new(routes())));
                let listing =
                    FleetChange::FullListing { upstreams: vec![desk(upstream)], closed: vec![] };
                gateway.apply(listing);
                let server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
                ready.send(()).unwrap();
                stop_requested.notified().await;
                let times = ShutdownTimes { drain_delay: Duration::ZERO, limit: STOP_LIMIT };
                server.shutdown(&times).await;
            });
        });
        is_ready.await.unwrap();
        Self { callers: addresses.callers, stop, thread }
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

fn desk(address: SocketAddr) -> UpstreamRecord {
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

/// Guards against requests that are refused in the moment before a process knows its first
/// configuration, and against ones that wait for it for ever.
#[test]
fn a_request_waits_for_the_first_configuration() {
    run_local(async {
        let upstream = Upstream::start(10).await;
        let addresses = addresses(1_000);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
        let mut caller = TcpStream::connect(addresses.callers).await.unwrap();
        send(&mut caller, "refused").await;
        let head = read_head(&mut caller).await.unwrap();
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        let mut caller = TcpStream::connect(addresses.callers).await.unwrap();
        send(&mut caller, "served").await;
        while gateway.in_flight() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.apply(FleetChange::Routes(Arc::new(routes())));
        let listing = vec![desk(upstream.address)];
        gateway.apply(FleetChange::FullListing { upstreams: listing, closed: vec![] });
        assert!(receive(&mut caller).await);
    });
}
