//! Limits what a cold or returning upstream receives from this host.

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
/// Pass the same `Arc` for the same list: [`ColdLimiter`] compares sets by pointer, and recomputes
/// its union of them if one differs.
pub type HostSet = Arc<[HostName]>;

/// Share of its chats that a cold upstream, or one at the start of its ramp-up, receives; see
/// [`ColdPhase::chat_share`].
const MIN_CHAT_SHARE: f64 = 0.1;

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdReason {
    /// Its load report announced a cold start.
    Announced,
    /// Its incarnation changed, so it restarted.
    NewIncarnation,
    /// It refused a connection.
    RefusedConnection,
    /// Its time to first token rose to a multiple of the median.
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

/// Change of an upstream's cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdChange {
    /// It became cold.
    Started(ColdReason),
    /// It completed its first response since it became cold.
    Responded,
}

/// Change of a cold start, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation, if the sender knows it.
    pub incarnation: Option<u64>,
    /// The change.
    pub change: ColdChange,
}

/// Cold-start phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdPhase {
    /// Not known to be cold or warm; limited like a cold one.
    Unknown,
    /// Cold for this reason.
    Cold(ColdReason),
    /// Warm; receives this share of its chats, which is 1 after the ramp-up.
    Warm(f64),
}

/// State behind a [`ColdPhase`], with the times at which it changes.
#[derive(Clone, Copy, Debug)]
enum ColdState {
    /// No report since the process started or, if `broken_at` is set, since a connection broke.
    Unknown {
        broken_at: Option<Instant>,
        responded_at: Option<Instant>,
    },
    Cold {
        reason: ColdReason,
        /// Whether a report of this incarnation announced the cold start.
        is_announced: bool,
        responded_at: Option<Instant>,
    },
    Warm {
        since: Instant,
        ramp_up: Duration,
    },
}

/// Cold-start state of one upstream, and what it depends on.
#[derive(Clone, Copy, Debug)]
struct ColdRecord {
    state: ColdState,
    incarnation: Option<u64>,
    /// Last incarnation that became warm; notices of its cold start that arrive later are ignored.
    last_warm_incarnation: Option<u64>,
    refused_at: Option<Instant>,
}

/// Limits the requests to cold upstreams and the chats of returning ones.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    own_host: HostName,
    max_ramp_up: Duration,
    max_report_lag: Duration,
    records: HashMap<UpstreamName, ColdRecord>,
    /// Upstreams whose chat share may be below 1. One whose share has reached 1 is removed by the
    /// next call of [`ColdLimiter::phase`].
    limited: HashSet<UpstreamName>,
    /// Union that [`ColdLimiter::has_slot`] used last.
    union: Option<HostUnion>,
}

/// Returns how many requests host `own_host` may have in flight at a cold upstream: its slots of
/// the upstream's cold allowance.
///
/// `host_sets` are the sets of live hosts that were in force at this host at any time during the
/// last [`ViewTiming::takeover_wait`](crate::membership::ViewTiming::takeover_wait). A process that
/// started after this passes none and has no slot. The allowance is split in rendezvous order over
/// the union of the sets, and a host that is missing from any set has no slot.
///
/// A host never has more slots in a union than in any of its parts. Hence, whenever all hosts have
/// one set in common or the same union, their slots sum to at most the allowance.
pub fn cold_slots(
    own_host: &HostName,
    upstream: &UpstreamName,
    allowance: u32,
    host_sets: &[HostSet],
) -> u32 {
    HostUnion::new(own_host, host_sets).slots_at(upstream, allowance)
}

/// Union of the host sets in force, with the hashes that give the slots at any upstream.
#[derive(Clone, Debug)]
struct HostUnion {
    host_sets: Vec<HostSet>,
    own_hash: u64,
    /// Whether the own host is in every set.
    is_member: bool,
    host_hashes: Vec<u64>,
}

impl HostUnion {
    fn new(own_host: &HostName, host_sets: &[HostSet]) -> Self {
        let hash = |host: &HostName| rendezvous::hash_parts(&[host.as_str()]);
        let mut host_hashes: Vec<u64> =
            host_sets.iter().flat_map(|it| it.iter()).map(hash).collect();
        host_hashes.sort_unstable();
        host_hashes.dedup();
        Self {
            host_sets: host_sets.to_vec(),
            own_hash: hash(own_host),
            is_member: !host_sets.is_empty() && host_sets.iter().all(|it| it.contains(own_host)),
            host_hashes,
        }
    }

