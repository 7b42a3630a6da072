//! How a host receives changes while the platform does not respond to it.

mod gateway_support;

use std::{
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

/// Fake relay in the data centre `b` that sends its changes only in reply to requests with a wait.
struct FakeRelay {
    address: SocketAddr,
    /// The longest wait of the requests received so far.
    longest_wait: watch::Receiver<Duration>,
}

impl FakeRelay {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, longest_wait) = watch::channel(Duration::ZERO);
        let sender = Rc::new(sender);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(serve_peer(stream, address, sender.clone()));
            }
        });
        Self { address, longest_wait }
    }
}

async fn serve_peer(
    stream: TcpStream,
    address: SocketAddr,
    longest_wait: Rc<watch::Sender<Duration>>,
) {
    let mut stream = BufReader::new(stream);
    while let Some((path, body)) = read_message(&mut stream).await {
        let reply = if path == "/v1/digest" {
            let sender = MemberRecord {
                host: HostName::new("remote"),
                centre: CentreName::new("b"),
                address,
                incarnation: 1,
                heartbeat: 1,
                bandwidth: 100,
            };
            // Its digests announce no newer revision, so the host cannot learn of the change by
            // gossip.
            let digest = PeerDigest {
                sender,
                members: MemberDigest::default(),
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
            let is_new = !wait.is_zero() && request.after < REVISION;
            encode_message(&ChangesReply {
                change: is_new.then(|| PackedChange::pack(&change)),
                answered_age_ms: Some(0),
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
        let relay = FakeRelay::start().await;
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
