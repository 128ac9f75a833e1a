//! Retry budget of one process, whose token buckets follow the shares of the slack that the process holds at each
//! moment. Does no I/O.
//!
//! The slack is the number of repeats (retries and hedges) that all VMs together may send in addition to a ratio of the
//! requests.

use std::time::Duration;

use super::bucket::{RepeatDenial, RetryBudget, RetryBudgetConfig};
use super::lease::{LendRefusal, ShareLeases};
use super::share::RepeatSpender;
use crate::gateway::ident::UpstreamService;
use crate::ident::VmAddress;

/// Retry budget of one process. Times are durations since its start, on a clock that keeps running while the VM is
/// suspended.
#[derive(Debug)]
pub struct LeasedRetryBudget {
    budget: RetryBudget,
    leases: ShareLeases,
    /// Next time at which the number of held shares may change without a message from another VM.
    next_change: Option<Duration>,
}

impl LeasedRetryBudget {
    /// Creates the budget of a process that has just started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{LeasedRetryBudget, RetryBudgetConfig, UpstreamService};
    ///
    /// let config = RetryBudgetConfig { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    /// let mut budget = LeasedRetryBudget::new(config);
    /// let service = UpstreamService::new("shard-3");
    /// assert!(budget.spend(&service, Duration::from_secs(1)).is_err());
    /// assert!(budget.spend(&service, Duration::from_secs(20)).is_ok());
    /// ```
    pub fn new(config: RetryBudgetConfig) -> Self {
        let mut budget = RetryBudget::new(config);
        budget.set_held_shares(0, Duration::ZERO);
        Self {
            budget,
            leases: ShareLeases::new(),
            next_change: Some(Duration::ZERO),
        }
    }

    /// Applies all changes of the held shares that are due by `now`, each at its own time.
    fn apply_due_changes(&mut self, now: Duration) {
        while let Some(change) = self.next_change.filter(|change| *change <= now) {
            self.budget
                .set_held_shares(self.leases.shares(change), change);
            self.next_change = self.leases.next_change(change);
        }
    }

    /// Updates the held shares after a lease was granted or accepted.
    fn update_shares(&mut self, now: Duration) {
        self.budget.set_held_shares(self.leases.shares(now), now);
        self.next_change = self.leases.next_change(now);
    }

    /// Sets the number of VMs that share the slack: all that may be running, whether known or not.
    pub fn set_vm_count(&mut self, vms: usize, now: Duration) {
        self.apply_due_changes(now);
        self.budget.set_vm_count(vms, now);
    }

    /// Adds the tokens earned by a request that this VM accepted from a caller; called once for each service that the
    /// request needs.
    pub fn record_request(&mut self, service: &UpstreamService, now: Duration) {
        self.apply_due_changes(now);
        self.budget.record_request(service, now);
    }

    /// Takes one token for a repeat to a service, or returns the reason why the repeat is denied. Either way the VM
    /// keeps its own share for some time, because it has tried to send a repeat.
    pub fn spend(&mut self, service: &UpstreamService, now: Duration) -> Result<(), RepeatDenial> {
        self.spend_for(service, None, now)
    }

    /// Takes one token as [`Self::spend`] does, on behalf of an organisation.
    pub fn spend_for(
        &mut self,
        service: &UpstreamService,
        spender: Option<RepeatSpender>,
        now: Duration,
    ) -> Result<(), RepeatDenial> {
        self.apply_due_changes(now);
        self.leases.record_repeat(now);
        self.budget.spend_for(service, spender, now)
    }

    /// Returns the number of repeats that could be sent to a service now.
    pub fn available_repeats(&self, service: &UpstreamService, now: Duration) -> f64 {
        self.budget.available_repeats(service, now)
    }

    /// Removes services that were unused for a window, and expired leases.
    pub fn remove_idle(&mut self, now: Duration) {
        self.apply_due_changes(now);
        self.budget.remove_idle(now);
        self.leases.remove_expired(now);
    }

    /// Records a lease request to the owner of a share and returns its number.
    pub fn request(&mut self, owner: VmAddress, now: Duration) -> u64 {
        self.leases.request(owner, now)
    }

    /// Accepts a lease that `owner` has granted; returns false unless `number` is the latest pending request to it.
    pub fn accept_grant(&mut self, owner: VmAddress, number: u64, now: Duration) -> bool {
        self.apply_due_changes(now);
        let was_accepted = self.leases.accept_grant(owner, number);
        self.update_shares(now);
        was_accepted
    }

    /// Leases this VM's own share to `borrower`, or returns the reason for refusing. `serves` tells whether this VM
    /// takes requests itself.
    pub fn lend(
        &mut self,
        borrower: VmAddress,
        serves: bool,
        now: Duration,
    ) -> Result<(), LendRefusal> {
        self.apply_due_changes(now);
        let lend_result = self.leases.lend(borrower, serves, now);
        self.update_shares(now);
        lend_result
    }

    /// Returns the number of shares borrowed from other VMs.
    pub fn borrowed_count(&self, now: Duration) -> usize {
        self.leases.borrowed_count(now)
    }

    /// Returns the VM that this VM's own share is leased to.
    pub fn lent_to(&self, now: Duration) -> Option<VmAddress> {
        self.leases.lent_to(now)
    }
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
