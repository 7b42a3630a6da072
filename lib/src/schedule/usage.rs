//! How much of the upstreams each team has used in the last seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::names::TeamName;

/// Time in which used work decays to 1/e (37%). It is longer than the bursts of an ordinary team,
/// and short enough that a team that stops its surge is served as before after some seconds.
const USAGE_TIME: Duration = Duration::from_secs(2);

/// Multiple of its fair part from which a team counts as above its share, so that teams with equal
/// loads do not change places all the time.
const ABOVE_SHARE_MULTIPLE: f64 = 1.25;

/// Used work below which a team is forgotten, in requests.
const MIN_USAGE: f64 = 0.01;

/// Work that teams have started, in requests of mean work, as a decaying sum.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUsage {
    used: BTreeMap<TeamName, f64>,
    updated: Option<Instant>,
}

impl TeamUsage {
    /// Records a request that starts.
    pub(super) fn record(&mut self, now: Instant, team: &TeamName, work: f64) {
        self.decay(now);
        *self.used.entry(team.clone()).or_default() += work;
    }

    /// Returns the teams whose use is above their fair part of all use.
    ///
    /// `waiting` is what each team has waiting. The fair part is the level up to which all demands
    /// are met with what was used: a team that wants less than the level is never above its share,
    /// and a single team is never limited.
    pub(super) fn above_share(
        &mut self,
        now: Instant,
        waiting: &BTreeMap<TeamName, f64>,
    ) -> BTreeSet<TeamName> {
        self.decay(now);
        let mut demands = self.used.clone();
        for (team, work) in waiting {
            *demands.entry(team.clone()).or_default() += work;
        }
        if demands.len() < 2 {
            return BTreeSet::new();
        }
        let level = fair_level(demands.values().copied().collect(), self.used.values().sum());
        let limit = level * ABOVE_SHARE_MULTIPLE;
        let above = self.used.iter().filter(|(_, used)| **used > limit);
        above.map(|(team, _)| team.clone()).collect()
    }

    fn decay(&mut self, now: Instant) {
        let age = self.updated.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let factor = (-age.as_secs_f64() / USAGE_TIME.as_secs_f64()).exp();
        self.updated = Some(now);
        self.used.retain(|_, it| {
            *it *= factor;
            *it >= MIN_USAGE
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
