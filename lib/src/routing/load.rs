//! Load of each upstream, estimated from delayed load reports and the host's own requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;

/// Buckets of a [`PeakWindow`] per report lag.
const WINDOW_BUCKETS: u32 = 8;

/// First-token times over which the running median is taken.
const MEDIAN_SAMPLES: usize = 31;

/// Samples before a jump is detected; the median of fewer is mostly noise.
const MIN_MEDIAN_SAMPLES: usize = 8;

/// A first-token time above this multiple of the running median is a jump.
const FIRST_TOKEN_JUMP_FACTOR: f64 = 4.0;

/// Time constant of the mean load of an upstream, and of its weight after the last report.
///
/// It is longer than most requests, so that the mean does not follow random variations.
const MEAN_LOAD_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Number of finished requests that the assumed duration of a request counts as.
const ASSUMED_DURATION_WEIGHT: f64 = 10.0;

/// Number of finished requests after which the weight of all earlier durations is halved.
const DURATION_HALVING_REQUESTS: f64 = 1_000.0;

/// Weight of a new request in the running mean of tokens per request.
const MEAN_TOKENS_SAMPLE_WEIGHT: f64 = 0.05;

/// What an upstream reports about itself; the body of `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Drawn at random by each process of the upstream at start.
    pub incarnation: u64,
    /// Requests that it executes.
    pub running: u32,
    /// Requests that wait in its own queue.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    #[serde(default)]
    pub capacity: u32,
    /// Outstanding work in tokens; 0 if the upstream does not count tokens.
    #[serde(default)]
    pub work_tokens: u64,
    /// Whether the upstream announces that it is cold.
    #[serde(default)]
    pub cold: bool,
}

/// Time constants of a [`LoadTable`].
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Longest lag of a report: it describes the state at some time in this span before its arrival.
    pub report_lag: Duration,
    /// Duration of a request, assumed until enough own requests have finished.
    pub assumed_duration: Duration,
    /// A first-token time up to this value is never a jump, however small the median is.
    pub min_first_token_jump: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            report_lag: Duration::from_secs(2),
            assumed_duration: Duration::from_secs(4),
            min_first_token_jump: Duration::from_millis(100),
        }
    }
}

/// Amount of outstanding or estimated load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LoadAmount {
    tokens: f64,
    requests: f64,
}

impl LoadAmount {
    /// Returns the weighted mean: `weight` of this amount and the rest of `other`.
    fn weighted_mean(self, weight: f64, other: Self) -> Self {
        Self {
            tokens: weight * self.tokens + (1.0 - weight) * other.tokens,
            requests: weight * self.requests + (1.0 - weight) * other.requests,
        }
    }

    fn max(self, other: Self) -> Self {
        Self { tokens: self.tokens.max(other.tokens), requests: self.requests.max(other.requests) }
    }
}

/// Maximum of the host's own load over the last report lag, in constant memory.
#[derive(Clone, Debug)]
struct PeakWindow {
    current: LoadAmount,
    /// Maximum in each bucket; the current bucket has the index `head` and begins at `head_start`.
    buckets: [LoadAmount; WINDOW_BUCKETS as usize + 1],
    head: usize,
    head_start: Instant,
}

impl PeakWindow {
    fn new(now: Instant) -> Self {
        Self {
            current: LoadAmount::default(),
            buckets: [LoadAmount::default(); WINDOW_BUCKETS as usize + 1],
            head: 0,
            head_start: now,
        }
    }

    fn advance(&mut self, now: Instant, bucket_width: Duration) {
        let elapsed = now.saturating_duration_since(self.head_start);
        let steps = (elapsed.as_nanos() / bucket_width.as_nanos().max(1)) as usize;
        for _ in 0..steps.min(self.buckets.len()) {
            self.head = (self.head + 1) % self.buckets.len();
            self.buckets[self.head] = self.current;
        }
        if steps > self.buckets.len() {
            self.head_start = now;
        } else {
            self.head_start += bucket_width * steps as u32;
        }
    }

