//! The waiting attempts of requests that are suspected of crashing upstreams, called *suspects* here. Each is sent only
//! when nothing else is in flight at the upstream, so that a loss of the upstream during that time can be attributed to
//! the suspect. Pure.
//!
//! Between two suspects, as many other attempts are sent as the concurrency limit allows at once, so that a large
//! number of suspects does not block the regular queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::ids::WorkId;

/// Maximum number of suspects waiting at one upstream.
const SUSPECT_LIMIT: usize = 64;

/// A waiting attempt of a suspected request.
#[derive(Debug, Clone, Copy)]
struct WaitingSuspect {
    work: WorkId,
    deadline: Duration,
}

/// The suspects waiting at one upstream, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct SuspectQueue {
    waiting_suspects: VecDeque<WaitingSuspect>,
    /// Number of attempts from the regular queue to send before the next suspect.
    regular_attempts_before_suspect: u32,
}

impl SuspectQueue {
    /// Adds an attempt of a suspected request. Returns false if the queue is full.
    pub(super) fn push(&mut self, work: WorkId, deadline: Duration) -> bool {
        if self.waiting_suspects.len() == SUSPECT_LIMIT {
            return false;
        }
        self.waiting_suspects
            .push_back(WaitingSuspect { work, deadline });
        true
    }

    /// Returns whether the next attempt to send is a suspect; `is_regular_queue_empty` means that the regular queue
    /// is empty.
    pub(super) fn is_due(&self, is_regular_queue_empty: bool) -> bool {
        !self.waiting_suspects.is_empty()
            && (is_regular_queue_empty || self.regular_attempts_before_suspect == 0)
    }

    /// Records that an attempt from the regular queue was sent.
    pub(super) fn record_regular_attempt_sent(&mut self) {
        self.regular_attempts_before_suspect =
            self.regular_attempts_before_suspect.saturating_sub(1);
    }

    /// Removes and returns the next suspect; `regular_attempts_before_suspect` is the number of attempts from the
    /// regular queue to send before the suspect after it. Suspects whose deadline has passed are moved to
    /// `expired_work`.
    pub(super) fn pop(
        &mut self,
        now: Duration,
        regular_attempts_before_suspect: u32,
        expired_work: &mut Vec<WorkId>,
    ) -> Option<WorkId> {
        self.regular_attempts_before_suspect = regular_attempts_before_suspect;
        while let Some(suspect) = self.waiting_suspects.pop_front() {
            if suspect.deadline > now {
                return Some(suspect.work);
            }
            expired_work.push(suspect.work);
        }
        None
    }

    /// Removes an attempt and returns whether it was waiting.
    pub(super) fn cancel(&mut self, work: WorkId) -> bool {
        let previous_len = self.waiting_suspects.len();
        self.waiting_suspects.retain(|suspect| suspect.work != work);
        self.waiting_suspects.len() < previous_len
    }

    /// Moves the attempts whose deadline has passed to `expired_work`.
    pub(super) fn drop_expired_work(&mut self, now: Duration, expired_work: &mut Vec<WorkId>) {
        self.waiting_suspects.retain(|suspect| {
            let is_kept = suspect.deadline > now;
            if !is_kept {
                expired_work.push(suspect.work);
            }
            is_kept
        });
    }

    /// Moves all attempts to `removed_work`.
    pub(super) fn drain(&mut self, removed_work: &mut Vec<WorkId>) {
        removed_work.extend(self.waiting_suspects.drain(..).map(|suspect| suspect.work));
    }

    pub(super) fn len(&self) -> usize {
        self.waiting_suspects.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting_suspects.is_empty()
    }
}
