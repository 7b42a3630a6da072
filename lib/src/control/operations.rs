//! Operations that run at most once: decisions, backup copies and handovers of their records.
//!
//! The owner of an operation key decides about it. Before the dispatch it stores a copy of the
//! intent on a backup host, so that a new owner does not run the operation a second time.

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

/// Retry time in refusals of operations that could not be decided.
const DECISION_RETRY: Duration = Duration::from_secs(1);

/// Timeout of a request for a page of records.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request with an operation key, as a worker thread sends it to the control actor.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// The operation key.
    pub key: String,
    /// Digest of the request, which has to be the same for every request with the key.
    pub digest: RequestDigest,
    /// Identity of the message if another host forwarded the request.
    pub forward: Option<ForwardId>,
}

impl OperationRequest {
    fn as_keyed_request(&self) -> KeyedRequest<'_> {
        KeyedRequest {
            team: &self.team,
            key: &self.key,
            digest: self.digest,
            forward: self.forward,
        }
    }
}

/// Where a request with an operation key is decided.
#[derive(Clone, Debug)]
pub enum OperationLocation {
    /// On this host.
    Local,
    /// On another host, to which the request has to be forwarded.
    Forward {
        /// The deciding host.
        host: HostRecord,
        /// Identity of the message.
        id: ForwardId,
    },
    /// Nowhere at present, so the request is refused.
    Refused(RequestRefusal),
}

/// Result of a request with an operation key that is not dispatched.
#[derive(Clone, Debug)]
pub enum OperationVerdict {
    /// The operation has run before; this is the stored response.
    Replay(Arc<StoredResponse>),
    /// The operation has run before; its response is not stored.
    Ran,
    /// The request is refused.
    Refused(RequestRefusal),
}

/// Next step of a request with an operation key.
#[derive(Clone, Debug)]
pub enum OperationStart {
    /// Dispatch the request without a backup copy.
    Dispatch(OperationHandle),
    /// Store a copy of the intent on the first of these hosts that accepts it, then dispatch.
    OfferBackup {
        /// The started operation.
        handle: OperationHandle,
        /// Copy of the intent.
        record: Box<OperationRecord>,
        /// Hosts to offer the copy to, in order.
        backups: Vec<HostRecord>,
    },
    /// Respond without a dispatch.
    End(OperationVerdict),
}

/// How a dispatched operation ended.
#[derive(Clone, Debug)]
pub enum OperationEnd {
    /// The complete response arrived; `None` if it is too large to be stored.
    Finished(Option<StoredResponse>),
    /// The request was sent at least in part, and it is not known whether it ran.
    AfterSend,
    /// The upstream read no byte of the request.
    BeforeSend,
}

