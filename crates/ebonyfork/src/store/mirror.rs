//! How a copy of a key range is kept: read all pages, then follow the changes, and read again when the history is gone.
//!
//! Pages are not a snapshot, so the watch goes on from the revision of the *first* page. It may then repeat a change
//! that a later page has shown already, or an older one of the same key; who holds the items knows their revisions and
//! passes over what is not newer. The mirror keeps no record of its own and tells all that has changed, what it has told
//! or never seen included: its reader may know more, and others that hear of the changes from the reader may know less.
//!
//! An answer of a higher era belongs to another history: pages and changes of the one before don't join it, so the range is
//! read from its first page. A store whose era falls, or that states none any more, can't be ordered by it; its answers
//! count as of the highest era that it has stated.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use crate::store::{
    Backoff, StoreEra, StoreError, StoreEvent, StoreItem, StorePage, StoreRevision, StoreWatch,
};

/// Shortest wait after a failed call. At 7 to 90 VMs that is at most 900 calls a second in the first moment of an
/// outage, below the stated rates; it doubles from there.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest wait after a failed call: half of the two seconds after an outage in which lapsed entries come back.
const RETRY_LONGEST: Duration = Duration::from_secs(1);

/// What the mirror does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorStep {
    /// Read the page after a key.
    Read {
        /// The last key of the page before; `None` for the first page.
        after: Option<CompactString>,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision up to which everything is known.
        after: StoreRevision,
    },
    /// Wait before the next call.
    Pause(Duration),
}

/// What the mirror tells its reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// The whole range as it was read; what is not in it is gone.
    Replaced(Vec<StoreItem>),
    /// Changes, at most one for each key.
    Changed(Vec<StoreEvent>),
}

impl MirrorChange {
    /// The number of keys that it tells of.
    #[expect(
        clippy::len_without_is_empty,
        reason = "a change that tells of nothing is none"
    )]
    pub fn len(&self) -> usize {
        match self {
            Self::Replaced(items) => items.len(),
            Self::Changed(events) => events.len(),
        }
    }

    /// What was written and removed.
    pub fn into_events(self) -> Vec<StoreEvent> {
        match self {
            Self::Replaced(items) => items.into_iter().map(StoreEvent::Written).collect(),
            Self::Changed(events) => events,
        }
    }
}

#[derive(Debug)]
enum MirrorPhase {
    /// Pages are being read; `base` is the revision of the first one.
    Reading {
        base: Option<StoreRevision>,
        items: Vec<StoreItem>,
    },
    Watching {
        after: StoreRevision,
    },
}

impl MirrorPhase {
    fn first_page() -> Self {
        Self::Reading {
            base: None,
            items: Vec::new(),
        }
    }
}

/// The state of one mirror, without socket or clock.
#[derive(Debug)]
pub struct MirrorState {
    phase: MirrorPhase,
    /// The highest era that was heard of.
    era: StoreEra,
    backoff: Backoff,
    pause: Option<Duration>,
}

impl Default for MirrorState {
    fn default() -> Self {
        Self::new()
    }
}

impl MirrorState {
    /// Starts with nothing known.
    pub fn new() -> Self {
        Self {
            phase: MirrorPhase::first_page(),
            era: StoreEra::UNSTATED,
            backoff: Backoff::new(RETRY_FIRST, RETRY_LONGEST),
            pause: None,
        }
    }

    /// Returns what to do next. A pause is returned once.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::store::{MirrorState, MirrorStep};
    ///
    /// let mut mirror = MirrorState::new();
    /// assert_eq!(mirror.next_step(), MirrorStep::Read { after: None });
    /// ```
    pub fn next_step(&mut self) -> MirrorStep {
        if let Some(pause) = self.pause.take() {
            return MirrorStep::Pause(pause);
        }
        match &self.phase {
            MirrorPhase::Reading { items, .. } => MirrorStep::Read {
                after: items.last().map(|item| item.key.clone()),
            },
            MirrorPhase::Watching { after } => MirrorStep::Watch { after: *after },
        }
    }

