//! The requesting host's side of a team limit: a local cache of tokens that the bucket owners of
//! all data centres granted.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{GRANT_LIFETIME, GrantAccount, GrantReply, GrantRequest, LimitSplit, UNITS_PER_TOKEN};
use crate::names::{CentreName, HostName, TeamName};

/// Tokens are prefetched for this time at the recent demand.
const PREFETCH_TIME: Duration = Duration::from_millis(50);

/// Lowest demand at which tokens are prefetched, in requests per second. From this demand on,
/// fractions of a token are not collected, because they cost more messages than they are worth.
const MIN_PREFETCH_RATE_PER_S: f64 = 20.0;

/// Prefetch time and lowest demand while the owner's bucket is not contended: most grants then
/// serve several requests, and unspent tokens expire. One exchange costs about 500 bytes, and a
/// host may spend 4 KB/s on all control traffic.
const UNCONTENDED_PREFETCH_TIME: Duration = Duration::from_millis(800);
const UNCONTENDED_MIN_RATE_PER_S: f64 = 1.0;

/// Time constant of the exponential decay of the demand estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Age of a grant from which its unspent tokens are returned to a contended owner; the second one
/// applies while the cache holds less than a whole token.
const RETURN_AGE: Duration = Duration::from_millis(250);
const FRACTION_RETURN_AGE: Duration = Duration::from_millis(50);

/// Age from which spent tokens are reported in a message of their own, if the owner's bucket is
/// contended.
const CONTENDED_REPORT_AGE: Duration = Duration::from_millis(20);

/// Bounds of the backoff after an owner had no token. They limit the messages that a team over its
/// rate causes.
const MIN_EMPTY_BACKOFF: Duration = Duration::from_millis(5);
const MAX_EMPTY_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff of a data centre after a failed request, and after a reply of a host that is not the
/// owner.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
const NOT_OWNER_BACKOFF: Duration = Duration::from_millis(100);

/// Time without a reply after which other data centres are asked first.
const SLOW_REPLY_TIME: Duration = Duration::from_millis(20);

/// Time without demand after which the empty cache of a team is dropped.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// Result of an attempt to acquire a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// A token was spent; the request is admitted.
    Acquired,
    /// Request tokens from the first of these data centres that has a reachable owner, and repeat
    /// the attempt after its reply, its failure or a tick.
    RequestFrom(Vec<CentreName>),
    /// No data centre has a token.
    Refused {
        /// Time until an owner is expected to have a token.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct CachedGrant {
    centre: CentreName,
    sequence: u64,
    unspent: u64,
    spent: u64,
    returned: u64,
    received: Instant,
    expires: Instant,
    /// Spent and returned units that the owner has acknowledged.
    acknowledged: (u64, u64),
    /// Times of the first unacknowledged spending and of the last spending.
    spending_times: Option<(Instant, Instant)>,
}

impl CachedGrant {
    fn is_acknowledged(&self) -> bool {
        self.acknowledged == (self.spent, self.returned)
    }
}

#[derive(Clone, Debug)]
struct SentRequest {
    sequence: u64,
    sent: Instant,
    /// Whether it asked for tokens for waiting caller requests; otherwise it only reports usage or
    /// prefetches.
    is_for_waiting: bool,
    accounts: Vec<GrantAccount>,
    is_partial: bool,
    has_failed: bool,
}

/// Known state of the bucket owner in one data centre.
#[derive(Clone, Debug, Default)]
struct OwnerState {
    /// Requests whose reply may still arrive; at most one of them has not failed.
    sent_requests: Vec<SentRequest>,
    /// Time until which the owner is not asked for whole tokens.
    backoff_until: Option<Instant>,
    /// Sending time of the last request for waiting caller requests that was answered or failed.
    asked_at: Option<Instant>,
    /// Sending time of the last answered request that accepted a fraction of a token.
    fraction_asked_at: Option<Instant>,
    /// Units that remained in the owner's bucket after its last reply.
    level: u64,
    /// Consecutive replies without a token.
    empty_replies: u32,
    /// Whether the last request failed.
    is_failing: bool,
    /// Whether the owner's bucket is contended, so that unspent tokens are returned and spent ones
    /// reported promptly.
    is_tight: bool,
}

