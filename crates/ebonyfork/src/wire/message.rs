//! Messages that are exchanged on links.

use serde::{Deserialize, Serialize};

use crate::catalog::CatalogMessage;
use crate::gateway::{
    ColdMessage, MirrorMessage, PartialMessage, QuotaMessage, RouteCheckMessage, ShareMessage,
    SpeedMessage,
};
use crate::ident::SessionId;
use crate::once::OnceMessage;
use crate::relay::{CancelBatch, OutcomeBatch, SubmitBatch};
use crate::revision::RevisionMessage;

/// Version of the link protocol; peers with any other version are refused.
pub const PROTOCOL_VERSION: u16 = 6;

/// First message in each direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Process incarnation of the sender.
    pub session: SessionId,
}

/// Message between two processes. New variants are only appended: the position of a variant is its code on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(LinkHello),
    /// Entry to relay: attempts to run.
    Submit(SubmitBatch),
    /// Entry to relay: attempts to cancel.
    Cancel(CancelBatch),
    /// Relay to entry: outcomes of attempts.
    Outcomes(OutcomeBatch),
    /// Configuration: which revisions a VM holds, and the parts of revisions.
    Revision(RevisionMessage),
    /// Index catalogues: which catalogues a VM holds, and their content.
    Catalog(CatalogMessage),
    /// Non-idempotent queries with an idempotency key.
    Once(OnceMessage),
    /// Gateway to gateway: parts of queries that span many shards.
    Partial(PartialMessage),
    /// Gateway to gateway: changes in the store.
    Mirror(MirrorMessage),
    /// Gateway to gateway: checks whether a route is the same in both configurations.
    RouteCheck(RouteCheckMessage),
    /// Gateway to gateway: shares of the retry budget.
    Share(ShareMessage),
    /// Gateway to gateway: tokens of organisations' quotas.
    Quota(QuotaMessage),
    /// Gateway to gateway: upstreams whose speed has changed. Sent only where the settings call for it.
    Speed(SpeedMessage),
    /// Gateway to gateway: upstreams that have become cold. Sent only where the configuration limits requests to them.
    Cold(ColdMessage),
}
