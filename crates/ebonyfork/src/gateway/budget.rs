//! How many repeats may be sent: hedges and retries out of one budget that all VMs share without talking.
//!
//! The bound is stated for all VMs together, for each service and for every span of a given length: a ratio of the
//! requests plus a slack. Each VM keeps a bucket of tokens for each service and pays one for a repeat. A request that
//! the VM takes from a caller earns the ratio; the bucket holds no more than the VM's part of the slack.
//!
//! The sum keeps to the bound whatever the VMs do: what is spent in a span was earned in it, by requests that count for
//! the bound in just that span, or lay in the buckets when it began, which together hold no more than the slack. A VM
//! that starts again begins with an empty bucket, so its earlier life needs no memory, and it can repeat as soon as its
//! requests have earned something. Counting the requests of a span that slides for each VM by itself does not keep to
//! the bound: when callers move, one VM spends what it has counted before the move and another one what it counts
//! after it (338 repeats in 10 s where 327 were allowed).

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::ident::UpstreamService;

/// Share of the bound that is used. The rest is for the time between paying for a repeat and its arrival: at 130 requests
/// a second and a wait of 0.2 s some 5 of 320.
const USED_SHARE: f64 = 0.95;
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

/// The tokens of one service.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    level: f64,
    /// When it was last used.
    used: Duration,
}

/// The repeats of one process.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    vms: usize,
    services: FxHashMap<UpstreamService, TokenBucket>,
}

impl RetryBudget {
    /// Makes a budget for a process that has just started; times are spans since that start.
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
            services: FxHashMap::default(),
        }
    }

    /// States among how many VMs the slack is shared: all that may be running, known or not.
    pub fn share_among(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Counts a request that this VM has taken from a caller, once for each service that it needs.
    pub fn note_request(&mut self, service: &UpstreamService, now: Duration) {
        let earned = self.terms.ratio * USED_SHARE;
        let most = self.terms.slack * USED_SHARE / self.vms as f64;
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
    pub fn left(&self, service: &UpstreamService) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |bucket| bucket.level)
    }

    /// Forgets services that were not in use for a span: they begin with an empty bucket, as after a start.
    pub fn forget_idle(&mut self, now: Duration) {
        let window = self.terms.window;
        self.services
            .retain(|_service, bucket| now.saturating_sub(bucket.used) < window);
    }

    fn bucket(&mut self, service: &UpstreamService, now: Duration) -> &mut TokenBucket {
        let empty = TokenBucket {
            level: 0.0,
            used: now,
        };
        let bucket = self.services.entry(service.clone()).or_insert(empty);
        bucket.used = now;
        bucket
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
