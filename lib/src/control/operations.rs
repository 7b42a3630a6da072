//! Operations that run at most once: decisions, backups and handovers.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    command::ReplySender,
    message::{PeerReply, PeerRequest},
    state::ControlState,
};
use crate::{
    front::{RefusalKind, RequestRefusal},
    membership::{HostRecord, ViewTracker},
    names::{CentreName, HostName, TeamName},
    operation::{
        DispatchDenied, ForwardId, KeyedRequest, NotRunReason, OperationDecision, OperationHandle,
        OperationId, OperationRecord, OperationUpdate, OwnerLookup, RecordPage, RequestDigest,
        RouteDecision, StoreReply, StoredResponse, UnknownReason,
    },
    peer::PeerError,
};

/// Time after which a refused caller may try again.
const DECISION_RETRY: Duration = Duration::from_secs(1);

/// Time until a page of records arrives.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A call with an operation key, as a worker sends it to the control actor.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// The operation key.
    pub key: String,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Identity of the message if another host forwarded the call.
    pub forward: Option<ForwardId>,
}

impl OperationRequest {
    fn as_call(&self) -> KeyedRequest<'_> {
        KeyedRequest {
            team: &self.team,
            key: &self.key,
            digest: self.digest,
            forward: self.forward,
        }
    }
}

/// Where a call is decided.
#[derive(Clone, Debug)]
pub enum OperationLocation {
    /// On this host.
    Local,
    /// On another host; the call is forwarded under this identity.
    Forward {
        /// The deciding host.
        host: HostRecord,
        /// Identity of the message.
        id: ForwardId,
    },
    /// Nowhere at present.
    Refused(RequestRefusal),
}

/// How a call ends without a dispatch.
#[derive(Clone, Debug)]
pub enum OperationVerdict {
    /// The operation ran earlier and had this response.
    Replay(Arc<StoredResponse>),
    /// The operation ran earlier; its response is not stored.
    Ran,
    /// The call is refused.
    Refused(RequestRefusal),
}

/// What to do with a call.
#[derive(Clone, Debug)]
pub enum OperationStart {
    /// Dispatch it.
    Dispatch(OperationHandle),
    /// Copy the intent to the first of these hosts that takes it, then dispatch.
    OfferBackup {
        /// The started operation.
        handle: OperationHandle,
        /// The copy.
        record: Box<OperationRecord>,
        /// Hosts to offer it to, in order.
        backups: Vec<HostRecord>,
    },
    /// Answer without a dispatch.
    End(OperationVerdict),
}

/// How a dispatched operation ended.
#[derive(Clone, Debug)]
pub enum OperationEnd {
    /// The response arrived whole; `None` if it is too large to be kept.
    Finished(Option<StoredResponse>),
    /// The request was sent, at least in part, and its end is not known.
    AfterSend,
    /// No byte of the request was read.
    BeforeSend,
}

/// A message about an operation to the control actor.
#[derive(Debug)]
pub enum OperationCommand {
    /// Issue a ticket to a team.
    IssueTicket(TeamName, ReplySender<String>),
    /// Where is the call with this key decided?
    Locate(TeamName, String, ReplySender<OperationLocation>),
    /// How does a call end, if it ends without a dispatch?
    Preview(OperationRequest, ReplySender<Option<OperationVerdict>>),
    /// Decide about a call on this host.
    Decide(OperationRequest, ReplySender<OperationStart>),
    /// A backup holds the intent.
    BackupStored(OperationHandle, HostName),
    /// No backup holds the intent; one may have answered with a conflicting record.
    BackupFailed {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// The conflicting record and the host that holds it.
        conflict: Option<(Box<OperationRecord>, HostName)>,
        /// Where the verdict goes.
        reply: ReplySender<OperationVerdict>,
    },
    /// Last check before the socket write.
    BeginDispatch {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// `None` if the dispatch may go on.
        reply: ReplySender<Option<OperationVerdict>>,
    },
    /// The dispatch ended.
    Ended {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// How it ended.
        end: OperationEnd,
    },
}

impl OwnerLookup for ViewTracker {
    fn owner_in(&self, centre: &CentreName, key: &str) -> Option<&HostRecord> {
        Self::owner_in(self, centre, key)
    }

