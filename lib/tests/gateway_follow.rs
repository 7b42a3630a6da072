//! How a host receives changes while the platform does not respond to it.

mod gateway_support;

use std::{
    cell::Cell,
    future::pending,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{
    loopback_addresses, new_gateway,
    relay::{FakeRelay, RelayAction, RelayScript, member},
    run_local,
};
use snipepond::{
    config::ConfigChange,
    gateway::{
        EntrySource, EntryUpdate, FollowTimes, GatewayServer, PackedChange, SourceError,
        SourceFuture, StorePosition, follow_entries,
    },
    peer::{decode_message, encode_message},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    task::spawn_local,
    time::sleep,
};

/// Time limit of a test; far above the expected time, since the test asserts no duration.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Position of the entries of relays and of the platform.
const ERA: u64 = 2;
const REVISION: u64 = 5;

fn times() -> FollowTimes {
    FollowTimes::new(Duration::from_secs(2))
}

/// Fake platform that rejects every call.
#[derive(Debug)]
struct RejectingSource;

impl EntrySource for RejectingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        Box::pin(async { Err(SourceError::Failed("rejected".into())) })
    }

    fn watch(&mut self, _: StorePosition, _: Duration) -> SourceFuture<'_> {
        self.read_all()
    }
}

/// Calls that a [`CountingSource`] received.
#[derive(Debug, Default)]
struct SourceCalls {
    listings: Cell<usize>,
    watches: Cell<usize>,
}

/// Fake platform without entries that counts its calls.
#[derive(Debug)]
struct CountingSource(Rc<SourceCalls>);

impl EntrySource for CountingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        self.0.listings.set(self.0.listings.get() + 1);
        let change = ConfigChange { base: 0, revision: REVISION, entries: vec![] };
        Box::pin(async move { Ok(EntryUpdate { era: ERA, change }) })
    }

    fn watch(&mut self, after: StorePosition, wait: Duration) -> SourceFuture<'_> {
        self.0.watches.set(self.0.watches.get() + 1);
        let StorePosition { era, revision } = after;
        Box::pin(async move {
            sleep(wait).await;
            let change = ConfigChange { base: revision, revision, entries: vec![] };
            Ok(EntryUpdate { era, change })
        })
    }
}

/// Guards against a data centre that receives a change late: if its relays cannot reach the
/// platform, they have to wait for changes at a relay of another data centre, because a digest from
/// there may take long to announce the new revision.
#[test]
fn a_host_without_a_source_waits_for_changes_at_a_remote_relay() {
    run_local(async {
        let relay = FakeRelay::start("b", |_| RelayAction::Reply(None, REVISION)).await;
        let addresses = loopback_addresses(1);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
        let follower =
            spawn_local(follow_entries(gateway.clone(), Box::new(RejectingSource), times()));
        let started = Instant::now();
        while gateway.position().revision < REVISION {
            assert!(started.elapsed() < TEST_TIMEOUT, "the relay's change was not received");
            sleep(Duration::from_millis(10)).await;
        }
        assert!(!relay.longest_wait.borrow().is_zero());
        follower.abort();
    });
}

/// Returns how often a new host reads all entries of the platform until it has them. It finds a relay
/// of its data centre at its start.
async fn count_listings(number: u16, script: RelayScript) -> usize {
    let relay = FakeRelay::start("a", script).await;
    let addresses = loopback_addresses(number);
    let gateway = new_gateway(&addresses);
    let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
    let calls = Rc::new(SourceCalls::default());
    let source = Box::new(CountingSource(calls.clone()));
    let follower = spawn_local(follow_entries(gateway.clone(), source, times()));
    let started = Instant::now();
    while gateway.position().revision < REVISION {
        assert!(started.elapsed() < TEST_TIMEOUT, "the host has no entries");
        sleep(Duration::from_millis(10)).await;
    }
    follower.abort();
    calls.listings.get()
}

