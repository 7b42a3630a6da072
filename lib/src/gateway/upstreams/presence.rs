//! Which upstreams are published, and what an absence means around an outage of the platform.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use super::{UpstreamRecord, UpstreamSet, UpstreamState};
use crate::{
    gateway::{cold::ColdBucket, feed::SourceState},
    names::{CentreName, ServiceName, UpstreamName},
    rendezvous,
};

/// Time after an outage of the platform within which entries that expired meanwhile come back.
const REPUBLISH_TIME: Duration = Duration::from_millis(2_200);

/// Time for which an entry that vanished without notice is still used while the platform answers.
/// It is far below the time in which a leaving upstream must get no more work, and long enough to
/// learn of an outage that the platform has just come back from.
const REMOVAL_DELAY: Duration = Duration::from_millis(300);

/// Entries of a service that vanish without notice within this time vanish together.
const EXPIRY_WINDOW: Duration = Duration::from_millis(1_500);

/// Fewest entries, and part of a service's entries, that count as expired when they vanish together.
const MIN_EXPIRED: usize = 2;
const EXPIRED_DIVISOR: usize = 3;

/// Time after which a vanished upstream without requests is forgotten.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

impl UpstreamSet {
    /// Adopts one published entry.
    pub fn publish(&mut self, now: Instant, record: UpstreamRecord) {
        let name = record.name.clone();
        let cold_until = now + record.cold_for;
        let state = match self.upstreams.remove(&name) {
            Some(state) if state.record.incarnation == record.incarnation => {
                UpstreamState { removed_at: None, record, ..state }
            }
            // Another incarnation shares nothing with the one before but its requests in flight,
            // which are still counted here until they end.
            before => {
                let own_in_flight = before.map_or(0, |it| it.own_in_flight);
                UpstreamState { own_in_flight, joined: Some(now), ..UpstreamState::new(record) }
            }
        };
        self.upstreams.insert(state);
        if cold_until > now {
            self.cold_until(now, &name, cold_until);
        }
    }

    /// Notes that an upstream said it stays cold until `until`.
    pub fn cold_until(&mut self, now: Instant, name: &UpstreamName, until: Instant) {
        let offset =
            rendezvous::unit_fraction(rendezvous::hash_parts(&[self.host.as_str(), name.as_str()]));
        if let Some(state) = self.upstreams.get_mut(name) {
            match &mut state.cold {
                Some(bucket) if bucket.is_cold(now) => bucket.extend(until),
                cold => *cold = Some(ColdBucket::new(now, until, offset)),
            }
        }
    }

    /// Notes that an entry is no longer published.
    pub fn withdraw(&mut self, now: Instant, name: &UpstreamName) {
        let Some(state) = self.upstreams.get_mut(name) else {
            return;
        };
        if state.removed_at.is_some() {
            return;
        }
        state.removed_at = Some(now + REMOVAL_DELAY);
        if state.record.is_leaving {
            return;
        }
        let service = state.record.service.clone();
        self.withdrawn.retain(|(at, _, _)| now.saturating_duration_since(*at) < EXPIRY_WINDOW);
        self.withdrawn.push((now, service.clone(), name.clone()));
        self.retain_expired(now, &service);
    }

    /// Keeps upstreams whose entries vanished together around an outage of the platform.
    ///
    /// Entries lapse while the platform is down although their upstreams run. They are back a
    /// moment after its return.
    fn retain_expired(&mut self, now: Instant, service: &ServiceName) {
        let until = match self.platform_regained {
            _ if self.is_platform_lost => now + REPUBLISH_TIME,
            Some(regained) if now < regained + REPUBLISH_TIME => regained + REPUBLISH_TIME,
            _ => return,
        };
        let expired: Vec<UpstreamName> = self
            .withdrawn
            .iter()
            .filter(|(_, it, _)| it == service)
            .map(|(_, _, name)| name.clone())
            .collect();
        let published = self.upstreams.of_service(service).count();
        if expired.len() < MIN_EXPIRED || expired.len() * EXPIRED_DIVISOR < published {
            return;
        }
        for name in expired {
            if let Some(state) = self.upstreams.get_mut(&name) {
                state.removed_at = state.removed_at.map(|it| it.max(until));
            }
        }
    }

    /// Adopts a complete listing: entries that it lacks are no longer published.
    pub fn replace_all(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        let is_first = self.is_empty();
        let listed: HashSet<UpstreamName> = records.iter().map(|it| it.name.clone()).collect();
        let known = self.upstreams.values().map(|it| &it.record.name);
        let missing: Vec<UpstreamName> =
            known.filter(|it| !listed.contains(*it)).cloned().collect();
        for record in records {
            self.publish(now, record);
        }
        if is_first {
            self.upstreams.values_mut().for_each(|it| it.joined = None);
        }
        for name in missing {
            self.withdraw(now, &name);
        }
    }

    /// Opens or closes a data centre for new work.
    pub fn set_closed(&mut self, centre: &CentreName, is_closed: bool) {
        if is_closed {
            self.closed_centres.insert(centre.clone());
        } else {
            self.closed_centres.remove(centre);
        }
    }

    /// Closes exactly the data centres of a complete listing.
    pub fn replace_closed(&mut self, centres: impl IntoIterator<Item = CentreName>) {
        self.closed_centres = centres.into_iter().collect();
    }

    /// Notes that the platform does not answer.
    pub fn platform_lost(&mut self) {
        self.is_platform_lost = true;
    }

    /// Notes when the platform answered this host or one that told it.
    pub fn platform_answered(&mut self, source: SourceState) {
        self.is_platform_lost = false;
        self.platform_regained = self.platform_regained.max(source.last_recovery);
    }

    /// Forgets upstreams that left long ago; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |it: &&UpstreamState| {
            it.own_in_flight == 0 && it.removed_at.is_some_and(|at| now >= at + REMOVED_RETENTION)
        };
        let expired = self.upstreams.values().filter(is_expired);
        let expired: Vec<UpstreamName> = expired.map(|it| it.record.name.clone()).collect();
        for name in expired {
            self.upstreams.remove(&name);
        }
    }
}
