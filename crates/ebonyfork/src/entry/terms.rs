//! The effective parameters of one query: its class target, tightened by the caller's deadline, with times on the
//! entry's clock.

use std::time::Duration;

use cranelift_entity::entity_impl;

use super::route::RouteTable;
use super::tools::PlannedAttempt;
use crate::declaration::{ClassScope, ClassTarget, TargetPriority};
use crate::query::QueryRequest;

/// Dense id of a class.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(u32);
entity_impl!(ClassId, "class");

/// A time limit divided by this number is the part of it that is reserved for returning the answer to the caller.
const RETURN_MARGIN_DIVISOR: u32 = 20;
/// Upper bound of the time reserved for returning the answer.
const MAX_RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Admission may ignore at most as many outlier shards as the shard count divided by this number.
const OUTLIER_SHARD_DIVISOR: usize = 4;
/// A shard is an outlier if its expected time is at least the latency target multiplied by this number.
const OUTLIER_LATENCY_FACTOR: u32 = 2;

/// Subtracts the time reserved for returning the answer from a limit that the caller observes.
fn subtract_return_margin(time_limit: Duration) -> Duration {
    time_limit.saturating_sub((time_limit / RETURN_MARGIN_DIVISOR).min(MAX_RETURN_MARGIN))
}

impl ClassScope {
    /// Returns the range of shard numbers that a query needs.
    pub(super) fn required_shards(
        self,
        request: &QueryRequest,
        route_table: &RouteTable,
    ) -> std::ops::Range<u32> {
        let shard_count = route_table.shards.len() as u32;
        match self {
            Self::All => 0..shard_count,
            Self::One if shard_count == 0 => 0..0,
            Self::One => {
                let record = request.record.as_deref().unwrap_or_default();
                let record_hash = xxhash_rust::xxh3::xxh3_64(record.as_bytes());
                let shard = (record_hash % u64::from(shard_count)) as u32;
                shard..shard + 1
            }
        }
    }
}

/// Parameters of one query: the target of its class, limited by the caller's deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryParams {
    /// The query's class.
    pub class: ClassId,
    /// Whether the query needs all shards or a single one.
    pub scope: ClassScope,
    /// Whether latency or coverage takes precedence when the target can't be met in full.
    pub priority: TargetPriority,
    /// Latency target of the class, or the caller's deadline if that is shorter.
    pub latency_target: Duration,
    /// Percentile of queries that must meet the latency target, in per cent.
    pub latency_percentile: f64,
    /// Share of the shards that must answer for the target to be met, from 0 to 1.
    pub coverage_target: f64,
    /// Whether an attempt may be run more than once.
    pub idempotent: bool,
    /// When the query was accepted.
    pub started_at: Duration,
    /// When a query of a latency-first class is answered with the rows received so far.
    pub answer_deadline: Duration,
    /// When the query completes regardless of what has been received.
    pub final_deadline: Duration,
}

impl QueryParams {
    /// Derives the parameters of a query that arrived at `now`.
    pub fn new(
        class: ClassId,
        target: &ClassTarget,
        deadline: Option<Duration>,
        now: Duration,
    ) -> Self {
        let time_bound = deadline.map_or(target.bound, |deadline| deadline.min(target.bound));
        let latency_target = target.latency.min(time_bound);
        Self {
            class,
            scope: target.scope,
            priority: target.priority,
            latency_target,
            latency_percentile: target.percentile,
            coverage_target: target.coverage,
            idempotent: target.idempotent,
            started_at: now,
            answer_deadline: now + subtract_return_margin(latency_target),
            final_deadline: now + subtract_return_margin(time_bound),
        }
    }

    /// Returns the time between the start of the query and its final deadline.
    pub fn total_time(&self) -> Duration {
        self.final_deadline.saturating_sub(self.started_at)
    }

    /// Predicts the queue wait and the unloaded time of the slowest shard that counts, from the routes chosen for a
    /// query of `shard_count` shards.
    ///
    /// A latency-first class answers once the shards that its coverage target needs have answered, so only those count;
    /// a coverage-first class waits for all shards. Up to a quarter of the shards is ignored if they are outliers, so
    /// that one overloaded service does not cause all queries to be refused.
    pub(super) fn predict_times(
        &self,
        shard_count: u32,
        planned_attempts: &mut [PlannedAttempt],
    ) -> (Duration, Duration) {
        planned_attempts
            .sort_unstable_by_key(|planned_attempt| planned_attempt.route_choice.expected_time);
        let required_shard_count = match self.priority {
            TargetPriority::LatencyFirst => {
                (f64::from(shard_count) * self.coverage_target).ceil() as usize
            }
            TargetPriority::CoverageFirst => planned_attempts.len(),
        };
        let mut last_index = required_shard_count.clamp(1, planned_attempts.len().max(1)) - 1;
        for _ in 0..shard_count as usize / OUTLIER_SHARD_DIVISOR {
            let Some(planned_attempt) = planned_attempts.get(last_index) else {
                break;
            };
            if last_index == 0
                || planned_attempt.route_choice.expected_time
                    < self.latency_target * OUTLIER_LATENCY_FACTOR
            {
                break;
            }
            last_index -= 1;
        }
        let planned_attempt = planned_attempts.get(last_index);
        planned_attempt.map_or((Duration::ZERO, Duration::ZERO), |planned_attempt| {
            (
                planned_attempt.route_choice.queue_wait,
                planned_attempt.route_choice.unloaded_time(),
            )
        })
    }

    /// Returns the time until which rows are still useful; sent to upstreams as the deadline.
    pub fn results_deadline(&self) -> Duration {
        match (self.priority, self.scope) {
            (TargetPriority::LatencyFirst, ClassScope::All) => self.answer_deadline,
            _ => self.final_deadline,
        }
    }
}
