//! Measures how memory and processor time of the state machines grow with their inputs, and the
//! sizes of messages between hosts.
//!
//! Run with `cargo run --release -p snipepond --example state_measure`. This takes about 20 s in
//! one thread; only the loopback interface is used. docs/measurements.md explains the output.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use snipepond::{
    catalogue::Catalogue,
    config::{ChangeOutcome, ConfigChange, ConfigTracker, EntryChange},
    control::{HostDigest, LoadBatch, PeerReply, PeerRequest},
    limits::{
        BucketTable, CentreShare, GrantAccount, GrantReply, GrantRequest, LimitSplit, TokenCache,
    },
    membership::{
        Heartbeat, HeartbeatReply, HostList, HostRecord, HostState, ViewTiming, ViewTracker,
    },
    names::{CentreName, HostName, ModelName, TeamName, UpstreamName},
    operation::{
        DispatchId, KeyDigest, OperationId, OperationLedger, OperationRecord, RecordState,
        RequestDigest,
    },
    peer::{HttpPeer, PeerTransport, encode_message},
    routing::{LoadReport, PickRequest, PickTarget, RoutingSettings, UpstreamPicker},
    telemetry::{RequestLabels, RouterMetrics},
};

/// Number of measurements of each processor time; the lowest, median and highest are printed.
const REPETITIONS: usize = 7;

/// Number of data centres of the fleet that the measurements assume.
const CENTRE_COUNT: usize = 6;

/// Number of models of that fleet.
const MODEL_COUNT: usize = 12;

/// Allocator that counts the bytes of live allocations, without its own overhead.
struct CountingAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

#[allow(unsafe_code, reason = "GlobalAlloc has unsafe methods; every call is forwarded unchanged")]
// SAFETY: all calls go to the system allocator with the same arguments.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn live_bytes() -> usize {
    LIVE_BYTES.load(Ordering::Relaxed)
}

/// Numbers of entries in the configuration of a fleet.
#[derive(Clone, Copy)]
struct FleetSizes {
    teams: usize,
    keys: usize,
    engines: usize,
}

/// Sizes of the fleet that the measurements assume.
const TARGET_SIZES: FleetSizes = FleetSizes { teams: 440, keys: 1_800, engines: 600 };

fn main() {
    measure_memory();
    measure_processor_time();
    measure_configuration();
    print_message_sizes();
}

fn team_name(index: usize) -> TeamName {
    TeamName::new(&format!("team-{index:03}"))
}

fn host_name(index: usize) -> HostName {
    HostName::new(&format!("host-{index:03}"))
}

fn engine_name(index: usize) -> UpstreamName {
    UpstreamName::new(&format!("engine-{index:03}"))
}

fn centre_name(index: usize) -> CentreName {
    CentreName::new(&format!("dc{}", index % CENTRE_COUNT))
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    (Ipv4Addr::new(192, 0, high, low), 8_081).into()
}

