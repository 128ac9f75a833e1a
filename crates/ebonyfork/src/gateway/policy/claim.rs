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
//!   its contents are waited out, whichever process it names;
//! - a record whose condition was read in the era in which it was applied shows that its writer has waited for the terms
//!   of the previous era, so a process that starts later doesn't wait for them again.
//!
//! A record also states whether the next holder may start with an allowance (used by quotas). At most one hold in any
//! period of a given length starts with it:
//!
//! - The record of a holder offers the allowance only once the hold has lasted for the period. A hold that begins
//!   with the allowance is therefore followed by an offer after the period at the earliest, whoever writes it.
//! - Taking the claim over replaces the offer by the same conditional write, so of several processes that read the
//!   offer only one takes it.
//! - If the answer to that write is lost, the process recognises its own record when it reads it. It can only result
//!   from the process's latest takeover, so the allowance may still be used, by the first hold that begins.
//! - A record of another era, or no record, offers none: holds that it doesn't tell of may just have begun.

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

/// Factor by which a hold must be longer than the period in which at most one hold may start with an allowance, because
/// the clocks of two VMs differ by up to 1 %.
const ALLOWANCE_CLOCK_MARGIN: f64 = 1.02;

/// Record in the store that states which process holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Process that may use the right; `None` once it has given the claim back.
    pub holder: Option<SessionId>,
    /// Store era in which the condition of the write was read.
    pub era: StoreEra,
    /// Whether the next holder may start with an allowance. Versions of the program that don't know the allowance write
    /// records without this field, which offer none.
    pub offers_allowance: bool,
}

impl ClaimRecord {
    /// Decodes a record from the store, with or without the field for the allowance.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::ClaimRecord;
    /// use ebonyfork::store::StoreEra;
    ///
    /// let record = ClaimRecord { holder: None, era: StoreEra(3), offers_allowance: true };
    /// let bytes = postcard::to_stdvec(&record)?;
    /// assert_eq!(ClaimRecord::decode(&bytes)?, record);
    /// let without_field = ClaimRecord::decode(&bytes[..bytes.len() - 1])?;
    /// assert!(!without_field.offers_allowance);
    /// # Ok::<(), postcard::Error>(())
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let ((holder, era), rest) = postcard::take_from_bytes(bytes)?;
        let offers_allowance = if rest.is_empty() {
            false
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            holder,
            era,
            offers_allowance,
        })
    }
}