    fn owns(&self, key: &str, now: Instant) -> bool {
        Self::owns(self, key, now)
    }
}

/// What the last round saw of the hosts of the data centre.
#[derive(Debug, Default)]
pub(super) struct SeenView {
    members: BTreeSet<HostName>,
    is_confirmed: bool,
    /// Whether the running pass over the records found one without a second holder.
    has_unplaced: bool,
}

impl ControlState {
    pub(super) fn handle_operation(&mut self, now: Instant, command: OperationCommand) {
        match command {
            OperationCommand::IssueTicket(team, reply) => {
                let _ = reply.send(self.ledger.issue_ticket(now, &team).to_string());
            }
            OperationCommand::Locate(team, key, reply) => {
                let _ = reply.send(self.locate_operation(&team, &key));
            }
            OperationCommand::Preview(request, reply) => {
                let rights = self.operation_route.rights(&self.views);
                let decision =
                    self.ledger.decide_without_dispatch(now, &request.as_call(), &rights);
                let _ = reply.send(decision.map(verdict_of));
            }
            OperationCommand::Decide(request, reply) => {
                let _ = reply.send(self.decide_operation(now, &request));
            }
            OperationCommand::BackupStored(handle, backup) => {
                self.ledger.backup_acknowledged(&handle, &backup);
            }
            OperationCommand::BackupFailed { handle, offered, conflict, reply } => {
                let denied = match conflict {
                    Some((record, backup)) => {
                        self.ledger.backup_conflicted(now, &handle, &record, &backup)
                    }
                    None => self.ledger.backup_failed(&handle),
                };
                let _ = reply.send(self.denied(now, denied, &offered));
            }
            OperationCommand::BeginDispatch { handle, offered, reply } => {
                let rights = self.operation_route.rights(&self.views);
                let begun = self.ledger.begin_dispatch(now, &handle, &rights);
                let verdict = begun.err().map(|denied| self.denied(now, *denied, &offered));
                let _ = reply.send(verdict);
            }
            OperationCommand::Ended { handle, offered, end } => {
                self.operation_ended(now, &handle, &offered, end);
            }
        }
    }

    fn locate_operation(&mut self, team: &TeamName, key: &str) -> OperationLocation {
        let list = self.views.host_list();
        match self.operation_route.locate(team, key, list, &self.views) {
            RouteDecision::Local => OperationLocation::Local,
            RouteDecision::Forward(host) => {
                self.last_forward += 1;
                let id = ForwardId { incarnation: self.incarnation, number: self.last_forward };
                OperationLocation::Forward { host: host.clone(), id }
            }
            RouteDecision::Unknown(reason) => OperationLocation::Refused(unknown_refusal(reason)),
            RouteDecision::NotRun(reason) => OperationLocation::Refused(not_run_refusal(reason)),
        }
    }

    fn decide_operation(&mut self, now: Instant, request: &OperationRequest) -> OperationStart {
        let rights = self.operation_route.rights(&self.views);
        match self.ledger.decide(now, &request.as_call(), &rights) {
            OperationDecision::Dispatch(handle) => OperationStart::Dispatch(handle),
            OperationDecision::AwaitBackup { handle, record } => {
                let list = self.views.host_list();
                let backups: Vec<HostRecord> =
                    self.operation_route.backups(handle.id(), list).into_iter().cloned().collect();
                if backups.is_empty() && self.ledger.waive_backup(&handle, list) {
                    return OperationStart::Dispatch(handle);
                }
                OperationStart::OfferBackup { handle, record: Box::new(record), backups }
            }
            decision => OperationStart::End(verdict_of(decision)),
        }
    }

    fn operation_ended(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        offered: &[HostName],
        end: OperationEnd,
    ) {
        let (outcome, update) = match end {
            OperationEnd::Finished(response) => ("ran", self.ledger.finish(now, handle, response)),
            OperationEnd::AfterSend => ("unknown", self.ledger.fail_after_send(now, handle)),
            OperationEnd::BeforeSend => ("not_run", self.ledger.fail_before_send(handle).update),
        };
        self.metrics.operation(outcome);
        if let Some(update) = update {
            self.send_update(now, offered, &update);
        }
    }

