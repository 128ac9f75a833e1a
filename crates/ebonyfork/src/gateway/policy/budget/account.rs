//! What requests spend repeats from: the buckets, as large as the shares that are held at that moment. Pure.

use std::time::Duration;

use snafu::Snafu;

use super::bucket::{BudgetTerms, RetryBudget};
use super::lease::{LendRefusal, ShareLeases};
use crate::gateway::ident::UpstreamService;
use crate::ident::VmAddress;

/// Why a repeat was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RepeatDenial {
    /// The process holds no share: it has just started, or has leased its own out.
    #[snafu(display("no_share"))]
    NoShare,
    /// The service's bucket is empty.
    #[snafu(display("empty"))]
    Empty,
}

impl RepeatDenial {
    /// One word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::NoShare => "no_share",
            Self::Empty => "empty",
        }
    }
}

/// The repeats of one process; times are spans since its start on a clock that goes on while the VM is suspended.
#[derive(Debug)]
pub struct RepeatAccount {
    budget: RetryBudget,
    leases: ShareLeases,
    /// When the shares held may change next.
    next_change: Option<Duration>,
}

impl RepeatAccount {
    /// Makes the account of a process that has just started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{BudgetTerms, RepeatAccount, UpstreamService};
    ///
    /// let terms = BudgetTerms { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    /// let mut account = RepeatAccount::new(terms);
    /// let service = UpstreamService::new("shard-3");
    /// assert!(account.spend(&service, Duration::from_secs(1)).is_err());
    /// assert!(account.spend(&service, Duration::from_secs(20)).is_ok());
    /// ```
    pub fn new(terms: BudgetTerms) -> Self {
        let mut budget = RetryBudget::new(terms);
        budget.hold_shares(0, Duration::ZERO);
        Self {
            budget,
            leases: ShareLeases::new(),
            next_change: Some(Duration::ZERO),
        }
    }

    /// Puts the shares held at this moment in force. Each change since the last call takes effect at its own time.
    fn settle(&mut self, now: Duration) {
        while let Some(change) = self.next_change.filter(|change| *change <= now) {
            self.budget.hold_shares(self.leases.shares(change), change);
            self.next_change = self.leases.next_change(change);
        }
    }

    /// Puts the shares held in force after a message.
    fn note_change(&mut self, now: Duration) {
        self.budget.hold_shares(self.leases.shares(now), now);
        self.next_change = self.leases.next_change(now);
    }

    /// States among how many VMs the slack is shared: all that may be running, known or not.
    pub fn share_among(&mut self, vms: usize, now: Duration) {
        self.settle(now);
        self.budget.share_among(vms, now);
    }

    /// Counts a request that this VM has taken from a caller, once for each service that it needs.
    pub fn note_request(&mut self, service: &UpstreamService, now: Duration) {
        self.settle(now);
        self.budget.note_request(service, now);
    }

    /// Takes one repeat, or says why there is none.
    pub fn spend(&mut self, service: &UpstreamService, now: Duration) -> Result<(), RepeatDenial> {
        self.settle(now);
        self.leases.note_wanted(now);
        if self.budget.spend(service, now) {
            return Ok(());
        }
        if self.budget.shares() == 0 {
            return Err(RepeatDenial::NoShare);
        }
        Err(RepeatDenial::Empty)
    }

    /// Repeats of a service that may be sent at once.
    pub fn left(&self, service: &UpstreamService, now: Duration) -> f64 {
        self.budget.left(service, now)
    }

    /// Forgets services that were not in use for a span, and leases that have ended.
    pub fn forget_idle(&mut self, now: Duration) {
        self.settle(now);
        self.budget.forget_idle(now);
        self.leases.forget_past(now);
    }

    /// Begins a question to the owner of a share; returns its number.
    pub fn ask(&mut self, owner: VmAddress, now: Duration) -> u64 {
        self.leases.ask(owner, now)
    }

    /// Takes in a grant; false if it answers no open question.
    pub fn take_grant(&mut self, owner: VmAddress, number: u64, now: Duration) -> bool {
        self.settle(now);
        let taken = self.leases.take_grant(owner, number);
        self.note_change(now);
        taken
    }

    /// Leases this VM's own share, or says why not.
    pub fn lend(
        &mut self,
        borrower: VmAddress,
        serves: bool,
        now: Duration,
    ) -> Result<(), LendRefusal> {
        self.settle(now);
        let lent = self.leases.lend(borrower, serves, now);
        self.note_change(now);
        lent
    }

    /// Shares of other VMs that are held.
    pub fn borrowed(&self, now: Duration) -> usize {
        self.leases.borrowed(now)
    }

    /// Who has this VM's own share.
    pub fn lent_to(&self, now: Duration) -> Option<VmAddress> {
        self.leases.lent_to(now)
    }
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
