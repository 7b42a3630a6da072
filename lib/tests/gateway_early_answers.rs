//! Upstreams that respond before they have read a long request body, without a length.

mod gateway_support;

use gateway_support::{
    run_local,
    script::{EVENT_GAP, OK_HEAD, ScriptedUpstream, Site, Step, send},
};

/// Size of a body of which the system keeps a part back while the upstream does not read.
const LONG_BODY: usize = 4 << 20;

/// Size of a body that the system takes as a whole.
const SHORT_BODY: usize = 50_000;

/// Guards against a part of a response that is delivered as a complete response: the upstream closes
/// its direction or not, and resets the connection while the request body is being sent.
#[test]
fn early_response_that_is_reset_during_the_upload_is_not_complete() {
    run_local(async {
        let plain = format!("{OK_HEAD}\r\nhalf");
        let stream = format!("{OK_HEAD}\r\nid: 1\ndata: x\n\n");
        // A connection that is closed with unread bytes is reset.
        let ends: [(usize, &[Step]); 5] = [
            (LONG_BODY, &[Step::Wait(EVENT_GAP), Step::Reset]),
            (LONG_BODY, &[Step::EndWrite, Step::Wait(EVENT_GAP), Step::Reset]),
            (LONG_BODY, &[Step::EndWrite, Step::Wait(EVENT_GAP)]),
            (LONG_BODY, &[Step::EndWrite]),
            (SHORT_BODY, &[Step::EndWrite]),
        ];
        let mut number = 4_000;
        for (path, text) in [("/once/", &plain), ("/safe/", &plain), ("/stream/", &stream)] {
            for (length, end) in ends {
                let script = [&[Step::Read, send(&**text)], end].concat();
                let upstream = ScriptedUpstream::start(vec![script]).await;
                let site = Site::start(number, &[&upstream]);
                number += 1;
                let reply = site.call_with_body(path, "id: r1", &vec![b'x'; length]).await;
                let is_success = reply.status() == 200 && reply.is_complete();
                assert!(!is_success, "{path} {length} {end:?}: {reply:?}");
                assert_ne!(reply.status(), 503, "{path} {end:?}: the request may have run");
                assert_eq!(upstream.requests(), 1, "{path} {end:?}");
            }
        }
    });
}

/// Guards against a whole response that is not delivered because it ended before the request body
/// was sent; the upstream reads the rest of the body.
#[test]
fn early_response_is_delivered_if_the_upstream_reads_on() {
    run_local(async {
        let script = [
            Step::Read,
            send(format!("{OK_HEAD}\r\ndone")),
            Step::EndWrite,
            Step::Wait(EVENT_GAP),
            Step::Drain,
        ];
        let upstream = ScriptedUpstream::start(vec![script.to_vec()]).await;
        let site = Site::start(4_050, &[&upstream]);
        let reply = site.call_with_body("/once/", "id: r1", &vec![b'x'; LONG_BODY]).await;
        assert!(reply.status() == 200 && reply.is_complete(), "{reply:?}");
        assert!(reply.text.ends_with("done"), "{reply:?}");
    });
}
