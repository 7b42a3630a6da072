//! Who may run what: routes, keys and team limits.

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

/// Time until the reply of an owner; the longest way is between data centres.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait of a request for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// Time for which a request waits for the bucket to refill before it is refused.
///
/// Tokens arrive in small batches from several owners, so that a request within its team's rate
/// can come some milliseconds before its token.
const REFILL_WAIT: Duration = Duration::from_millis(150);

/// Requests of one team, and of all teams, that wait for a token at the same time. Each holds a
/// worker thread, and teams over their rate must leave the others enough of them.
const MAX_TEAM_WAITING: usize = 32;
const MAX_WAITING: usize = 256;

/// Age up to which an owner's answer that its bucket is empty explains a refusal.
const EMPTY_BUCKET_TTL: Duration = Duration::from_millis(1_000);

/// A request that waits for a token.
pub(super) struct WaitingAdmission {
    admission: RequestAdmission,
    arrived: Instant,
    /// Answers of owners to requests sent earlier do not count for this one.
    asked_since: Instant,
    reply: ReplySender<AdmitOutcome>,
}

/// The requests of one team that wait for a token, and why.
#[derive(Default)]
pub(super) struct TokenQueue {
    waiting: VecDeque<WaitingAdmission>,
    /// Time before which no token can be expected.
    not_before: Option<Instant>,
    /// When an owner last said that its bucket is empty.
    empty_at: Option<Instant>,
}

/// Returns the key under which a team's bucket has its owner.
pub(super) fn bucket_key(team: &TeamName) -> String {
    format!("team/{team}")
}

