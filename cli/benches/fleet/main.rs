//! Times and costs of real router processes in front of stand-ins, on loopback.
//!
//! `cargo bench -p snipepond-cli --bench fleet`; one run takes less than two minutes. Without
//! the argument `--bench`, which only `cargo bench` gives, nothing is measured, so that
//! `cargo test --all-targets` does not run it. Further arguments (`single`, `many`, `services`,
//! `peers`, `seven`) select parts. docs/measurements.md explains the output.

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
    measure::{Comparison, Sample},
    process::{SHORT_TIMING, Snapshot, USUAL_TIMING},
    setup::{Fleet, Plan, chat, look_up, order},
};

/// Repetitions of every comparison.
const REPETITIONS: usize = 5;

/// Streams at the same time; the share of a host at the target size.
const STREAMS: usize = 400;

/// Time between tokens at 400 streams; they make 5,500 tokens/s, the share of a host at the
/// target size.
const STREAM_TOKEN: Duration = Duration::from_millis(72);

/// Requests per second to the fleet of seven hosts.
const FLEET_RATE: u64 = 200;

/// Threads that send them.
const FLEET_CALLERS: u64 = 40;

/// Length of one measurement of the fleet of seven hosts.
const FLEET_WINDOW: Duration = Duration::from_secs(10);

static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

/// One part of the benchmark.
type Part = fn() -> Result<()>;

