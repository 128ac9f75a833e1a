//! Groups connections of an upstream that break at about the same time into one loss. Pure.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::UpstreamAddress;
use crate::quarantine::LostRequest;

/// Breaks of connections to an upstream within this time after the first break belong to the same loss.
const LOSS_WINDOW: Duration = Duration::from_millis(20);

/// The loss of an upstream: connections to it broke while attempts were in flight on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamLoss {
    /// The lost upstream.
    pub upstream: UpstreamAddress,
    /// Time between the break of the first connection and this report.
    pub age: Duration,
    /// The requests that were in flight on those connections.
    pub in_flight: SmallVec<[LostRequest; 4]>,
}

/// The connections of one upstream that broke within one window.
#[derive(Debug)]
pub(super) struct LossWindow {
    /// When the first connection broke.
    first_break_at: Duration,
    /// The requests that were in flight on the broken connections.
    lost_requests: SmallVec<[LostRequest; 4]>,
}

impl LossWindow {
    /// Creates a window that starts at `now`, when the first connection of a loss breaks.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            first_break_at: now,
            lost_requests: SmallVec::new(),
        }
    }

    /// Adds the request of an attempt that was sent at `sent_at` and was in flight on a connection that broke. The time
    /// in flight is measured up to the first break. An attempt sent later can't have caused the loss and is ignored.
    pub(super) fn add(&mut self, request: LostRequest, sent_at: Duration) {
        let Some(time_in_flight) = self.first_break_at.checked_sub(sent_at) else {
            return;
        };
        self.lost_requests.push(LostRequest {
            time_in_flight,
            ..request
        });
    }

    /// Returns whether the window has ended, so that later breaks belong to another loss.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now >= self.first_break_at + LOSS_WINDOW
    }

    /// Returns the loss that the window has recorded.
    pub(super) fn into_loss(self, upstream: UpstreamAddress, now: Duration) -> UpstreamLoss {
        UpstreamLoss {
            upstream,
            age: now.saturating_sub(self.first_break_at),
            in_flight: self.lost_requests,
        }
    }
}
