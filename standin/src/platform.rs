//! Stand-in for the platform, from which hosts read their configuration and the list of hosts.
//!
//! Readers use long polls: they send the revision or version they have and wait for a newer one.
//! Several replicas can serve the same state, each with faults of its own.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    http::{HttpServer, RequestHandler, ResponseWriter, ServerRequest},
    link::lock,
};

/// Upper bound on the wait of a long poll, in milliseconds.
const MAX_POLL_WAIT_MS: u64 = 60_000;

/// Delay before a replica sends its older state to a reader with a newer one, in milliseconds. It
/// bounds the rate at which such a reader can poll.
const OLDER_STATE_DELAY_MS: u64 = 200;

/// Most recent host lists that are kept, so that older ones can be served.
const MAX_HOST_LISTS: usize = 4_096;

/// Address, history and lag of a platform or replica.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Revisions for which deltas are available; a reader that is further behind receives the full
    /// configuration.
    pub history_revisions: u64,
    /// Initial value of [`PlatformFaults::list_lag`].
    pub list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            history_revisions: 1_000,
            list_lag: Duration::ZERO,
        }
    }
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address of its peer and administration port, IP:port.
    pub address: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Injected faults of a platform or replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Connections of readers are closed without a response.
    pub down: bool,
    /// The replica serves the state that it had when this was set.
    pub frozen: bool,
    /// A reader with a newer state than a frozen replica receives the older state after 200 ms,
    /// instead of status 304 after its wait.
    pub serve_older: bool,
    /// Delay after which a new host list is served.
    pub list_lag: Duration,
}

/// Body of `POST /control/mode`. Absent fields keep their value.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultsRequest {
    down: Option<bool>,
    frozen: Option<bool>,
    serve_older: Option<bool>,
    list_lag_ms: Option<u64>,
}

/// Body of `POST /control/entries`, which is applied in one revision.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EntriesRequest {
    #[serde(default)]
    set: BTreeMap<String, Value>,
    #[serde(default)]
    remove: Vec<String>,
}

/// Body of `POST /control/hosts`. `hosts` is applied first, then `set`, then `remove`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsRequest {
    /// Replacement of the full list.
    hosts: Option<Vec<HostEntry>>,
    #[serde(default)]
    set: Vec<HostEntry>,
    #[serde(default)]
    remove: Vec<String>,
}

/// Configuration entries at one revision. An entry without a value is a tombstone.
#[derive(Clone, Debug, Default)]
struct ConfigState {
    revision: u64,
    /// Revision and value by key.
    entries: BTreeMap<String, (u64, Option<String>)>,
    /// Oldest revision for which a delta is available; older tombstones are dropped.
    oldest_base: u64,
}

impl ConfigState {
    /// Sets and removes entries in one new revision.
    fn apply(
        &mut self,
        history_revisions: u64,
        set: BTreeMap<String, String>,
        remove: Vec<String>,
    ) {
        self.revision += 1;
        for (key, value) in set {
            self.entries.insert(key, (self.revision, Some(value)));
        }
        for key in remove {
            if self.entries.contains_key(&key) {
                self.entries.insert(key, (self.revision, None));
            }
        }
        self.oldest_base = self.oldest_base.max(self.revision.saturating_sub(history_revisions));
        let oldest_base = self.oldest_base;
        self.entries.retain(|_, (revision, value)| value.is_some() || *revision > oldest_base);
    }

    /// Returns the delta since revision `after`, or all entries with `base` 0 if there is no such
    /// delta.
    fn page(&self, after: u64) -> Value {
        let base = if after < self.oldest_base || after > self.revision { 0 } else { after };
        let entries: Vec<Value> = self
            .entries
            .iter()
            .filter(|(_, (revision, value))| *revision > base && (base != 0 || value.is_some()))
            .map(|(key, (revision, value))| {
                json!({ "key": key, "revision": revision, "value": value })
            })
            .collect();
        json!({ "base": base, "revision": self.revision, "entries": entries })
    }
}

