//! Load of each upstream, estimated from late reports and the host's own requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;

/// Buckets of the own-work window per report lag.
const WINDOW_BUCKETS: u32 = 8;

/// Samples of first-token time in the running median.
const MEDIAN_SAMPLES: usize = 31;

/// Samples needed before a jump is recognized; with fewer the median is mostly noise.
const MIN_MEDIAN_SAMPLES: usize = 8;

/// A first-token time above this multiple of the running median is a jump.
const JUMP_MULTIPLE: f64 = 4.0;

/// Time constant of an upstream's usual load, and of the trust in it without reports. It is longer
/// than usual requests, so that the usual load does not follow their random ups and downs.
const USUAL_LOAD_TIME: Duration = Duration::from_secs(20);

/// Weight of the assumed duration of a request, as a number of requests.
const ASSUMED_REQUESTS: f64 = 10.0;

/// Finished requests after which earlier durations count half.
const FADING_REQUESTS: f64 = 1_000.0;

/// Weight of a new request in the running mean of work per request.
const WORK_MEAN_WEIGHT: f64 = 0.05;

/// What an upstream reports about itself; the body of `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Drawn at random by each process of the upstream at start.
    pub incarnation: u64,
    /// Requests in execution.
    pub running: u32,
    /// Requests that wait inside the upstream.
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
    /// Upper limit of a report's lag: a report describes a moment of this span before its arrival.
    pub report_lag: Duration,
    /// Usual duration of a request, assumed until own requests show it.
    pub assumed_duration: Duration,
    /// A shorter first-token time is never a jump, however small the median is.
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

/// Work and requests, either outstanding or estimated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LoadAmount {
    tokens: f64,
    requests: f64,
}

impl LoadAmount {
    /// Returns `weight` of this amount plus the rest of `other`.
    fn blend(self, weight: f64, other: Self) -> Self {
        Self {
            tokens: weight * self.tokens + (1.0 - weight) * other.tokens,
            requests: weight * self.requests + (1.0 - weight) * other.requests,
        }
    }

    fn max(self, other: Self) -> Self {
        Self { tokens: self.tokens.max(other.tokens), requests: self.requests.max(other.requests) }
    }
}

/// Maximum of the own outstanding work over the last report lag, in constant space.
#[derive(Clone, Debug)]
struct OwnWindow {
    current: LoadAmount,
    /// Maximum in each bucket; `head` is the bucket of `head_start`.
    buckets: [LoadAmount; WINDOW_BUCKETS as usize + 1],
    head: usize,
    head_start: Instant,
}

impl OwnWindow {
    fn new(now: Instant) -> Self {
        Self {
            current: LoadAmount::default(),
            buckets: [LoadAmount::default(); WINDOW_BUCKETS as usize + 1],
            head: 0,
            head_start: now,
        }
    }

    fn advance(&mut self, now: Instant, width: Duration) {
        let elapsed = now.saturating_duration_since(self.head_start);
        let steps = (elapsed.as_nanos() / width.as_nanos().max(1)) as usize;
        for _ in 0..steps.min(self.buckets.len()) {
            self.head = (self.head + 1) % self.buckets.len();
            self.buckets[self.head] = self.current;
        }
        if steps > self.buckets.len() {
            self.head_start = now;
        } else {
            self.head_start += width * steps as u32;
        }
    }

    fn change(&mut self, now: Instant, width: Duration, tokens: f64, requests: f64) {
        self.advance(now, width);
        self.current.tokens = (self.current.tokens + tokens).max(0.0);
        self.current.requests = (self.current.requests + requests).max(0.0);
        if self.current.requests == 0.0 {
            // Rounding errors of earlier additions must not remain.
            self.current.tokens = 0.0;
        }
        self.buckets[self.head] = self.buckets[self.head].max(self.current);
    }

    fn maximum(&mut self, now: Instant, width: Duration) -> LoadAmount {
        self.advance(now, width);
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

/// Mean duration of the own requests by Little's law: time in flight over requests finished.
#[derive(Clone, Copy, Debug)]
struct DurationMean {
    in_flight: f64,
    /// Seconds in flight and finished requests; both fade.
    seconds: f64,
    finished: f64,
    updated: Option<Instant>,
}

impl DurationMean {
    fn new(assumed: Duration) -> Self {
        Self {
            in_flight: 0.0,
            seconds: assumed.as_secs_f64() * ASSUMED_REQUESTS,
            finished: ASSUMED_REQUESTS,
            updated: None,
        }
    }

    fn change(&mut self, now: Instant, requests: f64) {
        if let Some(updated) = self.updated {
            self.seconds += self.in_flight * now.saturating_duration_since(updated).as_secs_f64();
        }
        self.updated = Some(now);
        self.in_flight = (self.in_flight + requests).max(0.0);
        if requests < 0.0 {
            self.finished += 1.0;
            if self.finished > FADING_REQUESTS {
                self.finished /= 2.0;
                self.seconds /= 2.0;
            }
        }
    }

    fn mean(&self) -> f64 {
        self.seconds / self.finished
    }
}

/// What the last report says about work that is not the host's own.
#[derive(Clone, Copy, Debug)]
struct HeldReport {
    arrival: Instant,
    incarnation: u64,
    others: LoadAmount,
    /// Running mean of `others`.
    usual: LoadAmount,
}

#[derive(Clone, Debug)]
struct LoadRecord {
    held: Option<HeldReport>,
    previous_incarnation: Option<u64>,
    window: OwnWindow,
    first_token: MedianWindow,
}

/// What a report or an incarnation in a response changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// First sign of the upstream in this process.
    First,
    /// Same incarnation as before.
    Same,
    /// The upstream started anew.
    NewIncarnation,
    /// The report comes from an incarnation that was replaced; it is ignored.
    Outdated,
}

/// Estimated load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Outstanding work of all hosts, in tokens.
    pub work: f64,
    /// Requests of all hosts, running and waiting.
    pub requests: f64,
    /// Requests of this host in flight.
    pub own_requests: u32,
    /// Time since the last report arrived; `None` without a report.
    pub report_age: Option<Duration>,
}

