use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::*;

/// Returns a histogram in which attempts take 30 ms, except for 5 % that meet a pause of 300 ms; `extra_ms` is the
/// network time.
fn pausing(extra_ms: u64) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::new(Duration::from_millis(30));
    let now = Instant::now();
    for number in 0..400_u64 {
        let took = if number % 20 == 0 { 330 } else { 30 };
        histogram.record(Duration::from_millis(took + extra_ms), now);
    }
    histogram
}

#[gtest]
fn hedges_are_sent_where_they_help() {
    let near = pausing(0);
    let far = pausing(24);
    let cases = [
        // (waited, left, slowness of the other, expected)
        (10.0, Some(230.0), 1.0, false), // within the usual time
        (80.0, Some(160.0), 1.0, true),  // paused; the other can answer in time
        (80.0, Some(40.0), 1.0, false),  // the other can't answer in time
        (80.0, Some(160.0), 4.0, false), // the other is slow too
        (80.0, None, 1.0, true),         // target has passed: the first answer counts
    ];
    for (waited_ms, left_ms, other_slowness, expected) in cases {
        let candidate = HedgeCandidate {
            waited_ms,
            left_ms,
            original: &near,
            other: &far,
            other_slowness,
            known_late: false,
        };
        expect_that!(candidate.is_worthwhile(), eq(expected), "{candidate:?}");
    }
}

#[gtest]
fn checks_become_less_frequent() {
    let histogram = pausing(0);
    let first = HedgeCandidate::next_check_ms(&histogram, 0.0);
    expect_that!(first, all![ge(30.0), lt(60.0)]);
    let second = HedgeCandidate::next_check_ms(&histogram, first);
    expect_that!(second - first, ge(MIN_CHECK_INTERVAL_MS));
    expect_that!(HedgeCandidate::next_check_ms(&histogram, 600.0), eq(700.0));
}
