//! Limits how many store calls a process makes, because the store's call rates grow more slowly than the fleet.

use std::time::Duration;

/// A token bucket over the store calls of one process.
///
/// A fault in this tier must not overload the store, so a client without budget fails the call at once and doesn't send
/// it.
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
/// assert!(budget.try_take(start) && budget.try_take(start) && !budget.try_take(start));
/// assert!(budget.try_take(start + Duration::from_millis(100)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct CallBudget {
    calls_per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
}

impl CallBudget {
    /// Creates a budget that allows `calls_per_second` calls per second on average and `burst` at once.
    pub fn new(calls_per_second: f64, burst: f64) -> Self {
        Self {
            calls_per_second,
            burst,
            tokens: burst,
            updated_at: Duration::ZERO,
        }
    }

    /// Takes one call from the budget. Returns `false` if none is left.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        self.tokens = (self.tokens + elapsed_seconds * self.calls_per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
