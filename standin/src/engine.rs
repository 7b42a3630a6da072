//! Stand-in for a model engine: an OpenAI-style chat server that generates deterministic tokens.
//!
//! It models what routing depends on: a queue by priority, a prefix cache, delayed load reports,
//! cold starts, and crashes.

mod cache;
mod reports;

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub(crate) use self::reports::{LoadReport, ReportHistory};
use self::{cache::PrefixCache, reports::EventLog};
use crate::{
    faults::{FaultMode, ResponseFault},
    http::{HttpServer, RequestHandler, RequestLog, ResponseWriter, ServerRequest},
    link::{TcpLink, lock},
    warmth::{Admission, ColdStartState},
};

/// Text in a message that makes the engine crash.
const CRASH_TEXT: &str = "[[crash]]";

/// Longest response, in tokens.
const MAX_RESPONSE_TOKENS: u64 = 65_536;

/// Request ids kept in [`EngineTotals::run_order`].
const MAX_RUN_ORDER: usize = 4_096;

/// Distinct last messages whose runs are counted.
const MAX_COUNTED_MESSAGES: usize = 4_096;

/// Length to which a last message is truncated for the counts, in characters.
const MAX_MESSAGE_CHARS: usize = 200;

/// Address, timing, capacity and cold start behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time until the first token of a request whose full prompt is in the cache.
    pub first_token_delay: Duration,
    /// Additional time for each prompt token that is not in the cache.
    pub prompt_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Length of the response, in tokens, to a request without `max_tokens`.
    pub default_max_tokens: u64,
    /// Requests that run concurrently; further ones wait in the order of their priority.
    pub capacity: u32,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Whether the engine starts cold.
    pub starts_cold: bool,
    /// Factor by which all times are longer while the engine is cold.
    pub cold_slowdown: u32,
    /// Requests in flight that a cold engine tolerates; one more makes it crash.
    pub cold_allowance: u32,
    /// Time from the first complete response until the engine is warm.
    pub warmup: Duration,
    /// Delay after which a change of the load is reported.
    pub load_lag: Duration,
    /// Delay after which a cache event is published.
    pub event_lag: Duration,
    /// Cache events whose number is a multiple of this are never published, which leaves gaps in
    /// the numbers; 0 publishes all events.
    pub event_drop_interval: u64,
    /// Whether `x-resume-offset` is honoured; otherwise every response starts at its first token.
    pub supports_resume: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            first_token_delay: Duration::from_millis(20),
            prompt_token_delay: Duration::ZERO,
            token_interval: Duration::from_millis(5),
            default_max_tokens: 16,
            capacity: 8,
            cache_tokens: 100_000,
            starts_cold: false,
            cold_slowdown: 4,
            cold_allowance: 2,
            warmup: Duration::from_millis(500),
            load_lag: Duration::from_millis(100),
            event_lag: Duration::from_millis(200),
            event_drop_interval: 10,
            supports_resume: true,
        }
    }
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

impl ChatMessage {
    /// Returns the content as text; content that is not a string is serialised as JSON.
    fn text(&self) -> String {
        match &self.content {
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    fn hash(&self) -> u64 {
        message_hash(&self.role, &self.text())
    }
}

fn message_hash(role: &str, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), xxh3_64(role.as_bytes()))
}

/// Returns the token count of a message: one for each word and one for the role.
fn message_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64 + 1
}

/// Returns the seed that determines all tokens of a response, from the model and the hashes of the
/// messages.
fn response_seed(model: &str, hashes: impl IntoIterator<Item = u64>) -> u64 {
    hashes
        .into_iter()
        .fold(xxh3_64(model.as_bytes()), |seed, hash| xxh3_64_with_seed(&hash.to_le_bytes(), seed))
}

/// Returns the text of the token at `index` of a response.
fn token_text(seed: u64, index: u64) -> String {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), seed) & 0xffff;
    format!("w{word:04x} ")
}

/// Returns the first `count` tokens of the response of any engine to `messages` (role and text).
pub fn expected_tokens(model: &str, messages: &[(&str, &str)], count: u64) -> Vec<String> {
    let seed = response_seed(model, messages.iter().map(|(role, text)| message_hash(role, text)));
    (0..count).map(|it| token_text(seed, it)).collect()
}

