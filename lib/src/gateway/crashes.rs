//! Detects requests that crash the upstreams that run them (queries of death), across all hosts.
//!
//! A request that was lost with its connection gets a strike once the upstream refuses a
//! connection. An upstream that resets connections, or is behind a partition, leads to no strike.
//! Strikes, clearances and proofs are sent with the digests; the [`CrashRegister`] decides which
//! requests are no longer sent, and the [`PartRegister`] which parts of prompts.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;

use super::upstreams::UpstreamProcess;
use crate::{
    names::UpstreamName,
    quarantine::{
        CrashClearance, CrashRegister, CrashStrike, CrashVerdict, InterruptedRun, PartProof,
        PartRegister, PromptPart, RequestFingerprint,
    },
};

/// Age up to which hosts forward strikes and clearances. With a digest every half second, they
/// reach all hosts within that time.
const MAX_FORWARD_AGE: Duration = Duration::from_secs(3);

/// Largest number of recent strikes in a message. The loss of a data centre leads to some hundred
/// strikes at once, not all of which are sent; a request that crashes one upstream after the other
/// gets a new strike with each.
const MAX_SENT_STRIKES: usize = 16;

/// Largest number of strikes of blocked requests and parts in a message, chosen at random. Hosts
/// that were not reached while these strikes were recent receive them in one of the next messages.
const MAX_SENT_BLOCKING_STRIKES: usize = 16;

/// Largest number of clearances in a message.
const MAX_SENT_CLEARANCES: usize = 16;

/// Largest number of proofs in a message, chosen at random.
const MAX_SENT_PROOFS: usize = 64;

/// Time within which a connection has to be refused for a lost request to get a strike.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);

/// A request at an upstream that was lost with its connection.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<PromptPart>,
    /// When it was sent.
    pub dispatched: Instant,
    /// Whether the response had begun.
    pub has_response: bool,
}

/// Detects requests that crash upstreams, from the losses of one host and the strikes of others.
#[derive(Debug, Default)]
pub struct CrashDetector {
    register: CrashRegister,
    parts: PartRegister,
    /// Recent losses whose upstream may have crashed, each with its time.
    pending_losses: HashMap<UpstreamProcess, Vec<(Instant, LostAttempt)>>,
    /// Upstreams that refuse connections.
    refusing: HashSet<UpstreamProcess>,
    /// Recent strikes of this host and others, each with its time.
    recent_strikes: Vec<(Instant, CrashStrike)>,
    /// Recent clearances of this host and others, each with its time.
    recent_clearances: Vec<(Instant, CrashClearance)>,
    /// Whether there is a strike that other hosts may not know.
    has_news: bool,
}

impl CrashDetector {
    /// Returns whether no request has a strike; a check needs no fingerprint then.
    pub fn is_empty(&self) -> bool {
        self.register.is_empty()
    }

    /// Decides whether a request may be sent.
    pub fn check(&self, now: Instant, fingerprint: RequestFingerprint) -> CrashVerdict {
        self.register.check(now, fingerprint)
    }

    /// Returns the first part of a prompt that is blocked.
    pub fn blocked_part(&self, now: Instant, parts: &[PromptPart]) -> Option<PromptPart> {
        self.parts.blocked_part(now, parts)
    }

