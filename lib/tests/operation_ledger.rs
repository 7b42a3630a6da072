//! Tickets, limits of the ledger, messages out of order, handovers, and the choice of the deciding
//! host.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use snipepond::{
    catalogue::{Catalogue, RawEntries},
    membership::{HostList, HostRecord, HostState},
    names::{CentreName, HostName, TeamName},
    operation::{
        ByteString, DecisionRights, DispatchDenied, ForwardId, INTENT_LIFETIME, KeyedRequest,
        LostProcess, MAX_HANDOVER_PAGE_BYTES, MAX_RECORDS, MAX_RESPONSE_BYTES,
        MAX_STORED_RESPONSE_BYTES, MAX_TEAM_RECORDS, NotRunReason,
        OperationDecision::{
            self, AwaitBackup, Dispatch, NotRun, Ran, Replay, RequestMismatch, Unknown,
        },
        OperationHandle, OperationId, OperationLedger, OperationRecord, OperationRouter,
        OperationTicket, OperationUpdate, OwnerLookup, RECORD_RETENTION, RecordState,
        RequestDigest, RouteDecision, SIMULTANEOUS_LOSS_WINDOW, StoreReply, StoredResponse,
        TICKET_LIFETIME, UnknownReason,
    },
    rendezvous,
};

/// Grants or denies the right to decide about any operation.
struct FixedRights(bool);

impl DecisionRights for FixedRights {
    fn may_decide(&self, _: &OperationId, _: Instant) -> bool {
        self.0
    }
}

const OWNER_RIGHTS: FixedRights = FixedRights(true);

fn host(name: &str) -> HostName {
    HostName::new(name)
}

fn team() -> TeamName {
    TeamName::new("team")
}

/// Creates a ledger without a pending handover.
fn ledger(now: Instant, name: &str, incarnation: u64) -> OperationLedger {
    let mut ledger = OperationLedger::new(
        now,
        &host(name),
        &CentreName::new(&name[..1]),
        incarnation,
        [incarnation as u8; 32],
    );
    ledger.start_handover(now, []);
    ledger
}

fn keyed_request<'a>(team: &'a TeamName, key: &'a str, body: &str) -> KeyedRequest<'a> {
    let digest = RequestDigest::of("POST", "/print", body.as_bytes());
    let forward = None;
    KeyedRequest { team, key, digest, forward }
}

fn decide(ledger: &mut OperationLedger, now: Instant, key: &str, body: &str) -> OperationDecision {
    ledger.decide(now, &keyed_request(&team(), key, body), &OWNER_RIGHTS)
}

fn begin(
    ledger: &mut OperationLedger,
    now: Instant,
    key: &str,
) -> (OperationHandle, OperationRecord) {
    match decide(ledger, now, key, "body") {
        AwaitBackup { handle, record } => (handle, record),
        decision => panic!("unexpected {decision:?}"),
    }
}

fn dispatch(
    ledger: &mut OperationLedger,
    now: Instant,
    handle: &OperationHandle,
) -> Result<(), Box<DispatchDenied>> {
    ledger.begin_dispatch(now, handle, &OWNER_RIGHTS)
}

fn run(ledger: &mut OperationLedger, now: Instant, key: &str, size: usize) -> OperationUpdate {
    let (handle, _) = begin(ledger, now, key);
    ledger.backup_acknowledged(&handle, &host("backup"));
    dispatch(ledger, now, &handle).expect("dispatch is allowed");
    let body = ByteString(vec![7; size]);
    let response = StoredResponse { status: 201, body, ..StoredResponse::default() };
    ledger.finish(now, &handle, Some(response)).expect("state changes")
}

#[track_caller]
fn assert_decides(ledger: &mut OperationLedger, now: Instant, key: &str, want: OperationDecision) {
    assert_eq!(decide(ledger, now, key, "body"), want, "{key}");
}

fn is_known_to_have_run(ledger: &mut OperationLedger, now: Instant, key: &str) -> bool {
    decide(ledger, now, key, "body").outcome() == Some("ran")
}

fn list(names: &[&str]) -> HostList {
    let hosts = names.iter().map(|name| HostRecord {
        name: host(name),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: CentreName::new(&name[..1]),
        state: HostState::Live,
    });
    let hosts = hosts.collect();
    HostList { version: 1, hosts }
}

