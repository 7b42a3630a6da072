//! How long a host may wait for others, so that a change of the entries comes into force in time.

use std::time::{Duration, Instant};

use super::peers::REPLY_TIMEOUT;

/// Longest time for which a relay may wait for a change in one request.
const MAX_RELAY_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest such time, which bounds the number of requests.
const MIN_RELAY_WAIT: Duration = Duration::from_millis(100);

/// Times of following, which keep a change within its bound.
///
/// A relay may be frozen: it accepts a request and does not reply. Several may be at the same time, so
/// what counts is the sum of such waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTimes {
    /// Shortest interval between the starts of two watches of the platform. A watch ends at the
    /// first change, so without it each of several changes in quick succession would cost a call. A
    /// quarter of the bound leaves the rest for the call, and for a platform that responds slowly.
    pub min_interval: Duration,
    /// Time for which a relay may wait for a change in one request.
    pub relay_wait: Duration,
    /// Age of the known state at which a request to a relay has to have ended.
    pub max_age: Duration,
}

impl FollowTimes {
    /// Returns the times for a change that has to be in force within `config_bound`; a bound below
    /// 700 ms is not kept while a relay is frozen.
    pub fn new(config_bound: Duration) -> Self {
        let relay_wait = (config_bound / 2).saturating_sub(REPLY_TIMEOUT);
        Self {
            min_interval: config_bound / 4,
            relay_wait: relay_wait.clamp(MIN_RELAY_WAIT, MAX_RELAY_WAIT),
            max_age: config_bound * 3 / 4,
        }
    }

    /// Returns whether a relay may be asked for changes of a state that was current at
    /// `current_at`: if it does not reply, there must be time left to read the platform.
    pub fn allow_relay(&self, now: Instant, current_at: Instant) -> bool {
        now + self.relay_wait + REPLY_TIMEOUT <= current_at + self.max_age
    }
}
