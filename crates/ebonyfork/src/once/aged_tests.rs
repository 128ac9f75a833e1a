use std::collections::BTreeSet;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

#[gtest]
fn nothing_is_forgotten_and_ranges_stay_apart() {
    for (seed, span, limit) in [
        (1, 200, 1_000),
        (2, 5_000, 64),
        (3, u64::MAX, 64),
        (4, 40, 1),
    ] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut aged = AgedKeys::new().with_limit(limit);
        let mut known = BTreeSet::new();
        for _ in 0..1_000 {
            let first = rng.random_range(0..span);
            let last = first.saturating_add(rng.random_range(0..3));
            aged.insert_range(SequenceRange { first, last });
            known.extend(first..=last);
            let mut above = None;
            for range in aged.ranges() {
                expect_that!(above < Some(range.first), eq(true));
                above = Some(range.last.saturating_add(1));
            }
        }
        expect_that!(aged.ranges().count(), le(limit));
        expect_that!(
            known.iter().all(|sequence| aged.contains(*sequence)),
            eq(true),
            "{seed}"
        );
        if limit == 1_000 {
            let exact =
                (0..span).all(|sequence| aged.contains(sequence) == known.contains(&sequence));
            expect_that!(exact, eq(true));
        }
    }
}

#[gtest]
fn the_ends_of_the_number_line_hold() {
    let mut aged = AgedKeys::new();
    aged.insert(u64::MAX);
    aged.insert(0);
    aged.insert(u64::MAX - 1);
    expect_that!(aged.contains(u64::MAX), eq(true));
    expect_that!(aged.contains(1), eq(false));
    expect_that!(aged.ranges().count(), eq(2));
}
