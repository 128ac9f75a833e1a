//! Messages between VMs that replicate the store's changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::content::HeldValues;
use crate::store::StoreRevision;

/// How much a followed VM has sent to one follower, and as of when that was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SourceState {
    /// The follower has received everything up to a revision.
    UpToDate {
        /// The revision up to which everything was sent.
        revision: StoreRevision,
        /// Milliseconds from the receipt of the last poll to the latest time at which the store is known to have held
        /// nothing newer than `revision`; negative if that time is before the receipt.
        up_to_date_ms: i64,
    },
    /// Changes that the follower lacks are being sent or waiting to be sent.
    Sending,
    /// The followed VM's own copy is stale; another VM may have a newer one.
    Stale,
}

/// A message between a VM and the VM that it follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Asks for the changes after the sender's revision, and for the time as of which the receiver's copy was up to
    /// date. The sender repeats it for as long as it follows the receiver.
    Follow {
        /// The revision up to which the sender has applied every change.
        known_revision: StoreRevision,
        /// The long values that the sender holds.
        held_values: HeldValues,
        /// Number of the poll. The receiver repeats it in the [`MirrorMessage::State`] message that responds to the
        /// poll.
        poll: u64,
    },
    /// Stops following: the sender needs no further changes.
    Leave,
    /// A chunk of a transfer to the receiver.
    Chunk {
        /// Number that the sender assigned to the transfer.
        transfer: u64,
        /// Offset of the chunk in the transfer, in bytes.
        offset: u32,
        /// Size of the whole transfer in bytes.
        total_bytes: u32,
        /// The bytes of the chunk.
        bytes: Bytes,
    },
    /// Acknowledges received chunks, so that the next ones may be sent.
    Ack {
        /// Number of the transfer, as stated in its chunks.
        transfer: u64,
        /// Number of bytes of the transfer received so far.
        received_bytes: u32,
    },
    /// States how much the sender has sent to the receiver, and as of when that was complete. It is sent in response to
    /// a poll, at the end of a transfer, and when the sender learns that its copy is still up to date.
    State {
        /// Number of the last poll that the sender received.
        poll: u64,
        /// The sender's state with respect to the receiver.
        state: SourceState,
    },
    /// States that the sender's calls to the store fail. A receiver that becomes the next reader may find the store
    /// available again at its first call, and would otherwise not know that entries may have expired meanwhile.
    StoreFailing,
    /// States that the store answers again after an outage. Entries that the changes sent after this message remove may
    /// have expired during the outage and may be written again.
    StoreReturned {
        /// Milliseconds for which entries that are missing are still kept.
        grace_ms: u32,
    },
}
