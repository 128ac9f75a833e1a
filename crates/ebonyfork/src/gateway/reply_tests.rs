use std::time::Instant;

use googletest::prelude::*;
use http::StatusCode;

use super::*;
use crate::gateway::fixture::{signed_answer, wire_names};

const REASONS: [RefusalReason; 13] = [
    RefusalReason::Malformed,
    RefusalReason::NoRoute,
    RefusalReason::TooLarge,
    RefusalReason::HeadTooLarge,
    RefusalReason::NoConfig,
    RefusalReason::OldConfig,
    RefusalReason::Stopping,
    RefusalReason::Quarantined,
    RefusalReason::NoUpstream,
    RefusalReason::Hopeless(Duration::from_millis(100)),
    RefusalReason::Unknown,
    RefusalReason::Late,
    RefusalReason::LateUnsent,
];

/// Guards against status 503 for a request that may have run: 503 guarantees that it has not run and will not run.
#[gtest]
fn only_refusals_of_requests_that_have_not_run_promise_it() {
    for reason in REASONS {
        let may_have_run = matches!(reason, RefusalReason::Unknown | RefusalReason::Late);
        let reply = refusal_reply(reason);
        let promises_not_run = reply.status() == StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(promises_not_run && may_have_run, eq(false), "{reason:?}");
        let has_retry_after = reply.headers().contains_key(header::RETRY_AFTER);
        expect_that!(has_retry_after, eq(promises_not_run), "{reason:?}");
    }
}

#[gtest]
fn an_upstreams_answer_is_passed_on_unchanged() {
    let mut answer = signed_answer("3e1b.07", b"bytes");
    answer.status = StatusCode::IM_A_TEAPOT;
    let header = |text: &'static str| HeaderValue::from_static(text);
    answer.headers.insert("x-other", header("1"));
    answer.headers.insert("connection", header("close"));
    answer.headers.insert("keep-alive", header("timeout=10"));
    answer
        .headers
        .insert("transfer-encoding", header("chunked"));
    let reply = forwarded_reply(answer);
    expect_that!(reply.status(), eq(StatusCode::IM_A_TEAPOT));
    let mut names: Vec<_> = reply
        .headers()
        .keys()
        .map(http::HeaderName::as_str)
        .collect();
    names.sort_unstable();
    expect_that!(names, elements_are![eq(&"x-other"), eq(&"x-signature")]);
}

#[gtest]
fn a_gathered_answer_names_its_parts_and_counts_the_missing_ones() {
    let start = Instant::now();
    let until = start + Duration::from_secs(1);
    let mut state = GatherState::new(3, 1, until, until);
    for (shard, name) in [(0, "one"), (2, "two")] {
        let records = Bytes::from(vec![shard as u8; 16]);
        state.add_part(shard, HeaderValue::from_static(name), records);
    }
    let reply = gathered_reply(&wire_names(), &state, 1);
    let text = |name: &str| {
        reply.headers()[name]
            .to_str()
            .unwrap_or_default()
            .to_owned()
    };
    expect_that!(text("x-signatures"), eq("one,two"));
    expect_that!(text("x-missing"), eq("1"));
}
