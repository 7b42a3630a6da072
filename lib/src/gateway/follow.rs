//! Keeps the entries up to date: from the platform, from a relay of the data centre, and from any
//! host that knows more.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    feed::{EntrySource, SourceError},
    fleet::{FleetChange, Gateway},
    members::MemberRecord,
    peers::PeerClient,
};

/// Pause after a call that failed; doubled up to [`MAX_PAUSE`] while calls fail.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause while the platform does not answer.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest wait of one watch. An answer can be lost without a sign, so this bounds how old a belief
/// is.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// The same where other hosts depend on this one.
const RELAY_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait for a change at a relay.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_000);

/// Age of a relay's last answer from the platform from which it is not relied on: its longest wait
/// and gathering, with time for a slow call.
const RELAY_STALE: Duration = Duration::from_millis(2_200);

/// Follows the entries until the process ends.
///
/// `gather` is the shortest time between two watches. Each one ends at the first change and every
/// call counts, so changes in quick succession are read together.
pub async fn follow_entries(gateway: Rc<Gateway>, source: Box<dyn EntrySource>, gather: Duration) {
    tokio::join!(follow_source(gateway.clone(), source, gather), follow_elsewhere(gateway));
}

/// Follows the relays of other data centres while nothing else answers this host.
///
/// If a data centre's relays cannot reach the platform, the hosts that depend on them learn of
/// changes this way without waiting for the next digest from elsewhere.
async fn follow_elsewhere(gateway: Rc<Gateway>) {
    let mut source_unavailable = gateway.source_unavailable.subscribe();
    let mut relay: Option<PeerClient> = None;
    loop {
        if !*source_unavailable.borrow_and_update() {
            relay = None;
            // The gateway holds the sender.
            let _ = source_unavailable.wait_for(|it| *it).await;
        }
        let Some(member) = gateway.far_relay(relay.as_ref().map(PeerClient::address)) else {
            sleep(MAX_PAUSE).await;
            continue;
        };
        let client = client_of(&mut relay, &member);
        if !gateway.ask_relay(client, &member).await {
            sleep(MIN_PAUSE).await;
        }
    }
}

/// Returns the client of a relay, with a kept connection if it was asked before.
fn client_of<'a>(client: &'a mut Option<PeerClient>, relay: &MemberRecord) -> &'a mut PeerClient {
    let kept = client.take().filter(|it| it.address() == relay.address);
    client.insert(kept.unwrap_or_else(|| {
        tracing::info!(relay = %relay.host, address = %relay.address, "relay_chosen");
        PeerClient::new(relay.address)
    }))
}

async fn follow_source(gateway: Rc<Gateway>, mut source: Box<dyn EntrySource>, gather: Duration) {
    let mut follower = EntryFollower { gateway, is_lost: false, needs_all: true };
    let mut relay: Option<PeerClient> = None;
    let mut pause = MIN_PAUSE;
    loop {
        let called = Instant::now();
        if let Some(member) = follower.relay() {
            let client = client_of(&mut relay, &member);
            if follower.gateway.ask_relay(client, &member).await {
                follower.is_lost = false;
                follower.gateway.source_unavailable.send_replace(false);
            }
            continue;
        }
        relay = None;
        match follower.read(&mut *source).await {
            Ok(()) => {
                pause = MIN_PAUSE;
                if !std::mem::take(&mut follower.is_lost) {
                    sleep_until(called + gather).await;
                }
            }
            Err(SourceError::HistoryLost) => {
                tracing::info!(revision = follower.gateway.revision(), "source_history_lost");
                follower.needs_all = true;
            }
            Err(error) => {
                let (revision, pause_ms) = (follower.gateway.revision(), pause.as_millis() as u64);
                tracing::warn!(%error, revision, pause_ms, "source_failed");
                follower.is_lost = true;
                follower.gateway.apply(FleetChange::SourceFailed);
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

struct EntryFollower {
    gateway: Rc<Gateway>,
    /// Whether the last call to the platform failed.
    is_lost: bool,
    /// Whether changes since the own revision cannot be asked for.
    needs_all: bool,
}

impl EntryFollower {
    /// Returns the relay to ask; none if this host reads the platform itself.
    fn relay(&self) -> Option<MemberRecord> {
        let now = self.gateway.now();
        let has_entries = self.gateway.revision() > 0;
        let state = self.gateway.state.borrow();
        state.members.relays(now).first().filter(|_| has_entries).map(|it| (*it).clone())
    }

    async fn read(&mut self, source: &mut dyn EntrySource) -> Result<(), SourceError> {
        let revision = self.gateway.revision();
        let change = if self.needs_all || revision == 0 {
            source.read_all().await?
        } else {
            source.watch(revision, self.wait()).await?
        };
        self.needs_all = false;
        // Before the changes, because an absence means less soon after an outage.
        self.gateway.apply(FleetChange::SourceResponded);
        if !self.gateway.take_entries(&change, "platform") {
            self.needs_all = true;
        }
        Ok(())
    }

    fn wait(&self) -> Duration {
        let now = self.gateway.now();
        if self.is_lost {
            // Until the first answer after a failure the platform counts as lost.
            Duration::ZERO
        } else if self.gateway.state.borrow().members.has_followers(now) {
            RELAY_WATCH_WAIT
        } else {
            WATCH_WAIT
        }
    }
}

impl Gateway {
    /// Returns a relay of another data centre: the one at `current` while it may be asked.
    fn far_relay(&self, current: Option<SocketAddr>) -> Option<MemberRecord> {
        let now = self.now();
        let state = self.state.borrow();
        let relays = state.members.remote_relays(now);
        let kept = relays.iter().find(|it| Some(it.address) == current);
        kept.or_else(|| relays.iter().choose(&mut rand::rng())).map(|it| (*it).clone())
    }

    /// Asks a relay for changes; returns false and no longer relies on it if it has nothing recent to
    /// say.
    async fn ask_relay(&self, client: &mut PeerClient, relay: &MemberRecord) -> bool {
        let revision = self.revision();
        let reason = match client.changes(revision, FOLLOW_WAIT).await {
            Ok(reply) => {
                let age = reply.answered_age();
                let is_recent = age.is_some_and(|it| it < RELAY_STALE);
                if is_recent && self.take_reply(reply, &relay.host) {
                    return true;
                }
                format!("no usable changes, or no answer of the platform for {age:?}")
            }
            Err(error) => error.to_string(),
        };
        tracing::warn!(relay = %relay.host, revision, reason, "relay_failed");
        self.state.borrow_mut().members.record_relay_failure(self.now(), &relay.host);
        false
    }
}
