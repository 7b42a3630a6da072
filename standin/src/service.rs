//! Stand-in for a plain HTTP service.

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
    http::{Call, CallHandler, HttpServer, RequestLog},
    link::{TcpLink, lock},
    warmth::{Arrival, WarmthState},
};

/// How a service behaves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 picks a port.
    pub listen: SocketAddr,
    /// Name that appears in answers.
    pub name: String,
    /// Time from the request to the answer; a call counts as run at its end.
    pub duration: Duration,
    /// Capacity in the load report; it limits nothing.
    pub capacity: u32,
    /// Whether the service starts cold.
    pub starts_cold: bool,
    /// Calls in flight that a cold service bears.
    pub cold_allowance: u32,
    /// Time from the first complete answer until the service is warm.
    pub warmup: Duration,
    /// Age of the load report.
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

/// Where the service breaks the connection of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisconnectPoint {
    /// Before the call has any effect.
    BeforeRun,
    /// After the call had its effect and before any byte of the answer.
    AfterRun,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BreakOrder {
    when: DisconnectPoint,
    #[serde(default = "one")]
    count: u64,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DurationRequest {
    ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdRequest {
    #[serde(default)]
    silent: bool,
}

#[derive(Debug)]
struct ServiceState {
    warmth: WarmthState,
    reports: ReportHistory,
    duration: Duration,
    runs: BTreeMap<String, u64>,
    calls: u64,
    reads: u64,
    cancelled: u64,
    broken: u64,
    log: RequestLog,
    fault: ResponseFault,
    break_order: Option<BreakOrder>,
}

struct ServiceShared {
    settings: ServiceSettings,
    link: Arc<TcpLink>,
    state: Mutex<ServiceState>,
}

impl ServiceShared {
    fn report(&self, state: &mut ServiceState, now: Instant) {
        let report = LoadReport {
            incarnation: state.warmth.incarnation.clone(),
            running: state.warmth.in_flight,
            waiting: 0,
            capacity: self.settings.capacity,
            work_tokens: u64::from(state.warmth.in_flight),
            cold: state.warmth.announced,
        };
        state.reports.push(now, report);
    }

    fn stats(&self) -> serde_json::Value {
        let mut state = lock(&self.state);
        state.warmth.refresh(Instant::now());
        let state = &*state;
        json!({
            "incarnation": state.warmth.incarnation,
            "cold": state.warmth.cold,
            "falls": state.warmth.falls,
            "crashes": state.warmth.crashes,
            "in_flight": state.warmth.in_flight,
            "peak_in_flight": state.warmth.peak_in_flight,
            "peak_cold": state.warmth.peak_cold,
            "calls": state.calls,
            "reads": state.reads,
            "cancelled": state.cancelled,
            "broken": state.broken,
            "runs": state.runs,
            "headers": state.log.headers,
            "targets": state.log.targets,
            "dropped_values": state.log.dropped,
        })
    }

    fn become_cold(&self, silent: bool) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.warmth.become_cold(silent);
        self.report(&mut state, now);
    }

    fn control(&self, call: Call) {
        let result = match call.path() {
            "/control/cold" => call.json::<ColdRequest>().map(|it| self.become_cold(it.silent)),
            "/control/duration" => call.json::<DurationRequest>().map(|it| {
                lock(&self.state).duration = Duration::from_millis(it.ms);
            }),
            "/control/break" => call.json::<BreakOrder>().map(|it| {
                lock(&self.state).break_order = Some(it);
            }),
            "/control/echo" => call.json::<ResponseFault>().map(|it| {
                lock(&self.state).fault = it;
            }),
            _ => {
                let path = call.path().to_owned();
                call.answer.send_error(404, &format!("no control {path} on a service"));
                return;
            }
        };
        match result {
            Ok(()) => call.answer.send_json(200, &json!({})),
            Err(message) => call.answer.send_error(400, &message),
        }
    }

    fn call(&self, call: Call) {
        let generation = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.log.record(&call);
            let arrival = state.warmth.arrive(now);
            self.report(&mut state, now);
            match arrival {
                Arrival::Taken(generation) => generation,
                Arrival::Fell => {
                    drop(state);
                    self.link.drop_connections();
                    return call.answer.cut();
                }
            }
        };
        let is_complete = self.run(call, generation);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.warmth.leave(generation, is_complete, now);
        self.report(&mut state, now);
    }

    fn run(&self, call: Call, generation: u64) -> bool {
        let (fault, break_point, duration) = {
            let mut state = lock(&self.state);
            let break_point = match &mut state.break_order {
                Some(order) if order.count > 0 => {
                    order.count -= 1;
                    Some(order.when)
                }
                _ => None,
            };
            (state.fault.take(), break_point, state.duration)
        };
        if break_point == Some(DisconnectPoint::BeforeRun) {
            lock(&self.state).broken += 1;
            call.answer.cut();
            return false;
        }
        let mut due = Instant::now() + duration;
        if fault.mode == FaultMode::Late {
            due += Duration::from_millis(fault.delay_ms);
        }
        let is_read = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        // A call that may have an effect runs to its end even if the caller goes away, as most
        // services do; it is the case that makes a blind repeat dangerous.
        let waited = if is_read {
            call.answer.wait_until(due, || lock(&self.state).warmth.generation_ended(generation))
        } else {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            true
        };
        let key = call.header("idempotency-key").unwrap_or_default().to_owned();
        let (run, incarnation) = {
            let mut state = lock(&self.state);
            state.calls += 1;
            let run = if is_read {
                state.reads += 1;
                if !waited {
                    state.cancelled += 1;
                }
                0
            } else {
                let run = state.runs.entry(key.clone()).or_default();
                *run += 1;
                *run
            };
            (run, state.warmth.incarnation.clone())
        };
        if !waited {
            return false;
        }
        if break_point == Some(DisconnectPoint::AfterRun) {
            lock(&self.state).broken += 1;
            call.answer.cut();
            return false;
        }
        let request_body = if fault.mode == FaultMode::WrongId {
            "foreign".to_owned()
        } else {
            String::from_utf8_lossy(&call.body).into_owned()
        };
        let body = json!({
            "service": self.settings.name,
            "method": call.method,
            "target": call.target,
            "key": key,
            "run": run,
            "body": request_body,
        })
        .to_string();
        let mut headers =
            vec![("x-incarnation", incarnation), ("Content-Type", "application/json".to_owned())];
        if let Some(id) = call.header("x-request-id").and_then(|it| fault.echoed_id(it)) {
            headers.push(("x-request-id", id));
        }
        if matches!(fault.mode, FaultMode::Short | FaultMode::ShortFramed) {
            call.answer.send_half(&headers, body.as_bytes());
            return false;
        }
        let body = if call.method == "HEAD" { String::new() } else { body };
        call.answer.send(200, &headers, body.as_bytes());
        true
    }
}

