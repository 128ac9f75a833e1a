//! Faults on demand, rates and the call count.

use std::time::Duration;

/// Kind of a call, for the count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A key is read.
    Get,
    /// A key is written.
    Put,
    /// A key is deleted.
    Delete,
    /// Keys are listed.
    List,
    /// A key is watched; a waiting watch counts once.
    Watch,
    /// A lease is granted or kept.
    Lease,
    /// The VM list is read.
    Vms,
}

impl CallKind {
    /// Tells whether the call changes something.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Lease)
    }
}

/// Calls that reached the platform, also those that it then refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Keys read.
    pub get: u64,
    /// Keys written.
    pub put: u64,
    /// Keys deleted.
    pub delete: u64,
    /// Listings.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Leases granted or kept.
    pub lease: u64,
    /// VM lists.
    pub vms: u64,
    /// Of all these, calls refused because the rate was exceeded.
    pub limited: u64,
}

impl CallCounts {
    /// Counts one call.
    pub(super) fn add(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Get => &mut self.get,
            CallKind::Put => &mut self.put,
            CallKind::Delete => &mut self.delete,
            CallKind::List => &mut self.list,
            CallKind::Watch => &mut self.watch,
            CallKind::Lease => &mut self.lease,
            CallKind::Vms => &mut self.vms,
        };
        *count += 1;
    }

    /// All calls.
    pub fn total(&self) -> u64 {
        self.get + self.put + self.delete + self.list + self.watch + self.lease + self.vms
    }
}

/// How an outage looks from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutageKind {
    /// Every call gets a 503.
    Unavailable,
    /// Connections break.
    Broken,
    /// Calls get no answer at all while it lasts.
    Silent,
}

/// Faults in force.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlatformFaults {
    /// An outage.
    pub outage: Option<OutageKind>,
    /// Added to every answer.
    pub delay: Duration,
    /// Share of calls whose answer is lost after they took effect.
    pub lost_answers: f64,
    /// Share of calls that are lost before they take effect.
    pub lost_calls: f64,
}

/// Calls a second that the service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Reads, lists, watches and VM lists.
    pub reads: u32,
    /// Writes, deletions and leases.
    pub writes: u32,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            reads: 2_000,
            writes: 400,
        }
    }
}

/// Grants up to a second's worth of calls at once, refilled evenly.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateBucket {
    rate: f64,
    tokens: f64,
    filled: Duration,
}

impl RateBucket {
    pub(super) fn new(rate: u32) -> Self {
        Self {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            filled: Duration::ZERO,
        }
    }

    pub(super) fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
