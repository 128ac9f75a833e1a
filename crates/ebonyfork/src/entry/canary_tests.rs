use bytes::Bytes;
use googletest::prelude::*;

use crate::entry::fixture::{EntryFixture, ms, request, rows};
use crate::ident::RunState;
use crate::query::{QueryRequest, RefusalCode};
use crate::relay::{FailureReason, RefusalReason, ShardVerdict};

fn unknown_request() -> QueryRequest {
    QueryRequest {
        selection: Bytes::from_static(b"never seen"),
        ..request()
    }
}

fn broken() -> ShardVerdict {
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
    while let [attempt] = fixture.take_sent().as_slice() {
        broken_shards.push(attempt.shard);
        fixture.deliver(attempt, broken());
    }
    // Two upstreams, of different services.
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
        let first = fixture.take_sent();
        fixture.deliver(&first[0], broken());
        let mut in_flight = first[1..].to_vec();
        loop {
            in_flight.extend(fixture.take_sent());
            let Some(attempt) = in_flight.pop() else {
                break;
            };
            // The shard whose upstream was lost is not requested again before another shard has returned rows.
            expect_that!(attempt.shard, not(eq(first[0].shard)));
            fixture.deliver(&attempt, rows(17));
            let (again, others) = fixture
                .take_sent()
                .into_iter()
                .partition(|attempt| attempt.shard == first[0].shard);
            for attempt in Vec::into_iter(again) {
                expect_that!(attempt.upstream, not(eq(first[0].upstream)));
                fixture.deliver(&attempt, rows(17));
            }
            in_flight.extend::<Vec<_>>(others);
        }
        let answer = fixture.outcome(query).as_ref().unwrap();
        expect_that!(answer.bodies.len(), eq(20));
    }
}

#[gtest]
fn the_other_shards_follow_the_canary_and_the_request_is_known_then() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let query = fixture.start(unknown_request());
    let canary = fixture.take_sent();
    expect_that!(canary.len(), eq(1));
    fixture.deliver(&canary[0], rows(17));
    let rest = fixture.take_sent();
    expect_that!(rest.len(), eq(19));
    for attempt in &rest {
        fixture.deliver(attempt, rows(17));
    }
    expect_that!(
        fixture.outcome(query).as_ref().unwrap().bodies.len(),
        eq(20)
    );
    fixture.start(unknown_request());
    expect_that!(fixture.take_sent().len(), eq(20));
}

#[gtest]
fn a_short_latency_skips_the_canary_except_for_a_suspect_or_after_a_loss() {
    let mut fixture = EntryFixture::new(20, |class| class.latency = ms(59));
    fixture.start(unknown_request());
    expect_that!(fixture.take_sent().len(), eq(20));
    fixture
        .core
        .start_suspect(fixture.now, unknown_request(), true);
    fixture.run_actions();
    let suspect = fixture.take_sent();
    expect_that!(suspect.len(), eq(1));
    // For a while after the loss of an upstream, every unknown request starts with a canary.
    fixture.deliver(&suspect[0], broken());
    fixture.take_sent();
    for (passed, sent) in [(1_000, 1), (60_000, 20)] {
        fixture.advance(fixture.now + ms(passed));
        fixture.take_sent();
        fixture.start(unknown_request());
        expect_that!(fixture.take_sent().len(), eq(sent), "{passed} ms later");
    }
}

#[gtest]
fn a_canary_that_is_refused_or_silent_does_not_block_the_query() {
    let mut fixture = EntryFixture::new(20, |_class| {});
    let refused = fixture.start(unknown_request());
    for _ in 0..2 {
        let canary = fixture.take_sent();
        expect_that!(canary.len(), eq(1));
        fixture.deliver(&canary[0], ShardVerdict::NotRun(RefusalReason::Shed));
    }
    // Both replicas refused, so another shard receives the canary.
    let canary = fixture.take_sent();
    fixture.deliver(&canary[0], rows(17));
    expect_that!(fixture.take_sent().len(), eq(18));
    expect_that!(fixture.finished.contains_key(&refused), eq(false));

    let silent = fixture.start(QueryRequest {
        selection: Bytes::from_static(b"never seen either"),
        ..request()
    });
    expect_that!(fixture.take_sent().len(), eq(1));
    fixture.advance(fixture.now + ms(200));
    let hedged_or_sent = fixture.take_sent();
    let hedged_or_sent = hedged_or_sent
        .iter()
        .filter(|attempt| attempt.query == silent);
    expect_that!(hedged_or_sent.count(), ge(19));
}
