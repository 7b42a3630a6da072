//! Membership gossip, and the choice of relays. All time is simulated.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use snipepond::{
    gateway::{MemberChange, MemberDigest, MemberRecord, MemberTable, host_cold_rate},
    names::{CentreName, HostName},
    peer::encode_message,
};

const SECOND: Duration = Duration::from_secs(1);

/// Interval of the digests of one host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

fn record(index: usize, centre: &str) -> MemberRecord {
    MemberRecord {
        host: HostName::new(&format!("h{index}")),
        centre: CentreName::new(centre),
        address: format!("10.0.0.1:{}", 9_000 + index).parse().unwrap(),
        incarnation: 10,
        heartbeat: 1,
        bandwidth: 100,
    }
}

fn table(local: usize, centre: &str) -> MemberTable {
    MemberTable::new(Instant::now(), record(local, centre))
}

/// Guards against a lost host that counts as alive for ever, and one that never joins again.
#[test]
fn a_host_is_lost_without_heartbeats_and_joins_again() {
    let start = Instant::now();
    let mut table = table(0, "a");
    assert_eq!(table.merge_direct(start, record(1, "a")), Some(MemberChange::Joined));
    assert_eq!(table.merge_relayed(start + 5 * SECOND, record(1, "a")), None, "no new heartbeat");
    assert_eq!(table.live(start + 11 * SECOND).count(), 1);
    assert_eq!(table.live(start + 12 * SECOND).count(), 0);
    let later = MemberRecord { heartbeat: 2, ..record(1, "a") };
    assert_eq!(table.merge_relayed(start + 20 * SECOND, later), Some(MemberChange::Joined));
}

/// Guards against ignoring a restarted host whose incarnation is lower because its clock was set
/// back.
#[test]
fn a_lower_incarnation_is_accepted_from_the_host_itself() {
    let now = Instant::now();
    let mut table = table(0, "a");
    table.merge_direct(now, MemberRecord { heartbeat: 900, ..record(1, "a") });
    let restarted = MemberRecord { incarnation: 9, ..record(1, "a") };
    assert_eq!(
        table.merge_relayed(now, restarted.clone()),
        None,
        "another host may forward the record of an older process"
    );
    assert_eq!(table.merge_direct(now, restarted), Some(MemberChange::Restarted));
    let newer = MemberRecord { incarnation: 11, ..record(1, "a") };
    assert_eq!(table.merge_relayed(now, newer), Some(MemberChange::Restarted));
}

/// Guards against hosts that choose different relays, and against a host with little bandwidth as a
/// relay.
#[test]
fn hosts_of_a_data_centre_agree_on_two_fast_relays() {
    let now = Instant::now();
    let records: Vec<MemberRecord> = (0..20)
        .map(|it| MemberRecord { bandwidth: if it < 15 { 10 } else { 200 }, ..record(it, "a") })
        .collect();
    let mut relays = HashSet::new();
    let mut readers = 0;
    for local in &records {
        let mut table = MemberTable::new(now, local.clone());
        for other in &records {
            table.merge_direct(now, other.clone());
        }
        table.merge_direct(now, MemberRecord { bandwidth: 900, ..record(30, "b") });
        let chosen: Vec<HostName> = table.relays(now).iter().map(|it| it.host.clone()).collect();
        if chosen.is_empty() {
            readers += 1;
            assert!(table.has_followers(now));
            assert_eq!(local.bandwidth, 200);
        } else {
            relays.insert(chosen.clone());
            table.record_relay_failure(now, &chosen[0]);
            assert_eq!(table.relays(now)[0].host, chosen[1]);
            table.record_relay_failure(now, &chosen[1]);
            // While all relays are in backoff, the host reads the platform itself.
            assert!(table.relays(now).is_empty());
            assert!(!table.relays(now + 3 * SECOND).is_empty());
        }
    }
    assert_eq!((relays.len(), readers), (1, 2));
}

/// Guards against a host that chooses a relay of another data centre, or itself, although its data
/// centre has no more hosts than relays.
#[test]
fn small_data_centres_read_the_platform_themselves() {
    let now = Instant::now();
    let mut table = table(0, "a");
    table.merge_direct(now, record(1, "a"));
    table.merge_direct(now, record(2, "b"));
    assert!(table.relays(now).is_empty());
    assert!(!table.has_followers(now));
}

