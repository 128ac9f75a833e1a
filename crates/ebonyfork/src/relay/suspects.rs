//! Attempts of requests that are suspected of crashing upstreams: they are sent one at a time. Pure.
//!
//! If an upstream is lost while one of them is there, it alone is to blame among the suspects.

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

    /// Takes the next attempt out; those that have expired go to `expired`.
    pub(super) fn pop(&mut self, now: Duration, expired: &mut Vec<WorkId>) -> Option<WorkId> {
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
