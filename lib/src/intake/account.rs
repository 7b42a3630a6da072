//! The account of what a process holds for its callers, and the decision which body goes first.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use hyper::body::Bytes;
use tokio::sync::Notify;

/// Body that may grow also while larger ones take up their part of the account, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Largest block of an unfinished body, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Part of the account that only small bodies and responses may take, as a divisor: an eighth.
const SMALL_SHARE: usize = 8;

/// Memory of a host that one account covers, in eighths. The rest is for the program, what it knows
/// of the fleet, and what the allocator keeps.
const ACCOUNT_EIGHTHS: usize = 5;

/// Memory that the responses of upstreams may take, in tenths of the host's memory.
const RESPONSE_TENTHS: usize = 3;

/// Part of the account that open connections may take, as a divisor.
const CONNECTION_SHARE: usize = 2;

/// Memory that an open connection of a caller takes beside bodies and responses, in bytes: the read
/// and write buffers of the HTTP library and the task.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// Part of the descriptors that callers may take, in quarters. The rest is for upstreams, other
/// hosts, the store and files.
const CALLER_DESCRIPTOR_QUARTERS: usize = 3;

/// Bytes that all accounts of this process hold.
static HELD_BYTES: AtomicU64 = AtomicU64::new(0);

/// Number of unfinished bodies that were given up for others.
static EVICTED_BODIES: AtomicU64 = AtomicU64::new(0);

/// Returns the bytes that this process holds for its callers.
pub fn held_bytes() -> u64 {
    HELD_BYTES.load(Ordering::Relaxed)
}

/// Returns the number of unfinished bodies that this process gave up for want of memory.
pub fn evicted_bodies() -> u64 {
    EVICTED_BODIES.load(Ordering::Relaxed)
}

/// Size of the host, as the settings state it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSize {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// File descriptors of the process.
    pub descriptors: usize,
}

impl HostSize {
    /// Returns the size of the account, in bytes.
    pub fn account_bytes(&self) -> usize {
        self.memory_bytes / 8 * ACCOUNT_EIGHTHS
    }

    /// Returns the memory that the responses of upstreams may take, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.memory_bytes / 10 * RESPONSE_TENTHS
    }

    /// Returns the number of connections that callers may keep open.
    pub fn caller_connections(&self) -> usize {
        let by_memory = self.account_bytes() / CONNECTION_SHARE / CONNECTION_BYTES;
        (self.descriptors / 4 * CALLER_DESCRIPTOR_QUARTERS).min(by_memory).max(1)
    }
}

/// Why memory was not granted, or is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// The account is full, and nothing that is larger could be given up.
    #[error("the memory for callers is used up")]
    MemoryFull,
    /// The body was given up for another one.
    #[error("the body was given up because memory is short")]
    Evicted,
}

/// An unfinished body. Its blocks have one size once it is not small, so that what one body gives up
/// another one can use, and the allocator keeps little besides.
#[derive(Debug)]
struct BodyEntry {
    blocks: Vec<Vec<u8>>,
    /// Capacity of all blocks, in bytes.
    held: usize,
    length: usize,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct AccountState {
    /// Bytes charged: connections, responses, finished bodies, and capacities of unfinished ones.
    bytes: usize,
    next_body: u64,
    /// Unfinished bodies in the order of their beginning.
    unfinished: BTreeMap<u64, BodyEntry>,
}

/// What a process holds for its callers: connections, bodies of requests, and responses that wait
/// for their callers.
///
/// While it is full, unfinished bodies make room: the largest first, and among those of about the
/// same size the newest. What is finished is never given up.
#[derive(Debug)]
pub struct MemoryAccount {
    max_bytes: usize,
    state: Mutex<AccountState>,
}

impl MemoryAccount {
    /// Creates an empty account of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes, state: Mutex::default() })
    }

    /// Returns the bytes that are charged now.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns whether more than half of the account is taken.
    pub fn is_scarce(&self) -> bool {
        self.bytes() > self.max_bytes / 2
    }

    /// Starts a body of up to `max_bytes`; `announced` is its length if the caller states it.
    pub fn begin_body(self: &Arc<Self>, announced: Option<usize>, max_bytes: usize) -> HeldBody {
        let mut state = self.lock();
        let number = state.next_body;
        state.next_body += 1;
        let evicted = Arc::new(Notify::new());
        let entry = BodyEntry { blocks: Vec::new(), held: 0, length: 0, evicted: evicted.clone() };
        state.unfinished.insert(number, entry);
        let max_length = announced.unwrap_or(max_bytes).min(max_bytes);
        HeldBody { account: self.clone(), number, max_length, evicted }
    }

    /// Charges `bytes` that are held until the charge is dropped.
    ///
    /// # Errors
    ///
    /// The account is full, and the unfinished bodies leave no room.
    pub fn charge(
        self: &Arc<Self>,
        bytes: usize,
        is_small: bool,
    ) -> Result<MemoryCharge, AccountError> {
        self.make_room(&mut self.lock(), None, bytes, is_small)?;
        Ok(MemoryCharge { account: self.clone(), bytes })
    }

