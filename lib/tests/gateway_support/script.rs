//! Upstreams that follow scripts of raw bytes, and a site with one gateway in front of them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use snipepond::{
    gateway::{
        CallerLimits, FleetChange, GatewayServer, ResponseLimits, RetryRule, RouteRecord,
        RouteTable, ServerAddresses, UpstreamRecord, WeightedService,
    },
    names::{CentreName, RouteName, ServiceName, UpstreamName},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy, sink},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{RESPONSE_LIMITS, loopback_addresses, new_gateway_with};

/// Time limit of every route; no test of a prompt answer comes near it.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit of the route for answers whose chunks keep a debug build busy for seconds.
const LARGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time limit of an answer that does not have to wait for anything.
pub const PROMPT: Duration = Duration::from_secs(1);

/// Latency target of the route `/safe/`, after twice of which another upstream is asked.
pub const SAFE_TARGET: Duration = Duration::from_millis(100);

/// Longest pause between events that the streaming route allows.
pub const EVENT_GAP: Duration = Duration::from_millis(50);

/// Bytes that an upstream can send before its connection is closed: the largest response, and what
/// the buffers of a connection hold.
pub const MAX_ENDLESS_BYTES: usize = 32 << 20;

/// One step of a connection.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reads the head of a request.
    Read,
    Send(String),
    Wait(Duration),
    /// Sends the text until the connection is closed, with a pause after each.
    Repeat(String, Duration),
    /// Closes the direction to the gateway.
    EndWrite,
    /// Reads until the gateway closes its direction.
    Drain,
    /// Closes the connection with a reset.
    Reset,
}

pub fn send(text: impl Into<String>) -> Step {
    Step::Send(text.into())
}

/// What the gateway did to one connection.
#[derive(Debug, Default)]
pub struct ConnectionLog {
    pub request_ids: RefCell<Vec<String>>,
    pub sent_bytes: Cell<usize>,
    pub opened: Cell<Option<Instant>>,
    /// When the gateway was seen to have closed the connection.
    pub closed: Cell<Option<Instant>>,
}

/// An upstream whose connections follow scripts, in the order in which they are opened.
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    pub log: Rc<RefCell<Vec<Rc<ConnectionLog>>>>,
}

impl ScriptedUpstream {
    /// The last script also serves all further connections.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = Rc::new(RefCell::new(Vec::new()));
        let connections = log.clone();
        spawn_local(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let script = scripts.get(number).or(scripts.last()).unwrap().clone();
                let connection = Rc::new(ConnectionLog::default());
                connection.opened.set(Some(Instant::now()));
                connections.borrow_mut().push(connection.clone());
                spawn_local(play(stream, script, connection));
            }
        });
        Self { address, log }
    }

    pub fn connection(&self, number: usize) -> Rc<ConnectionLog> {
        self.log.borrow()[number].clone()
    }

    pub fn connections(&self) -> usize {
        self.log.borrow().len()
    }

    /// Number of requests that were read on all connections.
    pub fn requests(&self) -> usize {
        self.log.borrow().iter().map(|it| it.request_ids.borrow().len()).sum()
    }
}

