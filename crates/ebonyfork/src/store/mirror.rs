//! Keeps a copy of a key range up to date: reads all pages, then watches for changes, and reads all pages again if the
//! store no longer holds the history.
//!
//! The pages of a range are not a snapshot, so the watch starts at the revision of the *first* page. It may repeat a
//! change that a later page already contained, or return an older change of the same key; the reader compares revisions
//! and skips what isn't newer. The mirror doesn't keep the items and returns every change, also one that it has
//! returned before or whose key it never saw: the reader may know more than the mirror, and others that get the changes
//! from the reader may know less.
//!
//! Pages may also be some seconds old, each by another time. The changes since the lowest of their revisions are then
//! merged into them before anything is returned, so that the reader never sees the old content
//! ([`MirrorState::with_stale_pages`]).
//!
//! An answer with a higher era belongs to another history. Its pages and changes can't be combined with those of the
//! previous one, so the range is read again from its first page. If the store's era falls or is no longer stated, its
//! answers can't be ordered by it; they count as answers of the highest era seen.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use crate::store::{
    Backoff, StoreEra, StoreError, StoreEvent, StoreItem, StorePage, StoreRevision, StoreWatch,
};

/// First wait after a failed call; it doubles with each further failure. A fleet of 7 to 90 VMs then makes at most 900
/// calls per second in the first moment of an outage, less than the store's rate limits.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(100);
/// Longest wait after a failed call: half of the two seconds after an outage within which entries whose leases
/// lapsed have to be back.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// The next action of a mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorStep {
    /// Read the page that follows a key.
    Read {
        /// The last key of the previous page; `None` for the first page.
        after: Option<CompactString>,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision up to which all changes are known.
        after: StoreRevision,
    },
    /// Wait this long before the next call.
    Pause(Duration),
}

/// A change of the mirrored range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// All items of the range after a complete read; any other key is gone.
    Replaced(Vec<StoreItem>),
    /// Individual changes, at most one per key.
    Changed(Vec<StoreEvent>),
}

impl MirrorChange {
    /// Returns the number of items or events in the change.
    #[expect(
        clippy::len_without_is_empty,
        reason = "no caller asks whether a change is empty"
    )]
    pub fn len(&self) -> usize {
        match self {
            Self::Replaced(items) => items.len(),
            Self::Changed(events) => events.len(),
        }
    }

    /// Converts the change into events; the items of a complete read become [`StoreEvent::Written`].
    pub fn into_events(self) -> Vec<StoreEvent> {
        match self {
            Self::Replaced(items) => items.into_iter().map(StoreEvent::Written).collect(),
            Self::Changed(events) => events,
        }
    }
}

#[derive(Debug)]
enum MirrorPhase {
    /// The pages of the range are being read; `first_revision` is the revision of the first page.
    Reading {
        first_revision: Option<StoreRevision>,
        items: Vec<StoreItem>,
    },
    /// Old pages of the whole range have been read; their changes since `known_revision` are missing.
    Merging {
        known_revision: StoreRevision,
        items: Vec<StoreItem>,
    },
    /// The range has been read, and all of its changes up to `known_revision` are known.
    Watching { known_revision: StoreRevision },
}

impl MirrorPhase {
    fn reading_first_page() -> Self {
        Self::Reading {
            first_revision: None,
            items: Vec::new(),
        }
    }
}

/// The state of a mirror, without I/O or a clock.
#[derive(Debug)]
pub struct MirrorState {
    phase: MirrorPhase,
    /// The highest era seen in any answer.
    era: StoreEra,
    /// Whether pages may be old.
    allows_stale_pages: bool,
    /// Whether the next read of the range must be of the latest pages, because the store has dropped the history that old
    /// pages need.
    needs_latest_pages: bool,
    backoff: Backoff,
    /// Wait before the next call, after a failed one.
    pause: Option<Duration>,
}

impl Default for MirrorState {
    fn default() -> Self {
        Self::new()
    }
}

