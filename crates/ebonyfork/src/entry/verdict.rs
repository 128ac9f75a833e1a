//! Determines when a query is complete and which outcome the caller receives.
//!
//! A query completes as soon as no pending attempt can bring it to its target. A refusal states truthfully whether any
//! part of the query ran.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};

use super::gather::ShardGather;
use super::run::{QueryProgress, QueryRun};
use super::terms::QueryParams;
use super::tools::SharedState;
use crate::declaration::TargetPriority;
use crate::ident::{QueryId, RunState};
use crate::query::{QueryAnswer, QueryOutcome, QueryRefusal, RefusalCode};
use crate::relay::RefusalReason;

/// Number of broken upstream connections at which a query is given up.
pub(super) const BROKEN_UPSTREAM_LIMIT: u8 = 2;

/// How a query completes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryCompletion {
    /// The query is answered with the rows of all shards, or without those of the missing shards.
    Answer,
    /// The query is refused because its deadline has passed and too few shards have answered.
    Deadline,
    /// The query is refused because no pending attempt can bring it to its target, because it broke too many upstreams,
    /// or because the request is quarantined.
    TargetUnreachable,
}

impl QueryCompletion {
    /// Returns how the query completes, or `None` while it continues.
    pub(super) fn evaluate(
        params: &QueryParams,
        gather: &ShardGather,
        progress: QueryProgress,
        now: Duration,
    ) -> Option<Self> {
        if gather.answered_shard_count() == gather.shard_count() {
            return Some(Self::Answer);
        }
        let is_quarantined = progress.last_refusal_reason == Some(RefusalReason::Quarantined);
        if progress.broken_upstream_count >= BROKEN_UPSTREAM_LIMIT || is_quarantined {
            return Some(Self::TargetUnreachable);
        }
        let answered_share =
            f64::from(gather.answered_shard_count()) / f64::from(gather.shard_count());
        let has_enough_shards = match params.priority {
            TargetPriority::LatencyFirst => gather.answered_shard_count() > 0,
            TargetPriority::CoverageFirst => answered_share >= params.coverage_target,
        };
        if gather.open_shard_count() == 0 {
            return Some(if has_enough_shards {
                Self::Answer
            } else {
                Self::TargetUnreachable
            });
        }
        let is_coverage_first = params.priority == TargetPriority::CoverageFirst;
        if is_coverage_first && gather.reachable_coverage() < params.coverage_target {
            return Some(Self::TargetUnreachable);
        }
        if !is_coverage_first && has_enough_shards && now >= params.answer_deadline {
            return Some(Self::Answer);
        }
        if now >= params.final_deadline {
            return Some(if has_enough_shards {
                Self::Answer
            } else {
                Self::Deadline
            });
        }
        None
    }

    /// Builds the outcome for the caller.
    pub(super) fn into_outcome(
        self,
        run: &mut QueryRun,
        shared: &mut SharedState,
        now: Duration,
    ) -> QueryOutcome {
        if self == Self::Answer {
            return Ok(build_answer(run, shared));
        }
        let run_state = run_state(run.progress);
        let refusal_code = self.refusal_code(run.progress, run_state);
        let coverage = run.gather.coverage();
        let message = match self {
            Self::Deadline => format_compact!("{coverage} shards answered in time"),
            _ => format_compact!("{coverage} shards answered, and no other replica can bring more"),
        };
        let refusal = QueryRefusal::new(refusal_code, run_state, message);
        // A quarantined request would be refused again, and a repeated idempotency key gets the outcome that is kept,
        // so neither refusal carries a retry-after.
        let is_retryable = run.params.idempotent || run_state == RunState::NotRun;
        if is_retryable && refusal_code != RefusalCode::Quarantined {
            let retry_after = shared.retry_after(run, now);
            return Err(refusal.with_retry_after(retry_after));
        }
        Err(refusal)
    }

    fn refusal_code(self, progress: QueryProgress, run_state: RunState) -> RefusalCode {
        if progress.last_refusal_reason == Some(RefusalReason::Quarantined) {
            return RefusalCode::Quarantined;
        }
        if self == Self::Deadline {
            return RefusalCode::Deadline;
        }
        if run_state != RunState::NotRun {
            return RefusalCode::UpstreamFailed;
        }
        match progress.last_refusal_reason {
            Some(RefusalReason::Shed | RefusalReason::QueueFull) => RefusalCode::Overloaded,
            Some(RefusalReason::Expired) => RefusalCode::Deadline,
            _ => RefusalCode::NoUpstream,
        }
    }
}

/// Returns whether any part of a query ran.
fn run_state(progress: QueryProgress) -> RunState {
    if progress.has_run {
        RunState::Ran
    } else if progress.may_have_run {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}

/// Returns the id by which the caller knows a query: its own id if it sent one, else the generated one.
pub(super) fn query_id(run: &QueryRun, shared: &SharedState) -> CompactString {
    let generate_id = || {
        let id = QueryId {
            session: shared.session,
            number: run.query_number,
        };
        id.to_compact_string()
    };
    run.request.caller_id.clone().unwrap_or_else(generate_id)
}

fn build_answer(run: &mut QueryRun, shared: &SharedState) -> QueryAnswer {
    QueryAnswer {
        query: query_id(run, shared),
        snapshot: run.gather.version(),
        coverage: run.gather.coverage(),
        bodies: run.gather.take_bodies(),
    }
}
