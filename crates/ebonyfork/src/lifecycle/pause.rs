//! Finding that the process was paused. Pure.

use std::time::Duration;

/// Both clocks at one moment. The monotonic clock may stand still while a VM is suspended; the wall clock then jumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the process started.
    pub monotonic: Duration,
    /// Time since the Unix epoch.
    pub wall: Duration,
}

/// Compares each look at the clocks with the one before. Somebody looks every [`PauseDetector::PERIOD`]; a look that
/// comes much later shows that the process did not run in between.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use ebonyfork::lifecycle::{ClockReading, PauseDetector};
///
/// let reading = |millis| ClockReading {
///     monotonic: Duration::from_millis(millis),
///     wall: Duration::from_millis(1_700_000_000_000 + millis),
/// };
/// let mut detector = PauseDetector::new(Duration::from_secs(2));
/// assert_eq!(detector.observe(reading(0)), None);
/// assert_eq!(detector.observe(reading(100)), None);
/// assert_eq!(detector.observe(reading(4_100)), Some(Duration::from_secs(4)));
/// ```
#[derive(Debug, Clone)]
pub struct PauseDetector {
    limit: Duration,
    last: Option<ClockReading>,
}

impl PauseDetector {
    /// Time between two looks.
    pub const PERIOD: Duration = Duration::from_millis(100);
    /// Usual limit: far above what a loaded machine delays a look, far below the time after which others count this
    /// process as fenced.
    pub const LIMIT: Duration = Duration::from_secs(2);

    /// Makes a detector of gaps beyond `limit`.
    pub fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Takes in a look; returns the gap if the process was paused since the last one. A wall clock that is set back shows
    /// nothing; one that is set forward looks like a pause, which costs a moment of fencing.
    pub fn observe(&mut self, reading: ClockReading) -> Option<Duration> {
        let last = self.last.replace(reading)?;
        let monotonic = reading.monotonic.saturating_sub(last.monotonic);
        let wall = reading.wall.saturating_sub(last.wall);
        let gap = monotonic.max(wall);
        (gap > self.limit).then_some(gap)
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
