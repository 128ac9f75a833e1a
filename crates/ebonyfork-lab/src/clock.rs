//! One clock for all records of a run.

use std::time::Duration;

use tokio::time::Instant;

/// Tells the time since a run began, so that records of different stand-ins can be compared.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::clock::RunClock;
///
/// let clock = RunClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RunClock {
    origin: Instant,
}

impl RunClock {
    /// Starts a run now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the time since the start of an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.origin)
    }

    /// Returns the instant at a time since the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }
}