fn main() -> Result<()> {
    if !std::env::args().any(|it| it == "--bench") {
        println!("nothing is measured without --bench");
        return Ok(());
    }
    let started = Instant::now();
    println!("load averages: {}", load_averages());
    let parts: [(&str, Part); 5] = [
        ("single", single_stream),
        ("many", many_streams),
        ("services", services),
        ("peers", peers),
        ("seven", fleet_of_seven),
    ];
    let wanted: Vec<String> = std::env::args().skip(1).filter(|it| it != "--bench").collect();
    for (name, run) in parts {
        if wanted.is_empty() || wanted.iter().any(|it| it == name) {
            run()?;
        }
    }
    println!("load averages: {}", load_averages());
    println!("total time {:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// Other work on the machine shows here; a run with a load above the number of cores is disturbed.
fn load_averages() -> String {
    std::fs::read_to_string("/proc/loadavg").unwrap_or_default()
}

/// When the first chunk of a stream came, and the times between its chunks.
struct StreamTimes {
    first: Duration,
    gaps: Vec<Duration>,
}

/// Returns nothing if the team's limit refused the request, although it is far from its rate.
fn stream(address: SocketAddr, request: &CallerRequest) -> Result<Option<StreamTimes>> {
    let started = Instant::now();
    let answer = request.send(address)?;
    if matches!(answer.status, 429 | 503) && answer.header("x-outcome") == Some("not_run") {
        return Ok(None);
    }
    if answer.status != 200 || !answer.is_complete() {
        let text = answer.text();
        return Err(Error::other(format!("status {}: {text}", answer.status)));
    }
    let first = answer.events.first().ok_or_else(|| Error::other("no event"))?;
    Ok(Some(StreamTimes {
        first: first.arrived - started,
        gaps: answer.events.windows(2).map(|it| it[1].arrived - it[0].arrived).collect(),
    }))
}

fn single_stream() -> Result<()> {
    let fleet = Fleet::start(&Plan {
        centres: 1,
        hosts: 1,
        engines: 1,
        services: 1,
        teams: 1,
        first_token: Duration::from_millis(5),
        token: Duration::from_millis(5),
        timing: SHORT_TIMING,
    })?;
    let (mut first, mut gaps) = (Comparison::default(), Comparison::default());
    let run = |address: SocketAddr, repetition: usize| -> Result<(Vec<_>, Vec<_>)> {
        let (mut firsts, mut gaps) = (Vec::new(), Vec::new());
        for index in 0..15 {
            let request = chat(0, &format!("single {repetition} {index}"), 16);
            let Some(times) = stream(address, &request)? else {
                return Err(Error::other("a single request was refused"));
            };
            firsts.push(times.first);
            gaps.extend(times.gaps);
        }
        Ok((firsts, gaps))
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

/// Starts all streams within half a second and returns their times.
fn run_streams(address: SocketAddr, repetition: usize) -> Result<(Vec<Duration>, Vec<Duration>)> {
    let workers: Vec<_> = (0..STREAMS)
        .map(|index| {
            thread::Builder::new().stack_size(256 << 10).spawn(move || {
                thread::sleep(Duration::from_micros(1_250) * index as u32);
                let request = chat(0, &format!("many {repetition} {index}"), 28);
                stream(address, &request)
            })
        })
        .collect::<Result<_>>()?;
    let (mut firsts, mut gaps) = (Vec::new(), Vec::new());
    for worker in workers {
        let result = worker.join().map_err(|_| Error::other("a caller panicked"))??;
        if let Some(times) = result {
            firsts.push(times.first);
            gaps.extend(times.gaps);
        }
    }
    Ok((firsts, gaps))
}

fn many_streams() -> Result<()> {
    let fleet = Fleet::start(&Plan {
        centres: 1,
        hosts: 1,
        engines: 1,
        services: 1,
        teams: 1,
        first_token: Duration::from_millis(20),
        token: STREAM_TOKEN,
        timing: SHORT_TIMING,
    })?;
    let router = &fleet.routers[0];
    thread::sleep(Duration::from_secs(1));
    let (idle_cpu, idle_from) = (router.cpu_seconds()?, Instant::now());
    thread::sleep(Duration::from_secs(4));
    let idle_percent =
        (router.cpu_seconds()? - idle_cpu) / idle_from.elapsed().as_secs_f64() * 100.0;
    let idle_mb = router.resident_mb()?;
    let (mut first, mut gaps) = (Comparison::default(), Comparison::default());
    let (mut cpu, mut memory, mut refused) = (Vec::new(), Vec::new(), 0);
    for repetition in 0..REPETITIONS {
        let direct = run_streams(fleet.engines[0].address(), repetition)?;
        let address = router.address;
        let caller = thread::spawn(move || run_streams(address, repetition + REPETITIONS));
        // From 0.7 s to 1.9 s all streams run: they start within 0.5 s and last 2 s.
        thread::sleep(Duration::from_millis(700));
        let (before, from) = (router.cpu_seconds()?, Instant::now());
        thread::sleep(Duration::from_millis(1_200));
        cpu.push((router.cpu_seconds()? - before) / from.elapsed().as_secs_f64() * 100.0);
        memory.push(router.resident_mb()?);
        let routed = caller.join().map_err(|_| Error::other("the callers panicked"))??;
        refused += STREAMS - routed.0.len();
        first.push(&direct.0, &routed.0);
        gaps.push(&direct.1, &routed.1);
    }
    println!("\n400 streams at a time, 28 tokens each, 72 ms between tokens (5,500 tokens/s)");
    println!("refused although within the team's rate: {refused} of {}", STREAMS * REPETITIONS);
    first.print("time to the first chunk");
    gaps.print("time between chunks");
    println!("router at 400 streams: {:.1} % of a core", Sample::new(cpu));
    println!("router at 400 streams: {:.1} MB resident", Sample::new(memory));
    println!("router idle before: {idle_percent:.2} % of a core, {idle_mb:.1} MB resident");
    thread::sleep(Duration::from_secs(1));
    println!("router 1 s after: {:.1} MB resident", router.resident_mb()?);
    Ok(())
}

/// Answers of a closed loop; refusals of the team's limit are counted and not timed.
#[derive(Default)]
struct LoopResult {
    times: Vec<Duration>,
    refused: usize,
}

/// Sends requests one after the other on each of `count` kept connections until `until`.
fn closed_loop(
    address: SocketAddr,
    count: usize,
    until: Instant,
    make: fn() -> CallerRequest,
) -> Result<LoopResult> {
    let workers: Vec<_> = (0..count)
        .map(|_| {
            thread::spawn(move || -> Result<LoopResult> {
                let mut result = LoopResult::default();
                let mut connection = CallerConnection::open(address)?;
                while Instant::now() < until {
                    let started = Instant::now();
                    let request = make();
                    let (answer, kept) = connection
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
                    match answer.status {
                        200 => result.times.push(started.elapsed()),
                        429 | 503 => result.refused += 1,
                        status => {
                            let text = answer.text();
                            return Err(Error::other(format!("status {status}: {text}")));
                        }
                    }
                    connection = kept;
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
    let number = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
    order(0, &format!("bench-{number}"))
}

fn next_look_up() -> CallerRequest {
    look_up(0)
}

fn services() -> Result<()> {
    let fleet = Fleet::start(&Plan {
        centres: 1,
        hosts: 2,
        engines: 0,
        services: 1,
        teams: 1,
        first_token: Duration::ZERO,
        token: Duration::ZERO,
        timing: SHORT_TIMING,
    })?;
    measure::wait_for("operations", Duration::from_secs(20), || {
        (0..8).all(|_| next_order().send(fleet.routers[0].address).is_ok_and(|it| it.status == 200))
    })?;
    let length = Duration::from_millis(900);
    let cpu =
        || -> Result<f64> { Ok(fleet.routers[0].cpu_seconds()? + fleet.routers[1].cpu_seconds()?) };
    let address = fleet.routers[0].address;
    let (mut answered, mut refused, mut refused_alone) = (0, 0, 0);
    let mut per_core = Vec::new();
    let mut throughput = Vec::new();
    let mut costs: [Vec<f64>; 2] = Default::default();
    let mut alone: [Vec<Vec<Duration>>; 2] = Default::default();
    for _ in 0..REPETITIONS {
        let before = cpu()?;
        let from = Instant::now();
        let result = closed_loop(address, 16, from + length, next_look_up)?;
        let used = cpu()? - before;
        let times = result.times;
        refused += result.refused;
        answered += times.len();
        throughput.push(times.len() as f64 / from.elapsed().as_secs_f64());
        per_core.push(times.len() as f64 / used);
        for (index, make) in
            [next_look_up as fn() -> CallerRequest, next_order].into_iter().enumerate()
        {
            let before = cpu()?;
            let until = Instant::now() + length;
            let result = closed_loop(address, 1, until, make)?;
            let times = result.times;
            refused_alone += result.refused;
            costs[index].push((cpu()? - before) / times.len() as f64 * 1e6);
            alone[index].push(times);
        }
    }
    let mut times = Comparison::default();
    let service = fleet.services[0].address();
    let mut direct = Comparison::default();
    for (look_ups, orders) in alone[0].iter().zip(&alone[1]) {
        times.push(look_ups, orders);
        let until = Instant::now() + length / 3;
        direct.push(&closed_loop(service, 1, until, next_look_up)?.times, look_ups);
    }
    println!("\nplain look-ups, kept connections, service answers at once");
    println!("16 connections: {:.0} requests/s", Sample::new(throughput));
    println!("16 connections: {:.0} requests/s per core of the router", Sample::new(per_core));
    println!(
        "refused although within the team's rate: {refused} beside {answered} answered at 16 \
         connections, {refused_alone} at one connection"
    );
    direct.print("one connection: look-up");
    println!(
        "\nat-most-once operations against look-ups, 2 hosts, one connection (direct = look-up)"
    );
    times.print("operation with a plain key, half of them forwarded, all with a backup");
    println!(
        "processor time of both routers: look-up {:.0} us, operation {:.0} us",
        Sample::new(costs[0].clone()),
        Sample::new(costs[1].clone())
    );
    Ok(())
}

/// Memory and processor time of the peer port: connections that other hosts keep, and messages.
fn peers() -> Result<()> {
    let fleet = Fleet::start(&Plan {
        centres: 1,
        hosts: 1,
        engines: 0,
        services: 1,
        teams: 1,
        first_token: Duration::ZERO,
        token: Duration::ZERO,
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
    let mut callers: Vec<HttpPeer> = Vec::new();
    for count in [0, 66, 133, 400] {
        while callers.len() < count {
            callers.push(HttpPeer::new());
        }
        for caller in &callers {
            let reply = caller.call(router.admin, &digest, Duration::from_secs(5));
            let _: PeerReply = reply.map_err(Error::other)?;
        }
        println!("  {count} connections: {:.1} MB resident", router.resident_mb()?);
    }
    let mut costs = Vec::new();
    for _ in 0..REPETITIONS {
        let (before, rounds) = (router.cpu_seconds()?, 10);
        for caller in callers.iter().take(100).cycle().take(100 * rounds) {
            let reply = caller.call(router.admin, &digest, Duration::from_secs(5));
            let _: PeerReply = reply.map_err(Error::other)?;
        }
        let used = router.cpu_seconds()? - before;
        costs.push(used / (100 * rounds) as f64 * 1e6);
    }
    println!("  processor time of a served message: {:.0} us", Sample::new(costs));
    Ok(())
}

/// Sends requests at a fixed rate, alternating chats and look-ups; returns answers and refusals.
fn send_at_rate(addresses: &[SocketAddr], length: Duration) -> Result<(u64, u64)> {
    let until = Instant::now() + length;
    let pause = Duration::from_secs(1) * FLEET_CALLERS as u32 / FLEET_RATE as u32;
    let workers: Vec<_> = (0..FLEET_CALLERS)
        .map(|worker| {
            let addresses = addresses.to_vec();
            thread::spawn(move || {
                let (mut answered, mut refused) = (0, 0);
                let mut next = Instant::now() + pause * worker as u32 / FLEET_CALLERS as u32;
                let mut number = worker;
                while next < until {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += pause;
                    number += FLEET_CALLERS;
                    let team = (number % 10) as usize;
                    let request = if (number / 10).is_multiple_of(2) {
                        chat(team, &format!("fleet {number}"), 16)
                    } else {
                        look_up(team)
                    };
                    let address = addresses[(number % addresses.len() as u64) as usize];
                    match request.send(address) {
                        Ok(answer) if answer.status == 200 => answered += 1,
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

fn fleet_of_seven() -> Result<()> {
    let fleet = Fleet::start(&Plan {
        centres: 4,
        hosts: 7,
        engines: 10,
        services: 4,
        teams: 10,
        first_token: Duration::from_millis(20),
        token: Duration::from_millis(5),
        timing: USUAL_TIMING,
    })?;
    let addresses: Vec<SocketAddr> = fleet.routers.iter().map(|it| it.address).collect();
    println!(
        "\n7 hosts, 4 data centres, 10 engines, 4 services, 10 teams; median [lowest, highest] host"
    );
    // Borrowed tokens of the start are returned within a second.
    thread::sleep(Duration::from_secs(2));
    for (name, rate) in [("idle", 0), ("200 requests/s", FLEET_RATE)] {
        let calls = fleet.platform.stats();
        let before = Snapshot::take(&fleet.routers)?;
        let (answered, refused) = if rate == 0 {
            thread::sleep(FLEET_WINDOW);
            (0, 0)
        } else {
            send_at_rate(&addresses, FLEET_WINDOW)?
        };
        let after = Snapshot::take(&fleet.routers)?;
        let seconds = after.seconds_since(&before);
        let later = fleet.platform.stats();
        println!("{name}: {answered} answered, {refused} refused in {seconds:.1} s");
        let rates = after.byte_rates(&before);
        let total: f64 = rates.values().map(Sample::mean).sum();
        println!("  control traffic, bytes/s per host, both directions: mean {total:.0}");
        for (purpose, rate) in &rates {
            println!("    {purpose}: {rate:.0}");
        }
        println!("  processor: {:.2} % of a core", after.cpu_percent(&before));
        print_threads(&after.thread_percent(&before));
        for field in ["config_calls", "host_calls"] {
            let count = |stats: &serde_json::Value| stats[field].as_f64().unwrap_or(f64::NAN);
            let rate = (count(&later) - count(&calls)) / seconds;
            println!("  platform {field}: {rate:.2}/s for 7 hosts");
        }
    }
    let memory = fleet.routers.iter().map(process::Router::resident_mb).collect::<Result<_>>()?;
    println!("  resident after the load: {:.1} MB", Sample::new(memory));
    Ok(())
}

fn print_threads(threads: &BTreeMap<String, Sample>) {
    for (name, share) in threads {
        if share.mean() >= 0.005 {
            println!("    thread {name}: {share:.2} %");
        }
    }
}
