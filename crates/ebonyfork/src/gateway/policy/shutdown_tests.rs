use googletest::prelude::*;

use super::*;

const STEP: Duration = Duration::from_millis(20);

/// Replays a shutdown: `backlog` returns what is to be delivered after a time. Returns when each later phase begins, in
/// milliseconds.
fn replay(plan: ShutdownPlan, backlog: impl Fn(Duration) -> ShutdownBacklog) -> Vec<u128> {
    let (mut phase, mut elapsed) = (ShutdownPhase::Leaving, Duration::ZERO);
    let mut begun_at = Vec::new();
    while phase != ShutdownPhase::Done {
        elapsed += STEP;
        let next_phase = plan.next_phase(phase, elapsed, backlog(elapsed));
        if next_phase != phase {
            begun_at.push(elapsed.as_millis());
        }
        phase = next_phase;
    }
    begun_at
}

/// Guards against exiting while answers are being written or delivered, and against waiting when there are none. Callers
/// may use their locate answers for 3 s.
#[gtest]
fn a_process_exits_when_all_is_delivered_or_the_grace_time_ends() {
    let until = |answers_ms: u64, connections_ms: u64| {
        move |elapsed: Duration| ShutdownBacklog {
            answers: usize::from(elapsed < Duration::from_millis(answers_ms)),
            connections: usize::from(elapsed < Duration::from_millis(connections_ms)),
        }
    };
    // Grace in seconds, until when answers are written and connections are open; when draining, closing and exit begin.
    let cases = [
        (6, (0, 0), [3_300, 3_320, 3_340]),
        (6, (3_900, 3_900), [3_300, 3_900, 3_920]),
        (6, (3_900, 4_500), [3_300, 3_900, 4_500]),
        (6, (9_000, 9_000), [3_300, 5_500, 5_520]),
        (6, (4_000, 9_000), [3_300, 4_000, 5_500]),
        (4, (0, 0), [2_500, 2_520, 2_540]),
    ];
    for (grace_s, (answers_ms, connections_ms), expected) in cases {
        let plan = ShutdownPlan::new(Duration::from_secs(grace_s), Duration::from_secs(3));
        let begun_at = replay(plan, until(answers_ms, connections_ms));
        expect_that!(
            begun_at,
            eq(&expected),
            "{grace_s} {answers_ms} {connections_ms}"
        );
    }
}

/// Guards against an exit with requests that wait for an upstream: those that have not been sent are refused while their
/// callers have time to go elsewhere, the others are answered before the exit.
#[gtest]
fn requests_that_cannot_be_completed_are_answered_before_the_exit() {
    let plan = ShutdownPlan::new(Duration::from_secs(6), Duration::from_secs(3));
    // Milliseconds since the start; whether requests that were not sent and that were sent are answered at once.
    let cases = [
        (0, false, false),
        (4_499, false, false),
        (4_500, true, false),
        (5_299, true, false),
        (5_300, true, true),
        (9_000, true, true),
    ];
    for (elapsed_ms, cuts_unsent, cuts_sent) in cases {
        let cut = plan.cut(Duration::from_millis(elapsed_ms));
        let cuts = (cut.includes(false), cut.includes(true));
        expect_that!(cuts, eq((cuts_unsent, cuts_sent)), "{elapsed_ms}");
    }
}
