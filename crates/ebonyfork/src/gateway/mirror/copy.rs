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

use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::Xxh3;

use super::history::PatchHistory;
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Maximum number of keys in the log of recent changes, at about 64 bytes each. Followers that lack no more than these
/// changes are sent no full copy. The log holds only the key and revision of a change; the value is in the copy. The
/// capacity covers half a day at 11,000 changes a day, or all upstreams of a shard at once.
const MAX_LOGGED_CHANGES: usize = 4_096;
/// Size in bytes from which a value is long, so that it is sent as patches. Entries of upstreams have about 300 bytes
/// and are sent in full.
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
        base_revision: StoreRevision,
        /// The last revision that the changes cover, inclusive.
        revision: StoreRevision,
    },
    /// The difference between the contents at two revisions, as a full read shows it. It may lack removals: a page read
    /// shows keys as of different moments, so a key may have been gone in a page although it existed at the revision of
    /// the read. The digest of the later content reveals that.
    Difference {
        /// The newest known change of each key whose content differs.
        events: Vec<StoreEvent>,
        /// The revision of the earlier content.
        base_revision: StoreRevision,
        /// The revision of the later content.
        revision: StoreRevision,
        /// [Digest](StoreCopy::content_digest) of the later content.
        content_digest: u64,
    },
}

impl CopyChange {
    /// Replaces the value of each written item by what `map_value` returns for its key and value.
    pub fn map_values(mut self, map_value: impl Fn(&str, Bytes) -> Bytes) -> Self {
        let map_item = |item: &mut StoreItem| {
            item.value = map_value(&item.key, std::mem::take(&mut item.value));
        };
        match &mut self {
            Self::Full { items, .. } => items.iter_mut().for_each(map_item),
            Self::Changes { events, .. } | Self::Difference { events, .. } => {
                let items = events.iter_mut().filter_map(|event| match event {
                    StoreEvent::Written(item) => Some(item),
                    StoreEvent::Removed { .. } => None,
                });
                items.for_each(map_item);
            }
        }
        self
    }
}

/// The error that changes start after the copy's complete revision, so that the changes in between are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyGap;

/// The result of applying a change to a copy.
#[derive(Debug, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Changes that the copy did not know before. The caller has to put them in force.
    pub events: Vec<StoreEvent>,
    /// Success if the copy is complete up to the revision of the change, an error if the change leaves a gap.
    pub result: Result<(), CopyGap>,
}

/// The keys and revisions of changes that were applied together.
#[derive(Debug)]
struct ChangeBatch {
    /// Each key that changed, with the revision of its newest change.
    changed_keys: Vec<(CompactString, StoreRevision)>,
    /// The revision that the changes follow, exclusive.
    base_revision: StoreRevision,
    /// Whether the changes are only the [difference](CopyChange::Difference) between two contents.
    is_difference: bool,
}

