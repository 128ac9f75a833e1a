//! Decisions of the entry as values, for the decision log and the metrics.

use std::fmt;

use std::time::Duration;

use compact_str::CompactString;

use super::choice::ChoiceReason;
use crate::ident::{ClassName, ShardNumber, SnapshotVersion, UpstreamAddress, VmAddress};
use crate::query::{QueryCoverage, QueryOutcome, RefusalCode};
use crate::relay::{AttemptPurpose, ShardVerdict};

/// The upstream and relay chosen for one attempt, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecision {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// Number of the requested shard.
    pub shard: ShardNumber,
    /// Address of the chosen upstream.
    pub upstream: UpstreamAddress,
    /// VM of the relay that forwards the attempt.
    pub relay: VmAddress,
    /// Whether that relay is the upstream's standby rather than its primary.
    pub uses_standby: bool,
    /// Why the attempt is made.
    pub purpose: AttemptPurpose,
    /// Why this upstream was chosen.
    pub reason: ChoiceReason,
}

impl fmt::Display for RouteDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let purpose = match self.purpose {
            AttemptPurpose::First => "first",
            AttemptPurpose::Hedge => "hedge",
            AttemptPurpose::Retry => "retry",
            AttemptPurpose::AfterLoss => "after-loss",
        };
        let role = if self.uses_standby {
            "standby"
        } else {
            "primary"
        };
        write!(
            f,
            "query=q{} attempt=a{} shard={} upstream={} relay={} role={role} purpose={purpose} reason={}",
            self.query, self.attempt, self.shard, self.upstream, self.relay, self.reason
        )
    }
}

/// The failure of an attempt to return rows, for the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// Number of the requested shard.
    pub shard: ShardNumber,
    /// Outcome of the attempt.
    pub verdict: ShardVerdict,
}

/// The result of a query, for the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedQuery {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// The caller's own id of the query, if it sent one.
    pub caller_id: Option<CompactString>,
    /// The query's class.
    pub class: ClassName,
    /// Snapshot and coverage of the answer, or the code of the refusal.
    pub result: Result<(SnapshotVersion, QueryCoverage), RefusalCode>,
    /// Time from the start of the query to its outcome.
    pub duration: Duration,
}

impl FinishedQuery {
    /// Creates the record of a query from its outcome.
    pub(super) fn new(
        query: u64,
        caller_id: Option<CompactString>,
        class: ClassName,
        outcome: &QueryOutcome,
        duration: Duration,
    ) -> Self {
        let result = match outcome {
            Ok(answer) => Ok((answer.snapshot, answer.coverage.clone())),
            Err(refusal) => Err(refusal.code),
        };
        Self {
            query,
            caller_id,
            class,
            result,
            duration,
        }
    }
}

/// What the entry decided or observed, as one line of the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryDecision {
    /// An attempt was routed.
    Route(RouteDecision),
    /// An attempt returned no rows.
    FailedAttempt(FailedAttempt),
    /// A query was completed.
    Finish(FinishedQuery),
}

impl fmt::Display for EntryDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(decision) => write!(f, "route {decision}"),
            Self::FailedAttempt(decision) => write!(f, "setback {decision}"),
            Self::Finish(decision) => write!(f, "finish {decision}"),
        }
    }
}

impl fmt::Display for FailedAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (query, attempt, shard) = (self.query, self.attempt, self.shard);
        write!(
            f,
            "query=q{query} attempt=a{attempt} shard={shard} verdict="
        )?;
        match &self.verdict {
            ShardVerdict::Rows { version, .. } => write!(f, "rows-at-{version}"),
            ShardVerdict::VersionGone { newest } => write!(f, "version-gone newest={newest}"),
            ShardVerdict::Moved { service } => write!(f, "moved service={service}"),
            ShardVerdict::NotRun(reason) => write!(f, "not-run reason={reason:?}"),
            ShardVerdict::Failed { ran, reason } => {
                write!(f, "failed ran={ran} reason={reason:?}")
            }
        }
    }
}

impl fmt::Display for FinishedQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "query=q{} class={}", self.query, self.class)?;
        if let Some(id) = &self.caller_id {
            write!(f, " id={id}")?;
        }
        match &self.result {
            Ok((snapshot, coverage)) => {
                write!(f, " outcome=answer snapshot={snapshot} coverage={coverage}")?;
                for shard in &coverage.missing {
                    write!(f, " missing={shard}")?;
                }
            }
            Err(code) => write!(f, " outcome={code}")?,
        }
        write!(f, " took_us={}", self.duration.as_micros())
    }
}

/// Numbers of decisions made for one class, for the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Number of first attempts at a shard.
    pub first_attempts: u64,
    /// Number of hedges.
    pub hedges: u64,
    /// Number of attempts made after another one returned no rows.
    pub retries: u64,
    /// Number of hedges and retries that the attempt budget did not allow.
    pub denied_attempts: u64,
    /// Number of queries planned again at another version.
    pub replans: u64,
}
