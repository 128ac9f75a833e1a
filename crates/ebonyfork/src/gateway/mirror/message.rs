//! Messages between VMs that replicate the store's changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::content::HeldValues;
use crate::store::StoreRevision;

/// State of a followed VM with respect to one follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SourceState {
    /// The follower has received everything up to a revision.
    UpToDate {
        /// The revision up to which everything was sent.
        revision: StoreRevision,
        /// Milliseconds from the time at which the poll was received to the time as of which the store held nothing
        /// newer; negative if that was earlier.
        proof_ms: i64,
    },
    /// Changes are being sent or waiting to be sent.
    Sending,
    /// The followed VM's own copy is stale; another VM may have a newer one.
    Stale,
}

/// A message about the store's changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Polls for changes after the sender's position and for the age of the proof behind them. It is repeated for as
    /// long as the sender follows.
    Follow {
        /// The revision up to which the sender has applied every change.
        known: StoreRevision,
        /// The long values that the sender holds.
        held: HeldValues,
        /// Number of the poll, which responses refer to.
        poll: u64,
    },
    /// Stops following: the sender needs no further changes.
    Leave,
    /// A chunk of a transfer to the receiver.
    Chunk {
        /// Number of the transfer.
        transfer: u64,
        /// Offset of the chunk in the transfer, in bytes.
        offset: u32,
        /// Length of the whole transfer in bytes.
        total: u32,
        /// The bytes of the chunk.
        bytes: Bytes,
    },
    /// Acknowledges received chunks, so that the next ones may be sent.
    Ack {
        /// Number of the transfer.
        transfer: u64,
        /// Bytes of the transfer received so far.
        bytes: u32,
    },
    /// States how far the sender has come. It is sent in response to a poll, at the end of a transfer, and when the
    /// sender's proof of freshness is renewed.
    State {
        /// Number of the last poll received.
        poll: u64,
        /// The sender's state.
        state: SourceState,
    },
}
