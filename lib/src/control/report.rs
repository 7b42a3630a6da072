//! Reports for operators: status, explanations of routing decisions, burn rates and metrics.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use super::{
    command::{RequestAdmission, RequestEnd},
    state::ControlState,
};
use crate::{
    catalogue::{RouteEntry, RouteKind, UpstreamKind},
    front::{OutcomeKind, RefusalKind, chat_affinity_key},
    names::{ModelName, OPEN_TEAM, TeamName, UpstreamName},
    routing::{
        ColdPhase, LoadSummary, PickOutcome, PickRequest, PickTarget, SkippedUpstream, UpstreamPick,
    },
    slo::{BurnReport, SloEvent},
    status::{
        ConfigStatus, ExplainQuery, ExplainReport, ExplainStep, ExplainVerdict, StatusReport,
        StepOutcome, TeamStatus, UpstreamStatus,
    },
    telemetry::RequestLabels,
};

/// Counts of one team's requests since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamCounts {
    admitted: u64,
    refused: u64,
    refused_over_rate: u64,
}

/// The counts of all teams.
pub(super) type TeamCountTable = BTreeMap<TeamName, TeamCounts>;

impl ControlState {
    /// Counts an admitted request.
    pub(super) fn count_admission(&mut self, team: &TeamName) {
        self.team_counts.entry(team.clone()).or_default().admitted += 1;
    }

    /// Counts a request of a known team that was refused instead of admitted.
    pub(super) fn count_refusal(
        &mut self,
        now: Instant,
        admission: &RequestAdmission,
        kind: RefusalKind,
    ) {
        let end = RequestEnd::Refused { kind, outcome: OutcomeKind::NotRun };
        self.request_ended(now, admission, end);
    }

    /// Counts the end of a request in the metrics, the team counts and the burn rates.
    pub(super) fn request_ended(
        &mut self,
        now: Instant,
        admission: &RequestAdmission,
        end: RequestEnd,
    ) {
        let labels = RequestLabels {
            route: Some(&admission.route),
            team: Some(&admission.team),
            class: Some(&admission.class),
        };
        self.metrics.count_request(labels, end.outcome().as_str());
        if let RequestEnd::Refused { kind, .. } = end {
            self.metrics.count_refusal(kind.as_str());
            let counts = self.team_counts.entry(admission.team.clone()).or_default();
            counts.refused += 1;
            counts.refused_over_rate += u64::from(kind == RefusalKind::OverRate);
        }
        if let RequestEnd::Completed { first_chunk } = end {
            self.metrics.record_first_chunk(&admission.class, first_chunk);
        }
        if let Some(event) = service_event(admission, end) {
            self.burn.record(now, &admission.team, &admission.class, event);
        }
    }

    /// Updates the gauge metrics.
    pub(super) fn update_gauges(&self) {
        self.metrics.set_queue_length(self.queue.len() as u64);
        self.metrics.set_in_flight(self.running.len() as u64);
        self.metrics
            .set_config_revisions(self.config.accepted_revision(), self.config.seen_revision());
    }

    pub(super) fn burn_report(&mut self, now: Instant) -> BurnReport {
        let catalogue = self.catalogue().clone();
        self.burn.report(now, &catalogue)
    }

    pub(super) fn status(&mut self, now: Instant) -> StatusReport {
        StatusReport {
            host: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.incarnation,
            config: ConfigStatus {
                accepted_revision: self.config.accepted_revision(),
                seen_revision: self.config.seen_revision(),
                problems: self.config.problems().to_vec(),
            },
            list_version: self.views.host_list().version,
            view_confirmed: self.views.is_confirmed(now),
            ready: self.is_ready(),
            draining: self.is_draining,
            in_flight: self.running.len() as u64,
            queued: self.queue.len() as u64,
            upstreams: self.upstream_status(now),
            teams: self.team_status(),
        }
    }