/// Guards against the use of forged tickets, tickets of other teams or processes, and second
/// spellings of one ticket.
#[test]
fn ticket_is_bound_to_team_and_process() {
    let now = Instant::now();
    let mut issuer = OperationLedger::new(now, &host("a.1"), &CentreName::new("a"), 10, [1; 32]);
    let ticket = issuer.issue_ticket(now, &team()).to_string();
    assert_eq!(OperationTicket::parse(&ticket).map(|it| it.host().clone()), Some(host("a.1")));
    assert!(ticket.starts_with("spt1.a.1.a.1."), "{ticket}");

    let upper = format!("spt1.{}", ticket[5..].to_uppercase());
    let padded = ticket.replace(".a.1.a.1.", ".a.1.0a.1.");
    let other_number = ticket.replace(".a.1.a.1.", ".a.1.a.2.");
    let short = &ticket[..ticket.len() - 1];
    for forged in [&upper, &padded, &other_number, short, "spt1.", "spt1.é"] {
        let decision = decide(&mut issuer, now, forged, "body");
        assert_eq!(decision, NotRun(NotRunReason::InvalidTicket), "{forged}");
    }
    let other = TeamName::new("other");
    let decision = issuer.decide(now, &keyed_request(&other, &ticket, "body"), &OWNER_RIGHTS);
    assert_eq!(decision, NotRun(NotRunReason::InvalidTicket));
    let mut successor = OperationLedger::new(now, &host("a.1"), &CentreName::new("a"), 11, [1; 32]);
    let decision = decide(&mut successor, now, &ticket, "body");
    assert_eq!(decision, Unknown(UnknownReason::IssuerGone));
    // Neither a backup nor a complete handover is needed.
    let decision = decide(&mut issuer, now, &ticket, "body");
    assert!(matches!(decision, Dispatch(_)), "{decision:?}");
}

/// Guards against a ticket whose operation runs again after its record was dropped.
#[test]
fn ticket_never_runs_again() {
    let start = Instant::now();
    let mut issuer = ledger(start, "a", 1);
    let used = issuer.issue_ticket(start, &team()).to_string();
    let Dispatch(handle) = decide(&mut issuer, start, &used, "body") else {
        panic!("ticket is valid");
    };
    issuer.begin_dispatch(start, &handle, &FixedRights(false)).expect("needs no rights");
    let update = issuer.finish(start, &handle, None);
    assert_eq!(update, None, "ticket needs no backup");
    assert_decides(&mut issuer, start, &used, Ran);

    let late = start + RECORD_RETENTION.max(TICKET_LIFETIME);
    issuer.remove_expired(late);
    assert_eq!(issuer.status().records, 0);
    assert_decides(&mut issuer, late, &used, Unknown(UnknownReason::TicketExpired));
}

/// Guards against a retry that runs the operation again, or that gets another outcome than the
/// record states.
#[test]
fn retries_are_answered_from_the_record() {
    let now = Instant::now();
    let mut owner = ledger(now, "a", 1);
    let (handle, _) = begin(&mut owner, now, "key");
    assert_decides(&mut owner, now, "key", Unknown(UnknownReason::InProgress));
    assert_eq!(decide(&mut owner, now, "key", "other"), RequestMismatch);
    owner.backup_acknowledged(&handle, &host("b"));
    dispatch(&mut owner, now, &handle).expect("dispatch is allowed");
    let second = dispatch(&mut owner, now, &handle).expect_err("acknowledged twice");
    assert_eq!(second.decision, Unknown(UnknownReason::InProgress));
    owner.fail_after_send(now, &handle);
    assert_decides(&mut owner, now, "key", Unknown(UnknownReason::Interrupted));

    run(&mut owner, now, "small", 100);
    let decision = decide(&mut owner, now, "small", "body");
    assert_eq!(decision.status(), Some(201));
    assert_eq!(decision.outcome(), Some("ran"));
    run(&mut owner, now, "large", MAX_RESPONSE_BYTES + 1);
    assert_decides(&mut owner, now, "large", Ran);

    let (handle, _) = begin(&mut owner, now, "refused");
    let denied = owner.fail_before_send(&handle);
    assert_eq!(denied.decision, NotRun(NotRunReason::UpstreamRefused));
    let update = denied.update.expect("the backup must drop its copy");
    assert!(matches!(update, OperationUpdate::Removed { .. }));
    begin(&mut owner, now, "refused");
}

