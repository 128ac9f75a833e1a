//! Decides which VM holds an exclusive right that all VMs compete for through the store. Does no I/O.
//!
//! A claim is a record that is written on the condition that its key is unchanged since it was read. Its holder may use
//! the right for a term that starts when it began the write. If the store is
//! restored from an older copy, this condition no longer protects the claim: the record may be missing while its holder
//! still sends, and a revision number may have been assigned twice. Therefore
//!
//! - a process that learns of a new store era drops its term and writes nothing while a term of the previous era may
//!   still be running on any VM. This includes a process that has just started;
//! - a write that was applied in another era than the one in which its condition was read is ignored;
//! - a record contains the era of its condition. A record with another era may have replaced a claim that is in use, so
//!   its contents are waited out, whichever process it names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::SessionId;
use crate::store::{StoreEra, StoreRevision};

/// Times that govern a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTimings {
    /// Time for which a holder may use the right, from the moment at which it began to write its claim.
    pub term: Duration,
    /// Time after which a holder renews its claim.
    pub renewal_period: Duration,
    /// Time for which a claim must be unchanged before another VM takes it over, and for which a store era must be
    /// known before claims are written in it: the term, the quiet time, and an allowance for clock drift between two
    /// VMs.
    pub takeover_delay: Duration,
    /// Time for which a new holder does not use the right yet, because the previous one may have used it until the
    /// takeover.
    pub quiet_time: Duration,
}

/// Minimum time from the beginning of a write to that of the next one, which repeats the first one if it failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Record in the store that states which process holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Process that may use the right; `None` once it has given the claim back.
    pub holder: Option<SessionId>,
    /// Store era in which the condition of the write was read.
    pub era: StoreEra,
}

/// Write of the claim's record that is due. The store must only apply it if the claim's key is at the expected
/// revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Revision that the claim's key must have.
    pub expected_revision: StoreRevision,
    /// Record to write under the claim's key.
    pub record: ClaimRecord,
}

/// Latest record of the claim that this process read from the store or wrote to it.
#[derive(Debug, Clone, Copy)]
struct ObservedClaim {
    revision: StoreRevision,
    record: ClaimRecord,
    /// Time at which this process first saw this revision.
    first_seen: Duration,
}

/// Period in which this process may use the right, because it holds the claim. Ends one term after the process began the
/// write that gave it the claim or renewed it.
#[derive(Debug, Clone, Copy)]
struct HoldPeriod {
    start: Duration,
    end: Duration,
}

/// Claim on an exclusive right, as known to one process. Times are durations since the process
/// started, on a clock that keeps running while the VM is suspended.
#[derive(Debug)]
pub struct StoreClaim {
    own_session: SessionId,
    timings: ClaimTimings,
    /// Latest store era that this process knows of.
    era: StoreEra,
    /// Time until which a claim of the previous store era may still be in use on some VM.
    no_writes_until: Duration,
    observed_claim: Option<ObservedClaim>,
    /// Period in which this process may use the right; `None` if it doesn't hold the claim.
    hold_period: Option<HoldPeriod>,
    /// Time at which this process began its last write of the claim.
    last_write: Option<Duration>,
}

impl StoreClaim {
    /// Creates the state of a process that knows nothing of the claim.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{ClaimTimings, StoreClaim};
    /// use ebonyfork::store::StoreRevision;
    ///
    /// let timings = ClaimTimings {
    ///     term: Duration::from_secs(4),
    ///     renewal_period: Duration::from_secs(1),
    ///     takeover_delay: Duration::from_secs(5),
    ///     quiet_time: Duration::ZERO,
    /// };
    /// let mut claim = StoreClaim::new("10.0.0.1-7".parse()?, timings);
    /// let now = Duration::from_secs(60);
    /// let write = claim.next_write(true, now).expect("nobody holds it");
    /// assert!(!claim.is_usable(now));
    /// claim.record_write(write, StoreRevision::new(4), now, now);
    /// assert!(claim.is_usable(now));
    /// assert!(!claim.is_usable(now + Duration::from_secs(5)));
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn new(own_session: SessionId, timings: ClaimTimings) -> Self {
        Self {
            own_session,
            timings,
            era: StoreEra::UNSTATED,
            no_writes_until: Duration::ZERO,
            observed_claim: None,
            hold_period: None,
            last_write: None,
        }
    }

