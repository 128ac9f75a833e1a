//! Table of faults and their expected outcomes: each fault alone and several at once, at one service and at two.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::fixture::{EntryFixture, SentAttempt, ms, request, upstream};
use crate::declaration::TargetPriority;
use crate::ident::{RunState, ShardNumber, SnapshotVersion};
use crate::query::{QueryOutcome, QueryRequest, RefusalCode};
use crate::relay::{AttemptPurpose, FailureReason, RefusalReason, ShardVerdict, UpstreamLoad};

/// Number of shards of the index, each on a service of two upstreams.
const SHARDS: usize = 8;

/// A fault, injected at services 1 to `faulty_services`. The first upstream of a service is its replica 0; the first
/// attempt at a shard is the one with [`AttemptPurpose::First`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The first attempt is answered after 900 ms instead of 10 ms.
    Straggler,
    /// The first upstream refuses connections.
    RefusingUpstream,
    /// The first upstream never answers.
    SilentUpstream,
    /// Both upstreams refuse connections.
    BothUpstreamsRefusing,
    /// The first upstream sheds requests.
    SheddingUpstream,
    /// Both upstreams shed requests.
    BothUpstreamsShedding,
    /// The connection breaks during the first attempt.
    BrokenConnection,
    /// The first attempt is answered with an error status.
    ErrorStatus,
    /// The relay of the first attempt does not own the upstream.
    NotOwner,
    /// The index moves to the next version before the service receives its request.
    NextVersion,
    /// The service does not hold the version, and no other version is listed.
    MissingVersion,
    /// The shard has moved to an additional service.
    MovedShard,
    /// The first attempt returns rows of another version.
    WrongVersion,
    /// Both upstreams take 80 ms instead of 10 ms.
    SlowService,
}

#[derive(Debug, Clone, Copy)]
enum ExpectedOutcome {
    WholeAnswer { version: u64 },
    ThinAnswer { missing_each: u32 },
    Refusal { code: RefusalCode, ran: RunState },
}

use ExpectedOutcome::{Refusal, ThinAnswer, WholeAnswer};
use Fault::{
    BothUpstreamsRefusing, BothUpstreamsShedding, BrokenConnection, ErrorStatus, MissingVersion,
    MovedShard, NextVersion, NotOwner, RefusingUpstream, SheddingUpstream, SilentUpstream,
    SlowService, Straggler, WrongVersion,
};

