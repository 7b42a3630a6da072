//! Digests that identify operation keys and requests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Returns the first 128 bits of the SHA-256 of the parts, each preceded by its length.
fn digest_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize()[..16]);
    digest
}

/// Digest of an operation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Returns the digest of a key as the caller sent it.
    pub fn of(key: &str) -> Self {
        Self(digest_parts(&[key.as_bytes()]))
    }

    /// Returns the digest as 32 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";
        let nibbles = self.0.iter().flat_map(|it| [it >> 4, it & 15]);
        nibbles.map(|it| char::from(DIGITS[usize::from(it)])).collect()
    }
}

/// Digest of a request. Requests with the same digest count as retries of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Returns the digest of a method, a path with its query, and a body.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[method.as_bytes(), target.as_bytes(), body]))
    }
}
