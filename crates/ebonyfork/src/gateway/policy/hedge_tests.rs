use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::*;

/// Returns a histogram in which attempts take 30 ms, except for 5 % that meet a pause of 300 ms; `extra_ms` is the
/// network time.
fn pausing_latency(extra_ms: u64) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::new(Duration::from_millis(30));
    let now = Instant::now();
    for number in 0..400_u64 {
        let took_ms = if number % 20 == 0 { 330 } else { 30 };
        histogram.record(Duration::from_millis(took_ms + extra_ms), now);
    }
    histogram
}

#[gtest]
fn hedges_are_sent_where_they_help() {
    let near_latency = pausing_latency(0);
    let far_latency = pausing_latency(24);
    let cases = [
        // (time in flight, time left, slowness of the hedge's upstream, whether to send the hedge)
        (10.0, Some(230.0), 1.0, false), // the attempt is within the usual time
        (80.0, Some(160.0), 1.0, true),  // the upstream pauses; the hedge can answer in time
        (80.0, Some(40.0), 1.0, false),  // the hedge can't answer in time
        (80.0, Some(160.0), 4.0, false), // the hedge's upstream is slow too
        (80.0, None, 1.0, true),         // the target has passed: the first answer counts
    ];
    for (waited_ms, left_ms, hedge_slowness_factor, is_worthwhile) in cases {
        let candidate = HedgeCandidate {
            waited_ms,
            left_ms,
            original_latency: &near_latency,
            hedge_latency: &far_latency,
            hedge_slowness_factor,
            known_late: false,
        };
        expect_that!(
            candidate.is_worthwhile(),
            eq(is_worthwhile),
            "{candidate:?}"
        );
    }
}

#[gtest]
fn checks_become_less_frequent() {
    let histogram = pausing_latency(0);
    let first_check_ms = HedgeCandidate::next_check_ms(&histogram, 0.0);
    expect_that!(first_check_ms, all![ge(30.0), lt(60.0)]);
    let second_check_ms = HedgeCandidate::next_check_ms(&histogram, first_check_ms);
    expect_that!(second_check_ms - first_check_ms, ge(MIN_CHECK_INTERVAL_MS));
    expect_that!(HedgeCandidate::next_check_ms(&histogram, 600.0), eq(700.0));
}
