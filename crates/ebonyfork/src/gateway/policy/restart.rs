//! Decides what follows the end of a long-lived task.
//!
//! Load pattern: one value from outside ends a task on every VM at the same moment, once or again and again. A task that has
//! run for long restarts at once, so that a single fault costs no more than the start. A task that keeps ending is restarted
//! after waits that double up to [`MAX_RESTART_WAIT`] and are drawn at random, so that neither this VM's processor nor the
//! store is busy with starts. The number of restarts has no limit: a process that gave up would end on all VMs at the same
//! entry.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::store::Backoff;

/// Time after which a run shows that the last fault is over: twice the longest wait.
const STEADY_RUN_TIME: Duration = Duration::from_secs(10);
/// Longest wait before the first restart of a task that ended soon after its start.
const MIN_RESTART_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a restart.
pub const MAX_RESTART_WAIT: Duration = Duration::from_secs(5);

/// What the state of a task allows after its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskRecovery {
    /// The task is started again.
    Restart,
    /// The task's state is lost with it, so the process has to end.
    EndProcess,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// Its future completed.
    Returned,
    /// It panicked or was aborted.
    Failed,
}

/// What to do about the end of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndAction {
    /// Nothing: the process is stopping and the task has done its part.
    Nothing,
    /// Start the task again after a wait.
    RestartAfter(Duration),
    /// End the process as planned, so that the platform starts it again.
    EndProcess,
}

/// Past ends of one task.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use ebonyfork::gateway::{EndAction, RestartState, TaskEnd, TaskRecovery};
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let now = Instant::now();
/// let mut state = RestartState::new(TaskRecovery::Restart, now);
/// let later = now + Duration::from_secs(60);
/// let action = state.record_end(TaskEnd::Failed, false, later, &mut rng);
/// assert_eq!(action, EndAction::RestartAfter(Duration::ZERO));
/// assert_eq!(state.end_count(), 1);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RestartState {
    recovery: TaskRecovery,
    started_at: Instant,
    backoff: Backoff,
    end_count: u64,
}

impl RestartState {
    /// Creates the state of a task that starts now for the first time.
    pub fn new(recovery: TaskRecovery, now: Instant) -> Self {
        Self {
            recovery,
            started_at: now,
            backoff: Backoff::new(MIN_RESTART_WAIT, MAX_RESTART_WAIT),
            end_count: 0,
        }
    }

    /// Records that the task starts again.
    pub fn record_start(&mut self, now: Instant) {
        self.started_at = now;
    }

    /// Returns how often the task has ended against its purpose.
    pub fn end_count(&self) -> u64 {
        self.end_count
    }

    /// Records the end of the task and returns what to do. `is_stopping` states whether a planned stop has begun: some
    /// tasks return then.
    pub fn record_end(
        &mut self,
        end: TaskEnd,
        is_stopping: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> EndAction {
        if is_stopping && (end == TaskEnd::Returned || self.recovery == TaskRecovery::EndProcess) {
            return EndAction::Nothing;
        }
        self.end_count += 1;
        if self.recovery == TaskRecovery::EndProcess {
            return EndAction::EndProcess;
        }
        let run_time = now.saturating_duration_since(self.started_at);
        if run_time >= STEADY_RUN_TIME {
            self.backoff.reset();
            return EndAction::RestartAfter(Duration::ZERO);
        }
        EndAction::RestartAfter(self.backoff.next_wait(rng))
    }
}

#[cfg(test)]
#[path = "restart_tests.rs"]
mod tests;
