use googletest::prelude::*;

use super::*;

/// Checks when the phase `Finishing` begins and ends, in ms, and how much work is abandoned, given the work in flight
/// over time and the time of a second signal.
#[gtest]
fn a_stop_waits_for_locate_answers_to_expire_and_for_work_in_flight() {
    type InFlight = fn(u64) -> usize;
    type StopCase = (&'static str, InFlight, u64, (u64, u64, usize));
    let never = u64::MAX;
    let cases: [StopCase; 6] = [
        ("idle", |_| 0, never, (5_500, 5_600, 0)),
        (
            "work until 7 s",
            |now_ms| usize::from(now_ms < 7_000),
            never,
            (5_500, 7_100, 0),
        ),
        (
            "new work within the idle time",
            |now_ms| usize::from(now_ms < 6_000 || now_ms == 6_060),
            never,
            (5_500, 6_180, 0),
        ),
        ("work never finishes", |_| 3, never, (5_500, 15_500, 3)),
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
    for (name, in_flight, second_signal_at, expected_times_and_abandoned) in cases {
        let plan = StopPlan::new(Duration::from_secs(5), Duration::from_secs(10));
        let mut run = StopRun::new(plan, Duration::ZERO);
        let mut finishing_at = None;
        let mut now_ms = 0;
        loop {
            let phase = run.advance(
                Duration::from_millis(now_ms),
                in_flight(now_ms),
                now_ms >= second_signal_at,
            );
            if phase >= StopPhase::Finishing {
                finishing_at.get_or_insert(now_ms);
            }
            if phase == StopPhase::HandingOver {
                break;
            }
            now_ms += 20;
        }
        expect_that!(
            (finishing_at.unwrap(), now_ms, run.given_up()),
            eq(expected_times_and_abandoned),
            "{name}"
        );
    }
}