/// Guards against limits that are exceeded during a partition: hosts that are cut off run on with
/// their shares, so the shares of the others must not grow at once.
#[test]
fn lost_hosts_still_share_limits_for_a_while() {
    let now = Instant::now();
    let mut table = table(0, "a");
    for index in 1..8 {
        table.merge_direct(now, record(index, "a"));
    }
    assert_eq!(table.hosts_sharing_limits(now), 8);
    assert_eq!(table.hosts_sharing_limits(now + 20 * SECOND), 8);
    assert_eq!(table.hosts_sharing_limits(now + 60 * SECOND), 1);
}

/// Guards against messages that grow with the fleet, and against a joining host that never
/// receives some records. Only hosts that lack records receive them, a bounded number in each
/// message.
#[test]
fn records_are_sent_to_hosts_that_lack_them() {
    let now = Instant::now();
    let mut table = table(0, "a");
    for index in 1..200 {
        table.merge_direct(now, record(index, if index < 100 { "a" } else { "b" }));
    }
    assert!(table.digest(now, None).records.is_empty());
    let mut joining_table = MemberTable::new(now, record(200, "b"));
    let mut messages = 0;
    while joining_table.live(now).count() < 200 {
        let request = joining_table.digest(now, None);
        let reply = table.digest(now, Some(&request));
        assert!(reply.records.len() <= 128);
        joining_table.merge_digest(now, table.local().clone(), &reply);
        messages += 1;
        assert!(messages < 200, "{} known", joining_table.live(now).count());
    }
    // Hosts with the same members exchange no records, and old heartbeats are not forwarded.
    table.merge_direct(now, record(200, "b"));
    let later = now + 2 * SECOND;
    let request = joining_table.digest(later, None);
    let reply = table.digest(later, Some(&request));
    assert_eq!((reply.records.len(), reply.beats.len()), (0, 0));
}

/// Guards against a restarted host that times out at others because its heartbeat is lower than
/// before: they request its new record when they receive a heartbeat of the unknown process.
#[test]
fn the_record_of_a_restarted_host_is_requested() {
    let start = Instant::now();
    let hosts: Vec<MemberRecord> = (0..3).map(|it| record(it, "a")).collect();
    let mut tables: Vec<MemberTable> =
        hosts.iter().map(|it| MemberTable::new(start, it.clone())).collect();
    for table in &mut tables {
        hosts.iter().for_each(|it| {
            table.merge_direct(start, MemberRecord { heartbeat: 900, ..it.clone() });
        });
    }
    // Host 2 restarts, and only host 1 receives its record.
    let restarted = MemberRecord { incarnation: 11, ..record(2, "a") };
    tables[1].merge_direct(start, restarted.clone());
    let digest = tables[1].digest(start, None);
    let local = tables[1].local().clone();
    tables[0].merge_digest(start, local.clone(), &digest);
    let request = tables[0].digest(start, None);
    assert_eq!(request.wanted.len(), 1);
    let reply = tables[1].digest(start, Some(&request));
    let changes = tables[0].merge_digest(start, local, &reply);
    assert_eq!(changes, [(restarted.host, MemberChange::Restarted)]);
    assert!(tables[0].digest(start, None).wanted.is_empty());
}

/// Guards against a cold engine that receives the first request of each of many hosts: in a large
/// fleet one received 32 requests in a second, although its limit was 29.
#[test]
fn shares_of_a_cold_upstream_sum_to_its_allowance() {
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    for hosts in [1, 3, 7, 88, 400] {
        let records: Vec<MemberRecord> = (0..hosts).map(|it| record(it, "a")).collect();
        let tables: Vec<MemberTable> = records
            .iter()
            .map(|local| {
                let mut table = MemberTable::new(now, local.clone());
                for record in &records {
                    table.merge_direct(now, record.clone());
                }
                table
            })
            .collect();
        for _ in 0..20 {
            let rate = rng.random_range(1.0..64.0);
            let name = format!("engine-{}", rng.random_range(0..1_000));
            let rates = tables.iter().map(|table| {
                host_cold_rate(rate, hosts, |count| {
                    table.is_among_first(now + 3 * SECOND, &name, count)
                })
            });
            let rates: Vec<f64> = rates.collect();
            let senders = rates.iter().filter(|it| **it > 0.0).count();
            assert!(rates.iter().sum::<f64>() <= rate + 1e-9);
            // Each sender may send one request at once besides its rate.
            let worst = rates.iter().sum::<f64>() + senders as f64;
            assert!(worst <= 1.5 * rate + 5.0, "{hosts} hosts, rate {rate}: {worst}");
        }
    }
}

