//! The types that the quarantine exchanges with the rest of the process.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};

/// How the quarantine treats a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuarantineStatus {
    /// The request runs normally.
    Clear,
    /// The request runs, but only at an upstream where no other suspect is in flight, and at one upstream at a time.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// A request that was in flight at an upstream when the upstream was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time from sending the request to the loss.
    pub time_in_flight: Duration,
    /// Whether the sender already knew of an earlier loss of an upstream with the request in flight. This loss then
    /// counts as a repeated one even if this table has no record of the earlier one.
    pub after_loss: bool,
}

impl LostRequest {
    /// Creates the report of a request that was sent `time_in_flight` before the loss, by a sender that knew of no earlier
    /// loss.
    pub fn new(fingerprint: RequestFingerprint, time_in_flight: Duration) -> Self {
        Self {
            fingerprint,
            time_in_flight,
            after_loss: false,
        }
    }
}

/// A decision of the quarantine that changes how a request is treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request runs in isolation from now on.
    Suspect(RequestFingerprint),
    /// The request is refused from now on.
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Whether other requests could equally have caused the losses.
        ambiguous: bool,
    },
    /// The request runs normally again.
    Clear(RequestFingerprint),
}

/// A quarantined request, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Upstreams that were lost while the request was in flight.
    pub lost_upstreams: SmallVec<[UpstreamAddress; 2]>,
    /// Whether other requests could equally have caused the losses.
    pub ambiguous: bool,
    /// Time since the request was quarantined.
    pub age: Duration,
    /// Time until the quarantine expires if the request is not sent again.
    pub remaining: Duration,
}
