//! Which parts of prompts are blocked, in a simulated fleet and in the register alone.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use snipepond::{
    gateway::{CrashDetector, LostAttempt, UpstreamProcess},
    names::{TeamName, UpstreamName},
    quarantine::{
        BLOCK_TIME, CrashStrike, MAX_LOST_RUNS, PART_BLOCK_CRASHES, PART_SOUND_TIME,
        PROOF_DELAY_PER_DOUBLING, PartProof, PartRegister, PromptPart, RequestFingerprint,
        WEAK_BLOCK_TIME,
    },
};

const MS: Duration = Duration::from_millis(1);

fn part(name: &str) -> PromptPart {
    PromptPart::new("m", name)
}

fn parts(names: &str) -> Vec<PromptPart> {
    names.split(' ').map(part).collect()
}

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&TeamName::new("t"), body.as_bytes())
}

/// The strike of a request with these parts that was lost with an upstream.
fn strike(request: &str, upstream: usize, names: &str) -> CrashStrike {
    CrashStrike {
        fingerprint: fingerprint(request),
        upstream: UpstreamName::new(&format!("upstream-{upstream}")),
        incarnation: 1,
        is_prompt: true,
        age_ms: 0,
        parts: parts(names),
    }
}

fn is_blocked(register: &PartRegister, now: Instant, name: &str) -> bool {
    register.blocked_part(now, &parts(name)).is_some()
}

/// Simulates hosts that send prompts of which one in twenty holds a part that crashes its upstream.
struct FleetSimulation {
    rng: StdRng,
    now: Instant,
    hosts: Vec<CrashDetector>,
    crashes: usize,
    /// Requests that hosts sent or refused: sound ones, and those with the part that crashes upstreams.
    sound: [usize; 2],
    crashing: [usize; 2],
}

fn new_detector(hosts: usize) -> CrashDetector {
    let mut detector = CrashDetector::default();
    detector.set_host_count(hosts);
    detector
}

/// Runs of sound requests that are lost with a crash, beside the one that causes it.
const RUNS_PER_UPSTREAM: usize = 30;

const TOPICS: usize = 60;

impl FleetSimulation {
    fn new(seed: u64, hosts: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now() + BLOCK_TIME,
            hosts: (0..hosts).map(|_| new_detector(hosts)).collect(),
            crashes: 0,
            sound: [0; 2],
            crashing: [0; 2],
        }
    }

    fn sound_prompt(&mut self) -> Vec<PromptPart> {
        let topic = self.rng.random_range(0..TOPICS);
        parts(&format!("system topic-{topic}"))
    }

    /// Sends one request. Sound ones are answered, others crash their upstream.
    fn send(&mut self, host: usize, is_crashing: bool) {
        let prompt = match is_crashing {
            true => parts("system topic-0 crashing"),
            false => self.sound_prompt(),
        };
        let is_refused = self.hosts[host].blocked_part(self.now, &prompt).is_some();
        let counts = if is_crashing { &mut self.crashing } else { &mut self.sound };
        counts[usize::from(is_refused)] += 1;
        match (is_refused, is_crashing) {
            (false, true) => self.crash(host, prompt),
            (false, false) => self.hosts[host].record_proof(self.now, &prompt),
            (true, _) => {}
        }
    }

    /// Loses an upstream with the request that crashes it, and with sound ones of other hosts.
    fn crash(&mut self, host: usize, prompt: Vec<PromptPart>) {
        self.crashes += 1;
        let upstream = UpstreamName::new(&format!("upstream-{}", self.crashes));
        let process = UpstreamProcess { upstream, incarnation: 1 };
        let mut lost = vec![(host, prompt)];
        for _ in 0..RUNS_PER_UPSTREAM {
            let other_host = self.rng.random_range(0..self.hosts.len());
            lost.push((other_host, self.sound_prompt()));
        }
        lost.shuffle(&mut self.rng);
        for (host, parts) in lost {
            let fingerprint = fingerprint(&format!("{}", self.rng.random::<u64>()));
            let attempt =
                LostAttempt { fingerprint, parts, dispatched: self.now, has_response: true };
            self.hosts[host].record_loss(self.now, &process, attempt);
            self.hosts[host].record_refused_connection(self.now, &process);
        }
    }

    /// Lets each host exchange its messages with a random other one.
    fn gossip(&mut self) {
        for host in 0..self.hosts.len() {
            let peer = self.rng.random_range(0..self.hosts.len());
            for (from, to) in [(host, peer), (peer, host)] {
                let proofs = self.hosts[from].proofs_to_send(self.now);
                let strikes = self.hosts[from].strikes_to_send(self.now);
                self.hosts[to].merge_proofs(self.now, &proofs);
                self.hosts[to].merge_strikes(self.now, &strikes);
            }
        }
        self.hosts.iter_mut().for_each(|it| it.expire(self.now));
    }

    /// Runs half a second, in which each host gets about one request, and then the gossip.
    fn step(&mut self, has_crashing: bool) {
        for _ in 0..self.hosts.len() {
            let host = self.rng.random_range(0..self.hosts.len());
            let is_crashing = has_crashing && self.rng.random_bool(0.05);
            self.send(host, is_crashing);
        }
        self.gossip();
        self.now += 500 * MS;
    }
}

