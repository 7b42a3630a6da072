//! Fake relays, which reply to messages of a host as a script says.

use std::{
    cell::{Cell, RefCell},
    future::pending,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use snipepond::{
    config::ConfigChange,
    gateway::{
        ChangesReply, ChangesRequest, MemberDigest, MemberRecord, PackedChange, PeerDigest,
        StorePosition,
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

/// What a relay does with a request for changes.
#[derive(Clone, Copy, Debug)]
pub enum RelayAction {
    /// Replies from entries of this era and revision. A relay without an era is one of a release
    /// that has none.
    Reply(Option<u64>, u64),
    /// Replies from entries at the position that its digests announce.
    ReplyAnnounced,
    /// Replies that it has no entries.
    ReplyEmpty,
    /// Never replies, as a frozen host.
    Freeze,
}

/// Returns what a relay does with the request of this number.
pub type RelayScript = fn(usize) -> RelayAction;

/// Fake relays of a data centre, at one address.
pub struct FakeRelay {
    pub address: SocketAddr,
    /// Number of requests for changes that were received so far.
    pub requests: Rc<Cell<usize>>,
    /// Position that its digests announce.
    pub position: Rc<Cell<StorePosition>>,
    /// Other hosts that its digests name.
    pub others: Rc<RefCell<Vec<MemberRecord>>>,
    /// The longest wait of the requests received so far.
    pub longest_wait: watch::Receiver<Duration>,
}

impl FakeRelay {
    /// Starts a relay of data centre `centre`. Its digests announce no entries, so that a host cannot
    /// learn of changes by gossip.
    pub async fn start(centre: &'static str, script: RelayScript) -> Self {
        Self::start_announcing(centre, script, StorePosition::default()).await
    }

    /// Starts a relay whose digests announce `position`, and which sends its changes to requests
    /// without a wait too.
    pub async fn start_announcing(
        centre: &'static str,
        script: RelayScript,
        position: StorePosition,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, longest_wait) = watch::channel(Duration::ZERO);
        let (requests, position) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(position)));
        let others: Rc<RefCell<Vec<MemberRecord>>> = Rc::default();
        let peer = FakePeer {
            address,
            centre,
            script,
            position: position.clone(),
            others: others.clone(),
            sender: Rc::new(sender),
            digests: Rc::default(),
            counter: requests.clone(),
        };
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(peer.clone().serve(stream));
            }
        });
        Self { address, requests, position, others, longest_wait }
    }
}

pub fn member(centre: &str, number: u32, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        host: HostName::new(&format!("relay-{centre}-{number}")),
        centre: CentreName::new(centre),
        address,
        incarnation: 1,
        heartbeat: 1,
        bandwidth: 100,
    }
}

/// One connection of a [`FakeRelay`].
#[derive(Clone)]
struct FakePeer {
    address: SocketAddr,
    centre: &'static str,
    script: RelayScript,
    position: Rc<Cell<StorePosition>>,
    others: Rc<RefCell<Vec<MemberRecord>>>,
    sender: Rc<watch::Sender<Duration>>,
    /// Number of digests that were sent.
    digests: Rc<Cell<u64>>,
    counter: Rc<Cell<usize>>,
}

impl FakePeer {
    async fn serve(self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some((path, body)) = read_message(&mut stream).await {
            let (era, reply) = if path == "/v1/digest" {
                self.digest()
            } else {
                match self.changes(&body) {
                    Some(reply) => reply,
                    None => return pending().await,
                }
            };
            let era = era.map(|it| format!("entry-era: {it}\r\n")).unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\n{era}content-length: {}\r\n\r\n", reply.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&reply).await.unwrap();
            // Limits the rate of requests, as a relay does that has no changes.
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a heartbeat that has not been sent before.
    fn heartbeat(&self) -> u64 {
        self.digests.replace(self.digests.get() + 1) + 2
    }

    fn digest(&self) -> (Option<u64>, Vec<u8>) {
        // Both relays of its data centre have its address.
        let member = member(self.centre, 1, self.address);
        let mut records = vec![self::member(self.centre, 2, self.address)];
        records.extend(self.others.borrow().iter().cloned());
        let digest = PeerDigest {
            sender: MemberRecord { heartbeat: self.heartbeat(), ..member },
            members: MemberDigest { records, ..MemberDigest::default() },
            position: self.position.get(),
            strikes: vec![],
            clearances: vec![],
            proofs: vec![],
            leaving: vec![],
            outcomes: vec![],
            loads: vec![],
        };
        (Some(self.position.get().era), encode_message(&digest))
    }

    /// Returns the reply to a request for changes; `None` if there is none.
    fn changes(&self, body: &[u8]) -> Option<(Option<u64>, Vec<u8>)> {
        let request: ChangesRequest = decode_message(&mut &body[..]).unwrap();
        let wait = Duration::from_millis(request.wait_ms);
        self.sender.send_modify(|it| *it = wait.max(*it));
        let (era, revision) = match (self.script)(self.counter.replace(self.counter.get() + 1)) {
            RelayAction::Reply(era, revision) => (era, revision),
            RelayAction::ReplyAnnounced => {
                let StorePosition { era, revision } = self.position.get();
                (Some(era), revision)
            }
            RelayAction::ReplyEmpty => (None, 0),
            RelayAction::Freeze => return None,
        };
        let change = ConfigChange { base: 0, revision, entries: vec![] };
        let has_news = request.after.revision < revision;
        let is_new = has_news && (!wait.is_zero() || !self.position.get().is_start());
        let reply = ChangesReply {
            era: era.unwrap_or_default(),
            change: is_new.then(|| PackedChange::pack(&change)),
            answered_age_ms: (revision > 0).then_some(0),
            regained_age_ms: None,
        };
        Some((era, encode_message(&reply)))
    }
}

/// Reads the path and the body of a message; returns `None` once the connection is closed.
pub async fn read_message(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
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
