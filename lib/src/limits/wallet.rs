//! The host's side: tokens borrowed from the owners in all data centres.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{GRANT_LIFETIME, GrantAccount, GrantReply, GrantRequest, LimitSplit, UNITS_PER_TOKEN};
use crate::names::{CentreName, HostName, TeamName};

/// Time for which tokens are requested in advance of the recent demand.
const ADVANCE: Duration = Duration::from_millis(50);

/// Demand from which tokens are requested in advance, in requests per second. From there on,
/// parts of a token are not worth their messages.
const MIN_ADVANCE_RATE: f64 = 20.0;

/// As the two above while the owner has tokens to spare: most grants then serve several requests,
/// and what is left of them expires. One exchange costs about 500 bytes, and a host may spend
/// 4 KB/s on all control traffic.
const UNCONTENDED_ADVANCE: Duration = Duration::from_millis(800);
const UNCONTENDED_MIN_RATE: f64 = 1.0;

/// Time constant of the demand estimate.
const DEMAND_MEMORY: Duration = Duration::from_millis(500);

/// Age from which unspent tokens are returned.
const RETURN_AGE: Duration = Duration::from_millis(250);
const PART_RETURN_AGE: Duration = Duration::from_millis(50);

/// Age from which spent tokens are reported without another reason for a message, if the owner said
/// that outstanding grants hold back the refill.
const TIGHT_REPORT_AGE: Duration = Duration::from_millis(20);

/// Bounds of the time for which an owner without tokens is not asked again. They bound the
/// messages that a team beyond its rate causes.
const MIN_EMPTY: Duration = Duration::from_millis(5);
const MAX_EMPTY: Duration = Duration::from_millis(100);

/// Time for which a data centre is not asked after a lost message or an answer by a host that
/// is not the owner.
const LOST_PAUSE: Duration = Duration::from_millis(300);
const NOT_OWNER_PAUSE: Duration = Duration::from_millis(100);

/// Time after which other data centres are asked before an answer is there.
const SLOW_ANSWER: Duration = Duration::from_millis(20);

/// Time after which a wallet without tokens and requests is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// What became of an attempt to take a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// A token was spent; the request is admitted.
    Acquired,
    /// The first of these data centres that can be reached is to be asked; after its answer,
    /// its loss or a tick the attempt is to be repeated.
    RequestFrom(Vec<CentreName>),
    /// No data centre has a token.
    Refused {
        /// Time after which another attempt makes sense.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct HeldGrant {
    centre: CentreName,
    sequence: u64,
    left: u64,
    spent: u64,
    returned: u64,
    received: Instant,
    expires: Instant,
    /// Spent and returned units of which the owner is known to know.
    acknowledged: (u64, u64),
    /// Time of the first spending that is not acknowledged and of the last spending.
    spent_between: Option<(Instant, Instant)>,
}

impl HeldGrant {
    fn is_settled(&self) -> bool {
        self.acknowledged == (self.spent, self.returned)
    }
}

#[derive(Clone, Debug)]
struct GrantFlight {
    sequence: u64,
    sent: Instant,
    /// Whether it asked for tokens of waiting requests; a report does not count as asking.
    is_for_waiting: bool,
    accounts: Vec<GrantAccount>,
    is_partial: bool,
    is_lost: bool,
}

/// What is known about the owner in one data centre.
#[derive(Clone, Debug, Default)]
struct LenderState {
    /// Requests that may still be answered; at most one of them is not lost.
    flights: Vec<GrantFlight>,
    /// Time until which the owner is not asked.
    closed_until: Option<Instant>,
    /// Sending time of the last request that was answered or lost.
    asked: Option<Instant>,
    /// As `asked`, for requests for part of a token.
    asked_for_part: Option<Instant>,
    /// Units that the owner had left after its last answer.
    level: u64,
    /// Consecutive answers without a token.
    misses: u32,
    is_suspect: bool,
    is_tight: bool,
}

impl LenderState {
    fn pending(&self) -> Option<&GrantFlight> {
        self.flights.iter().find(|it| !it.is_lost)
    }

    /// Whether the owner is known to have no whole token, or cannot be reached.
    fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|it| now < it)
    }

    fn is_slow(&self, now: Instant) -> bool {
        self.pending().is_some_and(|it| now.saturating_duration_since(it.sent) >= SLOW_ANSWER)
    }
}

/// Exponentially decaying mean of the demand.
#[derive(Clone, Copy, Debug)]
struct DemandMeter {
    weight: f64,
    at: Instant,
}

impl DemandMeter {
    fn note(&mut self, now: Instant) {
        self.weight = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp()
    }