    /// Sets the number of hosts that exchange strikes and proofs.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.parts.set_host_count(hosts);
    }

    /// Records that an upstream wrote an answer on the parts of a prompt.
    pub fn record_proof(&mut self, now: Instant, parts: &[PromptPart]) {
        self.parts.record_proof(now, parts);
    }

    /// Records a request that was lost with its connection. It gets a strike if the upstream
    /// refuses connections, now or soon.
    pub fn record_loss(&mut self, now: Instant, process: &UpstreamProcess, attempt: LostAttempt) {
        self.pending_losses.entry(process.clone()).or_default().push((now, attempt));
        if self.refusing.contains(process) {
            self.record_refused_connection(now, process);
        }
    }

    /// Records that an upstream refuses connections: each request that was lost at it recently gets
    /// a strike.
    pub fn record_refused_connection(&mut self, now: Instant, process: &UpstreamProcess) {
        self.refusing.insert(process.clone());
        for (lost_at, attempt) in self.pending_losses.remove(process).unwrap_or_default() {
            if now.saturating_duration_since(lost_at) >= REFUSAL_WINDOW {
                continue;
            }
            let run = InterruptedRun {
                upstream: &process.upstream,
                incarnation: process.incarnation,
                dispatched: attempt.dispatched,
                has_response: attempt.has_response,
                parts: &attempt.parts,
            };
            let Some(strike) = self.register.record_loss(lost_at, attempt.fingerprint, &run) else {
                continue;
            };
            tracing::warn!(
                fingerprint = %strike.fingerprint,
                parts = %PartList(&attempt.parts),
                upstream = %process.upstream,
                is_prompt = strike.is_prompt,
                has_response = attempt.has_response,
                requests = self.register.len(),
                "request_struck"
            );
            self.log_if_blocked(now, strike.fingerprint);
            self.merge_part_strikes(lost_at, std::slice::from_ref(&strike));
            self.recent_strikes.push((lost_at, strike));
            self.has_news = true;
        }
    }

    /// Records that an upstream accepts connections: the requests lost at it did not crash it.
    pub fn record_accepted_connection(&mut self, process: &UpstreamProcess) {
        self.refusing.remove(process);
        self.pending_losses.remove(process);
    }

    /// Records that a request completed: its strikes no longer count.
    pub fn record_completion(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamName,
    ) {
        if let Some(clearance) = self.register.record_completion(now, fingerprint, upstream) {
            tracing::info!(%fingerprint, %upstream, "strikes_cleared");
            self.forward_clearance(now, clearance);
        }
    }

    fn forward_clearance(&mut self, completed_at: Instant, clearance: CrashClearance) {
        self.recent_strikes.retain(|(_, it)| it.fingerprint != clearance.fingerprint);
        self.recent_clearances.push((completed_at, clearance));
    }

    /// Returns whether a strike was recorded or received since the last call, which is to be sent to
    /// other hosts at once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns the strikes to send to another host: the last recorded ones, first those with a part
    /// that may be the cause, and some of those that block requests or parts.
    pub fn strikes_to_send(&self, now: Instant) -> Vec<CrashStrike> {
        let recent = self.recent_strikes.iter().rev();
        let (suspects, others): (Vec<_>, Vec<_>) =
            recent.partition(|(_, it)| self.parts.has_suspect(&it.parts));
        let recent = suspects.into_iter().chain(others).take(MAX_SENT_STRIKES);
        let recent = recent.map(|(lost_at, strike)| CrashStrike {
            age_ms: age_ms(now, *lost_at),
            ..strike.clone()
        });
        let blocking = self.register.export_blocking_strikes(now).into_iter();
        let blocking = blocking.chain(self.parts.export_blocking_strikes(now));
        let blocking = blocking.choose_multiple(&mut rand::rng(), MAX_SENT_BLOCKING_STRIKES);
        recent.chain(blocking).collect()
    }

    /// Returns the clearances to send to another host, the last recorded ones first.
    pub fn clearances_to_send(&self, now: Instant) -> Vec<CrashClearance> {
        let recent = self.recent_clearances.iter().rev().take(MAX_SENT_CLEARANCES);
        let recent = recent.map(|(completed_at, clearance)| CrashClearance {
            age_ms: age_ms(now, *completed_at),
            ..clearance.clone()
        });
        recent.collect()
    }

    /// Merges the strikes of another host.
    pub fn merge_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) {
        for strike in strikes {
            let lost_at = instant_of(now, strike.age_ms);
            if now.saturating_duration_since(lost_at) < MAX_FORWARD_AGE {
                let is_known = self.recent_strikes.iter().any(|(_, it)| {
                    (it.fingerprint, &it.upstream, it.incarnation)
                        == (strike.fingerprint, &strike.upstream, strike.incarnation)
                });
                if is_known {
                    continue;
                }
                self.recent_strikes.push((lost_at, strike.clone()));
                self.has_news = true;
            }
            let was_blocked = self.is_blocked(now, strike.fingerprint);
            self.register.merge_strike(now, strike);
            if !was_blocked {
                self.log_if_blocked(now, strike.fingerprint);
            }
        }
        self.merge_part_strikes(now, strikes);
    }

    /// Merges strikes into the register of parts, and logs the parts that they block.
    fn merge_part_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) {
        for part in self.parts.merge_strikes(now, strikes) {
            tracing::warn!(%part, "part_blocked");
        }
    }

    /// Returns the proofs of suspected parts to send to another host.
    pub fn proofs_to_send(&self, now: Instant) -> Vec<PartProof> {
        let proofs = self.parts.proofs_to_send(now).into_iter();
        proofs.choose_multiple(&mut rand::rng(), MAX_SENT_PROOFS)
    }

    /// Merges the proofs of another host.
    pub fn merge_proofs(&mut self, now: Instant, proofs: &[PartProof]) {
        self.parts.merge_proofs(now, proofs);
    }

    /// Merges the clearances of another host.
    pub fn merge_clearances(&mut self, now: Instant, clearances: &[CrashClearance]) {
        for clearance in clearances {
            let completed_at = instant_of(now, clearance.age_ms);
            let is_known = self
                .recent_clearances
                .iter()
                .any(|(_, it)| it.fingerprint == clearance.fingerprint);
            if !is_known && now.saturating_duration_since(completed_at) < MAX_FORWARD_AGE {
                self.register.merge_clearance(now, clearance);
                self.forward_clearance(completed_at, clearance.clone());
            }
        }
    }

    fn is_blocked(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        matches!(self.register.check(now, fingerprint), CrashVerdict::Blocked { .. })
    }

    /// Logs that a strike blocks its request on this host.
    fn log_if_blocked(&self, now: Instant, fingerprint: RequestFingerprint) {
        if let CrashVerdict::Blocked { remaining } = self.register.check(now, fingerprint) {
            let remaining_ms = remaining.as_millis() as u64;
            tracing::warn!(%fingerprint, remaining_ms, "request_blocked");
        }
    }

    /// Drops expired strikes and losses; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |lost_at: Instant, limit| now.saturating_duration_since(lost_at) < limit;
        self.register.expire(now);
        self.parts.expire(now);
        self.recent_strikes.retain(|(lost_at, _)| is_recent(*lost_at, MAX_FORWARD_AGE));
        self.recent_clearances.retain(|(at, _)| is_recent(*at, MAX_FORWARD_AGE));
        self.pending_losses.retain(|_, losses| {
            losses.retain(|(lost_at, _)| is_recent(*lost_at, REFUSAL_WINDOW));
            !losses.is_empty()
        });
    }

    /// Forgets that an upstream refused connections, once it is no longer published.
    pub fn forget_upstream(&mut self, process: &UpstreamProcess) {
        self.refusing.remove(process);
    }
}

/// The parts of a prompt as a value of a log line, separated by commas.
struct PartList<'a>(&'a [PromptPart]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// Returns the age of an event for a message.
fn age_ms(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// Returns the time of an event from its age in a message.
fn instant_of(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}