/// A version of the host list and the time of its publication.
#[derive(Clone, Debug)]
struct HostList {
    published: Instant,
    version: u64,
    hosts: Vec<HostEntry>,
}

#[derive(Debug)]
struct SharedState {
    config: ConfigState,
    /// Host lists, oldest first.
    lists: VecDeque<HostList>,
}

/// State that all replicas share.
#[derive(Debug)]
struct PlatformStore {
    history_revisions: u64,
    state: Mutex<SharedState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct ReplicaState {
    faults: PlatformFaults,
    /// State that is served while `faults.frozen` is set.
    frozen: Option<(ConfigState, HostList)>,
    config_requests: u64,
    host_requests: u64,
    /// Long polls in progress.
    waiting: u64,
    /// Responses with an older state than the reader's.
    older_responses: u64,
}

impl ReplicaState {
    /// Returns whether a reader that has `after` receives the older state `served` after its poll
    /// has lasted `waited` of `wait`.
    fn serves_older(&self, served: u64, after: u64, waited: Duration, wait: Duration) -> bool {
        let delay = wait.min(Duration::from_millis(OLDER_STATE_DELAY_MS));
        served < after && self.frozen.is_some() && self.faults.serve_older && waited >= delay
    }
}

struct PlatformShared {
    store: Arc<PlatformStore>,
    replica: Mutex<ReplicaState>,
}

impl PlatformShared {
    /// Returns the newest host list published by the given time (any time if `None`), or the oldest
    /// list if there is none.
    fn newest_list(state: &SharedState, published_by: Option<Instant>) -> HostList {
        state
            .lists
            .iter()
            .rev()
            .find(|it| published_by.is_none_or(|limit| it.published <= limit))
            .or(state.lists.front())
            .cloned()
            .unwrap_or_else(|| HostList {
                published: Instant::now(),
                version: 0,
                hosts: Vec::new(),
            })
    }

    /// Returns the newest host list that is at least `lag` old.
    fn visible_list(state: &SharedState, lag: Duration) -> HostList {
        Self::newest_list(state, Instant::now().checked_sub(lag))
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let state = lock(&self.store.state);
        let mut replica = lock(&self.replica);
        if faults.frozen && replica.frozen.is_none() {
            let list = Self::visible_list(&state, replica.faults.list_lag);
            replica.frozen = Some((state.config.clone(), list));
        }
        if !faults.frozen {
            replica.frozen = None;
        }
        replica.faults = faults;
        self.store.changed.notify_all();
    }

    /// Responds to a long poll with the first page that `read` returns, or with status 304 after
    /// `wait`.
    ///
    /// `read` receives the time since the start of the poll, and returns `None` while there is
    /// nothing newer for the reader.
    fn poll(
        &self,
        response: ResponseWriter,
        wait: Duration,
        read: impl Fn(&SharedState, &mut ReplicaState, Duration) -> Option<Value>,
    ) {
        let started = Instant::now();
        let deadline = started + wait;
        lock(&self.replica).waiting += 1;
        let mut state = lock(&self.store.state);
        let page = loop {
            let now = Instant::now();
            {
                let mut replica = lock(&self.replica);
                if replica.faults.down || response.is_abandoned() {
                    break Err(());
                }
                let page = read(&state, &mut replica, now - started);
                if page.is_some() || now >= deadline {
                    break Ok(page);
                }
            }
            // Nothing notifies this thread when a delayed host list becomes visible or the reader
            // disconnects, so the timeout bounds how late these are detected.
            let timeout = (deadline - now).min(Duration::from_millis(20));
            state = self
                .store
                .changed
                .wait_timeout(state, timeout)
                .unwrap_or_else(|it| it.into_inner())
                .0;
        };
        drop(state);
        lock(&self.replica).waiting -= 1;
        match page {
            Ok(Some(page)) => response.send_json(200, &page),
            Ok(None) => response.send(304, &[], b""),
            Err(()) => response.disconnect(),
        }
    }

