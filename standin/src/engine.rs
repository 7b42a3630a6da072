//! Stand-in for a model engine.

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
    http::{Answer, Call, CallHandler, HttpServer, RequestLog},
    link::{TcpLink, lock},
    warmth::{Arrival, WarmthState},
};

/// Text in a message that makes the engine crash.
const CRASH_TEXT: &str = "[[crash]]";

/// Longest answer, in tokens.
const MAX_ANSWER_TOKENS: u64 = 65_536;

/// Length of the list of request ids in the order of their runs.
const MAX_RUN_ORDER: usize = 4_096;

/// Different last messages whose runs are counted.
const MAX_TEXTS: usize = 4_096;

/// Longest part of a last message that is kept, in characters.
const MAX_TEXT_CHARS: usize = 200;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 picks a port.
    pub listen: SocketAddr,
    /// Time until the first token of a request that found its whole prompt in the cache.
    pub first_token_delay: Duration,
    /// Additional time for each prompt token that is not in the cache.
    pub prompt_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of an answer if the request sets no `max_tokens`.
    pub default_max_tokens: u64,
    /// Requests that run at the same time; further ones wait by priority.
    pub capacity: u32,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Whether the engine starts cold.
    pub starts_cold: bool,
    /// Factor on all times while cold.
    pub cold_slowdown: u32,
    /// Requests in flight that a cold engine bears.
    pub cold_allowance: u32,
    /// Time from the first complete answer until the engine is warm.
    pub warmup: Duration,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Age at which a cache event becomes visible.
    pub event_lag: Duration,
    /// Every cache event whose number is a multiple of this is never published; 0 for none.
    pub event_drop_interval: u64,
    /// Whether `x-resume-offset` is honoured; otherwise the answer starts from its first token.
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
    /// Returns the text; content that is not a string counts as its JSON text.
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

/// Returns the token count of a message: its words, and one for the role.
fn message_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64 + 1
}

fn answer_seed(model: &str, hashes: impl IntoIterator<Item = u64>) -> u64 {
    hashes
        .into_iter()
        .fold(xxh3_64(model.as_bytes()), |seed, hash| xxh3_64_with_seed(&hash.to_le_bytes(), seed))
}

fn token_text(seed: u64, index: u64) -> String {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), seed) & 0xffff;
    format!("w{word:04x} ")
}

/// Returns the tokens with which every engine answers these messages (role and text).
pub fn expected_tokens(model: &str, messages: &[(&str, &str)], count: u64) -> Vec<String> {
    let seed = answer_seed(model, messages.iter().map(|(role, text)| message_hash(role, text)));
    (0..count).map(|it| token_text(seed, it)).collect()
}

