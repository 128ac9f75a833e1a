//! The delay after which an attempt counts as a straggler, and the budget shared by hedges and retries.
//!
//! The delay is a quantile of the lateness of rows, that is of the time by which they come later than expected. It is
//! kept per class and service; until a service has enough samples, the samples of the whole class are used. When a
//! whole service slows down, the expected time and the quantile both rise, so hedging stops; the budget bounds the
//! hedges sent until then. The budget is credited with a fixed share of the first attempts, and with a small constant
//! rate so that an idle entry too can replace attempts at a failed replica.

use std::time::Duration;

/// Tokens credited for each first attempt.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.045;
/// Tokens credited per second regardless of load.
const TOKENS_PER_SECOND: f64 = 1.0;
/// Maximum number of tokens that the budget holds: no more hedges and retries than this can be sent at once.
const MAX_TOKENS: f64 = 30.0;
/// Quantile of the lateness after which an attempt counts as a straggler.
const HEDGE_QUANTILE: f64 = 0.97;
/// Number of samples below which the quantile is not used.
const MIN_SAMPLE_COUNT: u32 = 32;
/// Number of samples at which all counts are halved, so that older samples lose weight.
const DECAY_SAMPLE_COUNT: u32 = 1024;
/// Lower bound of the lateness that is tolerated before hedging.
const MIN_LATENESS: Duration = Duration::from_millis(2);
/// Lateness tolerated without enough samples, in addition to twice the expected time.
const DEFAULT_LATENESS: Duration = Duration::from_millis(20);

/// Tokens that hedges of ordinary stragglers leave for urgent attempts.
const RESERVED_TOKENS: f64 = 10.0;

/// How urgent an attempt charged to the budget is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptUrgency {
    /// Without the attempt a shard may be lost or all shards held up: a retry, a hedge of a canary, or a hedge of an
    /// attempt at a server that failed recently.
    Urgent,
    /// The attempt only brings the rows sooner.
    Ordinary,
}

/// Token bucket for hedges and retries.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    tokens: f64,
    last_refill_at: Duration,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_TOKENS / 2.0,
            last_refill_at: Duration::ZERO,
        }
    }
}

impl AttemptBudget {
    /// Credits `TOKENS_PER_FIRST_ATTEMPT` tokens for one first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Withdraws the token for one attempt; returns false if too few tokens are left for this urgency.
    pub fn try_withdraw(&mut self, now: Duration, urgency: AttemptUrgency) -> bool {
        let refill_interval = now.saturating_sub(self.last_refill_at);
        self.last_refill_at = self.last_refill_at.max(now);
        self.tokens =
            (self.tokens + refill_interval.as_secs_f64() * TOKENS_PER_SECOND).min(MAX_TOKENS);
        let reserved_tokens = match urgency {
            AttemptUrgency::Urgent => 0.0,
            AttemptUrgency::Ordinary => RESERVED_TOKENS,
        };
        if self.tokens < reserved_tokens + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Number of buckets of a [`LatenessHistogram`], four per doubling of the lateness.
const BUCKET_COUNT: usize = 64;
/// Upper bound of the first bucket of a [`LatenessHistogram`], in microseconds.
const FIRST_BUCKET_BOUND_US: f64 = 250.0;

/// Histogram of the lateness of rows, for one class or for one class and service.
#[derive(Debug, Clone)]
pub struct LatenessHistogram {
    bucket_counts: [u32; BUCKET_COUNT],
    sample_count: u32,
}

impl Default for LatenessHistogram {
    fn default() -> Self {
        Self {
            bucket_counts: [0; BUCKET_COUNT],
            sample_count: 0,
        }
    }
}

impl LatenessHistogram {
    /// Adds a sample of how much later than expected rows arrived.
    pub fn add_sample(&mut self, lateness: Duration) {
        self.bucket_counts[bucket_index(lateness)] += 1;
        self.sample_count += 1;
        if self.sample_count < DECAY_SAMPLE_COUNT {
            return;
        }
        self.sample_count = 0;
        for count in &mut self.bucket_counts {
            *count /= 2;
            self.sample_count += *count;
        }
    }

    /// Returns whether there are enough samples to use the quantile.
    pub fn has_enough_samples(&self) -> bool {
        self.sample_count >= MIN_SAMPLE_COUNT
    }

    /// Returns the delay after which an attempt expected to take `expected_time` counts as a straggler.
    pub fn hedge_delay(&self, expected_time: Duration) -> Duration {
        if !self.has_enough_samples() {
            return expected_time * 2 + DEFAULT_LATENESS;
        }
        let quantile_rank = (f64::from(self.sample_count) * HEDGE_QUANTILE) as u32;
        let mut cumulative_count = 0;
        for (bucket, count) in self.bucket_counts.iter().enumerate() {
            cumulative_count += count;
            if cumulative_count > quantile_rank {
                return expected_time + bucket_bound(bucket).max(MIN_LATENESS);
            }
        }
        expected_time + bucket_bound(BUCKET_COUNT - 1)
    }
}

/// Returns the index of the bucket that counts a lateness.
fn bucket_index(lateness: Duration) -> usize {
    let bound_ratio = lateness.as_micros() as f64 / FIRST_BUCKET_BOUND_US;
    if bound_ratio <= 1.0 {
        return 0;
    }
    ((bound_ratio.log2() * 4.0).ceil() as usize).min(BUCKET_COUNT - 1)
}

/// Returns the upper bound of a bucket.
fn bucket_bound(bucket: usize) -> Duration {
    let bound_us = FIRST_BUCKET_BOUND_US * 2_f64.powf(bucket as f64 / 4.0);
    Duration::from_micros(bound_us as u64)
}
