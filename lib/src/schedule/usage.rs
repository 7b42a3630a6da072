//! How much of the upstreams each team has used in the last seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

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
        let level = fair_level(self.teams.values().map(|it| it.asked).collect(), started);
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
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let factor = (-age.as_secs_f64() / USAGE_TIME.as_secs_f64()).exp();
        self.updated = Some(now);
        self.teams.retain(|_, it| {
            it.asked *= factor;
            it.started *= factor;
            it.asked.max(it.started) >= MIN_USAGE
        });
    }
}

/// Returns the level at which the sum of the demands, each cut to the level, is `room`.
fn fair_level(mut demands: Vec<f64>, room: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let (mut left, mut count) = (room, demands.len());
    for demand in demands {
        let level = left / count as f64;
        if demand >= level {
            return level;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
