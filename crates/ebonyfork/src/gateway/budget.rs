//! How many repeats may be sent: hedges and retries out of one budget that all VMs share without talking.
//!
//! The bound is stated for all VMs together, for each service and for every span of a given length: a ratio of the
//! requests plus a slack. Each VM keeps to the ratio of *its own* requests and to its part of the slack, so the sum keeps
//! to the bound whatever the others do. A process that has just started knows nothing of what its earlier life has
//! spent, so it leaves the slack alone for one span.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::ident::UpstreamService;

/// Parts into which the span is cut; what is counted reaches back one part further than the span.
const PARTS: u64 = 20;
/// Share of the bound that is used: the rest is for arrivals that are counted where the requests of their own span
/// are not, and for the time an attempt takes to arrive.
const USED_SHARE: f64 = 0.9;

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

/// Counts of one service: requests and repeats in each part of the span.
#[derive(Debug, Clone, Default)]
struct ServiceCount {
    requests: [u32; PARTS as usize + 1],
    repeats: [u32; PARTS as usize + 1],
    part: u64,
}

impl ServiceCount {
    /// Clears the parts that have passed out of the span.
    fn advance(&mut self, part: u64) {
        let held = PARTS + 1;
        for passed in self.part + 1..=part.min(self.part + held) {
            let slot = (passed % held) as usize;
            self.requests[slot] = 0;
            self.repeats[slot] = 0;
        }
        self.part = self.part.max(part);
    }

    fn slot(&self) -> usize {
        (self.part % (PARTS + 1)) as usize
    }
}

/// The repeats of one process.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    vms: usize,
    services: FxHashMap<UpstreamService, ServiceCount>,
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
    /// let now = Duration::from_secs(1);
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

    /// Counts a request to a service.
    pub fn note_request(&mut self, service: &UpstreamService, now: Duration) {
        let part = self.part(now);
        let count = self.count(service, part);
        let slot = count.slot();
        count.requests[slot] += 1;
    }

    /// Takes one repeat out of the budget, or tells that there is none left.
    pub fn spend(&mut self, service: &UpstreamService, now: Duration) -> bool {
        let part = self.part(now);
        let slack = if now < self.terms.window {
            0.0
        } else {
            self.terms.slack / self.vms as f64
        };
        let ratio = self.terms.ratio;
        let count = self.count(service, part);
        let requests: u32 = count.requests.iter().sum();
        let repeats: u32 = count.repeats.iter().sum();
        let allowed = (f64::from(requests) * ratio + slack) * USED_SHARE;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        let slot = count.slot();
        count.repeats[slot] += 1;
        true
    }

    /// Forgets services without requests in the span.
    pub fn forget_idle(&mut self, now: Duration) {
        let part = self.part(now);
        self.services.retain(|_service, count| {
            count.advance(part);
            count.requests.iter().chain(&count.repeats).any(|n| *n > 0)
        });
    }

    fn part(&self, now: Duration) -> u64 {
        (now.as_secs_f64() / self.terms.window.as_secs_f64() * PARTS as f64) as u64
    }

    fn count(&mut self, service: &UpstreamService, part: u64) -> &mut ServiceCount {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceCount::default());
        }
        let count = self.services.entry(service.clone()).or_default();
        count.advance(part);
        count
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
