//! Checks of single requests: what the caller got against what was published.

use ebonyfork::declaration::ClassScope;
use ebonyfork::ident::ShardNumber;

use crate::judge::evidence::RunEvidence;
use crate::judge::{RunVerdict, ViolationKind};
use crate::load::{AnswerRecord, RequestRecord, TryOutcome, TryRecord};

/// Checks every try of every request.
pub(super) fn check_answers(evidence: &RunEvidence, verdict: &mut RunVerdict) {
    for request in &evidence.requests {
        for tried in &request.tries {
            if let TryOutcome::Answered(answer) = &tried.outcome {
                check_owner(evidence, request, tried, answer, verdict);
                check_snapshot(request, answer, verdict);
                check_coverage(evidence, request, answer, verdict);
            }
            if tried.is_cut() && !evidence.was_out(tried) {
                let text = format!(
                    "{:?} sent at {:?} to {:?}",
                    tried.outcome, tried.sent, tried.vm
                );
                verdict.add(ViolationKind::CutRequests, text);
            }
        }
    }
}

fn check_owner(
    evidence: &RunEvidence,
    request: &RequestRecord,
    tried: &TryRecord,
    answer: &AnswerRecord,
    verdict: &mut RunVerdict,
) {
    let index = &evidence.indexes[request.class];
    let foreign = answer
        .rows
        .iter()
        .find(|row| row.selection != tried.selection || row.index != *index);
    if let Some(row) = foreign {
        let text = format!("asked {} of {index}, got {row}", tried.selection);
        verdict.add(ViolationKind::ForeignAnswers, text);
    }
}

fn check_snapshot(request: &RequestRecord, answer: &AnswerRecord, verdict: &mut RunVerdict) {
    let other = answer
        .rows
        .iter()
        .find(|row| row.version != answer.snapshot);
    if let Some(row) = other {
        let snapshot = answer.snapshot;
        let text = format!(
            "at {:?}: snapshot {snapshot} with row {row}",
            request.scheduled
        );
        verdict.add(ViolationKind::MixedVersions, text);
    }
}

fn check_coverage(
    evidence: &RunEvidence,
    request: &RequestRecord,
    answer: &AnswerRecord,
    verdict: &mut RunVerdict,
) {
    let index = &evidence.indexes[request.class];
    let scope = evidence.classes[request.class].scope;
    let published = evidence.published.count(index, answer.snapshot);
    if let Err(error) = compare_coverage(answer, scope, published) {
        let text = format!("at {:?}: {error}", request.scheduled);
        verdict.add(ViolationKind::FalseCoverage, text);
    }
}

/// Compares the claimed coverage with the rows and the published shards.
fn compare_coverage(
    answer: &AnswerRecord,
    scope: ClassScope,
    published: Option<u32>,
) -> Result<(), String> {
    let claimed = &answer.coverage;
    let Some(published) = published else {
        return Err(format!("snapshot {} was never published", answer.snapshot));
    };
    let needed = match scope {
        ClassScope::All => published,
        ClassScope::One => 1,
    };
    if claimed.total != needed {
        return Err(format!("claims {claimed}, but {needed} shards are needed"));
    }
    let mut shards: Vec<ShardNumber> = answer.rows.iter().map(|row| row.shard).collect();
    shards.extend(&claimed.missing);
    shards.sort_unstable();
    let rows = answer.rows.len() as u32;
    if claimed.answered != rows {
        return Err(format!("claims {claimed}, but {rows} shards sent rows"));
    }
    let distinct = shards.windows(2).all(|pair| pair[0] != pair[1]);
    let within = shards.last().is_none_or(|last| last.0 < published);
    if !distinct || !within || shards.len() as u32 != needed {
        return Err(format!(
            "claims {claimed}, but rows and missing name {shards:?}"
        ));
    }
    Ok(())
}