    /// Adds `bytes` to the account after unfinished bodies have made room for them. `body` is the
    /// unfinished body that grows by them.
    fn make_room(
        &self,
        state: &mut AccountState,
        body: Option<u64>,
        bytes: usize,
        is_small: bool,
    ) -> Result<(), AccountError> {
        let reserved = if is_small { 0 } else { self.max_bytes / SMALL_SHARE };
        let limit = self.max_bytes - reserved;
        if bytes > limit {
            return Err(AccountError::MemoryFull);
        }
        // Nothing is given up if all unfinished bodies together do not free enough.
        let others = state.unfinished.iter().filter(|(number, _)| Some(**number) != body);
        let most_freed: usize = others.map(|(_, entry)| entry.held).sum();
        if state.bytes + bytes > limit + most_freed {
            return Err(AccountError::MemoryFull);
        }
        while state.bytes + bytes > limit {
            let sizes = state.unfinished.iter().map(|(number, entry)| {
                let growth = if Some(*number) == body { bytes } else { 0 };
                (*number, entry.held + growth)
            });
            match first_to_give_up(sizes) {
                Some(number) if Some(number) != body => self.evict(state, number),
                Some(_) | None => return Err(AccountError::MemoryFull),
            }
        }
        state.bytes += bytes;
        HELD_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
        Ok(())
    }

    fn evict(&self, state: &mut AccountState, number: u64) {
        let Some(entry) = state.unfinished.remove(&number) else {
            return;
        };
        let held = entry.held;
        let charged = state.bytes;
        self.release(state, held);
        EVICTED_BODIES.fetch_add(1, Ordering::Relaxed);
        entry.evicted.notify_one();
        tracing::info!(
            held_bytes = held,
            charged_bytes = charged,
            limit_bytes = self.max_bytes,
            "body_evicted"
        );
    }

    fn release(&self, state: &mut AccountState, bytes: usize) {
        state.bytes -= bytes;
        HELD_BYTES.fetch_sub(bytes as u64, Ordering::Relaxed);
    }

    /// The state is consistent after a panic: each change is complete before anything can panic.
    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns which unfinished body is given up first: the largest, and among bodies whose sizes have
/// the same power of two the newest. Bodies without bytes free nothing.
pub fn first_to_give_up(bodies: impl Iterator<Item = (u64, usize)>) -> Option<u64> {
    bodies
        .filter(|(_, bytes)| *bytes > 0)
        .max_by_key(|(number, bytes)| (bytes.ilog2(), *number))
        .map(|(number, _)| number)
}

/// A body that is being received; dropping it releases its memory.
///
/// Its bytes are in the account, so that giving it up frees them at once, whatever its task does.
#[derive(Debug)]
pub struct HeldBody {
    account: Arc<MemoryAccount>,
    number: u64,
    /// Largest length that the body can have, in bytes.
    max_length: usize,
    evicted: Arc<Notify>,
}

impl HeldBody {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// There is no memory for them, or the body was given up.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), AccountError> {
        let state = &mut *self.account.lock();
        loop {
            let entry = state.unfinished.get_mut(&self.number).ok_or(AccountError::Evicted)?;
            if let Some(block) = entry.blocks.last_mut() {
                let space = block.capacity() - block.len();
                let (now, rest) = bytes.split_at(space.min(bytes.len()));
                block.extend_from_slice(now);
                entry.length += now.len();
                bytes = rest;
            }
            if bytes.is_empty() {
                return Ok(());
            }
            let left = self.max_length.saturating_sub(entry.length).max(bytes.len());
            let block = entry.held.max(bytes.len()).min(left).min(BLOCK_BYTES);
            let is_small = entry.held + block <= SMALL_BODY_BYTES;
            self.account.make_room(state, Some(self.number), block, is_small)?;
            let entry = state.unfinished.get_mut(&self.number).ok_or(AccountError::Evicted)?;
            entry.blocks.push(Vec::with_capacity(block));
            entry.held += block;
        }
    }

    /// Returns the number of bytes received.
    pub fn length(&self) -> usize {
        self.account.lock().unfinished.get(&self.number).map_or(0, |it| it.length)
    }

    /// Waits until the body is given up.
    pub async fn wait_evicted(&self) {
        self.evicted.notified().await;
    }

    /// Ends the body; its memory stays charged until the bytes are dropped. A body of several blocks
    /// is joined, which for a moment takes its memory twice; unfinished bodies make room for it.
    ///
    /// # Errors
    ///
    /// The body was given up, or there is no memory to join it.
    pub fn finish(self) -> Result<Bytes, AccountError> {
        let state = &mut *self.account.lock();
        let mut entry = state.unfinished.remove(&self.number).ok_or(AccountError::Evicted)?;
        let mut held = entry.held;
        let bytes = if entry.blocks.len() > 1 {
            let is_small = entry.length <= SMALL_BODY_BYTES;
            let room = self.account.make_room(state, None, entry.length, is_small);
            if room.is_err() {
                self.account.release(state, held);
            }
            room?;
            let mut bytes = Vec::with_capacity(entry.length);
            // Each block is dropped once it is copied.
            entry.blocks.drain(..).for_each(|it| bytes.extend_from_slice(&it));
            self.account.release(state, held);
            held = entry.length;
            bytes
        } else {
            entry.blocks.pop().unwrap_or_default()
        };
        let charge = MemoryCharge { account: self.account.clone(), bytes: held };
        Ok(Bytes::from_owner(ChargedBytes { bytes, _charge: charge }))
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let state = &mut *self.account.lock();
        if let Some(entry) = state.unfinished.remove(&self.number) {
            self.account.release(state, entry.held);
        }
    }
}

/// Bytes of an account; dropping it releases them.
#[derive(Debug)]
pub struct MemoryCharge {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryCharge {
    /// Adds the bytes of `other`.
    pub(super) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Moves `bytes` to a charge of its own.
    pub(super) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { account: self.account.clone(), bytes }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.account.release(&mut self.account.lock(), self.bytes);
    }
}

/// A finished body with its charge.
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
