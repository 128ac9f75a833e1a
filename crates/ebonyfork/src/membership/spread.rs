//! Which facts still have to be told, and how much may be said.
//!
//! A [`SpreadQueue`] holds keys, not facts: what is told is always the newest. The facts that were told least often go
//! first, so that fresh news overtakes old; after a bounded number of tellings a fact leaves the queue. A
//! [`ByteBudget`] bounds the bytes per second whatever happens.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// What became of a fact that was offered to a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It was written.
    Taken,
    /// It did not fit: the datagram is full.
    Full,
    /// There is nothing left to tell.
    Gone,
}

/// Keys of facts, those that were told least often first.
#[derive(Debug)]
pub struct SpreadQueue<K> {
    /// Keys by how often they were told, each with the generation it was queued as.
    rounds: Vec<VecDeque<(K, u32)>>,
    /// The valid generation of each key; an older one in `rounds` is skipped.
    queued: FxHashMap<K, u32>,
    generation: u32,
    told: Vec<(usize, K, u32)>,
}

impl<K> Default for SpreadQueue<K> {
    fn default() -> Self {
        Self {
            rounds: Vec::new(),
            queued: FxHashMap::default(),
            generation: 0,
            told: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> SpreadQueue<K> {
    /// Queues a fact that has changed, to be told from the start again.
    pub fn push(&mut self, key: K) {
        self.generation = self.generation.wrapping_add(1);
        self.queued.insert(key, self.generation);
        if self.rounds.is_empty() {
            self.rounds.push(VecDeque::new());
        }
        self.rounds[0].push_back((key, self.generation));
    }

    /// Drops a fact.
    pub fn remove(&mut self, key: K) {
        self.queued.remove(&key);
    }

    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Offers facts until the datagram is full, each at most once. A fact that has been told `limit` times leaves.
    pub fn fill(&mut self, limit: usize, mut offer: impl FnMut(K) -> OfferResult) {
        let mut full = false;
        for round in 0..self.rounds.len() {
            while !full {
                let Some((key, generation)) = self.rounds[round].pop_front() else {
                    break;
                };
                if self.queued.get(&key) != Some(&generation) {
                    continue;
                }
                match offer(key) {
                    OfferResult::Taken => self.told.push((round + 1, key, generation)),
                    OfferResult::Gone => self.remove(key),
                    OfferResult::Full => {
                        self.rounds[round].push_front((key, generation));
                        full = true;
                    }
                }
            }
        }
        self.requeue(limit);
    }

    fn requeue(&mut self, limit: usize) {
        let mut told = std::mem::take(&mut self.told);
        for (round, key, generation) in told.drain(..) {
            if round >= limit {
                self.queued.remove(&key);
                continue;
            }
            if self.rounds.len() <= round {
                self.rounds.resize_with(round + 1, VecDeque::new);
            }
            self.rounds[round].push_back((key, generation));
        }
        self.told = told;
    }
}

/// Bytes that may be sent, refilled over time.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Duration,
}

impl ByteBudget {
    /// A full budget of `rate` bytes a second that saves up at most `burst` bytes.
    pub fn new(now: Duration, rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            last: now,
        }
    }

    /// Refills up to `now`.
    pub fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
    }

    /// Bytes that may be sent now.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Takes the bytes of a datagram that must be sent, into debt of at most one burst; tells whether it may be.
    pub fn take_due(&mut self, bytes: usize) -> bool {
        let left = self.tokens - bytes as f64;
        let allowed = left >= -self.burst;
        if allowed {
            self.tokens = left;
        }
        allowed
    }
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
