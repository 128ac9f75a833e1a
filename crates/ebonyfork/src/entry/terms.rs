//! The terms of one query: its class target, tightened by the caller's deadline, in times of the entry's clock.

use std::time::Duration;

use cranelift_entity::entity_impl;

use super::route::RouteTable;
use super::tools::PlannedAttempt;
use crate::declaration::{ClassScope, ClassTarget, TargetPriority};
use crate::query::QueryRequest;

/// Dense id of a class of work.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(u32);
entity_impl!(ClassId, "class");

/// Part of a time limit that is kept for the way back to the caller: one in this many.
const MARGIN_SHARE: u32 = 20;
/// Most that is kept for the way back.
const MARGIN_MOST: Duration = Duration::from_millis(5);

/// At most one shard in this many does not count for admission because it stands out.
const SPARE_SHARE: usize = 4;
/// A shard stands out if it is expected to take this many times the class's latency.
const SPARE_FROM: u32 = 2;

/// Takes the way back to the caller off a limit that the caller sees.
fn less_margin(limit: Duration) -> Duration {
    limit.saturating_sub((limit / MARGIN_SHARE).min(MARGIN_MOST))
}

impl ClassScope {
    /// The numbers of the shards that a query needs.
    pub(super) fn needed(self, request: &QueryRequest, route: &RouteTable) -> std::ops::Range<u32> {
        let total = route.shards.len() as u32;
        match self {
            Self::All => 0..total,
            Self::One if total == 0 => 0..0,
            Self::One => {
                let record = request.record.as_deref().unwrap_or_default();
                let hash = xxhash_rust::xxh3::xxh3_64(record.as_bytes());
                let shard = (hash % u64::from(total)) as u32;
                shard..shard + 1
            }
        }
    }
}

/// What a query is held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryTerms {
    /// Its class.
    pub class: ClassId,
    /// Which shards it needs.
    pub scope: ClassScope,
    /// Which part of the target gives way.
    pub priority: TargetPriority,
    /// Latency of the class, or the caller's deadline if that is shorter.
    pub latency: Duration,
    /// The percentile that the latency is stated at, in per cent.
    pub percentile: f64,
    /// Target coverage, 0 to 1.
    pub coverage: f64,
    /// Whether its attempts may run more than once.
    pub idempotent: bool,
    /// When it came.
    pub started: Duration,
    /// When a class that puts latency first answers with what is there.
    pub answer_by: Duration,
    /// When it is over, whatever is there.
    pub finish_by: Duration,
}

impl QueryTerms {
    /// Works out the terms of a query that came at `now`.
    pub fn new(
        class: ClassId,
        target: &ClassTarget,
        deadline: Option<Duration>,
        now: Duration,
    ) -> Self {
        let bound = deadline.map_or(target.bound, |d| d.min(target.bound));
        let latency = target.latency.min(bound);
        Self {
            class,
            scope: target.scope,
            priority: target.priority,
            latency,
            percentile: target.percentile,
            coverage: target.coverage,
            idempotent: target.idempotent,
            started: now,
            answer_by: now + less_margin(latency),
            finish_by: now + less_margin(bound),
        }
    }

    /// All the time that the query has.
    pub fn span(&self) -> Duration {
        self.finish_by.saturating_sub(self.started)
    }

    /// Predicts wait and work of the slowest shard that counts, out of the routes chosen for a query of `total` shards.
    ///
    /// A class whose coverage gives way is answered when the shards are there that its coverage target needs; one whose
    /// latency gives way waits for all. A few shards that stand out don't count, so that one overloaded service does not
    /// have all queries refused.
    pub(super) fn predict(&self, total: u32, plan: &mut [PlannedAttempt]) -> (Duration, Duration) {
        plan.sort_unstable_by_key(|planned| planned.choice.expected);
        let needed = match self.priority {
            TargetPriority::LatencyFirst => (f64::from(total) * self.coverage).ceil() as usize,
            TargetPriority::CoverageFirst => plan.len(),
        };
        let mut last = needed.clamp(1, plan.len().max(1)) - 1;
        for _ in 0..total as usize / SPARE_SHARE {
            let Some(planned) = plan.get(last) else {
                break;
            };
            if last == 0 || planned.choice.expected < self.latency * SPARE_FROM {
                break;
            }
            last -= 1;
        }
        let planned = plan.get(last);
        planned.map_or((Duration::ZERO, Duration::ZERO), |planned| {
            (planned.choice.wait, planned.choice.work())
        })
    }

    /// Until when rows are of use, for the upstreams' deadline.
    pub fn useful_until(&self) -> Duration {
        match (self.priority, self.scope) {
            (TargetPriority::LatencyFirst, ClassScope::All) => self.answer_by,
            _ => self.finish_by,
        }
    }
}
