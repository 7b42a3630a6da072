//! Records of operations: those that this host decided, and copies that it keeps for others.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    INTENT_LIFETIME, MAX_HANDOVER_PAGE_BYTES, MAX_RECORDS, MAX_RESPONSE_BYTES,
    MAX_STORED_RESPONSE_BYTES, MAX_TEAM_RECORDS, RECORD_RETENTION, UNFINISHED_RETENTION,
    digest::RequestDigest,
    forward_window::{ForwardId, ForwardWindow},
    handover::HandoverTracker,
    loss::{LossTracker, LostProcess},
    outcome::{DispatchDenied, NotRunReason, OperationDecision, UnknownReason},
    record::{
        DispatchId, OperationId, OperationRecord, OperationUpdate, RecordPage, RecordState,
        StoreReply, StoredResponse,
    },
    ticket::{OperationTicket, TicketIssuer, TicketVerdict},
};
use crate::{
    membership::HostList,
    names::{CentreName, HostName, TeamName},
};

/// Estimated size of a serialized record without team name and response.
const RECORD_BASE_BYTES: usize = 128;

/// Maximum number of records that one method call examines, so that it does not block the control
/// thread for long.
const MAX_SCANNED_RECORDS: usize = 4_096;

/// Right of this host to decide about plain keys.
pub trait DecisionRights {
    /// Returns whether this host, and no other, may decide about the operation.
    fn may_decide(&self, id: &OperationId, now: Instant) -> bool;
}

/// A request with an operation key.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest<'a> {
    /// Team of the caller.
    pub team: &'a TeamName,
    /// The operation key as the caller sent it, a ticket or a plain key.
    pub key: &'a str,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Identifier of the message if another host forwarded the request.
    pub forward: Option<ForwardId>,
}

/// One attempt of an operation that this process decided to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationHandle {
    id: OperationId,
    dispatch: DispatchId,
}

impl OperationHandle {
    /// Returns the identifier of the operation.
    pub fn id(&self) -> &OperationId {
        &self.id
    }

    fn removal(&self) -> OperationUpdate {
        OperationUpdate::Removed { id: self.id.clone(), dispatch: self.dispatch }
    }
}

/// Sizes of a ledger, for status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStatus {
    /// Number of records.
    pub records: usize,
    /// Size of all stored responses, in bytes.
    pub stored_bytes: usize,
    /// Number of hosts that still have to send records in the running handover.
    pub pending_sources: usize,
}

/// A record in the memory of this process.
#[derive(Clone, Debug)]
struct RecordSlot {
    dispatch: DispatchId,
    digest: RequestDigest,
    state: RecordState,
    /// Time of the last change of `state`.
    changed_at: Instant,
    /// Position in [`OperationLedger::change_order`].
    sequence: u64,
    /// Whether a backup holds the record, or none is needed.
    is_backed_up: bool,
    is_ticket: bool,
    /// Whether this process made the decision. A copy received from another host must not be
    /// dispatched.
    is_decided_here: bool,
    /// Another host that holds the record in its current state.
    copy_holder: Option<HostName>,
}

impl RecordSlot {
    fn is_expired(&self, now: Instant) -> bool {
        let lifetime = match self.state.is_unfinished() {
            true => UNFINISHED_RETENTION,
            false => RECORD_RETENTION,
        };
        now.saturating_duration_since(self.changed_at) >= lifetime
    }

    fn record(&self, id: &OperationId, now: Instant) -> OperationRecord {
        let age = now.saturating_duration_since(self.changed_at);
        OperationRecord {
            id: id.clone(),
            dispatch: self.dispatch,
            digest: self.digest,
            state: self.state.clone(),
            age_ms: age.as_millis() as u64,
        }
    }
}

