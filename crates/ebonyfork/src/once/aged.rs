//! Keys whose outcomes are no longer kept: they must never run anew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Ranges kept at most. Callers that count up, from wherever they start, need one range each.
const RANGE_LIMIT: usize = 65_536;

/// Sequence numbers from `first` to `last`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceRange {
    /// The lowest.
    pub first: u64,
    /// The highest.
    pub last: u64,
}

/// A set of sequence numbers in bounded memory. It never forgets a number; when there are too many ranges, the nearest
/// ones are joined, and the numbers between them count as aged too. That is safe: such a key is answered as unknown.
///
/// # Examples
///
/// ```
/// use ebonyfork::once::AgedKeys;
///
/// let mut aged = AgedKeys::new();
/// for sequence in [7, 9, 8] {
///     aged.insert(sequence);
/// }
/// assert!(aged.contains(8) && !aged.contains(10));
/// assert_eq!(aged.ranges().count(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AgedKeys {
    /// Last number of each range, by its first; ranges neither overlap nor touch.
    ranges: BTreeMap<u64, u64>,
    limit: Option<usize>,
}

impl AgedKeys {
    /// Makes an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the number of ranges that are kept apart.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = Some(limit.max(1));
        self
    }

    /// Tells whether a number is in the set.
    pub fn contains(&self, sequence: u64) -> bool {
        let below = self.ranges.range(..=sequence).next_back();
        below.is_some_and(|(_first, last)| *last >= sequence)
    }

    /// Tells whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds a number.
    pub fn insert(&mut self, sequence: u64) {
        self.insert_range(SequenceRange {
            first: sequence,
            last: sequence,
        });
    }

    /// Adds a range of numbers.
    pub fn insert_range(&mut self, range: SequenceRange) {
        let (mut first, mut last) = (range.first, range.last.max(range.first));
        // Take out every range that overlaps or touches, from the highest that starts at or below `last + 1`.
        while let Some((&start, &end)) = self.ranges.range(..=last.saturating_add(1)).next_back() {
            if end.saturating_add(1) < first {
                break;
            }
            self.ranges.remove(&start);
            first = first.min(start);
            last = last.max(end);
        }
        self.ranges.insert(first, last);
        let limit = self.limit.unwrap_or(RANGE_LIMIT);
        if self.ranges.len() > limit {
            self.join_nearest(limit);
        }
    }

    /// All ranges, ascending.
    pub fn ranges(&self) -> impl Iterator<Item = SequenceRange> {
        let ranges = self.ranges.iter();
        ranges.map(|(&first, &last)| SequenceRange { first, last })
    }

    /// Joins ranges across the smallest gaps until an eighth of the limit is free.
    fn join_nearest(&mut self, limit: usize) {
        let ranges: Vec<SequenceRange> = self.ranges().collect();
        let surplus = ranges.len() - limit + limit / 8;
        let mut gaps: Vec<(u64, usize)> = Vec::with_capacity(ranges.len());
        for (index, pair) in ranges.windows(2).enumerate() {
            gaps.push((pair[1].first - pair[0].last, index));
        }
        gaps.sort_unstable();
        gaps.truncate(surplus);
        for (_width, index) in gaps {
            let (lower, upper) = (ranges[index], ranges[index + 1]);
            // Either range may have grown by an earlier join of this loop.
            let Some(end) = self.ranges.remove(&upper.first) else {
                continue;
            };
            if let Some((_first, last)) = self.ranges.range_mut(..=lower.first).next_back() {
                *last = (*last).max(end);
            }
        }
    }
}

#[cfg(test)]
#[path = "aged_tests.rs"]
mod tests;