/// Returns the concatenated [`expected_tokens`].
pub fn expected_text(model: &str, messages: &[(&str, &str)], count: u64) -> String {
    expected_tokens(model, messages, count).concat()
}

/// Body of `POST /control/die_after`: closes the connections of the next `count` streams.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StreamDisconnect {
    /// Tokens that a stream sends before its connection is closed.
    tokens: u64,
    #[serde(default = "one")]
    count: u64,
}

fn one() -> u64 {
    1
}

/// Body of `POST /control/cold`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdRequest {
    #[serde(default)]
    silent: bool,
}

#[derive(Debug, Default)]
struct EngineTotals {
    /// Runs by request id.
    runs_by_id: BTreeMap<String, u64>,
    /// Request ids in the order in which the requests started to run, up to [`MAX_RUN_ORDER`].
    run_order: Vec<String>,
    /// Runs by the beginning of the last message.
    runs_by_text: BTreeMap<String, u64>,
    received: u64,
    completed: u64,
    cancelled: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated_tokens: u64,
    running: u32,
    peak_running: u32,
    /// Prompt and response tokens still to be processed, of running and waiting requests.
    work_tokens: u64,
}

#[derive(Debug)]
struct EngineState {
    cold_start: ColdStartState,
    cache: PrefixCache,
    events: EventLog,
    reports: ReportHistory,
    totals: EngineTotals,
    request_log: RequestLog,
    /// Waiting requests, by priority (lowest value first) and order of arrival.
    waiting: BTreeSet<(u64, u64)>,
    next_arrival: u64,
    fault: ResponseFault,
    stream_disconnect: Option<StreamDisconnect>,
}

struct EngineShared {
    settings: EngineSettings,
    link: Arc<TcpLink>,
    state: Mutex<EngineState>,
    slot_freed: Condvar,
}

impl EngineShared {
    /// Appends the current load to the history of reports.
    fn record_load(&self, state: &mut EngineState, now: Instant) {
        let report = LoadReport {
            incarnation: state.cold_start.incarnation.clone(),
            running: state.totals.running,
            waiting: state.waiting.len() as u32,
            capacity: self.settings.capacity,
            work_tokens: state.totals.work_tokens,
            cold: state.cold_start.is_reported_cold,
        };
        state.reports.push(now, report);
    }

    /// Empties the prefix cache and records an eviction event for each chat.
    fn clear_cache(&self, state: &mut EngineState, now: Instant) {
        for chat in state.cache.clear() {
            state.events.push(now, "evicted", chat);
        }
    }

