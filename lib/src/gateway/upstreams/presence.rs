//! Publication and removal of upstreams.
//!
//! Entries of upstreams are kept on the platform by leases. During an outage of the platform
//! leases expire although the upstreams run, so entries that are removed together around an
//! outage stay in use until their upstreams had time to publish them again.

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

/// Time after an outage of the platform within which upstreams publish expired entries again, and
/// those that it lost.
pub(in crate::gateway) const REPUBLISH_TIME: Duration = Duration::from_millis(2_200);

/// Time for which a removed entry is still used. It is far below the time in which a leaving
/// upstream must receive no more requests, and long enough to learn from another host of an outage
/// that has just ended.
const REMOVAL_DELAY: Duration = Duration::from_millis(300);

/// Entries of a service that are removed unannounced within this time count as removed together.
const EXPIRY_WINDOW: Duration = Duration::from_millis(1_500);

/// Least number of entries removed together that counts as lease expiry; a single one may be an
/// upstream that left.
const MIN_EXPIRED_ENTRIES: usize = 2;

/// Entries removed together count as lease expiry if they are at least one in this many of the
/// service's entries.
const EXPIRED_DIVISOR: usize = 3;

/// Time after its removal for which the state of an upstream is kept; with requests in flight it is
/// kept longer.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

impl UpstreamSet {
    /// Adds or updates an upstream from its published entry.
    pub fn publish(&mut self, now: Instant, record: UpstreamRecord) {
        let name = record.name.clone();
        let cold_until = now + record.cold_for;
        let state = match self.upstreams.remove(&name) {
            Some(state) if state.record.incarnation == record.incarnation => {
                UpstreamState { removed_at: None, record, ..state }
            }
            // A new incarnation starts with fresh state. Only requests in flight to the previous
            // one are carried over, because their ends will be counted on this state.
            before => {
                let counts = before.map(|it| (it.own_in_flight, it.other_in_flight));
                let (own_in_flight, other_in_flight) = counts.unwrap_or_default();
                UpstreamState { own_in_flight, other_in_flight, ..UpstreamState::new(record) }
            }
        };
        self.upstreams.insert(state);
        if cold_until > now {
            self.set_cold_until(now, &name, cold_until);
        }
    }

    /// Limits the rate of requests to an upstream that reports that it stays cold until `until`.
    pub fn set_cold_until(&mut self, now: Instant, name: &UpstreamName, until: Instant) {
        let offset =
            rendezvous::unit_fraction(rendezvous::hash_parts(&[self.host.as_str(), name.as_str()]));
        if let Some(state) = self.upstreams.get_mut(name) {
            match &mut state.cold {
                Some(bucket) if bucket.is_cold(now) => bucket.extend(until),
                cold => *cold = Some(ColdBucket::new(now, until, offset)),
            }
        }
    }

    /// Records that an entry is no longer published; the upstream is used for a short time more.
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

    /// Extends the use of upstreams whose leases expired together around an outage of the platform.
    ///
    /// Leases expire while the platform is down although the upstreams run. The upstreams publish
    /// their entries again within [`REPUBLISH_TIME`] of the platform's return.
    fn retain_expired(&mut self, now: Instant, service: &ServiceName) {
        let until = match self.last_platform_recovery {
            _ if self.is_platform_down => now + REPUBLISH_TIME,
            Some(recovery) if now < recovery + REPUBLISH_TIME => recovery + REPUBLISH_TIME,
            _ => return,
        };
        let expired: Vec<UpstreamName> = self
            .withdrawn
            .iter()
            .filter(|(_, it, _)| it == service)
            .map(|(_, _, name)| name.clone())
            .collect();
        let published = self.upstreams.of_service(service).count();
        if expired.len() < MIN_EXPIRED_ENTRIES || expired.len() * EXPIRED_DIVISOR < published {
            return;
        }
        for name in expired {
            if let Some(state) = self.upstreams.get_mut(&name) {
                state.removed_at = state.removed_at.map(|it| it.max(until));
            }
        }
    }

    /// Applies a complete listing: upstreams that it lacks are withdrawn.
    pub fn replace_all(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        let listed: HashSet<UpstreamName> = records.iter().map(|it| it.name.clone()).collect();
        let known = self.upstreams.values().map(|it| &it.record.name);
        let missing: Vec<UpstreamName> =
            known.filter(|it| !listed.contains(*it)).cloned().collect();
        for record in records {
            self.publish(now, record);
        }
        for name in missing {
            self.withdraw(now, &name);
        }
    }

    /// Sets whether a data centre is closed for new requests.
    pub fn set_closed(&mut self, centre: &CentreName, is_closed: bool) {
        if is_closed {
            self.closed_centres.insert(centre.clone());
        } else {
            self.closed_centres.remove(centre);
        }
    }

    /// Replaces the set of data centres that are closed for new requests.
    pub fn replace_closed(&mut self, centres: impl IntoIterator<Item = CentreName>) {
        self.closed_centres = centres.into_iter().collect();
    }

    /// Records that the platform did not respond to this host.
    pub fn platform_failed(&mut self) {
        self.is_platform_down = true;
    }

    /// Records that the platform responded to this host, or to another host that reports it.
    pub fn platform_responded(&mut self, source: SourceState) {
        self.is_platform_down = false;
        self.last_platform_recovery = self.last_platform_recovery.max(source.last_recovery);
    }

    /// Drops the state of upstreams that were removed long ago, and records for how long the others
    /// have been open to picks; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        self.record_open_time(now);
        let is_expired = |it: &&UpstreamState| {
            it.own_in_flight == 0 && it.removed_at.is_some_and(|at| now >= at + REMOVED_RETENTION)
        };
        let expired = self.upstreams.values().filter(is_expired);
        let expired: Vec<UpstreamName> = expired.map(|it| it.record.name.clone()).collect();
        for name in expired {
            self.upstreams.remove(&name);
        }
        self.work.expire(now);
        let upstreams = &self.upstreams;
        self.send_rates.retain(|service, _| upstreams.of_service(service).next().is_some());
        self.prompt_demands.retain(|service, _| upstreams.of_service(service).next().is_some());
    }
}
