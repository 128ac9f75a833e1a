//! Properties of one query under arbitrary sequences of outcomes, including duplicate, late and mixed-version ones.

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::declaration::{ClassScope, TargetPriority};
use crate::entry::fixture::{EntryFixture, SentAttempt, ms, request};
use crate::ident::{RunState, SnapshotVersion};
use crate::query::{QueryOutcome, QueryRequest};
use crate::relay::{FailureReason, RefusalReason, ShardVerdict};

const SHARDS: usize = 5;

/// An event: the outcome of one of the attempts sent so far, the passage of time, or a broken link.
#[derive(Debug, Clone)]
enum Step {
    Deliver {
        attempt_index: usize,
        verdict_kind: u8,
    },
    Advance {
        millis: u64,
    },
    LinkDown {
        vm: u8,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let deliver_step =
        (0..64_usize, 0..10_u8).prop_map(|(attempt_index, verdict_kind)| Step::Deliver {
            attempt_index,
            verdict_kind,
        });
    let advance_step = (1..60_u64).prop_map(|millis| Step::Advance { millis });
    let link_down_step = (1..4_u8).prop_map(|vm| Step::LinkDown { vm });
    prop::collection::vec(
        prop_oneof![12 => deliver_step, 2 => advance_step, 1 => link_down_step],
        1..60,
    )
}

fn proptest_config() -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

fn verdict(attempt: &SentAttempt, verdict_kind: u8) -> ShardVerdict {
    let rows = |version| ShardVerdict::Rows {
        version,
        body: format!(r#"{{"rows":["{}@{version}"]}}"#, attempt.shard).into(),
    };
    match verdict_kind {
        0..=3 => rows(attempt.version),
        4 => rows(SnapshotVersion(16)),
        5 => ShardVerdict::VersionGone {
            newest: SnapshotVersion(18),
        },
        6 => ShardVerdict::NotRun(RefusalReason::Shed),
        7 => ShardVerdict::NotRun(RefusalReason::NotOwner),
        8 => ShardVerdict::Failed {
            ran: RunState::Unknown,
            reason: FailureReason::Status,
        },
        _ => ShardVerdict::Moved {
            service: "tender-00".parse().unwrap(),
        },
    }
}

/// What the fake relays observed during the steps.
#[derive(Default)]
struct Observations {
    sent_attempts: Vec<SentAttempt>,
    /// For each attempt, whether it may have run.
    may_have_run: Vec<bool>,
    /// For each attempt, whether its verdict has been delivered or its link has broken.
    has_verdict: Vec<bool>,
}

impl Observations {
    fn record_sent_attempts(&mut self, fixture: &mut EntryFixture) {
        for attempt in fixture.take_sent_attempts() {
            self.sent_attempts.push(attempt);
            // An attempt that was sent may run until it is explicitly refused.
            self.may_have_run.push(true);
            self.has_verdict.push(false);
        }
    }
}

fn run_steps(fixture: &mut EntryFixture, query: u64, steps: &[Step]) -> Observations {
    let mut observations = Observations::default();
    observations.record_sent_attempts(fixture);
    for step in steps {
        match *step {
            Step::Deliver {
                attempt_index,
                verdict_kind,
            } => {
                if observations.sent_attempts.is_empty() {
                    continue;
                }
                let attempt_index = attempt_index % observations.sent_attempts.len();
                let attempt = observations.sent_attempts[attempt_index].clone();
                let verdict = verdict(&attempt, verdict_kind);
                let is_refused = matches!(
                    verdict,
                    ShardVerdict::NotRun(_)
                        | ShardVerdict::VersionGone { .. }
                        | ShardVerdict::Moved { .. }
                );
                // Only the first verdict of an attempt counts; later ones are duplicates.
                if !observations.has_verdict[attempt_index]
                    && !fixture.finished_queries.contains_key(&query)
                {
                    observations.has_verdict[attempt_index] = true;
                    observations.may_have_run[attempt_index] = !is_refused;
                }
                fixture.deliver(&attempt, verdict);
            }
            Step::Advance { millis } => fixture.advance(fixture.now + ms(millis)),
            Step::LinkDown { vm } => {
                let vm = crate::entry::fixture::vm(vm);
                let unsent_messages = std::collections::VecDeque::new();
                fixture
                    .core
                    .handle_link_down(fixture.now, vm, unsent_messages);
                fixture.run_actions();
                for (number, attempt) in observations.sent_attempts.iter().enumerate() {
                    observations.has_verdict[number] |= attempt.vm == vm;
                }
            }
        }
        observations.record_sent_attempts(fixture);
    }
    fixture.advance(fixture.now + ms(2_000));
    observations.record_sent_attempts(fixture);
    observations
}

fn check_outcome(outcome: &QueryOutcome, observations: &Observations) {
    match outcome {
        Ok(answer) => {
            let missing_numbers = answer.coverage.missing.iter().map(|shard| shard.0);
            let missing_shards: Vec<u32> = missing_numbers.collect();
            let answered_shards =
                (0..SHARDS as u32).filter(|shard| !missing_shards.contains(shard));
            let expected_bodies = answered_shards
                .map(|shard| format!(r#"{{"rows":["{shard}@{}"]}}"#, answer.snapshot));
            let bodies = answer
                .bodies
                .iter()
                .map(|body| String::from_utf8_lossy(body).into());
            let bodies: Vec<String> = bodies.collect();
            expect_that!(bodies, eq(&expected_bodies.collect::<Vec<String>>()));
            expect_that!(answer.coverage.answered as usize, eq(bodies.len()));
            expect_that!(answer.coverage.total as usize, eq(SHARDS));
        }
        Err(refusal) if refusal.ran == RunState::NotRun => {
            expect_that!(
                observations.may_have_run.contains(&true),
                eq(false),
                "{refusal}"
            );
        }
        Err(_refusal) => {}
    }
}

#[gtest]
fn answers_are_of_one_version_and_their_coverage_is_true() {
    for priority in [TargetPriority::LatencyFirst, TargetPriority::CoverageFirst] {
        proptest!(proptest_config(), |(steps in steps())| {
            let mut fixture = EntryFixture::new(SHARDS, |class| class.priority = priority);
            let query = fixture.start(request());
            fixture.publish(6, &[(18, SHARDS), (17, SHARDS)]);
            let observations = run_steps(&mut fixture, query, &steps);
            check_outcome(fixture.outcome(query), &observations);
            prop_assert_eq!(fixture.core.queries_in_flight(), 0);
        });
    }
}

#[gtest]
fn a_non_idempotent_query_may_run_at_most_once() {
    proptest!(proptest_config(), |(steps in steps())| {
        let mut fixture = EntryFixture::new(SHARDS, |class| {
            class.idempotent = false;
            class.scope = ClassScope::One;
        });
        let query = fixture.start(QueryRequest {
            key: Some("127.0.0.1-7.1".parse().unwrap()),
            ..request()
        });
        fixture.publish(6, &[(18, SHARDS), (17, SHARDS)]);
        let observations = run_steps(&mut fixture, query, &steps);
        let may_have_run_count = observations.may_have_run.iter().filter(|run| **run).count();
        prop_assert!(may_have_run_count <= 1, "{} attempts may have run", may_have_run_count);
        if let Err(refusal) = fixture.outcome(query) {
            let is_not_run = refusal.ran == RunState::NotRun;
            prop_assert!(!is_not_run || may_have_run_count == 0, "{}", refusal);
        }
    });
}
