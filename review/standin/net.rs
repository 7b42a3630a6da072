//! A small HTTP/1.1 client and server over blocking sockets. Messages are written as bytes, so that
//! a stand-in can answer wrongly on purpose.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request as a stand-in received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map_or("", |it| it.1.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Handles one request on its connection; returns whether the connection stays open.
pub type Handler = dyn Fn(&Received, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Starts a server on a free port of the address, with a thread for each connection. It runs until
/// the process ends.
pub fn serve(ip: &str, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(address)
}

/// Serves one connection until it ends.
pub fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Received, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
    found.map(|it| it.1.as_str())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Received>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body, None)?;
    } else if let Some(length) = find(&headers, "content-length").and_then(|it| it.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Received { target, headers }))
}

fn read_chunks(
    reader: &mut impl BufRead,
    body: &mut Vec<u8>,
    end: Option<Instant>,
) -> io::Result<()> {
    loop {
        if end.is_some_and(|it| Instant::now() >= it) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut message = text.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    Ok(true)
}

/// Writes the head of a response whose body is sent in chunks.
pub fn respond_chunked(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut message = format!("{:x}\r\n", bytes.len()).into_bytes();
    message.extend_from_slice(bytes);
    message.extend_from_slice(b"\r\n");
    stream.write_all(&message)
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A connection of a client; it is closed when it is dropped.
pub struct Connection {
    reader: BufReader<TcpStream>,
    /// Whether the head of an answer to the last request has arrived.
    pub has_head: bool,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream), has_head: false })
    }

    /// Sends a request and reads the complete answer. Gives up after `limit` without a byte, and
    /// after `limit` at the next part of the body.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> io::Result<Answer> {
        self.send(head, body)?;
        self.receive(limit)
    }

    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        self.has_head = false;
        let mut message = head.as_bytes().to_vec();
        if !body.is_empty() {
            message.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(body);
        self.reader.get_mut().write_all(&message)
    }

    pub fn receive(&mut self, limit: Duration) -> io::Result<Answer> {
        let end = Instant::now() + limit;
        self.reader.get_mut().set_read_timeout(Some(limit))?;
        let line = read_line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        self.has_head = true;
        let mut body = Vec::new();
        if find(&headers, "transfer-encoding").is_some() {
            read_chunks(&mut self.reader, &mut body, Some(end))?;
        } else if let Some(length) = find(&headers, "content-length").and_then(|it| it.parse().ok())
        {
            body.resize(length, 0);
            self.reader.read_exact(&mut body)?;
        } else {
            self.reader.read_to_end(&mut body)?;
        }
        Ok(Answer { status, headers, body })
    }
}
