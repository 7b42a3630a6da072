//! Operations on a fake fleet under a seeded schedule of faults: at most one run per operation,
//! and no run for a request that was answered `not_run`.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{Options, Rng as SeededDriver},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use snipepond::{
    catalogue::{Catalogue, RawEntries},
    membership::{HostList, HostRecord, HostState},
    names::{CentreName, HostName, TeamName},
    operation::{
        DecisionRights, DispatchDenied, ForwardId, NotRunReason, OperationCall, OperationDecision,
        OperationHandle, OperationId, OperationLedger, OperationRecord, OperationRoute,
        OperationUpdate, OwnerLookup, RequestDigest, RouteDecision, StoreReply, StoredResponse,
        UnknownReason,
    },
    rendezvous,
};

const LIST_LAG_MS: u64 = 10_000;
const VALIDITY_MS: u64 = 6_000;
const TAKEOVER_WAIT_MS: u64 = 17_000;
const HORIZON_MS: u64 = 240_000;
const OPERATIONS: u32 = 24;
/// Time in which records reach two hosts again after one loss.
const REPAIR_MS: u64 = 55_000;

/// Which rule the fleet follows; all but `Sound` must be caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// Every host decides for itself.
    LedgerPerHost,
    /// The owner dispatches without the last check, and without a backup.
    NoLastCheck,
    /// A new owner decides without the records of earlier owners, and backups do not object.
    NoRecords,
    /// A duplicated forwarded call counts as a new call.
    NoForwardWindow,
}

/// Times count in quarters of a second (`length`) or fractions of the horizon (`at`).
#[derive(Clone, Debug, TypeGenerator)]
enum Fault {
    Pause {
        at: u8,
        length: u8,
        delist: bool,
        late: bool,
    },
    Delist {
        host: u8,
        at: u8,
        length: u8,
    },
    Crash {
        host: u8,
        at: u8,
        length: u8,
    },
    CutCentre {
        centre: u8,
        at: u8,
        length: u8,
    },
    CutPlatform {
        centre: u8,
        at: u8,
        length: u8,
    },
}

#[derive(Clone, Debug, TypeGenerator)]
struct FaultPlan {
    #[generator(0..4)]
    layout: u8,
    #[generator(0..6)]
    loss_percent: u8,
    #[generator(0..20)]
    copy_percent: u8,
    #[generator(0..8)]
    late_percent: u8,
    #[generator(bolero::produce::<Vec<Fault>>().with().len(0_usize..10))]
    faults: Vec<Fault>,
}

/// Stands for the view tracker: confirmation by list reads only.
#[derive(Clone, Debug)]
struct ViewDouble {
    host: HostName,
    centre: CentreName,
    base: Instant,
    list: HostList,
    read_at: u64,
    /// Start of the uninterrupted time in which views were confirmed.
    confirmed_since: u64,
    in_force: Vec<(u64, Vec<HostName>)>,
}

impl ViewDouble {
    fn view(&self) -> Vec<HostName> {
        let live = self.list.live_in(&self.centre);
        live.map(|it| it.name.clone()).collect()
    }
}

impl OwnerLookup for ViewDouble {
    fn owner_in(&self, centre: &CentreName, key: &str) -> Option<&HostRecord> {
        let mut hosts = self
            .list
            .hosts
            .iter()
            .filter(|it| it.data_centre == *centre);
        let name = rendezvous::first(key, hosts.clone().map(|it| &it.name))?;
        hosts.find(|it| it.name == *name)
    }

    fn owns(&self, key: &str, now: Instant) -> bool {
        let now = now.duration_since(self.base).as_millis() as u64;
        let earliest = now.saturating_sub(TAKEOVER_WAIT_MS);
        let ends = self
            .in_force
            .iter()
            .skip(1)
            .map(|it| it.0)
            .chain([u64::MAX]);
        now < self.read_at + VALIDITY_MS
            && self.confirmed_since <= earliest
            && (self.in_force.iter().zip(ends))
                .filter(|(_, end)| *end > earliest)
                .all(|((_, view), _)| rendezvous::first(key, view) == Some(&self.host))
    }
}

/// Rights of a host that does not check any.
struct AllRights;

