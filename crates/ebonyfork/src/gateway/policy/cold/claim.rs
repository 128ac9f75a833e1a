//! Which VM sends to the cold upstreams of an availability zone. Pure.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::window::WINDOW;
use crate::ident::SessionId;
use crate::store::StoreRevision;

/// How long a holder sends after it began to write its claim.
pub const CLAIM_TERM: Duration = Duration::from_secs(4);
/// Time after which a holder writes its claim again: two writes may fail before the term ends.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_300);
/// How long another VM must have seen a claim unchanged to take it over: the term, a window, and what the clocks of two VMs
/// may differ by meanwhile.
const TAKEOVER_TIME: Duration = Duration::from_millis(5_500);
/// Time between two writes of which the first one has failed.
const RETRY_TIME: Duration = Duration::from_millis(300);

/// What stands in the store for an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that sends to the zone's cold upstreams; `None` once it has given the claim back.
    pub holder: Option<SessionId>,
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

    /// Takes in what the store holds.
    pub fn observe(&mut self, revision: StoreRevision, record: ClaimRecord, now: Duration) {
        if self.seen.is_some_and(|seen| seen.revision >= revision) {
            return;
        }
        if record.holder != Some(self.own) {
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
        let resting = |period: Duration| self.written.is_some_and(|written| now < written + period);
        if resting(RETRY_TIME) {
            return None;
        }
        let expected = self
            .seen
            .map_or(StoreRevision::ABSENT, |seen| seen.revision);
        let own = self
            .seen
            .is_some_and(|seen| seen.record.holder == Some(self.own));
        if !wanted {
            if !own {
                return None;
            }
            // Given back only once nothing more is sent.
            self.term = None;
            self.written = Some(now);
            return Some(ClaimWrite {
                expected,
                record: ClaimRecord { holder: None },
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
            },
        })
    }

    /// Whether nobody else can be sending any more, but for what a window absorbs.
    fn is_free(&self, now: Duration) -> bool {
        let Some(seen) = self.seen else {
            return true;
        };
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
