//! Which VM sends to the cold upstreams of an availability zone. Pure.
//!
//! A claim is a record that is written on the condition that its key has not changed since it was read. A store that comes
//! back from an older copy voids that: the record may be gone while its holder sends, and the condition may hold for a
//! revision that was given out again. Therefore
//!
//! - a process that learns of a new era drops its term and writes nothing for as long as a term of the era before may run
//!   anywhere, also when it has just started;
//! - a write that was done in another era than its condition was read in counts for nothing;
//! - a record names the era of its condition. One of another era may stand in place of a claim that is in use, so what
//!   it says is waited out, whoever it names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::window::WINDOW;
use crate::ident::SessionId;
use crate::store::{StoreEra, StoreRevision};

/// How long a holder sends after it began to write its claim.
pub const CLAIM_TERM: Duration = Duration::from_secs(4);
/// Time after which a holder writes its claim again: two writes may fail before the term ends.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_300);
/// How long another VM must have seen a claim unchanged to take it over, and an era must have been known: the term, a window,
/// and what the clocks of two VMs may differ by meanwhile.
const TAKEOVER_TIME: Duration = Duration::from_millis(5_500);
/// Time between two writes of which the first one has failed.
const RETRY_TIME: Duration = Duration::from_millis(300);

/// What stands in the store for an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that sends to the zone's cold upstreams; `None` once it has given the claim back.
    pub holder: Option<SessionId>,
    /// The store's era in which the condition of the write was read.
    pub era: StoreEra,
}

/// A write that is due. It must not be done unless the key is at the revision that is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The revision that the key must have.
    pub expected: StoreRevision,
    /// What is to stand there.
    pub record: ClaimRecord,
}

/// What the store was last seen to hold.
#[derive(Debug, Clone, Copy)]
struct SeenClaim {
    revision: StoreRevision,
    record: ClaimRecord,
    /// When it was first seen.
    since: Duration,
}

/// When a process sends.
#[derive(Debug, Clone, Copy)]
struct SendTerm {
    from: Duration,
    until: Duration,
}

/// The claim on one availability zone as one process knows it; times are spans since its start on a clock that goes on
/// while the VM is suspended.
#[derive(Debug)]
pub struct ZoneClaim {
    own: SessionId,
    /// The store's era, and until when a claim of the one before may be in use somewhere.
    era: StoreEra,
    unsettled_until: Duration,
    seen: Option<SeenClaim>,
    /// When this process sends.
    term: Option<SendTerm>,
    /// When a write was last begun.
    written: Option<Duration>,
}

impl ZoneClaim {
    /// Nothing is known of the claim.
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
    /// let write = claim.step(true, now).expect("nobody holds it");
    /// assert!(!claim.may_send(now));
    /// claim.note_written(write, StoreRevision::new(4), now, now);
    /// assert!(claim.may_send(now));
    /// assert!(!claim.may_send(now + Duration::from_secs(5)));
    /// # Ok::<(), ebonyfork::ident::IdentError>(())
    /// ```
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            era: StoreEra::UNSTATED,
            unsettled_until: Duration::ZERO,
            seen: None,
            term: None,
            written: None,
        }
    }

    /// Whether this process may send to cold upstreams of the zone.
    pub fn may_send(&self, now: Duration) -> bool {
        self.term
            .is_some_and(|term| term.from <= now && now < term.until)
    }

    /// Whether some process, this one or another, may be sending to cold upstreams of the zone.
    pub fn is_held(&self, now: Duration) -> bool {
        let held =
            |seen: &SeenClaim| seen.record.holder.is_some() && now < seen.since + TAKEOVER_TIME;
        self.seen.as_ref().is_some_and(held)
    }

    /// Takes in that the store is in an era. Nothing that was read or written in the one before holds any more.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.unsettled_until = now + TAKEOVER_TIME;
        self.seen = None;
        self.term = None;
        self.written = None;
    }

    /// Takes in what the store holds.
    pub fn observe(&mut self, revision: StoreRevision, record: ClaimRecord, now: Duration) {
        self.enter_era(revision.era(), now);
        let outdated = self.seen.is_some_and(|seen| seen.revision >= revision);
        if outdated || revision.era() < self.era {
            return;
        }
        if !self.is_own(record) {
            self.term = None;
        }
        self.seen = Some(SeenClaim {
            revision,
            record,
            since: now,
        });
    }

    /// The write that is due, if any; `wanted` tells whether this process should send to cold upstreams of the zone.
    pub fn step(&mut self, wanted: bool, now: Duration) -> Option<ClaimWrite> {
        if now < self.unsettled_until {
            return None;
        }
        let resting = |period: Duration| self.written.is_some_and(|written| now < written + period);
        if resting(RETRY_TIME) {
            return None;
        }
        let absent = StoreRevision::ABSENT.with_era(self.era);
        let expected = self.seen.map_or(absent, |seen| seen.revision);
        let own = self.seen.is_some_and(|seen| self.is_own(seen.record));
        if !wanted {
            if !own {
                return None;
            }
            // Given back only once nothing more is sent.
            self.term = None;
            self.written = Some(now);
            return Some(ClaimWrite {
                expected,
                record: ClaimRecord {
                    holder: None,
                    era: self.era,
                },
            });
        }
        let has_term = self.term.is_some();
        if (own && has_term && resting(RENEWAL_PERIOD)) || (!own && !self.is_free(now)) {
            return None;
        }
        self.written = Some(now);
        Some(ClaimWrite {
            expected,
            record: ClaimRecord {
                holder: Some(self.own),
                era: self.era,
            },
        })
    }

    /// Whether a record is this process's own claim in this era.
    fn is_own(&self, record: ClaimRecord) -> bool {
        record.holder == Some(self.own) && record.era == self.era
    }

    /// Whether nobody else can be sending any more, but for what a window absorbs.
    fn is_free(&self, now: Duration) -> bool {
        let Some(seen) = self.seen else {
            return true;
        };
        if seen.record.era != self.era {
            return now >= seen.since + TAKEOVER_TIME;
        }
        match seen.record.holder {
            None => true,
            // An earlier process of this VM, which has ended.
            Some(holder) if holder.vm == self.own.vm => true,
            Some(_other) => now >= seen.since + TAKEOVER_TIME,
        }
    }

    /// A write that was begun at `begun` has been done: the key is at `revision`.
    pub fn note_written(
        &mut self,
        write: ClaimWrite,
        revision: StoreRevision,
        begun: Duration,
        now: Duration,
    ) {
        self.enter_era(revision.era(), now);
        if write.record.era != revision.era() || revision.era() < self.era {
            // Done on a condition of another history, or in one that has ended.
            return;
        }
        if self.seen.is_some_and(|seen| seen.revision > revision) {
            // Somebody has written since.
            return;
        }
        let before = self.seen;
        self.seen = Some(SeenClaim {
            revision,
            record: write.record,
            since: now,
        });
        if write.record.holder.is_none() {
            self.term = None;
            return;
        }
        let from = match (self.term, before) {
            (Some(term), _) => term.from,
            // Nobody has ever held it.
            (None, None) => begun,
            // Whoever held it before, this process included, may have sent until now.
            (None, Some(_)) => now + WINDOW,
        };
        self.term = Some(SendTerm {
            from,
            until: begun + CLAIM_TERM,
        });
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
