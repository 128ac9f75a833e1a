//! Sealed sessions of processes that have stopped as planned. Pure.
//!
//! A sealed session never changes again: the process that owned it had stopped running keys before it handed them over.
//! So a key that is in no part of it has never run and never will.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ident::{RunState, SessionId};
use crate::once::aged::AgedKeys;
use crate::once::message::{HandoverPart, SealedOutcome, TransferId};
use crate::once::table::{
    OUTCOME_WINDOW, RequestDigest, aged_refusal, gate_refusal, mismatch_refusal, outcome_bytes,
};
use crate::query::{QueryOutcome, QueryRefusal, RefusalCode};

/// How long an adopted session is kept.
pub const ADOPTED_WINDOW: Duration = OUTCOME_WINDOW;
/// Bytes of adopted outcomes at most.
pub const ADOPTED_BYTES: usize = 16 << 20;
/// Adopted sessions kept at most.
const SESSION_LIMIT: usize = 64;
/// Bytes of outcomes in one part.
const PART_BYTES: usize = 512 << 10;
/// Aged ranges in one part.
const PART_RANGES: usize = 16_384;
/// Parts of one session at most: more than any process sends.
const PART_LIMIT: u32 = 4_096;
/// When to ask again for a session whose handover is on its way.
const PART_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct AdoptedSession {
    transfer: TransferId,
    outcomes: FxHashMap<u64, SealedOutcome>,
    aged: AgedKeys,
    /// Parts that have arrived, by number.
    parts: Vec<bool>,
    bytes: usize,
}

impl AdoptedSession {
    fn new(part: &HandoverPart) -> Self {
        Self {
            transfer: part.transfer,
            outcomes: FxHashMap::default(),
            aged: AgedKeys::new(),
            parts: vec![false; part.count as usize],
            bytes: 0,
        }
    }

    /// Adds a part; outcomes beyond `limit` bytes become aged keys.
    fn take_part(&mut self, part: HandoverPart, limit: usize) {
        let Some(arrived) = self.parts.get_mut(part.number as usize) else {
            return;
        };
        if std::mem::replace(arrived, true) {
            return;
        }
        for range in part.aged {
            self.aged.insert_range(range);
        }
        for sealed in part.outcomes {
            let bytes = outcome_bytes(&sealed.outcome);
            if self.bytes + bytes > limit {
                self.aged.insert(sealed.sequence);
                continue;
            }
            self.bytes += bytes;
            self.outcomes.insert(sealed.sequence, sealed);
        }
    }

    fn is_complete(&self) -> bool {
        self.parts.iter().all(|arrived| *arrived)
    }
}

/// All adopted sessions of one process.
#[derive(Debug, Default)]
pub struct AdoptedSessions {
    sessions: FxHashMap<SessionId, AdoptedSession>,
    /// Oldest first, with the time of the first part.
    order: VecDeque<(Duration, SessionId)>,
    bytes: usize,
}

impl AdoptedSessions {
    /// Starts without any.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a part; true if the session is complete. A sending that breaks off is replaced by the next one.
    pub fn take_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        if part.number >= part.count || part.count > PART_LIMIT {
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
        let is_other = |adopted: &AdoptedSession| adopted.transfer != part.transfer;
        if self.sessions.get(&session).is_some_and(is_other) {
            self.forget(session);
        }
        if !self.sessions.contains_key(&session) {
            self.make_room();
            self.order.push_back((now, session));
            self.sessions.insert(session, AdoptedSession::new(&part));
        }
        let Some(adopted) = self.sessions.get_mut(&session) else {
            return false;
        };
        let used = self.bytes - adopted.bytes;
        adopted.take_part(part, ADOPTED_BYTES - used);
        self.bytes = used + adopted.bytes;
        adopted.is_complete()
    }

    /// The outcome of a key, if its session was adopted.
    pub fn outcome(
        &self,
        session: SessionId,
        sequence: u64,
        digest: RequestDigest,
    ) -> Option<QueryOutcome> {
        let adopted = self.sessions.get(&session)?;
        if let Some(sealed) = adopted.outcomes.get(&sequence) {
            if sealed.digest != digest {
                return Some(Err(mismatch_refusal()));
            }
            return Some(sealed.outcome.clone());
        }
        if adopted.aged.contains(sequence) {
            return Some(Err(aged_refusal()));
        }
        let refusal = if adopted.is_complete() {
            gate_refusal(RefusalCode::Stopping)
        } else {
            let message = "the key's process has stopped; its outcomes are being handed over";
            QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
                .with_retry_after(PART_RETRY)
        };
        Some(Err(refusal))
    }

    /// Forgets sessions beyond the window: their keys are unknown from then on.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, _session)) = self.order.front() {
            if at + ADOPTED_WINDOW > now {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Complete sessions, for a successor of their own.
    pub fn export(&self, transfer: TransferId) -> Vec<HandoverPart> {
        let mut parts = Vec::new();
        for (_at, session) in &self.order {
            let Some(adopted) = self.sessions.get(session) else {
                continue;
            };
            if !adopted.is_complete() {
                continue;
            }
            let outcomes = adopted.outcomes.values().cloned().collect();
            parts.extend(split_session(*session, transfer, outcomes, &adopted.aged));
        }
        parts
    }

    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    fn make_room(&mut self) {
        if self.sessions.len() >= SESSION_LIMIT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(&(_at, session)) = self.order.front() {
            self.forget(session);
        }
    }

    fn forget(&mut self, session: SessionId) {
        self.order.retain(|(_at, other)| *other != session);
        if let Some(adopted) = self.sessions.remove(&session) {
            self.bytes -= adopted.bytes;
        }
    }
}

/// Splits a sealed session into parts that fit a frame. An outcome too large for one becomes an aged key.
pub(super) fn split_session(
    session: SessionId,
    transfer: TransferId,
    outcomes: Vec<SealedOutcome>,
    aged: &AgedKeys,
) -> Vec<HandoverPart> {
    let new_part = || HandoverPart {
        session,
        transfer,
        number: 0,
        count: 0,
        outcomes: Vec::new(),
        aged: Vec::new(),
    };
    let mut aged = aged.clone();
    let mut parts = Vec::new();
    let mut part = new_part();
    let mut filled = 0;
    for sealed in outcomes {
        let bytes = outcome_bytes(&sealed.outcome);
        if bytes > PART_BYTES {
            aged.insert(sealed.sequence);
            continue;
        }
        if filled + bytes > PART_BYTES {
            parts.push(std::mem::replace(&mut part, new_part()));
            filled = 0;
        }
        filled += bytes;
        part.outcomes.push(sealed);
    }
    for range in aged.ranges() {
        if part.aged.len() == PART_RANGES {
            parts.push(std::mem::replace(&mut part, new_part()));
        }
        part.aged.push(range);
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
