//! Threads that watch the platform.

use std::time::Duration;

use crate::{
    clock::ClockSource,
    control::{ControlCommand, ControlHandle},
    platform::{PlatformError, PlatformSource},
    threads::StopSignal,
};

/// Longest wait of one configuration watch; 400 hosts make 13 calls/s.
const CONFIG_WAIT: Duration = Duration::from_secs(30);

/// Longest wait of one host list watch; a view needs a read within its validity.
const HOSTS_WAIT: Duration = Duration::from_secs(3);

/// Longest wait of a single call, so that a planned stop need not wait for it.
const STOP_WAIT: Duration = Duration::from_secs(3);

/// First pause after a failed read.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed reads; with 400 hosts 80 calls/s reach a platform in trouble.
const MAX_PAUSE: Duration = Duration::from_secs(5);

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
    control: &ControlHandle,
    stop: &StopSignal,
) {
    let mut pause = RetryPause::new();
    while !stop.is_set() {
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
            }
            Err(error) => report(&error, "config_read_failed", &mut pause, stop),
        }
    }
}

/// Reads the host list until the stop.
pub(super) fn watch_hosts(
    platform: &dyn PlatformSource,
    clock: &dyn ClockSource,
    control: &ControlHandle,
    stop: &StopSignal,
) {
    let mut pause = RetryPause::new();
    while !stop.is_set() {
        let Some(version) = control.ask(ControlCommand::ListVersion) else {
            return;
        };
        let started = clock.now();
        match platform.hosts_after(version, HOSTS_WAIT) {
            Ok(list) => {
                pause.reset();
                if list.as_ref().is_some_and(|it| it.version <= version) {
                    pause.wait(stop);
                }
                control.send(ControlCommand::HostsRead { started, list });
            }
            Err(error) => report(&error, "host_list_read_failed", &mut pause, stop),
        }
    }
}

fn report(error: &PlatformError, event: &str, pause: &mut RetryPause, stop: &StopSignal) {
    tracing::warn!(%error, event, "platform_read_failed");
    pause.wait(stop);
}