/// Guards against a part that crashes one upstream after the other because each of its requests is
/// another one; and against refusing sound requests with the parts before it.
#[test]
fn a_part_that_crashes_upstreams_is_blocked_at_all_hosts_and_no_other_part_is() {
    for (seed, hosts) in [(1, 7), (2, 7), (3, 88), (4, 88), (5, 295)] {
        let mut fleet = FleetSimulation::new(seed, hosts);
        (0..10).for_each(|_| fleet.step(false));
        // The operators allow five crashes, what is sent in the 4 s after them, and three more.
        let steps_to_learn = if hosts == 7 { 40 } else { 8 };
        (0..steps_to_learn).for_each(|_| fleet.step(true));
        let (crashes, refused) = (fleet.crashes, fleet.sound[1]);
        (0..30).for_each(|_| fleet.step(true));
        assert!(fleet.crashes <= crashes + 3, "seed {seed}: {crashes}, then {}", fleet.crashes);
        assert!(fleet.crashing[1] > 10, "seed {seed}: {:?}", fleet.crashing);
        assert_eq!((refused, fleet.sound[1]), (0, 0), "seed {seed}: sound requests refused");
        assert!(fleet.hosts.iter().all(|it| {
            it.blocked_part(fleet.now, &parts("crashing")).is_some()
                && it.blocked_part(fleet.now, &parts("system topic-0")).is_none()
        }));
    }
}

/// Guards against a host that starts later, knows no proof, and blocks the parts of all prompts
/// because of the strikes that it receives first.
#[test]
fn hosts_that_start_later_block_the_same_part_only() {
    let mut fleet = FleetSimulation::new(6, 88);
    (0..20).for_each(|_| fleet.step(true));
    // All but ten hosts restart at once, in the middle of it.
    fleet.hosts.iter_mut().skip(10).for_each(|it| *it = new_detector(88));
    let crashes = fleet.crashes;
    (0..6).for_each(|_| fleet.step(true));
    let crashes_by_then = fleet.crashes;
    (0..20).for_each(|_| fleet.step(true));
    assert!(
        fleet.crashes <= crashes_by_then + 3,
        "{crashes}, {crashes_by_then}, {}",
        fleet.crashes
    );
    assert_eq!(fleet.sound[1], 0);
}

/// Guards against blocking sound parts when many upstreams fail at once or again and again for
/// other reasons.
#[test]
fn crashes_without_a_common_cause_block_no_part_in_use() {
    let mut fleet = FleetSimulation::new(7, 88);
    (0..10).for_each(|_| fleet.step(false));
    for _ in 0..40 {
        let (prompt, host) = (fleet.sound_prompt(), fleet.rng.random_range(0..88));
        fleet.crash(host, prompt);
        fleet.step(false);
    }
    for _ in 0..15 {
        let (prompt, host) = (fleet.sound_prompt(), fleet.rng.random_range(0..88));
        fleet.crash(host, prompt);
    }
    (0..10).for_each(|_| fleet.step(false));
    assert_eq!(fleet.sound[1], 0);
}

/// Guards against never blocking a part that others follow, if each of its requests also has a part
/// that no other request has.
#[test]
fn a_part_before_others_is_blocked_if_it_is_the_cause() {
    let now = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    register.record_proof(now, &parts("system"));
    for number in 0..PART_BLOCK_CRASHES {
        assert!(!is_blocked(&register, now, "crashing"));
        let names = format!("system crashing turn-{number}");
        register.merge_strikes(now, &[strike(&number.to_string(), number, &names)]);
    }
    assert!(is_blocked(&register, now, "crashing"));
    assert!(!is_blocked(&register, now, "system"));
    assert!(!is_blocked(&register, now, "turn-0"));
}

/// Guards against blocking a part because one request with it crashes upstreams again and again.
#[test]
fn one_request_blocks_no_part() {
    let now = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    for upstream in 0..10 {
        register.merge_strikes(now, &[strike("the same", upstream, "system topic")]);
    }
    assert!(!is_blocked(&register, now, "system topic"));
}

/// Guards against a sound part that stays blocked although upstreams write answers on it, and
/// against late strikes that block it again.
#[test]
fn an_answer_ends_a_block_and_the_strikes_around_it() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    let strikes: Vec<CrashStrike> = (0..4).map(|it| strike(&it.to_string(), it, "topic")).collect();
    register.merge_strikes(start, &strikes);
    assert!(is_blocked(&register, start, "topic"));
    let proof = PartProof { part: part("topic"), age_ms: 200 };
    register.merge_proofs(start, &[proof]);
    assert!(!is_blocked(&register, start, "topic"));
    // A peer that has not seen the proof sends them again.
    register.merge_strikes(start, &strikes);
    assert!(!is_blocked(&register, start, "topic"));
    assert_eq!(register.proofs_to_send(start), [proof], "the peer learns of the proof");
    let late = start + PART_SOUND_TIME;
    for number in 10..14 {
        register.merge_strikes(late, &[strike(&number.to_string(), number, "topic")]);
    }
    assert!(is_blocked(&register, late, "topic"), "an old proof does not protect for ever");
}

