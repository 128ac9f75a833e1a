//! The keys of the own session. Pure.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Default;

use crate::ident::RunState;
use crate::once::aged::AgedKeys;
use crate::once::message::SealedOutcome;
use crate::once::state::WaiterId;
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};

/// How long an outcome is kept.
pub const OUTCOME_WINDOW: Duration = Duration::from_mins(10);
/// Outcomes kept at most.
pub const OUTCOME_COUNT: usize = 65_536;
/// Bytes of kept outcomes at most.
pub const OUTCOME_BYTES: usize = 16 << 20;
/// An outcome beyond this part of all bytes is given to those who wait and not kept.
const ANSWER_SHARE: usize = 4;
/// Bytes that a kept outcome takes besides its answer.
const ENTRY_BYTES: usize = 160;
/// When a caller that was refused by a stopping or fenced process should come back.
const GATE_RETRY: Duration = Duration::from_secs(1);

/// Bounds of an [`OutcomeTable`]. Whatever falls out of them is remembered as aged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeLimits {
    /// How long an outcome is kept.
    pub window: Duration,
    /// Outcomes kept at most.
    pub count: usize,
    /// Bytes of kept outcomes at most.
    pub bytes: usize,
}

impl Default for OutcomeLimits {
    fn default() -> Self {
        Self {
            window: OUTCOME_WINDOW,
            count: OUTCOME_COUNT,
            bytes: OUTCOME_BYTES,
        }
    }
}

/// Digest of everything that a key was used for: class, organisation, record and selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request. Deadline and the caller's own name for it may differ between sends.
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

/// What is to be done with a query under a key of the own session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginVerdict {
    /// It has to be run, now.
    Execute,
    /// It runs already; the waiter gets the same outcome.
    Joined,
    /// This is the outcome.
    Answer(QueryOutcome),
}

#[derive(Debug)]
struct OnceEntry {
    digest: RequestDigest,
    state: EntryState,
}

#[derive(Debug)]
enum EntryState {
    Running(SmallVec<[WaiterId; 1]>),
    Done { outcome: QueryOutcome, bytes: usize },
}

/// Outcomes of the own session, with bounds in time, number and bytes.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    limits: OutcomeLimits,
    entries: FxHashMap<u64, OnceEntry>,
    /// Keys with a kept outcome, oldest first.
    order: VecDeque<(Duration, u64)>,
    aged: AgedKeys,
    bytes: usize,
    running: usize,
    sealed: bool,
}

impl OutcomeTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the bounds, and the number of aged ranges that are kept apart.
    #[must_use]
    pub fn with_limits(mut self, limits: OutcomeLimits, ranges: usize) -> Self {
        self.limits = limits;
        self.aged = AgedKeys::new().with_limit(ranges);
        self
    }

    /// Takes in a query under a key. `gate` is the refusal of new work, if any: what is known is told all the same, and
    /// a key that was never seen is truthfully refused as not run.
    pub fn begin(
        &mut self,
        sequence: u64,
        digest: RequestDigest,
        waiter: WaiterId,
        gate: Option<RefusalCode>,
    ) -> BeginVerdict {
        if self.aged.contains(sequence) {
            return BeginVerdict::Answer(Err(aged_refusal()));
        }
        if let Some(entry) = self.entries.get_mut(&sequence) {
            return entry.resend(digest, waiter);
        }
        let gate = if self.sealed {
            Some(RefusalCode::Stopping)
        } else {
            gate
        };
        if let Some(code) = gate {
            return BeginVerdict::Answer(Err(gate_refusal(code)));
        }
        let state = EntryState::Running(SmallVec::from_iter([waiter]));
        self.entries.insert(sequence, OnceEntry { digest, state });
        self.running += 1;
        BeginVerdict::Execute
    }

    /// Takes in the outcome of a run; returns who waits for it. What did not run is forgotten, so that a resend may run;
    /// everything else is kept.
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
        self.running -= 1;
        let bytes = outcome_bytes(outcome);
        if is_not_run(outcome) {
            self.entries.remove(&sequence);
        } else if bytes > self.limits.bytes / ANSWER_SHARE {
            self.entries.remove(&sequence);
            self.aged.insert(sequence);
        } else {
            let outcome = outcome.clone();
            entry.state = EntryState::Done { outcome, bytes };
            self.bytes += bytes;
            self.order.push_back((now, sequence));
        }
        self.expire(now);
        waiters
    }

    /// Drops outcomes beyond the bounds; their keys stay known as aged.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, sequence)) = self.order.front() {
            let over = self.order.len() > self.limits.count || self.bytes > self.limits.bytes;
            if !over && at + self.limits.window > now {
                break;
            }
            self.order.pop_front();
            if let Some(OnceEntry {
                state: EntryState::Done { bytes, .. },
                ..
            }) = self.entries.remove(&sequence)
            {
                self.bytes -= bytes;
            }
            self.aged.insert(sequence);
        }
    }

    /// From now on no key is run that is not running already.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    /// Tells whether the table is sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Kept outcomes and aged keys, for a successor. What still runs has an unknown outcome there.
    pub fn export(&self) -> (Vec<SealedOutcome>, AgedKeys) {
        let mut outcomes = Vec::with_capacity(self.order.len());
        let mut aged = self.aged.clone();
        for (_at, sequence) in &self.order {
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
                aged.insert(*sequence);
            }
        }
        (outcomes, aged)
    }

    /// Keys that run now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Kept outcomes.
    pub fn kept(&self) -> usize {
        self.order.len()
    }

    /// Bytes of kept outcomes.
    pub fn kept_bytes(&self) -> usize {
        self.bytes
    }
}

impl OnceEntry {
    fn resend(&mut self, digest: RequestDigest, waiter: WaiterId) -> BeginVerdict {
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

/// Tells whether nothing ran and nothing will.
pub(super) fn is_not_run(outcome: &QueryOutcome) -> bool {
    matches!(outcome, Err(refusal) if refusal.ran == RunState::NotRun)
}

/// Bytes that keeping an outcome takes.
pub(super) fn outcome_bytes(outcome: &QueryOutcome) -> usize {
    let content = match outcome {
        Ok(answer) => {
            let bodies: usize = answer.bodies.iter().map(|body| body.len() + 32).sum();
            bodies + answer.coverage.missing.len() * 4 + answer.query.len()
        }
        Err(refusal) => refusal.message.len(),
    };
    content + ENTRY_BYTES
}

pub(super) fn aged_refusal() -> QueryRefusal {
    let message = "the key was used and its outcome is no longer kept";
    QueryRefusal::new(RefusalCode::OutcomeUnknown, RunState::Unknown, message)
}

pub(super) fn mismatch_refusal() -> QueryRefusal {
    let message = "the key was used for another request; this one was not run";
    QueryRefusal::new(RefusalCode::BadRequest, RunState::NotRun, message)
        .with_field("idempotency-key")
}

pub(super) fn gate_refusal(code: RefusalCode) -> QueryRefusal {
    let message = match code {
        RefusalCode::Stopping => "the key's process is stopping; locate again and use a new key",
        _ => "the key's process takes no new work at present",
    };
    QueryRefusal::new(code, RunState::NotRun, message).with_retry_after(GATE_RETRY)
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
