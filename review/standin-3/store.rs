//! The platform's store: items with revisions, listings and watches.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, read_request, write_response};

/// Largest number of items of a page.
const PAGE_ITEMS: usize = 500;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    create_rev: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// `None` if the item was removed.
    item: Option<Item>,
}

/// What the store holds, with its whole history.
#[derive(Clone, Debug, Default)]
pub struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
    gone_answers: u64,
    /// When each address last called.
    last_calls: HashMap<SocketAddr, Instant>,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Opens the store on an address.
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        store.lock().era = 1;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                served.accept(stream);
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self, stream: TcpStream) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            state.connections.push(copy);
        }
        drop(state);
        let store = self.clone();
        thread::spawn(move || store.serve(stream));
    }

    /// Writes an item; returns its revision, or none while the store is away.
    pub fn put(&self, key: &str, value: impl AsRef<[u8]>) -> Option<u64> {
        let state = &mut *self.lock();
        if state.is_away {
            return None;
        }
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        let create_rev = content.items.get(key).map_or(revision, |it| it.create_rev);
        let item = Item { value: value.as_ref().to_vec(), revision, create_rev };
        content.items.insert(key.to_owned(), item.clone());
        content.history.push(Change { key: key.to_owned(), revision, item: Some(item) });
        self.state.1.notify_all();
        Some(revision)
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.lock().content.revision
    }

    /// Returns the era.
    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Returns the number of watches that got 410.
    pub fn gone_answers(&self) -> u64 {
        self.lock().gone_answers
    }

    /// Returns the addresses that called within `time`.
    pub fn readers(&self, time: Duration) -> HashSet<SocketAddr> {
        let state = self.lock();
        let recent = state.last_calls.iter().filter(|(_, at)| at.elapsed() < time);
        recent.map(|(address, _)| *address).collect()
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// Ends all connections and accepts no calls until [`Self::come_back`].
    pub fn go_away(&self) {
        let state = &mut *self.lock();
        state.is_away = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
    }

    /// Serves again, from a copy.
    pub fn come_back(&self, copy: Content) {
        let state = &mut *self.lock();
        state.content = copy;
        state.era += 1;
        state.is_away = false;
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if let Ok(peer) = stream.peer_addr() {
                self.lock().last_calls.insert(peer, Instant::now());
            }
            let Some((status, body, era)) = self.answer(&request) else {
                return;
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", &*era.to_string())];
            if write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; none if the store is away.
    fn answer(&self, request: &Message) -> Option<(&'static str, String, u64)> {
        let path = request.target().split('?').next().unwrap_or_default();
        let state = self.lock();
        if state.is_away {
            return None;
        }
        match path {
            "/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                let content = &state.content;
                Some(match content.items.get(&key) {
                    Some(item) => {
                        let text = item_text(&key, item);
                        let text = text.trim_end_matches('}');
                        let text = format!("{text},\"store_revision\":{}}}", content.revision);
                        ("200 OK", text, state.era)
                    }
                    None => ("404 Not Found", "{}".to_owned(), state.era),
                })
            }
            "/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let content = &state.content;
                let rest = content.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let rest: Vec<_> = rest.filter(|(key, _)| **key > after).collect();
                let page: Vec<String> =
                    rest.iter().take(PAGE_ITEMS).map(|(key, item)| item_text(key, item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"more_pages\":{},\"store_revision\":{}}}",
                    page.join(","),
                    rest.len() > PAGE_ITEMS,
                    content.revision
                );
                Some(("200 OK", body, state.era))
            }
            "/kv-watch" => self.watch(state, request),
            _ => Some(("404 Not Found", "{}".to_owned(), state.era)),
        }
    }

    fn watch(
        &self,
        mut state: MutexGuard<'_, State>,
        request: &Message,
    ) -> Option<(&'static str, String, u64)> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let prefix = request.query("prefix").unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                // A watch that waits is cut.
                return None;
            }
            if after > state.content.revision {
                state.gone_answers += 1;
                return Some(("410 Gone", "{}".to_owned(), era));
            }
            let changes = state.content.history.iter().rev();
            let changes = changes.take_while(|it| it.revision > after);
            let mut changes: Vec<&Change> =
                changes.filter(|it| it.key.starts_with(&prefix)).collect();
            changes.reverse();
            let now = Instant::now();
            if !changes.is_empty() || now >= deadline {
                let events: Vec<String> = changes.iter().map(|it| change_text(it)).collect();
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.content.revision
                );
                return Some(("200 OK", body, era));
            }
            let waited = self.state.1.wait_timeout(state, deadline - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.create_rev
    )
}

fn change_text(change: &Change) -> String {
    match &change.item {
        Some(item) => item_text(&change.key, item),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            change.key, change.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let part = |index: usize| u32::from(block.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= block.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
