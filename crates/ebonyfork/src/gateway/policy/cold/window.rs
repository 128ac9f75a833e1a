//! Sliding window over the requests sent in the last second.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Send times of the requests of the last second, as durations since the process started.
#[derive(Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Duration>,
}

impl SendWindow {
    /// Creates an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that may be sent now if at most `pace` are allowed in any second.
    pub fn remaining(&self, pace: usize, now: Duration) -> usize {
        let recent = self.sent.iter().filter(|sent| now < **sent + WINDOW);
        pace.saturating_sub(recent.count())
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
        while self.sent.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sent.pop_front();
        }
        if self.sent.len() >= pace {
            return false;
        }
        self.sent.push_back(now);
        true
    }
}
