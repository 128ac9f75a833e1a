//! How much sooner than its target an answer must be decided on: the lag between that moment and the last byte given to
//! the kernel.
//!
//! A VM has a fraction of a core, and what it does beside the answer, how fast it is today and how late its timers fire
//! shows only by looking. Both parts of the lag are measured on every gathered answer: how late the timer for the planned
//! moment is, and how long the answer takes from the decision to the socket. Their high quantiles make the margin; the
//! picture fades within seconds, so the margin follows a VM that turns slow and one that is fast again.

use std::time::{Duration, Instant};

use crate::gateway::policy::latency::LatencyTrack;

/// Work on an answer that is assumed before any was measured, in seconds of a whole core: 2 ms on a VM with half of one,
/// 8 ms on one with 0.12. The margin begins with twice that.
const WORK_ASSUMED: f64 = 0.001;
/// Lateness of timers that is assumed before any was measured.
const TIMER_ASSUMED: Duration = Duration::from_millis(1);
/// Share of the answers that the margin has to suffice for. A late answer is worth a tenth; a millisecond more of waiting
/// brings a part in one answer of some hundred.
const COVERED_SHARE: f64 = 0.95;

/// What is known of the lag of this process's answers.
#[derive(Debug)]
pub struct AnswerLag {
    timer: LatencyTrack,
    work: LatencyTrack,
}

impl AnswerLag {
    /// Starts from what is assumed of a VM with so many cores.
    pub fn new(cores: f64) -> Self {
        let work = Duration::from_secs_f64(WORK_ASSUMED / cores);
        Self {
            timer: LatencyTrack::new(TIMER_ASSUMED),
            work: LatencyTrack::new(work),
        }
    }

    /// A timer of a query fired so much after its time.
    pub fn note_timer(&mut self, late: Duration, now: Instant) {
        self.timer.record(late, now);
    }

    /// A gathered answer took so long from the decision to the socket.
    pub fn note_work(&mut self, took: Duration, now: Instant) {
        self.work.record(took, now);
    }

    /// How much sooner than it must be on its way an answer is decided on.
    pub fn margin(&self) -> Duration {
        let millis = self.timer.quantile(COVERED_SHARE) + self.work.quantile(COVERED_SHARE);
        Duration::from_secs_f64(millis / 1_000.0)
    }
}

#[cfg(test)]
#[path = "answer_lag_tests.rs"]
mod tests;