    fn upstream_status(&mut self, now: Instant) -> Vec<UpstreamStatus> {
        let catalogue = self.catalogue().clone();
        let running: HashMap<UpstreamName, u64> = self
            .running_by_upstream()
            .into_iter()
            .map(|(name, count)| (name.clone(), count))
            .collect();
        let mut rows = Vec::with_capacity(catalogue.upstreams().len());
        for (name, entry) in catalogue.upstreams() {
            let phase = self.picker.cold_phase(now, name, &catalogue);
            let summary = LoadSummary::default();
            let capacity = f64::from(entry.capacity);
            let estimate = self.picker.load_table().estimate(now, name, capacity, &summary);
            let load = match entry.kind {
                UpstreamKind::Engine => estimate.work,
                UpstreamKind::Service => estimate.requests,
            };
            rows.push(UpstreamStatus {
                name: name.clone(),
                kind: entry.kind,
                data_centre: entry.data_centre.clone(),
                state: entry.state,
                eligible: catalogue.takes_new_work(entry),
                load,
                in_flight: running.get(name).copied().unwrap_or(0),
                cold: !matches!(phase, ColdPhase::Warm(_)),
            });
        }
        rows
    }

    fn team_status(&self) -> Vec<TeamStatus> {
        let open = TeamName::new(OPEN_TEAM);
        let names = self.catalogue().teams().keys().chain([&open]);
        names
            .map(|name| {
                let counts = self.team_counts.get(name).copied().unwrap_or_default();
                TeamStatus {
                    name: name.clone(),
                    admitted: counts.admitted,
                    refused: counts.refused,
                    refused_over_rate: counts.refused_over_rate,
                }
            })
            .collect()
    }

    /// Returns how a request would be handled now, without any effect on the state.
    pub(super) fn explain(&mut self, now: Instant, query: ExplainQuery) -> ExplainReport {
        let mut steps = Vec::new();
        let verdict = self.explain_steps(now, &query, &mut steps);
        ExplainReport {
            host: self.identity.name.clone(),
            revision: self.config.accepted_revision(),
            query,
            steps,
            verdict,
        }
    }

    fn explain_steps(
        &mut self,
        now: Instant,
        query: &ExplainQuery,
        steps: &mut Vec<ExplainStep>,
    ) -> ExplainVerdict {
        let catalogue = self.catalogue().clone();
        let route = match (&query.model, &query.path, &query.method) {
            (Some(_), _, _) => catalogue.routes().iter().find(|it| it.1.kind == RouteKind::Chat),
            (None, Some(path), Some(method)) => {
                let found = catalogue.route(method, path).map(|it| it.0.clone());
                catalogue.routes().iter().find(|it| Some(&it.0) == found.as_ref())
            }
            _ => None,
        };
        let Some((name, route)) = route else {
            steps.push(step("route", StepOutcome::Refused, "no route matches"));
            return refuse(RefusalKind::NoRoute);
        };
        steps.push(step("route", StepOutcome::Passed, format!("{name}, path {}", route.path)));
        if let Some(kind) = self.explain_team(query, route, steps) {
            return refuse(kind);
        }
        let model = query.model.as_deref().map(ModelName::new);
        let target = match (&model, &route.service) {
            (Some(model), _) => PickTarget::Model(model),
            (None, Some(service)) => PickTarget::Service(service),
            (None, None) => return refuse(RefusalKind::NoRoute),
        };
        let team = TeamName::new(query.team.as_deref().unwrap_or(OPEN_TEAM));
        let chat = query.chat.as_deref().map(|it| chat_affinity_key(&team, it));
        let request = PickRequest {
            target,
            chat: chat.as_deref(),
            request_id: "explain",
            work: 1,
            tried: &[],
        };
        let outcome = self.picker.clone().pick(now, &request, &catalogue, &self.recent_host_sets);
        explain_pick(outcome, steps)
    }

