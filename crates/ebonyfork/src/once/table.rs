//! Idempotency keys and outcomes of this process's own session.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::RunState;
use crate::once::aged::EvictedKeys;
use crate::once::message::SealedOutcome;
use crate::once::state::WaiterId;
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};

/// How long an outcome is kept by default.
pub const OUTCOME_TTL: Duration = Duration::from_mins(10);
/// Default limit on the number of kept outcomes.
pub const MAX_KEPT_OUTCOMES: usize = 65_536;
/// Default limit on the total size of kept outcomes, in bytes.
pub const MAX_KEPT_BYTES: usize = 16 << 20;
/// An outcome larger than the byte limit divided by this is delivered to its waiters, but not kept.
const LARGE_OUTCOME_DIVISOR: usize = 4;
/// Estimated memory that a kept outcome takes besides its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 160;
/// Retry delay for callers that a stopping or fenced process refuses.
const NEW_WORK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits of an [`OutcomeTable`]. Outcomes beyond them are removed, and their keys recorded as evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeLimits {
    /// How long an outcome is kept.
    pub ttl: Duration,
    /// Largest number of kept outcomes.
    pub max_outcomes: usize,
    /// Largest total size of kept outcomes, in bytes.
    pub max_bytes: usize,
}

impl Default for OutcomeLimits {
    fn default() -> Self {
        Self {
            ttl: OUTCOME_TTL,
            max_outcomes: MAX_KEPT_OUTCOMES,
            max_bytes: MAX_KEPT_BYTES,
        }
    }
}

/// Digest of the request that a key was used for: class, organisation, record and selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request. It leaves out the deadline and the caller's own id of the request, which may
    /// differ between sends.
    pub fn new(request: &QueryRequest) -> Self {
        let mut hasher = Xxh3Default::new();
        let record = request.record.as_deref().unwrap_or_default();
        let parts = [
            request.class.as_str().as_bytes(),
            request.organisation.as_str().as_bytes(),
            record.as_bytes(),
            &request.selection,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&[u8::from(request.record.is_some())]);
        Self(hasher.digest128())
    }
}

/// How to proceed with a query whose key belongs to the own session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginVerdict {
    /// The query has to be run now.
    Execute,
    /// The query is running already; the waiter gets the same outcome.
    Joined,
    /// The outcome, or the reason for a refusal, is already known.
    Answer(QueryOutcome),
}

/// The request that one key was used for, and its state.
#[derive(Debug)]
struct KeyEntry {
    digest: RequestDigest,
    state: EntryState,
}

#[derive(Debug)]
enum EntryState {
    /// The query is running; these waiters get its outcome.
    Running(SmallVec<[WaiterId; 1]>),
    /// The outcome is kept and counts with so many bytes.
    Done { outcome: QueryOutcome, bytes: usize },
}

/// Outcomes of the own session, limited by age, number and size.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    limits: OutcomeLimits,
    entries: FxHashMap<u64, KeyEntry>,
    /// Finish time and sequence number of each key with a kept outcome, oldest first.
    finish_order: VecDeque<(Duration, u64)>,
    evicted_keys: EvictedKeys,
    kept_bytes: usize,
    running_count: usize,
    sealed: bool,
}

impl OutcomeTable {
    /// Creates an empty table with the default limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the limits, and the largest number of ranges of evicted keys.
    #[must_use]
    pub fn with_limits(mut self, limits: OutcomeLimits, max_evicted_ranges: usize) -> Self {
        self.limits = limits;
        self.evicted_keys = EvictedKeys::new().with_max_ranges(max_evicted_ranges);
        self
    }

    /// Handles a query with an idempotency key. While `new_work_refusal` is set, a known outcome is still returned, and
    /// a key that was never seen is refused with this code as not run.
    pub fn begin(
        &mut self,
        sequence: u64,
        digest: RequestDigest,
        waiter: WaiterId,
        new_work_refusal: Option<RefusalCode>,
    ) -> BeginVerdict {
        if self.evicted_keys.contains(sequence) {
            return BeginVerdict::Answer(Err(evicted_key_refusal()));
        }
        if let Some(entry) = self.entries.get_mut(&sequence) {
            return entry.handle_resend(digest, waiter);
        }
        let new_work_refusal = if self.sealed {
            Some(RefusalCode::Stopping)
        } else {
            new_work_refusal
        };
        if let Some(code) = new_work_refusal {
            return BeginVerdict::Answer(Err(no_new_work_refusal(code)));
        }
        let state = EntryState::Running(SmallVec::from_iter([waiter]));
        self.entries.insert(sequence, KeyEntry { digest, state });
        self.running_count += 1;
        BeginVerdict::Execute
    }

