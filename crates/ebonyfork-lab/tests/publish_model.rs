//! Random histories of publishing. `cargo run --release --example publish_histories -- 100000` runs the large number.

use ebonyfork_lab::publish_model::{HistoryCounts, run_history};
use googletest::prelude::*;

fn run(seeds: std::ops::Range<u64>, restarts: bool) -> HistoryCounts {
    let mut counts = HistoryCounts::default();
    for seed in seeds {
        match run_history(seed, restarts) {
            Ok(more) => counts.add(&more),
            Err(fault) => panic!("history {seed}, restarts {restarts}: {fault}"),
        }
    }
    counts
}

#[gtest]
fn no_revision_is_lost_doubled_or_reverted() {
    let counts = run(0..2_000, false);
    expect_that!(counts.published, gt(1_000), "{counts:?}");
    expect_that!(counts.conflicts, gt(100), "{counts:?}");
    expect_that!(counts.lost_swaps, gt(100), "{counts:?}");
}

#[gtest]
fn nothing_accepted_is_lost_when_the_store_goes_back() {
    let counts = run(0..2_000, true);
    expect_that!(counts.restarts, gt(1_000), "{counts:?}");
    expect_that!(counts.restored, gt(500), "{counts:?}");
}