    fn is_union_of(&self, host_sets: &[HostSet]) -> bool {
        self.host_sets.len() == host_sets.len()
            && self.host_sets.iter().zip(host_sets).all(|(a, b)| Arc::ptr_eq(a, b))
    }

    fn slots_at(&self, upstream: &UpstreamName, allowance: u32) -> u32 {
        if !self.is_member {
            return 0;
        }
        let upstream_hash = rendezvous::hash_parts(&[upstream.as_str()]);
        let own_score = rendezvous::combine_hashes(upstream_hash, self.own_hash);
        let is_ahead = |it: &&u64| rendezvous::combine_hashes(upstream_hash, **it) > own_score;
        let rank = self.host_hashes.iter().filter(is_ahead).count() as u32;
        let hosts = self.host_hashes.len() as u32;
        allowance / hosts + u32::from(rank < allowance % hosts)
    }
}

impl ColdLimiter {
    /// Creates a limiter for host `own_host`.
    ///
    /// `max_ramp_up` is the longest ramp-up of a returning upstream. A report that arrives within
    /// `max_report_lag` after a broken connection may be older than the break.
    pub fn new(own_host: HostName, max_ramp_up: Duration, max_report_lag: Duration) -> Self {
        Self {
            own_host,
            max_ramp_up,
            max_report_lag,
            records: HashMap::new(),
            limited: HashSet::new(),
            union: None,
        }
    }

    /// Returns the host that this limiter belongs to.
    pub fn own_host(&self) -> &HostName {
        &self.own_host
    }

    /// Adds an upstream of the first catalogue in phase [`ColdPhase::Unknown`].
    pub fn add_unknown(&mut self, upstream: &UpstreamName) {
        self.record_mut(upstream);
    }

    /// Starts the ramp-up of a warm upstream that takes new work again after `absence`.
    pub fn record_return(&mut self, now: Instant, upstream: &UpstreamName, absence: Duration) {
        let ramp_up = self.max_ramp_up.min(absence);
        let record = self.limited_record_mut(upstream);
        if let ColdState::Warm { .. } = record.state {
            // After a short absence the cache still holds most chats, so the ramp-up is no longer
            // than the absence.
            record.state = ColdState::Warm { since: now, ramp_up };
        }
    }

    /// Marks an upstream as cold.
    ///
    /// Returns the notice for the peers, or `None` if it was already cold with this incarnation.
    pub fn mark_cold(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Option<u64>,
        reason: ColdReason,
    ) -> Option<ColdNotice> {
        let record = self.limited_record_mut(upstream);
        if record.mark_cold(incarnation, reason) {
            Some(ColdNotice {
                upstream: upstream.clone(),
                incarnation: record.incarnation,
                change: ColdChange::Started(reason),
            })
        } else {
            None
        }
    }

