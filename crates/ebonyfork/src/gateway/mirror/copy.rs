//! This VM's copy of the store, and the revision up to which it is complete.
//!
//! Changes arrive by several paths: page reads that are not a consistent snapshot, watches, and other VMs that may be
//! ahead of or behind this one. All of them update a single copy, so that no two records can disagree. The copy has one
//! invariant: *every change up to [`StoreCopy::complete_revision`] has been applied*. A change at or below that
//! revision is ignored, whatever its source. A full read at a later revision reveals which keys were removed. Changes
//! that start after a later revision leave a gap and don't advance the complete revision.
//!
//! Revisions are ordered by the store's era first. A store that is restored from an older copy starts a new era, so
//! everything read from it then is later than all that was known before, even if it assigns the same revision numbers
//! again.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use super::history::PatchHistory;
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Maximum number of keys in the log of changes for VMs that are slightly behind, at about 64 bytes each. The log holds
/// only the key of a change; the value is in the copy. The capacity covers half a day at 11,000 changes a day, or all
/// upstreams of a shard at once.
const MAX_LOGGED_CHANGES: usize = 4_096;
/// Length from which a value is sent as patches. Entries of upstreams have about 300 bytes and are sent in full.
pub const LONG_VALUE_BYTES: usize = 4 * 1024;

/// A change to apply to a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyChange {
    /// All items as of a revision; single items may be newer.
    Full {
        /// All items of the store.
        items: Vec<StoreItem>,
        /// The revision as of which the items are complete.
        revision: StoreRevision,
    },
    /// All changes between two revisions.
    Changes {
        /// The newest change of each key that changed.
        events: Vec<StoreEvent>,
        /// The revision that the changes follow, exclusive.
        since: StoreRevision,
        /// The last revision that the changes cover, inclusive.
        revision: StoreRevision,
    },
}

/// The changes start after the copy's complete revision, so the changes in between are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyGap;

/// The result of applying a change to a copy.
#[derive(Debug, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Changes that were not known before and have to be put in force.
    pub events: Vec<StoreEvent>,
    /// Whether the copy is complete up to the revision of the change.
    pub result: Result<(), CopyGap>,
}

/// Changes that arrived together: their keys and revisions.
#[derive(Debug)]
struct ChangeBatch {
    keys: Vec<(CompactString, StoreRevision)>,
    since: StoreRevision,
}

/// A copy of the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    items: BTreeMap<CompactString, StoreItem>,
    /// Keys known to have been removed after `complete_revision`, with the revision of the removal.
    removed: FxHashMap<CompactString, StoreRevision>,
    complete_revision: StoreRevision,
    /// The most recent changes up to `complete_revision`, without a gap.
    log: VecDeque<ChangeBatch>,
    logged_keys: usize,
    /// Patches between successive versions of long values.
    history: PatchHistory,
    /// Whether patches are recorded: only while another VM follows.
    keeps_patches: bool,
}

impl StoreCopy {
    /// Returns the revision up to which every change has been applied; 0 before the first full read.
    pub fn complete_revision(&self) -> StoreRevision {
        self.complete_revision
    }

    /// Iterates over the items, ordered by key.
    pub fn items(&self) -> impl Iterator<Item = &StoreItem> {
        self.items.values()
    }