/// Write of the claim's record that is due. The store must only apply it if the claim's key is at the expected
/// revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Revision that the claim's key must have.
    pub expected_revision: StoreRevision,
    /// Record to write under the claim's key.
    pub record: ClaimRecord,
    /// Whether a hold that begins with this write starts with an allowance, because the replaced record offered one.
    pub takes_allowance: bool,
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
    has_allowance: bool,
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
    /// Time for which a hold must have lasted before its record offers an allowance; `None` if it never does.
    offer_delay: Option<Duration>,
    /// Latest write with which this process tried to take the claim over.
    last_takeover: Option<ClaimWrite>,
    /// Whether this process has taken an allowance that no hold has started with yet.
    has_unused_allowance: bool,
    /// Time at which this process last began to give the claim back. Writes begun earlier extend no hold.
    released_at: Option<Duration>,
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
            offer_delay: None,
            last_takeover: None,
            has_unused_allowance: false,
            released_at: None,
        }
    }

    /// Lets holds of this claim start with an allowance, at most one in any period of the given length.
    #[must_use]
    pub fn with_allowance(self, period: Duration) -> Self {
        let seconds = period.as_secs_f64() * ALLOWANCE_CLOCK_MARGIN;
        Self {
            offer_delay: Duration::try_from_secs_f64(seconds).ok(),
            ..self
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

    /// Returns whether the latest hold of this process started with an allowance.
    pub fn has_allowance(&self) -> bool {
        self.hold_period.is_some_and(|period| period.has_allowance)
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
        self.last_takeover = None;
        self.has_unused_allowance = false;
        self.released_at = None;
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
        if record.era == revision.era() {
            // Its writer has waited for the terms of the previous era.
            self.no_writes_until = self.no_writes_until.min(now);
        }
        if self.is_own(record) {
            self.note_own_takeover();
        } else {
            self.hold_period = None;
            self.has_unused_allowance = false;
        }
        self.observed_claim = Some(ObservedClaim {
            revision,
            record,
            first_seen: now,
        });
    }

    /// Keeps the allowance of a takeover whose answer hasn't arrived. Called before an own record replaces the observed
    /// one; a takeover on the observed revision is then the only write that can have caused it.
    fn note_own_takeover(&mut self) {
        let Some((observed, takeover)) = self.observed_claim.zip(self.last_takeover) else {
            return;
        };
        if self.hold_period.is_none() && takeover.expected_revision == observed.revision {
            self.has_unused_allowance = takeover.takes_allowance;
        }
    }

    /// Returns the write that is due, if any. `wants_claim` tells whether this process should hold the claim.
    pub fn next_write(&mut self, wants_claim: bool, now: Duration) -> Option<ClaimWrite> {
        if now < self.no_writes_until || self.wrote_within(RETRY_DELAY, now) {
            return None;
        }
        let observed_record = self.observed_claim.map(|observed| observed.record);
        let is_own = observed_record.is_some_and(|record| self.is_own(record));
        if !wants_claim {
            return is_own.then(|| self.release(now));
        }
        let holds = self.hold_period.is_some_and(|period| now < period.end);
        let is_renewed = is_own && holds && self.wrote_within(self.timings.renewal_period, now);
        if is_renewed || (!is_own && !self.is_free(now)) {
            return None;
        }
        let takes_allowance = match observed_record {
            Some(_own) if is_own => self.has_unused_allowance,
            Some(record) => record.offers_allowance && record.era == self.era,
            None => false,
        };
        let write = self.begin_write(Some(self.own_session), takes_allowance, now);
        if !is_own {
            self.last_takeover = Some(write);
        }
        Some(write)
    }

    /// Returns the write that gives the claim back. This process stops using the right before.
    fn release(&mut self, now: Duration) -> ClaimWrite {
        if let Some(period) = &mut self.hold_period {
            period.end = period.end.min(now);
        }
        self.released_at = Some(now);
        self.begin_write(None, false, now)
    }

    /// Returns whether this process began a write within the last `period`.
    fn wrote_within(&self, period: Duration, now: Duration) -> bool {
        self.last_write
            .is_some_and(|begun_at| now < begun_at + period)
    }

    /// Returns a write of the claim that begins now.
    fn begin_write(
        &mut self,
        holder: Option<SessionId>,
        takes_allowance: bool,
        now: Duration,
    ) -> ClaimWrite {
        self.last_write = Some(now);
        let absent_revision = StoreRevision::ABSENT.with_era(self.era);
        ClaimWrite {
            expected_revision: self
                .observed_claim
                .map_or(absent_revision, |observed| observed.revision),
            record: ClaimRecord {
                holder,
                era: self.era,
                offers_allowance: self.may_offer_allowance(now),
            },
            takes_allowance,
        }
    }

    /// Returns whether the hold of this process has lasted long enough for the next one to start with an allowance.
    fn may_offer_allowance(&self, now: Duration) -> bool {
        self.hold_period
            .zip(self.offer_delay)
            .is_some_and(|(period, offer_delay)| now >= period.start.saturating_add(offer_delay))
    }

    /// Returns whether a record is this process's own claim in the current era.
    fn is_own(&self, record: ClaimRecord) -> bool {
        record.holder == Some(self.own_session) && record.era == self.era
    }

    /// Returns whether no other process can be using the right any more. It may have stopped only now; a process that
    /// takes the claim over therefore waits for the quiet time.
    fn is_free(&self, now: Duration) -> bool {
        now >= self.free_since()
    }

    /// Returns the time from which no other process can be using the right, by the latest known record. It may be in the
    /// future.
    pub fn free_since(&self) -> Duration {
        let Some(observed) = self.observed_claim else {
            return Duration::ZERO;
        };
        let taken_over_at = observed.first_seen + self.timings.takeover_delay;
        if observed.record.era != self.era {
            return taken_over_at;
        }
        match observed.record.holder {
            None => observed.first_seen,
            // The holder is a previous process on this VM, which has ended.
            Some(holder) if holder.vm == self.own_session.vm => observed.first_seen,
            Some(_other) => taken_over_at,
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
        if self.released_at.is_some_and(|at| begun_at <= at) {
            // The claim may have been given back since, and be held by another VM.
            return;
        }
        let start = match (self.hold_period, previous_claim) {
            (Some(period), _) => period.start,
            // The claim's key didn't exist, so no process has held the claim.
            (None, None) => begun_at,
            // Any previous holder, including this process, may have used the right until now.
            (None, Some(_)) => now + self.timings.quiet_time,
        };
        let has_allowance = self
            .hold_period
            .map_or(write.takes_allowance, |period| period.has_allowance);
        self.has_unused_allowance = false;
        self.hold_period = Some(HoldPeriod {
            start,
            end: begun_at + self.timings.term,
            has_allowance,
        });
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "claim_allowance_tests.rs"]
mod allowance_tests;
