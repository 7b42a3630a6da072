//! The owner's side of a team limit: the token bucket of one team in one data centre.
//!
//! Invariant: level + unspent outstanding grants <= burst of the share. Tokens whose state the
//! owner does not know count as outstanding.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{CentreShare, GRANT_EXPIRY_MARGIN, GRANT_LIFETIME, UNITS_PER_TOKEN};
use crate::names::{HostName, TeamName};

/// Longest time between two updates of a bucket after which its ownership still counts as
/// uninterrupted.
///
/// It must be shorter than [`ViewTiming::takeover_wait`], so that no other host can have been the
/// owner in between.
///
/// [`ViewTiming::takeover_wait`]: crate::membership::ViewTiming::takeover_wait
const MAX_UPDATE_GAP: Duration = Duration::from_secs(5);

/// Divides the level above half of the burst; one request may prefetch the quotient.
const PREFETCH_DIVISOR: u64 = 4;

/// Divides the burst; the bucket is contended while outstanding grants exceed the quotient.
const CONTENTION_DIVISOR: u64 = 4;

/// Length of the time slots in which refill is recorded that exceeded the capacity.
const OVERFLOW_SLOT: Duration = Duration::from_millis(10);

/// Stopped processes whose handovers are remembered, so that a duplicate message is ignored; at
/// the target size 104 processes stop on an ordinary day.
const MAX_HANDOVER_SENDERS: usize = 1_024;

/// Upper bound of the retry time in a reply.
const MAX_RETRY_TIME: Duration = Duration::from_secs(60);

/// Usage of a grant that the requesting host reports to the owner, as totals since the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAccount {
    /// Sequence number of the request that the grant answers.
    pub sequence: u64,
    /// Units spent on admitted requests.
    pub spent: u64,
    /// Unspent units returned to the owner.
    pub returned: u64,
    /// Time since a unit was last spent, in milliseconds.
    pub age_ms: u32,
}

/// Request of a host for tokens of a team, sent to the owner in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Team whose tokens are wanted.
    pub team: TeamName,
    /// Requesting host.
    pub borrower: HostName,
    /// Incarnation of the requesting process.
    pub incarnation: u64,
    /// Sequence number, higher than that of every earlier request of the process for this team; a
    /// duplicate has the same one.
    pub sequence: u64,
    /// Units wanted for caller requests that wait for admission.
    pub wanted: u64,
    /// Units to prefetch; granted only while the bucket is more than half full.
    pub spare: u64,
    /// Whether a fraction of a token is useful, because other owners can grant the rest.
    pub is_partial: bool,
    /// Usage of grants that changed since the owner last acknowledged it.
    pub accounts: Vec<GrantAccount>,
}

/// Reply of an owner to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Team whose tokens were wanted.
    pub team: TeamName,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the replying host is the owner; otherwise nothing is granted.
    pub is_owner: bool,
    /// Units granted; whole tokens unless the request accepts a fraction of one.
    pub granted: u64,
    /// Units that remain in the bucket.
    pub level: u64,
    /// Lifetime of the grant, counted from sending the request, in milliseconds.
    pub lifetime_ms: u32,
    /// Time until the bucket is expected to have a token, in milliseconds; 0 if all wanted units
    /// were granted.
    pub retry_ms: u32,
    /// Whether the bucket is contended: spent tokens are to be reported promptly, because the
    /// owner cannot refill the bucket while it counts them as outstanding.
    pub is_tight: bool,
}

#[derive(Clone, Debug)]
struct OutstandingGrant {
    sequence: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    expires: Instant,
}

impl OutstandingGrant {
    fn unspent(&self) -> u64 {
        self.granted - self.spent - self.returned
    }
}

/// Content of a bucket that its owner hands over to the next owner.
///
/// The sender grants nothing from the bucket any more, so that no unit is granted twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSnapshot {
    /// Team of the bucket.
    pub team: TeamName,
    /// Units that were not granted.
    pub level: u64,
    /// Units that were granted and may be unspent.
    pub outstanding: u64,
}

/// Last reply to a requesting process, and its grants.
#[derive(Clone, Debug)]
struct RequesterState {
    last_reply: GrantReply,
    /// Time until which a duplicate of the last request gets the same reply.
    reply_cached_until: Instant,
    grants: Vec<OutstandingGrant>,
}