impl DecisionRights for AllRights {
    fn may_decide(&self, _: &OperationId, _: Instant) -> bool {
        true
    }
}

struct FleetHost {
    record: HostRecord,
    incarnation: u64,
    is_down: bool,
    paused_until: u64,
    forwarded: u64,
    ledger: OperationLedger,
    route: OperationRoute,
    view: ViewDouble,
    epoch: u64,
    peers: HashMap<HostName, u64>,
}

struct Attempt {
    key: String,
    body: u8,
    answer: Option<OperationDecision>,
    runs: u32,
    is_called: bool,
}

struct StartedOperation {
    host: usize,
    attempt: usize,
    entry: Option<ProcessId>,
    incarnation: u64,
    handle: OperationHandle,
    decided: Instant,
    asked: Vec<usize>,
    is_settled: bool,
}

/// A process: index and incarnation of its host.
type ProcessId = (usize, u64);
type Action = Rc<dyn Fn(&mut FleetWorld)>;
/// Time and number of an event.
type EventPlace = (u64, u64);

struct FleetWorld {
    variant: Variant,
    plan: FaultPlan,
    base: Instant,
    now_ms: u64,
    rng: StdRng,
    team: TeamName,
    catalogue: Catalogue,
    hosts: Vec<FleetHost>,
    delisted_until: Vec<u64>,
    lists: Vec<(u64, HostList)>,
    centre_cuts: HashMap<CentreName, u64>,
    platform_cuts: HashMap<CentreName, u64>,
    attempts: Vec<Attempt>,
    started: Vec<StartedOperation>,
    runs: HashMap<String, u32>,
    /// A pause that strikes the next host that is about to dispatch: latest start, length,
    /// whether the host leaves the list, and whether the pause comes after the last check.
    armed: Option<(u64, u64, bool, bool)>,
    queue: BTreeMap<EventPlace, (Option<ProcessId>, Action)>,
    events: u64,
}

