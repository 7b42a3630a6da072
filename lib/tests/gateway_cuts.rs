//! What a connection that is cut off leaves in the metrics. The count is one of the process, so the
//! test is alone in its file.

mod gateway_support;

use gateway_support::{
    flood::FloodServer,
    run_local,
    script::{OK_HEAD, PROMPT, ROUTE_TIMEOUT, ScriptedUpstream, Site, answer, chunk},
};
use http_body_util::Full;
use hyper::{Request, body::Bytes};
use snipepond::gateway::{ClientError, ConnectTimeouts, HttpClient};
use tokio::time::sleep;

const CUTS: &str = "snipepond_cut_connections_total";

/// Largest response of the client for the platform and other hosts.
const CLIENT_BYTES: usize = 1 << 20;

/// Guards against a cut that is not counted, or that counts as more than one: of a head, of a body, of
/// a refusal's body, and of a response of the platform.
#[test]
fn cut_is_counted_once() {
    run_local(async {
        let heads = FloodServer::start("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(4 << 10));
        let site = Site::start_with(4_700, |it| (it == 0).then_some((heads.address, "a")));
        assert_eq!(site.call("/once/", "r1").await.status(), 502);
        assert_eq!(site.metric(CUTS).await, 1);
        let errors = r#"snipepond_upstream_errors_total{kind="cut_off""#;
        assert_eq!(site.metric(errors).await, 1);

        let head = format!("{OK_HEAD}transfer-encoding: chunked\r\n\r\n");
        let body = FloodServer::start(&*head, chunk(&"x".repeat(64 << 10)));
        let site = Site::start_with(4_701, |it| (it == 0).then_some((body.address, "a")));
        assert_eq!(site.call("/once/", "r1").await.status(), 502);
        assert_eq!(site.metric(CUTS).await, 2);

        let head = "HTTP/1.1 503 x\r\nid: r1\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        let refusal = FloodServer::start(head, chunk(&"x".repeat(64 << 10)));
        let sound = ScriptedUpstream::start(vec![answer()]).await;
        let upstreams = [(refusal.address, "a"), (sound.address, "b")];
        let site = Site::start_with(4_702, |it| upstreams.get(it).copied());
        // The upstream in the data centre of the gateway is asked first.
        assert_eq!(site.call("/once/", "r1").await.status(), 200);
        assert_eq!(refusal.opened(), 1, "the refusing upstream was not asked");
        sleep(PROMPT / 4).await;
        assert_eq!(refusal.closed(), 1, "still open");
        assert_eq!(site.metric(CUTS).await, 3);

        let store = FloodServer::start("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(4 << 10));
        let timeouts = ConnectTimeouts { connect: PROMPT, unacknowledged: PROMPT };
        let request = Request::get("/").header("host", "a").body(Full::new(Bytes::new()));
        let mut client = HttpClient::new(store.address, timeouts);
        let result = client.send(request.unwrap(), ROUTE_TIMEOUT, CLIENT_BYTES).await;
        assert!(matches!(result, Err(ClientError::CutOff(_))), "{result:?}");
        assert_eq!(site.metric(CUTS).await, 4);
    });
}