/// The token bucket of a team at its owner in one data centre.
#[derive(Debug)]
pub struct TeamBucket {
    /// Share in force at the last update.
    share: CentreShare,
    level: u64,
    /// Time up to which the refill is credited; in the future while the bucket waits until the
    /// grants of a previous owner have expired.
    refilled_until: Instant,
    /// Time of the last update as owner.
    updated_at: Option<Instant>,
    outstanding: u64,
    /// Outstanding units of the previous owner's grants, and when these expire.
    previous_grants: Option<(u64, Instant)>,
    requesters: BTreeMap<(HostName, u64), RequesterState>,
    /// Refill that exceeded the capacity while grants were outstanding, by start of its time slot.
    overflow: VecDeque<(Instant, u64)>,
}

impl TeamBucket {
    /// Creates an empty bucket on a host that is not known to be the owner.
    pub fn new(now: Instant) -> Self {
        Self {
            share: CentreShare::default(),
            level: 0,
            refilled_until: now,
            updated_at: None,
            outstanding: 0,
            previous_grants: None,
            requesters: BTreeMap::new(),
            overflow: VecDeque::new(),
        }
    }

    /// Returns the units that can be granted now, in thousandths of a token.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the unspent outstanding grants in thousandths of a token.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Applies the ownership and the share in force at `now`, expires grants and refills.
    ///
    /// Must be called at least once per second, also without requests.
    pub fn update(&mut self, now: Instant, is_owner: bool, share: CentreShare) {
        let is_interrupted =
            self.updated_at.is_some_and(|it| now.saturating_duration_since(it) > MAX_UPDATE_GAP);
        if !is_owner || is_interrupted {
            *self = Self::new(now);
        }
        if !is_owner {
            return;
        }
        if self.updated_at.is_none() {
            // Grants of a previous owner may be unspent, up to the whole burst.
            self.refilled_until = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        }
        self.expire(now);
        // It is not known when the share changed, so the interval counts at the lower rate.
        let rate = match self.updated_at {
            Some(_) => self.share.rate.min(share.rate),
            None => share.rate,
        };
        let is_changed = std::mem::replace(&mut self.share, share) != share;
        self.refill(now, rate);
        if is_changed {
            self.overflow.clear();
            self.refilled_until = self.refilled_until.max(now);
        }
        self.updated_at = Some(now);
    }

    /// Applies the previous owner's snapshot; returns whether it was used.
    ///
    /// It is used only while this bucket waits until the previous owner's grants have expired: the
    /// snapshot says how many units are outstanding, so the refill can begin at once.
    pub fn apply_handover(&mut self, now: Instant, snapshot: &BucketSnapshot) -> bool {
        let is_waiting = self.updated_at.is_some()
            && now < self.refilled_until
            && self.previous_grants.is_none();
        if is_waiting {
            let expires = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
            self.previous_grants = Some((snapshot.outstanding, expires));
            self.outstanding += snapshot.outstanding;
            self.level = snapshot.level.min(self.max_level());
            self.refilled_until = now;
        }
        is_waiting
    }

    /// Applies the usage reports of a request for tokens and grants what the bucket has.
    ///
    /// A duplicate gets the reply to the original request; a request that arrives after a later one
    /// gets no tokens.
    pub fn grant(
        &mut self,
        now: Instant,
        is_owner: bool,
        share: CentreShare,
        request: &GrantRequest,
    ) -> GrantReply {
        self.update(now, is_owner, share);
        let mut reply = GrantReply {
            team: request.team.clone(),
            sequence: request.sequence,
            is_owner,
            granted: 0,
            level: 0,
            lifetime_ms: GRANT_LIFETIME.as_millis() as u32,
            retry_ms: 0,
            is_tight: false,
        };
        if !is_owner {
            return reply;
        }
        let key = (request.borrower.clone(), request.incarnation);
        if let Some(requester) = self.requesters.get(&key) {
            if request.sequence == requester.last_reply.sequence {
                return requester.last_reply.clone();
            }
            if request.sequence < requester.last_reply.sequence {
                // A later request arrived first; the host has given up on this one.
                return reply;
            }
        }
        for account in &request.accounts {
            self.apply_account(now, &key, account);
        }
        let whole = |units: u64| units - units % UNITS_PER_TOKEN;
        let available = request.wanted.min(self.level);
        let needed = if request.is_partial { available } else { whole(available) };
        let excess = (self.level - needed).saturating_sub(share.burst / 2);
        let spare = whole(request.spare.min(excess / PREFETCH_DIVISOR));
        reply.granted = needed + spare;
        self.level -= reply.granted;
        self.outstanding += reply.granted;
        reply.is_tight = self.outstanding > share.burst / CONTENTION_DIVISOR;
        reply.level = self.level;
        if needed < request.wanted {
            reply.retry_ms = self.retry_time(now).as_millis() as u32;
        }
        let expires = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        let requester = self.requesters.entry(key).or_insert_with(|| RequesterState {
            last_reply: reply.clone(),
            reply_cached_until: expires,
            grants: Vec::new(),
        });
        requester.last_reply = reply.clone();
        requester.reply_cached_until = expires;
        if reply.granted > 0 {
            requester.grants.push(OutstandingGrant {
                sequence: request.sequence,
                granted: reply.granted,
                spent: 0,
                returned: 0,
                expires,
            });
        }
        reply
    }