/// Holds the operation records of one process and decides whether operations may run.
#[derive(Debug)]
pub struct OperationLedger {
    host: HostName,
    centre: CentreName,
    incarnation: u64,
    ticket_issuer: TicketIssuer,
    forward_window: ForwardWindow,
    handover: HandoverTracker,
    losses: LossTracker,
    /// Whether the list contains no other host of the data centre.
    is_only_host: bool,
    slots: HashMap<OperationId, RecordSlot>,
    /// Records in the order of their last change.
    change_order: BTreeMap<u64, OperationId>,
    /// Records with a stored response, in the order of their last change.
    response_order: BTreeMap<u64, OperationId>,
    team_counts: HashMap<TeamName, usize>,
    stored_bytes: usize,
    last_sequence: u64,
    last_dispatch: u64,
    expire_cursor: u64,
}

impl OperationLedger {
    /// Creates the empty ledger of a process; `secret` must be random and stay in this process.
    pub fn new(
        now: Instant,
        host: &HostName,
        centre: &CentreName,
        incarnation: u64,
        secret: [u8; 32],
    ) -> Self {
        let mut handover = HandoverTracker::default();
        handover.require(now, &[]);
        Self {
            host: host.clone(),
            centre: centre.clone(),
            incarnation,
            ticket_issuer: TicketIssuer::new(now, host, incarnation, secret),
            forward_window: ForwardWindow::default(),
            handover,
            losses: LossTracker::default(),
            is_only_host: false,
            slots: HashMap::new(),
            change_order: BTreeMap::new(),
            response_order: BTreeMap::new(),
            team_counts: HashMap::new(),
            stored_bytes: 0,
            last_sequence: 0,
            last_dispatch: 0,
            expire_cursor: 0,
        }
    }

    /// Issues a ticket to a team.
    pub fn issue_ticket(&mut self, now: Instant, team: &TeamName) -> OperationTicket {
        self.ticket_issuer.issue(now, team)
    }

    /// Returns the sizes of the ledger for status and metrics.
    pub fn status(&self) -> LedgerStatus {
        LedgerStatus {
            records: self.slots.len(),
            stored_bytes: self.stored_bytes,
            pending_sources: self.handover.pending_pages().count(),
        }
    }

    /// Returns the decision about a request that ends without a dispatch; `None` if
    /// [`Self::decide`] has to decide about it.
    ///
    /// To be called before the request waits for an upstream, so that a retry gets its response
    /// from the record whatever the state of the upstreams. This also checks for duplicate
    /// messages, so the request for [`Self::decide`] must then have no `forward`.
    pub fn decide_without_dispatch(
        &mut self,
        now: Instant,
        request: &KeyedRequest<'_>,
        rights: &dyn DecisionRights,
    ) -> Option<OperationDecision> {
        if let Some(forward) = request.forward
            && !self.forward_window.accept(forward)
        {
            return Some(OperationDecision::Unknown(UnknownReason::DuplicateMessage));
        }
        self.check_start(now, request, rights).err().map(|it| *it)
    }

    /// Decides about a request. Must be called exactly once per request and per received message.
    pub fn decide(
        &mut self,
        now: Instant,
        request: &KeyedRequest<'_>,
        rights: &dyn DecisionRights,
    ) -> OperationDecision {
        if let Some(forward) = request.forward
            && !self.forward_window.accept(forward)
        {
            return OperationDecision::Unknown(UnknownReason::DuplicateMessage);
        }
        let id = match self.check_start(now, request, rights) {
            Ok(id) => id,
            Err(decision) => return *decision,
        };
        let is_ticket = OperationTicket::is_ticket(request.key);
        self.last_dispatch += 1;
        let dispatch = DispatchId { incarnation: self.incarnation, number: self.last_dispatch };
        let slot = RecordSlot {
            dispatch,
            digest: request.digest,
            state: RecordState::Intent,
            changed_at: now,
            sequence: 0,
            is_backed_up: is_ticket,
            is_ticket,
            is_decided_here: true,
            copy_holder: None,
        };
        let record = slot.record(&id, now);
        self.insert(&id, slot);
        let handle = OperationHandle { id, dispatch };
        match is_ticket {
            true => OperationDecision::Dispatch(handle),
            false => OperationDecision::AwaitBackup { handle, record },
        }
    }

