//! Stand-in for an HTTP service that counts how often each idempotency key ran.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    engine::{LoadReport, ReportHistory},
    faults::{FaultMode, ResponseFault},
    http::{HttpServer, RequestHandler, RequestLog, ServerRequest},
    link::{TcpLink, lock},
    warmth::{Admission, ColdStartState},
};

/// Address, timing and cold start behaviour of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Name that is part of each response.
    pub name: String,
    /// Time from a request to its response. The request takes effect, and counts as run, at the end
    /// of it.
    pub duration: Duration,
    /// Capacity in the load report. The service does not enforce it.
    pub capacity: u32,
    /// Whether the service starts cold.
    pub starts_cold: bool,
    /// Requests in flight that a cold service tolerates; one more makes it crash.
    pub cold_allowance: u32,
    /// Time from the first complete response until the service is warm.
    pub warmup: Duration,
    /// Delay after which a change of the load is reported.
    pub load_lag: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            name: "service".to_owned(),
            duration: Duration::from_millis(5),
            capacity: 64,
            starts_cold: false,
            cold_allowance: 4,
            warmup: Duration::from_millis(500),
            load_lag: Duration::from_millis(100),
        }
    }
}

/// When the service closes the connection of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisconnectPoint {
    /// Before the request takes effect.
    BeforeRun,
    /// After the request took effect, before any byte of the response.
    AfterRun,
}

/// Body of `POST /control/break`: closes the connections of the next `count` requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DisconnectRequest {
    when: DisconnectPoint,
    #[serde(default = "one")]
    count: u64,
}

fn one() -> u64 {
    1
}

/// Body of `POST /control/duration`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DurationRequest {
    ms: u64,
}

/// Body of `POST /control/cold`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdRequest {
    #[serde(default)]
    silent: bool,
}

#[derive(Debug)]
struct ServiceState {
    cold_start: ColdStartState,
    reports: ReportHistory,
    duration: Duration,
    /// Runs by idempotency key, without reads.
    runs: BTreeMap<String, u64>,
    requests: u64,
    reads: u64,
    cancelled: u64,
    disconnected: u64,
    request_log: RequestLog,
    fault: ResponseFault,
    disconnect: Option<DisconnectRequest>,
}

struct ServiceShared {
    settings: ServiceSettings,
    link: Arc<TcpLink>,
    state: Mutex<ServiceState>,
}

impl ServiceShared {
    /// Appends the current load to the history of reports.
    fn record_load(&self, state: &mut ServiceState, now: Instant) {
        let report = LoadReport {
            incarnation: state.cold_start.incarnation.clone(),
            running: state.cold_start.in_flight,
            waiting: 0,
            capacity: self.settings.capacity,
            work_tokens: u64::from(state.cold_start.in_flight),
            cold: state.cold_start.is_reported_cold,
        };
        state.reports.push(now, report);
    }

    fn stats(&self) -> serde_json::Value {
        let mut state = lock(&self.state);
        state.cold_start.update_warmup(Instant::now());
        let state = &*state;
        json!({
            "incarnation": state.cold_start.incarnation,
            "cold": state.cold_start.is_cold,
            "falls": state.cold_start.overload_crashes,
            "crashes": state.cold_start.crashes,
            "in_flight": state.cold_start.in_flight,
            "peak_in_flight": state.cold_start.peak_in_flight,
            "peak_cold": state.cold_start.peak_cold_in_flight,
            "calls": state.requests,
            "reads": state.reads,
            "cancelled": state.cancelled,
            "broken": state.disconnected,
            "runs": state.runs,
            "headers": state.request_log.headers,
            "targets": state.request_log.targets,
            "dropped_values": state.request_log.dropped,
        })
    }

