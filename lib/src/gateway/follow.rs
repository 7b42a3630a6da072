//! Keeps the entries up to date by long polling: at the platform, at a relay of the data centre, or
//! at a relay of another data centre while neither of these responds.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;
use tokio::time::{self, sleep, sleep_until};

use super::{
    feed::{EntrySource, SourceError},
    fleet::{FleetChange, Gateway},
    follow_times::FollowTimes,
    members::MemberRecord,
    peers::PeerClient,
    position::StorePosition,
};

/// Initial backoff after a failed call, doubled with each further failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Time for which the platform may wait for a change in one watch. A response can be lost without
/// an error, so this bounds the age of the known state.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// As [`WATCH_WAIT`], on a host that is a relay for others.
const RELAY_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Time for which a new host waits until it knows another host, before it reads the platform itself.
const FIRST_PEER_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a new host checks whether it knows another one.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Age of the platform's last response to a relay from which the relay counts as failed: its
/// longest watch and the interval between two watches, with time for a slow call.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2_200);

/// Follows the entries until the process ends.
pub async fn follow_entries(
    gateway: Rc<Gateway>,
    source: Box<dyn EntrySource>,
    times: FollowTimes,
) {
    tokio::join!(
        follow_source(gateway.clone(), source, times),
        follow_remote_relay(gateway, times)
    );
}

/// Follows a relay of another data centre while neither the platform nor a relay of the data centre
/// responds.
///
/// If the relays of a data centre cannot reach the platform, the data centre receives changes this
/// way without waiting for the next digest from another data centre.
async fn follow_remote_relay(gateway: Rc<Gateway>, times: FollowTimes) {
    let mut source_unavailable = gateway.source_unavailable.subscribe();
    let mut relay: Option<PeerClient> = None;
    loop {
        if !*source_unavailable.borrow_and_update() {
            relay = None;
            // Cannot fail: the gateway holds the sender.
            let _ = source_unavailable.wait_for(|it| *it).await;
        }
        let Some(member) = gateway.select_remote_relay(relay.as_ref().map(PeerClient::address))
        else {
            sleep(MAX_BACKOFF).await;
            continue;
        };
        let client = relay_client(&mut relay, &member);
        if !gateway.poll_relay(client, &member, times.relay_wait).await {
            sleep(MIN_BACKOFF).await;
        }
    }
}

/// Returns a client for the relay: the one at hand, with its connection, if it has the same
/// address.
fn relay_client<'a>(
    client: &'a mut Option<PeerClient>,
    relay: &MemberRecord,
) -> &'a mut PeerClient {
    let kept = client.take().filter(|it| it.address() == relay.address);
    client.insert(kept.unwrap_or_else(|| {
        tracing::info!(relay = %relay.host, address = %relay.address, "relay_chosen");
        PeerClient::new(relay.address)
    }))
}

