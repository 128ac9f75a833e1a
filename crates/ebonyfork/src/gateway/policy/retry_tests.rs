use googletest::prelude::*;

use super::*;

#[gtest]
fn a_shard_that_is_declined_or_unsent_is_given_up_after_a_few_tries() {
    let attempts_until_given_up =
        |step: fn(usize) -> RetryStep| (1..100).find(|n| step(*n) == RetryStep::GiveUp);
    expect_that!(attempts_until_given_up(after_declined), some(eq(3)));
    expect_that!(attempts_until_given_up(after_unsent), some(eq(4)));
}

#[gtest]
fn a_request_that_may_run_once_is_sent_once() {
    expect_that!(max_sends(Idempotency::Once), eq(1));
    expect_that!(max_sends(Idempotency::Idempotent), gt(1));
}