/// Guards against a short block that never becomes a long one, and against a block without end.
#[test]
fn more_crashes_block_for_longer() {
    let start = Instant::now() + BLOCK_TIME;
    let is_refused =
        |register: &PartRegister, now| register.blocked_part(now, &parts("crashing")).is_some();
    let mut register = PartRegister::default();
    register.set_host_count(8);
    for number in 0..PART_BLOCK_CRASHES {
        register.merge_strikes(start, &[strike(&number.to_string(), number, "crashing")]);
    }
    let proof_delay = 3 * PROOF_DELAY_PER_DOUBLING;
    assert!(!is_refused(&register, start + proof_delay - MS));
    assert!(is_refused(&register, start + proof_delay));
    assert!(is_refused(&register, start + WEAK_BLOCK_TIME - MS));
    let retried = start + WEAK_BLOCK_TIME;
    register.expire(retried);
    assert!(!is_refused(&register, retried));
    register.merge_strikes(retried, &[strike("retry", 9, "crashing")]);
    assert!(is_refused(&register, retried), "the proofs had time to arrive");
    assert!(is_refused(&register, retried + BLOCK_TIME - MS));
    assert!(!is_refused(&register, retried + BLOCK_TIME));
}

/// Guards against a block that is reported once more, by every later strike against other parts, after
/// it has ended.
#[test]
fn a_block_that_has_ended_is_not_reported_again() {
    let start = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    let strikes: Vec<CrashStrike> =
        (0..PART_BLOCK_CRASHES).map(|it| strike(&it.to_string(), it, "crashing")).collect();
    assert_eq!(register.merge_strikes(start, &strikes), [part("crashing")]);
    let later = start + WEAK_BLOCK_TIME;
    register.expire(later);
    assert_eq!(register.merge_strikes(later, &[strike("other", 8, "other")]), []);
    let retry = strike("retry", 9, "crashing");
    assert_eq!(register.merge_strikes(later, &[retry]), [part("crashing")], "blocked again");
}

/// Guards against weak evidence against a request that becomes strong evidence at the hosts that
/// receive it later, with the strikes that block a part of its prompt.
#[test]
fn strikes_that_block_a_part_keep_their_strength() {
    let now = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    let strikes: Vec<CrashStrike> = (0..4)
        .map(|it| CrashStrike { is_prompt: it > 0, ..strike(&it.to_string(), it, "crashing") })
        .collect();
    register.merge_strikes(now, &strikes);
    assert_eq!(register.export_blocking_strikes(now), strikes);
}

/// Guards against a result that depends on the order or on duplicates of messages.
#[test]
fn strikes_and_proofs_merge_in_any_order() {
    let now = Instant::now() + BLOCK_TIME;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut strikes: Vec<CrashStrike> = (0..12)
            .map(|number| {
                let topic = rng.random_range(0..3);
                let names = format!("system topic-{topic} crashing-{}", rng.random_range(0..2));
                let age_ms = rng.random_range(0..5_000);
                CrashStrike { age_ms, ..strike(&(number % 7).to_string(), number, &names) }
            })
            .collect();
        let proof = PartProof { part: part("system"), age_ms: rng.random_range(0..2_000) };
        let verdicts = (0..6).map(|_| {
            strikes.shuffle(&mut rng);
            let mut register = PartRegister::default();
            let position = rng.random_range(0..strikes.len());
            for (index, strike) in strikes.iter().chain(&strikes).enumerate() {
                if index % strikes.len() == position {
                    register.merge_proofs(now, &[proof]);
                }
                register.merge_strikes(now, std::slice::from_ref(strike));
            }
            ["system", "crashing-0", "crashing-1"].map(|it| is_blocked(&register, now, it))
        });
        let verdicts: Vec<[bool; 3]> = verdicts.collect();
        assert!(verdicts.iter().all(|it| *it == verdicts[0]), "seed {seed}: {verdicts:?}");
        assert!(!verdicts[0][0], "seed {seed}: the proven part is blocked");
    }
}

/// Guards against unbounded memory, and against a flood of other losses that ends a block.
#[test]
fn lost_runs_are_bounded_and_blocks_are_kept() {
    let now = Instant::now() + BLOCK_TIME;
    let mut register = PartRegister::default();
    for number in 0..4 {
        register.merge_strikes(now, &[strike(&number.to_string(), number, "crashing")]);
    }
    for number in 10..MAX_LOST_RUNS + 100 {
        let names = format!("part-{number}");
        register.merge_strikes(now, &[strike(&number.to_string(), number, &names)]);
    }
    assert!(is_blocked(&register, now, "crashing"));
    assert_eq!(register.export_blocking_strikes(now).len(), 4);
    let mut peer = PartRegister::default();
    for strike in register.export_blocking_strikes(now) {
        peer.merge_strikes(now, &[strike]);
    }
    assert!(is_blocked(&peer, now, "crashing"));
}
