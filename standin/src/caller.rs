//! An HTTP/1.1 client for tests that records how a response arrives and how it ends.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest wait for the next bytes of a response, in seconds. It keeps a test from hanging.
const READ_TIMEOUT_S: u64 = 30;

/// Longest line in the head or chunk framing of a response, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// A request of a test client.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers in order, without `host` and `content-length`, which are added when the request is
    /// sent.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Creates a request without headers and body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a chat request with one user message and `max_tokens` set to `tokens`.
    pub fn chat(model: &str, text: &str, tokens: u64, stream: bool) -> Self {
        Self::chat_messages(model, &[("user", text)], tokens, stream)
    }

    /// Creates a chat request with several messages (role and text) and `max_tokens` set to
    /// `tokens`.
    pub fn chat_messages(model: &str, turns: &[(&str, &str)], tokens: u64, stream: bool) -> Self {
        let messages: Vec<_> = turns
            .iter()
            .map(|(role, text)| serde_json::json!({ "role": role, "content": text }))
            .collect();
        Self::new("POST", "/v1/chat/completions").json(&serde_json::json!({
            "model": model,
            "messages": messages,
            "max_tokens": tokens,
            "stream": stream,
        }))
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds `Authorization: Bearer KEY`.
    pub fn bearer_key(self, key: &str) -> Self {
        self.header("Authorization", &format!("Bearer {key}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body and its content type.
    pub fn json(self, value: &serde_json::Value) -> Self {
        self.header("Content-Type", "application/json").body(value.to_string())
    }

    /// Serialises the request for a server at `host`.
    pub fn to_bytes(&self, host: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || !matches!(self.method.as_str(), "GET" | "HEAD") {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the response to its end.
    ///
    /// # Errors
    /// The connection fails, or it ends before the head of the response is complete.
    pub fn send(&self, address: SocketAddr) -> io::Result<CallerResponse> {
        self.start(address).map(ResponseReader::finish)
    }

    /// Sends the request on a new connection and reads the head of the response.
    ///
    /// # Errors
    /// The connection fails, or it ends before the head of the response is complete.
    pub fn start(&self, address: SocketAddr) -> io::Result<ResponseReader> {
        CallerConnection::open(address)?.send(self)
    }
}

/// A client connection.
#[derive(Debug)]
pub struct CallerConnection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl CallerConnection {
    /// Connects to a server.
    ///
    /// # Errors
    /// The connection is refused or takes longer than 5 s.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(READ_TIMEOUT_S)))?;
        stream.set_write_timeout(Some(Duration::from_secs(READ_TIMEOUT_S)))?;
        Ok(Self { address, reader: BufReader::new(stream) })
    }

    /// Sends bytes that need not be a valid request.
    ///
    /// # Errors
    /// The connection is closed or reset.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// The connection ends before the head of the response is complete, or the head is malformed.
    pub fn send(mut self, request: &CallerRequest) -> io::Result<ResponseReader> {
        let bytes = request.to_bytes(self.address);
        // A server may respond and close the connection before it has read the full request, so a
        // failed write does not mean that there is no response.
        let _ = self.send_raw(&bytes);
        self.read_head(request.method == "HEAD")
    }

    /// Reads the head of the next response and skips interim (1xx) ones. `is_head_only` says that
    /// the response has no body because the request was a `HEAD` request.
    ///
    /// # Errors
    /// The connection ends before the head is complete, or the head is malformed.
    pub fn read_head(mut self, is_head_only: bool) -> io::Result<ResponseReader> {
        loop {
            let status_line = read_line(&mut self.reader)?;
            let status: u16 = status_line
                .split(' ')
                .nth(1)
                .and_then(|it| it.parse().ok())
                .ok_or_else(|| malformed_line(&status_line))?;
            let mut headers = Vec::new();
            loop {
                let line = read_line(&mut self.reader)?;
                if line.is_empty() {
                    break;
                }
                let (name, value) = line.split_once(':').ok_or_else(|| malformed_line(&line))?;
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            if (100..200).contains(&status) {
                continue;
            }
            let find = |name: &str| headers.iter().find(|it| it.0 == name).map(|it| &it.1);
            let framing = if is_head_only || status == 204 || status == 304 {
                Framing::Length(0)
            } else if find("transfer-encoding").is_some() {
                Framing::Chunked
            } else if let Some(length) = find("content-length") {
                Framing::Length(length.parse().map_err(|_| malformed_line(length))?)
            } else {
                Framing::UntilClose
            };
            return Ok(ResponseReader {
                connection: self,
                response: CallerResponse {
                    status,
                    headers,
                    body: Vec::new(),
                    events: Vec::new(),
                    chunk_count: 0,
                    end: ResponseEnd::Open,
                },
                framing,
                partial_event: Vec::new(),
            });
        }
    }
}

fn malformed_line(line: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("malformed line in the response: {line:?}"))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    reader.take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|err| malformed_line(&err.to_string()))
}

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response has not been read to its end.
    Open,
    /// The body ended as its framing says.
    Complete,
    /// The connection ended or failed before the body was complete.
    Broken(io::ErrorKind),
}

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerEvent {
    /// Text after `data: `.
    pub data: String,
    /// When the last byte of the event was read.
    pub arrived: Instant,
    /// Number of the chunk that completed the event, counted from 1.
    pub chunk: usize,
}

/// A response as far as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status code.
    pub status: u16,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Server-sent events in the order of arrival; empty for other content types.
    pub events: Vec<CallerEvent>,
    /// Number of chunks, or of reads if the body is not chunked.
    pub chunk_count: usize,
    /// How the response ended.
    pub end: ResponseEnd,
}

impl CallerResponse {
    /// Returns the first header with `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns whether the body is complete and, for an event stream, ends with `[DONE]`.
    pub fn is_complete(&self) -> bool {
        let is_stream =
            self.header("content-type").is_some_and(|it| it.starts_with("text/event-stream"));
        let is_done = || self.events.last().is_some_and(|it| it.data == "[DONE]");
        self.end == ResponseEnd::Complete && (!is_stream || is_done())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON; returns `null` if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the tokens of a chat stream: the content of each event except `[DONE]`.
    pub fn tokens(&self) -> Vec<String> {
        self.events.iter().filter_map(|it| token_text(&it.data)).collect()
    }

    /// Returns the text of a chat response, streamed or not.
    pub fn chat_text(&self) -> String {
        if self.events.is_empty() {
            let body = self.json();
            body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
        } else {
            self.tokens().concat()
        }
    }
}

fn token_text(data: &str) -> Option<String> {
    let event: serde_json::Value = serde_json::from_str(data).ok()?;
    event["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
}

/// A response whose head has been read. Dropping the reader closes the connection.
#[derive(Debug)]
pub struct ResponseReader {
    connection: CallerConnection,
    response: CallerResponse,
    framing: Framing,
    partial_event: Vec<u8>,
}

impl ResponseReader {
    /// Returns the part of the response that has been read.
    pub fn response(&self) -> &CallerResponse {
        &self.response
    }

    /// Reads until `count` events have arrived or the response has ended. Returns the number of
    /// events.
    pub fn read_events(&mut self, count: usize) -> usize {
        while self.response.events.len() < count && self.response.end == ResponseEnd::Open {
            self.read_chunk();
        }
        self.response.events.len()
    }

    /// Reads the response to its end.
    pub fn finish(mut self) -> CallerResponse {
        self.read_to_end();
        self.response
    }

    /// Reads the response to its end and returns the connection for another request.
    ///
    /// # Errors
    /// The response is incomplete, or the server closes the connection after it.
    pub fn finish_and_reuse(mut self) -> io::Result<(CallerResponse, CallerConnection)> {
        self.read_to_end();
        let is_closing =
            self.response.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        if self.response.end != ResponseEnd::Complete || is_closing {
            return Err(io::Error::other("the connection cannot be reused after this response"));
        }
        Ok((self.response, self.connection))
    }

    fn read_to_end(&mut self) {
        while self.response.end == ResponseEnd::Open {
            self.read_chunk();
        }
    }

    fn read_chunk(&mut self) {
        match self.try_read_chunk() {
            Ok(Some(chunk)) => self.append_chunk(&chunk),
            Ok(None) => self.response.end = ResponseEnd::Complete,
            Err(err) => self.response.end = ResponseEnd::Broken(err.kind()),
        }
    }

    /// Reads the next chunk, or `None` at the end of the body.
    fn try_read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let reader = &mut self.connection.reader;
        match self.framing {
            Framing::Chunked => {
                let line = read_line(reader)?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let length =
                    usize::from_str_radix(digits, 16).map_err(|_| malformed_line(&line))?;
                if length == 0 {
                    while !read_line(reader)?.is_empty() {}
                    return Ok(None);
                }
                let mut chunk = vec![0; length];
                reader.read_exact(&mut chunk)?;
                if !read_line(reader)?.is_empty() {
                    return Err(malformed_line("no line end after a chunk"));
                }
                Ok(Some(chunk))
            }
            Framing::Length(length) if self.response.body.len() >= length => Ok(None),
            Framing::Length(length) => {
                let mut chunk = vec![0; (length - self.response.body.len()).min(64 * 1024)];
                let read = reader.read(&mut chunk)?;
                if read == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                chunk.truncate(read);
                Ok(Some(chunk))
            }
            Framing::UntilClose => {
                let mut chunk = vec![0; 64 * 1024];
                let read = reader.read(&mut chunk)?;
                chunk.truncate(read);
                Ok((read > 0).then_some(chunk))
            }
        }
    }

    /// Appends a chunk to the body and parses the events that it completes.
    fn append_chunk(&mut self, chunk: &[u8]) {
        self.response.chunk_count += 1;
        self.response.body.extend_from_slice(chunk);
        let is_stream = self
            .response
            .header("content-type")
            .is_some_and(|it| it.starts_with("text/event-stream"));
        if !is_stream {
            return;
        }
        self.partial_event.extend_from_slice(chunk);
        while let Some(end) = self.partial_event.windows(2).position(|it| it == b"\n\n") {
            let event: Vec<u8> = self.partial_event.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            if let Some(data) = text.trim_end().strip_prefix("data:") {
                self.response.events.push(CallerEvent {
                    data: data.trim_start().to_owned(),
                    arrived: Instant::now(),
                    chunk: self.response.chunk_count,
                });
            }
        }
    }
}