impl FleetWorld {
    fn new(seed: u64, variant: Variant) -> Self {
        let options = Options::default().with_max_len(4_096);
        let mut driver = SeededDriver::new(StdRng::seed_from_u64(seed), &options);
        let plan = FaultPlan::generate(&mut driver).expect("driver has enough bytes");
        let sizes = [[3, 2], [2, 2], [4, 1], [1, 1]][usize::from(plan.layout)];
        let centres = ["east", "west"];
        let entries: RawEntries = centres
            .iter()
            .map(|it| {
                let key: Arc<str> = format!("data_centre/{it}").into();
                (key, r#"{"region":"r","state":"in_service"}"#.into())
            })
            .collect();
        let mut world = Self {
            variant,
            plan,
            base: Instant::now() + Duration::from_secs(1),
            now_ms: 0,
            rng: StdRng::seed_from_u64(!seed),
            team: TeamName::new("team"),
            catalogue: Catalogue::parse(1, &entries).expect("catalogue is valid"),
            hosts: Vec::new(),
            delisted_until: vec![0; sizes[0] + sizes[1]],
            lists: Vec::new(),
            centre_cuts: HashMap::new(),
            platform_cuts: HashMap::new(),
            attempts: Vec::new(),
            started: Vec::new(),
            runs: HashMap::new(),
            armed: None,
            queue: BTreeMap::new(),
            events: 0,
        };
        for (centre, size) in centres.iter().zip(sizes) {
            for number in 0..size {
                let host = world.new_host(HostRecord {
                    name: HostName::new(&format!("{centre}{number}")),
                    address: ([127, 0, 0, 1], 1).into(),
                    data_centre: CentreName::new(centre),
                    state: HostState::Live,
                });
                world.hosts.push(host);
            }
        }
        world.publish_list();
        for host in 0..world.hosts.len() {
            world.schedule_tick(host);
        }
        world
    }

    fn new_host(&mut self, record: HostRecord) -> FleetHost {
        let incarnation = self.rng.random();
        let mut route = OperationRoute::new(&record.name, incarnation, &record.data_centre);
        route.set_catalogue(&self.catalogue);
        let secret = self.rng.random();
        FleetHost {
            incarnation,
            is_down: false,
            paused_until: 0,
            forwarded: 0,
            ledger: OperationLedger::new(self.now(), &record.name, incarnation, secret),
            route,
            view: ViewDouble {
                host: record.name.clone(),
                centre: record.data_centre.clone(),
                base: self.base,
                list: HostList::default(),
                read_at: 0,
                confirmed_since: u64::MAX,
                in_force: Vec::new(),
            },
            epoch: 0,
            peers: HashMap::new(),
            record,
        }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn index(&self, name: &HostName) -> usize {
        let mut hosts = self.hosts.iter();
        hosts
            .position(|it| it.record.name == *name)
            .expect("listed host exists")
    }

    /// Schedules an action; one of a host is dropped if that process no longer runs.
    fn at(&mut self, at: u64, host: Option<usize>, action: impl Fn(&mut FleetWorld) + 'static) {
        let host = host.map(|it| (it, self.hosts[it].incarnation));
        self.events += 1;
        self.queue
            .insert((at, self.events), (host, Rc::new(action)));
    }

    fn run(&mut self) {
        while let Some(((at, _), (host, action))) = self.queue.pop_first() {
            self.now_ms = at;
            if let Some((index, incarnation)) = host {
                let host = &self.hosts[index];
                if host.is_down || host.incarnation != incarnation {
                    continue;
                }
                if host.paused_until > at {
                    // Events of a paused process happen in order when it resumes.
                    self.events += 1;
                    let place = (host.paused_until, self.events);
                    self.queue
                        .insert(place, (Some((index, incarnation)), action));
                    continue;
                }
            }
            action(self);
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.hosts[from].record, &self.hosts[to].record);
        let is_cut = |it| {
            self.centre_cuts
                .get(it)
                .is_some_and(|end| *end > self.now_ms)
        };
        from.data_centre != to.data_centre && (is_cut(&from.data_centre) || is_cut(&to.data_centre))
    }

    /// Sends a message that may be lost, late or duplicated.
    fn send(&mut self, from: usize, to: usize, action: impl Fn(&mut FleetWorld) + 'static) {
        if self.is_cut(from, to) || self.chance(self.plan.loss_percent) {
            return;
        }
        let action: Action = Rc::new(action);
        let copies = 1 + u8::from(self.chance(self.plan.copy_percent));
        for _ in 0..copies {
            let is_late = self.chance(self.plan.late_percent);
            let delay = self.rng.random_range(1..if is_late { 30_000 } else { 50 });
            let action = action.clone();
            self.at(self.now_ms + delay, Some(to), move |world| action(world));
        }
    }

    fn publish_list(&mut self) {
        let listed = self.hosts.iter().zip(&self.delisted_until);
        let hosts = listed
            .filter(|(_, until)| **until <= self.now_ms)
            .map(|(host, _)| host.record.clone())
            .collect();
        let version = self.lists.len() as u64 + 1;
        self.lists.push((self.now_ms, HostList { version, hosts }));
    }

    fn schedule_tick(&mut self, host: usize) {
        let delay = self.rng.random_range(500..1_500);
        if self.now_ms < HORIZON_MS {
            self.at(self.now_ms + delay, Some(host), move |world| {
                world.tick(host);
                world.schedule_tick(host);
            });
        }
    }

    fn tick(&mut self, index: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let centre = self.hosts[index].record.data_centre.clone();
        if self
            .platform_cuts
            .get(&centre)
            .is_none_or(|end| *end <= now_ms)
        {
            let lagged = now_ms.saturating_sub(self.rng.random_range(0..LIST_LAG_MS));
            let newest = self
                .lists
                .iter()
                .rposition(|it| it.0 <= lagged)
                .unwrap_or(0);
            self.read_list(index, newest);
        }
        for peer in 0..self.hosts.len() {
            let name = self.hosts[peer].record.name.clone();
            let incarnation = self.hosts[peer].incarnation;
            let is_cut = self.is_cut(index, peer);
            let host = &mut self.hosts[index];
            if !is_cut && host.peers.insert(name.clone(), incarnation) != Some(incarnation) {
                host.ledger.forget_holder(&name);
            }
        }
        let variant = self.variant;
        let host = &mut self.hosts[index];
        host.ledger.retain_sources(&host.view.list);
        if host.ledger.is_handover_due(now) {
            let listed = host.view.list.hosts.iter().map(|it| &it.name);
            let sources = listed.filter(|_| variant != Variant::NoRecords);
            host.epoch = host.ledger.start_handover(now, sources);
        }
        let epoch = host.epoch;
        let awaited = host.ledger.awaited_pages();
        let awaited: Vec<_> = awaited
            .map(|(host, cursor)| (host.clone(), cursor))
            .collect();
        for (source, cursor) in awaited {
            self.pull(index, &source, epoch, cursor);
        }
        if self.variant != Variant::NoRecords {
            self.place_records(index);
        }
    }

    fn read_list(&mut self, index: usize, newest: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let host = &mut self.hosts[index];
        let list = &self.lists[newest].1;
        let before = host.view.view();
        if list.version > host.view.list.version {
            host.view.list = list.clone();
        }
        let view = host.view.view();
        if host.view.in_force.last().is_none_or(|it| it.1 != view) {
            host.view.in_force.push((now_ms, view.clone()));
        }
        let is_gap = now_ms >= host.view.read_at + VALIDITY_MS;
        host.view.read_at = now_ms;
        let wait = Duration::from_millis(TAKEOVER_WAIT_MS);
        if !view.contains(&host.record.name) {
            host.view.confirmed_since = u64::MAX;
        } else if is_gap || host.view.confirmed_since == u64::MAX {
            host.view.confirmed_since = now_ms;
            host.ledger.require_handover(now + wait, &[]);
        }
        let mut is_smaller = false;
        for lost in before.iter().filter(|it| !view.contains(it)) {
            host.ledger.forget_holder(lost);
            is_smaller = true;
        }
        if is_smaller {
            host.ledger.require_handover(now + wait, &before);
        }
    }

    fn pull(&mut self, index: usize, source: &HostName, epoch: u64, cursor: u64) {
        let from = self.index(source);
        let host = &self.hosts[index];
        let (name, view) = (host.record.name.clone(), host.view.view());
        self.send(index, from, move |world| {
            let now = world.now();
            let is_wanted =
                |id: &OperationId| rendezvous::first(&id.placement(), &view) == Some(&name);
            let page = world.hosts[from].ledger.export_page(now, cursor, is_wanted);
            world.send(from, index, move |world| {
                let now = world.now();
                let source = world.hosts[from].record.name.clone();
                let ledger = &mut world.hosts[index].ledger;
                ledger.import_page(now, epoch, &source, cursor, &page);
            });
        });
    }

    /// Copies records to the host that should hold them, as a host's repair timer does.
    fn place_records(&mut self, index: usize) {
        let host = &self.hosts[index];
        let (view, own) = (&host.view, &host.record);
        let (unplaced, _) = host.ledger.unplaced_records(self.now(), 0, |id| {
            let owner = view.owner_in(&own.data_centre, &id.placement());
            let backups = host.route.backups(id, &view.list);
            match owner {
                Some(owner) if owner.name != own.name => Some(owner.name.clone()),
                _ => backups.first().map(|it| it.name.clone()),
            }
        });
        for (target, record) in unplaced {
            let to = self.index(&target);
            self.send(index, to, move |world| {
                let now = world.now();
                let sender = world.hosts[index].record.name.clone();
                let update = OperationUpdate::Changed(record.clone());
                if world.hosts[to].ledger.update(now, &update, &sender) {
                    let record = record.clone();
                    world.send(to, index, move |world| {
                        let holder = world.hosts[to].record.name.clone();
                        world.hosts[index].ledger.copy_stored(&record, &holder);
                    });
                }
            });
        }
    }

    fn call(&mut self, entry: usize, attempt: usize) {
        self.attempts[attempt].is_called = true;
        let host = &self.hosts[entry];
        let key = &self.attempts[attempt].key;
        let route = match self.variant {
            Variant::LedgerPerHost => RouteDecision::Here,
            _ => host
                .route
                .locate(&self.team, key, &host.view.list, &host.view),
        };
        let owner = match route {
            RouteDecision::Here => return self.decide(entry, attempt, None),
            RouteDecision::Unknown(reason) => {
                return self.answer(attempt, OperationDecision::Unknown(reason));
            }
            RouteDecision::NotRun(reason) => {
                return self.answer(attempt, OperationDecision::NotRun(reason));
            }
            RouteDecision::Forward(owner) => self.index(&owner.name),
        };
        if self.is_cut(entry, owner) || self.hosts[owner].is_down {
            let reason = NotRunReason::OwnerUnreachable;
            return self.answer(attempt, OperationDecision::NotRun(reason));
        }
        self.hosts[entry].forwarded += 1;
        let id = ForwardId {
            incarnation: self.hosts[entry].incarnation,
            number: self.hosts[entry].forwarded,
        };
        self.send(entry, owner, move |world| {
            world.decide(owner, attempt, Some((entry, id)))
        });
        self.at(self.now_ms + 3_000, Some(entry), move |world| {
            world.answer(
                attempt,
                OperationDecision::Unknown(UnknownReason::AnswerLost),
            );
        });
    }

    fn decide(&mut self, index: usize, attempt: usize, forward: Option<(usize, ForwardId)>) {
        let now = self.now();
        let host = &mut self.hosts[index];
        let call = OperationCall {
            team: &self.team,
            key: &self.attempts[attempt].key,
            digest: RequestDigest::of("POST", "/print", &[self.attempts[attempt].body]),
            forward: match self.variant {
                Variant::NoForwardWindow => None,
                _ => forward.map(|it| it.1),
            },
        };
        let decision = match self.variant {
            Variant::LedgerPerHost => host.ledger.decide(now, &call, &AllRights),
            _ => host
                .ledger
                .decide(now, &call, &host.route.rights(&host.view)),
        };
        let entry = forward.map(|it| (it.0, it.1.incarnation));
        let (handle, record) = match decision {
            OperationDecision::AwaitBackup { handle, record } => (handle, Some(record)),
            OperationDecision::Dispatch(handle) => (handle, None),
            _ => return self.reply(index, attempt, entry, decision),
        };
        let operation = self.started.len();
        self.started.push(StartedOperation {
            host: index,
            attempt,
            entry,
            incarnation: host.incarnation,
            handle: handle.clone(),
            decided: now,
            asked: Vec::new(),
            is_settled: false,
        });
        let Some(record) = record else {
            return self.dispatch_soon(operation);
        };
        let host = &mut self.hosts[index];
        if matches!(self.variant, Variant::LedgerPerHost | Variant::NoLastCheck) {
            host.ledger
                .backup_acknowledged(&handle, &HostName::new("none"));
            return self.dispatch_soon(operation);
        }
        if host.ledger.waive_backup(&handle, &host.view.list) {
            return self.dispatch_soon(operation);
        }
        let host = &self.hosts[index];
        let backups = host.route.backups(handle.id(), &host.view.list);
        let backups: Vec<usize> = backups.iter().map(|it| self.index(&it.name)).collect();
        let mut at = self.now_ms;
        for to in backups {
            let record = record.clone();
            self.at(at, Some(index), move |world| {
                world.offer_intent(operation, to, &record)
            });
            at += 500;
        }
        self.at(at, Some(index), move |world| {
            if !world.started[operation].is_settled {
                let handle = &world.started[operation].handle;
                let denied = world.hosts[index].ledger.backup_failed(handle);
                world.deny(operation, denied);
            }
        });
    }

    fn offer_intent(&mut self, operation: usize, to: usize, record: &OperationRecord) {
        let started = &mut self.started[operation];
        if started.is_settled {
            return;
        }
        started.asked.push(to);
        let index = started.host;
        let record = record.clone();
        self.send(index, to, move |world| {
            let now = world.now();
            let sender = world.hosts[index].record.name.clone();
            let reply = world.hosts[to].ledger.store_intent(now, &record, &sender);
            world.send(to, index, move |world| {
                world.backup_replied(operation, to, &reply)
            });
        });
    }

    fn backup_replied(&mut self, operation: usize, backup: usize, reply: &StoreReply) {
        let now = self.now();
        let backup = self.hosts[backup].record.name.clone();
        let started = &mut self.started[operation];
        if self.hosts[started.host].incarnation != started.incarnation {
            return;
        }
        let ledger = &mut self.hosts[started.host].ledger;
        match reply {
            StoreReply::Stored => {
                ledger.backup_acknowledged(&started.handle, &backup);
                started.is_settled = true;
                self.dispatch_soon(operation);
            }
            StoreReply::Conflict(_) if self.variant == Variant::NoRecords => {
                ledger.backup_acknowledged(&started.handle, &backup);
                started.is_settled = true;
                self.dispatch_soon(operation);
            }
            StoreReply::Conflict(record) if !started.is_settled => {
                let denied = ledger.backup_conflicted(now, &started.handle, record, &backup);
                self.deny(operation, denied);
            }
            _ => {}
        }
    }

    fn deny(&mut self, operation: usize, denied: DispatchDenied) {
        let started = &mut self.started[operation];
        started.is_settled = true;
        let (index, attempt, entry) = (started.host, started.attempt, started.entry);
        if let Some(update) = denied.update {
            for to in started.asked.clone() {
                self.send_update(index, to, &update);
            }
        }
        self.reply(index, attempt, entry, denied.decision);
    }

    fn send_update(&mut self, from: usize, to: usize, update: &OperationUpdate) {
        let update = update.clone();
        self.send(from, to, move |world| {
            let now = world.now();
            let sender = world.hosts[from].record.name.clone();
            world.hosts[to].ledger.update(now, &update, &sender);
        });
    }

    fn dispatch_soon(&mut self, operation: usize) {
        let host = self.started[operation].host;
        let delay = self.rng.random_range(0..20);
        self.pause_if_armed(operation, false);
        self.at(self.now_ms + delay, Some(host), move |world| {
            world.dispatch(operation)
        });
    }

    /// Pauses the host of an operation if such a fault is due; its caller asks elsewhere then.
    fn pause_if_armed(&mut self, operation: usize, is_late: bool) {
        let Some((_, length, delist, _)) = self
            .armed
            .filter(|it| it.0 >= self.now_ms && it.3 == is_late)
        else {
            return;
        };
        self.armed = None;
        let (host, attempt) = (
            self.started[operation].host,
            self.started[operation].attempt,
        );
        let end = self.now_ms + length;
        self.hosts[host].paused_until = end;
        if delist {
            self.delist(host, end);
        }
        let key = self.attempts[attempt].key.clone();
        for delay in [10_000, 25_000, 35_000] {
            let at = self.now_ms + delay + self.rng.random_range(0..10_000);
            self.schedule_call(at, &key, self.attempts[attempt].body);
        }
    }

    fn schedule_call(&mut self, at: u64, key: &str, body: u8) -> usize {
        let entry = self.rng.random_range(0..self.hosts.len());
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            key: key.to_owned(),
            body,
            answer: None,
            runs: 0,
            is_called: false,
        });
        self.at(at, Some(entry), move |world| world.call(entry, attempt));
        attempt
    }