impl OwnerState {
    fn in_flight(&self) -> Option<&SentRequest> {
        self.sent_requests.iter().find(|it| !it.has_failed)
    }

    /// Whether the owner recently had no whole token, was not the owner, or did not reply.
    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|it| now < it)
    }

    fn is_slow(&self, now: Instant) -> bool {
        self.in_flight().is_some_and(|it| now.saturating_duration_since(it.sent) >= SLOW_REPLY_TIME)
    }
}

/// Exponentially decaying estimate of the demand.
#[derive(Clone, Copy, Debug)]
struct DemandMeter {
    weight: f64,
    updated_at: Instant,
}

impl DemandMeter {
    fn record(&mut self, now: Instant) {
        self.weight = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.weight * (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the demand in requests per second.
    fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_TIME_CONSTANT.as_secs_f64()
    }
}

/// The tokens of one team that one host has cached.
#[derive(Debug)]
pub struct TeamCache {
    grants: Vec<CachedGrant>,
    owners: BTreeMap<CentreName, OwnerState>,
    demand: DemandMeter,
}

impl TeamCache {
    fn new(now: Instant) -> Self {
        Self {
            grants: Vec::new(),
            owners: BTreeMap::new(),
            demand: DemandMeter { weight: 0.0, updated_at: now },
        }
    }

    /// Returns the unspent units of grants that have not expired.
    pub fn unspent(&self, now: Instant) -> u64 {
        self.grants.iter().filter(|it| now < it.expires).map(|it| it.unspent).sum()
    }

    fn spend(&mut self, now: Instant) -> bool {
        if self.unspent(now) < UNITS_PER_TOKEN {
            return false;
        }
        let mut missing = UNITS_PER_TOKEN;
        // Grants are sorted by expiry, so that those that expire first are spent first.
        for grant in self.grants.iter_mut().filter(|it| now < it.expires) {
            let used = grant.unspent.min(missing);
            if used > 0 {
                grant.unspent -= used;
                grant.spent += used;
                missing -= used;
                let first = grant.spending_times.map_or(now, |it| it.0);
                grant.spending_times = Some((first, now));
            }
        }
        true
    }

    /// Data centres to ask for a token for a caller request that arrived at `arrived`, best first.
    ///
    /// Data centres whose owner is failing or slow to reply come last.
    fn candidates(&self, now: Instant, arrived: Instant, order: &[&CentreName]) -> Vec<CentreName> {
        let mut candidates: Vec<(bool, &CentreName)> = order
            .iter()
            .filter_map(|centre| {
                let Some(owner) = self.owners.get(*centre) else {
                    return Some((false, *centre));
                };
                let was_asked = owner.asked_at.is_some_and(|it| it >= arrived);
                let is_last_resort = owner.is_failing || owner.is_slow(now);
                (!owner.is_backing_off(now) && !was_asked).then_some((is_last_resort, *centre))
            })
            .collect();
        if candidates.is_empty() {
            return self.fraction_candidates(now, arrived);
        }
        candidates.sort_by_key(|it| it.0);
        candidates.into_iter().map(|it| it.1.clone()).collect()
    }

    /// Data centres whose owners hold fractions that add up to a token.
    ///
    /// Without this, a team whose burst share is one token loses the refill of every full bucket
    /// while the bucket of another data centre is not full.
    fn fraction_candidates(&self, now: Instant, arrived: Instant) -> Vec<CentreName> {
        if self.demand.rate(now) >= MIN_PREFETCH_RATE_PER_S {
            return Vec::new();
        }
        let mut candidates: Vec<(u64, &CentreName)> = self
            .owners
            .iter()
            .filter(|(_, it)| it.level > 0 && it.is_backing_off(now) && !it.is_failing)
            .filter(|(_, it)| it.fraction_asked_at.is_none_or(|at| at < arrived))
            .map(|(centre, it)| (it.level, centre))
            .collect();
        let levels: u64 = candidates.iter().map(|it| it.0).sum();
        if levels + self.unspent(now) < UNITS_PER_TOKEN {
            return Vec::new();
        }
        candidates.sort_by_key(|it| std::cmp::Reverse(it.0));
        candidates.into_iter().map(|it| it.1.clone()).collect()
    }