async fn play(mut stream: TcpStream, script: Vec<Step>, log: Rc<ConnectionLog>) {
    for step in script {
        let result = match step {
            Step::Read => match read_head(&mut stream).await {
                Some(head) => {
                    let id = head.split("\r\nid: ").nth(1).and_then(|it| it.split("\r\n").next());
                    log.request_ids.borrow_mut().push(id.unwrap_or_default().to_owned());
                    Ok(())
                }
                None => return log.closed.set(Some(Instant::now())),
            },
            Step::Send(text) => stream.write_all(text.as_bytes()).await,
            Step::Wait(pause) => {
                sleep(pause).await;
                Ok(())
            }
            Step::Repeat(text, pause) => loop {
                if let Err(error) = stream.write_all(text.as_bytes()).await {
                    break Err(error);
                }
                log.sent_bytes.set(log.sent_bytes.get() + text.len());
                sleep(pause).await;
            },
            Step::EndWrite => stream.shutdown().await,
            Step::Drain => copy(&mut stream, &mut sink()).await.map(drop),
            Step::Reset => stream.set_zero_linger(),
        };
        if result.is_err() {
            return log.closed.set(Some(Instant::now()));
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

fn route(prefix: &str, retry_rule: RetryRule) -> RouteRecord {
    RouteRecord {
        name: RouteName::new(prefix),
        host: "site.example".into(),
        prefix: prefix.into(),
        retry_rule,
        timeout: ROUTE_TIMEOUT,
        target_latency: ROUTE_TIMEOUT,
        event_gap: EVENT_GAP,
        priority: 0,
        services: vec![WeightedService { service: ServiceName::new("desk"), weight: 1 }],
        max_attempts: 3,
        is_open: true,
    }
}

/// A gateway with the routes `/once/`, `/large/`, `/safe/`, `/stream/` and `/resumable/` to some
/// upstreams.
pub struct Site {
    pub addresses: ServerAddresses,
    _server: GatewayServer,
}

impl Site {
    pub fn start(number: u16, upstreams: &[&ScriptedUpstream]) -> Self {
        Self::start_with(number, |it| upstreams.get(it).map(|upstream| (upstream.address, "a")))
    }

    /// Starts a gateway in the data centre `a`; `upstream` returns the address and the data centre
    /// of each upstream.
    pub fn start_with(
        number: u16,
        upstream: impl Fn(usize) -> Option<(SocketAddr, &'static str)>,
    ) -> Self {
        Self::start_limited(number, RESPONSE_LIMITS, upstream)
    }

    /// Starts a gateway whose responses may take the memory of `limits`.
    pub fn start_limited(
        number: u16,
        limits: ResponseLimits,
        upstream: impl Fn(usize) -> Option<(SocketAddr, &'static str)>,
    ) -> Self {
        let addresses = loopback_addresses(number);
        let gateway = new_gateway_with(&addresses, limits);
        let routes = vec![
            route("/once/", RetryRule::Once),
            RouteRecord { timeout: LARGE_TIMEOUT, ..route("/large/", RetryRule::Once) },
            RouteRecord { target_latency: SAFE_TARGET, ..route("/safe/", RetryRule::Idempotent) },
            route("/stream/", RetryRule::OnceStream),
            route("/resumable/", RetryRule::ResumableStream),
        ];
        let table = RouteTable::new(1, routes, None, vec![], CallerLimits::default());
        gateway.apply(FleetChange::Routes(Arc::new(table)));
        let upstreams = (0..).map_while(upstream).enumerate();
        let records = upstreams.map(|(index, (address, centre))| UpstreamRecord {
            name: UpstreamName::new(&format!("d{index}")),
            service: ServiceName::new("desk"),
            address,
            data_centre: CentreName::new(centre),
            slots: 8,
            is_leaving: false,
            cold_for: Duration::ZERO,
            incarnation: 1,
        });
        gateway.apply(FleetChange::FullListing { upstreams: records.collect(), closed: vec![] });
        let server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
        Self { addresses, _server: server }
    }

    /// Returns the value of the first series whose name and labels begin with `series`.
    pub async fn metric(&self, series: &str) -> u64 {
        let mut stream = TcpStream::connect(self.addresses.metrics).await.unwrap();
        let request = "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        let line = text.lines().find(|it| it.starts_with(series));
        line.map_or(0, |it| it.rsplit(' ').next().unwrap().parse().unwrap())
    }

    /// Sends a request on a new connection, and returns what the caller receives until the
    /// connection is closed.
    pub async fn call(&self, path: &str, id: &str) -> CallerReply {
        self.call_with(path, &format!("id: {id}")).await
    }

    pub async fn call_with(&self, path: &str, headers: &str) -> CallerReply {
        self.call_with_body(path, headers, &[]).await
    }

    pub async fn call_with_body(&self, path: &str, headers: &str, body: &[u8]) -> CallerReply {
        let started = Instant::now();
        let mut stream = TcpStream::connect(self.addresses.callers).await.unwrap();
        let length = match body {
            [] => String::new(),
            body => format!("\r\ncontent-length: {}", body.len()),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\n{headers}{length}\r\n\
             connection: close\r\n\r\n"
        );
        stream.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
        let mut bytes = Vec::new();
        // A reset ends the response as well; what counts is whether it is complete.
        let _ = timeout(ROUTE_TIMEOUT * 3, stream.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        CallerReply { text, elapsed: started.elapsed() }
    }
}

/// What a caller received.
#[derive(Debug)]
pub struct CallerReply {
    pub text: String,
    pub elapsed: Duration,
}

impl CallerReply {
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    /// Returns whether the framing says that the response is complete.
    pub fn is_complete(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else {
            return false;
        };
        let head = head.to_ascii_lowercase();
        match head.split("content-length: ").nth(1) {
            Some(rest) => rest.split("\r\n").next().unwrap().parse() == Ok(body.len()),
            None => body.ends_with("0\r\n\r\n"),
        }
    }
}

pub const OK_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";

pub const EVENTS_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

pub fn answer() -> Vec<Step> {
    vec![Step::Read, send(format!("{OK_HEAD}content-length: 4\r\n\r\ndone"))]
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(id: u32) -> String {
    chunk(&format!("id: {id}\ndata: x\n\n"))
}

/// Events with the ids of a range, with a pause after each, and the end of the stream.
pub fn events(ids: std::ops::Range<u32>, pause: Duration) -> Vec<Step> {
    let mut steps = vec![Step::Read, send(EVENTS_HEAD)];
    for id in ids {
        steps.extend([send(event(id)), Step::Wait(pause)]);
    }
    steps.push(send("0\r\n\r\n"));
    steps
}

pub fn endless_text() -> String {
    "x".repeat(64 << 10)
}