    /// Returns the operation if the request may start it, or else the decision that ends the
    /// request.
    fn check_start(
        &mut self,
        now: Instant,
        request: &KeyedRequest<'_>,
        rights: &dyn DecisionRights,
    ) -> Result<OperationId, Box<OperationDecision>> {
        let is_ticket = OperationTicket::is_ticket(request.key);
        let mut verdict = TicketVerdict::Valid;
        if is_ticket {
            let Some(ticket) = OperationTicket::parse(request.key) else {
                return Err(Box::new(OperationDecision::NotRun(NotRunReason::InvalidTicket)));
            };
            if ticket.host() == &self.host && ticket.incarnation() != self.incarnation {
                return Err(Box::new(OperationDecision::Unknown(UnknownReason::IssuerGone)));
            }
            verdict = self.ticket_issuer.check(now, request.team, &ticket);
            if verdict == TicketVerdict::Invalid {
                return Err(Box::new(OperationDecision::NotRun(NotRunReason::InvalidTicket)));
            }
        }

        let id = OperationId::new(request.team, request.key);
        let is_stale = |it: &RecordSlot| it.is_expired(now) || self.is_abandoned(it, now);
        if self.slots.get(&id).is_some_and(is_stale) {
            self.remove(&id);
        }
        if let Some(slot) = self.slots.get(&id) {
            if slot.digest != request.digest {
                return Err(Box::new(OperationDecision::RequestMismatch));
            }
            return Err(Box::new(self.decision_from_record(slot)));
        }
        if verdict == TicketVerdict::Expired {
            return Err(Box::new(OperationDecision::Unknown(UnknownReason::TicketExpired)));
        }
        if !is_ticket {
            if !rights.may_decide(&id, now) {
                return Err(Box::new(OperationDecision::NotRun(NotRunReason::NotOwner)));
            }
            if let Some(reason) = self.missing_record_reason(now, &id) {
                return Err(Box::new(OperationDecision::Unknown(reason)));
            }
        }
        if !self.has_capacity(&id.team) {
            return Err(Box::new(OperationDecision::NotRun(NotRunReason::LedgerFull)));
        }
        Ok(id)
    }

    /// Records that a backup replied with [`StoreReply::Stored`].
    pub fn backup_acknowledged(&mut self, handle: &OperationHandle, backup: &HostName) {
        if let Some(slot) = self.started_slot_mut(handle) {
            slot.is_backed_up = true;
            if slot.state == RecordState::Intent {
                slot.copy_holder = Some(backup.clone());
            }
        }
    }

    /// Allows the dispatch without a backup if this host is the only one in the list, and returns
    /// whether it is.
    pub fn waive_backup(&mut self, handle: &OperationHandle, list: &HostList) -> bool {
        let is_only_host =
            !list.hosts.is_empty() && list.hosts.iter().all(|it| it.name == self.host);
        if is_only_host && let Some(slot) = self.started_slot_mut(handle) {
            slot.is_backed_up = true;
        }
        is_only_host
    }

    /// Cancels the attempt because no backup stored the record.
    ///
    /// The update must be sent to every host to which the record was offered.
    pub fn backup_failed(&mut self, handle: &OperationHandle) -> DispatchDenied {
        self.cancel_attempt(handle, NotRunReason::NoBackup)
    }

    /// Cancels the attempt because a backup replied with [`StoreReply::Conflict`].
    pub fn backup_conflicted(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        record: &OperationRecord,
        backup: &HostName,
    ) -> DispatchDenied {
        let denied = self.cancel_attempt(handle, NotRunReason::NoBackup);
        self.merge_record(now, record, backup);
        match self.slots.get(&handle.id) {
            Some(slot) => DispatchDenied { decision: self.decision_from_record(slot), ..denied },
            None => denied,
        }
    }

    /// Final check. Must be made directly before the request is written to the socket, with nothing
    /// in between.
    ///
    /// Fails if more than [`INTENT_LIFETIME`] has passed since the decision or if this host has
    /// lost the right to decide, so that a process does not dispatch after a pause. An update in
    /// the error must be sent to every host to which the record was offered.
    pub fn begin_dispatch(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        rights: &dyn DecisionRights,
    ) -> Result<(), Box<DispatchDenied>> {
        self.check_dispatch(now, handle, rights, RecordState::Intent)
    }

