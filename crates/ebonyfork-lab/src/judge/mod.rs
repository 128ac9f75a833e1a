//! The judge: tells from the records of upstreams and callers what must never happen but did.
//!
//! It takes nothing from the tier's own reports. Each check is a function over the evidence; a test feeds each
//! violation once and shows that it is found.

mod answers;
mod evidence;
mod executions;

use std::fmt;

use serde::Serialize;

pub use evidence::{PublishedShards, RunEvidence, VmOutage};

/// Violations of which the text is kept; the rest are only counted.
const SAMPLE_LIMIT: usize = 20;

/// What must never happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ViolationKind {
    /// Rows of an answer reflect another version than it claims.
    MixedVersions,
    /// An answer's coverage is not what its rows cover of the published shards.
    FalseCoverage,
    /// A non-idempotent request ran more than once.
    DoubledRuns,
    /// A request that was refused as not run began to run.
    NotRunButRan,
    /// A request got no whole outcome from a VM that was neither killed nor frozen.
    CutRequests,
    /// An upstream got work long after it first showed that it was leaving.
    LateWorkToLeaving,
    /// An answer holds rows of another request.
    ForeignAnswers,
}

/// Counts per kind of violation; all must be zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// See [`ViolationKind::MixedVersions`].
    pub mixed_versions: u64,
    /// See [`ViolationKind::FalseCoverage`].
    pub false_coverage: u64,
    /// See [`ViolationKind::DoubledRuns`].
    pub doubled_runs: u64,
    /// See [`ViolationKind::NotRunButRan`].
    pub not_run_but_ran: u64,
    /// See [`ViolationKind::CutRequests`].
    pub cut_requests: u64,
    /// See [`ViolationKind::LateWorkToLeaving`].
    pub late_work_to_leaving: u64,
    /// See [`ViolationKind::ForeignAnswers`].
    pub foreign_answers: u64,
}

impl ViolationCounts {
    /// All violations together.
    pub fn total(&self) -> u64 {
        self.mixed_versions
            + self.false_coverage
            + self.doubled_runs
            + self.not_run_but_ran
            + self.cut_requests
            + self.late_work_to_leaving
            + self.foreign_answers
    }

    fn count(&mut self, kind: ViolationKind) -> &mut u64 {
        match kind {
            ViolationKind::MixedVersions => &mut self.mixed_versions,
            ViolationKind::FalseCoverage => &mut self.false_coverage,
            ViolationKind::DoubledRuns => &mut self.doubled_runs,
            ViolationKind::NotRunButRan => &mut self.not_run_but_ran,
            ViolationKind::CutRequests => &mut self.cut_requests,
            ViolationKind::LateWorkToLeaving => &mut self.late_work_to_leaving,
            ViolationKind::ForeignAnswers => &mut self.foreign_answers,
        }
    }
}

/// One violation in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViolationSample {
    /// What happened.
    pub kind: ViolationKind,
    /// Where, and what was expected.
    pub text: String,
}

impl fmt::Display for ViolationSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.kind, self.text)
    }
}

/// The verdict on one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunVerdict {
    /// Counts.
    pub counts: ViolationCounts,
    /// The first few violations.
    pub samples: Vec<ViolationSample>,
}

impl RunVerdict {
    fn add(&mut self, kind: ViolationKind, text: impl fmt::Display) {
        *self.counts.count(kind) += 1;
        if self.samples.len() < SAMPLE_LIMIT {
            let text = text.to_string();
            self.samples.push(ViolationSample { kind, text });
        }
    }
}

/// Judges a run.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::judge::{RunEvidence, judge};
///
/// assert_eq!(judge(&RunEvidence::default()).counts.total(), 0);
/// ```
pub fn judge(evidence: &RunEvidence) -> RunVerdict {
    let mut verdict = RunVerdict::default();
    answers::check_answers(evidence, &mut verdict);
    executions::check_executions(evidence, &mut verdict);
    executions::check_leaving(evidence, &mut verdict);
    verdict
}

#[cfg(test)]
#[path = "judge_tests.rs"]
mod tests;