    fn dispatch(&mut self, operation: usize) {
        let now = self.now();
        let started = &self.started[operation];
        let index = started.host;
        let host = &mut self.hosts[index];
        let result = match self.variant {
            Variant::LedgerPerHost | Variant::NoLastCheck => {
                host.ledger
                    .begin_dispatch(started.decided, &started.handle, &AllRights)
            }
            _ => host
                .ledger
                .begin_dispatch(now, &started.handle, &host.route.rights(&host.view)),
        };
        match result {
            Ok(()) => {
                self.pause_if_armed(operation, true);
                self.at(self.now_ms + 2, Some(index), move |world| {
                    world.write(operation)
                });
            }
            Err(denied) => self.deny(operation, *denied),
        }
    }

    /// The socket write and what the upstream makes of it.
    fn write(&mut self, operation: usize) {
        let started = &self.started[operation];
        let (index, attempt, handle) = (started.host, started.attempt, started.handle.clone());
        if self.chance(10) {
            let denied = self.hosts[index].ledger.fail_before_send(&handle);
            return self.deny(operation, denied);
        }
        self.attempts[attempt].runs += 1;
        *self
            .runs
            .entry(self.attempts[attempt].key.clone())
            .or_default() += 1;
        let fate = self.rng.random_range(0..100);
        let delay = self.rng.random_range(5..2_000);
        self.at(self.now_ms + delay, Some(index), move |world| {
            let now = world.now();
            let ledger = &mut world.hosts[index].ledger;
            let response = StoredResponse {
                status: 201,
                ..StoredResponse::default()
            };
            let (update, decision) = match fate {
                0..15 => (
                    ledger.fail_after_send(now, &handle),
                    OperationDecision::Unknown(UnknownReason::Interrupted),
                ),
                15..25 => (ledger.finish(now, &handle, None), OperationDecision::Ran),
                _ => (
                    ledger.finish(now, &handle, Some(response.clone())),
                    OperationDecision::Replay(Arc::new(response)),
                ),
            };
            let started = &world.started[operation];
            let entry = started.entry;
            for to in started.asked.clone() {
                if let Some(update) = &update {
                    world.send_update(index, to, update);
                }
            }
            world.reply(index, attempt, entry, decision);
        });
    }

