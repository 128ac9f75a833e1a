//! Counts what was sent in the last second.

use std::collections::VecDeque;
use std::time::Duration;

/// The span in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Times of the requests of the last second; spans since the start of the process.
#[derive(Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Duration>,
}

impl SendWindow {
    /// Nothing was sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that may be sent at once if there may be `pace` in any second.
    pub fn room(&self, pace: usize, now: Duration) -> usize {
        let recent = self.sent.iter().filter(|sent| now < **sent + WINDOW);
        pace.saturating_sub(recent.count())
    }

    /// Counts a request if it may be sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use ebonyfork::gateway::SendWindow;
    ///
    /// let mut window = SendWindow::new();
    /// assert!(window.take(1, Duration::from_millis(100)));
    /// assert!(!window.take(1, Duration::from_millis(1_099)));
    /// assert!(window.take(1, Duration::from_millis(1_100)));
    /// ```
    pub fn take(&mut self, pace: usize, now: Duration) -> bool {
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
