//! Wait times and refusals per team and class.

use std::time::Duration;

use crate::{
    names::{ClassName, TeamName},
    schedule::queue::RefusalReason,
};

/// Histogram buckets per doubling of the wait.
const BUCKETS_PER_DOUBLING: f64 = 3.0;

/// Number of histogram buckets; the last one, up to 2^21 ms (35 minutes), also counts longer waits.
const BUCKET_COUNT: usize = 64;

/// Histogram of wait times. The upper limit of each bucket is 2^(1/3) times the previous one.
#[derive(Clone, Debug)]
pub struct WaitHistogram {
    counts: [u32; BUCKET_COUNT],
}

impl Default for WaitHistogram {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT] }
    }
}

impl WaitHistogram {
    /// Adds a wait time.
    pub fn record(&mut self, wait: Duration) {
        let ms = wait.as_secs_f64() * 1000.0;
        let bucket = if ms <= 1.0 {
            0
        } else {
            ((ms.log2() * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKET_COUNT - 1)
        };
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Returns the number of recorded waits.
    pub fn count(&self) -> u64 {
        self.counts.iter().map(|it| u64::from(*it)).sum()
    }

    /// Returns the upper limit of the bucket that holds the given quantile (0 to 1); `None` without
    /// a recorded wait.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let count = self.count();
        if count == 0 {
            return None;
        }
        let target = ((quantile * count as f64).ceil() as u64).clamp(1, count);
        let mut sum = 0;
        let bucket = self.counts.iter().position(|it| {
            sum += u64::from(*it);
            sum >= target
        })?;
        let ms = (bucket as f64 / BUCKETS_PER_DOUBLING).exp2();
        Some(Duration::from_secs_f64(ms / 1000.0))
    }
}

/// Counters of one team in one class, since process start.
#[derive(Clone, Debug, Default)]
pub struct QueueStats {
    /// Requests pushed to the queue, including refused ones.
    pub pushed: u64,
    /// Requests that started.
    pub started: u64,
    /// Requests that their caller cancelled.
    pub cancelled: u64,
    /// Requests refused on arrival because the queue was full.
    pub refused_full: u64,
    /// Requests removed from a full queue for another one.
    pub shed: u64,
    /// Requests that exceeded the wait limit of their class.
    pub expired_wait: u64,
    /// Requests whose deadline passed in the queue.
    pub expired_deadline: u64,
    /// Wait times of the requests that started.
    pub waits: WaitHistogram,
}

impl QueueStats {
    /// Returns the number of requests refused for any reason.
    pub fn refused(&self) -> u64 {
        self.refused_full + self.shed + self.expired_wait + self.expired_deadline
    }

    /// Returns the share of started requests among started and refused ones; 1 if there is none.
    pub fn started_share(&self) -> f64 {
        let decided = self.started + self.refused();
        if decided == 0 { 1.0 } else { self.started as f64 / decided as f64 }
    }

    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        match reason {
            RefusalReason::QueueFull => self.refused_full += 1,
            RefusalReason::Shed => self.shed += 1,
            RefusalReason::WaitedTooLong => self.expired_wait += 1,
            RefusalReason::DeadlinePassed => self.expired_deadline += 1,
        }
    }
}

/// The counters of one team in one class, with their names.
#[derive(Clone, Copy, Debug)]
pub struct QueueReport<'a> {
    /// The team.
    pub team: &'a TeamName,
    /// The class.
    pub class: &'a ClassName,
    /// The counters.
    pub stats: &'a QueueStats,
}
