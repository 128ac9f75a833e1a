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

/// Estimate of the delay from the planned decision of a gathered answer until the answer's last byte is handed to the
/// kernel, for the answers of this process.
#[derive(Debug)]
pub struct AnswerLag {
    /// Delays from the planned decision until its timer fires.
    timer_delays: LatencyHistogram,
    /// Times from the decision until the answer is written to the socket.
    work_times: LatencyHistogram,
}

impl AnswerLag {
    /// Creates the estimate from the assumptions for a VM with `cores` cores.
    pub fn new(cores: f64) -> Self {
        let assumed_work = Duration::from_secs_f64(ASSUMED_WORK_S / cores);
        Self {
            timer_delays: LatencyHistogram::new(ASSUMED_TIMER_DELAY),
            work_times: LatencyHistogram::new(assumed_work),
        }
    }

    /// Records that a query's timer fired `delay` after its planned time.
    pub fn record_timer_delay(&mut self, delay: Duration, now: Instant) {
        self.timer_delays.record(delay, now);
    }

    /// Records the time from the decision until a gathered answer was written to the socket.
    pub fn record_work(&mut self, work_time: Duration, now: Instant) {
        self.work_times.record(work_time, now);
    }

    /// Returns how long before its send deadline an answer must be decided.
    pub fn margin(&self) -> Duration {
        let margin_ms = self.timer_delays.quantile(COVERED_QUANTILE)
            + self.work_times.quantile(COVERED_QUANTILE);
        Duration::from_secs_f64(margin_ms / 1_000.0)
    }
}

#[cfg(test)]
#[path = "answer_lag_tests.rs"]
mod tests;