impl MirrorState {
    /// Creates a mirror that has read nothing yet.
    pub fn new() -> Self {
        Self {
            phase: MirrorPhase::reading_first_page(),
            era: StoreEra::UNSTATED,
            allows_stale_pages: false,
            needs_latest_pages: false,
            backoff: Backoff::new(FIRST_RETRY_WAIT, MAX_RETRY_WAIT),
            pause: None,
        }
    }

    /// Allows pages that are some seconds old, except where they would be of no use.
    #[must_use]
    pub fn with_stale_pages(self) -> Self {
        Self {
            allows_stale_pages: true,
            ..self
        }
    }

    /// Returns whether the pages that are read next may be old. In a store that was ever restored they may not: an old
    /// page could be from before, and its revisions would be those of another history.
    pub fn reads_stale_pages(&self) -> bool {
        self.allows_stale_pages && !self.needs_latest_pages && self.era == StoreEra::UNSTATED
    }

    /// Returns whether the range has been read and the changes since then are to be fetched without waiting for more.
    pub fn is_merging(&self) -> bool {
        matches!(self.phase, MirrorPhase::Merging { .. })
    }

    /// Returns the next action. A pause is returned only once.
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
            MirrorPhase::Merging { known_revision, .. }
            | MirrorPhase::Watching { known_revision } => MirrorStep::Watch {
                after: *known_revision,
            },
        }
    }

    /// Applies a page; the last page of the range returns all items.
    pub fn apply_page(&mut self, page: StorePage) -> Option<MirrorChange> {
        self.backoff.reset();
        let is_stale = self.reads_stale_pages();
        let era = self.raise_era(page.revision.era());
        if is_stale && !self.reads_stale_pages() {
            // The page may be from before the era that it states.
            self.phase = MirrorPhase::reading_first_page();
            return None;
        }
        let page = page.with_era(era);
        let MirrorPhase::Reading {
            first_revision,
            items,
        } = &mut self.phase
        else {
            return None;
        };
        let first_revision = first_revision.get_or_insert(page.revision);
        let known_revision = *first_revision;
        if known_revision.era() < page.revision.era() {
            self.phase = MirrorPhase::reading_first_page();
            return None;
        }
        // Old pages may be older than the first one.
        *first_revision = known_revision.min(page.revision);
        let known_revision = *first_revision;
        let is_last = page.items.is_empty() || !page.has_more;
        items.extend(page.items);
        if !is_last {
            return None;
        }
        let items = std::mem::take(items);
        if is_stale {
            self.phase = MirrorPhase::Merging {
                known_revision,
                items,
            };
            return None;
        }
        self.needs_latest_pages = false;
        self.phase = MirrorPhase::Watching { known_revision };
        Some(MirrorChange::Replaced(items))
    }

    /// Applies the result of a watch.
    pub fn apply_watch(&mut self, watch: StoreWatch) -> Option<MirrorChange> {
        self.backoff.reset();
        let era = self.raise_era(watch.revision.era());
        let watch = watch.with_era(era);
        let (MirrorPhase::Merging { known_revision, .. }
        | MirrorPhase::Watching { known_revision }) = &mut self.phase
        else {
            return None;
        };
        if known_revision.era() < watch.revision.era() {
            self.phase = MirrorPhase::reading_first_page();
            return None;
        }
        if let MirrorPhase::Merging {
            known_revision,
            items,
        } = &mut self.phase
        {
            let known_revision = watch.revision.max(*known_revision);
            let items = merge_events(std::mem::take(items), watch.events);
            self.phase = MirrorPhase::Watching { known_revision };
            return Some(MirrorChange::Replaced(items));
        }
        let MirrorPhase::Watching { known_revision } = &mut self.phase else {
            return None;
        };
        *known_revision = watch.revision.max(*known_revision);
        let newest_changes = newest_events(watch.events);
        (!newest_changes.is_empty()).then_some(MirrorChange::Changed(newest_changes))
    }

    /// Records the era that an answer states and returns the era that the answer counts as: the highest seen.
    fn raise_era(&mut self, stated_era: StoreEra) -> StoreEra {
        self.era = self.era.max(stated_era);
        self.era
    }

    /// Applies the failure of a call.
    pub fn apply_failure(&mut self, error: &StoreError, rng: &mut impl rand::Rng) {
        let was_reading = matches!(self.phase, MirrorPhase::Reading { .. });
        if matches!(
            error,
            StoreError::HistoryGone | StoreError::Malformed { .. } | StoreError::TooLong { .. }
        ) {
            // Old pages would be from before the gap.
            self.needs_latest_pages = true;
            self.phase = MirrorPhase::reading_first_page();
        }
        // Repeating the watch would ask for the same changes, and more.
        let is_watch_too_long = matches!(error, StoreError::TooLong { .. }) && !was_reading;
        if matches!(error, StoreError::HistoryGone) || is_watch_too_long {
            return;
        }
        if let MirrorPhase::Reading { .. } = self.phase {
            // A page read after a pause would not fit the first pages.
            self.phase = MirrorPhase::reading_first_page();
        }
        self.pause = Some(self.backoff.next_wait(rng));
    }

    /// Discards the known revision, so that the next step reads the range from its first page.
    pub fn reread(&mut self) {
        self.phase = MirrorPhase::reading_first_page();
    }

    /// Returns the store revision up to which all changes are known.
    pub fn revision(&self) -> StoreRevision {
        match &self.phase {
            MirrorPhase::Reading { first_revision, .. } => first_revision.unwrap_or_default(),
            MirrorPhase::Merging { known_revision, .. }
            | MirrorPhase::Watching { known_revision } => *known_revision,
        }
    }

    /// Continues at once after `revision`, up to which the reader has learned everything from another source, unless
    /// the mirror is further ahead. A revision of an earlier era is ignored, because its history has ended.
    pub fn resume_at(&mut self, revision: StoreRevision) {
        self.pause = None;
        if revision > self.revision() && revision.era() >= self.era {
            self.era = revision.era();
            self.phase = MirrorPhase::Watching {
                known_revision: revision,
            };
        }
    }

    /// Returns the highest era seen in any answer.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns whether the range has been read completely and is now only watched for changes.
    pub fn is_following(&self) -> bool {
        matches!(self.phase, MirrorPhase::Watching { .. })
    }
}

