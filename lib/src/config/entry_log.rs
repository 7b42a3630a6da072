//! Entries with the revision of their last change, from which deltas for peers are computed.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::catalogue::RawEntries;

/// Maximum number of tombstones of removed entries. While a tombstone is kept, peers can receive
/// the removal in a delta.
const MAX_TOMBSTONES: usize = 4_096;

/// The last change of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Revision of the entry's last change.
    pub revision: u64,
    /// Value as JSON text; `None` if the entry was removed.
    pub value: Option<Arc<str>>,
}

/// Changes from one revision to a higher one, received from the platform or a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Revision to which the changes apply; 0 if `entries` is a complete configuration.
    pub base: u64,
    /// Revision that results from the changes.
    pub revision: u64,
    /// Entries that changed after `base`.
    pub entries: Vec<EntryChange>,
}

/// All entries at one revision, with tombstones of entries that were removed.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    revision: u64,
    values: RawEntries,
    /// Revision of each entry's last change; a key without a value is a tombstone.
    entry_revisions: BTreeMap<Arc<str>, u64>,
    /// Highest revision of a dropped tombstone, or revision of the last complete configuration.
    /// Deltas cannot be computed from an earlier base.
    min_delta_base: u64,
}

impl EntryLog {
    /// Returns the revision of the last applied change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all existing entries.
    pub fn values(&self) -> &RawEntries {
        &self.values
    }

    /// Returns the revision of an entry's last change or removal; 0 if it is not known.
    pub fn entry_revision(&self, key: &str) -> u64 {
        self.entry_revisions.get(key).copied().unwrap_or_default()
    }

    /// Applies a change. Its base must not be higher than the current revision.
    pub fn apply(&mut self, change: &ConfigChange) {
        if change.base == 0 {
            // Entries that are absent from a complete configuration were removed at an unknown
            // revision, so no delta can be computed from an earlier base.
            self.values.clear();
            self.entry_revisions.clear();
            self.min_delta_base = change.revision;
        }
        for entry in &change.entries {
            match &entry.value {
                Some(value) => {
                    self.values.insert(entry.key.clone(), value.clone());
                }
                None => {
                    self.values.remove(&entry.key);
                }
            }
            self.entry_revisions.insert(entry.key.clone(), entry.revision);
        }
        self.revision = change.revision;
        self.drop_old_tombstones();
    }

    /// Returns the change from `base` to the current revision.
    ///
    /// It is a complete configuration if the removals since `base` are no longer known.
    pub fn change_since(&self, base: u64) -> ConfigChange {
        let base = if base < self.min_delta_base { 0 } else { base };
        let entries = self
            .entry_revisions
            .iter()
            .filter(|(_, revision)| base == 0 || **revision > base)
            .map(|(key, revision)| EntryChange {
                key: key.clone(),
                revision: *revision,
                value: self.values.get(key).cloned(),
            })
            .filter(|it| base != 0 || it.value.is_some())
            .collect();
        ConfigChange { base, revision: self.revision, entries }
    }

    fn drop_old_tombstones(&mut self) {
        while self.entry_revisions.len() > self.values.len() + MAX_TOMBSTONES {
            let oldest = self
                .entry_revisions
                .iter()
                .filter(|(key, _)| !self.values.contains_key(*key))
                .min_by_key(|(_, revision)| **revision)
                .map(|(key, revision)| (key.clone(), *revision));
            let Some((key, revision)) = oldest else {
                return;
            };
            self.entry_revisions.remove(&key);
            self.min_delta_base = self.min_delta_base.max(revision);
        }
    }
}
