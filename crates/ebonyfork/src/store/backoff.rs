//! Waiting between tries: exponential, with jitter, so that many processes don't come back at once.

use std::time::Duration;

use rand::RngExt;

/// Doubles a wait with every failure up to a bound; each wait is drawn between half of it and all of it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::store::Backoff;
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
/// let first = backoff.next_wait(&mut rng);
/// assert!(first >= Duration::from_millis(50) && first <= Duration::from_millis(100));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Starts without failures.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Notes a success: the next failure waits the shortest time again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns how long to wait before the next try.
    pub fn next_wait(&mut self, rng: &mut impl rand::Rng) -> Duration {
        const MOST_DOUBLINGS: u32 = 16;
        let factor = 1_u32 << self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let wait = self.first.saturating_mul(factor).min(self.longest);
        wait.mul_f64(rng.random_range(0.5..=1.0))
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
