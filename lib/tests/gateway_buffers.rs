//! Tests of the memory bound of responses.

use snipepond::gateway::{ResponseBuffers, ResponseLimits};

/// Guards against responses that each stay within their limit and together take all the memory,
/// and against memory that is not released when a response ends.
#[test]
fn responses_together_stay_within_the_total() {
    let limits = ResponseLimits { max_bytes: 4, max_total_bytes: 10 };
    let buffers = ResponseBuffers::new(limits);
    let mut responses: Vec<_> = (0..5).map(|_| buffers.open()).collect();
    let mut held = 0;
    while let Some(response) = responses.iter_mut().position(|it| it.try_grow(1).is_ok()) {
        assert!(response < 3, "a response grew beyond the total");
        held += 1;
    }
    assert_eq!(held, limits.max_total_bytes);
    assert!(responses[0].try_grow(1).is_err(), "a response grew beyond its own limit");
    responses.remove(0);
    assert!(responses.last_mut().unwrap().try_grow(4).is_ok(), "memory was not released");
    responses.clear();
    assert!(buffers.open().try_grow(limits.max_bytes).is_ok());
}
