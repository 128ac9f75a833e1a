//! Phases of a planned shutdown, and what each of them waits for.
//!
//! Load pattern: a VM is stopped while its callers keep sending for as long as they may use their locate answers, and
//! while some of them read their answers slowly. A process that exits as soon as it has decided on the last answer cuts
//! off what has not been sent yet: what the HTTP library still buffers, and what the kernel has not delivered if the VM
//! goes away with the process. So the last two phases end with events: the callers' hosts have acknowledged every byte, or
//! the time that the platform grants is over.

use std::time::Duration;

/// Time for a caller's last look-up and its answer.
const LOOKUP_TIME: Duration = Duration::from_millis(300);
/// Part of the grace time that is left unused, so that the process has exited before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// How long before the end of the grace time new requests are refused so that those in flight can complete: a few times
/// the usual duration of the slowest requests.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// How long before its exit a process answers the requests that are still unanswered.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Phase of a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Callers are directed to other VMs; requests are still accepted.
    Leaving,
    /// New requests are refused; answers are completed and passed to the kernel.
    Draining,
    /// Connections are closed; what the kernel still holds is delivered.
    Closing,
    /// The process exits.
    Done,
}

/// Requests that a process which shuts down answers at once, because they can't be completed in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownCut {
    /// None.
    #[default]
    Nothing,
    /// Those of which nothing has been sent to an upstream: their callers can be told that they have not run.
    Unsent,
    /// All.
    All,
}

impl ShutdownCut {
    /// Returns whether a request is among them; `may_have_run` states whether an upstream may have run it.
    pub fn includes(self, may_have_run: bool) -> bool {
        match self {
            Self::Nothing => false,
            Self::Unsent => !may_have_run,
            Self::All => true,
        }
    }
}

/// What a process that shuts down still has to deliver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShutdownBacklog {
    /// Requests whose answers have not been passed to the kernel completely.
    pub answers: usize,
    /// Open connections.
    pub connections: usize,
}

/// Time limits of a planned shutdown, counted from its start.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::gateway::{ShutdownBacklog, ShutdownPhase, ShutdownPlan};
///
/// let plan = ShutdownPlan::new(Duration::from_secs(6), Duration::from_secs(3));
/// let mut backlog = ShutdownBacklog { answers: 1, connections: 4 };
/// let elapsed = Duration::from_secs(4);
/// let phase = plan.next_phase(ShutdownPhase::Leaving, elapsed, backlog);
/// assert_eq!(phase, ShutdownPhase::Draining);
/// backlog.answers = 0;
/// assert_eq!(plan.next_phase(phase, elapsed, backlog), ShutdownPhase::Closing);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When new requests are refused.
    refusal: Duration,
    /// When requests of which nothing has been sent are refused.
    unsent_refusal: Duration,
    /// When the process exits at the latest.
    exit: Duration,
}

impl ShutdownPlan {
    /// Creates the plan of a process that is killed after `grace` and whose callers use locate answers for up to
    /// `locate_validity`.
    pub fn new(grace: Duration, locate_validity: Duration) -> Self {
        let callers_moved_after = locate_validity + LOOKUP_TIME;
        let unsent_refusal = grace.saturating_sub(DRAIN_TIME);
        Self {
            refusal: callers_moved_after.min(unsent_refusal),
            unsent_refusal,
            exit: grace.saturating_sub(KILL_MARGIN),
        }
    }

    /// Returns which requests are answered at once after `elapsed`.
    pub fn cut(&self, elapsed: Duration) -> ShutdownCut {
        if elapsed + ANSWER_TIME >= self.exit {
            return ShutdownCut::All;
        }
        if elapsed >= self.unsent_refusal {
            return ShutdownCut::Unsent;
        }
        ShutdownCut::Nothing
    }

    /// Returns the phase that follows from `phase` after `elapsed`.
    pub fn next_phase(
        &self,
        phase: ShutdownPhase,
        elapsed: Duration,
        backlog: ShutdownBacklog,
    ) -> ShutdownPhase {
        let is_over = elapsed >= self.exit;
        let is_complete = match phase {
            ShutdownPhase::Leaving => elapsed >= self.refusal,
            ShutdownPhase::Draining => is_over || backlog.answers == 0,
            ShutdownPhase::Closing => is_over || backlog == ShutdownBacklog::default(),
            ShutdownPhase::Done => false,
        };
        match phase {
            _ if !is_complete => phase,
            ShutdownPhase::Leaving => ShutdownPhase::Draining,
            ShutdownPhase::Draining => ShutdownPhase::Closing,
            ShutdownPhase::Closing | ShutdownPhase::Done => ShutdownPhase::Done,
        }
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
