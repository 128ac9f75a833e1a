//! Sealed sessions of processes that have ended by a planned stop.
//!
//! A sealed session never changes: its process started no more queries before it handed the session over. So a key
//! that is in no part of the session has never run and never will.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{RunState, SessionId};
use crate::once::aged::EvictedKeys;
use crate::once::message::{HandoverPart, SealedOutcome, TransferId};
use crate::once::table::{
    OUTCOME_TTL, RequestDigest, evicted_key_refusal, mismatch_refusal, no_new_work_refusal,
    outcome_bytes,
};
use crate::query::{QueryOutcome, QueryRefusal, RefusalCode};

/// How long an adopted session is kept after its first part arrived.
pub const ADOPTED_TTL: Duration = OUTCOME_TTL;
/// Largest total size of adopted outcomes, in bytes.
pub const MAX_ADOPTED_BYTES: usize = 16 << 20;
/// Largest number of adopted sessions; beyond it the oldest is removed.
const MAX_ADOPTED_SESSIONS: usize = 64;
/// Largest total size of the outcomes in one part, in bytes.
const MAX_PART_BYTES: usize = 512 << 10;
/// Largest number of ranges of evicted keys in one part.
const MAX_PART_RANGES: usize = 16_384;
/// Largest accepted number of parts in one transfer, above what any process sends.
const MAX_PARTS: u32 = 4_096;
/// Retry delay given to callers while a session's handover is incomplete.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A sealed session, as far as its parts have arrived.
#[derive(Debug)]
struct AdoptedSession {
    transfer: TransferId,
    outcomes: FxHashMap<u64, SealedOutcome>,
    evicted_keys: EvictedKeys,
    /// Whether each part has arrived, by its index.
    arrived_parts: Vec<bool>,
    /// Total size of `outcomes`.
    kept_bytes: usize,
}

impl AdoptedSession {
    fn new(part: &HandoverPart) -> Self {
        Self {
            transfer: part.transfer,
            outcomes: FxHashMap::default(),
            evicted_keys: EvictedKeys::new(),
            arrived_parts: vec![false; part.count as usize],
            kept_bytes: 0,
        }
    }

    /// Adds a part; keys whose outcomes would exceed `max_bytes` bytes are recorded as evicted.
    fn add_part(&mut self, part: HandoverPart, max_bytes: usize) {
        let Some(arrived) = self.arrived_parts.get_mut(part.number as usize) else {
            return;
        };
        if std::mem::replace(arrived, true) {
            return;
        }
        for range in part.evicted_keys {
            self.evicted_keys.insert_range(range);
        }
        for sealed_outcome in part.outcomes {
            let bytes = outcome_bytes(&sealed_outcome.outcome);
            if self.kept_bytes + bytes > max_bytes {
                self.evicted_keys.insert(sealed_outcome.sequence);
                continue;
            }
            self.kept_bytes += bytes;
            self.outcomes
                .insert(sealed_outcome.sequence, sealed_outcome);
        }
    }

    fn is_complete(&self) -> bool {
        self.arrived_parts.iter().all(|arrived| *arrived)
    }
}

/// The adopted sessions of one process.
#[derive(Debug, Default)]
pub struct AdoptedSessions {
    sessions: FxHashMap<SessionId, AdoptedSession>,
    /// Arrival time of the first part of each session, oldest first.
    arrival_order: VecDeque<(Duration, SessionId)>,
    /// Total size of the outcomes of all sessions.
    total_bytes: usize,
}