    fn explain_team(
        &self,
        query: &ExplainQuery,
        route: &RouteEntry,
        steps: &mut Vec<ExplainStep>,
    ) -> Option<RefusalKind> {
        let Some(team) = query.team.as_deref().map(TeamName::new) else {
            steps.push(step("team", StepOutcome::Skipped, "no team given"));
            return None;
        };
        let Some(entry) = self.catalogue().team(&team) else {
            steps.push(step("team", StepOutcome::Refused, format!("no team {team}")));
            return Some(RefusalKind::KeyInvalid);
        };
        if !route.teams.is_empty() && !route.teams.contains(&team) {
            steps.push(step("team", StepOutcome::Refused, "the route is closed to the team"));
            return Some(RefusalKind::RouteForbidden);
        }
        let share = self.gate.share(&team);
        let detail = format!(
            "class {}, rate {}/s and burst {} in all, {}/s and {} tokens in this data centre",
            route.class.as_ref().unwrap_or(&entry.class),
            entry.rate,
            entry.burst,
            share.rate,
            share.burst / crate::limits::UNITS_PER_TOKEN,
        );
        steps.push(step("team", StepOutcome::Passed, detail));
        None
    }
}

fn service_event(admission: &RequestAdmission, end: RequestEnd) -> Option<SloEvent> {
    match end {
        RequestEnd::Completed { first_chunk } => {
            Some(SloEvent::Completed { first_chunk, deadline: admission.deadline })
        }
        RequestEnd::Truncated => Some(SloEvent::Truncated),
        RequestEnd::CallerDisconnected => None,
        RequestEnd::Refused { kind: RefusalKind::OverRate, .. } => Some(SloEvent::RefusedOverRate),
        RequestEnd::Refused { kind, .. } if kind.is_caller_error() => None,
        RequestEnd::Refused { outcome: OutcomeKind::Unknown, .. } => Some(SloEvent::UnknownOutcome),
        RequestEnd::Refused { .. } => Some(SloEvent::RefusedWithinRate),
    }
}

fn explain_pick(outcome: PickOutcome, steps: &mut Vec<ExplainStep>) -> ExplainVerdict {
    match outcome {
        PickOutcome::Picked(pick) => {
            steps.extend(pick.skipped.iter().map(skipped_step));
            steps.push(picked_step(&pick));
            ExplainVerdict::Dispatch { upstream: pick.upstream }
        }
        PickOutcome::Busy { skipped, skipped_count } => {
            steps.extend(skipped.iter().map(skipped_step));
            ExplainVerdict::Queue { reason: format!("{skipped_count} upstreams are busy") }
        }
        PickOutcome::NoneEligible => {
            steps.push(step("eligible", StepOutcome::Refused, "no upstream takes such requests"));
            refuse(RefusalKind::NoUpstream)
        }
    }
}

fn skipped_step(skipped: &SkippedUpstream) -> ExplainStep {
    let detail = format!(
        "{} at position {}: {:?}, load {:.0}",
        skipped.upstream, skipped.rank, skipped.reason, skipped.estimate.work
    );
    step("candidate", StepOutcome::Refused, detail)
}

fn picked_step(pick: &UpstreamPick) -> ExplainStep {
    let detail = format!(
        "{} at position {}: {:?}, load {:.0}, bound {:.0}, mean {:.0}, {:?}",
        pick.upstream,
        pick.rank,
        pick.reason,
        pick.estimate.work,
        pick.bound,
        pick.mean,
        pick.phase
    );
    step("candidate", StepOutcome::Passed, detail)
}

fn step(name: &str, outcome: StepOutcome, detail: impl Into<String>) -> ExplainStep {
    ExplainStep { name: name.to_owned(), outcome, detail: detail.into() }
}

fn refuse(kind: RefusalKind) -> ExplainVerdict {
    ExplainVerdict::Refuse { reason: kind.as_str().to_owned() }
}
