//! Counts of the outcomes of histories.

/// Outcome counts of a set of histories.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Histories that were run.
    pub histories: u64,
    /// Publishings told as done.
    pub published: u64,
    /// Publishings that found nothing to change.
    pub unchanged: u64,
    /// Publishings that lost to another one.
    pub conflicts: u64,
    /// Publishings that provably did nothing.
    pub not_published: u64,
    /// Publishings that can't be told.
    pub unknown: u64,
    /// Times that the store went back to older data.
    pub restarts: u64,
    /// Times that a watcher moved the head forward again.
    pub restored: u64,
    /// Swaps of the head whose answer was lost although they took effect.
    pub lost_swaps: u64,
}

impl HistoryCounts {
    /// Adds the counts of more histories.
    pub fn add(&mut self, other: &Self) {
        self.histories += other.histories;
        self.published += other.published;
        self.unchanged += other.unchanged;
        self.conflicts += other.conflicts;
        self.not_published += other.not_published;
        self.unknown += other.unknown;
        self.restarts += other.restarts;
        self.restored += other.restored;
        self.lost_swaps += other.lost_swaps;
    }
}
