//! Limits the age of a copy: the time since the copy was last known to be up to date.
//!
//! Receiving no changes does not prove that there were none. A response that shows that the store held nothing newer
//! makes the copy up to date as of the time at which the call was sent, not as of the time of the response. A VM that
//! follows another one measures from the time at which it sent its poll; the followed VM received that poll later and
//! states how long before or after receiving it its copy was up to date. So neither a message in transit, nor a silent
//! connection, nor a clock difference can make a copy look fresher than it is, even across several VMs.
//!
//! All times derive from one setting of the deployment: how soon a change must be in force.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Maximum age of a copy, as a fraction of the time within which a change must be in force. The rest of that time is
/// for switching to another source: opening a connection and reading takes up to 0.3 s when the store is 60 times
/// slower than usual.
const MAX_AGE_FRACTION: f64 = 2.0 / 3.0;
/// Number of polls of a followed VM within the maximum age of the copy: three of them may be lost.
const POLLS_PER_MAX_AGE: u32 = 4;
/// Number of VMs that can be followed in turn until one is up to date, after the copy became stale and before a change
/// must be in force.
const REFRESHES_PER_MARGIN: u32 = 3;
/// Time allowed for a response of the store and one of a followed VM together.
const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(300);
/// Lower bound of the time for which a watch asks the store to wait for changes.
const MIN_WATCH_TIME: Duration = Duration::from_millis(50);

/// The time limits and intervals of following a source, which all derive from how soon a change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTimings {
    /// Age at which a copy becomes stale, and at which its source is abandoned.
    pub max_age: Duration,
    /// Time between two polls of a followed VM.
    pub poll_interval: Duration,
    /// Age of the copy at which a watch of the store must return, so that its response confirms that the copy is up to
    /// date.
    pub renewal_age: Duration,
    /// Time that a VM which is followed newly has until its own copy must be up to date.
    pub refresh_time: Duration,
    /// Age of the copy above which the store is read in full instead of being watched from the copy's revision. A watch
    /// returns every version of a key that changed often, and twelve versions of 0.49 MB take 4.5 s at 14 Mbit/s.
    pub max_age_to_watch: Duration,
}

impl FreshnessTimings {
    /// Derives the times for changes that must be in force within `max_change_delay`.
    pub fn new(max_change_delay: Duration) -> Self {
        let max_age = max_change_delay.mul_f64(MAX_AGE_FRACTION);
        let poll_interval = max_age / POLLS_PER_MAX_AGE;
        let renewal_age = max_age.saturating_sub(poll_interval + RESPONSE_ALLOWANCE);
        Self {
            max_age,
            poll_interval,
            renewal_age: renewal_age.max(MIN_WATCH_TIME),
            refresh_time: max_change_delay.saturating_sub(max_age) / REFRESHES_PER_MARGIN,
            max_age_to_watch: max_change_delay,
        }
    }

    /// Returns how long a watch asks the store to wait for changes while the copy has the given age.
    pub fn watch_time(&self, age: Duration) -> Duration {
        self.renewal_age.saturating_sub(age).max(MIN_WATCH_TIME)
    }
}

/// The most recent polls of a followed VM, with the time at which each was sent. Poll numbers are unique within a
/// process: a VM may be abandoned and followed again, and a late response to a poll from before must not count as the
/// response to a newer poll.
#[derive(Debug, Default)]
pub struct PendingPolls {
    next_number: u64,
    /// Number and sending time of each poll, oldest first.
    polls: SmallVec<[(u64, Instant); 8]>,
}

/// Maximum number of polls kept: more than are sent within the maximum age of the copy.
const MAX_PENDING_POLLS: usize = 8;

impl PendingPolls {
    /// Creates the polls of a run of the task that follows the store, after a number of earlier runs. Their numbers differ
    /// from those of earlier runs, whose answers may still arrive.
    pub fn of_run(earlier_runs: u64) -> Self {
        /// More polls than one run sends.
        const POLLS_PER_RUN: u64 = 1 << 32;
        Self {
            next_number: earlier_runs.wrapping_mul(POLLS_PER_RUN),
            ..Self::default()
        }
    }

    /// Drops all polls, before another VM or the same one again is followed, but continues their numbering.
    #[must_use]
    pub fn reset(self) -> Self {
        Self {
            polls: SmallVec::new(),
            ..self
        }
    }

    /// Records a poll sent now and returns its number.
    pub fn record(&mut self, now: Instant) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if self.polls.len() == MAX_PENDING_POLLS {
            self.polls.remove(0);
        }
        self.polls.push((number, now));
        number
    }

    /// Returns the time as of which the followed VM's copy was up to date; none if the poll `number` is no longer kept.
    /// The followed VM states that time as `up_to_date_ms`, in milliseconds after it received the poll, or before if
    /// negative. The returned time is counted from when this VM sent the poll, which was before the receipt, so it is
    /// never too late. Polls before `number` are dropped.
    pub fn up_to_date_at(&mut self, number: u64, up_to_date_ms: i64) -> Option<Instant> {
        let index = self
            .polls
            .iter()
            .position(|(poll_number, _sent_at)| *poll_number == number)?;
        self.polls.drain(..index);
        let (_number, sent_at) = self.polls[0];
        let offset = Duration::from_millis(up_to_date_ms.unsigned_abs());
        if up_to_date_ms < 0 {
            sent_at.checked_sub(offset)
        } else {
            sent_at.checked_add(offset)
        }
    }
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
