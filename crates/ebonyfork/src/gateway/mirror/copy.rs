//! This VM's copy of the store, and up to which revision it is whole.
//!
//! Changes reach a VM in many ways: pages that are no snapshot, watches, other VMs that are ahead or behind. One record
//! is kept of them all, so that no two of them can disagree about what is known. It rests on a single statement: *every
//! change up to [`StoreCopy::complete`] has been taken in*. A change up to it is no news, wherever it comes from; a range
//! that is read as of a later revision tells what is gone; changes after a later revision leave a gap and move nothing on.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::store::{StoreEvent, StoreItem, StoreRevision, newest_events};

/// Bytes of values in the changes that are kept for VMs that are a little behind. At 350 routes a configuration has some
/// 60 KB; a VM that changes its source is behind by one or two of them.
const LOG_BYTES: usize = 256 * 1024;

/// Bytes that a kept change takes besides its key and value.
const EVENT_BYTES: usize = size_of::<StoreEvent>();

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

/// Changes that came together.
#[derive(Debug)]
struct ChangeBatch {
    events: Vec<StoreEvent>,
    since: StoreRevision,
    bytes: usize,
}

/// A copy of the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    items: BTreeMap<CompactString, StoreItem>,
    /// Keys that are known to have been removed after `complete`.
    removed: FxHashMap<CompactString, StoreRevision>,
    complete: StoreRevision,
    /// The last changes up to `complete`, without a gap.
    log: VecDeque<ChangeBatch>,
    log_bytes: usize,
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
            self.log_bytes = 0;
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
            self.keep(events);
            self.advance(revision);
        }
        CopyNews {
            events: news,
            joined: Ok(()),
        }
    }

    /// Keeps changes for VMs that are behind: also those that were known already or of keys that this copy never held,
    /// since another copy may hold them.
    fn keep(&mut self, mut events: Vec<StoreEvent>) {
        events.retain(|event| event.revision() > self.complete);
        if events.is_empty() && !self.log.is_empty() {
            return;
        }
        let bytes = events.iter().map(event_bytes).sum();
        self.log_bytes += bytes;
        self.log.push_back(ChangeBatch {
            events,
            since: self.complete,
            bytes,
        });
        while self.log_bytes > LOG_BYTES && self.log.len() > 1 {
            let oldest = self.log.pop_front();
            self.log_bytes -= oldest.map_or(0, |batch| batch.bytes);
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
                self.items.insert(key.clone(), item.clone());
            }
            StoreEvent::Removed { revision, .. } => {
                self.items.remove(key);
                self.removed.insert(key.clone(), *revision);
            }
        }
        true
    }

    /// The last change of a key that is known.
    fn known(&self, key: &CompactString) -> StoreRevision {
        let written = self.items.get(key).map(|item| item.revision);
        let removed = self.removed.get(key).copied();
        written.max(removed).unwrap_or_default()
    }

    /// All changes after a revision, the newest of each key; none if they are no longer kept.
    pub fn changes_since(&self, known: StoreRevision) -> Option<Vec<StoreEvent>> {
        let first = self.log.front().map_or(self.complete, |batch| batch.since);
        if known < first {
            return None;
        }
        let events = self.log.iter().flat_map(|batch| &batch.events);
        let later = events.filter(|event| event.revision() > known);
        Some(newest_events(later.cloned()))
    }
}

fn event_bytes(event: &StoreEvent) -> usize {
    let value = match event {
        StoreEvent::Written(item) => item.value.len(),
        StoreEvent::Removed { .. } => 0,
    };
    EVENT_BYTES + event.key().len() + value
}

#[cfg(test)]
#[path = "copy_tests.rs"]
mod tests;
