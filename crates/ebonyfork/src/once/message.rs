//! Messages between VMs about idempotency keys.

use serde::{Deserialize, Serialize};

use crate::ident::{RunState, SessionId};
use crate::once::aged::SequenceRange;
use crate::once::table::{RequestDigest, outcome_bytes};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};

/// A message between VMs about idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// A query of the receiver's session, or of a session whose sealed outcomes the receiver may hold.
    Forward {
        /// Identifies this forward at its sender; returned with the outcome.
        forward_id: u64,
        /// The query, including its idempotency key.
        request: QueryRequest,
    },
    /// The answer to a [`OnceMessage::Forward`].
    Outcome {
        /// Id of the forward that is answered.
        forward_id: u64,
        /// What the VM that answers knows about the key.
        outcome: OnceOutcome,
    },
    /// Part of a sealed session, sent by the process that holds it to its successor.
    Handover(HandoverPart),
    /// Confirms to the sender that all parts of the session have arrived.
    HandoverConfirmed {
        /// The session whose parts have arrived.
        session: SessionId,
    },
}

/// What a VM knows about an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The VM runs the key's session or holds its sealed outcomes; this is the outcome.
    Known(QueryOutcome),
    /// The VM neither runs the key's session nor holds any of its sealed outcomes.
    NotHeld,
}

/// Largest outcome, in bytes, that fits into one frame of a link between VMs.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Replaces an outcome that doesn't fit into a frame with a refusal that says whether the query ran.
pub(super) fn replace_oversized(outcome: QueryOutcome) -> QueryOutcome {
    if outcome_bytes(&outcome) <= MAX_FRAME_BYTES {
        return outcome;
    }
    let run_state = outcome.map_or_else(|refusal| refusal.ran, |_answer| RunState::Ran);
    let message = "the answer is too large to pass between VMs; ask the session's own address";
    Err(QueryRefusal::new(
        RefusalCode::UpstreamFailed,
        run_state,
        message,
    ))
}

/// The outcome of one idempotency key of a sealed session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedOutcome {
    /// Sequence number of the idempotency key.
    pub sequence: u64,
    /// Digest of the request that was sent with the key.
    pub digest: RequestDigest,
    /// Outcome of that request.
    pub outcome: QueryOutcome,
}

/// Identifies one transfer of a sealed session, so that parts of two transfers are never mixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// Session of the sending process.
    pub sender: SessionId,
    /// Number of the transfer, incremented by the sender.
    pub number: u64,
}

/// Part of a sealed session, small enough for one frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The sealed session.
    pub session: SessionId,
    /// The transfer that this part belongs to.
    pub transfer: TransferId,
    /// Index of this part within the transfer, from zero.
    pub number: u32,
    /// Number of parts in the transfer.
    pub count: u32,
    /// Outcomes that the sender has kept.
    pub outcomes: Vec<SealedOutcome>,
    /// Sequence numbers of keys that ran, or may have run, and whose outcomes are not kept.
    pub evicted_keys: Vec<SequenceRange>,
}
