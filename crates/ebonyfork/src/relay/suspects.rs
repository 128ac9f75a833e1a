//! The waiting attempts of requests that are suspected of crashing upstreams. Each is sent only when nothing else is in
//! flight at the upstream, so that a loss during that time can be attributed to it. Pure.
//!
//! Between two suspects, as many other attempts are sent as the concurrency limit allows at once, so that a large
//! number of suspects does not block the regular queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::ids::WorkId;

/// Maximum number of suspects waiting at one upstream.
const WAITING_LIMIT: usize = 64;

#[derive(Debug, Clone, Copy)]
struct WaitingSuspect {
    work: WorkId,
    deadline: Duration,
}

/// The suspects waiting at one upstream, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct SuspectQueue {
    waiting: VecDeque<WaitingSuspect>,
    /// Number of other attempts to send before the next suspect.
    others_first: u32,
}

impl SuspectQueue {
    /// Adds an attempt. Returns false if the queue is full.
    pub(super) fn push(&mut self, work: WorkId, deadline: Duration) -> bool {
        if self.waiting.len() == WAITING_LIMIT {
            return false;
        }
        self.waiting.push_back(WaitingSuspect { work, deadline });
        true
    }

    /// Returns whether the next attempt to send is a suspect; `alone` means that no other attempts wait.
    pub(super) fn is_due(&self, alone: bool) -> bool {
        !self.waiting.is_empty() && (alone || self.others_first == 0)
    }

    /// Records that another attempt was sent.
    pub(super) fn note_other_sent(&mut self) {
        self.others_first = self.others_first.saturating_sub(1);
    }

    /// Removes and returns the next suspect; `others_first` is the number of other attempts to send before the one
    /// after it. Suspects whose deadline has passed are moved to `expired`.
    pub(super) fn pop(
        &mut self,
        now: Duration,
        others_first: u32,
        expired: &mut Vec<WorkId>,
    ) -> Option<WorkId> {
        self.others_first = others_first;
        while let Some(suspect) = self.waiting.pop_front() {
            if suspect.deadline > now {
                return Some(suspect.work);
            }
            expired.push(suspect.work);
        }
        None
    }

    /// Removes an attempt and returns whether it was waiting.
    pub(super) fn cancel(&mut self, work: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|suspect| suspect.work != work);
        self.waiting.len() < before
    }

    /// Moves the attempts whose deadline has passed to `expired`.
    pub(super) fn drop_expired(&mut self, now: Duration, expired: &mut Vec<WorkId>) {
        self.waiting.retain(|suspect| {
            let keep = suspect.deadline > now;
            if !keep {
                expired.push(suspect.work);
            }
            keep
        });
    }

    /// Moves all attempts to `taken`.
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