    fn retry_time(&self, now: Instant) -> Duration {
        self.owners
            .values()
            .filter_map(|it| it.backoff_until)
            .map(|it| it.saturating_duration_since(now))
            .min()
            .unwrap_or(MAX_EMPTY_BACKOFF)
            .max(MIN_EMPTY_BACKOFF)
    }

    /// Units to prefetch; 0 if the cache holds more than half of the target.
    fn prefetch_units(&self, now: Instant, is_tight: bool) -> u64 {
        let (prefetch_time, min_rate) = if is_tight {
            (PREFETCH_TIME, MIN_PREFETCH_RATE_PER_S)
        } else {
            (UNCONTENDED_PREFETCH_TIME, UNCONTENDED_MIN_RATE_PER_S)
        };
        let rate = self.demand.rate(now);
        if rate < min_rate {
            return 0;
        }
        let target = (rate * prefetch_time.as_secs_f64()).ceil() as u64 * UNITS_PER_TOKEN;
        let held = self.unspent(now);
        if held * 2 > target { 0 } else { target - held }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.grants.retain(|it| now < it.expires && (it.unspent > 0 || !it.is_acknowledged()));
        for owner in self.owners.values_mut() {
            // The grant of a request that was sent so long ago would have expired.
            owner.sent_requests.retain(|it| now < it.sent + GRANT_LIFETIME);
        }
    }

    /// Age of a grant from which its unspent tokens are returned.
    ///
    /// Fractions of a token are returned early, because they admit no request here. Nothing is
    /// returned to an owner whose bucket is not contended.
    fn return_age(&self, now: Instant, is_tight: bool) -> Duration {
        if !is_tight {
            GRANT_LIFETIME
        } else if self.unspent(now) < UNITS_PER_TOKEN {
            FRACTION_RETURN_AGE
        } else {
            RETURN_AGE
        }
    }

    /// Returns usage reports of the grants of a data centre that the owner has not acknowledged.
    fn accounts(&mut self, now: Instant, centre: &CentreName) -> Vec<GrantAccount> {
        let mut accounts = Vec::new();
        let is_tight = self.owners.get(centre).is_some_and(|it| it.is_tight);
        let return_age = self.return_age(now, is_tight);
        for grant in self.grants.iter_mut().filter(|it| it.centre == *centre) {
            if now.saturating_duration_since(grant.received) >= return_age {
                // Debited before the message is sent, so that a returned unit cannot be spent too.
                grant.returned += std::mem::take(&mut grant.unspent);
            }
            if !grant.is_acknowledged() {
                let last = grant.spending_times.map_or(now, |it| it.1);
                accounts.push(GrantAccount {
                    sequence: grant.sequence,
                    spent: grant.spent,
                    returned: grant.returned,
                    age_ms: now.saturating_duration_since(last).as_millis() as u32,
                });
            }
        }
        accounts
    }

    /// Whether usage must be reported to the owner in a data centre although no caller request
    /// waits for a token.
    fn is_report_due(&self, now: Instant, centre: &CentreName, is_tight: bool) -> bool {
        if !is_tight {
            // Usage is reported with the next request; an unreported grant expires as if spent.
            return false;
        }
        let return_age = self.return_age(now, is_tight);
        self.grants.iter().filter(|it| it.centre == *centre && now < it.expires).any(|it| {
            let is_return_due =
                it.unspent > 0 && now.saturating_duration_since(it.received) >= return_age;
            let is_unreported = !it.is_acknowledged()
                && it.spending_times.is_some_and(|(first, _)| {
                    now.saturating_duration_since(first) >= CONTENDED_REPORT_AGE
                });
            is_return_due || is_unreported
        })
    }

