use std::collections::BTreeSet;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

#[gtest]
fn no_number_is_lost_and_ranges_never_touch() {
    for (seed, max_number, max_ranges) in [
        (1, 200, 1_000),
        (2, 5_000, 64),
        (3, u64::MAX, 64),
        (4, 40, 1),
    ] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut evicted_keys = EvictedKeys::new().with_max_ranges(max_ranges);
        let mut inserted = BTreeSet::new();
        for _ in 0..1_000 {
            let first = rng.random_range(0..max_number);
            let last = first.saturating_add(rng.random_range(0..3));
            evicted_keys.insert_range(SequenceRange { first, last });
            inserted.extend(first..=last);
            let mut next_free = None;
            for range in evicted_keys.ranges() {
                expect_that!(next_free < Some(range.first), eq(true));
                next_free = Some(range.last.saturating_add(1));
            }
        }
        expect_that!(evicted_keys.ranges().count(), le(max_ranges));
        expect_that!(
            inserted
                .iter()
                .all(|sequence| evicted_keys.contains(*sequence)),
            eq(true),
            "{seed}"
        );
        if max_ranges == 1_000 {
            let is_exact = (0..max_number)
                .all(|sequence| evicted_keys.contains(sequence) == inserted.contains(&sequence));
            expect_that!(is_exact, eq(true));
        }
    }
}

#[gtest]
fn the_lowest_and_highest_sequence_numbers_are_handled() {
    let mut evicted_keys = EvictedKeys::new();
    evicted_keys.insert(u64::MAX);
    evicted_keys.insert(0);
    evicted_keys.insert(u64::MAX - 1);
    expect_that!(evicted_keys.contains(u64::MAX), eq(true));
    expect_that!(evicted_keys.contains(1), eq(false));
    expect_that!(evicted_keys.ranges().count(), eq(2));
}
