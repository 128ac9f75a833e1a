use googletest::prelude::*;

use super::*;
use crate::entry::fixture::{EntryFixture, ms, request, rows_verdict, vm};
use crate::ident::{ShardNumber, SnapshotVersion};
use crate::relay::FailureReason;

#[gtest]
fn a_whole_answer_comes_at_once_when_every_shard_has_answered() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let query = fixture.start(request());
    let sent_attempts = fixture.take_sent_attempts();
    expect_that!(sent_attempts.len(), eq(20));
    for attempt in sent_attempts.iter().rev() {
        expect_that!(fixture.finished_queries.is_empty(), eq(true));
        fixture.deliver(attempt, rows_verdict(17));
    }
    let answer = fixture.outcome(query).as_ref().unwrap();
    expect_that!(answer.coverage.answered, eq(20));
    expect_that!(answer.bodies.len(), eq(20));
    expect_that!(answer.snapshot, eq(SnapshotVersion(17)));
    expect_that!(fixture.core.queries_in_flight(), eq(0));
}

#[gtest]
fn latency_first_answers_thin_at_the_target_and_lists_missing_shards() {
    let mut fixture = EntryFixture::new(4, |_class| {});
    let query = fixture.start(request());
    for attempt in &fixture.take_sent_attempts()[1..] {
        fixture.deliver(attempt, rows_verdict(17));
    }
    fixture.advance(ms(400));
    let (finished_at, outcome) = &fixture.finished_queries[&query];
    let answer = outcome.as_ref().unwrap();
    expect_that!(*finished_at, le(ms(310)));
    expect_that!(answer.coverage.missing, elements_are![eq(&ShardNumber(0))]);
    expect_that!(answer.bodies.len(), eq(3));
}

#[gtest]
fn unsent_attempts_use_the_standby_and_others_on_a_broken_link_may_have_run() {
    let mut fixture = EntryFixture::new(1, |class| class.idempotent = false);
    let query = fixture.start(QueryRequest {
        key: Some("127.0.0.1-7.1".parse().unwrap()),
        ..request()
    });
    let first_attempt = fixture.take_sent_attempts().remove(0);
    fixture
        .core
        .handle_unsent_attempts(fixture.now, first_attempt.vm, query, &[0]);
    fixture.run_actions();
    let second_attempt = fixture.take_sent_attempts().remove(0);
    expect_that!(second_attempt.attempt, eq(1));
    fixture
        .core
        .handle_link_down(fixture.now, second_attempt.vm, VecDeque::new());
    fixture.run_actions();
    let refusal = fixture.outcome(query).as_ref().unwrap_err();
    expect_that!(refusal.ran, eq(RunState::Unknown));
    expect_that!(refusal.code, eq(RefusalCode::UpstreamFailed));
    expect_that!(fixture.take_sent_attempts(), is_empty());
}

#[gtest]
fn a_lost_relay_loses_no_shard_even_beyond_the_budget() {
    let mut fixture = EntryFixture::new(60, |_class| {});
    let query = fixture.start(request());
    let lost_relay = vm(1);
    fixture
        .core
        .handle_link_down(fixture.now, lost_relay, VecDeque::new());
    fixture.run_actions();
    let mut lost_attempts = 0;
    for attempt in fixture.take_sent_attempts() {
        lost_attempts += u32::from(attempt.vm == lost_relay);
        fixture.deliver(&attempt, rows_verdict(17));
    }
    // The attempts lost with the relay outnumber the tokens that the attempt budget starts with.
    expect_that!(lost_attempts, gt(15));
    let answer = fixture.outcome(query).as_ref().unwrap();
    expect_that!(answer.coverage.answered, eq(60));
}

#[gtest]
fn invalid_requests_are_not_run() {
    let mut fixture = EntryFixture::new(1, |class| class.idempotent = false);
    let cases = [
        ("class", RefusalCode::UnknownClass),
        ("organisation", RefusalCode::UnknownOrganisation),
        ("key", RefusalCode::BadRequest),
        ("deadline", RefusalCode::Deadline),
    ];
    for (field, code) in cases {
        let mut query = QueryRequest {
            key: Some("127.0.0.1-7.1".parse().unwrap()),
            ..request()
        };
        match field {
            "class" => query.class = "other".parse().unwrap(),
            "organisation" => query.organisation = "other".parse().unwrap(),
            "key" => query.key = None,
            _ => query.deadline = Some(Duration::ZERO),
        }
        let query_number = fixture.start(query);
        let refusal = fixture.outcome(query_number).as_ref().unwrap_err();
        expect_that!((refusal.code, refusal.ran), eq((code, RunState::NotRun)));
    }
    expect_that!(fixture.take_sent_attempts(), is_empty());
}

#[gtest]
fn the_second_upstream_that_breaks_ends_the_query() {
    let mut fixture = EntryFixture::new(4, |_class| {});
    let query = fixture.start(request());
    let broken_connection = || ShardVerdict::Failed {
        ran: RunState::Unknown,
        reason: FailureReason::Broken,
    };
    let sent_attempts = fixture.take_sent_attempts();
    fixture.deliver(&sent_attempts[0], broken_connection());
    expect_that!(fixture.finished_queries.is_empty(), eq(true));
    fixture.deliver(&sent_attempts[1], broken_connection());
    let refusal = fixture.outcome(query).as_ref().unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::UpstreamFailed));
    // All attempts still in flight are cancelled.
    let attempts_in_flight = sent_attempts.len() - 2 + fixture.take_sent_attempts().len();
    expect_that!(fixture.cancelled_attempts.len(), eq(attempts_in_flight));
}

#[gtest]
fn every_decision_on_a_query_is_logged_with_its_id() {
    let mut fixture = EntryFixture::new(2, |_class| {});
    fixture.core.set_decision_logging(true);
    let query = fixture.start(QueryRequest {
        caller_id: Some("mine".into()),
        ..request()
    });
    let sent_attempts = fixture.take_sent_attempts();
    fixture.deliver(&sent_attempts[0], rows_verdict(17));
    for _ in 0..2 {
        let attempt = fixture
            .sent_attempts
            .pop()
            .unwrap_or_else(|| sent_attempts[1].clone());
        fixture.deliver(&attempt, ShardVerdict::NotRun(RefusalReason::Shed));
    }
    expect_that!(fixture.outcome(query).is_ok(), eq(true));
    let lines = fixture.core.take_decisions().map(|line| line.to_string());
    let lines: Vec<String> = lines.collect();
    let line_kinds: Vec<&str> = lines
        .iter()
        .map(|line| &line[..line.find(' ').unwrap()])
        .collect();
    let expected_kinds = ["route", "route", "setback", "route", "setback", "finish"];
    expect_that!(line_kinds, eq(&expected_kinds));
    let finish_line = "finish query=q1 class=search id=mine outcome=answer snapshot=17 coverage=1/2 missing=1 took_us=0";
    expect_that!(lines[5], eq(finish_line));
    expect_that!(
        lines[2],
        contains_substring("query=q1 attempt=a1 shard=1 verdict=not-run reason=Shed")
    );
}
