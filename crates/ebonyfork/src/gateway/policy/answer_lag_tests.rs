use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates a VM that answers 20 queries per second with constant delays; returns the time at the end.
fn simulate_answers(
    lag: &mut AnswerLag,
    start: Instant,
    seconds: u64,
    timer_delay: Duration,
    work_time: Duration,
) -> Instant {
    let mut now = start;
    for _ in 0..seconds * 20 {
        now += ms(50);
        lag.record_timer_delay(timer_delay, now);
        lag.record_work(work_time, now);
    }
    now
}

#[gtest]
fn the_margin_begins_with_what_is_assumed_of_the_vm() {
    expect_that!(AnswerLag::new(0.5).margin(), all![ge(ms(4)), le(ms(8))]);
    expect_that!(AnswerLag::new(0.12).margin(), ge(ms(16)));
}

/// The margin adapts within two seconds when a VM becomes slow, and recovers after the VM does.
#[gtest]
fn the_margin_follows_a_vm_that_turns_slow_and_fast_again() {
    let mut lag = AnswerLag::new(0.25);
    let now = simulate_answers(&mut lag, Instant::now(), 20, ms(1), ms(2));
    expect_that!(lag.margin(), le(ms(5)));
    let now = simulate_answers(&mut lag, now, 2, ms(8), ms(20));
    expect_that!(lag.margin(), all![ge(ms(28)), le(ms(36))]);
    let now = simulate_answers(&mut lag, now, 20, ms(1), ms(2));
    expect_that!(lag.margin(), le(ms(5)));
    // A single delayed answer doesn't change the margin.
    lag.record_work(ms(60), now);
    expect_that!(lag.margin(), le(ms(5)));
}
