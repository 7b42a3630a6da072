//! Register of prompt parts that crash upstreams.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    BLOCK_TIME, CrashStrike, MAX_LOST_RUNS, MAX_PARTS_PER_RUN, MAX_SOUND_PARTS, PART_BLOCK_CRASHES,
    PART_BLOCK_REQUESTS, PART_SOUND_TIME, PROOF_DELAY_PER_DOUBLING, PromptPart, RequestFingerprint,
    WEAK_BLOCK_TIME,
};
use crate::names::UpstreamName;

/// An upstream wrote an answer on a part, so the part does not crash upstreams; sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartProof {
    /// The part.
    pub part: PromptPart,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// A process of an upstream: its name and incarnation.
type ProcessKey = (UpstreamName, u64);

/// A part of a lost run that may be the cause of the loss.
#[derive(Clone, Copy, Debug)]
struct SuspectPart {
    part: PromptPart,
    /// Number of parts before it in the prompt.
    depth: usize,
}

/// A run that was lost with its upstream.
#[derive(Clone, Debug)]
struct LostRun {
    request: RequestFingerprint,
    process: ProcessKey,
    /// The parts without a proof.
    suspects: Vec<SuspectPart>,
    /// Strength of the strike, which the register of requests counts; parts do not depend on it.
    is_prompt: bool,
    lost_at: Instant,
}

/// The losses of one part that no other blocked part explains.
#[derive(Debug, Default)]
struct PartEvidence<'a> {
    /// The lost processes, with the time of the first loss of each.
    crashes: HashMap<&'a ProcessKey, Instant>,
    requests: HashSet<RequestFingerprint>,
    depth: usize,
}

impl<'a> PartEvidence<'a> {
    fn add(&mut self, run: &'a LostRun, depth: usize) {
        let lost_at = self.crashes.entry(&run.process).or_insert(run.lost_at);
        *lost_at = run.lost_at.min(*lost_at);
        self.requests.insert(run.request);
        self.depth = depth.max(self.depth);
    }

    fn suffices(&self) -> bool {
        self.crashes.len() >= PART_BLOCK_CRASHES && self.requests.len() >= PART_BLOCK_REQUESTS
    }

    fn block(&self, proof_delay: Duration) -> PartBlock {
        let mut losses: Vec<Instant> = self.crashes.values().copied().collect();
        losses.sort();
        let is_weak = losses.len() == PART_BLOCK_CRASHES;
        let newest_loss = losses[losses.len() - 1];
        PartBlock {
            from: losses[PART_BLOCK_CRASHES - 1] + proof_delay,
            until: newest_loss + if is_weak { WEAK_BLOCK_TIME } else { BLOCK_TIME },
        }
    }
}

/// Time in which requests with a part are refused.
#[derive(Clone, Copy, Debug)]
struct PartBlock {
    from: Instant,
    until: Instant,
}

/// Lost runs known to one process, and what it knows of the parts of their prompts.
#[derive(Debug, Default)]
pub struct PartRegister {
    lost_runs: Vec<LostRun>,
    /// When an upstream last wrote an answer on each part, within [`PART_SOUND_TIME`].
    proofs: HashMap<PromptPart, Instant>,
    /// When each part last got a strike, within [`PART_SOUND_TIME`].
    struck: HashMap<PromptPart, Instant>,
    /// The parts that the lost runs are blamed on.
    blocks: HashMap<PromptPart, PartBlock>,
    /// Time in which proofs of other hosts arrive.
    proof_delay: Duration,
}

