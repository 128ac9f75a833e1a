//! Phases of a planned stop, and when it passes from one to the next.

use std::time::Duration;

/// Time limits of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// How long callers may use a locate answer.
    pub locate_ttl: Duration,
    /// Longest wait for work in flight once new work is refused: the time limit of the slowest class.
    pub bound: Duration,
}

impl StopPlan {
    /// Added to the time to live of locate answers, because an answer may reach its caller late.
    pub const LOCATE_MARGIN: Duration = Duration::from_millis(500);
    /// How long no work must have been in flight before the handover: a message on its way between two VMs is counted
    /// by neither.
    pub const IDLE_TIME: Duration = Duration::from_millis(100);

    /// Creates a plan with these time limits.
    pub fn new(locate_ttl: Duration, bound: Duration) -> Self {
        Self { locate_ttl, bound }
    }
}

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The stop is announced; new work is still accepted.
    Leaving,
    /// New work is refused; work in flight finishes.
    Finishing,
    /// Work still in flight is abandoned and its callers are answered; outcomes go to a successor.
    HandingOver,
}

/// Progress of one planned stop.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::lifecycle::{StopPhase, StopPlan, StopRun};
///
/// let plan = StopPlan::new(Duration::from_secs(5), Duration::from_secs(10));
/// let mut run = StopRun::new(plan, Duration::ZERO);
/// assert_eq!(run.advance(Duration::from_secs(5), 3, false), StopPhase::Leaving);
/// assert_eq!(run.advance(Duration::from_secs(6), 3, false), StopPhase::Finishing);
/// assert_eq!(run.advance(Duration::from_secs(7), 0, false), StopPhase::Finishing);
/// assert_eq!(run.advance(Duration::from_secs(8), 0, false), StopPhase::HandingOver);
/// ```
#[derive(Debug, Clone)]
pub struct StopRun {
    plan: StopPlan,
    started_at: Duration,
    /// When [`StopPhase::Finishing`] began.
    finishing_since: Option<Duration>,
    /// Time since which no work has been in flight; `None` while some is.
    idle_since: Option<Duration>,
    phase: StopPhase,
    given_up: usize,
}

impl StopRun {
    /// Starts a stop at `now`.
    pub fn new(plan: StopPlan, now: Duration) -> Self {
        Self {
            plan,
            started_at: now,
            finishing_since: None,
            idle_since: None,
            phase: StopPhase::Leaving,
            given_up: 0,
        }
    }

    /// Advances to the phase for this time and number of work items in flight; `skip_waiting` ends all waiting.
    pub fn advance(&mut self, now: Duration, in_flight: usize, skip_waiting: bool) -> StopPhase {
        if self.phase == StopPhase::Leaving {
            let locate_expiry = self.started_at + self.plan.locate_ttl + StopPlan::LOCATE_MARGIN;
            if skip_waiting || now >= locate_expiry {
                self.phase = StopPhase::Finishing;
                self.finishing_since = Some(now);
            }
        }
        if self.phase == StopPhase::Finishing {
            self.idle_since = match (in_flight, self.idle_since) {
                (0, None) => Some(now),
                (0, since) => since,
                _ => None,
            };
            let is_idle = self
                .idle_since
                .is_some_and(|since| now >= since + StopPlan::IDLE_TIME);
            let is_overdue = self
                .finishing_since
                .is_some_and(|since| now >= since + self.plan.bound);
            if skip_waiting || is_idle || is_overdue {
                self.phase = StopPhase::HandingOver;
                self.given_up = in_flight;
            }
        }
        self.phase
    }

    /// Returns the number of work items in flight when waiting ended, which are abandoned.
    pub fn given_up(&self) -> usize {
        self.given_up
    }

    /// Returns the time since the stop began.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }
}

#[cfg(test)]
#[path = "stopping_tests.rs"]
mod tests;
