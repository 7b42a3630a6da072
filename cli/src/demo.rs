//! `snipepond demo`: runs two routers with stand-ins for the platform, the engines and a service in
//! one process, and shows how they handle requests.

use std::{
    ffi::OsString,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use snipepond::{
    catalogue::KeyHash,
    clock::SystemClock,
    daemon::{RouterDaemon, RouterDependencies},
    peer::HttpPeer,
    platform::HttpPlatform,
    settings::{RouterCommand, RouterSettings},
    status::{ExplainReport, StepOutcome},
    upstream::HttpUpstream,
};
use snipepond_standin::{
    EngineServer, EngineSettings, HostEntry, PlatformServer, PlatformSettings, ServiceServer,
    ServiceSettings,
};

use crate::{
    command::{CommandError, CommandIo, CommandResult, ExitStatus, print_help},
    fetch::RouterUrl,
};

/// API key of the caller; the catalogue contains only its hash.
const CALLER_KEY: &str = "demo-key-of-the-tool-library";

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait until both routers are ready and enforce the team's limit, and until a withdrawn
/// key is refused.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    if let Some(arg) = parser.next()? {
        return match arg {
            lexopt::Arg::Long("help") => print_help(io),
            _ => Err(arg.unexpected().into()),
        };
    }
    let fleet = DemoFleet::start()?;
    fleet.wait_until_ready()?;
    writeln!(io.output, "Two routers, two engines, one service and a platform run on loopback.\n")?;
    fleet.show_chat(io)?;
    fleet.show_lookup(io)?;
    fleet.show_checkout(io)?;
    fleet.show_withdrawn_key(io)?;
    fleet.stop();
    writeln!(io.output, "Both routers stopped without cutting a request.")?;
    Ok(ExitStatus::Success)
}

/// The servers of the demo, all on loopback.
struct DemoFleet {
    platform: PlatformServer,
    engines: Vec<EngineServer>,
    service: ServiceServer,
    routers: Vec<RouterDaemon>,
    agent: ureq::Agent,
}

/// Response as the caller receives it.
struct DemoResponse {
    status: u16,
    /// Value of the `x-outcome` header: whether the request ran.
    outcome: String,
    body: String,
    headers: Vec<(String, String)>,
}

impl DemoResponse {
    /// Returns the value of a header, or `-` without it.
    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(it, _)| it == name).map_or("-", |(_, value)| value)
    }
}

impl DemoFleet {
    fn start() -> Result<Self, CommandError> {
        let platform = PlatformServer::start(PlatformSettings::default())?;
        let engines = vec![
            EngineServer::start(EngineSettings::default())?,
            EngineServer::start(EngineSettings::default())?,
        ];
        let service = ServiceServer::start(ServiceSettings::default())?;
        let addresses: Vec<SocketAddr> = engines.iter().map(EngineServer::address).collect();
        platform.set_entries(catalogue(&addresses, service.address()));
        let mut routers = Vec::new();
        for number in 1..=2 {
            routers.push(start_router(number, platform.address())?);
        }
        let hosts = routers.iter().zip(1..).map(|(router, number)| HostEntry {
            name: format!("entry-{number}"),
            address: router.admin_address().to_string(),
            data_centre: format!("dc-{number}"),
            state: "live".to_owned(),
        });
        platform.set_hosts(hosts.collect());
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .into();
        Ok(Self { platform, engines, service, routers, agent })
    }

