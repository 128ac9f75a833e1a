//! The decisions under faults, as a table: each fault alone, all together, and each at two places at once.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::fixture::{EntryFixture, SentAttempt, ms, request, upstream};
use crate::declaration::TargetPriority;
use crate::ident::{RunState, ShardNumber, SnapshotVersion};
use crate::query::{QueryOutcome, QueryRequest, RefusalCode};
use crate::relay::{AttemptPurpose, FailureReason, RefusalReason, ShardVerdict, UpstreamLoad};

/// Shards of the index, one service of two upstreams each.
const SHARDS: usize = 8;

/// A fault; it strikes the services 1 to `places`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The first attempt takes far too long.
    Straggler,
    /// The first upstream refuses connections.
    Refusing,
    /// The first upstream is silent.
    Silent,
    /// Both upstreams refuse connections.
    BothRefusing,
    /// The first upstream sheds.
    Shedding,
    /// Both upstreams shed.
    BothShedding,
    /// The connection breaks under the first attempt.
    Broken,
    /// The first attempt is answered with an error.
    ErrorStatus,
    /// The relay of the first attempt does not own the upstream.
    NotOwner,
    /// The index rolls to the next version before the service is asked.
    Roll,
    /// The version is not held, and no other is listed.
    Gone,
    /// The shard has moved to the service after the last.
    Move,
    /// Rows of another version come back.
    Mixed,
    /// Both upstreams are slow at first.
    Cold,
}

#[derive(Debug, Clone, Copy)]
enum Expected {
    Whole { version: u64 },
    Thin { missing_each: u32 },
    Refused { code: RefusalCode, ran: RunState },
}

use Expected::{Refused, Thin, Whole};
use Fault::{
    BothRefusing, BothShedding, Broken, Cold, ErrorStatus, Gone, Mixed, Move, NotOwner, Refusing,
    Roll, Shedding, Silent, Straggler,
};

