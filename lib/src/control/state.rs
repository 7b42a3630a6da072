//! The decisions of one router behind one interface.

use std::{
    collections::HashMap,
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use super::command::{
    Admission, AdmitOutcome, AdmitRequest, ControlCommand, DispatchEnd, DispatchGrant,
    DispatchOutcome, DispatchRequest, DispatchTarget,
};
use crate::{
    catalogue::{Catalogue, RouteKind},
    config::{ChangeOutcome, ConfigChange, ConfigTracker},
    front::Refusal,
    membership::HostList,
    names::{TeamName, UpstreamName},
    rendezvous,
};

/// Name under which requests on open routes share the queue.
const OPEN_TEAM: &str = "open";

/// Everything that the control actor owns.
pub struct ControlState {
    config: ConfigTracker,
    hosts: HostList,
    dispatches: HashMap<u64, UpstreamName>,
    next_dispatch: u64,
    is_draining: bool,
}

impl fmt::Debug for ControlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlState").finish_non_exhaustive()
    }
}

impl ControlState {
    /// Creates the state of a process that has just started.
    pub fn new() -> Self {
        Self {
            config: ConfigTracker::new(),
            hosts: HostList::default(),
            dispatches: HashMap::new(),
            next_dispatch: 0,
            is_draining: false,
        }
    }

    /// Handles one command.
    pub fn handle(&mut self, now: Instant, command: ControlCommand) {
        match command {
            ControlCommand::ConfigRead(change) => self.apply_config(&change),
            ControlCommand::HostsRead { list, .. } => {
                if let Some(list) = list
                    && list.version > self.hosts.version
                {
                    self.hosts = list;
                }
            }
            ControlCommand::Admit(request, reply) => {
                let _ = reply.send(self.admit(now, &request));
            }
            ControlCommand::Dispatch(request, reply) => {
                let _ = reply.send(self.dispatch(&request));
            }
            ControlCommand::DispatchEnded(number, end) => self.dispatch_ended(number, end),
            ControlCommand::SeenRevision(reply) => {
                let _ = reply.send(self.config.seen_revision());
            }
            ControlCommand::ListVersion(reply) => {
                let _ = reply.send(self.hosts.version);
            }
            ControlCommand::IsReady(reply) => {
                let _ = reply.send(!self.is_draining && self.config.accepted_revision() > 0);
            }
            ControlCommand::Drain => self.is_draining = true,
            ControlCommand::FirstPiece(_) | ControlCommand::RequestEnded(_) => {}
        }
    }

    /// Does the periodic work.
    pub fn tick(&mut self, _now: Instant) {}

    fn catalogue(&self) -> &Arc<Catalogue> {
        self.config.catalogue()
    }

    fn apply_config(&mut self, change: &ConfigChange) {
        match self.config.apply(change) {
            ChangeOutcome::Accepted(catalogue) => {
                tracing::info!(revision = catalogue.revision(), "config_accepted");
            }
            ChangeOutcome::Rejected(rejection) => {
                for problem in &rejection.problems {
                    tracing::warn!(revision = rejection.revision, %problem, "config_rejected");
                }
            }
            ChangeOutcome::Stale => {}
            ChangeOutcome::Gap => {
                tracing::warn!(base = change.base, revision = change.revision, "config_gap");
            }
        }
    }

    fn admit(&self, now: Instant, request: &AdmitRequest) -> AdmitOutcome {
        match self.check_admission(now, request) {
            Ok(admission) => AdmitOutcome::Admitted(Arc::new(admission)),
            Err(refusal) => AdmitOutcome::Refused(refusal),
        }
    }

    fn check_admission(&self, now: Instant, request: &AdmitRequest) -> Result<Admission, Refusal> {
        let catalogue = self.catalogue();
        if self.is_draining {
            return Err(
                Refusal::not_run(503, "draining", "the host is about to stop")
                    .retry_after(Duration::from_secs(1)),
            );
        }
        if catalogue.revision() == 0 {
            return Err(
                Refusal::not_run(503, "no_configuration", "no configuration yet")
                    .retry_after(Duration::from_secs(1)),
            );
        }
        let Some((name, route)) = catalogue.route(&request.method, &request.path) else {
            return Err(if catalogue.has_path(&request.path) {
                let message = format!("no route for method {}", request.method);
                Refusal::not_run(405, "method_not_allowed", message)
            } else {
                Refusal::not_run(404, "no_route", "no route for this path")
            });
        };
        let team = if route.open {
            TeamName::new(OPEN_TEAM)
        } else {
            let key = request
                .key
                .ok_or_else(|| Refusal::not_run(401, "key_missing", "this route needs a key"))?;
            let team = catalogue.team_of_key(&key).ok_or_else(|| {
                Refusal::not_run(401, "key_invalid", "the key is unknown or withdrawn")
            })?;
            if !route.teams.is_empty() && !route.teams.contains(team) {
                return Err(Refusal::not_run(
                    403,
                    "route_forbidden",
                    "the team may not use this route",
                ));
            }
            team.clone()
        };
        let class_name = route
            .class
            .as_ref()
            .or_else(|| catalogue.team(&team).map(|it| &it.class))
            .expect("the catalogue check requires a class for every route without a team");
        let class = catalogue
            .classes()
            .get(class_name)
            .expect("the check resolves classes");
        Ok(Admission {
            route: name.clone(),
            kind: route.kind,
            service: route.service.clone(),
            once: route.once,
            open: route.open,
            team,
            key: request.key,
            class: class_name.clone(),
            priority: class.priority,
            deadline: Duration::from_millis(class.deadline_ms),
            queue_limit: Duration::from_millis(class.queue_ms),
            admitted: now,
        })
    }

    fn dispatch(&mut self, request: &DispatchRequest) -> DispatchOutcome {
        let catalogue = self.catalogue().clone();
        let admission = &request.admission;
        if !admission.open
            && admission.key.and_then(|it| catalogue.team_of_key(&it)) != Some(&admission.team)
        {
            let refusal = Refusal::not_run(401, "key_invalid", "the key was withdrawn");
            return DispatchOutcome::Refused(refusal);
        }
        let eligible = catalogue.upstreams().iter().filter(|(name, it)| {
            catalogue.takes_new_work(it)
                && !request.tried.contains(name)
                && (it.resume || !request.needs_resume)
                && match &request.target {
                    DispatchTarget::Chat { model, .. } => it.models.contains(model),
                    DispatchTarget::Service(service) => it.service.as_ref() == Some(service),
                }
        });
        let key = match &request.target {
            DispatchTarget::Chat { chat, .. } => chat.clone(),
            DispatchTarget::Service(_) => rand::random::<u64>().to_string(),
        };
        let Some(upstream) = rendezvous::first(&key, eligible.map(|(name, _)| name)) else {
            let refusal = Refusal::not_run(503, "no_upstream", "no upstream can take the request")
                .retry_after(Duration::from_secs(1));
            return DispatchOutcome::Refused(refusal);
        };
        let entry = &catalogue.upstreams()[upstream];
        self.next_dispatch += 1;
        self.dispatches.insert(self.next_dispatch, upstream.clone());
        DispatchOutcome::Send(DispatchGrant {
            number: self.next_dispatch,
            upstream: upstream.clone(),
            address: entry.address,
            resume: entry.resume && admission.kind == RouteKind::Chat,
        })
    }

    fn dispatch_ended(&mut self, number: u64, end: DispatchEnd) {
        if let Some(upstream) = self.dispatches.remove(&number)
            && end == DispatchEnd::Broken
        {
            tracing::warn!(%upstream, "upstream_broken");
        }
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}
