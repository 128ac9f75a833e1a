use googletest::prelude::*;

use super::*;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An operator who looks just after the start of a period must still see what happened before it, and must not see what is
/// older than the time that the report states.
#[gtest]
fn counts_are_kept_for_one_to_two_periods() {
    let mut table = RecentTable::new(10);
    table.count("a", 0, seconds(59));
    table.count("a", 1, seconds(61));
    expect_that!(table.counts(&"a", seconds(61)), eq([1, 1, 0, 0]));
    expect_that!(counted_time(seconds(61)), eq(seconds(61)));
    expect_that!(table.counts(&"a", seconds(121)), eq([0, 1, 0, 0]));
    expect_that!(counted_time(seconds(121)), eq(seconds(61)));
    expect_that!(table.counts(&"a", seconds(180)), eq([0; 4]));
    table.count("a", 2, seconds(600));
    expect_that!(table.counts(&"a", seconds(600)), eq([0, 0, 1, 0]));
}

/// Callers choose when organisations send, so the table must stay bounded, and must have room again once they have
/// stopped.
#[gtest]
fn a_full_table_counts_known_organisations_only() {
    let mut table = RecentTable::new(2);
    for key in ["a", "b", "c", "a"] {
        table.count(key, 0, seconds(10));
    }
    expect_that!(table.entries.len(), eq(2));
    expect_that!(table.uncounted, eq(1));
    expect_that!(table.counts(&"a", seconds(10))[0], eq(2));
    expect_that!(table.counts(&"c", seconds(10))[0], eq(0));
    table.remove_idle(seconds(119));
    expect_that!(table.entries.len(), eq(2));
    table.remove_idle(seconds(120));
    table.count("c", 0, seconds(120));
    expect_that!(table.counts(&"c", seconds(120))[0], eq(1));
}

/// The memory that 100,000 organisations take is stated at the bound; a larger key or entry must not go unnoticed.
#[gtest]
fn an_entry_is_small() {
    let entry_bytes = size_of::<((u8, OrganisationName), RecentCounts)>();
    expect_that!(entry_bytes, le(72));
}
