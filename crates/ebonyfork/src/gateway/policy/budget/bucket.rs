//! Token buckets, one per service, whose capacity and refill rate depend on how many shares of the slack the process
//! holds. The slack is the number of repeats (retries and hedges) that all VMs together may send in addition to a ratio
//! of the requests.
//!
//! Each request that the VM accepts from a caller adds `ratio` tokens; the shares add tokens over time. Tokens spent in
//! a window were therefore earned by requests that count towards the bound in that window, were refilled in it, or were
//! in the bucket when it began. The part of a share that a bucket can store and the part refilled during one window add
//! up to no more than the share. A bucket starts empty, so a restarted process needs no state from its predecessor.
//!
//! Counting the requests of a sliding window on each VM separately would exceed the bound: when callers move to another
//! VM, the first VM spends what it counted before the move and the second one what it counts after it.

use std::time::Duration;

use rustc_hash::FxHashMap;
use snafu::Snafu;

use super::share::{RepeatShares, RepeatSpender};
use crate::gateway::ident::UpstreamService;

/// Fraction of the bound that is used. The rest allows for the delay between spending a token and the arrival of the
/// repeat.
const USABLE_FRACTION: f64 = 0.96;
/// Fraction of the slack that a bucket can store; the rest is refilled over the window.
const STORED_FRACTION: f64 = 0.6;

/// Fraction of a full bucket below which organisations that have spent more than their share are denied.
const SHARED_FRACTION: f64 = 0.5;

/// Reason why a repeat was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RepeatDenial {
    /// The process holds no share: it has just started, or has leased its own share to another VM.
    #[snafu(display("no_share"))]
    NoShare,
    /// The service's token bucket is empty.
    #[snafu(display("empty"))]
    Empty,
    /// Little is left, and the organisation has spent more than its share.
    #[snafu(display("over_share"))]
    OverShare,
}

impl RepeatDenial {
    /// Returns the reason as it appears in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoShare => "no_share",
            Self::Empty => "empty",
            Self::OverShare => "over_share",
        }
    }
}

/// Bound on repeats for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Number of repeats allowed per request.
    pub ratio: f64,
    /// Number of repeats allowed in any window in addition to those per request, for all VMs together.
    pub slack: f64,
    /// Length of the window over which the bound holds.
    pub window: Duration,
}

/// Capacity (tokens) and refill rate (tokens per second) of a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct BucketParameters {
    capacity: f64,
    refill_per_second: f64,
}

/// Token bucket of one service.
#[derive(Debug, Clone, Copy, Default)]
struct TokenBucket {
    tokens: f64,
    /// Time up to which refilled tokens are included.
    refilled_until: Duration,
    /// Time of the last request or repeat.
    last_used: Duration,
}

impl TokenBucket {
    fn refill(&mut self, parameters: BucketParameters, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_until).as_secs_f64();
        self.refilled_until = self.refilled_until.max(now);
        self.tokens =
            (self.tokens + elapsed * parameters.refill_per_second).min(parameters.capacity);
    }
}

/// Token buckets of one process.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Number of VMs among which the slack is divided.
    vm_count: usize,
    /// Number of shares of the slack that this process holds.
    shares: usize,
    /// State of a bucket that was never used; new services start from it.
    new_service_bucket: TokenBucket,
    buckets: FxHashMap<UpstreamService, TokenBucket>,
    /// Repeats that each organisation has spent, by service.
    spent_shares: FxHashMap<UpstreamService, RepeatShares>,
}