struct ServiceHandler(Arc<ServiceShared>);

impl CallHandler for ServiceHandler {
    fn handle(&self, call: Call) {
        let shared = &self.0;
        match (call.method.as_str(), call.path()) {
            ("GET", "/load") => {
                let now = Instant::now();
                let report = {
                    let mut state = lock(&shared.state);
                    state.log.record(&call);
                    state.warmth.refresh(now);
                    shared.report(&mut state, now);
                    state.reports.visible(now)
                };
                call.answer.send_json(200, &report);
            }
            ("GET", "/control/stats") => call.answer.send_json(200, &shared.stats()),
            ("POST", path) if path.starts_with("/control/") => shared.control(call),
            _ => shared.call(call),
        }
    }
}

/// A running service; it stops on drop.
pub struct ServiceServer {
    server: HttpServer,
    shared: Arc<ServiceShared>,
}

impl ServiceServer {
    /// Opens the port and starts serving.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let mut shared = None;
        let listen = settings.listen;
        let server = HttpServer::start(listen, |link| {
            let state = ServiceState {
                warmth: WarmthState::new(
                    settings.starts_cold,
                    settings.cold_allowance,
                    settings.warmup,
                ),
                reports: ReportHistory::new(settings.load_lag),
                duration: settings.duration,
                runs: BTreeMap::new(),
                calls: 0,
                reads: 0,
                cancelled: 0,
                broken: 0,
                log: RequestLog::default(),
                fault: ResponseFault::default(),
                break_order: None,
            };
            let made = Arc::new(ServiceShared { settings, link, state: Mutex::new(state) });
            made.report(&mut lock(&made.state), Instant::now());
            shared = Some(made.clone());
            ServiceHandler(made)
        })?;
        let shared = shared.ok_or_else(|| io::Error::other("the service was not created"))?;
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

    /// Returns what `GET /control/stats` answers.
    pub fn stats(&self) -> serde_json::Value {
        self.shared.stats()
    }

    /// Returns all headers and request targets received.
    pub fn request_log(&self) -> RequestLog {
        lock(&self.shared.state).log.clone()
    }

    /// Returns how often a call with `key` ran.
    pub fn run_count(&self, key: &str) -> u64 {
        lock(&self.shared.state).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns how many calls other than reads ran in total.
    pub fn total_runs(&self) -> u64 {
        lock(&self.shared.state).runs.values().sum()
    }

    /// Makes the service cold; `silent` keeps the incarnation and hides it from the report.
    pub fn become_cold(&self, silent: bool) {
        self.shared.become_cold(silent);
    }

    /// Changes the duration of later calls.
    pub fn set_duration(&self, duration: Duration) {
        lock(&self.shared.state).duration = duration;
    }

    /// Breaks the connections of the next `count` calls.
    pub fn disconnect_next(&self, when: DisconnectPoint, count: u64) {
        lock(&self.shared.state).break_order = Some(BreakOrder { when, count });
    }

    /// Sets the fault of the next answers.
    pub fn set_fault(&self, fault: ResponseFault) {
        lock(&self.shared.state).fault = fault;
    }
}
