//! The owner's side: the bucket of one team in one data centre.
//!
//! At all times, level + unspent outstanding grants <= burst share. Whatever is unknown counts
//! as outstanding.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{CentreShare, GRANT_EXPIRY_MARGIN, GRANT_LIFETIME, UNITS_PER_TOKEN};
use crate::names::{HostName, TeamName};

/// Longest time without an observation of the right to own before it counts as lost.
///
/// It must be shorter than `takeover_wait`, so that no other host can have been owner in
/// between.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(5);

/// Part of the level above half of the burst that one request may take in advance.
const SPARE_DIVISOR: u64 = 4;

/// A borrower reports promptly if outstanding grants exceed this part of the burst.
const TIGHT_DIVISOR: u64 = 4;

/// Length of the time slots in which refill that did not fit is recorded.
const OVERFLOW_SLOT: Duration = Duration::from_millis(10);

/// Stopped processes whose handovers are remembered; 104 processes stop on an ordinary day at the
/// target size.
const MAX_SENDERS: usize = 1_024;

/// Longest retry time that a reply names.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// State of a grant at the borrower, as totals since the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAccount {
    /// Sequence of the request that the grant answers.
    pub sequence: u64,
    /// Units spent.
    pub spent: u64,
    /// Units returned.
    pub returned: u64,
    /// Time since the last spending, in milliseconds.
    pub age_ms: u32,
}

/// Request of a host for tokens of a team, sent to the owner in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Team whose tokens are wanted.
    pub team: TeamName,
    /// Host that asks.
    pub borrower: HostName,
    /// Incarnation of the asking process.
    pub incarnation: u64,
    /// Rises with every request of the process for this team; a repeat has the same one.
    pub sequence: u64,
    /// Units wanted for requests that wait.
    pub wanted: u64,
    /// Units wanted in advance; granted only from a well-filled bucket.
    pub spare: u64,
    /// Whether part of a token is of use, because the rest can come from elsewhere.
    pub is_partial: bool,
    /// Accounts that changed since the owner last acknowledged them.
    pub accounts: Vec<GrantAccount>,
}

/// Answer of an owner to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Team whose tokens were wanted.
    pub team: TeamName,
    /// Sequence of the request.
    pub sequence: u64,
    /// Whether the answering host is the owner; otherwise nothing is granted.
    pub is_owner: bool,
    /// Units granted; whole tokens unless the request was for part of one.
    pub granted: u64,
    /// Units left in the bucket.
    pub level: u64,
    /// Lifetime of the grant, counted from sending the request, in milliseconds.
    pub lifetime_ms: u32,
    /// Time until a token can be expected if less than wanted was granted, in milliseconds.
    pub retry_ms: u32,
    /// Whether spent tokens are to be reported promptly, because they hold back the refill.
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

/// A bucket that its owner gave up, for the next owner.
///
/// The earlier owner grants nothing any more, so that each unit exists once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSnapshot {
    /// Team of the bucket.
    pub team: TeamName,
    /// Units that were not granted.
    pub level: u64,
    /// Units that were granted and may be unspent.
    pub outstanding: u64,
}

/// What the owner knows about one process that borrows.
#[derive(Clone, Debug)]
struct BorrowerState {
    last_reply: GrantReply,
    /// Time until which a repeat of the last request is answered.
    remembered_until: Instant,
    grants: Vec<OutstandingGrant>,
}

/// A team's bucket at the owner in one data centre.
#[derive(Debug)]
pub struct TeamBucket {
    /// Share in force at the last observation.
    share: CentreShare,
    level: u64,
    /// Time up to which the refill is credited; in the future while the bucket waits for grants
    /// of an earlier owner to expire.
    refilled: Instant,
    /// Time of the last observation as owner.
    observed: Option<Instant>,
    outstanding: u64,
    /// Outstanding units of the earlier owner's grants, and when they have expired.
    inherited: Option<(u64, Instant)>,
    borrowers: BTreeMap<(HostName, u64), BorrowerState>,
    /// Refill that did not fit while grants were outstanding, by the start of its time slot.
    overflow: VecDeque<(Instant, u64)>,
}