/// Sums over a set of upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSummary {
    reported: LoadAmount,
    reported_capacity: f64,
    own: LoadAmount,
    capacity: f64,
}

impl LoadSummary {
    /// Estimated work of other hosts per unit of capacity, in tokens and requests.
    fn others(&self) -> LoadAmount {
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
            self.others().tokens + self.own.tokens / self.capacity
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
            self.others().requests + self.own.requests / self.capacity
        } else {
            0.0
        }
    }
}

/// Position of an upstream in the table; valid until the next [`LoadTable::retain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadIndex(usize);

/// Part that remains after `age` of what fades with the time constant `time`.
fn fading(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64().max(1e-3)).exp()
}

/// Last report and own requests of every upstream.
///
/// The estimate is the work of other hosts plus the own work in flight. The work of other hosts is
/// the reported work minus the largest own work in flight at any moment that the report may
/// describe. Own work that a late report contains is therefore never counted twice.
#[derive(Clone, Debug)]
pub struct LoadTable {
    settings: LoadSettings,
    indices: HashMap<UpstreamName, usize>,
    records: Vec<LoadRecord>,
    /// Running mean of tokens per own request, for upstreams that do not count tokens.
    mean_tokens: f64,
    durations: DurationMean,
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            indices: HashMap::new(),
            records: Vec::new(),
            mean_tokens: 0.0,
            durations: DurationMean::new(settings.assumed_duration),
        }
    }

    /// Notes an own request that is about to be sent, with its work in tokens.
    pub fn started(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        let work = work as f64;
        self.mean_tokens = if self.mean_tokens == 0.0 {
            work
        } else {
            self.mean_tokens + WORK_MEAN_WEIGHT * (work - self.mean_tokens)
        };
        self.durations.change(now, 1.0);
        let width = self.bucket_width();
        self.record(now, upstream).window.change(now, width, work, 1.0);
    }

    /// Notes the end of an own request; `work` is the value given to [`LoadTable::started`].
    pub fn finished(&mut self, now: Instant, upstream: &UpstreamName, work: u64) {
        self.durations.change(now, -1.0);
        let width = self.bucket_width();
        self.record(now, upstream).window.change(now, width, -(work as f64), -1.0);
    }

    /// Notes a first-token time and returns whether it is a jump.
    pub fn first_token(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        elapsed: Duration,
    ) -> bool {
        let min_first_token_jump = self.settings.min_first_token_jump;
        let record = self.record(now, upstream);
        let is_jump = elapsed > min_first_token_jump
            && record
                .first_token
                .median()
                .is_some_and(|median| elapsed.as_secs_f64() > JUMP_MULTIPLE * median);
        record.first_token.add(elapsed.as_secs_f64());
        is_jump
    }

    /// Forgets the first-token times, because a cold upstream's times are not its usual ones.
    pub fn forget_first_tokens(&mut self, now: Instant, upstream: &UpstreamName) {
        self.record(now, upstream).first_token = MedianWindow::default();
    }

    /// Takes a report that arrived at `now`.
    pub fn report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        report: &LoadReport,
    ) -> ReportEffect {
        let width = self.bucket_width();
        let mean_tokens = self.mean_tokens;
        let record = self.record(now, upstream);
        let effect = record.effect_of(report.incarnation);
        if effect == ReportEffect::Outdated {
            return effect;
        }
        let own = record.window.maximum(now, width);
        let requests = f64::from(report.running) + f64::from(report.waiting);
        let tokens = if report.work_tokens == 0 {
            requests * mean_tokens
        } else {
            report.work_tokens as f64
        };
        record.take_incarnation(effect, report.incarnation);
        let others = LoadAmount {
            tokens: (tokens - own.tokens).max(0.0),
            requests: (requests - own.requests).max(0.0),
        };
        let usual = match &record.held {
            Some(held) if effect == ReportEffect::Same => {
                let interval = now.saturating_duration_since(held.arrival);
                let weight = fading(interval, USUAL_LOAD_TIME);
                held.usual.blend(weight, others)
            }
            _ => others,
        };
        record.held =
            Some(HeldReport { arrival: now, incarnation: report.incarnation, others, usual });
        effect
    }

    /// Takes the incarnation that a response names.
    pub fn incarnation(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> ReportEffect {
        let record = self.record(now, upstream);
        let effect = record.effect_of(incarnation);
        if effect == ReportEffect::NewIncarnation {
            record.take_incarnation(effect, incarnation);
            if let Some(held) = &mut record.held {
                // The new process has none of the work that the old one reported.
                held.incarnation = incarnation;
                held.others = LoadAmount::default();
                held.usual = LoadAmount::default();
            }
        }
        effect
    }

    /// Returns the incarnation of the last report.
    pub fn last_incarnation(&self, upstream: &UpstreamName) -> Option<u64> {
        let index = *self.indices.get(upstream)?;
        self.records[index].held.map(|it| it.incarnation)
    }

    /// Returns the own requests in flight.
    pub fn own_requests(&self, upstream: &UpstreamName) -> u32 {
        self.indices.get(upstream).map_or(0, |it| self.records[*it].window.current.requests as u32)
    }

    /// Sums the load of upstreams given with their capacity.
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
    /// The older the last report, the more the work of other hosts approaches the mean of
    /// `summary`: an old report should neither block an upstream nor draw all work to it.
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
                work: summary.others().tokens * capacity,
                requests: summary.others().requests * capacity,
                ..LoadEstimate::default()
            },
        }
    }

    /// Removes upstreams that `keep` rejects and that hold no own request.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamName) -> bool) {
        let mut records = Vec::with_capacity(self.records.len());
        let old_records = &self.records;
        self.indices.retain(|name, index| {
            let record = &old_records[*index];
            let is_kept = record.window.current.requests > 0.0 || keep(name);
            if is_kept {
                *index = records.len();
                records.push(record.clone());
            }
            is_kept
        });
        self.records = records;
    }

    /// Bytes of state per upstream, without its name and the hash table's overhead.
    pub const fn bytes_per_upstream() -> usize {
        size_of::<LoadRecord>() + size_of::<(UpstreamName, usize)>()
    }

    pub(super) fn index(&mut self, now: Instant, upstream: &UpstreamName) -> LoadIndex {
        if let Some(index) = self.indices.get(upstream) {
            return LoadIndex(*index);
        }
        let index = self.records.len();
        self.indices.insert(upstream.clone(), index);
        self.records.push(LoadRecord {
            held: None,
            previous_incarnation: None,
            window: OwnWindow::new(now),
            first_token: MedianWindow::default(),
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
        summary.own.tokens += record.window.current.tokens;
        summary.own.requests += record.window.current.requests;
        if let Some(held) = &record.held {
            let (others, weight) = self.expected_others(now, held);
            summary.reported.tokens += weight * others.tokens;
            summary.reported.requests += weight * others.requests;
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
        let own = record.window.current;
        let mean = summary.others();
        let mean =
            LoadAmount { tokens: mean.tokens * capacity, requests: mean.requests * capacity };
        let others = match &record.held {
            Some(held) => {
                let (others, weight) = self.expected_others(now, held);
                others.blend(weight, mean)
            }
            None => mean,
        };
        LoadEstimate {
            work: others.tokens + own.tokens,
            requests: others.requests + own.requests,
            own_requests: own.requests as u32,
            report_age: record.held.map(|it| now.saturating_duration_since(it.arrival)),
        }
    }

    /// Returns the expected work of other hosts, and how far it counts against the mean of all
    /// upstreams.
    ///
    /// Requests that ran at the moment of the report have ended by now with a probability that
    /// follows from their usual duration; what replaced them is on average the usual load of the
    /// upstream. Without new reports the usual load itself becomes doubtful.
    fn expected_others(&self, now: Instant, held: &HeldReport) -> (LoadAmount, f64) {
        let age = now.saturating_duration_since(held.arrival);
        let lag = self.settings.report_lag / 2;
        let duration = Duration::from_secs_f64(self.durations.mean());
        let others = held.others.blend(fading(age + lag, duration), held.usual);
        (others, fading(age, USUAL_LOAD_TIME))
    }

    fn bucket_width(&self) -> Duration {
        (self.settings.report_lag / WINDOW_BUCKETS).max(Duration::from_millis(1))
    }

    fn record(&mut self, now: Instant, upstream: &UpstreamName) -> &mut LoadRecord {
        let index = self.index(now, upstream);
        &mut self.records[index.0]
    }
}

impl LoadRecord {
    fn effect_of(&self, incarnation: u64) -> ReportEffect {
        match &self.held {
            None => ReportEffect::First,
            Some(held) if held.incarnation == incarnation => ReportEffect::Same,
            Some(_) if self.previous_incarnation == Some(incarnation) => ReportEffect::Outdated,
            Some(_) => ReportEffect::NewIncarnation,
        }
    }

    fn take_incarnation(&mut self, effect: ReportEffect, incarnation: u64) {
        if effect == ReportEffect::NewIncarnation {
            self.previous_incarnation = self.held.map(|it| it.incarnation);
            self.first_token = MedianWindow::default();
            if let Some(held) = &mut self.held {
                held.incarnation = incarnation;
            }
        }
    }
}