    fn on_reply(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        let Some(owner) = self.owners.get_mut(centre) else {
            return;
        };
        let Some(index) = owner.sent_requests.iter().position(|it| it.sequence == reply.sequence)
        else {
            // A duplicate or very late reply; its tokens are not used.
            return;
        };
        let request = owner.sent_requests.remove(index);
        if request.is_for_waiting {
            owner.asked_at = owner.asked_at.max(Some(request.sent));
        }
        if request.is_partial {
            owner.fraction_asked_at = owner.fraction_asked_at.max(Some(request.sent));
        }
        owner.is_failing = false;
        owner.is_tight = reply.is_tight;
        owner.level = reply.level;
        if !reply.is_owner {
            owner.backoff_until = Some(now + NOT_OWNER_BACKOFF);
            return;
        }
        owner.empty_replies =
            if reply.granted > 0 || reply.retry_ms == 0 { 0 } else { owner.empty_replies + 1 };
        // Exponential backoff while hosts compete for each token; the refill stays in the bucket.
        let retry_time = Duration::from_millis(reply.retry_ms.into());
        let backoff = retry_time.saturating_mul(1 << owner.empty_replies.min(6));
        owner.backoff_until =
            (reply.retry_ms > 0).then(|| now + backoff.clamp(MIN_EMPTY_BACKOFF, MAX_EMPTY_BACKOFF));
        for account in &request.accounts {
            if let Some(grant) = self.grants.iter_mut().find(|it| it.sequence == account.sequence) {
                grant.acknowledged = (account.spent, account.returned);
                if grant.spent == account.spent {
                    grant.spending_times = None;
                }
            }
        }
        let expires = request.sent + Duration::from_millis(reply.lifetime_ms.into());
        if reply.granted > 0 && now < expires {
            let grant = CachedGrant {
                centre: centre.clone(),
                sequence: reply.sequence,
                unspent: reply.granted,
                spent: 0,
                returned: 0,
                received: now,
                expires,
                acknowledged: (0, 0),
                spending_times: None,
            };
            let index = self.grants.partition_point(|it| it.expires <= expires);
            self.grants.insert(index, grant);
        }
    }
}

/// The token cache of one host, for every team with recent requests.
///
/// For each caller request that needs a token, [`Self::acquire`] is called until it no longer
/// returns `RequestFrom`: again after each reply or failure and at each tick, oldest request first.
#[derive(Debug)]
pub struct TokenCache {
    host: HostName,
    incarnation: u64,
    centre: CentreName,
    /// Sequence number of the last token request; shared by all teams.
    sequence: u64,
    teams: BTreeMap<TeamName, TeamCache>,
}

impl TokenCache {
    /// Creates the empty cache of a process on `host` in the data centre `centre`.
    pub fn new(host: HostName, incarnation: u64, centre: CentreName) -> Self {
        Self { host, incarnation, centre, sequence: 0, teams: BTreeMap::new() }
    }

