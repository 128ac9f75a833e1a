use googletest::prelude::*;

use super::*;

#[gtest]
fn looser_class_loses_depth_while_a_tighter_one_is_late() {
    let (tight_class, loose_class) = (ClassId::from_u32(0), ClassId::from_u32(1));
    let target_of = |class: ClassId| {
        let latency = [100, 2_000].get(class.as_u32() as usize)?;
        Some(LatencyTarget {
            latency: Duration::from_millis(*latency),
            late_share: 0.01,
        })
    };
    let mut clamp = ClassClamp::default();
    let mut now = Duration::ZERO;
    // Milliseconds that each attempt of the class with the tight target spends at the upstream, or `None` if the class
    // is idle, and the depth of the class with the loose target after the window.
    let window_cases = [
        (Some(20), 6),
        (Some(90), 3),
        (Some(90), 1),
        (Some(90), 1),
        (Some(20), 2),
        (None, 3),
        (None, 4),
        (None, 5),
        (None, 6),
    ];
    for (spent_ms, depth) in window_cases {
        clamp.record_attempt(
            loose_class,
            target_of(loose_class).unwrap(),
            Duration::from_millis(300),
        );
        for _attempt in 0..10 {
            if let Some(spent_ms) = spent_ms {
                clamp.record_attempt(
                    tight_class,
                    target_of(tight_class).unwrap(),
                    Duration::from_millis(spent_ms),
                );
            }
        }
        now += WINDOW_LENGTH;
        clamp.advance(now, 6, target_of);
        let allowed_attempt_counts =
            (0..6).filter(|in_flight| clamp.allows(loose_class, *in_flight));
        expect_that!(allowed_attempt_counts.count(), eq(depth), "{spent_ms:?}");
        expect_that!(clamp.allows(tight_class, 5), eq(true));
    }
}