    fn serve_config(&self, request: ServerRequest) {
        lock(&self.replica).config_requests += 1;
        let after = request.query_number("after").unwrap_or(0);
        let wait = wait_limit(&request);
        self.poll(request.response, wait, |state, replica, waited| {
            let config = match &replica.frozen {
                Some((config, _)) => config,
                None => &state.config,
            };
            if config.revision > after {
                return Some(config.page(after));
            }
            let is_older = replica.serves_older(config.revision, after, waited, wait);
            let page = is_older.then(|| config.page(after));
            replica.older_responses += u64::from(is_older);
            page
        });
    }

    fn serve_hosts(&self, request: ServerRequest) {
        lock(&self.replica).host_requests += 1;
        let after = request.query_number("after").unwrap_or(0);
        let wait = wait_limit(&request);
        self.poll(request.response, wait, |state, replica, waited| {
            let list = match &replica.frozen {
                Some((_, list)) => list.clone(),
                None => Self::visible_list(state, replica.faults.list_lag),
            };
            let is_older = replica.serves_older(list.version, after, waited, wait);
            replica.older_responses += u64::from(is_older);
            (is_older || list.version > after)
                .then(|| json!({ "version": list.version, "hosts": list.hosts }))
        });
    }

    fn stats(&self) -> Value {
        let state = lock(&self.store.state);
        let replica = lock(&self.replica);
        json!({
            "revision": state.config.revision,
            "version": state.lists.back().map_or(0, |it| it.version),
            "config_calls": replica.config_requests,
            "host_calls": replica.host_requests,
            "waiting": replica.waiting,
            "older_answers": replica.older_responses,
            "down": replica.faults.down,
            "frozen": replica.faults.frozen,
            "list_lag_ms": replica.faults.list_lag.as_millis() as u64,
        })
    }

    fn change_entries(&self, set: BTreeMap<String, String>, remove: Vec<String>) -> u64 {
        let mut state = lock(&self.store.state);
        state.config.apply(self.store.history_revisions, set, remove);
        self.store.changed.notify_all();
        state.config.revision
    }

    fn change_hosts(&self, change: impl FnOnce(&mut Vec<HostEntry>)) -> u64 {
        let mut state = lock(&self.store.state);
        let last = Self::newest_list(&state, None);
        let mut hosts = last.hosts;
        change(&mut hosts);
        let version = last.version + 1;
        state.lists.push_back(HostList { published: Instant::now(), version, hosts });
        if state.lists.len() > MAX_HOST_LISTS {
            state.lists.pop_front();
        }
        self.store.changed.notify_all();
        version
    }

    fn control(&self, request: ServerRequest) {
        let result = match request.path() {
            "/control/entries" => request.json::<EntriesRequest>().map(|it| {
                let set = it.set.into_iter().map(|(key, value)| (key, value.to_string())).collect();
                json!({ "revision": self.change_entries(set, it.remove) })
            }),
            "/control/hosts" => request.json::<HostsRequest>().map(|it| {
                let version = self.change_hosts(|hosts| {
                    if let Some(replacement) = it.hosts {
                        *hosts = replacement;
                    }
                    for entry in it.set {
                        hosts.retain(|it| it.name != entry.name);
                        hosts.push(entry);
                    }
                    hosts.retain(|host| !it.remove.contains(&host.name));
                });
                json!({ "version": version })
            }),
            "/control/mode" => request.json::<FaultsRequest>().map(|it| {
                let old = lock(&self.replica).faults;
                self.set_faults(PlatformFaults {
                    down: it.down.unwrap_or(old.down),
                    frozen: it.frozen.unwrap_or(old.frozen),
                    serve_older: it.serve_older.unwrap_or(old.serve_older),
                    list_lag: it.list_lag_ms.map_or(old.list_lag, Duration::from_millis),
                });
                json!({})
            }),
            _ => {
                let path = request.path().to_owned();
                request.response.send_error(404, &format!("no control {path} on a platform"));
                return;
            }
        };
        match result {
            Ok(body) => request.response.send_json(200, &body),
            Err(message) => request.response.send_error(400, &message),
        }
    }
}

/// Returns how long a long poll may wait.
fn wait_limit(request: &ServerRequest) -> Duration {
    Duration::from_millis(request.query_number("wait_ms").unwrap_or(0).min(MAX_POLL_WAIT_MS))
}

struct PlatformHandler(Arc<PlatformShared>);

impl RequestHandler for PlatformHandler {
    fn handle(&self, request: ServerRequest) {
        let shared = &self.0;
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/config") => shared.serve_config(request),
            ("GET", "/v1/hosts") => shared.serve_hosts(request),
            ("GET", "/control/stats") => request.response.send_json(200, &shared.stats()),
            ("POST", path) if path.starts_with("/control/") => shared.control(request),
            (method, path) => {
                let message = format!("a platform does not serve {method} {path}");
                request.response.send_error(404, &message);
            }
        }
    }
}