    /// Repeats the final check after the upstream of the previous dispatch refused the connection
    /// and before the request is written to another upstream.
    ///
    /// The time limit counts from the previous check.
    pub fn retry_dispatch(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        rights: &dyn DecisionRights,
    ) -> Result<(), Box<DispatchDenied>> {
        self.check_dispatch(now, handle, rights, RecordState::Running)
    }

    /// Makes the final check of an attempt whose record must be in the state `expected`.
    fn check_dispatch(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        rights: &dyn DecisionRights,
        expected: RecordState,
    ) -> Result<(), Box<DispatchDenied>> {
        let may_miss_record = self.missing_record_reason(now, &handle.id).is_some();
        let Some(slot) = self.started_slot_mut(handle) else {
            return Err(Box::new(self.cancel_attempt(handle, NotRunReason::IntentExpired)));
        };
        if slot.state != expected {
            // A duplicate acknowledgement of the backup must not cause a second dispatch.
            let decision = OperationDecision::Unknown(UnknownReason::InProgress);
            return Err(Box::new(DispatchDenied { decision, update: None }));
        }
        let reason = if !slot.is_backed_up {
            Some(NotRunReason::NoBackup)
        } else if slot.is_ticket {
            None
        } else if now.saturating_duration_since(slot.changed_at) > INTENT_LIFETIME {
            Some(NotRunReason::IntentExpired)
        } else if may_miss_record || !rights.may_decide(&handle.id, now) {
            Some(NotRunReason::NotOwner)
        } else {
            None
        };
        match reason {
            Some(reason) => Err(Box::new(self.cancel_attempt(handle, reason))),
            None => {
                // The backup needs no update: it treats an intent as possibly sent.
                slot.state = RecordState::Running;
                slot.changed_at = now;
                Ok(())
            }
        }
    }

    /// Stores the response of an operation; `None` if it is too large to store.
    ///
    /// Returns the update for the backup.
    pub fn finish(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        response: Option<StoredResponse>,
    ) -> Option<OperationUpdate> {
        let state = match response {
            Some(response) if response.size() <= MAX_RESPONSE_BYTES => {
                RecordState::Finished(Arc::new(response))
            }
            _ => RecordState::Ran,
        };
        self.set_final_state(now, handle, state)
    }

    /// Removes the record of an operation whose request no upstream can have read: the connection
    /// was refused, or the request was cancelled before its dispatch. The outcome is `not_run`.
    ///
    /// The update must be sent to every host to which the record was offered.
    pub fn fail_before_send(&mut self, handle: &OperationHandle) -> DispatchDenied {
        self.cancel_attempt(handle, NotRunReason::UpstreamRefused)
    }

    /// Records that the request was sent at least in part and that its end is not known.
    ///
    /// Returns the update for the backup.
    pub fn fail_after_send(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
    ) -> Option<OperationUpdate> {
        self.set_final_state(now, handle, RecordState::Ambiguous)
    }

    /// Stores a record with [`RecordState::Intent`] as the backup of another host.
    pub fn store_intent(
        &mut self,
        now: Instant,
        record: &OperationRecord,
        sender: &HostName,
    ) -> StoreReply {
        if let Some(slot) = self.slots.get(&record.id) {
            let is_same_process = slot.dispatch.incarnation == record.dispatch.incarnation;
            // An undispatched intent of this host is replaced; its dispatch then fails.
            if !is_same_process && !self.is_own_intent(slot) && !slot.is_expired(now) {
                return StoreReply::Conflict(slot.record(&record.id, now));
            }
            if is_same_process && slot.dispatch.number > record.dispatch.number {
                return StoreReply::Stale;
            }
            if is_same_process && slot.dispatch == record.dispatch {
                return StoreReply::Stored;
            }
            self.remove(&record.id);
        } else if !self.has_capacity(&record.id.team) {
            return StoreReply::Full;
        }
        self.insert_copy(now, record, sender);
        StoreReply::Stored
    }

