//! What VMs say to one another about the store's changes.

use serde::{Deserialize, Serialize};

use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// One message about the store's changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Asks to be told of all changes, beginning with what the sender lacks, and how old the proof behind them is. It is
    /// repeated for as long as the sender follows.
    Follow {
        /// The revision up to which the sender knows everything.
        known: StoreRevision,
        /// Number of the question, for the reply.
        question: u64,
    },
    /// Asks to be told no more.
    Leave,
    /// A piece of everything that is there; the last one ends it.
    Whole {
        /// Items by key.
        items: Vec<StoreItem>,
        /// Whether this is the first piece.
        first: bool,
        /// Whether this is the last piece.
        last: bool,
        /// The store's revision up to which it is complete.
        revision: StoreRevision,
    },
    /// Changes, at most one for each key.
    Changed {
        /// The changes.
        events: Vec<StoreEvent>,
        /// The store's revision after which they were.
        since: StoreRevision,
        /// The store's revision up to which everything is told.
        revision: StoreRevision,
    },
    /// Answers a [`MirrorMessage::Follow`], after all that the asker lacked.
    State {
        /// Number of the question.
        question: u64,
        /// The store's revision up to which everything has been told.
        revision: StoreRevision,
        /// Milliseconds since the sender's copy was known to be up to date; none if it never was.
        proof_age_ms: Option<u64>,
    },
}