    /// Applies the incarnation and the cold flag of a load report.
    ///
    /// `is_new_incarnation` says whether the incarnation differs from that of the last report.
    ///
    /// Returns the notice for the peers if the report starts a cold start.
    pub fn apply_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: u64,
        is_new_incarnation: bool,
        is_cold: bool,
    ) -> Option<ColdNotice> {
        let (max_report_lag, max_ramp_up) = (self.max_report_lag, self.max_ramp_up);
        if is_new_incarnation {
            let notice = self.mark_cold(upstream, Some(incarnation), ColdReason::NewIncarnation);
            self.record_mut(upstream).set_announced(is_cold);
            return notice;
        }
        if is_cold {
            let notice = self.mark_cold(upstream, Some(incarnation), ColdReason::Announced);
            self.record_mut(upstream).set_announced(true);
            return notice;
        }
        let record = self.record_mut(upstream);
        record.incarnation = Some(incarnation);
        match record.state {
            ColdState::Unknown { broken_at, .. } => {
                // A report that may be older than the break does not show that it is warm.
                if broken_at.is_none_or(|it| now.saturating_duration_since(it) >= max_report_lag) {
                    record.state = ColdState::Warm { since: now, ramp_up: Duration::ZERO };
                }
            }
            // Without an earlier announcement, `cold: false` does not show that it is warm: some
            // upstreams never announce a cold start.
            ColdState::Cold { is_announced: true, .. } => record.mark_warm(now, max_ramp_up),
            ColdState::Cold { .. } | ColdState::Warm { .. } => {}
        }
        None
    }

    /// Records a complete response, which starts the warm-up time if it is the first one.
    ///
    /// Returns the notice for the peers if it is the first one of a cold start.
    pub fn record_response(&mut self, now: Instant, upstream: &UpstreamName) -> Option<ColdNotice> {
        let record = self.record_mut(upstream);
        match &mut record.state {
            ColdState::Cold { responded_at, .. } if responded_at.is_none() => {
                *responded_at = Some(now)
            }
            // Without reports, responses are the only evidence; the warm-up time still applies.
            ColdState::Unknown { responded_at, .. } => {
                responded_at.get_or_insert(now);
                return None;
            }
            ColdState::Cold { .. } | ColdState::Warm { .. } => return None,
        }
        Some(ColdNotice {
            upstream: upstream.clone(),
            incarnation: record.incarnation,
            change: ColdChange::Responded,
        })
    }

    /// Records a refused connection and marks the upstream as cold; see [`ColdLimiter::mark_cold`].
    pub fn record_refusal(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        incarnation: Option<u64>,
    ) -> Option<ColdNotice> {
        self.record_mut(upstream).refused_at = Some(now);
        self.mark_cold(upstream, incarnation, ColdReason::RefusedConnection)
    }

    /// Records a connection that broke during a request: the upstream may have restarted.
    ///
    /// It is limited like a cold one until a report arrives that must be younger than the break.
    pub fn record_break(&mut self, now: Instant, upstream: &UpstreamName) {
        let record = self.limited_record_mut(upstream);
        if let ColdState::Warm { .. } | ColdState::Unknown { .. } = record.state {
            record.state = ColdState::Unknown { broken_at: Some(now), responded_at: None };
        }
    }

    /// Applies a notice from a peer.
    pub fn apply_notice(&mut self, now: Instant, notice: &ColdNotice) {
        let record = self.limited_record_mut(&notice.upstream);
        match notice.change {
            ColdChange::Started(reason) => {
                let is_outdated = notice.incarnation.is_some()
                    && notice.incarnation == record.last_warm_incarnation;
                // Both can happen again to an incarnation that became warm.
                let can_recur =
                    matches!(reason, ColdReason::FirstTokenJump | ColdReason::RefusedConnection);
                if !is_outdated || can_recur {
                    record.mark_cold(notice.incarnation, reason);
                }
            }
            ColdChange::Responded => {
                if let ColdState::Cold { responded_at, .. } = &mut record.state
                    && responded_at.is_none()
                    && (notice.incarnation.is_none() || notice.incarnation == record.incarnation)
                {
                    *responded_at = Some(now);
                }
            }
        }
    }

    /// Returns notices of all cold upstreams, for peers that missed earlier ones.
    pub fn cold_notices(&self) -> Vec<ColdNotice> {
        let mut notices = Vec::new();
        for (upstream, record) in &self.records {
            if let ColdState::Cold { reason, responded_at, .. } = record.state {
                let notice = |change| ColdNotice {
                    upstream: upstream.clone(),
                    incarnation: record.incarnation,
                    change,
                };
                notices.push(notice(ColdChange::Started(reason)));
                if responded_at.is_some() {
                    notices.push(notice(ColdChange::Responded));
                }
            }
        }
        notices.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        notices
    }

    /// Returns the phase of an upstream whose warm-up time is `warmup`.
    ///
    /// An upstream becomes warm here when this time has passed since its first response.
    pub fn phase(&mut self, now: Instant, upstream: &UpstreamName, warmup: Duration) -> ColdPhase {
        let max_ramp_up = self.max_ramp_up;
        let Some(record) = self.records.get_mut(upstream) else {
            return ColdPhase::Unknown;
        };
        if let ColdState::Cold { responded_at: Some(responded_at), .. }
        | ColdState::Unknown { responded_at: Some(responded_at), .. } = record.state
            && now.saturating_duration_since(responded_at) >= warmup
        {
            record.mark_warm(responded_at + warmup, max_ramp_up);
        }
        let phase = match record.state {
            ColdState::Unknown { .. } => ColdPhase::Unknown,
            ColdState::Cold { reason, .. } => ColdPhase::Cold(reason),
            ColdState::Warm { since, ramp_up } => {
                let elapsed = now.saturating_duration_since(since);
                if elapsed >= ramp_up {
                    ColdPhase::Warm(1.0)
                } else {
                    let progress = elapsed.as_secs_f64() / ramp_up.as_secs_f64();
                    ColdPhase::Warm(MIN_CHAT_SHARE + (1.0 - MIN_CHAT_SHARE) * progress)
                }
            }
        };
        if phase == ColdPhase::Warm(1.0) {
            self.limited.remove(upstream);
        }
        phase
    }

    /// Returns whether the chat share of an upstream may be below 1.
    ///
    /// The lookup is skipped if no upstream is limited.
    pub fn is_limited(&self, upstream: &UpstreamName) -> bool {
        !self.limited.is_empty() && self.limited.contains(upstream)
    }

    /// Returns when the upstream last refused a connection; `None` if it became warm since then.
    pub fn refused_at(&self, upstream: &UpstreamName) -> Option<Instant> {
        self.records.get(upstream)?.refused_at
    }

    /// Returns whether this host may send one more request to a cold upstream.
    ///
    /// `in_flight` is the number of requests that this host has in flight there.
    pub fn has_slot(
        &mut self,
        upstream: &UpstreamName,
        allowance: u32,
        in_flight: u32,
        host_sets: &[HostSet],
    ) -> bool {
        if !self.union.as_ref().is_some_and(|it| it.is_union_of(host_sets)) {
            self.union = None;
        }
        let own_host = &self.own_host;
        let union = self.union.get_or_insert_with(|| HostUnion::new(own_host, host_sets));
        in_flight < union.slots_at(upstream, allowance)
    }

    /// Removes upstreams that `keep` rejects.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamName) -> bool) {
        self.records.retain(|name, _| keep(name));
        let records = &self.records;
        self.limited.retain(|it| records.contains_key(it));
    }

    /// Returns the bytes of state per upstream, without its name and the hash table's overhead.
    pub const fn bytes_per_upstream() -> usize {
        size_of::<(UpstreamName, ColdRecord)>()
    }

    /// Returns the record of an upstream and marks its chat share as limited.
    fn limited_record_mut(&mut self, upstream: &UpstreamName) -> &mut ColdRecord {
        self.limited.insert(upstream.clone());
        self.record_mut(upstream)
    }

    fn record_mut(&mut self, upstream: &UpstreamName) -> &mut ColdRecord {
        if !self.records.contains_key(upstream) {
            self.limited.insert(upstream.clone());
        }
        self.records.entry(upstream.clone()).or_insert(ColdRecord {
            state: ColdState::Unknown { broken_at: None, responded_at: None },
            incarnation: None,
            last_warm_incarnation: None,
            refused_at: None,
        })
    }
}

