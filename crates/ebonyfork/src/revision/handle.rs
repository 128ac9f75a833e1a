//! The handle through which the rest of the process uses the revision feed.

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

use super::actor::{
    GossipedRevisions, ReceivedMessage, RevisionActor, StopFeed, spawn_revision_actor,
};
use super::message::RevisionMessage;
use super::metrics::RevisionMetrics;

/// Handle to the process's revision feed. Cheap to clone; the feed ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct RevisionHandle {
    address: Address<RevisionActor>,
    metrics: RevisionMetrics,
}

impl RevisionHandle {
    /// Starts the revision feed, which puts each revision in force through `config_sender` and sends messages to peers
    /// through `send`.
    pub fn start(
        settings: &NodeSettings,
        client: StoreClient,
        views: NodeViews,
        config_sender: watch::Sender<Arc<DeclaredConfig>>,
        send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let metrics = RevisionMetrics::default();
        let actor = RevisionActor::new(settings, client, config_sender, send, metrics.clone());
        let address = spawn_revision_actor(actor, views.topology);
        Self { address, metrics }
    }

    /// Handles a message from a peer; replies go back over `sender`.
    pub async fn handle_message(&self, sender: LinkSender, message: RevisionMessage) {
        // A stopped feed accepts no messages, which happens only while the process is stopping.
        let _send_result = self.address.send(ReceivedMessage { sender, message }).await;
    }

    /// Records the revision that a peer's membership digest shows.
    pub fn record_gossiped_revision(&self, vm: VmAddress, revision: RevisionNumber) {
        self.record_gossiped_revisions([(vm, revision)]);
    }

    /// Records the revisions that several members have shown by gossip.
    pub fn record_gossiped_revisions(
        &self,
        revisions: impl IntoIterator<Item = (VmAddress, RevisionNumber)>,
    ) {
        let revisions = revisions.into_iter().collect();
        let _send_result = self
            .address
            .send(GossipedRevisions { revisions })
            .detach()
            .now_or_never();
    }

    /// Stops the feed even if other handles to it still exist.
    pub fn stop(&self) {
        let _send_result = self.address.send(StopFeed).detach().now_or_never();
    }

    /// Registers the metrics of the revision feed.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}