    fn denied(
        &mut self,
        now: Instant,
        denied: DispatchDenied,
        offered: &[HostName],
    ) -> OperationVerdict {
        if let Some(update) = &denied.update {
            self.send_update(now, offered, update);
        }
        verdict_of(denied.decision)
    }

    fn send_update(&self, now: Instant, hosts: &[HostName], update: &OperationUpdate) {
        for host in hosts {
            if let Some(record) = self.views.host_list().host(host).cloned() {
                self.send_record_update(now, &record, update.clone());
            }
        }
    }

    fn send_record_update(&self, now: Instant, host: &HostRecord, update: OperationUpdate) {
        let sender = self.identity.name.clone();
        let request = PeerRequest::UpdateRecord { sender, target: host.name.clone(), update };
        self.notify(now, host, request);
    }

    pub(super) fn store_intent(
        &mut self,
        now: Instant,
        sender: &HostName,
        record: &OperationRecord,
    ) -> StoreReply {
        self.ledger.store_intent(now, record, sender)
    }

    pub(super) fn update_record(
        &mut self,
        now: Instant,
        sender: &HostName,
        update: &OperationUpdate,
    ) -> bool {
        self.ledger.apply_update(now, update, sender)
    }

    /// Takes the end of a record update that this host sent.
    pub(super) fn update_ended(
        &mut self,
        target: &HostName,
        update: &OperationUpdate,
        result: Result<PeerReply, PeerError>,
    ) {
        if let (OperationUpdate::Changed(record), Ok(PeerReply::Updated(true))) = (update, result) {
            self.ledger.mark_replicated(record, target);
        }
    }

    /// Returns a page of the records that a host of `centre` may decide about.
    pub(super) fn record_page(&self, now: Instant, centre: &CentreName, cursor: u64) -> RecordPage {
        self.ledger.export_page(now, cursor, |id| self.operation_route.is_home(id, centre))
    }

    /// Takes a page that was asked of `source`.
    pub(super) fn page_ended(
        &mut self,
        now: Instant,
        source: &HostName,
        epoch: u64,
        cursor: u64,
        result: Result<PeerReply, PeerError>,
    ) {
        if let Ok(PeerReply::Records(page)) = result {
            let next = self.ledger.import_page(now, epoch, source, cursor, &page);
            if let (Some(next), Some(host)) = (next, self.views.host_list().host(source).cloned()) {
                self.ask_page(now, &host, epoch, next);
            }
        }
    }

    fn ask_page(&self, now: Instant, source: &HostRecord, epoch: u64, cursor: u64) {
        let request = PeerRequest::Records {
            source: source.name.clone(),
            centre: self.identity.data_centre.clone(),
            epoch,
            cursor,
        };
        self.call(now, source, request, PAGE_TIMEOUT);
    }

    /// Does the periodic work for operations.
    pub(super) fn tick_operations(&mut self, now: Instant) {
        let settled = self.lowest_revision();
        if self.operation_route.retire_earlier_sets(settled) {
            self.ledger.require_handover(now, &[]);
        }
        self.ledger.retain_listed_sources(self.views.host_list());
        self.continue_handover(now);
        self.place_records(now);
        self.ledger.remove_expired(now);
    }

    /// Requires a handover for keys that this host gains from `at` on.
    pub(super) fn watch_gains(&mut self, now: Instant, at: Instant) {
        let members = self.views.members();
        let is_confirmed = self.views.is_confirmed(now);
        if *members == self.seen_view.members && is_confirmed == self.seen_view.is_confirmed {
            return;
        }
        let earlier: Vec<HostName> = self.seen_view.members.iter().cloned().collect();
        let has_lost = self.seen_view.members.iter().any(|it| !members.contains(it));
        if is_confirmed && !self.seen_view.is_confirmed {
            // While views were unconfirmed another host may have been the owner of any key.
            self.ledger.require_handover(at, &[]);
        } else if has_lost {
            self.ledger.require_handover(at, &earlier);
        }
        if *members != self.seen_view.members {
            self.is_placement_due = true;
            self.token_cache.on_owners_changed(&self.identity.data_centre);
        }
        self.seen_view = SeenView { members: members.clone(), is_confirmed, ..self.seen_view };
    }