    /// Records the outcome of a run and returns its waiters. A key that did not run is removed, so that a resend may
    /// run. Any other outcome is kept, or, if it is too large, its key is recorded as evicted.
    pub fn finish(
        &mut self,
        sequence: u64,
        outcome: &QueryOutcome,
        now: Duration,
    ) -> SmallVec<[WaiterId; 1]> {
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return SmallVec::new();
        };
        let EntryState::Running(waiters) = &mut entry.state else {
            return SmallVec::new();
        };
        let waiters = std::mem::take(waiters);
        self.running_count -= 1;
        let bytes = outcome_bytes(outcome);
        if is_not_run(outcome) {
            self.entries.remove(&sequence);
        } else if bytes > self.limits.max_bytes / LARGE_OUTCOME_DIVISOR {
            self.entries.remove(&sequence);
            self.evicted_keys.insert(sequence);
        } else {
            let outcome = outcome.clone();
            entry.state = EntryState::Done { outcome, bytes };
            self.kept_bytes += bytes;
            self.finish_order.push_back((now, sequence));
        }
        self.expire(now);
        waiters
    }

    /// Removes outcomes beyond the limits; their keys are recorded as evicted.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(finished_at, sequence)) = self.finish_order.front() {
            let over_limit = self.finish_order.len() > self.limits.max_outcomes
                || self.kept_bytes > self.limits.max_bytes;
            if !over_limit && finished_at + self.limits.ttl > now {
                break;
            }
            self.finish_order.pop_front();
            if let Some(KeyEntry {
                state: EntryState::Done { bytes, .. },
                ..
            }) = self.entries.remove(&sequence)
            {
                self.kept_bytes -= bytes;
            }
            self.evicted_keys.insert(sequence);
        }
    }

    /// Seals the table: from now on no further key starts to run.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Returns whether the table is sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Returns kept outcomes and evicted keys for a successor. A key that is still running counts as evicted, so that
    /// the successor reports its outcome as unknown.
    pub fn export(&self) -> (Vec<SealedOutcome>, EvictedKeys) {
        let mut outcomes = Vec::with_capacity(self.finish_order.len());
        let mut evicted_keys = self.evicted_keys.clone();
        for (_finished_at, sequence) in &self.finish_order {
            let Some(entry) = self.entries.get(sequence) else {
                continue;
            };
            if let EntryState::Done { outcome, .. } = &entry.state {
                outcomes.push(SealedOutcome {
                    sequence: *sequence,
                    digest: entry.digest,
                    outcome: outcome.clone(),
                });
            }
        }
        for (sequence, entry) in &self.entries {
            if matches!(entry.state, EntryState::Running(_)) {
                evicted_keys.insert(*sequence);
            }
        }
        (outcomes, evicted_keys)
    }

    /// Returns the number of keys whose query is running.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the number of kept outcomes.
    pub fn kept_count(&self) -> usize {
        self.finish_order.len()
    }

    /// Returns the total size of kept outcomes in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }
}

impl KeyEntry {
    fn handle_resend(&mut self, digest: RequestDigest, waiter: WaiterId) -> BeginVerdict {
        if self.digest != digest {
            return BeginVerdict::Answer(Err(mismatch_refusal()));
        }
        match &mut self.state {
            EntryState::Running(waiters) => {
                waiters.push(waiter);
                BeginVerdict::Joined
            }
            EntryState::Done { outcome, .. } => BeginVerdict::Answer(outcome.clone()),
        }
    }
}

/// Returns whether the outcome is a refusal that guarantees that the query did not run.
pub(super) fn is_not_run(outcome: &QueryOutcome) -> bool {
    matches!(outcome, Err(refusal) if refusal.ran == RunState::NotRun)
}

/// Estimates the memory that a kept outcome takes, in bytes.
pub(super) fn outcome_bytes(outcome: &QueryOutcome) -> usize {
    let content_bytes = match outcome {
        Ok(answer) => {
            let body_bytes: usize = answer.bodies.iter().map(|body| body.len() + 32).sum();
            body_bytes + answer.coverage.missing.len() * 4 + answer.query.len()
        }
        Err(refusal) => refusal.message.len(),
    };
    content_bytes + ENTRY_OVERHEAD_BYTES
}

pub(super) fn evicted_key_refusal() -> QueryRefusal {
    let message = "the key was used and its outcome is no longer kept";
    QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
}

pub(super) fn mismatch_refusal() -> QueryRefusal {
    let message = "the key was used for another request; this one was not run";
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message)
        .with_field("idempotency-key")
}

pub(super) fn no_new_work_refusal(code: RefusalCode) -> QueryRefusal {
    let message = match code {
        RefusalCode::Stopping => "the key's process is stopping; locate again and use a new key",
        _ => "the key's process takes no new work at present",
    };
    QueryRefusal::new(code, RunState::NotRun, message).with_retry_after(NEW_WORK_RETRY_DELAY)
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
