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

fn sealed_outcomes(sequences: std::ops::Range<u64>, bytes: usize) -> Vec<SealedOutcome> {
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

fn refusal_of(adopted: &AdoptedSessions, sequence: u64) -> Option<(RefusalCode, RunState)> {
    let outcome = adopted.outcome(session(1), sequence, digest());
    outcome?.err().map(|refusal| (refusal.code, refusal.ran))
}

#[gtest]
fn a_key_is_reported_as_not_run_only_once_every_part_has_arrived() {
    let mut evicted_keys = EvictedKeys::new();
    evicted_keys.insert(7);
    let parts = split_session(
        session(1),
        transfer(0),
        sealed_outcomes(10..20, 200_000),
        &evicted_keys,
    );
    assert_that!(parts.len(), gt(2));
    let mut adopted = AdoptedSessions::new();
    for (number, part) in parts.iter().enumerate() {
        expect_that!(
            adopted.add_part(part.clone(), NOW),
            eq(number + 1 == parts.len())
        );
        let expected_refusal = if number + 1 == parts.len() {
            (RefusalCode::Stopping, RunState::NotRun)
        } else {
            (RefusalCode::OutcomeUnknown, RunState::Unknown)
        };
        expect_that!(refusal_of(&adopted, 3), some(eq(expected_refusal)));
    }
    expect_that!(
        refusal_of(&adopted, 7),
        some(eq((RefusalCode::OutcomeUnknown, RunState::Unknown)))
    );
    expect_that!(
        adopted.outcome(session(1), 12, digest()),
        some(ok(anything()))
    );
    expect_that!(adopted.outcome(session(2), 12, digest()), none());
    adopted.expire(NOW + ADOPTED_TTL);
    expect_that!(adopted.outcome(session(1), 12, digest()), none());
}

#[gtest]
fn parts_of_two_transfers_are_never_mixed() {
    let first_transfer = split_session(
        session(1),
        transfer(0),
        sealed_outcomes(0..10, 200_000),
        &EvictedKeys::new(),
    );
    let second_transfer = split_session(
        session(1),
        transfer(1),
        sealed_outcomes(0..11, 150_000),
        &EvictedKeys::new(),
    );
    let mut adopted = AdoptedSessions::new();
    let mut is_complete = adopted.add_part(first_transfer[0].clone(), NOW);
    for part in &second_transfer[1..] {
        is_complete |= adopted.add_part(part.clone(), NOW);
    }
    expect_that!(is_complete, eq(false));
    expect_that!(adopted.add_part(second_transfer[0].clone(), NOW), eq(true));
    for sequence in 0..11 {
        expect_that!(refusal_of(&adopted, sequence), none(), "{sequence}");
    }
}

#[gtest]
fn adopted_sessions_and_bytes_stay_within_their_limits() {
    let mut adopted = AdoptedSessions::new();
    for incarnation in 0..100 {
        let outcomes = sealed_outcomes(0..4, 300_000);
        for part in split_session(
            session(incarnation),
            transfer(0),
            outcomes,
            &EvictedKeys::new(),
        ) {
            adopted.add_part(part, NOW);
        }
        expect_that!(adopted.total_bytes, le(MAX_ADOPTED_BYTES));
    }
    expect_that!(adopted.len(), le(MAX_ADOPTED_SESSIONS));
}