    /// Waits until each router admits a request of the team.
    fn wait_until_ready(&self) -> Result<(), CommandError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        for index in 0..self.routers.len() {
            loop {
                let response = self.send_request(index, "GET", "/v1/tools/0", &[], "")?;
                if response.status == 200 {
                    break;
                }
                if Instant::now() >= deadline {
                    let reason = format!("router {} is not ready: {}", index + 1, response.body);
                    return Err(CommandError::Failed(reason));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    fn send_request(
        &self,
        router_index: usize,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<DemoResponse, CommandError> {
        let request_error =
            |reason: String| CommandError::Failed(format!("{method} {target}: {reason}"));
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.routers[router_index].address()))
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let http_response = if method == "GET" {
            self.agent.run(request.body(()).map_err(|it| request_error(it.to_string()))?)
        } else {
            self.agent
                .run(request.body(body.to_owned()).map_err(|it| request_error(it.to_string()))?)
        };
        let mut http_response = http_response.map_err(|it| request_error(it.to_string()))?;
        let body = http_response
            .body_mut()
            .read_to_string()
            .map_err(|it| request_error(it.to_string()))?;
        let headers: Vec<(String, String)> = http_response
            .headers()
            .iter()
            .map(|(name, value)| {
                (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
            })
            .collect();
        let mut response = DemoResponse {
            status: http_response.status().as_u16(),
            outcome: String::new(),
            body,
            headers,
        };
        response.outcome = response.header("x-outcome").to_owned();
        Ok(response)
    }

    /// Prints the steps by which the first router decides about a request.
    fn print_explanation(&self, io: &mut CommandIo<'_>, query: &str) -> Result<(), CommandError> {
        let admin = self.routers[0].admin_address();
        let url = RouterUrl::parse(&format!("http://{admin}"))?;
        let report: ExplainReport = url.get(&format!("/explain?{query}"))?;
        for step in report.steps.iter().filter(|it| it.outcome != StepOutcome::Skipped) {
            writeln!(io.output, "    why: {}: {}", step.name, step.detail)?;
        }
        Ok(())
    }

    fn show_chat(&self, io: &mut CommandIo<'_>) -> Result<(), CommandError> {
        writeln!(io.output, "1. A chat that returns through the other router")?;
        let mut messages = vec![json!({"role": "user", "content": "Which saw cuts oak boards?"})];
        for router_index in 0..self.routers.len() {
            let body = json!({
                "model": "advisor", "stream": true, "max_tokens": 8, "messages": messages,
            });
            let headers = [("x-chat-id", "repair-17"), ("content-type", "application/json")];
            let path = "/v1/chat/completions";
            let response =
                self.send_request(router_index, "POST", path, &headers, &body.to_string())?;
            let text = streamed_text(&response.body);
            writeln!(
                io.output,
                "  through router {}: status {}, engine incarnation {}, {} of {} prompt tokens cached",
                router_index + 1,
                response.status,
                response.header("x-incarnation"),
                response.header("x-cached-tokens"),
                response.header("x-prompt-tokens"),
            )?;
            messages.push(json!({"role": "assistant", "content": text}));
            messages.push(json!({"role": "user", "content": "And for plywood?"}));
        }
        self.print_explanation(io, "model=advisor&chat=repair-17&team=tool-library")?;
        Ok(writeln!(io.output)?)
    }

    fn show_lookup(&self, io: &mut CommandIo<'_>) -> Result<(), CommandError> {
        writeln!(io.output, "2. A look-up that may be repeated")?;
        let response = self.send_request(0, "GET", "/v1/tools/17", &[], "")?;
        writeln!(io.output, "  status {}, outcome {}", response.status, response.outcome)?;
        self.print_explanation(io, "path=%2Fv1%2Ftools%2F17&method=GET&team=tool-library")?;
        Ok(writeln!(io.output)?)
    }

    fn show_checkout(&self, io: &mut CommandIo<'_>) -> Result<(), CommandError> {
        writeln!(io.output, "3. A checkout that must run once, sent through both routers")?;
        let issued = self.send_request(0, "POST", "/v1/operations", &[], "")?;
        let ticket: Value = serde_json::from_str(&issued.body)
            .map_err(|error| CommandError::Failed(format!("ticket is not JSON: {error}")))?;
        let ticket = ticket["idempotency_key"].as_str().unwrap_or_default().to_owned();
        for router_index in 0..self.routers.len() {
            let headers = [("idempotency-key", ticket.as_str())];
            let response =
                self.send_request(router_index, "POST", "/v1/checkouts", &headers, "drill 5")?;
            writeln!(
                io.output,
                "  through router {}: status {}, outcome {}, replayed {}",
                router_index + 1,
                response.status,
                response.outcome,
                response.header("x-replayed"),
            )?;
        }
        writeln!(io.output, "  the service ran it {} time(s)\n", self.service.run_count(&ticket))?;
        Ok(())
    }

    fn show_withdrawn_key(&self, io: &mut CommandIo<'_>) -> Result<(), CommandError> {
        writeln!(io.output, "4. The operator withdraws the key")?;
        self.platform.set_entry("key/counter", key_entry("withdrawn"));
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let mut response = self.send_request(1, "GET", "/v1/tools/17", &[], "")?;
        while response.status == 200 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
            response = self.send_request(1, "GET", "/v1/tools/17", &[], "")?;
        }
        writeln!(io.output, "  status {}, outcome {}\n", response.status, response.outcome)?;
        Ok(())
    }

    fn stop(self) {
        for router in self.routers {
            router.shutdown();
        }
        for engine in &self.engines {
            engine.stop();
        }
        self.service.stop();
        self.platform.stop();
    }
}

fn start_router(number: usize, platform: SocketAddr) -> Result<RouterDaemon, CommandError> {
    let arguments = [
        format!("--host=entry-{number}"),
        format!("--data-centre=dc-{number}"),
        "--listen=127.0.0.1:0".to_owned(),
        "--admin-listen=127.0.0.1:0".to_owned(),
        format!("--platform=http://{platform}"),
        // The stand-in of the platform publishes without lag, so these times can be short.
        "--validity-ms=400".to_owned(),
        "--list-lag-ms=100".to_owned(),
        "--margin-ms=100".to_owned(),
        "--drain-timeout-ms=5000".to_owned(),
    ];
    let parsed = RouterSettings::parse(arguments, |_| None::<OsString>)
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    let RouterCommand::Run(settings) = parsed else { unreachable!("no argument asks for help") };
    let dependencies = RouterDependencies {
        clock: Arc::new(SystemClock),
        platform: Arc::new(HttpPlatform::new(&settings.platform)),
        upstream: Arc::new(HttpUpstream::new()),
        peers: Arc::new(HttpPeer::new()),
    };
    RouterDaemon::start(*settings, dependencies)
        .map_err(|error| CommandError::Failed(format!("router {number}: {error:#}")))
}

fn key_entry(state: &str) -> Value {
    let hash = KeyHash::of(CALLER_KEY).to_string();
    json!({"team": "tool-library", "sha256": hash, "state": state})
}

fn catalogue(engines: &[SocketAddr], service: SocketAddr) -> Vec<(&'static str, Value)> {
    let engine = |address: SocketAddr, centre: &str| {
        json!({
            "owner": "models", "kind": "engine", "address": address, "data_centre": centre,
            "models": ["advisor"], "capacity": 8, "cold_allowance": 2, "warmup_ms": 500,
            "state": "in_service", "resume": true,
        })
    };
    let route = |path: &str, method: &str, once: bool| {
        json!({
            "owner": "counter", "path": path, "methods": [method], "kind": "service",
            "service": "counter", "once": once,
        })
    };
    let centre = json!({"region": "quebec", "state": "in_service"});
    vec![
        ("class/waiting", json!({"priority": 0, "deadline_ms": 400, "queue_ms": 5000})),
        ("data_centre/dc-1", centre.clone()),
        ("data_centre/dc-2", centre),
        (
            "team/tool-library",
            json!({"owner": "counter", "class": "waiting", "rate": 50.0, "burst": 20}),
        ),
        ("key/counter", key_entry("active")),
        ("route/chat", json!({"owner": "models", "path": "/v1/chat/completions", "kind": "chat"})),
        ("route/tools", route("/v1/tools", "GET", false)),
        ("route/checkouts", route("/v1/checkouts", "POST", true)),
        ("upstream/engine-1", engine(engines[0], "dc-1")),
        ("upstream/engine-2", engine(engines[1], "dc-2")),
        (
            "upstream/counter-1",
            json!({
                "owner": "counter", "kind": "service", "address": service, "data_centre": "dc-1",
                "service": "counter", "capacity": 64, "cold_allowance": 4, "warmup_ms": 500,
                "state": "in_service",
            }),
        ),
    ]
}

/// Joins the tokens of a streamed chat response.
fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|it| it.strip_prefix("data: "))
        .filter_map(|it| serde_json::from_str::<Value>(it).ok())
        .filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}