impl PartRegister {
    /// Sets the number of hosts that exchange strikes and proofs.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.proof_delay = PROOF_DELAY_PER_DOUBLING.mul_f64((hosts.max(1) as f64).log2());
    }

    /// Returns the first part among `parts` that is blocked.
    pub fn blocked_part(&self, now: Instant, parts: &[PromptPart]) -> Option<PromptPart> {
        let is_blocked = |part: &PromptPart| {
            self.blocks.get(part).is_some_and(|it| (it.from..it.until).contains(&now))
        };
        parts.iter().copied().find(is_blocked)
    }

    /// Returns whether any of the parts has no proof, so that it may be the cause of a crash.
    pub fn has_suspect(&self, parts: &[PromptPart]) -> bool {
        parts.iter().any(|it| !self.proofs.contains_key(it))
    }

    /// Records that an upstream wrote an answer on parts. Their losses up to [`PART_SOUND_TIME`]
    /// after it count no more, and neither do the blocks that rest on these.
    pub fn record_proof(&mut self, now: Instant, parts: &[PromptPart]) {
        let mut is_changed = false;
        for part in parts {
            is_changed |= self.apply_proof(*part, now);
        }
        if is_changed {
            self.assign_blame();
        }
    }

    /// Merges the proofs of a peer.
    pub fn merge_proofs(&mut self, now: Instant, proofs: &[PartProof]) {
        let mut is_changed = false;
        for proof in proofs {
            let age = Duration::from_millis(proof.age_ms);
            if let Some(proven_at) = now.checked_sub(age).filter(|_| age < PART_SOUND_TIME) {
                is_changed |= self.apply_proof(proof.part, proven_at);
            }
        }
        if is_changed {
            self.assign_blame();
        }
    }

    /// Returns the proofs of parts that got a strike recently, for the peers.
    pub fn proofs_to_send(&self, now: Instant) -> Vec<PartProof> {
        let struck = self.struck.keys();
        let proofs = struck.filter_map(|part| {
            let age = now.saturating_duration_since(*self.proofs.get(part)?);
            Some(PartProof { part: *part, age_ms: age.as_millis() as u64 })
        });
        proofs.collect()
    }

    /// Merges strikes; the order and duplicates of messages do not matter. Returns the parts that
    /// are blocked because of them and were not before.
    pub fn merge_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) -> Vec<PromptPart> {
        let mut is_changed = false;
        for strike in strikes {
            is_changed |= self.add_lost_run(now, strike);
        }
        if !is_changed {
            return Vec::new();
        }
        let before = self.unexpired_blocks(now);
        self.assign_blame();
        self.unexpired_blocks(now).difference(&before).copied().collect()
    }

    /// Returns the parts whose blocks have not ended, although some may not have begun.
    fn unexpired_blocks(&self, now: Instant) -> HashSet<PromptPart> {
        self.blocks.iter().filter(|(_, it)| it.until > now).map(|(part, _)| *part).collect()
    }

    /// Returns the strikes that block parts, each with the blocked part only.
    pub fn export_blocking_strikes(&self, now: Instant) -> Vec<CrashStrike> {
        let strikes = self.lost_runs.iter().filter_map(|run| {
            let parts: Vec<PromptPart> = run.suspects.iter().map(|it| it.part).collect();
            let blocked = self.blocked_part(now, &parts)?;
            Some(CrashStrike {
                fingerprint: run.request,
                upstream: run.process.0.clone(),
                incarnation: run.process.1,
                is_prompt: run.is_prompt,
                age_ms: now.saturating_duration_since(run.lost_at).as_millis() as u64,
                parts: vec![blocked],
            })
        });
        strikes.collect()
    }

    /// Removes expired entries; call it periodically.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant, limit| now.saturating_duration_since(at) < limit;
        self.lost_runs.retain(|it| is_recent(it.lost_at, BLOCK_TIME));
        self.proofs.retain(|_, at| is_recent(*at, PART_SOUND_TIME));
        self.struck.retain(|_, at| is_recent(*at, PART_SOUND_TIME));
        self.blocks.retain(|_, it| it.until > now);
    }

    /// Adds a lost run. Returns false if it is known, too old, or has no suspected part.
    fn add_lost_run(&mut self, now: Instant, strike: &CrashStrike) -> bool {
        let age = Duration::from_millis(strike.age_ms);
        let Some(lost_at) = now.checked_sub(age).filter(|_| age < BLOCK_TIME) else {
            return false;
        };
        // The last parts are the most specific ones.
        let skipped = strike.parts.len().saturating_sub(MAX_PARTS_PER_RUN);
        let parts = strike.parts.iter().enumerate().skip(skipped);
        self.struck.extend(parts.clone().map(|(_, part)| (*part, now)));
        let suspects = parts.map(|(depth, part)| SuspectPart { part: *part, depth });
        let suspects: Vec<SuspectPart> =
            suspects.filter(|it| !self.is_sound(it.part, lost_at)).collect();
        let is_known = |run: &LostRun| {
            run.request == strike.fingerprint
                && run.process.0 == strike.upstream
                && run.process.1 == strike.incarnation
        };
        if suspects.is_empty() || self.lost_runs.iter().any(is_known) {
            return false;
        }
        self.make_room();
        self.lost_runs.push(LostRun {
            request: strike.fingerprint,
            process: (strike.upstream.clone(), strike.incarnation),
            suspects,
            is_prompt: strike.is_prompt,
            lost_at,
        });
        true
    }

    /// Finds the parts that the lost runs are blamed on: again and again the part with the most
    /// crashes, of several the one that comes last in its prompts, until no part has enough of
    /// those crashes that are left.
    fn assign_blame(&mut self) {
        self.blocks.clear();
        let mut explained: HashSet<&ProcessKey> = HashSet::new();
        loop {
            let mut evidence: HashMap<PromptPart, PartEvidence<'_>> = HashMap::new();
            for run in self.lost_runs.iter().filter(|it| !explained.contains(&it.process)) {
                for suspect in &run.suspects {
                    evidence.entry(suspect.part).or_default().add(run, suspect.depth);
                }
            }
            let causes = evidence.iter().filter(|(_, it)| it.suffices());
            let cause = causes.max_by_key(|(part, it)| (it.crashes.len(), it.depth, **part));
            let Some((part, evidence)) = cause else {
                return;
            };
            self.blocks.insert(*part, evidence.block(self.proof_delay));
            explained.extend(evidence.crashes.keys());
        }
    }

    /// Returns whether an upstream wrote an answer on the part later than [`PART_SOUND_TIME`]
    /// before the loss.
    fn is_sound(&self, part: PromptPart, lost_at: Instant) -> bool {
        let proven_at = self.proofs.get(&part);
        proven_at.is_some_and(|it| lost_at.saturating_duration_since(*it) < PART_SOUND_TIME)
    }

    /// Returns whether the proof refutes the part as the cause of a known loss.
    fn apply_proof(&mut self, part: PromptPart, proven_at: Instant) -> bool {
        if let Some(last) = self.proofs.get_mut(&part) {
            *last = proven_at.max(*last);
        } else if self.proofs.len() < MAX_SOUND_PARTS {
            self.proofs.insert(part, proven_at);
        }
        let mut is_changed = false;
        for run in &mut self.lost_runs {
            if run.lost_at.saturating_duration_since(proven_at) < PART_SOUND_TIME {
                let before = run.suspects.len();
                run.suspects.retain(|it| it.part != part);
                is_changed |= run.suspects.len() < before;
            }
        }
        if is_changed {
            self.lost_runs.retain(|it| !it.suspects.is_empty());
        }
        is_changed
    }

    /// Drops the oldest lost run if there are too many, if possible one that blocks no part.
    fn make_room(&mut self) {
        if self.lost_runs.len() < MAX_LOST_RUNS {
            return;
        }
        let blocks = &self.blocks;
        let is_blocking =
            |run: &LostRun| run.suspects.iter().any(|it| blocks.contains_key(&it.part));
        let oldest = self.lost_runs.iter().position(|it| !is_blocking(it)).unwrap_or(0);
        self.lost_runs.remove(oldest);
    }
}
