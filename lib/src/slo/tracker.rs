//! Counts good and bad events per team and class in time buckets over a sliding window.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::report::{BurnReport, BurnRow, LONG_WINDOW, SHORT_WINDOW, WindowBurn};
use crate::{
    catalogue::Catalogue,
    names::{ClassName, TeamName},
};

/// Length of a time bucket.
///
/// A window includes the current, incomplete bucket, so it covers up to one bucket less than its
/// length: 290 s to 300 s for the short one. A ring that holds the 360 buckets of the long window
/// has 512 slots of 32 bytes, so 440 teams in one class each need 7 MB in total.
const BUCKET_LENGTH: Duration = Duration::from_secs(10);

/// Outcome of a request from the point of view of the team.
///
/// Requests that fail because of the caller (a malformed request, an invalid key, a caller that
/// disconnects within the deadline) are not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SloEvent {
    /// The complete response was sent; good if its first chunk met the deadline.
    Completed {
        /// Time from the request to the first chunk.
        first_chunk: Duration,
        /// Deadline of the class when the request was admitted.
        deadline: Duration,
    },
    /// The response ended early, after its first chunk.
    Truncated,
    /// Refused although the team was within its rate.
    RefusedWithinRate,
    /// It is not known whether the request ran.
    UnknownOutcome,
    /// Refused because the team exceeded its rate; not counted against the objective.
    RefusedOverRate,
}

/// Event counts of one bucket.
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

/// Non-empty buckets of one team and class with their numbers, oldest first.
type BucketRing = VecDeque<(u64, EventCounts)>;

/// Event counters of one process, from which it computes its burn report.
#[derive(Debug)]
pub struct BurnTracker {
    start: Instant,
    /// Number of the bucket that contains the time of the last call, counted from `start`.
    current_bucket: u64,
    rings: BTreeMap<(TeamName, ClassName), BucketRing>,
}

impl BurnTracker {
    /// Creates a tracker without events.
    pub fn new(now: Instant) -> Self {
        Self { start: now, current_bucket: 0, rings: BTreeMap::new() }
    }

    /// Counts an event of a team.
    ///
    /// Team and class must be names of the catalogue or the pseudo-team of open routes, because
    /// each pair of names allocates memory.
    pub fn record(&mut self, now: Instant, team: &TeamName, class: &ClassName, event: SloEvent) {
        self.advance(now);
        let key = (team.clone(), class.clone());
        let ring = self.rings.entry(key).or_default();
        match ring.back_mut() {
            Some((bucket, counts)) if *bucket == self.current_bucket => counts.add(event),
            _ => {
                let mut counts = EventCounts::default();
                counts.add(event);
                ring.push_back((self.current_bucket, counts));
            }
        }
    }

    /// Reports both windows up to `now`.
    ///
    /// Objectives are those of the classes in `catalogue`. Classes that are no longer in it have
    /// no objective and are left out.
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

    /// Makes the bucket of `now` current and drops buckets older than the long window.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let bucket = elapsed.as_secs() / BUCKET_LENGTH.as_secs();
        if bucket <= self.current_bucket {
            // The caller read the clock before another thread that has already advanced the
            // tracker; its event counts in the current bucket.
            return;
        }
        self.current_bucket = bucket;
        let oldest = oldest_bucket(bucket, LONG_WINDOW);
        self.rings.retain(|_, ring| {
            while ring.front().is_some_and(|(bucket, _)| *bucket < oldest) {
                ring.pop_front();
            }
            !ring.is_empty()
        });
    }

    fn window(&self, ring: &BucketRing, length: Duration, objective: f64) -> WindowBurn {
        let oldest = oldest_bucket(self.current_bucket, length);
        let (mut good, mut bad, mut over_rate) = (0, 0, 0);
        let recent = ring.iter().rev().take_while(|(bucket, _)| *bucket >= oldest);
        for (_, counts) in recent {
            good += counts.good;
            bad += counts.bad;
            over_rate += counts.over_rate;
        }
        WindowBurn::new(good, bad, over_rate, objective)
    }
}

/// Returns the oldest bucket of a window that ends in bucket `current_bucket`.
fn oldest_bucket(current_bucket: u64, window: Duration) -> u64 {
    (current_bucket + 1).saturating_sub(window.as_secs() / BUCKET_LENGTH.as_secs())
}