/// Guards against a dispatch after a pause, after the loss of the right to decide, or without a
/// backup.
#[test]
fn final_check_denies_stale_decisions() {
    let now = Instant::now();
    let mut owner = ledger(now, "a", 1);
    let after_lifetime = INTENT_LIFETIME + Duration::from_millis(1);
    let cases = [
        (false, INTENT_LIFETIME, true, NotRunReason::NoBackup),
        (true, after_lifetime, true, NotRunReason::IntentExpired),
        (true, Duration::ZERO, false, NotRunReason::NotOwner),
    ];
    for (is_backed, pause, rights, reason) in cases {
        let (handle, _) = begin(&mut owner, now, "key");
        if is_backed {
            owner.backup_acknowledged(&handle, &host("b"));
        }
        let denied = owner.begin_dispatch(now + pause, &handle, &FixedRights(rights));
        let denied = denied.expect_err("check fails");
        assert_eq!(denied.decision, NotRun(reason));
        assert!(denied.update.is_some(), "the backup must drop its copy");
        // A late acknowledgement must not restore the cancelled attempt.
        owner.backup_acknowledged(&handle, &host("b"));
        dispatch(&mut owner, now, &handle).expect_err("attempt was cancelled");
    }
    // An attempt that was neither dispatched nor cancelled does not block its key.
    let (abandoned, _) = begin(&mut owner, now, "forgotten");
    owner.backup_acknowledged(&abandoned, &host("b"));
    begin(&mut owner, now + after_lifetime, "forgotten");
    dispatch(&mut owner, now, &abandoned).expect_err("attempt was replaced");
    let (handle, _) = begin(&mut owner, now, "alone");
    assert!(!owner.waive_backup(&handle, &list(&["a", "b"])));
    assert!(!owner.waive_backup(&handle, &list(&[])));
    assert!(owner.waive_backup(&handle, &list(&["a"])));
    dispatch(&mut owner, now, &handle).expect("dispatch is allowed");
}

/// Guards against messages that arrive out of order: a late removal must not delete a later
/// attempt, and a late intent must not replace a result or another owner's record.
#[test]
fn backup_orders_messages_by_attempt() {
    let now = Instant::now();
    let (mut owner, mut backup) = (ledger(now, "a", 1), ledger(now, "b", 2));
    let a = host("a");
    let (first, first_record) = begin(&mut owner, now, "key");
    let removal = owner.backup_failed(&first).update;
    let removal = removal.expect("backup may hold a copy");
    let (_, second_record) = begin(&mut owner, now, "key");
    let replies = [&second_record, &first_record].map(|it| backup.store_intent(now, it, &a));
    assert_eq!(replies, [StoreReply::Stored, StoreReply::Stale]);
    backup.apply_update(now, &removal, &a);
    assert_decides(&mut backup, now, "key", Unknown(UnknownReason::Interrupted));
    // The copy of a cancelled attempt has no effect when its owner receives it.
    owner.apply_update(now, &OperationUpdate::Changed(first_record), &host("b"));
    dispatch(&mut owner, now, &first).expect_err("attempt was cancelled");

    let (_, intent) = begin(&mut owner, now, "other");
    let result = run(&mut owner, now, "third", 10);
    backup.apply_update(now, &result, &a);
    let OperationUpdate::Changed(mut late) = result else { panic!("result is a change") };
    late.state = RecordState::Intent;
    backup.store_intent(now, &late, &a);
    backup.apply_update(now, &OperationUpdate::Changed(late), &a);
    assert!(is_known_to_have_run(&mut backup, now, "third"));

    let mut other_owner = ledger(now, "c", 3);
    assert_eq!(backup.store_intent(now, &intent, &a), StoreReply::Stored);
    let (handle, record) = begin(&mut other_owner, now, "other");
    let StoreReply::Conflict(known) = backup.store_intent(now, &record, &host("c")) else {
        panic!("backup knows the intent of another process");
    };
    let denied = other_owner.backup_conflicted(now, &handle, &known, &host("b"));
    assert_eq!(denied.decision, Unknown(UnknownReason::Interrupted));
}

