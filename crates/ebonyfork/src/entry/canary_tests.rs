use bytes::Bytes;
use googletest::prelude::*;

use crate::entry::fixture::{EntryFixture, ms, request, rows_verdict};
use crate::ident::RunState;
use crate::query::{QueryRequest, RefusalCode};
use crate::relay::{FailureReason, RefusalReason, ShardVerdict};

/// Returns a request that the entry has not seen before.
fn unknown_request() -> QueryRequest {
    QueryRequest {
        selection: Bytes::from_static(b"never seen"),
        ..request()
    }
}

/// Returns the verdict on an attempt during which the connection to the upstream broke.
fn broken_connection() -> ShardVerdict {
    ShardVerdict::Failed {
        ran: RunState::Unknown,
        reason: FailureReason::Broken,
    }
}

#[gtest]
fn a_request_that_crashes_upstreams_breaks_only_two() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let query = fixture.start(unknown_request());
    let mut broken_shards = Vec::new();
    while let [attempt] = fixture.take_sent_attempts().as_slice() {
        broken_shards.push(attempt.shard);
        fixture.deliver(attempt, broken_connection());
    }
    // The request broke two upstreams, of different services, because each shard is held by a service of its own.
    expect_that!(broken_shards.len(), eq(2));
    expect_that!(broken_shards[0], not(eq(broken_shards[1])));
    let refusal = fixture.outcome(query).as_ref().unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::UpstreamFailed));
}

#[gtest]
fn a_harmless_request_that_lost_an_upstream_gets_its_whole_answer() {
    // The first request starts with a canary, the second does not.
    for request in [unknown_request(), request()] {
        let mut fixture = EntryFixture::new(20, |_class| {});
        let query = fixture.start(request);
        let first_attempts = fixture.take_sent_attempts();
        fixture.deliver(&first_attempts[0], broken_connection());
        let mut attempts_in_flight = first_attempts[1..].to_vec();
        loop {
            attempts_in_flight.extend(fixture.take_sent_attempts());
            let Some(attempt) = attempts_in_flight.pop() else {
                break;
            };
            // The shard whose upstream was lost is not requested again before another shard has returned rows.
            expect_that!(attempt.shard, not(eq(first_attempts[0].shard)));
            fixture.deliver(&attempt, rows_verdict(17));
            let (retries, other_attempts) = fixture
                .take_sent_attempts()
                .into_iter()
                .partition(|attempt| attempt.shard == first_attempts[0].shard);
            for attempt in Vec::into_iter(retries) {
                expect_that!(attempt.upstream, not(eq(first_attempts[0].upstream)));
                fixture.deliver(&attempt, rows_verdict(17));
            }
            attempts_in_flight.extend::<Vec<_>>(other_attempts);
        }
        let answer = fixture.outcome(query).as_ref().unwrap();
        expect_that!(answer.bodies.len(), eq(20));
    }
}

#[gtest]
fn the_other_shards_follow_the_canary_and_the_request_is_known_then() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let query = fixture.start(unknown_request());
    let canary_attempts = fixture.take_sent_attempts();
    expect_that!(canary_attempts.len(), eq(1));
    fixture.deliver(&canary_attempts[0], rows_verdict(17));
    let other_attempts = fixture.take_sent_attempts();
    expect_that!(other_attempts.len(), eq(19));
    for attempt in &other_attempts {
        fixture.deliver(attempt, rows_verdict(17));
    }
    expect_that!(
        fixture.outcome(query).as_ref().unwrap().bodies.len(),
        eq(20)
    );
    fixture.start(unknown_request());
    expect_that!(fixture.take_sent_attempts().len(), eq(20));
}

#[gtest]
fn a_short_latency_skips_the_canary_except_for_a_suspect_or_after_a_loss() {
    let mut fixture = EntryFixture::new(20, |class| class.latency = ms(59));
    fixture.start(unknown_request());
    expect_that!(fixture.take_sent_attempts().len(), eq(20));
    fixture
        .core
        .start_with_suspicion(fixture.now, unknown_request(), true);
    fixture.run_actions();
    let suspect_attempts = fixture.take_sent_attempts();
    expect_that!(suspect_attempts.len(), eq(1));
    // One second after the loss of an upstream, a request that has not returned rows starts with a canary although the
    // latency target is too short for that. After `LOSS_ALERT_DURATION` it is sent to all shards at once.
    fixture.deliver(&suspect_attempts[0], broken_connection());
    fixture.take_sent_attempts();
    for (passed_ms, sent_count) in [(1_000, 1), (60_000, 20)] {
        fixture.advance(fixture.now + ms(passed_ms));
        fixture.take_sent_attempts();
        fixture.start(unknown_request());
        expect_that!(
            fixture.take_sent_attempts().len(),
            eq(sent_count),
            "{passed_ms} ms later"
        );
    }
}

#[gtest]
fn a_canary_that_is_refused_or_silent_does_not_block_the_query() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let refused_query = fixture.start(unknown_request());
    for _ in 0..2 {
        let canary_attempts = fixture.take_sent_attempts();
        expect_that!(canary_attempts.len(), eq(1));
        fixture.deliver(
            &canary_attempts[0],
            ShardVerdict::NotRun(RefusalReason::Shed),
        );
    }
    // Both replicas refused, so another shard receives the canary.
    let canary_attempts = fixture.take_sent_attempts();
    fixture.deliver(&canary_attempts[0], rows_verdict(17));
    expect_that!(fixture.take_sent_attempts().len(), eq(18));
    expect_that!(
        fixture.finished_queries.contains_key(&refused_query),
        eq(false)
    );

    let silent_query = fixture.start(QueryRequest {
        selection: Bytes::from_static(b"never seen either"),
        ..request()
    });
    expect_that!(fixture.take_sent_attempts().len(), eq(1));
    fixture.advance(fixture.now + ms(200));
    let later_attempts = fixture.take_sent_attempts();
    let later_attempts = later_attempts
        .iter()
        .filter(|attempt| attempt.query == silent_query);
    expect_that!(later_attempts.count(), ge(19));
}
