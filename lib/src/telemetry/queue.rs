//! Writes log lines to standard output from a background thread.
//!
//! The queue between the threads is bounded, and a line that finds it full is dropped, so that
//! logging never blocks on a slow reader of standard output.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

use super::log::{TelemetryError, log_subscriber};
use crate::clock::ClockSource;

/// Capacity of the queue: several seconds of log lines of a busy host. Further lines are dropped
/// and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are coalesced into one write, to save system calls and wake-ups.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Handle of the log thread. Dropping it writes the queued lines and joins the thread.
#[derive(Debug)]
pub struct LogQueue {
    sender: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

/// Creates a buffer for each event and enqueues its content as one line.
#[derive(Clone, Debug)]
pub struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts a log thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, QueueWriter)> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let counter = dropped_lines.clone();
        let thread = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&receiver, &counter, output))?;
        let queue = Self { sender: Some(sender.clone()), thread: Some(thread) };
        Ok((queue, QueueWriter { sender, dropped_lines }))
    }
}

impl Drop for LogQueue {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            // An empty line stops the thread. The channel stays open, because the subscriber keeps
            // its sender.
            let _ = sender.send(Vec::new());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, dropped_lines: &AtomicU64, mut output: impl Write) {
    while let Ok(first) = receiver.recv() {
        let mut is_last = first.is_empty();
        if !is_last {
            thread::sleep(BATCH_DELAY);
        }
        let mut batch = first;
        for line in receiver.try_iter() {
            is_last |= line.is_empty();
            batch.extend_from_slice(&line);
        }
        let dropped_count = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            batch.extend_from_slice(
                format!("event=log_lines_dropped count={dropped_count}\n").as_bytes(),
            );
        }
        // A failed write is ignored, because there is no other place to report it.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        if is_last {
            return;
        }
    }
}

impl<'a> MakeWriter<'a> for QueueWriter {
    type Writer = LineBuffer<'a>;

    fn make_writer(&'a self) -> LineBuffer<'a> {
        LineBuffer { writer: self, line: Vec::new() }
    }
}

/// Collects the bytes of one event and enqueues them when dropped.
#[derive(Debug)]
pub struct LineBuffer<'a> {
    writer: &'a QueueWriter,
    line: Vec<u8>,
}

impl Write for LineBuffer<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineBuffer<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(_)) = self.writer.sender.try_send(line) {
            self.writer.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Installs a global subscriber that queues the events that `filter` selects for standard output.
///
/// # Errors
///
/// The filter cannot be parsed, the process already has a global subscriber, or the log thread
/// cannot be started.
pub fn init_log_queue(
    filter: &str,
    clock: Arc<dyn ClockSource>,
) -> Result<LogQueue, TelemetryError> {
    let (queue, writer) = LogQueue::start(io::stdout()).map_err(TelemetryError::Thread)?;
    let subscriber = log_subscriber(filter, clock, writer)?;
    tracing::subscriber::set_global_default(subscriber).map_err(|_| TelemetryError::AlreadySet)?;
    Ok(queue)
}