/// Guards against a new owner that decides before it has received all records, and against a
/// handover that blocks keys whose owner did not change.
#[test]
fn keys_wait_for_their_handover() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let (mut old, mut owner) = (ledger(start, "a1", 1), ledger(start, "a2", 2));
    let keys: Vec<String> = (0..400).map(|it| format!("key-{it}")).collect();
    for key in &keys {
        run(&mut old, now, key, 1_000);
    }
    let view = [host("a1"), host("a2")];
    owner.require_handover(now, &view);
    assert!(owner.is_handover_due(now));
    let epoch = owner.start_handover(now, [&host("a1"), &host("a2"), &host("b1")]);
    let is_kept = |key: &String| {
        rendezvous::first(&OperationId::new(&team(), key).placement_key(), &view) == Some(&view[1])
    };
    let fresh = (0..50).map(|it| format!("fresh-{it}"));
    let (kept, gained): (Vec<_>, Vec<_>) = fresh.partition(is_kept);
    begin(&mut owner, now, &kept[0]);
    let incomplete = Unknown(UnknownReason::HandoverIncomplete);
    assert_decides(&mut owner, now, &gained[0], incomplete.clone());

    let mut cursor = Some(0);
    let mut pages = 0;
    while let Some(at) = cursor {
        let page = old.export_page(now, at, |_| true);
        let bytes = rmp_serde::to_vec(&page).expect("page is serializable");
        assert!(bytes.len() < MAX_HANDOVER_PAGE_BYTES * 5 / 4, "page is too large");
        let page = rmp_serde::from_slice(&bytes).expect("page is readable");
        owner.import_page(now, epoch - 1, &host("a1"), at, &page);
        cursor = owner.import_page(now, epoch, &host("a1"), at, &page);
        pages += 1;
    }
    assert!(pages > 5, "{pages} pages");
    assert!(is_known_to_have_run(&mut owner, now, &keys[399]));
    // The host of the other data centre has not sent its records yet.
    assert_decides(&mut owner, now, &gained[0], incomplete);
    let late = now + RECORD_RETENTION;
    assert!(matches!(decide(&mut owner, late, &gained[1], "body"), AwaitBackup { .. }));
    owner.retain_listed_sources(&list(&["a1", "a2"]));
    begin(&mut owner, now, &gained[0]);
}

/// Guards against a second run after the only host of a data centre and its backup in another one
/// were lost within [`SIMULTANEOUS_LOSS_WINDOW`], and against the outcome `unknown` if the second
/// loss comes later.
#[test]
fn single_host_and_its_backup_are_lost_together() {
    let start = Instant::now();
    for (gap, is_double_loss) in
        [(SIMULTANEOUS_LOSS_WINDOW / 2, true), (SIMULTANEOUS_LOSS_WINDOW, false)]
    {
        let mut owner = ledger(start, "a1", 2);
        let mut observer = ledger(start, "b1", 3);
        let mut record_loss = |at, name: &str, view: &[HostName]| {
            let lost = [LostProcess { host: host(name), incarnation: Some(1) }];
            observer.mark_records_lost(at, &CentreName::new(&name[..1]), view, &lost);
        };
        record_loss(start, "a1", &[host("a1")]);
        record_loss(start + gap, "b2", &[host("b1"), host("b2")]);
        let now = start + gap;
        let page = observer.export_page(now, 0, |_| true);
        owner.import_page(now, 0, &host("b1"), 0, &page);
        let decision = decide(&mut owner, now, "key", "body");
        assert_eq!(decision == Unknown(UnknownReason::RecordsLost), is_double_loss);
    }
}

/// Guards against unbounded memory: records of one team, records of all teams, and stored
/// responses.
#[test]
fn ledger_is_bounded() {
    let now = Instant::now();
    let mut owner = ledger(now, "a", 1);
    let (_, mut record) = begin(&mut owner, now, "first");
    record.dispatch.incarnation = 9;
    let mut replies: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..MAX_RECORDS + 10 {
        let name = format!("team-{}", number % 5);
        record.id = OperationId::new(&TeamName::new(&name), &number.to_string());
        let reply = owner.store_intent(now, &record, &host("b"));
        *replies.entry(format!("{reply:?}")).or_default() += 1;
    }
    assert_eq!(replies["Full"], 11);
    assert_decides(&mut owner, now, "new", NotRun(NotRunReason::LedgerFull));
    assert_decides(&mut owner, now, "first", Unknown(UnknownReason::InProgress));

    let mut owner = ledger(now, "a", 1);
    for number in 0..MAX_STORED_RESPONSE_BYTES / MAX_RESPONSE_BYTES + 5 {
        run(&mut owner, now, &number.to_string(), MAX_RESPONSE_BYTES);
    }
    assert!(owner.status().stored_bytes <= MAX_STORED_RESPONSE_BYTES);
    assert_decides(&mut owner, now, "0", Ran);
    assert!(matches!(decide(&mut owner, now, "1000", "body"), Replay(_)));
    for number in owner.status().records..MAX_TEAM_RECORDS {
        begin(&mut owner, now, &format!("intent-{number}"));
    }
    assert_decides(&mut owner, now, "new", NotRun(NotRunReason::LedgerFull));
}

/// Guards against a second dispatch caused by a duplicate message, even far out of order.
#[test]
fn forwarded_request_is_accepted_once() {
    let now = Instant::now();
    let (mut owner, team) = (ledger(now, "a", 1), team());
    let mut is_accepted = |number| {
        let incarnation = 5;
        let forward = Some(ForwardId { incarnation, number });
        let request = KeyedRequest { forward, ..keyed_request(&team, "key", "body") };
        let decision = owner.decide(now, &request, &FixedRights(false));
        decision == NotRun(NotRunReason::NotOwner)
    };
    let numbers = [5, 6, 5, 4, 4, 1_029, 6, 5, 7, 7, 5_000, 1_030, 4_999, 4_999, 5_000];
    let accepted = [
        true, true, false, true, false, true, false, false, true, false, true, false, true, false,
        false,
    ];
    assert_eq!(numbers.map(&mut is_accepted), accepted);
}

