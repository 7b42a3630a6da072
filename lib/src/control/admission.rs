//! Admission of requests: routes, keys and team limits.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    command::{AdmitOutcome, AdmitRequest, ReplySender, RequestAdmission},
    message::{PeerReply, PeerRequest},
    state::ControlState,
};
use crate::{
    catalogue::{Catalogue, KeyHash, RouteEntry},
    front::{RefusalKind, RequestRefusal},
    limits::{AcquireOutcome, GrantReply, GrantRequest, UNITS_PER_TOKEN},
    membership::HostRecord,
    names::{CentreName, OPEN_TEAM, TeamName},
    peer::PeerError,
};

/// Timeout of a token request to a bucket owner, which may be in another data centre.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for a token.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// Longest time for which a request waits for a token if an owner's bucket was empty recently.
///
/// Tokens arrive in small batches from several owners, so a request within its team's rate can
/// arrive some milliseconds before its token.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(150);

/// Upper bounds of the requests of one team, and of all teams, that wait for a token. Each of them
/// blocks a worker thread, and teams over their rate must leave enough threads to the others.
const MAX_TEAM_WAITING: usize = 32;
const MAX_WAITING: usize = 256;

/// Time after an owner replied that its bucket is empty during which the team counts as over its
/// rate.
const EMPTY_BUCKET_TTL: Duration = Duration::from_millis(1_000);

/// A request that waits for a token.
pub(super) struct WaitingAdmission {
    admission: RequestAdmission,
    arrived: Instant,
    /// Start of the present attempt to get a token; owners that were asked before it are asked
    /// again.
    attempt_started: Instant,
    reply: ReplySender<AdmitOutcome>,
}

/// The requests of one team that wait for a token.
#[derive(Default)]
pub(super) struct TokenQueue {
    waiting: VecDeque<WaitingAdmission>,
    /// Time before which no token can be expected, so no attempt is made.
    not_before: Option<Instant>,
    /// When an owner last replied that its bucket is empty.
    last_empty: Option<Instant>,
}

/// Returns the rendezvous key that determines the owner of a team's bucket.
pub(super) fn bucket_key(team: &TeamName) -> String {
    format!("team/{team}")
}

