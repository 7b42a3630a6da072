//! Positions in the history of the platform's entries, and how hosts tell each other theirs.

use hyper::{HeaderMap, header::HeaderName};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Header of a message between hosts with the era of its sender's entries. The bodies contain
/// revisions only, so that hosts of a release without eras can read them.
pub(super) const ENTRY_ERA: HeaderName = HeaderName::from_static("entry-era");

/// A position in the history of the platform's entries, ordered by era first.
///
/// The platform may come back from an older copy of its entries. Its revisions then go back and are
/// given out again, and its era rises. Revisions are comparable within an era only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of the platform's history; 0 while the platform has not named one.
    pub era: u64,
    /// Number of the last change; 0 if none is known.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether no entries are known at this position.
    pub fn is_start(self) -> bool {
        self.revision == 0
    }
}

/// Encodes a position as its revision.
pub(super) fn serialize<S: Serializer>(
    position: &StorePosition,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    position.revision.serialize(serializer)
}

/// Decodes a position from its revision; the era is that of [`ENTRY_ERA`].
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<StorePosition, D::Error> {
    Ok(StorePosition::new(0, u64::deserialize(deserializer)?))
}

/// Returns the era of the sender; `None` if it is a host of a release without eras.
pub(super) fn read_era(headers: &HeaderMap) -> Option<u64> {
    headers.get(ENTRY_ERA)?.to_str().ok()?.parse().ok()
}
