//! Register of strikes against requests.

use std::{
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    BLOCK_TIME, MAX_REGISTERED_REQUESTS, MAX_REMEMBERED_COMPLETIONS, MAX_STRIKES_PER_REQUEST,
    PROMPT_LOSS_WINDOW, PromptPart, SOUND_TIME, WEAK_BLOCK_TIME,
};
use crate::names::{TeamName, UpstreamName};

/// Identifies a request by team and body: the first 128 bits of a SHA-256 hash.
///
/// A non-cryptographic hash is not enough: a team could build a body whose hash collides with that
/// of another team. A check can skip the hash while [`CrashRegister::is_empty`] is true.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a team's request.
    pub fn of(team: &TeamName, body: &[u8]) -> Self {
        Self::of_parts(team, &[body])
    }

    /// Computes the fingerprint of a request whose body consists of `parts`, without a copy of it.
    pub fn of_parts(team: &TeamName, parts: &[&[u8]]) -> Self {
        let start = Sha256::new()
            .chain_update((team.as_str().len() as u64).to_be_bytes())
            .chain_update(team.as_str());
        let hash = parts.iter().fold(start, |hash, part| hash.chain_update(part)).finalize();
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash[..16]);
        Self(fingerprint)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A run of a request that ended with the loss of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRun<'a> {
    /// The lost upstream.
    pub upstream: &'a UpstreamName,
    /// Its incarnation before the loss, 0 if not known. An upstream that restarts and is lost again
    /// counts as a distinct upstream.
    pub incarnation: u64,
    /// When the request was sent.
    pub dispatched: Instant,
    /// Whether the response had begun.
    pub has_response: bool,
    /// The parts of the prompt that other requests may share, in order; empty if not known.
    pub parts: &'a [PromptPart],
}

/// A strike against a request; also the message to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashStrike {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The lost upstream.
    pub upstream: UpstreamName,
    /// Its incarnation before the loss, 0 if not known.
    pub incarnation: u64,
    /// Whether the strike is strong evidence: the upstream was lost before the response began, or
    /// within [`PROMPT_LOSS_WINDOW`] after dispatch.
    pub is_prompt: bool,
    /// Time since the loss, in milliseconds.
    pub age_ms: u64,
    /// The parts of the prompt that may be the cause, in order; for the [`PartRegister`].
    ///
    /// [`PartRegister`]: super::PartRegister
    pub parts: Vec<PromptPart>,
}

/// Strikes that no longer count because the request completed on another upstream; sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashClearance {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Upstream and incarnation of each strike that no longer counts.
    pub cleared: Vec<(UpstreamName, u64)>,
    /// Time since the completion, in milliseconds.
    pub age_ms: u64,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No strike counts against the request.
    Clear,
    /// The request has strikes; it may be sent after [`CrashRegister::reserve_trial`].
    Suspect,
    /// The request is refused without being sent, with the outcome `not_run`.
    Blocked {
        /// Time until it may be sent again.
        remaining: Duration,
    },
}

#[derive(Clone, Debug)]
struct StrikeRecord {
    upstream: UpstreamName,
    incarnation: u64,
    is_prompt: bool,
    lost_at: Instant,
}

impl StrikeRecord {
    fn matches(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        self.upstream == *upstream && self.incarnation == incarnation
    }
}

/// Strikes against one request, oldest first.
#[derive(Clone, Debug, Default)]
struct StrikeList {
    strikes: Vec<StrikeRecord>,
}

impl StrikeList {
    /// Adds a strike, and removes those that are [`BLOCK_TIME`] older than the newest one.
    fn add(&mut self, strike: StrikeRecord) {
        let mut strikes = self.strikes.iter_mut();
        match strikes.find(|it| it.matches(&strike.upstream, strike.incarnation)) {
            // A duplicate message must not extend the block.
            Some(known) => {
                known.lost_at = known.lost_at.min(strike.lost_at);
                known.is_prompt |= strike.is_prompt;
            }
            None => self.strikes.push(strike),
        }
        self.strikes.sort_by_key(|it| it.lost_at);
        if let Some(newest) = self.newest_loss() {
            self.strikes.retain(|it| newest.saturating_duration_since(it.lost_at) < BLOCK_TIME);
        }
        self.strikes.truncate(MAX_STRIKES_PER_REQUEST);
    }

    fn newest_loss(&self) -> Option<Instant> {
        self.strikes.last().map(|it| it.lost_at)
    }

