use googletest::prelude::*;
use http::Response;

use super::*;

fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let body = Some(Bytes::copy_from_slice(body.as_bytes()));
    builder.body(body).unwrap()
}

/// Status, headers and body of an answer, and the expected verdict.
type AnswerCase<'a> = (u16, &'a [(&'a str, &'a str)], &'a str, ShardVerdict);

/// Checks the verdict for each kind of answer. An attempt counts as not run only if the upstream stated so explicitly.
#[gtest]
fn verdict_claims_no_more_than_the_upstream_stated() {
    let rows_verdict = ShardVerdict::Rows {
        version: SnapshotVersion(18),
        body: Bytes::from_static(br#"{"rows":["a"]}"#),
    };
    let failure_of_unknown_run = |reason| failed_verdict(RunState::Unknown, reason);
    let version = [("x-index-version", "18")];
    let moved_verdict = ShardVerdict::Moved {
        service: "notice-01".parse().unwrap(),
    };
    let newest = SnapshotVersion(18);
    let cases: [AnswerCase<'_>; 11] = [
        (200, &version, r#"{"rows":["a"]}"#, rows_verdict),
        (
            200,
            &[],
            r#"{"rows":[]}"#,
            failed_verdict(RunState::Ran, FailureReason::Malformed),
        ),
        (
            200,
            &version,
            r#"{"rows":["#,
            failed_verdict(RunState::Ran, FailureReason::Malformed),
        ),
        (409, &version, "", ShardVerdict::VersionGone { newest }),
        (
            409,
            &[],
            "",
            failure_of_unknown_run(FailureReason::Malformed),
        ),
        (421, &[("x-moved-to", "notice-01")], "", moved_verdict),
        (
            421,
            &[("x-moved-to", "No Name")],
            "",
            failure_of_unknown_run(FailureReason::Malformed),
        ),
        (
            503,
            &[("x-not-run", "1")],
            "",
            ShardVerdict::NotRun(RefusalReason::Shed),
        ),
        (503, &[], "", failure_of_unknown_run(FailureReason::Status)),
        (500, &[], "", failure_of_unknown_run(FailureReason::Status)),
        (404, &[], "", failure_of_unknown_run(FailureReason::Status)),
    ];
    for (status, headers, body, expected_verdict) in cases {
        let verdict = read_answer(answer(status, headers, body));
        expect_that!(
            verdict,
            eq(&expected_verdict),
            "{status} {headers:?} {body}"
        );
    }
}