/// Faults, then what is expected of a class that puts latency first and of one that puts coverage first (0.95).
type FaultCase = (&'static [Fault], Expected, Expected);

/// Faults, and what a non-idempotent query is refused with; none if it is answered.
type OnceCase = (&'static [Fault], Option<(RefusalCode, RunState)>);

const ALL_AT_ONCE: &[Fault] = &[Straggler, Refusing, Shedding, Move, Cold, Roll];

const CASES: &[FaultCase] = &[
    (&[], Whole { version: 17 }, Whole { version: 17 }),
    (&[Straggler], Whole { version: 17 }, Whole { version: 17 }),
    (&[Refusing], Whole { version: 17 }, Whole { version: 17 }),
    (&[Silent], Whole { version: 17 }, Whole { version: 17 }),
    (&[BothRefusing], Thin { missing_each: 1 }, UPSTREAM_FAILED),
    (&[Shedding], Whole { version: 17 }, Whole { version: 17 }),
    (&[BothShedding], Thin { missing_each: 1 }, UPSTREAM_FAILED),
    (&[ErrorStatus], Whole { version: 17 }, Whole { version: 17 }),
    (&[NotOwner], Whole { version: 17 }, Whole { version: 17 }),
    (&[Roll], Whole { version: 18 }, Whole { version: 18 }),
    (&[Gone], Thin { missing_each: 1 }, UPSTREAM_FAILED),
    (&[Move], Whole { version: 17 }, Whole { version: 17 }),
    (&[Mixed], Whole { version: 17 }, Whole { version: 17 }),
    (&[Cold], Whole { version: 17 }, Whole { version: 17 }),
    (ALL_AT_ONCE, Whole { version: 18 }, Whole { version: 18 }),
];

const UPSTREAM_FAILED: Expected = Refused {
    code: RefusalCode::UpstreamFailed,
    // Other shards were still out when it was given up.
    ran: RunState::Unknown,
};

/// Answers attempts after a while, with the faults of a case.
struct FaultScript<'a> {
    faults: &'a [Fault],
    places: u32,
    replies: BTreeMap<(Duration, usize), (SentAttempt, ShardVerdict)>,
    sent: Vec<SentAttempt>,
    rolled: bool,
}

impl FaultScript<'_> {
    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Takes what has been sent and schedules its replies.
    fn answer(&mut self, fixture: &mut EntryFixture) {
        for attempt in fixture.take_sent() {
            if let Some((after, verdict)) = self.reply(fixture, &attempt) {
                let key = (fixture.now + after, self.sent.len());
                self.replies.insert(key, (attempt.clone(), verdict));
            }
            self.sent.push(attempt);
        }
    }

    fn reply(
        &mut self,
        fixture: &mut EntryFixture,
        attempt: &SentAttempt,
    ) -> Option<(Duration, ShardVerdict)> {
        let body = format!(r#"{{"rows":["{}@{}"]}}"#, attempt.shard, attempt.version);
        let rows = |version| ShardVerdict::Rows {
            version,
            body: Bytes::from(body.clone()),
        };
        let good = Some((ms(10), rows(attempt.version)));
        let service = attempt.shard;
        if service == 0 || service > self.places {
            return good;
        }
        let first = attempt.purpose == AttemptPurpose::First;
        let primary = attempt.upstream == upstream(service as usize, 0);
        let not_run = |reason| Some((ms(2), ShardVerdict::NotRun(reason)));
        if self.has(Roll) && attempt.version.0 == 17 {
            if !self.rolled {
                self.rolled = true;
                fixture.publish(6, &[(18, SHARDS), (17, SHARDS)]);
            }
            let newest = SnapshotVersion(18);
            return Some((ms(12), ShardVerdict::VersionGone { newest }));
        }
        if self.has(Gone) {
            let newest = SnapshotVersion(18);
            return Some((ms(2), ShardVerdict::VersionGone { newest }));
        }
        let there = [0, 1].map(|replica| upstream(SHARDS, replica));
        if self.has(Move) && !there.contains(&attempt.upstream) {
            let service = format!("tender-{SHARDS:02}").parse().unwrap();
            return Some((ms(2), ShardVerdict::Moved { service }));
        }
        let failed = |reason| {
            let ran = RunState::Unknown;
            Some((ms(5), ShardVerdict::Failed { ran, reason }))
        };
        match () {
            () if self.has(BothRefusing) => not_run(RefusalReason::Unreachable),
            () if self.has(BothShedding) => not_run(RefusalReason::Shed),
            () if self.has(Refusing) && primary => not_run(RefusalReason::Unreachable),
            () if self.has(Shedding) && primary => not_run(RefusalReason::Shed),
            () if self.has(Silent) && primary => None,
            () if self.has(NotOwner) && first => not_run(RefusalReason::NotOwner),
            () if self.has(Broken) && first => failed(FailureReason::Broken),
            () if self.has(ErrorStatus) && first => failed(FailureReason::Status),
            () if self.has(Mixed) && first => Some((ms(5), rows(SnapshotVersion(16)))),
            () if self.has(Straggler) && first => Some((ms(900), rows(attempt.version))),
            () if self.has(Cold) => Some((ms(80), rows(attempt.version))),
            () => good,
        }
    }
}

/// Runs one query to its end and returns when it ended, its outcome and what was sent.
fn run_query(
    fixture: &mut EntryFixture,
    faults: &[Fault],
    places: u32,
    request: QueryRequest,
) -> (Duration, QueryOutcome, Vec<SentAttempt>) {
    let mut script = FaultScript {
        faults,
        places,
        replies: BTreeMap::new(),
        sent: Vec::new(),
        rolled: false,
    };
    let started = fixture.now;
    let query = fixture.start(request);
    script.answer(fixture);
    while !fixture.finished.contains_key(&query) {
        let reply = script.replies.keys().next().map(|(at, _)| *at);
        let wake = fixture.core.next_wake();
        if reply.is_none_or(|at| wake.is_some_and(|wake| wake < at)) {
            fixture.advance(wake.expect("a query in flight has a wake"));
        } else if let Some((_, (attempt, verdict))) = script.replies.pop_first() {
            fixture.advance(reply.unwrap());
            fixture.settle(&attempt, verdict);
        }
        script.answer(fixture);
    }
    let (at, outcome) = fixture.finished[&query].clone();
    (at.saturating_sub(started), outcome, script.sent)
}

fn check(name: &str, places: u32, expected: Expected, outcome: &QueryOutcome) {
    match (expected, outcome) {
        (Whole { version }, Ok(answer)) => {
            expect_that!(answer.coverage.missing, is_empty(), "{name}");
            expect_that!(answer.snapshot, eq(SnapshotVersion(version)), "{name}");
            for (shard, body) in answer.bodies.iter().enumerate() {
                let body = std::str::from_utf8(body).unwrap();
                let row = format!(r#"{{"rows":["{shard}@{version}"]}}"#);
                expect_that!(body, eq(row.as_str()), "{name}");
            }
        }
        (Thin { missing_each }, Ok(answer)) => {
            let missing: Vec<_> = (1..=places * missing_each).map(ShardNumber).collect();
            expect_that!(answer.coverage.missing, eq(&missing), "{name}");
            expect_that!(answer.bodies.len(), eq(SHARDS - missing.len()), "{name}");
        }
        (Refused { code, ran }, Err(refusal)) => {
            expect_that!((refusal.code, refusal.ran), eq((code, ran)), "{name}");
        }
        (expected, outcome) => {
            expect_that!(
                format!("{expected:?}"),
                eq(&format!("{outcome:?}")),
                "{name}"
            );
        }
    }
}

#[gtest]
fn each_fault_at_one_and_at_two_places() {
    let priorities = [TargetPriority::LatencyFirst, TargetPriority::CoverageFirst];
    for (faults, latency_first, coverage_first) in CASES {
        for places in [1, 2] {
            for priority in priorities {
                let name = format!("{faults:?} x{places} {priority:?}");
                let mut fixture = EntryFixture::new(SHARDS + 1, |class| {
                    class.priority = priority;
                    class.coverage = 0.95;
                });
                fixture.publish(5, &[(17, SHARDS)]);
                let (took, outcome, sent) = run_query(&mut fixture, faults, places, request());
                let expected = match priority {
                    TargetPriority::LatencyFirst => *latency_first,
                    TargetPriority::CoverageFirst => *coverage_first,
                };
                check(&name, places, expected, &outcome);
                // Nothing is held back until near the deadline, and no shard is asked more than a few times.
                expect_that!(took, le(ms(300)), "{name}");
                let extra = sent.iter().filter(|a| a.purpose != AttemptPurpose::First);
                expect_that!(extra.count(), le(3 * places as usize), "{name}");
            }
        }
    }
}

#[gtest]
fn a_non_idempotent_query_is_sent_again_only_after_an_explicit_refusal() {
    let cases: &[OnceCase] = &[
        (&[], None),
        (&[Refusing], None),
        (&[Shedding], None),
        (&[NotOwner], None),
        (&[Move], None),
        (&[Roll], None),
        (
            &[Broken],
            Some((RefusalCode::UpstreamFailed, RunState::Unknown)),
        ),
        (
            &[ErrorStatus],
            Some((RefusalCode::UpstreamFailed, RunState::Unknown)),
        ),
        (&[Mixed], Some((RefusalCode::UpstreamFailed, RunState::Ran))),
        (&[Silent], Some((RefusalCode::Deadline, RunState::Unknown))),
        (
            &[BothRefusing],
            Some((RefusalCode::NoUpstream, RunState::NotRun)),
        ),
        (
            &[BothShedding],
            Some((RefusalCode::Overloaded, RunState::NotRun)),
        ),
    ];
    for (faults, refused) in cases {
        // Records are tried until one meets the fault on the first upstream of its shard.
        let got = (0..64).find_map(|number| run_record(faults, number));
        let got = got.expect("one of the records meets the fault");
        let got = got.err().map(|refusal| (refusal.code, refusal.ran));
        expect_that!(got, eq(*refused), "{faults:?}");
    }
}

/// Runs a non-idempotent query for one record; none if its first attempt does not meet the fault.
fn run_record(faults: &[Fault], number: u32) -> Option<QueryOutcome> {
    let mut fixture = EntryFixture::new(SHARDS + 1, |class| {
        class.idempotent = false;
        class.scope = crate::declaration::ClassScope::One;
    });
    fixture.publish(5, &[(17, SHARDS)]);
    let request = QueryRequest {
        key: Some("127.0.0.1-7.1".parse().unwrap()),
        record: Some(format!("record {number}").into()),
        ..request()
    };
    let places = SHARDS as u32 - 1;
    let (_, outcome, sent) = run_query(&mut fixture, faults, places, request);
    let first = &sent[0];
    let met = first.shard > 0 && first.upstream == upstream(first.shard as usize, 0);
    met.then_some(outcome)
}

#[gtest]
fn a_server_that_lies_about_its_load_draws_no_traffic_for_it() {
    let mut fixture = EntryFixture::new(1, |_class| {});
    let mut liar_share = 0;
    for round in 0..200 {
        fixture.now += ms(50);
        let query = fixture.start(request());
        for attempt in fixture.take_sent() {
            // It reports no wait, and sheds whatever it gets.
            let lies = attempt.upstream == upstream(0, 0);
            liar_share += u32::from(lies && round >= 20);
            let load = UpstreamLoad {
                upstream: attempt.upstream,
                wait_us: if lies { 0 } else { 4_000 },
                service_us: if lies { 100 } else { 5_000 },
                limit: 2,
                leaving: false,
            };
            let verdict = if lies {
                let ran = RunState::Ran;
                let reason = FailureReason::Status;
                ShardVerdict::Failed { ran, reason }
            } else {
                super::fixture::rows(17)
            };
            fixture.settle_with(&attempt, verdict, Some(load));
        }
        for attempt in fixture.take_sent() {
            fixture.settle(&attempt, super::fixture::rows(17));
        }
        fixture.advance(fixture.now + ms(10));
        expect_that!(fixture.outcome(query).is_ok(), eq(true), "round {round}");
    }
    // It is probed now and then, at most every few seconds.
    expect_that!(liar_share, le(6));
}
