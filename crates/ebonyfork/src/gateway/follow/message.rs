//! What VMs say to one another about the store's changes.

use serde::{Deserialize, Serialize};

use crate::store::{StoreEvent, StoreItem, StoreRevision};

/// One message about the store's changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Asks to be told of all changes from now on, beginning with everything that is there unless that is known.
    Follow {
        /// The revision up to which the sender knows everything.
        known: StoreRevision,
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
        /// The store's revision up to which everything is told.
        revision: StoreRevision,
    },
    /// Nothing has changed; tells whether the store answers.
    Alive {
        /// Whether the store answered the last call.
        answers: bool,
        /// Milliseconds since the sender's copy was known to be up to date.
        proof_age_ms: u64,
    },
}