/// A running platform, or a replica of one. It is stopped on drop.
pub struct PlatformServer {
    server: HttpServer,
    shared: Arc<PlatformShared>,
}

impl PlatformServer {
    /// Opens the port and starts to serve an empty configuration and host list.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start(settings: PlatformSettings) -> io::Result<Self> {
        let store = Arc::new(PlatformStore {
            history_revisions: settings.history_revisions,
            state: Mutex::new(SharedState {
                config: ConfigState::default(),
                lists: VecDeque::new(),
            }),
            changed: Condvar::new(),
        });
        Self::start_on(store, settings)
    }

    /// Starts a replica that shares the entries and hosts and has its own faults and counters.
    /// `history_revisions` of `settings` has no effect.
    ///
    /// # Errors
    /// The port cannot be opened, or a thread cannot be started.
    pub fn start_replica(&self, settings: PlatformSettings) -> io::Result<Self> {
        Self::start_on(self.shared.store.clone(), settings)
    }

    fn start_on(store: Arc<PlatformStore>, settings: PlatformSettings) -> io::Result<Self> {
        let faults = PlatformFaults { list_lag: settings.list_lag, ..PlatformFaults::default() };
        let shared = Arc::new(PlatformShared {
            store,
            replica: Mutex::new(ReplicaState { faults, ..ReplicaState::default() }),
        });
        let handler = PlatformHandler(shared.clone());
        let server = HttpServer::start(settings.listen, |_| handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes all connections and joins the threads of the platform.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Returns the counters and state that `GET /control/stats` returns.
    pub fn stats(&self) -> Value {
        self.shared.stats()
    }

    /// Sets an entry and returns the new revision.
    pub fn set_entry(&self, key: &str, value: Value) -> u64 {
        self.set_entries([(key, value)])
    }

    /// Sets several entries in one new revision and returns the revision.
    pub fn set_entries<'a>(&self, entries: impl IntoIterator<Item = (&'a str, Value)>) -> u64 {
        let set =
            entries.into_iter().map(|(key, value)| (key.to_owned(), value.to_string())).collect();
        self.shared.change_entries(set, Vec::new())
    }

    /// Sets an entry to a text that may be invalid JSON, and returns the new revision.
    pub fn set_raw_entry(&self, key: &str, text: &str) -> u64 {
        let set = BTreeMap::from([(key.to_owned(), text.to_owned())]);
        self.shared.change_entries(set, Vec::new())
    }

    /// Removes an entry and returns the new revision.
    pub fn remove_entry(&self, key: &str) -> u64 {
        self.shared.change_entries(BTreeMap::new(), vec![key.to_owned()])
    }

    /// Replaces the host list and returns its new version.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) -> u64 {
        self.shared.change_hosts(|it| *it = hosts)
    }

    /// Returns the newest host list.
    pub fn hosts(&self) -> Vec<HostEntry> {
        PlatformShared::newest_list(&lock(&self.shared.store.state), None).hosts
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> u64 {
        lock(&self.shared.store.state).config.revision
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> PlatformFaults {
        lock(&self.shared.replica).faults
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults);
    }
}
