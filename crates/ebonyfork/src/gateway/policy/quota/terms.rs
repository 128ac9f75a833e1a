//! Quotas as the operators state them, and what each part of one amounts to.

use std::fmt;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::QUOTA_PARTS;
use crate::gateway::organisation::OrganisationName;
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

/// Part of the requests that the bound allows in addition to the quota, which is left unused because the clocks of two
/// VMs differ.
const CLOCK_RESERVE: f64 = 0.1;
/// Part of the rest that refills the buckets of a new holder. The other part enlarges the buckets, because callers come
/// in bursts and a request that is refused within the bound is lost for no reason.
const RECOVERY_SHARE: f64 = 0.25;

/// What one part of a quota amounts to. In any window of length `bound.window`, a part grants at most `capacity` plus
/// `rate` and `recovery_rate` times the window, also if its holder changes meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartTerms {
    /// Number of parts into which the quota is divided.
    pub part_count: usize,
    /// Largest number of tokens in the part's bucket.
    pub capacity: f64,
    /// Tokens per second.
    pub rate: f64,
    /// Further tokens per second during the recovery time.
    pub recovery_rate: f64,
    /// Time after a change of the holder in which the bucket refills faster.
    pub recovery_time: Duration,
}

impl PartTerms {
    /// Divides a quota. A quota whose bucket is small has fewer parts, because a bucket that can't hold a whole token
    /// would never grant one.
    pub fn new(bound: QuotaBound, quota: RequestQuota) -> Self {
        let additional = bound.additional(quota) * (1.0 - CLOCK_RESERVE);
        let capacity_in_all = quota.burst + additional * (1.0 - RECOVERY_SHARE);
        let part_count = (capacity_in_all as usize).clamp(1, QUOTA_PARTS);
        let parts = part_count as f64;
        let recovery_tokens = additional * RECOVERY_SHARE;
        let capacity = (capacity_in_all / parts).max(1.0);
        Self {
            part_count,
            capacity,
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
