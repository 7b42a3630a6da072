//! Where a host learns of changes when the platform does not answer it.

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

/// Time after which a test gives up; nothing here measures time.
const PATIENCE: Duration = Duration::from_secs(15);

/// Revision that the relay elsewhere knows.
const REVISION: u64 = 5;

/// A platform that turns the host away.
#[derive(Debug)]
struct ClosedSource;

impl EntrySource for ClosedSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        Box::pin(async { Err(SourceError::Failed("turned away".into())) })
    }

    fn watch(&mut self, _: u64, _: Duration) -> SourceFuture<'_> {
        self.read_all()
    }
}

/// A relay of the data centre `b` that tells of its changes only a host that waits for them.
struct FarRelay {
    address: SocketAddr,
    /// The longest wait for a change that it was asked for.
    waits: watch::Receiver<Duration>,
}

impl FarRelay {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, waits) = watch::channel(Duration::ZERO);
        let sender = Rc::new(sender);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(answer(stream, address, sender.clone()));
            }
        });
        Self { address, waits }
    }
}

async fn answer(stream: TcpStream, address: SocketAddr, waits: Rc<watch::Sender<Duration>>) {
    let mut stream = BufReader::new(stream);
    while let Some((path, body)) = read_message(&mut stream).await {
        let reply = if path == "/v1/digest" {
            let sender = MemberRecord {
                host: HostName::new("far"),
                centre: CentreName::new("b"),
                address,
                incarnation: 1,
                heartbeat: 1,
                bandwidth: 100,
            };
            // By its digests it knows no more than the host.
            let digest = PeerDigest {
                sender,
                members: MemberDigest::default(),
                revision: 0,
                strikes: vec![],
                outcomes: vec![],
                loads: vec![],
            };
            encode_message(&digest)
        } else {
            let request: ChangesRequest = decode_message(&mut &body[..]).unwrap();
            let wait = Duration::from_millis(request.wait_ms);
            waits.send_modify(|it| *it = wait.max(*it));
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
        // A relay without changes lets the host wait.
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reads the path and the body of a message; none follows a closed connection.
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

/// Guards against a relay that cannot reach the platform and learns of a change, for its whole data
/// centre, only when the digests of a host elsewhere happen to tell of it.
#[test]
fn a_host_without_a_source_waits_for_changes_at_a_relay_elsewhere() {
    run_local(async {
        let relay = FarRelay::start().await;
        let addresses = loopback_addresses(1);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
        let gather = Duration::from_millis(500);
        let follower = spawn_local(follow_entries(gateway.clone(), Box::new(ClosedSource), gather));
        let started = Instant::now();
        while gateway.revision() < REVISION {
            assert!(started.elapsed() < PATIENCE, "the change of the relay did not come");
            sleep(Duration::from_millis(10)).await;
        }
        assert!(!relay.waits.borrow().is_zero());
        follower.abort();
    });
}