    fn reply(
        &mut self,
        from: usize,
        attempt: usize,
        entry: Option<ProcessId>,
        decision: OperationDecision,
    ) {
        match entry {
            None => self.answer(attempt, decision),
            Some((entry, incarnation)) => self.send(from, entry, move |world| {
                if world.hosts[entry].incarnation == incarnation {
                    world.answer(attempt, decision.clone());
                }
            }),
        }
    }

    fn answer(&mut self, attempt: usize, decision: OperationDecision) {
        self.attempts[attempt].answer.get_or_insert(decision);
    }

    /// Schedules the faults of the plan. Faults that take away a host are kept apart by the
    /// repair time, because the copies promise to survive one loss at a time.
    fn schedule_faults(&mut self) {
        let count = self.hosts.len();
        let mut quiet_from = 20_000;
        for fault in self.plan.faults.clone() {
            let (at, length) = match fault {
                Fault::Pause { at, length, .. }
                | Fault::Delist { at, length, .. }
                | Fault::Crash { at, length, .. }
                | Fault::CutCentre { at, length, .. }
                | Fault::CutPlatform { at, length, .. } => (at, length),
            };
            let length = u64::from(length) * 250;
            let is_cut = matches!(fault, Fault::CutCentre { .. } | Fault::CutPlatform { .. });
            let at = match is_cut {
                true => 20_000 + u64::from(at) * 700,
                false => quiet_from + u64::from(at) * 40,
            };
            let end = at + length;
            if !is_cut {
                quiet_from = end + REPAIR_MS;
            }
            let centre_name = |it: u8| CentreName::new(["east", "west"][usize::from(it) % 2]);
            self.at(at, None, move |world| match fault {
                Fault::Pause { delist, late, .. } => {
                    world.armed = Some((world.now_ms + 8_000, length, delist, late));
                }
                Fault::Delist { host, .. } => world.delist(usize::from(host) % count, end),
                Fault::Crash { host, .. } => {
                    let host = usize::from(host) % count;
                    world.hosts[host].is_down = true;
                    world.delist(host, end);
                    world.at(end, None, move |world| {
                        let record = world.hosts[host].record.clone();
                        world.hosts[host] = world.new_host(record);
                        world.schedule_tick(host);
                    });
                }
                Fault::CutCentre { centre, .. } => {
                    world.centre_cuts.insert(centre_name(centre), end);
                }
                Fault::CutPlatform { centre, .. } => {
                    world.platform_cuts.insert(centre_name(centre), end);
                }
            });
        }
    }

