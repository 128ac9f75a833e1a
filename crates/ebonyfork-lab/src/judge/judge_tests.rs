use std::time::Duration;

use ebonyfork::catalog::{IndexCatalog, VersionShards};
use ebonyfork::declaration::ClassScope;
use ebonyfork::ident::{RunState, ShardNumber, SnapshotVersion, UpstreamAddress, VmAddress};
use ebonyfork::query::QueryCoverage;
use googletest::prelude::*;
use smallvec::smallvec;

use super::{RunEvidence, ViolationCounts, VmOutage, judge};
use crate::journal::{ExecutionEnd, ExecutionRecord, SelectionHash};
use crate::load::{AnswerRecord, ClassLoad, RequestRecord, TryOutcome, TryRecord};
use crate::upstream::ShardRow;

const SEARCH: usize = 0;
const FETCH: usize = 1;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn upstream() -> UpstreamAddress {
    "127.0.0.9:80".parse().expect("an address")
}

fn vm() -> VmAddress {
    "127.0.0.1".parse().expect("an address")
}

fn class(name: &str, scope: ClassScope, idempotent: bool) -> ClassLoad {
    ClassLoad {
        class: name.parse().expect("a name"),
        scope,
        idempotent,
        latency: ms(300),
        coverage: 1.0,
        bound: ms(1_000),
        deadline: None,
        records: 8,
        selection_size: 0,
    }
}

fn row(selection: &str, version: u64, shard: u32) -> ShardRow {
    ShardRow {
        index: "tender".parse().expect("a name"),
        version: SnapshotVersion(version),
        shard: ShardNumber(shard),
        selection: SelectionHash::new(selection),
    }
}

fn run(selection: &str, shard: u32, arrived: Duration) -> ExecutionRecord {
    ExecutionRecord {
        attempt: "a1".into(),
        selection: SelectionHash::new(selection),
        key: None,
        index: "tender".parse().expect("a name"),
        version: SnapshotVersion(17),
        shard: ShardNumber(shard),
        arrived,
        started: Some(arrived),
        ended: Some(arrived + ms(10)),
        end: ExecutionEnd::Finished,
    }
}

fn request(class: usize, selection: &str, outcome: TryOutcome) -> RequestRecord {
    let tried = TryRecord {
        vm: Some(vm()),
        selection: SelectionHash::new(selection),
        sent: ms(100),
        ended: ms(150),
        outcome,
    };
    RequestRecord {
        class,
        stream: 0,
        scheduled: ms(99),
        ended: ms(151),
        tries: smallvec![tried],
    }
}

