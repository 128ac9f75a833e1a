//! This VM's copy of the store, and up to which revision it is whole.
//!
//! Changes reach a VM in many ways: pages that are no snapshot, watches, other VMs that are ahead or behind. One record
//! is kept of them all, so that no two of them can disagree about what is known. It rests on a single statement: *every
//! change up to [`StoreCopy::complete`] has been taken in*. A change up to it is no news, wherever it comes from; a range
//! that is read as of a later revision tells what is gone; changes after a later revision leave a gap and move nothing on.
//!
//! Revisions are ordered by the store's era first. A store that comes back from an older copy begins a new one, so whatever
//! is read of it then is later than all that was known before, also where numbers are given out again.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use super::history::PatchHistory;
use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// Keys whose changes are kept for VMs that are a little behind, some 64 bytes each. A change names its key only; what the
/// key holds is in the copy. At 11,000 changes a day it is half a day, and a shard's upstreams all at once.
const LOG_CHANGES: usize = 4_096;
/// From this length on a value travels as what has changed of it: upstreams' entries have some 300 bytes.
pub const LONG_VALUE: usize = 4 * 1024;

/// What is taken into a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyChange {
    /// The whole range as it was at a revision; single items may be newer.
    Whole {
        /// All items.
        items: Vec<StoreItem>,
        /// The revision.
        revision: StoreRevision,
    },
    /// All that has changed from one revision to another.
    Changes {
        /// The newest change of each key that has changed.
        events: Vec<StoreEvent>,
        /// The revision after which the changes were.
        since: StoreRevision,
        /// The revision up to which they are all.
        revision: StoreRevision,
    },
}

/// Changes do not join what is known: those between are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyGap;

/// What became of a change.
#[derive(Debug, PartialEq, Eq)]
pub struct CopyNews {
    /// What was not known before, to be put in force.
    pub events: Vec<StoreEvent>,
    /// Whether the copy is now known to be whole up to the change's revision.
    pub joined: Result<(), CopyGap>,
}

/// Changes that came together: which keys, and when.
#[derive(Debug)]
struct ChangeBatch {
    keys: Vec<(CompactString, StoreRevision)>,
    since: StoreRevision,
}

/// A copy of the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    items: BTreeMap<CompactString, StoreItem>,
    /// Keys that are known to have been removed after `complete`.
    removed: FxHashMap<CompactString, StoreRevision>,
    complete: StoreRevision,
    /// What changed last up to `complete`, without a gap.
    log: VecDeque<ChangeBatch>,
    logged: usize,
    /// What has changed of long values.
    history: PatchHistory,
    /// Whether that is worth keeping: somebody follows.
    keeps_patches: bool,
}

impl StoreCopy {
    /// The revision up to which every change has been taken in; 0 before the first whole range.
    pub fn complete(&self) -> StoreRevision {
        self.complete
    }

    /// The items, by key.
    pub fn items(&self) -> impl Iterator<Item = &StoreItem> {
        self.items.values()
    }