/// Guards against a cold engine that receives requests of all hosts of a fleet that restarts at
/// once: each host would rank itself first while it does not know the others yet.
#[test]
fn a_process_that_has_just_started_sends_nothing_to_a_cold_upstream() {
    let now = Instant::now();
    let table = MemberTable::new(now, record(0, "a"));
    let rate = |at| host_cold_rate(16.0, 8, |count| table.is_among_first(at, "engine", count));
    assert_eq!(rate(now + 2 * SECOND), 0.0);
    assert!(rate(now + 3 * SECOND) > 0.0, "a host may be the only one");
}

/// Guards against a host whose relays cannot reach the platform and that finds no relay in another
/// data centre, or asks one that is in backoff.
#[test]
fn relays_of_other_data_centres_are_found() {
    let now = Instant::now();
    let mut table = table(0, "a");
    for index in 1..10 {
        let centre = ["a", "b", "c"][index % 3];
        let bandwidth = if index < 7 { 100 } else { 10 };
        table.merge_direct(now, MemberRecord { bandwidth, ..record(index, centre) });
    }
    let names = |table: &MemberTable, at: Instant| {
        let mut names: Vec<String> =
            table.remote_relays(at).iter().map(|it| it.host.as_str().to_owned()).collect();
        names.sort();
        names
    };
    assert_eq!(names(&table, now), ["h1", "h2", "h4", "h5"], "the two fastest of b and of c");
    table.record_relay_failure(now, &HostName::new("h4"));
    assert_eq!(names(&table, now), ["h1", "h2", "h5"]);
    assert_eq!(names(&table, now + 3 * SECOND).len(), 4);
}

/// Simulated hosts of four data centres that exchange digests in gossip rounds.
struct GossipFleet {
    tables: Vec<MemberTable>,
    rng: StdRng,
    now: Instant,
    /// Number of digests sent to other data centres, without the replies.
    remote_digests: usize,
    /// Bytes of all digests and replies.
    bytes: usize,
}

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

