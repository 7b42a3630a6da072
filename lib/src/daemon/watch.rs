//! Threads that read the platform, the seed hosts and the load reports of upstreams.

use std::{net::SocketAddr, time::Duration};

use super::RouterTransport;
use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle, PeerReply, PeerRequest},
    platform::{PlatformError, PlatformSource},
    threads::StopSignal,
    upstream::UpstreamClient,
};

/// Longest wait of one configuration watch, with which 400 hosts make 13 calls/s;
/// [`MAX_CALL_WAIT`] limits it further.
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(30);

/// Longest wait of one host list watch, with which 400 hosts make 200 calls/s.
const MAX_HOSTS_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a single call; a planned stop waits until the call has returned.
const MAX_CALL_WAIT: Duration = Duration::from_secs(3);

/// Shortest time between the starts of two reads of the same resource.
///
/// Every change ends the pending watches of all hosts. Without this bound, 400 hosts that restart
/// within a minute would cause 7 changes/s and 2,700 calls/s, while the platform serves 2,000/s.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest delay after failed reads; with it, 400 hosts send 80 calls/s to a failing platform.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Delay before the first round of requests to the seed hosts, and between rounds.
const SEED_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for each reply of a seed host.
const SEED_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between load rounds while no upstream is configured.
const EMPTY_ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after a failed read, doubled with each failure up to [`MAX_BACKOFF`].
struct RetryBackoff {
    next_delay: Duration,
}

impl RetryBackoff {
    fn new() -> Self {
        Self { next_delay: MIN_BACKOFF }
    }

    fn reset(&mut self) {
        self.next_delay = MIN_BACKOFF;
    }

    /// Waits for a random part of the delay, at least half of it, so that the hosts do not retry
    /// at the same time.
    fn wait(&mut self, stop: &StopSignal) {
        let delay = self.next_delay.mul_f64(rand::random_range(0.5..1.0));
        self.next_delay = (self.next_delay * 2).min(MAX_BACKOFF);
        stop.wait(delay);
    }
}

/// Reads configuration changes until the stop signal is set.
pub(super) fn watch_config(
    platform: &dyn PlatformSource,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
) {
    let mut backoff = RetryBackoff::new();
    while !stop.is_set() {
        let started = clock.now();
        let Some(revision) = control.ask(ControlCommand::SeenRevision) else {
            return;
        };
        match platform.config_after(revision, MAX_CONFIG_WAIT.min(MAX_CALL_WAIT)) {
            Ok(change) => {
                backoff.reset();
                if let Some(change) = change {
                    if change.revision <= revision {
                        // A stale replica responds at once; without a delay this loop would spin.
                        tracing::warn!(offered = change.revision, known = revision, "config_stale");
                        backoff.wait(stop);
                    }
                    control.send(ControlCommand::ConfigRead(change));
                }
                stop.wait(
                    MIN_READ_INTERVAL
                        .saturating_sub(clock.now().saturating_duration_since(started)),
                );
            }
            Err(error) => log_and_back_off(&error, "config", &mut backoff, stop),
        }
    }
}

/// Reads the host list until the stop signal is set.
pub(super) fn watch_hosts(
    platform: &dyn PlatformSource,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
    validity: Duration,
) {
    // A read confirms the view as of its start, so several reads have to end within the validity of
    // a view.
    let wait = MAX_HOSTS_WAIT.min(validity / 3);
    let mut backoff = RetryBackoff::new();
    while !stop.is_set() {
        let Some(version) = control.ask(ControlCommand::ListVersion) else {
            return;
        };
        let started = clock.now();
        match platform.hosts_after(version, wait) {
            Ok(list) => {
                backoff.reset();
                if list.as_ref().is_some_and(|it| it.version <= version) {
                    backoff.wait(stop);
                }
                control.send(ControlCommand::HostsRead { started, list });
                let interval = MIN_READ_INTERVAL.min(wait);
                stop.wait(interval.saturating_sub(clock.now().saturating_duration_since(started)));
            }
            Err(error) => log_and_back_off(&error, "hosts", &mut backoff, stop),
        }
    }
}

fn log_and_back_off(
    error: &PlatformError,
    resource: &str,
    backoff: &mut RetryBackoff,
    stop: &StopSignal,
) {
    tracing::warn!(%error, resource, "platform_read_failed");
    backoff.wait(stop);
}

/// Reads the host list and the configuration from the seed hosts until a host list is known.
///
/// Without this, a process that starts during an outage of the platform would know no peers.
pub(super) fn bootstrap_from_seeds(
    transport: &RouterTransport,
    seeds: &[SocketAddr],
    control: &ControlHandle,
    stop: &StopSignal,
) {
    // The platform is the preferred source, so it has time to respond before the seeds are asked.
    while !stop.wait(SEED_INTERVAL) {
        match control.ask(ControlCommand::ListVersion) {
            Some(0) => {}
            Some(_) | None => return,
        }
        for seed in seeds {
            let list = transport.call(*seed, &PeerRequest::HostList, SEED_TIMEOUT);
            let config = transport.call(*seed, &PeerRequest::ConfigSince(0), SEED_TIMEOUT);
            if let Ok(PeerReply::Config(change)) = config {
                control.send(ControlCommand::ConfigRead(change));
            }
            if let Ok(PeerReply::HostList(list)) = list
                && list.version > 0
            {
                control.send(ControlCommand::HostsFromPeer(list));
                return;
            }
        }
    }
}

/// Reads load reports until the stop signal is set.
pub(super) fn read_loads(
    upstream: &dyn UpstreamClient,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
) {
    while !stop.is_set() {
        let started = clock.now();
        let Some(round) = control.ask(ControlCommand::LoadRound) else {
            return;
        };
        let mut reports = Vec::with_capacity(round.targets.len());
        for target in &round.targets {
            match upstream.read_load(target.address) {
                Ok(report) => reports.push((target.upstream.clone(), report)),
                Err(error) => {
                    tracing::debug!(upstream = %target.upstream, %error, "load_read_failed");
                }
            }
            if stop.is_set() {
                return;
            }
        }
        control.send(ControlCommand::LoadsRead(reports));
        // An upstream without a load report is limited like a cold one, so the first reports are
        // read soon after the configuration arrives.
        let interval = if round.targets.is_empty() { EMPTY_ROUND_INTERVAL } else { round.interval };
        stop.wait(interval.saturating_sub(clock.now().saturating_duration_since(started)));
    }
}
