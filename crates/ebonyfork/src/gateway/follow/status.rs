//! State of the task that follows the store, kept outside the task so that it stays readable after the task has ended.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::source::ChangeSource;
use crate::gateway::clock::now;
use crate::gateway::core::GatewayCore;

/// Whether the task follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerState {
    /// It has checked its source recently.
    Active,
    /// It runs, but has not checked its source for longer than a change may take to be in force.
    Stalled,
    /// It has ended and not run since.
    Ended,
}

impl fmt::Display for FollowerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Stalled => "stalled",
            Self::Ended => "ended",
        })
    }
}

/// State of the task that follows the store.
#[derive(Debug, Default)]
pub struct FollowerStatus {
    is_running: Cell<bool>,
    /// When the task last checked its source.
    checked_at: Cell<Option<Instant>>,
    source: Cell<Option<ChangeSource>>,
}

impl FollowerStatus {
    /// Returns the state of the task; it counts as stalled if it has not checked its source for `max_silence`.
    pub fn state(&self, now: Instant, max_silence: Duration) -> FollowerState {
        if !self.is_running.get() {
            return FollowerState::Ended;
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
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