/// A set of faults, the expected outcome of a latency-first class, and that of a coverage-first class with a target of
/// 0.95.
type FaultCase = (&'static [Fault], ExpectedOutcome, ExpectedOutcome);

/// A set of faults, and the expected refusal of a non-idempotent query, or `None` if it is answered.
type NonIdempotentCase = (&'static [Fault], Option<(RefusalCode, RunState)>);

const ALL_FAULTS: &[Fault] = &[
    Straggler,
    RefusingUpstream,
    SheddingUpstream,
    MovedShard,
    SlowService,
    NextVersion,
];

const FAULT_CASES: &[FaultCase] = &[
    (
        &[],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[Straggler],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[RefusingUpstream],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[SilentUpstream],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[BothUpstreamsRefusing],
        ThinAnswer { missing_each: 1 },
        UPSTREAM_FAILED,
    ),
    (
        &[SheddingUpstream],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[BothUpstreamsShedding],
        ThinAnswer { missing_each: 1 },
        UPSTREAM_FAILED,
    ),
    (
        &[ErrorStatus],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[NotOwner],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[NextVersion],
        WholeAnswer { version: 18 },
        WholeAnswer { version: 18 },
    ),
    (
        &[MissingVersion],
        ThinAnswer { missing_each: 1 },
        UPSTREAM_FAILED,
    ),
    (
        &[MovedShard],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[WrongVersion],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        &[SlowService],
        WholeAnswer { version: 17 },
        WholeAnswer { version: 17 },
    ),
    (
        ALL_FAULTS,
        WholeAnswer { version: 18 },
        WholeAnswer { version: 18 },
    ),
];

const UPSTREAM_FAILED: ExpectedOutcome = Refusal {
    code: RefusalCode::UpstreamFailed,
    // Other shards were still in flight when the query was given up.
    ran: RunState::Unknown,
};

/// Replies to attempts after a delay, according to the faults of a case.
struct FaultScript<'a> {
    faults: &'a [Fault],
    faulty_services: u32,
    replies: BTreeMap<(Duration, usize), (SentAttempt, ShardVerdict)>,
    sent_attempts: Vec<SentAttempt>,
    is_next_version_published: bool,
}

impl FaultScript<'_> {
    fn has_fault(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Takes the attempts sent and schedules their replies.
    fn schedule_replies(&mut self, fixture: &mut EntryFixture) {
        for attempt in fixture.take_sent_attempts() {
            if let Some((delay, verdict)) = self.reply(fixture, &attempt) {
                let reply_key = (fixture.now + delay, self.sent_attempts.len());
                self.replies.insert(reply_key, (attempt.clone(), verdict));
            }
            self.sent_attempts.push(attempt);
        }
    }

    fn reply(
        &mut self,
        fixture: &mut EntryFixture,
        attempt: &SentAttempt,
    ) -> Option<(Duration, ShardVerdict)> {
        let body = format!(r#"{{"rows":["{}@{}"]}}"#, attempt.shard, attempt.version);
        let rows_of_version = |version| ShardVerdict::Rows {
            version,
            body: Bytes::from(body.clone()),
        };
        let success_reply = Some((ms(10), rows_of_version(attempt.version)));
        let service = attempt.shard;
        if service == 0 || service > self.faulty_services {
            return success_reply;
        }
        let is_first_attempt = attempt.purpose == AttemptPurpose::First;
        let is_first_upstream = attempt.upstream == upstream(service as usize, 0);
        let not_run_verdict = |reason| Some((ms(2), ShardVerdict::NotRun(reason)));
        if self.has_fault(NextVersion) && attempt.version.0 == 17 {
            if !self.is_next_version_published {
                self.is_next_version_published = true;
                fixture.publish(6, &[(18, SHARDS), (17, SHARDS)]);
            }
            let newest = SnapshotVersion(18);
            return Some((ms(12), ShardVerdict::VersionGone { newest }));
        }
        if self.has_fault(MissingVersion) {
            let newest = SnapshotVersion(18);
            return Some((ms(2), ShardVerdict::VersionGone { newest }));
        }
        let new_upstreams = [0, 1].map(|replica| upstream(SHARDS, replica));
        if self.has_fault(MovedShard) && !new_upstreams.contains(&attempt.upstream) {
            let service = format!("tender-{SHARDS:02}").parse().unwrap();
            return Some((ms(2), ShardVerdict::Moved { service }));
        }
        let failed_verdict = |reason| {
            let ran = RunState::Unknown;
            Some((ms(5), ShardVerdict::Failed { ran, reason }))
        };
        match () {
            () if self.has_fault(BothUpstreamsRefusing) => {
                not_run_verdict(RefusalReason::Unreachable)
            }
            () if self.has_fault(BothUpstreamsShedding) => not_run_verdict(RefusalReason::Shed),
            () if self.has_fault(RefusingUpstream) && is_first_upstream => {
                not_run_verdict(RefusalReason::Unreachable)
            }
            () if self.has_fault(SheddingUpstream) && is_first_upstream => {
                not_run_verdict(RefusalReason::Shed)
            }
            () if self.has_fault(SilentUpstream) && is_first_upstream => None,
            () if self.has_fault(NotOwner) && is_first_attempt => {
                not_run_verdict(RefusalReason::NotOwner)
            }
            () if self.has_fault(BrokenConnection) && is_first_attempt => {
                failed_verdict(FailureReason::Broken)
            }
            () if self.has_fault(ErrorStatus) && is_first_attempt => {
                failed_verdict(FailureReason::Status)
            }
            () if self.has_fault(WrongVersion) && is_first_attempt => {
                Some((ms(5), rows_of_version(SnapshotVersion(16))))
            }
            () if self.has_fault(Straggler) && is_first_attempt => {
                Some((ms(900), rows_of_version(attempt.version)))
            }
            () if self.has_fault(SlowService) => Some((ms(80), rows_of_version(attempt.version))),
            () => success_reply,
        }
    }
}

/// Runs one query to completion and returns its duration, its outcome and the attempts sent.
fn run_query(
    fixture: &mut EntryFixture,
    faults: &[Fault],
    faulty_services: u32,
    request: QueryRequest,
) -> (Duration, QueryOutcome, Vec<SentAttempt>) {
    let mut script = FaultScript {
        faults,
        faulty_services,
        replies: BTreeMap::new(),
        sent_attempts: Vec::new(),
        is_next_version_published: false,
    };
    let started_at = fixture.now;
    let query = fixture.start(request);
    script.schedule_replies(fixture);
    while !fixture.finished_queries.contains_key(&query) {
        let reply_at = script.replies.keys().next().map(|(at, _)| *at);
        let wake_at = fixture.core.next_wake();
        if reply_at.is_none_or(|at| wake_at.is_some_and(|wake_at| wake_at < at)) {
            fixture.advance(wake_at.expect("a query in flight has a timer"));
        } else if let Some((_, (attempt, verdict))) = script.replies.pop_first() {
            fixture.advance(reply_at.unwrap());
            fixture.deliver(&attempt, verdict);
        }
        script.schedule_replies(fixture);
    }
    let (finished_at, outcome) = fixture.finished_queries[&query].clone();
    (
        finished_at.saturating_sub(started_at),
        outcome,
        script.sent_attempts,
    )
}

fn check_outcome(
    name: &str,
    faulty_services: u32,
    expected_outcome: ExpectedOutcome,
    outcome: &QueryOutcome,
) {
    match (expected_outcome, outcome) {
        (WholeAnswer { version }, Ok(answer)) => {
            expect_that!(answer.coverage.missing, is_empty(), "{name}");
            expect_that!(answer.snapshot, eq(SnapshotVersion(version)), "{name}");
            for (shard, body) in answer.bodies.iter().enumerate() {
                let body = std::str::from_utf8(body).unwrap();
                let row = format!(r#"{{"rows":["{shard}@{version}"]}}"#);
                expect_that!(body, eq(row.as_str()), "{name}");
            }
        }
        (ThinAnswer { missing_each }, Ok(answer)) => {
            let missing_shards: Vec<_> = (1..=faulty_services * missing_each)
                .map(ShardNumber)
                .collect();
            expect_that!(answer.coverage.missing, eq(&missing_shards), "{name}");
            expect_that!(
                answer.bodies.len(),
                eq(SHARDS - missing_shards.len()),
                "{name}"
            );
        }
        (Refusal { code, ran }, Err(refusal)) => {
            expect_that!((refusal.code, refusal.ran), eq((code, ran)), "{name}");
        }
        (expected_outcome, outcome) => {
            expect_that!(
                format!("{expected_outcome:?}"),
                eq(&format!("{outcome:?}")),
                "{name}"
            );
        }
    }
}

#[gtest]
fn each_fault_at_one_and_at_two_services() {
    let priorities = [TargetPriority::LatencyFirst, TargetPriority::CoverageFirst];
    for (faults, latency_first_outcome, coverage_first_outcome) in FAULT_CASES {
        for faulty_services in [1, 2] {
            for priority in priorities {
                let name = format!("{faults:?} x{faulty_services} {priority:?}");
                let mut fixture = EntryFixture::new(SHARDS + 1, |class| {
                    class.priority = priority;
                    class.coverage = 0.95;
                });
                fixture.publish(5, &[(17, SHARDS)]);
                let (duration, outcome, sent_attempts) =
                    run_query(&mut fixture, faults, faulty_services, request());
                let expected_outcome = match priority {
                    TargetPriority::LatencyFirst => *latency_first_outcome,
                    TargetPriority::CoverageFirst => *coverage_first_outcome,
                };
                check_outcome(&name, faulty_services, expected_outcome, &outcome);
                // The query does not wait until near its deadline, and no shard is retried more than a few times.
                expect_that!(duration, le(ms(300)), "{name}");
                let extra_attempts = sent_attempts
                    .iter()
                    .filter(|attempt| attempt.purpose != AttemptPurpose::First);
                expect_that!(
                    extra_attempts.count(),
                    le(3 * faulty_services as usize),
                    "{name}"
                );
            }
        }
    }
}

#[gtest]
fn a_non_idempotent_query_is_sent_again_only_after_an_explicit_refusal() {
    let cases: &[NonIdempotentCase] = &[
        (&[], None),
        (&[RefusingUpstream], None),
        (&[SheddingUpstream], None),
        (&[NotOwner], None),
        (&[MovedShard], None),
        (&[NextVersion], None),
        (
            &[BrokenConnection],
            Some((RefusalCode::UpstreamFailed, RunState::Unknown)),
        ),
        (
            &[ErrorStatus],
            Some((RefusalCode::UpstreamFailed, RunState::Unknown)),
        ),
        (
            &[WrongVersion],
            Some((RefusalCode::UpstreamFailed, RunState::Ran)),
        ),
        (
            &[SilentUpstream],
            Some((RefusalCode::Deadline, RunState::Unknown)),
        ),
        (
            &[BothUpstreamsRefusing],
            Some((RefusalCode::NoUpstream, RunState::NotRun)),
        ),
        (
            &[BothUpstreamsShedding],
            Some((RefusalCode::Overloaded, RunState::NotRun)),
        ),
    ];
    for (faults, expected_refusal) in cases {
        // Tries records until one hits the fault on the first upstream of its shard.
        let result = (0..64).find_map(|record_number| run_record(faults, record_number));
        let result = result.expect("one of the records hits the fault");
        let result = result.err().map(|refusal| (refusal.code, refusal.ran));
        expect_that!(result, eq(*expected_refusal), "{faults:?}");
    }
}

/// Runs a non-idempotent query for one record; returns `None` if its first attempt does not hit the fault.
fn run_record(faults: &[Fault], record_number: u32) -> Option<QueryOutcome> {
    let mut fixture = EntryFixture::new(SHARDS + 1, |class| {
        class.idempotent = false;
        class.scope = crate::declaration::ClassScope::One;
    });
    fixture.publish(5, &[(17, SHARDS)]);
    let request = QueryRequest {
        key: Some("127.0.0.1-7.1".parse().unwrap()),
        record: Some(format!("record {record_number}").into()),
        ..request()
    };
    let faulty_services = SHARDS as u32 - 1;
    let (_, outcome, sent_attempts) = run_query(&mut fixture, faults, faulty_services, request);
    let first_attempt = &sent_attempts[0];
    let hits_fault = first_attempt.shard > 0
        && first_attempt.upstream == upstream(first_attempt.shard as usize, 0);
    hits_fault.then_some(outcome)
}

#[gtest]
fn a_server_that_misreports_its_load_attracts_no_traffic() {
    let mut fixture = EntryFixture::new(1, |_class| {});
    let mut misreporting_attempts = 0;
    for round in 0..200 {
        fixture.now += ms(50);
        let query = fixture.start(request());
        for attempt in fixture.take_sent_attempts() {
            // The misreporting server claims to have no queue, and fails every request.
            let is_misreporting = attempt.upstream == upstream(0, 0);
            misreporting_attempts += u32::from(is_misreporting && round >= 20);
            let load = UpstreamLoad {
                upstream: attempt.upstream,
                wait_us: if is_misreporting { 0 } else { 4_000 },
                service_us: if is_misreporting { 100 } else { 5_000 },
                limit: 2,
                leaving: false,
            };
            let verdict = if is_misreporting {
                let ran = RunState::Ran;
                let reason = FailureReason::Status;
                ShardVerdict::Failed { ran, reason }
            } else {
                super::fixture::rows_verdict(17)
            };
            fixture.deliver_with_load(&attempt, verdict, Some(load));
        }
        for attempt in fixture.take_sent_attempts() {
            fixture.deliver(&attempt, super::fixture::rows_verdict(17));
        }
        fixture.advance(fixture.now + ms(10));
        expect_that!(fixture.outcome(query).is_ok(), eq(true), "round {round}");
    }
    // The server is probed occasionally, at most once every few seconds.
    expect_that!(misreporting_attempts, le(6));
}