impl RetryBudget {
    /// Creates the budget of a process that has just started and holds its own share. Times are durations since that
    /// start.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{RetryBudget, RetryBudgetConfig, UpstreamService};
    ///
    /// let config = RetryBudgetConfig { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    /// let mut budget = RetryBudget::new(config);
    /// let service = UpstreamService::new("shard-3");
    /// let now = Duration::ZERO;
    /// assert!(!budget.spend(&service, now));
    /// for _ in 0..10 {
    ///     budget.record_request(&service, now);
    /// }
    /// assert!(budget.spend(&service, now));
    /// ```
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            vm_count: 1,
            shares: 1,
            new_service_bucket: TokenBucket::default(),
            buckets: FxHashMap::default(),
            spent_shares: FxHashMap::default(),
        }
    }

    /// Sets the number of VMs that share the slack: all that may be running, whether known or not.
    pub fn set_vm_count(&mut self, vm_count: usize, now: Duration) {
        if self.vm_count != vm_count.max(1) {
            self.refill_all(now);
            self.vm_count = vm_count.max(1);
            self.refill_all(now);
        }
    }

    /// Sets the number of shares of the slack that this process holds from now on. Tokens above the new capacity are
    /// discarded.
    pub fn set_held_shares(&mut self, shares: usize, now: Duration) {
        if self.shares != shares {
            self.refill_all(now);
            self.shares = shares;
            self.refill_all(now);
        }
    }

    /// Returns the number of shares of the slack that the process holds.
    pub fn shares(&self) -> usize {
        self.shares
    }

    fn parameters(&self) -> BucketParameters {
        let held_slack =
            self.config.slack * USABLE_FRACTION * self.shares as f64 / self.vm_count as f64;
        BucketParameters {
            capacity: held_slack * STORED_FRACTION,
            refill_per_second: held_slack * (1.0 - STORED_FRACTION)
                / self.config.window.as_secs_f64(),
        }
    }

    fn refill_all(&mut self, now: Duration) {
        let parameters = self.parameters();
        self.new_service_bucket.refill(parameters, now);
        for bucket in self.buckets.values_mut() {
            bucket.refill(parameters, now);
        }
    }

    /// Adds the tokens earned by a request that this VM accepted from a caller; called once for each service that the
    /// request needs.
    pub fn record_request(&mut self, service: &UpstreamService, now: Duration) {
        let earned_tokens = self.config.ratio * USABLE_FRACTION;
        let capacity = self.parameters().capacity;
        let bucket = self.bucket(service, now);
        bucket.tokens = (bucket.tokens + earned_tokens).min(capacity);
    }

    /// Takes one token for a repeat to a service and returns true, or returns false if there is none.
    pub fn spend(&mut self, service: &UpstreamService, now: Duration) -> bool {
        self.spend_for(service, None, now).is_ok()
    }

    /// Takes one token for a repeat to a service on behalf of an organisation, or returns the reason why the repeat is
    /// denied. Without an organisation the repeat counts towards nobody's share.
    pub fn spend_for(
        &mut self,
        service: &UpstreamService,
        spender: Option<RepeatSpender>,
        now: Duration,
    ) -> Result<(), RepeatDenial> {
        let shared_level = self.parameters().capacity * SHARED_FRACTION;
        let tokens = self.bucket(service, now).tokens;
        if tokens < 1.0 {
            return Err(self.empty_denial());
        }
        if let Some(spender) = spender {
            let window = self.config.window;
            let shares = self.spent_shares.entry(service.clone()).or_default();
            shares.update(window, now);
            if tokens < shared_level && shares.is_over_share(spender, window, now) {
                return Err(RepeatDenial::OverShare);
            }
            shares.record(spender);
        }
        self.bucket(service, now).tokens -= 1.0;
        Ok(())
    }

    fn empty_denial(&self) -> RepeatDenial {
        if self.shares == 0 {
            RepeatDenial::NoShare
        } else {
            RepeatDenial::Empty
        }
    }

    /// Returns the number of repeats that could be sent to a service now.
    pub fn available_repeats(&self, service: &UpstreamService, now: Duration) -> f64 {
        let bucket = self
            .buckets
            .get(service)
            .unwrap_or(&self.new_service_bucket);
        let mut bucket = *bucket;
        bucket.refill(self.parameters(), now);
        bucket.tokens
    }

    /// Removes services that were unused for a window. Their buckets hold at least as many tokens as one that was never
    /// used, so removing them adds no tokens.
    pub fn remove_idle(&mut self, now: Duration) {
        let window = self.config.window;
        self.buckets
            .retain(|_service, bucket| now.saturating_sub(bucket.last_used) < window);
        let buckets = &self.buckets;
        self.spent_shares
            .retain(|service, _shares| buckets.contains_key(service));
    }

    fn bucket(&mut self, service: &UpstreamService, now: Duration) -> &mut TokenBucket {
        let parameters = self.parameters();
        let new_service_bucket = self.new_service_bucket;
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_insert(new_service_bucket);
        bucket.refill(parameters, now);
        bucket.last_used = now;
        bucket
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
pub(super) mod tests;
