//! Connections of the blocking HTTP client, metered like those of the event loop.

use std::{
    cell::RefCell,
    io::{self, Read},
    sync::Arc,
};

use ureq::{
    Error,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
    },
};

use super::IntakeMeter;

thread_local! {
    /// Meter of the connection that was last read on this thread.
    ///
    /// ureq performs each call on the calling thread, and gives no access to the connection.
    static LAST_METER: RefCell<Option<Arc<IntakeMeter>>> = const { RefCell::new(None) };
}

/// Opens metered connections.
#[derive(Debug, Default)]
pub(crate) struct MeteredConnector(DefaultConnector);

impl Connector<()> for MeteredConnector {
    type Out = MeteredTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.0.connect(details, chained)?;
        Ok(transport.map(|inner| MeteredTransport { inner, meter: IntakeMeter::new() }))
    }
}

/// A connection that fails once it has received far more than was read from its bodies, or a line
/// that its buffer cannot hold. The error is of the kind [`io::ErrorKind::InvalidData`].
#[derive(Debug)]
pub(crate) struct MeteredTransport {
    inner: Box<dyn Transport>,
    meter: Arc<IntakeMeter>,
}

impl Transport for MeteredTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // A request is sent as a whole before its response is read.
        self.meter.restart();
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        LAST_METER.set(Some(self.meter.clone()));
        self.meter.check().map_err(|error| Error::Io(invalid_data(error.to_string())))?;
        // The HTTP library would take the lack of space for the end of the connection.
        if self.inner.buffers().input_append_buf().is_empty() {
            return Err(Error::Io(invalid_data("a line exceeds the read buffer".to_owned())));
        }
        let before = self.inner.buffers().input().len();
        let progress = self.inner.await_input(timeout);
        let after = self.inner.buffers().input().len();
        self.meter.record_received(after.saturating_sub(before));
        progress
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// Returns whether a call failed because its connection was cut off, or its response is no HTTP.
pub(crate) fn is_cut_off(error: &Error) -> bool {
    match error {
        Error::Io(source) => source.kind() == io::ErrorKind::InvalidData,
        Error::LargeResponseHeader(..) | Error::Protocol(_) => true,
        _ => false,
    }
}

/// Returns a reader of the body of the response that was last received on this thread.
///
/// Once the connection is cut off, or the framing of the body is invalid, reads fail with an error
/// of the kind [`io::ErrorKind::InvalidData`].
pub(crate) fn metered_body(body: ureq::Body) -> impl Read + Send + 'static {
    let meter = LAST_METER.with_borrow(Clone::clone).unwrap_or_default();
    MeteredReader { reader: body.into_reader(), meter }
}

/// Reads a body and reports what it reads to the meter of its connection.
struct MeteredReader<R> {
    reader: R,
    meter: Arc<IntakeMeter>,
}

impl<R: Read> Read for MeteredReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.reader.read(buffer).map_err(|error| {
            error.downcast::<Error>().map_or_else(
                |error| error,
                |error| match error {
                    Error::Protocol(_) => invalid_data(error.to_string()),
                    error => error.into_io(),
                },
            )
        })?;
        self.meter.record_delivered(length);
        Ok(length)
    }
}

fn invalid_data(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
