//! Whether a process may believe what it holds. Pure.

use std::fmt;
use std::time::Duration;

/// Where word came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ContactSource {
    /// The platform's service answered.
    Store,
    /// Another process of ours was heard.
    Peer,
}

/// Why new work is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceCause {
    /// The process did not run for a while.
    Paused,
    /// It has heard neither store nor peers for too long.
    CutOff,
}

impl fmt::Display for FenceCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Paused => "paused",
            Self::CutOff => "cut-off",
        })
    }
}

/// Times of fencing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceLimits {
    /// Without word from store and peers for this long, the process is cut off.
    pub cut_off: Duration,
    /// Word that comes sooner than this after a pause may have waited in a socket, and proves nothing.
    pub settle: Duration,
}

impl Default for FenceLimits {
    fn default() -> Self {
        Self {
            cut_off: Duration::from_secs(5),
            settle: Duration::from_millis(500),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ActiveFence {
    cause: FenceCause,
    /// Word from this time on is fresh.
    fresh: Duration,
}

/// Fenced or not, and since when word counts as fresh.
#[derive(Debug, Clone)]
pub struct FenceState {
    limits: FenceLimits,
    /// The newest word from anyone; the start counts as such.
    heard: Duration,
    has_peers: bool,
    fence: Option<ActiveFence>,
}

impl FenceState {
    /// Starts unfenced at `now`.
    pub fn new(limits: FenceLimits, now: Duration) -> Self {
        Self {
            limits,
            heard: now,
            has_peers: false,
            fence: None,
        }
    }

    /// Notes that another VM is known. A process that has never known one is not fenced for being cut off: there is
    /// nobody it could differ from, and a lone VM must outlive an outage of the store.
    pub fn note_peer_known(&mut self) {
        self.has_peers = true;
    }

    /// Notes word from store or peers that came at `at`.
    pub fn note_contact(&mut self, _source: ContactSource, at: Duration) {
        self.heard = self.heard.max(at);
    }

    /// Notes that the process was paused until `now`.
    pub fn note_pause(&mut self, now: Duration) {
        self.fence = Some(ActiveFence {
            cause: FenceCause::Paused,
            fresh: now + self.limits.settle,
        });
    }

    /// Decides at `now`. A fence is lifted by fresh word, provided that everything learnt from it is held by now.
    pub fn evaluate(&mut self, now: Duration, caught_up: bool) -> Option<FenceCause> {
        let lifted = |fence: &ActiveFence| caught_up && self.heard >= fence.fresh;
        if self.fence.as_ref().is_some_and(lifted) {
            self.fence = None;
        }
        let silent = now.saturating_sub(self.heard) > self.limits.cut_off;
        if self.fence.is_none() && self.has_peers && silent {
            self.fence = Some(ActiveFence {
                cause: FenceCause::CutOff,
                fresh: now,
            });
        }
        self.cause()
    }

    /// Why new work is refused, as decided last.
    pub fn cause(&self) -> Option<FenceCause> {
        self.fence.map(|fence| fence.cause)
    }
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
