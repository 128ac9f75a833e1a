//! The notices by which VMs share suspects and quarantined requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ident::{RequestFingerprint, UpstreamAddress};

/// Random id of the loss, quarantine or lift that a notice reports, by which a second notice of it is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NoticeId(pub u64);

/// A notice by which one VM tells the others of a change in its quarantine. Times are sent as ages, because the clocks
/// of two VMs differ. The ages are updated whenever the notice is forwarded, so the receiver's error is the network
/// delay only, and events always appear more recent than they are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A request was in flight when an upstream was lost.
    Suspected {
        /// Id of the loss.
        id: NoticeId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// The lost upstream.
        upstream: UpstreamAddress,
        /// Time since the loss.
        #[serde(deserialize_with = "crate::stated::bounded_time")]
        age: Duration,
    },
    /// An attempt of a suspected request that was sent after the losses was answered: the request did not cause them.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Ids of the losses that no longer count against the request.
        losses: SmallVec<[NoticeId; 2]>,
    },
    /// A request is refused from now on.
    Quarantined {
        /// Id of the quarantine; the extension of a quarantine keeps its id.
        id: NoticeId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Upstreams that were lost while the request was in flight.
        lost_upstreams: SmallVec<[UpstreamAddress; 2]>,
        /// Whether other requests could equally have caused the losses.
        ambiguous: bool,
        /// Time since the request was quarantined.
        #[serde(deserialize_with = "crate::stated::bounded_time")]
        age: Duration,
        /// Time until the quarantine expires if it is not extended.
        #[serde(deserialize_with = "crate::stated::bounded_time")]
        remaining: Duration,
    },
    /// An operator lifted the quarantine or suspicion of a request; earlier losses and quarantines no longer count.
    Lifted {
        /// Id of the lift.
        id: NoticeId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Time since the lift.
        #[serde(deserialize_with = "crate::stated::bounded_time")]
        age: Duration,
    },
}

impl QuarantineNotice {
    /// Returns the number that identifies the notice in gossip, which is the same on every VM that forwards it. The
    /// extension of a quarantine gets a new number.
    pub fn number(&self) -> u64 {
        /// Granularity of the expiry time in the number: expiry times that differ by less count as equal, because ages
        /// become inexact as a notice travels.
        const TERM_STEP_S: u64 = 30;
        let (tag, id, term_s) = match self {
            Self::Suspected {
                id, fingerprint, ..
            } => (0, id.0 ^ fingerprint.0, 0),
            Self::Cleared {
                fingerprint,
                losses,
            } => {
                let loss_id_sum = losses
                    .iter()
                    .fold(0, |sum: u64, loss| sum.wrapping_add(loss.0));
                (1, fingerprint.0 ^ loss_id_sum, 0)
            }
            Self::Quarantined {
                id, age, remaining, ..
            } => (2, id.0, (*age + *remaining).as_secs()),
            Self::Lifted { id, .. } => (3, id.0, 0),
        };
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for part in [tag, id, (term_s + TERM_STEP_S / 2) / TERM_STEP_S] {
            hasher.update(&part.to_le_bytes());
        }
        hasher.digest()
    }

    /// Adds `elapsed`, the time that the notice has spent in transit or in a queue, to its ages.
    #[must_use]
    pub fn with_elapsed(mut self, elapsed: Duration) -> Self {
        match &mut self {
            Self::Suspected { age, .. } | Self::Lifted { age, .. } => *age += elapsed,
            Self::Quarantined { age, remaining, .. } => {
                *age += elapsed;
                *remaining = remaining.saturating_sub(elapsed);
            }
            Self::Cleared { .. } => {}
        }
        self
    }

    /// Returns the request that the notice is about.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Suspected { fingerprint, .. }
            | Self::Cleared { fingerprint, .. }
            | Self::Quarantined { fingerprint, .. }
            | Self::Lifted { fingerprint, .. } => *fingerprint,
        }
    }
}