    /// Applies a usage report; a report about an unknown grant is ignored.
    fn apply_account(&mut self, now: Instant, key: &(HostName, u64), account: &GrantAccount) {
        let Some(grant) = self
            .requesters
            .get_mut(key)
            .and_then(|it| it.grants.iter_mut().find(|it| it.sequence == account.sequence))
        else {
            return;
        };
        // Totals never decrease, and their sum never exceeds the grant.
        let spent = account.spent.clamp(grant.spent, grant.granted - grant.returned) - grant.spent;
        grant.spent += spent;
        let returned =
            account.returned.clamp(grant.returned, grant.granted - grant.spent) - grant.returned;
        grant.returned += returned;
        self.outstanding -= spent + returned;
        self.level += returned;
        self.level = self.level.min(self.max_level());
        // Refill that was discarded after the units were spent would have fitted if the owner had
        // known of it. A spent unit restores at most one unit of overflow.
        let age = Duration::from_millis(account.age_ms.into());
        let spent_at = now.checked_sub(age).unwrap_or(now);
        let mut credit = spent;
        for (_, units) in self.overflow.iter_mut().filter(|it| it.0 >= spent_at) {
            let used = credit.min(*units);
            *units -= used;
            credit -= used;
            self.level += used;
        }
        self.level = self.level.min(self.max_level());
    }

    /// Highest level that the outstanding grants permit.
    fn max_level(&self) -> u64 {
        self.share.burst.saturating_sub(self.outstanding)
    }

    fn expire(&mut self, now: Instant) {
        let mut expired = 0;
        self.requesters.retain(|_, requester| {
            requester.grants.retain(|it| {
                let is_active = now < it.expires && it.unspent() > 0;
                if !is_active {
                    expired += it.unspent();
                }
                is_active
            });
            !requester.grants.is_empty() || now < requester.reply_cached_until
        });
        if let Some((units, expires)) = self.previous_grants
            && now >= expires
        {
            expired += units;
            // Stays `Some`, so that a second handover is not applied.
            self.previous_grants = Some((0, expires));
        }
        self.outstanding -= expired;
    }

    fn refill(&mut self, now: Instant, rate: f64) {
        let retention = GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        self.overflow.retain(|it| now.saturating_duration_since(it.0) <= retention && it.1 > 0);
        let units_per_s = rate * UNITS_PER_TOKEN as f64;
        let elapsed = now.saturating_duration_since(self.refilled_until);
        let units = (elapsed.as_secs_f64() * units_per_s).floor();
        if units >= 1.0 {
            let accepted = self.max_level().saturating_sub(self.level).min(units as u64);
            self.level += accepted;
            self.record_overflow(now, units - accepted as f64, units_per_s);
            // The fraction of a unit is credited later; rounding up never credits time twice.
            let credited = Duration::from_secs_f64(units / units_per_s) + Duration::from_nanos(1);
            self.refilled_until = (self.refilled_until + credited).min(now);
        }
        self.level = self.level.min(self.max_level());
    }

    /// Records refill that exceeded the capacity, in the time slots that end at `now`.
    fn record_overflow(&mut self, now: Instant, units: f64, units_per_s: f64) {
        if self.outstanding == 0 {
            // Without outstanding grants, no spent unit is unreported.
            self.overflow.clear();
            return;
        }
        let length = Duration::from_secs_f64(units / units_per_s).min(GRANT_LIFETIME);
        let slots = length.as_nanos().div_ceil(OVERFLOW_SLOT.as_nanos()) as u32;
        let Some(start) = now.checked_sub(length).filter(|_| slots > 0) else {
            return;
        };
        let slot = length / slots;
        let units_per_slot = (units_per_s * slot.as_secs_f64()).min(units) as u64;
        for index in 0..slots {
            self.overflow.push_back((start + slot * index, units_per_slot));
        }
    }

