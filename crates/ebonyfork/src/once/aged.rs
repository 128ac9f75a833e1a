//! Idempotency keys whose outcomes are no longer kept. They must never run again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Default limit on the number of ranges. A caller that numbers its keys consecutively takes up one range.
const MAX_RANGES: usize = 65_536;

/// Sequence numbers from `first` to `last`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceRange {
    /// Lowest sequence number of the range.
    pub first: u64,
    /// Highest sequence number of the range.
    pub last: u64,
}

/// A set of sequence numbers in bounded memory. A number is never removed; when there are too many ranges, the nearest
/// ones are merged, and the numbers between them count as evicted too. That is safe: the outcome of such a key is
/// reported as unknown.
///
/// # Examples
///
/// ```
/// use ebonyfork::once::EvictedKeys;
///
/// let mut evicted = EvictedKeys::new();
/// for sequence in [7, 9, 8] {
///     evicted.insert(sequence);
/// }
/// assert!(evicted.contains(8) && !evicted.contains(10));
/// assert_eq!(evicted.ranges().count(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EvictedKeys {
    /// Last number of each range, by its first number; ranges neither overlap nor touch.
    ranges: BTreeMap<u64, u64>,
    max_ranges: Option<usize>,
}

impl EvictedKeys {
    /// Creates an empty set with the default limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the largest number of ranges.
    #[must_use]
    pub fn with_max_ranges(mut self, max_ranges: usize) -> Self {
        self.max_ranges = Some(max_ranges.max(1));
        self
    }

    /// Returns whether a sequence number is in the set.
    pub fn contains(&self, sequence: u64) -> bool {
        let preceding_range = self.ranges.range(..=sequence).next_back();
        preceding_range.is_some_and(|(_first, last)| *last >= sequence)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Adds a sequence number.
    pub fn insert(&mut self, sequence: u64) {
        self.insert_range(SequenceRange {
            first: sequence,
            last: sequence,
        });
    }

    /// Adds a range of sequence numbers.
    pub fn insert_range(&mut self, range: SequenceRange) {
        let (mut first, mut last) = (range.first, range.last.max(range.first));
        // Merge all ranges that overlap or touch the new one, going down from the highest that starts at or below
        // `last + 1`.
        while let Some((&start, &end)) = self.ranges.range(..=last.saturating_add(1)).next_back() {
            if end.saturating_add(1) < first {
                break;
            }
            self.ranges.remove(&start);
            first = first.min(start);
            last = last.max(end);
        }
        self.ranges.insert(first, last);
        let max_ranges = self.max_ranges.unwrap_or(MAX_RANGES);
        if self.ranges.len() > max_ranges {
            self.merge_nearest_ranges(max_ranges);
        }
    }

    /// Returns all ranges in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = SequenceRange> {
        let ranges = self.ranges.iter();
        ranges.map(|(&first, &last)| SequenceRange { first, last })
    }

    /// Merges ranges across the smallest gaps until an eighth of the limit is free.
    fn merge_nearest_ranges(&mut self, max_ranges: usize) {
        let ranges: Vec<SequenceRange> = self.ranges().collect();
        let merge_count = ranges.len() - max_ranges + max_ranges / 8;
        let mut gaps: Vec<(u64, usize)> = Vec::with_capacity(ranges.len());
        for (index, pair) in ranges.windows(2).enumerate() {
            gaps.push((pair[1].first - pair[0].last, index));
        }
        gaps.sort_unstable();
        gaps.truncate(merge_count);
        for (_gap, index) in gaps {
            let (lower, upper) = (ranges[index], ranges[index + 1]);
            // An earlier iteration may have merged either range already.
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