/// The store's items as this VM knows them, with what followers that are slightly behind need.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// The existing items by key.
    items: BTreeMap<CompactString, StoreItem>,
    /// Keys known to have been removed after `complete_revision`, with the revision of the removal.
    removals: FxHashMap<CompactString, StoreRevision>,
    /// The revision up to which every change has been applied.
    complete_revision: StoreRevision,
    /// The most recent changes up to `complete_revision`, without a gap.
    change_log: VecDeque<ChangeBatch>,
    /// Number of keys in `change_log`.
    logged_key_count: usize,
    /// Patches between successive versions of long values.
    patches: PatchHistory,
    /// Whether patches are recorded: only while another VM follows this one.
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

    /// Returns the item with the given key; none if it does not exist.
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key)
    }

    /// Returns the patches between versions of long values.
    pub fn patch_history(&self) -> &PatchHistory {
        &self.patches
    }

    /// Sets whether patches of long values are recorded.
    pub fn keep_patches(&mut self, enabled: bool) {
        self.keeps_patches = enabled;
    }

    /// Applies a change to the copy and returns what was new in it.
    pub fn apply(&mut self, change: CopyChange) -> ChangeOutcome {
        match change {
            CopyChange::Full { items, revision } => self.apply_full_read(items, revision),
            CopyChange::Changes {
                events,
                base_revision,
                revision,
            } => self.apply_changes(events, (base_revision, revision), None),
            CopyChange::Difference {
                events,
                base_revision,
                revision,
                content_digest,
            } => self.apply_changes(events, (base_revision, revision), Some(content_digest)),
        }
    }

    fn apply_full_read(&mut self, items: Vec<StoreItem>, revision: StoreRevision) -> ChangeOutcome {
        let present_keys: FxHashSet<CompactString> =
            items.iter().map(|item| item.key.clone()).collect();
        let mut events: Vec<_> = items.into_iter().map(StoreEvent::Written).collect();
        if revision > self.complete_revision {
            // Items written after the read started may be missing from it although they still exist.
            let is_removed =
                |item: &&StoreItem| item.revision <= revision && !present_keys.contains(&item.key);
            let removal = |item: &StoreItem| StoreEvent::Removed {
                key: item.key.clone(),
                revision,
            };
            events.extend(self.items.values().filter(is_removed).map(removal));
        }
        let known_until = if revision > self.complete_revision {
            // The read covers a later revision than the copy, so its items exist even if the copy has them as removed.
            StoreRevision::ABSENT
        } else {
            self.complete_revision
        };
        let continues_log = self.complete_revision > StoreRevision::ABSENT
            && self.complete_revision.era() == revision.era();
        let difference = if continues_log {
            self.difference_of_read(&events, &present_keys, revision)
        } else {
            Vec::new()
        };
        events.retain(|event| self.apply_event(event, known_until));
        if revision > self.complete_revision {
            if continues_log {
                self.log_changes(&difference, true);
            } else {
                self.change_log.clear();
                self.logged_key_count = 0;
            }
            self.advance(revision);
        }
        ChangeOutcome {
            events,
            result: Ok(()),
        }
    }

    /// Returns the changes since the complete revision that a full read shows. `events` are the read items and the
    /// removals of held items that the read lacks.
    fn difference_of_read(
        &self,
        events: &[StoreEvent],
        present_keys: &FxHashSet<CompactString>,
        revision: StoreRevision,
    ) -> Vec<StoreEvent> {
        let is_later = |event: &&StoreEvent| event.revision() > self.complete_revision;
        let mut changes: Vec<_> = events.iter().filter(is_later).cloned().collect();
        // An item that was written after the read may have replaced one that was gone by then.
        let later_items = self
            .items
            .values()
            .filter(|item| item.revision > revision && !present_keys.contains(&item.key));
        changes.extend(later_items.cloned().map(StoreEvent::Written));
        for (key, removal) in &self.removals {
            if present_keys.contains(key) {
                continue;
            }
            changes.push(StoreEvent::Removed {
                key: key.clone(),
                revision: *removal,
            });
        }
        changes
    }

    /// Returns a digest of all keys with the revisions of their last changes. Two copies with the same digest have the
    /// same content.
    pub fn content_digest(&self) -> u64 {
        let mut digest = 0;
        for item in self.items.values() {
            let mut hash = Xxh3::new();
            hash.update(&item.revision.number().to_be_bytes());
            hash.update(&item.revision.era().0.to_be_bytes());
            hash.update(item.key.as_bytes());
            digest ^= hash.digest();
        }
        digest
    }

    /// Applies changes between two revisions. `content_digest` is the digest of the content after them, if they are only
    /// a difference.
    fn apply_changes(
        &mut self,
        events: Vec<StoreEvent>,
        (base_revision, revision): (StoreRevision, StoreRevision),
        content_digest: Option<u64>,
    ) -> ChangeOutcome {
        let known_until = self.complete_revision;
        let applied_events = events
            .iter()
            .filter(|event| self.apply_event(event, known_until));
        let applied_events = applied_events.cloned().collect();
        let lacks_changes = content_digest.is_some_and(|digest| {
            revision > self.complete_revision && digest != self.content_digest()
        });
        if base_revision > self.complete_revision || lacks_changes {
            return ChangeOutcome {
                events: applied_events,
                result: Err(CopyGap),
            };
        }
        if revision > self.complete_revision {
            self.log_changes(&events, content_digest.is_some());
            self.advance(revision);
        }
        ChangeOutcome {
            events: applied_events,
            result: Ok(()),
        }
    }

    /// Adds changes after the complete revision to the log, for followers that lack them. This includes changes that
    /// were already known and changes of keys that this copy never held, because another copy may hold them.
    fn log_changes(&mut self, events: &[StoreEvent], is_difference: bool) {
        let later_events = events
            .iter()
            .filter(|event| event.revision() > self.complete_revision);
        let changed_keys: Vec<_> = later_events
            .map(|event| (event.key().clone(), event.revision()))
            .collect();
        if changed_keys.is_empty() && !self.change_log.is_empty() && !is_difference {
            return;
        }
        self.logged_key_count += changed_keys.len();
        self.change_log.push_back(ChangeBatch {
            changed_keys,
            base_revision: self.complete_revision,
            is_difference,
        });
        while self.logged_key_count > MAX_LOGGED_CHANGES && self.change_log.len() > 1 {
            let oldest_batch = self.change_log.pop_front();
            self.logged_key_count -= oldest_batch.map_or(0, |batch| batch.changed_keys.len());
        }
    }

    /// Raises the complete revision, and forgets removals that it covers.
    fn advance(&mut self, revision: StoreRevision) {
        self.complete_revision = revision;
        self.removals.retain(|_key, removal| *removal > revision);
    }

    /// Applies one change and returns whether it was new. Changes up to the revision `known_until` are known and not
    /// applied.
    fn apply_event(&mut self, event: &StoreEvent, known_until: StoreRevision) -> bool {
        let key = event.key();
        if event.revision() <= self.known_revision(key).max(known_until) {
            return false;
        }
        match event {
            StoreEvent::Written(item) => {
                self.removals.remove(key);
                let old_item = self.items.insert(key.clone(), item.clone());
                self.record_patch(old_item, item);
            }
            StoreEvent::Removed { revision, .. } => {
                self.items.remove(key);
                self.patches.forget_patches(key);
                self.removals.insert(key.clone(), *revision);
            }
        }
        true
    }

    /// Keeps the patch from `old_item`, the previous version of an item, to `item`, if both are long and patches are
    /// recorded.
    fn record_patch(&mut self, old_item: Option<StoreItem>, item: &StoreItem) {
        let is_long = |item: &StoreItem| item.value.len() >= LONG_VALUE_BYTES;
        match old_item.filter(is_long) {
            Some(base) if is_long(item) && self.keeps_patches => self.patches.record(&base, item),
            _ => self.patches.forget_patches(&item.key),
        }
    }

    /// Returns the revision of the last known change of a key.
    fn known_revision(&self, key: &CompactString) -> StoreRevision {
        let write_revision = self.items.get(key).map(|item| item.revision);
        let removal_revision = self.removals.get(key).copied();
        write_revision.max(removal_revision).unwrap_or_default()
    }

    /// Returns whether [`Self::changes_since`] returns only the [difference](CopyChange::Difference) to the content at
    /// `known_revision`.
    pub fn is_difference_since(&self, known_revision: StoreRevision) -> bool {
        let mut later_batches = self.batches_after(known_revision);
        later_batches.any(|batch| batch.is_difference)
    }

    /// Iterates over the batches that contain changes after a revision.
    fn batches_after(&self, known_revision: StoreRevision) -> impl Iterator<Item = &ChangeBatch> {
        let next_bases = self.change_log.iter().skip(1);
        let ends = next_bases
            .map(|batch| batch.base_revision)
            .chain([self.complete_revision]);
        let batches = self.change_log.iter().zip(ends);
        batches
            .filter(move |(_batch, end)| *end > known_revision)
            .map(|(batch, _end)| batch)
    }

    /// Returns the current state of every key that changed after the revision `known_revision`; none if the log does
    /// not reach back that far, or if only the difference from an earlier content is known.
    pub fn changes_since(&self, known_revision: StoreRevision) -> Option<Vec<StoreEvent>> {
        let log_start = self
            .change_log
            .front()
            .map_or(self.complete_revision, |batch| batch.base_revision);
        let lies_within =
            |batch: &ChangeBatch| batch.is_difference && batch.base_revision < known_revision;
        if known_revision < log_start || self.batches_after(known_revision).any(lies_within) {
            return None;
        }
        let mut newest_revisions: BTreeMap<&CompactString, StoreRevision> = BTreeMap::new();
        for (key, revision) in self.change_log.iter().flat_map(|batch| &batch.changed_keys) {
            if *revision <= known_revision {
                continue;
            }
            let newest_revision = newest_revisions.entry(key).or_default();
            *newest_revision = (*newest_revision).max(*revision);
        }
        let events = newest_revisions
            .into_iter()
            .map(|(key, revision)| self.current_event(key, revision));
        let mut events: Vec<_> = events.collect();
        events.sort_unstable_by_key(StoreEvent::revision);
        Some(events)
    }

    /// Returns the current state of a key that changed at `change_revision`. It may be newer than that change, because
    /// a full read may contain items that were written after its revision.
    fn current_event(&self, key: &CompactString, change_revision: StoreRevision) -> StoreEvent {
        if let Some(item) = self.items.get(key) {
            return StoreEvent::Written(item.clone());
        }
        let removal_revision = self.removals.get(key).copied();
        StoreEvent::Removed {
            key: key.clone(),
            revision: removal_revision.unwrap_or_default().max(change_revision),
        }
    }
}

#[cfg(test)]
#[path = "copy_tests.rs"]
mod tests;
