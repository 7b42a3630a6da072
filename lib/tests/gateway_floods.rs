//! Upstreams that send without end what is no answer, and sound ones that send much or slowly.

mod gateway_support;

use std::{
    cell::Cell,
    future::poll_fn,
    io,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use gateway_support::{
    RESPONSE_LIMITS,
    flood::FloodServer,
    run_local,
    script::{
        EVENT_GAP, EVENTS_HEAD, OK_HEAD, PROMPT, ROUTE_TIMEOUT, ScriptedUpstream, Site, Step,
        answer, chunk, send,
    },
};
use http_body_util::Full;
use hyper::{Request, body::Bytes};
use snipepond::{
    gateway::{ClientError, ConnectTimeouts, HttpClient, ResponseLimits},
    intake::{BYTES_PER_POLL, IntakeMeter, MAX_UNDELIVERED_BYTES, MeteredSocket},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Time beyond the timeout of its route after which a request must have an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Bytes that a sender can write to a connection that nobody reads: the buffers of the system, and
/// what a gateway receives before it cuts the connection off.
const MAX_CUT_BYTES: usize = 16 << 20;

/// Largest response from the platform or another host.
const CLIENT_BYTES: usize = 8 << 20;

/// Heads and bodies that are no answer when they go on without end: what is sent first, and what is
/// repeated.
fn floods_without_content() -> Vec<(&'static str, String, String)> {
    let chunked = format!("{OK_HEAD}transfer-encoding: chunked\r\n\r\n");
    let framed = format!("{}\r\n?\r\n", "0".repeat(15) + "1");
    vec![
        ("interim heads", String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(4 << 10)),
        ("early hints", String::new(), "HTTP/1.1 103 x\r\nlink: </a>\r\n\r\n".repeat(4 << 10)),
        ("header lines", OK_HEAD.into(), "a: b\r\n".repeat(4 << 10)),
        ("one header line", format!("{OK_HEAD}a: "), "b".repeat(64 << 10)),
        ("a chunk size of zeros", chunked.clone(), "0".repeat(64 << 10)),
        ("a chunk extension", format!("{chunked}1;a="), "b".repeat(64 << 10)),
        ("trailers", format!("{chunked}0\r\n"), "a: b\r\n".repeat(4 << 10)),
        ("padded chunks of one byte", chunked, framed.repeat(4 << 10)),
        ("newlines as events", EVENTS_HEAD.into(), chunk(&"\n".repeat(1 << 20))),
        ("comments as events", EVENTS_HEAD.into(), chunk(&":\n\n".repeat(256 << 10))),
    ]
}

/// Records the longest time for which a task of this thread had to wait for its turn.
fn watch_turns() -> Rc<Cell<Duration>> {
    const TURN_INTERVAL: Duration = Duration::from_millis(5);
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let recorded = longest.clone();
    spawn_local(async move {
        loop {
            let asleep = Instant::now();
            sleep(TURN_INTERVAL).await;
            let late = asleep.elapsed().saturating_sub(TURN_INTERVAL);
            recorded.set(recorded.get().max(late));
        }
    });
    longest
}

/// Guards against a gateway that answers nobody while one upstream sends bytes without end that are
/// no content, and against a connection that is read until the deadline of its request.
#[test]
fn bytes_without_content_are_cut_off() {
    run_local(async {
        for (index, (name, start, block)) in floods_without_content().into_iter().enumerate() {
            let flood = FloodServer::start(start, block);
            let site = Site::start_with(4_000 + index as u16, |it| {
                (it == 0).then_some((flood.address, "a"))
            });
            let longest_wait = watch_turns();
            let path = if name.ends_with("events") { "/stream/" } else { "/once/" };
            let reply = site.call(path, "r1").await;
            assert!(!reply.is_complete() || reply.status() == 502, "{name}: {reply:?}");
            assert!(reply.elapsed < ROUTE_TIMEOUT, "{name}: {:?}", reply.elapsed);
            sleep(PROMPT / 4).await;
            assert_eq!((flood.opened(), flood.closed()), (1, 1), "{name}: still open");
            assert!(flood.sent_bytes() < MAX_CUT_BYTES, "{name}: {}", flood.sent_bytes());
            let longest_wait = longest_wait.get();
            assert!(longest_wait < ANSWER_SLACK, "{name}: tasks waited {longest_wait:?}");
        }
    });
}

/// Guards against an upstream that is picked as before although its connections are cut off, and
/// against a request that may run twice and is not sent to another upstream.
#[test]
fn upstream_whose_connections_are_cut_off_is_avoided() {
    run_local(async {
        let flood = FloodServer::start("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(4 << 10));
        let sound = ScriptedUpstream::start(vec![answer()]).await;
        let upstreams = [(flood.address, "a"), (sound.address, "a")];
        let site = Site::start_with(4_200, |it| upstreams.get(it).copied());
        for call in 0..24 {
            let reply = site.call("/safe/", &format!("r{call}")).await;
            assert_eq!(reply.status(), 200, "{reply:?}");
            assert!(reply.elapsed < PROMPT, "{:?}", reply.elapsed);
        }
        let share = flood.opened() as f64 / 24.0;
        assert!(share < 0.4, "the broken upstream got {share} of the requests");
    });
}

/// Guards against a gateway that answers nobody else while it relays sound events that come as fast
/// as the connection allows, and against such a stream that goes on after its deadline.
#[test]
fn endless_sound_events_leave_time_for_others() {
    run_local(async {
        let events = chunk(&"data: x\n\n".repeat(100 << 10));
        let flood = FloodServer::start(EVENTS_HEAD, events);
        let site = Site::start_with(4_300, |it| (it == 0).then_some((flood.address, "a")));
        let longest_wait = watch_turns();
        let started = Instant::now();
        let mut caller = TcpStream::connect(site.addresses.callers).await.unwrap();
        let request = "POST /stream/ HTTP/1.1\r\nhost: site.example\r\nid: r1\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut buffer = vec![0; 64 << 10];
        let mut received = 0;
        while let Ok(length @ 1..) = caller.read(&mut buffer).await {
            received += length;
            assert!(started.elapsed() < ROUTE_TIMEOUT + ANSWER_SLACK, "the stream goes on");
        }
        assert!(received > 1 << 20, "only {received} bytes were delivered");
        assert!(started.elapsed() > ROUTE_TIMEOUT / 2, "the stream was cut off early");
        let longest_wait = longest_wait.get();
        assert!(longest_wait < ANSWER_SLACK, "tasks waited {longest_wait:?}");
    });
}

/// Guards against cutting off answers that are sound: large ones in small chunks, one of exactly the
/// limit, a long head, and a slow stream whose bytes come one by one between comments.
#[test]
fn large_and_slow_answers_are_delivered() {
    run_local(async {
        let limit = RESPONSE_LIMITS.max_bytes;
        let chunked = format!("{OK_HEAD}transfer-encoding: chunked\r\n\r\n");
        let small_chunks = chunk("x").repeat(1 << 17);
        let long_head =
            format!("{OK_HEAD}a: {}\r\ncontent-length: 4\r\n\r\ndone", "b".repeat(48 << 10));
        let answers = [
            (format!("{chunked}{small_chunks}0\r\n\r\n"), 1 << 17),
            (format!("{OK_HEAD}content-length: {limit}\r\n\r\n{}", "x".repeat(limit)), limit),
            (long_head, 4),
        ];
        for (index, (text, length)) in answers.into_iter().enumerate() {
            let upstream = ScriptedUpstream::start(vec![vec![Step::Read, send(text)]]).await;
            let site = Site::start(4_400 + index as u16, &[&upstream]);
            let reply = site.call("/large/", "r1").await;
            assert_eq!(reply.status(), 200);
            let body = reply.text.split_once("\r\n\r\n").unwrap().1;
            assert_eq!(body.len(), length);
        }
        let mut script = vec![Step::Read, send(EVENTS_HEAD)];
        for id in 0..12 {
            for byte in format!(": wait\n\nid: {id}\ndata: {}\n\n", "x".repeat(20)).chars() {
                script.push(send(chunk(&byte.to_string())));
            }
            script.push(Step::Wait(EVENT_GAP));
        }
        script.push(send("0\r\n\r\n"));
        let upstream = ScriptedUpstream::start(vec![script]).await;
        let site = Site::start(4_410, &[&upstream]);
        let reply = site.call("/stream/", "r1").await;
        assert!(reply.status() == 200 && reply.is_complete(), "{reply:?}");
        assert!(reply.text.contains("id: 11"), "{reply:?}");
    });
}

/// Guards against a limit for complete responses that cuts off the events of streams.
#[test]
fn limit_of_a_response_does_not_apply_to_events() {
    run_local(async {
        let limits = ResponseLimits { max_bytes: 1 << 10, max_total_bytes: 4 << 20 };
        let data = "x".repeat(100 << 10);
        let events = chunk(&format!("id: 1\ndata: {data}\n\n"));
        let script = vec![Step::Read, send(EVENTS_HEAD), send(events), send("0\r\n\r\n")];
        let upstream = ScriptedUpstream::start(vec![script]).await;
        let site =
            Site::start_limited(4_600, limits, |it| (it == 0).then_some((upstream.address, "a")));
        let reply = site.call("/stream/", "r1").await;
        assert!(reply.status() == 200 && reply.is_complete(), "{}", reply.status());
        assert!(reply.text.contains(&data), "the event is not whole");
    });
}

/// Guards against a few answers that take all the memory for responses, so that small sound ones
/// fail, and against answers that are accounted for only until they are received, although their
/// callers have not read them.
#[test]
fn large_answers_leave_memory_for_small_ones() {
    run_local(async {
        let limits = ResponseLimits { max_bytes: 16 << 20, max_total_bytes: 40 << 20 };
        // Far more than the system buffers on the way to a caller.
        let length = 16 << 20;
        let large = format!("{OK_HEAD}content-length: {length}\r\n\r\n{}", "x".repeat(length));
        let large = ScriptedUpstream::start(vec![vec![Step::Read, send(large)]]).await;
        let site =
            Site::start_limited(4_500, limits, |it| (it == 0).then_some((large.address, "a")));
        let mut waiting = Vec::new();
        for id in 0..3 {
            let mut caller = TcpStream::connect(site.addresses.callers).await.unwrap();
            let request =
                format!("POST /once/ HTTP/1.1\r\nhost: site.example\r\nid: r{id}\r\n\r\n");
            caller.write_all(request.as_bytes()).await.unwrap();
            waiting.push(caller);
            sleep(PROMPT / 2).await;
        }
        let mut text = [0; 12];
        waiting[2].read_exact(&mut text).await.unwrap();
        assert_eq!(&text, b"HTTP/1.1 502", "the answers of two callers are not accounted for");
        drop(waiting);
        sleep(PROMPT / 4).await;
        let reply = site.call("/once/", "r4").await;
        assert_eq!(reply.status(), 200, "the memory was not released");
    });
}

/// Guards against a store or another host whose response without end keeps the thread or the memory
/// of a gateway.
#[test]
fn responses_without_end_from_the_store_are_cut_off() {
    run_local(async {
        let body = format!("{OK_HEAD}transfer-encoding: chunked\r\n\r\n");
        let endless_body = ("a body", body, chunk(&"x".repeat(64 << 10)));
        for (name, start, block) in floods_without_content().into_iter().chain([endless_body]) {
            // The client does not know events; to it they are a body.
            if name.ends_with("events") {
                continue;
            }
            let flood = FloodServer::start(start, block);
            let timeouts = ConnectTimeouts { connect: PROMPT, unacknowledged: PROMPT };
            let mut client = HttpClient::new(flood.address, timeouts);
            let longest_wait = watch_turns();
            let request = Request::get("/").header("host", "a").body(Full::new(Bytes::new()));
            let error =
                client.send(request.unwrap(), ROUTE_TIMEOUT, CLIENT_BYTES).await.unwrap_err();
            assert!(matches!(error, ClientError::CutOff(_)), "{name}: {error}");
            sleep(PROMPT / 4).await;
            assert_eq!(flood.closed(), 1, "{name}: still open");
            let longest_wait = longest_wait.get();
            assert!(longest_wait < ANSWER_SLACK, "{name}: tasks waited {longest_wait:?}");
        }
    });
}

/// Guards against a reader that keeps the thread for as long as its socket has bytes, and against a
/// socket that never fails although nothing is delivered.
#[test]
fn socket_yields_and_fails_in_time() {
    run_local(async {
        let flood = FloodServer::start("", "x".repeat(1 << 20));
        let mut stream = TcpStream::connect(flood.address).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let meter = IntakeMeter::new();
        let mut socket = Box::pin(MeteredSocket::outgoing(stream, meter));
        // The buffers of the system fill up.
        sleep(PROMPT / 4).await;
        let mut received = 0;
        let result = poll_fn(|context| {
            let mut bytes_in_poll = 0;
            loop {
                let mut space = vec![0; 1 << 20];
                let mut buffer = ReadBuf::new(&mut space);
                match socket.as_mut().poll_read(context, &mut buffer) {
                    Poll::Ready(Ok(())) => bytes_in_poll += buffer.filled().len(),
                    Poll::Ready(Err(error)) => return Poll::Ready(error),
                    Poll::Pending => break,
                }
                assert!(bytes_in_poll <= BYTES_PER_POLL, "{bytes_in_poll} bytes in one poll");
            }
            received += bytes_in_poll;
            Poll::Pending
        });
        let error = timeout(PROMPT, result).await.expect("the socket fails");
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        assert!(received as u64 <= MAX_UNDELIVERED_BYTES + BYTES_PER_POLL as u64);
    });
}