/// Returns the text of the answer: all tokens in a row.
pub fn expected_text(model: &str, messages: &[(&str, &str)], count: u64) -> String {
    expected_tokens(model, messages, count).concat()
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DieAfter {
    tokens: u64,
    #[serde(default = "one")]
    count: u64,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdRequest {
    #[serde(default)]
    silent: bool,
}

#[derive(Debug, Default)]
struct EngineTotals {
    runs: BTreeMap<String, u64>,
    /// Request ids in the order in which they began to run, the first ones only.
    run_order: Vec<String>,
    /// Runs by the text of the last message.
    texts: BTreeMap<String, u64>,
    received: u64,
    completed: u64,
    cancelled: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated_tokens: u64,
    running: u32,
    peak_running: u32,
    work_tokens: u64,
}

#[derive(Debug)]
struct EngineState {
    warmth: WarmthState,
    cache: PrefixCache,
    events: EventLog,
    reports: ReportHistory,
    totals: EngineTotals,
    log: RequestLog,
    /// Waiting requests by priority and arrival.
    waiting: BTreeSet<(u64, u64)>,
    next_arrival: u64,
    fault: ResponseFault,
    die_after: Option<DieAfter>,
}

struct EngineShared {
    settings: EngineSettings,
    link: Arc<TcpLink>,
    state: Mutex<EngineState>,
    slot_freed: Condvar,
}

impl EngineShared {
    fn report(&self, state: &mut EngineState, now: Instant) {
        let report = LoadReport {
            incarnation: state.warmth.incarnation.clone(),
            running: state.totals.running,
            waiting: state.waiting.len() as u32,
            capacity: self.settings.capacity,
            work_tokens: state.totals.work_tokens,
            cold: state.warmth.announced,
        };
        state.reports.push(now, report);
    }

    fn forget_memory(&self, state: &mut EngineState, now: Instant) {
        for chat in state.cache.clear() {
            state.events.push(now, "evicted", chat);
        }
    }

    fn become_cold(&self, silent: bool) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.warmth.become_cold(silent);
        self.forget_memory(&mut state, now);
        self.report(&mut state, now);
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
            "running": state.totals.running,
            "waiting": state.waiting.len(),
            "peak_in_flight": state.warmth.peak_in_flight,
            "peak_running": state.totals.peak_running,
            "peak_cold": state.warmth.peak_cold,
            "received": state.totals.received,
            "completed": state.totals.completed,
            "cancelled": state.totals.cancelled,
            "prompt_tokens": state.totals.prompt_tokens,
            "cached_tokens": state.totals.cached_tokens,
            "generated_tokens": state.totals.generated_tokens,
            "cache_tokens_used": state.cache.used_tokens(),
            "runs": state.totals.runs,
            "run_order": state.totals.run_order,
            "texts": state.totals.texts,
            "headers": state.log.headers,
            "targets": state.log.targets,
            "dropped_values": state.log.dropped,
        })
    }

    fn control(&self, call: Call) {
        let result = match call.path() {
            "/control/cold" => call.json::<ColdRequest>().map(|it| {
                self.become_cold(it.silent);
            }),
            "/control/die_after" => call.json::<DieAfter>().map(|it| {
                lock(&self.state).die_after = Some(it);
            }),
            "/control/echo" => call.json::<ResponseFault>().map(|it| {
                lock(&self.state).fault = it;
            }),
            _ => {
                let path = call.path().to_owned();
                call.answer.send_error(404, &format!("no control {path} on an engine"));
                return;
            }
        };
        match result {
            Ok(()) => call.answer.send_json(200, &json!({})),
            Err(message) => call.answer.send_error(400, &message),
        }
    }

    fn chat(&self, call: Call) {
        lock(&self.state).log.record(&call);
        let request = match call.json::<ChatRequest>() {
            Ok(request) => request,
            Err(message) => return call.answer.send_error(400, &message),
        };
        if request.messages.iter().any(|it| it.text().contains(CRASH_TEXT)) {
            {
                let now = Instant::now();
                let mut state = lock(&self.state);
                state.totals.received += 1;
                count_run(&mut state, &call);
                state.warmth.crash();
                self.forget_memory(&mut state, now);
                self.report(&mut state, now);
            }
            self.slot_freed.notify_all();
            self.link.drop_connections();
            return call.answer.cut();
        }
        let job = ChatJob::new(&self.settings, &call, request);
        let generation = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.totals.received += 1;
            match state.warmth.arrive(now) {
                Arrival::Taken(generation) => {
                    state.totals.work_tokens += job.work();
                    generation
                }
                Arrival::Fell => {
                    self.forget_memory(&mut state, now);
                    self.report(&mut state, now);
                    drop(state);
                    self.slot_freed.notify_all();
                    self.link.drop_connections();
                    return call.answer.cut();
                }
            }
        };
        let mut open_work = job.work();
        let end = self.run(call, &job, generation, &mut open_work);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.totals.work_tokens -= open_work;
        state.warmth.leave(generation, end == JobEnd::Complete, now);
        match end {
            JobEnd::Complete => state.totals.completed += 1,
            JobEnd::Broken => (),
            JobEnd::Cancelled => state.totals.cancelled += 1,
        }
        self.report(&mut state, now);
    }

    /// Runs a request; `open_work` is what is left of its work in tokens.
    fn run(&self, call: Call, job: &ChatJob, generation: u64, open_work: &mut u64) -> JobEnd {
        if !self.wait_for_slot(&call.answer, job.priority, generation) {
            return JobEnd::Cancelled;
        }
        let now = Instant::now();
        let started = {
            let mut state = lock(&self.state);
            count_run(&mut state, &call);
            if state.totals.texts.len() < MAX_TEXTS || state.totals.texts.contains_key(&job.text) {
                *state.totals.texts.entry(job.text.clone()).or_default() += 1;
            }
            let cached = state.cache.cached_tokens(&job.chat, &job.prompt);
            let prompt: u64 = job.prompt.iter().map(|it| it.1).sum();
            state.totals.prompt_tokens += prompt;
            state.totals.cached_tokens += cached;
            state.totals.work_tokens -= cached;
            *open_work -= cached;
            self.report(&mut state, now);
            let is_streamed = job.stream;
            let die_after = match &mut state.die_after {
                Some(order) if is_streamed && order.count > 0 => {
                    order.count -= 1;
                    Some(order.tokens)
                }
                _ => None,
            };
            RunStart {
                prompt,
                cached,
                fault: state.fault.take(),
                die_after,
                factor: if state.warmth.cold { self.settings.cold_slowdown } else { 1 },
                incarnation: state.warmth.incarnation.clone(),
            }
        };
        let end = self.answer(call, job, generation, started, open_work);
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.totals.running -= 1;
        self.report(&mut state, now);
        drop(state);
        self.slot_freed.notify_all();
        end
    }

    /// Waits for one of the `capacity` slots and takes it.
    fn wait_for_slot(&self, answer: &Answer, priority: u64, generation: u64) -> bool {
        let mut state = lock(&self.state);
        let place = (priority, state.next_arrival);
        state.next_arrival += 1;
        state.waiting.insert(place);
        loop {
            let is_first = state.waiting.first() == Some(&place);
            let is_free = state.totals.running < self.settings.capacity;
            let is_over = answer.is_abandoned() || state.warmth.generation_ended(generation);
            if is_over || (is_first && is_free) {
                state.waiting.remove(&place);
                if !is_over {
                    state.totals.running += 1;
                    state.totals.peak_running = state.totals.peak_running.max(state.totals.running);
                }
                let now = Instant::now();
                self.report(&mut state, now);
                drop(state);
                // The next in line may fit as well.
                self.slot_freed.notify_all();
                return !is_over;
            }
            // The timeout bounds how late an abandoned request leaves the queue.
            state = self
                .slot_freed
                .wait_timeout(state, Duration::from_millis(10))
                .unwrap_or_else(|it| it.into_inner())
                .0;
        }
    }

    fn answer(
        &self,
        call: Call,
        job: &ChatJob,
        generation: u64,
        started: RunStart,
        open_work: &mut u64,
    ) -> JobEnd {
        let mut answer = call.answer;
        let has_ended = || lock(&self.state).warmth.generation_ended(generation);
        let fault = started.fault;
        let factor = started.factor;
        let mut due = Instant::now()
            + factor
                * (self.settings.first_token_delay
                    + self.settings.prompt_token_delay * (started.prompt - started.cached) as u32);
        if fault.mode == FaultMode::Late {
            due += Duration::from_millis(fault.delay_ms);
        }
        if !answer.wait_until(due, has_ended) {
            return JobEnd::Cancelled;
        }
        {
            let prefill = started.prompt - started.cached;
            let now = Instant::now();
            let mut state = lock(&self.state);
            let changes = state.cache.store(&job.chat, job.prompt.clone());
            for (kind, chat) in changes {
                state.events.push(now, kind, chat);
            }
            state.totals.work_tokens -= prefill;
            *open_work -= prefill;
            self.report(&mut state, now);
        }
        let seed = if fault.mode == FaultMode::WrongId { !job.seed } else { job.seed };
        let text_of = |index: u64| {
            let text = token_text(seed, index);
            if fault.mode == FaultMode::WrongId { format!("foreign-{text}") } else { text }
        };
        let mut headers = vec![
            ("x-incarnation", started.incarnation.clone()),
            ("x-prompt-tokens", started.prompt.to_string()),
            ("x-cached-tokens", started.cached.to_string()),
        ];
        if let Some(id) = job.request_id.as_deref().and_then(|it| fault.echoed_id(it)) {
            headers.push(("x-request-id", id));
        }
        if job.stream {
            headers.push(("Content-Type", "text/event-stream".to_owned()));
            if answer.start_chunks(&headers).is_err() {
                return JobEnd::Cancelled;
            }
        }
        let stop_at = match fault.mode {
            FaultMode::Short | FaultMode::ShortFramed if job.stream => {
                Some(job.offset + (job.tokens - job.offset) / 2)
            }
            _ => None,
        };
        let mut whole_text = String::new();
        for index in job.offset..job.tokens {
            if started.die_after == Some(index - job.offset) {
                answer.cut();
                return JobEnd::Broken;
            }
            if stop_at == Some(index) {
                if fault.mode == FaultMode::Short {
                    answer.cut();
                } else {
                    answer.finish_chunks();
                }
                return JobEnd::Broken;
            }
            if index > job.offset {
                due += factor * self.settings.token_interval;
                if !answer.wait_until(due, has_ended) {
                    return JobEnd::Cancelled;
                }
            }
            let text = text_of(index);
            if job.stream {
                let event = json!({
                    "object": "chat.completion.chunk",
                    "model": job.model,
                    "choices": [{ "index": 0, "delta": { "content": text } }],
                });
                if answer.chunk(format!("data: {event}\n\n").as_bytes()).is_err() {
                    return JobEnd::Cancelled;
                }
            }
            whole_text.push_str(&text);
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.totals.generated_tokens += 1;
            state.totals.work_tokens -= 1;
            *open_work -= 1;
            self.report(&mut state, now);
        }
        if job.offset == 0 && fault.mode != FaultMode::WrongId {
            // The next turn of the chat contains this answer.
            let mut turns = job.prompt.clone();
            let text = whole_text.clone();
            turns.push((message_hash("assistant", &text), message_tokens(&text)));
            let now = Instant::now();
            let mut state = lock(&self.state);
            if !state.warmth.generation_ended(generation) {
                for (kind, chat) in state.cache.store(&job.chat, turns) {
                    state.events.push(now, kind, chat);
                }
            }
        }
        if job.stream {
            if answer.chunk(b"data: [DONE]\n\n").is_err() {
                return JobEnd::Cancelled;
            }
            answer.finish_chunks();
            return JobEnd::Complete;
        }
        let body = json!({
            "object": "chat.completion",
            "model": job.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": whole_text },
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": started.prompt,
                "completion_tokens": job.tokens,
            },
        })
        .to_string();
        headers.push(("Content-Type", "application/json".to_owned()));
        if matches!(fault.mode, FaultMode::Short | FaultMode::ShortFramed) {
            answer.send_half(&headers, body.as_bytes());
            return JobEnd::Broken;
        }
        answer.send(200, &headers, body.as_bytes());
        JobEnd::Complete
    }
}

