//! What the rest of a process sees of the revision feed.

use std::sync::Arc;

use futures_util::FutureExt;
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use xtra::prelude::*;

use crate::declaration::DeclaredConfig;
use crate::ident::{RevisionNumber, VmAddress};
use crate::settings::NodeSettings;
use crate::store::StoreClient;
use crate::views::NodeViews;
use crate::wire::{LinkError, LinkSender, PeerMessage};

use super::actor::{PeerInput, PeerNote, RevisionActor, StopFeed, spawn_revision_actor};
use super::message::RevisionMessage;
use super::metrics::RevisionMetrics;

/// Talks to the process's revision feed. Cheap to clone; the feed ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct RevisionHandle {
    address: Address<RevisionActor>,
    metrics: RevisionMetrics,
}

impl RevisionHandle {
    /// Starts to learn revisions and puts each in force through `writer`. Peers are reached by `send`.
    pub fn start(
        settings: &NodeSettings,
        client: StoreClient,
        views: NodeViews,
        writer: watch::Sender<Arc<DeclaredConfig>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let metrics = RevisionMetrics::default();
        let actor = RevisionActor::new(settings, client, writer, send, metrics.clone());
        let address = spawn_revision_actor(actor, views.topology);
        Self { address, metrics }
    }

    /// Takes a message of a peer; replies go back by `from`.
    pub async fn take_message(&self, from: LinkSender, message: RevisionMessage) {
        // A feed that has ended takes no messages; the process is stopping.
        let _ended = self.address.send(PeerInput { from, message }).await;
    }

    /// Notes the revision that a peer's membership digest shows.
    pub fn note_peer_revision(&self, vm: VmAddress, revision: RevisionNumber) {
        self.note_members([(vm, revision)]);
    }

    /// Notes the revisions of many members at once.
    pub fn note_members(&self, held: impl IntoIterator<Item = (VmAddress, RevisionNumber)>) {
        let shown = held.into_iter().collect();
        let _ended = self
            .address
            .send(PeerNote { shown })
            .detach()
            .now_or_never();
    }

    /// Ends the feed, although handles may still be around.
    pub fn stop(&self) {
        let _ended = self.address.send(StopFeed).detach().now_or_never();
    }

    /// Registers the feed's metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}
