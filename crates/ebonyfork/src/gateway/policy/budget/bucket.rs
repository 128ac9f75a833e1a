//! Token buckets, one for each service, whose size and rate follow the shares of the slack that the process holds.
//!
//! A request that the VM takes from a caller earns the ratio; the shares add tokens with time. What is spent in a span
//! was earned in it, by requests that count for the bound in just that span, was added in it, or lay in the buckets when it
//! began. A share's part in a bucket and what it adds over a span are together no more than the share. A bucket begins
//! empty, so an earlier life needs no memory. Counting the requests of a span that slides for each VM by itself does not
//! keep to the bound: when callers move, one VM spends what it has counted before the move and another one what it counts
//! after it.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::ident::UpstreamService;

/// Share of the bound that is used. The rest is for the time between paying for a repeat and its arrival.
const USED_SHARE: f64 = 0.96;
/// Share of the slack that a bucket may hold; the rest is added over the span.
const HELD_SHARE: f64 = 0.6;

/// The bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, for all VMs together.
    pub slack: f64,
    /// The span for which the bound holds.
    pub window: Duration,
}

/// How many tokens a bucket may hold, and how fast they are added.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct BucketLimits {
    most: f64,
    per_second: f64,
}

/// The tokens of one service.
#[derive(Debug, Clone, Copy, Default)]
struct TokenBucket {
    level: f64,
    /// Until when tokens were added.
    filled: Duration,
    /// When it was last used.
    used: Duration,
}

impl TokenBucket {
    fn fill(&mut self, limits: BucketLimits, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.level = (self.level + passed * limits.per_second).min(limits.most);
    }
}

/// The repeats of one process.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    vms: usize,
    shares: usize,
    /// What a bucket holds that was never used.
    unused: TokenBucket,
    services: FxHashMap<UpstreamService, TokenBucket>,
}

impl RetryBudget {
    /// Makes a budget for a process that has just started and holds its own share; times are spans since that start.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{BudgetTerms, RetryBudget, UpstreamService};
    ///
    /// let terms = BudgetTerms { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    /// let mut budget = RetryBudget::new(terms);
    /// let service = UpstreamService::new("shard-3");
    /// let now = Duration::ZERO;
    /// assert!(!budget.spend(&service, now));
    /// for _ in 0..10 {
    ///     budget.note_request(&service, now);
    /// }
    /// assert!(budget.spend(&service, now));
    /// ```
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            vms: 1,
            shares: 1,
            unused: TokenBucket::default(),
            services: FxHashMap::default(),
        }
    }

    /// States among how many VMs the slack is shared: all that may be running, known or not.
    pub fn share_among(&mut self, vms: usize, now: Duration) {
        if self.vms != vms.max(1) {
            self.fill_all(now);
            self.vms = vms.max(1);
            self.fill_all(now);
        }
    }

    /// States how many shares of the slack this process holds from now on. Tokens of a share that it no longer holds are
    /// gone.
    pub fn hold_shares(&mut self, shares: usize, now: Duration) {
        if self.shares != shares {
            self.fill_all(now);
            self.shares = shares;
            self.fill_all(now);
        }
    }

    /// Shares that the process holds.
    pub fn shares(&self) -> usize {
        self.shares
    }

    fn limits(&self) -> BucketLimits {
        let held = self.terms.slack * USED_SHARE * self.shares as f64 / self.vms as f64;
        BucketLimits {
            most: held * HELD_SHARE,
            per_second: held * (1.0 - HELD_SHARE) / self.terms.window.as_secs_f64(),
        }
    }

    fn fill_all(&mut self, now: Duration) {
        let limits = self.limits();
        self.unused.fill(limits, now);
        for bucket in self.services.values_mut() {
            bucket.fill(limits, now);
        }
    }

    /// Counts a request that this VM has taken from a caller, once for each service that it needs.
    pub fn note_request(&mut self, service: &UpstreamService, now: Duration) {
        let earned = self.terms.ratio * USED_SHARE;
        let most = self.limits().most;
        let bucket = self.bucket(service, now);
        bucket.level = (bucket.level + earned).min(most);
    }

    /// Takes one repeat out of the budget, or tells that there is none left.
    pub fn spend(&mut self, service: &UpstreamService, now: Duration) -> bool {
        let bucket = self.bucket(service, now);
        if bucket.level < 1.0 {
            return false;
        }
        bucket.level -= 1.0;
        true
    }

    /// Repeats that may be sent at once.
    pub fn left(&self, service: &UpstreamService, now: Duration) -> f64 {
        let bucket = self.services.get(service).unwrap_or(&self.unused);
        let mut bucket = *bucket;
        bucket.fill(self.limits(), now);
        bucket.level
    }

    /// Forgets services that were not in use for a span: their buckets hold what one does that was never used, or more.
    pub fn forget_idle(&mut self, now: Duration) {
        let window = self.terms.window;
        self.services
            .retain(|_service, bucket| now.saturating_sub(bucket.used) < window);
    }

    fn bucket(&mut self, service: &UpstreamService, now: Duration) -> &mut TokenBucket {
        let limits = self.limits();
        let unused = self.unused;
        let bucket = self.services.entry(service.clone()).or_insert(unused);
        bucket.fill(limits, now);
        bucket.used = now;
        bucket
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
pub(super) mod tests;
