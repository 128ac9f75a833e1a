//! How old the proof behind a copy of the store may be.
//!
//! That nothing is heard of a change does not show that there is none. A copy counts as up to date as of the moment at
//! which the call set out whose answer showed it; a VM that follows another one reckons from the moment of its own
//! question, which the other one has received later: it states how long before or after that its copy was up to date. So no message under way, no silent connection and no difference of
//! clocks can make a copy look younger than it is, also over several VMs.
//!
//! All times follow from the one that the deployment states: how soon a change must be in force.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Share of the time for a change after which a source is given up. The rest is for asking another one: opening a
/// connection and reading takes up to 0.3 s when the store is 60 times slower than usual.
const LIMIT_SHARE: f64 = 2.0 / 3.0;
/// Questions to a followed VM within the limit: three of them may be lost.
const QUESTIONS: u32 = 4;
/// What the answers of the store and of a followed VM may take together.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Shortest time for which the store is asked to wait for changes.
const WAIT_LEAST: Duration = Duration::from_millis(50);

/// The times that follow from how soon a change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTerms {
    /// Age of the proof at which a source is given up.
    pub limit: Duration,
    /// Time between two questions to a followed VM.
    pub period: Duration,
    /// Age at which the proof is renewed by the VM that asks the store.
    pub renewal: Duration,
    /// Age of the proof from which everything is read anew instead of all changes since: of a key that changed often all
    /// values come, and twelve versions of 0.49 MB take 4.5 s at 14 Mbit/s.
    pub reread: Duration,
}

impl FreshnessTerms {
    /// Terms for changes that must be in force within a time.
    pub fn new(bound: Duration) -> Self {
        let limit = bound.mul_f64(LIMIT_SHARE);
        let period = limit / QUESTIONS;
        let renewal = limit.saturating_sub(period + ANSWER_TIME);
        Self {
            limit,
            period,
            renewal: renewal.max(WAIT_LEAST),
            reread: bound,
        }
    }

    /// How long the store is asked to wait for changes when the proof has an age.
    pub fn wait(&self, age: Duration) -> Duration {
        self.renewal.saturating_sub(age).max(WAIT_LEAST)
    }
}

/// The last questions to a followed VM. A number is never given out twice in a process: an answer to a question that the VM
/// was asked when it was followed before may come late, and must not count as one to a question asked since.
#[derive(Debug, Default)]
pub struct OpenQuestions {
    next: u64,
    asked: SmallVec<[(u64, Instant); 8]>,
}

/// Questions that are remembered: more than are asked within the limit.
const QUESTIONS_KEPT: usize = 8;

impl OpenQuestions {
    /// No questions yet, to another VM or the same one again.
    #[must_use]
    pub fn renewed(self) -> Self {
        Self {
            asked: SmallVec::new(),
            ..self
        }
    }

    /// Notes a question that is asked now; returns its number.
    pub fn ask(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next += 1;
        if self.asked.len() == QUESTIONS_KEPT {
            self.asked.remove(0);
        }
        self.asked.push((number, now));
        number
    }

    /// The moment as of which the other VM's copy was up to date, if it says that this was so many milliseconds after a
    /// question came in to it (before, if negative); none if the question is not remembered. The question set out before
    /// it came in, so the moment is never too late. Questions before it are forgotten.
    pub fn proof(&mut self, number: u64, proof_ms: i64) -> Option<Instant> {
        let place = self
            .asked
            .iter()
            .position(|(asked, _at)| *asked == number)?;
        self.asked.drain(..place);
        let (_number, at) = self.asked[0];
        let offset = Duration::from_millis(proof_ms.unsigned_abs());
        if proof_ms < 0 {
            at.checked_sub(offset)
        } else {
            at.checked_add(offset)
        }
    }
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