    /// Time until the refill raises the level to one token if nothing more is granted.
    fn retry_time(&self, now: Instant) -> Duration {
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        if self.share.burst < UNITS_PER_TOKEN {
            return MAX_RETRY_TIME;
        }
        let refill_s = missing as f64 / UNITS_PER_TOKEN as f64 / self.share.rate;
        let refill_wait = self.refilled_until.saturating_duration_since(now);
        (refill_wait + Duration::from_secs_f64(refill_s.min(MAX_RETRY_TIME.as_secs_f64())))
            .min(MAX_RETRY_TIME)
    }
}

/// The buckets that one host owns, by team.
#[derive(Debug, Default)]
pub struct BucketTable {
    buckets: BTreeMap<TeamName, TeamBucket>,
    /// Snapshots from previous owners that are not applied yet, with the time of arrival.
    pending: BTreeMap<TeamName, (BucketSnapshot, Instant)>,
    /// Incarnations of the processes whose handover has arrived, oldest first.
    handover_senders: VecDeque<u64>,
}

impl BucketTable {
    /// Creates a table without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the buckets that this host owns and drops the others.
    ///
    /// Must be called at least once per second. The buckets of owned teams begin to refill here,
    /// before the first request.
    pub fn tick<'a>(
        &mut self,
        now: Instant,
        shares: impl Iterator<Item = (&'a TeamName, CentreShare)>,
        owns: impl Fn(&TeamName) -> bool,
    ) {
        let mut previous = std::mem::take(&mut self.buckets);
        for (team, share) in shares {
            if !owns(team) {
                continue;
            }
            let mut bucket = previous.remove(team).unwrap_or_else(|| TeamBucket::new(now));
            bucket.update(now, true, share);
            apply_pending_handover(&mut self.pending, now, team, &mut bucket);
            self.buckets.insert(team.clone(), bucket);
        }
    }

    /// Stores the snapshots of a stopping owner until this host owns the buckets.
    ///
    /// A second message of the same process is ignored, because it is a duplicate.
    pub fn receive_handover(
        &mut self,
        now: Instant,
        incarnation: u64,
        buckets: Vec<BucketSnapshot>,
    ) {
        if self.handover_senders.contains(&incarnation) {
            return;
        }
        self.handover_senders.push_back(incarnation);
        if self.handover_senders.len() > MAX_HANDOVER_SENDERS {
            self.handover_senders.pop_front();
        }
        for bucket in buckets {
            self.pending.insert(bucket.team.clone(), (bucket, now));
        }
    }

    /// Removes all buckets and returns their content for the next owners.
    ///
    /// Buckets that still wait until a previous owner's grants have expired are left out.
    pub fn take_snapshots(&mut self, now: Instant) -> Vec<BucketSnapshot> {
        let buckets = std::mem::take(&mut self.buckets);
        buckets
            .into_iter()
            .filter(|(_, it)| it.updated_at.is_some() && it.refilled_until <= now)
            .map(|(team, it)| BucketSnapshot { team, level: it.level, outstanding: it.outstanding })
            .collect()
    }

    /// Grants tokens from a team's bucket; see [`TeamBucket::grant`].
    pub fn grant(
        &mut self,
        now: Instant,
        is_owner: bool,
        share: CentreShare,
        request: &GrantRequest,
    ) -> GrantReply {
        let bucket =
            self.buckets.entry(request.team.clone()).or_insert_with(|| TeamBucket::new(now));
        bucket.update(now, is_owner, share);
        if is_owner {
            apply_pending_handover(&mut self.pending, now, &request.team, bucket);
        }
        bucket.grant(now, is_owner, share, request)
    }

    /// Returns the bucket of a team if this host owns it.
    pub fn bucket(&self, team: &TeamName) -> Option<&TeamBucket> {
        self.buckets.get(team)
    }
}

/// Applies a pending snapshot to the bucket; drops it when the grants that it counts have expired.
fn apply_pending_handover(
    pending: &mut BTreeMap<TeamName, (BucketSnapshot, Instant)>,
    now: Instant,
    team: &TeamName,
    bucket: &mut TeamBucket,
) {
    let Some((handover, arrived)) = pending.get(team) else {
        return;
    };
    let is_fresh = now.saturating_duration_since(*arrived) <= GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
    if !is_fresh || bucket.apply_handover(now, handover) {
        pending.remove(team);
    }
}