/// Makes the first listed host of a data centre the owner of all its keys.
struct FirstHostOwners(HostList);

impl OwnerLookup for FirstHostOwners {
    fn owner_in(&self, centre: &CentreName, _: &str) -> Option<&HostRecord> {
        self.0.hosts.iter().find(|it| it.data_centre == *centre)
    }

    fn owns(&self, _: &str, _: Instant) -> bool {
        true
    }
}

fn catalogue(revision: u64, centres: &[&str]) -> Catalogue {
    let value = r#"{"region":"r","state":"in_service"}"#;
    let entries: RawEntries =
        centres.iter().map(|it| (format!("data_centre/{it}").into(), value.into())).collect();
    Catalogue::parse(revision, &entries).expect("catalogue is valid")
}

/// Guards against two deciding hosts for one key while a data centre is added.
#[test]
fn moving_key_has_one_deciding_host() {
    let now = Instant::now();
    let list = list(&["a1", "b1"]);
    let lookup = FirstHostOwners(list.clone());
    let router = |name: &str| {
        let mut router = OperationRouter::new(&host(name), 1, &CentreName::new(&name[..1]));
        router.set_catalogue(&catalogue(1, &["a"]));
        router
    };
    let (mut old, mut new) = (router("a1"), router("b1"));
    let mut moved_count = 0;
    for number in 0..100 {
        let key = format!("key-{number}");
        let id = OperationId::new(&team(), &key);
        let decides = |old: &OperationRouter, new: &OperationRouter| {
            let holders = [old, new].map(|it| it.rights(&lookup).may_decide(&id, now));
            assert_ne!(holders, [true, true], "{key}");
            holders
        };
        assert_eq!(decides(&old, &new), [true, false]);
        new.set_catalogue(&catalogue(2, &["a", "b"]));
        assert_eq!(decides(&old, &new), [true, false]);
        let moving = RouteDecision::NotRun(NotRunReason::HomeMoving);
        if new.locate(&team(), &key, &list, &lookup) == moving {
            moved_count += 1;
            old.set_catalogue(&catalogue(2, &["a", "b"]));
            assert_eq!(decides(&old, &new), [false, false]);
            assert!(!new.retire_earlier_sets(1), "the change is not known everywhere");
            assert!(new.retire_earlier_sets(2), "a handover is needed");
            assert_eq!(decides(&old, &new), [false, true]);
        }
        (old, new) = (router("a1"), router("b1"));
    }
    assert!((30..70).contains(&moved_count), "{moved_count} moved");
}

/// Guards against a ticket that is routed to another host than its issuer, and against backups on
/// the deciding host itself or in a remote data centre while there are local ones.
#[test]
fn router_finds_issuer_and_backups() {
    let now = Instant::now();
    let ticket = OperationLedger::new(now, &host("a2"), &CentreName::new("a"), 7, [0; 32])
        .issue_ticket(now, &team());
    let key = ticket.to_string();
    let lookup = FirstHostOwners(HostList::default());
    let mut router = OperationRouter::new(&host("a1"), 1, &CentreName::new("a"));
    let full = list(&["a1", "a2", "a3", "a4", "b1"]);
    let located = router.locate(&team(), &key, &full, &lookup);
    assert_eq!(located, RouteDecision::Forward(&full.hosts[1]));
    let short = list(&["a1", "b1"]);
    let located = router.locate(&team(), &key, &short, &lookup);
    assert_eq!(located, RouteDecision::Unknown(UnknownReason::IssuerGone));
    let issuer = OperationRouter::new(&host("a2"), 7, &CentreName::new("a"));
    assert_eq!(issuer.locate(&team(), &key, &full, &lookup), RouteDecision::Local);

    router.set_catalogue(&catalogue(1, &["a", "b"]));
    let id = OperationId::new(&team(), "key");
    let backups = router.backups(&id, &full);
    assert!(backups.len() == 2 && backups.iter().all(|it| it.data_centre.as_str() == "a"));
    assert!(backups.iter().all(|it| it.name != host("a1")));
    assert_eq!(router.backups(&id, &short), [&short.hosts[1]]);
    assert!(router.backups(&id, &list(&["a1"])).is_empty());
}
