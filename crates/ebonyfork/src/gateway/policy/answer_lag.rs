//! Estimates how long before its target an answer must be decided, i.e. the delay from the planned decision until the
//! last byte is handed to the kernel.
//!
//! A VM has a fraction of a core. Its other work, its current speed and the delay of its timers can't be predicted, so
//! two delays are measured for each gathered answer: how late the timer for the planned decision fires, and how long
//! the answer takes from the decision to the socket. The sum of their high quantiles is the margin. The measurements
//! decay within seconds, so the margin follows a VM that becomes slow or fast again.

use std::time::{Duration, Instant};

use crate::gateway::policy::latency::LatencyHistogram;

/// CPU time per answer assumed before any was measured, in seconds on a whole core: 2 ms on a VM with half a core, 8 ms
/// with 0.12 cores. The initial margin is twice that.
const ASSUMED_WORK_S: f64 = 0.001;
/// Timer delay assumed before any was measured.
const ASSUMED_TIMER_DELAY: Duration = Duration::from_millis(1);
/// Fraction of the answers for which the margin must suffice. A late answer earns a tenth of its value; waiting one
/// more millisecond gains a part in only one of several hundred answers.
const COVERED_QUANTILE: f64 = 0.95;

/// Delay estimate for the answers of this process.
#[derive(Debug)]
pub struct AnswerLag {
    timer: LatencyHistogram,
    work: LatencyHistogram,
}

impl AnswerLag {
    /// Creates the estimate from the assumptions for a VM with `cores` cores.
    pub fn new(cores: f64) -> Self {
        let work = Duration::from_secs_f64(ASSUMED_WORK_S / cores);
        Self {
            timer: LatencyHistogram::new(ASSUMED_TIMER_DELAY),
            work: LatencyHistogram::new(work),
        }
    }

    /// Records that a query's timer fired `late` after its time.
    pub fn record_timer_delay(&mut self, late: Duration, now: Instant) {
        self.timer.record(late, now);
    }

    /// Records the time from the decision until a gathered answer was written to the socket.
    pub fn record_work(&mut self, took: Duration, now: Instant) {
        self.work.record(took, now);
    }

    /// Returns how long before its send deadline an answer must be decided.
    pub fn margin(&self) -> Duration {
        let millis = self.timer.quantile(COVERED_QUANTILE) + self.work.quantile(COVERED_QUANTILE);
        Duration::from_secs_f64(millis / 1_000.0)
    }
}

#[cfg(test)]
#[path = "answer_lag_tests.rs"]
mod tests;