fn entries(sizes: FleetSizes) -> Vec<(String, String)> {
    let mut entries = vec![
        (
            "class/interactive".to_owned(),
            r#"{"priority":0,"deadline_ms":410,"queue_ms":5000}"#.to_owned(),
        ),
        (
            "fleet/settings".to_owned(),
            r#"{"skew_multiple":1.5}"#.to_owned(),
        ),
        (
            "route/chat".to_owned(),
            r#"{"owner":"platform","path":"/v1/chat/completions","methods":["POST"],"kind":"chat"}"#
                .to_owned(),
        ),
    ];
    for index in 0..CENTRE_COUNT {
        let region = index / 3;
        entries.push((
            format!("data_centre/dc{index}"),
            format!(r#"{{"region":"r{region}","state":"in_service"}}"#),
        ));
    }
    for index in 0..sizes.teams {
        let text =
            r#"{"owner":"platform","class":"interactive","rate":20.0,"burst":40,"weight":1.0}"#;
        entries.push((format!("team/{}", team_name(index)), text.to_owned()));
    }
    for index in 0..sizes.keys {
        entries.push((format!("key/k{index:04}"), key_entry(index, sizes, "active")));
    }
    for index in 0..sizes.engines {
        entries
            .push((format!("upstream/{}", engine_name(index)), engine_entry(index, "in_service")));
    }
    entries
}

fn key_entry(index: usize, sizes: FleetSizes, state: &str) -> String {
    let team = team_name(index % sizes.teams);
    format!(r#"{{"team":"{team}","sha256":"{index:064x}","state":"{state}"}}"#)
}

fn engine_entry(index: usize, state: &str) -> String {
    format!(
        r#"{{"owner":"platform","kind":"engine","address":"{}","data_centre":"{}","models":["model-{}"],"capacity":64,"cold_allowance":16,"warmup_ms":60000,"state":"{state}"}}"#,
        address(index),
        centre_name(index),
        index % MODEL_COUNT
    )
}

fn full_config(sizes: FleetSizes) -> ConfigChange {
    let entries = entries(sizes)
        .into_iter()
        .map(|(key, value)| EntryChange { key: key.into(), revision: 1, value: Some(value.into()) })
        .collect();
    ConfigChange { base: 0, revision: 1, entries }
}

fn tracker(sizes: FleetSizes) -> ConfigTracker {
    let mut tracker = ConfigTracker::new();
    match tracker.apply(&full_config(sizes)) {
        ChangeOutcome::Accepted(_) => tracker,
        other => panic!("the configuration is not accepted: {other:?}"),
    }
}

fn catalogue(sizes: FleetSizes) -> Arc<Catalogue> {
    tracker(sizes).catalogue().clone()
}

fn host_list(hosts: usize) -> HostList {
    let hosts = (0..hosts)
        .map(|index| HostRecord {
            name: host_name(index),
            address: address(index),
            data_centre: centre_name(index),
            state: HostState::Live,
        })
        .collect();
    HostList { version: 1, hosts }
}

/// Creates a tracker with a host list and a heartbeat from every host of its data centre.
fn view_tracker(hosts: usize, now: Instant) -> ViewTracker {
    let list = host_list(hosts);
    let mut views = ViewTracker::new(list.hosts[0].clone(), 1, ViewTiming::default(), now);
    views.apply_list(now, now, &list);
    receive_heartbeats(&mut views, &list, now);
    views
}

fn receive_heartbeats(views: &mut ViewTracker, list: &HostList, now: Instant) {
    for host in list.live_in(&centre_name(0)).skip(1) {
        views.receive_heartbeat(now, &heartbeat(host));
    }
}

fn heartbeat(host: &HostRecord) -> Heartbeat {
    Heartbeat { host: host.clone(), incarnation: 0x1234_5678_9abc_def0, list_version: 1 }
}

fn load_report(work: u64) -> LoadReport {
    LoadReport {
        incarnation: 0x1234_5678_9abc_def0,
        running: 20,
        waiting: 0,
        capacity: 64,
        work_tokens: work,
        cold: false,
    }
}

fn picker(catalogue: &Catalogue, now: Instant) -> UpstreamPicker {
    let settings = RoutingSettings::default();
    let mut picker = UpstreamPicker::new(settings, host_name(0), centre_name(0));
    picker.adopt_catalogue(now, catalogue);
    for name in catalogue.upstreams().keys() {
        picker.apply_report(now, name, &load_report(20_000));
    }
    picker
}

fn pick(picker: &mut UpstreamPicker, now: Instant, catalogue: &Catalogue, number: usize) {
    let model = ModelName::new(&format!("model-{}", number % MODEL_COUNT));
    let chat = format!("chat-{number}");
    let request = PickRequest {
        target: PickTarget::Model(&model),
        chat: Some(&chat),
        request_id: &chat,
        work: 400,
        tried: &[],
    };
    black_box(picker.pick(now, &request, catalogue, &[]));
}

/// Prints by how many bytes of memory a value grows per item, as the slope between two item counts.
fn print_slope<T>(label: &str, counts: [usize; 2], mut create: impl FnMut(usize) -> T) {
    let bytes: Vec<usize> = counts
        .iter()
        .map(|count| {
            let before = live_bytes();
            let value = create(*count);
            let held = live_bytes().saturating_sub(before);
            drop(value);
            held
        })
        .collect();
    let slope = (bytes[1] as f64 - bytes[0] as f64) / (counts[1] - counts[0]) as f64;
    println!(
        "  {label}: {slope:.0} bytes each ({} at {}, {} at {})",
        bytes[0], counts[0], bytes[1], counts[1]
    );
}

fn measure_memory() {
    println!("memory, live bytes without allocator overhead");
    let now = Instant::now();
    let base_sizes = FleetSizes { teams: 10, keys: 10, engines: 10 };
    print_slope("team in the configuration", [10, 440], |teams| {
        tracker(FleetSizes { teams, ..base_sizes })
    });
    print_slope("key in the configuration", [10, 1_800], |keys| {
        tracker(FleetSizes { keys, ..base_sizes })
    });
    print_slope("engine in the configuration", [10, 600], |engines| {
        tracker(FleetSizes { engines, ..base_sizes })
    });
    let catalogues =
        [10, 600].map(|engines| (engines, catalogue(FleetSizes { engines, ..base_sizes })));
    print_slope("engine in routing (cold limiter, load, candidates)", [10, 600], |engines| {
        let (_, catalogue) = catalogues.iter().find(|it| it.0 == engines).expect("built above");
        picker(catalogue, now)
    });
    print_slope("host in the list (data centre of a sixth of them)", [6, 402], |hosts| {
        let list = host_list(hosts);
        let mut views = ViewTracker::new(list.hosts[0].clone(), 1, ViewTiming::default(), now);
        views.apply_list(now, now, &list);
        views
    });
    print_slope("peer that sent a heartbeat", [0, 66], |peers| {
        let list = host_list(402);
        let mut views = ViewTracker::new(list.hosts[0].clone(), 1, ViewTiming::default(), now);
        views.apply_list(now, now, &list);
        for host in list.live_in(&centre_name(0)).skip(1).take(peers) {
            views.receive_heartbeat(now, &heartbeat(host));
        }
        views
    });
    print_slope("team with cached tokens", [10, 440], |teams| token_cache(teams, now));
    print_slope("bucket of an owner, 8 requesting hosts", [1, 74], |teams| {
        bucket_table(teams, 8, now)
    });
    print_slope("requesting host of a bucket", [1, 67], |requesters| {
        bucket_table(1, requesters, now)
    });
    let target = catalogue(TARGET_SIZES);
    print_slope("chat that was routed", [1_000, 100_000], |chats| {
        let mut picker = picker(&target, now);
        for number in 0..chats {
            pick(&mut picker, now, &target, number);
        }
        picker
    });
    print_slope("operation record without a response", [100, 10_000], |count| ledger(count, now));
    print_slope("open connection to a peer", [5, 45], peer_connections);
    print_slope("team in the metrics, 4 outcomes on one route", [10, 440], |teams| {
        let metrics = RouterMetrics::new();
        metrics.set_catalogue(&catalogue(FleetSizes { teams, ..base_sizes }));
        count_requests(&metrics, teams);
        metrics
    });
    println!();
}

/// Sends one request to each of `count` hosts; the returned client keeps the connections.
fn peer_connections(count: usize) -> HttpPeer {
    let body = encode_message(&PeerReply::Done);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let response = [head.into_bytes(), body].concat();
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port")).collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|it| it.local_addr().expect("an address")).collect();
    let server_thread = thread::spawn(move || {
        let mut connections = Vec::new();
        for listener in listeners {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buffer = [0; 4_096];
            let received = stream.read(&mut buffer).expect("a request");
            assert!(received > 0, "the client closed the connection");
            stream.write_all(&response).expect("sent");
            connections.push(stream);
        }
        connections
    });
    let peer = HttpPeer::new();
    for address in addresses {
        let request = PeerRequest::ConfigSince(7);
        let _: PeerReply = peer.call(address, &request, Duration::from_secs(10)).expect("a reply");
    }
    drop(server_thread.join().expect("the server ends"));
    peer
}

fn token_cache(teams: usize, now: Instant) -> TokenCache {
    let split = LimitSplit::of(&catalogue(TARGET_SIZES), &team_name(0)).unwrap_or_default();
    let mut cache = TokenCache::new(host_name(0), 1, centre_name(0));
    for index in 0..teams {
        let team = team_name(index);
        cache.acquire(now, now, &team, &split);
        if let Some(request) = cache.token_request(now, &team, &centre_name(0), 1) {
            cache.on_reply(now, &centre_name(0), &grant_reply(&request));
            cache.acquire(now, now, &team, &split);
        }
    }
    cache
}

fn grant_reply(request: &GrantRequest) -> GrantReply {
    GrantReply {
        level: 0,
        team: request.team.clone(),
        sequence: request.sequence,
        is_owner: true,
        granted: request.wanted + request.spare,
        lifetime_ms: 1_000,
        retry_ms: 0,
        is_tight: false,
    }
}

fn grant_request(team: usize, requester: usize, sequence: u64) -> GrantRequest {
    GrantRequest {
        is_partial: false,
        team: team_name(team),
        borrower: host_name(requester),
        incarnation: 0x1234_5678_9abc_def0,
        sequence,
        wanted: 1_000,
        spare: 0,
        accounts: vec![GrantAccount {
            sequence: sequence - 1,
            spent: 1_000,
            returned: 0,
            age_ms: 30,
        }],
    }
}

fn centre_share() -> CentreShare {
    let catalogue = catalogue(FleetSizes { teams: 1, keys: 1, engines: 1 });
    let split = LimitSplit::of(&catalogue, &team_name(0)).unwrap_or_default();
    let centre = split.centres().next().expect("a share").clone();
    split.in_centre(&centre)
}

fn bucket_table(teams: usize, requesters: usize, now: Instant) -> BucketTable {
    let share = centre_share();
    let names: Vec<TeamName> = (0..teams).map(team_name).collect();
    let mut buckets = BucketTable::new();
    let mut at = now;
    for _ in 0..8 {
        buckets.tick(at, names.iter().map(|it| (it, share)), |_| true);
        at += Duration::from_millis(500);
    }
    for team in 0..teams {
        for requester in 0..requesters {
            let request = grant_request(team, requester, 2);
            black_box(buckets.grant(at, true, share, &request));
        }
    }
    buckets
}

fn operation_record(number: usize) -> OperationRecord {
    OperationRecord {
        id: OperationId {
            team: team_name(number % 440),
            key: KeyDigest::of(&format!("key-{number}")),
        },
        dispatch: DispatchId { incarnation: 0x1234_5678_9abc_def0, number: number as u64 },
        digest: RequestDigest::of("POST", "/orders/7", b"two cups"),
        state: RecordState::Intent,
        age_ms: 0,
    }
}

fn ledger(count: usize, now: Instant) -> OperationLedger {
    let mut ledger = OperationLedger::new(now, &host_name(0), &CentreName::new("c0"), 1, [7; 32]);
    for number in 0..count {
        ledger.store_intent(now, &operation_record(number), &host_name(1));
    }
    ledger
}

fn count_requests(metrics: &RouterMetrics, teams: usize) {
    for index in 0..teams {
        let team = team_name(index);
        let labels = RequestLabels { team: Some(&team), ..RequestLabels::default() };
        for outcome in ["ran", "not_run", "unknown", "cut"] {
            metrics.count_request(labels, outcome);
        }
    }
}

/// Prints the time of one `step` in microseconds, averaged over `steps` of them.
fn print_time(label: &str, steps: usize, mut step: impl FnMut(usize)) {
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let started = Instant::now();
            for index in 0..steps {
                step(index);
            }
            started.elapsed().as_secs_f64() * 1e6 / steps as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!(
        "  {label}: {:.2} us [{:.2}, {:.2}]",
        times[REPETITIONS / 2],
        times[0],
        times[REPETITIONS - 1]
    );
}

fn measure_processor_time() {
    println!("processor time of single steps, median [lowest, highest] of {REPETITIONS}");
    let now = Instant::now();
    for hosts in [7, 67, 400] {
        let list = host_list(hosts);
        let mut views = view_tracker(hosts, now);
        let peers = views.heartbeat_targets(now).len();
        let mut at = now;
        print_time(&format!("view tick, {hosts} hosts, {peers} peers"), 400, |_| {
            at += Duration::from_micros(10);
            views.tick(at);
        });
        print_time(&format!("heartbeat targets, {hosts} hosts"), 200, |_| {
            black_box(views.heartbeat_targets(now));
        });
        if let Some(peer) = list.live_in(&centre_name(0)).nth(1) {
            let heartbeat = heartbeat(peer);
            print_time(&format!("heartbeat received, {hosts} hosts"), 400, |_| {
                black_box(views.receive_heartbeat(at, &heartbeat));
            });
        }
        print_time(&format!("owner of a key, {hosts} hosts"), 400, |index| {
            black_box(views.owner(&format!("team/{index}")));
        });
    }
    for teams in [10, 100, 440] {
        let mut cache = token_cache(teams, now);
        print_time(&format!("due token requests, {teams} teams"), 200, |_| {
            black_box(cache.due_requests(now));
        });
        let share = centre_share();
        let names: Vec<TeamName> = (0..teams).map(team_name).collect();
        let views = view_tracker(402, now);
        let mut table = bucket_table(1, 1, now);
        print_time(&format!("bucket tick, {teams} teams, 402 hosts"), 20, |_| {
            table.tick(now, names.iter().map(|it| (it, share)), |it| {
                views.owner(&format!("team/{it}")).is_some_and(|it| it.name == host_name(0))
            });
        });
    }
    let share = centre_share();
    let mut table = bucket_table(74, 8, now);
    let mut sequence = 2;
    let later = now + Duration::from_secs(4);
    print_time("grant at the owner", 2_000, |index| {
        sequence += 1;
        let request = grant_request(index % 74, index % 8, sequence);
        black_box(table.grant(later, true, share, &request));
    });
    for engines in [10, 100, 600] {
        let catalogue = catalogue(FleetSizes { engines, ..TARGET_SIZES });
        let mut picker = picker(&catalogue, now);
        print_time(&format!("pick, {engines} engines, {MODEL_COUNT} models"), 2_000, |index| {
            pick(&mut picker, now, &catalogue, index)
        });
        print_time(&format!("load report, {engines} engines"), 2_000, |index| {
            let name = engine_name(index % engines);
            black_box(picker.apply_report(now, &name, &load_report(index as u64)));
        });
        print_time(&format!("adopt a catalogue, {engines} engines"), 20, |_| {
            let mut fresh = picker.clone();
            fresh.adopt_catalogue(now, &catalogue);
        });
    }
    for records in [1_000, 10_000, 60_000] {
        let ledger = ledger(records, now);
        let names: Vec<HostName> = (0..67).map(host_name).collect();
        print_time(&format!("placement scan, {records} records, owner among 67 hosts"), 1, |_| {
            let records = ledger.under_replicated_records(now, 0, |id| {
                black_box(snipepond::rendezvous::first(&id.placement_key(), &names));
                Some(host_name(1))
            });
            black_box(records);
        });
    }
    let metrics = RouterMetrics::new();
    metrics.set_catalogue(&catalogue(TARGET_SIZES));
    count_requests(&metrics, 440);
    print_time("metrics page, 440 teams", 3, |_| {
        black_box(metrics.render().expect("metrics"));
    });
    println!(
        "  metrics page, 440 teams, 4 outcomes on one route: {} bytes",
        metrics.render().expect("metrics").len()
    );
    println!();
}

fn measure_configuration() {
    println!("configuration at 440 teams, 1,800 keys, 600 engines");
    let config = full_config(TARGET_SIZES);
    let text = serde_json::to_vec(&config).expect("JSON");
    println!(
        "  full configuration: {} entries, {} bytes as JSON, {} bytes as MessagePack",
        config.entries.len(),
        text.len(),
        encode_message(&PeerReply::Config(config.clone())).len()
    );
    print_time("parse the full configuration", 3, |_| {
        black_box(serde_json::from_slice::<ConfigChange>(&text).expect("a change"));
    });
    print_time("apply the full configuration", 3, |_| {
        black_box(tracker(TARGET_SIZES));
    });
    let change = |revision: u64| {
        let state = if revision.is_multiple_of(2) { "withdrawn" } else { "active" };
        ConfigChange {
            base: revision - 1,
            revision,
            entries: vec![EntryChange {
                key: "key/k0007".into(),
                revision,
                value: Some(key_entry(7, TARGET_SIZES, state).into()),
            }],
        }
    };
    let small = serde_json::to_vec(&change(2)).expect("JSON");
    println!(
        "  change of one key: {} bytes as JSON, {} bytes as MessagePack",
        small.len(),
        encode_message(&PeerReply::Config(change(2))).len()
    );
    print_time("parse the change of one key", 1_000, |_| {
        black_box(serde_json::from_slice::<ConfigChange>(&small).expect("a change"));
    });
    let now = Instant::now();
    let mut tracker = tracker(TARGET_SIZES);
    let mut picker = picker(tracker.catalogue(), now);
    let mut revision = 1;
    print_time("apply the change of one key", 10, |_| {
        revision += 1;
        let outcome = tracker.apply(&change(revision));
        assert!(matches!(outcome, ChangeOutcome::Accepted(_)));
    });
    print_time("apply the change of one key, with routing", 10, |_| {
        revision += 1;
        let outcome = tracker.apply(&change(revision));
        assert!(matches!(outcome, ChangeOutcome::Accepted(_)));
        picker.adopt_catalogue(now, tracker.catalogue());
    });
    let hosts = serde_json::to_vec(&host_list(400)).expect("JSON");
    println!("  host list of 400 hosts: {} bytes as JSON", hosts.len());
    println!();
}

/// Exchanges a message with a server whose response head is that of a router.
///
/// Returns the sizes of the request and of the response without their bodies, in bytes.
fn http_head_bytes() -> (usize, usize) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let message = PeerRequest::ConfigSince(7);
    let reply = encode_message(&PeerReply::Done);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/vnd.msgpack\r\ncontent-length: {}\r\n\r\n",
        reply.len()
    );
    let head_length = head.len();
    let server_thread = thread::spawn(move || {
        let (mut client, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4_096];
        // One read receives a whole message, which is smaller than a loopback segment.
        let received = client.read(&mut buffer).expect("a request");
        client.write_all(&[head.as_bytes(), &reply[..]].concat()).expect("sent");
        received
    });
    let peer = HttpPeer::new();
    let timeout = Duration::from_secs(10);
    let _: PeerReply = peer.call(address, &message, timeout).expect("a reply");
    let received = server_thread.join().expect("the server ends");
    (received - encode_message(&message).len(), head_length)
}

