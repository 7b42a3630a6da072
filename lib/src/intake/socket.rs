//! A socket that hands over few bytes for each poll, ends when its meter says so, and tells the end of
//! a stream from a reset.

use std::{
    io::{self, IoSlice},
    mem::{self, MaybeUninit},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use super::IntakeMeter;

/// Bytes after which the reader of a socket yields to other tasks.
pub const BYTES_PER_POLL: usize = 16 << 10;

/// Time without progress of a write after which the connection of a caller fails. What waits for a
/// caller that does not read takes memory.
pub const MAX_WRITE_STALL: Duration = Duration::from_secs(30);

/// A TCP connection whose reads are bounded.
///
/// The HTTP library reads on in one poll for as long as the socket has bytes. This socket is not
/// ready after [`BYTES_PER_POLL`], and wakes its task at once.
#[derive(Debug)]
pub struct MeteredSocket {
    stream: TcpStream,
    /// `None` for connections that are bounded by their HTTP server alone.
    meter: Option<Arc<IntakeMeter>>,
    /// Bytes read since the socket was last not ready.
    bytes_in_poll: usize,
    /// Ends a write that makes no progress; `None` while none waits, and for connections that this
    /// process opened.
    write_stall: Option<Pin<Box<Sleep>>>,
    /// Whether the last write had to wait, so that only a part of a message has been sent.
    is_write_waiting: bool,
    /// Whether the end of the stream was reached, and is reported once no write waits.
    is_end_deferred: bool,
}

impl MeteredSocket {
    /// Creates the socket of a connection that this process opened; reads fail once `meter` does.
    ///
    /// A response without a length ends with the stream, and is not complete if the request is
    /// answered with a reset. Hence the end is not reported while a write waits, and reading fails
    /// if a reset has arrived by then. A later one is not noticed.
    pub fn outgoing(stream: TcpStream, meter: Arc<IntakeMeter>) -> Self {
        Self::new(stream, Some(meter))
    }

    /// Creates the socket of a connection that this process accepted.
    pub fn accepted(stream: TcpStream) -> Self {
        Self::new(stream, None)
    }

    fn new(stream: TcpStream, meter: Option<Arc<IntakeMeter>>) -> Self {
        Self {
            stream,
            meter,
            bytes_in_poll: 0,
            write_stall: None,
            is_write_waiting: false,
            is_end_deferred: false,
        }
    }

    /// Checks whether the end of the stream, which was read, may be reported.
    fn check_end(&mut self) -> Poll<io::Result<()>> {
        if self.is_write_waiting {
            // The result of the write wakes the task.
            self.is_end_deferred = true;
            self.bytes_in_poll = 0;
            return Poll::Pending;
        }
        // A reset after the end of the stream is not seen by reading.
        Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err))
    }

    /// Notes whether a write waits, and passes its result on.
    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.is_write_waiting = result.is_pending();
        if !self.is_write_waiting && mem::take(&mut self.is_end_deferred) {
            context.waker().wake_by_ref();
        }
        self.check_write_stall(context, result)
    }

    /// Passes the result of a write on; fails if the writes of an accepted connection have waited
    /// for [`MAX_WRITE_STALL`].
    fn check_write_stall(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.write_stall = None;
            return result;
        }
        if self.meter.is_some() {
            return result;
        }
        let stall = self.write_stall.get_or_insert_with(|| Box::pin(sleep(MAX_WRITE_STALL)));
        ready!(stall.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(meter) = &self.meter {
            meter.check().map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        }
        let limit = BYTES_PER_POLL.saturating_sub(self.bytes_in_poll);
        if limit == 0 {
            self.bytes_in_poll = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut space = [MaybeUninit::uninit(); BYTES_PER_POLL];
        let mut part = ReadBuf::uninit(&mut space[..limit.min(buffer.remaining())]);
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        if result.is_pending() {
            self.bytes_in_poll = 0;
        }
        ready!(result)?;
        let length = part.filled().len();
        if length == 0 && self.meter.is_some() {
            ready!(self.check_end())?;
        }
        buffer.put_slice(part.filled());
        self.bytes_in_poll += length;
        if let Some(meter) = &self.meter {
            meter.record_received(length);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.after_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