    /// An item.
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key)
    }

    /// What has changed of long values.
    pub fn history(&self) -> &PatchHistory {
        &self.history
    }

    /// Sets whether it is kept what changes of long values.
    pub fn keep_patches(&mut self, keeps: bool) {
        self.keeps_patches = keeps;
    }

    /// Takes a change in.
    pub fn take(&mut self, change: CopyChange) -> CopyNews {
        match change {
            CopyChange::Whole { items, revision } => self.replace(items, revision),
            CopyChange::Changes {
                events,
                since,
                revision,
            } => self.change(events, since, revision),
        }
    }

    fn replace(&mut self, items: Vec<StoreItem>, revision: StoreRevision) -> CopyNews {
        let present: FxHashSet<CompactString> = items.iter().map(|item| item.key.clone()).collect();
        let mut events: Vec<_> = items.into_iter().map(StoreEvent::Written).collect();
        if revision > self.complete {
            // What was written after the range was read may be missing from it and is not gone.
            let gone =
                |item: &&StoreItem| item.revision <= revision && !present.contains(&item.key);
            let removal = |item: &StoreItem| StoreEvent::Removed {
                key: item.key.clone(),
                revision,
            };
            events.extend(self.items.values().filter(gone).map(removal));
        }
        let floor = if revision > self.complete {
            // The range is later than all that is known, so what it holds is there whatever was thought of it.
            StoreRevision::ABSENT
        } else {
            self.complete
        };
        events.retain(|event| self.apply(event, floor));
        if revision > self.complete {
            self.log.clear();
            self.logged = 0;
            self.advance(revision);
        }
        CopyNews {
            events,
            joined: Ok(()),
        }
    }

    fn change(
        &mut self,
        events: Vec<StoreEvent>,
        since: StoreRevision,
        revision: StoreRevision,
    ) -> CopyNews {
        let floor = self.complete;
        let news = events.iter().filter(|event| self.apply(event, floor));
        let news = news.cloned().collect();
        if since > self.complete {
            return CopyNews {
                events: news,
                joined: Err(CopyGap),
            };
        }
        if revision > self.complete {
            self.keep(&events);
            self.advance(revision);
        }
        CopyNews {
            events: news,
            joined: Ok(()),
        }
    }

    /// Keeps changes for VMs that are behind: also those that were known already or of keys that this copy never held,
    /// since another copy may hold them.
    fn keep(&mut self, events: &[StoreEvent]) {
        let new = events
            .iter()
            .filter(|event| event.revision() > self.complete);
        let keys: Vec<_> = new
            .map(|event| (event.key().clone(), event.revision()))
            .collect();
        if keys.is_empty() && !self.log.is_empty() {
            return;
        }
        self.logged += keys.len();
        self.log.push_back(ChangeBatch {
            keys,
            since: self.complete,
        });
        while self.logged > LOG_CHANGES && self.log.len() > 1 {
            let oldest = self.log.pop_front();
            self.logged -= oldest.map_or(0, |batch| batch.keys.len());
        }
    }

    fn advance(&mut self, revision: StoreRevision) {
        self.complete = revision;
        self.removed.retain(|_key, removed| *removed > revision);
    }

    /// Takes in one change; tells whether it was news. Everything up to the revision `floor` is known.
    fn apply(&mut self, event: &StoreEvent, floor: StoreRevision) -> bool {
        let key = event.key();
        if event.revision() <= self.known(key).max(floor) {
            return false;
        }
        match event {
            StoreEvent::Written(item) => {
                self.removed.remove(key);
                let old = self.items.insert(key.clone(), item.clone());
                self.note_value(old, item);
            }
            StoreEvent::Removed { revision, .. } => {
                self.items.remove(key);
                self.history.forget(key);
                self.removed.insert(key.clone(), *revision);
            }
        }
        true
    }

    fn note_value(&mut self, old: Option<StoreItem>, new: &StoreItem) {
        let is_long = |item: &StoreItem| item.value.len() >= LONG_VALUE;
        match old.filter(is_long) {
            Some(old) if is_long(new) && self.keeps_patches => self.history.note(&old, new),
            _ => self.history.forget(&new.key),
        }
    }

    /// The last change of a key that is known.
    fn known(&self, key: &CompactString) -> StoreRevision {
        let written = self.items.get(key).map(|item| item.revision);
        let removed = self.removed.get(key).copied();
        written.max(removed).unwrap_or_default()
    }

    /// What has become of all keys that changed after a revision; none if that is no longer kept.
    pub fn changes_since(&self, known: StoreRevision) -> Option<Vec<StoreEvent>> {
        let first = self.log.front().map_or(self.complete, |batch| batch.since);
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

    /// What a key that changed at a revision holds now: perhaps something newer, that was read ahead.
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
