//! Detection of duplicate messages that forward a request.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Maximum number of forwarding processes with a window; the least recently active one is removed
/// first. At 400 hosts and 104 process starts per day this covers more than five days.
const MAX_TRACKED_SENDERS: usize = 1_024;

/// Width of the window of request numbers that ends at the highest one, per forwarding process.
const WINDOW_BITS: u64 = 1_024;

/// Identifies one forwarded request. A duplicate of the message carries the same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForwardId {
    /// Incarnation of the forwarding process.
    pub incarnation: u64,
    /// Number of the request; increases with every forwarded request.
    pub number: u64,
}

/// Request numbers received from one forwarding process.
#[derive(Clone, Debug)]
struct SenderWindow {
    highest: u64,
    /// Bit set of the received numbers in the window, indexed by the number modulo its width.
    seen: [u64; (WINDOW_BITS / 64) as usize],
    /// Value of [`ForwardWindow::use_counter`] at the last request from this process.
    last_used: u64,
}

impl SenderWindow {
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let advance = (number - self.highest).min(WINDOW_BITS);
            for step in 1..=advance {
                self.clear_bit(self.highest.wrapping_add(step));
            }
            if advance == WINDOW_BITS {
                self.seen = Default::default();
            }
            self.highest = number;
        } else if self.highest - number >= WINDOW_BITS {
            return false;
        }
        let (word, bit) = Self::bit_position(number);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn clear_bit(&mut self, number: u64) {
        let (word, bit) = Self::bit_position(number);
        self.seen[word] &= !bit;
    }

    fn bit_position(number: u64) -> (usize, u64) {
        let index = number % WINDOW_BITS;
        ((index / 64) as usize, 1 << (index % 64))
    }
}

/// Accepts every forwarded request once.
///
/// Without it, a duplicate of a request that was answered with `not_run` could still be dispatched.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwardWindow {
    senders: HashMap<u64, SenderWindow>,
    use_counter: u64,
}

impl ForwardWindow {
    /// Returns false for a duplicate, and for a request below the window, which may be one.
    pub(super) fn accept(&mut self, id: ForwardId) -> bool {
        self.use_counter += 1;
        if !self.senders.contains_key(&id.incarnation) && self.senders.len() >= MAX_TRACKED_SENDERS
        {
            let least_recent = self.senders.iter().min_by_key(|(_, it)| it.last_used);
            if let Some(incarnation) = least_recent.map(|(incarnation, _)| *incarnation) {
                self.senders.remove(&incarnation);
            }
        }
        let window = self.senders.entry(id.incarnation).or_insert_with(|| SenderWindow {
            highest: id.number,
            seen: Default::default(),
            last_used: 0,
        });
        window.last_used = self.use_counter;
        window.accept(id.number)
    }
}
