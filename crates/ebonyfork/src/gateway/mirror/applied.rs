//! What has been put in force from the copy, so that a copy that was discarded can be read again without a loss.
//!
//! A panic while a change is applied may leave the copy with changes that it counts as known but that were never put in force.
//! The copy is discarded then and read in full. The new copy doesn't show which entries were removed from the store
//! meanwhile, and it must not be older than what is in force; both follow from this record.

use compact_str::CompactString;
use rustc_hash::FxHashSet;

use super::copy::StoreCopy;
use crate::store::{StoreEvent, StoreRevision};

/// Keys and revision of what is in force.
#[derive(Debug, Default)]
pub struct AppliedState {
    /// Keys whose last event that was put in force is a write.
    keys: FxHashSet<CompactString>,
    /// Complete revision of the copy after the last change that was put in force.
    revision: StoreRevision,
}

impl AppliedState {
    /// Records an event that was put in force.
    pub fn record_event(&mut self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(item) => {
                if !self.keys.contains(&item.key) {
                    self.keys.insert(item.key.clone());
                }
            }
            StoreEvent::Removed { key, .. } => {
                self.keys.remove(key);
            }
        }
    }

    /// Records the complete revision of a copy all of whose changes were put in force.
    pub fn record_revision(&mut self, revision: StoreRevision) {
        self.revision = revision;
    }

    /// Returns the revision up to which all changes were put in force.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the removals of the keys in force that a copy read in full lacks, ordered by key.
    pub fn missing_in(&self, copy: &StoreCopy) -> Vec<StoreEvent> {
        let revision = copy.complete_revision();
        let mut keys: Vec<_> = self
            .keys
            .iter()
            .filter(|key| copy.get(key).is_none())
            .cloned()
            .collect();
        keys.sort_unstable();
        let removal = |key| StoreEvent::Removed { key, revision };
        keys.into_iter().map(removal).collect()
    }
}