    /// Acquires a token for a caller request of `team` that arrived at `arrived`.
    ///
    /// `split` is the catalogue's split of the team's limits. Each data centre is asked at most
    /// once for a whole token for a request.
    pub fn acquire(
        &mut self,
        now: Instant,
        arrived: Instant,
        team: &TeamName,
        split: &LimitSplit,
    ) -> AcquireOutcome {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamCache::new(now));
        }
        let cache = self.teams.get_mut(team).expect("inserted above");
        if cache.spend(now) {
            cache.demand.record(now);
            return AcquireOutcome::Acquired;
        }
        let mut order: Vec<&CentreName> = split.centres().collect();
        order.sort_by_key(|it| **it != self.centre);
        let candidates = cache.candidates(now, arrived, &order);
        if candidates.is_empty() {
            cache.demand.record(now);
            return AcquireOutcome::Refused { retry_after: cache.retry_time(now) };
        }
        AcquireOutcome::RequestFrom(candidates)
    }

    /// Returns the request to send to the owner in a data centre; `None` while an earlier one is
    /// in flight.
    ///
    /// `waiting` is the number of caller requests of the team that wait for a token.
    pub fn token_request(
        &mut self,
        now: Instant,
        team: &TeamName,
        centre: &CentreName,
        waiting: u32,
    ) -> Option<GrantRequest> {
        let cache = self.teams.get_mut(team)?;
        cache.drop_expired(now);
        let owner = cache.owners.entry(centre.clone()).or_default();
        if owner.in_flight().is_some() {
            return None;
        }
        // The larger prefetch applies only while a caller request waits; otherwise the caches of
        // idle teams would be refilled.
        let is_tight = owner.is_tight || waiting == 0;
        let accounts = cache.accounts(now, centre);
        let spare = if *centre == self.centre { cache.prefetch_units(now, is_tight) } else { 0 };
        let is_partial = waiting > 0 && cache.owners[centre].is_backing_off(now);
        let mut wanted = u64::from(waiting) * UNITS_PER_TOKEN;
        if is_partial {
            wanted = wanted.saturating_sub(cache.unspent(now));
        }
        self.sequence += 1;
        let owner = cache.owners.entry(centre.clone()).or_default();
        owner.sent_requests.push(SentRequest {
            sequence: self.sequence,
            sent: now,
            is_for_waiting: waiting > 0,
            accounts: accounts.clone(),
            is_partial,
            has_failed: false,
        });
        Some(GrantRequest {
            team: team.clone(),
            borrower: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            wanted,
            spare,
            is_partial,
            accounts,
        })
    }

    /// Ends the backoff of a data centre whose owners may have changed, so that the new ones are
    /// asked at once.
    pub fn on_owners_changed(&mut self, centre: &CentreName) {
        for cache in self.teams.values_mut() {
            if let Some(owner) = cache.owners.get_mut(centre) {
                owner.backoff_until = None;
                owner.is_failing = false;
            }
        }
    }

    /// Stores the tokens of a reply and the state of the owner that it reports.
    pub fn on_reply(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        if let Some(cache) = self.teams.get_mut(&reply.team) {
            cache.on_reply(now, centre, reply);
        }
    }

    /// Backs off from an owner after a failed request; a late reply is still accepted once.
    pub fn on_failed(&mut self, now: Instant, team: &TeamName, centre: &CentreName, sequence: u64) {
        let owner = self.teams.get_mut(team).and_then(|it| it.owners.get_mut(centre));
        let Some(owner) = owner else {
            return;
        };
        if let Some(request) = owner.sent_requests.iter_mut().find(|it| it.sequence == sequence) {
            request.has_failed = true;
            if request.is_for_waiting {
                owner.asked_at = owner.asked_at.max(Some(request.sent));
            }
            owner.is_failing = true;
            owner.level = 0;
            owner.backoff_until = Some(now + FAILURE_BACKOFF);
        }
    }

    /// Returns requests that are due without a waiting caller request, because they report or
    /// return tokens or prefetch some. Drops the caches of idle teams.
    ///
    /// Must be called about every 10 ms.
    pub fn due_requests(&mut self, now: Instant) -> Vec<(CentreName, GrantRequest)> {
        self.teams.retain(|_, cache| {
            cache.drop_expired(now);
            !cache.grants.is_empty()
                || cache.owners.values().any(|it| !it.sent_requests.is_empty())
                || now.saturating_duration_since(cache.demand.updated_at) < IDLE_TTL
        });
        let mut due = Vec::new();
        for (team, cache) in &self.teams {
            for (centre, owner) in &cache.owners {
                let may_ask = owner.backoff_until.is_none_or(|it| now >= it);
                let wants_more =
                    *centre == self.centre && may_ask && cache.prefetch_units(now, true) > 0;
                let may_report = !owner.is_failing || may_ask;
                let has_reports = cache.is_report_due(now, centre, owner.is_tight) && may_report;
                if owner.in_flight().is_none() && (wants_more || has_reports) {
                    due.push((team.clone(), centre.clone()));
                }
            }
        }
        due.into_iter()
            .filter_map(|(team, centre)| {
                let request = self.token_request(now, &team, &centre, 0)?;
                Some((centre, request))
            })
            .collect()
    }

    /// Returns the tokens cached for a team, if it had requests recently.
    pub fn team(&self, team: &TeamName) -> Option<&TeamCache> {
        self.teams.get(team)
    }
}