    /// Applies an update from the deciding host or from another holder of the record.
    ///
    /// Returns whether this host now has at least the information of the sender.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &OperationUpdate,
        sender: &HostName,
    ) -> bool {
        match update {
            OperationUpdate::Changed(record) => self.merge_record(now, record, sender),
            OperationUpdate::Removed { id, dispatch } => {
                let slot = self.slots.get(id);
                if slot.is_some_and(|it| it.dispatch == *dispatch && it.state.is_unfinished()) {
                    self.remove(id);
                }
                true
            }
        }
    }

    /// Returns the page at `cursor` of the plain-key records that `is_wanted` selects, for a new
    /// owner.
    ///
    /// A record that changes between the reads of two pages appears again on a later page.
    pub fn export_page(
        &self,
        now: Instant,
        cursor: u64,
        is_wanted: impl Fn(&OperationId) -> bool,
    ) -> RecordPage {
        let mut page = RecordPage::default();
        if cursor == 0 {
            page.losses = self.losses.export(now);
        }
        let mut size = 0;
        for (count, (sequence, id)) in self.change_order.range(cursor..).enumerate() {
            if count == MAX_SCANNED_RECORDS {
                page.next = Some(*sequence);
                break;
            }
            let Some(slot) = self.slots.get(id) else {
                continue;
            };
            if slot.is_ticket || slot.is_expired(now) || !is_wanted(id) {
                continue;
            }
            size += RECORD_BASE_BYTES + id.team.as_str().len() + slot.state.stored_bytes();
            if size > MAX_HANDOVER_PAGE_BYTES && !page.records.is_empty() {
                page.next = Some(*sequence);
                break;
            }
            page.records.push(slot.record(id, now));
        }
        page
    }

    /// Records that from `at` on this host may own keys that it did not own in `earlier_view`.
    ///
    /// From then on, requests with such a key that has no record get the outcome `unknown`, until a
    /// handover that started at or after `at` is complete or [`RECORD_RETENTION`] has passed.
    /// `earlier_view` is empty if all keys are affected: after views were unconfirmed or data
    /// centres changed. A new process starts in this state. To be called when a host is removed
    /// from the view, before this host may decide about the keys of that host. A host that is added
    /// only takes over keys, so it requires no handover to this host.
    pub fn require_handover(&mut self, at: Instant, earlier_view: &[HostName]) {
        self.handover.require(at, earlier_view);
    }

    /// Returns whether a handover must be started.
    pub fn is_handover_due(&self, now: Instant) -> bool {
        self.handover.is_due(now)
    }

    /// Starts a handover from `sources`, the listed hosts of the fleet, and replaces a running one.
    ///
    /// Returns the epoch of the handover, which [`Self::import_page`] needs.
    pub fn start_handover<'a>(
        &mut self,
        now: Instant,
        sources: impl IntoIterator<Item = &'a HostName>,
    ) -> u64 {
        let own_name = self.host.clone();
        let others = sources.into_iter().filter(|it| **it != own_name);
        self.handover.start(now, others, self.is_only_host)
    }

    /// Stops waiting for sources that are no longer listed, because other hosts of the data centre
    /// hold copies of their records.
    ///
    /// If this host is the only one of its data centre, it continues to wait until the source
    /// returns or [`RECORD_RETENTION`] has passed: the copies of its records are in other data
    /// centres, on hosts that may be unlisted only because they are cut off.
    pub fn retain_listed_sources(&mut self, list: &HostList) {
        let mut others = list.hosts.iter().filter(|it| it.name != self.host);
        self.is_only_host = !others.any(|it| it.data_centre == self.centre);
        if !self.is_only_host {
            self.handover.retain_sources(|it| list.host(it).is_some());
        }
    }

    /// Returns the epoch of the newest handover.
    pub fn handover_epoch(&self) -> u64 {
        self.handover.epoch()
    }

    /// Returns the hosts that have not sent their last page, each with the cursor of its next page.
    pub fn pending_pages(&self) -> impl Iterator<Item = (&HostName, u64)> {
        self.handover.pending_pages()
    }

    /// Imports a page that was requested at `cursor` of `source` during the handover `epoch`.
    ///
    /// The records of a page are always merged, but a page of an earlier handover or a duplicate
    /// does not advance the handover. Neither does a page for which the ledger has no capacity: it
    /// has to be requested again. Returns the cursor of the next page, if any.
    pub fn import_page(
        &mut self,
        now: Instant,
        epoch: u64,
        source: &HostName,
        cursor: u64,
        page: &RecordPage,
    ) -> Option<u64> {
        for marker in &page.losses {
            self.losses.import(now, marker);
        }
        self.losses.withdraw(now, &self.host, self.incarnation);
        let mut is_complete = true;
        for record in &page.records {
            is_complete &= self.merge_record(now, record, source);
        }
        if epoch == self.handover.epoch() && self.handover.cursor(source) == Some(cursor) {
            if is_complete {
                self.handover.advance(source, page.next);
            }
            return self.handover.cursor(source);
        }
        None
    }

    /// Returns records whose target host is not known to hold a copy, each with that host.
    ///
    /// `target_host` returns the host for a record: the backup if this host owns the key, otherwise
    /// the owner. Returns at most one page of records, and the cursor for the next call, which is 0
    /// after the last record. A host that is about to stop calls this with a view that excludes
    /// itself, until no record is returned.
    pub fn under_replicated_records(
        &self,
        now: Instant,
        cursor: u64,
        target_host: impl Fn(&OperationId) -> Option<HostName>,
    ) -> (Vec<(HostName, OperationRecord)>, u64) {
        let mut records = Vec::new();
        let mut size = 0;
        for (count, (sequence, id)) in self.change_order.range(cursor..).enumerate() {
            if count == MAX_SCANNED_RECORDS {
                return (records, *sequence);
            }
            let Some(slot) = self.slots.get(id) else {
                continue;
            };
            if slot.is_ticket || slot.is_expired(now) {
                continue;
            }
            let Some(host) = target_host(id).filter(|it| Some(it) != slot.copy_holder.as_ref())
            else {
                continue;
            };
            size += RECORD_BASE_BYTES + id.team.as_str().len() + slot.state.stored_bytes();
            if size > MAX_HANDOVER_PAGE_BYTES && !records.is_empty() {
                return (records, *sequence);
            }
            records.push((host, slot.record(id, now)));
        }
        (records, 0)
    }

    /// Records that another host holds a record in the state in which it was sent.
    pub fn mark_replicated(&mut self, record: &OperationRecord, holder: &HostName) {
        if let Some(slot) = self.slots.get_mut(&record.id)
            && slot.dispatch == record.dispatch
            && slot.state.rank() <= record.state.rank()
        {
            slot.copy_holder = Some(holder.clone());
        }
    }

    /// Records that processes of a data centre lost their records: their host was removed from the
    /// view without a release, or was seen with a new incarnation. `view` is the view before.
    ///
    /// If an owner and its backup are lost within
    /// [`SIMULTANEOUS_LOSS_WINDOW`](super::SIMULTANEOUS_LOSS_WINDOW), requests with one of their
    /// keys that has no record get the outcome `unknown` until [`RECORD_RETENTION`] has passed. To
    /// be called for every data centre: if all hosts of one are replaced, only hosts of the others
    /// can inform the new ones.
    pub fn mark_records_lost(
        &mut self,
        now: Instant,
        centre: &CentreName,
        view: &[HostName],
        lost: &[LostProcess],
    ) {
        self.losses.record_loss(now, centre, view, lost);
        for process in lost {
            self.forget_holder(&process.host);
        }
    }

    /// Records that a listed process is running and thus did not lose its records. To be called
    /// when a peer replies.
    ///
    /// If the process counted as lost, a handover may have missed its records, so a new one is
    /// required. Must not be called for an unlisted process: it is no source of a handover and has
    /// to remain recorded as lost.
    pub fn mark_running(&mut self, now: Instant, host: &HostName, incarnation: u64) {
        if self.losses.withdraw(now, host, incarnation) {
            self.handover.require(now, &[]);
        }
    }

    /// Records that a host no longer holds copies, so that the records are copied to another host.
    pub fn forget_holder(&mut self, holder: &HostName) {
        for slot in self.slots.values_mut() {
            if slot.copy_holder.as_ref() == Some(holder) {
                slot.copy_holder = None;
            }
        }
    }

    /// Removes expired records, examining a bounded number of them. To be called on a timer.
    pub fn remove_expired(&mut self, now: Instant) {
        self.losses.remove_expired(now);
        let scanned: Vec<(u64, OperationId)> = self
            .change_order
            .range(self.expire_cursor..)
            .take(MAX_SCANNED_RECORDS)
            .map(|(sequence, id)| (*sequence, id.clone()))
            .collect();
        self.expire_cursor = match scanned.last() {
            Some((sequence, _)) if scanned.len() == MAX_SCANNED_RECORDS => sequence + 1,
            _ => 0,
        };
        for (_, id) in &scanned {
            if self.slots.get(id).is_some_and(|it| it.is_expired(now)) {
                self.remove(id);
            }
        }
    }

    /// Returns the decision about a retry of the request that the record describes.
    fn decision_from_record(&self, slot: &RecordSlot) -> OperationDecision {
        match &slot.state {
            RecordState::Finished(response) => OperationDecision::Replay(response.clone()),
            RecordState::Ran => OperationDecision::Ran,
            RecordState::Intent | RecordState::Running
                if slot.dispatch.incarnation == self.incarnation =>
            {
                OperationDecision::Unknown(UnknownReason::InProgress)
            }
            _ => OperationDecision::Unknown(UnknownReason::Interrupted),
        }
    }

    /// Returns why a key without a record here may have one on another host, or may have had one
    /// that was lost.
    fn missing_record_reason(&self, now: Instant, id: &OperationId) -> Option<UnknownReason> {
        let placement_key = id.placement_key();
        if self.handover.may_miss_record(now, &self.host, &placement_key) {
            Some(UnknownReason::HandoverIncomplete)
        } else if self.losses.affects(now, &self.centre, &placement_key) {
            Some(UnknownReason::RecordsLost)
        } else {
            None
        }
    }

    fn has_capacity(&self, team: &TeamName) -> bool {
        let team_count = self.team_counts.get(team).copied().unwrap_or(0);
        self.slots.len() < MAX_RECORDS && team_count < MAX_TEAM_RECORDS
    }

    fn is_own_intent(&self, slot: &RecordSlot) -> bool {
        slot.dispatch.incarnation == self.incarnation && slot.state == RecordState::Intent
    }

    /// Returns whether the record is an intent of this process that can no longer be dispatched but
    /// was not cancelled.
    fn is_abandoned(&self, slot: &RecordSlot, now: Instant) -> bool {
        let age = now.saturating_duration_since(slot.changed_at);
        self.is_own_intent(slot) && !slot.is_ticket && age > INTENT_LIFETIME
    }

    fn started_slot_mut(&mut self, handle: &OperationHandle) -> Option<&mut RecordSlot> {
        self.slots
            .get_mut(&handle.id)
            .filter(|it| it.is_decided_here && it.dispatch == handle.dispatch)
    }

    /// Removes the record of an attempt whose request was not sent and will not be sent.
    fn cancel_attempt(&mut self, handle: &OperationHandle, reason: NotRunReason) -> DispatchDenied {
        let mut decision = OperationDecision::NotRun(reason);
        let mut update = None;
        match self.slots.get(&handle.id) {
            Some(slot) if slot.dispatch != handle.dispatch => {
                decision = self.decision_from_record(slot)
            }
            Some(slot) if slot.state.is_unfinished() => {
                update = (!slot.is_ticket).then(|| handle.removal());
                self.remove(&handle.id);
            }
            Some(slot) => decision = self.decision_from_record(slot),
            // Without the record, there is no proof that the request was not sent.
            None => decision = OperationDecision::Unknown(UnknownReason::Interrupted),
        }
        DispatchDenied { decision, update }
    }

    fn set_final_state(
        &mut self,
        now: Instant,
        handle: &OperationHandle,
        state: RecordState,
    ) -> Option<OperationUpdate> {
        let slot = self.started_slot_mut(handle)?;
        if slot.state.rank() >= state.rank() {
            return None;
        }
        let is_ticket = slot.is_ticket;
        self.modify_slot(&handle.id, |slot| {
            slot.state = state;
            slot.changed_at = now;
            slot.copy_holder = None;
        });
        let slot = self.slots.get(&handle.id)?;
        (!is_ticket).then(|| OperationUpdate::Changed(slot.record(&handle.id, now)))
    }

    /// Merges a copy into the ledger; the copy with more information wins, in whatever order copies
    /// arrive. Returns false if the ledger has no capacity for it.
    fn merge_record(&mut self, now: Instant, record: &OperationRecord, sender: &HostName) -> bool {
        let Some(slot) = self.slots.get(&record.id) else {
            let is_own = record.dispatch.incarnation == self.incarnation;
            if is_own && record.state.is_unfinished() {
                // This process cancelled the attempt and sends the removal to the holders.
                return true;
            }
            if self.slots.len() >= MAX_RECORDS {
                return false;
            }
            self.insert_copy(now, record, sender);
            return true;
        };
        let rank_order = record.state.rank().cmp(&slot.state.rank());
        if slot.dispatch == record.dispatch {
            if rank_order.is_gt() {
                let changed_at = instant_before(now, record.age_ms);
                self.modify_slot(&record.id, |slot| {
                    slot.state = record.state.clone();
                    slot.changed_at = changed_at;
                    slot.copy_holder = Some(sender.clone());
                });
            }
            return true;
        }
        let is_newer = if slot.dispatch.incarnation == record.dispatch.incarnation {
            // The process cancelled the earlier attempt before it started the later one.
            record.dispatch.number > slot.dispatch.number
        } else {
            self.is_own_intent(slot) || rank_order.is_gt()
        };
        if is_newer {
            self.remove(&record.id);
            self.insert_copy(now, record, sender);
        }
        true
    }

    fn insert_copy(&mut self, now: Instant, record: &OperationRecord, sender: &HostName) {
        let slot = RecordSlot {
            dispatch: record.dispatch,
            digest: record.digest,
            state: record.state.clone(),
            changed_at: instant_before(now, record.age_ms),
            sequence: 0,
            is_backed_up: false,
            is_ticket: false,
            is_decided_here: false,
            copy_holder: Some(sender.clone()),
        };
        self.insert(&record.id, slot);
    }

    fn insert(&mut self, id: &OperationId, mut slot: RecordSlot) {
        self.last_sequence += 1;
        slot.sequence = self.last_sequence;
        self.change_order.insert(slot.sequence, id.clone());
        if let RecordState::Finished(response) = &slot.state {
            self.stored_bytes += response.size();
            self.response_order.insert(slot.sequence, id.clone());
        }
        *self.team_counts.entry(id.team.clone()).or_default() += 1;
        self.slots.insert(id.clone(), slot);
        self.drop_oldest_responses();
    }

    fn remove(&mut self, id: &OperationId) -> Option<RecordSlot> {
        let slot = self.slots.remove(id)?;
        self.change_order.remove(&slot.sequence);
        if self.response_order.remove(&slot.sequence).is_some() {
            self.stored_bytes -= slot.state.stored_bytes();
        }
        if let Some(count) = self.team_counts.get_mut(&id.team) {
            *count -= 1;
            if *count == 0 {
                self.team_counts.remove(&id.team);
            }
        }
        Some(slot)
    }

    fn modify_slot(&mut self, id: &OperationId, change: impl FnOnce(&mut RecordSlot)) {
        if let Some(mut slot) = self.remove(id) {
            change(&mut slot);
            self.insert(id, slot);
        }
    }

    fn drop_oldest_responses(&mut self) {
        while self.stored_bytes > MAX_STORED_RESPONSE_BYTES {
            let Some((_, id)) = self.response_order.pop_first() else {
                return;
            };
            if let Some(slot) = self.slots.get_mut(&id) {
                self.stored_bytes -= slot.state.stored_bytes();
                slot.state = RecordState::Ran;
            }
        }
    }
}

/// Returns the instant `age_ms` before `now`, or `now` if the clock cannot represent it.
fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}
