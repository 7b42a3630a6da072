//! What hosts know of each other, and who reads the platform for whom. All time is simulated.

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

fn table(own: usize, centre: &str) -> MemberTable {
    MemberTable::new(Instant::now(), record(own, centre))
}

/// Guards against a host that counts as lost, or alive, for ever.
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

/// Guards against a restarted host that is ignored because the time of day was set back.
#[test]
fn a_restarted_host_is_believed_about_itself() {
    let now = Instant::now();
    let mut table = table(0, "a");
    table.merge_direct(now, MemberRecord { heartbeat: 900, ..record(1, "a") });
    let restarted = MemberRecord { incarnation: 9, ..record(1, "a") };
    assert_eq!(
        table.merge_relayed(now, restarted.clone()),
        None,
        "others may know an older process"
    );
    assert_eq!(table.merge_direct(now, restarted), Some(MemberChange::Restarted));
    let newer = MemberRecord { incarnation: 11, ..record(1, "a") };
    assert_eq!(table.merge_relayed(now, newer), Some(MemberChange::Restarted));
}

/// Guards against relays that differ from host to host, and against a slow host as a relay.
#[test]
fn hosts_of_a_data_centre_agree_on_two_fast_relays() {
    let now = Instant::now();
    let records: Vec<MemberRecord> = (0..20)
        .map(|it| MemberRecord { bandwidth: if it < 15 { 10 } else { 200 }, ..record(it, "a") })
        .collect();
    let mut relays = HashSet::new();
    let mut readers = 0;
    for own in &records {
        let mut table = MemberTable::new(now, own.clone());
        for other in &records {
            table.merge_direct(now, other.clone());
        }
        table.merge_direct(now, MemberRecord { bandwidth: 900, ..record(30, "b") });
        let chosen: Vec<HostName> = table.relays(now).iter().map(|it| it.host.clone()).collect();
        if chosen.is_empty() {
            readers += 1;
            assert!(table.has_followers(now));
            assert_eq!(own.bandwidth, 200);
        } else {
            relays.insert(chosen.clone());
            table.record_relay_failure(now, &chosen[0]);
            assert_eq!(table.relays(now)[0].host, chosen[1]);
            table.record_relay_failure(now, &chosen[1]);
            // With no relay left the host reads the platform itself.
            assert!(table.relays(now).is_empty());
            assert!(!table.relays(now + 3 * SECOND).is_empty());
        }
    }
    assert_eq!((relays.len(), readers), (1, 2));
}

/// Guards against a host that depends on a relay of another data centre, or on itself.
#[test]
fn small_data_centres_read_the_platform_themselves() {
    let now = Instant::now();
    let mut table = table(0, "a");
    table.merge_direct(now, record(1, "a"));
    table.merge_direct(now, record(2, "b"));
    assert!(table.relays(now).is_empty());
    assert!(!table.has_followers(now));
}

/// Guards against shares that grow at once when hosts are cut off and go on running.
#[test]
fn lost_hosts_still_count_in_bounded_sums_for_a_while() {
    let now = Instant::now();
    let mut table = table(0, "a");
    for index in 1..8 {
        table.merge_direct(now, record(index, "a"));
    }
    assert_eq!(table.hosts_sharing_limits(now), 8);
    assert_eq!(table.hosts_sharing_limits(now + 20 * SECOND), 8);
    assert_eq!(table.hosts_sharing_limits(now + 60 * SECOND), 1);
}

/// Guards against messages that grow with the fleet: records are told to those that lack them, a
/// bounded number at a time, and all of them in turn.
#[test]
fn records_are_told_to_hosts_that_lack_them() {
    let now = Instant::now();
    let mut table = table(0, "a");
    for index in 1..200 {
        table.merge_direct(now, record(index, if index < 100 { "a" } else { "b" }));
    }
    assert!(table.digest(now, None).records.is_empty());
    let mut joining = MemberTable::new(now, record(200, "b"));
    let mut messages = 0;
    while joining.live(now).count() < 200 {
        let asked = joining.digest(now, None);
        let answer = table.digest(now, Some(&asked));
        assert!(answer.records.len() <= 128);
        joining.merge_digest(now, table.local().clone(), &answer);
        messages += 1;
        assert!(messages < 200, "{} known", joining.live(now).count());
    }
    // Two hosts that know the same tell no records, and old heartbeats are no news.
    table.merge_direct(now, record(200, "b"));
    let later = now + 2 * SECOND;
    let asked = joining.digest(later, None);
    let answer = table.digest(later, Some(&asked));
    assert_eq!((answer.records.len(), answer.beats.len()), (0, 0));
}