    fn apply_change(&mut self, now: Instant, bucket_width: Duration, tokens: f64, requests: f64) {
        self.advance(now, bucket_width);
        self.current.tokens = (self.current.tokens + tokens).max(0.0);
        self.current.requests = (self.current.requests + requests).max(0.0);
        if self.current.requests == 0.0 {
            // Clears the rounding errors of earlier additions.
            self.current.tokens = 0.0;
        }
        self.buckets[self.head] = self.buckets[self.head].max(self.current);
    }

    fn maximum(&mut self, now: Instant, bucket_width: Duration) -> LoadAmount {
        self.advance(now, bucket_width);
        self.buckets.iter().fold(LoadAmount::default(), |max, it| max.max(*it))
    }
}

/// Running median of first-token times, in seconds.
#[derive(Clone, Debug, Default)]
struct MedianWindow {
    samples: [f32; MEDIAN_SAMPLES],
    len: usize,
    next: usize,
}

impl MedianWindow {
    fn add(&mut self, seconds: f64) {
        self.samples[self.next] = seconds as f32;
        self.next = (self.next + 1) % MEDIAN_SAMPLES;
        self.len = (self.len + 1).min(MEDIAN_SAMPLES);
    }

    fn median(&self) -> Option<f64> {
        if self.len < MIN_MEDIAN_SAMPLES {
            return None;
        }
        let mut samples = self.samples;
        let (_, median, _) =
            samples[..self.len].select_nth_unstable_by(self.len / 2, f32::total_cmp);
        Some(f64::from(*median))
    }
}

/// Mean duration of the own requests by Little's law: total time in flight over requests finished.
#[derive(Clone, Copy, Debug)]
struct DurationMean {
    in_flight: f64,
    /// Total time in flight in seconds; halved together with `finished_requests`.
    seconds_in_flight: f64,
    finished_requests: f64,
    updated_at: Option<Instant>,
}

impl DurationMean {
    fn new(assumed: Duration) -> Self {
        Self {
            in_flight: 0.0,
            seconds_in_flight: assumed.as_secs_f64() * ASSUMED_DURATION_WEIGHT,
            finished_requests: ASSUMED_DURATION_WEIGHT,
            updated_at: None,
        }
    }

    fn apply_change(&mut self, now: Instant, requests: f64) {
        if let Some(updated_at) = self.updated_at {
            self.seconds_in_flight +=
                self.in_flight * now.saturating_duration_since(updated_at).as_secs_f64();
        }
        self.updated_at = Some(now);
        self.in_flight = (self.in_flight + requests).max(0.0);
        if requests < 0.0 {
            self.finished_requests += 1.0;
            if self.finished_requests > DURATION_HALVING_REQUESTS {
                self.finished_requests /= 2.0;
                self.seconds_in_flight /= 2.0;
            }
        }
    }

    fn mean(&self) -> f64 {
        self.seconds_in_flight / self.finished_requests
    }
}

/// Load of the other hosts at an upstream according to its last report.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    arrived_at: Instant,
    incarnation: u64,
    other_hosts: LoadAmount,
    /// Running mean of `other_hosts`.
    mean_other_hosts: LoadAmount,
}

#[derive(Clone, Debug)]
struct LoadRecord {
    last_report: Option<LastReport>,
    previous_incarnation: Option<u64>,
    own_load: PeakWindow,
    first_token_times: MedianWindow,
}

/// What the incarnation in a report or a response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// No report of the upstream arrived before.
    First,
    /// The incarnation is unchanged.
    Same,
    /// The upstream restarted.
    NewIncarnation,
    /// The incarnation was replaced by a later one; the report is ignored.
    Outdated,
}

/// Estimated load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Outstanding work of all hosts there, in tokens.
    pub work: f64,
    /// Requests of all hosts, running and waiting.
    pub requests: f64,
    /// Requests of this host in flight.
    pub own_requests: u32,
    /// Time since the last report arrived; `None` without a report.
    pub report_age: Option<Duration>,
}

/// Sums of load and capacity over a set of upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSummary {
    /// Load of other hosts, weighted by the age of the reports.
    reported: LoadAmount,
    /// Capacity of the upstreams with a report, weighted in the same way.
    reported_capacity: f64,
    own: LoadAmount,
    capacity: f64,
}