    /// Takes in a page; the last one gives the whole range.
    pub fn take_page(&mut self, page: StorePage) -> Option<MirrorChange> {
        self.backoff.reset();
        let era = self.enter_era(page.revision.era());
        let page = page.with_era(era);
        let MirrorPhase::Reading { base, items } = &mut self.phase else {
            return None;
        };
        let after = *base.get_or_insert(page.revision);
        if after.era() < page.revision.era() {
            self.phase = MirrorPhase::first_page();
            return None;
        }
        let last = page.items.is_empty() || !page.more;
        items.extend(page.items);
        if !last {
            return None;
        }
        let items = std::mem::take(items);
        self.phase = MirrorPhase::Watching { after };
        Some(MirrorChange::Replaced(items))
    }

    /// Takes in what a watch returned.
    pub fn take_watch(&mut self, watch: StoreWatch) -> Option<MirrorChange> {
        self.backoff.reset();
        let era = self.enter_era(watch.revision.era());
        let watch = watch.with_era(era);
        let MirrorPhase::Watching { after } = &mut self.phase else {
            return None;
        };
        if after.era() < watch.revision.era() {
            self.phase = MirrorPhase::first_page();
            return None;
        }
        *after = watch.revision.max(*after);
        let changes = newest_events(watch.events);
        (!changes.is_empty()).then_some(MirrorChange::Changed(changes))
    }

    /// Takes in the era that an answer states; returns the one as of which it counts.
    fn enter_era(&mut self, stated: StoreEra) -> StoreEra {
        self.era = self.era.max(stated);
        self.era
    }

    /// Takes in that a call failed.
    pub fn take_failure(&mut self, error: &StoreError, rng: &mut impl rand::Rng) {
        if matches!(
            error,
            StoreError::HistoryGone | StoreError::Malformed { .. }
        ) {
            self.phase = MirrorPhase::first_page();
        }
        if matches!(error, StoreError::HistoryGone) {
            return;
        }
        if let MirrorPhase::Reading { .. } = self.phase {
            // A page that comes much later would not fit the first ones.
            self.phase = MirrorPhase::first_page();
        }
        self.pause = Some(self.backoff.next_wait(rng));
    }

    /// Forgets how far the changes were followed: the next step reads the range from its first page.
    pub fn read_anew(&mut self) {
        self.phase = MirrorPhase::first_page();
    }

    /// The store's revision up to which everything is known.
    pub fn revision(&self) -> StoreRevision {
        match &self.phase {
            MirrorPhase::Reading { base, .. } => base.unwrap_or_default(),
            MirrorPhase::Watching { after } => *after,
        }
    }

    /// Goes on at once, after a revision up to which the reader has learnt everything elsewhere unless the mirror is
    /// further on. In a history that has ended nothing can be gone on from.
    pub fn resume_at(&mut self, revision: StoreRevision) {
        self.pause = None;
        if revision > self.revision() && revision.era() >= self.era {
            self.era = revision.era();
            self.phase = MirrorPhase::Watching { after: revision };
        }
    }

    /// The highest era that was heard of.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Whether the range has been read and only changes are awaited.
    pub fn is_following(&self) -> bool {
        matches!(self.phase, MirrorPhase::Watching { .. })
    }
}

/// The newest event of each key, in the order of their revisions.
pub fn newest_events(events: impl IntoIterator<Item = StoreEvent>) -> Vec<StoreEvent> {
    let mut newest: FxHashMap<CompactString, StoreEvent> = FxHashMap::default();
    for event in events {
        let older = newest.get(event.key());
        if older.is_some_and(|older| older.revision() >= event.revision()) {
            continue;
        }
        newest.insert(event.key().clone(), event);
    }
    let mut events: Vec<_> = newest.into_values().collect();
    events.sort_unstable_by_key(StoreEvent::revision);
    events
}

#[cfg(test)]
#[path = "mirror_tests.rs"]
mod tests;