impl TeamBucket {
    /// Creates a bucket of a host that is not known to be the owner.
    pub fn new(now: Instant) -> Self {
        Self {
            share: CentreShare::default(),
            level: 0,
            refilled: now,
            observed: None,
            outstanding: 0,
            inherited: None,
            borrowers: BTreeMap::new(),
            overflow: VecDeque::new(),
        }
    }

    /// Returns the level in thousandths of a token.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the unspent outstanding grants in thousandths of a token.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Notes whether this host owns the bucket and which share is in force; refills.
    ///
    /// To be called at least once per second, also without requests.
    pub fn update(&mut self, now: Instant, owns: bool, share: CentreShare) {
        let lapsed =
            self.observed.is_some_and(|it| now.saturating_duration_since(it) > MAX_OBSERVATION_GAP);
        if !owns || lapsed {
            *self = Self::new(now);
        }
        if !owns {
            return;
        }
        if self.observed.is_none() {
            // Grants of an earlier owner may be unspent up to the whole burst.
            self.refilled = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        }
        self.expire(now);
        // The time of the change is unknown, so the interval counts at the lower rate.
        let rate = match self.observed {
            Some(_) => self.share.rate.min(share.rate),
            None => share.rate,
        };
        let changed = std::mem::replace(&mut self.share, share) != share;
        self.refill(now, rate);
        if changed {
            self.overflow.clear();
            self.refilled = self.refilled.max(now);
        }
        self.observed = Some(now);
    }

    /// Takes over the content of a bucket from an earlier owner; returns whether it applied.
    ///
    /// It applies only while this bucket still waits for the earlier owner's grants, of which the
    /// handover tells how many there are.
    pub fn apply_handover(&mut self, now: Instant, handed: &BucketSnapshot) -> bool {
        let is_waiting = self.observed.is_some() && now < self.refilled && self.inherited.is_none();
        if is_waiting {
            let expires = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
            self.inherited = Some((handed.outstanding, expires));
            self.outstanding += handed.outstanding;
            self.level = handed.level.min(self.room());
            self.refilled = now;
        }
        is_waiting
    }

    /// Answers a request for tokens.
    pub fn grant(
        &mut self,
        now: Instant,
        owns: bool,
        share: CentreShare,
        request: &GrantRequest,
    ) -> GrantReply {
        self.update(now, owns, share);
        let mut reply = GrantReply {
            team: request.team.clone(),
            sequence: request.sequence,
            is_owner: owns,
            granted: 0,
            level: 0,
            lifetime_ms: GRANT_LIFETIME.as_millis() as u32,
            retry_ms: 0,
            is_tight: false,
        };
        if !owns {
            return reply;
        }
        let key = (request.borrower.clone(), request.incarnation);
        if let Some(borrower) = self.borrowers.get(&key) {
            if request.sequence == borrower.last_reply.sequence {
                return borrower.last_reply.clone();
            }
            if request.sequence < borrower.last_reply.sequence {
                // Overtaken by a later request; the borrower expects no grant from it any more.
                return reply;
            }
        }
        for account in &request.accounts {
            self.settle(now, &key, account);
        }
        let whole = |units: u64| units - units % UNITS_PER_TOKEN;
        let available = request.wanted.min(self.level);
        let needed = if request.is_partial { available } else { whole(available) };
        let excess = (self.level - needed).saturating_sub(share.burst / 2);
        let spare = whole(request.spare.min(excess / SPARE_DIVISOR));
        reply.granted = needed + spare;
        self.level -= reply.granted;
        self.outstanding += reply.granted;
        reply.is_tight = self.outstanding > share.burst / TIGHT_DIVISOR;
        reply.level = self.level;
        if needed < request.wanted {
            reply.retry_ms = self.retry_time(now).as_millis() as u32;
        }
        let expires = now + GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        let borrower = self.borrowers.entry(key).or_insert_with(|| BorrowerState {
            last_reply: reply.clone(),
            remembered_until: expires,
            grants: Vec::new(),
        });
        borrower.last_reply = reply.clone();
        borrower.remembered_until = expires;
        if reply.granted > 0 {
            borrower.grants.push(OutstandingGrant {
                sequence: request.sequence,
                granted: reply.granted,
                spent: 0,
                returned: 0,
                expires,
            });
        }
        reply
    }