/// Returns items with changes applied that follow some of them.
fn merge_events(items: Vec<StoreItem>, events: Vec<StoreEvent>) -> Vec<StoreItem> {
    if events.is_empty() {
        return items;
    }
    let mut items: BTreeMap<_, _> = items
        .into_iter()
        .map(|item| (item.key.clone(), item))
        .collect();
    for event in newest_events(events) {
        let known_revision = items.get(event.key()).map(|item| item.revision);
        if known_revision.is_some_and(|known_revision| known_revision >= event.revision()) {
            continue;
        }
        match event {
            StoreEvent::Written(item) => {
                items.insert(item.key.clone(), item);
            }
            StoreEvent::Removed { key, .. } => {
                items.remove(&key);
            }
        }
    }
    items.into_values().collect()
}

/// Returns the newest event of each key, ordered by revision.
pub fn newest_events(events: impl IntoIterator<Item = StoreEvent>) -> Vec<StoreEvent> {
    let mut newest_by_key: FxHashMap<CompactString, StoreEvent> = FxHashMap::default();
    for event in events {
        let known_event = newest_by_key.get(event.key());
        if known_event.is_some_and(|known_event| known_event.revision() >= event.revision()) {
            continue;
        }
        newest_by_key.insert(event.key().clone(), event);
    }
    let mut events: Vec<_> = newest_by_key.into_values().collect();
    events.sort_unstable_by_key(StoreEvent::revision);
    events
}

#[cfg(test)]
#[path = "mirror_tests.rs"]
mod tests;
