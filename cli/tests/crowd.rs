//! A router as a separate process under crowds of callers that it does not control.
//!
//! Each test checks what does not depend on the speed of the machine: the process lives, its peak
//! memory and open descriptors stay below those of its host, and one ordinary request is answered
//! while the crowd keeps its connections open. The bounds are the settings that tell the process
//! the size of its host. Only one test runs at a time.

mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};

use snipepond_standin::{CallerCrowd, CallerRequest, CrowdKind, CrowdPlan, ProcessFigures};

use self::support::{Fleet, FleetPlan, KEY_ONE, fleet::quick_service, send_request};

/// Memory of the host, in MiB.
const MEMORY_MB: u64 = 64;

/// Descriptors of the host.
const DESCRIPTORS: usize = 600;

/// The settings that state the size of the host.
const HOST_VARIABLES: [(&str, &str); 2] =
    [("SNIPEPOND_MEMORY_MB", "64"), ("SNIPEPOND_DESCRIPTORS", "600")];

/// Largest legal body, in bytes; the default of the router.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Callers of a crowd. Their bodies together exceed the memory of the host.
const CALLERS: usize = 128;

/// Connections of callers that send nothing; more than the descriptors of the host.
const SILENT_CALLERS: usize = 900;

/// Lets one test run at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

#[track_caller]
fn check_crowd(kind: CrowdKind, method: &str, callers: usize) {
    let _turn: MutexGuard<'_, ()> = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(FleetPlan {
        services: vec![("s1", "a", quick_service())],
        variables: HOST_VARIABLES.to_vec(),
        // Longer than a test, so that unfinished bodies are not over before they are counted.
        extra_arguments: vec!["--body-timeout-ms=60000"],
        ..FleetPlan::default()
    });
    fleet.wait_until_lookups_work();
    let crowd = CallerCrowd::press(
        kind,
        &CrowdPlan {
            address: fleet.address(0),
            head: format!(
                "{method} /items/2 HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {KEY_ONE}\r\n"
            ),
            max_body_bytes: MAX_BODY_BYTES,
            callers,
        },
    );
    let before = ProcessFigures::read(fleet.routers[0].id()).expect("the process runs");
    let request = CallerRequest::new("GET", "/items/1").bearer_key(KEY_ONE);
    let response = send_request(fleet.address(0), &request);
    assert!(fleet.routers[0].is_running(), "the process ended");
    let figures = ProcessFigures::read(fleet.routers[0].id()).expect("the process runs");
    println!("before the ordinary request {before:?}, after it {figures:?}");
    assert!(figures.peak_memory_bytes <= MEMORY_MB << 20, "{figures:?}");
    assert!(figures.open_descriptors <= DESCRIPTORS, "{figures:?}");
    assert!(before.open_descriptors <= DESCRIPTORS, "{before:?}");
    assert_eq!((response.status, response.is_complete()), (200, true), "{}", response.text());
    drop(crowd);
}

/// Guards against bodies that together take more than the memory of the host.
#[test]
fn whole_bodies_that_stop_short_stay_within_the_memory() {
    check_crowd(CrowdKind::WholeBody, "POST", CALLERS);
}

/// Guards against the same where each body grows slowly.
#[test]
fn pieces_of_bodies_that_stop_short_stay_within_the_memory() {
    check_crowd(CrowdKind::PiecedBody, "POST", CALLERS);
}

/// Guards against the same without an announced length.
#[test]
fn large_chunks_that_stop_short_stay_within_the_memory() {
    check_crowd(CrowdKind::LargeChunks, "POST", CALLERS);
}

/// Guards against chunks that each keep a read buffer.
#[test]
fn small_chunks_that_stop_short_stay_within_the_memory() {
    check_crowd(CrowdKind::SmallChunks, "POST", CALLERS);
}

/// Guards against reading bodies that are announced to be over the limit.
#[test]
fn announced_bodies_over_the_limit_stay_within_the_memory() {
    check_crowd(CrowdKind::AnnouncedOver, "POST", CALLERS);
}

/// Guards against holding what was read of a body up to its limit in too many requests.
#[test]
fn sent_bodies_over_the_limit_stay_within_the_memory() {
    check_crowd(CrowdKind::SentOver, "POST", CALLERS);
}

/// Guards against responses and pipelined requests that are held for callers that do not read.
#[test]
fn unread_responses_of_a_router_stay_within_the_memory() {
    check_crowd(CrowdKind::Unread, "GET", CALLERS);
}

/// Guards against connections that take all descriptors.
#[test]
fn silent_connections_stay_within_the_descriptors() {
    check_crowd(CrowdKind::Silent, "GET", SILENT_CALLERS);
}
