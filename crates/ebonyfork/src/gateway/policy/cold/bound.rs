//! Bound on the requests per second to a cold upstream.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

/// Requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate(pub f64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.parse().map(Self)
    }
}

/// Bound on the requests that a cold upstream may get in one second from all VMs together, in terms of the rate that it
/// tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Number of requests allowed in one second, without `slack`, as a multiple of the tolerated rate: 1.5 allows 50 %
    /// more than the upstream tolerates.
    pub overage: f64,
    /// Number of requests allowed in addition to the tolerated rate times `overage`.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the number of requests that all VMs together may send to one upstream in any second.
    pub fn limit(&self, tolerated_rate: RequestRate) -> usize {
        (tolerated_rate.0 * self.overage + self.slack) as usize
    }

    /// Returns the number of requests that the claim holder sends in any second: the rate that the upstream tolerates,
    /// but at least one. Returns `None` if the upstream states no rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::gateway::{ColdBound, RequestRate};
    ///
    /// let bound = ColdBound { overage: 1.5, slack: 5.0 };
    /// assert_eq!(bound.pace(RequestRate(8.0)), Some(8));
    /// assert_eq!(bound.pace(RequestRate(0.3)), Some(1));
    /// assert_eq!(bound.pace(RequestRate(0.0)), None);
    /// ```
    pub fn pace(&self, tolerated_rate: RequestRate) -> Option<usize> {
        if tolerated_rate.0 <= 0.0 {
            return None;
        }
        let whole_requests = (tolerated_rate.0 as usize).max(1);
        Some(whole_requests.min(self.limit(tolerated_rate)))
    }
}
