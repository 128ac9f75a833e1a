use googletest::prelude::*;

use super::*;

/// In flight and hurry over time, in ms; when finishing begins, when it ends, what is given up.
#[gtest]
fn a_stop_waits_for_callers_and_for_work() {
    type InFlight = fn(u64) -> usize;
    type StopCase = (&'static str, InFlight, u64, (u64, u64, usize));
    let never = u64::MAX;
    let cases: [StopCase; 6] = [
        ("idle", |_| 0, never, (5_500, 5_600, 0)),
        (
            "work until 7 s",
            |now| usize::from(now < 7_000),
            never,
            (5_500, 7_100, 0),
        ),
        (
            "work comes back within the quiet time",
            |now| usize::from(now < 6_000 || now == 6_060),
            never,
            (5_500, 6_180, 0),
        ),
        ("stuck", |_| 3, never, (5_500, 15_500, 3)),
        (
            "second signal while leaving",
            |_| 2,
            1_000,
            (1_000, 1_000, 2),
        ),
        (
            "second signal while finishing",
            |_| 2,
            6_000,
            (5_500, 6_000, 2),
        ),
    ];
    for (name, in_flight, hurry, expected) in cases {
        let plan = StopPlan::new(Duration::from_secs(5), Duration::from_secs(10));
        let mut run = StopRun::new(plan, Duration::ZERO);
        let mut finishing = None;
        let mut now = 0;
        loop {
            let phase = run.advance(Duration::from_millis(now), in_flight(now), now >= hurry);
            if phase >= StopPhase::Finishing {
                finishing.get_or_insert(now);
            }
            if phase == StopPhase::HandingOver {
                break;
            }
            now += 20;
        }
        expect_that!(
            (finishing.unwrap(), now, run.given_up()),
            eq(expected),
            "{name}"
        );
    }
}
