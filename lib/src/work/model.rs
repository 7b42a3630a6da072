//! Estimates of work, learned from what one host sends and receives.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{
    RequestSize,
    decay::RunningMean,
    upstream_work::{AttemptWork, UpstreamWork, WorkReport},
};
use crate::names::{RouteName, ServiceName, UpstreamName};

/// Samples that count in what is learned of a route or service.
const MEMORY: u32 = 64;

/// The same for the time that requests are in flight, which follows a burst within seconds.
const RESIDENCE_MEMORY: u32 = 16;

/// Prompt tokens to be read from which on the time to the first event tells the time of a token,
/// and below which it tells the time of a request without any.
const MIN_READ_TOKENS: u32 = 256;

/// Bounds of what is learned of one token, so that a stalled upstream does not spoil it.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(5);

/// Share of responses that are shorter than the long ones of a route.
const LONG_RESPONSE_SHARE: f64 = 0.9;

/// Longest time for which work of one request is estimated.
const MAX_WORK: Duration = Duration::from_secs(60);

/// A request whose work is to be estimated.
#[derive(Clone, Copy, Debug)]
pub struct WorkRequest<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Service that it is sent to.
    pub service: &'a ServiceName,
    /// Its size, as stated by the caller.
    pub size: &'a RequestSize,
    /// Time to the response, or to the first event of a stream, that meets the objective.
    pub target_latency: Duration,
}

/// Work of a request at the usual speed of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Up to the first event, or to the end of a response that is no stream.
    pub before_first_event: Duration,
    /// From the first event to the end.
    pub after_first_event: Duration,
}

impl WorkEstimate {
    /// Returns all of the work.
    pub fn total(&self) -> Duration {
        self.before_first_event + self.after_first_event
    }
}

/// Identifies a request in flight in a [`WorkModel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptTicket(u64);

#[derive(Debug, Default)]
struct ServiceWork {
    /// Seconds to the first event of a prompt that is cached.
    base: RunningMean,
    /// Seconds for each prompt token that is read.
    token: RunningMean,
    /// Seconds between events.
    event: RunningMean,
    /// Seconds from the start of an attempt to its end.
    residence: RunningMean,
}

#[derive(Debug, Default)]
struct RouteWork {
    /// Events for each output token that the caller expects.
    events_per_token: RunningMean,
    events: RunningMean,
    /// Events that only one response in ten exceeds.
    long_events: f64,
    /// Seconds of a response that is no stream.
    duration: RunningMean,
}

impl RouteWork {
    fn record_events(&mut self, events: u32, hinted_tokens: Option<u32>) {
        let events = f64::from(events);
        self.events.add(events, MEMORY);
        if let Some(tokens) = hinted_tokens.filter(|it| *it > 0) {
            self.events_per_token.add(events / f64::from(tokens), MEMORY);
        }
        let step = 0.5 + 0.1 * events.max(self.long_events);
        let is_longer = events > self.long_events;
        let change = if is_longer { LONG_RESPONSE_SHARE } else { LONG_RESPONSE_SHARE - 1.0 };
        self.long_events = (self.long_events + change * step).max(0.0);
    }

    /// Returns the number of events that a response is expected to have.
    fn expected_events(&self, size: &RequestSize) -> f64 {
        let hinted =
            || Some(self.events_per_token.get()? * f64::from(size.expected_output_tokens?));
        let mean = self.events.get().unwrap_or(0.0);
        // The hint is right at the median and often far off: it counts half.
        let expected = hinted().map_or(mean, |it| (it + mean) / 2.0);
        // An event holds a token at least.
        let most = size.max_output_tokens.map_or(f64::INFINITY, f64::from);
        expected.min(self.long_events.max(mean)).min(most)
    }
}

/// What one host has learned of the work of requests and of the speed of upstreams.
///
/// All of it is lost with the process. An upstream of which nothing is known has the usual speed
/// and nothing cached.
#[derive(Debug, Default)]
pub struct WorkModel {
    services: HashMap<ServiceName, ServiceWork>,
    routes: HashMap<RouteName, RouteWork>,
    upstreams: HashMap<UpstreamName, (UpstreamWork, Instant)>,
    next_ticket: u64,
}