    /// Returns the item with a key.
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key)
    }

    /// Returns the patches between versions of long values.
    pub fn history(&self) -> &PatchHistory {
        &self.history
    }

    /// Sets whether patches of long values are recorded.
    pub fn keep_patches(&mut self, keeps: bool) {
        self.keeps_patches = keeps;
    }

    /// Applies a change to the copy.
    pub fn apply(&mut self, change: CopyChange) -> ChangeOutcome {
        match change {
            CopyChange::Full { items, revision } => self.apply_full(items, revision),
            CopyChange::Changes {
                events,
                since,
                revision,
            } => self.apply_changes(events, since, revision),
        }
    }

    fn apply_full(&mut self, items: Vec<StoreItem>, revision: StoreRevision) -> ChangeOutcome {
        let present: FxHashSet<CompactString> = items.iter().map(|item| item.key.clone()).collect();
        let mut events: Vec<_> = items.into_iter().map(StoreEvent::Written).collect();
        if revision > self.complete_revision {
            // Items written after the read started may be missing from it although they still exist.
            let gone =
                |item: &&StoreItem| item.revision <= revision && !present.contains(&item.key);
            let removal = |item: &StoreItem| StoreEvent::Removed {
                key: item.key.clone(),
                revision,
            };
            events.extend(self.items.values().filter(gone).map(removal));
        }
        let floor = if revision > self.complete_revision {
            // The read is later than everything in the copy, so its items exist whatever the copy says about them.
            StoreRevision::ABSENT
        } else {
            self.complete_revision
        };
        events.retain(|event| self.apply_event(event, floor));
        if revision > self.complete_revision {
            self.log.clear();
            self.logged_keys = 0;
            self.advance(revision);
        }
        ChangeOutcome {
            events,
            result: Ok(()),
        }
    }

    fn apply_changes(
        &mut self,
        events: Vec<StoreEvent>,
        since: StoreRevision,
        revision: StoreRevision,
    ) -> ChangeOutcome {
        let floor = self.complete_revision;
        let applied = events.iter().filter(|event| self.apply_event(event, floor));
        let applied = applied.cloned().collect();
        if since > self.complete_revision {
            return ChangeOutcome {
                events: applied,
                result: Err(CopyGap),
            };
        }
        if revision > self.complete_revision {
            self.log_changes(&events);
            self.advance(revision);
        }
        ChangeOutcome {
            events: applied,
            result: Ok(()),
        }
    }

    /// Logs changes for VMs that are behind. This includes changes that were already known and changes of keys that
    /// this copy never held, because another copy may hold them.
    fn log_changes(&mut self, events: &[StoreEvent]) {
        let new = events
            .iter()
            .filter(|event| event.revision() > self.complete_revision);
        let keys: Vec<_> = new
            .map(|event| (event.key().clone(), event.revision()))
            .collect();
        if keys.is_empty() && !self.log.is_empty() {
            return;
        }
        self.logged_keys += keys.len();
        self.log.push_back(ChangeBatch {
            keys,
            since: self.complete_revision,
        });
        while self.logged_keys > MAX_LOGGED_CHANGES && self.log.len() > 1 {
            let oldest = self.log.pop_front();
            self.logged_keys -= oldest.map_or(0, |batch| batch.keys.len());
        }
    }

    fn advance(&mut self, revision: StoreRevision) {
        self.complete_revision = revision;
        self.removed.retain(|_key, removed| *removed > revision);
    }

    /// Applies one change and returns whether it was new. Every change up to the revision `floor` is already known.
    fn apply_event(&mut self, event: &StoreEvent, floor: StoreRevision) -> bool {
        let key = event.key();
        if event.revision() <= self.known_revision(key).max(floor) {
            return false;
        }
        match event {
            StoreEvent::Written(item) => {
                self.removed.remove(key);
                let old = self.items.insert(key.clone(), item.clone());
                self.record_patch(old, item);
            }
            StoreEvent::Removed { revision, .. } => {
                self.items.remove(key);
                self.history.forget(key);
                self.removed.insert(key.clone(), *revision);
            }
        }
        true
    }

    fn record_patch(&mut self, old: Option<StoreItem>, new: &StoreItem) {
        let is_long = |item: &StoreItem| item.value.len() >= LONG_VALUE_BYTES;
        match old.filter(is_long) {
            Some(old) if is_long(new) && self.keeps_patches => self.history.record(&old, new),
            _ => self.history.forget(&new.key),
        }
    }

    /// Returns the revision of the last known change of a key.
    fn known_revision(&self, key: &CompactString) -> StoreRevision {
        let written = self.items.get(key).map(|item| item.revision);
        let removed = self.removed.get(key).copied();
        written.max(removed).unwrap_or_default()
    }

    /// Returns the current state of every key that changed after a revision, or none if the log no longer reaches back
    /// that far.
    pub fn changes_since(&self, known: StoreRevision) -> Option<Vec<StoreEvent>> {
        let first = self
            .log
            .front()
            .map_or(self.complete_revision, |batch| batch.since);
        if known < first {
            return None;
        }
        let mut newest: BTreeMap<&CompactString, StoreRevision> = BTreeMap::new();
        for (key, revision) in self.log.iter().flat_map(|batch| &batch.keys) {
            if *revision <= known {
                continue;
            }
            let later = newest.entry(key).or_default();
            *later = (*later).max(*revision);
        }
        let events = newest
            .into_iter()
            .map(|(key, change)| self.event(key, change));
        let mut events: Vec<_> = events.collect();
        events.sort_unstable_by_key(StoreEvent::revision);
        Some(events)
    }

    /// Returns the current state of a key that changed at a revision. It may be newer than that change if it was read
    /// ahead.
    fn event(&self, key: &CompactString, change: StoreRevision) -> StoreEvent {
        if let Some(item) = self.items.get(key) {
            return StoreEvent::Written(item.clone());
        }
        let removed = self.removed.get(key).copied();
        StoreEvent::Removed {
            key: key.clone(),
            revision: removed.unwrap_or_default().max(change),
        }
    }
}

#[cfg(test)]
#[path = "copy_tests.rs"]
mod tests;
