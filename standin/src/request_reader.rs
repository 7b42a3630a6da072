//! Reads HTTP/1.1 requests from a connection.

use std::io::{self, Read};

/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Size of one read from the connection, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A request as it was received.
pub(crate) struct ReceivedRequest {
    pub(crate) method: String,
    /// Path with query.
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns whether the caller asked to close the connection after the response.
    pub(crate) fn is_last(&self) -> bool {
        header(&self.headers, "connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Why no request was read. After any of these the connection cannot be used further.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection ended between two requests or within one.
    Closed,
    /// The bytes are not an HTTP/1.1 request.
    Malformed,
    /// The body is longer than [`MAX_BODY_BYTES`].
    BodyTooLarge,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

/// Splits the bytes of a connection into requests.
pub(crate) struct RequestReader<R> {
    source: R,
    /// Received bytes that no request contained yet.
    buffer: Vec<u8>,
}

impl<R: Read> RequestReader<R> {
    pub(crate) fn new(source: R) -> Self {
        Self { source, buffer: Vec::new() }
    }

    /// Reads the next request with its body.
    ///
    /// # Errors
    ///
    /// See [`ReadError`].
    pub(crate) fn next_request(&mut self) -> Result<ReceivedRequest, ReadError> {
        let mut request = loop {
            if let Some(request) = self.take_head()? {
                break request;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill()?;
        };
        request.body = match header(&request.headers, "transfer-encoding") {
            Some(encoding) if encoding.eq_ignore_ascii_case("chunked") => self.read_chunks()?,
            Some(_) => return Err(ReadError::Malformed),
            None => {
                let length = header(&request.headers, "content-length").unwrap_or("0");
                let length = length.trim().parse().map_err(|_| ReadError::Malformed)?;
                if length > MAX_BODY_BYTES {
                    return Err(ReadError::BodyTooLarge);
                }
                self.take(length)?
            }
        };
        Ok(request)
    }

    /// Removes a complete head from the buffer; returns none if there is only a part of one.
    fn take_head(&mut self) -> Result<Option<ReceivedRequest>, ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ReadError::Malformed),
        };
        let text = |it: &[u8]| String::from_utf8_lossy(it).into_owned();
        let request = ReceivedRequest {
            method: head.method.unwrap_or_default().to_owned(),
            target: head.path.unwrap_or_default().to_owned(),
            headers: head.headers.iter().map(|it| (it.name.to_owned(), text(it.value))).collect(),
            body: Vec::new(),
        };
        self.buffer.drain(..length);
        Ok(Some(request))
    }

    /// Reads a chunked body, and discards its trailers.
    fn read_chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let (line, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete(parsed)) => break parsed,
                    Ok(httparse::Status::Partial) => self.fill()?,
                    Err(_) => return Err(ReadError::Malformed),
                }
            };
            self.buffer.drain(..line);
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            let size = usize::try_from(size).map_err(|_| ReadError::BodyTooLarge)?;
            if size > MAX_BODY_BYTES - body.len() {
                return Err(ReadError::BodyTooLarge);
            }
            body.extend(self.take(size)?);
            if !self.take_line()?.is_empty() {
                return Err(ReadError::Malformed);
            }
        }
    }

    /// Removes a line and its end from the buffer.
    fn take_line(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> Result<(), ReadError> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.source.read(&mut self.buffer[start..]);
        self.buffer.truncate(start + read.as_ref().copied().unwrap_or(0));
        if read? == 0 { Err(ReadError::Closed) } else { Ok(()) }
    }
}

pub(crate) fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}
