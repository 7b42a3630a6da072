//! The account of what a process holds for its callers: who gets memory, and which body or
//! connection gives way.

use snipepond::intake::{
    AccountError, CONNECTION_BYTES, ConnectionPhase, ConnectionTable, HostSize, MemoryAccount,
    ResponseBuffers, ResponseLimits, first_to_close, first_to_give_up, is_too_slow,
};
use std::time::Duration;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Guards against an account that leaves a host of the published size no memory for the program,
/// or no descriptors for upstreams.
#[test]
fn a_host_keeps_memory_and_descriptors_for_the_rest() {
    let host = HostSize { memory_bytes: 160 * MIB, descriptors: 4_100 };
    assert_eq!(host.account_bytes(), 100 * MIB);
    assert_eq!(host.response_bytes(), 48 * MIB);
    assert!(host.caller_connections() * CONNECTION_BYTES <= host.account_bytes() / 2);
    assert!(host.caller_connections() <= 3_075);
    let few = HostSize { descriptors: 100, ..host };
    assert_eq!(few.caller_connections(), 75);
}

/// Guards against giving up small or old bodies for large or new ones.
#[test]
fn the_largest_and_then_the_newest_body_goes_first() {
    assert_eq!(first_to_give_up([].into_iter()), None);
    assert_eq!(first_to_give_up([(1, 0), (2, 0)].into_iter()), None);
    assert_eq!(first_to_give_up([(1, 10), (2, 4_000), (3, 100)].into_iter()), Some(2));
    assert_eq!(first_to_give_up([(1, 4_095), (2, 2_048), (3, 100)].into_iter()), Some(2));
}

/// Guards against closing a connection with a response in flight, or a request in arrival while
/// another connection is idle.
#[test]
fn the_longest_idle_and_then_the_newest_unfinished_connection_closes_first() {
    use ConnectionPhase::{Awaiting, Idle, Responding, Unfinished};
    assert_eq!(first_to_close([(1, Responding, 9)].into_iter()), None);
    let all = [(1, Idle, 8), (2, Idle, 3), (3, Unfinished, 1), (4, Unfinished, 2)];
    assert_eq!(first_to_close(all.into_iter()), Some(2));
    let busy = [(1, Responding, 1), (3, Unfinished, 7), (4, Unfinished, 2)];
    assert_eq!(first_to_close(busy.into_iter()), Some(4));
    let silent = [(1, Responding, 1), (2, Awaiting, 5), (3, Awaiting, 6), (4, Unfinished, 7)];
    assert_eq!(first_to_close(silent.into_iter()), Some(2));
}

/// Guards against a charge that differs from what is held, also after bodies end in each way.
#[test]
fn charges_follow_what_is_held() {
    let account = MemoryAccount::new(MIB);
    let mut body = account.begin_body(Some(200 * KIB), MIB);
    assert_eq!(account.bytes(), 0, "an announced length is not held");
    body.extend(&[1; 100]).unwrap();
    assert!((100..=200).contains(&account.bytes()), "{}", account.bytes());
    for _ in 0..199 {
        body.extend(&[2; KIB]).unwrap();
    }
    body.extend(&[3; 924]).unwrap();
    assert_eq!(account.bytes(), 200 * KIB, "the last block has the size of the rest");
    let bytes = body.finish().unwrap();
    assert_eq!((bytes.len(), account.bytes()), (200 * KIB, 200 * KIB));
    assert_eq!((bytes[0], bytes[100], bytes[200 * KIB - 1]), (1, 2, 3));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!(account.bytes(), 200 * KIB, "a clone keeps the memory");
    drop(copy);
    let mut dropped = account.begin_body(None, MIB);
    dropped.extend(&[0; 5_000]).unwrap();
    drop(dropped);
    assert_eq!(account.bytes(), 0);
}

/// Guards against a crowd of unfinished bodies that keeps out a small request, or a complete one.
#[test]
fn unfinished_bodies_make_room_for_small_and_complete_ones() {
    let account = MemoryAccount::new(MIB);
    let mut crowd: Vec<_> = (0..20).map(|_| account.begin_body(None, MIB)).collect();
    let mut refused = 0;
    for _ in 0..16 {
        for body in &mut crowd {
            refused += usize::from(body.extend(&[0; 16 * KIB]).is_err());
        }
    }
    assert!(refused > 0);
    assert!(account.bytes() <= MIB, "{}", account.bytes());
    let mut calm: Vec<_> = (0..40).map(|_| account.begin_body(Some(16 * KIB), MIB)).collect();
    for body in &mut calm {
        body.extend(&[0; 16 * KIB]).unwrap();
    }
    assert!(account.bytes() <= MIB, "{}", account.bytes());
    let held: Vec<_> = calm.into_iter().map(|it| it.finish().unwrap()).collect();
    // A response takes the memory of unfinished bodies too.
    let limits = ResponseLimits { max_bytes: MIB, max_total_bytes: MIB };
    let buffers = ResponseBuffers::with_account(limits, account.clone());
    let mut response = buffers.open();
    response.try_grow(200 * KIB).unwrap();
    assert!(account.bytes() <= MIB);
    assert!(crowd.iter_mut().any(|it| it.extend(&[0; 1]) == Err(AccountError::Evicted)));
    drop(crowd);
    assert_eq!(account.bytes(), 840 * KIB);
    let part = response.split();
    response.try_grow(KIB).unwrap();
    response.resize(KIB / 2).unwrap();
    drop(part);
    assert_eq!(account.bytes(), 640 * KIB + KIB / 2);
    drop((response, held));
    assert_eq!(account.bytes(), 0);
}

/// Guards against giving up an older body for a newer one that wants as much.
#[test]
fn a_new_large_body_is_refused_before_older_ones() {
    let account = MemoryAccount::new(MIB);
    let mut old = account.begin_body(None, MIB);
    old.extend(&[0; 400 * KIB]).unwrap();
    let mut new = account.begin_body(None, MIB);
    assert_eq!(new.extend(&[0; 500 * KIB]), Err(AccountError::MemoryFull));
    drop(new);
    old.extend(&[0; 100 * KIB]).unwrap();
    assert_eq!(old.finish().map(|it| it.len()), Err(AccountError::MemoryFull), "joined twice");
    assert_eq!(account.bytes(), 0);
}

/// Guards against more open connections than the limit and the few that are closing.
#[test]
fn a_full_table_closes_one_connection_for_each_new_one() {
    let account = MemoryAccount::new(MIB);
    let table = ConnectionTable::new(8, Some(account.clone()));
    let mut slots: Vec<_> = (0..8).map(|_| table.open().unwrap()).collect();
    assert!(table.is_full());
    assert_eq!(account.bytes(), 8 * CONNECTION_BYTES);
    // One more may be open while another one closes.
    slots.push(table.open().unwrap());
    assert!(table.open().is_none(), "no further one before it has closed");
    slots.remove(7);
    slots.push(table.open().unwrap());
    slots.truncate(8);
    slots.iter().for_each(|it| it.phase_handle().set(ConnectionPhase::Responding));
    assert!(table.open().is_none(), "responses are in flight");
    slots[3].phase_handle().set(ConnectionPhase::Idle);
    assert!(table.open().is_some());
    drop(slots);
    assert_eq!(account.bytes(), 0);
}

/// Guards against a rate limit that a body meets before it has had time to arrive.
#[test]
fn only_a_body_that_stands_still_for_long_is_too_slow() {
    assert!(!is_too_slow(Duration::from_secs(5), 0));
    assert!(is_too_slow(Duration::from_secs(6), 6_000));
    assert!(!is_too_slow(Duration::from_secs(6), 6_144));
}
