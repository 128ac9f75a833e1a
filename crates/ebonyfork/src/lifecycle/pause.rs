//! Detects that the process was paused, from gaps between clock readings.

use std::time::Duration;

/// Both clocks at one moment. The monotonic clock may stop while a VM is suspended; the wall clock then jumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the process started.
    pub monotonic: Duration,
    /// Time since the Unix epoch.
    pub wall: Duration,
}

/// Compares each clock reading with the previous one. The clocks are read every [`PauseDetector::CHECK_INTERVAL`]; a
/// reading that comes much later shows that the process did not run in between.
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
    /// Gaps longer than this count as pauses.
    limit: Duration,
    last_reading: Option<ClockReading>,
}

impl PauseDetector {
    /// Interval between two clock readings.
    pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
    /// Default limit: far above the delay of a reading on a loaded machine, far below the time after which other VMs
    /// count this process as fenced.
    pub const DEFAULT_LIMIT: Duration = Duration::from_secs(2);

    /// Creates a detector that reports gaps longer than `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            last_reading: None,
        }
    }

    /// Compares a reading with the previous one; returns the gap if the process was paused in between. A wall clock
    /// that is set back is ignored; one that is set forward looks like a pause and fences the process for a moment.
    pub fn observe(&mut self, reading: ClockReading) -> Option<Duration> {
        let previous_reading = self.last_reading.replace(reading)?;
        let monotonic_gap = reading.monotonic.saturating_sub(previous_reading.monotonic);
        let wall_gap = reading.wall.saturating_sub(previous_reading.wall);
        let gap = monotonic_gap.max(wall_gap);
        (gap > self.limit).then_some(gap)
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
