use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::ident::{IncarnationNumber, SnapshotVersion, VmAddress};
use crate::query::{QueryAnswer, QueryCoverage, QueryRequest};

const NOW: Duration = Duration::from_secs(5);

fn session(incarnation: u64) -> SessionId {
    SessionId::new(
        VmAddress([10, 0, 0, 1].into()),
        IncarnationNumber(incarnation),
    )
}

fn transfer(number: u64) -> TransferId {
    TransferId {
        sender: session(1),
        number,
    }
}

fn digest() -> RequestDigest {
    RequestDigest::new(&QueryRequest {
        class: "deferral".parse().unwrap(),
        organisation: "hanbit".parse().unwrap(),
        deadline: None,
        record: None,
        selection: Bytes::new(),
        key: None,
        caller_id: None,
    })
}

fn sealed(sequences: std::ops::Range<u64>, bytes: usize) -> Vec<SealedOutcome> {
    let mut outcomes = Vec::new();
    for sequence in sequences {
        outcomes.push(SealedOutcome {
            sequence,
            digest: digest(),
            outcome: Ok(QueryAnswer {
                query: format!("{sequence}").into(),
                snapshot: SnapshotVersion(1),
                coverage: QueryCoverage::default(),
                bodies: vec![Bytes::from(vec![b'x'; bytes])],
            }),
        });
    }
    outcomes
}

fn code(adopted: &AdoptedSessions, sequence: u64) -> Option<(RefusalCode, RunState)> {
    let outcome = adopted.outcome(session(1), sequence, digest());
    outcome?.err().map(|refusal| (refusal.code, refusal.ran))
}

#[gtest]
fn not_run_is_said_only_when_every_part_is_here() {
    let mut aged = AgedKeys::new();
    aged.insert(7);
    let parts = split_session(session(1), transfer(0), sealed(10..20, 200_000), &aged);
    assert_that!(parts.len(), gt(2));
    let mut adopted = AdoptedSessions::new();
    for (number, part) in parts.iter().enumerate() {
        expect_that!(
            adopted.take_part(part.clone(), NOW),
            eq(number + 1 == parts.len())
        );
        let unknown_key = if number + 1 == parts.len() {
            (RefusalCode::Stopping, RunState::NotRun)
        } else {
            (RefusalCode::OutcomeUnknown, RunState::Unknown)
        };
        expect_that!(code(&adopted, 3), some(eq(unknown_key)));
    }
    expect_that!(
        code(&adopted, 7),
        some(eq((RefusalCode::OutcomeUnknown, RunState::Unknown)))
    );
    expect_that!(
        adopted.outcome(session(1), 12, digest()),
        some(ok(anything()))
    );
    expect_that!(adopted.outcome(session(2), 12, digest()), none());
    adopted.expire(NOW + ADOPTED_WINDOW);
    expect_that!(adopted.outcome(session(1), 12, digest()), none());
}

#[gtest]
fn two_sendings_are_never_mixed() {
    let first = split_session(
        session(1),
        transfer(0),
        sealed(0..10, 200_000),
        &AgedKeys::new(),
    );
    let second = split_session(
        session(1),
        transfer(1),
        sealed(0..11, 150_000),
        &AgedKeys::new(),
    );
    let mut adopted = AdoptedSessions::new();
    let mut complete = adopted.take_part(first[0].clone(), NOW);
    for part in &second[1..] {
        complete |= adopted.take_part(part.clone(), NOW);
    }
    expect_that!(complete, eq(false));
    expect_that!(adopted.take_part(second[0].clone(), NOW), eq(true));
    for sequence in 0..11 {
        expect_that!(code(&adopted, sequence), none(), "{sequence}");
    }
}

#[gtest]
fn memory_is_bounded() {
    let mut adopted = AdoptedSessions::new();
    for incarnation in 0..100 {
        let outcomes = sealed(0..4, 300_000);
        for part in split_session(
            session(incarnation),
            transfer(0),
            outcomes,
            &AgedKeys::new(),
        ) {
            adopted.take_part(part, NOW);
        }
        expect_that!(adopted.bytes, le(ADOPTED_BYTES));
    }
    expect_that!(adopted.len(), le(SESSION_LIMIT));
}