    fn become_cold(&self, silent: bool) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.cold_start.become_cold(silent);
        self.clear_cache(&mut state, now);
        self.record_load(&mut state, now);
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
            "running": state.totals.running,
            "waiting": state.waiting.len(),
            "peak_in_flight": state.cold_start.peak_in_flight,
            "peak_running": state.totals.peak_running,
            "peak_cold": state.cold_start.peak_cold_in_flight,
            "received": state.totals.received,
            "completed": state.totals.completed,
            "cancelled": state.totals.cancelled,
            "prompt_tokens": state.totals.prompt_tokens,
            "cached_tokens": state.totals.cached_tokens,
            "generated_tokens": state.totals.generated_tokens,
            "cache_tokens_used": state.cache.used_tokens(),
            "runs": state.totals.runs_by_id,
            "run_order": state.totals.run_order,
            "texts": state.totals.runs_by_text,
            "headers": state.request_log.headers,
            "targets": state.request_log.targets,
            "dropped_values": state.request_log.dropped,
        })
    }

    fn control(&self, request: ServerRequest) {
        let result = match request.path() {
            "/control/cold" => request.json::<ColdRequest>().map(|it| {
                self.become_cold(it.silent);
            }),
            "/control/die_after" => request.json::<StreamDisconnect>().map(|it| {
                lock(&self.state).stream_disconnect = Some(it);
            }),
            "/control/echo" => request.json::<ResponseFault>().map(|it| {
                lock(&self.state).fault = it;
            }),
            _ => {
                let path = request.path().to_owned();
                request.response.send_error(404, &format!("no control {path} on an engine"));
                return;
            }
        };
        match result {
            Ok(()) => request.response.send_json(200, &json!({})),
            Err(message) => request.response.send_error(400, &message),
        }
    }

    /// Handles a chat request, from its admission to the end of its response.
    fn serve_chat(&self, request: ServerRequest) {
        lock(&self.state).request_log.record(&request);
        let chat_request = match request.json::<ChatRequest>() {
            Ok(chat_request) => chat_request,
            Err(message) => return request.response.send_error(400, &message),
        };
        if chat_request.messages.iter().any(|it| it.text().contains(CRASH_TEXT)) {
            {
                let now = Instant::now();
                let mut state = lock(&self.state);
                state.totals.received += 1;
                record_run(&mut state, &request);
                state.cold_start.crash();
                self.clear_cache(&mut state, now);
                self.record_load(&mut state, now);
            }
            self.slot_freed.notify_all();
            self.link.drop_connections();
            return request.response.disconnect();
        }
        let job = ChatJob::new(&self.settings, &request, chat_request);
        let generation = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.totals.received += 1;
            match state.cold_start.admit(now) {
                Admission::Accepted(generation) => {
                    state.totals.work_tokens += job.total_work();
                    generation
                }
                Admission::Overloaded => {
                    self.clear_cache(&mut state, now);
                    self.record_load(&mut state, now);
                    drop(state);
                    self.slot_freed.notify_all();
                    self.link.drop_connections();
                    return request.response.disconnect();
                }
            }
        };
        let mut remaining_work = job.total_work();
        let outcome = self.run(request, &job, generation, &mut remaining_work);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.totals.work_tokens -= remaining_work;
        state.cold_start.finish_request(generation, outcome == JobOutcome::Complete, now);
        match outcome {
            JobOutcome::Complete => state.totals.completed += 1,
            JobOutcome::Broken => (),
            JobOutcome::Cancelled => state.totals.cancelled += 1,
        }
        self.record_load(&mut state, now);
    }

    /// Waits for a slot and runs a request. Subtracts finished work from `remaining_work`, in
    /// tokens.
    fn run(
        &self,
        request: ServerRequest,
        job: &ChatJob,
        generation: u64,
        remaining_work: &mut u64,
    ) -> JobOutcome {
        if !self.wait_for_slot(&request.response, job.priority, generation) {
            return JobOutcome::Cancelled;
        }
        let now = Instant::now();
        let run = {
            let mut state = lock(&self.state);
            record_run(&mut state, &request);
            if state.totals.runs_by_text.len() < MAX_COUNTED_MESSAGES
                || state.totals.runs_by_text.contains_key(&job.last_message)
            {
                *state.totals.runs_by_text.entry(job.last_message.clone()).or_default() += 1;
            }
            let cached_tokens = state.cache.cached_tokens(&job.chat_id, &job.prompt);
            let prompt_tokens: u64 = job.prompt.iter().map(|it| it.1).sum();
            state.totals.prompt_tokens += prompt_tokens;
            state.totals.cached_tokens += cached_tokens;
            state.totals.work_tokens -= cached_tokens;
            *remaining_work -= cached_tokens;
            self.record_load(&mut state, now);
            let is_stream = job.stream;
            let disconnect_after = match &mut state.stream_disconnect {
                Some(disconnect) if is_stream && disconnect.count > 0 => {
                    disconnect.count -= 1;
                    Some(disconnect.tokens)
                }
                _ => None,
            };
            JobRun {
                prompt_tokens,
                cached_tokens,
                fault: state.fault.next_fault(),
                disconnect_after,
                slowdown: if state.cold_start.is_cold { self.settings.cold_slowdown } else { 1 },
                incarnation: state.cold_start.incarnation.clone(),
            }
        };
        let outcome = self.respond(request, job, generation, run, remaining_work);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.totals.running -= 1;
        self.record_load(&mut state, now);
        drop(state);
        self.slot_freed.notify_all();
        outcome
    }

    /// Waits for one of the `capacity` slots and occupies it. Returns false if the request is
    /// cancelled first.
    fn wait_for_slot(&self, response: &ResponseWriter, priority: u64, generation: u64) -> bool {
        let mut state = lock(&self.state);
        let queue_key = (priority, state.next_arrival);
        state.next_arrival += 1;
        state.waiting.insert(queue_key);
        loop {
            let is_first = state.waiting.first() == Some(&queue_key);
            let is_free = state.totals.running < self.settings.capacity;
            let is_cancelled =
                response.is_abandoned() || state.cold_start.is_generation_lost(generation);
            if is_cancelled || (is_first && is_free) {
                state.waiting.remove(&queue_key);
                if !is_cancelled {
                    state.totals.running += 1;
                    state.totals.peak_running = state.totals.peak_running.max(state.totals.running);
                }
                let now = Instant::now();
                self.record_load(&mut state, now);
                drop(state);
                // Another slot may be free for the next waiting request.
                self.slot_freed.notify_all();
                return !is_cancelled;
            }
            // Nothing notifies this thread when the caller disconnects, so the timeout bounds how
            // long an abandoned request stays in the queue.
            state = self
                .slot_freed
                .wait_timeout(state, Duration::from_millis(10))
                .unwrap_or_else(|it| it.into_inner())
                .0;
        }
    }

    /// Generates the tokens of a running request and sends the response.
    fn respond(
        &self,
        request: ServerRequest,
        job: &ChatJob,
        generation: u64,
        run: JobRun,
        remaining_work: &mut u64,
    ) -> JobOutcome {
        let mut response = request.response;
        let is_lost = || lock(&self.state).cold_start.is_generation_lost(generation);
        let fault = run.fault;
        let slowdown = run.slowdown;
        let mut due = Instant::now()
            + slowdown
                * (self.settings.first_token_delay
                    + self.settings.prompt_token_delay
                        * (run.prompt_tokens - run.cached_tokens) as u32);
        if fault.mode == FaultMode::Late {
            due += Duration::from_millis(fault.delay_ms);
        }
        if !response.wait_until(due, is_lost) {
            return JobOutcome::Cancelled;
        }
        {
            let prefill = run.prompt_tokens - run.cached_tokens;
            let now = Instant::now();
            let mut state = lock(&self.state);
            let changes = state.cache.store(&job.chat_id, job.prompt.clone());
            for (kind, chat) in changes {
                state.events.push(now, kind, chat);
            }
            state.totals.work_tokens -= prefill;
            *remaining_work -= prefill;
            self.record_load(&mut state, now);
        }
        let seed = if fault.mode == FaultMode::WrongId { !job.seed } else { job.seed };
        let token_at = |index: u64| {
            let text = token_text(seed, index);
            if fault.mode == FaultMode::WrongId { format!("foreign-{text}") } else { text }
        };
        let mut headers = vec![
            ("x-incarnation", run.incarnation.clone()),
            ("x-prompt-tokens", run.prompt_tokens.to_string()),
            ("x-cached-tokens", run.cached_tokens.to_string()),
        ];
        if let Some(id) = job.request_id.as_deref().and_then(|it| fault.echoed_id(it)) {
            headers.push(("x-request-id", id));
        }
        if job.stream {
            headers.push(("Content-Type", "text/event-stream".to_owned()));
            if response.start_chunked(&headers).is_err() {
                return JobOutcome::Cancelled;
            }
        }
        let truncate_at = match fault.mode {
            FaultMode::Short | FaultMode::ShortFramed if job.stream => {
                Some(job.resume_offset + (job.max_tokens - job.resume_offset) / 2)
            }
            _ => None,
        };
        let mut full_text = String::new();
        for index in job.resume_offset..job.max_tokens {
            if run.disconnect_after == Some(index - job.resume_offset) {
                response.disconnect();
                return JobOutcome::Broken;
            }
            if truncate_at == Some(index) {
                if fault.mode == FaultMode::Short {
                    response.disconnect();
                } else {
                    response.finish_chunked();
                }
                return JobOutcome::Broken;
            }
            if index > job.resume_offset {
                due += slowdown * self.settings.token_interval;
                if !response.wait_until(due, is_lost) {
                    return JobOutcome::Cancelled;
                }
            }
            let text = token_at(index);
            if job.stream {
                let event = json!({
                    "object": "chat.completion.chunk",
                    "model": job.model,
                    "choices": [{ "index": 0, "delta": { "content": text } }],
                });
                if response.send_chunk(format!("data: {event}\n\n").as_bytes()).is_err() {
                    return JobOutcome::Cancelled;
                }
            }
            full_text.push_str(&text);
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.totals.generated_tokens += 1;
            state.totals.work_tokens -= 1;
            *remaining_work -= 1;
            self.record_load(&mut state, now);
        }
        if job.resume_offset == 0 && fault.mode != FaultMode::WrongId {
            // The prompt of the next turn of the chat contains this response.
            let mut messages = job.prompt.clone();
            let text = full_text.clone();
            messages.push((message_hash("assistant", &text), message_tokens(&text)));
            let now = Instant::now();
            let mut state = lock(&self.state);
            if !state.cold_start.is_generation_lost(generation) {
                for (kind, chat) in state.cache.store(&job.chat_id, messages) {
                    state.events.push(now, kind, chat);
                }
            }
        }
        if job.stream {
            if response.send_chunk(b"data: [DONE]\n\n").is_err() {
                return JobOutcome::Cancelled;
            }
            response.finish_chunked();
            return JobOutcome::Complete;
        }
        let body = json!({
            "object": "chat.completion",
            "model": job.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": full_text },
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": run.prompt_tokens,
                "completion_tokens": job.max_tokens,
            },
        })
        .to_string();
        headers.push(("Content-Type", "application/json".to_owned()));
        if matches!(fault.mode, FaultMode::Short | FaultMode::ShortFramed) {
            response.send_truncated(&headers, body.as_bytes());
            return JobOutcome::Broken;
        }
        response.send(200, &headers, body.as_bytes());
        JobOutcome::Complete
    }
}

