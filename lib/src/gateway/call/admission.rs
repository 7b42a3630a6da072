//! Admission: decides the route, team and service of a caller's request, or refuses it.

use std::{
    cell::OnceCell,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Method, Uri,
    body::{Bytes, Incoming},
    header::{self, HeaderMap},
    http::request::Parts,
};

use crate::{
    front::{RefusalKind, RequestRefusal},
    gateway::{
        dialect::RequestHead,
        pool::ConnectionHistory,
        table::{CallerIdentity, CallerLimits, RouteRecord, RouteTable, TeamRecord},
    },
    intake::{CallerBodyError, MemoryAccount, read_caller_body},
    names::{ServiceName, TeamName},
    quarantine::RequestFingerprint,
    work::WorkRequest,
};

/// Multiple of the latency target after which an idempotent request is retried at another upstream.
/// All but a few in 100 requests take a small part of the target.
const IDEMPOTENT_TIMEOUT_MULTIPLE: f64 = 2.0;

/// Multiple of the latency target after which a resumable stream without a first event is retried.
/// The first upstream has processed a part of the prompt by then. That work is discarded, so the
/// second upstream has to be worth it.
const FIRST_EVENT_TIMEOUT_MULTIPLE: f64 = 2.0;

/// Multiple of the time after which another upstream is tried, after which a stream without a
/// response counts as a failure of its upstream. A busy engine is slow to begin a stream.
const UNRESPONSIVE_STREAM_MULTIPLE: u32 = 2;

/// Share of the latency target that a refused caller is told to wait before it retries.
const RETRY_AFTER_SHARE: f64 = 0.5;

/// Time after which a caller that was refused for want of a configuration is told to retry.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller that was refused for want of memory is told to retry. Unfinished bodies
/// give way within milliseconds.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for the first configuration. A new process receives it
/// within some tenths of a second when all hosts start at the same time; a refused caller retries
/// later than that.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(400);

/// Divisor of the caller's deadline that bounds the wait for the first configuration, so that time
/// remains to run the request.
const DEADLINE_DIVISOR: u32 = 4;

/// Default and upper bound of a caller's deadline; the bound keeps time arithmetic in range.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that may be sent to upstreams, with the configuration that applies to it.
pub(in crate::gateway) struct AdmittedRequest {
    pub(in crate::gateway) head: RequestHead,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(in crate::gateway) route: Arc<RouteRecord>,
    pub(in crate::gateway) service: ServiceName,
    pub(super) team: Option<Arc<TeamRecord>>,
    pub(super) table_version: u64,
    pub(super) cold_rate: f64,
    pub(super) arrived: Instant,
    /// When the deadline of the caller or the timeout of the route expires.
    pub(in crate::gateway) expires_at: Instant,
    /// The connections to upstreams that the request was sent on.
    pub(super) connections: ConnectionHistory,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl AdmittedRequest {
    pub(super) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// What the work of the request is estimated from.
    pub(in crate::gateway) fn work(&self) -> WorkRequest<'_> {
        WorkRequest {
            route: &self.route.name,
            service: &self.service,
            size: &self.head.size,
            target_latency: self.route.target_latency,
        }
    }

    /// Identifies the request by team, method, path, prompt and body for crash detection.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.team.as_ref().map_or_else(|| TeamName::new(""), |it| it.name.clone());
            let path = self.uri.path_and_query().map_or("", |it| it.as_str());
            let head = format!("{} {path}\n{:?}\n", self.method, self.head.prompt);
            RequestFingerprint::of_parts(&team, &[head.as_bytes(), &self.body])
        })
    }

    /// Time after which another upstream is tried although the current one has not failed.
    pub(super) fn slow_timeout(&self) -> Duration {
        let multiple = if self.route.retry_rule.is_stream() {
            FIRST_EVENT_TIMEOUT_MULTIPLE
        } else {
            IDEMPOTENT_TIMEOUT_MULTIPLE
        };
        self.route.target_latency.mul_f64(multiple)
    }

    /// Time without the head of a response after which an attempt that ends counts as a failure of
    /// its upstream. It follows from the route alone, so that callers with short deadlines cannot
    /// make an upstream count as failing.
    pub(super) fn unresponsive_timeout(&self) -> Duration {
        let is_stream = self.route.retry_rule.is_stream();
        self.slow_timeout() * if is_stream { UNRESPONSIVE_STREAM_MULTIPLE } else { 1 }
    }

    pub(super) fn retry_after(&self) -> Duration {
        self.route.target_latency.mul_f64(RETRY_AFTER_SHARE)
    }
}

/// Returns how long a request may wait for the first configuration.
pub(super) fn configuration_wait(head: &RequestHead) -> Duration {
    head.deadline
        .map_or(MAX_CONFIGURATION_WAIT, |it| MAX_CONFIGURATION_WAIT.min(it / DEADLINE_DIVISOR))
}

/// Reads the complete body, within the size and time limits of the configuration and the memory of
/// the host.
pub(super) async fn read_body(
    body: &mut Incoming,
    limits: &CallerLimits,
    account: &Arc<MemoryAccount>,
) -> Result<Bytes, RequestRefusal> {
    let error = match read_caller_body(body, limits.body_limits(), account).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    Err(match error {
        CallerBodyError::Timeout(_) | CallerBodyError::Stalled => {
            RequestRefusal::not_run(RefusalKind::BodyTimeout, error.to_string())
        }
        CallerBodyError::TooLarge(_) => {
            RequestRefusal::not_run(RefusalKind::BodyTooLarge, error.to_string())
        }
        CallerBodyError::Lost(_) => {
            RequestRefusal::not_run(RefusalKind::InvalidRequest, error.to_string())
        }
        CallerBodyError::NoMemory(error) => {
            RequestRefusal::not_run(RefusalKind::Overloaded, error.to_string())
                .with_retry_after(MEMORY_RETRY_AFTER)
        }
    })
}

/// Determines route, team and service of a request from its head, or refuses it before its body is
/// read. The body of the result is empty.
pub(super) fn admit(
    table: Option<Arc<RouteTable>>,
    head: RequestHead,
    parts: Parts,
    arrived: Instant,
) -> Result<AdmittedRequest, RequestRefusal> {
    let Some(table) = table else {
        let message = "the host has no configuration yet";
        return Err(RequestRefusal::not_run(RefusalKind::NoConfiguration, message)
            .with_retry_after(CONFIGURATION_RETRY_AFTER));
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
    let time_limit = head.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout).min(MAX_DEADLINE);
    Ok(AdmittedRequest {
        cold_rate: table.service(&service).map_or(0.0, |it| it.cold_rate),
        table_version: table.version(),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: Bytes::new(),
        route,
        service,
        team,
        arrived,
        expires_at: arrived + time_limit,
        connections: ConnectionHistory::default(),
        fingerprint: OnceCell::new(),
    })
}
