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
    /// Names the news for gossip: the same on every VM that tells it on. A quarantine whose term was extended is news.
    pub fn number(&self) -> u64 {
        /// Terms that differ by less count as one, because ages travel with an error.
        const TERM_STEP_S: u64 = 30;
        let (tag, id, term) = match self {
            Self::Suspected {
                id, fingerprint, ..
            } => (0, id.0 ^ fingerprint.0, 0),
            Self::Cleared {
                fingerprint,
                losses,
            } => {
                let losses = losses
                    .iter()
                    .fold(0, |sum: u64, loss| sum.wrapping_add(loss.0));
                (1, fingerprint.0 ^ losses, 0)
            }
            Self::Quarantined { id, age, left, .. } => (2, id.0, (*age + *left).as_secs()),
            Self::Lifted { id, .. } => (3, id.0, 0),
        };
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for part in [tag, id, (term + TERM_STEP_S / 2) / TERM_STEP_S] {
            hasher.update(&part.to_le_bytes());
        }
        hasher.digest()
    }

    /// Brings the ages up to date after the notice has been on its way for some time.
    #[must_use]
    pub fn with_elapsed(mut self, elapsed: Duration) -> Self {
        match &mut self {
            Self::Suspected { age, .. } | Self::Lifted { age, .. } => *age += elapsed,
            Self::Quarantined { age, left, .. } => {
                *age += elapsed;
                *left = left.saturating_sub(elapsed);
            }
            Self::Cleared { .. } => {}
        }
        self
    }

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
