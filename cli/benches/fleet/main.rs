//! Measures latency, processor time, memory and control traffic of router processes in front of
//! stand-ins, on loopback.
//!
//! Run it with `cargo bench -p snipepond-cli --bench fleet`; a run takes less than two minutes. The
//! arguments `single`, `many`, `services`, `peers` and `seven` select parts of it. Without the
//! argument `--bench`, which only `cargo bench` passes, nothing is measured, so that
//! `cargo test --all-targets` does not run the measurements. docs/measurements.md explains the
//! output.

mod measure;
mod process;
mod setup;

use std::{
    collections::BTreeMap,
    io::{Error, Result},
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use snipepond::{
    control::{HostDigest, PeerReply, PeerRequest},
    names::HostName,
    peer::{HttpPeer, PeerTransport},
};
use snipepond_standin::{CallerConnection, CallerRequest, ResponseReader};

use self::{
    measure::{LatencyComparison, ValueSample},
    process::{DEFAULT_TIMING, SHORT_TIMING, UsageSnapshot},
    setup::{Fleet, FleetPlan, chat, look_up, order},
};

/// Repetitions of each comparison.
const REPETITIONS: usize = 5;

/// Concurrent streams: the share of one host at the target size of the fleet.
const CONCURRENT_STREAMS: usize = 400;

/// Time between tokens of a stream; 400 streams make 5,500 tokens/s, the share of one host at the
/// target size of the fleet.
const STREAM_TOKEN_INTERVAL: Duration = Duration::from_millis(72);

/// Rate of requests to the fleet of seven hosts, all hosts together.
const FLEET_REQUESTS_PER_SECOND: u64 = 200;

/// Threads that send the requests to the fleet of seven hosts.
const FLEET_CALLER_THREADS: u64 = 40;

/// Duration of each measurement of the fleet of seven hosts.
const FLEET_WINDOW: Duration = Duration::from_secs(10);

/// Makes the idempotency keys of orders unique.
static NEXT_ORDER_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A part of the benchmark, which prints its results.
type BenchPart = fn() -> Result<()>;

fn main() -> Result<()> {
    if !std::env::args().any(|it| it == "--bench") {
        println!("nothing is measured without --bench");
        return Ok(());
    }
    let started = Instant::now();
    println!("load averages: {}", load_averages());
    let parts: [(&str, BenchPart); 5] = [
        ("single", measure_single_stream),
        ("many", measure_many_streams),
        ("services", measure_services),
        ("peers", measure_peers),
        ("seven", measure_seven_hosts),
    ];
    let selected: Vec<String> = std::env::args().skip(1).filter(|it| it != "--bench").collect();
    for (name, run) in parts {
        if selected.is_empty() || selected.iter().any(|it| it == name) {
            run()?;
        }
    }
    println!("load averages: {}", load_averages());
    println!("total time {:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the load averages of the machine. A load above the number of cores means that other
/// processes disturbed the run.
fn load_averages() -> String {
    std::fs::read_to_string("/proc/loadavg").unwrap_or_default()
}

/// Time until the first chunk of a stream, and times between its chunks.
struct StreamTimes {
    first_chunk: Duration,
    chunk_gaps: Vec<Duration>,
}

/// Sends a streamed request and returns its times.
///
/// Returns `None` if the router refused the request because of the team's limit, although the team
/// is far below its rate.
fn time_stream(address: SocketAddr, request: &CallerRequest) -> Result<Option<StreamTimes>> {
    let started = Instant::now();
    let response = request.send(address)?;
    if matches!(response.status, 429 | 503) && response.header("x-outcome") == Some("not_run") {
        return Ok(None);
    }
    if response.status != 200 || !response.is_complete() {
        let text = response.text();
        return Err(Error::other(format!("status {}: {text}", response.status)));
    }
    let first = response.events.first().ok_or_else(|| Error::other("no event"))?;
    Ok(Some(StreamTimes {
        first_chunk: first.arrived - started,
        chunk_gaps: response.events.windows(2).map(|it| it[1].arrived - it[0].arrived).collect(),
    }))
}

/// Compares the times of single streams through a router with those of direct ones.
fn measure_single_stream() -> Result<()> {
    let fleet = Fleet::start(&FleetPlan {
        centres: 1,
        hosts: 1,
        engines: 1,
        services: 1,
        teams: 1,
        first_token_delay: Duration::from_millis(5),
        token_interval: Duration::from_millis(5),
        timing: SHORT_TIMING,
    })?;
    let (mut first, mut gaps) = (LatencyComparison::default(), LatencyComparison::default());
    let run = |address: SocketAddr, repetition: usize| -> Result<(Vec<_>, Vec<_>)> {
        let (mut first_chunks, mut gaps) = (Vec::new(), Vec::new());
        for index in 0..15 {
            let request = chat(0, &format!("single {repetition} {index}"), 16);
            let Some(times) = time_stream(address, &request)? else {
                return Err(Error::other("a single request was refused"));
            };
            first_chunks.push(times.first_chunk);
            gaps.extend(times.chunk_gaps);
        }
        Ok((first_chunks, gaps))
    };
    for repetition in 0..REPETITIONS {
        let direct = run(fleet.engines[0].address(), repetition)?;
        let routed = run(fleet.routers[0].address, repetition + REPETITIONS)?;
        first.push(&direct.0, &routed.0);
        gaps.push(&direct.1, &routed.1);
    }
    println!("\n1 stream at a time, 15 requests of 16 tokens, 5 ms between tokens");
    first.print("time to the first chunk");
    gaps.print("time between chunks");
    Ok(())
}

/// Starts all streams within half a second and returns their times to the first chunk and their
/// times between chunks.
fn run_streams(address: SocketAddr, repetition: usize) -> Result<(Vec<Duration>, Vec<Duration>)> {
    let workers: Vec<_> = (0..CONCURRENT_STREAMS)
        .map(|index| {
            thread::Builder::new().stack_size(256 << 10).spawn(move || {
                thread::sleep(Duration::from_micros(1_250) * index as u32);
                let request = chat(0, &format!("many {repetition} {index}"), 28);
                time_stream(address, &request)
            })
        })
        .collect::<Result<_>>()?;
    let (mut first_chunks, mut gaps) = (Vec::new(), Vec::new());
    for worker in workers {
        let result = worker.join().map_err(|_| Error::other("a caller panicked"))??;
        if let Some(times) = result {
            first_chunks.push(times.first_chunk);
            gaps.extend(times.chunk_gaps);
        }
    }
    Ok((first_chunks, gaps))
}

/// Measures times, processor time and memory with [`CONCURRENT_STREAMS`] streams through a router.
fn measure_many_streams() -> Result<()> {
    let fleet = Fleet::start(&FleetPlan {
        centres: 1,
        hosts: 1,
        engines: 1,
        services: 1,
        teams: 1,
        first_token_delay: Duration::from_millis(20),
        token_interval: STREAM_TOKEN_INTERVAL,
        timing: SHORT_TIMING,
    })?;
    let router = &fleet.routers[0];
    thread::sleep(Duration::from_secs(1));
    let (idle_cpu, idle_start) = (router.cpu_seconds()?, Instant::now());
    thread::sleep(Duration::from_secs(4));
    let idle_percent =
        (router.cpu_seconds()? - idle_cpu) / idle_start.elapsed().as_secs_f64() * 100.0;
    let idle_mb = router.resident_mb()?;
    let (mut first, mut gaps) = (LatencyComparison::default(), LatencyComparison::default());
    let (mut cpu, mut memory, mut refused) = (Vec::new(), Vec::new(), 0);
    for repetition in 0..REPETITIONS {
        let direct = run_streams(fleet.engines[0].address(), repetition)?;
        let address = router.address;
        let caller = thread::spawn(move || run_streams(address, repetition + REPETITIONS));
        // From 0.7 s to 1.9 s, all streams are open: they start within 0.5 s and last 2 s.
        thread::sleep(Duration::from_millis(700));
        let (before, start) = (router.cpu_seconds()?, Instant::now());
        thread::sleep(Duration::from_millis(1_200));
        cpu.push((router.cpu_seconds()? - before) / start.elapsed().as_secs_f64() * 100.0);
        memory.push(router.resident_mb()?);
        let routed = caller.join().map_err(|_| Error::other("the callers panicked"))??;
        refused += CONCURRENT_STREAMS - routed.0.len();
        first.push(&direct.0, &routed.0);
        gaps.push(&direct.1, &routed.1);
    }
    println!("\n400 streams at a time, 28 tokens each, 72 ms between tokens (5,500 tokens/s)");
    println!(
        "refused although within the team's rate: {refused} of {}",
        CONCURRENT_STREAMS * REPETITIONS
    );
    first.print("time to the first chunk");
    gaps.print("time between chunks");
    println!("router at 400 streams: {:.1} % of a core", ValueSample::new(cpu));
    println!("router at 400 streams: {:.1} MB resident", ValueSample::new(memory));
    println!("router idle before: {idle_percent:.2} % of a core, {idle_mb:.1} MB resident");
    thread::sleep(Duration::from_secs(1));
    println!("router 1 s after: {:.1} MB resident", router.resident_mb()?);
    Ok(())
}

/// Response times of a closed loop. Refusals because of the team's limit are counted, not timed.
#[derive(Default)]
struct LoopResult {
    times: Vec<Duration>,
    refused: usize,
}

/// Sends requests one after another on each of `connection_count` kept-alive connections until
/// `until`.
fn closed_loop(
    address: SocketAddr,
    connection_count: usize,
    until: Instant,
    next_request: fn() -> CallerRequest,
) -> Result<LoopResult> {
    let workers: Vec<_> = (0..connection_count)
        .map(|_| {
            thread::spawn(move || -> Result<LoopResult> {
                let mut result = LoopResult::default();
                let mut connection = CallerConnection::open(address)?;
                while Instant::now() < until {
                    let started = Instant::now();
                    let request = next_request();
                    let (response, reusable_connection) = connection
                        .send(&request)
                        .and_then(ResponseReader::finish_and_reuse)
                        .map_err(|error| {
                            let (method, target) = (&request.method, &request.target);
                            let (count, elapsed) = (result.times.len(), started.elapsed());
                            Error::other(format!(
                                "{method} {target}, request {count} of its connection, failed \
                                 after {elapsed:?}: {error}"
                            ))
                        })?;
                    match response.status {
                        200 => result.times.push(started.elapsed()),
                        429 | 503 => result.refused += 1,
                        status => {
                            let text = response.text();
                            return Err(Error::other(format!("status {status}: {text}")));
                        }
                    }
                    connection = reusable_connection;
                }
                Ok(result)
            })
        })
        .collect();
    let mut total = LoopResult::default();
    for worker in workers {
        let result = worker.join().map_err(|_| Error::other("a caller panicked"))??;
        total.times.extend(result.times);
        total.refused += result.refused;
    }
    Ok(total)
}

fn next_order() -> CallerRequest {
    let number = NEXT_ORDER_NUMBER.fetch_add(1, Ordering::Relaxed);
    order(0, &format!("bench-{number}"))
}

fn next_look_up() -> CallerRequest {
    look_up(0)
}

/// Measures throughput and cost of look-ups, and the cost of at-most-once operations against them.
fn measure_services() -> Result<()> {
    let fleet = Fleet::start(&FleetPlan {
        centres: 1,
        hosts: 2,
        engines: 0,
        services: 1,
        teams: 1,
        first_token_delay: Duration::ZERO,
        token_interval: Duration::ZERO,
        timing: SHORT_TIMING,
    })?;
    measure::wait_for("operations", Duration::from_secs(20), || {
        (0..8).all(|_| next_order().send(fleet.routers[0].address).is_ok_and(|it| it.status == 200))
    })?;
    let duration = Duration::from_millis(900);
    let total_cpu_seconds =
        || -> Result<f64> { Ok(fleet.routers[0].cpu_seconds()? + fleet.routers[1].cpu_seconds()?) };
    let address = fleet.routers[0].address;
    let (mut answered, mut refused, mut single_connection_refused) = (0, 0, 0);
    let mut requests_per_cpu_second = Vec::new();
    let mut throughput = Vec::new();
    let mut cpu_us: [Vec<f64>; 2] = Default::default();
    let mut single_connection_times: [Vec<Vec<Duration>>; 2] = Default::default();
    for _ in 0..REPETITIONS {
        let before = total_cpu_seconds()?;
        let start = Instant::now();
        let result = closed_loop(address, 16, start + duration, next_look_up)?;
        let used_seconds = total_cpu_seconds()? - before;
        let times = result.times;
        refused += result.refused;
        answered += times.len();
        throughput.push(times.len() as f64 / start.elapsed().as_secs_f64());
        requests_per_cpu_second.push(times.len() as f64 / used_seconds);
        for (index, next_request) in
            [next_look_up as fn() -> CallerRequest, next_order].into_iter().enumerate()
        {
            let before = total_cpu_seconds()?;
            let until = Instant::now() + duration;
            let result = closed_loop(address, 1, until, next_request)?;
            let times = result.times;
            single_connection_refused += result.refused;
            cpu_us[index].push((total_cpu_seconds()? - before) / times.len() as f64 * 1e6);
            single_connection_times[index].push(times);
        }
    }
    let mut orders_against_look_ups = LatencyComparison::default();
    let service = fleet.services[0].address();
    let mut direct = LatencyComparison::default();
    for (look_ups, orders) in single_connection_times[0].iter().zip(&single_connection_times[1]) {
        orders_against_look_ups.push(look_ups, orders);
        let until = Instant::now() + duration / 3;
        direct.push(&closed_loop(service, 1, until, next_look_up)?.times, look_ups);
    }
    println!("\nplain look-ups, kept connections, service answers at once");
    println!("16 connections: {:.0} requests/s", ValueSample::new(throughput));
    println!(
        "16 connections: {:.0} requests/s per core of the router",
        ValueSample::new(requests_per_cpu_second)
    );
    println!(
        "refused although within the team's rate: {refused} beside {answered} answered at 16 \
         connections, {single_connection_refused} at one connection"
    );
    direct.print("one connection: look-up");
    println!(
        "\nat-most-once operations against look-ups, 2 hosts, one connection (direct = look-up)"
    );
    orders_against_look_ups
        .print("operation with a plain key, half of them forwarded, all with a backup");
    println!(
        "processor time of both routers: look-up {:.0} us, operation {:.0} us",
        ValueSample::new(cpu_us[0].clone()),
        ValueSample::new(cpu_us[1].clone())
    );
    Ok(())
}

/// Measures the memory of the peer port by the number of connections that other hosts keep open,
/// and the processor time of a served message.
fn measure_peers() -> Result<()> {
    let fleet = Fleet::start(&FleetPlan {
        centres: 1,
        hosts: 1,
        engines: 0,
        services: 1,
        teams: 1,
        first_token_delay: Duration::ZERO,
        token_interval: Duration::ZERO,
        timing: SHORT_TIMING,
    })?;
    let router = &fleet.routers[0];
    let digest = PeerRequest::Digest(HostDigest {
        host: HostName::new("h9"),
        incarnation: 9,
        accepted: 0,
        seen: 0,
    });
    println!("\npeer port, one connection for each peer");
    let mut peer_clients: Vec<HttpPeer> = Vec::new();
    for count in [0, 66, 133, 400] {
        while peer_clients.len() < count {
            peer_clients.push(HttpPeer::new());
        }
        for client in &peer_clients {
            let reply = client.call(router.admin_address, &digest, Duration::from_secs(5));
            let _: PeerReply = reply.map_err(Error::other)?;
        }
        println!("  {count} connections: {:.1} MB resident", router.resident_mb()?);
    }
    let mut cpu_us = Vec::new();
    for _ in 0..REPETITIONS {
        let (before, rounds) = (router.cpu_seconds()?, 10);
        for client in peer_clients.iter().take(100).cycle().take(100 * rounds) {
            let reply = client.call(router.admin_address, &digest, Duration::from_secs(5));
            let _: PeerReply = reply.map_err(Error::other)?;
        }
        let used_seconds = router.cpu_seconds()? - before;
        cpu_us.push(used_seconds / (100 * rounds) as f64 * 1e6);
    }
    println!("  processor time of a served message: {:.0} us", ValueSample::new(cpu_us));
    Ok(())
}

/// Sends requests at [`FLEET_REQUESTS_PER_SECOND`], half of them chats and half look-ups. Returns
/// the numbers of successful and of failed requests.
fn send_at_rate(addresses: &[SocketAddr], duration: Duration) -> Result<(u64, u64)> {
    let until = Instant::now() + duration;
    let interval =
        Duration::from_secs(1) * FLEET_CALLER_THREADS as u32 / FLEET_REQUESTS_PER_SECOND as u32;
    let workers: Vec<_> = (0..FLEET_CALLER_THREADS)
        .map(|worker| {
            let addresses = addresses.to_vec();
            thread::spawn(move || {
                let (mut answered, mut refused) = (0, 0);
                let mut next_send =
                    Instant::now() + interval * worker as u32 / FLEET_CALLER_THREADS as u32;
                let mut number = worker;
                while next_send < until {
                    thread::sleep(next_send.saturating_duration_since(Instant::now()));
                    next_send += interval;
                    number += FLEET_CALLER_THREADS;
                    let team = (number % 10) as usize;
                    let request = if (number / 10).is_multiple_of(2) {
                        chat(team, &format!("fleet {number}"), 16)
                    } else {
                        look_up(team)
                    };
                    let address = addresses[(number % addresses.len() as u64) as usize];
                    match request.send(address) {
                        Ok(response) if response.status == 200 => answered += 1,
                        _ => refused += 1,
                    }
                }
                (answered, refused)
            })
        })
        .collect();
    let mut total = (0, 0);
    for worker in workers {
        let counts = worker.join().map_err(|_| Error::other("a caller panicked"))?;
        total = (total.0 + counts.0, total.1 + counts.1);
    }
    Ok(total)
}

/// Measures control traffic, processor time and memory of seven hosts, idle and under load.
fn measure_seven_hosts() -> Result<()> {
    let fleet = Fleet::start(&FleetPlan {
        centres: 4,
        hosts: 7,
        engines: 10,
        services: 4,
        teams: 10,
        first_token_delay: Duration::from_millis(20),
        token_interval: Duration::from_millis(5),
        timing: DEFAULT_TIMING,
    })?;
    let addresses: Vec<SocketAddr> = fleet.routers.iter().map(|it| it.address).collect();
    println!(
        "\n7 hosts, 4 data centres, 10 engines, 4 services, 10 teams; median [lowest, highest] host"
    );
    // Token leases from the start of the fleet are returned within a second.
    thread::sleep(Duration::from_secs(2));
    for (name, rate) in [("idle", 0), ("200 requests/s", FLEET_REQUESTS_PER_SECOND)] {
        let stats_before = fleet.platform.stats();
        let before = UsageSnapshot::capture(&fleet.routers)?;
        let (answered, refused) = if rate == 0 {
            thread::sleep(FLEET_WINDOW);
            (0, 0)
        } else {
            send_at_rate(&addresses, FLEET_WINDOW)?
        };
        let after = UsageSnapshot::capture(&fleet.routers)?;
        let seconds = after.seconds_since(&before);
        let stats_after = fleet.platform.stats();
        println!("{name}: {answered} answered, {refused} refused in {seconds:.1} s");
        let rates = after.byte_rates(&before);
        let total: f64 = rates.values().map(ValueSample::mean).sum();
        println!("  control traffic, bytes/s per host, both directions: mean {total:.0}");
        for (purpose, rate) in &rates {
            println!("    {purpose}: {rate:.0}");
        }
        println!("  processor: {:.2} % of a core", after.cpu_percent(&before));
        print_threads(&after.thread_percent(&before));
        for field in ["config_calls", "host_calls"] {
            let count = |stats: &serde_json::Value| stats[field].as_f64().unwrap_or(f64::NAN);
            let rate = (count(&stats_after) - count(&stats_before)) / seconds;
            println!("  platform {field}: {rate:.2}/s for 7 hosts");
        }
    }
    let memory =
        fleet.routers.iter().map(process::RouterProcess::resident_mb).collect::<Result<_>>()?;
    println!("  resident after the load: {:.1} MB", ValueSample::new(memory));
    Ok(())
}

/// Prints the processor time by thread name, without threads below 0.005 % of a core.
fn print_threads(threads: &BTreeMap<String, ValueSample>) {
    for (name, share) in threads {
        if share.mean() >= 0.005 {
            println!("    thread {name}: {share:.2} %");
        }
    }
}
