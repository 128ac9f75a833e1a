//! What VMs tell one another about shares of the slack.

use serde::{Deserialize, Serialize};

/// One message about the sender's or the receiver's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Asks for the receiver's share for a term, anew or again.
    Ask {
        /// Number of the question.
        number: u64,
    },
    /// The sender leaves its share to the receiver for a term.
    Granted {
        /// Number of the [`ShareMessage::Ask`].
        number: u64,
    },
    /// The sender keeps its share, or has left it to another VM.
    Refused {
        /// Number of the [`ShareMessage::Ask`].
        number: u64,
    },
}
