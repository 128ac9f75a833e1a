//! Parameters of a replay, and the sums that it reports.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{INTER_REGION_LATENCY, LoadReplay, SLOTS};
use crate::gateway::policy::budget::RetryBudgetConfig;

/// Way in which an upstream of the model misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ModelFault {
    /// Declines this fraction of the requests.
    Declines(f64),
    /// Takes this many times as long for a request.
    Slow(f64),
    /// Closes the connection instead of answering this fraction of the requests, after running them.
    Breaks(f64),
}

/// Fault of some of the upstreams for a period of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultPhase {
    /// First second of the fault.
    pub from: u64,
    /// Second at which the fault has ended.
    pub until: u64,
    /// Index of the faulty upstream within each shard; `None` for a randomly drawn eighth of all upstreams.
    pub replica: Option<usize>,
    /// What the faulty upstreams do.
    pub fault: ModelFault,
}

/// Parameters of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct ModelDeployment {
    pub(super) shards: usize,
    pub(super) vms: usize,
    pub(super) service_time: Duration,
    pub(super) target: Duration,
    /// Query rate as a fraction of the upstreams' capacity.
    pub(super) demand: f64,
    pub(super) budget: RetryBudgetConfig,
}

impl ModelDeployment {
    /// Draws a deployment; `demand` is the query rate as a fraction of the upstreams' capacity.
    pub fn draw(seed: u64, demand: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = rng.random_range(4..=12_usize);
        let service_time = Duration::from_millis(rng.random_range(4..=14));
        Self {
            shards: rng.random_range(10..=30),
            vms,
            service_time,
            target: service_time * rng.random_range(9..=14) + INTER_REGION_LATENCY * 2,
            demand,
            budget: RetryBudgetConfig {
                ratio: 0.2,
                slack: 40.0 + 2.0 * vms as f64,
                window: Duration::from_secs(10),
            },
        }
    }

    /// Returns the smallest number of shards in an answer.
    pub(super) fn min_shards(&self) -> usize {
        (self.shards as f64 * 0.89).ceil() as usize
    }

    /// Returns the query rate, in queries per second.
    pub(super) fn rate(&self) -> f64 {
        self.demand * (2 * SLOTS) as f64 / self.service_time.as_secs_f64()
    }
}

/// Value of the queries that began in a period of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplayReport {
    /// Number of queries that began.
    pub queries: f64,
    /// Sum of the values of the answers. An answer in time is worth the square of its coverage, a late one a tenth of
    /// that.
    pub value: f64,
    /// Number of queries that were answered late or not at all.
    pub late: f64,
}

impl ReplayReport {
    /// Returns the mean value of a query.
    pub fn mean_value(&self) -> f64 {
        self.value / self.queries
    }
}

impl LoadReplay {
    /// Returns the terms of the retry budget.
    pub fn budget_config(&self) -> RetryBudgetConfig {
        self.deployment.budget
    }

    /// Returns the time at which the replay began.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Returns the mean value of the queries that began in a range of seconds.
    pub fn mean_value(&self, seconds: std::ops::Range<usize>) -> f64 {
        self.sum_of(seconds).mean_value()
    }

    /// Returns the sums over the queries that began in a range of seconds.
    pub fn sum_of(&self, seconds: std::ops::Range<usize>) -> ReplayReport {
        let mut sum = ReplayReport::default();
        for second in &self.seconds[seconds] {
            sum.queries += second.queries;
            sum.value += second.value;
            sum.late += second.late;
        }
        sum
    }
}
