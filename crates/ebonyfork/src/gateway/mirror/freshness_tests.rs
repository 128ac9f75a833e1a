use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Without disturbances the proof never reaches the limit: the age at which the reader renews it, the follower's poll
/// period and the time of the responses all fit into the limit.
#[gtest]
fn a_healthy_source_never_reaches_the_age_limit() {
    for bound in [1_000, 3_000, 4_000, 5_000, 16_000] {
        let timings = FreshnessTimings::new(ms(bound));
        expect_that!(
            timings.renewal + timings.period,
            lt(timings.limit),
            "{bound} ms"
        );
        expect_that!(timings.limit, lt(ms(bound)));
        expect_that!(timings.wait(Duration::ZERO), eq(timings.renewal));
        expect_that!(timings.wait(timings.renewal * 2), eq(MIN_WAIT));
    }
}

#[gtest]
fn a_proof_is_measured_from_the_time_of_the_poll() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut polls = PendingPolls::default();
    let first = polls.record(start);
    let second = polls.record(start + ms(500));
    let proof = polls.proof(second, -200);
    expect_that!(proof, some(eq(start + ms(300))));
    let later_proof = polls.proof(second, 1_400);
    expect_that!(
        later_proof,
        some(eq(start + ms(1_900))),
        "sent without a new poll"
    );
    expect_that!(polls.proof(first, 0), none(), "dropped by the later poll");
    expect_that!(polls.proof(99, 0), none(), "never sent");
}

/// A late response to a poll from an earlier time of following the same VM must be ignored. It counted as the response
/// to the first poll after following resumed, which made the copy look fresher than it was by the time in between.
#[gtest]
fn a_response_to_a_poll_from_before_a_reset_is_ignored() {
    let start = Instant::now();
    let mut polls = PendingPolls::default();
    let early = polls.record(start);
    let mut polls = polls.reset();
    let later = polls.record(start + ms(5_000));
    expect_that!(polls.proof(early, -100), none());
    expect_that!(polls.proof(later, 0), some(eq(start + ms(5_000))));
}

#[gtest]
fn only_the_most_recent_polls_are_kept() {
    let start = Instant::now();
    let mut polls = PendingPolls::default();
    let first = polls.record(start);
    for _ in 0..MAX_PENDING_POLLS {
        polls.record(start);
    }
    expect_that!(polls.proof(first, 0), none());
    expect_that!(polls.proof(first + 1, 0), some(eq(start)));
}
