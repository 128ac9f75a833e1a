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

use super::window::WINDOW;
use crate::ident::SessionId;
use crate::store::{StoreEra, StoreRevision};

/// Time for which a holder may send, from the moment at which it began to write its claim.
pub const CLAIM_TERM: Duration = Duration::from_secs(4);
/// Time after which a holder renews its claim. Two renewals may fail before the term ends.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_300);
/// Time for which a claim must be unchanged before another VM takes it over, and for which an era must be known before
/// claims are written: the term, a window, and an allowance for clock drift between two VMs.
const TAKEOVER_DELAY: Duration = Duration::from_millis(5_500);
/// Delay before a write is repeated after it failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Record in the store for one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Process that may send to the zone's cold upstreams; `None` once it has given the claim back.
    pub holder: Option<SessionId>,
    /// Store era in which the condition of the write was read.
    pub era: StoreEra,
}

/// Write that is due. It must only be applied if the key is at the expected revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Revision that the key must have.
    pub expected: StoreRevision,
    /// Record to write.
    pub record: ClaimRecord,
}

/// Latest record read from the store or written to it.
#[derive(Debug, Clone, Copy)]
struct ObservedClaim {
    revision: StoreRevision,
    record: ClaimRecord,
    /// Time at which this revision was first seen.
    first_seen: Duration,
}

/// Period in which this process may send.
#[derive(Debug, Clone, Copy)]
struct SendPeriod {
    from: Duration,
    until: Duration,
}

/// Claim on one availability zone as known to one process. Times are durations since the process started, on a clock
/// that keeps running while the VM is suspended.
#[derive(Debug)]
pub struct ZoneClaim {
    own: SessionId,
    /// Current store era.
    era: StoreEra,
    /// Time until which a claim of the previous era may still be in use on some VM.
    no_writes_until: Duration,
    observed: Option<ObservedClaim>,
    /// Period in which this process may send; `None` if it doesn't hold the claim.
    term: Option<SendPeriod>,
    /// Time at which the last write was begun.
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
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            era: StoreEra::UNSTATED,
            no_writes_until: Duration::ZERO,
            observed: None,
            term: None,
            last_write: None,
        }
    }

    /// Returns whether this process may send to the zone's cold upstreams.
    pub fn may_send(&self, now: Duration) -> bool {
        self.term
            .is_some_and(|term| term.from <= now && now < term.until)
    }

    /// Returns whether any process, including this one, may be sending to the zone's cold upstreams.
    pub fn is_held(&self, now: Duration) -> bool {
        let held = |observed: &ObservedClaim| {
            observed.record.holder.is_some() && now < observed.first_seen + TAKEOVER_DELAY
        };
        self.observed.as_ref().is_some_and(held)
    }

    /// Records that the store has entered an era. Everything read or written in an earlier era becomes void.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.no_writes_until = now + TAKEOVER_DELAY;
        self.observed = None;
        self.term = None;
        self.last_write = None;
    }

    /// Updates the state with a record that was read from the store.
    pub fn observe(&mut self, revision: StoreRevision, record: ClaimRecord, now: Duration) {
        self.enter_era(revision.era(), now);
        let outdated = self
            .observed
            .is_some_and(|observed| observed.revision >= revision);
        if outdated || revision.era() < self.era {
            return;
        }
        if !self.is_own(record) {
            self.term = None;
        }
        self.observed = Some(ObservedClaim {
            revision,
            record,
            first_seen: now,
        });
    }

    /// Returns the write that is due, if any. `wanted` tells whether this process should send to the zone's cold
    /// upstreams.
    pub fn next_write(&mut self, wanted: bool, now: Duration) -> Option<ClaimWrite> {
        if now < self.no_writes_until {
            return None;
        }
        let wrote_within = |period: Duration| {
            self.last_write
                .is_some_and(|written| now < written + period)
        };
        if wrote_within(RETRY_DELAY) {
            return None;
        }
        let absent = StoreRevision::ABSENT.with_era(self.era);
        let expected = self.observed.map_or(absent, |observed| observed.revision);
        let own = self
            .observed
            .is_some_and(|observed| self.is_own(observed.record));
        if !wanted {
            if !own {
                return None;
            }
            // Stops sending before the claim is given back.
            self.term = None;
            self.last_write = Some(now);
            return Some(ClaimWrite {
                expected,
                record: ClaimRecord {
                    holder: None,
                    era: self.era,
                },
            });
        }
        let has_term = self.term.is_some();
        if (own && has_term && wrote_within(RENEWAL_PERIOD)) || (!own && !self.is_free(now)) {
            return None;
        }
        self.last_write = Some(now);
        Some(ClaimWrite {
            expected,
            record: ClaimRecord {
                holder: Some(self.own),
                era: self.era,
            },
        })
    }

    /// Returns whether a record is this process's own claim in the current era.
    fn is_own(&self, record: ClaimRecord) -> bool {
        record.holder == Some(self.own) && record.era == self.era
    }

    /// Returns whether no other process can be sending any more, apart from requests that one window absorbs.
    fn is_free(&self, now: Duration) -> bool {
        let Some(observed) = self.observed else {
            return true;
        };
        if observed.record.era != self.era {
            return now >= observed.first_seen + TAKEOVER_DELAY;
        }
        match observed.record.holder {
            None => true,
            // A previous process on this VM, which has ended.
            Some(holder) if holder.vm == self.own.vm => true,
            Some(_other) => now >= observed.first_seen + TAKEOVER_DELAY,
        }
    }

    /// Records that a write begun at `begun` was applied and the key is now at `revision`.
    pub fn record_write(
        &mut self,
        write: ClaimWrite,
        revision: StoreRevision,
        begun: Duration,
        now: Duration,
    ) {
        self.enter_era(revision.era(), now);
        if write.record.era != revision.era() || revision.era() < self.era {
            // The condition was read in another era, or the era of the write has ended.
            return;
        }
        if self
            .observed
            .is_some_and(|observed| observed.revision > revision)
        {
            // The key was written again since.
            return;
        }
        let previous = self.observed;
        self.observed = Some(ObservedClaim {
            revision,
            record: write.record,
            first_seen: now,
        });
        if write.record.holder.is_none() {
            self.term = None;
            return;
        }
        let from = match (self.term, previous) {
            (Some(term), _) => term.from,
            // The claim was never held.
            (None, None) => begun,
            // Any previous holder, including this process, may have sent until now.
            (None, Some(_)) => now + WINDOW,
        };
        self.term = Some(SendPeriod {
            from,
            until: begun + CLAIM_TERM,
        });
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
