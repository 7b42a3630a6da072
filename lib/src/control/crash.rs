//! Requests that broke upstreams: strikes, and telling the other hosts of them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{command::ReplySender, message::PeerRequest, state::ControlState};
use crate::{
    membership::HostRecord,
    names::UpstreamName,
    peer::PeerCall,
    quarantine::{CrashClearance, CrashStrike, InterruptedRun, RequestFingerprint},
};

/// Longest time for which the failure of a request is held back until all peers know the strike.
const STRIKE_WAIT: Duration = Duration::from_millis(250);

/// Strikes sent to a process that starts, in one message.
const MAX_EXPORT: usize = 4_096;

/// A strike on its way to the peers; the worker that reported the loss waits for its end.
struct StrikeBroadcast {
    pending: usize,
    since: Instant,
    reply: Option<ReplySender<()>>,
}

/// The strikes on their way, by number.
#[derive(Default)]
pub(super) struct StrikeBroadcasts {
    next: u64,
    broadcasts: HashMap<u64, StrikeBroadcast>,
}

impl StrikeBroadcasts {
    fn add(&mut self, now: Instant, pending: usize, reply: Option<ReplySender<()>>) -> u64 {
        self.next += 1;
        self.broadcasts.insert(self.next, StrikeBroadcast { pending, since: now, reply });
        self.next
    }

    /// Counts the end of one call.
    pub(super) fn step(&mut self, number: u64) {
        if let Some(broadcast) = self.broadcasts.get_mut(&number) {
            broadcast.pending = broadcast.pending.saturating_sub(1);
            if broadcast.pending == 0 {
                self.end(number);
            }
        }
    }

    /// Ends the waits that took too long.
    pub(super) fn expire(&mut self, now: Instant) {
        let late: Vec<u64> = self
            .broadcasts
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.since) >= STRIKE_WAIT)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.end(number);
        }
    }

    fn end(&mut self, number: u64) {
        if let Some(reply) = self.broadcasts.remove(&number).and_then(|it| it.reply) {
            let _ = reply.send(());
        }
    }
}

impl ControlState {
    /// Notes a request that was lost with its upstream; `reply` is sent when the peers know.
    pub(super) fn request_broke(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        run: &InterruptedRun<'_>,
        reply: Option<ReplySender<()>>,
    ) {
        let strike = self.crashes.record_loss(now, fingerprint, run);
        tracing::warn!(upstream = %run.upstream, is_prompt = strike.is_prompt, "crash_strike");
        let peers: Vec<HostRecord> = self.other_hosts().cloned().collect();
        if peers.is_empty() {
            if let Some(reply) = reply {
                let _ = reply.send(());
            }
            return;
        }
        let number = self.broadcasts.add(now, peers.len(), reply);
        for peer in &peers {
            let request = PeerRequest::Strikes { number, strikes: vec![strike.clone()] };
            let call =
                PeerCall { address: peer.address, request, timeout: STRIKE_WAIT, submitted: now };
            self.caller.submit(call);
        }
    }

    /// Notes a request that completed; a suspect is cleared everywhere.
    pub(super) fn request_completed(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamName,
    ) {
        if let Some(clearance) = self.crashes.record_completion(now, fingerprint, upstream) {
            let peers: Vec<HostRecord> = self.other_hosts().cloned().collect();
            for peer in &peers {
                self.notify(now, peer, PeerRequest::Cleared(clearance.clone()));
            }
        }
    }

    pub(super) fn merge_strikes(&mut self, now: Instant, strikes: &[CrashStrike]) {
        for strike in strikes {
            self.crashes.merge_strike(now, strike);
        }
    }

    pub(super) fn merge_clearance(&mut self, now: Instant, clearance: &CrashClearance) {
        self.crashes.merge_clearance(now, clearance);
    }

    pub(super) fn export_strikes(&self, now: Instant) -> Vec<CrashStrike> {
        let mut strikes = self.crashes.export_strikes(now);
        strikes.truncate(MAX_EXPORT);
        strikes
    }
}
