//! The concurrency limit of one upstream: how many attempts may be there at once.

use std::time::Duration;

use crate::settings::LimitMode;

/// Where the limit starts at an upstream that was never used.
const START_LIMIT: u32 = 2;
/// Where it starts at one that has just returned.
const RETURN_LIMIT: u32 = 1;

/// Finds out how many attempts an upstream can run at once.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    mode: LimitMode,
    share: u32,
    limit: u32,
}

impl ConcurrencyLimit {
    /// Starts low; `share` is the most that the connections allow.
    pub fn new(mode: LimitMode, share: u32) -> Self {
        Self {
            mode,
            share,
            limit: START_LIMIT,
        }
    }

    /// Attempts that may be at the upstream at once.
    pub fn current(&self) -> u32 {
        match self.mode {
            LimitMode::Static => self.share,
            LimitMode::Adaptive => u32::min(self.limit, self.share),
        }
    }

    /// Replaces the most that the connections allow.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// The upstream shed an attempt while `in_flight` were there.
    pub fn shed(&mut self, _now: Duration, in_flight: u32) {
        self.limit = u32::clamp(in_flight.saturating_sub(1), 1, self.limit);
    }

    /// The upstream has returned after a loss: it is cold.
    pub fn restart(&mut self, _now: Duration) {
        self.limit = RETURN_LIMIT;
    }
}