/// Counts a request that starts to run.
fn record_run(state: &mut EngineState, request: &ServerRequest) {
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    if state.totals.run_order.len() < MAX_RUN_ORDER {
        state.totals.run_order.push(id.clone());
    }
    *state.totals.runs_by_id.entry(id).or_default() += 1;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobOutcome {
    Complete,
    /// Ended early by an injected fault.
    Broken,
    /// The caller disconnected, or the engine crashed.
    Cancelled,
}

/// What is determined when a request starts to run.
struct JobRun {
    prompt_tokens: u64,
    cached_tokens: u64,
    fault: ResponseFault,
    /// Tokens after which the connection is closed.
    disconnect_after: Option<u64>,
    slowdown: u32,
    incarnation: String,
}

/// A chat request, parsed.
struct ChatJob {
    request_id: Option<String>,
    /// First characters of the last message.
    last_message: String,
    priority: u64,
    chat_id: String,
    model: String,
    seed: u64,
    /// Hash and token count of each message.
    prompt: Vec<(u64, u64)>,
    stream: bool,
    max_tokens: u64,
    /// Index of the first token that is sent.
    resume_offset: u64,
}

impl ChatJob {
    /// Returns the prompt and response tokens to process if nothing of the prompt is cached.
    fn total_work(&self) -> u64 {
        self.prompt.iter().map(|it| it.1).sum::<u64>() + self.max_tokens - self.resume_offset
    }

    fn new(settings: &EngineSettings, request: &ServerRequest, chat_request: ChatRequest) -> Self {
        let prompt: Vec<(u64, u64)> = chat_request
            .messages
            .iter()
            .map(|it| (it.hash(), message_tokens(&it.text())))
            .collect();
        let number = |name: &str| request.header(name).and_then(|it| it.parse::<u64>().ok());
        let chat_id = match request.header("x-chat-id") {
            Some(chat_id) => chat_id.to_owned(),
            None => format!("{:016x}", prompt.first().map_or(0, |it| it.0)),
        };
        let max_tokens =
            chat_request.max_tokens.unwrap_or(settings.default_max_tokens).min(MAX_RESPONSE_TOKENS);
        let resume_offset = match number("x-resume-offset") {
            Some(offset) if settings.supports_resume => offset.min(max_tokens),
            _ => 0,
        };
        Self {
            request_id: request.header("x-request-id").map(str::to_owned),
            last_message: chat_request
                .messages
                .last()
                .map(|it| it.text().chars().take(MAX_MESSAGE_CHARS).collect())
                .unwrap_or_default(),
            priority: number("x-priority").unwrap_or(u64::MAX),
            chat_id,
            seed: response_seed(&chat_request.model, prompt.iter().map(|it| it.0)),
            model: chat_request.model,
            prompt,
            stream: chat_request.stream,
            max_tokens,
            resume_offset,
        }
    }
}

struct EngineHandler(Arc<EngineShared>);

impl RequestHandler for EngineHandler {
    fn handle(&self, request: ServerRequest) {
        let shared = &self.0;
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/chat/completions") => shared.serve_chat(request),
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
            ("GET", "/events") => {
                let after = request.query_number("after").unwrap_or(0);
                let page = {
                    let mut state = lock(&shared.state);
                    state.request_log.record(&request);
                    state.events.page(after, Instant::now())
                };
                request.response.send_json(200, &page);
            }
            ("GET", "/control/stats") => request.response.send_json(200, &shared.stats()),
            ("POST", path) if path.starts_with("/control/") => shared.control(request),
            (method, path) => {
                let message = format!("an engine does not serve {method} {path}");
                request.response.send_error(404, &message);
            }
        }
    }
}

