//! What processes say to each other about revisions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ident::RevisionNumber;

use super::record::{ChangeRecord, HeadRecord, PartDigest};

/// One message about revisions. Variants are only ever appended: their order is their code on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionMessage {
    /// The sender holds this revision whole.
    Held(HeadRecord),
    /// Asks for the newest change that the receiver holds, if it is above this revision; else for `Held`.
    Ask {
        /// What the sender holds.
        above: RevisionNumber,
    },
    /// The record of the newest change that the sender holds.
    Change(ChangeRecord),
    /// Asks for one part.
    AskPart {
        /// Its digest.
        sha256: PartDigest,
    },
    /// One part; none if the sender doesn't hold it.
    Part {
        /// Its digest.
        sha256: PartDigest,
        /// Its text.
        text: Option<Bytes>,
    },
    /// A VM that has just started asks for the change that the receiver holds, whatever its number.
    AskSettled,
    /// The record of the change that the sender holds and doesn't doubt.
    Settled(ChangeRecord),
}
