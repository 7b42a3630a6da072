//! A socket that hands over few bytes for each poll, and ends when its meter says so.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
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
}

impl MeteredSocket {
    /// Creates the socket of a connection that this process opened; reads fail once `meter` does.
    pub fn outgoing(stream: TcpStream, meter: Arc<IntakeMeter>) -> Self {
        Self { stream, meter: Some(meter), bytes_in_poll: 0, write_stall: None }
    }

    /// Creates the socket of a connection that this process accepted.
    pub fn accepted(stream: TcpStream) -> Self {
        Self { stream, meter: None, bytes_in_poll: 0, write_stall: None }
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
        self.check_write_stall(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write_stall(context, result)
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
