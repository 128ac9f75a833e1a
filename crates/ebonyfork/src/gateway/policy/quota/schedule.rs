//! Reserves tokens that are not due yet.
//!
//! Load pattern: requests arrive faster than tokens for a moment, and each can wait for a time of its own. A reservation
//! is a commitment to have a token at a deadline. The schedule accepts a commitment only if all earlier ones still get
//! their tokens in time, so nobody waits in vain: the `k`-th commitment by deadline needs `k` tokens at that deadline,
//! from those present and those that the refill brings by then. Tokens are then granted in the order of the deadlines,
//! which is the order that misses none whenever any order misses none.

use std::time::Duration;

use super::request::RequesterKey;
use crate::ident::RequestFingerprint;

/// Largest number of requests of one organisation that wait at a part.
pub const MAX_WAITING: usize = 64;
/// Largest number of promises of one organisation at a part.
pub const MAX_PROMISES: usize = 64;
/// Time ahead in which the whole refill can be reserved.
const FULL_RATE_TIME: Duration = Duration::from_millis(200);
/// Part of the later refill that can be reserved, in addition to the next token. If requests that can wait a second
/// reserved all of it, the first urgent requests after a pause would be refused for that second.
const LATER_SHARE: f64 = 0.75;
/// Absorbs floating-point error in sums of tokens.
pub(super) const TOLERANCE: f64 = 1e-6;
/// Upper bound on times that are computed from a rate. A quota with a tiny rate may change before its next token is due.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Whom a token is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Beneficiary {
    /// A request that waits since the stated time.
    Waiting {
        /// Start of the wait.
        since: Duration,
        /// Whether the request returned as it was told to.
        is_return: bool,
    },
    /// A request that was told to return.
    Promised {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
}

/// A token that is kept for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Commitment {
    /// Time at which the token is there at the latest.
    pub(super) deadline: Duration,
    /// Class of priority that is charged.
    pub(super) class: usize,
    /// The request that the commitment was made to.
    pub(super) requester: RequesterKey,
    pub(super) beneficiary: Beneficiary,
}

impl Commitment {
    /// Returns whether a request waits for the token at the holder.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.beneficiary, Beneficiary::Waiting { .. })
    }
}

/// Tokens that a part has and gets.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenSupply {
    /// Present tokens.
    pub(super) tokens: f64,
    /// Tokens per second.
    pub(super) rate: f64,
    pub(super) now: Duration,
}

impl TokenSupply {
    /// Returns how many tokens can be relied on at a time if none is granted.
    fn tokens_at(&self, time: Duration) -> f64 {
        let ahead = time.saturating_sub(self.now);
        let soon = ahead.min(FULL_RATE_TIME).as_secs_f64();
        let later = ahead.saturating_sub(FULL_RATE_TIME).as_secs_f64();
        let first = (self.tokens + self.rate * (soon + later)).min(1.0);
        first.max(self.tokens + self.rate * (soon + later * LATER_SHARE))
    }

    /// Returns the time from which a number of tokens can be relied on if none is granted.
    pub(super) fn time_of(&self, tokens: f64) -> Duration {
        let missing = tokens - self.tokens;
        if missing <= TOLERANCE {
            return self.now;
        }
        let soon = time_for(missing, self.rate);
        if soon <= FULL_RATE_TIME || tokens <= 1.0 {
            return self.now + soon;
        }
        let later = missing - self.rate * FULL_RATE_TIME.as_secs_f64();
        self.now + FULL_RATE_TIME + time_for(later, self.rate * LATER_SHARE)
    }
}

/// Returns the time in which a number of tokens is refilled, at most [`MAX_WAIT`].
pub(super) fn time_for(tokens: f64, rate: f64) -> Duration {
    let seconds = tokens / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
}

/// Commitments of a part to one organisation, in the order of their deadlines.
#[derive(Debug, Default)]
pub(super) struct TokenSchedule {
    commitments: Vec<Commitment>,
}

impl TokenSchedule {
    /// Returns the number of commitments.
    pub(super) fn len(&self) -> usize {
        self.commitments.len()
    }

    /// Returns the commitments in the order of their deadlines.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Commitment> {
        self.commitments.iter()
    }

    /// Returns the number of requests that wait.
    pub(super) fn waiting_count(&self) -> usize {
        self.iter().filter(|entry| entry.is_waiting()).count()
    }

    /// Returns the number of promises.
    pub(super) fn promise_count(&self) -> usize {
        self.len() - self.waiting_count()
    }

    /// Returns the earliest time at which one more token can be had without any of the selected commitments missing its
    /// own, from tokens that are for these alone.
    pub(super) fn earliest_slot(
        &self,
        supply: TokenSupply,
        selects: impl Fn(&Commitment) -> bool,
    ) -> Duration {
        let mut ahead = 0;
        let mut slot = supply.now;
        for (index, commitment) in self.iter().filter(|entry| selects(entry)).enumerate() {
            if !has_spare_before(index, commitment, supply) {
                ahead = index + 1;
                slot = commitment.deadline.max(supply.now);
            }
        }
        slot.max(supply.time_of(ahead as f64 + 1.0))
    }

    /// Returns whether the commitment with an index can get a token now: there is one, and none that comes before
    /// misses its own.
    pub(super) fn can_grant(&self, index: usize, supply: TokenSupply) -> bool {
        let mut earlier = self.iter().take(index).enumerate();
        supply.tokens + TOLERANCE >= 1.0
            && earlier.all(|(index, commitment)| has_spare_before(index, commitment, supply))
    }

    /// Adds a commitment, after those with the same deadline.
    pub(super) fn insert(&mut self, commitment: Commitment) {
        let index = self
            .commitments
            .partition_point(|other| other.deadline <= commitment.deadline);
        self.commitments.insert(index, commitment);
    }

    /// Removes the commitment with an index.
    pub(super) fn remove(&mut self, index: usize) -> Commitment {
        self.commitments.remove(index)
    }

    /// Removes the first commitment that a predicate selects.
    pub(super) fn remove_first(
        &mut self,
        selects: impl Fn(&Commitment) -> bool,
    ) -> Option<Commitment> {
        let index = self.commitments.iter().position(selects)?;
        Some(self.remove(index))
    }

    /// Removes all commitments that a predicate selects.
    pub(super) fn remove_all(&mut self, selects: impl Fn(&Commitment) -> bool) -> Vec<Commitment> {
        self.commitments
            .extract_if(.., |entry| selects(entry))
            .collect()
    }
}

/// Returns whether a commitment that comes after `index` others keeps its token if another one is granted before.
fn has_spare_before(index: usize, commitment: &Commitment, supply: TokenSupply) -> bool {
    supply.tokens_at(commitment.deadline) + TOLERANCE >= index as f64 + 2.0
}