    /// Returns the end of the block. The second prompt strike and the third strike of any kind
    /// block for [`BLOCK_TIME`], a second strike otherwise for [`WEAK_BLOCK_TIME`].
    fn blocked_until(&self) -> Option<Instant> {
        let second_prompt = self.strikes.iter().filter(|it| it.is_prompt).nth(1);
        let long_blocks = [second_prompt, self.strikes.get(2)];
        let long_blocks = long_blocks.into_iter().flatten().map(|it| it.lost_at + BLOCK_TIME);
        let short_block = self.strikes.get(1).map(|it| it.lost_at + WEAK_BLOCK_TIME);
        long_blocks.chain(short_block).max()
    }

    fn export(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = CrashStrike> {
        self.strikes.iter().map(move |it| CrashStrike {
            fingerprint,
            upstream: it.upstream.clone(),
            incarnation: it.incarnation,
            is_prompt: it.is_prompt,
            age_ms: now.saturating_duration_since(it.lost_at).as_millis() as u64,
            parts: Vec::new(),
        })
    }

    fn is_expired(&self, now: Instant) -> bool {
        let newest = self.newest_loss();
        newest.is_none_or(|it| now.saturating_duration_since(it) >= BLOCK_TIME)
    }
}

/// Strikes known to one process, and the suspects that it runs.
#[derive(Debug, Default)]
pub struct CrashRegister {
    entries: HashMap<RequestFingerprint, StrikeList>,
    /// When requests last completed on this host, within [`SOUND_TIME`].
    completions: HashMap<RequestFingerprint, Instant>,
    /// Running suspects of this host, by upstream.
    trials: HashMap<UpstreamName, RequestFingerprint>,
}

impl CrashRegister {
    /// Creates a register without strikes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no request has a strike.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests with strikes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Decides whether a request may be sent; call it directly before each dispatch.
    pub fn check(&self, now: Instant, fingerprint: RequestFingerprint) -> CrashVerdict {
        let list = self.entries.get(&fingerprint);
        let Some(list) = list.filter(|it| !it.is_expired(now)) else {
            return CrashVerdict::Clear;
        };
        match list.blocked_until().filter(|it| *it > now) {
            Some(until) => CrashVerdict::Blocked { remaining: until - now },
            None => CrashVerdict::Suspect,
        }
    }

    /// Reserves an upstream for a suspect.
    ///
    /// Returns false if this host already runs another suspect on the upstream, or this one on any
    /// upstream. Then the caller tries another upstream or queues the request.
    pub fn reserve_trial(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamName,
    ) -> bool {
        if self.trials.contains_key(upstream) || self.trials.values().any(|it| *it == fingerprint) {
            return false;
        }
        self.trials.insert(upstream.clone(), fingerprint);
        true
    }

    /// Records that a request completed, and clears its strikes if it is a suspect.
    ///
    /// Returns the clearance for the peers. A request that was blocked in the meantime stays
    /// blocked.
    pub fn record_completion(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamName,
    ) -> Option<CrashClearance> {
        self.release_trial(fingerprint, upstream);
        self.remember_completion(now, fingerprint);
        if self.check(now, fingerprint) != CrashVerdict::Suspect {
            return None;
        }
        let strikes = self.entries.remove(&fingerprint)?.strikes.into_iter();
        Some(CrashClearance {
            fingerprint,
            cleared: strikes.map(|it| (it.upstream, it.incarnation)).collect(),
            age_ms: 0,
        })
    }

    /// Releases a suspect's reservation without a result: the request was not sent, was cancelled
    /// by its caller, or failed while the upstream kept running.
    pub fn release_trial(&mut self, fingerprint: RequestFingerprint, upstream: &UpstreamName) {
        if self.trials.get(upstream) == Some(&fingerprint) {
            self.trials.remove(upstream);
        }
    }

    /// Remembers a completion, unless too many others are remembered.
    fn remember_completion(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        if self.completions.len() >= MAX_REMEMBERED_COMPLETIONS {
            self.expire_completions(now);
        }
        if let Some(last) = self.completions.get_mut(&fingerprint) {
            *last = now.max(*last);
        } else if self.completions.len() < MAX_REMEMBERED_COMPLETIONS {
            self.completions.insert(fingerprint, now);
        }
    }

    fn expire_completions(&mut self, now: Instant) {
        self.completions.retain(|_, at| now.saturating_duration_since(*at) < SOUND_TIME);
    }

