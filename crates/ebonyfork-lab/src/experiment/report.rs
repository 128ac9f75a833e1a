//! The figures of one run.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Serialize;

use crate::judge::ViolationCounts;

/// Figures of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Queries that were due in the measured time.
    pub queries: u64,
    /// Of these, answered, also thinly.
    pub answered: u64,
    /// Of these, thin.
    pub thin: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Neither answered nor refused.
    pub failed: u64,
    /// Latency of answers at the median, in milliseconds from the scheduled time.
    pub p50_ms: f64,
    /// The same at the 99th percentile.
    pub p99_ms: f64,
    /// The same at the 99.9th percentile.
    pub p999_ms: f64,
    /// Mean coverage of answers.
    pub coverage_mean: f64,
    /// Answers a second within the class's latency and coverage.
    pub goodput_per_s: f64,
    /// Refusals and failures by code.
    pub codes: BTreeMap<CompactString, u64>,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Name of the variant.
    pub name: CompactString,
    /// Load in per cent of the slots' capacity.
    pub load_percent: f64,
    /// Queries that were due in the measured time.
    pub queries: u64,
    /// Of these, answered, also thinly.
    pub answered: u64,
    /// Of these, thin.
    pub thin: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Neither answered nor refused.
    pub failed: u64,
    /// Latency of answers at the median, in milliseconds from the scheduled time.
    pub p50_ms: f64,
    /// The same at the 99th percentile.
    pub p99_ms: f64,
    /// The same at the 99.9th percentile.
    pub p999_ms: f64,
    /// Mean coverage of answers.
    pub coverage_mean: f64,
    /// Thin answers over answers.
    pub thin_share: f64,
    /// Shard requests that reached upstreams over the fewest needed.
    pub extra_load: f64,
    /// Most connections that any upstream had open at once.
    pub connections_max_per_server: u32,
    /// Connections that upstreams closed at once because their limit was reached.
    pub connections_refused: u64,
    /// Shard requests that found all slots of their upstream in use.
    pub over_slots: u64,
    /// Share of its slots' time that the busiest service was running requests.
    pub slots_used_max: f64,
    /// Calls to the store a second, all VMs together.
    pub store_calls_per_s: f64,
    /// Processor cores that the VMs of the tier used, all together.
    pub vm_cores: f64,
    /// Answers a second within their class's latency and coverage.
    pub goodput_per_s: f64,
    /// Requests that were sent a second time by their caller.
    pub resent: u64,
    /// What must be zero.
    pub violations: ViolationCounts,
    /// Figures per class.
    pub classes: BTreeMap<CompactString, ClassReport>,
}
