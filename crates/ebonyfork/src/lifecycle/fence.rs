//! Fencing: decides whether a process may trust its own state enough to accept work.

use std::fmt;
use std::time::Duration;

/// Source of a contact: the store, or another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ContactSource {
    /// The store answered a request.
    Store,
    /// A message from another VM of this deployment arrived.
    Peer,
}

/// Cause of a fence, for which new work is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceCause {
    /// The process did not run for a while, for example because its VM was suspended.
    Paused,
    /// The process has had no contact with store or peers for too long.
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

/// Time limits of fencing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceLimits {
    /// Longest time without contact with store or peers before the process counts as cut off.
    pub contact_timeout: Duration,
    /// Time after a pause in which a contact doesn't lift the fence: the message may have waited in a socket buffer.
    pub settle_time: Duration,
}

impl Default for FenceLimits {
    fn default() -> Self {
        Self {
            contact_timeout: Duration::from_secs(5),
            settle_time: Duration::from_millis(500),
        }
    }
}

/// The fence in force: its cause, and the contact that lifts it.
#[derive(Debug, Clone, Copy)]
struct ActiveFence {
    cause: FenceCause,
    /// A contact from this time on lifts the fence.
    lifted_from: Duration,
}

/// Decides whether the process is fenced, from pauses and from contacts with store and peers.
#[derive(Debug, Clone)]
pub struct FenceState {
    limits: FenceLimits,
    /// Time of the newest contact, at first the start of the process.
    last_contact: Duration,
    peer_known: bool,
    fence: Option<ActiveFence>,
}

impl FenceState {
    /// Creates an unfenced state at `now`.
    pub fn new(limits: FenceLimits, now: Duration) -> Self {
        Self {
            limits,
            last_contact: now,
            peer_known: false,
            fence: None,
        }
    }

    /// Records that another VM is known. A process that has never known one is not fenced for being cut off: there is
    /// no peer whose state could differ, and a lone VM must keep serving during an outage of the store.
    pub fn record_peer_known(&mut self) {
        self.peer_known = true;
    }

    /// Records a contact with store or peers at `at`.
    pub fn record_contact(&mut self, _source: ContactSource, at: Duration) {
        self.last_contact = self.last_contact.max(at);
    }

    /// Records that the process was paused until `now`, and fences it.
    pub fn record_pause(&mut self, now: Duration) {
        self.fence = Some(ActiveFence {
            cause: FenceCause::Paused,
            lifted_from: now + self.limits.settle_time,
        });
    }

    /// Updates the fence at `now` and returns its cause, if any. A fence is lifted by a contact that is late enough,
    /// and only if the process is `caught_up`, that is, holds the newest state it knows of.
    pub fn evaluate(&mut self, now: Duration, caught_up: bool) -> Option<FenceCause> {
        let is_lifted = |fence: &ActiveFence| caught_up && self.last_contact >= fence.lifted_from;
        if self.fence.as_ref().is_some_and(is_lifted) {
            self.fence = None;
        }
        let is_cut_off = now.saturating_sub(self.last_contact) > self.limits.contact_timeout;
        if self.fence.is_none() && self.peer_known && is_cut_off {
            self.fence = Some(ActiveFence {
                cause: FenceCause::CutOff,
                lifted_from: now,
            });
        }
        self.cause()
    }

    /// Returns why new work is refused, as of the last [`FenceState::evaluate`] or pause.
    pub fn cause(&self) -> Option<FenceCause> {
        self.fence.map(|fence| fence.cause)
    }
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
