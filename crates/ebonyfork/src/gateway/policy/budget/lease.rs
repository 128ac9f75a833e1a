//! Tracks the shares of the slack that this process holds: its own, and those leased from other VMs. Does no I/O.
//!
//! The slack is the number of repeats (retries and hedges) that all VMs together may send in addition to a ratio of the
//! requests. Each VM owns an equal share of it, which it can lease to another VM.

use std::time::Duration;

use rustc_hash::FxHashMap;
use snafu::Snafu;

use crate::ident::VmAddress;

/// Time for which an owner doesn't use its share after granting a lease.
pub const LEASE_TERM: Duration = Duration::from_secs(3);
/// Time for which a borrower uses a share, counted from its request. The difference to [`LEASE_TERM`] is far larger
/// than the clock drift between two VMs over a term.
const BORROWER_TERM: Duration = Duration::from_millis(2_800);
/// Time for which a VM refuses to lease its share after it tried to send a repeat itself.
const RECENT_REPEAT_PERIOD: Duration = Duration::from_secs(3);

/// Reason why an owner refuses to lease its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LendRefusal {
    /// The previous process on this VM may have leased the share to another VM.
    #[snafu(display("just started"))]
    JustStarted,
    /// The share is leased to another VM.
    #[snafu(display("on lease to {borrower}"))]
    OnLease {
        /// The VM that holds the share.
        borrower: VmAddress,
    },
    /// This VM takes requests or has recently tried to send a repeat.
    #[snafu(display("needed here"))]
    NeededHere,
}

/// Lease request to another VM that was not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    number: u64,
    sent_at: Duration,
}

/// Share borrowed from another VM.
#[derive(Debug, Clone, Copy)]
struct BorrowedShare {
    /// Time from which this process no longer uses the share.
    expires: Duration,
}

/// Shares held by one process. Times are durations since its start, on a clock that keeps running while the VM is
/// suspended.
#[derive(Debug, Default)]
pub struct ShareLeases {
    next_number: u64,
    pending_requests: FxHashMap<VmAddress, PendingRequest>,
    borrowed_shares: FxHashMap<VmAddress, BorrowedShare>,
    /// Lease of this VM's own share to another VM: the borrower and the end of the lease.
    granted_lease: Option<(VmAddress, Duration)>,
    /// Time at which this VM last tried to send a repeat.
    last_repeat: Option<Duration>,
}

impl ShareLeases {
    /// Creates the state of a process that has just started, which holds no share.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of shares held at `now`.
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
        usize::from(self.holds_own(now)) + self.borrowed_count(now)
    }

    /// Returns the number of shares borrowed from other VMs at `now`.
    pub fn borrowed_count(&self, now: Duration) -> usize {
        let shares = self.borrowed_shares.values();
        shares.filter(|share| now < share.expires).count()
    }

    /// Returns the VM that this VM's own share is leased to at `now`.
    pub fn lent_to(&self, now: Duration) -> Option<VmAddress> {
        let (borrower, expires) = self.granted_lease?;
        (now < expires).then_some(borrower)
    }

    /// Returns whether this process may use the share that it borrowed from `owner` at `now`.
    #[cfg(test)]
    pub(super) fn holds_share_of(&self, owner: VmAddress, now: Duration) -> bool {
        let share = self.borrowed_shares.get(&owner);
        share.is_some_and(|share| now < share.expires)
    }

    /// Returns whether this process may use the share that its own VM owns at `now`: it has run for a lease term and
    /// the share isn't leased to another VM.
    pub(super) fn holds_own(&self, now: Duration) -> bool {
        now >= LEASE_TERM && self.lent_to(now).is_none()
    }

    /// Returns the next time after `now` at which [`Self::shares`] may change without a message from another VM.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let expiries = self.borrowed_shares.values().map(|share| share.expires);
        let own_expiry = self.granted_lease.map(|(_borrower, expires)| expires);
        let changes = expiries.chain(own_expiry).chain([LEASE_TERM]);
        changes.filter(|change| *change > now).min()
    }

    /// Records that this VM tried to send a repeat.
    pub fn record_repeat(&mut self, now: Duration) {
        self.last_repeat = Some(now);
    }

    /// Records a lease request to the owner of a share and returns its number.
    pub fn request(&mut self, owner: VmAddress, now: Duration) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let request = PendingRequest {
            number,
            sent_at: now,
        };
        self.pending_requests.insert(owner, request);
        number
    }

    /// Accepts a granted lease; returns false unless `number` is the latest pending request to `owner`.
    pub fn accept_grant(&mut self, owner: VmAddress, number: u64) -> bool {
        let request = self.pending_requests.get(&owner).copied();
        let Some(request) = request.filter(|request| request.number == number) else {
            return false;
        };
        self.pending_requests.remove(&owner);
        let expires = request.sent_at + BORROWER_TERM;
        self.borrowed_shares
            .insert(owner, BorrowedShare { expires });
        true
    }

    /// Leases this VM's own share to `borrower`, or returns the reason for refusing. `serves` tells whether this VM
    /// takes requests itself.
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
        let is_recent = |repeat_time| now.saturating_sub(repeat_time) < RECENT_REPEAT_PERIOD;
        if serves || self.last_repeat.is_some_and(is_recent) {
            return Err(LendRefusal::NeededHere);
        }
        self.granted_lease = Some((borrower, now + LEASE_TERM));
        Ok(())
    }

    /// Removes expired leases and requests.
    pub fn remove_expired(&mut self, now: Duration) {
        self.borrowed_shares
            .retain(|_owner, share| now < share.expires);
        let expiry = |request: &PendingRequest| request.sent_at + LEASE_TERM;
        self.pending_requests
            .retain(|_owner, request| now < expiry(request));
    }
}

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;
