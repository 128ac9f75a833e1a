use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::ident::SnapshotVersion;
use crate::query::{QueryAnswer, QueryCoverage};

const FIRST: WaiterId = WaiterId(1);
const SECOND: WaiterId = WaiterId(2);
const SOME: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);

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

/// What is sent under key 1 after something has happened to it.
#[gtest]
fn a_resend_meets_what_became_of_its_key() {
    type Prepare = fn(&mut OutcomeTable);
    let now = Duration::from_secs(1);
    let run: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
    };
    let ran: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
    };
    let not_run: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(
            1,
            &refusal(RefusalCode::Overloaded, RunState::NotRun),
            Duration::from_secs(1),
        );
    };
    let broken: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(
            1,
            &refusal(RefusalCode::UpstreamFailed, RunState::Unknown),
            Duration::ZERO,
        );
    };
    let aged: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
        table.expire(Duration::from_secs(1) + OUTCOME_WINDOW);
    };
    let huge: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(1, &Ok(answer(OUTCOME_BYTES / 2)), Duration::from_secs(1));
    };
    let sealed_new: Prepare = OutcomeTable::seal;
    let sealed_ran: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.finish(1, &Ok(answer(3)), Duration::from_secs(1));
        table.seal();
    };
    let sealed_running: Prepare = |table| {
        table.begin(1, SOME, FIRST, None);
        table.seal();
    };
    let nothing: Prepare = |_table| {};
    let known = |code, ran| Some((code, ran));
    let (stopping, fenced) = (Some(RefusalCode::Stopping), Some(RefusalCode::NotReady));
    let cases = [
        ("new", nothing, SOME, None, "execute", None),
        (
            "new, fenced",
            nothing,
            SOME,
            fenced,
            "refusal",
            known(RefusalCode::NotReady, RunState::NotRun),
        ),
        (
            "new, stopping",
            nothing,
            SOME,
            stopping,
            "refusal",
            known(RefusalCode::Stopping, RunState::NotRun),
        ),
        (
            "new, sealed",
            sealed_new,
            SOME,
            None,
            "refusal",
            known(RefusalCode::Stopping, RunState::NotRun),
        ),
        ("running", run, SOME, None, "join", None),
        ("running, fenced", run, SOME, fenced, "join", None),
        ("running, sealed", sealed_running, SOME, None, "join", None),
        (
            "running, another request",
            run,
            OTHER,
            None,
            "refusal",
            known(RefusalCode::BadRequest, RunState::NotRun),
        ),
        ("ran", ran, SOME, None, "answer", None),
        ("ran, stopping", ran, SOME, stopping, "answer", None),
        ("ran, sealed", sealed_ran, SOME, None, "answer", None),
        (
            "ran, another request",
            ran,
            OTHER,
            None,
            "refusal",
            known(RefusalCode::BadRequest, RunState::NotRun),
        ),
        ("refused as not run", not_run, SOME, None, "execute", None),
        (
            "refused as not run, another request",
            not_run,
            OTHER,
            None,
            "execute",
            None,
        ),
        (
            "broke off",
            broken,
            SOME,
            None,
            "refusal",
            known(RefusalCode::UpstreamFailed, RunState::Unknown),
        ),
        (
            "aged",
            aged,
            SOME,
            None,
            "refusal",
            known(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
        (
            "aged, fenced",
            aged,
            SOME,
            fenced,
            "refusal",
            known(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
        (
            "too large to keep",
            huge,
            SOME,
            None,
            "refusal",
            known(RefusalCode::OutcomeUnknown, RunState::Unknown),
        ),
    ];
    for (name, prepare, digest, gate, expected, refused) in cases {
        let mut table = OutcomeTable::new();
        prepare(&mut table);
        let verdict = table.begin(1, digest, SECOND, gate);
        let (kind, code) = match &verdict {
            BeginVerdict::Execute => ("execute", None),
            BeginVerdict::Joined => ("join", None),
            BeginVerdict::Answer(Ok(_)) => ("answer", None),
            BeginVerdict::Answer(Err(refusal)) => ("refusal", Some((refusal.code, refusal.ran))),
        };
        expect_that!((kind, code), eq((expected, refused)), "{name}");
        if verdict == BeginVerdict::Joined {
            expect_that!(table.finish(1, &Ok(answer(3)), now).len(), eq(2), "{name}");
        }
    }
}

#[gtest]
fn bounds_hold_and_aged_keys_stay_known() {
    let limits = OutcomeLimits {
        window: Duration::from_mins(1),
        count: 10,
        bytes: 8_000,
    };
    let mut table = OutcomeTable::new().with_limits(limits, 4);
    for sequence in 0..100 {
        let now = Duration::from_secs(sequence);
        expect_that!(
            table.begin(sequence, SOME, FIRST, None),
            eq(&BeginVerdict::Execute)
        );
        table.finish(
            sequence,
            &Ok(answer(if sequence < 50 { 10 } else { 1_500 })),
            now,
        );
        expect_that!(table.kept(), le(limits.count));
        expect_that!(table.kept_bytes(), le(limits.bytes));
    }
    for sequence in 0..100 {
        let verdict = table.begin(sequence, SOME, FIRST, None);
        expect_that!(verdict, not(eq(&BeginVerdict::Execute)), "{sequence}");
    }
    let (outcomes, aged) = table.export();
    expect_that!(
        outcomes.len() as u64 + aged.ranges().next().unwrap().last + 1,
        eq(100)
    );
}