impl AdoptedSessions {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part; returns true if its session is complete. An incomplete transfer is replaced by a newer one.
    pub fn add_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        if part.number >= part.count || part.count > MAX_PARTS {
            return false;
        }
        let session = part.session;
        if self
            .sessions
            .get(&session)
            .is_some_and(AdoptedSession::is_complete)
        {
            return true;
        }
        let is_other_transfer = |adopted: &AdoptedSession| adopted.transfer != part.transfer;
        if self.sessions.get(&session).is_some_and(is_other_transfer) {
            self.remove_session(session);
        }
        if !self.sessions.contains_key(&session) {
            self.evict_if_full();
            self.arrival_order.push_back((now, session));
            self.sessions.insert(session, AdoptedSession::new(&part));
        }
        let Some(adopted) = self.sessions.get_mut(&session) else {
            return false;
        };
        let other_bytes = self.total_bytes - adopted.kept_bytes;
        adopted.add_part(part, MAX_ADOPTED_BYTES - other_bytes);
        self.total_bytes = other_bytes + adopted.kept_bytes;
        adopted.is_complete()
    }

    /// Returns the outcome of a key, or `None` if its session was not adopted.
    pub fn outcome(
        &self,
        session: SessionId,
        sequence: u64,
        digest: RequestDigest,
    ) -> Option<QueryOutcome> {
        let adopted = self.sessions.get(&session)?;
        if let Some(sealed_outcome) = adopted.outcomes.get(&sequence) {
            if sealed_outcome.digest != digest {
                return Some(Err(mismatch_refusal()));
            }
            return Some(sealed_outcome.outcome.clone());
        }
        if adopted.evicted_keys.contains(sequence) {
            return Some(Err(evicted_key_refusal()));
        }
        let refusal = if adopted.is_complete() {
            no_new_work_refusal(RefusalCode::Stopping)
        } else {
            let message = "the key's process has stopped; its outcomes are being handed over";
            QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
                .with_retry_after(HANDOVER_RETRY_DELAY)
        };
        Some(Err(refusal))
    }

    /// Removes sessions older than [`ADOPTED_TTL`]; this process then no longer holds any outcome of theirs.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(first_part_at, _session)) = self.arrival_order.front() {
            if first_part_at + ADOPTED_TTL > now {
                return;
            }
            self.remove_oldest_session();
        }
    }

    /// Returns the parts of all complete sessions, for handover to this process's successor.
    pub fn export(&self, transfer: TransferId) -> Vec<HandoverPart> {
        let mut parts = Vec::new();
        for (_first_part_at, session) in &self.arrival_order {
            let Some(adopted) = self.sessions.get(session) else {
                continue;
            };
            if !adopted.is_complete() {
                continue;
            }
            let outcomes = adopted.outcomes.values().cloned().collect();
            parts.extend(split_session(
                *session,
                transfer,
                outcomes,
                &adopted.evicted_keys,
            ));
        }
        parts
    }

    /// Returns the number of adopted sessions, complete or not.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether no session is adopted.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    fn evict_if_full(&mut self) {
        if self.sessions.len() >= MAX_ADOPTED_SESSIONS {
            self.remove_oldest_session();
        }
    }

    fn remove_oldest_session(&mut self) {
        if let Some(&(_first_part_at, session)) = self.arrival_order.front() {
            self.remove_session(session);
        }
    }

    fn remove_session(&mut self, session: SessionId) {
        self.arrival_order
            .retain(|(_first_part_at, other)| *other != session);
        if let Some(adopted) = self.sessions.remove(&session) {
            self.total_bytes -= adopted.kept_bytes;
        }
    }
}

/// Splits a sealed session into parts that each fit into a frame. The key of an outcome too large for a part is sent
/// as evicted.
pub(super) fn split_session(
    session: SessionId,
    transfer: TransferId,
    outcomes: Vec<SealedOutcome>,
    evicted_keys: &EvictedKeys,
) -> Vec<HandoverPart> {
    let new_part = || HandoverPart {
        session,
        transfer,
        number: 0,
        count: 0,
        outcomes: Vec::new(),
        evicted_keys: Vec::new(),
    };
    let mut evicted_keys = evicted_keys.clone();
    let mut parts = Vec::new();
    let mut part = new_part();
    let mut part_bytes = 0;
    for sealed_outcome in outcomes {
        let bytes = outcome_bytes(&sealed_outcome.outcome);
        if bytes > MAX_PART_BYTES {
            evicted_keys.insert(sealed_outcome.sequence);
            continue;
        }
        if part_bytes + bytes > MAX_PART_BYTES {
            parts.push(std::mem::replace(&mut part, new_part()));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.outcomes.push(sealed_outcome);
    }
    for range in evicted_keys.ranges() {
        if part.evicted_keys.len() == MAX_PART_RANGES {
            parts.push(std::mem::replace(&mut part, new_part()));
        }
        part.evicted_keys.push(range);
    }
    parts.push(part);
    let count = parts.len() as u32;
    for (number, part) in parts.iter_mut().enumerate() {
        part.number = number as u32;
        part.count = count;
    }
    parts
}

#[cfg(test)]
#[path = "adopted_tests.rs"]
mod tests;
