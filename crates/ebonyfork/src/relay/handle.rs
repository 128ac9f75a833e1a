//! The relay as the rest of the process sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use prometheus_client::registry::Registry;
use xtra::{Address, Mailbox, WeakAddress};

use crate::relay::actor::{Cancel, Loads, RelayActor, Submit, ViewsChanged};
use crate::relay::message::{CancelBatch, SubmitBatch, UpstreamLoad};
use crate::relay::metrics::RelayMetrics;
use crate::relay::settings::RelaySettings;
use crate::views::NodeViews;
use crate::wire::LinkSender;

/// A running relay. Cheap to clone; the relay ends with its last handle.
#[derive(Debug, Clone)]
pub struct RelayHandle {
    actor: Address<RelayActor>,
    held: Arc<AtomicUsize>,
    metrics: RelayMetrics,
}

impl RelayHandle {
    /// Starts a relay on the current runtime.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyfork::relay::{RelayHandle, RelaySettings};
    /// use ebonyfork::views::view_channels;
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), ebonyfork::ident::IdentError> {
    /// let (_writers, views) = view_channels();
    /// let settings = RelaySettings::new("127.0.0.1".parse()?, "zone-a".parse()?, views);
    /// let relay = RelayHandle::start(settings);
    /// assert_eq!(relay.in_flight(), 0);
    /// # Ok(())
    /// # }
    /// ```
    pub fn start(settings: RelaySettings) -> Self {
        let held = Arc::new(AtomicUsize::new(0));
        let metrics = RelayMetrics::default();
        let views = settings.views.clone();
        let actor = RelayActor::new(settings, Arc::clone(&held), metrics.clone());
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(follow_views(views, actor.downgrade()));
        Self {
            actor,
            held,
            metrics,
        }
    }

    /// Takes attempts in. Each gets exactly one outcome, sent back through `from`.
    pub async fn submit(&self, from: LinkSender, batch: SubmitBatch) {
        // The actor ends only with its last handle, so that the message can't be lost.
        let _taken = self.actor.send(Submit { from, batch }).await;
    }

    /// Gives attempts up. Each still gets its outcome: not run if it was never sent, else failed.
    pub async fn cancel(&self, from: &LinkSender, batch: CancelBatch) {
        let Some(session) = from.peer() else {
            return;
        };
        let _taken = self.actor.send(Cancel { session, batch }).await;
    }

    /// What the relay says about the upstreams it has used.
    pub async fn loads(&self) -> Vec<UpstreamLoad> {
        self.actor.send(Loads).await.unwrap_or_default()
    }

    /// Attempts whose outcome is still due, queued or sent.
    pub fn in_flight(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Registers the relay's metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}

/// Tells the actor of changed views until either side is gone.
async fn follow_views(mut views: NodeViews, actor: WeakAddress<RelayActor>) {
    loop {
        let changed = tokio::select! {
            changed = views.topology.changed() => changed,
            changed = views.config.changed() => changed,
        };
        if changed.is_err() || actor.send(ViewsChanged).await.is_err() {
            return;
        }
    }
}
