//! Tests of the TCP link.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use snipepond_standin::{LinkMode, TcpLink};

use self::support::wait_for;

const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Accepts one connection, echoes its bytes, and returns all of them when the connection ends.
fn start_echo_server() -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        let mut buffer = [0; 1024];
        while let Ok(read) = stream.read(&mut buffer) {
            if read == 0 {
                break;
            }
            received.extend_from_slice(&buffer[..read]);
            if stream.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        received
    });
    (address, thread)
}

fn connect_through_link(address: SocketAddr) -> (TcpLink, TcpStream) {
    let link = TcpLink::start(LOOPBACK.into(), address).unwrap();
    let stream = TcpStream::connect(link.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    (link, stream)
}

fn assert_echo(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).unwrap();
    let mut echo = vec![0; text.len()];
    stream.read_exact(&mut echo).unwrap();
    assert_eq!(echo, text);
}

/// Guards against lost bytes, and against an end of stream that is not forwarded.
#[test]
fn open_link_forwards_bytes_and_the_end() {
    let (address, echo) = start_echo_server();
    let (link, mut stream) = connect_through_link(address);
    assert_echo(&mut stream, b"one");
    drop(stream);
    assert_eq!(echo.join().unwrap(), b"one");
    wait_for("the connection to end", || link.connection_count() == 0);
}

/// Guards against a stalled link that forwards, loses or reorders bytes, or refuses connections.
#[test]
fn stalled_link_delays_bytes_until_it_is_open() {
    let (address, echo) = start_echo_server();
    let (link, mut stream) = connect_through_link(address);
    assert_echo(&mut stream, b"one");
    link.set_mode(LinkMode::Stalled);
    stream.write_all(b"two").unwrap();
    TcpStream::connect(link.address()).expect("a stalled link accepts connections");
    // A correct link forwards nothing however long the test waits, so a short wait causes no
    // spurious failures. It is long enough to detect a link that does not stall.
    stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let err = stream.read(&mut [0; 3]).unwrap_err();
    assert!(matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    link.set_mode(LinkMode::Open);
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut echoed = [0; 3];
    stream.read_exact(&mut echoed).unwrap();
    assert_eq!(&echoed, b"two");
    drop(stream);
    assert_eq!(echo.join().unwrap(), b"onetwo");
}

/// Guards against a reset that the client sees as a regular end of stream.
#[test]
fn reset_link_breaks_existing_and_new_connections() {
    let (address, echo) = start_echo_server();
    let (link, mut stream) = connect_through_link(address);
    assert_echo(&mut stream, b"one");
    link.set_mode(LinkMode::Reset);
    let err = stream.read(&mut [0; 3]).unwrap_err();
    assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(link.address()).unwrap();
    next.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let err = next.read(&mut [0; 3]).unwrap_err();
    assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    assert_eq!(echo.join().unwrap(), b"one");
}

/// Guards against a stop that waits for threads of a stalled link forever.
#[test]
fn stalled_link_can_be_stopped() {
    let (address, echo) = start_echo_server();
    let (link, mut stream) = connect_through_link(address);
    assert_echo(&mut stream, b"one");
    link.set_mode(LinkMode::Stalled);
    stream.write_all(b"two").unwrap();
    link.stop();
    assert_eq!(echo.join().unwrap(), b"one");
}