impl WorkModel {
    /// Estimates the work of a request of which an upstream has `cached_tokens` cached.
    pub fn estimate(&self, request: &WorkRequest<'_>, cached_tokens: u32) -> WorkEstimate {
        let service = self.services.get(request.service);
        let route = self.routes.get(request.route);
        let of_service = |mean: fn(&ServiceWork) -> RunningMean| {
            service.and_then(|it| mean(it).get()).unwrap_or(0.0)
        };
        let Some(tokens) = request.size.prompt_tokens else {
            let duration = route.and_then(|it| it.duration.get());
            let duration = duration.unwrap_or_else(|| of_service(|it| it.residence));
            return WorkEstimate { before_first_event: work(duration), ..Default::default() };
        };
        let read = f64::from(tokens.saturating_sub(cached_tokens));
        let before = of_service(|it| it.base) + of_service(|it| it.token) * read;
        let events = route.map_or(0.0, |it| it.expected_events(request.size));
        WorkEstimate {
            before_first_event: work(before),
            after_first_event: work(events * of_service(|it| it.event)),
        }
    }

    /// Returns the prompt tokens of a request that an upstream probably has cached.
    pub fn cached_tokens(&self, now: Instant, upstream: &UpstreamName, size: &RequestSize) -> u32 {
        self.upstreams.get(upstream).map_or(0, |(it, _)| it.spans.cached_tokens(now, size))
    }

    /// Returns how many times the usual time work takes at an upstream at this moment; 1 within
    /// the usual differences.
    pub fn slowness(&self, now: Instant, upstream: &UpstreamName) -> f64 {
        self.upstreams.get(upstream).map_or(1.0, |(it, _)| it.slowness(now))
    }

    /// Returns the same over some seconds, for choices that have to be steady.
    pub fn steady_slowness(&self, now: Instant, upstream: &UpstreamName) -> f64 {
        self.upstreams.get(upstream).map_or(1.0, |(it, _)| it.steady_slowness(now))
    }

    /// Returns the work that this host's requests in flight still cause at an upstream.
    pub fn remaining(&self, now: Instant, upstream: &UpstreamName) -> Duration {
        self.upstreams.get(upstream).map_or(Duration::ZERO, |(it, _)| it.remaining(now))
    }

    /// Returns the work that this host's requests in flight still cause at all upstreams.
    pub fn total_remaining(&self, now: Instant) -> Duration {
        self.upstreams.values().map(|(it, _)| it.remaining(now)).sum()
    }

    /// Returns the mean time from the start of an attempt at a service to its end; none before the
    /// first one has ended.
    pub fn residence(&self, service: &ServiceName) -> Option<Duration> {
        Some(work(self.services.get(service)?.residence.get()?))
    }

    /// Returns the time for which a request waits at an upstream that holds `load` requests and
    /// runs `slots` at a time, at the usual speed.
    pub fn queue_time(&self, service: &ServiceName, load: f64, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let residence = self.residence(service).unwrap_or_default();
        residence.mul_f64((load + 1.0 - slots).max(0.0) / slots).min(MAX_WORK)
    }

