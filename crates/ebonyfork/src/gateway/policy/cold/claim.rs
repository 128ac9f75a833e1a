//! Decides which VM sends to the cold upstreams of an availability zone. Does no I/O.
//!
//! A claim is a record that is written on the condition that its key is unchanged since it was read. If the store is
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

use super::window::WINDOW_LENGTH;
use crate::ident::SessionId;
use crate::store::{StoreEra, StoreRevision};

/// Time for which a holder may send, from the moment at which it began to write its claim.
pub const CLAIM_TERM: Duration = Duration::from_secs(4);
/// Time after which a holder renews its claim. Two renewals may fail before the term ends.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_300);
/// Time for which a claim must be unchanged before another VM takes it over, and for which a store era must be known
/// before claims are written in it: [`CLAIM_TERM`], [`WINDOW_LENGTH`], and an allowance for clock drift between two
/// VMs.
const TAKEOVER_DELAY: Duration = Duration::from_millis(5_500);
/// Minimum time from the beginning of a write to that of the next one, which repeats the first one if it failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Record in the store that states which process holds the claim on an availability zone's cold upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Process that may send to the zone's cold upstreams; `None` once it has given the claim back.
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

/// Period in which this process may send requests to the zone's cold upstreams, because it holds the claim. Ends one
/// [`CLAIM_TERM`] after the process began the write that gave it the claim or renewed it.
#[derive(Debug, Clone, Copy)]
struct SendPeriod {
    start: Duration,
    end: Duration,
}

/// Claim on the cold upstreams of one availability zone, as known to one process. Times are durations since the process
/// started, on a clock that keeps running while the VM is suspended.
#[derive(Debug)]
pub struct ZoneClaim {
    own_session: SessionId,
    /// Latest store era that this process knows of.
    era: StoreEra,
    /// Time until which a claim of the previous store era may still be in use on some VM.
    no_writes_until: Duration,
    observed_claim: Option<ObservedClaim>,
    /// Period in which this process may send to the zone's cold upstreams; `None` if it doesn't hold the claim.
    send_period: Option<SendPeriod>,
    /// Time at which this process began its last write of the claim.
    last_write: Option<Duration>,
}

impl ZoneClaim {
    /// Creates the state of a process that knows nothing of the claim.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::ZoneClaim;
    /// use ebonyfork::store::StoreRevision;
    ///
    /// let mut claim = ZoneClaim::new("10.0.0.1-7".parse()?);
    /// let now = Duration::from_secs(60);
    /// let write = claim.next_write(true, now).expect("nobody holds it");
    /// assert!(!claim.may_send(now));
    /// claim.record_write(write, StoreRevision::new(4), now, now);
    /// assert!(claim.may_send(now));
    /// assert!(!claim.may_send(now + Duration::from_secs(5)));
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn new(own_session: SessionId) -> Self {
        Self {
            own_session,
            era: StoreEra::UNSTATED,
            no_writes_until: Duration::ZERO,
            observed_claim: None,
            send_period: None,
            last_write: None,
        }
    }

    /// Returns whether this process may send to the zone's cold upstreams.
    pub fn may_send(&self, now: Duration) -> bool {
        self.send_period
            .is_some_and(|period| period.start <= now && now < period.end)
    }

    /// Returns whether any process, including this one, may be sending to the zone's cold upstreams.
    pub fn is_held(&self, now: Duration) -> bool {
        let may_be_in_use = |observed: &ObservedClaim| {
            observed.record.holder.is_some() && now < observed.first_seen + TAKEOVER_DELAY
        };
        self.observed_claim.as_ref().is_some_and(may_be_in_use)
    }

    /// Records that the store has entered an era. Everything read or written in an earlier era becomes void.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.no_writes_until = now + TAKEOVER_DELAY;
        self.observed_claim = None;
        self.send_period = None;
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
            self.send_period = None;
        }
        self.observed_claim = Some(ObservedClaim {
            revision,
            record,
            first_seen: now,
        });
    }

    /// Returns the write that is due, if any. `wants_claim` tells whether this process should send to the zone's cold
    /// upstreams.
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
            // This process stops sending before it gives the claim back.
            self.send_period = None;
            self.last_write = Some(now);
            return Some(ClaimWrite {
                expected_revision,
                record: ClaimRecord {
                    holder: None,
                    era: self.era,
                },
            });
        }
        let has_period = self.send_period.is_some();
        if (is_own && has_period && wrote_within(RENEWAL_PERIOD)) || (!is_own && !self.is_free(now))
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

    /// Returns whether no other process can be sending to the zone's cold upstreams any more. It may have stopped only
    /// now; a process that takes the claim over therefore waits for one [`WINDOW_LENGTH`] before it sends.
    fn is_free(&self, now: Duration) -> bool {
        let Some(observed) = self.observed_claim else {
            return true;
        };
        if observed.record.era != self.era {
            return now >= observed.first_seen + TAKEOVER_DELAY;
        }
        match observed.record.holder {
            None => true,
            // The holder is a previous process on this VM, which has ended.
            Some(holder) if holder.vm == self.own_session.vm => true,
            Some(_other) => now >= observed.first_seen + TAKEOVER_DELAY,
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
            self.send_period = None;
            return;
        }
        let start = match (self.send_period, previous_claim) {
            (Some(period), _) => period.start,
            // The claim's key didn't exist, so no process has held the claim.
            (None, None) => begun_at,
            // Any previous holder, including this process, may have sent until now.
            (None, Some(_)) => now + WINDOW_LENGTH,
        };
        self.send_period = Some(SendPeriod {
            start,
            end: begun_at + CLAIM_TERM,
        });
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
