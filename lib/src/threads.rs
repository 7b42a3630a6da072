//! Groups of threads that are joined when they are dropped, and a signal that stops threads.

use std::{
    io,
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Signal that asks threads to stop; clones share the signal.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Arc<(Mutex<bool>, Condvar)>);

impl StopSignal {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the signal and wakes every waiting thread.
    pub fn set(&self) {
        *self.0.0.lock().expect("stop lock is never poisoned") = true;
        self.0.1.notify_all();
    }

    /// Returns whether the signal is set.
    pub fn is_set(&self) -> bool {
        *self.0.0.lock().expect("stop lock is never poisoned")
    }

    /// Waits up to `timeout` for the signal; returns whether it is set.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut is_set = self.0.0.lock().expect("stop lock is never poisoned");
        while !*is_set {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            is_set =
                self.0.1.wait_timeout(is_set, remaining).expect("stop lock is never poisoned").0;
        }
        true
    }
}

/// Sets a [`StopSignal`] when it is dropped, so that threads also stop if a start fails halfway.
#[derive(Debug, Default)]
pub struct StopGuard(StopSignal);

impl StopGuard {
    /// Creates a guard with a new signal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the signal that the guard sets.
    pub fn signal(&self) -> &StopSignal {
        &self.0
    }
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.0.set();
    }
}

/// A group of threads; dropping the group joins them.
#[derive(Debug, Default)]
pub struct ThreadGroup {
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl ThreadGroup {
    /// Creates an empty group.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a thread, and joins the threads of the group that have ended.
    pub fn spawn(&self, name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
        let mut threads = self.threads.lock().expect("thread list is never poisoned");
        let ended: Vec<usize> =
            (0..threads.len()).rev().filter(|it| threads[*it].is_finished()).collect();
        for index in ended {
            join(threads.swap_remove(index));
        }
        threads.push(thread);
        Ok(())
    }

    /// Returns the number of threads that still run.
    pub fn running(&self) -> usize {
        let threads = self.threads.lock().expect("thread list is never poisoned");
        threads.iter().filter(|it| !it.is_finished()).count()
    }

    /// Waits until all threads of the group have ended.
    pub fn join(&self) {
        let threads =
            std::mem::take(&mut *self.threads.lock().expect("thread list is never poisoned"));
        for thread in threads {
            join(thread);
        }
    }
}

impl Drop for ThreadGroup {
    fn drop(&mut self) {
        self.join();
    }
}

fn join(thread: JoinHandle<()>) {
    let name = thread.thread().name().unwrap_or_default().to_owned();
    if thread.join().is_err() {
        tracing::error!(thread = %name, "thread_panicked");
    }
}