/// A command about an operation to the control actor.
#[derive(Debug)]
pub enum OperationCommand {
    /// Issues a ticket to a team.
    IssueTicket(TeamName, ReplySender<String>),
    /// Returns the location where a request of the team with this operation key is decided.
    Locate(TeamName, String, ReplySender<OperationLocation>),
    /// Returns the verdict of a request if it needs no dispatch, without starting an operation.
    DecideWithoutDispatch(OperationRequest, ReplySender<Option<OperationVerdict>>),
    /// Decides about a request on this host and starts the operation if it may run.
    Decide(OperationRequest, ReplySender<OperationStart>),
    /// Reports that a backup host has stored the intent.
    BackupStored(OperationHandle, HostName),
    /// Reports that no backup host has stored the intent; one may have replied with a conflicting
    /// record.
    BackupFailed {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// The conflicting record and the host that holds it.
        conflict: Option<(Box<OperationRecord>, HostName)>,
        /// Receives the verdict.
        reply: ReplySender<OperationVerdict>,
    },
    /// Checks immediately before the socket write whether the operation may still run.
    BeginDispatch {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// Receives `None` if the request may be sent.
        reply: ReplySender<Option<OperationVerdict>>,
    },
    /// Reports the end of a dispatched operation.
    Ended {
        /// The started operation.
        handle: OperationHandle,
        /// Hosts that were sent the intent.
        offered: Vec<HostName>,
        /// How the operation ended.
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

/// View of the hosts of the data centre at the last check for ownership gains.
#[derive(Debug, Default)]
pub(super) struct LastView {
    members: BTreeSet<HostName>,
    is_confirmed: bool,
    /// Whether the current pass over the records found one without a second holder.
    has_unreplicated: bool,
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
            OperationCommand::DecideWithoutDispatch(request, reply) => {
                let rights = self.operation_router.rights(&self.views);
                let decision =
                    self.ledger.decide_without_dispatch(now, &request.as_keyed_request(), &rights);
                let _ = reply.send(decision.map(to_verdict));
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
                let _ = reply.send(self.end_denied(now, denied, &offered));
            }
            OperationCommand::BeginDispatch { handle, offered, reply } => {
                let rights = self.operation_router.rights(&self.views);
                let begun = self.ledger.begin_dispatch(now, &handle, &rights);
                let verdict = begun.err().map(|denied| self.end_denied(now, *denied, &offered));
                let _ = reply.send(verdict);
            }
            OperationCommand::Ended { handle, offered, end } => {
                self.operation_ended(now, &handle, &offered, end);
            }
        }
    }

    fn locate_operation(&mut self, team: &TeamName, key: &str) -> OperationLocation {
        let list = self.views.host_list();
        match self.operation_router.locate(team, key, list, &self.views) {
            RouteDecision::Local => OperationLocation::Local,
            RouteDecision::Forward(host) => {
                self.last_forward_number += 1;
                let id =
                    ForwardId { incarnation: self.incarnation, number: self.last_forward_number };
                OperationLocation::Forward { host: host.clone(), id }
            }
            RouteDecision::Unknown(reason) => OperationLocation::Refused(unknown_refusal(reason)),
            RouteDecision::NotRun(reason) => OperationLocation::Refused(not_run_refusal(reason)),
        }
    }

