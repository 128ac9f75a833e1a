//! State of the task that follows the store, kept outside the task so that it stays readable after the task has ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::source::ChangeSource;
use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;
use crate::gateway::policy::readiness::FollowerState;

/// State of the task that follows the store.
#[derive(Debug, Default)]
pub struct FollowerStatus {
    is_running: Cell<bool>,
    /// When a run of the task last ended.
    ended_at: Cell<Option<Instant>>,
    /// When the task last checked its source.
    checked_at: Cell<Option<Instant>>,
    source: Cell<Option<ChangeSource>>,
}

impl FollowerStatus {
    /// Returns the state of the task; it counts as stalled if it has not checked its source for `max_silence`. `copy_age` is
    /// the time since the copy was last confirmed; `None` if it never was.
    pub fn state(
        &self,
        now: Instant,
        max_silence: Duration,
        copy_age: Option<Duration>,
    ) -> FollowerState {
        if !self.is_running.get() {
            return FollowerState::Ended;
        }
        if let Some(ended_at) = self.ended_at.get() {
            let time_since_end = now.saturating_duration_since(ended_at);
            if copy_age.is_none_or(|age| age > time_since_end) {
                return FollowerState::Restarted;
            }
        }
        let silence = self
            .checked_at
            .get()
            .map(|at| now.saturating_duration_since(at));
        if silence.is_some_and(|silence| silence >= max_silence) {
            FollowerState::Stalled
        } else {
            FollowerState::Active
        }
    }

    /// Returns the source that the task used last, for the log.
    pub fn source(&self) -> String {
        let source = self.source.get();
        source.map_or_else(|| "-".to_owned(), |source| source.to_string())
    }

    /// Records that the task checks its source.
    pub(super) fn note_check(&self, source: ChangeSource, now: Instant) {
        self.checked_at.set(Some(now));
        self.source.set(Some(source));
    }
}

/// A run of the task. Dropping it records the end of the run, also if the task panics or is aborted.
#[derive(Debug)]
pub(super) struct FollowerRun(Rc<GatewayCore>);

impl FollowerRun {
    pub(super) fn begin(core: &Rc<GatewayCore>) -> Self {
        core.follower.is_running.set(true);
        core.follower.checked_at.set(Some(now()));
        Self(Rc::clone(core))
    }
}

impl Drop for FollowerRun {
    fn drop(&mut self) {
        let follower = &self.0.follower;
        follower.is_running.set(false);
        follower.ended_at.set(Some(now()));
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