    /// Records that an attempt starts at one process of an upstream that probably has
    /// `cached_tokens` of the prompt cached.
    pub fn started(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
        request: &WorkRequest<'_>,
        cached_tokens: u32,
    ) -> AttemptTicket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let (state, _) = self.upstream_mut(now, upstream, incarnation);
        let cached = state.spans.cached_tokens(now, request.size).max(cached_tokens);
        let pace = state.pace(now);
        let estimate = self.estimate(request, cached);
        let event_time = self.services.get(request.service).and_then(|it| it.event.get());
        let route = self.routes.get(request.route);
        let attempt = AttemptWork {
            ticket,
            route: request.route.clone(),
            started: now,
            first_event: None,
            uncached_tokens: request.size.prompt_tokens.map(|it| it.saturating_sub(cached)),
            hinted_tokens: request.size.expected_output_tokens,
            before_first_event: estimate.before_first_event,
            expected_events: route.map_or(0.0, |it| it.expected_events(request.size)),
            event_time: if request.size.prompt_tokens.is_some() {
                work(event_time.unwrap_or(0.0))
            } else {
                Duration::ZERO
            },
            events: 0,
            pace,
        };
        self.upstream_mut(now, upstream, incarnation).0.attempts.push(attempt);
        AttemptTicket(ticket)
    }

    /// Records that events of a response arrived. The first ones show that the prompt was read.
    pub fn events_arrived(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        ticket: AttemptTicket,
        request: &WorkRequest<'_>,
        count: u32,
    ) {
        let Some((state, updated)) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(attempt) = state.attempts.iter_mut().find(|it| it.ticket == ticket.0) else {
            return;
        };
        attempt.events = attempt.events.saturating_add(count);
        if attempt.first_event.is_some() {
            return;
        }
        attempt.first_event = Some(now);
        *updated = now;
        let elapsed = now.saturating_duration_since(attempt.started).as_secs_f64();
        let expected = attempt.before_first_event.as_secs_f64();
        let (pace, uncached) = (attempt.pace, attempt.uncached_tokens.unwrap_or(0));
        if expected > 0.0 {
            state.record_duration(now, elapsed / expected, pace);
        }
        state.spans.record(now, &request.size.spans);
        let service = self.services.entry(request.service.clone()).or_default();
        if uncached < MIN_READ_TOKENS {
            service.base.add(elapsed, MEMORY);
        } else {
            let reading = (elapsed - service.base.get().unwrap_or(0.0)).max(0.0);
            let token = reading / f64::from(uncached);
            service.token.add(token.min(MAX_TOKEN_TIME.as_secs_f64()), MEMORY);
        }
    }

    /// Records the end of an attempt, and what it tells of its route if the response is complete.
    pub fn ended(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        ticket: AttemptTicket,
        request: &WorkRequest<'_>,
        is_complete: bool,
    ) {
        let Some((state, updated)) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(index) = state.attempts.iter().position(|it| it.ticket == ticket.0) else {
            return;
        };
        let attempt = state.attempts.swap_remove(index);
        // What was refused or never answered tells nothing of the time that work takes.
        if !is_complete {
            return;
        }
        *updated = now;
        let elapsed = now.saturating_duration_since(attempt.started).as_secs_f64();
        let service = self.services.entry(request.service.clone()).or_default();
        service.residence.add(elapsed, RESIDENCE_MEMORY);
        let route = self.routes.entry(attempt.route).or_default();
        let Some(first) = attempt.first_event else {
            let expected = attempt.before_first_event.as_secs_f64();
            if attempt.uncached_tokens.is_none() && expected > 0.0 {
                state.record_duration(now, elapsed / expected, attempt.pace);
            }
            route.duration.add(elapsed, MEMORY);
            return;
        };
        route.record_events(attempt.events, attempt.hinted_tokens);
        if attempt.events > 1 {
            let writing = now.saturating_duration_since(first).as_secs_f64();
            service.event.add(writing / f64::from(attempt.events - 1), MEMORY);
        }
    }

    /// Records what an upstream reports of its machine.
    pub fn reported(&mut self, now: Instant, upstream: &UpstreamName, report: WorkReport) {
        if let Some((state, updated)) = self.upstreams.get_mut(upstream) {
            state.record_report(now, report);
            *updated = now;
        }
    }

    /// Drops what no longer counts; to be called on a timer.
    pub fn expire(&mut self, now: Instant) {
        self.upstreams.retain(|_, (it, updated)| !it.is_forgotten(now, *updated));
    }

    /// Returns the state of a process. A new process has nothing of the previous one.
    fn upstream_mut(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> &mut (UpstreamWork, Instant) {
        if !self.upstreams.contains_key(upstream) {
            self.upstreams.insert(upstream.clone(), (UpstreamWork::new(incarnation), now));
        }
        let state = self.upstreams.get_mut(upstream).expect("inserted if it was missing");
        if state.0.incarnation != incarnation {
            *state = (UpstreamWork::new(incarnation), now);
        }
        state
    }
}

fn work(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WORK.as_secs_f64()))
}
