//! Keeps the entries up to date: from the platform, from a relay of the data centre, and from any
//! host that knows more.

use std::{rc::Rc, time::Duration};

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
pub async fn follow_entries(
    gateway: Rc<Gateway>,
    mut source: Box<dyn EntrySource>,
    gather: Duration,
) {
    let mut follower = EntryFollower { gateway, is_lost: false, needs_all: true };
    let mut relay: Option<PeerClient> = None;
    let mut pause = MIN_PAUSE;
    loop {
        let called = Instant::now();
        if let Some(member) = follower.relay() {
            let is_same = relay.as_ref().is_some_and(|it| it.address() == member.address);
            if !is_same {
                tracing::info!(relay = %member.host, address = %member.address, "relay_chosen");
            }
            let client = match &mut relay {
                Some(client) if is_same => client,
                other => other.insert(PeerClient::new(member.address)),
            };
            follower.ask(client, &member).await;
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
                follower.gateway.apply(FleetChange::SourceLost);
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
        self.gateway.apply(FleetChange::SourceAnswered);
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

    /// Asks a relay for changes, and no longer relies on it if it has nothing recent to say.
    async fn ask(&mut self, client: &mut PeerClient, member: &MemberRecord) {
        let revision = self.gateway.revision();
        let reason = match client.changes(revision, FOLLOW_WAIT).await {
            Ok(reply) => {
                let age = reply.answered_age();
                if age.is_some_and(|it| it < RELAY_STALE) {
                    self.is_lost = false;
                    return self.gateway.take_reply(reply, &member.host);
                }
                format!("no answer of the platform for {age:?}")
            }
            Err(error) => error.to_string(),
        };
        tracing::warn!(relay = %member.host, revision, reason, "relay_failed");
        let now = self.gateway.now();
        self.gateway.state.borrow_mut().members.distrust(now, &member.host);
    }
}