impl LoadSummary {
    /// Estimated load of other hosts per unit of capacity.
    fn other_hosts_per_capacity(&self) -> LoadAmount {
        if self.reported_capacity > 0.0 {
            LoadAmount {
                tokens: self.reported.tokens / self.reported_capacity,
                requests: self.reported.requests / self.reported_capacity,
            }
        } else {
            LoadAmount::default()
        }
    }

    /// Mean estimated work per unit of capacity, in tokens.
    pub fn mean_work(&self) -> f64 {
        if self.capacity > 0.0 {
            self.other_hosts_per_capacity().tokens + self.own.tokens / self.capacity
        } else {
            0.0
        }
    }

    /// Mean of the host's own requests per unit of capacity.
    pub fn mean_own_requests(&self) -> f64 {
        if self.capacity > 0.0 { self.own.requests / self.capacity } else { 0.0 }
    }

    /// Mean estimated requests per unit of capacity.
    pub fn mean_requests(&self) -> f64 {
        if self.capacity > 0.0 {
            self.other_hosts_per_capacity().requests + self.own.requests / self.capacity
        } else {
            0.0
        }
    }
}

/// Position of an upstream in the table; valid until the next [`LoadTable::retain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadIndex(usize);

/// Returns the factor of an exponential decay with `time_constant` after `age`.
fn decay_factor(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64().max(1e-3)).exp()
}

