use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::ident::SnapshotVersion;
use crate::query::{QueryAnswer, QueryCoverage};

const FIRST_WAITER: WaiterId = WaiterId(1);
const SECOND_WAITER: WaiterId = WaiterId(2);
const DIGEST: RequestDigest = RequestDigest(1);
const OTHER_DIGEST: RequestDigest = RequestDigest(2);

fn answer(bytes: usize) -> QueryAnswer {
    QueryAnswer {
        query: "q".into(),
        snapshot: SnapshotVersion(1),
        coverage: QueryCoverage::default(),
        bodies: vec![Bytes::from(vec![b'x'; bytes])],
    }
}

fn refusal(code: RefusalCode, ran: RunState) -> QueryOutcome {
    Err(QueryRefusal::new(code, ran, "test"))
}

/// Sends key 1 again in each state that the key can be in, and checks the verdict.
#[gtest]
fn a_resend_gets_the_outcome_of_its_key() {
    type Prepare = fn(&mut OutcomeTable);
    let now = Duration::from_secs(1);
    let start_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
    };
    let finish_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
    };
    let refuse_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(
            1,
            &refusal(RefusalCode::Overloaded, RunState::NotRun),
            Duration::from_secs(1),
        );
    };
    let fail_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(
            1,
            &refusal(RefusalCode::UpstreamFailed, RunState::Unknown),
            Duration::ZERO,
        );
    };
    let evict_key: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
        table.expire(Duration::from_secs(1) + OUTCOME_TTL);
    };
    let finish_oversized_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(1, &Ok(answer(MAX_KEPT_BYTES / 2)), Duration::from_secs(1));
    };
    let seal_unused: Prepare = OutcomeTable::seal;
    let seal_after_run: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
        table.seal();
    };
    let seal_while_running: Prepare = |table| {
        table.begin(1, DIGEST, FIRST_WAITER, None);
        table.seal();
    };
    let leave_unused: Prepare = |_table| {};
    let refused_as = |code, ran| Some((code, ran));
    let (stopping_code, fenced_code) = (Some(RefusalCode::Stopping), Some(RefusalCode::NotReady));
    let cases = [
        ("new", leave_unused, DIGEST, None, "execute", None),
        (
            "new, fenced",
            leave_unused,
            DIGEST,
            fenced_code,
            "refusal",
            refused_as(RefusalCode::NotReady, RunState::NotRun),
        ),
        (
            "new, stopping",
            leave_unused,
            DIGEST,
            stopping_code,
            "refusal",
            refused_as(RefusalCode::Stopping, RunState::NotRun),
        ),
        (
            "new, sealed",
            seal_unused,
            DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::Stopping, RunState::NotRun),
        ),
        ("running", start_run, DIGEST, None, "join", None),
        (
            "running, fenced",
            start_run,
            DIGEST,
            fenced_code,
            "join",
            None,
        ),
        (
            "running, sealed",
            seal_while_running,
            DIGEST,
            None,
            "join",
            None,
        ),
        (
            "running, another request",
            start_run,
            OTHER_DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::BadRequest, RunState::NotRun),
        ),
        ("ran", finish_run, DIGEST, None, "answer", None),
        (
            "ran, stopping",
            finish_run,
            DIGEST,
            stopping_code,
            "answer",
            None,
        ),
        ("ran, sealed", seal_after_run, DIGEST, None, "answer", None),
        (
            "ran, another request",
            finish_run,
            OTHER_DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::BadRequest, RunState::NotRun),
        ),
        (
            "refused as not run",
            refuse_run,
            DIGEST,
            None,
            "execute",
            None,
        ),
        (
            "refused as not run, another request",
            refuse_run,
            OTHER_DIGEST,
            None,
            "execute",
            None,
        ),
        (
            "broke off",
            fail_run,
            DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::UpstreamFailed, RunState::Unknown),
        ),
        (
            "evicted",
            evict_key,
            DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
        (
            "evicted, fenced",
            evict_key,
            DIGEST,
            fenced_code,
            "refusal",
            refused_as(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
        (
            "too large to keep",
            finish_oversized_run,
            DIGEST,
            None,
            "refusal",
            refused_as(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
    ];
    for (name, prepare, digest, new_work_refusal, expected, expected_refusal) in cases {
        let mut table = OutcomeTable::new();
        prepare(&mut table);
        let verdict = table.begin(1, digest, SECOND_WAITER, new_work_refusal);
        let (kind, code) = match &verdict {
            BeginVerdict::Execute => ("execute", None),
            BeginVerdict::Joined => ("join", None),
            BeginVerdict::Answer(Ok(_)) => ("answer", None),
            BeginVerdict::Answer(Err(refusal)) => ("refusal", Some((refusal.code, refusal.ran))),
        };
        expect_that!((kind, code), eq((expected, expected_refusal)), "{name}");
        if verdict == BeginVerdict::Joined {
            expect_that!(table.finish(1, &Ok(answer(3)), now).len(), eq(2), "{name}");
        }
    }
}

#[gtest]
fn limits_hold_and_evicted_keys_never_run_again() {
    let limits = OutcomeLimits {
        ttl: Duration::from_mins(1),
        max_outcomes: 10,
        max_bytes: 8_000,
    };
    let mut table = OutcomeTable::new().with_limits(limits, 4);
    for sequence in 0..100 {
        let now = Duration::from_secs(sequence);
        expect_that!(
            table.begin(sequence, DIGEST, FIRST_WAITER, None),
            eq(&BeginVerdict::Execute)
        );
        table.finish(
            sequence,
            &Ok(answer(if sequence < 50 { 10 } else { 1_500 })),
            now,
        );
        expect_that!(table.kept_count(), le(limits.max_outcomes));
        expect_that!(table.kept_bytes(), le(limits.max_bytes));
    }
    for sequence in 0..100 {
        let verdict = table.begin(sequence, DIGEST, FIRST_WAITER, None);
        expect_that!(verdict, not(eq(&BeginVerdict::Execute)), "{sequence}");
    }
    let (outcomes, evicted_keys) = table.export();
    expect_that!(
        outcomes.len() as u64 + evicted_keys.ranges().next().unwrap().last + 1,
        eq(100)
    );
}
