//! Tests of splitting streams into events.

use std::time::{Duration, Instant};

use snipepond::exchange::EventSplitter;

/// Longest time for the events of one batch, which hold up all other requests of a gateway.
const BATCH_TIME: Duration = Duration::from_millis(500);

/// Bytes that an upstream can send at once.
const BATCH_BYTES: usize = 400 << 10;

fn split(stream: &[u8], batch_bytes: usize) -> (Vec<u8>, u64) {
    let mut splitter = EventSplitter::new();
    let (mut bytes, mut count) = (Vec::new(), 0);
    for part in stream.chunks(batch_bytes) {
        if let Some(batch) = splitter.push(part) {
            bytes.extend(batch.bytes);
            count += batch.count;
        }
    }
    (bytes, count)
}

/// Guards against work that grows with the square of a batch: a gateway answered nobody for 20 s
/// while it split some hundred thousand newlines.
#[test]
fn batch_of_tiny_events_is_split_in_time() {
    for event in ["\n\n", ":\n\n", "data: x\n\n", "\r\n\r\n"] {
        let stream = event.repeat(BATCH_BYTES / event.len());
        let started = Instant::now();
        let (bytes, count) = split(stream.as_bytes(), stream.len());
        assert!(started.elapsed() < BATCH_TIME, "{event:?}: {:?}", started.elapsed());
        assert_eq!((bytes.len(), count as usize), (stream.len(), stream.len() / event.len()));
    }
}

/// Guards against events that end in another place when a stream arrives in other parts.
#[test]
fn events_do_not_depend_on_the_parts_of_a_stream() {
    let stream =
        b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:\n\n\ndata: c\r\n\n\r\ndata: d\n\nrest";
    let whole = split(stream, stream.len());
    assert!(!whole.0.ends_with(b"rest"));
    for batch_bytes in 1..stream.len() {
        assert_eq!(split(stream, batch_bytes), whole, "{batch_bytes} bytes at a time");
    }
}
