//! Tests of the HTTP server that the stand-ins share.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use snipepond_standin::{CallerRequest, ServiceServer, ServiceSettings};

const SERVERS: usize = 40;

const CONNECTIONS: usize = 6;

/// Only a failing test waits this long.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> ServiceServer {
    let settings = ServiceSettings { duration: Duration::ZERO, ..ServiceSettings::default() };
    ServiceServer::start(settings).expect("the service starts")
}

fn connect(service: &ServiceServer) -> TcpStream {
    let stream = TcpStream::connect(service.address()).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("an open socket");
    stream
}

/// Reads until the bytes received end with `end`.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while !received.ends_with(end.as_bytes()) {
        let read = stream.read(&mut buffer).expect("a response in time");
        assert!(read > 0, "closed after {:?}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8(received).expect("text")
}

/// Guards against a connection whose request waits until another connection, which is idle but
/// open, is closed.
#[test]
fn connections_that_arrive_together_are_all_served() {
    for _ in 0..SERVERS {
        let service = start();
        let callers: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let mut stream = connect(&service);
                thread::spawn(move || {
                    stream.write_all(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
                    read_until(&mut stream, "}");
                    stream
                })
            })
            .collect();
        // The connections stay open until the last one was served.
        let streams: Vec<_> = callers.into_iter().map(|it| it.join().expect("served")).collect();
        drop(streams);
    }
}

/// Guards against a request that is read as a part of the one before it.
#[test]
fn pipelined_requests_are_served_in_order() {
    let service = start();
    let mut stream = connect(&service);
    let requests = "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab\
                    GET /two HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(requests.as_bytes()).expect("sent");
    let mut text = read_until(&mut stream, "}");
    if !text.contains("/two") {
        text += &read_until(&mut stream, "}");
    }
    let one = text.find("/one").expect("a response to the first request");
    let two = text.find("/two").expect("a response to the second request");
    assert!(one < two);
}

/// Guards against a chunked body that is lost, or read as the next request.
#[test]
fn chunked_body_is_read() {
    let service = start();
    let mut stream = connect(&service);
    let request = "POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\ntwo\r\n5;x=y\r\n cups\r\n0\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    assert!(read_until(&mut stream, "}").contains("two cups"));
}

/// Guards against bytes that are no request and end more than their own connection.
#[test]
fn malformed_request_closes_its_connection_only() {
    let service = start();
    for request in ["\0\0\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"] {
        let mut stream = connect(&service);
        stream.write_all(request.as_bytes()).expect("sent");
        assert_eq!(stream.read(&mut [0; 1]).expect("the connection is closed"), 0);
    }
    let response = CallerRequest::new("GET", "/a").send(service.address()).expect("a response");
    assert!(response.is_complete());
}
