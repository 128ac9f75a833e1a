//! The final verdict on a query: when it is over, and what the caller is told.
//!
//! A query that nothing pending can bring to its target gets its final answer at once. A refusal says truthfully
//! whether any part ran.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};

use super::gather::ShardGather;
use super::run::{QueryRun, RunTrace};
use super::terms::QueryTerms;
use super::tools::EntryTools;
use crate::declaration::TargetPriority;
use crate::ident::{QueryId, RunState};
use crate::query::{QueryAnswer, QueryOutcome, QueryRefusal, RefusalCode};
use crate::relay::RefusalReason;

/// Upstreams that one query may lose.
pub(super) const VICTIM_LIMIT: u8 = 2;

/// How a query ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalVerdict {
    /// With an answer, whole or thin.
    Answer,
    /// Its time is over and what is there is not enough.
    Deadline,
    /// Nothing that is pending can bring enough.
    Hopeless,
}

impl FinalVerdict {
    /// Judges a query; none while it goes on.
    pub(super) fn of(
        terms: &QueryTerms,
        gather: &ShardGather,
        trace: RunTrace,
        now: Duration,
    ) -> Option<Self> {
        if gather.answered() == gather.total() {
            return Some(Self::Answer);
        }
        let quarantined = trace.refusal == Some(RefusalReason::Quarantined);
        if trace.victims >= VICTIM_LIMIT || quarantined {
            return Some(Self::Hopeless);
        }
        let share = f64::from(gather.answered()) / f64::from(gather.total());
        let enough = match terms.priority {
            TargetPriority::LatencyFirst => gather.answered() > 0,
            TargetPriority::CoverageFirst => share >= terms.coverage,
        };
        if gather.open() == 0 {
            return Some(if enough { Self::Answer } else { Self::Hopeless });
        }
        let coverage_first = terms.priority == TargetPriority::CoverageFirst;
        if coverage_first && gather.reachable() < terms.coverage {
            return Some(Self::Hopeless);
        }
        if !coverage_first && enough && now >= terms.answer_by {
            return Some(Self::Answer);
        }
        if now >= terms.finish_by {
            return Some(if enough { Self::Answer } else { Self::Deadline });
        }
        None
    }

    /// Makes the outcome that the caller gets.
    pub(super) fn outcome(
        self,
        run: &mut QueryRun,
        tools: &mut EntryTools,
        now: Duration,
    ) -> QueryOutcome {
        if self == Self::Answer {
            return Ok(answer(run, tools));
        }
        let ran = run_state(run.trace);
        let code = self.code(run.trace, ran);
        let coverage = run.gather.coverage();
        let message = match self {
            Self::Deadline => format_compact!("{coverage} shards answered in time"),
            _ => format_compact!("{coverage} shards answered, and no other replica can bring more"),
        };
        let refusal = QueryRefusal::new(code, ran, message);
        // Sending a quarantined request again is of no use, nor a key whose outcome is kept.
        let again = run.terms.idempotent || ran == RunState::NotRun;
        if again && code != RefusalCode::Quarantined {
            let after = tools.retry_after(run, now);
            return Err(refusal.with_retry_after(after));
        }
        Err(refusal)
    }

    fn code(self, trace: RunTrace, ran: RunState) -> RefusalCode {
        if trace.refusal == Some(RefusalReason::Quarantined) {
            return RefusalCode::Quarantined;
        }
        if self == Self::Deadline {
            return RefusalCode::Deadline;
        }
        if ran != RunState::NotRun {
            return RefusalCode::UpstreamFailed;
        }
        match trace.refusal {
            Some(RefusalReason::Shed | RefusalReason::QueueFull) => RefusalCode::Overloaded,
            Some(RefusalReason::Expired) => RefusalCode::Deadline,
            _ => RefusalCode::NoUpstream,
        }
    }
}

fn run_state(trace: RunTrace) -> RunState {
    if trace.ran {
        RunState::Ran
    } else if trace.unknown {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}

/// The name by which the caller knows a query: its own, else the tier's.
pub(super) fn query_name(run: &QueryRun, tools: &EntryTools) -> CompactString {
    let own = || {
        let id = QueryId {
            session: tools.session,
            number: run.number,
        };
        id.to_compact_string()
    };
    run.request.caller_id.clone().unwrap_or_else(own)
}

fn answer(run: &mut QueryRun, tools: &EntryTools) -> QueryAnswer {
    QueryAnswer {
        query: query_name(run, tools),
        snapshot: run.gather.version(),
        coverage: run.gather.coverage(),
        bodies: run.gather.take_bodies(),
    }
}
