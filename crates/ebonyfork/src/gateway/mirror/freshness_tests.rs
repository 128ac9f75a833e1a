use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Without disturbances a follower's copy never becomes stale. Three times add up to less than the maximum age: the age
/// at which the store's reader confirms that its own copy is up to date, the follower's poll interval, and the time of
/// the responses.
#[gtest]
fn a_healthy_source_never_reaches_the_age_limit() {
    for max_change_delay_ms in [1_000, 3_000, 4_000, 5_000, 16_000] {
        let timings = FreshnessTimings::new(ms(max_change_delay_ms));
        expect_that!(
            timings.renewal_age + timings.poll_interval,
            lt(timings.max_age),
            "{max_change_delay_ms} ms"
        );
        expect_that!(timings.max_age, lt(ms(max_change_delay_ms)));
        expect_that!(timings.watch_time(Duration::ZERO), eq(timings.renewal_age));
        expect_that!(
            timings.watch_time(timings.renewal_age * 2),
            eq(MIN_WATCH_TIME)
        );
    }
}

#[gtest]
fn the_age_of_a_copy_is_measured_from_the_time_of_the_poll() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut polls = PendingPolls::default();
    let first_poll = polls.record(start);
    let second_poll = polls.record(start + ms(500));
    let first_result = polls.up_to_date_at(second_poll, -200);
    expect_that!(first_result, some(eq(start + ms(300))));
    let second_result = polls.up_to_date_at(second_poll, 1_400);
    expect_that!(
        second_result,
        some(eq(start + ms(1_900))),
        "sent without a new poll"
    );
    expect_that!(
        polls.up_to_date_at(first_poll, 0),
        none(),
        "dropped by the later poll"
    );
    expect_that!(polls.up_to_date_at(99, 0), none(), "never sent");
}

/// A late response to a poll from before a VM was abandoned and followed again must be ignored. If it counted as the
/// response to the first poll after that, the copy would look fresher than it is by the time in between.
#[gtest]
fn a_response_to_a_poll_from_before_a_reset_is_ignored() {
    let start = Instant::now();
    let mut polls = PendingPolls::default();
    let early_poll = polls.record(start);
    let mut polls = polls.reset();
    let later_poll = polls.record(start + ms(5_000));
    expect_that!(polls.up_to_date_at(early_poll, -100), none());
    expect_that!(
        polls.up_to_date_at(later_poll, 0),
        some(eq(start + ms(5_000)))
    );
}

#[gtest]
fn only_the_most_recent_polls_are_kept() {
    let start = Instant::now();
    let mut polls = PendingPolls::default();
    let first_poll = polls.record(start);
    for _ in 0..MAX_PENDING_POLLS {
        polls.record(start);
    }
    expect_that!(polls.up_to_date_at(first_poll, 0), none());
    expect_that!(polls.up_to_date_at(first_poll + 1, 0), some(eq(start)));
}