fn count_run(state: &mut EngineState, call: &Call) {
    let id = call.header("x-request-id").unwrap_or_default().to_owned();
    if state.totals.run_order.len() < MAX_RUN_ORDER {
        state.totals.run_order.push(id.clone());
    }
    *state.totals.runs.entry(id).or_default() += 1;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobEnd {
    Complete,
    /// Ended early by a fault that was ordered.
    Broken,
    /// The caller went away, or the engine crashed.
    Cancelled,
}

struct RunStart {
    prompt: u64,
    cached: u64,
    fault: ResponseFault,
    die_after: Option<u64>,
    factor: u32,
    incarnation: String,
}

struct ChatJob {
    request_id: Option<String>,
    /// Beginning of the last message.
    text: String,
    priority: u64,
    chat: String,
    model: String,
    seed: u64,
    /// Hash and tokens of each message.
    prompt: Vec<(u64, u64)>,
    stream: bool,
    tokens: u64,
    /// First token that is sent.
    offset: u64,
}

impl ChatJob {
    /// Returns the work in tokens if nothing of the prompt is cached.
    fn work(&self) -> u64 {
        self.prompt.iter().map(|it| it.1).sum::<u64>() + self.tokens - self.offset
    }

    fn new(settings: &EngineSettings, call: &Call, request: ChatRequest) -> Self {
        let prompt: Vec<(u64, u64)> =
            request.messages.iter().map(|it| (it.hash(), message_tokens(&it.text()))).collect();
        let number = |name: &str| call.header(name).and_then(|it| it.parse::<u64>().ok());
        let chat = match call.header("x-chat-id") {
            Some(chat) => chat.to_owned(),
            None => format!("{:016x}", prompt.first().map_or(0, |it| it.0)),
        };
        let tokens =
            request.max_tokens.unwrap_or(settings.default_max_tokens).min(MAX_ANSWER_TOKENS);
        let offset = match number("x-resume-offset") {
            Some(offset) if settings.supports_resume => offset.min(tokens),
            _ => 0,
        };
        Self {
            request_id: call.header("x-request-id").map(str::to_owned),
            text: request
                .messages
                .last()
                .map(|it| it.text().chars().take(MAX_TEXT_CHARS).collect())
                .unwrap_or_default(),
            priority: number("x-priority").unwrap_or(u64::MAX),
            chat,
            seed: answer_seed(&request.model, prompt.iter().map(|it| it.0)),
            model: request.model,
            prompt,
            stream: request.stream,
            tokens,
            offset,
        }
    }
}

struct EngineHandler(Arc<EngineShared>);

impl CallHandler for EngineHandler {
    fn handle(&self, call: Call) {
        let shared = &self.0;
        match (call.method.as_str(), call.path()) {
            ("POST", "/v1/chat/completions") => shared.chat(call),
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
            ("GET", "/events") => {
                let after = call.query_number("after").unwrap_or(0);
                let page = {
                    let mut state = lock(&shared.state);
                    state.log.record(&call);
                    state.events.page(after, Instant::now())
                };
                call.answer.send_json(200, &page);
            }
            ("GET", "/control/stats") => call.answer.send_json(200, &shared.stats()),
            ("POST", path) if path.starts_with("/control/") => shared.control(call),
            (method, path) => {
                let message = format!("an engine does not serve {method} {path}");
                call.answer.send_error(404, &message);
            }
        }
    }
}

/// A running engine; it stops on drop.
pub struct EngineServer {
    server: HttpServer,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Opens the port and starts serving.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let mut shared = None;
        let listen = settings.listen;
        let server = HttpServer::start(listen, |link| {
            let now = Instant::now();
            let warmth =
                WarmthState::new(settings.starts_cold, settings.cold_allowance, settings.warmup);
            let state = EngineState {
                cache: PrefixCache::new(settings.cache_tokens),
                events: EventLog::new(settings.event_lag, settings.event_drop_interval),
                reports: ReportHistory::new(settings.load_lag),
                totals: EngineTotals::default(),
                log: RequestLog::default(),
                waiting: BTreeSet::new(),
                next_arrival: 0,
                fault: ResponseFault::default(),
                die_after: None,
                warmth,
            };
            let made = Arc::new(EngineShared {
                settings,
                link,
                state: Mutex::new(state),
                slot_freed: Condvar::new(),
            });
            made.report(&mut lock(&made.state), now);
            shared = Some(made.clone());
            EngineHandler(made)
        })?;
        let shared = shared.ok_or_else(|| io::Error::other("the engine was not created"))?;
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

    /// Returns what `GET /control/stats` answers.
    pub fn stats(&self) -> serde_json::Value {
        self.shared.stats()
    }

    /// Returns all headers and request targets received.
    pub fn request_log(&self) -> RequestLog {
        lock(&self.shared.state).log.clone()
    }

    /// Makes the engine cold; `silent` keeps the incarnation and hides it from the report.
    pub fn become_cold(&self, silent: bool) {
        self.shared.become_cold(silent);
    }

    /// Breaks the connection of each of the next `count` streams after `tokens` tokens.
    pub fn disconnect_streams_after(&self, tokens: u64, count: u64) {
        lock(&self.shared.state).die_after = Some(DieAfter { tokens, count });
    }

    /// Sets the fault of the next answers.
    pub fn set_fault(&self, fault: ResponseFault) {
        lock(&self.shared.state).fault = fault;
    }
}

/// One page of cache events.
#[derive(Clone, Debug, Serialize)]
struct EventPage {
    next: u64,
    events: Vec<CacheEvent>,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
struct CacheEvent {
    number: u64,
    kind: &'static str,
    chat: String,
}