    /// Requests per second.
    fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_MEMORY.as_secs_f64()
    }
}

/// The tokens of one team at one host.
#[derive(Debug)]
pub struct TeamCache {
    grants: Vec<HeldGrant>,
    lenders: BTreeMap<CentreName, LenderState>,
    demand: DemandMeter,
}

impl TeamCache {
    fn new(now: Instant) -> Self {
        Self {
            grants: Vec::new(),
            lenders: BTreeMap::new(),
            demand: DemandMeter { weight: 0.0, at: now },
        }
    }

    /// Returns the unspent units.
    pub fn unspent(&self, now: Instant) -> u64 {
        self.grants.iter().filter(|it| now < it.expires).map(|it| it.left).sum()
    }

    fn spend(&mut self, now: Instant) -> bool {
        if self.unspent(now) < UNITS_PER_TOKEN {
            return false;
        }
        let mut missing = UNITS_PER_TOKEN;
        // Grants are ordered by the sending of their requests; the oldest expire first.
        for grant in self.grants.iter_mut().filter(|it| now < it.expires) {
            let used = grant.left.min(missing);
            if used > 0 {
                grant.left -= used;
                grant.spent += used;
                missing -= used;
                let first = grant.spent_between.map_or(now, |it| it.0);
                grant.spent_between = Some((first, now));
            }
        }
        true
    }

    /// Data centres to ask for a request that arrived at `arrived`.
    fn candidates(&self, now: Instant, arrived: Instant, order: &[&CentreName]) -> Vec<CentreName> {
        let mut candidates: Vec<(bool, &CentreName)> = order
            .iter()
            .filter_map(|centre| {
                let Some(lender) = self.lenders.get(*centre) else {
                    return Some((false, *centre));
                };
                let was_asked = lender.asked.is_some_and(|it| it >= arrived);
                let is_last = lender.is_suspect || lender.is_slow(now);
                (!lender.is_closed(now) && !was_asked).then_some((is_last, *centre))
            })
            .collect();
        if candidates.is_empty() {
            return self.part_candidates(now, arrived);
        }
        candidates.sort_by_key(|it| it.0);
        candidates.into_iter().map(|it| it.1.clone()).collect()
    }

    /// Data centres that together have a token although none of them has a whole one.
    ///
    /// Without this, a team whose burst share is one token loses the refill of every data
    /// centre that is full while another one is not.
    fn part_candidates(&self, now: Instant, arrived: Instant) -> Vec<CentreName> {
        if self.demand.rate(now) >= MIN_ADVANCE_RATE {
            return Vec::new();
        }
        let mut candidates: Vec<(u64, &CentreName)> = self
            .lenders
            .iter()
            .filter(|(_, it)| it.level > 0 && it.is_closed(now) && !it.is_suspect)
            .filter(|(_, it)| it.asked_for_part.is_none_or(|at| at < arrived))
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
        self.lenders
            .values()
            .filter_map(|it| it.closed_until)
            .map(|it| it.saturating_duration_since(now))
            .min()
            .unwrap_or(MAX_EMPTY)
            .max(MIN_EMPTY)
    }

    /// Units to request in advance; nothing if the wallet is at least half full.
    fn advance(&self, now: Instant, is_tight: bool) -> u64 {
        let (span, min_rate) = if is_tight {
            (ADVANCE, MIN_ADVANCE_RATE)
        } else {
            (UNCONTENDED_ADVANCE, UNCONTENDED_MIN_RATE)
        };
        let rate = self.demand.rate(now);
        if rate < min_rate {
            return 0;
        }
        let goal = (rate * span.as_secs_f64()).ceil() as u64 * UNITS_PER_TOKEN;
        let held = self.unspent(now);
        if held * 2 > goal { 0 } else { goal - held }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.grants.retain(|it| now < it.expires && (it.left > 0 || !it.is_settled()));
        for lender in self.lenders.values_mut() {
            // A request of which nothing was heard for so long is lost in any case.
            lender.flights.retain(|it| now < it.sent + GRANT_LIFETIME);
        }
    }

    /// Age from which unspent tokens are returned; parts of a token are of little use here.
    ///
    /// Nothing is returned to an owner with tokens to spare.
    fn return_age(&self, now: Instant, is_tight: bool) -> Duration {
        if !is_tight {
            GRANT_LIFETIME
        } else if self.unspent(now) < UNITS_PER_TOKEN {
            PART_RETURN_AGE
        } else {
            RETURN_AGE
        }
    }

