//! How much a cold or returning upstream may receive from this host.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    names::{HostName, UpstreamName},
    rendezvous,
};

/// Live hosts of the fleet in one host list, in any order.
///
/// Pass the same `Arc` for the same list: the gate prepares the sets again when an `Arc` changes.
pub type HostSet = Arc<[HostName]>;

/// Share of the chats that a cold upstream, or one at the start of its ramp-up, takes.
const RAMP_FLOOR: f64 = 0.1;

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdReason {
    /// Its report says so.
    Announced,
    /// It has a new incarnation.
    NewIncarnation,
    /// It refused a connection.
    RefusedConnection,
    /// Its first-token time jumped.
    FirstTokenJump,
    /// It was added to the catalogue while this process ran.
    Joined,
}

impl fmt::Display for ColdReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Announced => "announced",
            Self::NewIncarnation => "new incarnation",
            Self::RefusedConnection => "refused a connection",
            Self::FirstTokenJump => "first-token time jumped",
            Self::Joined => "joined",
        })
    }
}

/// What happened to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdChange {
    /// It became cold.
    Started(ColdReason),
    /// It completed its first response since.
    Responded,
}

/// A change that a host tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation as far as the sender knows it.
    pub incarnation: Option<u64>,
    /// What happened.
    pub change: ColdChange,
}

/// State of an upstream in the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdPhase {
    /// Nothing shows yet whether it is cold; limited like a cold one.
    Unknown,
    /// Cold for this reason.
    Cold(ColdReason),
    /// Warm; takes this share of the chats that belong to it, 1 after the ramp-up.
    Warm(f64),
}

