//! Sliding window over the requests sent in the last second.

use std::collections::VecDeque;
use std::time::Duration;

/// Period over which the requests to a cold upstream are counted and limited.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Counts the requests that this process sent to a cold upstream in the last second.
#[derive(Debug, Default)]
pub struct SendWindow {
    /// Send times, oldest first, as durations since the process started.
    send_times: VecDeque<Duration>,
}

impl SendWindow {
    /// Creates an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that may be sent now if at most `pace` are allowed in any second.
    pub fn remaining(&self, pace: usize, now: Duration) -> usize {
        let recent_sends = self
            .send_times
            .iter()
            .filter(|send_time| now < **send_time + WINDOW_LENGTH);
        pace.saturating_sub(recent_sends.count())
    }

    /// Counts a request and returns true if it may be sent; otherwise returns false.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::SendWindow;
    ///
    /// let mut window = SendWindow::new();
    /// assert!(window.try_record(1, Duration::from_millis(100)));
    /// assert!(!window.try_record(1, Duration::from_millis(1_099)));
    /// assert!(window.try_record(1, Duration::from_millis(1_100)));
    /// ```
    pub fn try_record(&mut self, pace: usize, now: Duration) -> bool {
        while self
            .send_times
            .front()
            .is_some_and(|send_time| *send_time + WINDOW_LENGTH <= now)
        {
            self.send_times.pop_front();
        }
        if self.send_times.len() >= pace {
            return false;
        }
        self.send_times.push_back(now);
        true
    }
}
