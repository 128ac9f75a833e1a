//! The steps of a planned stop. Pure.

use std::time::Duration;

/// What bounds a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// How long callers may keep a locate answer.
    pub locate_ttl: Duration,
    /// Longest wait for what is in flight once new work is refused: the bound of the slowest class.
    pub bound: Duration,
}

impl StopPlan {
    /// Added to the time to live, for locate answers that were on their way.
    pub const MARGIN: Duration = Duration::from_millis(500);
    /// Nothing must have been in flight for this long: a message between two VMs is in nobody's count.
    pub const QUIET: Duration = Duration::from_millis(100);

    /// Makes a plan.
    pub fn new(locate_ttl: Duration, bound: Duration) -> Self {
        Self { locate_ttl, bound }
    }
}

/// Where a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Announced; work is still taken.
    Leaving,
    /// New work is refused; what is in flight finishes.
    Finishing,
    /// What is still in flight is given up and answered as far as known; outcomes go to a successor.
    HandingOver,
}

/// One planned stop.
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
    begun: Duration,
    finishing: Option<Duration>,
    quiet: Option<Duration>,
    phase: StopPhase,
    given_up: usize,
}

impl StopRun {
    /// Begins a stop.
    pub fn new(plan: StopPlan, now: Duration) -> Self {
        Self {
            plan,
            begun: now,
            finishing: None,
            quiet: None,
            phase: StopPhase::Leaving,
            given_up: 0,
        }
    }

    /// Looks at the clock and at what is in flight; `hurry` ends all waiting.
    pub fn advance(&mut self, now: Duration, in_flight: usize, hurry: bool) -> StopPhase {
        if self.phase == StopPhase::Leaving {
            let forgotten = self.begun + self.plan.locate_ttl + StopPlan::MARGIN;
            if hurry || now >= forgotten {
                self.phase = StopPhase::Finishing;
                self.finishing = Some(now);
            }
        }
        if self.phase == StopPhase::Finishing {
            self.quiet = match (in_flight, self.quiet) {
                (0, None) => Some(now),
                (0, since) => since,
                _ => None,
            };
            let is_quiet = self
                .quiet
                .is_some_and(|since| now >= since + StopPlan::QUIET);
            let overdue = self
                .finishing
                .is_some_and(|since| now >= since + self.plan.bound);
            if hurry || is_quiet || overdue {
                self.phase = StopPhase::HandingOver;
                self.given_up = in_flight;
            }
        }
        self.phase
    }

    /// What was in flight when waiting ended.
    pub fn given_up(&self) -> usize {
        self.given_up
    }

    /// Time since the stop began.
    pub fn took(&self, now: Duration) -> Duration {
        now.saturating_sub(self.begun)
    }
}

#[cfg(test)]
#[path = "stopping_tests.rs"]
mod tests;
