//! Reports of demand between hosts: the messages, their size, and gateways that exchange them.

mod gateway_support;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{
    EmptyDecoder, HOST_SIZE, RESPONSE_LIMITS, TestDialect, loopback_addresses, relay::read_message,
    run_local,
};
use serde::{Deserialize, Serialize};
use snipepond::{
    clock::SystemClock,
    gateway::{
        DemandPart, Gateway, GatewayServer, GatewaySettings, HostReport, InFlightPart,
        InFlightReport, InFlightScope, MemberDigest, MemberRecord, PeerDigest, REPORT_VERSION,
        RetryAllowance, StorePosition,
    },
    names::{CentreName, HostName, ServiceName, TeamName, UpstreamName},
    peer::{decode_message, encode_message, encode_named_message},
    schedule::{
        DemandCell, DemandSource, HostShare, ReportScope, ScarceService, ServiceDemand,
        StartSettings,
    },
    telemetry::RouterMetrics,
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Time limit of a test; far above the expected time, since the tests assert no duration.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const ROOM: f64 = 18.0;

/// Bytes of an HTTP head of a report or a reply, about.
const HEAD_BYTES: usize = 120;

fn service() -> ServiceName {
    ServiceName::new("orders")
}

/// Host with a constant demand of one team.
#[derive(Debug)]
struct FakeDemand {
    places: f32,
    is_scarce: Cell<bool>,
}

impl DemandSource for FakeDemand {
    fn scarce_services(&self, _: Instant) -> Vec<ScarceService> {
        let scarce = ScarceService { service: service(), room: ROOM };
        if self.is_scarce.get() { vec![scarce] } else { Vec::new() }
    }

    fn demand(&self, _: Instant, _: &ServiceName) -> Vec<DemandCell> {
        let team = Some(TeamName::new("a"));
        vec![DemandCell { priority: 1, team, places: self.places }]
    }
}

struct ReportingHost {
    gateway: Rc<Gateway>,
    demand: Rc<FakeDemand>,
    _server: GatewayServer,
}

impl ReportingHost {
    /// Starts a gateway whose seed is the host `1` of the test.
    fn start(test: u16, number: u16, seeds: Vec<SocketAddr>, places: f32) -> Self {
        let addresses = loopback_addresses(100 * test + number);
        let identity = MemberRecord {
            host: HostName::new(&format!("h{number}")),
            centre: CentreName::new("a"),
            address: addresses.peers,
            incarnation: 1,
            heartbeat: 0,
            bandwidth: 1,
        };
        let retries = RetryAllowance { ratio: 0.2, window: Duration::from_secs(10), slack: 1e3 };
        let gateway = Gateway::new(
            GatewaySettings {
                identity,
                retries,
                responses: RESPONSE_LIMITS,
                waiting: StartSettings::default(),
                host_size: HOST_SIZE,
            },
            Rc::new(SystemClock),
            Rc::new(TestDialect),
            Rc::new(EmptyDecoder),
            Rc::new(RouterMetrics::new()),
        );
        let demand = Rc::new(FakeDemand { places, is_scarce: Cell::new(false) });
        gateway.set_demand_source(demand.clone());
        let server = GatewayServer::start(&gateway, &addresses, seeds).unwrap();
        Self { gateway, demand, _server: server }
    }

    fn share(&self) -> HostShare {
        self.gateway.room_share(&service(), ROOM)
    }
}

async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn start_fleet(test: u16, hosts: u16) -> Vec<ReportingHost> {
    let seed = loopback_addresses(100 * test + 1).peers;
    let places = |number: u16| if number == 1 { 31.0 } else { 1.0 };
    (1..=hosts).map(|it| ReportingHost::start(test, it, vec![seed], places(it))).collect()
}

/// Waits until the shares of all hosts follow from reports and add up to the room.
async fn wait_for_shares(hosts: &[ReportingHost], expected_first: f64) {
    wait_until("the shares do not add up to the room", || {
        let shares: Vec<HostShare> = hosts.iter().map(ReportingHost::share).collect();
        let sum: f64 = shares.iter().map(|it| it.places).sum();
        shares.iter().all(|it| it.is_reported)
            && (sum - ROOM).abs() < 0.1
            && (shares[0].places - expected_first).abs() < 0.1
    })
    .await;
}

/// Guards against hosts that keep the even part of the room because only one of them sees that the
/// service is scarce.
#[test]
fn a_scarce_host_of_a_small_fleet_makes_the_others_report() {
    run_local(async {
        let hosts = start_fleet(1, 3);
        hosts[2].demand.is_scarce.set(true);
        wait_for_shares(&hosts, ROOM * 31.0 / 33.0).await;
    });
}

/// Guards against the same in a fleet with relays, which have to notify their hosts.
#[test]
fn relays_of_a_large_fleet_notify_hosts_that_see_no_scarcity() {
    run_local(async {
        let hosts = start_fleet(2, 12);
        hosts[11].demand.is_scarce.set(true);
        wait_for_shares(&hosts, ROOM * 31.0 / 42.0).await;
    });
}

/// Guards against room that a host takes from one of an older release, which sends requests but no
/// reports, and against reports that are sent to it all the time.
#[test]
fn a_host_of_an_older_release_keeps_its_even_part() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let reports = Rc::new(Cell::new(0));
        let counter = reports.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(serve_older_release(stream, address, counter.clone()));
            }
        });
        let host = ReportingHost::start(3, 1, vec![address], 30.0);
        host.demand.is_scarce.set(true);
        wait_until("the host sent no report", || reports.get() > 0).await;
        wait_until("the host knows of no other one", || host.share().places == ROOM / 2.0).await;
        assert!(!host.share().is_reported);
        let at_first = reports.get();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(reports.get(), at_first);
    });
}

