//! Queues of facts to gossip, and the byte budget for sending.
//!
//! A [`GossipQueue`] holds keys instead of facts, so that always the newest version of a fact is sent. Facts that were
//! sent least often come first, so that new facts overtake old ones; a fact leaves the queue after a bounded number of
//! transmissions. A [`ByteBudget`] limits the bytes sent per second.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// Result of offering a fact to a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The fact was added to the datagram.
    Added,
    /// The fact did not fit: the datagram is full.
    Full,
    /// The fact no longer exists.
    Obsolete,
}

/// Queue of fact keys, those with the fewest transmissions first.
#[derive(Debug)]
pub struct GossipQueue<K> {
    /// Keys with their generations, indexed by the number of transmissions so far.
    by_transmissions: Vec<VecDeque<(K, u32)>>,
    /// Current generation of each queued key; entries of `by_transmissions` with an older one are skipped.
    queued_generations: FxHashMap<K, u32>,
    /// Generation of the last pushed key.
    generation: u32,
    /// Keys that the current call of `fill` has sent, with their new number of transmissions.
    sent_keys: Vec<(usize, K, u32)>,
}

impl<K> Default for GossipQueue<K> {
    fn default() -> Self {
        Self {
            by_transmissions: Vec::new(),
            queued_generations: FxHashMap::default(),
            generation: 0,
            sent_keys: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> GossipQueue<K> {
    /// Queues a fact that has changed, with its number of transmissions reset to zero.
    pub fn push(&mut self, key: K) {
        self.generation = self.generation.wrapping_add(1);
        self.queued_generations.insert(key, self.generation);
        if self.by_transmissions.is_empty() {
            self.by_transmissions.push(VecDeque::new());
        }
        self.by_transmissions[0].push_back((key, self.generation));
    }

    /// Removes a fact from the queue.
    pub fn remove(&mut self, key: K) {
        self.queued_generations.remove(&key);
    }

    /// Returns whether no fact is queued.
    pub fn is_empty(&self) -> bool {
        self.queued_generations.is_empty()
    }

    /// Offers facts until the datagram is full, each at most once. A fact that has been sent `max_transmissions` times
    /// is removed.
    pub fn fill(&mut self, max_transmissions: usize, mut offer: impl FnMut(K) -> OfferResult) {
        let mut is_full = false;
        for transmissions in 0..self.by_transmissions.len() {
            while !is_full {
                let Some((key, generation)) = self.by_transmissions[transmissions].pop_front()
                else {
                    break;
                };
                if self.queued_generations.get(&key) != Some(&generation) {
                    continue;
                }
                match offer(key) {
                    OfferResult::Added => self.sent_keys.push((transmissions + 1, key, generation)),
                    OfferResult::Obsolete => self.remove(key),
                    OfferResult::Full => {
                        self.by_transmissions[transmissions].push_front((key, generation));
                        is_full = true;
                    }
                }
            }
        }
        self.requeue(max_transmissions);
    }

    /// Puts the sent facts back into the queue, except those that have reached `max_transmissions`.
    fn requeue(&mut self, max_transmissions: usize) {
        let mut sent_keys = std::mem::take(&mut self.sent_keys);
        for (transmissions, key, generation) in sent_keys.drain(..) {
            if transmissions >= max_transmissions {
                self.queued_generations.remove(&key);
                continue;
            }
            if self.by_transmissions.len() <= transmissions {
                self.by_transmissions
                    .resize_with(transmissions + 1, VecDeque::new);
            }
            self.by_transmissions[transmissions].push_back((key, generation));
        }
        self.sent_keys = sent_keys;
    }
}

/// Token bucket that limits the bytes sent per second.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    /// Refill rate, in bytes per second.
    bytes_per_s: f64,
    /// Maximum number of tokens, in bytes.
    burst: f64,
    /// Bytes that may be sent now; negative while in debt.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Duration,
}

impl ByteBudget {
    /// Creates a full budget of `bytes_per_s` bytes per second that accumulates at most `burst` bytes.
    pub fn new(now: Duration, bytes_per_s: u32, burst: u32) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time up to `now`.
    pub fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.bytes_per_s).min(self.burst);
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Spends the bytes of a datagram, going into debt by at most one burst. Returns false, and spends nothing, if the
    /// debt would be larger.
    pub fn try_spend(&mut self, bytes: usize) -> bool {
        let remaining_tokens = self.tokens - bytes as f64;
        let is_allowed = remaining_tokens >= -self.burst;
        if is_allowed {
            self.tokens = remaining_tokens;
        }
        is_allowed
    }
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
