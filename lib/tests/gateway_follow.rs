//! How a host receives changes while the platform does not respond to it.

mod gateway_support;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{loopback_addresses, new_gateway, run_local};
use snipepond::{
    config::ConfigChange,
    gateway::{
        ChangesReply, ChangesRequest, EntrySource, GatewayServer, MemberDigest, MemberRecord,
        PackedChange, PeerDigest, SourceError, SourceFuture, follow_entries,
    },
    names::{CentreName, HostName},
    peer::{decode_message, encode_message},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

/// Time limit of a test; far above the expected time, since the test asserts no duration.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Revision of the remote relay's entries.
const REVISION: u64 = 5;

/// Fake platform that rejects every call.
#[derive(Debug)]
struct RejectingSource;

impl EntrySource for RejectingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        Box::pin(async { Err(SourceError::Failed("rejected".into())) })
    }

    fn watch(&mut self, _: u64, _: Duration) -> SourceFuture<'_> {
        self.read_all()
    }
}

/// Fake platform without entries that counts its listings.
#[derive(Debug)]
struct CountingSource(Rc<Cell<usize>>);

impl EntrySource for CountingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        self.0.set(self.0.get() + 1);
        let change = ConfigChange { base: 0, revision: REVISION, entries: vec![] };
        Box::pin(async move { Ok(change) })
    }

    fn watch(&mut self, revision: u64, wait: Duration) -> SourceFuture<'_> {
        Box::pin(async move {
            sleep(wait).await;
            Ok(ConfigChange { base: revision, revision, entries: vec![] })
        })
    }
}

/// Fake relay that sends its changes only in reply to requests with a wait.
struct FakeRelay {
    address: SocketAddr,
    /// The longest wait of the requests received so far.
    longest_wait: watch::Receiver<Duration>,
}

impl FakeRelay {
    /// Starts a relay of data centre `centre`; `has_entries` is whether it has changes to send.
    async fn start(centre: &'static str, has_entries: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, longest_wait) = watch::channel(Duration::ZERO);
        let sender = Rc::new(sender);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(serve_peer(stream, address, centre, has_entries, sender.clone()));
            }
        });
        Self { address, longest_wait }
    }
}

async fn serve_peer(
    stream: TcpStream,
    address: SocketAddr,
    centre: &str,
    has_entries: bool,
    longest_wait: Rc<watch::Sender<Duration>>,
) {
    let member = |host: &str| MemberRecord {
        host: HostName::new(host),
        centre: CentreName::new(centre),
        address,
        incarnation: 1,
        heartbeat: 1,
        bandwidth: 100,
    };
    let mut stream = BufReader::new(stream);
    while let Some((path, body)) = read_message(&mut stream).await {
        let reply = if path == "/v1/digest" {
            // Both relays of its data centre have its address.
            let records = vec![member("relay-2")];
            // Its digests announce no newer revision, so the host cannot learn of the change by
            // gossip.
            let digest = PeerDigest {
                sender: member("relay-1"),
                members: MemberDigest { records, ..MemberDigest::default() },
                revision: 0,
                strikes: vec![],
                clearances: vec![],
                proofs: vec![],
                leaving: vec![],
                outcomes: vec![],
                loads: vec![],
            };
            encode_message(&digest)
        } else {
            let request: ChangesRequest = decode_message(&mut &body[..]).unwrap();
            let wait = Duration::from_millis(request.wait_ms);
            longest_wait.send_modify(|it| *it = wait.max(*it));
            let change = ConfigChange { base: 0, revision: REVISION, entries: vec![] };
            let is_new = has_entries && !wait.is_zero() && request.after < REVISION;
            encode_message(&ChangesReply {
                change: is_new.then(|| PackedChange::pack(&change)),
                answered_age_ms: has_entries.then_some(0),
                regained_age_ms: None,
            })
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&reply).await.unwrap();
        // Limits the rate of requests, as a relay does that has no changes.
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reads the path and the body of a message; returns `None` once the connection is closed.
async fn read_message(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        match line.trim_end() {
            "" if lines.is_empty() => return None,
            "" => break,
            line => lines.push(line.to_ascii_lowercase()),
        }
    }
    let path = lines[0].split(' ').nth(1)?.to_owned();
    let length = lines.iter().find_map(|it| it.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |it| it.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some((path, body))
}

/// Guards against a data centre that receives a change late: if its relays cannot reach the
/// platform, they have to wait for changes at a relay of another data centre, because a digest from
/// there may take long to announce the new revision.
#[test]
fn a_host_without_a_source_waits_for_changes_at_a_remote_relay() {
    run_local(async {
        let relay = FakeRelay::start("b", true).await;
        let addresses = loopback_addresses(1);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
        let min_interval = Duration::from_millis(500);
        let follower =
            spawn_local(follow_entries(gateway.clone(), Box::new(RejectingSource), min_interval));
        let started = Instant::now();
        while gateway.revision() < REVISION {
            assert!(started.elapsed() < TEST_TIMEOUT, "the relay's change was not received");
            sleep(Duration::from_millis(10)).await;
        }
        assert!(!relay.longest_wait.borrow().is_zero());
        follower.abort();
    });
}

/// Returns how often a new host reads all entries of the platform until it has them. It finds a relay
/// of its data centre at its start; `has_entries` is whether that relay has entries.
async fn count_listings(has_entries: bool) -> usize {
    let relay = FakeRelay::start("a", has_entries).await;
    let addresses = loopback_addresses(if has_entries { 2 } else { 3 });
    let gateway = new_gateway(&addresses);
    let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
    let listings = Rc::new(Cell::new(0));
    let source = Box::new(CountingSource(listings.clone()));
    let follower = spawn_local(follow_entries(gateway.clone(), source, Duration::from_millis(500)));
    let started = Instant::now();
    while gateway.revision() < REVISION {
        assert!(started.elapsed() < TEST_TIMEOUT, "the host has no entries");
        sleep(Duration::from_millis(10)).await;
    }
    follower.abort();
    listings.get()
}

/// Guards against a fleet whose hosts all start at once and all read the platform: with 300 hosts
/// and 3,900 entries that took 2.6 s, during which no host could serve.
#[test]
fn new_host_gets_its_first_entries_from_a_relay() {
    run_local(async { assert_eq!(count_listings(true).await, 0) });
}

/// Guards against a new host that depends on a relay: one that has no entries must not keep it from
/// reading the platform.
#[test]
fn new_host_reads_the_platform_if_its_relay_has_no_entries() {
    run_local(async { assert_eq!(count_listings(false).await, 1) });
}
