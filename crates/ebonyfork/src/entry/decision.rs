//! What an entry decides: events for the log and the metrics, as values.

use std::fmt;

use std::time::Duration;

use compact_str::CompactString;

use super::choice::ChoiceReason;
use crate::ident::{ClassName, ShardNumber, SnapshotVersion, UpstreamAddress, VmAddress};
use crate::query::{QueryCoverage, QueryOutcome, RefusalCode};
use crate::relay::{AttemptPurpose, ShardVerdict};

/// One routing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecision {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The shard.
    pub shard: ShardNumber,
    /// The upstream chosen.
    pub upstream: UpstreamAddress,
    /// The relay that it goes through.
    pub relay: VmAddress,
    /// Whether that is the upstream's standby relay.
    pub standby: bool,
    /// Why the attempt is made.
    pub purpose: AttemptPurpose,
    /// Why this upstream.
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
        let role = if self.standby { "standby" } else { "primary" };
        write!(
            f,
            "query=q{} attempt=a{} shard={} upstream={} relay={} role={role} purpose={purpose} reason={}",
            self.query, self.attempt, self.shard, self.upstream, self.relay, self.reason
        )
    }
}

/// An attempt came back without rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetbackNote {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// Number of the attempt within the query.
    pub attempt: u32,
    /// The shard.
    pub shard: ShardNumber,
    /// What became of the attempt.
    pub verdict: ShardVerdict,
}

/// A query is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishNote {
    /// Number of the query within the entry's session.
    pub query: u64,
    /// The caller's own name for it.
    pub caller_id: Option<CompactString>,
    /// Its class.
    pub class: ClassName,
    /// Snapshot and coverage of the answer, or why there is none.
    pub result: Result<(SnapshotVersion, QueryCoverage), RefusalCode>,
    /// How long it took.
    pub took: Duration,
}

impl FinishNote {
    /// Notes the outcome of a query.
    pub(super) fn new(
        query: u64,
        caller_id: Option<CompactString>,
        class: ClassName,
        outcome: &QueryOutcome,
        took: Duration,
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
            took,
        }
    }
}

/// One decision of an entry, for the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryDecision {
    /// An attempt was routed.
    Route(RouteDecision),
    /// An attempt came back without rows.
    Setback(SetbackNote),
    /// A query is over.
    Finish(FinishNote),
}

impl fmt::Display for EntryDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(route) => write!(f, "route {route}"),
            Self::Setback(note) => write!(f, "setback {note}"),
            Self::Finish(note) => write!(f, "finish {note}"),
        }
    }
}

impl fmt::Display for SetbackNote {
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

impl fmt::Display for FinishNote {
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
        write!(f, " took_us={}", self.took.as_micros())
    }
}

/// What an entry's decisions on one class have come to, for the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecisionTally {
    /// First attempts.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Further attempts after one that brought no rows.
    pub retries: u64,
    /// Hedges and retries for which the budget held nothing.
    pub denied: u64,
    /// Queries planned again at another version.
    pub replans: u64,
}
