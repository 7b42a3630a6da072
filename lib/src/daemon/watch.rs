//! Threads that watch the platform.

use std::{net::SocketAddr, time::Duration};

use super::RouterTransport;
use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle, PeerReply, PeerRequest},
    platform::{PlatformError, PlatformSource},
    threads::StopSignal,
    upstream::UpstreamClient,
};

/// Longest wait of one configuration watch; 400 hosts make 13 calls/s.
const CONFIG_WAIT: Duration = Duration::from_secs(30);

/// Longest wait of one host list watch; 400 hosts make 200 calls/s.
const MAX_HOSTS_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a single call, so that a planned stop need not wait for it.
const STOP_WAIT: Duration = Duration::from_secs(3);

/// Shortest time between the starts of two reads of the same resource.
///
/// Every change ends the waiting watches of all hosts. Without this bound, 400 hosts that restart
/// within a minute would cause 7 changes/s and 2,700 calls/s, of 2,000/s that the platform serves.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// First pause after a failed read.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed reads; with 400 hosts 80 calls/s reach a platform in trouble.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Pause before the seeds are asked, and between two rounds of asking them.
const SEED_PAUSE: Duration = Duration::from_secs(1);

/// Time until a seed has sent its configuration.
const SEED_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between load rounds while there is no upstream.
const EMPTY_ROUND: Duration = Duration::from_millis(50);

/// Pause between reads, doubled with each failure.
struct RetryPause {
    next: Duration,
}

impl RetryPause {
    fn new() -> Self {
        Self { next: MIN_PAUSE }
    }

    fn reset(&mut self) {
        self.next = MIN_PAUSE;
    }

    /// Waits between half and the whole pause, so that hosts do not return all at once.
    fn wait(&mut self, stop: &StopSignal) {
        let pause = self.next.mul_f64(rand::random_range(0.5..1.0));
        self.next = (self.next * 2).min(MAX_PAUSE);
        stop.wait(pause);
    }
}

/// Reads configuration changes until the stop.
pub(super) fn watch_config(
    platform: &dyn PlatformSource,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
) {
    let mut pause = RetryPause::new();
    while !stop.is_set() {
        let started = clock.now();
        let Some(revision) = control.ask(ControlCommand::SeenRevision) else {
            return;
        };
        match platform.config_after(revision, CONFIG_WAIT.min(STOP_WAIT)) {
            Ok(change) => {
                pause.reset();
                if let Some(change) = change {
                    if change.revision <= revision {
                        // A stale replica answers at once; without a pause this would spin.
                        tracing::warn!(offered = change.revision, known = revision, "config_stale");
                        pause.wait(stop);
                    }
                    control.send(ControlCommand::ConfigRead(change));
                }
                stop.wait(
                    MIN_INTERVAL.saturating_sub(clock.now().saturating_duration_since(started)),
                );
            }
            Err(error) => report(&error, "config", &mut pause, stop),
        }
    }
}

/// Reads the host list until the stop.
pub(super) fn watch_hosts(
    platform: &dyn PlatformSource,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
    validity: Duration,
) {
    // A read counts from its start, so several must end within the validity of a view.
    let wait = MAX_HOSTS_WAIT.min(validity / 3);
    let mut pause = RetryPause::new();
    while !stop.is_set() {
        let Some(version) = control.ask(ControlCommand::ListVersion) else {
            return;
        };
        let started = clock.now();
        match platform.hosts_after(version, wait) {
            Ok(list) => {
                pause.reset();
                if list.as_ref().is_some_and(|it| it.version <= version) {
                    pause.wait(stop);
                }
                control.send(ControlCommand::HostsRead { started, list });
                let interval = MIN_INTERVAL.min(wait);
                stop.wait(interval.saturating_sub(clock.now().saturating_duration_since(started)));
            }
            Err(error) => report(&error, "hosts", &mut pause, stop),
        }
    }
}

fn report(error: &PlatformError, resource: &str, pause: &mut RetryPause, stop: &StopSignal) {
    tracing::warn!(%error, resource, "platform_read_failed");
    pause.wait(stop);
}

/// Learns the host list and the configuration from other hosts while the platform is silent.
///
/// Without this a process that starts during a platform outage would know no peer to ask.
pub(super) fn bootstrap_from_seeds(
    transport: &RouterTransport,
    seeds: &[SocketAddr],
    control: &ControlHandle,
    stop: &StopSignal,
) {
    // A platform that answers is the better source, so it gets the first chance.
    while !stop.wait(SEED_PAUSE) {
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

/// Reads load reports until the stop.
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
        // Without a configuration there is nothing to read yet, and the first read is urgent:
        // an upstream of which nothing is known is limited like a cold one.
        let interval = if round.targets.is_empty() { EMPTY_ROUND } else { round.interval };
        stop.wait(interval.saturating_sub(clock.now().saturating_duration_since(started)));
    }
}
