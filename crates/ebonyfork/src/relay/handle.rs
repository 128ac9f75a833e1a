//! The handle through which the rest of the process uses the relay.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use prometheus_client::registry::Registry;
use xtra::{Address, Mailbox, WeakAddress};

use crate::relay::actor::{Cancel, LoadsRequest, RelayActor, Submit, ViewsChanged};
use crate::relay::message::{CancelBatch, SubmitBatch, UpstreamLoad};
use crate::relay::metrics::RelayMetrics;
use crate::relay::settings::RelaySettings;
use crate::views::NodeViews;
use crate::wire::LinkSender;

/// A handle to a running relay. Cheap to clone; the relay stops when its last handle is dropped.
#[derive(Debug, Clone)]
pub struct RelayHandle {
    actor: Address<RelayActor>,
    outstanding_attempt_count: Arc<AtomicUsize>,
    metrics: RelayMetrics,
}

impl RelayHandle {
    /// Starts a relay on the current Tokio runtime.
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
        let outstanding_attempt_count = Arc::new(AtomicUsize::new(0));
        let metrics = RelayMetrics::default();
        let views = settings.views.clone();
        let actor = RelayActor::new(
            settings,
            Arc::clone(&outstanding_attempt_count),
            metrics.clone(),
        );
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(follow_views(views, actor.downgrade()));
        Self {
            actor,
            outstanding_attempt_count,
            metrics,
        }
    }

    /// Submits attempts. Each gets exactly one outcome, sent back through `link`.
    pub async fn submit(&self, link: LinkSender, batch: SubmitBatch) {
        // The actor stops only when its last handle is dropped, so the message can't be lost.
        let _send_result = self.actor.send(Submit { link, batch }).await;
    }

    /// Cancels attempts. Each still gets its outcome: not run if it was never sent, failed otherwise.
    pub async fn cancel(&self, link: &LinkSender, batch: CancelBatch) {
        let Some(session) = link.peer() else {
            return;
        };
        let _send_result = self.actor.send(Cancel { session, batch }).await;
    }

    /// Returns the loads of the upstreams that the relay has used.
    pub async fn loads(&self) -> Vec<UpstreamLoad> {
        self.actor.send(LoadsRequest).await.unwrap_or_default()
    }

    /// Returns the number of attempts, queued or sent, that have no outcome yet.
    pub fn in_flight(&self) -> usize {
        self.outstanding_attempt_count.load(Ordering::Relaxed)
    }

    /// Registers the relay's metrics.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}

/// Notifies the actor of changed views until the views or the actor are gone.
async fn follow_views(mut views: NodeViews, actor: WeakAddress<RelayActor>) {
    loop {
        let change_result = tokio::select! {
            result = views.topology.changed() => result,
            result = views.config.changed() => result,
        };
        if change_result.is_err() || actor.send(ViewsChanged).await.is_err() {
            return;
        }
    }
}
