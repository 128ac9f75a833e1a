use googletest::prelude::*;

use super::*;

fn histogram_of(start: Instant, times_ms: &[(u64, usize)]) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::new(Duration::from_millis(30));
    for (time, count) in times_ms {
        for _ in 0..*count {
            histogram.record(Duration::from_millis(*time), start);
        }
    }
    histogram
}

#[gtest]
fn quantiles_are_off_by_at_most_one_bucket() {
    let histogram = histogram_of(Instant::now(), &[(10, 900), (50, 90), (300, 10)]);
    expect_that!(histogram.quantile(0.5), all![ge(10.0), lt(12.0)]);
    expect_that!(histogram.quantile(0.95), all![ge(50.0), lt(60.0)]);
    expect_that!(histogram.quantile(0.999), all![ge(300.0), lt(358.0)]);
}

#[gtest]
fn an_attempt_that_has_outlasted_the_usual_ones_is_unlikely_to_end_soon() {
    let histogram = histogram_of(Instant::now(), &[(10, 950), (300, 50)]);
    expect_that!(histogram.ends_within(0.0, 20.0), gt(0.9));
    expect_that!(histogram.ends_within(60.0, 100.0), lt(0.2));
    expect_that!(histogram.ends_within(60.0, 400.0), gt(0.9));
}

/// Load pattern: an upstream falls silent and no attempt of the route has ever taken as long. Taking such an attempt as
/// certain to end would mean that it is never hedged.
#[gtest]
fn an_attempt_that_has_outlasted_all_others_may_take_as_long_again() {
    let histogram = histogram_of(Instant::now(), &[(10, 950), (100, 50)]);
    expect_that!(histogram.ends_within(400.0, 100.0), near(0.2, 1e-9));
    expect_that!(histogram.ends_within(400.0, 400.0), near(0.5, 1e-9));
    expect_that!(histogram.ends_within(400.0, 0.0), eq(0.0));
}

#[gtest]
fn a_slow_phase_is_forgotten_within_seconds() {
    let start = Instant::now();
    let mut histogram = histogram_of(start, &[(200, 100)]);
    for step in 1..=120_u64 {
        histogram.record(
            Duration::from_millis(10),
            start + Duration::from_millis(step * 100),
        );
    }
    expect_that!(histogram.quantile(0.8), lt(15.0));
}

#[gtest]
fn a_route_with_few_requests_keeps_its_estimate() {
    let start = Instant::now();
    let mut histogram = histogram_of(start, &[(40, 100)]);
    histogram.record(Duration::from_millis(40), start + Duration::from_hours(1));
    expect_that!(histogram.quantile(0.5), all![ge(40.0), lt(48.0)]);
    expect_that!(histogram.survival(0.0), eq(1.0));
}