impl ColdPhase {
    /// Returns the share of its chats that the upstream receives. Its chats are those for which it
    /// is the first candidate in rendezvous order.
    pub fn chat_share(&self) -> f64 {
        match self {
            ColdPhase::Unknown | ColdPhase::Cold(_) => MIN_CHAT_SHARE,
            ColdPhase::Warm(share) => *share,
        }
    }
}

impl ColdRecord {
    /// Marks the upstream as cold; returns false if it was already cold with this incarnation.
    fn mark_cold(&mut self, incarnation: Option<u64>, reason: ColdReason) -> bool {
        let is_same_incarnation = incarnation.is_none() || incarnation == self.incarnation;
        if is_same_incarnation && matches!(self.state, ColdState::Cold { .. }) {
            if reason == ColdReason::RefusedConnection {
                // A refusal after the first response means that it is down again.
                if let ColdState::Cold { responded_at, .. } = &mut self.state {
                    *responded_at = None;
                }
            }
            return false;
        }
        self.incarnation = incarnation.or(self.incarnation);
        self.state = ColdState::Cold {
            reason,
            is_announced: reason == ColdReason::Announced,
            responded_at: None,
        };
        true
    }

    fn set_announced(&mut self, is_cold: bool) {
        if let ColdState::Cold { is_announced, .. } = &mut self.state {
            *is_announced = is_cold;
        }
    }

    fn mark_warm(&mut self, since: Instant, ramp_up: Duration) {
        self.state = ColdState::Warm { since, ramp_up };
        self.last_warm_incarnation = self.incarnation;
        self.refused_at = None;
    }
}
