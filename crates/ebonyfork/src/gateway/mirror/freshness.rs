//! Limits how old the proof of a copy's freshness may be.
//!
//! The absence of news does not prove that nothing changed. A copy counts as up to date as of the time at which the
//! call was sent whose response proved it. A VM that follows another one measures from the time at which it sent its
//! poll; the followed VM received that poll later and states how long before or after receiving it its copy was up to
//! date. So neither a message in transit, nor a silent connection, nor a clock difference can make a copy look fresher
//! than it is, even across several VMs.
//!
//! All times derive from one setting of the deployment: how soon a change must be in force.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Fraction of the change bound after which a source is abandoned. The rest is for switching to another source: opening
/// a connection and reading takes up to 0.3 s when the store is 60 times slower than usual.
const LIMIT_FRACTION: f64 = 2.0 / 3.0;
/// Polls of a followed VM within the limit: three of them may be lost.
const POLLS_PER_LIMIT: u32 = 4;
/// Time allowed for the responses of the store and of a followed VM together.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Minimum time for which a watch asks the store to wait for changes.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// The times that derive from how soon a change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTimings {
    /// Age of the proof at which a source is abandoned.
    pub limit: Duration,
    /// Time between two polls of a followed VM.
    pub period: Duration,
    /// Age at which the VM that reads the store renews its proof.
    pub renewal: Duration,
    /// Age of the proof from which the store is read in full instead of watching from the last revision. A watch
    /// returns every version of a key that changed often, and twelve versions of 0.49 MB take 4.5 s at 14 Mbit/s.
    pub reread: Duration,
}

impl FreshnessTimings {
    /// Derives the times for changes that must be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        let limit = bound.mul_f64(LIMIT_FRACTION);
        let period = limit / POLLS_PER_LIMIT;
        let renewal = limit.saturating_sub(period + RESPONSE_TIME);
        Self {
            limit,
            period,
            renewal: renewal.max(MIN_WAIT),
            reread: bound,
        }
    }

    /// Returns how long a watch asks the store to wait for changes when the proof has the given age.
    pub fn wait(&self, age: Duration) -> Duration {
        self.renewal.saturating_sub(age).max(MIN_WAIT)
    }
}

/// The most recent polls of a followed VM, with the time at which each was sent. Poll numbers are unique within a
/// process: the response to a poll from an earlier time of following the same VM may arrive late and must not count for
/// a newer poll.
#[derive(Debug, Default)]
pub struct PendingPolls {
    next: u64,
    pending: SmallVec<[(u64, Instant); 8]>,
}

/// Maximum number of polls kept: more than are sent within the limit.
const MAX_PENDING_POLLS: usize = 8;

impl PendingPolls {
    /// Drops all pending polls before a VM is followed, but continues their numbering.
    #[must_use]
    pub fn reset(self) -> Self {
        Self {
            pending: SmallVec::new(),
            ..self
        }
    }

    /// Records a poll sent now and returns its number.
    pub fn record(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next += 1;
        if self.pending.len() == MAX_PENDING_POLLS {
            self.pending.remove(0);
        }
        self.pending.push((number, now));
        number
    }

    /// Returns the time as of which the followed VM's copy was up to date, given that it was `proof_ms` milliseconds
    /// after that VM received the poll, or before if negative; none if the poll is no longer kept. The poll was sent
    /// before it was received, so the returned time is never too late. Earlier polls are dropped.
    pub fn proof(&mut self, number: u64, proof_ms: i64) -> Option<Instant> {
        let index = self
            .pending
            .iter()
            .position(|(pending, _at)| *pending == number)?;
        self.pending.drain(..index);
        let (_number, at) = self.pending[0];
        let offset = Duration::from_millis(proof_ms.unsigned_abs());
        if proof_ms < 0 {
            at.checked_sub(offset)
        } else {
            at.checked_add(offset)
        }
    }
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