impl ControlState {
    /// Admits a request, refuses it, or lets it wait for a token.
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
        let asked_since = self.next_arrival(now);
        let all_waiting: usize = self.tokens.values().map(|it| it.waiting.len()).sum();
        let queue = self.tokens.entry(team.clone()).or_default();
        if queue.waiting.len() >= MAX_TEAM_WAITING || all_waiting >= MAX_WAITING {
            let refusal = self.token_refusal(now, &team, TOKEN_WAIT);
            self.count_refusal(now, &admission, refusal.kind);
            return send_refusal(&reply, refusal);
        }
        queue.waiting.push_back(WaitingAdmission { admission, arrived: now, asked_since, reply });
        self.serve_waiting(now, &team);
    }

    /// Repeats the attempts of all teams with waiting requests.
    pub(super) fn serve_all_waiting(&mut self, now: Instant) {
        let teams: Vec<TeamName> = self
            .tokens
            .iter()
            .filter(|(_, it)| !it.waiting.is_empty())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.serve_waiting(now, &team);
        }
        let catalogue = self.catalogue().clone();
        self.tokens.retain(|team, it| !it.waiting.is_empty() || catalogue.team(team).is_some());
    }

    /// Serves the waiting requests of a team in order, until one has to wait for an answer or for
    /// the bucket to refill.
    pub(super) fn serve_waiting(&mut self, now: Instant, team: &TeamName) {
        let share = self.gate.limit_split(team).cloned().unwrap_or_default();
        while let Some((arrived, asked_since)) = self.first_waiting(now, team) {
            let waited = now.saturating_duration_since(arrived);
            match self.token_cache.acquire(now, asked_since, team, &share) {
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
                AcquireOutcome::RequestFrom(_) if waited >= TOKEN_WAIT => {
                    let refusal = self.token_refusal(now, team, TOKEN_WAIT);
                    self.refuse_first(now, team, refusal);
                }
                AcquireOutcome::RequestFrom(centres) => {
                    if !self.ask_owner(now, team, &centres) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns a time that differs from that of every earlier request.
    ///
    /// Requests that are handled together see the same clock value. A request for tokens that was
    /// sent for the first of them does not count the others, so it must not count as asked for
    /// them.
    fn next_arrival(&mut self, now: Instant) -> Instant {
        self.last_arrival = now.max(self.last_arrival + Duration::from_nanos(1));
        self.last_arrival
    }

    /// Time for which a request of a team waits for a token.
    ///
    /// A lost message says nothing about the team's rate, so its requests wait for another
    /// attempt; those of a team with an empty bucket wait only for the next refill.
    fn max_token_wait(&self, now: Instant, team: &TeamName) -> Duration {
        if self.is_empty_recently(now, team) { REFILL_WAIT } else { TOKEN_WAIT }
    }

    fn is_empty_recently(&self, now: Instant, team: &TeamName) -> bool {
        let empty_at = self.tokens.get(team).and_then(|it| it.empty_at);
        empty_at.is_some_and(|it| now.saturating_duration_since(it) <= EMPTY_BUCKET_TTL)
    }

    /// Lets the first request wait until a token can be expected.
    fn postpone_first(&mut self, now: Instant, team: &TeamName, delay: Duration) {
        let asked_since = self.next_arrival(now);
        let Some(queue) = self.tokens.get_mut(team) else { return };
        queue.not_before = Some(now + delay);
        if let Some(first) = queue.waiting.front_mut() {
            first.asked_since = asked_since;
        }
    }

    /// Asks the first data centre that can be asked; returns whether the answer is already here.
    fn ask_owner(&mut self, now: Instant, team: &TeamName, centres: &[CentreName]) -> bool {
        let waiting = self.tokens.get(team).map_or(0, |it| it.waiting.len());
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
                // An earlier request is on its way; its answer serves this one too.
                None if has_owner => return false,
                None => {}
            }
        }
        has_skipped
    }

    /// Sends a request for tokens; returns whether the answer is already here.
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
            let reply = self.grant(now, &request);
            self.take_grant(now, centre, &reply);
            return true;
        }
        self.grant_calls.insert(request.sequence, centre.clone());
        self.call(now, &owner, PeerRequest::Grant(request), GRANT_TIMEOUT);
        false
    }

    fn owner_of(&self, team: &TeamName, centre: &CentreName) -> Option<HostRecord> {
        self.views.owner_in(centre, &bucket_key(team)).cloned()
    }

    /// Answers a request for tokens as the owner of the team's bucket.
    pub(super) fn grant(&mut self, now: Instant, request: &GrantRequest) -> GrantReply {
        let owns = self.views.owns(&bucket_key(&request.team), now);
        let share = self.gate.share(&request.team);
        self.buckets.grant(now, owns, share, request)
    }

    /// Takes an owner's answer.
    pub(super) fn take_grant(&mut self, now: Instant, centre: &CentreName, reply: &GrantReply) {
        let outcome = match (reply.is_owner, reply.granted) {
            (false, _) => "not_owner",
            (true, 0) => "empty",
            (true, _) => "granted",
        };
        self.metrics.grant(outcome, reply.granted as f64 / UNITS_PER_TOKEN as f64);
        if reply.is_owner
            && reply.retry_ms > 0
            && let Some(queue) = self.tokens.get_mut(&reply.team)
        {
            queue.empty_at = Some(now);
        }
        self.token_cache.on_reply(now, centre, reply);
    }

    /// Returns the times of the first request, unless no token can be expected yet.
    fn first_waiting(&self, now: Instant, team: &TeamName) -> Option<(Instant, Instant)> {
        let queue = self.tokens.get(team)?;
        if queue.not_before.is_some_and(|it| now < it) {
            return None;
        }
        queue.waiting.front().map(|it| (it.arrived, it.asked_since))
    }

    fn pop_waiting(&mut self, team: &TeamName) -> Option<WaitingAdmission> {
        self.tokens.get_mut(team)?.waiting.pop_front()
    }

    fn refuse_first(&mut self, now: Instant, team: &TeamName, refusal: RequestRefusal) {
        if let Some(first) = self.pop_waiting(team) {
            self.count_refusal(now, &first.admission, refusal.kind);
            send_refusal(&first.reply, refusal);
        }
    }

    /// Tells a team that is over its rate from one whose owners cannot be asked.
    fn token_refusal(
        &self,
        now: Instant,
        team: &TeamName,
        retry_after: Duration,
    ) -> RequestRefusal {
        if self.is_empty_recently(now, team) {
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
    if catalogue.has_path(&request.path) {
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
    /// Takes the end of a call to an owner.
    pub(super) fn grant_ended(
        &mut self,
        now: Instant,
        request: &GrantRequest,
        result: Result<PeerReply, PeerError>,
    ) {
        let Some(centre) = self.grant_calls.remove(&request.sequence) else {
            return;
        };
        match result {
            Ok(PeerReply::Grant(reply)) => self.take_grant(now, &centre, &reply),
            Ok(_) | Err(_) => {
                tracing::debug!(team = %request.team, %centre, "grant_lost");
                self.metrics.grant("lost", 0.0);
                self.token_cache.on_failed(now, &request.team, &centre, request.sequence);
            }
        }
        self.serve_waiting(now, &request.team);
    }
}
