//! How many calls a process may make: the service's rates grow more slowly than the fleet.

use std::time::Duration;

/// A token bucket over the calls of one process.
///
/// A fault in this tier must not become a load on the service, so a client that runs out of its budget fails the
/// call at once without sending it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::store::CallBudget;
///
/// let mut budget = CallBudget::new(10.0, 2.0);
/// let start = Duration::ZERO;
/// assert!(budget.take(start) && budget.take(start) && !budget.take(start));
/// assert!(budget.take(start + Duration::from_millis(100)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct CallBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Duration,
}

impl CallBudget {
    /// Allows `rate` calls a second on average and `burst` at once.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            updated: Duration::ZERO,
        }
    }

    /// Takes one call out of the budget, or tells that there is none left.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