#[derive(Clone, Copy, Debug)]
enum GateState {
    /// No report since process start or, if set, since a connection broke.
    Unknown {
        broken_at: Option<Instant>,
        responded: Option<Instant>,
    },
    Cold {
        reason: ColdReason,
        /// Whether a report of this incarnation said that it is cold.
        announced: bool,
        responded: Option<Instant>,
    },
    Warm {
        from: Instant,
        ramp: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct GateRecord {
    state: GateState,
    incarnation: Option<u64>,
    /// Last incarnation that became warm; late notices of its cold start are ignored.
    warmed: Option<u64>,
    refused_at: Option<Instant>,
}

/// Limits what cold and returning upstreams receive.
#[derive(Clone, Debug)]
pub struct ColdGate {
    own: HostName,
    ramp: Duration,
    settle: Duration,
    records: HashMap<UpstreamName, GateRecord>,
    /// Upstreams that may not take all their chats; it contains all others at most for a while.
    limited: HashSet<UpstreamName>,
    union: Option<FleetUnion>,
}

/// Returns the slots of host `own` in the cold allowance of an upstream.
///
/// `fleets` are the sets of live hosts that were in force at this host at any time during the last
/// `takeover_wait`; it is empty for a process that is younger than this. The allowance is split in
/// rendezvous order over the union of the sets, and a host that any set lacks has no slot.
///
/// The share in a union is never larger than the share in any of its parts. Hence the shares of
/// all hosts sum to at most the allowance whenever the hosts have one set in common, or the same
/// union.
pub fn cold_share(
    own: &HostName,
    upstream: &UpstreamName,
    allowance: u32,
    fleets: &[HostSet],
) -> u32 {
    FleetUnion::new(own, fleets).share(upstream, allowance)
}

/// Union of the host sets in force, prepared for the shares of many upstreams.
#[derive(Clone, Debug)]
struct FleetUnion {
    fleets: Vec<HostSet>,
    own_hash: u64,
    /// Whether the own host is in every set.
    is_member: bool,
    host_hashes: Vec<u64>,
}

impl FleetUnion {
    fn new(own: &HostName, fleets: &[HostSet]) -> Self {
        let hash = |host: &HostName| rendezvous::hash_parts(&[host.as_str()]);
        let mut host_hashes: Vec<u64> = fleets.iter().flat_map(|it| it.iter()).map(hash).collect();
        host_hashes.sort_unstable();
        host_hashes.dedup();
        Self {
            fleets: fleets.to_vec(),
            own_hash: hash(own),
            is_member: !fleets.is_empty() && fleets.iter().all(|it| it.contains(own)),
            host_hashes,
        }
    }

    fn is_of(&self, fleets: &[HostSet]) -> bool {
        self.fleets.len() == fleets.len()
            && self.fleets.iter().zip(fleets).all(|(a, b)| Arc::ptr_eq(a, b))
    }

    fn share(&self, upstream: &UpstreamName, allowance: u32) -> u32 {
        if !self.is_member {
            return 0;
        }
        let upstream_hash = rendezvous::hash_parts(&[upstream.as_str()]);
        let own_order = rendezvous::combine_hashes(upstream_hash, self.own_hash);
        let before = |it: &&u64| rendezvous::combine_hashes(upstream_hash, **it) > own_order;
        let rank = self.host_hashes.iter().filter(before).count() as u32;
        let hosts = self.host_hashes.len() as u32;
        allowance / hosts + u32::from(rank < allowance % hosts)
    }
}

impl ColdGate {
    /// Creates a gate for host `own`.
    ///
    /// `ramp` is the longest ramp-up of a returning upstream. `settle` is the longest lag of a
    /// report: one that arrives earlier after a broken connection may be older than the break.
    pub fn new(own: HostName, ramp: Duration, settle: Duration) -> Self {
        Self { own, ramp, settle, records: HashMap::new(), limited: HashSet::new(), union: None }
    }

    /// Returns the own host.
    pub fn own(&self) -> &HostName {
        &self.own
    }

    /// Notes an upstream of the first catalogue, of which nothing is known yet.
    pub fn discovered(&mut self, upstream: &UpstreamName) {
        self.record(upstream);
    }

    /// Notes that the upstream takes new work again after an absence.
    pub fn returned(&mut self, now: Instant, upstream: &UpstreamName, absence: Duration) {
        let ramp = self.ramp.min(absence);
        let record = self.limited_record(upstream);
        if let GateState::Warm { .. } = record.state {
            // After a short absence its cache still holds most chats, so the ramp-up is no longer
            // than the absence.
            record.state = GateState::Warm { from: now, ramp };
        }
    }

    /// Notes that the upstream is cold and returns the notice for the peers if this is new.
    pub fn cold(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Option<u64>,
        reason: ColdReason,
    ) -> Option<ColdNotice> {
        let record = self.limited_record(upstream);
        if record.start(incarnation, reason) {
            Some(ColdNotice {
                upstream: upstream.clone(),
                incarnation: record.incarnation,
                change: ColdChange::Started(reason),
            })
        } else {
            None
        }
    }

    /// Takes the cold flag of a report; `is_new` tells that the incarnation changed.
    pub fn report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
        is_new: bool,
        cold: bool,
    ) -> Option<ColdNotice> {
        let (settle, ramp) = (self.settle, self.ramp);
        if is_new {
            let notice = self.cold(upstream, Some(incarnation), ColdReason::NewIncarnation);
            self.record(upstream).announce(cold);
            return notice;
        }
        if cold {
            let notice = self.cold(upstream, Some(incarnation), ColdReason::Announced);
            self.record(upstream).announce(true);
            return notice;
        }
        let record = self.record(upstream);
        record.incarnation = Some(incarnation);
        match record.state {
            GateState::Unknown { broken_at, .. } => {
                // A report that may be older than the break proves nothing.
                if broken_at.is_none_or(|it| now.saturating_duration_since(it) >= settle) {
                    record.state = GateState::Warm { from: now, ramp: Duration::ZERO };
                }
            }
            // `cold: false` alone proves nothing: some upstreams never announce a cold start.
            GateState::Cold { announced: true, .. } => record.warm(now, ramp),
            GateState::Cold { .. } | GateState::Warm { .. } => {}
        }
        None
    }

    /// Notes a complete response and returns the notice for the peers if it is the first one.
    pub fn responded(&mut self, now: Instant, upstream: &UpstreamName) -> Option<ColdNotice> {
        let record = self.record(upstream);
        match &mut record.state {
            GateState::Cold { responded, .. } if responded.is_none() => *responded = Some(now),
            // Without reports this is the only sign, and the warm-up time applies all the same.
            GateState::Unknown { responded, .. } => {
                responded.get_or_insert(now);
                return None;
            }
            GateState::Cold { .. } | GateState::Warm { .. } => return None,
        }
        Some(ColdNotice {
            upstream: upstream.clone(),
            incarnation: record.incarnation,
            change: ColdChange::Responded,
        })
    }

    /// Notes a refused connection.
    pub fn refused(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: Option<u64>,
    ) -> Option<ColdNotice> {
        self.record(upstream).refused_at = Some(now);
        self.cold(upstream, incarnation, ColdReason::RefusedConnection)
    }

    /// Notes a connection that broke midway: the upstream may have restarted.
    ///
    /// It is limited like a cold one until a report that must be younger than the break.
    pub fn broken(&mut self, now: Instant, upstream: &UpstreamName) {
        let record = self.limited_record(upstream);
        if let GateState::Warm { .. } | GateState::Unknown { .. } = record.state {
            record.state = GateState::Unknown { broken_at: Some(now), responded: None };
        }
    }

    /// Takes a peer's notice.
    pub fn notice(&mut self, now: Instant, notice: &ColdNotice) {
        let record = self.limited_record(&notice.upstream);
        match notice.change {
            ColdChange::Started(reason) => {
                let is_late = notice.incarnation.is_some() && notice.incarnation == record.warmed;
                let is_repeatable =
                    matches!(reason, ColdReason::FirstTokenJump | ColdReason::RefusedConnection);
                if !is_late || is_repeatable {
                    record.start(notice.incarnation, reason);
                }
            }
            ColdChange::Responded => {
                if let GateState::Cold { responded, .. } = &mut record.state
                    && responded.is_none()
                    && (notice.incarnation.is_none() || notice.incarnation == record.incarnation)
                {
                    *responded = Some(now);
                }
            }
        }
    }

    /// Returns the notices that describe the cold upstreams; for peers that missed earlier ones.
    pub fn notices(&self) -> Vec<ColdNotice> {
        let mut notices = Vec::new();
        for (upstream, record) in &self.records {
            if let GateState::Cold { reason, responded, .. } = record.state {
                let notice = |change| ColdNotice {
                    upstream: upstream.clone(),
                    incarnation: record.incarnation,
                    change,
                };
                notices.push(notice(ColdChange::Started(reason)));
                if responded.is_some() {
                    notices.push(notice(ColdChange::Responded));
                }
            }
        }
        notices.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        notices
    }

    /// Returns the phase of an upstream whose warm-up time is `warmup`.
    pub fn phase(&mut self, now: Instant, upstream: &UpstreamName, warmup: Duration) -> ColdPhase {
        let ramp = self.ramp;
        let Some(record) = self.records.get_mut(upstream) else {
            return ColdPhase::Unknown;
        };
        if let GateState::Cold { responded: Some(responded), .. }
        | GateState::Unknown { responded: Some(responded), .. } = record.state
            && now.saturating_duration_since(responded) >= warmup
        {
            record.warm(responded + warmup, ramp);
        }
        let phase = match record.state {
            GateState::Unknown { .. } => ColdPhase::Unknown,
            GateState::Cold { reason, .. } => ColdPhase::Cold(reason),
            GateState::Warm { from, ramp } => {
                let elapsed = now.saturating_duration_since(from);
                if elapsed >= ramp {
                    ColdPhase::Warm(1.0)
                } else {
                    let progress = elapsed.as_secs_f64() / ramp.as_secs_f64();
                    ColdPhase::Warm(RAMP_FLOOR + (1.0 - RAMP_FLOOR) * progress)
                }
            }
        };
        if phase == ColdPhase::Warm(1.0) {
            self.limited.remove(upstream);
        }
        phase
    }

    /// Returns whether an upstream may have a share of its chats below 1; cheap if none has.
    pub fn is_limited(&self, upstream: &UpstreamName) -> bool {
        !self.limited.is_empty() && self.limited.contains(upstream)
    }

    /// Returns when the upstream last refused a connection, unless it became warm since.
    pub fn refused_at(&self, upstream: &UpstreamName) -> Option<Instant> {
        self.records.get(upstream)?.refused_at
    }

    /// Returns whether a cold upstream may take one more request, given the own ones in flight.
    pub fn has_slot(
        &mut self,
        upstream: &UpstreamName,
        allowance: u32,
        in_flight: u32,
        fleets: &[HostSet],
    ) -> bool {
        if !self.union.as_ref().is_some_and(|it| it.is_of(fleets)) {
            self.union = None;
        }
        let own = &self.own;
        let union = self.union.get_or_insert_with(|| FleetUnion::new(own, fleets));
        in_flight < union.share(upstream, allowance)
    }

    /// Removes upstreams that `keep` rejects.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamName) -> bool) {
        self.records.retain(|name, _| keep(name));
        let records = &self.records;
        self.limited.retain(|it| records.contains_key(it));
    }

