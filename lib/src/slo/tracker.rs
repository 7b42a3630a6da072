//! Counts good and bad events per team and class in a ring of time buckets.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::report::{BurnReport, BurnRow, LONG_WINDOW, SHORT_WINDOW, WindowBurn};
use crate::{
    catalogue::Catalogue,
    names::{ClassName, TeamName},
};

/// Length of a bucket.
///
/// A window ends inside the current bucket, so it is up to one bucket shorter than its name:
/// 290 s to 300 s for the short one. A ring that holds the 360 buckets of the long window has 512
/// slots of 32 bytes, so 440 teams in one class each take 7 MB.
const BUCKET: Duration = Duration::from_secs(10);

/// How a request ended, as the team sees it.
///
/// Requests that fail through the caller (a malformed request, a wrong key, a caller that
/// disconnects within the deadline) are not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SloEvent {
    /// The whole response was sent; good if the first chunk came within the deadline.
    Completed {
        /// Time from the request to the first chunk.
        first_chunk: Duration,
        /// Deadline of the class when the request was admitted.
        deadline: Duration,
    },
    /// The response broke off after its first chunk.
    Truncated,
    /// Refused although the team was within its rate.
    RefusedWithinRate,
    /// Whether the request ran is not known.
    UnknownOutcome,
    /// Refused because the team exceeded its rate; not counted against the objective.
    RefusedOverRate,
}

/// Good and bad events of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct EventCounts {
    good: u64,
    bad: u64,
    over_rate: u64,
}

impl EventCounts {
    fn add(&mut self, event: SloEvent) {
        match event {
            SloEvent::Completed { first_chunk, deadline } if first_chunk <= deadline => {
                self.good += 1
            }
            SloEvent::RefusedOverRate => self.over_rate += 1,
            SloEvent::Completed { .. }
            | SloEvent::Truncated
            | SloEvent::RefusedWithinRate
            | SloEvent::UnknownOutcome => self.bad += 1,
        }
    }
}

/// Buckets of one team and class that hold events, oldest first.
type BucketRing = VecDeque<(u64, EventCounts)>;

/// Counters of one process behind its burn report.
#[derive(Debug)]
pub struct BurnTracker {
    start: Instant,
    /// Number of the bucket that was current at the last call.
    current: u64,
    rings: BTreeMap<(TeamName, ClassName), BucketRing>,
}

impl BurnTracker {
    /// Creates a tracker without events.
    pub fn new(now: Instant) -> Self {
        Self { start: now, current: 0, rings: BTreeMap::new() }
    }

    /// Counts an event of a team.
    ///
    /// Team and class must be names of the catalogue or the pseudo-team of open routes, so that
    /// they bound the memory used.
    pub fn record(&mut self, now: Instant, team: &TeamName, class: &ClassName, event: SloEvent) {
        self.advance(now);
        let key = (team.clone(), class.clone());
        let ring = self.rings.entry(key).or_default();
        match ring.back_mut() {
            Some((number, counts)) if *number == self.current => counts.add(event),
            _ => {
                let mut counts = EventCounts::default();
                counts.add(event);
                ring.push_back((self.current, counts));
            }
        }
    }

    /// Reports both windows up to `now`.
    ///
    /// The objective is that of the class in `catalogue`. Classes that it no longer holds are
    /// left out.
    pub fn report(&mut self, now: Instant, catalogue: &Catalogue) -> BurnReport {
        self.advance(now);
        let rows = self.rings.iter().filter_map(|((team, class), ring)| {
            let objective = catalogue.classes().get(class)?.objective;
            Some(BurnRow::new(
                team.clone(),
                class.clone(),
                objective,
                self.window(ring, SHORT_WINDOW, objective),
                self.window(ring, LONG_WINDOW, objective),
            ))
        });
        BurnReport::new(rows.collect())
    }

    /// Moves to the bucket of `now` and drops what left the long window.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let number = elapsed.as_secs() / BUCKET.as_secs();
        if number <= self.current {
            // An event from a thread that read the clock earlier counts in the current bucket.
            return;
        }
        self.current = number;
        let first = first_bucket(number, LONG_WINDOW);
        self.rings.retain(|_, ring| {
            while ring.front().is_some_and(|(number, _)| *number < first) {
                ring.pop_front();
            }
            !ring.is_empty()
        });
    }

    fn window(&self, ring: &BucketRing, length: Duration, objective: f64) -> WindowBurn {
        let first = first_bucket(self.current, length);
        let (mut good, mut bad, mut over_rate) = (0, 0, 0);
        let recent = ring.iter().rev().take_while(|(number, _)| *number >= first);
        for (_, counts) in recent {
            good += counts.good;
            bad += counts.bad;
            over_rate += counts.over_rate;
        }
        WindowBurn::new(good, bad, over_rate, objective)
    }
}

/// Returns the oldest bucket of a window that ends in bucket `current`.
fn first_bucket(current: u64, window: Duration) -> u64 {
    (current + 1).saturating_sub(window.as_secs() / BUCKET.as_secs())
}
