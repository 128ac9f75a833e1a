//! Attempts of requests that are suspected of crashing upstreams: each is sent when nothing else is at the upstream. Pure.
//!
//! If the upstream is lost while one of them is there, it alone is to blame. Between two suspects as many others pass as
//! the upstream takes at a time, so that many suspects don't keep them out.

use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::ids::WorkId;

/// Suspects that may wait at one upstream.
const WAITING_LIMIT: usize = 64;

#[derive(Debug, Clone, Copy)]
struct WaitingSuspect {
    work: WorkId,
    deadline: Duration,
}

/// Suspects that wait at one upstream, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct SuspectQueue {
    waiting: VecDeque<WaitingSuspect>,
    /// Others that pass before the next suspect.
    passing: u32,
}

impl SuspectQueue {
    /// Takes an attempt in; false if too many wait.
    pub(super) fn push(&mut self, work: WorkId, deadline: Duration) -> bool {
        if self.waiting.len() == WAITING_LIMIT {
            return false;
        }
        self.waiting.push_back(WaitingSuspect { work, deadline });
        true
    }

    /// Tells whether the next attempt to be sent is a suspect; `alone` if no others wait.
    pub(super) fn is_due(&self, alone: bool) -> bool {
        !self.waiting.is_empty() && (alone || self.passing == 0)
    }

    /// Another attempt is sent.
    pub(super) fn let_pass(&mut self) {
        self.passing = self.passing.saturating_sub(1);
    }

    /// Takes the next attempt out, before `passing` others; those that have expired go to `expired`.
    pub(super) fn pop(
        &mut self,
        now: Duration,
        passing: u32,
        expired: &mut Vec<WorkId>,
    ) -> Option<WorkId> {
        self.passing = passing;
        while let Some(suspect) = self.waiting.pop_front() {
            if suspect.deadline > now {
                return Some(suspect.work);
            }
            expired.push(suspect.work);
        }
        None
    }

    /// Takes an attempt out that is no longer wanted; false if it does not wait here.
    pub(super) fn cancel(&mut self, work: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|suspect| suspect.work != work);
        self.waiting.len() < before
    }

    /// Moves those that have expired to `expired`.
    pub(super) fn drop_expired(&mut self, now: Duration, expired: &mut Vec<WorkId>) {
        self.waiting.retain(|suspect| {
            let keep = suspect.deadline > now;
            if !keep {
                expired.push(suspect.work);
            }
            keep
        });
    }

    /// Moves all to `taken`.
    pub(super) fn drain(&mut self, taken: &mut Vec<WorkId>) {
        taken.extend(self.waiting.drain(..).map(|suspect| suspect.work));
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