/// A running engine. It is stopped on drop.
pub struct EngineServer {
    server: HttpServer,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Opens the port and starts to serve requests.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let mut started = None;
        let listen = settings.listen;
        let server = HttpServer::start(listen, |link| {
            let now = Instant::now();
            let cold_start =
                ColdStartState::new(settings.starts_cold, settings.cold_allowance, settings.warmup);
            let state = EngineState {
                cache: PrefixCache::new(settings.cache_tokens),
                events: EventLog::new(settings.event_lag, settings.event_drop_interval),
                reports: ReportHistory::new(settings.load_lag),
                totals: EngineTotals::default(),
                request_log: RequestLog::default(),
                waiting: BTreeSet::new(),
                next_arrival: 0,
                fault: ResponseFault::default(),
                stream_disconnect: None,
                cold_start,
            };
            let shared = Arc::new(EngineShared {
                settings,
                link,
                state: Mutex::new(state),
                slot_freed: Condvar::new(),
            });
            shared.record_load(&mut lock(&shared.state), now);
            started = Some(shared.clone());
            EngineHandler(shared)
        })?;
        let shared = started.ok_or_else(|| io::Error::other("the engine was not created"))?;
        Ok(Self { server, shared })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes all connections and joins the threads of the engine.
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

    /// Makes the engine cold and clears its cache. A `silent` cold start keeps the incarnation and
    /// does not appear in the load report.
    pub fn become_cold(&self, silent: bool) {
        self.shared.become_cold(silent);
    }

    /// Closes the connection of each of the next `count` streams after `tokens` tokens.
    pub fn disconnect_streams_after(&self, tokens: u64, count: u64) {
        lock(&self.shared.state).stream_disconnect = Some(StreamDisconnect { tokens, count });
    }

    /// Sets the fault of the next responses.
    pub fn set_fault(&self, fault: ResponseFault) {
        lock(&self.shared.state).fault = fault;
    }
}

/// A page of cache events.
#[derive(Clone, Debug, Serialize)]
struct EventPage {
    /// Number of the last event; the reader passes it as `after` to get the next page.
    next: u64,
    events: Vec<CacheEvent>,
}

/// A chat that the prefix cache has stored or evicted.
#[derive(Clone, Debug, Serialize)]
struct CacheEvent {
    number: u64,
    /// `stored` or `evicted`.
    kind: &'static str,
    chat: String,
}
