//! Quotas as the operators state them, and what each part of one amounts to.

use std::fmt;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::QUOTA_PARTS;
use super::transfer::TRANSFER_TIMEOUT;
use crate::gateway::organisation::OrganisationName;
use crate::gateway::policy::claim::StoreClaim;
use crate::gateway::policy::cold::RequestRate;

/// Quota of an organisation: a token bucket over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestQuota {
    /// Requests per second in the long run.
    pub rate: RequestRate,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
}

impl fmt::Display for RequestQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s+{}", self.rate.0, self.burst)
    }
}

/// Bound within which the requests of an organisation must stay in any window, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota that is tolerated in addition.
    pub overage: f64,
    /// Number of requests that are tolerated in addition.
    pub slack: f64,
}

impl Default for QuotaBound {
    /// Tolerates nothing in addition to the quota.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl QuotaBound {
    /// Returns the number of requests that the bound allows in any window.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::{QuotaBound, RequestQuota, RequestRate};
    ///
    /// let bound = QuotaBound { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    /// let quota = RequestQuota { rate: RequestRate(16.0), burst: 20.0 };
    /// assert!((bound.limit(quota) - 130.0).abs() < 1e-9);
    /// ```
    pub fn limit(&self, quota: RequestQuota) -> f64 {
        self.quota_in_window(quota) * (1.0 + self.overage) + self.slack
    }

    fn quota_in_window(&self, quota: RequestQuota) -> f64 {
        quota.rate.0 * self.window.as_secs_f64() + quota.burst
    }

    /// Returns the number of requests that the bound allows in any window in addition to the quota.
    fn additional(&self, quota: RequestQuota) -> f64 {
        self.quota_in_window(quota) * self.overage + self.slack
    }
}

/// Part of the requests that the bound allows in addition to the quota, which is left unused at least because the clocks
/// of two VMs differ.
const CLOCK_RESERVE: f64 = 0.1;
/// Largest difference between the clocks of two VMs.
const CLOCK_DIFFERENCE: f64 = 0.01;
/// Longest time from the grant of a token until it is used or put back; later, it is lost. A window contains requests
/// whose tokens were granted up to that long before it.
pub(super) const MAX_GRANT_DELAY: Duration = Duration::from_millis(125);
/// Part of the rest that enlarges the buckets, because callers come in bursts and a request that is refused within the
/// bound is lost for no reason.
const CAPACITY_SHARE: f64 = 0.45;
/// Part of the rest that a new holder starts with if the claim's record offers an allowance. As large as the part for
/// the capacity: with less, organisations below their limit are refused after all holders have been killed.
const START_SHARE: f64 = 0.45;
/// Part of the rest that refills the buckets of a new holder faster.
const RECOVERY_SHARE: f64 = 0.1;

/// What a claim says of a part that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PartHold {
    /// Time since which the process holds the part.
    pub since: Duration,
    /// Whether the buckets start with [`PartTerms::start_tokens`] instead of none.
    pub has_allowance: bool,
}

impl PartHold {
    /// Returns the hold that a claim gives this process; `None` if it may not use the part now.
    pub fn of_claim(claim: &StoreClaim, now: Duration) -> Option<Self> {
        let since = claim.usable_since(now)?;
        Some(Self {
            since,
            has_allowance: claim.has_allowance(),
        })
    }

    /// Returns the number of tokens with which a bucket starts.
    pub fn first_tokens(self, terms: PartTerms) -> f64 {
        if self.has_allowance {
            terms.start_tokens
        } else {
            0.0
        }
    }
}

/// What one part of a quota amounts to. At most one hold in any window of length `bound.window` starts with
/// `start_tokens`, so in any window a part grants at most `capacity` and `start_tokens`, plus `rate` and `recovery_rate`
/// times the window, also if its holder changes meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartTerms {
    /// Number of parts into which the quota is divided.
    pub part_count: usize,
    /// Largest number of tokens in the part's bucket.
    pub capacity: f64,
    /// Number of tokens with which the bucket of a new holder starts that has an allowance.
    pub start_tokens: f64,
    /// Tokens per second.
    pub rate: f64,
    /// Further tokens per second during the recovery time.
    pub recovery_rate: f64,
    /// Time after a change of the holder in which the bucket refills faster.
    pub recovery_time: Duration,
}

/// Returns what can be divided of the requests that the bound allows in addition to the quota. What buckets refill
/// because of a fast clock, or while grants and transfers travel, is left unused. A tenth of the additional requests isn't enough for
/// quotas with a high rate.
fn usable_additional(bound: QuotaBound, quota: RequestQuota) -> f64 {
    let additional = bound.additional(quota);
    let window = bound.window.as_secs_f64();
    let refill_rate = quota.rate.0 + additional * RECOVERY_SHARE / window;
    let travel_time = MAX_GRANT_DELAY + TRANSFER_TIMEOUT;
    let uncertain_time = window * CLOCK_DIFFERENCE + travel_time.as_secs_f64();
    let reserve = (additional * CLOCK_RESERVE).max(refill_rate * uncertain_time);
    (additional - reserve).max(0.0)
}

/// Smallest number of tokens for which a quota gets another part. Only whole tokens are granted, so each part keeps half
/// a token unused on average: with buckets of little more than a token, organisations within their limit were refused.
const MIN_PART_CAPACITY: f64 = 2.0;

impl PartTerms {
    /// Divides a quota. A quota whose bucket is small has fewer parts.
    pub fn new(bound: QuotaBound, quota: RequestQuota) -> Self {
        let additional = usable_additional(bound, quota);
        let capacity_in_all = quota.burst + additional * CAPACITY_SHARE;
        let part_count = ((capacity_in_all / MIN_PART_CAPACITY) as usize).clamp(1, QUOTA_PARTS);
        let parts = part_count as f64;
        let recovery_tokens = additional * RECOVERY_SHARE;
        let capacity = (capacity_in_all / parts).max(1.0);
        Self {
            part_count,
            capacity,
            start_tokens: additional * START_SHARE / parts,
            rate: quota.rate.0 / parts,
            recovery_rate: recovery_tokens / parts / bound.window.as_secs_f64(),
            recovery_time: bound.window,
        }
    }

    /// Returns the parts that make up the quota of an organisation. Small quotas of different organisations are spread
    /// over the parts.
    pub fn parts_of(&self, organisation: &OrganisationName) -> impl Iterator<Item = u8> + use<> {
        let first_part = xxh3_64(organisation.as_str().as_bytes()) as usize % QUOTA_PARTS;
        (0..self.part_count).map(move |number| ((first_part + number) % QUOTA_PARTS) as u8)
    }
}
