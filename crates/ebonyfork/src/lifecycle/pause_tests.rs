use googletest::prelude::*;

use super::*;

/// Checks the gap found for a second reading of both clocks, in ms; the first one is 1,000 on both.
#[gtest]
fn either_clock_shows_a_pause() {
    let cases = [
        ("on time", (1_000, 1_000), None),
        ("a loaded machine", (2_900, 2_900), None),
        ("paused", (5_000, 5_000), Some(4_000)),
        (
            "suspended: the monotonic clock stopped",
            (1_100, 61_000),
            Some(60_000),
        ),
        ("the wall clock was set back", (1_100, 0), None),
        (
            "paused while the wall clock stopped",
            (5_000, 1_000),
            Some(4_000),
        ),
    ];
    for (name, (monotonic, wall), expected_gap) in cases {
        let mut detector = PauseDetector::new(PauseDetector::DEFAULT_LIMIT);
        let reading = |monotonic: u64, wall: u64| ClockReading {
            monotonic: Duration::from_millis(monotonic),
            wall: Duration::from_millis(1_700_000_000_000 + wall),
        };
        expect_that!(detector.observe(reading(1_000, 1_000)), none(), "{name}");
        let gap = detector.observe(reading(monotonic, wall));
        expect_that!(gap, eq(expected_gap.map(Duration::from_millis)), "{name}");
    }
}