    /// Returns whether this process may use the right.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.usable_since(now).is_some()
    }

    /// Returns since when this process has held the right without interruption by another holder; `None` if it may not
    /// use the right now.
    pub fn usable_since(&self, now: Duration) -> Option<Duration> {
        let period = self.hold_period?;
        (period.start <= now && now < period.end).then_some(period.start)
    }

    /// Returns the process that the latest known record names as the holder.
    pub fn holder(&self) -> Option<SessionId> {
        self.observed_claim?.record.holder
    }

    /// Returns whether any process, including this one, may be using the right.
    pub fn is_held(&self, now: Duration) -> bool {
        let may_be_in_use = |observed: &ObservedClaim| {
            observed.record.holder.is_some()
                && now < observed.first_seen + self.timings.takeover_delay
        };
        self.observed_claim.as_ref().is_some_and(may_be_in_use)
    }

    /// Records that the store has entered an era. Everything read or written in an earlier era becomes void.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.no_writes_until = now + self.timings.takeover_delay;
        self.observed_claim = None;
        self.hold_period = None;
        self.last_write = None;
    }

    /// Updates the state with a record that was read from the store.
    pub fn observe(&mut self, revision: StoreRevision, record: ClaimRecord, now: Duration) {
        self.enter_era(revision.era(), now);
        let is_outdated = self
            .observed_claim
            .is_some_and(|observed| observed.revision >= revision);
        if is_outdated || revision.era() < self.era {
            return;
        }
        if !self.is_own(record) {
            self.hold_period = None;
        }
        self.observed_claim = Some(ObservedClaim {
            revision,
            record,
            first_seen: now,
        });
    }

    /// Returns the write that is due, if any. `wants_claim` tells whether this process should hold the claim.
    pub fn next_write(&mut self, wants_claim: bool, now: Duration) -> Option<ClaimWrite> {
        if now < self.no_writes_until {
            return None;
        }
        let wrote_within = |period: Duration| {
            self.last_write
                .is_some_and(|begun_at| now < begun_at + period)
        };
        if wrote_within(RETRY_DELAY) {
            return None;
        }
        let absent_revision = StoreRevision::ABSENT.with_era(self.era);
        let expected_revision = self
            .observed_claim
            .map_or(absent_revision, |observed| observed.revision);
        let is_own = self
            .observed_claim
            .is_some_and(|observed| self.is_own(observed.record));
        if !wants_claim {
            if !is_own {
                return None;
            }
            // This process stops using the right before it gives the claim back.
            self.hold_period = None;
            self.last_write = Some(now);
            return Some(ClaimWrite {
                expected_revision,
                record: ClaimRecord {
                    holder: None,
                    era: self.era,
                },
            });
        }
        let has_period = self.hold_period.is_some();
        if (is_own && has_period && wrote_within(self.timings.renewal_period))
            || (!is_own && !self.is_free(now))
        {
            return None;
        }
        self.last_write = Some(now);
        Some(ClaimWrite {
            expected_revision,
            record: ClaimRecord {
                holder: Some(self.own_session),
                era: self.era,
            },
        })
    }

    /// Returns whether a record is this process's own claim in the current era.
    fn is_own(&self, record: ClaimRecord) -> bool {
        record.holder == Some(self.own_session) && record.era == self.era
    }

    /// Returns whether no other process can be using the right any more. It may have stopped only now; a process that
    /// takes the claim over therefore waits for the quiet time.
    fn is_free(&self, now: Duration) -> bool {
        let Some(observed) = self.observed_claim else {
            return true;
        };
        if observed.record.era != self.era {
            return now >= observed.first_seen + self.timings.takeover_delay;
        }
        match observed.record.holder {
            None => true,
            // The holder is a previous process on this VM, which has ended.
            Some(holder) if holder.vm == self.own_session.vm => true,
            Some(_other) => now >= observed.first_seen + self.timings.takeover_delay,
        }
    }

    /// Records that the store applied a write begun at `begun_at`, which has put the claim's key at `revision`.
    pub fn record_write(
        &mut self,
        write: ClaimWrite,
        revision: StoreRevision,
        begun_at: Duration,
        now: Duration,
    ) {
        self.enter_era(revision.era(), now);
        if write.record.era != revision.era() || revision.era() < self.era {
            // The write's condition was read in another era, or the era in which it was applied has ended.
            return;
        }
        if self
            .observed_claim
            .is_some_and(|observed| observed.revision > revision)
        {
            // The claim has been written again since this write.
            return;
        }
        let previous_claim = self.observed_claim;
        self.observed_claim = Some(ObservedClaim {
            revision,
            record: write.record,
            first_seen: now,
        });
        if write.record.holder.is_none() {
            self.hold_period = None;
            return;
        }
        let start = match (self.hold_period, previous_claim) {
            (Some(period), _) => period.start,
            // The claim's key didn't exist, so no process has held the claim.
            (None, None) => begun_at,
            // Any previous holder, including this process, may have used the right until now.
            (None, Some(_)) => now + self.timings.quiet_time,
        };
        self.hold_period = Some(HoldPeriod {
            start,
            end: begun_at + self.timings.term,
        });
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