    /// The platform notices the absence of a host after 2 s, and its return at once.
    fn delist(&mut self, host: usize, end: u64) {
        let noticed = self.now_ms + 2_000;
        if noticed < end {
            self.at(noticed, None, move |world| {
                world.delisted_until[host] = end;
                world.publish_list();
            });
            self.at(end, None, FleetWorld::publish_list);
        }
    }

    fn schedule_calls(&mut self) {
        for number in 0..OPERATIONS {
            let first = self.rng.random_range(18_000..HORIZON_MS - 60_000);
            let key = format!("key-{number}");
            let calls = self.rng.random_range(2..7);
            let spread_kind = self.rng.random_range(0..4);
            for _ in 0..calls {
                let spread = [30, 30, 50_000, 150_000][spread_kind];
                let at = first + self.rng.random_range(0..spread);
                let body = u8::from(self.chance(2));
                self.schedule_call(at, &key, body);
            }
            if number % 4 == 0 {
                let issuer = self.rng.random_range(0..self.hosts.len());
                self.at(first - 1, Some(issuer), move |world| {
                    let now = world.now();
                    let ticket = world.hosts[issuer].ledger.issue_ticket(now, &world.team);
                    let mut attempts: Vec<_> = world
                        .attempts
                        .iter_mut()
                        .filter(|it| it.key == key)
                        .collect();
                    if attempts.iter().all(|it| !it.is_called) {
                        attempts
                            .iter_mut()
                            .for_each(|it| it.key = ticket.to_string());
                    }
                });
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RunSummary {
    calls: usize,
    operations: u32,
    ran: usize,
    not_run: usize,
    unknown: usize,
    runs: u32,
    repeated: usize,
    false_refusals: usize,
}

fn simulate(seed: u64, variant: Variant) -> RunSummary {
    let mut world = FleetWorld::new(seed, variant);
    world.schedule_faults();
    world.schedule_calls();
    world.run();
    let mut summary = RunSummary {
        calls: world.attempts.len(),
        operations: OPERATIONS,
        runs: world.runs.values().sum(),
        repeated: world.runs.values().filter(|it| **it > 1).count(),
        ..RunSummary::default()
    };
    for attempt in &world.attempts {
        match attempt.answer.as_ref().and_then(|it| it.outcome()) {
            Some("ran") => {
                summary.ran += 1;
                assert!(
                    world.runs.contains_key(&attempt.key),
                    "seed {seed}: never ran"
                );
            }
            Some("not_run") => {
                summary.not_run += 1;
                summary.false_refusals += usize::from(attempt.runs > 0);
            }
            _ => summary.unknown += 1,
        }
    }
    summary
}

fn seed_count(default: u64) -> u64 {
    let text = std::env::var("OPERATION_SEEDS").ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Runs a faulty variant until the check fails.
fn find_fault(variant: Variant, is_fault: impl Fn(&RunSummary) -> bool) {
    let found = (0..400).find(|seed| is_fault(&simulate(*seed, variant)));
    println!("{variant:?}: first fault at seed {found:?}");
    assert!(found.is_some(), "{variant:?} passes the check");
}

/// Guards invariants 7 and 8: no fault makes an operation run twice or a refusal untrue.
///
/// `OPERATION_SEEDS` sets the number of seeds.
#[test]
fn operations_run_at_most_once() {
    let mut total = RunSummary::default();
    for seed in 0..seed_count(60) {
        let summary = simulate(seed, Variant::Sound);
        assert_eq!(summary.repeated, 0, "seed {seed}: an operation ran twice");
        assert_eq!(
            summary.false_refusals, 0,
            "seed {seed}: a refused request ran"
        );
        total.calls += summary.calls;
        total.operations += summary.operations;
        total.ran += summary.ran;
        total.not_run += summary.not_run;
        total.unknown += summary.unknown;
        total.runs += summary.runs;
    }
    println!("{total:?}");
    // A fleet that refuses everything would pass the checks above.
    assert!(
        total.runs * 10 > total.operations * 7,
        "too few operations ran: {total:?}"
    );
}

/// Shows that the simulation notices a fleet in which every host decides for itself.
#[test]
fn ledger_per_host_repeats_operations() {
    find_fault(Variant::LedgerPerHost, |it| it.repeated > 0);
}

/// Shows that the simulation notices an owner that dispatches after a pause without a check.
#[test]
fn dispatch_without_last_check_repeats_operations() {
    find_fault(Variant::NoLastCheck, |it| it.repeated > 0);
}

/// Shows that the simulation notices a new owner that starts without the earlier records.
#[test]
fn takeover_without_records_repeats_operations() {
    find_fault(Variant::NoRecords, |it| it.repeated > 0);
}

/// Shows that the simulation notices a duplicated call that is dispatched after a refusal.
#[test]
fn duplicated_call_after_refusal_is_noticed() {
    find_fault(Variant::NoForwardWindow, |it| it.false_refusals > 0);
}