/// Answers digests, and everything else with status 400.
async fn serve_older_release(stream: TcpStream, address: SocketAddr, reports: Rc<Cell<u32>>) {
    let mut stream = BufReader::new(stream);
    while let Some((path, _)) = read_message(&mut stream).await {
        let sender = MemberRecord {
            host: HostName::new("older"),
            centre: CentreName::new("a"),
            address,
            incarnation: 1,
            heartbeat: 1,
            bandwidth: 100,
        };
        let digest = PeerDigest {
            sender,
            members: MemberDigest { known: 1, ..MemberDigest::default() },
            position: StorePosition::default(),
            strikes: vec![],
            clearances: vec![],
            proofs: vec![],
            leaving: vec![],
            outcomes: vec![],
            loads: vec![],
        };
        let (status, body) = match path.as_str() {
            "/v1/digest" => (200, encode_message(&digest)),
            _ => (400, Vec::new()),
        };
        reports.set(reports.get() + u32::from(path == "/v1/report"));
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
    }
}

/// Guards against reports of requests in flight that a host of the release before this one cannot
/// read, and the other way round.
#[test]
fn reports_of_requests_in_flight_keep_their_bytes() {
    let report = InFlightReport {
        sender: HostName::new("h1"),
        scope: InFlightScope::Host,
        wanted: InFlightScope::Others,
        lag_ms: 75,
        counts: vec![(UpstreamName::new("e1"), 3)],
    };
    let bytes = b"\x95\xa2h1\xa4Host\xa6Others\x4b\x91\x92\xa2e1\x03";
    assert_eq!(encode_message(&report), bytes);
    assert_eq!(decode_message(&mut &bytes[..]), Ok(report));
}

fn report(in_flight: usize, teams: usize, hosts: usize) -> HostReport {
    let cells = (0..teams).flat_map(|team| {
        let team = Some(TeamName::new(&format!("team-{team:04}")));
        (0..3).map(move |priority| DemandCell { priority, team: team.clone(), places: 3.3 })
    });
    let scarce_for = Duration::from_secs(3);
    let demand = ServiceDemand { service: service(), hosts, scarce_for, cells: cells.collect() };
    HostReport {
        version: REPORT_VERSION,
        sender: HostName::new("host-123"),
        scope: ReportScope::Host,
        wanted: ReportScope::Others,
        lag_ms: 150,
        in_flight: Some(InFlightPart {
            hosts: hosts as u32,
            wanted_ms: 5_000,
            counts: (0..in_flight).map(|it| (u32::MAX - it as u32, 20)).collect(),
        }),
        demand: DemandPart::from_demands(&[demand]),
    }
}

