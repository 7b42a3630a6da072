//! The `stakker` actor that owns the control state, and the thread that runs it.

use std::{
    io,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use stakker::{
    ActorOwn, CX, Stakker, StopCause, actor, after, fwd_to, ret_nop,
    sync::{Channel, ChannelGuard},
};

use super::{command::ControlCommand, handle::ControlHandle, state::ControlState};
use crate::clock::ClockSource;

/// Interval of the periodic work of the control actor.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which the control thread sleeps without work.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Creates the state on the control thread, given a handle of the actor that will own it.
type StateFactory = Box<dyn FnOnce(Instant, ControlHandle) -> ControlState + Send>;

struct ControlActor {
    state: ControlState,
    /// Closes the command channel when the actor ends.
    _guard: ChannelGuard,
}

impl ControlActor {
    fn init(
        cx: CX![],
        make_state: StateFactory,
        handle_reply: SyncSender<ControlHandle>,
    ) -> Option<Self> {
        let commands = fwd_to!([cx], command() as (ControlCommand));
        let (channel, guard) = Channel::new(cx, commands);
        let handle = ControlHandle::new(channel);
        let state = make_state(cx.now(), handle.clone());
        let _ = handle_reply.send(handle);
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self { state, _guard: guard })
    }

    fn command(&mut self, cx: CX![], command: ControlCommand) {
        self.state.handle(cx.now(), command);
    }

    fn tick(&mut self, cx: CX![]) {
        self.state.tick(cx.now());
        after!(TICK_INTERVAL, [cx], tick());
    }
}

enum ThreadSignal {
    Wake,
    Stop,
}

/// The thread of the control actor; dropping this ends the actor and joins the thread.
pub struct ControlThread {
    handle: ControlHandle,
    signal: SyncSender<ThreadSignal>,
    thread: Option<JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread and its actor; `make_state` creates the state on the new thread.
    pub fn start(
        clock: Arc<dyn ClockSource>,
        make_state: impl FnOnce(Instant, ControlHandle) -> ControlState + Send + 'static,
    ) -> io::Result<Self> {
        // Capacity for one wake-up and one stop. A single pending wake-up is enough, because the
        // actor then handles all queued commands.
        let (signal, signals) = sync_channel(2);
        let (reply, handles) = sync_channel(1);
        let make_state: StateFactory = Box::new(make_state);
        let waker = signal.clone();
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || run(&*clock, make_state, waker, &signals, reply))?;
        let handle = handles.recv().map_err(|_| io::Error::other("control thread ended"))?;
        Ok(Self { handle, signal, thread: Some(thread) })
    }

    /// Returns a handle through which other threads send commands.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        let _ = self.signal.send(ThreadSignal::Stop);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("control_thread_panicked");
        }
    }
}

fn run(
    clock: &dyn ClockSource,
    make_state: StateFactory,
    waker: SyncSender<ThreadSignal>,
    signals: &Receiver<ThreadSignal>,
    reply: SyncSender<ControlHandle>,
) {
    let start = clock.now();
    let mut stakker = Stakker::new(start);
    stakker.set_poll_waker(move || match waker.try_send(ThreadSignal::Wake) {
        Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
    });
    let _actor: ActorOwn<ControlActor> =
        actor!(stakker, ControlActor::init(make_state, reply), ret_nop!());
    let mut is_idle_pending = stakker.run(clock.now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(clock.now(), MAX_SLEEP, is_idle_pending);
        match signals.recv_timeout(sleep) {
            Ok(ThreadSignal::Wake) => stakker.poll_wake(),
            Ok(ThreadSignal::Stop) => stakker.shutdown(StopCause::Stopped),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        is_idle_pending = stakker.run(clock.now(), false);
    }
}