/// Last report and own requests of every upstream.
///
/// The estimate is the load of other hosts plus the own load in flight. The load of other hosts is
/// the reported load minus the largest own load in flight at any moment that the report may
/// describe. Own requests that a delayed report contains are therefore never counted twice.
#[derive(Clone, Debug)]
pub struct LoadTable {
    settings: LoadSettings,
    indices: HashMap<UpstreamName, usize>,
    records: Vec<LoadRecord>,
    /// Running mean of tokens per own request, used for upstreams that do not count tokens.
    mean_request_tokens: f64,
    duration_mean: DurationMean,
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            indices: HashMap::new(),
            records: Vec::new(),
            mean_request_tokens: 0.0,
            duration_mean: DurationMean::new(settings.assumed_duration),
        }
    }

    /// Records an own request that is about to be sent, with its work in tokens.
    pub fn record_start(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        let work = work as f64;
        self.mean_request_tokens = if self.mean_request_tokens == 0.0 {
            work
        } else {
            self.mean_request_tokens + MEAN_TOKENS_SAMPLE_WEIGHT * (work - self.mean_request_tokens)
        };
        self.duration_mean.apply_change(now, 1.0);
        let bucket_width = self.bucket_width();
        self.record_mut(now, upstream).own_load.apply_change(now, bucket_width, work, 1.0);
    }

    /// Records the end of an own request; `work` is the value given to [`LoadTable::record_start`].
    pub fn record_end(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        self.duration_mean.apply_change(now, -1.0);
        let bucket_width = self.bucket_width();
        self.record_mut(now, upstream).own_load.apply_change(
            now,
            bucket_width,
            -(work as f64),
            -1.0,
        );
    }

    /// Records a first-token time and returns whether it is a jump: a multiple of the median.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        elapsed: Duration,
    ) -> bool {
        let min_first_token_jump = self.settings.min_first_token_jump;
        let record = self.record_mut(now, upstream);
        let is_jump = elapsed > min_first_token_jump
            && record
                .first_token_times
                .median()
                .is_some_and(|median| elapsed.as_secs_f64() > FIRST_TOKEN_JUMP_FACTOR * median);
        record.first_token_times.add(elapsed.as_secs_f64());
        is_jump
    }

    /// Removes the recorded first-token times; those of a cold upstream are not representative.
    pub fn reset_first_token_times(&mut self, now: Instant, upstream: &UpstreamName) {
        self.record_mut(now, upstream).first_token_times = MedianWindow::default();
    }

    /// Applies a report that arrived at `now`, unless its incarnation is outdated.
    pub fn apply_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        report: &LoadReport,
    ) -> ReportEffect {
        let bucket_width = self.bucket_width();
        let mean_request_tokens = self.mean_request_tokens;
        let record = self.record_mut(now, upstream);
        let effect = record.effect_of(report.incarnation);
        if effect == ReportEffect::Outdated {
            return effect;
        }
        let own = record.own_load.maximum(now, bucket_width);
        let requests = f64::from(report.running) + f64::from(report.waiting);
        let tokens = if report.work_tokens == 0 {
            requests * mean_request_tokens
        } else {
            report.work_tokens as f64
        };
        record.set_incarnation(effect, report.incarnation);
        let other_hosts = LoadAmount {
            tokens: (tokens - own.tokens).max(0.0),
            requests: (requests - own.requests).max(0.0),
        };
        let mean_other_hosts = match &record.last_report {
            Some(last_report) if effect == ReportEffect::Same => {
                let interval = now.saturating_duration_since(last_report.arrived_at);
                let weight = decay_factor(interval, MEAN_LOAD_TIME_CONSTANT);
                last_report.mean_other_hosts.weighted_mean(weight, other_hosts)
            }
            _ => other_hosts,
        };
        record.last_report = Some(LastReport {
            arrived_at: now,
            incarnation: report.incarnation,
            other_hosts,
            mean_other_hosts,
        });
        effect
    }

    /// Applies the incarnation that a response names.
    pub fn observe_incarnation(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> ReportEffect {
        let record = self.record_mut(now, upstream);
        let effect = record.effect_of(incarnation);
        if effect == ReportEffect::NewIncarnation {
            record.set_incarnation(effect, incarnation);
            if let Some(last_report) = &mut record.last_report {
                // The new process has none of the work that its predecessor reported.
                last_report.incarnation = incarnation;
                last_report.other_hosts = LoadAmount::default();
                last_report.mean_other_hosts = LoadAmount::default();
            }
        }
        effect
    }

    /// Returns the latest known incarnation; `None` before the first report.
    pub fn last_incarnation(&self, upstream: &UpstreamName) -> Option<u64> {
        let index = *self.indices.get(upstream)?;
        self.records[index].last_report.map(|it| it.incarnation)
    }

    /// Returns the number of own requests in flight at an upstream.
    pub fn own_requests(&self, upstream: &UpstreamName) -> u32 {
        self.indices
            .get(upstream)
            .map_or(0, |it| self.records[*it].own_load.current.requests as u32)
    }

    /// Sums the load of the given upstreams; each comes with its capacity.
    pub fn summary<'a>(
        &self,
        now: Instant,
        upstreams: impl IntoIterator<Item = (&'a UpstreamName, f64)>,
    ) -> LoadSummary {
        let mut summary = LoadSummary::default();
        for (name, capacity) in upstreams {
            match self.indices.get(name) {
                Some(index) => self.add_to_summary(now, LoadIndex(*index), capacity, &mut summary),
                None => summary.capacity += capacity,
            }
        }
        summary
    }

    /// Estimates the load of an upstream.
    ///
    /// The older the last report, the closer the estimated load of other hosts is to the mean of
    /// `summary`, so that an old report neither blocks an upstream nor attracts all requests.
    pub fn estimate(
        &self,
        now: Instant,
        upstream: &UpstreamName,
        capacity: f64,
        summary: &LoadSummary,
    ) -> LoadEstimate {
        match self.indices.get(upstream) {
            Some(index) => self.estimate_at(now, LoadIndex(*index), capacity, summary),
            None => LoadEstimate {
                work: summary.other_hosts_per_capacity().tokens * capacity,
                requests: summary.other_hosts_per_capacity().requests * capacity,
                ..LoadEstimate::default()
            },
        }
    }

    /// Removes upstreams that `keep` rejects and that have no own request in flight.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamName) -> bool) {
        let mut records = Vec::with_capacity(self.records.len());
        let old_records = &self.records;
        self.indices.retain(|name, index| {
            let record = &old_records[*index];
            let is_kept = record.own_load.current.requests > 0.0 || keep(name);
            if is_kept {
                *index = records.len();
                records.push(record.clone());
            }
            is_kept
        });
        self.records = records;
    }

    /// Returns the bytes of state per upstream, without its name and the hash table's overhead.
    pub const fn bytes_per_upstream() -> usize {
        size_of::<LoadRecord>() + size_of::<(UpstreamName, usize)>()
    }

    pub(super) fn index_of(&mut self, now: Instant, upstream: &UpstreamName) -> LoadIndex {
        if let Some(index) = self.indices.get(upstream) {
            return LoadIndex(*index);
        }
        let index = self.records.len();
        self.indices.insert(upstream.clone(), index);
        self.records.push(LoadRecord {
            last_report: None,
            previous_incarnation: None,
            own_load: PeakWindow::new(now),
            first_token_times: MedianWindow::default(),
        });
        LoadIndex(index)
    }

    pub(super) fn add_to_summary(
        &self,
        now: Instant,
        index: LoadIndex,
        capacity: f64,
        summary: &mut LoadSummary,
    ) {
        let record = &self.records[index.0];
        summary.capacity += capacity;
        summary.own.tokens += record.own_load.current.tokens;
        summary.own.requests += record.own_load.current.requests;
        if let Some(last_report) = &record.last_report {
            let (other_hosts, weight) = self.expected_other_hosts(now, last_report);
            summary.reported.tokens += weight * other_hosts.tokens;
            summary.reported.requests += weight * other_hosts.requests;
            summary.reported_capacity += weight * capacity;
        }
    }

    pub(super) fn estimate_at(
        &self,
        now: Instant,
        index: LoadIndex,
        capacity: f64,
        summary: &LoadSummary,
    ) -> LoadEstimate {
        let record = &self.records[index.0];
        let own = record.own_load.current;
        let mean = summary.other_hosts_per_capacity();
        let mean =
            LoadAmount { tokens: mean.tokens * capacity, requests: mean.requests * capacity };
        let other_hosts = match &record.last_report {
            Some(last_report) => {
                let (other_hosts, weight) = self.expected_other_hosts(now, last_report);
                other_hosts.weighted_mean(weight, mean)
            }
            None => mean,
        };
        LoadEstimate {
            work: other_hosts.tokens + own.tokens,
            requests: other_hosts.requests + own.requests,
            own_requests: own.requests as u32,
            report_age: record.last_report.map(|it| now.saturating_duration_since(it.arrived_at)),
        }
    }

    /// Returns the expected load of other hosts, and its weight relative to the mean of all
    /// upstreams.
    ///
    /// Requests that ran at the moment of the report have ended by now with a probability that
    /// follows from their mean duration, and the load that replaced them is on average the mean
    /// load of the upstream. The weight decays as the report ages, because the mean load may have
    /// changed too.
    fn expected_other_hosts(&self, now: Instant, last_report: &LastReport) -> (LoadAmount, f64) {
        let age = now.saturating_duration_since(last_report.arrived_at);
        let lag = self.settings.report_lag / 2;
        let duration = Duration::from_secs_f64(self.duration_mean.mean());
        let other_hosts = last_report
            .other_hosts
            .weighted_mean(decay_factor(age + lag, duration), last_report.mean_other_hosts);
        (other_hosts, decay_factor(age, MEAN_LOAD_TIME_CONSTANT))
    }

    fn bucket_width(&self) -> Duration {
        (self.settings.report_lag / WINDOW_BUCKETS).max(Duration::from_millis(1))
    }

    fn record_mut(&mut self, now: Instant, upstream: &UpstreamName) -> &mut LoadRecord {
        let index = self.index_of(now, upstream);
        &mut self.records[index.0]
    }
}

impl LoadRecord {
    fn effect_of(&self, incarnation: u64) -> ReportEffect {
        match &self.last_report {
            None => ReportEffect::First,
            Some(last_report) if last_report.incarnation == incarnation => ReportEffect::Same,
            Some(_) if self.previous_incarnation == Some(incarnation) => ReportEffect::Outdated,
            Some(_) => ReportEffect::NewIncarnation,
        }
    }

    fn set_incarnation(&mut self, effect: ReportEffect, incarnation: u64) {
        if effect == ReportEffect::NewIncarnation {
            self.previous_incarnation = self.last_report.map(|it| it.incarnation);
            self.first_token_times = MedianWindow::default();
            if let Some(last_report) = &mut self.last_report {
                last_report.incarnation = incarnation;
            }
        }
    }
}
