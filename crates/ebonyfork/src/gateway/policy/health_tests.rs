use googletest::prelude::*;

use super::*;

const USUAL_MS: f64 = 30.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs attempts of the given lengths one after another and returns the time after the last one.
fn run_attempts(health: &mut UpstreamHealth, start: Instant, took_ms: &[u64]) -> Instant {
    let mut now = start;
    for attempt_ms in took_ms {
        health.record_start(now);
        let began = now;
        now += ms(*attempt_ms);
        health.record_answer(began, now, *attempt_ms as f64 / USUAL_MS);
    }
    now
}

#[gtest]
fn one_pause_does_not_make_an_upstream_slow() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let mut now = run_attempts(&mut health, start, &[30, 30, 30]);
    // Three attempts are in flight when the upstream pauses, and end together.
    let began = now;
    for _ in 0..3 {
        health.record_start(began);
    }
    now += ms(300);
    for _ in 0..3 {
        health.record_answer(began, now, 10.0);
    }
    expect_that!(health.expected_ms(now, USUAL_MS, 2), lt(2.0 * USUAL_MS));
}

#[gtest]
fn a_second_late_answer_shows_a_slow_upstream() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let now = run_attempts(&mut health, start, &[30, 300, 300]);
    expect_that!(health.expected_ms(now, USUAL_MS, 2), gt(5.0 * USUAL_MS));
}

#[gtest]
fn an_answer_in_time_ends_a_run_of_late_ones() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let now = run_attempts(&mut health, start, &[300, 30, 300, 30]);
    expect_that!(health.expected_ms(now, USUAL_MS, 2), lt(2.0 * USUAL_MS));
}

#[gtest]
fn a_pause_shows_while_it_lasts() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    health.record_start(start);
    expect_that!(health.expected_ms(start + ms(20), USUAL_MS, 2), lt(60.0));
    expect_that!(health.expected_ms(start + ms(150), USUAL_MS, 2), gt(150.0));
}

#[gtest]
fn slowness_decays_and_is_probed() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let now = run_attempts(&mut health, start, &[300, 300, 300]);
    expect_that!(health.is_probe_due(now + ms(100)), eq(false));
    expect_that!(health.is_probe_due(now + ms(1_100)), eq(true));
    let one_minute_later = now + Duration::from_mins(1);
    expect_that!(
        health.expected_ms(one_minute_later, USUAL_MS, 2),
        lt(1.1 * USUAL_MS)
    );
}

#[gtest]
fn each_failure_to_connect_lengthens_the_ejection() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let ejected_steps = |health: &UpstreamHealth, now: Instant| {
        (0..40)
            .filter(|step| health.is_ejected(now + ms(step * 100)))
            .count()
    };
    let mut ejection_steps = Vec::new();
    for _ in 0..5 {
        health.record_start(start);
        health.record_unreachable(start, start);
        ejection_steps.push(ejected_steps(&health, start));
    }
    expect_that!(
        ejection_steps,
        elements_are![eq(&2), eq(&4), eq(&8), eq(&16), eq(&20)]
    );
    health.record_start(start);
    health.record_answer(start, start + ms(30), 1.0);
    expect_that!(health.is_ejected(start + ms(31)), eq(false));
}

#[gtest]
fn declined_attempts_raise_the_expected_time() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let initial_ms = health.expected_ms(start, USUAL_MS, 2);
    for _ in 0..4 {
        health.record_start(start);
        health.record_failure(start, start);
    }
    expect_that!(health.expected_ms(start, USUAL_MS, 2), gt(2.0 * initial_ms));
}
