//! Dispatches link events to the subsystems.

use crate::catalog::CatalogHandle;
use crate::entry::EntryHandle;
use crate::once::OnceHandle;
use crate::relay::RelayHandle;
use crate::revision::RevisionHandle;
use crate::wire::{LinkEvent, LinkSender, PeerMessage};

/// Handles of the subsystems that receive messages from peers. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct PeerDispatch {
    pub(super) entry: EntryHandle,
    pub(super) relay: RelayHandle,
    pub(super) revision: RevisionHandle,
    pub(super) catalog: CatalogHandle,
    pub(super) once: OnceHandle,
}

impl PeerDispatch {
    /// Returns the number of queries and attempts that have not been answered yet.
    pub(super) fn in_flight(&self) -> usize {
        self.entry.queries_in_flight() + self.once.in_flight() + self.relay.in_flight()
    }

    /// Passes a link event to the subsystems that it concerns.
    pub(super) async fn handle_event(self, event: LinkEvent) {
        match event {
            LinkEvent::Message { from, message } => self.handle_message(from, message).await,
            LinkEvent::Down { vm, unsent } => {
                let is_keyed = |message: &PeerMessage| matches!(message, PeerMessage::Once(_));
                let (keyed_messages, other_messages) = unsent.into_iter().partition(is_keyed);
                self.once.handle_link_down(vm, keyed_messages).await;
                self.entry.handle_link_down(vm, other_messages).await;
            }
        }
    }

    /// Passes a message to the subsystem that handles its kind.
    async fn handle_message(self, link: LinkSender, message: PeerMessage) {
        match message {
            PeerMessage::Submit(batch) => self.relay.submit(link, batch).await,
            PeerMessage::Cancel(batch) => self.relay.cancel(&link, batch).await,
            PeerMessage::Outcomes(batch) => {
                let Some(peer) = link.peer() else { return };
                self.entry.handle_outcomes(peer, batch).await;
            }
            PeerMessage::Revision(message) => self.revision.handle_message(link, message).await,
            PeerMessage::Catalog(message) => self.catalog.handle_message(link, message).await,
            PeerMessage::Once(message) => self.once.handle_message(link, message).await,
            PeerMessage::Partial(_)
            | PeerMessage::Mirror(_)
            | PeerMessage::RouteCheck(_)
            | PeerMessage::Share(_)
            | PeerMessage::Quota(_)
            | PeerMessage::Speed(_)
            | PeerMessage::Cold(_) => {
                log::debug!("ignoring a gateway message from {:?}", link.peer());
            }
            PeerMessage::Hello(_) => log::debug!("ignoring a second hello from {:?}", link.peer()),
        }
    }
}

/// Stops the configuration and catalogue feeds when the node is dropped. Links and feeds hold references to each other,
/// so neither would stop by itself.
#[derive(Debug)]
pub(super) struct FeedStopGuard {
    pub(super) revision: RevisionHandle,
    pub(super) catalog: CatalogHandle,
}

impl Drop for FeedStopGuard {
    fn drop(&mut self) {
        self.revision.stop();
        self.catalog.stop();
    }
}
