//! What VMs say to each other about keys.

use serde::{Deserialize, Serialize};

use crate::ident::{RunState, SessionId};
use crate::once::aged::SequenceRange;
use crate::once::table::{RequestDigest, outcome_bytes};
use crate::query::{QueryOutcome, QueryRefusal, QueryRequest, RefusalCode};

/// One message about keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// A query for the receiver's session, or for a session whose sealed outcomes it may hold.
    Forward {
        /// Counted up by the sender.
        ticket: u64,
        /// The query, with its key.
        request: QueryRequest,
    },
    /// The answer to a forward.
    Outcome {
        /// The forward's ticket.
        ticket: u64,
        /// What the receiver knows.
        outcome: OnceOutcome,
    },
    /// Sealed outcomes of a session, from the process that holds them to its successor.
    Handover(HandoverPart),
    /// All parts of the session have arrived.
    HandoverTaken {
        /// The session.
        session: SessionId,
    },
}

/// What a VM knows about a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The session is its own, or it holds the session's sealed outcomes: this is the outcome.
    Known(QueryOutcome),
    /// It is not that process, and holds nothing of that session.
    NotHere,
}

/// Bytes of an outcome that still fits a frame.
const FRAME_BYTES: usize = 1 << 20;

/// Replaces an outcome that does not fit a frame by a truthful refusal.
pub(super) fn fit_frame(outcome: QueryOutcome) -> QueryOutcome {
    if outcome_bytes(&outcome) <= FRAME_BYTES {
        return outcome;
    }
    let ran = outcome.map_or_else(|refusal| refusal.ran, |_answer| RunState::Ran);
    let message = "the answer is too large to pass between VMs; ask the session's own address";
    Err(QueryRefusal::new(RefusalCode::UpstreamFailed, ran, message))
}

/// The outcome of one key of a sealed session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedOutcome {
    /// The key's sequence number.
    pub sequence: u64,
    /// What was asked under the key.
    pub digest: RequestDigest,
    /// What came of it.
    pub outcome: QueryOutcome,
}

/// Names one sending of a sealed session, so that the parts of two sendings are never mixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// The sender.
    pub sender: SessionId,
    /// Counted up by the sender.
    pub number: u64,
}

/// A part of a sealed session, small enough for one frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The session.
    pub session: SessionId,
    /// The sending that this part belongs to.
    pub transfer: TransferId,
    /// Number of this part, from zero.
    pub number: u32,
    /// Number of all parts.
    pub count: u32,
    /// Kept outcomes.
    pub outcomes: Vec<SealedOutcome>,
    /// Keys that ran, or may have run, and whose outcomes are gone.
    pub aged: Vec<SequenceRange>,
}