/// Follows a relay of the data centre; reads the platform instead if this host is a relay itself or
/// knows no relay that it may ask.
///
/// A host without entries asks one relay once. If all hosts of a large fleet read the entries from
/// the platform after they were lost together, none has them until nearly all have. Hosts ask relays
/// that they rank above themselves, so a chain of new hosts that wait for each other ends at one that
/// reads the platform.
///
/// After a relay that did not reply, the platform is read before another relay is asked, unless that
/// one can fail in the same way within the bound.
async fn follow_source(gateway: Rc<Gateway>, mut source: Box<dyn EntrySource>, times: FollowTimes) {
    gateway.wait_for_first_peer().await;
    gateway.request_first_entries().await;
    let mut follower = EntryFollower {
        current_at: gateway.now(),
        gateway,
        times,
        has_relay_failed: false,
        has_failed: false,
        needs_full_read: true,
        has_asked_for_first: false,
    };
    let mut relay: Option<PeerClient> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let called = time::Instant::now();
        if let Some(member) = follower.relay() {
            let client = relay_client(&mut relay, &member);
            follower.has_asked_for_first = true;
            let has_replied = follower.gateway.poll_relay(client, &member, times.relay_wait).await;
            follower.has_relay_failed = !has_replied;
            if has_replied {
                follower.current_at = follower.gateway.now();
                follower.needs_full_read &= follower.gateway.position().is_start();
                follower.has_failed = false;
                follower.gateway.source_unavailable.send_replace(false);
            }
            continue;
        }
        relay = None;
        let is_late = follower.is_late();
        match follower.read(&mut *source).await {
            Ok(()) => {
                backoff = MIN_BACKOFF;
                let has_failed = std::mem::take(&mut follower.has_failed);
                if !has_failed && !is_late && !follower.needs_full_read {
                    sleep_until(called + times.min_interval).await;
                }
            }
            Err(SourceError::HistoryLost) => {
                let StorePosition { era, revision } = follower.gateway.position();
                tracing::info!(era, revision, "source_history_lost");
                follower.needs_full_read = true;
            }
            Err(error) => {
                let StorePosition { era, revision } = follower.gateway.position();
                let pause_ms = backoff.as_millis() as u64;
                tracing::warn!(%error, era, revision, pause_ms, "source_failed");
                follower.has_failed = true;
                follower.gateway.apply(FleetChange::SourceFailed);
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

struct EntryFollower {
    gateway: Rc<Gateway>,
    times: FollowTimes,
    /// When a relay or the platform last told that the known state was current; at first, the start
    /// of this process.
    current_at: Instant,
    /// Whether the last request to a relay failed, and the platform was not read since.
    has_relay_failed: bool,
    /// Whether the last call to the platform failed.
    has_failed: bool,
    /// Whether all entries have to be read, because changes since the known revision are not
    /// available.
    needs_full_read: bool,
    /// Whether a relay was asked for the first entries.
    has_asked_for_first: bool,
}

impl EntryFollower {
    /// Returns whether the platform has to be read after a request to a relay that failed, because
    /// the time left does not allow another one.
    fn is_late(&self) -> bool {
        let now = self.gateway.now();
        self.has_relay_failed && !self.times.allow_relay(now, self.current_at)
    }

    /// Returns the relay to ask; `None` if this host reads the platform itself, as one does that got
    /// no first entries from a relay, or is late while the platform responds.
    fn relay(&self) -> Option<MemberRecord> {
        let now = self.gateway.now();
        let has_entries = !self.gateway.position().is_start();
        let may_ask =
            (has_entries || !self.has_asked_for_first) && (self.has_failed || !self.is_late());
        let state = self.gateway.state.borrow();
        state.members.relays(now).first().filter(|_| may_ask).map(|it| (*it).clone())
    }

    async fn read(&mut self, source: &mut dyn EntrySource) -> Result<(), SourceError> {
        let position = self.gateway.position();
        let update = if self.needs_full_read || position.is_start() {
            source.read_all().await?
        } else {
            let mut positions = self.gateway.positions.subscribe();
            tokio::select! {
                update = source.watch(position, self.watch_wait()) => update?,
                // Another host told of a new era, in which the platform does not know `position`.
                _ = positions.wait_for(|it| it.era > position.era) => return Ok(()),
            }
        };
        self.needs_full_read = false;
        self.current_at = self.gateway.now();
        self.has_relay_failed = false;
        // Applied before the changes: entries that are missing soon after an outage may have
        // expired during it.
        self.gateway.apply(FleetChange::SourceResponded);
        if !self.gateway.apply_entries(&update, "platform") {
            self.needs_full_read = true;
        }
        Ok(())
    }

    fn watch_wait(&self) -> Duration {
        let now = self.gateway.now();
        if self.has_failed || self.is_late() {
            // The platform counts as unavailable until its first response, and a late host may learn
            // that it is unavailable, so neither must wait for a change.
            Duration::ZERO
        } else if self.gateway.state.borrow().members.has_followers(now) {
            RELAY_WATCH_WAIT
        } else {
            WATCH_WAIT
        }
    }
}

impl Gateway {
    /// Waits until this host knows another one or has entries, for [`FIRST_PEER_WAIT`] at most.
    async fn wait_for_first_peer(&self) {
        let started = Instant::now();
        while started.elapsed() < FIRST_PEER_WAIT
            && self.position().is_start()
            && self.state.borrow().members.live(self.now()).next().is_none()
        {
            sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    /// Requests the entries of another host, of this data centre if possible, if this one is about to
    /// read the platform.
    ///
    /// The platform may have come back from an older copy. What it lacks is known to the hosts that
    /// ran before, and a listing does not end it at once.
    async fn request_first_entries(&self) {
        let member = {
            let (now, state) = (self.now(), self.state.borrow());
            let centre = &state.members.local().centre;
            let is_local = |it: &&MemberRecord| it.centre == *centre;
            let mut rng = rand::rng();
            let local = state.members.live(now).filter(is_local).choose(&mut rng);
            let member = local.or_else(|| state.members.live(now).choose(&mut rng));
            member.filter(|_| state.members.relays(now).is_empty()).cloned()
        };
        if let Some(member) = member
            && self.position().is_start()
        {
            self.pull_changes(&mut PeerClient::new(member.address), &member.host).await;
        }
    }

    /// Returns a relay of another data centre: the one at address `current` while it may be asked,
    /// else a random one.
    fn select_remote_relay(&self, current: Option<SocketAddr>) -> Option<MemberRecord> {
        let now = self.now();
        let state = self.state.borrow();
        let relays = state.members.remote_relays(now);
        let kept = relays.iter().find(|it| Some(it.address) == current);
        kept.or_else(|| relays.iter().choose(&mut rand::rng())).map(|it| (*it).clone())
    }

    /// Requests changes from a relay. Returns false and starts the relay's backoff if there is no
    /// usable reply, or if the platform's last response to the relay is too old.
    async fn poll_relay(
        &self,
        client: &mut PeerClient,
        relay: &MemberRecord,
        wait: Duration,
    ) -> bool {
        let position = self.position();
        let reason = match client.changes(position, wait).await {
            Ok(reply) => {
                let (age, relay_era) = (reply.response_age(), reply.era);
                let is_recent = age.is_some_and(|it| it < MAX_RESPONSE_AGE);
                // A relay that is behind by an era, or does not know eras, cannot tell what is new.
                let is_current = relay_era >= position.era;
                if is_recent && is_current && self.apply_reply(reply, &relay.host) {
                    return true;
                }
                format!(
                    "no usable changes, era {relay_era}, or no response of the platform for {age:?}"
                )
            }
            Err(error) => error.to_string(),
        };
        let StorePosition { era, revision } = position;
        tracing::warn!(relay = %relay.host, era, revision, reason, "relay_failed");
        self.state.borrow_mut().members.record_relay_failure(self.now(), &relay.host);
        false
    }
}
