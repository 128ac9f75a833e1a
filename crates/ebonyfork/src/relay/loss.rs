//! Groups connections of an upstream that break at about the same time into one loss. Pure.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::UpstreamAddress;
use crate::quarantine::LostRequest;

/// Connections of an upstream that break within this time of the first one belong to the same loss.
const LOSS_WINDOW: Duration = Duration::from_millis(20);

/// The loss of an upstream: connections to it broke while attempts were in flight on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamLoss {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// Time since the first connection broke.
    pub age: Duration,
    /// The requests that were in flight on those connections.
    pub in_flight: SmallVec<[LostRequest; 4]>,
}

/// The connections of one upstream that broke within one window.
#[derive(Debug)]
pub(super) struct LossWindow {
    began: Duration,
    in_flight: SmallVec<[LostRequest; 4]>,
}

impl LossWindow {
    /// Opens a window when the first connection breaks.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            began: now,
            in_flight: SmallVec::new(),
        }
    }

    /// Adds an attempt that was in flight, sent at `sent`. Its flight is measured up to the first break; an attempt
    /// sent later can't have caused the loss and is ignored.
    pub(super) fn add(&mut self, request: LostRequest, sent: Duration) {
        let Some(flight) = self.began.checked_sub(sent) else {
            return;
        };
        self.in_flight.push(LostRequest { flight, ..request });
    }

    /// Returns whether the window has ended.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now >= self.began + LOSS_WINDOW
    }

    /// Builds the report of the loss.
    pub(super) fn finish(self, upstream: UpstreamAddress, now: Duration) -> UpstreamLoss {
        UpstreamLoss {
            upstream,
            age: now.saturating_sub(self.began),
            in_flight: self.in_flight,
        }
    }
}
