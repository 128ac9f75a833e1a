//! Which slice hears of what happens on the peer links.

use crate::catalog::CatalogHandle;
use crate::entry::EntryHandle;
use crate::once::OnceHandle;
use crate::relay::RelayHandle;
use crate::revision::RevisionHandle;
use crate::wire::{LinkEvent, LinkSender, PeerMessage};

/// The slices that take messages of peers. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct PeerDispatch {
    pub(super) entry: EntryHandle,
    pub(super) relay: RelayHandle,
    pub(super) revision: RevisionHandle,
    pub(super) catalog: CatalogHandle,
    pub(super) once: OnceHandle,
}

impl PeerDispatch {
    /// Work that has not been answered.
    pub(super) fn in_flight(&self) -> usize {
        self.entry.in_flight() + self.once.in_flight() + self.relay.in_flight()
    }

    /// Hands one event to the slice that it concerns.
    pub(super) async fn take(self, event: LinkEvent) {
        match event {
            LinkEvent::Message { from, message } => self.take_message(from, message).await,
            LinkEvent::Down { vm, unsent } => {
                let is_keyed = |message: &PeerMessage| matches!(message, PeerMessage::Once(_));
                let (keyed, unsent) = unsent.into_iter().partition(is_keyed);
                self.once.handle_link_down(vm, keyed).await;
                self.entry.link_down(vm, unsent).await;
            }
        }
    }

    async fn take_message(self, from: LinkSender, message: PeerMessage) {
        match message {
            PeerMessage::Submit(batch) => self.relay.submit(from, batch).await,
            PeerMessage::Cancel(batch) => self.relay.cancel(&from, batch).await,
            PeerMessage::Outcomes(batch) => {
                let Some(peer) = from.peer() else { return };
                self.entry.take_outcomes(peer, batch).await;
            }
            PeerMessage::Revision(message) => self.revision.take_message(from, message).await,
            PeerMessage::Catalog(message) => self.catalog.take_message(from, message).await,
            PeerMessage::Once(message) => self.once.handle_message(from, message).await,
            PeerMessage::Partial(_)
            | PeerMessage::Mirror(_)
            | PeerMessage::RouteCheck(_)
            | PeerMessage::Share(_) => {
                log::debug!("a gateway's message from {:?}", from.peer());
            }
            PeerMessage::Hello(_) => log::debug!("a second hello from {:?}", from.peer()),
        }
    }
}

/// Ends the configuration feeds when the node ends: links and feeds hold each other, so neither would end by itself.
#[derive(Debug)]
pub(super) struct FeedGuard {
    pub(super) revision: RevisionHandle,
    pub(super) catalog: CatalogHandle,
}

impl Drop for FeedGuard {
    fn drop(&mut self) {
        self.revision.stop();
        self.catalog.stop();
    }
}
