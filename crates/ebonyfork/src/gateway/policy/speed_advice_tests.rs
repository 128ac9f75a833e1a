use googletest::prelude::*;

use super::*;
use crate::gateway::policy::health::UpstreamHealth;

const USUAL_MS: f64 = 10.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A report that an attempt of 80 ms took 8 times the usual time.
fn slow_change() -> SpeedChange {
    SpeedChange::Slow {
        slowness_percent: 800,
        observed_ms: 80,
    }
}

/// Guards against advice about pauses: late answers to overlapping attempts, or to attempts that are far apart, are no
/// evidence of a slow upstream.
#[gtest]
fn late_answers_that_pauses_explain_are_not_reported() {
    let start = Instant::now();
    let mut view = SpeedView::default();
    let pause_end = start + ms(150);
    for began in [0, 40, 140] {
        expect_that!(
            view.record_answer(start + ms(began), pause_end, 15.0),
            none()
        );
    }
    let next_pause = pause_end + MAX_EVIDENCE_GAP + ms(1);
    expect_that!(
        view.record_answer(next_pause, next_pause + ms(150), 15.0),
        none()
    );
}

/// Guards against more than one message for a change, and against advice that outlives the slow phase.
#[gtest]
fn a_change_is_reported_once_in_each_direction() {
    let start = Instant::now();
    let mut view = SpeedView::default();
    expect_that!(view.record_answer(start, start + ms(80), 8.0), none());
    let change = view.record_answer(start + ms(80), start + ms(160), 8.0);
    expect_that!(change, some(eq(slow_change())));
    expect_that!(
        view.record_answer(start + ms(160), start + ms(240), 8.0),
        none()
    );
    let answer = |view: &mut SpeedView, at: u64| {
        view.record_answer(start + ms(at), start + ms(at + 10), 1.0)
    };
    expect_that!(answer(&mut view, 300), some(eq(SpeedChange::Normal)));
    expect_that!(answer(&mut view, 320), none());
}

/// Guards against passing advice on: a VM that holds advice reports only what its own attempts show.
#[gtest]
fn advice_is_no_evidence() {
    let start = Instant::now();
    let mut view = SpeedView::default();
    view.receive(slow_change(), start);
    expect_that!(view.record_answer(start, start + ms(80), 8.0), none());
    // An answer in time ends the advice without a message, because this VM has reported nothing.
    expect_that!(
        view.record_answer(start + ms(90), start + ms(100), 1.0),
        none()
    );
    expect_that!(view.advised_slowness(start + ms(101)), none());
}

/// Guards against a slow VM that makes the others avoid upstreams which answer them in time.
#[gtest]
fn advice_against_own_answers_in_time_is_ignored() {
    let start = Instant::now();
    let mut view = SpeedView::default();
    view.record_answer(start + ms(50), start + ms(60), 1.0);
    expect_that!(
        view.receive(slow_change(), start + ms(100)),
        eq(AdviceUse::Ignored)
    );
    expect_that!(
        view.receive(slow_change(), start + ms(200)),
        eq(AdviceUse::Applied)
    );
    expect_that!(
        view.receive(SpeedChange::Normal, start + ms(300)),
        eq(AdviceUse::Ended)
    );
}

/// Guards against advice that ejects an upstream, counts as a failure to connect or leaves a trace after it ends.
#[gtest]
fn advice_affects_only_the_expected_time_until_it_expires() {
    let start = Instant::now();
    let mut health = UpstreamHealth::new(start, ms(0));
    let usual = health.expected_ms(start, USUAL_MS, 2);
    health.receive_speed(slow_change(), start);
    expect_that!(health.expected_ms(start + ms(499), USUAL_MS, 2), gt(79.0));
    expect_that!(health.is_ejected(start), eq(false));
    expect_that!(health.unreachable_until(start), none());
    expect_that!(
        health.expected_ms(start + ms(500), USUAL_MS, 2),
        near(usual, 1e-9)
    );
}

/// Guards against a message without bound when many upstreams change together, and against stale changes in it.
#[gtest]
fn a_message_holds_the_latest_change_of_a_bounded_number_of_upstreams() {
    let start = Instant::now();
    let report = |number: usize, change: SpeedChange| SpeedReport {
        service: "s".into(),
        instance: compact_str::format_compact!("i-{number}"),
        started: None,
        change,
    };
    let mut outbox = SpeedOutbox::default();
    outbox.add(report(0, slow_change()));
    for number in 0..=MAX_REPORTS {
        outbox.add(report(number, SpeedChange::Normal));
    }
    let first_message = outbox.take(start);
    expect_that!(first_message.len(), eq(MAX_REPORTS));
    expect_that!(first_message[0].change, eq(SpeedChange::Normal));
    expect_that!(outbox.take(start + ms(99)), is_empty());
    expect_that!(outbox.take(start + ms(100)).len(), eq(1));
    expect_that!(outbox.is_empty(), eq(true));
}