    fn become_cold(&self, silent: bool) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.cold_start.become_cold(silent);
        self.record_load(&mut state, now);
    }

    fn control(&self, request: ServerRequest) {
        let result = match request.path() {
            "/control/cold" => request.json::<ColdRequest>().map(|it| self.become_cold(it.silent)),
            "/control/duration" => request.json::<DurationRequest>().map(|it| {
                lock(&self.state).duration = Duration::from_millis(it.ms);
            }),
            "/control/break" => request.json::<DisconnectRequest>().map(|it| {
                lock(&self.state).disconnect = Some(it);
            }),
            "/control/echo" => request.json::<ResponseFault>().map(|it| {
                lock(&self.state).fault = it;
            }),
            _ => {
                let path = request.path().to_owned();
                request.response.send_error(404, &format!("no control {path} on a service"));
                return;
            }
        };
        match result {
            Ok(()) => request.response.send_json(200, &json!({})),
            Err(message) => request.response.send_error(400, &message),
        }
    }

    fn serve(&self, request: ServerRequest) {
        let generation = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.request_log.record(&request);
            let admission = state.cold_start.admit(now);
            self.record_load(&mut state, now);
            match admission {
                Admission::Accepted(generation) => generation,
                Admission::Overloaded => {
                    drop(state);
                    self.link.drop_connections();
                    return request.response.disconnect();
                }
            }
        };
        let is_complete = self.run(request, generation);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.cold_start.finish_request(generation, is_complete, now);
        self.record_load(&mut state, now);
    }

    /// Runs a request and responds to it. Returns whether the response is complete.
    fn run(&self, request: ServerRequest, generation: u64) -> bool {
        let (fault, disconnect_point, duration) = {
            let mut state = lock(&self.state);
            let disconnect_point = match &mut state.disconnect {
                Some(disconnect) if disconnect.count > 0 => {
                    disconnect.count -= 1;
                    Some(disconnect.when)
                }
                _ => None,
            };
            (state.fault.next_fault(), disconnect_point, state.duration)
        };
        if disconnect_point == Some(DisconnectPoint::BeforeRun) {
            lock(&self.state).disconnected += 1;
            request.response.disconnect();
            return false;
        }
        let mut due = Instant::now() + duration;
        if fault.mode == FaultMode::Late {
            due += Duration::from_millis(fault.delay_ms);
        }
        let is_read = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        // A request that may have an effect runs to its end even if the caller disconnects, as in
        // most services. This is why a retry without knowledge of the outcome is dangerous.
        let is_finished = if is_read {
            request
                .response
                .wait_until(due, || lock(&self.state).cold_start.is_generation_lost(generation))
        } else {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            true
        };
        let key = request.header("idempotency-key").unwrap_or_default().to_owned();
        let (run, incarnation) = {
            let mut state = lock(&self.state);
            state.requests += 1;
            let run = if is_read {
                state.reads += 1;
                if !is_finished {
                    state.cancelled += 1;
                }
                0
            } else {
                let run = state.runs.entry(key.clone()).or_default();
                *run += 1;
                *run
            };
            (run, state.cold_start.incarnation.clone())
        };
        if !is_finished {
            return false;
        }
        if disconnect_point == Some(DisconnectPoint::AfterRun) {
            lock(&self.state).disconnected += 1;
            request.response.disconnect();
            return false;
        }
        let request_body = if fault.mode == FaultMode::WrongId {
            "foreign".to_owned()
        } else {
            String::from_utf8_lossy(&request.body).into_owned()
        };
        let body = json!({
            "service": self.settings.name,
            "method": request.method,
            "target": request.target,
            "key": key,
            "run": run,
            "body": request_body,
        })
        .to_string();
        let mut headers =
            vec![("x-incarnation", incarnation), ("Content-Type", "application/json".to_owned())];
        if let Some(id) = request.header("x-request-id").and_then(|it| fault.echoed_id(it)) {
            headers.push(("x-request-id", id));
        }
        if matches!(fault.mode, FaultMode::Short | FaultMode::ShortFramed) {
            request.response.send_truncated(&headers, body.as_bytes());
            return false;
        }
        let body = if request.method == "HEAD" { String::new() } else { body };
        request.response.send(200, &headers, body.as_bytes());
        true
    }
}

struct ServiceHandler(Arc<ServiceShared>);

impl RequestHandler for ServiceHandler {
    fn handle(&self, request: ServerRequest) {
        let shared = &self.0;
        match (request.method.as_str(), request.path()) {
            ("GET", "/load") => {
                let now = Instant::now();
                let report = {
                    let mut state = lock(&shared.state);
                    state.request_log.record(&request);
                    state.cold_start.update_warmup(now);
                    shared.record_load(&mut state, now);
                    state.reports.visible(now)
                };
                request.response.send_json(200, &report);
            }
            ("GET", "/control/stats") => request.response.send_json(200, &shared.stats()),
            ("POST", path) if path.starts_with("/control/") => shared.control(request),
            _ => shared.serve(request),
        }
    }
}

/// A running service. It is stopped on drop.
pub struct ServiceServer {
    server: HttpServer,
    shared: Arc<ServiceShared>,
}

impl ServiceServer {
    /// Opens the port and starts to serve requests.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let mut started = None;
        let listen = settings.listen;
        let server = HttpServer::start(listen, |link| {
            let state = ServiceState {
                cold_start: ColdStartState::new(
                    settings.starts_cold,
                    settings.cold_allowance,
                    settings.warmup,
                ),
                reports: ReportHistory::new(settings.load_lag),
                duration: settings.duration,
                runs: BTreeMap::new(),
                requests: 0,
                reads: 0,
                cancelled: 0,
                disconnected: 0,
                request_log: RequestLog::default(),
                fault: ResponseFault::default(),
                disconnect: None,
            };
            let shared = Arc::new(ServiceShared { settings, link, state: Mutex::new(state) });
            shared.record_load(&mut lock(&shared.state), Instant::now());
            started = Some(shared.clone());
            ServiceHandler(shared)
        })?;
        let shared = started.ok_or_else(|| io::Error::other("the service was not created"))?;
        Ok(Self { server, shared })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes all connections and joins the threads of the service.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Returns the counters and state that `GET /control/stats` returns.
    pub fn stats(&self) -> serde_json::Value {
        self.shared.stats()
    }

    /// Returns all received headers and request targets.
    pub fn request_log(&self) -> RequestLog {
        lock(&self.shared.state).request_log.clone()
    }

    /// Returns how often a request with the idempotency key `key` ran.
    pub fn run_count(&self, key: &str) -> u64 {
        lock(&self.shared.state).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns how many requests ran in total, without reads (`GET`, `HEAD` and `OPTIONS`).
    pub fn total_runs(&self) -> u64 {
        lock(&self.shared.state).runs.values().sum()
    }

    /// Makes the service cold. A `silent` cold start keeps the incarnation and does not appear in
    /// the load report.
    pub fn become_cold(&self, silent: bool) {
        self.shared.become_cold(silent);
    }

    /// Sets the duration of later requests.
    pub fn set_duration(&self, duration: Duration) {
        lock(&self.shared.state).duration = duration;
    }

    /// Closes the connections of the next `count` requests without a response.
    pub fn disconnect_next(&self, when: DisconnectPoint, count: u64) {
        lock(&self.shared.state).disconnect = Some(DisconnectRequest { when, count });
    }

    /// Sets the fault of the next responses.
    pub fn set_fault(&self, fault: ResponseFault) {
        lock(&self.shared.state).fault = fault;
    }
}
