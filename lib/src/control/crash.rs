//! Strikes of requests that may have crashed upstreams, and their broadcast to the other hosts.

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

/// Longest time for which the failure of a request is withheld from its caller until all peers have
/// received the strike. A retry through another host would otherwise crash a further upstream.
const STRIKE_BROADCAST_TIMEOUT: Duration = Duration::from_millis(250);

/// Upper bound of the strikes in the reply to a process that starts.
const MAX_EXPORTED_STRIKES: usize = 4_096;

/// The broadcast of a strike, for whose end the worker that reported the loss waits.
struct StrikeBroadcast {
    /// Peers that have not replied.
    pending: usize,
    since: Instant,
    reply: Option<ReplySender<()>>,
}

/// The broadcasts that have not ended, by number.
#[derive(Default)]
pub(super) struct StrikeBroadcasts {
    next: u64,
    broadcasts: HashMap<u64, StrikeBroadcast>,
}

impl StrikeBroadcasts {
    fn start(&mut self, now: Instant, pending: usize, reply: Option<ReplySender<()>>) -> u64 {
        self.next += 1;
        self.broadcasts.insert(self.next, StrikeBroadcast { pending, since: now, reply });
        self.next
    }

    /// Counts the reply of a peer or the failure of the call to it.
    pub(super) fn count_reply(&mut self, number: u64) {
        if let Some(broadcast) = self.broadcasts.get_mut(&number) {
            broadcast.pending = broadcast.pending.saturating_sub(1);
            if broadcast.pending == 0 {
                self.end(number);
            }
        }
    }

    /// Ends the broadcasts that took too long.
    pub(super) fn expire(&mut self, now: Instant) {
        let late: Vec<u64> = self
            .broadcasts
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.since) >= STRIKE_BROADCAST_TIMEOUT)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.end(number);
        }
    }

    fn end(&mut self, number: u64) {
        send_reply(self.broadcasts.remove(&number).and_then(|it| it.reply));
    }
}

/// Ends the wait of the worker that reported a loss, if it still waits.
fn send_reply(reply: Option<ReplySender<()>>) {
    if let Some(reply) = reply {
        let _ = reply.send(());
    }
}

impl ControlState {
    /// Records a strike against a request whose upstream was lost, and broadcasts it. There is none
    /// if the request completed shortly before.
    ///
    /// `reply` is sent when all peers have replied, or after a timeout.
    pub(super) fn record_strike(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        run: &InterruptedRun<'_>,
        reply: Option<ReplySender<()>>,
    ) {
        let Some(strike) = self.crashes.record_loss(now, fingerprint, run) else {
            return send_reply(reply);
        };
        tracing::warn!(upstream = %run.upstream, is_prompt = strike.is_prompt, "crash_strike");
        let peers: Vec<HostRecord> = self.other_hosts().cloned().collect();
        if peers.is_empty() {
            return send_reply(reply);
        }
        let number = self.broadcasts.start(now, peers.len(), reply);
        for peer in &peers {
            let request = PeerRequest::Strikes { number, strikes: vec![strike.clone()] };
            let call = PeerCall {
                address: peer.address,
                request,
                timeout: STRIKE_BROADCAST_TIMEOUT,
                submitted: now,
            };
            self.caller.submit(call);
        }
    }

    /// Records that a request completed; if it had strikes that this clears, notifies the peers.
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
        strikes.truncate(MAX_EXPORTED_STRIKES);
        strikes
    }
}
