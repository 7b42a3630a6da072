//! What upstreams say of themselves in their responses: that they leave, and that they want no
//! requests from this host for a time.
//!
//! Both concern one process of an upstream. They hold whatever the platform publishes of it, until
//! its next incarnation.

use std::time::{Duration, Instant};

use super::{UpstreamProcess, UpstreamSet, UpstreamState};
use crate::names::{ServiceName, UpstreamName};

/// Longest pause that an upstream can ask for; a longer one is cut to it.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Share of a pause by which this host extends it at most, so that not all hosts return together.
const PAUSE_SPREAD: f64 = 0.25;

/// Limit on that extension.
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);

/// Largest number of leaving upstreams in a message to another host.
const MAX_SENT_LEAVING: usize = 64;

/// What one process of an upstream said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UpstreamAnnouncement {
    is_leaving: bool,
    paused_until: Option<Instant>,
}

impl UpstreamAnnouncement {
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time until the end of the pause, if there is one.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.paused_until.map(|it| it.saturating_duration_since(now)).filter(|it| !it.is_zero())
    }

    /// Returns whether requests may be sent to the upstream.
    pub(super) fn allows_requests(&self, now: Instant) -> bool {
        !self.is_leaving && self.pause_left(now).is_none()
    }
}

impl UpstreamSet {
    /// Records that a process of an upstream said that it leaves. Returns whether this is new.
    pub fn record_leaving(&mut self, process: &UpstreamProcess) -> bool {
        let state = self.state_of_process(process);
        state.is_some_and(|it| !std::mem::replace(&mut it.announcement.is_leaving, true))
    }

    /// Records that a process of an upstream wants no requests from this host for `pause`, at most
    /// [`MAX_PAUSE`]. `spread` in 0 to 1 chooses by how much this host extends the pause.
    ///
    /// Returns the time until the host sends requests again; none if the process is not known.
    pub fn record_pause(
        &mut self,
        now: Instant,
        process: &UpstreamProcess,
        pause: Duration,
        spread: f64,
    ) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let extension = pause.mul_f64(PAUSE_SPREAD).min(MAX_PAUSE_SPREAD).mul_f64(spread);
        let until = now + pause + extension;
        let announcement = &mut self.state_of_process(process)?.announcement;
        announcement.paused_until = announcement.paused_until.max(Some(until));
        announcement.pause_left(now)
    }

    /// Returns whether an upstream wants no requests from this host at the moment.
    pub fn is_paused(&self, now: Instant, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|it| it.announcement.pause_left(now).is_some())
    }

    /// Returns the time until the first paused upstream of a service takes requests again.
    pub fn earliest_return(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let paused = self.published_to_picks(now, service);
        paused.filter_map(|it| it.announcement.pause_left(now)).min()
    }

    /// Returns the published upstreams that said that they leave, for other hosts.
    pub fn leaving_to_send(&self) -> Vec<UpstreamProcess> {
        let is_leaving =
            |it: &&UpstreamState| it.announcement.is_leaving && it.removed_at.is_none();
        let leaving = self.upstreams.values().filter(is_leaving).take(MAX_SENT_LEAVING);
        let leaving = leaving.map(|it| UpstreamProcess {
            upstream: it.record.name.clone(),
            incarnation: it.record.incarnation,
        });
        leaving.collect()
    }

    fn state_of_process(&mut self, process: &UpstreamProcess) -> Option<&mut UpstreamState> {
        let state = self.upstreams.get_mut(&process.upstream);
        state.filter(|it| it.record.incarnation == process.incarnation)
    }
}