/// Guards against a fleet whose hosts all start at once and all read the platform: with 300 hosts
/// and 3,900 entries that took 2.6 s, during which no host could serve.
#[test]
fn new_host_gets_its_first_entries_from_a_relay() {
    run_local(async {
        assert_eq!(count_listings(2, |_| RelayAction::Reply(None, REVISION)).await, 0)
    });
}

/// Guards against a new host that depends on a relay: one that has no entries must not keep it from
/// reading the platform.
#[test]
fn new_host_reads_the_platform_if_its_relay_has_no_entries() {
    run_local(async { assert_eq!(count_listings(3, |_| RelayAction::ReplyEmpty).await, 1) });
}

/// Guards against a relay that holds the entries of the era before the platform's return, or is of
/// a release without eras, and brings its followers back there, or keeps them from what is new.
#[test]
fn relay_of_an_older_era_is_not_followed() {
    run_local(async {
        let scripts: [RelayScript; 2] = [
            |number| match number {
                0 => RelayAction::Reply(Some(ERA), REVISION),
                _ => RelayAction::Reply(Some(ERA - 1), REVISION + 1),
            },
            |number| match number {
                0 => RelayAction::Reply(Some(ERA), REVISION),
                _ => RelayAction::Reply(None, REVISION + 1),
            },
        ];
        for (number, script) in (4..).zip(scripts) {
            let relay = FakeRelay::start("a", script).await;
            let addresses = loopback_addresses(number);
            let gateway = new_gateway(&addresses);
            let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
            let calls = Rc::new(SourceCalls::default());
            let source = Box::new(CountingSource(calls.clone()));
            let follower = spawn_local(follow_entries(gateway.clone(), source, times()));
            let started = Instant::now();
            while calls.watches.get() == 0 {
                assert!(started.elapsed() < TEST_TIMEOUT, "the host still follows the relay");
                sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(gateway.position(), StorePosition::new(ERA, REVISION));
            follower.abort();
        }
    });
}

/// Sends a message as a host of a release without eras does; returns the era of the reply and its
/// body.
async fn ask_without_era(
    address: SocketAddr,
    path: &str,
    body: &[u8],
) -> (Option<String>, Vec<u8>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut stream = BufReader::new(stream);
    let (mut era, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.unwrap();
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("entry-era: ") {
            era = Some(value.to_owned());
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.unwrap();
    (era, body)
}

/// Guards against an upgrade during which hosts of both releases do not understand each other: one
/// of the last release gets changes by revisions alone, and not the same ones again and again.
#[test]
fn hosts_of_a_release_without_eras_get_changes() {
    run_local(async {
        let addresses = loopback_addresses(6);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![]).unwrap();
        let source = Box::new(CountingSource(Rc::default()));
        let follower = spawn_local(follow_entries(gateway.clone(), source, times()));
        let started = Instant::now();
        while gateway.position().is_start() {
            assert!(started.elapsed() < TEST_TIMEOUT, "the host has no entries");
            sleep(Duration::from_millis(10)).await;
        }
        // The messages of the last release are arrays of these values.
        type OldReply = (Option<PackedChange>, Option<u64>, Option<u64>);
        for (after, is_newer) in [(0_u64, true), (REVISION, false), (REVISION + 90, false)] {
            let request = encode_message(&(after, 0_u64));
            let (era, reply) = ask_without_era(addresses.peers, "/v1/changes", &request).await;
            let (change, ..): OldReply = decode_message(&mut &reply[..]).unwrap();
            assert_eq!((change.is_some(), era), (is_newer, Some(ERA.to_string())), "{after}");
        }
        follower.abort();
    });
}

/// Fake platform without changes that notes how many requests a relay had received at its first
/// watch.
struct NotingSource {
    relay_requests: Rc<Cell<usize>>,
    at_first_watch: Rc<Cell<Option<usize>>>,
}

impl EntrySource for NotingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        Box::pin(async { Err(SourceError::Failed("unexpected".into())) })
    }

    fn watch(&mut self, after: StorePosition, wait: Duration) -> SourceFuture<'_> {
        let first = self.at_first_watch.get().unwrap_or(self.relay_requests.get());
        self.at_first_watch.set(Some(first));
        let StorePosition { era, revision } = after;
        Box::pin(async move {
            sleep(wait).await;
            let change = ConfigChange { base: revision, revision, entries: vec![] };
            Ok(EntryUpdate { era, change })
        })
    }
}

