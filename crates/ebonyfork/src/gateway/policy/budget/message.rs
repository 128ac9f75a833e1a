//! Messages with which VMs lease one another their shares of the slack: the repeats that are allowed in addition to a
//! ratio of the requests.

use serde::{Deserialize, Serialize};

/// Message about the sender's or the receiver's share of the slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Requests the receiver's share for one lease term, or renews the lease.
    Request {
        /// Identifies the request; chosen by the sender.
        number: u64,
    },
    /// The sender leases its share to the receiver for one term.
    Granted {
        /// Identifies the request that is granted: the `number` in its [`ShareMessage::Request`].
        number: u64,
    },
    /// The sender needs its share itself, or has leased it to another VM.
    Refused {
        /// Identifies the request that is refused: the `number` in its [`ShareMessage::Request`].
        number: u64,
    },
}