/// Guards against a later release whose reports this one cannot read, because they have more fields
/// or lack some.
#[test]
fn reports_of_a_later_release_are_read() {
    #[derive(Serialize)]
    struct LaterReport {
        forecast: [u8; 4],
        version: u32,
        sender: HostName,
        scope: ReportScope,
        wanted: ReportScope,
        lag_ms: u64,
    }
    let later = LaterReport {
        forecast: [1, 2, 3, 4],
        version: REPORT_VERSION + 1,
        sender: HostName::new("h2"),
        scope: ReportScope::Group,
        wanted: ReportScope::Group,
        lag_ms: 10,
    };
    let read: HostReport = decode_message(&mut &encode_named_message(&later)[..]).unwrap();
    assert_eq!((read.sender.as_str(), read.in_flight, read.demand), ("h2", None, None));

    #[derive(Deserialize)]
    struct EarlierReport {
        sender: HostName,
    }
    let bytes = encode_named_message(&report(3, 2, 1));
    let earlier: EarlierReport = decode_message(&mut &bytes[..]).unwrap();
    assert_eq!(earlier.sender.as_str(), "host-123");
}

/// Guards against demand that changes on its way, or teams that are mixed up.
#[test]
fn demand_arrives_as_it_was_sent() {
    let team = |name: &str| Some(TeamName::new(name));
    let cells = vec![
        DemandCell { priority: 0, team: None, places: 0.01 },
        DemandCell { priority: 1, team: team("b"), places: 2.5 },
        DemandCell { priority: 2, team: team("a"), places: 100.0 },
        DemandCell { priority: 3, team: team("b"), places: f32::NAN },
    ];
    let scarce_for = Duration::from_millis(2_500);
    let demand = ServiceDemand { service: service(), hosts: 7, scarce_for, cells };
    let part = DemandPart::from_demands(std::slice::from_ref(&demand)).unwrap();
    let read = part.into_demands();
    let places: Vec<f32> = read[0].cells.iter().map(|it| it.places).collect();
    assert_eq!(places, [0.0625, 2.5, 100.0, 0.0]);
    let teams =
        |it: &ServiceDemand| -> Vec<_> { it.cells.iter().map(|it| it.team.clone()).collect() };
    assert_eq!(teams(&read[0]), teams(&demand));
    assert_eq!((read[0].hosts, read[0].scarce_for), (7, scarce_for));
}

/// Guards against traffic that grows with the fleet: what a host and a relay send and receive while
/// a service is scarce, of 24 teams in three classes, with 63 to 160 upstreams.
#[test]
fn reports_take_a_bounded_part_of_the_bandwidth() {
    // Hosts, upstreams, data centres, milliseconds between two reports.
    for (hosts, upstreams, centres, interval_ms) in
        [(34, 63, 3, 50), (88, 63, 4, 50), (295, 160, 6, 98)]
    {
        let own = encode_named_message(&report(upstreams.min(20), 6, 1)).len() + HEAD_BYTES;
        let others = encode_named_message(&report(upstreams, 24, hosts)).len() + HEAD_BYTES;
        let followers = hosts / centres / 2;
        let peers = 2 * centres - 1;
        let per_s = |bytes: usize| bytes * 1_000 / interval_ms;
        let host_rate = per_s(own + others);
        // A relay sends to the others and to its hosts, and receives from them.
        let relay_rate = followers * host_rate + peers * 2 * per_s(others) / 2;
        println!(
            "{hosts} hosts: own {own}, others {others}, host {host_rate} B/s, relay {relay_rate} B/s"
        );
        assert!(host_rate < 64 << 10, "{hosts} hosts: {host_rate} B/s at a host");
        // A tenth of the 200 Mbit/s that the hosts with the highest bandwidth have.
        assert!(relay_rate < 2_500_000, "{hosts} hosts: {relay_rate} B/s at a relay");
    }
}