impl ControlState {
    /// Admits or refuses a request, or queues it until the team has a token.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        request: &AdmitRequest,
        reply: ReplySender<AdmitOutcome>,
    ) {
        let admission = match self.check_admission(now, request) {
            Ok(admission) => admission,
            Err(refusal) => return send_refusal(&reply, refusal),
        };
        if admission.is_open {
            self.count_admission(&admission.team);
            return send_admission(&reply, admission);
        }
        let team = admission.team.clone();
        let attempt_started = self.next_attempt_time(now);
        let all_waiting: usize = self.token_queues.values().map(|it| it.waiting.len()).sum();
        let queue = self.token_queues.entry(team.clone()).or_default();
        if queue.waiting.len() >= MAX_TEAM_WAITING || all_waiting >= MAX_WAITING {
            let refusal = self.token_refusal(now, &team, MAX_TOKEN_WAIT);
            self.count_refusal(now, &admission, refusal.kind);
            return send_refusal(&reply, refusal);
        }
        queue.waiting.push_back(WaitingAdmission {
            admission,
            arrived: now,
            attempt_started,
            reply,
        });
        self.serve_waiting(now, &team);
    }

    /// Retries the waiting requests of all teams and drops the queues of removed teams.
    pub(super) fn serve_all_waiting(&mut self, now: Instant) {
        let teams: Vec<TeamName> = self
            .token_queues
            .iter()
            .filter(|(_, it)| !it.waiting.is_empty())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.serve_waiting(now, &team);
        }
        let catalogue = self.catalogue().clone();
        self.token_queues
            .retain(|team, it| !it.waiting.is_empty() || catalogue.team(team).is_some());
    }

    /// Admits or refuses the waiting requests of a team in order, until one has to wait for the
    /// reply of an owner or for the bucket to refill.
    pub(super) fn serve_waiting(&mut self, now: Instant, team: &TeamName) {
        let split = self.gate.limit_split(team).cloned().unwrap_or_default();
        while let Some((arrived, attempt_started)) = self.first_waiting(now, team) {
            let waited = now.saturating_duration_since(arrived);
            match self.token_cache.acquire(now, attempt_started, team, &split) {
                AcquireOutcome::Acquired => {
                    self.count_admission(team);
                    if let Some(first) = self.pop_waiting(team) {
                        send_admission(&first.reply, first.admission);
                    }
                }
                AcquireOutcome::Refused { retry_after }
                    if waited + retry_after <= self.max_token_wait(now, team) =>
                {
                    self.postpone_first(now, team, retry_after);
                    return;
                }
                AcquireOutcome::Refused { retry_after } => {
                    let refusal = self.token_refusal(now, team, retry_after);
                    self.refuse_first(now, team, refusal);
                }
                AcquireOutcome::RequestFrom(_) if waited >= MAX_TOKEN_WAIT => {
                    let refusal = self.token_refusal(now, team, MAX_TOKEN_WAIT);
                    self.refuse_first(now, team, refusal);
                }
                AcquireOutcome::RequestFrom(centres) => {
                    // The time of an attempt may be ahead of the clock. A request for tokens at an
                    // earlier time would not count for it, and would be made again without end.
                    if !self.request_from_owner(now.max(attempt_started), team, &centres) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns a start time that is later than that of every earlier attempt.
    ///
    /// Requests that are handled together see the same clock value. The token request that is sent
    /// for the first of them asks for no tokens for the others, so it must not count as having
    /// asked for them.
    fn next_attempt_time(&mut self, now: Instant) -> Instant {
        self.last_attempt = now.max(self.last_attempt + Duration::from_nanos(1));
        self.last_attempt
    }

    /// Longest time for which a request of a team waits for a token.
    ///
    /// If the bucket was empty recently, requests wait for the next refill only. A failed token
    /// request says nothing about the team's rate, so requests then wait longer, for another
    /// attempt.
    fn max_token_wait(&self, now: Instant, team: &TeamName) -> Duration {
        if self.was_bucket_empty_recently(now, team) { MAX_REFILL_WAIT } else { MAX_TOKEN_WAIT }
    }

    fn was_bucket_empty_recently(&self, now: Instant, team: &TeamName) -> bool {
        let last_empty = self.token_queues.get(team).and_then(|it| it.last_empty);
        last_empty.is_some_and(|it| now.saturating_duration_since(it) <= EMPTY_BUCKET_TTL)
    }

    /// Starts a new attempt for the first request after `delay`.
    fn postpone_first(&mut self, now: Instant, team: &TeamName, delay: Duration) {
        let attempt_started = self.next_attempt_time(now);
        let Some(queue) = self.token_queues.get_mut(team) else { return };
        queue.not_before = Some(now + delay);
        if let Some(first) = queue.waiting.front_mut() {
            first.attempt_started = attempt_started;
        }
    }

    /// Sends a token request to the first data centre that has a reachable owner.
    ///
    /// Returns whether a new attempt can be made at once: this host is the owner and has replied,
    /// or no data centre has an owner.
    fn request_from_owner(
        &mut self,
        now: Instant,
        team: &TeamName,
        centres: &[CentreName],
    ) -> bool {
        let waiting = self.token_queues.get(team).map_or(0, |it| it.waiting.len());
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let mut has_skipped = false;
        for centre in centres {
            let has_owner = self.owner_of(team, centre).is_some();
            match self.token_cache.token_request(now, team, centre, waiting) {
                Some(request) if has_owner => {
                    return self.send_grant_request(now, centre, request);
                }
                Some(request) => {
                    self.token_cache.on_failed(now, team, centre, request.sequence);
                    has_skipped = true;
                }
                // An earlier token request is in flight; its reply triggers the next attempt.
                None if has_owner => return false,
                None => {}
            }
        }
        has_skipped
    }

    /// Sends a token request; returns whether its result is already known, because this host is
    /// the owner or there is no owner.
    pub(super) fn send_grant_request(
        &mut self,
        now: Instant,
        centre: &CentreName,
        request: GrantRequest,
    ) -> bool {
        let Some(owner) = self.owner_of(&request.team, centre) else {
            self.token_cache.on_failed(now, &request.team, centre, request.sequence);
            return true;
        };
        if owner.name == self.identity.name {
            let reply = self.grant_tokens(now, &request);
            self.apply_grant(now, centre, &reply);
            return true;
        }
        self.grant_calls.insert(request.sequence, centre.clone());
        self.call(now, &owner, PeerRequest::Grant(request), GRANT_TIMEOUT);
        false
    }

    fn owner_of(&self, team: &TeamName, centre: &CentreName) -> Option<HostRecord> {
        self.views.owner_in(centre, &bucket_key(team)).cloned()
    }

    /// Handles a token request as the owner of the team's bucket.
    pub(super) fn grant_tokens(&mut self, now: Instant, request: &GrantRequest) -> GrantReply {
        let is_owner = self.views.owns(&bucket_key(&request.team), now);
        let share = self.gate.share(&request.team);
        self.buckets.grant(now, is_owner, share, request)
    }

    /// Stores the tokens of an owner's reply.
    pub(super) fn apply_grant(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        let outcome = match (reply.is_owner, reply.granted) {
            (false, _) => "not_owner",
            (true, 0) => "empty",
            (true, _) => "granted",
        };
        self.metrics.count_grant(outcome, reply.granted as f64 / UNITS_PER_TOKEN as f64);
        if reply.is_owner
            && reply.retry_ms > 0
            && let Some(queue) = self.token_queues.get_mut(&reply.team)
        {
            queue.last_empty = Some(now);
        }
        self.token_cache.on_reply(now, centre, reply);
    }

    /// Returns the arrival time and the attempt start of the first waiting request, unless no token
    /// can be expected yet.
    fn first_waiting(&self, now: Instant, team: &TeamName) -> Option<(Instant, Instant)> {
        let queue = self.token_queues.get(team)?;
        if queue.not_before.is_some_and(|it| now < it) {
            return None;
        }
        queue.waiting.front().map(|it| (it.arrived, it.attempt_started))
    }

    fn pop_waiting(&mut self, team: &TeamName) -> Option<WaitingAdmission> {
        self.token_queues.get_mut(team)?.waiting.pop_front()
    }

    fn refuse_first(&mut self, now: Instant, team: &TeamName, refusal: RequestRefusal) {
        if let Some(first) = self.pop_waiting(team) {
            self.count_refusal(now, &first.admission, refusal.kind);
            send_refusal(&first.reply, refusal);
        }
    }

    /// Returns the refusal of a team that is over its rate, or of one whose owners are unreachable.
    fn token_refusal(
        &self,
        now: Instant,
        team: &TeamName,
        retry_after: Duration,
    ) -> RequestRefusal {
        if self.was_bucket_empty_recently(now, team) {
            RequestRefusal::not_run(RefusalKind::OverRate, "the team has used its rate and burst")
        } else {
            tracing::debug!(%team, retry_ms = retry_after.as_millis(), "limit_unavailable");
            let message = "no host that keeps the team's limit can be asked";
            RequestRefusal::not_run(RefusalKind::LimitUnavailable, message)
        }
        .with_retry_after(retry_after)
    }

    pub(super) fn check_admission(
        &self,
        now: Instant,
        request: &AdmitRequest,
    ) -> Result<RequestAdmission, RequestRefusal> {
        let catalogue = self.catalogue();
        if self.is_draining {
            return Err(RequestRefusal::not_run(
                RefusalKind::Draining,
                "the host is about to stop",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        if catalogue.revision() == 0 {
            return Err(RequestRefusal::not_run(
                RefusalKind::NoConfiguration,
                "no configuration yet",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let Some((name, route)) = catalogue.route(&request.method, &request.path) else {
            return Err(no_route(catalogue, request));
        };
        let team = authenticate(catalogue, route, request)?;
        let class_name = route
            .class
            .as_ref()
            .or_else(|| catalogue.team(&team).map(|it| &it.class))
            .expect("the catalogue check requires a class for every route without a team");
        let class = catalogue.classes().get(class_name).expect("the check resolves classes");
        Ok(RequestAdmission {
            route: name.clone(),
            kind: route.kind,
            service: route.service.clone(),
            runs_at_most_once: route.once,
            is_open: route.open,
            weight: catalogue.team(&team).map_or(1.0, |it| it.weight),
            team,
            key: request.key,
            class: class_name.clone(),
            priority: class.priority,
            deadline: Duration::from_millis(class.deadline_ms),
            max_queue_time: Duration::from_millis(class.queue_ms),
            admitted: now,
        })
    }
}

/// Returns whether the key of an admitted request is still valid.
pub(super) fn is_key_valid(catalogue: &Catalogue, admission: &RequestAdmission) -> bool {
    admission.is_open
        || admission.key.and_then(|it| catalogue.team_of_key(&it)) == Some(&admission.team)
}

fn no_route(catalogue: &Catalogue, request: &AdmitRequest) -> RequestRefusal {
    if catalogue.has_route_for_path(&request.path) {
        let message = format!("no route for method {}", request.method);
        RequestRefusal::not_run(RefusalKind::MethodNotAllowed, message)
    } else {
        RequestRefusal::not_run(RefusalKind::NoRoute, "no route for this path")
    }
}

fn authenticate(
    catalogue: &Catalogue,
    route: &RouteEntry,
    request: &AdmitRequest,
) -> Result<TeamName, RequestRefusal> {
    if route.open {
        return Ok(TeamName::new(OPEN_TEAM));
    }
    let team = team_of(catalogue, request.key)?;
    if !route.teams.is_empty() && !route.teams.contains(&team) {
        let message = "the team may not use this route";
        return Err(RequestRefusal::not_run(RefusalKind::RouteForbidden, message));
    }
    Ok(team)
}

/// Returns the team of a key.
pub(super) fn team_of(
    catalogue: &Catalogue,
    key: Option<KeyHash>,
) -> Result<TeamName, RequestRefusal> {
    let key = key.ok_or_else(|| {
        RequestRefusal::not_run(RefusalKind::KeyMissing, "a bearer key is needed for this request")
    })?;
    catalogue.team_of_key(&key).cloned().ok_or_else(|| {
        RequestRefusal::not_run(RefusalKind::KeyInvalid, "the key is unknown or withdrawn")
    })
}

fn send_admission(reply: &ReplySender<AdmitOutcome>, admission: RequestAdmission) {
    let _ = reply.send(AdmitOutcome::Admitted(Arc::new(admission)));
}

fn send_refusal(reply: &ReplySender<AdmitOutcome>, refusal: RequestRefusal) {
    let _ = reply.send(AdmitOutcome::Refused(refusal));
}

impl ControlState {
    /// Handles the reply to a token request, or its failure.
    pub(super) fn grant_call_ended(
        &mut self,
        now: Instant,
        request: &GrantRequest,
        result: Result<PeerReply, PeerError>,
    ) {
        let Some(centre) = self.grant_calls.remove(&request.sequence) else {
            return;
        };
        match result {
            Ok(PeerReply::Grant(reply)) => self.apply_grant(now, &centre, &reply),
            Ok(_) | Err(_) => {
                tracing::debug!(team = %request.team, %centre, "grant_lost");
                self.metrics.count_grant("lost", 0.0);
                self.token_cache.on_failed(now, &request.team, &centre, request.sequence);
            }
        }
        self.serve_waiting(now, &request.team);
    }
}