fn print_message_sizes() {
    println!("messages between hosts, bytes of the body; HTTP heads come in addition");
    let (request_head, reply_head) = http_head_bytes();
    println!("  HTTP heads: request {request_head}, reply {reply_head}");
    let heads = request_head + reply_head;
    let print = |label: &str, request: &PeerRequest, reply: &PeerReply| {
        let (sent, received) = (encode_message(request).len(), encode_message(reply).len());
        println!(
            "  {label}: request {sent}, reply {received}, exchange with heads {}",
            heads + sent + received
        );
    };
    let host = host_list(7).hosts[6].clone();
    let reply = HeartbeatReply {
        host: host.clone(),
        incarnation: 0x1234_5678_9abc_def0,
        view_hash: 0x1234_5678_9abc_def0,
        heard: Vec::new(),
    };
    print("heartbeat", &PeerRequest::Heartbeat(heartbeat(&host)), &PeerReply::Heartbeat(reply));
    let digest = HostDigest {
        host: host.name.clone(),
        incarnation: 0x1234_5678_9abc_def0,
        accepted: 123_456,
        seen: 123_456,
    };
    print("digest", &PeerRequest::Digest(digest.clone()), &PeerReply::Digest(digest));
    let grant = grant_request(7, 6, 123_456);
    let reply = PeerReply::Grant(grant_reply(&grant));
    print("grant", &PeerRequest::Grant(grant), &reply);
    for count in [1, 9] {
        let reports = (0..count).map(|it| (engine_name(it), load_report(20_000))).collect();
        print(
            &format!("load batch of {count}"),
            &PeerRequest::Loads(LoadBatch { reports }),
            &PeerReply::Done,
        );
    }
    let record = Box::new(operation_record(7));
    print(
        "intent for a backup",
        &PeerRequest::StoreIntent { sender: host.name, record },
        &PeerReply::Stored(snipepond::operation::StoreReply::Stored),
    );
}