/// Guards against a restarted host that others take for lost because its heartbeat is lower.
#[test]
fn a_restarted_host_is_asked_for_by_its_heartbeat() {
    let start = Instant::now();
    let hosts: Vec<MemberRecord> = (0..3).map(|it| record(it, "a")).collect();
    let mut tables: Vec<MemberTable> =
        hosts.iter().map(|it| MemberTable::new(start, it.clone())).collect();
    for table in &mut tables {
        hosts.iter().for_each(|it| {
            table.merge_direct(start, MemberRecord { heartbeat: 900, ..it.clone() });
        });
    }
    // Host 2 restarts and is heard by host 1 only.
    let restarted = MemberRecord { incarnation: 11, ..record(2, "a") };
    tables[1].merge_direct(start, restarted.clone());
    let told = tables[1].digest(start, None);
    let own = tables[1].local().clone();
    tables[0].merge_digest(start, own.clone(), &told);
    let asked = tables[0].digest(start, None);
    assert_eq!(asked.wanted.len(), 1);
    let answer = tables[1].digest(start, Some(&asked));
    let news = tables[0].merge_digest(start, own, &answer);
    assert_eq!(news, [(restarted.host, MemberChange::Restarted)]);
    assert!(tables[0].digest(start, None).wanted.is_empty());
}

