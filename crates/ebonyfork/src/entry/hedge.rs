//! When a second attempt is worth its load: the delay after which an attempt counts as a straggler, and the budget that
//! hedges and retries share.
//!
//! The delay is learnt per class and service from how much later than expected rows come; until a service has enough
//! samples, those of the whole class stand in. When a whole service slows
//! down, the expectation and the quantile both rise, so hedges stop; the budget bounds what is left. It earns a fixed
//! share of the first attempts, plus a small floor so that a lost replica is covered on an idle entry too.

use std::time::Duration;

/// Share of the first attempts that may be made again.
const BUDGET_SHARE: f64 = 0.045;
/// Attempts a second that are earned without any load.
const BUDGET_FLOOR: f64 = 1.0;
/// Most attempts that can be saved up.
const BUDGET_CAP: f64 = 30.0;
/// Quantile of the lateness after which an attempt counts as a straggler.
const HEDGE_QUANTILE: f64 = 0.97;
/// Samples before a learnt quantile is used.
const SAMPLES_NEEDED: u32 = 32;
/// Samples after which the older ones lose half their weight.
const SAMPLES_KEPT: u32 = 1024;
/// Lateness that is always granted.
const LATENESS_LEAST: Duration = Duration::from_millis(2);
/// Lateness granted until there are samples, on top of twice the expected time.
const LATENESS_PRIOR: Duration = Duration::from_millis(20);

/// Attempts that hedges of ordinary stragglers leave in the budget.
const BUDGET_RESERVE: f64 = 10.0;

/// What an attempt out of the budget is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptNeed {
    /// Without it a shard is lost: a retry, or a hedge where the first attempt went to a server that failed lately.
    Urgent,
    /// It would come sooner.
    Ordinary,
}

/// Tokens for hedges and retries.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    tokens: f64,
    refilled: Duration,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self {
            tokens: BUDGET_CAP / 2.0,
            refilled: Duration::ZERO,
        }
    }
}

impl AttemptBudget {
    /// Earns the share of one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_SHARE).min(BUDGET_CAP);
    }

    /// Takes one attempt out of the budget, if it holds one for this need.
    pub fn take(&mut self, now: Duration, need: AttemptNeed) -> bool {
        let elapsed = now.saturating_sub(self.refilled);
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * BUDGET_FLOOR).min(BUDGET_CAP);
        let kept = match need {
            AttemptNeed::Urgent => 0.0,
            AttemptNeed::Ordinary => BUDGET_RESERVE,
        };
        if self.tokens < kept + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Buckets of a [`DelayModel`], four for each doubling of the lateness.
const BUCKETS: usize = 64;
/// Upper border of the first bucket, in microseconds.
const FIRST_BORDER: f64 = 250.0;

/// How much later than expected rows come, for one class and service.
#[derive(Debug, Clone)]
pub struct DelayModel {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for DelayModel {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl DelayModel {
    /// Takes in how much later than expected rows came.
    pub fn learn(&mut self, lateness: Duration) {
        self.counts[bucket_of(lateness)] += 1;
        self.total += 1;
        if self.total < SAMPLES_KEPT {
            return;
        }
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// Tells whether there are enough samples to go by.
    pub fn is_learnt(&self) -> bool {
        self.total >= SAMPLES_NEEDED
    }

    /// The delay after which an attempt expected to take `expected` counts as a straggler.
    pub fn delay(&self, expected: Duration) -> Duration {
        if !self.is_learnt() {
            return expected * 2 + LATENESS_PRIOR;
        }
        let rank = (f64::from(self.total) * HEDGE_QUANTILE) as u32;
        let mut below = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += count;
            if below > rank {
                return expected + border_of(bucket).max(LATENESS_LEAST);
            }
        }
        expected + border_of(BUCKETS - 1)
    }
}

fn bucket_of(lateness: Duration) -> usize {
    let ratio = lateness.as_micros() as f64 / FIRST_BORDER;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * 4.0).ceil() as usize).min(BUCKETS - 1)
}

fn border_of(bucket: usize) -> Duration {
    let micros = FIRST_BORDER * 2_f64.powf(bucket as f64 / 4.0);
    Duration::from_micros(micros as u64)
}