fn answered(rows: Vec<ShardRow>, total: u32, missing: &[u32]) -> TryOutcome {
    TryOutcome::Answered(AnswerRecord {
        snapshot: SnapshotVersion(17),
        coverage: QueryCoverage {
            answered: rows.len() as u32,
            total,
            missing: missing.iter().copied().map(ShardNumber).collect(),
        },
        rows,
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

/// Two shards, one whole answer, one thin answer, one fetch and one truthful refusal.
fn clean_run() -> RunEvidence {
    let mut evidence = RunEvidence {
        classes: vec![
            class("tender-search", ClassScope::All, true),
            class("profile-fetch", ClassScope::One, false),
        ],
        indexes: vec!["tender".parse().expect("a name"); 2],
        ..RunEvidence::default()
    };
    let shards = vec!["tender-00".parse().expect("a name"); 2];
    let catalog = IndexCatalog {
        epoch: 1,
        versions: vec![VersionShards {
            version: SnapshotVersion(17),
            shards,
        }],
    };
    evidence
        .published
        .add(&evidence.indexes[0].clone(), &catalog);
    let whole = answered(vec![row("s1", 17, 0), row("s1", 17, 1)], 2, &[]);
    let thin = answered(vec![row("s2", 17, 1)], 2, &[0]);
    let fetched = answered(vec![row("f1", 17, 1)], 1, &[]);
    evidence.requests = vec![
        request(SEARCH, "s1", whole),
        request(SEARCH, "s2", thin),
        request(FETCH, "f1", fetched),
        request(SEARCH, "s3", refused(RunState::NotRun)),
    ];
    let runs = vec![
        run("s1", 0, ms(110)),
        run("s1", 1, ms(110)),
        // A hedge of an idempotent request may run too.
        run("s1", 1, ms(120)),
        run("s2", 1, ms(110)),
        run("f1", 1, ms(110)),
    ];
    evidence.executions.insert(upstream(), runs);
    evidence
}

fn set_outcome(evidence: &mut RunEvidence, place: usize, outcome: TryOutcome) {
    evidence.requests[place].tries[0].outcome = outcome;
}

fn add_run(evidence: &mut RunEvidence, record: ExecutionRecord) {
    evidence
        .executions
        .entry(upstream())
        .or_default()
        .push(record);
}

#[googletest::test]
fn a_clean_run_has_no_violation() {
    let verdict = judge(&clean_run());
    expect_that!(
        verdict.counts,
        eq(ViolationCounts::default()),
        "{:?}",
        verdict.samples
    );
}

type Tampering = fn(&mut RunEvidence);

#[googletest::test]
fn each_violation_is_found() {
    let none = ViolationCounts::default();
    let mixed = ViolationCounts {
        mixed_versions: 1,
        ..none
    };
    let coverage = ViolationCounts {
        false_coverage: 1,
        ..none
    };
    let doubled = ViolationCounts {
        doubled_runs: 1,
        ..none
    };
    let ran = ViolationCounts {
        not_run_but_ran: 1,
        ..none
    };
    let cut = ViolationCounts {
        cut_requests: 1,
        ..none
    };
    let late = ViolationCounts {
        late_work_to_leaving: 1,
        ..none
    };
    let foreign = ViolationCounts {
        foreign_answers: 1,
        ..none
    };
    let cases: [(&str, Tampering, ViolationCounts); 14] = [
        (
            "a row of another version",
            |run| {
                let rows = vec![row("s1", 17, 0), row("s1", 16, 1)];
                set_outcome(run, 0, answered(rows, 2, &[]));
            },
            mixed,
        ),
        (
            "a thin answer that claims to be whole",
            |run| {
                set_outcome(run, 0, answered(vec![row("s1", 17, 0)], 1, &[]));
            },
            coverage,
        ),
        (
            "a missing shard that is not named",
            |run| {
                set_outcome(run, 0, answered(vec![row("s1", 17, 0)], 2, &[]));
            },
            coverage,
        ),
        (
            "the rows of one shard twice",
            |run| {
                let rows = vec![row("s1", 17, 0), row("s1", 17, 0)];
                set_outcome(run, 0, answered(rows, 2, &[]));
            },
            coverage,
        ),
        (
            "a snapshot that was never published",
            |run| {
                run.published = super::PublishedShards::default();
                run.requests.truncate(1);
            },
            coverage,
        ),
        (
            "a fetch that ran twice",
            |evidence| {
                add_run(evidence, run("f1", 1, ms(130)));
            },
            doubled,
        ),
        (
            "a fetch that ran again under a new try",
            |evidence| {
                let mut again = evidence.requests[2].tries[0].clone();
                again.selection = SelectionHash::new("f1-again");
                evidence.requests[2].tries.push(again);
                set_outcome(evidence, 2, TryOutcome::Unsent);
                evidence.requests[2].tries[1].outcome = refused(RunState::Unknown);
                add_run(evidence, run("f1-again", 1, ms(130)));
            },
            doubled,
        ),
        (
            "a refusal that ran",
            |evidence| {
                add_run(evidence, run("s3", 0, ms(120)));
            },
            ran,
        ),
        (
            "a refusal that ran afterwards",
            |evidence| {
                add_run(evidence, run("s3", 0, ms(900)));
            },
            ran,
        ),
        (
            "a refusal that ran, whose resend came later",
            |evidence| {
                let mut again = evidence.requests[3].clone();
                again.tries[0].sent = ms(400);
                again.tries[0].outcome = refused(RunState::Unknown);
                evidence.requests.push(again);
                add_run(evidence, run("s3", 0, ms(120)));
            },
            ran,
        ),
        (
            "a broken connection",
            |run| set_outcome(run, 0, TryOutcome::Broken),
            cut,
        ),
        (
            "no answer at all",
            |run| set_outcome(run, 0, TryOutcome::TimedOut),
            cut,
        ),
        (
            "work long after the sign",
            |evidence| {
                evidence.leaving.insert(upstream(), ms(200));
                add_run(evidence, run("s2", 0, ms(5_201)));
            },
            late,
        ),
        (
            "the rows of another request",
            |run| {
                let rows = vec![row("s1", 17, 0), row("s2", 17, 1)];
                set_outcome(run, 0, answered(rows, 2, &[]));
            },
            foreign,
        ),
    ];
    for (name, tamper, expected) in cases {
        let mut evidence = clean_run();
        tamper(&mut evidence);
        let verdict = judge(&evidence);
        expect_that!(
            verdict.counts,
            eq(expected),
            "{name}: {:?}",
            verdict.samples
        );
        expect_that!(verdict.samples.len(), eq(1), "{name}");
    }
}

#[googletest::test]
fn what_the_experiment_breaks_is_no_violation() {
    let cases: [(&str, Tampering); 3] = [
        ("a connection to a killed VM", |run| {
            set_outcome(run, 0, TryOutcome::Broken);
            let (from, until) = (ms(120), ms(500));
            run.outages.push(VmOutage {
                vm: vm(),
                from,
                until,
            });
        }),
        ("a refusal whose resend ran", |evidence| {
            let mut again = evidence.requests[3].clone();
            again.tries[0].sent = ms(400);
            again.tries[0].outcome = refused(RunState::Unknown);
            evidence.requests.push(again);
            add_run(evidence, run("s3", 0, ms(420)));
        }),
        ("work soon after the sign", |evidence| {
            evidence.leaving.insert(upstream(), ms(200));
            add_run(evidence, run("s2", 0, ms(5_200)));
        }),
    ];
    for (name, tamper) in cases {
        let mut evidence = clean_run();
        tamper(&mut evidence);
        let verdict = judge(&evidence);
        expect_that!(
            verdict.counts.total(),
            eq(0),
            "{name}: {:?}",
            verdict.samples
        );
    }
}