    /// Returns whether the request completed later than [`SOUND_TIME`] before the loss.
    fn is_sound(&self, fingerprint: RequestFingerprint, lost_at: Instant) -> bool {
        let completed_at = self.completions.get(&fingerprint);
        completed_at.is_some_and(|it| lost_at.saturating_duration_since(*it) < SOUND_TIME)
    }

    /// Records that a request was lost with its upstream. Returns the strike, or none if the
    /// request completed shortly before.
    ///
    /// The strike has to reach the peers before the caller gets the failure or the request is sent
    /// to another upstream.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        run: &InterruptedRun<'_>,
    ) -> Option<CrashStrike> {
        self.release_trial(fingerprint, run.upstream);
        if self.is_sound(fingerprint, now) {
            return None;
        }
        let elapsed = now.saturating_duration_since(run.dispatched);
        let strike = CrashStrike {
            fingerprint,
            upstream: run.upstream.clone(),
            incarnation: run.incarnation,
            is_prompt: !run.has_response || elapsed <= PROMPT_LOSS_WINDOW,
            age_ms: 0,
            parts: run.parts.to_vec(),
        };
        self.merge_strike(now, &strike);
        Some(strike)
    }

    /// Merges a strike from a peer, unless the request completed here shortly before the loss. The
    /// order and duplicates of messages do not matter.
    pub fn merge_strike(&mut self, now: Instant, strike: &CrashStrike) {
        let age = Duration::from_millis(strike.age_ms);
        let Some(lost_at) = now.checked_sub(age).filter(|_| age < BLOCK_TIME) else {
            return;
        };
        if self.is_sound(strike.fingerprint, lost_at) {
            return;
        }
        if self.entries.len() >= MAX_REGISTERED_REQUESTS
            && !self.entries.contains_key(&strike.fingerprint)
        {
            self.evict(now);
        }
        let list = self.entries.entry(strike.fingerprint).or_default();
        list.add(StrikeRecord {
            upstream: strike.upstream.clone(),
            incarnation: strike.incarnation,
            is_prompt: strike.is_prompt,
            lost_at,
        });
    }

    /// Merges a clearance from a peer; its completion counts like one of this host.
    pub fn merge_clearance(&mut self, now: Instant, clearance: &CrashClearance) {
        if let Some(completed_at) = now.checked_sub(Duration::from_millis(clearance.age_ms)) {
            self.remember_completion(completed_at, clearance.fingerprint);
        }
        if self.check(now, clearance.fingerprint) != CrashVerdict::Suspect {
            return;
        }
        if let Some(list) = self.entries.get_mut(&clearance.fingerprint) {
            list.strikes.retain(|strike| {
                let mut cleared = clearance.cleared.iter();
                !cleared.any(|(upstream, incarnation)| strike.matches(upstream, *incarnation))
            });
            if list.strikes.is_empty() {
                self.entries.remove(&clearance.fingerprint);
            }
        }
    }

    /// Returns all live strikes, which a starting process merges one by one.
    pub fn export_strikes(&self, now: Instant) -> Vec<CrashStrike> {
        let entries = self.entries.iter();
        let live = entries.filter(|(_, list)| !list.is_expired(now));
        live.flat_map(|(fingerprint, list)| list.export(now, *fingerprint)).collect()
    }

    /// Returns the strikes of the requests that are blocked.
    pub fn export_blocking_strikes(&self, now: Instant) -> Vec<CrashStrike> {
        let entries = self.entries.iter();
        let blocked = entries.filter(|(_, list)| list.blocked_until().is_some_and(|it| it > now));
        blocked.flat_map(|(fingerprint, list)| list.export(now, *fingerprint)).collect()
    }

    /// Removes expired entries; call it periodically.
    pub fn expire(&mut self, now: Instant) {
        self.expire_completions(now);
        self.entries.retain(|_, list| !list.is_expired(now));
    }

    /// Removes expired entries; if none has expired, the oldest suspect, or else the oldest entry.
    fn evict(&mut self, now: Instant) {
        self.expire(now);
        if self.entries.len() < MAX_REGISTERED_REQUESTS {
            return;
        }
        // A burst of single strikes must not evict the requests that are blocked.
        let oldest = self.entries.iter().min_by_key(|(fingerprint, list)| {
            let is_blocked = list.blocked_until().is_some_and(|it| it > now);
            (is_blocked, list.newest_loss(), **fingerprint)
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
