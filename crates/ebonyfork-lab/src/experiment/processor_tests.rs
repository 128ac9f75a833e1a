use googletest::prelude::*;

use super::*;

#[gtest]
fn a_stat_line_gives_name_and_ticks() {
    let line = "77 (vm-127.1 (x) y) S 1 77 77 0 -1 4194304 9 0 0 0 120 30 0 0 20 0 9 0 5 1 1";
    expect_that!(parse_stat(line), some(eq(("vm-127.1 (x) y", 150))));
    expect_that!(parse_stat("77 (vm) S 1"), none());
}

#[gtest]
fn only_the_difference_counts() {
    let times = |ticks: &[(&str, u64)]| {
        let ticks = ticks
            .iter()
            .map(|(thread, ticks)| (CompactString::new(thread), *ticks));
        ProcessorTimes {
            ticks: ticks.collect(),
        }
    };
    let earlier = times(&[("1", 10), ("2", 5)]);
    let later = times(&[("1", 14), ("3", 2)]);
    expect_that!(later.since(&earlier), eq(Duration::from_millis(60)));
}
