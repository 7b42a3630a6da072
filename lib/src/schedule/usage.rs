//! How much of the upstreams each team has used in the last seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::share::fair_limit;
use crate::names::TeamName;

/// Time in which used work decays to 1/e (37%). It is longer than the bursts of an ordinary team,
/// and short enough that a team that stops its surge is served as before after some seconds.
const USAGE_TIME: Duration = Duration::from_secs(2);

/// Part of its fair part that a team lacks before others are put behind it. Without the tolerance,
/// teams with equal loads would change places with each request, and classes would not count.
const LACKING_PART: f64 = 0.05;

/// Least work that a team lacks then, in requests: small teams start about one request in the
/// time that is looked at.
const MIN_LACK: f64 = 0.5;

/// Work below which a team is forgotten, in requests.
const MIN_USAGE: f64 = 0.01;

/// Work that teams have asked for and started, in requests of mean work, as decaying sums.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUsage {
    teams: BTreeMap<TeamName, TeamWork>,
    updated: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamWork {
    /// Work of all requests, refused ones included: a team that is refused asks for no less.
    asked: f64,
    started: f64,
}

impl TeamUsage {
    /// Records a request that arrives.
    pub(super) fn record_arrival(&mut self, now: Instant, team: &TeamName, work: f64) {
        self.decay(now);
        self.teams.entry(team.clone()).or_default().asked += work;
    }

    /// Records a request that starts.
    pub(super) fn record_start(&mut self, now: Instant, team: &TeamName, work: f64) {
        self.decay(now);
        self.teams.entry(team.clone()).or_default().started += work;
    }

    /// Returns the teams that started more than their fair part of all that was started; none while
    /// no other team lacks a part of its own.
    ///
    /// The fair part is the level up to which every team gets what it asks for: a team that asks
    /// for less is never above its share, and a single team is never limited.
    pub(super) fn above_share(&mut self, now: Instant) -> BTreeSet<TeamName> {
        self.decay(now);
        let started = self.teams.values().map(|it| it.started).sum();
        let level = fair_limit(self.teams.values().map(|it| it.asked).collect(), started);
        let lacks_part = |it: &TeamWork| {
            let part = it.asked.min(level);
            part - it.started > MIN_LACK.max(LACKING_PART * part)
        };
        if !self.teams.values().any(lacks_part) {
            return BTreeSet::new();
        }
        let above = self.teams.iter().filter(|(_, work)| work.started > level);
        above.map(|(team, _)| team.clone()).collect()
    }

    fn decay(&mut self, now: Instant) {
        let factor = decay_factor(self.updated, now);
        self.updated = Some(now);
        self.teams.retain(|_, it| {
            it.asked *= factor;
            it.started *= factor;
            it.asked.max(it.started) >= MIN_USAGE
        });
    }
}

/// Priority and team of requests; no team on routes that are open to all.
pub(super) type DemandKey = (u8, Option<TeamName>);

/// Requests of mean work that were refused, as decaying sums.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedDemand {
    sums: BTreeMap<DemandKey, f64>,
    updated: Option<Instant>,
}

impl RefusedDemand {
    /// Records a request that is refused.
    pub(super) fn record(&mut self, now: Instant, key: DemandKey, work: f64) {
        let factor = decay_factor(self.updated, now);
        self.updated = Some(now);
        self.sums.retain(|_, it| {
            *it *= factor;
            *it >= MIN_USAGE
        });
        *self.sums.entry(key).or_default() += work;
    }

    /// Returns how many of the refused requests would have been in flight at a time, if each takes
    /// `time`.
    pub(super) fn places(
        &self,
        now: Instant,
        time: Duration,
    ) -> impl Iterator<Item = (&DemandKey, f64)> {
        let factor =
            decay_factor(self.updated, now) * time.as_secs_f64() / USAGE_TIME.as_secs_f64();
        self.sums.iter().map(move |(key, sum)| (key, sum * factor))
    }
}

/// Returns what is left of a sum that was updated at `then`.
fn decay_factor(then: Option<Instant>, now: Instant) -> f64 {
    let age = then.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
    (-age.as_secs_f64() / USAGE_TIME.as_secs_f64()).exp()
}
