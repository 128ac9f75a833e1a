//! Which shares of the slack this process holds: its own, and those that it has on lease. Pure.

use std::time::Duration;

use rustc_hash::FxHashMap;
use snafu::Snafu;

use crate::ident::VmAddress;

/// How long an owner leaves its share alone after a grant.
pub const LEASE_TERM: Duration = Duration::from_secs(3);
/// Part of the term for which a borrower uses a share: the clocks of two VMs differ by far less than the rest.
const USED_TERM: Duration = Duration::from_millis(2_800);
/// How long a VM keeps its share after it has wanted a repeat itself.
const WANTED_TIME: Duration = Duration::from_secs(3);

/// Why an owner does not lease its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LendRefusal {
    /// An earlier life of the process may have leased it to another VM.
    #[snafu(display("just started"))]
    JustStarted,
    /// It is on lease.
    #[snafu(display("on lease to {borrower}"))]
    OnLease {
        /// The VM that holds it.
        borrower: VmAddress,
    },
    /// This VM serves requests.
    #[snafu(display("needed here"))]
    NeededHere,
}

/// A question that was not answered yet.
#[derive(Debug, Clone, Copy)]
struct OpenQuestion {
    number: u64,
    asked: Duration,
}

/// A share of another VM.
#[derive(Debug, Clone, Copy)]
struct BorrowedShare {
    until: Duration,
}

/// The shares of one process; times are spans since its start on a clock that goes on while the VM is suspended.
#[derive(Debug, Default)]
pub struct ShareLeases {
    next_number: u64,
    open: FxHashMap<VmAddress, OpenQuestion>,
    borrowed: FxHashMap<VmAddress, BorrowedShare>,
    /// Who has this VM's own share, and until when.
    lent: Option<(VmAddress, Duration)>,
    /// When this VM last wanted a repeat.
    wanted: Option<Duration>,
}

impl ShareLeases {
    /// A process that has just started, with no share.
    pub fn new() -> Self {
        Self::default()
    }

    /// Shares held at a moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::ShareLeases;
    ///
    /// let leases = ShareLeases::new();
    /// assert_eq!(leases.shares(Duration::from_secs(1)), 0);
    /// assert_eq!(leases.shares(Duration::from_secs(5)), 1);
    /// ```
    pub fn shares(&self, now: Duration) -> usize {
        usize::from(self.holds_own(now)) + self.borrowed(now)
    }

    /// Shares of other VMs that are held at a moment.
    pub fn borrowed(&self, now: Duration) -> usize {
        let shares = self.borrowed.values();
        shares.filter(|share| now < share.until).count()
    }

    /// Who has this VM's own share at a moment.
    pub fn lent_to(&self, now: Duration) -> Option<VmAddress> {
        let (borrower, until) = self.lent?;
        (now < until).then_some(borrower)
    }

    /// Whether another VM's share is held at a moment.
    #[cfg(test)]
    pub(super) fn holds_share_of(&self, owner: VmAddress, now: Duration) -> bool {
        let share = self.borrowed.get(&owner);
        share.is_some_and(|share| now < share.until)
    }

    /// Whether this VM's own share is held at a moment.
    pub(super) fn holds_own(&self, now: Duration) -> bool {
        now >= LEASE_TERM && self.lent_to(now).is_none()
    }

    /// When [`Self::shares`] may change next without a message.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let lapses = self.borrowed.values().map(|share| share.until);
        let own = self.lent.map(|(_borrower, until)| until);
        let changes = lapses.chain(own).chain([LEASE_TERM]);
        changes.filter(|change| *change > now).min()
    }

    /// Notes that this VM wants a repeat.
    pub fn note_wanted(&mut self, now: Duration) {
        self.wanted = Some(now);
    }

    /// Begins a question to the owner of a share; returns its number.
    pub fn ask(&mut self, owner: VmAddress, now: Duration) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let question = OpenQuestion { number, asked: now };
        self.open.insert(owner, question);
        number
    }

    /// Takes in a grant; false if the question was not the last one asked of that VM.
    pub fn take_grant(&mut self, owner: VmAddress, number: u64) -> bool {
        let question = self.open.get(&owner).copied();
        let Some(question) = question.filter(|question| question.number == number) else {
            return false;
        };
        self.open.remove(&owner);
        let until = question.asked + USED_TERM;
        self.borrowed.insert(owner, BorrowedShare { until });
        true
    }

    /// Leases this VM's own share, or says why not. `serves` tells whether this VM takes requests itself.
    pub fn lend(
        &mut self,
        borrower: VmAddress,
        serves: bool,
        now: Duration,
    ) -> Result<(), LendRefusal> {
        if now < LEASE_TERM {
            return Err(LendRefusal::JustStarted);
        }
        if let Some(holder) = self.lent_to(now).filter(|holder| *holder != borrower) {
            return Err(LendRefusal::OnLease { borrower: holder });
        }
        let wanted = |since| now.saturating_sub(since) < WANTED_TIME;
        if serves || self.wanted.is_some_and(wanted) {
            return Err(LendRefusal::NeededHere);
        }
        self.lent = Some((borrower, now + LEASE_TERM));
        Ok(())
    }

    /// Forgets what has passed.
    pub fn forget_past(&mut self, now: Duration) {
        self.borrowed.retain(|_owner, share| now < share.until);
        let term = |question: &OpenQuestion| question.asked + LEASE_TERM;
        self.open.retain(|_owner, question| now < term(question));
    }
}

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;
