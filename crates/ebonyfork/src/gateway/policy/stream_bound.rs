//! How long an answer is passed on while it arrives.
//!
//! Load pattern: upstreams in trouble send bodies that never end, fast or byte by byte, beside others whose long answers
//! are whole. A body without a stated length looks the same in both cases, so the caller's wait decides: an upstream is told
//! how long that is, and stops its work then. What still arrives later was under way: in the network, or in socket buffers
//! because the caller reads slowly.

use std::time::{Duration, Instant};

/// How long after the end of the caller's wait an upstream's last bytes may be under way.
const LATE_ALLOWANCE: Duration = Duration::from_millis(250);
/// Most bytes that are passed on after the end of the caller's wait: what socket buffers can hold.
const MAX_LATE_BYTES: usize = 8 * 1024 * 1024;

/// Why an answer is broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamExcess {
    /// The caller's wait is over, and the upstream has not sent the rest.
    Late,
    /// The upstream goes on sending after the caller's wait.
    Endless,
    /// The caller takes too long to read what has arrived.
    Unread,
}

impl StreamExcess {
    /// Returns the reason for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "not complete when the caller's wait ended",
            Self::Endless => "more bytes after the caller's wait than can have been under way",
            Self::Unread => "not read by the caller in time",
        }
    }
}

/// Bound on an answer that is passed on while it arrives.
#[derive(Debug, Clone, Copy)]
pub struct StreamBound {
    finish_by: Instant,
    /// Time by which the caller must have read the answer.
    read_by: Instant,
    late_bytes: usize,
}

impl StreamBound {
    /// Creates the bound for a caller that waits until `finish_by`, on a route that lets requests wait for `timeout`. The
    /// caller has as long again to read what arrived in time.
    pub fn new(finish_by: Instant, timeout: Duration) -> Self {
        Self {
            finish_by,
            read_by: finish_by + timeout.max(LATE_ALLOWANCE),
            late_bytes: 0,
        }
    }

    /// Returns the time until which more bytes of the upstream are awaited.
    pub fn await_until(&self) -> Instant {
        self.finish_by + LATE_ALLOWANCE
    }

    /// Returns the time by which the caller must have read the answer.
    pub fn read_by(&self) -> Instant {
        self.read_by
    }

    /// Returns why an answer is broken off for which no bytes have arrived, if it is.
    pub fn check_silence(&self, now: Instant) -> Option<StreamExcess> {
        (now >= self.await_until()).then_some(StreamExcess::Late)
    }

    /// Records bytes that have arrived; returns why the answer is broken off, if it is.
    pub fn record(&mut self, now: Instant, bytes: usize) -> Option<StreamExcess> {
        if now <= self.finish_by {
            return None;
        }
        self.late_bytes += bytes;
        if now > self.read_by {
            return Some(StreamExcess::Unread);
        }
        (self.late_bytes > MAX_LATE_BYTES).then_some(StreamExcess::Endless)
    }
}

#[cfg(test)]
#[path = "stream_bound_tests.rs"]
mod tests;
