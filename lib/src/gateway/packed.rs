//! Compressed changes of entries, cached because a relay sends the same one to all waiting hosts.

use std::{
    cell::RefCell,
    io::{self, Write},
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use super::{feed::EntryFeed, position::StorePosition};
use crate::{
    config::ConfigChange,
    peer::{decode_message, encode_message},
};

/// Number of compressed changes in the cache; hosts that wait at one relay have one of its last
/// revisions.
const MAX_CACHED_CHANGES: usize = 4;

/// A [`ConfigChange`], encoded and compressed with DEFLATE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange(#[serde(with = "byte_string")] Vec<u8>);

impl PackedChange {
    /// Encodes and compresses a change.
    pub fn pack(change: &ConfigChange) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(&encode_message(change)).and_then(|()| encoder.finish());
        Self(packed.expect("writing to memory does not fail"))
    }

    /// Decompresses and decodes the change.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded change.
    pub fn unpack(&self) -> io::Result<ConfigChange> {
        let mut decoder = DeflateDecoder::new(&self.0[..]);
        decode_message(&mut decoder).map_err(io::Error::other)
    }
}

/// Encodes bytes as one byte string instead of a list of numbers.
mod byte_string {
    use std::fmt;

    use serde::{Deserializer, Serializer, de::Visitor};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        struct BytesVisitor;
        impl Visitor<'_> for BytesVisitor {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(bytes)
            }
        }
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

#[derive(Debug)]
struct CachedChange {
    from: StorePosition,
    to: StorePosition,
    packed: PackedChange,
}

/// Cache of the changes that were compressed last.
#[derive(Debug, Default)]
pub(super) struct ChangeCache(RefCell<Vec<CachedChange>>);

impl ChangeCache {
    /// Drops all changes, because the entries changed at the same position.
    pub(super) fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Returns the change from a position to the current one.
    pub(super) fn change_since(&self, feed: &EntryFeed, from: StorePosition) -> PackedChange {
        let to = feed.position();
        // Hosts of another era get the same full set, wherever they are in it.
        let from = if from.era == to.era { from } else { StorePosition::default() };
        let mut cached = self.0.borrow_mut();
        if let Some(known) = cached.iter().find(|it| it.from == from && it.to == to) {
            return known.packed.clone();
        }
        let packed = PackedChange::pack(&feed.change_since(from));
        if cached.len() >= MAX_CACHED_CHANGES {
            cached.remove(0);
        }
        cached.push(CachedChange { from, to, packed: packed.clone() });
        packed
    }
}
