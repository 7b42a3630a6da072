//! Operation keys that a process issues. The same process decides about their operations and
//! dispatches them.

use std::{
    fmt,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};

use super::TICKET_LIFETIME;
use crate::names::{HostName, TeamName, is_valid_name};

/// Prefix of every ticket; the digit is the version of the ticket format.
const TICKET_PREFIX: &str = "spt1.";

/// Block size of SHA-256, in bytes.
const BLOCK_BYTES: usize = 64;

/// Length of the authentication tag. 128 bits cannot be guessed in the lifetime of a process.
const TAG_BYTES: usize = 16;

/// A ticket with the text form `spt1.<host>.<incarnation>.<number>.<tag>`, numbers and tag in
/// hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OperationTicket {
    host: HostName,
    incarnation: u64,
    number: u64,
    tag: [u8; TAG_BYTES],
}

impl OperationTicket {
    /// Returns whether a key has the prefix of a ticket.
    pub fn is_ticket(key: &str) -> bool {
        key.starts_with(TICKET_PREFIX)
    }

    /// Parses a ticket; accepts only the exact form in which it was issued.
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(TICKET_PREFIX)?;
        // Host names may contain dots, so the text is split from the end.
        let mut fields = rest.rsplitn(4, '.');
        let tag_text = fields.next()?;
        let number = parse_hex(fields.next()?)?;
        let incarnation = parse_hex(fields.next()?)?;
        let host = fields.next().filter(|it| is_valid_name(it))?;
        if tag_text.len() != 2 * TAG_BYTES || !tag_text.is_ascii() {
            return None;
        }
        let mut tag = [0; TAG_BYTES];
        for (index, byte) in tag.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&tag_text[2 * index..2 * index + 2], 16).ok()?;
        }
        let ticket = Self { host: HostName::new(host), incarnation, number, tag };
        // Records are identified by the text, so a second spelling would be a second operation.
        (ticket.to_string() == key).then_some(ticket)
    }

    /// Returns the host of the process that issued the ticket.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the incarnation of the process that issued the ticket.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

fn parse_hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

impl fmt::Display for OperationTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TICKET_PREFIX}{}.{:x}.{:x}.", self.host, self.incarnation, self.number)?;
        self.tag.iter().try_for_each(|it| write!(f, "{it:02x}"))
    }
}

/// Result of the check of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketVerdict {
    /// The ticket may be used.
    Valid,
    /// The ticket is authentic but too old for a first use.
    Expired,
    /// This process did not issue the ticket to the team.
    Invalid,
}

/// Issues and checks the tickets of one process.
#[derive(Clone)]
pub struct TicketIssuer {
    host: HostName,
    incarnation: u64,
    secret: [u8; 32],
    started: Instant,
    issued_count: u32,
}

impl fmt::Debug for TicketIssuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TicketIssuer")
            .field("host", &self.host)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl TicketIssuer {
    /// Creates the issuer of a process; `secret` must be random and stay in this process.
    pub fn new(now: Instant, host: &HostName, incarnation: u64, secret: [u8; 32]) -> Self {
        Self { host: host.clone(), incarnation, secret, started: now, issued_count: 0 }
    }

    /// Issues a ticket to a team.
    pub fn issue(&mut self, now: Instant, team: &TeamName) -> OperationTicket {
        // The upper half is the time of issue, so that expiry needs no table. No process issues
        // 2^32 tickets in one second, so a number never repeats.
        let second = now.saturating_duration_since(self.started).as_secs();
        self.issued_count = self.issued_count.wrapping_add(1);
        let number = (second << 32) | u64::from(self.issued_count);
        OperationTicket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number,
            tag: self.tag(team, number),
        }
    }

    /// Checks a ticket that a team presents.
    pub fn check(&self, now: Instant, team: &TeamName, ticket: &OperationTicket) -> TicketVerdict {
        let tag = self.tag(team, ticket.number);
        let difference = (tag.iter().zip(&ticket.tag)).fold(0, |sum, (a, b)| sum | (a ^ b));
        if ticket.host != self.host || ticket.incarnation != self.incarnation || difference != 0 {
            return TicketVerdict::Invalid;
        }
        let issued = Duration::from_secs(ticket.number >> 32);
        let age = now.saturating_duration_since(self.started).saturating_sub(issued);
        if age >= TICKET_LIFETIME { TicketVerdict::Expired } else { TicketVerdict::Valid }
    }

    /// Returns the truncated HMAC-SHA-256 (RFC 2104) of incarnation, number and team.
    fn tag(&self, team: &TeamName, number: u64) -> [u8; TAG_BYTES] {
        let mut inner_pad = [0x36; BLOCK_BYTES];
        let mut outer_pad = [0x5c; BLOCK_BYTES];
        for (index, byte) in self.secret.iter().enumerate() {
            inner_pad[index] ^= byte;
            outer_pad[index] ^= byte;
        }
        let inner = Sha256::new()
            .chain_update(inner_pad)
            .chain_update(self.incarnation.to_be_bytes())
            .chain_update(number.to_be_bytes())
            .chain_update(team.as_str())
            .finalize();
        let outer = Sha256::new().chain_update(outer_pad).chain_update(inner).finalize();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&outer[..TAG_BYTES]);
        tag
    }
}
