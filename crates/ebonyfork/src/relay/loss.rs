//! Connections of an upstream that break at about the same time are one loss. Pure.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::UpstreamAddress;
use crate::quarantine::LostRequest;

/// Connections that break within this time of each other are one loss.
const LOSS_WINDOW: Duration = Duration::from_millis(20);

/// An upstream broke connections while attempts were running on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamLoss {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// Time since the first connection broke.
    pub age: Duration,
    /// What was running on those connections.
    pub in_flight: SmallVec<[LostRequest; 4]>,
}

/// The connections of one upstream that broke within one window.
#[derive(Debug)]
pub(super) struct LossWindow {
    began: Duration,
    in_flight: SmallVec<[LostRequest; 4]>,
}

impl LossWindow {
    /// Starts with the first connection that broke.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            began: now,
            in_flight: SmallVec::new(),
        }
    }

    /// Adds an attempt that was running, sent at `sent`. Its flight counts up to the first break; what was sent later is
    /// not to blame.
    pub(super) fn add(&mut self, request: LostRequest, sent: Duration) {
        let Some(flight) = self.began.checked_sub(sent) else {
            return;
        };
        self.in_flight.push(LostRequest { flight, ..request });
    }

    /// Tells whether nothing more can belong to it.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now >= self.began + LOSS_WINDOW
    }

    /// What is to be reported.
    pub(super) fn finish(self, upstream: UpstreamAddress, now: Duration) -> UpstreamLoss {
        UpstreamLoss {
            upstream,
            age: now.saturating_sub(self.began),
            in_flight: self.in_flight,
        }
    }
}
