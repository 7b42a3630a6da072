//! A caller for tests: raw HTTP/1.1 that records how an answer arrived and how it ended.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest wait for the next byte of an answer, in seconds. It bounds a hanging test.
const READ_TIMEOUT_S: u64 = 30;

/// Longest line of an answer's head or chunk framing, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers in order; `host` and `content-length` are added.
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

    /// Creates a chat request with one user message.
    pub fn chat(model: &str, text: &str, tokens: u64, stream: bool) -> Self {
        Self::chat_messages(model, &[("user", text)], tokens, stream)
    }

    /// Creates a chat request with several messages (role and text).
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

    /// Sets a JSON body with its content type.
    pub fn json(self, value: &serde_json::Value) -> Self {
        self.header("Content-Type", "application/json").body(value.to_string())
    }

    /// Returns the bytes of the request.
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

    /// Sends the request on a new connection and reads the whole answer.
    ///
    /// # Errors
    /// The connection fails, or it breaks before the head of the answer is complete.
    pub fn send(&self, address: SocketAddr) -> io::Result<CallerResponse> {
        self.start(address).map(ResponseReader::finish)
    }

    /// Sends the request on a new connection and reads the head of the answer.
    ///
    /// # Errors
    /// The connection fails, or it breaks before the head of the answer is complete.
    pub fn start(&self, address: SocketAddr) -> io::Result<ResponseReader> {
        CallerConnection::open(address)?.send(self)
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl CallerConnection {
    /// Connects.
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
    /// The connection is broken.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    /// The connection breaks before the head of the answer is complete, or the head is malformed.
    pub fn send(mut self, request: &CallerRequest) -> io::Result<ResponseReader> {
        let bytes = request.to_bytes(self.address);
        // A server may answer and close before it read the whole request, so a failed write does
        // not mean that there is no answer.
        let _ = self.send_raw(&bytes);
        self.read_head(request.method == "HEAD")
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    /// The connection breaks before the head is complete, or the head is malformed.
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
    io::Error::new(io::ErrorKind::InvalidData, format!("malformed line in the answer: {line:?}"))
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

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// Not read to its end yet.
    Open,
    /// The framing is complete.
    Complete,
    /// The connection ended first.
    Broken(io::ErrorKind),
}

/// An SSE event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerEvent {
    /// Text after `data: `.
    pub data: String,
    /// When the event was complete.
    pub arrived: Instant,
    /// Number of the chunk that completed the event, from 1.
    pub chunk: usize,
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status code.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body without framing.
    pub body: Vec<u8>,
    /// SSE events in the order of arrival; empty for other content.
    pub events: Vec<CallerEvent>,
    /// Chunks, or reads of a body that is not chunked.
    pub chunk_count: usize,
    /// How the answer ended.
    pub end: ResponseEnd,
}

impl CallerResponse {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns whether the framing is complete and, for a stream, the last event is `[DONE]`.
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

    /// Parses the body; `null` if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the answer's tokens: the content of each event except `[DONE]`.
    pub fn tokens(&self) -> Vec<String> {
        self.events.iter().filter_map(|it| token_text(&it.data)).collect()
    }

    /// Returns the text of a chat answer, streamed or not.
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

/// An answer whose head was read; dropping it closes the connection.
#[derive(Debug)]
pub struct ResponseReader {
    connection: CallerConnection,
    response: CallerResponse,
    framing: Framing,
    partial_event: Vec<u8>,
}

impl ResponseReader {
    /// Returns what was received so far.
    pub fn response(&self) -> &CallerResponse {
        &self.response
    }

    /// Reads until `count` events arrived or the answer ended; returns the number of events.
    pub fn read_events(&mut self, count: usize) -> usize {
        while self.response.events.len() < count && self.response.end == ResponseEnd::Open {
            self.read_chunk();
        }
        self.response.events.len()
    }

    /// Reads to the end.
    pub fn finish(mut self) -> CallerResponse {
        self.read_to_end();
        self.response
    }

    /// Reads to the end and gives the connection back for the next request.
    ///
    /// # Errors
    /// The connection cannot be used again.
    pub fn finish_and_reuse(mut self) -> io::Result<(CallerResponse, CallerConnection)> {
        self.read_to_end();
        let is_closing =
            self.response.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        if self.response.end != ResponseEnd::Complete || is_closing {
            return Err(io::Error::other("the connection ended with the answer"));
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
