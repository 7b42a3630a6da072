//! Admission: which route, team and service a caller's request belongs to.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Uri,
    body::{Bytes, Incoming},
    header::{self, HeaderMap},
    http::request::Parts,
};
use tokio::time::timeout;

use crate::{
    front::{RefusalKind, RequestRefusal},
    gateway::{
        dialect::RequestHead,
        table::{CallerIdentity, RouteRecord, RouteTable, TeamRecord},
    },
    names::{ServiceName, TeamName},
    quarantine::RequestFingerprint,
};

/// Latency targets after which a request that may be repeated goes to another upstream. Work takes
/// a small part of the target except for a few requests in 100.
const IDEMPOTENT_PATIENCE: f64 = 2.0;

/// The same for the first event of a stream that may be resumed. Its prompt has been read in part
/// by then, so the second upstream has to be worth it.
const STREAM_PATIENCE: f64 = 2.0;

/// Share of the latency target after which a refused caller comes back.
const RETRY_AFTER_SHARE: f64 = 0.5;

/// Time after which a caller comes back to a host that has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(500);

/// Longest time for which a request waits for the first configuration. A process that has just
/// started has it after some tenths of a second when all hosts start at once, and a caller that is
/// refused comes back later than that.
const CONFIGURATION_PATIENCE: Duration = Duration::from_millis(400);

/// Parts of the caller's deadline of which that wait takes one, so that time is left to run.
const PATIENCE_PARTS: u32 = 4;

/// Deadline of callers that state none, and longest one, for arithmetic to stay in range.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that may be sent to upstreams.
pub(in crate::gateway) struct AdmittedCall {
    pub(in crate::gateway) head: RequestHead,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(in crate::gateway) route: Arc<RouteRecord>,
    pub(in crate::gateway) service: ServiceName,
    pub(super) team: Option<Arc<TeamRecord>>,
    pub(super) version: u64,
    pub(super) cold_rate: f64,
    pub(super) arrived: Instant,
    /// When the caller or the route gives up.
    pub(in crate::gateway) ends: Instant,
}

impl AdmittedCall {
    pub(super) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Identifies the request by its content; none without a prompt, because look-ups of the same
    /// thing are alike and do not crash engines.
    pub(super) fn fingerprint(&self) -> Option<RequestFingerprint> {
        let team = self.team.as_ref().map_or_else(|| TeamName::new(""), |it| it.name.clone());
        let prompt = self.head.prompt?.to_be_bytes();
        let path = self.uri.path_and_query().map_or("", |it| it.as_str()).as_bytes();
        Some(RequestFingerprint::of(&team, &[&prompt, path, b"\0", &self.body].concat()))
    }

    /// Time after which another upstream is tried although the first one has not failed.
    pub(super) fn patience(&self) -> Duration {
        let multiple =
            if self.route.retry_rule.is_stream() { STREAM_PATIENCE } else { IDEMPOTENT_PATIENCE };
        self.route.target_latency.mul_f64(multiple)
    }

    pub(super) fn retry_after(&self) -> Duration {
        self.route.target_latency.mul_f64(RETRY_AFTER_SHARE)
    }
}

/// Returns how long a request waits for the first configuration.
pub(super) fn configuration_patience(head: &RequestHead) -> Duration {
    head.deadline
        .map_or(CONFIGURATION_PATIENCE, |it| CONFIGURATION_PATIENCE.min(it / PATIENCE_PARTS))
}

/// Reads the whole body, within the bounds of the configuration.
pub(super) async fn read_body(
    body: Incoming,
    table: Option<&RouteTable>,
) -> Result<Bytes, RequestRefusal> {
    let limits = table.map(RouteTable::limits).unwrap_or_default();
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(limits.read_timeout, reading).await {
        Err(_) => {
            let message = format!("the body took longer than {:?}", limits.read_timeout);
            Err(RequestRefusal::not_run(RefusalKind::BodyTimeout, message))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
            Err(RequestRefusal::not_run(RefusalKind::BodyTooLarge, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body is incomplete: {error}");
            Err(RequestRefusal::not_run(RefusalKind::InvalidRequest, message))
        }
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

/// Decides whether a request may be sent to upstreams.
pub(super) fn admit(
    table: Option<Arc<RouteTable>>,
    head: RequestHead,
    parts: Parts,
    body: Bytes,
    arrived: Instant,
) -> Result<AdmittedCall, RequestRefusal> {
    let Some(table) = table else {
        let message = "the host has no configuration yet";
        return Err(RequestRefusal::not_run(RefusalKind::NoConfiguration, message)
            .with_retry_after(CONFIGURATION_WAIT));
    };
    let invalid = |message: &str| RequestRefusal::not_run(RefusalKind::InvalidRequest, message);
    if head.request_id.is_empty() {
        return Err(invalid("the request has no id"));
    }
    let host = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let authority = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let path = parts.uri.path();
    let Some(route) = table.route(authority, path).cloned() else {
        let message = format!("no route of version {} has the path", table.version());
        return Err(RequestRefusal::not_run(RefusalKind::NoRoute, message));
    };
    let team = match table.identify(&route, head.key.as_deref()) {
        CallerIdentity::Team(team) => Some(team),
        CallerIdentity::Open => None,
        CallerIdentity::Denied => {
            let message = format!("the key is not in version {}", table.version());
            return Err(RequestRefusal::not_run(RefusalKind::KeyInvalid, message));
        }
    };
    let Some(service) = route.service_for(&head.request_id).cloned() else {
        return Err(RequestRefusal::not_run(RefusalKind::NoUpstream, "the route has no service"));
    };
    let wait = head.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout).min(MAX_DEADLINE);
    Ok(AdmittedCall {
        cold_rate: table.service(&service).map_or(0.0, |it| it.cold_rate),
        version: table.version(),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        service,
        team,
        arrived,
        ends: arrived + wait,
    })
}