    /// Accounts of the grants of a data centre of which the owner does not know.
    fn accounts(&mut self, now: Instant, centre: &CentreName) -> Vec<GrantAccount> {
        let mut accounts = Vec::new();
        let is_tight = self.lenders.get(centre).is_some_and(|it| it.is_tight);
        let return_age = self.return_age(now, is_tight);
        for grant in self.grants.iter_mut().filter(|it| it.centre == *centre) {
            if now.saturating_duration_since(grant.received) >= return_age {
                // Debited before the message is sent, so that a returned unit cannot be spent.
                grant.returned += std::mem::take(&mut grant.left);
            }
            if !grant.is_settled() {
                let last = grant.spent_between.map_or(now, |it| it.1);
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

    /// Whether the owner in a data centre should hear from this host without a request waiting.
    fn is_report_due(&self, now: Instant, centre: &CentreName, is_tight: bool) -> bool {
        if !is_tight {
            // Spent tokens are reported with the next request, or count as spent when they expire.
            return false;
        }
        let return_age = self.return_age(now, is_tight);
        self.grants.iter().filter(|it| it.centre == *centre && now < it.expires).any(|it| {
            let is_unused = it.left > 0 && now.saturating_duration_since(it.received) >= return_age;
            let is_unreported = !it.is_settled()
                && it.spent_between.is_some_and(|(first, _)| {
                    now.saturating_duration_since(first) >= TIGHT_REPORT_AGE
                });
            is_unused || is_unreported
        })
    }

    fn on_reply(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        let Some(lender) = self.lenders.get_mut(centre) else {
            return;
        };
        let Some(index) = lender.flights.iter().position(|it| it.sequence == reply.sequence) else {
            // A repeated or very late answer; its tokens are lost.
            return;
        };
        let flight = lender.flights.remove(index);
        if flight.is_for_waiting {
            lender.asked = lender.asked.max(Some(flight.sent));
        }
        if flight.is_partial {
            lender.asked_for_part = lender.asked_for_part.max(Some(flight.sent));
        }
        lender.is_suspect = false;
        lender.is_tight = reply.is_tight;
        lender.level = reply.level;
        if !reply.is_owner {
            lender.closed_until = Some(now + NOT_OWNER_PAUSE);
            return;
        }
        lender.misses =
            if reply.granted > 0 || reply.retry_ms == 0 { 0 } else { lender.misses + 1 };
        // Hosts that compete for each token back off; the refill meanwhile stays in the bucket.
        let retry = Duration::from_millis(reply.retry_ms.into());
        let pause = retry.saturating_mul(1 << lender.misses.min(6));
        lender.closed_until = (reply.retry_ms > 0).then(|| now + pause.clamp(MIN_EMPTY, MAX_EMPTY));
        for account in &flight.accounts {
            if let Some(grant) = self.grants.iter_mut().find(|it| it.sequence == account.sequence) {
                grant.acknowledged = (account.spent, account.returned);
                if grant.spent == account.spent {
                    grant.spent_between = None;
                }
            }
        }
        let expires = flight.sent + Duration::from_millis(reply.lifetime_ms.into());
        if reply.granted > 0 && now < expires {
            let grant = HeldGrant {
                centre: centre.clone(),
                sequence: reply.sequence,
                left: reply.granted,
                spent: 0,
                returned: 0,
                received: now,
                expires,
                acknowledged: (0, 0),
                spent_between: None,
            };
            let index = self.grants.partition_point(|it| it.expires <= expires);
            self.grants.insert(index, grant);
        }
    }
}

/// The token cache of one host, for every team with recent requests.
///
/// For each request that wants a token, [`Self::acquire`] is called and repeated after each answer
/// or loss and at each tick, oldest request first, until it does not return `RequestFrom`.
#[derive(Debug)]
pub struct TokenCache {
    host: HostName,
    incarnation: u64,
    centre: CentreName,
    /// Sequence of the last request; shared by all teams.
    sequence: u64,
    teams: BTreeMap<TeamName, TeamCache>,
}

impl TokenCache {
    /// Creates the table of a process on `host` in the data centre `centre`.
    pub fn new(host: HostName, incarnation: u64, centre: CentreName) -> Self {
        Self { host, incarnation, centre, sequence: 0, teams: BTreeMap::new() }
    }

    /// Takes a token for a request of `team` that arrived at `arrived`.
    ///
    /// `share` is the catalogue's split. Each data centre is asked at most once for a request.
    pub fn acquire(
        &mut self,
        now: Instant,
        arrived: Instant,
        team: &TeamName,
        share: &LimitSplit,
    ) -> AcquireOutcome {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamCache::new(now));
        }
        let wallet = self.teams.get_mut(team).expect("inserted above");
        if wallet.spend(now) {
            wallet.demand.note(now);
            return AcquireOutcome::Acquired;
        }
        let mut order: Vec<&CentreName> = share.centres().collect();
        order.sort_by_key(|it| **it != self.centre);
        let candidates = wallet.candidates(now, arrived, &order);
        if candidates.is_empty() {
            wallet.demand.note(now);
            return AcquireOutcome::Refused { retry_after: wallet.retry_time(now) };
        }
        AcquireOutcome::RequestFrom(candidates)
    }

    /// Returns the request to send to the owner in a data centre; nothing while an earlier one
    /// has neither been answered nor been lost.
    ///
    /// `waiting` is the number of requests of the team that wait for a token.
    pub fn token_request(
        &mut self,
        now: Instant,
        team: &TeamName,
        centre: &CentreName,
        waiting: u32,
    ) -> Option<GrantRequest> {
        let wallet = self.teams.get_mut(team)?;
        wallet.drop_expired(now);
        let lender = wallet.lenders.entry(centre.clone()).or_default();
        if lender.pending().is_some() {
            return None;
        }
        // Only a request that somebody waits for takes a larger batch in advance; otherwise idle
        // token_cache would be refilled for nothing.
        let is_tight = lender.is_tight || waiting == 0;
        let accounts = wallet.accounts(now, centre);
        let spare = if *centre == self.centre { wallet.advance(now, is_tight) } else { 0 };
        let is_partial = waiting > 0 && wallet.lenders[centre].is_closed(now);
        let mut wanted = u64::from(waiting) * UNITS_PER_TOKEN;
        if is_partial {
            wanted = wanted.saturating_sub(wallet.unspent(now));
        }
        self.sequence += 1;
        let lender = wallet.lenders.entry(centre.clone()).or_default();
        lender.flights.push(GrantFlight {
            sequence: self.sequence,
            sent: now,
            is_for_waiting: waiting > 0,
            accounts: accounts.clone(),
            is_partial,
            is_lost: false,
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

    /// Notes that other hosts may be the owners in a data centre, so that they are asked at once.
    pub fn on_owners_changed(&mut self, centre: &CentreName) {
        for wallet in self.teams.values_mut() {
            if let Some(lender) = wallet.lenders.get_mut(centre) {
                lender.closed_until = None;
                lender.is_suspect = false;
            }
        }
    }

    /// Takes the answer of the owner in a data centre.
    pub fn on_reply(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        if let Some(wallet) = self.teams.get_mut(&reply.team) {
            wallet.on_reply(now, centre, reply);
        }
    }

    /// Notes that a request was not answered in time; a later answer is still accepted once.
    pub fn on_failed(&mut self, now: Instant, team: &TeamName, centre: &CentreName, sequence: u64) {
        let lender = self.teams.get_mut(team).and_then(|it| it.lenders.get_mut(centre));
        let Some(lender) = lender else {
            return;
        };
        if let Some(flight) = lender.flights.iter_mut().find(|it| it.sequence == sequence) {
            flight.is_lost = true;
            if flight.is_for_waiting {
                lender.asked = lender.asked.max(Some(flight.sent));
            }
            lender.is_suspect = true;
            lender.level = 0;
            lender.closed_until = Some(now + LOST_PAUSE);
        }
    }

    /// Returns requests that report or return tokens or fetch tokens in advance; to be called
    /// about every 10 ms. Drops idle token_cache.
    pub fn due_requests(&mut self, now: Instant) -> Vec<(CentreName, GrantRequest)> {
        self.teams.retain(|_, wallet| {
            wallet.drop_expired(now);
            !wallet.grants.is_empty()
                || wallet.lenders.values().any(|it| !it.flights.is_empty())
                || now.saturating_duration_since(wallet.demand.at) < IDLE_TIME
        });
        let mut due = Vec::new();
        for (team, wallet) in &self.teams {
            for (centre, lender) in &wallet.lenders {
                let is_open = lender.closed_until.is_none_or(|it| now >= it);
                let wants_more = *centre == self.centre && is_open && wallet.advance(now, true) > 0;
                let is_reachable = !lender.is_suspect || is_open;
                let reports = wallet.is_report_due(now, centre, lender.is_tight) && is_reachable;
                if lender.pending().is_none() && (wants_more || reports) {
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

    /// Returns the wallet of a team if it had requests recently.
    pub fn team(&self, team: &TeamName) -> Option<&TeamCache> {
        self.teams.get(team)
    }
}
