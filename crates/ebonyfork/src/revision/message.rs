//! Messages that VMs exchange about configuration revisions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ident::RevisionNumber;

use super::record::{ChangeRecord, HeadRecord, PartDigest};

/// A message about configuration revisions. New variants are only ever appended, because a variant's position is its
/// code on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionMessage {
    /// The sender holds all parts of this revision.
    Held(HeadRecord),
    /// Asks for the newest change that the receiver holds. The receiver sends `Change` if that is above `above`,
    /// otherwise `Held`.
    Ask {
        /// The revision that the sender of the question holds.
        above: RevisionNumber,
    },
    /// The record of the newest change that the sender holds.
    Change(ChangeRecord),
    /// Asks the receiver for the text of one part.
    AskPart {
        /// Digest of the requested part.
        sha256: PartDigest,
    },
    /// The text of one part, or `None` if the sender doesn't hold the part or has used up its byte budget.
    Part {
        /// Digest of the part.
        sha256: PartDigest,
        /// Text of the part.
        text: Option<Bytes>,
    },
    /// Asks for the change that the receiver holds, whatever its number. Sent by a VM whose own revision is
    /// provisional.
    AskSettled,
    /// The record of the change that the sender holds, sent only while the sender's revision isn't provisional.
    Settled(ChangeRecord),
}
