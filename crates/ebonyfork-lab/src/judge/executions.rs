//! Checks across records: what upstreams ran against what callers were told.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::journal::{ExecutionRecord, SelectionHash};
use crate::judge::evidence::RunEvidence;
use crate::judge::{RunVerdict, ViolationKind};
use crate::load::{TryOutcome, TryRecord};

/// How long after its first sign an upstream may still get work.
pub(super) const LEAVING_GRACE: Duration = Duration::from_secs(5);

type RunsBySelection<'a> = FxHashMap<SelectionHash, SmallVec<[&'a ExecutionRecord; 4]>>;
type TriesBySelection<'a> = FxHashMap<SelectionHash, SmallVec<[&'a TryRecord; 1]>>;

/// Checks that non-idempotent requests ran at most once and that what was refused as not run did not run.
pub(super) fn check_executions(evidence: &RunEvidence, verdict: &mut RunVerdict) {
    let mut runs = RunsBySelection::default();
    let records = evidence.executions.values().flatten();
    for record in records.filter(|record| record.started.is_some()) {
        runs.entry(record.selection).or_default().push(record);
    }
    check_doubled(evidence, &runs, verdict);
    check_not_run(evidence, &runs, verdict);
}

fn check_doubled(evidence: &RunEvidence, runs: &RunsBySelection<'_>, verdict: &mut RunVerdict) {
    for request in &evidence.requests {
        if evidence.classes[request.class].idempotent {
            continue;
        }
        let mut selections: SmallVec<[SelectionHash; 2]> = SmallVec::new();
        for tried in &request.tries {
            if !selections.contains(&tried.selection) {
                selections.push(tried.selection);
            }
        }
        let found = selections
            .iter()
            .filter_map(|selection| runs.get(selection));
        let count: usize = found.map(SmallVec::len).sum();
        if count > 1 {
            let text = format!("{count} runs of {selections:?}");
            verdict.add(ViolationKind::DoubledRuns, text);
        }
    }
}

fn check_not_run(evidence: &RunEvidence, runs: &RunsBySelection<'_>, verdict: &mut RunVerdict) {
    let mut tries = TriesBySelection::default();
    for tried in evidence.requests.iter().flat_map(|request| &request.tries) {
        tries.entry(tried.selection).or_default().push(tried);
    }
    for (selection, tries) in &tries {
        let Some(runs) = runs.get(selection) else {
            continue;
        };
        for refused in tries.iter().filter(|tried| tried.is_not_run()) {
            let unexplained = runs.iter().find(|run| !is_explained(run, refused, tries));
            if let Some(run) = unexplained {
                let text = format!("refused at {:?}: {run:?}", refused.ended);
                verdict.add(ViolationKind::NotRunButRan, text);
            }
        }
    }
}

/// Tells whether a run may belong to another try of the same selection than the refused one.
fn is_explained(run: &ExecutionRecord, refused: &TryRecord, tries: &[&TryRecord]) -> bool {
    let Some(started) = run.started else {
        return true;
    };
    if started < refused.sent {
        return true;
    }
    let may_have_run =
        |tried: &TryRecord| !tried.is_not_run() && tried.outcome != TryOutcome::Unsent;
    tries
        .iter()
        .any(|tried| may_have_run(tried) && tried.sent <= started)
}

/// Checks that leaving upstreams get no new work after a few seconds.
pub(super) fn check_leaving(evidence: &RunEvidence, verdict: &mut RunVerdict) {
    for (upstream, shown) in &evidence.leaving {
        let limit = *shown + LEAVING_GRACE;
        let records = evidence.executions.get(upstream).into_iter().flatten();
        for record in records.filter(|record| record.arrived > limit) {
            let late = record.arrived.saturating_sub(*shown);
            let text = format!("{upstream} got {} {late:?} after its sign", record.attempt);
            verdict.add(ViolationKind::LateWorkToLeaving, text);
        }
    }
}
