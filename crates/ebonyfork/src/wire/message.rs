//! The messages of a link, by duty.

use serde::{Deserialize, Serialize};

use crate::catalog::CatalogMessage;
use crate::gateway::{MirrorMessage, PartialMessage, RouteCheckMessage, ShareMessage};
use crate::ident::SessionId;
use crate::once::OnceMessage;
use crate::relay::{CancelBatch, OutcomeBatch, SubmitBatch};
use crate::revision::RevisionMessage;

/// Version of the protocol between our processes; a peer of another version is refused.
pub const PROTOCOL_VERSION: u16 = 4;

/// The first message each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender's process incarnation.
    pub session: SessionId,
}

/// One message between two of our processes. Variants are only ever appended: their order is their code on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message each way.
    Hello(LinkHello),
    /// Entry to relay: attempts to run.
    Submit(SubmitBatch),
    /// Entry to relay: attempts no longer wanted.
    Cancel(CancelBatch),
    /// Relay to entry: what became of attempts.
    Outcomes(OutcomeBatch),
    /// Configuration: what is held, and the parts of revisions.
    Revision(RevisionMessage),
    /// Index catalogues: what is held, and the catalogues themselves.
    Catalog(CatalogMessage),
    /// Keys of non-idempotent queries.
    Once(OnceMessage),
    /// Gateway to gateway: parts of queries over many shards.
    Partial(PartialMessage),
    /// Gateway to gateway: changes of the store.
    Mirror(MirrorMessage),
    /// Gateway to gateway: whether a route is the same in both configurations.
    RouteCheck(RouteCheckMessage),
    /// Gateway to gateway: shares of the slack of repeats.
    Share(ShareMessage),
}