    /// Applies a borrower's account of a grant; accounts of unknown grants are void.
    fn settle(&mut self, now: Instant, key: &(HostName, u64), account: &GrantAccount) {
        let Some(grant) = self
            .borrowers
            .get_mut(key)
            .and_then(|it| it.grants.iter_mut().find(|it| it.sequence == account.sequence))
        else {
            return;
        };
        // Totals never fall, and together they never exceed the grant.
        let spent = account.spent.clamp(grant.spent, grant.granted - grant.returned) - grant.spent;
        grant.spent += spent;
        let returned =
            account.returned.clamp(grant.returned, grant.granted - grant.spent) - grant.returned;
        grant.returned += returned;
        self.outstanding -= spent + returned;
        self.level += returned;
        self.level = self.level.min(self.room());
        // Refill that was due after the spending would have fitted, had the spending been known.
        // Each unit of overflow makes up for one spent unit at most.
        let age = Duration::from_millis(account.age_ms.into());
        let spent_at = now.checked_sub(age).unwrap_or(now);
        let mut credit = spent;
        for (_, units) in self.overflow.iter_mut().filter(|it| it.0 >= spent_at) {
            let used = credit.min(*units);
            *units -= used;
            credit -= used;
            self.level += used;
        }
        self.level = self.level.min(self.room());
    }

    /// Units that fit into the bucket beside the outstanding grants.
    fn room(&self) -> u64 {
        self.share.burst.saturating_sub(self.outstanding)
    }

    fn expire(&mut self, now: Instant) {
        let mut expired = 0;
        self.borrowers.retain(|_, borrower| {
            borrower.grants.retain(|it| {
                let is_open = now < it.expires && it.unspent() > 0;
                if !is_open {
                    expired += it.unspent();
                }
                is_open
            });
            !borrower.grants.is_empty() || now < borrower.remembered_until
        });
        if let Some((units, expires)) = self.inherited
            && now >= expires
        {
            expired += units;
            // The marker stays, so that a second handover cannot apply.
            self.inherited = Some((0, expires));
        }
        self.outstanding -= expired;
    }

    fn refill(&mut self, now: Instant, rate: f64) {
        let memory = GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
        self.overflow.retain(|it| now.saturating_duration_since(it.0) <= memory && it.1 > 0);
        let units_per_s = rate * UNITS_PER_TOKEN as f64;
        let elapsed = now.saturating_duration_since(self.refilled);
        let units = (elapsed.as_secs_f64() * units_per_s).floor();
        if units >= 1.0 {
            let fitting = self.room().saturating_sub(self.level).min(units as u64);
            self.level += fitting;
            self.note_overflow(now, units - fitting as f64, units_per_s);
            // The rest of a unit stays due; rounding up never credits time twice.
            let credited = Duration::from_secs_f64(units / units_per_s) + Duration::from_nanos(1);
            self.refilled = (self.refilled + credited).min(now);
        }
        self.level = self.level.min(self.room());
    }