    /// Bytes of state per upstream, without its name and the hash table's overhead.
    pub const fn bytes_per_upstream() -> usize {
        size_of::<(UpstreamName, GateRecord)>()
    }

    /// Returns the record of an upstream whose share may fall below 1.
    fn limited_record(&mut self, upstream: &UpstreamName) -> &mut GateRecord {
        self.limited.insert(upstream.clone());
        self.record(upstream)
    }

    fn record(&mut self, upstream: &UpstreamName) -> &mut GateRecord {
        if !self.records.contains_key(upstream) {
            self.limited.insert(upstream.clone());
        }
        self.records.entry(upstream.clone()).or_insert(GateRecord {
            state: GateState::Unknown { broken_at: None, responded: None },
            incarnation: None,
            warmed: None,
            refused_at: None,
        })
    }
}

impl ColdPhase {
    /// Share of the chats that belong to the upstream which it takes.
    pub fn chat_share(&self) -> f64 {
        match self {
            ColdPhase::Unknown | ColdPhase::Cold(_) => RAMP_FLOOR,
            ColdPhase::Warm(share) => *share,
        }
    }
}

impl GateRecord {
    /// Makes the upstream cold; returns whether it was not cold with this incarnation before.
    fn start(&mut self, incarnation: Option<u64>, reason: ColdReason) -> bool {
        let is_known = incarnation.is_none() || incarnation == self.incarnation;
        if is_known && matches!(self.state, GateState::Cold { .. }) {
            if reason == ColdReason::RefusedConnection {
                // A refusal after the first response means that it is down again.
                if let GateState::Cold { responded, .. } = &mut self.state {
                    *responded = None;
                }
            }
            return false;
        }
        self.incarnation = incarnation.or(self.incarnation);
        self.state =
            GateState::Cold { reason, announced: reason == ColdReason::Announced, responded: None };
        true
    }

    fn announce(&mut self, cold: bool) {
        if let GateState::Cold { announced, .. } = &mut self.state {
            *announced = cold;
        }
    }

    fn warm(&mut self, from: Instant, ramp: Duration) {
        self.state = GateState::Warm { from, ramp };
        self.warmed = self.incarnation;
        self.refused_at = None;
    }
}