    fn decide_operation(&mut self, now: Instant, request: &OperationRequest) -> OperationStart {
        let rights = self.operation_router.rights(&self.views);
        match self.ledger.decide(now, &request.as_keyed_request(), &rights) {
            OperationDecision::Dispatch(handle) => OperationStart::Dispatch(handle),
            OperationDecision::AwaitBackup { handle, record } => {
                let list = self.views.host_list();
                let backups: Vec<HostRecord> =
                    self.operation_router.backups(handle.id(), list).into_iter().cloned().collect();
                if backups.is_empty() && self.ledger.waive_backup(&handle, list) {
                    return OperationStart::Dispatch(handle);
                }
                OperationStart::OfferBackup { handle, record: Box::new(record), backups }
            }
            decision => OperationStart::End(to_verdict(decision)),
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
        self.metrics.count_operation(outcome);
        if let Some(update) = update {
            self.send_update(now, offered, &update);
        }
    }

    fn end_denied(
        &mut self,
        now: Instant,
        denied: DispatchDenied,
        offered: &[HostName],
    ) -> OperationVerdict {
        if let Some(update) = &denied.update {
            self.send_update(now, offered, update);
        }
        to_verdict(denied.decision)
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

    /// Handles the reply to a record update, or its failure.
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
        self.ledger.export_page(now, cursor, |id| self.operation_router.is_home(id, centre))
    }

    /// Imports a page of records that `source` sent, and requests the next one.
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
                self.request_page(now, &host, epoch, next);
            }
        }
    }

    fn request_page(&self, now: Instant, source: &HostRecord, epoch: u64, cursor: u64) {
        let request = PeerRequest::Records {
            source: source.name.clone(),
            centre: self.identity.data_centre.clone(),
            epoch,
            cursor,
        };
        self.call(now, source, request, PAGE_TIMEOUT);
    }

    /// Does the periodic work of the operation ledger.
    pub(super) fn tick_operations(&mut self, now: Instant) {
        let accepted = self.lowest_accepted_revision();
        if self.operation_router.retire_earlier_sets(accepted) {
            self.ledger.require_handover(now, &[]);
        }
        self.ledger.retain_listed_sources(self.views.host_list());
        self.pull_handover_pages(now);
        self.replicate_records(now);
        self.ledger.remove_expired(now);
    }

    /// Requires a handover of records if this host may own more keys from `gained_at` on.
    ///
    /// Must be called after each change of the view, before the ownership takes effect.
    pub(super) fn require_handover_for_gains(&mut self, now: Instant, gained_at: Instant) {
        let members = self.views.members();
        let is_confirmed = self.views.is_confirmed(now);
        if *members == self.last_view.members && is_confirmed == self.last_view.is_confirmed {
            return;
        }
        let previous: Vec<HostName> = self.last_view.members.iter().cloned().collect();
        let has_lost_member = self.last_view.members.iter().any(|it| !members.contains(it));
        if is_confirmed && !self.last_view.is_confirmed {
            // While the view was unconfirmed, another host may have owned any key.
            self.ledger.require_handover(gained_at, &[]);
        } else if has_lost_member {
            self.ledger.require_handover(gained_at, &previous);
        }
        if *members != self.last_view.members {
            self.is_replication_due = true;
            self.token_cache.on_owners_changed(&self.identity.data_centre);
        }
        self.last_view = LastView { members: members.clone(), is_confirmed, ..self.last_view };
    }

    fn pull_handover_pages(&mut self, now: Instant) {
        let hosts: Vec<HostRecord> = self.other_hosts().cloned().collect();
        if self.ledger.is_handover_due(now) {
            self.ledger.start_handover(now, hosts.iter().map(|it| &it.name));
        }
        let epoch = self.ledger.handover_epoch();
        let awaited: Vec<(HostName, u64)> =
            self.ledger.pending_pages().map(|(host, cursor)| (host.clone(), cursor)).collect();
        for (name, cursor) in awaited {
            if let Some(host) = hosts.iter().find(|it| it.name == name) {
                self.request_page(now, host, epoch, cursor);
            }
        }
    }

    /// Sends a page of the records without a second holder to the hosts that should hold them.
    pub(super) fn replicate_records(&mut self, now: Instant) {
        if !self.is_replication_due {
            return;
        }
        let (unreplicated, cursor) = {
            let list = self.views.host_list();
            let target = |id: &OperationId| -> Option<HostName> {
                let owner = self.operation_router.owner(id, &self.views)?;
                if owner.name != self.identity.name {
                    return Some(owner.name.clone());
                }
                self.operation_router.backups(id, list).first().map(|it| it.name.clone())
            };
            self.ledger.under_replicated_records(now, self.replication_cursor, target)
        };
        // A pass has several pages. Replication stays due until a complete pass finds no record
        // without a second holder, because updates sent for earlier pages may be lost.
        self.last_view.has_unreplicated |= !unreplicated.is_empty();
        self.is_replication_due = cursor != 0 || self.last_view.has_unreplicated;
        self.last_view.has_unreplicated &= cursor != 0;
        self.replication_cursor = cursor;
        for (host, record) in unreplicated {
            if let Some(host) = self.views.host_list().host(&host).cloned() {
                self.send_record_update(now, &host, OperationUpdate::Changed(record));
            }
        }
    }

    /// Returns the highest revision that every listed host of the data centres that are not
    /// decommissioned has accepted.
    fn lowest_accepted_revision(&self) -> u64 {
        let catalogue = self.catalogue();
        let sharing: BTreeSet<&CentreName> = catalogue.commissioned_centres().collect();
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

fn to_verdict(decision: OperationDecision) -> OperationVerdict {
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
