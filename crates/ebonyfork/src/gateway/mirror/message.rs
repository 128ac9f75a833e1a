//! What VMs say to one another about the store's changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::content::HeldValues;
use crate::store::StoreRevision;

/// How far the VM that is followed has come with telling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SourceStanding {
    /// All is told up to a revision.
    Told {
        /// The revision.
        revision: StoreRevision,
        /// Milliseconds from the moment at which the question came in to the one as of which the store held nothing newer;
        /// negative if that was before.
        proof_ms: i64,
    },
    /// Something is on its way or waits for its turn.
    Telling,
    /// The VM's own copy is old; another one may know more.
    Old,
}

/// One message about the store's changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Asks to be told of all changes, beginning with what the sender lacks, and how old the proof behind them is. It is
    /// repeated for as long as the sender follows.
    Follow {
        /// The revision up to which the sender knows everything.
        known: StoreRevision,
        /// The long values that it holds.
        held: HeldValues,
        /// Number of the question, for the replies.
        question: u64,
    },
    /// Asks to be told no more.
    Leave,
    /// A piece of what the receiver lacks.
    Piece {
        /// Number of the transfer.
        transfer: u64,
        /// Where the piece begins.
        offset: u32,
        /// Length of the whole.
        total: u32,
        /// The piece.
        bytes: Bytes,
    },
    /// Pieces have come in; the next ones may follow.
    Taken {
        /// Number of the transfer.
        transfer: u64,
        /// Bytes of it that have come in so far.
        bytes: u32,
    },
    /// Tells how far the sender has come: when it is asked, when it has told everything, and when its proof is renewed.
    State {
        /// Number of the last question.
        question: u64,
        /// How far it has come.
        standing: SourceStanding,
    },
}
