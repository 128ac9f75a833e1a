//! What the quarantine tells the rest of a process, and what it is told.

use std::time::Duration;

use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestStanding {
    /// It runs.
    Clear,
    /// It runs, but at no upstream where another suspect is in flight, and for one upstream at a time.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// A request that was in flight at an upstream when that was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How long before the loss it was sent.
    pub flight: Duration,
    /// Whether it was sent in the knowledge that it had lost an upstream before, whatever this table has heard.
    pub after_loss: bool,
}

impl LostRequest {
    /// A request that was sent `flight` before the loss.
    pub fn new(fingerprint: RequestFingerprint, flight: Duration) -> Self {
        Self {
            fingerprint,
            flight,
            after_loss: false,
        }
    }
}

/// A change that the table has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request runs alone from now on.
    Suspect(RequestFingerprint),
    /// The request is refused from now on.
    Quarantine {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Whether other requests could have caused the losses just as well.
        ambiguous: bool,
    },
    /// The request runs as any other again.
    Clear(RequestFingerprint),
}

/// A quarantined request, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Upstreams that were lost under it.
    pub victims: SmallVec<[UpstreamAddress; 2]>,
    /// Whether other requests could have caused the losses just as well.
    pub ambiguous: bool,
    /// Time since it was decided.
    pub age: Duration,
    /// Time until it lapses if nobody sends it.
    pub left: Duration,
}