/// Guards against a change that comes late because both relays of a data centre are frozen: a host
/// that waited for one of them in vain has no time left to wait for the other, and reads the
/// platform.
#[test]
fn platform_is_read_before_a_second_relay_that_may_be_frozen() {
    run_local(async {
        let relay = FakeRelay::start("a", |number| match number {
            0 => RelayAction::Reply(Some(ERA), REVISION),
            _ => RelayAction::Freeze,
        })
        .await;
        let addresses = loopback_addresses(7);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, vec![relay.address]).unwrap();
        let at_first_watch = Rc::new(Cell::new(None));
        let source = NotingSource {
            relay_requests: relay.requests.clone(),
            at_first_watch: at_first_watch.clone(),
        };
        let follower = spawn_local(follow_entries(gateway.clone(), Box::new(source), times()));
        let started = Instant::now();
        while at_first_watch.get().is_none() {
            assert!(started.elapsed() < TEST_TIMEOUT, "the platform was not read");
            sleep(Duration::from_millis(10)).await;
        }
        // One that was answered, and one that was not.
        assert_eq!(at_first_watch.get(), Some(2));
        follower.abort();
    });
}

/// Guards against waits for relays that do not add up to less than the bound of a change, whichever
/// it is, and against a second relay that is not asked after a quick failure.
#[test]
fn waits_for_frozen_relays_leave_a_quarter_of_the_bound() {
    let reply_timeout = Duration::from_millis(400);
    let start = Instant::now();
    for bound_ms in (700..10_000).step_by(100) {
        let bound = Duration::from_millis(bound_ms);
        let times = FollowTimes::new(bound);
        let mut now = start;
        while times.allow_relay(now, start) {
            now += times.relay_wait + reply_timeout;
        }
        assert!(now > start && now - start <= bound * 3 / 4, "{bound:?}: {:?}", now - start);
    }
    assert!(times().allow_relay(start + Duration::from_millis(100), start));
}

/// Fake platform that never responds.
#[derive(Debug)]
struct HangingSource;

impl EntrySource for HangingSource {
    fn read_all(&mut self) -> SourceFuture<'_> {
        Box::pin(pending())
    }

    fn watch(&mut self, _: StorePosition, _: Duration) -> SourceFuture<'_> {
        Box::pin(pending())
    }
}

/// Guards against a host that hears of a change from another data centre and never requests it,
/// because the hosts of its own data centre do not have it either.
#[test]
fn change_is_requested_elsewhere_while_the_whole_data_centre_is_late() {
    run_local(async {
        let known = StorePosition::new(ERA, REVISION);
        let near = FakeRelay::start_announcing(
            "a",
            |number| match number {
                0 => RelayAction::Reply(Some(ERA), REVISION),
                _ => RelayAction::Freeze,
            },
            known,
        )
        .await;
        let far = |_| RelayAction::ReplyAnnounced;
        let far = FakeRelay::start_announcing("b", far, known).await;
        near.others.borrow_mut().push(member("b", 1, far.address));
        let seeds = vec![near.address];
        let addresses = loopback_addresses(8);
        let gateway = new_gateway(&addresses);
        let _server = GatewayServer::start(&gateway, &addresses, seeds).unwrap();
        let source = Box::new(HangingSource);
        let follower = spawn_local(follow_entries(gateway.clone(), source, times()));
        let started = Instant::now();
        let newer = StorePosition::new(ERA, REVISION + 1);
        while gateway.position() < newer {
            // The change comes when the host has its entries and the relay does not reply any more.
            if near.requests.get() > 1 {
                far.position.set(newer);
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "still at {:?}", gateway.position());
            sleep(Duration::from_millis(10)).await;
        }
        follower.abort();
    });
}