    /// Records refill that did not fit; it was due at the end of the interval up to `now`.
    fn note_overflow(&mut self, now: Instant, units: f64, units_per_s: f64) {
        if self.outstanding == 0 {
            // Nothing can have been spent that is not yet known.
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

    /// Time until the level reaches one token if nothing else happens.
    fn retry_time(&self, now: Instant) -> Duration {
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        if self.share.burst < UNITS_PER_TOKEN {
            return MAX_RETRY;
        }
        let refill_s = missing as f64 / UNITS_PER_TOKEN as f64 / self.share.rate;
        let quiet = self.refilled.saturating_duration_since(now);
        (quiet + Duration::from_secs_f64(refill_s.min(MAX_RETRY.as_secs_f64()))).min(MAX_RETRY)
    }
}

/// The buckets of one host, for every team.
#[derive(Debug, Default)]
pub struct BucketTable {
    buckets: BTreeMap<TeamName, TeamBucket>,
    /// Buckets handed over that this host does not own yet, with the time of arrival.
    handed: BTreeMap<TeamName, (BucketSnapshot, Instant)>,
    /// Incarnations whose handover has arrived, oldest first.
    senders: VecDeque<u64>,
}

impl BucketTable {
    /// Creates a table without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Observes the right to own every team's bucket; to be called once per second.
    ///
    /// Buckets of owned teams start to fill here, before the first request.
    pub fn tick<'a>(
        &mut self,
        now: Instant,
        shares: impl Iterator<Item = (&'a TeamName, CentreShare)>,
        owns: impl Fn(&TeamName) -> bool,
    ) {
        let mut earlier = std::mem::take(&mut self.buckets);
        for (team, share) in shares {
            if !owns(team) {
                continue;
            }
            let mut bucket = earlier.remove(team).unwrap_or_else(|| TeamBucket::new(now));
            bucket.update(now, true, share);
            apply_pending_handover(&mut self.handed, now, team, &mut bucket);
            self.buckets.insert(team.clone(), bucket);
        }
    }

    /// Takes buckets that a stopping owner handed over.
    ///
    /// A second message of the same process is ignored, because its content is the same.
    pub fn receive_handover(
        &mut self,
        now: Instant,
        incarnation: u64,
        buckets: Vec<BucketSnapshot>,
    ) {
        if self.senders.contains(&incarnation) {
            return;
        }
        self.senders.push_back(incarnation);
        if self.senders.len() > MAX_SENDERS {
            self.senders.pop_front();
        }
        for bucket in buckets {
            self.handed.insert(bucket.team.clone(), (bucket, now));
        }
    }

    /// Takes the content of every owned bucket, for the next owners; this host owns none any more.
    pub fn take_snapshots(&mut self, now: Instant) -> Vec<BucketSnapshot> {
        let buckets = std::mem::take(&mut self.buckets);
        buckets
            .into_iter()
            .filter(|(_, it)| it.observed.is_some() && it.refilled <= now)
            .map(|(team, it)| BucketSnapshot { team, level: it.level, outstanding: it.outstanding })
            .collect()
    }

    /// Answers a request for tokens; see [`TeamBucket::grant`].
    pub fn grant(
        &mut self,
        now: Instant,
        owns: bool,
        share: CentreShare,
        request: &GrantRequest,
    ) -> GrantReply {
        let bucket =
            self.buckets.entry(request.team.clone()).or_insert_with(|| TeamBucket::new(now));
        bucket.update(now, owns, share);
        if owns {
            apply_pending_handover(&mut self.handed, now, &request.team, bucket);
        }
        bucket.grant(now, owns, share, request)
    }

    /// Returns the bucket of a team if this host owns it.
    pub fn bucket(&self, team: &TeamName) -> Option<&TeamBucket> {
        self.buckets.get(team)
    }
}

/// Applies a handover that arrived a short time ago.
fn apply_pending_handover(
    handed: &mut BTreeMap<TeamName, (BucketSnapshot, Instant)>,
    now: Instant,
    team: &TeamName,
    bucket: &mut TeamBucket,
) {
    let Some((handover, arrived)) = handed.get(team) else {
        return;
    };
    let is_recent = now.saturating_duration_since(*arrived) <= GRANT_LIFETIME + GRANT_EXPIRY_MARGIN;
    if !is_recent || bucket.apply_handover(now, handover) {
        handed.remove(team);
    }
}