impl GossipFleet {
    /// Creates hosts that all know each other.
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let records: Vec<MemberRecord> =
            (0..hosts).map(|it| record(it, CENTRES[it % CENTRES.len()])).collect();
        let table = |local: &MemberRecord| {
            let mut table = MemberTable::new(now, local.clone());
            for record in &records {
                table.merge_direct(now, record.clone());
            }
            table
        };
        let tables = records.iter().map(table).collect();
        Self { tables, rng: StdRng::seed_from_u64(7), now, remote_digests: 0, bytes: 0 }
    }

    /// Simulates one gossip round of the first `running` hosts.
    fn run_round(&mut self, running: usize) {
        let step = DIGEST_INTERVAL / running as u32;
        for host in 0..running {
            self.now += step;
            let local: Vec<usize> = (host % CENTRES.len()..running)
                .step_by(CENTRES.len())
                .filter(|it| *it != host)
                .collect();
            if let Some(peer) = local.choose(&mut self.rng) {
                self.exchange(host, *peer);
            }
            let probability = self.tables[host].remote_digest_probability(self.now);
            if self.rng.random_bool(probability) {
                let remote: Vec<usize> =
                    (0..running).filter(|it| it % CENTRES.len() != host % CENTRES.len()).collect();
                let peer = *remote.choose(&mut self.rng).unwrap();
                self.remote_digests += 1;
                self.exchange(host, peer);
            }
        }
    }

    /// Simulates one gossip round of hosts that start with three seeds only and choose their
    /// targets among the members that they know.
    fn run_joining_round(&mut self) {
        let step = DIGEST_INTERVAL / self.tables.len() as u32;
        for host in 0..self.tables.len() {
            self.now += step;
            let table = &self.tables[host];
            let (local, remote): (Vec<&MemberRecord>, Vec<_>) =
                table.live(self.now).partition(|it| it.centre == table.local().centre);
            let probability = table.remote_digest_probability(self.now);
            let remote = remote.choose(&mut self.rng).filter(|_| self.rng.random_bool(probability));
            let targets = local.choose(&mut self.rng).into_iter().chain(remote);
            let mut peers: Vec<usize> =
                targets.map(|it| it.host.as_str()[1..].parse().unwrap()).collect();
            if peers.is_empty() {
                peers.push(self.rng.random_range(0..3));
            }
            for peer in peers.into_iter().filter(|it| *it != host) {
                self.exchange(host, peer);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let request = self.tables[from].digest(now, None);
        let reply = self.tables[to].digest(now, Some(&request));
        let (sender, receiver) =
            (self.tables[from].local().clone(), self.tables[to].local().clone());
        self.tables[to].merge_digest(now, sender, &request);
        self.tables[from].merge_digest(now, receiver, &reply);
        let size = |it: &MemberDigest| encode_message(it).len();
        self.bytes += size(&request) + size(&reply);
    }
}

/// Guards against a fleet that stays divided: hosts that started with different seeds know the hosts
/// that started with the same one, and no others.
#[test]
fn groups_of_hosts_that_joined_through_different_seeds_find_each_other() {
    let now = Instant::now();
    let mut table = table(0, "a");
    (1..40).for_each(|it| {
        table.merge_direct(now, record(it, CENTRES[it % CENTRES.len()]));
    });
    let seeds = [record(0, "a").address, record(50, "b").address, record(51, "c").address];
    let targets = (0..1_000).flat_map(|_| table.digest_targets(now, &seeds));
    let to_seeds = targets.filter(|(address, _)| seeds.contains(address)).count();
    // A fleet of 88 hosts sends several such digests in a second.
    assert!((20..100).contains(&to_seeds), "{to_seeds} of 1000 rounds");
    assert!(table.digest_targets(now, &seeds).iter().all(|(it, _)| *it != seeds[0]), "itself");
}

/// Guards against running hosts that count as lost, against a lost host that counts as alive, and
/// against traffic between data centres that grows with the number of hosts.
#[test]
fn digests_keep_running_hosts_live_in_fleets_of_any_size() {
    for hosts in [8, 88, 400] {
        let mut fleet = GossipFleet::new(hosts);
        let rounds = 60;
        for round in 0..rounds {
            fleet.run_round(hosts);
            for table in &fleet.tables {
                let count = table.live(fleet.now).count();
                assert_eq!(count, hosts - 1, "{hosts} hosts, round {round}");
            }
        }
        // One digest per second and host in small data centres, a fixed number in large ones.
        let per_centre = fleet.remote_digests as f64 / f64::from(rounds) / CENTRES.len() as f64;
        assert!(per_centre < 5.0, "{hosts} hosts: {per_centre} messages in a round");
        // The target for all control traffic of a host is 4 KB/s.
        let seconds = DIGEST_INTERVAL.as_secs_f64() * f64::from(rounds);
        let per_host = fleet.bytes as f64 / seconds / hosts as f64;
        println!("{hosts} hosts: {per_host:.0} B/s");
        assert!(per_host < 4_000.0, "{hosts} hosts: {per_host} B/s");
        let running = hosts - 1;
        for _ in 0..36 {
            fleet.run_round(running);
        }
        for table in &fleet.tables[..running] {
            assert_eq!(
                table.live(fleet.now).count(),
                running - 1,
                "{hosts} hosts, one of them lost"
            );
        }
    }
}

/// Guards against too many senders to a cold upstream after a restart of all hosts: hosts begin to
/// send three seconds after their start, and each that knows too few others ranks itself too high.
#[test]
fn hosts_that_restart_at_once_know_each_other_in_time() {
    for hosts in [8, 88, 400] {
        let mut fleet = GossipFleet::new(hosts);
        let start = fleet.now;
        let new_table = |it| MemberTable::new(start, record(it, CENTRES[it % CENTRES.len()]));
        fleet.tables = (0..hosts).map(new_table).collect();
        for _ in 0..6 {
            fleet.run_joining_round();
        }
        // A host is a sender if it is among the first of the hosts that it knows. The operators
        // tolerate 1.5 times the rate, of which the hosts use 0.8.
        let known = fleet.tables.iter().map(|it| it.live(fleet.now).count() + 1);
        let sender_ratio = known.map(|it| hosts as f64 / it as f64).sum::<f64>() / hosts as f64;
        assert!(sender_ratio < 1.5 / 0.8, "{hosts} hosts: {sender_ratio:.2} times the senders");
    }
}
