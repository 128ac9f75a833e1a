//! How long a request takes once it runs.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Spread of the logarithm of a service time.
const DEFAULT_SPREAD: f64 = 0.3;

/// A log-normal service time, of which a share of stragglers takes a multiple.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork_lab::upstream::ServiceTime;
/// use rand::SeedableRng;
///
/// let time = ServiceTime::new(Duration::from_millis(10)).with_spread(0.0);
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(time.draw(&mut rng), Duration::from_millis(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// Mean without stragglers.
    pub mean: Duration,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// Share of requests that are stragglers.
    pub straggler_share: f64,
    /// What a straggler's time is multiplied by.
    pub straggler_factor: f64,
}

impl ServiceTime {
    /// A service time around a mean, without stragglers.
    pub fn new(mean: Duration) -> Self {
        Self {
            mean,
            spread: DEFAULT_SPREAD,
            straggler_share: 0.0,
            straggler_factor: 1.0,
        }
    }

    /// Replaces the spread.
    #[must_use]
    pub fn with_spread(mut self, spread: f64) -> Self {
        self.spread = spread;
        self
    }

    /// Adds stragglers.
    #[must_use]
    pub fn with_stragglers(mut self, share: f64, factor: f64) -> Self {
        self.straggler_share = share;
        self.straggler_factor = factor;
        self
    }

    /// Draws the time of one request.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        // The mean of exp(normal) is above exp(mean) by half the variance.
        let exponent = self.spread * draw_normal(rng) - self.spread * self.spread / 2.0;
        let straggles = rng.random_bool(self.straggler_share.clamp(0.0, 1.0));
        let factor = if straggles {
            self.straggler_factor
        } else {
            1.0
        };
        self.mean.mul_f64(exponent.exp() * factor)
    }
}

/// Draws from the standard normal distribution (Box and Muller, 1958).
fn draw_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}

#[cfg(test)]
#[path = "service_time_tests.rs"]
mod tests;