/// Guards against a cold engine that gets the first request of each of many hosts: on a grown
/// deployment one got 32 requests in a second, of 29 that it bears.
#[test]
fn shares_of_a_cold_upstream_sum_to_its_allowance() {
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    for hosts in [1, 3, 7, 88, 400] {
        let records: Vec<MemberRecord> = (0..hosts).map(|it| record(it, "a")).collect();
        let tables: Vec<MemberTable> = records
            .iter()
            .map(|own| {
                let mut table = MemberTable::new(now, own.clone());
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

/// Guards against a fleet that restarts at once, whose hosts do not know each other yet: each would
/// send to a cold engine as if it were alone.
#[test]
fn a_process_that_has_just_started_sends_nothing_to_a_cold_upstream() {
    let now = Instant::now();
    let table = MemberTable::new(now, record(0, "a"));
    let rate = |at| host_cold_rate(16.0, 8, |count| table.is_among_first(at, "engine", count));
    assert_eq!(rate(now + 2 * SECOND), 0.0);
    assert!(rate(now + 3 * SECOND) > 0.0, "a host may be the only one");
}

/// Guards against a host whose relays cannot reach the platform and that knows no other way, or asks
/// one that has just failed.
#[test]
fn the_relays_of_other_data_centres_are_known() {
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

/// Hosts of four data centres that exchange digests in rounds.
struct GossipFleet {
    tables: Vec<MemberTable>,
    rng: StdRng,
    now: Instant,
    /// Messages to other data centres.
    far_messages: usize,
    /// Bytes of all messages about hosts.
    bytes: usize,
}

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

impl GossipFleet {
    /// Creates hosts that all know each other.
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let records: Vec<MemberRecord> =
            (0..hosts).map(|it| record(it, CENTRES[it % CENTRES.len()])).collect();
        let table = |own: &MemberRecord| {
            let mut table = MemberTable::new(now, own.clone());
            for record in &records {
                table.merge_direct(now, record.clone());
            }
            table
        };
        let tables = records.iter().map(table).collect();
        Self { tables, rng: StdRng::seed_from_u64(7), now, far_messages: 0, bytes: 0 }
    }

    /// Plays one round of digests of every host that runs.
    fn round(&mut self, running: usize) {
        let step = DIGEST_INTERVAL / running as u32;
        for host in 0..running {
            self.now += step;
            let near: Vec<usize> = (host % CENTRES.len()..running)
                .step_by(CENTRES.len())
                .filter(|it| *it != host)
                .collect();
            if let Some(peer) = near.choose(&mut self.rng) {
                self.exchange(host, *peer);
            }
            let share = self.tables[host].remote_digest_probability(self.now);
            if self.rng.random_bool(share) {
                let far: Vec<usize> =
                    (0..running).filter(|it| it % CENTRES.len() != host % CENTRES.len()).collect();
                let peer = *far.choose(&mut self.rng).unwrap();
                self.far_messages += 1;
                self.exchange(host, peer);
            }
        }
    }

    /// Plays one round of hosts that know only whom they have met, and three seeds.
    fn joining_round(&mut self) {
        let step = DIGEST_INTERVAL / self.tables.len() as u32;
        for host in 0..self.tables.len() {
            self.now += step;
            let table = &self.tables[host];
            let (near, far): (Vec<&MemberRecord>, Vec<_>) =
                table.live(self.now).partition(|it| it.centre == table.local().centre);
            let share = table.remote_digest_probability(self.now);
            let far = far.choose(&mut self.rng).filter(|_| self.rng.random_bool(share));
            let met = near.choose(&mut self.rng).into_iter().chain(far);
            let mut peers: Vec<usize> =
                met.map(|it| it.host.as_str()[1..].parse().unwrap()).collect();
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
        let asked = self.tables[from].digest(now, None);
        let answer = self.tables[to].digest(now, Some(&asked));
        let (asking, answering) =
            (self.tables[from].local().clone(), self.tables[to].local().clone());
        self.tables[to].merge_digest(now, asking, &asked);
        self.tables[from].merge_digest(now, answering, &answer);
        let size = |it: &MemberDigest| encode_message(it).len();
        self.bytes += size(&asked) + size(&answer);
    }
}

/// Guards against hosts that count as lost while they run, against a lost host that counts as alive,
/// and against messages between data centres that grow with the number of hosts.
#[test]
fn digests_keep_a_fleet_of_any_size_together() {
    for hosts in [8, 88, 400] {
        let mut fleet = GossipFleet::new(hosts);
        let rounds = 60;
        for round in 0..rounds {
            fleet.round(hosts);
            for table in &fleet.tables {
                let count = table.live(fleet.now).count();
                assert_eq!(count, hosts - 1, "{hosts} hosts, round {round}");
            }
        }
        // One digest a second and host in small data centres, a fixed number in large ones.
        let per_centre = fleet.far_messages as f64 / f64::from(rounds) / CENTRES.len() as f64;
        assert!(per_centre < 5.0, "{hosts} hosts: {per_centre} messages in a round");
        // The target of the organisations for all control traffic of a host is 4 KB/s.
        let seconds = DIGEST_INTERVAL.as_secs_f64() * f64::from(rounds);
        let per_host = fleet.bytes as f64 / seconds / hosts as f64;
        println!("{hosts} hosts: {per_host:.0} B/s");
        assert!(per_host < 4_000.0, "{hosts} hosts: {per_host} B/s");
        let running = hosts - 1;
        for _ in 0..36 {
            fleet.round(running);
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

/// Guards against a fleet that restarts at once and whose hosts take themselves for few when they
/// begin to send to cold upstreams, three seconds after their start.
#[test]
fn a_fleet_that_restarts_knows_itself_in_time() {
    for hosts in [8, 88, 400] {
        let mut fleet = GossipFleet::new(hosts);
        let start = fleet.now;
        let strange = |it| MemberTable::new(start, record(it, CENTRES[it % CENTRES.len()]));
        fleet.tables = (0..hosts).map(strange).collect();
        for _ in 0..6 {
            fleet.joining_round();
        }
        // A host counts itself as a sender if it is among the first of those that it knows. The
        // operators bear 1.5 times the rate, of which the hosts use 0.8.
        let known = fleet.tables.iter().map(|it| it.live(fleet.now).count() + 1);
        let excess = known.map(|it| hosts as f64 / it as f64).sum::<f64>() / hosts as f64;
        assert!(excess < 1.5 / 0.8, "{hosts} hosts: {excess:.2} times the senders");
    }
}