    fn continue_handover(&mut self, now: Instant) {
        let hosts: Vec<HostRecord> = self.other_hosts().cloned().collect();
        if self.ledger.is_handover_due(now) {
            self.ledger.start_handover(now, hosts.iter().map(|it| &it.name));
        }
        let epoch = self.ledger.handover_epoch();
        let awaited: Vec<(HostName, u64)> =
            self.ledger.pending_pages().map(|(host, cursor)| (host.clone(), cursor)).collect();
        for (name, cursor) in awaited {
            if let Some(host) = hosts.iter().find(|it| it.name == name) {
                self.ask_page(now, host, epoch, cursor);
            }
        }
    }

    /// Gives records without a second holder to the host that should hold them.
    pub(super) fn place_records(&mut self, now: Instant) {
        if !self.is_placement_due {
            return;
        }
        let (unplaced, cursor) = {
            let list = self.views.host_list();
            let target = |id: &OperationId| -> Option<HostName> {
                let owner = self.operation_route.owner(id, &self.views)?;
                if owner.name != self.identity.name {
                    return Some(owner.name.clone());
                }
                self.operation_route.backups(id, list).first().map(|it| it.name.clone())
            };
            self.ledger.under_replicated_records(now, self.placement_cursor, target)
        };
        // A pass takes several pages. Records that an earlier page sent may be without an answer.
        self.seen_view.has_unplaced |= !unplaced.is_empty();
        self.is_placement_due = cursor != 0 || self.seen_view.has_unplaced;
        self.seen_view.has_unplaced &= cursor != 0;
        self.placement_cursor = cursor;
        for (host, record) in unplaced {
            if let Some(host) = self.views.host_list().host(&host).cloned() {
                self.send_record_update(now, &host, OperationUpdate::Changed(record));
            }
        }
    }

    /// Returns the revision that every listed host of a sharing data centre has accepted.
    fn lowest_revision(&self) -> u64 {
        let catalogue = self.catalogue();
        let sharing: BTreeSet<&CentreName> = catalogue.sharing_centres().collect();
        self.views
            .host_list()
            .hosts
            .iter()
            .filter(|it| sharing.contains(&it.data_centre))
            .map(|it| self.revisions.get(&it.name).copied().unwrap_or(0))
            .min()
            .unwrap_or(0)
    }
}

fn verdict_of(decision: OperationDecision) -> OperationVerdict {
    match decision {
        OperationDecision::Replay(response) => OperationVerdict::Replay(response),
        OperationDecision::Ran => OperationVerdict::Ran,
        OperationDecision::RequestMismatch => OperationVerdict::Refused(RequestRefusal::not_run(
            RefusalKind::OperationMismatch,
            "the operation key was used with another request",
        )),
        OperationDecision::Unknown(reason) => OperationVerdict::Refused(unknown_refusal(reason)),
        OperationDecision::NotRun(reason) => OperationVerdict::Refused(not_run_refusal(reason)),
        OperationDecision::Dispatch(_) | OperationDecision::AwaitBackup { .. } => {
            unreachable!("a started operation is not a verdict")
        }
    }
}

fn unknown_refusal(reason: UnknownReason) -> RequestRefusal {
    let kind = match reason {
        UnknownReason::InProgress => RefusalKind::OperationRunning,
        UnknownReason::IssuerGone | UnknownReason::TicketExpired => RefusalKind::OperationExpired,
        _ => RefusalKind::OperationUnknown,
    };
    RequestRefusal::unknown(kind, reason.to_string())
}

fn not_run_refusal(reason: NotRunReason) -> RequestRefusal {
    let kind = match reason {
        NotRunReason::InvalidTicket => RefusalKind::OperationKeyInvalid,
        NotRunReason::UpstreamRefused => RefusalKind::UpstreamUnreachable,
        _ => RefusalKind::OperationUndecided,
    };
    let refusal = RequestRefusal::not_run(kind, reason.to_string());
    if reason.may_retry() { refusal.with_retry_after(DECISION_RETRY) } else { refusal }
}
