//! Entries with the revision of each one's last change, from which deltas for peers are computed.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::catalogue::RawEntries;

/// Removed entries that are remembered so that peers can be sent a delta.
const MAX_TOMBSTONES: usize = 4_096;

/// One entry as it stands at its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Revision of the entry's last change.
    pub revision: u64,
    /// JSON text, or nothing if the entry was removed.
    pub value: Option<Arc<str>>,
}

/// A step from one revision to a higher one, from the platform or a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Revision on which the step is based; 0 for a whole configuration.
    pub base: u64,
    /// Revision after the step.
    pub revision: u64,
    /// Entries that changed after `base`.
    pub entries: Vec<EntryChange>,
}

/// All entries at one revision.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    revision: u64,
    values: RawEntries,
    /// Revision of each entry's last change; an entry without a value is a tombstone.
    changed: BTreeMap<Arc<str>, u64>,
    /// Revision up to which tombstones were dropped.
    horizon: u64,
}

impl EntryLog {
    /// Returns the revision of the last change that was applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all entries that exist.
    pub fn values(&self) -> &RawEntries {
        &self.values
    }

    /// Returns the revision of an entry's last change; 0 if it is not known.
    pub fn entry_revision(&self, key: &str) -> u64 {
        self.changed.get(key).copied().unwrap_or_default()
    }

    /// Applies a change whose base is known.
    pub fn apply(&mut self, change: &ConfigChange) {
        if change.base == 0 {
            // Entries that are absent from a whole configuration were removed at an unknown
            // revision, so no delta can be computed from before it.
            self.values.clear();
            self.changed.clear();
            self.horizon = change.revision;
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
            self.changed.insert(entry.key.clone(), entry.revision);
        }
        self.revision = change.revision;
        self.drop_old_tombstones();
    }

    /// Returns the change that leads from `base` to this revision.
    pub fn change_since(&self, base: u64) -> ConfigChange {
        let base = if base < self.horizon { 0 } else { base };
        let entries = self
            .changed
            .iter()
            .filter(|(_, revision)| **revision > base)
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
        while self.changed.len() > self.values.len() + MAX_TOMBSTONES {
            let oldest = self
                .changed
                .iter()
                .filter(|(key, _)| !self.values.contains_key(*key))
                .min_by_key(|(_, revision)| **revision)
                .map(|(key, revision)| (key.clone(), *revision));
            let Some((key, revision)) = oldest else {
                return;
            };
            self.changed.remove(&key);
            self.horizon = self.horizon.max(revision);
        }
    }
}
