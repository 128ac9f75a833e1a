use std::time::Duration;

use ebonyfork::declaration::ClassScope;
use ebonyfork::ident::{RunState, SnapshotVersion};
use ebonyfork::query::QueryCoverage;
use googletest::prelude::*;
use smallvec::smallvec;

use super::{MeasuredTime, summarise};
use crate::clock::RunClock;
use crate::journal::{ExecutionEnd, ExecutionRecord, Journal, SelectionHash};
use crate::judge::RunEvidence;
use crate::load::{AnswerRecord, ClassLoad, RequestRecord, TryOutcome, TryRecord};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn request(scheduled: u64, latency: u64, outcome: TryOutcome) -> RequestRecord {
    let tried = TryRecord {
        vm: None,
        selection: SelectionHash(scheduled),
        sent: ms(scheduled),
        ended: ms(scheduled + latency),
        outcome,
    };
    RequestRecord {
        class: 0,
        stream: 0,
        scheduled: ms(scheduled),
        ended: ms(scheduled + latency),
        tries: smallvec![tried],
    }
}

fn answered(shards: u32, total: u32) -> TryOutcome {
    TryOutcome::Answered(AnswerRecord {
        snapshot: SnapshotVersion(17),
        coverage: QueryCoverage {
            answered: shards,
            total,
            missing: Vec::new(),
        },
        rows: Vec::new(),
    })
}

fn refused(ran: RunState) -> TryOutcome {
    TryOutcome::Refused {
        status: 503,
        code: "overloaded".into(),
        ran,
        retry_after: None,
    }
}

fn run(selection: u64, shard: u32, started: u64, ended: u64) -> ExecutionRecord {
    ExecutionRecord {
        attempt: "a1".into(),
        selection: SelectionHash(selection),
        key: None,
        index: "tender".parse().expect("a name"),
        version: SnapshotVersion(17),
        shard: ebonyfork::ident::ShardNumber(shard),
        arrived: ms(started),
        started: Some(ms(started)),
        ended: Some(ms(ended)),
        end: ExecutionEnd::Finished,
    }
}

#[googletest::test]
fn figures_cover_the_measured_time_alone() {
    let journal = Journal::new(RunClock::start());
    let address = "127.0.0.9:80".parse().expect("an address");
    journal.open(address, "tender-00".parse().expect("a name"), 2);
    let mut evidence = RunEvidence {
        classes: vec![ClassLoad {
            class: "search".parse().expect("a name"),
            scope: ClassScope::All,
            idempotent: true,
            latency: ms(100),
            coverage: 0.9,
            bound: ms(500),
            deadline: None,
            records: 1,
            selection_size: 0,
        }],
        requests: vec![
            request(900, 10, answered(2, 2)),
            request(1_000, 50, answered(2, 2)),
            request(1_200, 150, answered(2, 2)),
            request(1_400, 60, answered(1, 2)),
            request(1_500, 5, refused(RunState::NotRun)),
            request(1_600, 5, refused(RunState::Unknown)),
            request(1_700, 5, TryOutcome::Broken),
            request(2_000, 10, answered(2, 2)),
        ],
        ..RunEvidence::default()
    };
    // Two of four are the same shard request; half of the first lies before the measured time.
    let runs = vec![
        run(1, 0, 900, 1_100),
        run(1, 1, 1_200, 1_500),
        run(1, 1, 1_200, 1_500),
        run(2, 0, 1_600, 1_900),
    ];
    evidence.executions.insert(address, runs);
    let measured = MeasuredTime {
        from: ms(1_000),
        until: ms(2_000),
    };
    let report = summarise(&evidence, &journal, measured);
    expect_that!(report.queries, eq(6));
    expect_that!((report.answered, report.thin), eq((3, 1)));
    expect_that!((report.refused, report.failed), eq((1, 2)));
    expect_that!(report.p50_ms, near(60.0, 0.1));
    expect_that!(report.p99_ms, near(150.0, 0.2));
    expect_that!(report.coverage_mean, near(5.0 / 6.0, 1e-9));
    // Only one answer is both in time and covered.
    expect_that!(report.goodput_per_s, near(1.0, 1e-9));
    expect_that!(report.extra_load, near(4.0 / 3.0, 1e-9));
    expect_that!(report.slots_used_max, near(0.5, 1e-9));
    let codes = &report.classes["search"].codes;
    expect_that!(codes.values().sum::<u64>(), eq(3));
}
