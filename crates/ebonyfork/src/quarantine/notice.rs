//! What VMs tell each other about suspects and quarantined requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};

/// Random name of a loss or a quarantine, so that news heard twice counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NoticeId(pub u64);

/// One piece of news. Times are ages, because the clocks of two VMs differ; an age is brought up to date whenever the
/// notice is sent on, so that a receiver errs only by the network's delay, and always towards "more recent".
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A request was in flight when an upstream was lost.
    Suspected {
        /// Names the loss.
        id: NoticeId,
        /// The request.
        fingerprint: RequestFingerprint,
        /// The lost upstream.
        upstream: UpstreamAddress,
        /// Time since the loss.
        age: Duration,
    },
    /// A suspect was answered after the losses: it did not cause them.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The losses that are explained otherwise.
        losses: SmallVec<[NoticeId; 2]>,
    },
    /// A request is refused from now on.
    Quarantined {
        /// Names the quarantine; a longer term of the same quarantine has the same name.
        id: NoticeId,
        /// The request.
        fingerprint: RequestFingerprint,
        /// Upstreams that were lost under it.
        victims: SmallVec<[UpstreamAddress; 2]>,
        /// Whether other requests could have caused the losses just as well.
        ambiguous: bool,
        /// Time since it was decided.
        age: Duration,
        /// Time until it lapses.
        left: Duration,
    },
    /// An operator allowed the request again; what was decided before no longer counts.
    Lifted {
        /// Names the act.
        id: NoticeId,
        /// The request.
        fingerprint: RequestFingerprint,
        /// Time since it was lifted.
        age: Duration,
    },
}

impl QuarantineNotice {
    /// The request it is about.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Suspected { fingerprint, .. }
            | Self::Cleared { fingerprint, .. }
            | Self::Quarantined { fingerprint, .. }
            | Self::Lifted { fingerprint, .. } => *fingerprint,
        }
    }
}
