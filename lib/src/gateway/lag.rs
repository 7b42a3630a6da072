//! Which host has newer entries than this one, as digests tell.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{members::MemberRecord, position::StorePosition};
use crate::names::HostName;

/// Time for which hosts of other data centres may have a newer position before this host requests
/// their changes, so that a change that the platform or a relay delivers in the meantime is not
/// sent twice.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(400);

/// A host with newer entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerHost {
    /// Name of the host.
    pub host: HostName,
    /// Address on which it receives messages of other hosts.
    pub address: SocketAddr,
    /// Position of its entries.
    pub position: StorePosition,
}

/// Remembers the host with the newest entries until this one has caught up with it, whatever the
/// digests of other hosts say meanwhile: those of the same data centre may be as late.
#[derive(Debug, Default)]
pub struct LagTracker {
    newest: Option<NewerHost>,
    behind_since: Option<Instant>,
}

impl LagTracker {
    /// Records the position that a host told; `own` is that of this host.
    pub fn record(
        &mut self,
        now: Instant,
        own: StorePosition,
        record: &MemberRecord,
        position: StorePosition,
    ) {
        self.forget_reached(own);
        if position <= own || self.newest.as_ref().is_some_and(|it| it.position >= position) {
            return;
        }
        let (host, address) = (record.host.clone(), record.address);
        self.newest = Some(NewerHost { host, address, position });
        self.behind_since.get_or_insert(now);
    }

    /// Returns the host to request changes from, if this one has been behind it for too long. The
    /// host is returned once; a later digest may name it again.
    pub fn take_overdue(&mut self, now: Instant, own: StorePosition) -> Option<NewerHost> {
        self.forget_reached(own);
        let since = self.behind_since?;
        if now.saturating_duration_since(since) < REMOTE_PULL_DELAY {
            return None;
        }
        self.behind_since = None;
        self.newest.take()
    }

    fn forget_reached(&mut self, own: StorePosition) {
        if self.newest.as_ref().is_some_and(|it| it.position <= own) {
            *self = Self::default();
        }
    }
}
