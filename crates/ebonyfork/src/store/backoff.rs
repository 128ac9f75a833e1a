//! Exponential backoff with jitter, so that many processes don't retry at the same moment.

use std::time::Duration;

use rand::RngExt;

/// Computes waits that double with every failure up to a bound; each wait is drawn at random between half of its full
/// length and all of it.
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
/// let first_wait = backoff.next_wait(&mut rng);
/// assert!(first_wait >= Duration::from_millis(50) && first_wait <= Duration::from_millis(100));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first_wait: Duration,
    max_wait: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(first_wait: Duration, max_wait: Duration) -> Self {
        Self {
            first_wait,
            max_wait,
            failures: 0,
        }
    }

    /// Records a success: the wait after the next failure is the shortest again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns how long to wait before the next attempt.
    pub fn next_wait(&mut self, rng: &mut impl rand::Rng) -> Duration {
        const MAX_DOUBLINGS: u32 = 16;
        let factor = 1_u32 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let wait = self.first_wait.saturating_mul(factor).min(self.max_wait);
        wait.mul_f64(rng.random_range(0.5..=1.0))
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
